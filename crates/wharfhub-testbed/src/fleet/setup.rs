//! Setup of a fleet, its limits and its errors.

use crate::site::{cardiff, Scenario};
use std::net::SocketAddr;
use std::path::PathBuf;
use thiserror::Error;

/// Largest number of mixers, which use an eighth of the file descriptors of the machine.
pub const MAX_MIXERS: u32 = 2_000;
/// Largest number of host processes, far below the limit of the operating system.
pub const MAX_PROCESSES: u32 = 200;
/// Largest number of listed servers.
pub const MAX_SERVERS: u32 = 20_000;
/// Largest memory of a fleet: less than half of a machine with 24 GB (bytes).
pub const MAX_MEMORY_BYTES: u64 = 11 << 30;

/// Error of a fleet.
#[derive(Debug, Error)]
pub enum FleetError {
    /// A value of the setup is out of range.
    #[error("{key}: {value} is not between {min} and {max}")]
    OutOfBounds {
        /// Key of the value.
        key: &'static str,
        /// Rejected value.
        value: f64,
        /// Smallest valid value.
        min: f64,
        /// Largest valid value.
        max: f64,
    },
    /// The communication with a host process failed.
    #[error("host process {index}: {reason}")]
    Host {
        /// Index of the process.
        index: usize,
        /// Cause.
        reason: String,
    },
    /// The processes use more memory than allowed.
    #[error("max_memory_bytes: the fleet uses {held} bytes, more than {max}")]
    TooMuchMemory {
        /// Resident memory of all processes (bytes).
        held: u64,
        /// Limit of the setup (bytes).
        max: u64,
    },
    /// The event loop of a mixer failed.
    #[error("mixer {number} failed: {reason}")]
    MixerEnded {
        /// Number of the mixer.
        number: u32,
        /// Cause.
        reason: String,
    },
    /// Some mixers did not reach a state in time.
    #[error("timed out after {within_s} s waiting for {awaited} ({missing} mixers missing)")]
    Timeout {
        /// Awaited state.
        awaited: String,
        /// Time limit (seconds).
        within_s: f64,
        /// Number of mixers that did not reach the state.
        missing: usize,
    },
    /// A system call failed.
    #[error(transparent)]
    System(#[from] std::io::Error),
}

/// Returns an error if a value is out of range.
pub fn check_range(key: &'static str, value: f64, min: f64, max: f64) -> Result<(), FleetError> {
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

/// Settings of all mixers that affect their control work.
#[derive(Clone, Debug, PartialEq)]
pub struct MixerSettings {
    /// Number of mixers that the settings state.
    pub replicas: u32,
    /// Number of cells that the settings state.
    pub cells: u32,
    /// Shortest interval between two control rounds (seconds).
    pub round_s: f64,
    /// Longest time between two calls to discovery (seconds).
    pub poll_within_s: f64,
    /// Factor by which latency targets are longer than in the deployment. The work of an idle mixer grows with the number of
    /// servers and shrinks with longer targets.
    pub target_factor: f64,
}

impl MixerSettings {
    /// Returns the settings as JSON for the daemon: those of the testbed's deployment, with subscription to discovery.
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

/// Setup of a fleet.
#[derive(Clone, Debug)]
pub struct FleetSetup {
    /// Number of hollow mixers.
    pub mixers: u32,
    /// Number of host processes over which the mixers are spread.
    pub processes: u32,
    /// Addresses of discovery by region. Host process `n` belongs to region `n` modulo the number of regions.
    pub discovery: Vec<SocketAddr>,
    /// Settings of all mixers.
    pub settings: MixerSettings,
    /// Limit on the resident memory of all processes (bytes); a report above it is an error.
    pub max_memory_bytes: u64,
    /// Seed from which the seeds of the mixers are derived.
    pub seed: u64,
    /// Path of the program whose `host` subcommand runs mixers.
    pub program: PathBuf,
}

impl FleetSetup {
    /// Returns an error if a value is out of range.
    pub fn check(&self) -> Result<(), FleetError> {
        check_range("mixers", f64::from(self.mixers), 1.0, f64::from(MAX_MIXERS))?;
        let max = f64::from(MAX_PROCESSES.min(self.mixers));
        check_range("processes", f64::from(self.processes), 1.0, max)?;
        check_range(
            "discovery",
            self.discovery.len() as f64,
            1.0,
            f64::from(self.processes),
        )?;
        check_range(
            "max_memory_bytes",
            self.max_memory_bytes as f64,
            1e6,
            MAX_MEMORY_BYTES as f64,
        )?;
        check_range(
            "settings.replicas",
            f64::from(self.settings.replicas),
            1.0,
            1e6,
        )?;
        check_range(
            "settings.cells",
            f64::from(self.settings.cells),
            1.0,
            f64::from(MAX_SERVERS),
        )?;
        check_range("settings.round_s", self.settings.round_s, 1e-4, 10.0)?;
        check_range(
            "settings.target_factor",
            self.settings.target_factor,
            0.01,
            1_000.0,
        )?;
        check_range(
            "settings.ask_within_s",
            self.settings.poll_within_s,
            1e-3,
            86_400.0,
        )
    }
}
