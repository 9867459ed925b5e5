//! The attempts of one part of a request: those in flight and those that may have been executed.

use crate::decisions::api::{ClassSettings, Outcome};
use crate::requests::attempt::{has_never_run, AttemptKey};
use crate::requests::invariants::Repeat;
use crate::requests::request::RequestKey;

/// An attempt that may have been executed by its replica.
struct PossibleExecution {
    number: u8,
    sent_at: f64,
}

/// The attempts of one part. The state is kept while the request is open or an attempt is in flight.
pub(super) struct PartState {
    /// Request of the part; `None` after its final answer.
    pub(super) request: Option<RequestKey>,
    /// Index of the part in its query.
    pub(super) index: usize,
    /// Keys by attempt number; `None` for an attempt that has ended.
    attempts: Vec<Option<AttemptKey>>,
    /// Outcome of the attempt that ended last.
    last_outcome: Option<Outcome>,
    /// Ordered by send time.
    possible_executions: Vec<PossibleExecution>,
}

impl PartState {
    pub(super) fn new(request: RequestKey, index: usize) -> PartState {
        PartState {
            request: Some(request),
            index,
            attempts: Vec::new(),
            last_outcome: None,
            possible_executions: Vec::new(),
        }
    }

    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(Option::is_some)
    }

    /// Returns the attempts that have no outcome yet.
    pub(super) fn in_flight(&self) -> impl Iterator<Item = AttemptKey> + '_ {
        self.attempts.iter().flatten().copied()
    }

    /// Returns the attempt with this number if it is in flight.
    pub(super) fn attempt(&self, number: u8) -> Option<AttemptKey> {
        self.attempts.get(usize::from(number)).copied().flatten()
    }

    /// Returns the number of the next attempt.
    pub(super) fn next_number(&self) -> u8 {
        self.attempts.len() as u8
    }

    /// Returns the send time of the first attempt that may have been executed.
    pub(super) fn may_have_run_since(&self) -> Option<f64> {
        self.possible_executions
            .first()
            .map(|execution| execution.sent_at)
    }

    /// Returns the outcome of the attempt before a retry, or `None` if an attempt is still in flight (hedging).
    pub(super) fn outcome_before_retry(&self) -> Option<Outcome> {
        if self.is_in_flight() {
            None
        } else {
            self.last_outcome
        }
    }

    /// Returns the facts that decide whether another attempt is allowed.
    pub(super) fn repeat(&self, class_settings: &ClassSettings, hedging_allowed: bool) -> Repeat {
        Repeat {
            effect: class_settings.effect,
            may_have_run_since: self.may_have_run_since(),
            window_s: class_settings.idempotency_window_s,
            in_flight: self.in_flight().count(),
            hedging_allowed,
        }
    }

    /// Adds an attempt that is sent now.
    pub(super) fn add_attempt(&mut self, now: f64, key: AttemptKey) {
        let number = self.next_number();
        self.attempts.push(Some(key));
        self.possible_executions.push(PossibleExecution {
            number,
            sent_at: now,
        });
    }

    /// Consumes an attempt number for an attempt that the decision module requested and that was not sent.
    pub(super) fn skip_attempt(&mut self) {
        self.attempts.push(None);
    }

    /// Records the outcome of an attempt.
    pub(super) fn end_attempt(&mut self, number: u8, outcome: Outcome) {
        self.attempts[usize::from(number)] = None;
        self.last_outcome = Some(outcome);
        if has_never_run(outcome) {
            self.possible_executions
                .retain(|execution| execution.number != number);
        }
    }
}
