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

/// A call that ended without a byte may have been answered, or discovery may have gone down. If no call was answered for this
/// time, and no other call ended without a byte in another way, discovery is presumed down (seconds). An answer lost just
/// before a longer outage is then given up, because a mixer that starts during the outage has to be ready within 30 s.
const PRESUMED_DOWN_S: f64 = 25.0;
/// The same for a process that discovery has never answered and whose calls were all reset, or all closed, apart from those
/// that were refused or timed out (seconds). Nine in ten processes restarted in such an outage have to be ready within 10 s.
const PRESUMED_DOWN_AT_START_S: f64 = 4.0;
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
const QUICK_RETRIES: u32 = 3;
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
    TimedOut,
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
            CallEnd::NotSent => "the call was not sent",
            CallEnd::Refused => "refused",
            CallEnd::TimedOut => "timed out",
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
    /// When a call last ended without a byte in another way than the one before.
    suspected_at: f64,
    /// Whether it was certainly written.
    is_certain: bool,
}

/// A missing answer as it is handed to the successor process, in ages, because the two processes share no clock. The field
/// names are part of the handover.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MissingAnswerHandover {
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
    /// How the last call ended that ended with a close or reset before a byte.
    last_silent_end: Option<CallEnd>,
    /// Whether a close before a byte only shows that discovery is down, until its next answer.
    closing_means_down: bool,
    /// Whether a reset before a byte only shows that discovery is down, until its next answer.
    resetting_means_down: bool,
    has_answered: bool,
    /// Whether calls ended both by a close and by a reset, or with a part of an answer.
    has_mixed_ends: bool,
    lost_count: u64,
}

impl MissingAnswers {
    /// Sets since when an incomplete answer has been arriving, if one is.
    pub fn set_answer_arriving(&mut self, since: Option<f64>) {
        self.arriving_since = since;
    }

    /// Records a call that ended now without a complete list; its answer, if any, was written at `answer_not_before` at the
    /// earliest.
    pub fn call_ended(&mut self, end: CallEnd, answer_not_before: f64, now: f64) {
        self.forget_presumed_unwritten(now);
        self.lost_count += u64::from(end.may_have_answer());
        if end == CallEnd::CutOff && self.last_end != Some(CallEnd::CutOff) {
            self.early_retries = 0; // discovery is up, however earlier calls ended
        }
        self.last_end = Some(end);
        self.refused_connections = match end {
            CallEnd::NotSent => self.refused_connections.saturating_add(1),
            _ => 0,
        };
        match end {
            CallEnd::CutOff => {
                self.has_mixed_ends = true;
                self.record_missing(answer_not_before, now, true);
            }
            CallEnd::Closed if self.closing_means_down => {}
            CallEnd::Reset if self.resetting_means_down => {}
            CallEnd::Closed | CallEnd::Reset => {
                self.record_missing(answer_not_before, now, false);
                self.record_silent_end(end, now);
            }
            CallEnd::NotSent if self.refused_connections >= DOWN_AFTER_REFUSED_CONNECTIONS => {
                self.missing = self.missing.filter(|missing| missing.is_certain);
            }
            CallEnd::NotSent | CallEnd::Refused | CallEnd::TimedOut => {}
        }
        self.early_retries += u32::from(self.needs_early_retry(end, now));
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
        self.has_answered = true;
        if self.missing.is_none() {
            *self = MissingAnswers {
                lost_count: self.lost_count,
                arriving_since: self.arriving_since,
                has_answered: true,
                ..MissingAnswers::default()
            };
        }
    }

    /// Since when an answer may be missing or incomplete, as of now.
    pub fn since(&self, now: f64) -> Option<f64> {
        let missing = self
            .missing
            .filter(|missing| !self.is_presumed_unwritten(missing, now));
        missing
            .map(|missing| missing.since)
            .into_iter()
            .chain(self.arriving_since)
            .reduce(f64::min)
    }

    /// Whether a call has to be made because an answer may be missing.
    pub fn needs_call(&self, now: f64) -> bool {
        self.missing
            .is_some_and(|missing| !self.is_presumed_unwritten(&missing, now))
    }

    /// Whether a call that ended so is retried before its scheduled time, because an answer is or may be missing.
    pub fn needs_early_retry(&self, end: CallEnd, now: f64) -> bool {
        end.may_have_answer() || self.needs_call(now)
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
    pub fn hand_over(&self, now: f64) -> Option<MissingAnswerHandover> {
        let handed = |since: f64, is_certain: bool| MissingAnswerHandover {
            age_s: (now - since).max(0.0),
            is_certain,
        };
        match self.missing {
            Some(missing) => Some(handed(missing.since, missing.is_certain)),
            None => self.arriving_since.map(|since| handed(since, true)),
        }
    }

    /// Takes over what the predecessor process handed on.
    pub fn inherit(&mut self, now: f64, handed: MissingAnswerHandover) {
        self.record_missing(now - handed.age_s.max(0.0), now, handed.is_certain);
    }

    fn record_missing(&mut self, since: f64, now: f64, is_certain: bool) {
        let before = self.missing;
        self.missing = Some(MissingAnswer {
            since: before.map_or(since, |before| before.since.min(since)),
            noticed_at: now,
            suspected_at: before.map_or(now, |before| before.suspected_at),
            is_certain: is_certain || before.is_some_and(|before| before.is_certain),
        });
    }

    fn is_presumed_unwritten(&self, missing: &MissingAnswer, now: f64) -> bool {
        let was_never_up = !self.has_answered && !self.has_mixed_ends;
        let presumed_after_s = if was_never_up {
            PRESUMED_DOWN_AT_START_S
        } else {
            PRESUMED_DOWN_S
        };
        !missing.is_certain && now >= missing.suspected_at + presumed_after_s
    }

    /// A call that ended in another way than the one before may have been answered: the time until discovery is presumed down
    /// starts again.
    fn record_silent_end(&mut self, end: CallEnd, now: f64) {
        let before = self.last_silent_end.replace(end);
        let is_other = before != Some(end);
        self.has_mixed_ends |= is_other && before.is_some();
        if let Some(missing) = self.missing.as_mut().filter(|_| is_other) {
            missing.suspected_at = now;
        }
    }

    /// Drops an uncertain answer once calls have ended in one way for so long that discovery counts as down.
    fn forget_presumed_unwritten(&mut self, now: f64) {
        if self
            .missing
            .is_some_and(|missing| self.is_presumed_unwritten(&missing, now))
        {
            self.missing = None;
            self.closing_means_down |= self.last_silent_end == Some(CallEnd::Closed);
            self.resetting_means_down |= self.last_silent_end == Some(CallEnd::Reset);
        }
    }
}

#[cfg(test)]
mod tests;
