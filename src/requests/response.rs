//! The final answer of a request, derived from the parts that have been served.
//!
//! The rules hold whatever the decision module asks for: an answer is reported as complete only if the served share reaches
//! the class's `complete_share`, no answer is below the class's `min_partial_share`, and nothing is rejected if something
//! with an effect may have been executed.

use crate::decisions::api::{Effect, Outcome};
use crate::requests::request::Request;
use std::rc::Rc;

/// Tolerance for rounding errors in sums of weights.
const WEIGHT_TOLERANCE: f64 = 0.0001;

/// Reason for which a request ended without an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reason {
    /// Load was shed, or a rule stopped the request; nothing with an effect was executed.
    Overload,
    /// The number of open queries and parts has reached its limit.
    TooManyOpen,
    /// Discovery has not confirmed the endpoint list for too long, so the list may not be used. Nothing with an effect was
    /// executed.
    StaleList,
    /// The decision module ended the request, or the served share was too small for an answer; parts may have been
    /// executed.
    Abandoned,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The answer is partial and the client accepts only a complete one.
    Incomplete,
    /// The client has sent so many further requests that its disconnect could not be detected. Nothing with an effect was
    /// executed.
    ReadAhead,
}

/// The final answer of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalAnswer {
    /// The request was served. The vectors have one entry for each part, in the order of the query.
    Answered {
        /// Whether the answer is reported as complete.
        complete: bool,
        /// Value of each part; `None` for a part that was not served.
        values: Vec<Option<Rc<str>>>,
        /// Latest outcome of each part; `None` if no attempt ended.
        outcomes: Vec<Option<Outcome>>,
        /// Whether each part was answered by a pre-check that found no match in the shard.
        pruned: Vec<bool>,
    },
    /// The request was rejected; the client may send it again without harm.
    Rejected {
        /// Reason for the answer.
        reason: Reason,
        /// Time after which the client should retry (seconds); 0 for no advice.
        retry_after_s: f64,
    },
    /// The request failed; parts of it may have been executed.
    Failed {
        /// Reason for the answer.
        reason: Reason,
        /// Latest outcome of each part, in the order of the query; `None` if no attempt ended.
        outcomes: Vec<Option<Outcome>>,
    },
}

impl Request {
    /// Returns a failure with this reason.
    pub(super) fn failure(&self, reason: Reason) -> FinalAnswer {
        FinalAnswer::Failed {
            reason,
            outcomes: self.outcomes.clone(),
        }
    }

    /// Returns the answer from the parts that have been served. `complete` is the decision module's view: the answer is
    /// reported as partial if the served share is below the class's `complete_share`, and the request fails if the share is
    /// below its `min_partial_share`.
    pub(super) fn answer(&self, complete: bool) -> FinalAnswer {
        let share = self.served_share();
        let complete = complete && share + WEIGHT_TOLERANCE >= self.class_settings.complete_share;
        if share <= 0.0 || share + WEIGHT_TOLERANCE < self.class_settings.min_partial_share {
            self.failure(Reason::Abandoned)
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

    /// Returns a rejection with this reason, or a failure if an attempt with an effect may have been executed. Attempts
    /// that ended are known to the request; `has_attempt_in_flight` indicates whether there are others.
    pub(super) fn rejection(
        &self,
        has_attempt_in_flight: bool,
        reason: Reason,
        retry_after_s: f64,
    ) -> FinalAnswer {
        let may_have_run = self.may_have_run || has_attempt_in_flight;
        if may_have_run && self.class_settings.effect != Effect::Idempotent {
            return self.failure(Reason::Abandoned);
        }
        FinalAnswer::Rejected {
            reason,
            retry_after_s,
        }
    }

    /// Returns the sum of the weights of the served parts.
    fn served_share(&self) -> f64 {
        let parts = self.query_request.parts.iter().zip(&self.values);
        parts
            .filter(|(_, value)| value.is_some())
            .map(|(part, _)| part.weight)
            .sum()
    }
}
