//! Estimates of latency: quantiles by class, and the average service time over all replicas.

use crate::decisions::api::ClassSettings;
use crate::decisions::learned_state::{Latencies, Statistics, SEND_RATE_WINDOW_S};
use crate::decisions::time_window;

const MEDIAN: f64 = 0.5;
const LATE_QUANTILE: f64 = 0.95;
/// Relative step by which a quantile estimate moves with each answer.
const QUANTILE_STEP: f64 = 0.02;
/// Initial estimate of the median: the latency objective divided by this number.
const MEDIANS_PER_OBJECTIVE: f64 = 12.0;
/// Initial estimate of the 95th percentile: the latency objective divided by this number.
const P95S_PER_OBJECTIVE: f64 = 3.0;

/// Time constant of the average service time (latency objectives).
const AVERAGE_DECAY_OBJECTIVES: f64 = 0.33;
/// Largest weight of one answer in the average service time.
const MAX_ANSWER_WEIGHT: f64 = 0.2;
/// Least value of the average service time (seconds).
const MIN_AVERAGE_S: f64 = 1e-4;
/// Relative growth of the least average with each answer, so that it follows a lasting change.
const MIN_AVERAGE_GROWTH: f64 = 0.001;
/// Bounds of the ratio between the attempts in flight now and those in flight when the answered ones were sent.
const MIN_QUEUE_GROWTH: f64 = 0.25;
const MAX_QUEUE_GROWTH: f64 = 2.0;

/// Shortest decay window of the statistics of one replica (seconds).
pub(crate) const MIN_DECAY_WINDOW_S: f64 = 1.0;
/// Number of parts per replica that the decay window spans.
const PARTS_PER_DECAY_WINDOW: f64 = 6.0;

/// Moves a quantile estimate by one step. The estimate settles where a share `quantile` of the samples is smaller.
fn step_quantile(estimate: &mut f64, sample: f64, quantile: f64) {
    let direction = if sample > *estimate {
        quantile
    } else {
        quantile - 1.0
    };
    *estimate *= 1.0 + QUANTILE_STEP * direction;
}

impl Latencies {
    /// Returns the initial estimates, before any answer.
    pub(crate) fn initial(class: &ClassSettings) -> Latencies {
        Latencies {
            median_s: class.latency_objective_s / MEDIANS_PER_OBJECTIVE,
            p95_s: class.latency_objective_s / P95S_PER_OBJECTIVE,
        }
    }

    /// Records the latency of an answer (seconds).
    pub(crate) fn add(&mut self, latency_s: f64) {
        step_quantile(&mut self.median_s, latency_s, MEDIAN);
        step_quantile(&mut self.p95_s, latency_s, LATE_QUANTILE);
    }
}

/// The average service time over all replicas, and the queue length that the answered attempts found.
///
/// An answer shows the queue at the time its attempt was sent, one latency ago. The ratio between the attempts in flight
/// now and those in flight then shows how the queue has changed since.
pub(crate) struct ServiceTimeEstimate {
    /// Average service time (seconds).
    pub(crate) average_s: f64,
    /// Lowest recent value of the average (seconds), which is the part of the latency without queueing.
    min_average_s: f64,
    updated_at: f64,
    in_flight: u32,
    /// Attempts in flight when the answered ones were sent, averaged like the service time.
    in_flight_when_sent: f64,
}

impl Default for ServiceTimeEstimate {
    fn default() -> ServiceTimeEstimate {
        ServiceTimeEstimate {
            average_s: MIN_AVERAGE_S,
            min_average_s: f64::MAX,
            updated_at: 0.0,
            in_flight: 0,
            in_flight_when_sent: 0.0,
        }
    }
}

impl ServiceTimeEstimate {
    /// Counts an attempt that is sent, and returns the number of other attempts in flight.
    pub(crate) fn attempt_sent(&mut self) -> u32 {
        self.in_flight += 1;
        self.in_flight - 1
    }

    /// Counts the end of an attempt.
    pub(crate) fn attempt_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Records an answer with the given latency; `in_flight_when_sent` is the value that [`Self::attempt_sent`] returned
    /// for the attempt.
    pub(crate) fn add_answer(
        &mut self,
        now: f64,
        latency_s: f64,
        in_flight_when_sent: u32,
        objective_s: f64,
    ) {
        let elapsed = now - self.updated_at;
        let decayed = 1.0 - (-elapsed / (AVERAGE_DECAY_OBJECTIVES * objective_s)).exp();
        let is_first = self.updated_at == 0.0;
        let weight = if is_first {
            1.0
        } else {
            decayed.min(MAX_ANSWER_WEIGHT)
        };
        self.average_s =
            (self.average_s + weight * (latency_s - self.average_s)).max(MIN_AVERAGE_S);
        self.in_flight_when_sent +=
            weight * (f64::from(in_flight_when_sent) - self.in_flight_when_sent);
        self.min_average_s = self.min_average_s.min(self.average_s) * (1.0 + MIN_AVERAGE_GROWTH);
        self.updated_at = now;
    }

    /// Predicts the latency of an attempt sent now, from a latency that earlier answers showed (seconds).
    ///
    /// `load_share` is this aggregator's share of the load, from 0 to 1. The queues depend on its own number of attempts in
    /// flight only to that extent.
    #[inline]
    pub(crate) fn predict(&self, observed_s: f64, load_share: f64) -> f64 {
        let growth = (f64::from(self.in_flight) + 1.0) / (self.in_flight_when_sent + 1.0);
        let growth = growth.clamp(MIN_QUEUE_GROWTH, MAX_QUEUE_GROWTH);
        let without_queue = self.min_average_s.min(observed_s);
        without_queue + (observed_s - without_queue) * (1.0 + load_share * (growth - 1.0))
    }
}

/// Returns the decay window of the statistics of one replica (seconds). The window spans several parts per replica, because
/// in a large deployment the parts that one replica receives are seconds apart.
pub(crate) fn decay_window_s(statistics: &Statistics, listed_replicas: usize, now: f64) -> f64 {
    let accepted = time_window::count_since(&statistics.accepted_times, now - SEND_RATE_WINDOW_S);
    let window = PARTS_PER_DECAY_WINDOW * SEND_RATE_WINDOW_S * listed_replicas as f64
        / accepted.max(1) as f64;
    MIN_DECAY_WINDOW_S.max(window)
}

#[cfg(test)]
mod tests;
