//! What a fleet is made of, its limits, and why one could not be had.
//!
//! This file owns the bounds that guard the machine. It must never start anything.

use crate::site::{cardiff, Scenario};
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Most mixers, host processes and listed servers of a fleet. Guard the machine: an eighth of its descriptors, and far
/// fewer processes than a system bears.
pub const MAX_MIXERS: u32 = 2_000;
/// Most host processes.
pub const MAX_PROCESSES: u32 = 200;
/// Most listed servers.
pub const MAX_SERVERS: u32 = 20_000;
/// Most memory of a fleet: under half of a machine of 24 GB (bytes).
pub const MAX_MEMORY_BYTES: u64 = 11 << 30;

/// Why there is no fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A limit does not make sense.
    #[error("{key}: {value} is not within {min} and {max}")]
    OutOfBounds {
        /// Which.
        key: &'static str,
        /// What it is.
        value: f64,
        /// The least that is taken.
        min: f64,
        /// The most that is taken.
        max: f64,
    },
    /// A host process does not say what it should.
    #[error("host process {index}: {reason}")]
    Host {
        /// Which.
        index: usize,
        /// Why.
        reason: String,
    },
    /// Its processes hold more memory than they may.
    #[error("max_memory_bytes: the fleet holds {held} bytes, over {max}")]
    TooMuchMemory {
        /// What they hold.
        held: u64,
        /// What they may hold.
        max: u64,
    },
    /// A mixer ended by itself.
    #[error("mixer {number} ended: {reason}")]
    MixerEnded {
        /// Which.
        number: u32,
        /// Why.
        reason: String,
    },
    /// Something did not come about in time.
    #[error("{what}: not within {within_s} s ({missing} mixers without it)")]
    Timeout {
        /// What.
        what: String,
        /// The time there was (seconds).
        within_s: f64,
        /// Mixers that lack it.
        missing: usize,
    },
    /// The system.
    #[error(transparent)]
    System(#[from] std::io::Error),
}

/// Whether a limit is within its bounds.
pub fn check(key: &'static str, value: f64, min: f64, max: f64) -> Result<(), FleetError> {
    if (min..=max).contains(&value) {
        Ok(())
    } else {
        Err(FleetError::OutOfBounds {
            key,
            value,
            min,
            max,
        })
    }
}

/// The settings of all mixers, in the terms that matter for control.
#[derive(Clone, Debug, PartialEq)]
pub struct MixerSettings {
    /// The mixers that there are, by the settings.
    pub replicas: u32,
    /// The cells that there are.
    pub cells: u32,
    /// Shortest time between two rounds (seconds).
    pub round_s: f64,
    /// The longest time without asking (seconds).
    pub poll_within_s: f64,
    /// How many times longer latency targets are than in the deployment. What a mixer does while nothing is asked
    /// grows with the servers and shrinks with the targets.
    pub target_factor: f64,
}

impl MixerSettings {
    /// As JSON that the daemon's decoder reads: the testbed's deployment, with lists that have to be asked for.
    pub fn to_json(&self) -> String {
        let site = cardiff().with_faster_service("fleet", 1.0 / self.target_factor);
        let scenario = Scenario {
            mixers: self.replicas,
            leaf_servers: self.cells,
            site,
            ..Scenario::default()
        };
        let control = format!("\"discovery\":\"subscribe\",\"roundS\":{}", self.round_s);
        let rules = format!("\"rules\":{{\"askWithinS\":{},", self.poll_within_s);
        let settings = scenario
            .settings()
            .replacen("\"roundS\":0.005", &control, 1);
        settings.replacen("\"rules\":{", &rules, 1)
    }
}

/// What a fleet is made of.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// Hollow mixers.
    pub mixers: u32,
    /// Processes that they are spread over.
    pub processes: u32,
    /// Discovery's address by region; process number `n` belongs to region `n` modulo their number.
    pub discovery: Vec<SocketAddr>,
    /// The settings.
    pub settings: MixerSettings,
    /// Memory that all processes together may hold (bytes); with more the fleet ends.
    pub max_memory_bytes: u64,
    /// For all draws.
    pub seed: u64,
    /// The program whose `host` sub-command runs mixers.
    pub program: PathBuf,
}

impl FleetSetup {
    /// Whether it can be had.
    pub fn check(&self) -> Result<(), FleetError> {
        check("mixers", f64::from(self.mixers), 1.0, f64::from(MAX_MIXERS))?;
        let max = f64::from(MAX_PROCESSES.min(self.mixers));
        check("processes", f64::from(self.processes), 1.0, max)?;
        check(
            "discovery",
            self.discovery.len() as f64,
            1.0,
            f64::from(self.processes),
        )?;
        check(
            "max_memory_bytes",
            self.max_memory_bytes as f64,
            1e6,
            MAX_MEMORY_BYTES as f64,
        )?;
        check(
            "settings.replicas",
            f64::from(self.settings.replicas),
            1.0,
            1e6,
        )?;
        check(
            "settings.cells",
            f64::from(self.settings.cells),
            1.0,
            f64::from(MAX_SERVERS),
        )?;
        check("settings.round_s", self.settings.round_s, 1e-4, 10.0)?;
        check(
            "settings.target_factor",
            self.settings.target_factor,
            0.01,
            1_000.0,
        )?;
        check(
            "settings.ask_within_s",
            self.settings.poll_within_s,
            1e-3,
            86_400.0,
        )
    }
}
