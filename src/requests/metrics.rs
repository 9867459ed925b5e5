//! Counters of requests and attempts since the start of the process, and the labels of reasons and outcomes in metrics and
//! answers. No counter ever decreases.

use crate::decisions::api::Outcome;
use crate::requests::response::Reason;
use std::collections::BTreeMap;

/// Maximum number of classes with counters. Classes that were removed from the settings keep their counters, so that no
/// counter decreases.
const MAX_CLASSES: usize = 200;

/// Increments the counter of a kind.
pub fn increment<K: Ord>(counts: &mut BTreeMap<K, u64>, kind: K) {
    *counts.entry(kind).or_default() += 1;
}

fn add_counts<K: Ord + Copy>(counts: &mut BTreeMap<K, u64>, more: &BTreeMap<K, u64>) {
    for (kind, more) in more {
        *counts.entry(*kind).or_default() += more;
    }
}

impl Reason {
    /// Returns the label in metrics and answers; clients and operators rely on these labels.
    pub fn label(self) -> &'static str {
        match self {
            Reason::Overload => "overload",
            Reason::TooManyOpen => "held",
            Reason::StaleList => "stale_list",
            Reason::Abandoned => "given_up",
            Reason::DeadlineExceeded => "time_up",
            Reason::Incomplete => "not_whole",
            Reason::ReadAhead => "read_ahead",
        }
    }
}

impl Outcome {
    /// Returns the label in metrics and answers; clients and operators rely on these labels.
    pub fn label(self) -> &'static str {
        match self {
            Outcome::Ok => "ok",
            Outcome::Matches => "matches",
            Outcome::Error => "error",
            Outcome::Rejected => "full",
            Outcome::TimedOut => "timed_out",
            Outcome::ConnectFailed => "connect_failed",
            Outcome::Reset => "reset",
            Outcome::Cancelled => "cancelled",
            Outcome::Superseded => "moot",
        }
    }
}

/// Counters of one class's requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClassMetrics {
    /// Requests answered, completely or in part.
    pub answered: u64,
    /// Requests rejected.
    pub rejected: u64,
    /// Requests failed.
    pub failed: u64,
    /// Answered requests whose answer was partial.
    pub partial: u64,
    /// Answered requests whose answer was within the latency objective of the class.
    pub within_objective: u64,
    /// Requests whose clients disconnected before the answer.
    pub client_disconnected: u64,
}

/// Counters of one protocol's requests since the start of the process.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Metrics {
    /// Counters by class name, present from the time at which the settings first contain the class.
    pub classes: BTreeMap<String, ClassMetrics>,
    /// Attempts written completely to a replica.
    pub sent_attempts: u64,
    /// Requests rejected, by reason.
    pub rejected: BTreeMap<Reason, u64>,
    /// Requests failed, by reason.
    pub failed: BTreeMap<Reason, u64>,
    /// Attempts that ended, by outcome.
    pub attempts: BTreeMap<Outcome, u64>,
    /// Retries, by the outcome of the previous attempt; `None` stands for hedged requests, whose previous attempt is in
    /// flight.
    pub retries: BTreeMap<Option<Outcome>, u64>,
}

impl Metrics {
    /// Adds counters for these classes, up to the maximum number of classes.
    pub fn track_classes(&mut self, classes: &[String]) {
        for class in classes {
            if self.classes.len() < MAX_CLASSES && !self.classes.contains_key(class) {
                self.classes.insert(class.clone(), ClassMetrics::default());
            }
        }
    }

    /// Adds the counters of another protocol.
    pub fn add(&mut self, other: &Metrics) {
        self.sent_attempts += other.sent_attempts;
        add_counts(&mut self.rejected, &other.rejected);
        add_counts(&mut self.failed, &other.failed);
        add_counts(&mut self.attempts, &other.attempts);
        add_counts(&mut self.retries, &other.retries);
        for (class, more) in &other.classes {
            let sum = self.classes.entry(class.clone()).or_default();
            sum.answered += more.answered;
            sum.rejected += more.rejected;
            sum.failed += more.failed;
            sum.partial += more.partial;
            sum.within_objective += more.within_objective;
            sum.client_disconnected += more.client_disconnected;
        }
    }
}
