//! The state that an aggregator learns from traffic and hands to its successor process.
//!
//! The `serde` names are part of the handover format and must not change. Times are seconds on the clock that both
//! processes share.

use crate::decisions::time_window;
use crate::decisions::wire_pair::wire_as_pair;
use miniserde::{Deserialize, Serialize};

/// Number of answers in one reading of the queueing delay.
pub const ANSWERS_PER_READING: usize = 3;

/// Window over which the aggregator's own send rate is measured (seconds).
pub(crate) const SEND_RATE_WINDOW_S: f64 = 8.0;

/// The latency quantiles of a class.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Latencies {
    /// Median latency (seconds).
    #[serde(rename = "usual")]
    pub median_s: f64,
    /// 95th percentile of the latency (seconds).
    #[serde(rename = "late")]
    pub p95_s: f64,
}

/// The health of a replica, as a whole or for one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Ejection {
    /// Weighted count of failures, which successes reduce.
    pub failures: u32,
    /// Time of the next probe request; `None` unless the replica is ejected.
    #[serde(rename = "until")]
    pub next_probe_at: Option<f64>,
    /// Time between probe requests (seconds).
    #[serde(rename = "wait")]
    pub probe_interval_s: f64,
}

/// The queueing delay of one answer.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct DelayReading {
    /// Time at which the answer arrived.
    pub at: f64,
    /// Latency above the least latency (seconds).
    pub delay_s: f64,
}

wire_as_pair!(DelayReading {
    at: f64,
    delay_s: f64
});

/// A decaying count of a tenant's queries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TenantQueries {
    /// Count at the time of the last update.
    pub count: f64,
    /// Time of the last update.
    pub updated_at: f64,
}

wire_as_pair!(TenantQueries {
    count: f64,
    updated_at: f64
});

impl TenantQueries {
    /// Creates a count of 0.
    pub(crate) fn new(now: f64) -> TenantQueries {
        TenantQueries {
            count: 0.0,
            updated_at: now,
        }
    }
}

/// The statistics of a replica for one class.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ClassStatistics {
    /// Least latency seen (seconds), the baseline of the delay readings.
    #[serde(rename = "least")]
    pub min_latency_s: f64,
    /// Queueing delays of the latest answers, oldest first.
    #[serde(rename = "recent")]
    pub recent_delays: [DelayReading; ANSWERS_PER_READING],
    /// Admission price (tokens).
    pub price: f64,
    /// Start of the interval of the next delay reading.
    #[serde(rename = "since")]
    pub interval_started_at: f64,
    /// Time of the replica's last answer in this class.
    #[serde(rename = "heard_at")]
    pub last_answer_at: f64,
    /// Health of the replica for this class.
    #[serde(rename = "bar")]
    pub ejection: Ejection,
}

impl ClassStatistics {
    /// Creates the statistics of a class in which the replica has answered nothing yet.
    pub(crate) fn new(now: f64) -> Self {
        ClassStatistics {
            min_latency_s: f64::MAX,
            interval_started_at: now,
            last_answer_at: now,
            ..Default::default()
        }
    }
}

/// The statistics of a replica.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct ReplicaStatistics {
    /// Start time of the process that the statistics belong to; 0 if it started long ago.
    pub started_at: f64,
    /// Smoothed latency, as a multiple of the average over all replicas at the time of each answer.
    #[serde(rename = "slower")]
    pub relative_latency: Option<f64>,
    /// Smoothed share of the replica's answers that are errors.
    #[serde(rename = "failing")]
    pub failure_rate: f64,
    /// Time of the last answer.
    #[serde(rename = "heard_at")]
    pub last_answer_at: f64,
    /// Statistics by class.
    #[serde(rename = "lanes")]
    pub classes: Vec<ClassStatistics>,
    /// Health of the replica as a whole.
    #[serde(rename = "bar")]
    pub ejection: Ejection,
    /// Time at which discovery last changed the replica's lifecycle.
    #[serde(rename = "told_at")]
    pub lifecycle_changed_at: f64,
    /// Send times of attempts, within the overload window of the slow start.
    #[serde(rename = "sent")]
    pub sent_times: Vec<f64>,
}

/// The statistics of all traffic.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Statistics {
    /// Latency quantiles by class.
    pub latencies: Vec<Latencies>,
    /// Longest timeout of a client's first request for a query, by class (seconds).
    #[serde(rename = "usual_wait")]
    pub first_request_timeouts_s: Vec<f64>,
    /// Decaying counts of queries, by tenant.
    #[serde(rename = "asked")]
    pub tenant_queries: Vec<TenantQueries>,
    /// Times at which queries and parts were accepted.
    #[serde(rename = "accepted")]
    pub accepted_times: Vec<f64>,
    /// Send times of retries and hedged requests.
    #[serde(rename = "further")]
    pub retry_times: Vec<f64>,
    /// Send times of first attempts, which give the load that the limits of the slow start are derived from.
    #[serde(rename = "sent")]
    pub first_attempt_times: Vec<f64>,
    /// Number of hedged requests that may still be sent.
    #[serde(rename = "copies")]
    pub hedging_credit: f64,
}

impl Statistics {
    /// Counts an attempt sent at `at`. Send times of retries are kept for `retention_s`.
    pub(crate) fn count_attempt(&mut self, at: f64, is_retry: bool, now: f64, retention_s: f64) {
        if is_retry {
            time_window::add(&mut self.retry_times, at, now - retention_s);
        } else {
            time_window::add(&mut self.first_attempt_times, at, now - SEND_RATE_WINDOW_S);
        }
    }

    /// Counts a query or a part that is accepted now. The time is kept for `retention_s`.
    pub(crate) fn count_accepted(&mut self, now: f64, retention_s: f64) {
        time_window::add(&mut self.accepted_times, now, now - retention_s);
    }

    /// Returns the number of first attempts in the last [`SEND_RATE_WINDOW_S`] before the latest one.
    pub(crate) fn recent_first_attempts(&self) -> usize {
        let latest = self.first_attempt_times.last();
        latest.map_or(0, |latest| {
            time_window::count_since(&self.first_attempt_times, latest - SEND_RATE_WINDOW_S)
        })
    }
}

/// The statistics of one replica, with its id.
#[derive(Clone, Debug, PartialEq)]
pub struct LearnedReplica {
    /// Id of the replica in the process that collected the statistics.
    pub id: u32,
    /// Statistics of the replica.
    pub statistics: ReplicaStatistics,
}

wire_as_pair!(LearnedReplica {
    id: u32,
    statistics: ReplicaStatistics
});

/// The state that an aggregator hands to its successor.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LearnedState {
    /// Statistics of each replica.
    pub replicas: Vec<LearnedReplica>,
    /// Statistics of all traffic.
    #[serde(rename = "past")]
    pub statistics: Statistics,
}

/// Rearranges values by class or tenant after a change of settings: takes each from its former index, or creates it with
/// `new`.
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
