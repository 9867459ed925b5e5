//! Answers that discovery wrote, or may have written, and that were not received completely.
//!
//! A change counts as notified from the moment discovery writes it, even if the answer is lost on the way. A call that ends
//! without a complete answer therefore does not prove that there was no change: from then on the list in use may be outdated
//! and may be acted on only for the drain grace. The answer to any later call contains everything that the lost one did.
//!
//! This file owns the classification of how a call ended, the time since which an answer is missing, the rule by which
//! discovery counts as down (so that no answer can be missing), and the delay before the call is retried. It must never make
//! a call, read a list or read a clock. [`super::lease::ListLease`] is its only caller.

use miniserde::{Deserialize, Serialize};

/// A call that ended without a byte may have been answered, or discovery may have gone down. It is presumed down once this many
/// calls that were made one after the other since then have brought no byte of a list either. A small fleet makes as many in
/// about the part of the drain grace that is used, and all of them within the grace.
const PRESUMED_DOWN_CALLS: u32 = 6;
/// After this many refused connections in a row nothing listens there, so that nothing can have been written.
const DOWN_AFTER_REFUSED_CONNECTIONS: u32 = 2;
/// The first retries come after this time plus a random share of the spread (seconds). Two retries and the time of an answer
/// have to fit into the part of the drain grace that is used, 0.3 s of 0.5 s.
const MIN_RETRY_S: f64 = 0.02;
const MIN_RETRY_SPREAD_S: f64 = 0.06;
/// Time that discovery takes to answer one call (seconds): the retries of a fleet that loses its answers at once are spread
/// by it.
const CALL_TURN_S: f64 = 0.004;
/// A queue of calls this long needs no spreading, because calls time out only after 2 s (seconds).
const HARMLESS_QUEUE_S: f64 = 1.0;
/// A call answered without waiting that ended within this time was prompt: discovery has no queue (seconds).
pub const PROMPT_S: f64 = 0.05;
/// After this many retries in a row the delay doubles each time.
const QUICK_RETRIES: u32 = PRESUMED_DOWN_CALLS;
/// The doubled delay is bounded by the spread, or by this where the spread is shorter (seconds): a small fleet keeps retrying
/// within the grace.
const MIN_RETRY_BOUND_S: f64 = 0.12;
/// Longest spread of the retries of a fleet (seconds).
const MAX_RETRY_S: f64 = 1.4;

/// How a call ended that brought no complete list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The call never reached discovery: the connection was not established, or the call was not written completely.
    NotSent,
    /// Discovery answered that it has no list, or with a list that can't be used.
    Refused,
    /// No byte of an answer was received in time. The call may still be open, and its answer counts. Terms of their own apply
    /// to a silent watch or call.
    GivenUp,
    /// The connection was closed before a byte was received: an answer may have been written.
    Closed,
    /// The connection was reset before a byte was received, as when the call was not read.
    Reset,
    /// A part of an answer was received: one was written.
    CutOff,
}

impl CallEnd {
    /// Whether discovery may have written an answer that was not received.
    pub fn may_have_answer(self) -> bool {
        matches!(self, CallEnd::Closed | CallEnd::Reset | CallEnd::CutOff)
    }

    /// The text for the log.
    pub fn label(self) -> &'static str {
        match self {
            CallEnd::NotSent => "the call did not leave",
            CallEnd::Refused => "refused",
            CallEnd::GivenUp => "given up",
            CallEnd::Closed | CallEnd::Reset => "an answer may be lost",
            CallEnd::CutOff => "its answer is lost",
        }
    }
}

/// An answer that is missing.
#[derive(Clone, Copy, Debug, PartialEq)]
struct MissingAnswer {
    /// The earliest time at which it was written.
    since: f64,
    /// The answer to a call made from this time on contains what the missing one did.
    noticed_at: f64,
    /// Whether it was certainly written.
    is_certain: bool,
    /// Calls made since, one after the other, that brought no byte of a list.
    fruitless_calls: u32,
    /// When the last one of these ended, or the one whose answer is missing.
    last_ended_at: f64,
}

impl MissingAnswer {
    /// Whether discovery is presumed to have been down all the time, so that nothing was written.
    fn is_presumed_unwritten(&self) -> bool {
        !self.is_certain && self.fruitless_calls >= PRESUMED_DOWN_CALLS
    }
}

/// A missing answer as it is handed to the successor process, in ages, because the two processes share no clock. The field
/// names are part of the handover.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandedMissingAnswer {
    /// Time since it may have been written (seconds).
    pub age_s: f64,
    /// Whether it was certainly written.
    pub is_certain: bool,
}

/// The answers that are missing. Times are of the caller's clock (seconds).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MissingAnswers {
    missing: Option<MissingAnswer>,
    /// Since when an answer has been arriving that is not complete yet.
    arriving_since: Option<f64>,
    /// Calls retried early since the last answer.
    early_retries: u32,
    /// Connections refused in a row.
    refused_connections: u32,
    last_end: Option<CallEnd>,
    lost_count: u64,
}

impl MissingAnswers {
    /// Sets since when an incomplete answer has been arriving, if one is.
    pub fn set_answer_arriving(&mut self, since: Option<f64>) {
        self.arriving_since = since;
    }

