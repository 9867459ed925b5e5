//! The final answer of a request, and how it follows from the parts that have been served.
//!
//! This file owns what may be claimed in an answer: never complete below what the class needs, never an answer below its
//! floor, never a rejection where something with an effect may have been executed. It must never send an answer.

use crate::decisions::api::{Effect, Outcome};
use crate::requests::request::Request;
use std::rc::Rc;

/// Tolerance for rounding in sums of weights.
const WEIGHT_TOLERANCE: f64 = 0.0001;

/// Why a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Load was shed, or a rule stopped it; nothing that has an effect was executed.
    Overload,
    /// The mixer holds as many requests as it may.
    Held,
    /// The endpoint list may not be acted on: discovery has not confirmed it for too long. Nothing that has an effect was
    /// executed.
    StaleList,
    /// The decision module gave it up; parts may have been executed.
    GivenUp,
    /// Its deadline passed.
    DeadlineExceeded,
    /// Only part of the answer is there, and the client accepts only a complete one.
    Incomplete,
}

/// The one final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// Served. The vectors have one entry for each part, in the order of the query.
    Answered {
        /// Whether the answer may be called complete.
        complete: bool,
        /// The value of each part; none where it has not been served.
        values: Vec<Option<Rc<str>>>,
        /// The latest outcome of each part; none where no attempt ended.
        outcomes: Vec<Option<Outcome>>,
        /// Whether the value of a part is a pre-check's answer that nothing matches.
        pruned: Vec<bool>,
    },
    /// Rejected: the client may send it again without harm.
    Rejected {
        /// Why.
        reason: Reason,
        /// When the client should retry (seconds); 0 for no advice.
        retry_after_s: f64,
    },
    /// Failed; parts of it may have been executed.
    Failed {
        /// Why.
        reason: Reason,
        /// The latest outcome of each part, in the order of the query; none where no attempt ended.
        outcomes: Vec<Option<Outcome>>,
    },
}

impl Request {
    /// A failure for that reason.
    pub(super) fn failure(&self, reason: Reason) -> FinalAnswer {
        FinalAnswer::Failed {
            reason,
            outcomes: self.outcomes.clone(),
        }
    }

    /// The answer made of the parts that have been served. The decision module calls it complete or not; below what the
    /// class needs it is not complete all the same, and below its floor it is a failure.
    pub(super) fn answer(&self, complete: bool) -> FinalAnswer {
        let share = self.served_share();
        let complete = complete && share + WEIGHT_TOLERANCE >= self.class_settings.complete_share;
        if share <= 0.0 || share + WEIGHT_TOLERANCE < self.class_settings.min_partial_share {
            self.failure(Reason::GivenUp)
        } else if self.query_request.complete_only && !complete {
            self.failure(Reason::Incomplete)
        } else {
            FinalAnswer::Answered {
                complete,
                values: self.values.clone(),
                outcomes: self.outcomes.clone(),
                pruned: self.pruned.clone(),
            }
        }
    }

    /// A rejection for that reason, or a failure where an attempt that has an effect may have been executed: ended ones are
    /// known here, `has_attempt_in_flight` says whether there are others.
    pub(super) fn rejection(
        &self,
        has_attempt_in_flight: bool,
        reason: Reason,
        retry_after_s: f64,
    ) -> FinalAnswer {
        let may_have_run = self.may_have_run || has_attempt_in_flight;
        if may_have_run && self.class_settings.effect != Effect::Idempotent {
            return self.failure(Reason::GivenUp);
        }
        FinalAnswer::Rejected {
            reason,
            retry_after_s,
        }
    }

    /// The sum of the weights of the parts that have been served.
    fn served_share(&self) -> f64 {
        let parts = self.query_request.parts.iter().zip(&self.values);
        parts
            .filter(|(_, value)| value.is_some())
            .map(|(part, _)| part.weight)
            .sum()
    }
}
