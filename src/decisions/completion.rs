//! When a query ends: with a complete answer, with a partial one, or without any.
//!
//! This file owns that choice, from the parts that are answered and those that may still be. It must never end a query
//! itself and never change any state.

use crate::decisions::admission::WEIGHT_ROUNDING;
use crate::decisions::query::Query;
use crate::decisions::query_progress::share;
use crate::decisions::retry;
use crate::decisions::view::View;

/// What is to be done about a query now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextStep {
    /// Not all of its parts have come.
    AwaitParts,
    /// Answer it.
    Answer {
        /// Whether the answer is complete.
        is_complete: bool,
    },
    /// End it without an answer.
    GiveUp,
    /// Check its parts.
    CheckParts,
}

/// What is to be done about a query now.
pub(crate) fn next_step(view: &View, query: &Query) -> NextStep {
    let class = view.class(query.class);
    let is_due = view.now >= view.final_answer_due(query);
    let has_all_parts = query.has_all_parts();
    if !has_all_parts && !is_due {
        return NextStep::AwaitParts;
    }
    let need = if query.is_in_second_step {
        1.0
    } else {
        class.complete_share
    };
    let answered = share(query.progress.answered());
    if has_all_parts && answered + WEIGHT_ROUNDING >= need {
        return NextStep::Answer {
            is_complete: !query.is_in_second_step || query.is_first_step_complete,
        };
    }
    let reachable = reachable_share(view, query, need < 1.0);
    let has_partial_answer = answered > 0.0
        && answered + WEIGHT_ROUNDING >= class.min_partial_share
        && class.min_partial_share < class.complete_share;
    let is_partial_due = view.now >= view.partial_answer_due(query);
    let can_grow = reachable > answered + WEIGHT_ROUNDING;
    if has_partial_answer && (is_partial_due || !can_grow || is_due) {
        return NextStep::Answer { is_complete: false };
    }
    if is_due || reachable + WEIGHT_ROUNDING < class.min_partial_share {
        return NextStep::GiveUp;
    }
    NextStep::CheckParts
}

/// The share of a query's weight that is answered, or may still be as things are.
fn reachable_share(view: &View, query: &Query, with_spares: bool) -> f64 {
    let progress = &query.progress;
    let may_be_sent = |place: usize| {
        let part = &view.queries.parts[&query.parts[place]];
        retry::is_attempt_allowed(view, part)
    };
    let pending: u128 = progress
        .pending()
        .filter(|pending| may_be_sent(pending.place))
        .map(|pending| pending.weight)
        .sum();
    let spare = if with_spares { progress.spare() } else { 0 };
    share(progress.answered() + progress.in_flight() + pending + spare)
}
