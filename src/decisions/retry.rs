//! Retries: whether a part may have one more attempt, and whether one is worthwhile.
//!
//! This file owns the rule on repeated effects, the limits on attempts and the retry budget. It must never send anything and
//! never change any state.

use crate::decisions::api::Effect;
use crate::decisions::query::Part;
use crate::decisions::replica::Replica;
use crate::decisions::replica_selection::{eligible_holders, expected_latency};
use crate::decisions::time_window;
use crate::decisions::view::View;

/// A holder is fast enough for a retry up to this multiple of the median latency.
const MAX_RETRY_MEDIANS: f64 = 2.5;
/// Share of the time left in which an untried holder must be likely to answer.
const MAX_RETRY_TIME_SHARE: f64 = 0.5;

/// Whether one more attempt of this part is allowed now: by the effect of repeating it, and by the limits on attempts.
pub(crate) fn is_attempt_allowed(view: &View, part: &Part) -> bool {
    let max_others_in_flight = usize::from(view.settings.can_hedge);
    is_repeat_safe(view, part)
        && part.in_flight().count() <= max_others_in_flight
        && part.attempts.len() < part.max_attempts
}

/// Whether a further attempt does no harm, even if those whose end is unknown have run.
fn is_repeat_safe(view: &View, part: &Part) -> bool {
    let class = view.class(part.class);
    let Some(first) = part.first_that_may_have_run() else {
        return true;
    };
    match class.effect {
        Effect::Idempotent => true,
        Effect::IdempotentWithKey => {
            view.now + view.settings.tick_s <= first.sent_at + class.idempotency_window_s
        }
        Effect::NonIdempotent => false,
    }
}

/// Whether the retry budget allows one more attempt, if only `share` of it may be used. One round is kept clear for rounding.
pub(crate) fn is_within_budget(view: &View, share: f64) -> bool {
    let Some(budget) = view.settings.retry_budget else {
        return true;
    };
    let window_start = view.now - budget.window_s;
    let tick_s = view.settings.tick_s;
    let accepted = time_window::since(&view.statistics.accepted_times, window_start + tick_s);
    let retries = time_window::since(&view.statistics.retry_times, window_start - tick_s);
    let allowed = budget.min_retries + budget.retries_per_accepted * accepted as f64;
    (retries as f64) < (allowed.floor() * share).floor()
}

/// Whether a further attempt of a part is worthwhile at some holder: one where no attempt of it is in flight, and about as fast as
/// usual, since more would add to congestion. For a part that was rejected also one never tried that may answer in time.
pub(crate) fn is_worthwhile(view: &View, part: &Part, was_rejected: bool) -> bool {
    let query = view.queries.query_of(part).filter(|_| was_rejected);
    let in_time_s = query.map_or(0.0, |query| {
        MAX_RETRY_TIME_SHARE * (view.final_answer_due(query) - view.now)
    });
    let fast_s = MAX_RETRY_MEDIANS * view.statistics.latencies[part.class].median_s;
    let is_worth_it = |replica: &Replica| {
        let mut attempts = part
            .attempts
            .iter()
            .filter(|attempt| attempt.replica == replica.entry.id)
            .peekable();
        let max_latency_s = if attempts.peek().is_none() {
            fast_s.max(in_time_s)
        } else {
            fast_s
        };
        attempts.all(|attempt| !attempt.is_in_flight())
            && expected_latency(view, replica) <= max_latency_s
    };
    // Mostly no holder is, which costs less to find out than which holders are eligible.
    let mut listed = view.replicas.listed_holders(part.shard, view.settings);
    listed.any(is_worth_it) && eligible_holders(view, part.shard, part.class).any(is_worth_it)
}
