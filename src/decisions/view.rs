//! A read-only view of the aggregator's state, and values that several decisions derive from it.

use crate::decisions::api::{ClassSettings, Effect, Settings};
use crate::decisions::latency::ServiceTimeEstimate;
use crate::decisions::learned_state::Statistics;
use crate::decisions::query::{Query, QueryTable};
use crate::decisions::replica_table::ReplicaTable;

/// Number of aggregators up to which each is assumed to determine the load on the replicas.
const FULL_SHARE_AGGREGATORS: f64 = 4.0;
/// Age from which an attempt is overdue, as a multiple of the 95th percentile of the latency.
const OVERDUE_PER_P95: f64 = 1.1;
/// Number of periodic checks by which an answer is given before the time at which it loses weight.
const CHECKS_BEFORE_DUE: f64 = 2.0;

/// The state of an aggregator that decisions are based on.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) replicas: &'a ReplicaTable,
    pub(crate) queries: &'a QueryTable,
    pub(crate) statistics: &'a Statistics,
    pub(crate) service_time: &'a ServiceTimeEstimate,
    /// Time constant with which the statistics of one replica lose weight (seconds).
    pub(crate) decay_window_s: f64,
    /// Time between two periodic checks (seconds).
    pub(crate) check_interval_s: f64,
    pub(crate) now: f64,
}

impl View<'_> {
    /// Returns the settings of a class.
    #[inline]
    pub(crate) fn class(&self, class: usize) -> &ClassSettings {
        &self.settings.classes[class]
    }

    /// Returns whether parts of the class may be repeated any number of times.
    #[inline]
    pub(crate) fn is_idempotent(&self, class: usize) -> bool {
        self.class(class).effect == Effect::Idempotent
    }

    /// Returns this aggregator's share of the load: 1 among few aggregators, and less in a fleet.
    #[inline]
    pub(crate) fn own_load_share(&self) -> f64 {
        own_load_share(self.settings)
    }

    /// Returns the age from which an attempt of the class is overdue (seconds).
    #[inline]
    pub(crate) fn overdue_s(&self, class: usize) -> f64 {
        overdue_s(self.settings, self.statistics, class)
    }

    /// Returns the latest time for the final answer, shortly before an answer has no more weight.
    #[inline]
    pub(crate) fn final_answer_due(&self, query: &Query) -> f64 {
        let has_weight_when_late = self.class(query.class).late_weight > 0.0;
        let worthless_at = if has_weight_when_late {
            query.deadline
        } else {
            query.objective_at.min(query.deadline)
        };
        worthless_at - CHECKS_BEFORE_DUE * self.check_interval_s
    }

    /// Returns the time from which a partial answer is better than waiting: shortly before the latency objective, minus the
    /// time that a second step needs.
    pub(crate) fn partial_answer_due(&self, query: &Query) -> f64 {
        let class = self.class(query.class);
        let has_second_step = class.second_step_parts > 0 && !query.is_in_second_step;
        let second_step_s =
            (2.0 * self.overdue_s(query.class)).min(class.latency_objective_s / 2.0);
        let can_meet_objective =
            query.objective_at > query.arrived_at && query.objective_at < query.deadline;
        let due = if can_meet_objective {
            query.objective_at
        } else {
            query.deadline
        };
        let reserve_s = if has_second_step { second_step_s } else { 0.0 };
        due - CHECKS_BEFORE_DUE * self.check_interval_s - reserve_s
    }
}

/// Returns an aggregator's assumed share of the load on the replicas, from 0 to 1.
#[inline]
pub(crate) fn own_load_share(settings: &Settings) -> f64 {
    (FULL_SHARE_AGGREGATORS / f64::from(settings.aggregators)).min(1.0)
}

/// Returns the age from which an attempt of the class is overdue (seconds).
#[inline]
pub(crate) fn overdue_s(settings: &Settings, statistics: &Statistics, class: usize) -> f64 {
    let late_s = statistics.latencies[class].p95_s * OVERDUE_PER_P95;
    late_s.min(settings.classes[class].latency_objective_s)
}
