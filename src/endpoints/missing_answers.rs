//! Tracking of answers that discovery wrote, or may have written, and that were not received completely.
//!
//! A change counts as notified from the time at which discovery writes it, even if the answer is lost in transit. A call that
//! ends without a complete answer is therefore no evidence that there was no change: from then on the list in use may be
//! outdated and may be used only for the drain grace. The answer to any later call contains everything that the lost answer
//! did. If discovery is presumed to be down, it cannot have written an answer.
//!
//! Only [`super::lease::ListLease`] uses this module.

use miniserde::{Deserialize, Serialize};

/// Time after which discovery is presumed down if no call was answered and no other call ended without a byte in another way
/// (seconds). A call that ended without a byte may have been answered, or discovery may have gone down. The presumption also
/// drops an answer that was lost just before a long outage, because a mixer that starts during the outage has to be ready within
/// 30 s.
const PRESUMED_DOWN_S: f64 = 25.0;
/// Time after which discovery is presumed down by a process that discovery has never answered and whose calls were all reset or
/// all closed, apart from those that were refused or timed out (seconds). Nine in ten processes that are restarted in such an
/// outage have to be ready within 10 s.
const PRESUMED_DOWN_AT_START_S: f64 = 4.0;
/// Number of consecutive calls that could not be sent after which discovery is presumed not to listen, so that it cannot have
/// written an answer.
const MIN_UNSENT_CALLS_WHEN_DOWN: u32 = 2;
/// Delay of the first retries, to which a random share of the spread is added (seconds). Two retries and the time of an answer
/// have to fit into the part of the drain grace that is used, 0.3 s of 0.5 s.
const MIN_RETRY_DELAY_S: f64 = 0.02;
/// Minimum spread of the retries (seconds).
const MIN_RETRY_SPREAD_S: f64 = 0.06;
/// Time that discovery takes to answer one call (seconds). If all mixers of a fleet lose their answers together, their retries
/// are spread over this time for each mixer.
const CALL_SERVICE_S: f64 = 0.004;
/// Length of a queue of calls that needs no spreading, because calls time out only after 2 s (seconds).
const MAX_UNSPREAD_QUEUE_S: f64 = 1.0;
/// Maximum duration of a call that counts as prompt, which shows that discovery has no queue (seconds).
pub const MAX_PROMPT_CALL_S: f64 = 0.05;
/// Number of consecutive retries after which the delay doubles with each retry.
const RETRIES_BEFORE_BACKOFF: u32 = 3;
/// Maximum of the doubled delay if the spread is shorter than this (seconds): a small fleet continues to retry within the drain
/// grace.
const MIN_RETRY_BOUND_S: f64 = 0.12;
/// Maximum spread of the retries of a fleet (seconds).
const MAX_RETRY_SPREAD_S: f64 = 1.4;

/// Way in which a call ended without a complete list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The call did not reach discovery: the connection was not established, or the call was not written completely.
    NotSent,
    /// Discovery answered that it has no list, or sent a list that cannot be used.
    Refused,
    /// No byte of an answer was received in time. The call may still be open, and its answer is used. A change that a silent
    /// watch or call misses has its own time limit, so no answer counts as missing.
    TimedOut,
    /// The connection was closed before a byte was received: an answer may have been written.
    Closed,
    /// The connection was reset before a byte was received, as happens if discovery did not read the call. An answer may have
    /// been written.
    Reset,
    /// A part of an answer was received, so an answer was written.
    CutOff,
}

impl CallEnd {
    /// Returns whether discovery may have written an answer that was not received.
    pub fn may_have_answer(self) -> bool {
        matches!(self, CallEnd::Closed | CallEnd::Reset | CallEnd::CutOff)
    }

    /// Returns the text for the log.
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

/// An answer that was not received.
#[derive(Clone, Copy, Debug, PartialEq)]
struct MissingAnswer {
    /// Earliest time at which the answer can have been written.
    since: f64,
    /// Earliest time of a call whose answer contains everything that the missing answer did.
    noticed_at: f64,
    /// Time at which a call last ended without a byte in another way than the one before it.
    suspected_at: f64,
    /// Whether the answer was certainly written.
    is_certain: bool,
}

/// A missing answer in the handover to the successor process. Its time is sent as an age, because the two processes share no
/// clock. The field names are part of the handover format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MissingAnswerHandover {
    /// Time since the answer may have been written (seconds).
    pub age_s: f64,
    /// Whether the answer was certainly written.
    pub is_certain: bool,
}

/// State of the missing answers. Times are on the caller's clock (seconds).
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct MissingAnswers {
    missing: Option<MissingAnswer>,
    /// Time since which an incomplete answer has been arriving.
    arriving_since: Option<f64>,
    /// Number of early retries since the last answer.
    early_retries: u32,
    /// Number of consecutive calls that were not sent.
    unsent_calls: u32,
    last_end: Option<CallEnd>,
    /// Way in which the last call ended that was closed or reset before a byte.
    last_silent_end: Option<CallEnd>,
    /// Whether a close before a byte counts as evidence that discovery is down; applies until its next answer.
    close_implies_down: bool,
    /// Whether a reset before a byte counts as evidence that discovery is down; applies until its next answer.
    reset_implies_down: bool,
    has_answered: bool,
    /// Whether calls ended both by a close and by a reset, or a call ended with an incomplete answer.
    has_mixed_ends: bool,
    lost_count: u64,
}

