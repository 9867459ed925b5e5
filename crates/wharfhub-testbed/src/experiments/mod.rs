//! Experiments: each plays scenarios, prints its table, leaves CSV and charts, and says whether it falls shortfalls.

mod data_path;
mod decisions;
mod deployments;
mod scale;
mod soak;
mod tail;
mod two_phase;

use crate::report::ReportError;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use thiserror::Error;

/// How an experiment is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Shorter, within 40 s.
    pub quick: bool,
    /// The first seed.
    pub seed: u64,
    /// Where files go.
    pub out: PathBuf,
    /// On sockets, against the daemon.
    pub real: bool,
    /// Only this part, where it has parts.
    pub part: Option<String>,
}

/// Why an experiment has no result.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// Its settings are not taken.
    #[error(transparent)]
    Settings(#[from] wharfhub::config::SettingsError),
    /// Its result can't be shown.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// Its fleet can't be had.
    #[error(transparent)]
    Fleet(#[from] crate::fleet::FleetError),
    /// The system.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Anything else.
    #[error("{0}")]
    Other(String),
}

/// What falls shortfalls, in a few words; none where all is well.
pub type Verdict = Result<Option<String>, ExperimentError>;

/// An experiment.
pub struct Experiment {
    /// Its name.
    pub name: &'static str,
    /// What it shows.
    pub description: &'static str,
    /// Runs it.
    pub run: fn(&Options) -> Verdict,
}

/// All of them.
pub const ALL: [Experiment; 7] = [
    Experiment {
        name: "data-path",
        description: "the daemon's CPU for a query, by the number of its parts",
        run: data_path::run,
    },
    Experiment {
        name: "decisions",
        description: "the CPU of a decision, by rate and by number of boxes",
        run: decisions::run,
    },
    Experiment {
        name: "deployments",
        description: "both kinds of deployment on quiet days and with each of their troubles",
        run: deployments::run,
    },
    Experiment {
        name: "scale",
        description:
            "memory, CPU, messages and time for a change by mixers, servers and changes a second",
        run: scale::run,
    },
    Experiment {
        name: "soak",
        description:
            "real daemons under random faults that overlap in time, judged by the operators' rules",
        run: soak::run,
    },
    Experiment {
        name: "tail",
        description:
            "180 answers with slow leaf servers: queries in time, and what second copies cost",
        run: tail::run,
    },
    Experiment {
        name: "two-phase",
        description:
            "work saved and service kept with queries in two phases, on and off side by side",
        run: two_phase::run,
    },
];

/// Runs the jobs on all cores; results stand in the order of the jobs.
pub fn parallel<T: Sync, R: Send>(jobs: &[T], work: impl Fn(&T) -> R + Sync) -> Vec<R> {
    let (next, results) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    let threads = std::thread::available_parallelism()
        .map_or(1, usize::from)
        .min(jobs.len().max(1));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| loop {
                let index = next.fetch_add(1, Ordering::Relaxed);
                let Some(job) = jobs.get(index) else { return };
                let result = work(job);
                results
                    .lock()
                    .unwrap_or_else(|poisoned| poisoned.into_inner())
                    .push((index, result));
            });
        }
    });
    let mut results = results
        .into_inner()
        .unwrap_or_else(|poisoned| poisoned.into_inner());
    results.sort_by_key(|(index, _)| *index);
    results.into_iter().map(|(_, result)| result).collect()
}
