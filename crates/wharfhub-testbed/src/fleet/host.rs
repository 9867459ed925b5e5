//! Host process of some hollow mixers, and its protocol with the parent process.
//!
//! The parent writes one line of JSON with the setup, then a line `report` for each report, which the host answers with one line
//! of JSON. The host exits when its standard input is closed, so that no host outlives its parent.

use super::mixer::{HollowMixer, MixerReport, MixerSetup};
use super::usage;
use miniserde::{json, Deserialize, Serialize};
use std::io::{self, BufRead, Write};
use thiserror::Error;

/// Command that requests a report.
pub const REPORT_COMMAND: &str = "report";

/// Setup of a host process, sent as the first line.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostSetup {
    /// Numbers of the mixers to run.
    pub numbers: Vec<u32>,
    /// Address of discovery.
    pub discovery: String,
    /// Settings of all mixers, as JSON.
    pub settings: String,
    /// Seed from which the seeds of the mixers are derived.
    pub seed: u64,
}

/// Report of a host process.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostReport {
    /// Resident memory of the process (bytes).
    pub resident_bytes: u64,
    /// Reports of its mixers.
    pub mixers: Vec<MixerReport>,
}

/// Error that ends a host process.
#[derive(Debug, Error)]
pub enum HostError {
    /// The setup line is missing or invalid.
    #[error("cannot parse the setup line")]
    Setup,
    /// The parent sent an unknown command.
    #[error("unknown command {0:?}")]
    UnknownCommand(String),
    /// A mixer failed to start.
    #[error("mixer {number}: {error}")]
    Mixer {
        /// Number of the mixer.
        number: u32,
        /// Cause.
        error: super::mixer::HollowMixerError,
    },
    /// Reading or writing failed.
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

/// Runs a host process until its input is closed.
pub fn run(input: impl BufRead, mut output: impl Write) -> Result<(), HostError> {
    let mut lines = input.lines();
    let first = lines.next().ok_or(HostError::Setup)??;
    let setup: HostSetup = json::from_str(&first).map_err(|_| HostError::Setup)?;
    let mut mixers = start(&setup)?;
    for line in lines {
        match line?.trim() {
            REPORT_COMMAND => {
                let resident_bytes = usage::resident_bytes(None)?;
                let mixers = mixers.iter_mut().map(HollowMixer::report).collect();
                let report = HostReport {
                    resident_bytes,
                    mixers,
                };
                writeln!(output, "{}", json::to_string(&report))?;
                output.flush()?;
            }
            other => return Err(HostError::UnknownCommand(other.to_string())),
        }
    }
    // Signals all mixers before any of them is joined, so that they shut down in parallel.
    mixers.iter_mut().for_each(HollowMixer::request_stop);
    Ok(())
}
