//! Updates the statistics of replicas and classes from the end of each attempt.
//!
//! Results in one class do not count for the health of a replica in another class.

use crate::decisions::api::{Outcome, Settings};
use crate::decisions::ejection::FAILURES_TO_EJECT;
use crate::decisions::latency::ServiceTimeEstimate;
use crate::decisions::learned_state::Statistics;
use crate::decisions::outlier_detection::OutlierDetector;
use crate::decisions::price::{PriceIntervals, PricedClass};
use crate::decisions::query::Attempt;
use crate::decisions::replica::{Replica, SMOOTHING};
use crate::decisions::replica_table::ReplicaTable;
use crate::decisions::view::overdue_s;

/// An attempt that has ended.
pub(crate) struct EndedAttempt {
    pub(crate) attempt: Attempt,
    /// Class of the part; a pre-check is counted for another class.
    pub(crate) part_class: usize,
    /// Time in flight without the pauses of this process (seconds).
    pub(crate) latency_s: f64,
    pub(crate) outcome: Outcome,
}

/// The parts of an aggregator's state that change when an attempt ends.
pub(crate) struct OutcomeRecorder<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) statistics: &'a mut Statistics,
    pub(crate) service_time: &'a mut ServiceTimeEstimate,
    pub(crate) outliers: &'a mut OutlierDetector,
    pub(crate) prices: &'a mut PriceIntervals,
    pub(crate) now: f64,
}

impl OutcomeRecorder<'_> {
    /// Records the end of an attempt. Must be called exactly once for each attempt.
    pub(crate) fn attempt_ended(&mut self, replicas: &mut ReplicaTable, ended: &EndedAttempt) {
        let Some(replica) = replicas.get_mut(ended.attempt.replica) else {
            return;
        };
        replica.part_ended(self.now, ended.attempt.sent_at);
        replica.has_answered_last = matches!(
            ended.outcome,
            Outcome::Ok | Outcome::Matches | Outcome::Error | Outcome::Rejected
        );
        match ended.outcome {
            Outcome::Ok | Outcome::Matches => self.record_served(replica, ended),
            Outcome::Rejected => self.record_rejected(replica, ended),
            Outcome::TimedOut | Outcome::Cancelled => self.record_unanswered(replica, ended),
            Outcome::ConnectFailed | Outcome::Reset => self.record_connection_lost(replica, ended),
            Outcome::Error => self.record_error(replica, ended),
            Outcome::Superseded => {}
        }
    }

    fn objective_s(&self, ended: &EndedAttempt) -> f64 {
        self.settings.classes[ended.attempt.measured_class].latency_objective_s
    }

    fn record_served(&mut self, replica: &mut Replica, ended: &EndedAttempt) {
        let attempt = &ended.attempt;
        let measured_class = attempt.measured_class;
        self.statistics.latencies[measured_class].add(ended.latency_s);
        replica.statistics.failure_rate -= SMOOTHING * replica.statistics.failure_rate;
        let lost_idle_s = replica.lost_after_idle_s.take();
        self.outliers
            .idle_losses
            .part_served(self.now, attempt.connection_idle_s, lost_idle_s);
        let statistics = &mut replica.statistics.classes[measured_class];
        let min_latency_s = statistics.min_latency_s.min(ended.latency_s);
        statistics.min_latency_s = min_latency_s;
        statistics.last_answer_at = self.now;
        let returns_to_class = statistics.ejection.count_success();
        let returns_as_whole = replica.statistics.ejection.count_success();
        self.outliers
            .count_change(returns_to_class | returns_as_whole);
        self.add_latency(replica, ended, min_latency_s);
        replica.statistics.last_answer_at = self.now;
        self.add_delay(replica, ended, ended.latency_s - min_latency_s);
    }

    /// Records the latency of an answer. The latency of a pre-check is converted to that of a full attempt by adding the
    /// difference between the least latencies of the two, since both wait in the same queue.
    fn add_latency(&mut self, replica: &mut Replica, ended: &EndedAttempt, min_latency_s: f64) {
        let is_pre_check = ended.attempt.measured_class != ended.part_class;
        let latency_s = if is_pre_check {
            let min_full_latency_s = replica.statistics.classes[ended.part_class].min_latency_s;
            min_full_latency_s + ended.latency_s - min_latency_s
        } else {
            ended.latency_s
        };
        // No full attempt has been answered yet.
        if latency_s >= f64::MAX {
            return;
        }
        let objective_s = self.objective_s(ended);
        let in_flight = ended.attempt.in_flight_when_sent;
        self.service_time
            .add_answer(self.now, latency_s, in_flight, objective_s);
        replica.add_relative_latency(self.now, latency_s / self.service_time.average_s);
    }

    /// Records a rejection as a latency of one latency objective: the rejection arrives fast, but shows that the replica's
    /// queue is full.
    fn record_rejected(&mut self, replica: &mut Replica, ended: &EndedAttempt) {
        let objective_s = self.objective_s(ended);
        replica.add_relative_latency(self.now, objective_s / self.service_time.average_s);
        self.add_delay(replica, ended, objective_s);
    }

    fn add_delay(&mut self, replica: &mut Replica, ended: &EndedAttempt, delay_s: f64) {
        let objective_s = self.objective_s(ended);
        let class = ended.attempt.measured_class;
        let statistics = &mut replica.statistics.classes[class];
        let former_end = statistics.interval_end(objective_s);
        statistics.add_delay(self.now, delay_s);
        let interval_end = statistics.interval_end(objective_s);
        if interval_end != former_end {
            let replica = ended.attempt.replica;
            self.prices
                .move_end(interval_end, PricedClass { replica, class });
        }
    }

    fn record_unanswered(&mut self, replica: &mut Replica, ended: &EndedAttempt) {
        let attempt = &ended.attempt;
        let objective_s = self.objective_s(ended);
        let overdue_s = overdue_s(self.settings, self.statistics, attempt.measured_class);
        let statistics = &mut replica.statistics.classes[attempt.measured_class];
        let is_counted_unresponsive =
            statistics.last_answer_at < attempt.sent_at && ended.latency_s > overdue_s;
        if ended.outcome == Outcome::TimedOut || is_counted_unresponsive {
            self.outliers.note_failure();
            let has_changed = statistics.ejection.count_failure(self.now, objective_s, 1);
            self.outliers.count_change(has_changed);
        }
        let min_relative = ended.latency_s.min(objective_s) / self.service_time.average_s;
        let known = replica.statistics.relative_latency;
        if known.is_none_or(|known| min_relative > known) {
            replica.add_relative_latency(self.now, min_relative);
        }
    }

    fn record_connection_lost(&mut self, replica: &mut Replica, ended: &EndedAttempt) {
        let objective_s = self.objective_s(ended);
        self.outliers.note_failure();
        let ejection = &mut replica.statistics.ejection;
        let has_changed = ejection.count_failure(self.now, objective_s, FAILURES_TO_EJECT);
        self.outliers.count_change(has_changed);
    }

    fn record_error(&mut self, replica: &mut Replica, ended: &EndedAttempt) {
        let objective_s = self.objective_s(ended);
        let statistics = &mut replica.statistics;
        statistics.failure_rate += SMOOTHING * (1.0 - statistics.failure_rate);
        statistics.last_answer_at = self.now;
        self.outliers.note_failure();
        let ejection = &mut statistics.classes[ended.attempt.measured_class].ejection;
        let has_changed = ejection.count_failure(self.now, objective_s, 1);
        self.outliers.count_change(has_changed);
    }
}