impl MissingAnswers {
    /// Sets the time since which an incomplete answer has been arriving, or `None`.
    pub fn set_answer_arriving(&mut self, since: Option<f64>) {
        self.arriving_since = since;
    }

    /// Records a call that ended now without a complete list; `answer_not_before` is the earliest time at which its answer, if
    /// any, can have been written.
    pub fn call_ended(&mut self, end: CallEnd, answer_not_before: f64, now: f64) {
        self.drop_presumed_unwritten(now);
        self.lost_count += u64::from(end.may_have_answer());
        if end == CallEnd::CutOff && self.last_end != Some(CallEnd::CutOff) {
            self.early_retries = 0; // discovery is up, whatever earlier calls suggested
        }
        self.last_end = Some(end);
        self.unsent_calls = match end {
            CallEnd::NotSent => self.unsent_calls.saturating_add(1),
            _ => 0,
        };
        match end {
            CallEnd::CutOff => {
                self.has_mixed_ends = true;
                self.record_missing(answer_not_before, now, true);
            }
            CallEnd::Closed if self.close_implies_down => {}
            CallEnd::Reset if self.reset_implies_down => {}
            CallEnd::Closed | CallEnd::Reset => {
                self.record_missing(answer_not_before, now, false);
                self.record_silent_end(end, now);
            }
            CallEnd::NotSent if self.unsent_calls >= MIN_UNSENT_CALLS_WHEN_DOWN => {
                self.missing = self.missing.filter(|missing| missing.is_certain);
            }
            CallEnd::NotSent | CallEnd::Refused | CallEnd::TimedOut => {}
        }
        self.early_retries += u32::from(self.needs_early_retry(end, now));
    }

    /// Records that discovery may have written a change since `since` that was not received.
    pub fn change_may_be_missed(&mut self, since: f64, now: f64) {
        self.record_missing(since, now, false);
    }

    /// Records that a change, which counts as notified since `since`, was not received.
    pub fn change_missed(&mut self, since: f64, now: f64) {
        self.record_missing(since, now, true);
    }

    /// Records the complete answer to a call made at `made_at`.
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

    /// Returns the time since which an answer may be missing or incomplete, as of `now`.
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

    /// Returns whether a call has to be made because an answer may be missing.
    pub fn needs_call(&self, now: f64) -> bool {
        self.missing
            .is_some_and(|missing| !self.is_presumed_unwritten(&missing, now))
    }

    /// Returns whether a call that ended in this way is retried before its scheduled time, because an answer is or may be
    /// missing.
    pub fn needs_early_retry(&self, end: CallEnd, now: f64) -> bool {
        end.may_have_answer() || self.needs_call(now)
    }

    /// Returns the delay before a call that ended without an answer is retried early (seconds). `mixers` is the number of mixers
    /// that call the same discovery, `was_prompt` is whether the call ended as soon as it was made, `jitter` is from 0 to 1.
    pub fn retry_delay_s(&self, mixers: u32, was_prompt: bool, jitter: f64) -> f64 {
        let fleet_service_s = f64::from(mixers) * CALL_SERVICE_S;
        let spread_s =
            (fleet_service_s - MAX_UNSPREAD_QUEUE_S).clamp(MIN_RETRY_SPREAD_S, MAX_RETRY_SPREAD_S);
        let doublings = self
            .early_retries
            .saturating_sub(RETRIES_BEFORE_BACKOFF)
            .min(16);
        // A discovery that ends calls immediately has no queue, so the retries need no spreading.
        let first_spread_s = if was_prompt {
            MIN_RETRY_SPREAD_S
        } else {
            spread_s
        };
        let first_s = MIN_RETRY_DELAY_S + jitter * first_spread_s;
        let bound_s = first_s.max(spread_s).max(MIN_RETRY_BOUND_S);
        (first_s * f64::from(doublings).exp2()).min(bound_s)
    }

    /// Returns the number of answers that were or may have been lost since the start of the process.
    pub fn lost_count(&self) -> u64 {
        self.lost_count
    }

    /// Returns the state that is handed over to the successor process.
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

    /// Adds the missing answer that the predecessor process handed over.
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

    /// Records a call that was closed or reset before a byte. If the previous such call ended in the other way, this call may
    /// have been answered, and the time until discovery is presumed down starts again.
    fn record_silent_end(&mut self, end: CallEnd, now: f64) {
        let before = self.last_silent_end.replace(end);
        let is_other = before != Some(end);
        self.has_mixed_ends |= is_other && before.is_some();
        if let Some(missing) = self.missing.as_mut().filter(|_| is_other) {
            missing.suspected_at = now;
        }
    }

    /// Drops an uncertain answer once calls have ended in the same way for so long that discovery is presumed down.
    fn drop_presumed_unwritten(&mut self, now: f64) {
        if self
            .missing
            .is_some_and(|missing| self.is_presumed_unwritten(&missing, now))
        {
            self.missing = None;
            self.close_implies_down |= self.last_silent_end == Some(CallEnd::Closed);
            self.reset_implies_down |= self.last_silent_end == Some(CallEnd::Reset);
        }
    }
}

#[cfg(test)]
mod tests;