    /// Records a call made at `made_at` that ended now without a complete list; its answer, if any, was written at
    /// `answer_not_before` at the earliest.
    pub fn call_ended(&mut self, end: CallEnd, made_at: f64, answer_not_before: f64, now: f64) {
        self.lost_count += u64::from(end.may_have_answer());
        if end == CallEnd::CutOff && self.last_end != Some(CallEnd::CutOff) {
            self.early_retries = 0; // discovery is up, however earlier calls ended
        }
        self.last_end = Some(end);
        self.refused_connections = match end {
            CallEnd::NotSent => self.refused_connections.saturating_add(1),
            _ => 0,
        };
        self.count_fruitless(end, made_at, now);
        match end {
            CallEnd::CutOff => self.record_missing(answer_not_before, now, true),
            CallEnd::Closed | CallEnd::Reset => self.record_missing(answer_not_before, now, false),
            CallEnd::NotSent if self.refused_connections >= DOWN_AFTER_REFUSED_CONNECTIONS => {
                self.missing = self.missing.filter(|missing| missing.is_certain);
            }
            CallEnd::NotSent | CallEnd::Refused | CallEnd::GivenUp => {}
        }
        self.early_retries += u32::from(self.needs_early_retry(end));
    }

    /// Counts a call that brought no byte, if it was made after the one before had ended: calls that were open at the same time may
    /// have been cut off by one cause.
    fn count_fruitless(&mut self, end: CallEnd, made_at: f64, now: f64) {
        let Some(missing) = &mut self.missing else {
            return;
        };
        if end != CallEnd::CutOff && made_at >= missing.last_ended_at {
            missing.fruitless_calls = missing.fruitless_calls.saturating_add(1);
            missing.last_ended_at = now;
        }
    }

    /// Records that discovery may have notified a change since then that nobody received.
    pub fn change_may_be_missed(&mut self, since: f64, now: f64) {
        self.record_missing(since, now, false);
    }

    /// Records that a change counts as notified since then that nobody received.
    pub fn change_missed(&mut self, since: f64, now: f64) {
        self.record_missing(since, now, true);
    }

    /// Records the complete answer to a call made at that time.
    pub fn answered(&mut self, made_at: f64) {
        self.missing = self.missing.filter(|missing| made_at < missing.noticed_at);
        if self.missing.is_none() {
            *self = MissingAnswers {
                lost_count: self.lost_count,
                arriving_since: self.arriving_since,
                ..MissingAnswers::default()
            };
        }
    }

    /// Since when an answer may be missing or incomplete that stops the use of the list.
    pub fn since(&self) -> Option<f64> {
        let missing = self
            .missing
            .filter(|missing| !missing.is_presumed_unwritten());
        earliest(missing, self.arriving_since)
    }

    /// Since when discovery may have notified what the next answer says: also where discovery is presumed to have been down.
    pub fn notified_since(&self) -> Option<f64> {
        earliest(self.missing, self.arriving_since)
    }

    /// Whether a call has to be made because an answer may be missing.
    pub fn needs_call(&self) -> bool {
        self.missing
            .is_some_and(|missing| !missing.is_presumed_unwritten())
    }

    /// Whether a call that ended so is retried before its scheduled time, because an answer is or may be missing.
    pub fn needs_early_retry(&self, end: CallEnd) -> bool {
        end.may_have_answer() || self.needs_call()
    }

    /// Delay before a call that ended without an answer is retried early (seconds), among `mixers` that call the same
    /// discovery; `was_prompt` is whether the call ended as soon as it was made, `jitter` is from 0 to 1.
    pub fn retry_delay_s(&self, mixers: u32, was_prompt: bool, jitter: f64) -> f64 {
        let fleet_turn_s = f64::from(mixers) * CALL_TURN_S;
        let spread_s = (fleet_turn_s - HARMLESS_QUEUE_S).clamp(MIN_RETRY_SPREAD_S, MAX_RETRY_S);
        let doublings = self.early_retries.saturating_sub(QUICK_RETRIES).min(16);
        // A discovery that ends calls at once has no queue, so that its retries need no spreading.
        let first_spread_s = if was_prompt {
            MIN_RETRY_SPREAD_S
        } else {
            spread_s
        };
        let first_s = MIN_RETRY_S + jitter * first_spread_s;
        let bound_s = first_s.max(spread_s).max(MIN_RETRY_BOUND_S);
        (first_s * f64::from(doublings).exp2()).min(bound_s)
    }

    /// Number of answers that were or may have been lost since the start of the process.
    pub fn lost_count(&self) -> u64 {
        self.lost_count
    }

    /// What the successor process inherits.
    pub fn hand_over(&self, now: f64) -> Option<HandedMissingAnswer> {
        let handed = |since: f64, is_certain: bool| HandedMissingAnswer {
            age_s: (now - since).max(0.0),
            is_certain,
        };
        match self.missing {
            Some(missing) if missing.is_presumed_unwritten() => None,
            Some(missing) => Some(handed(missing.since, missing.is_certain)),
            None => self.arriving_since.map(|since| handed(since, true)),
        }
    }

    /// Takes over what the predecessor process handed on.
    pub fn inherit(&mut self, now: f64, handed: HandedMissingAnswer) {
        self.record_missing(now - handed.age_s.max(0.0), now, handed.is_certain);
    }

    fn record_missing(&mut self, since: f64, now: f64, is_certain: bool) {
        let before = self.missing;
        self.missing = Some(MissingAnswer {
            since: before.map_or(since, |before| before.since.min(since)),
            noticed_at: now,
            is_certain: is_certain || before.is_some_and(|before| before.is_certain),
            fruitless_calls: before.map_or(0, |before| before.fruitless_calls),
            last_ended_at: now,
        });
    }
}

/// The earlier of the two times.
fn earliest(missing: Option<MissingAnswer>, arriving_since: Option<f64>) -> Option<f64> {
    missing
        .map(|missing| missing.since)
        .into_iter()
        .chain(arriving_since)
        .reduce(f64::min)
}

#[cfg(test)]
mod tests;
