//! What a decision rests on: a read-only view of the aggregator's state at one time.
//!
//! This file owns the view and the few values that several decisions take from it. It must never change any state.

use crate::decisions::api::{ClassSettings, Effect, Settings};
use crate::decisions::latency::ServiceTimeEstimate;
use crate::decisions::learned_state::Statistics;
use crate::decisions::query::{Query, QueryTable};
use crate::decisions::replica_table::ReplicaTable;

/// Aggregators beyond which one is a small part of the load.
const FULL_SHARE_AGGREGATORS: f64 = 4.0;
/// A part in flight for this multiple of the 95th percentile is overdue.
const OVERDUE_PER_P95: f64 = 1.1;
/// Periodic checks that are kept clear before a final answer is due.
const CHECKS_BEFORE_DUE: f64 = 2.0;

/// The state of an aggregator, to read.
#[derive(Clone, Copy)]
pub(crate) struct View<'a> {
    pub(crate) settings: &'a Settings,
    pub(crate) replicas: &'a ReplicaTable,
    pub(crate) queries: &'a QueryTable,
    pub(crate) statistics: &'a Statistics,
    pub(crate) service_time: &'a ServiceTimeEstimate,
    /// Time in which what is known of one replica fades (seconds).
    pub(crate) decay_window_s: f64,
    /// Time between two periodic checks (seconds).
    pub(crate) check_interval_s: f64,
    pub(crate) now: f64,
}

impl View<'_> {
    /// The settings of a class.
    #[inline]
    pub(crate) fn class(&self, class: usize) -> &ClassSettings {
        &self.settings.classes[class]
    }

    /// Whether parts of the class may be repeated at will.
    #[inline]
    pub(crate) fn is_idempotent(&self, class: usize) -> bool {
        self.class(class).effect == Effect::Idempotent
    }

    /// This aggregator's part of the load: 1 among few aggregators, and little in a fleet.
    #[inline]
    pub(crate) fn own_load_share(&self) -> f64 {
        own_load_share(self.settings)
    }

    /// Age from which an attempt of the class is overdue (seconds).
    #[inline]
    pub(crate) fn overdue_s(&self, class: usize) -> f64 {
        overdue_s(self.settings, self.statistics, class)
    }

    /// Latest time for the final answer: shortly before it has no weight.
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

    /// When a partial answer earns more than waiting: just before the latency objective, less the time of a second step.
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

/// An aggregator's part of the load on the replicas, from 0 to 1.
#[inline]
pub(crate) fn own_load_share(settings: &Settings) -> f64 {
    (FULL_SHARE_AGGREGATORS / f64::from(settings.aggregators)).min(1.0)
}

/// Age from which an attempt of the class is overdue (seconds).
#[inline]
pub(crate) fn overdue_s(settings: &Settings, statistics: &Statistics, class: usize) -> f64 {
    let late_s = statistics.latencies[class].p95_s * OVERDUE_PER_P95;
    late_s.min(settings.classes[class].latency_objective_s)
}
