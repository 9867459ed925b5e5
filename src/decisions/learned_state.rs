//! What an aggregator learns from traffic, in the form in which one process hands it to its successor.
//!
//! This file owns the names of these values on the wire: each `serde` name is part of the handover and must not change.
//! No decision is made here. Times are seconds on the clock that both processes share.

use crate::decisions::time_window;
use crate::decisions::wire_pair::wire_as_pair;
use miniserde::{Deserialize, Serialize};

/// Answers that make one reading of the queueing delay.
pub const ANSWERS_PER_READING: usize = 3;

/// Window over which the aggregator's own rate of sending is measured (seconds).
pub(crate) const SEND_RATE_WINDOW_S: f64 = 8.0;

/// Latency quantiles of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// Median latency (seconds).
    #[serde(rename = "usual")]
    pub median_s: f64,
    /// 95th percentile of the latency (seconds).
    #[serde(rename = "late")]
    pub p95_s: f64,
}

/// The health of a replica, or of a replica for one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ejection {
    /// Weighted failures that count against it; successes take them off.
    pub failures: u32,
    /// Set while it is ejected: when the next probe request may go there.
    #[serde(rename = "until")]
    pub next_probe_at: Option<f64>,
    /// Time between probe requests (seconds).
    #[serde(rename = "wait")]
    pub probe_interval_s: f64,
}

/// The queueing delay that one answer showed.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DelayReading {
    /// When it was answered.
    pub at: f64,
    /// Its latency above the least (seconds).
    pub delay_s: f64,
}

wire_as_pair!(DelayReading {
    at: f64,
    delay_s: f64
});

/// A decaying count of the queries of a tenant.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantQueries {
    /// The count at that time.
    pub count: f64,
    /// When it was last updated.
    pub updated_at: f64,
}

wire_as_pair!(TenantQueries {
    count: f64,
    updated_at: f64
});

impl TenantQueries {
    /// No query was counted yet.
    pub(crate) fn new(now: f64) -> TenantQueries {
        TenantQueries {
            count: 0.0,
            updated_at: now,
        }
    }
}

/// What was learned of a replica in one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassStatistics {
    /// Least latency seen (seconds): the baseline of the delay readings.
    #[serde(rename = "least")]
    pub min_latency_s: f64,
    /// Delays of the last answers, oldest first.
    #[serde(rename = "recent")]
    pub recent_delays: [DelayReading; ANSWERS_PER_READING],
    /// Admission price in tokens.
    pub price: f64,
    /// Start of the interval of the next delay reading.
    #[serde(rename = "since")]
    pub interval_started_at: f64,
    /// When the replica last answered a part of this class.
    #[serde(rename = "heard_at")]
    pub last_answer_at: f64,
    /// Health for this class.
    #[serde(rename = "bar")]
    pub ejection: Ejection,
}

impl ClassStatistics {
    /// Statistics of a class in which the replica has answered nothing yet.
    pub(crate) fn new(now: f64) -> Self {
        ClassStatistics {
            min_latency_s: f64::MAX,
            interval_started_at: now,
            last_answer_at: now,
            ..Default::default()
        }
    }
}

/// What was learned of a replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatistics {
    /// The start of the process that these statistics are about (0: long ago).
    pub started_at: f64,
    /// Smoothed latency, as a multiple of the average of all replicas at that time.
    #[serde(rename = "slower")]
    pub relative_latency: Option<f64>,
    /// Running share of its attempts that failed.
    #[serde(rename = "failing")]
    pub failure_rate: f64,
    /// When it last answered.
    #[serde(rename = "heard_at")]
    pub last_answer_at: f64,
    /// By class.
    #[serde(rename = "lanes")]
    pub classes: Vec<ClassStatistics>,
    /// Health of the replica as a whole.
    #[serde(rename = "bar")]
    pub ejection: Ejection,
    /// When discovery last changed its lifecycle.
    #[serde(rename = "told_at")]
    pub lifecycle_changed_at: f64,
    /// When attempts were sent there, within the overload window of the slow start.
    #[serde(rename = "sent")]
    pub sent_times: Vec<f64>,
}

/// What was learned of the traffic as a whole.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Statistics {
    /// Latencies by class.
    pub latencies: Vec<Latencies>,
    /// By class, the longest that a client was seen to wait on its first try (seconds).
    #[serde(rename = "usual_wait")]
    pub first_try_timeouts_s: Vec<f64>,
    /// By tenant.
    #[serde(rename = "asked")]
    pub tenant_queries: Vec<TenantQueries>,
    /// When queries and parts were accepted.
    #[serde(rename = "accepted")]
    pub accepted_times: Vec<f64>,
    /// When retries and hedged requests were sent.
    #[serde(rename = "further")]
    pub retry_times: Vec<f64>,
    /// When first attempts were sent: the load by which replicas in slow start are measured.
    #[serde(rename = "sent")]
    pub first_attempt_times: Vec<f64>,
    /// Hedged requests that may still be sent.
    #[serde(rename = "copies")]
    pub hedging_credit: f64,
}

impl Statistics {
    /// Counts an attempt sent at `at`; retries are kept for `retention_s`.
    pub(crate) fn count_attempt(&mut self, at: f64, is_retry: bool, now: f64, retention_s: f64) {
        if is_retry {
            time_window::add(&mut self.retry_times, at, now - retention_s);
        } else {
            time_window::add(&mut self.first_attempt_times, at, now - SEND_RATE_WINDOW_S);
        }
    }

    /// Counts a query or a part that was accepted now; it is kept for `retention_s`.
    pub(crate) fn count_accepted(&mut self, now: f64, retention_s: f64) {
        time_window::add(&mut self.accepted_times, now, now - retention_s);
    }

    /// First attempts within the last [`SEND_RATE_WINDOW_S`] before the latest of them.
    pub(crate) fn recent_first_attempts(&self) -> usize {
        let latest = self.first_attempt_times.last();
        latest.map_or(0, |latest| {
            time_window::count_since(&self.first_attempt_times, latest - SEND_RATE_WINDOW_S)
        })
    }
}

/// What was learned of one replica, for a successor.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedReplica {
    /// Its id in the process that learned this.
    pub id: u32,
    /// What was learned.
    pub statistics: ReplicaStatistics,
}

wire_as_pair!(LearnedReplica {
    id: u32,
    statistics: ReplicaStatistics
});

/// What an aggregator hands to its successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// What was learned of each replica.
    pub replicas: Vec<LearnedReplica>,
    /// What was learned of the traffic as a whole.
    #[serde(rename = "past")]
    pub statistics: Statistics,
}

/// Values by class or tenant after a change of settings: each is taken from its former index, or made anew.
pub(crate) fn remap<T: Clone>(
    former_indices: &[Option<usize>],
    values: &[T],
    new: impl Fn(usize) -> T,
) -> Vec<T> {
    let value_at = |(index, former): (usize, &Option<usize>)| {
        former
            .and_then(|former| values.get(former).cloned())
            .unwrap_or_else(|| new(index))
    };
    former_indices.iter().enumerate().map(value_at).collect()
}
