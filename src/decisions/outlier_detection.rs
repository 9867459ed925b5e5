//! Outlier detection: finds attempts without an answer and ejects the replicas that do not respond.

use crate::decisions::api::Settings;
use crate::decisions::ejection::FAILURES_TO_EJECT;
use crate::decisions::idle_loss::IdleLosses;
use crate::decisions::latency::ServiceTimeEstimate;
use crate::decisions::learned_state::Statistics;
use crate::decisions::query::{Attempt, QueryTable};
use crate::decisions::replica::Replica;
use crate::decisions::replica_table::ReplicaTable;
use crate::decisions::stragglers::{AttemptId, Stragglers};
use crate::decisions::view::overdue_s;

/// An attempt is unresponsive when it has been in flight for this multiple of the overdue time and, in addition, for
/// `UNRESPONSIVE_PER_LATENCY` times the known latency of its replica.
const UNRESPONSIVE_PER_OVERDUE: f64 = 2.0;
/// Multiple of the replica's known latency after which an attempt is unresponsive.
const UNRESPONSIVE_PER_LATENCY: f64 = 2.0;
/// Rounding error of sums of times (seconds).
const ROUNDING_S: f64 = 1e-6;

/// The state of outlier detection beyond the statistics of the replicas.
pub(crate) struct OutlierDetector {
    pub(crate) stragglers: Stragglers,
    pub(crate) idle_losses: IdleLosses,
    has_new_failure: bool,
    version: u64,
}

/// The data for the check of one attempt without an answer.
struct UnansweredAttempt {
    measured_class: usize,
    sent_at: f64,
    connection_idle_s: f64,
    unresponsive_after_s: f64,
    objective_s: f64,
    now: f64,
}

impl OutlierDetector {
    /// Creates a detector without observations.
    pub(crate) fn new(now: f64) -> OutlierDetector {
        OutlierDetector {
            stragglers: Stragglers::default(),
            idle_losses: IdleLosses::new(now),
            has_new_failure: false,
            version: 0,
        }
    }

    /// Returns a version that changes with each start and end of an ejection.
    pub(crate) fn version(&self) -> u64 {
        self.version
    }

    /// Increments the version if an ejection has started or ended.
    pub(crate) fn count_change(&mut self, has_changed: bool) {
        self.version += u64::from(has_changed);
    }

    /// Records that a replica may have been ejected, so that the next periodic check covers all open queries.
    pub(crate) fn note_failure(&mut self) {
        self.has_new_failure = true;
    }

    /// Returns whether a replica may have been ejected since the last call.
    pub(crate) fn take_new_failure(&mut self) -> bool {
        std::mem::take(&mut self.has_new_failure)
    }

    /// Ejects replicas that do not respond, for one class if they still answer others. This detects replicas that hang, are
    /// partitioned from the network or drop one class. A stall of all replicas ejects all of them; the last holders of a
    /// shard stay in use nevertheless.
    pub(crate) fn eject_unresponsive(
        &mut self,
        queries: &mut QueryTable,
        replicas: &mut ReplicaTable,
        settings: &Settings,
        statistics: &Statistics,
        service_time: &ServiceTimeEstimate,
        now: f64,
    ) {
        let limits: Vec<f64> = (0..statistics.latencies.len())
            .map(|class| UNRESPONSIVE_PER_OVERDUE * overdue_s(settings, statistics, class))
            .collect();
        let min_limit = limits.iter().copied().fold(f64::MAX, f64::min);
        let sent_by = now - min_limit + ROUNDING_S;
        let is_in_flight = |id: &AttemptId| queries.is_in_flight(id.part, id.number);
        for id in self.stragglers.sent_by(sent_by, is_in_flight) {
            let part = queries
                .parts
                .get_mut(&id.part)
                .expect("parts in flight are in the table");
            let attempt = &mut part.attempts[id.number];
            let sent_at = attempt.sent_at + attempt.process_pause_s;
            let limit = limits[attempt.measured_class];
            if now - sent_at <= limit {
                continue;
            }
            self.note_failure();
            let Some(replica) = replicas.get_mut(attempt.replica) else {
                continue;
            };
            let relative_latency = replica.statistics.relative_latency.unwrap_or(0.0);
            let known_latency_s = service_time.average_s * relative_latency;
            let unanswered = UnansweredAttempt {
                measured_class: attempt.measured_class,
                sent_at,
                connection_idle_s: attempt.connection_idle_s,
                unresponsive_after_s: limit.max(UNRESPONSIVE_PER_LATENCY * known_latency_s),
                objective_s: settings.classes[attempt.measured_class].latency_objective_s,
                now,
            };
            self.eject_class(replica, attempt, &unanswered);
            self.eject_whole(replica, &unanswered);
        }
    }

    /// Counts an unanswered attempt against its replica's class, once.
    fn eject_class(
        &mut self,
        replica: &mut Replica,
        attempt: &mut Attempt,
        unanswered: &UnansweredAttempt,
    ) {
        if attempt.is_counted_unresponsive
            || unanswered.now - unanswered.sent_at <= unanswered.unresponsive_after_s
        {
            return;
        }
        attempt.is_counted_unresponsive = true;
        let statistics = &mut replica.statistics.classes[unanswered.measured_class];
        let weight = if statistics.last_answer_at > unanswered.sent_at {
            1
        } else {
            FAILURES_TO_EJECT
        };
        let ejection = &mut statistics.ejection;
        let has_changed = ejection.count_failure(unanswered.now, unanswered.objective_s, weight);
        self.count_change(has_changed);
        let answered_nothing = replica.statistics.last_answer_at <= unanswered.sent_at;
        if answered_nothing && self.idle_losses.part_lost(unanswered.connection_idle_s) {
            replica.lost_after_idle_s = Some(unanswered.connection_idle_s);
        }
    }

    /// Ejects the whole replica if it has answered nothing since the attempt was sent.
    fn eject_whole(&mut self, replica: &mut Replica, unanswered: &UnansweredAttempt) {
        let unanswered_since = replica.statistics.last_answer_at.max(unanswered.sent_at);
        let ejection = &mut replica.statistics.ejection;
        if unanswered.now - unanswered_since > unanswered.unresponsive_after_s
            && !ejection.is_ejected()
        {
            let has_changed =
                ejection.count_failure(unanswered.now, unanswered.objective_s, FAILURES_TO_EJECT);
            self.count_change(has_changed);
        }
    }
}
