//! Retries: whether a further attempt of a part is allowed, and whether it is worthwhile.
//!
//! Attempts are limited by the effect of executing a part twice, by the number of attempts and by the retry budget.

use crate::decisions::api::Effect;
use crate::decisions::query::Part;
use crate::decisions::replica::Replica;
use crate::decisions::replica_selection::{eligible_holders, expected_latency_s};
use crate::decisions::time_window;
use crate::decisions::view::View;

/// A holder is fast enough for a retry up to this multiple of the median latency.
const MAX_RETRY_MEDIANS: f64 = 2.5;
/// A holder without an attempt of the part gets one if its expected latency is at most this share of the time left.
const MAX_RETRY_TIME_SHARE: f64 = 0.5;

/// Returns whether a further attempt of this part is allowed now by its effect and by the limits on attempts.
pub(crate) fn is_attempt_allowed(view: &View, part: &Part) -> bool {
    let max_others_in_flight = usize::from(view.settings.can_hedge);
    is_repeat_safe(view, part)
        && part.in_flight().count() <= max_others_in_flight
        && part.attempts.len() < part.max_attempts
}

/// Returns whether a further attempt is safe even if attempts with an unknown result have been executed.
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

/// Returns whether a further attempt fits into `share` of the retry budget. To absorb rounding, the window is one round shorter
/// for accepted queries and parts, and one round longer for retries.
pub(crate) fn is_within_budget(view: &View, share: f64) -> bool {
    let Some(budget) = view.settings.retry_budget else {
        return true;
    };
    let window_start = view.now - budget.window_s;
    let tick_s = view.settings.tick_s;
    let accepted = time_window::count_since(&view.statistics.accepted_times, window_start + tick_s);
    let retries = time_window::count_since(&view.statistics.retry_times, window_start - tick_s);
    let allowed = budget.min_retries + budget.retries_per_accepted * accepted as f64;
    (retries as f64) < (allowed.floor() * share).floor()
}

/// Returns whether a further attempt of a part is worthwhile at some eligible holder. The holder must have no attempt of
/// the part in flight and must be about as fast as usual, since retries at slow holders add to congestion. For a rejected
/// part, an untried holder that may answer in time is also suitable.
pub(crate) fn is_worthwhile(view: &View, part: &Part, was_rejected: bool) -> bool {
    let query = view.queries.query_of(part).filter(|_| was_rejected);
    let in_time_s = query.map_or(0.0, |query| {
        MAX_RETRY_TIME_SHARE * (view.final_answer_due(query) - view.now)
    });
    let fast_s = MAX_RETRY_MEDIANS * view.statistics.latencies[part.class].median_s;
    let is_suitable = |replica: &Replica| {
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
            && expected_latency_s(view, replica) <= max_latency_s
    };
    // Usually no listed holder is suitable, and that is cheaper to check than which holders are eligible.
    let mut listed = view.replicas.listed_holders(part.shard, view.settings);
    listed.any(is_suitable) && eligible_holders(view, part.shard, part.class).any(is_suitable)
}
