//! Experiments. Each runs scenarios, prints a table, writes CSV files and charts, and reports which of its criteria it misses.

mod data_path;
mod decisions;
mod deployments;
mod flood;
mod scale;
mod soak;
mod tail;
mod two_phase;

use crate::report::ReportError;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use thiserror::Error;

/// Options of an experiment's run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Runs a shorter form, within 40 s.
    pub quick: bool,
    /// First seed.
    pub seed: u64,
    /// Directory of the result files.
    pub out: PathBuf,
    /// Runs on sockets against the daemon instead of in virtual time.
    pub real: bool,
    /// Runs only this part of an experiment that has parts.
    pub part: Option<String>,
}

/// Error that keeps an experiment from a result.
#[derive(Debug, Error)]
pub enum ExperimentError {
    /// The settings of a scenario are invalid.
    #[error(transparent)]
    Settings(#[from] wharfhub::config::SettingsError),
    /// A result file could not be written.
    #[error(transparent)]
    Report(#[from] ReportError),
    /// The fleet failed.
    #[error(transparent)]
    Fleet(#[from] crate::fleet::FleetError),
    /// A system call failed.
    #[error("{0}")]
    Io(#[from] std::io::Error),
    /// Any other error, as text.
    #[error("{0}")]
    Other(String),
}

/// Result of an experiment: the criteria that it misses, as text, or `None` if it meets all of them.
pub type Verdict = Result<Option<String>, ExperimentError>;

/// Experiment that the command line can run.
pub struct Experiment {
    /// Name on the command line.
    pub name: &'static str,
    /// Description for `list`.
    pub description: &'static str,
    /// Function that runs the experiment.
    pub run: fn(&Options) -> Verdict,
}

/// All experiments, sorted by name.
pub const ALL: [Experiment; 8] = [
    Experiment {
        name: "data-path",
        description: "the daemon's CPU for a query, by the number of its parts",
        run: data_path::run,
    },
    Experiment {
        name: "decisions",
        description: "the CPU of a decision, by query rate and by number of leaf servers",
        run: decisions::run,
    },
    Experiment {
        name: "deployments",
        description: "service of both deployments without faults and with each kind of fault",
        run: deployments::run,
    },
    Experiment {
        name: "flood",
        description: "answers to other clients and memory of a real mixer while one kind of peer floods it",
        run: flood::run,
    },
    Experiment {
        name: "scale",
        description:
            "memory, CPU, messages and propagation time by mixers, servers and changes per second",
        run: scale::run,
    },
    Experiment {
        name: "soak",
        description:
            "real daemons under random overlapping faults, checked against the operators' rules",
        run: soak::run,
    },
    Experiment {
        name: "tail",
        description:
            "queries of 180 parts with slow leaf servers: share in time, and cost of hedged requests",
        run: tail::run,
    },
    Experiment {
        name: "two-phase",
        description:
            "work saved and service with queries in two phases, compared with one phase",
        run: two_phase::run,
    },
];

/// Runs the jobs in parallel on all cores and returns the results in the order of the jobs.
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
