//! A host process: some hollow mixers, and a parent that asks for reports.
//!
//! This file owns the words between the two: one line of JSON with the set-up at first, then `report` a line, each
//! answered by one line of JSON. The process ends when its standard input does, so no host outlives its parent.

use super::mixer::{HollowMixer, MixerReport, MixerSetup};
use super::usage;
use miniserde::{json, Deserialize, Serialize};
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// The call for a report.
pub const REPORT: &str = "report";

/// What a host is told first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostSetup {
    /// The numbers of its mixers.
    pub numbers: Vec<u32>,
    /// Discovery's address.
    pub discovery: String,
    /// The settings of all mixers.
    pub settings: String,
    /// For all draws.
    pub seed: u64,
}

/// What a host answers.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostReport {
    /// Memory of the process (bytes).
    pub resident_bytes: u64,
    /// Its mixers.
    pub mixers: Vec<MixerReport>,
}

/// Why a host ended.
#[derive(Debug, Error)]
pub enum HostError {
    /// Its set-up can't be read.
    #[error("a set-up that can't be read")]
    Setup,
    /// It does not know a call.
    #[error("unknown call {0:?}")]
    UnknownCall(String),
    /// A mixer does not start.
    #[error("mixer {number}: {error}")]
    Mixer {
        /// Which.
        number: u32,
        /// Why.
        error: super::mixer::HollowMixerError,
    },
    /// The system.
    #[error(transparent)]
    System(#[from] io::Error),
}

fn start(setup: &HostSetup) -> Result<Vec<HollowMixer>, HostError> {
    let discovery = setup.discovery.parse().map_err(|_| HostError::Setup)?;
    let start = |number: &u32| {
        let (number, seed) = (
            *number,
            setup
                .seed
                .wrapping_mul(1_000_003)
                .wrapping_add(u64::from(*number)),
        );
        let mixer = MixerSetup {
            number,
            discovery,
            settings: setup.settings.clone(),
            seed,
        };
        HollowMixer::start(&mixer).map_err(|error| HostError::Mixer { number, error })
    };
    setup.numbers.iter().map(start).collect()
}

/// Runs a host until its standard input ends.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
    let mut lines = input.lines();
    let first = lines.next().ok_or(HostError::Setup)??;
    let setup: HostSetup = json::from_str(&first).map_err(|_| HostError::Setup)?;
    let mut mixers = start(&setup)?;
    for line in lines {
        match line?.trim() {
            REPORT => {
                let resident_bytes = usage::resident_bytes(None)?;
                let mixers = mixers.iter_mut().map(HollowMixer::report).collect();
                let report = HostReport {
                    resident_bytes,
                    mixers,
                };
                writeln!(output, "{}", json::to_string(&report))?;
                output.flush()?;
            }
            other => return Err(HostError::UnknownCall(other.to_string())),
        }
    }
    // All at once: each takes a moment to end.
    mixers.iter_mut().for_each(HollowMixer::request_stop);
    Ok(())
}
