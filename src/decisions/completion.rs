//! Decides when a query ends: with a complete answer, with a partial answer or without an answer.

use crate::decisions::admission::WEIGHT_ROUNDING;
use crate::decisions::query::Query;
use crate::decisions::query_progress::share;
use crate::decisions::retry;
use crate::decisions::view::View;

/// The next action for an open query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Wait, because not all parts have arrived.
    AwaitParts,
    /// Answer the query.
    Answer {
        /// True if the answer is complete.
        is_complete: bool,
    },
    /// End the query without an answer.
    EndUnanswered,
    /// Check the parts of the query.
    CheckParts,
}

/// Returns the next action for a query, from the parts that are answered and those that may still be answered.
pub(crate) fn next_step(view: &View, query: &Query) -> NextStep {
    let class = view.class(query.class);
    let is_due = view.now >= view.final_answer_due(query);
    let has_all_parts = query.has_all_parts();
    if !has_all_parts && !is_due {
        return NextStep::AwaitParts;
    }
    let complete_share = if query.is_in_second_step {
        1.0
    } else {
        class.complete_share
    };
    let answered = share(query.progress.answered());
    if has_all_parts && answered + WEIGHT_ROUNDING >= complete_share {
        return NextStep::Answer {
            is_complete: !query.is_in_second_step || query.is_first_step_complete,
        };
    }
    let reachable = reachable_share(view, query, complete_share < 1.0);
    let has_partial_answer = answered > 0.0
        && answered + WEIGHT_ROUNDING >= class.min_partial_share
        && class.min_partial_share < class.complete_share;
    let is_partial_due = view.now >= view.partial_answer_due(query);
    let can_grow = reachable > answered + WEIGHT_ROUNDING;
    if has_partial_answer && (is_partial_due || !can_grow || is_due) {
        return NextStep::Answer { is_complete: false };
    }
    if is_due || reachable + WEIGHT_ROUNDING < class.min_partial_share {
        return NextStep::EndUnanswered;
    }
    NextStep::CheckParts
}

/// Returns the share of a query's weight that is answered or may still be answered in its present state.
fn reachable_share(view: &View, query: &Query, with_spares: bool) -> f64 {
    let progress = &query.progress;
    let may_be_sent = |index: usize| {
        let part = &view.queries.parts[&query.parts[index]];
        retry::is_attempt_allowed(view, part)
    };
    let pending: u128 = progress
        .pending()
        .filter(|pending| may_be_sent(pending.index))
        .map(|pending| pending.weight)
        .sum();
    let spare = if with_spares { progress.spare() } else { 0 };
    share(progress.answered() + progress.in_flight() + pending + spare)
}
