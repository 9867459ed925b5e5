//! An open request: its parts' results and its deadlines, until the final answer.

use crate::decisions::api::{ClassSettings, Effect, Outcome, PartId, QueryId};
use crate::requests::attempt::{has_never_run, Attempt};
use crate::requests::invariants::DeadlineBounds;
use crate::requests::query_request::QueryRequest;
use std::rc::Rc;

/// Margin between a request's deadline and its client's, for sending the answer (seconds).
const RESPONSE_MARGIN_S: f64 = 0.005;

slotmap::new_key_type! {
    /// Key of a request that has no final answer yet.
    pub struct RequestKey;
}

/// A request that has no final answer yet. The vectors have one entry for each part, in the order of the query.
pub(super) struct Request {
    pub(super) query_request: Rc<QueryRequest>,
    /// Handle of the caller, returned with the answer.
    pub(super) caller: u64,
    /// Id of the query in the decision module.
    pub(super) query: QueryId,
    /// Ids of the parts in the decision module.
    pub(super) parts: Vec<PartId>,
    /// Value of each part that has been served.
    pub(super) values: Vec<Option<Rc<str>>>,
    /// Outcome of each part's attempt that ended last.
    pub(super) outcomes: Vec<Option<Outcome>>,
    /// Whether each part was answered by a pre-check that found no match in the shard.
    pub(super) pruned: Vec<bool>,
    /// Class settings at the time of acceptance.
    pub(super) class_settings: ClassSettings,
    /// Whether an attempt of any part has ended that may have been executed.
    pub(super) may_have_run: bool,
    /// Time of acceptance.
    pub(super) accepted_at: f64,
    /// Time of the pending deadline of the request; `None` if the request was rejected before it had one.
    pub(super) wake_at: Option<f64>,
}

impl Request {
    /// Returns the time until which the client waits.
    pub(super) fn client_deadline(&self) -> f64 {
        self.accepted_at + self.query_request.timeout_s
    }

    /// Returns the bounds of the client's deadline, given the uncertainty of the time at which the request was received.
    pub(super) fn client_deadline_bounds(&self) -> DeadlineBounds {
        let earliest = self.client_deadline();
        DeadlineBounds {
            earliest,
            latest: earliest + self.query_request.timeout_uncertainty_s,
        }
    }

    /// Returns the time until which the coordinator works on the request: the client's deadline less the margin for sending
    /// the answer.
    pub(super) fn deadline(&self) -> f64 {
        self.client_deadline() - RESPONSE_MARGIN_S
    }

    /// Returns the timeout of an attempt sent now (seconds), where the decision module allows at most `max_timeout_s`; 0
    /// stands for no limit.
    pub(super) fn attempt_timeout_s(&self, now: f64, max_timeout_s: f64) -> f64 {
        let left_s = self.deadline() - now;
        let timeout_s = if max_timeout_s == 0.0 {
            left_s
        } else {
            max_timeout_s.min(left_s)
        };
        timeout_s.max(0.0)
    }

    /// Returns the latest time at which writing an attempt may start, if the first attempt of its part was sent at
    /// `first_sent_at`. The time is infinite for a first attempt, and in classes without a limited idempotency window.
    pub(super) fn send_by(&self, first_sent_at: Option<f64>) -> f64 {
        let window_s = match self.class_settings.effect {
            Effect::IdempotentWithKey => self.class_settings.idempotency_window_s,
            Effect::Idempotent | Effect::NonIdempotent => f64::INFINITY,
        };
        first_sent_at.map_or(f64::INFINITY, |first_sent_at| first_sent_at + window_s)
    }

    /// Records the outcome of an attempt of the part at `index`. Only the first value of a part is kept.
    pub(super) fn record_outcome(
        &mut self,
        index: usize,
        attempt: &Attempt,
        outcome: Outcome,
        value: Option<Rc<str>>,
    ) {
        if outcome == Outcome::Ok && self.values[index].is_none() {
            self.values[index] = value;
            self.pruned[index] = attempt.pre_check;
        }
        self.outcomes[index] = Some(outcome);
        self.may_have_run |= !has_never_run(outcome);
    }
}
