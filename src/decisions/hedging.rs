//! Hedged requests: which parts are late enough for a second attempt in parallel to the first, and how many such attempts
//! may be sent.

use crate::decisions::learned_state::Statistics;
use crate::decisions::query::{Attempt, Query};
use crate::decisions::query_progress::AttemptGroup;
use crate::decisions::retry;
use crate::decisions::view::{own_load_share, View};

/// Credit for hedged requests added by each first attempt.
const CREDIT_PER_ATTEMPT: f64 = 0.1;
/// Largest credit in a small deployment, and largest credit per replica in a larger one.
const MAX_CREDIT: f64 = 10.0;
const MAX_CREDIT_PER_REPLICA: f64 = 0.2;
/// Share of the retry budget that is reserved for retries after failures.
const BUDGET_SHARE_FOR_FAILURES: f64 = 0.5;
/// In a fleet, the age from which a part may be hedged (latency objectives).
const FLEET_HEDGE_OBJECTIVES: f64 = 0.5;
/// A part at an ejected replica is late after this share of the overdue time.
const EJECTED_OVERDUE_SHARE: f64 = 0.5;
/// Rounding error of sums of times (seconds).
const ROUNDING_S: f64 = 1e-6;

/// Adds the credit for a first attempt.
pub(crate) fn add_credit(statistics: &mut Statistics, listed_replicas: usize) {
    let max_credit = MAX_CREDIT.max(MAX_CREDIT_PER_REPLICA * listed_replicas as f64);
    statistics.hedging_credit = (statistics.hedging_credit + CREDIT_PER_ATTEMPT).min(max_credit);
}

/// Returns whether late parts get no further attempt at present, because credit or retry budget is used up.
pub(crate) fn is_suspended(view: &View) -> bool {
    view.statistics.hedging_credit < 1.0
        || !retry::is_within_budget(view, 1.0 - BUDGET_SHARE_FOR_FAILURES)
}

/// Returns the age from which a part of the class may be hedged (seconds). In a fleet a hedged request is sent as late as
/// it can still be answered in time, because the hedged requests of all aggregators add load to the other holders of a slow
/// replica's shards.
fn min_hedge_age_s(view: &View, class: usize) -> f64 {
    FLEET_HEDGE_OBJECTIVES
        * (1.0 - own_load_share(view.settings))
        * view.class(class).latency_objective_s
}

/// Returns the age from which an attempt of a part is late (seconds).
fn late_age_s(view: &View, part_class: usize, measured_class: usize, is_ejected: bool) -> f64 {
    let overdue_s = view.overdue_s(measured_class);
    if is_ejected {
        overdue_s * EJECTED_OVERDUE_SHARE
    } else {
        overdue_s.max(min_hedge_age_s(view, part_class))
    }
}

/// Returns whether an attempt of a part is late; `age_s` is its time in flight.
pub(crate) fn is_late(
    view: &View,
    part_class: usize,
    attempt: &Attempt,
    age_s: f64,
    is_ejected: bool,
) -> bool {
    age_s >= late_age_s(view, part_class, attempt.measured_class, is_ejected)
}

/// Returns the indices of the parts of a query whose single attempt is late, in order. Returns none if hedging is suspended
/// and no part is pending.
pub(crate) fn late_parts(view: &View, query: &Query) -> Vec<usize> {
    let mut late = Vec::new();
    let has_pending = query.progress.next_pending(0).is_some();
    if !has_pending && is_suspended(view) {
        return late;
    }
    if let Some(pre_check) = query.pre_check {
        add_late_parts(view, query, true, pre_check.class.into(), &mut late);
    }
    add_late_parts(view, query, false, query.class, &mut late);
    late.sort_unstable();
    late
}

fn add_late_parts(
    view: &View,
    query: &Query,
    is_pre_check: bool,
    measured_class: usize,
    late: &mut Vec<usize>,
) {
    for is_ejected in [false, true] {
        let age_s = late_age_s(view, query.class, measured_class, is_ejected);
        let sent_by = view.now - age_s + ROUNDING_S;
        let group = AttemptGroup {
            is_pre_check,
            is_ejected,
        };
        late.extend(query.progress.sent_by(group, sent_by));
    }
}
