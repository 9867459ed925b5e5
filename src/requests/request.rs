//! An open request: what the coordinator keeps of it until it has its final answer.
//!
//! This file owns the deadlines of a request and of its attempts. It must never send anything and never choose a replica.

use crate::decisions::api::{ClassSettings, Effect, Outcome, PartId, QueryId};
use crate::requests::attempt::{has_never_run, Attempt};
use crate::requests::invariants::DeadlineBounds;
use crate::requests::query_request::QueryRequest;
use std::rc::Rc;

/// A request's deadline is this much before its client's, which is the time that sending an answer takes (seconds).
const RESPONSE_MARGIN_S: f64 = 0.005;

slotmap::new_key_type! {
    /// A request that has no final answer yet.
    pub struct RequestKey;
}

/// A request that has no final answer yet. The vectors have one entry for each part, in the order of the query.
pub(super) struct Request {
    pub(super) query_request: Rc<QueryRequest>,
    /// The caller's own handle, returned with the answer.
    pub(super) caller: u64,
    /// The decision module's id of it.
    pub(super) query: QueryId,
    /// The decision module's ids of its parts.
    pub(super) parts: Vec<PartId>,
    /// The value of each part that has been served.
    pub(super) values: Vec<Option<Rc<str>>>,
    /// The outcome of each part's latest attempt that ended.
    pub(super) outcomes: Vec<Option<Outcome>>,
    /// Whether the value of a part is a pre-check's answer that nothing matches.
    pub(super) pruned: Vec<bool>,
    /// The settings of its class at the time of acceptance.
    pub(super) class_settings: ClassSettings,
    /// Whether an attempt of any part has ended that may have been executed.
    pub(super) may_have_run: bool,
    /// When it was accepted.
    pub(super) taken_at: f64,
}

impl Request {
    /// Until when its client waits.
    pub(super) fn client_deadline(&self) -> f64 {
        self.taken_at + self.query_request.timeout_s
    }

    /// When its client stops to wait, as far as it is known when the request came.
    pub(super) fn client_deadline_bounds(&self) -> DeadlineBounds {
        let earliest = self.client_deadline();
        DeadlineBounds {
            earliest,
            latest: earliest + self.query_request.timeout_uncertainty_s,
        }
    }

    /// Until when the coordinator works on it: its client's deadline less the time that sending an answer takes.
    pub(super) fn deadline(&self) -> f64 {
        self.client_deadline() - RESPONSE_MARGIN_S
    }

    /// How long an attempt that begins now is waited for (seconds), where the decision module allows at most
    /// `max_timeout_s`; 0 there is no limit.
    pub(super) fn attempt_timeout_s(&self, now: f64, max_timeout_s: f64) -> f64 {
        let left_s = self.deadline() - now;
        let timeout_s = if max_timeout_s == 0.0 {
            left_s
        } else {
            max_timeout_s.min(left_s)
        };
        timeout_s.max(0.0)
    }

    /// When an attempt must have begun to leave, if the first one of its part was sent at `first_sent_at`. Without end for
    /// a first attempt, and in classes whose repeats are not discarded for a while only.
    pub(super) fn send_by(&self, first_sent_at: Option<f64>) -> f64 {
        let window_s = match self.class_settings.effect {
            Effect::IdempotentWithKey => self.class_settings.idempotency_window_s,
            Effect::Idempotent | Effect::NonIdempotent => f64::INFINITY,
        };
        first_sent_at.map_or(f64::INFINITY, |first_sent_at| first_sent_at + window_s)
    }

    /// Records the outcome of an attempt of the part at `index`. The first value of a part is kept.
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
