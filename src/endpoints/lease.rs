//! How long the endpoint list may be acted on: a lease that each answer of discovery renews.
//!
//! A list is true at the moment discovery writes it. A change that a mixer missed counts as notified 6 s after discovery had
//! it and could be reached; anything sent after that to a server that is draining or removed is wrong. The list may
//! therefore be acted on for that time after it was confirmed. While calls fail, discovery counts as unreachable, and the lease
//! runs from the start of each such call; it ends where no call is made, in a process that was stopped, and on a list from
//! before the start of the process. Where an answer is missing that discovery may have written, the lease ends with the drain
//! grace (`missing_answers.rs`).
//!
//! This file owns whether an answer of discovery is missing, until when the list may be acted on, and when a call has to be
//! made for either reason. Each call ends in one [`CallOutcome`], passed once to [`ListLease::call_ended`]. It must never make
//! a call, judge a server or read a clock.

use super::missing_answers::{CallEnd, MissingAnswerHandover, MissingAnswers};
use crate::decisions::draining;
use miniserde::{Deserialize, Serialize};

/// A change counts as notified this long after discovery had it and could be reached (seconds).
const LEASE_S: f64 = 6.0;
/// What a silent watch missed counts as notified this long after the end of its wait, if that is later (seconds). Less than
/// the 2 s of the terms, because the next call has to be answered by then.
const AFTER_WATCH_S: f64 = 1.5;
/// After a change to another discovery its list counts as notified this much later (seconds).
const MOVED_LEASE_S: f64 = 4.0;
/// A call is made this long before the end of a lease in use (seconds): it may take 2 s to fail, and begins at a periodic
/// check.
const RENEW_BEFORE_S: f64 = 2.5;
/// A list from before the start is acted on unconfirmed only after this many failed calls: servers may have been removed while
/// the mixer was down, and single calls fail by chance.
const MIN_FAILED_CALLS: u32 = 3;
/// A call that took this long to fail counts as that many (seconds).
const SLOW_CALL_S: f64 = 1.2;
/// A list from before the start is not acted on unconfirmed sooner than this after the start (seconds). A restarted mixer has
/// to be ready within 6 s.
const START_HOLD_S: f64 = 1.5;
/// A failed call is retried within 1.4 s by a schedule that spreads a fleet's retries. The lease requires a call only after a
/// longer pause (seconds).
const MIN_PAUSE_S: f64 = 1.5;
/// A lease in force is checked at most this often (seconds).
const CHECK_INTERVAL_S: f64 = 1.0;
/// A lease that is not in force yet is checked at most this often (seconds).
const MIN_CHECK_INTERVAL_S: f64 = 0.05;
/// The list is in use if a request was received within this time (seconds).
const IN_USE_S: f64 = 6.0;

/// What the lease is based on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Basis {
    /// There is no discovery: the list is the operators' own.
    NoDiscovery,
    /// Nothing yet: the list is from before the start.
    Unconfirmed,
    /// Discovery confirmed the list.
    Confirmed,
    /// Discovery is unreachable.
    Unreachable,
    /// An answer is missing that discovery may have written.
    AnswerMissing,
}

impl Basis {
    /// The text for the log.
    pub fn label(self) -> &'static str {
        match self {
            Basis::NoDiscovery => "no discovery",
            Basis::Unconfirmed => "not confirmed yet",
            Basis::Confirmed => "confirmed by discovery",
            Basis::Unreachable => "discovery can't be reached",
            Basis::AnswerMissing => "an answer of discovery is missing",
        }
    }
}

/// How a call to discovery ended. Times are of the caller's clock (seconds).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// A complete answer confirms the list in use.
    Confirmed {
        /// When the call was made.
        made_at: f64,
        /// The answer was written at this time at the earliest.
        answer_not_before: f64,
    },
    /// The call, or the connection of the watch, failed.
    Failed {
        /// When the call was made, or now where none was in flight.
        began_at: f64,
        /// What is known of its answer.
        end: CallEnd,
        /// An answer, if any, was written at this time at the earliest.
        answer_not_before: f64,
    },
    /// No connection could be opened for the call, so that nothing was sent.
    NotOpened,
    /// The mixer closed the connection while an answer was arriving.
    Abandoned {
        /// Since when the answer had been arriving.
        answer_arriving_since: f64,
    },
}

/// When the call after one that ended is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    /// When the watch schedule says.
    AsScheduled,
    /// After [`ListLease::early_retry_delay_s`], because an answer is or may be missing.
    Early,
}

/// A lease as it is handed to the successor process, in ages, because the two processes share no clock. The field names are
/// part of the handover.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseHandover {
    /// Time since the list was last known to be true (seconds).
    pub confirmed_age_s: Option<f64>,
    /// Time since the last call began, if it failed (seconds).
    pub failed_call_age_s: Option<f64>,
    /// Time since the start of the process (seconds).
    pub began_age_s: f64,
    /// Calls in a row that failed; a slow one counts as several.
    pub failed_calls: u32,
    /// The missing answer, if any; older versions send none.
    pub missing_answer: Option<MissingAnswerHandover>,
}

/// The lease on the list in use. Times are of the caller's clock (seconds).
#[derive(Clone, Copy, Debug)]
pub struct ListLease {
    has_discovery: bool,
    drain_grace_s: f64,
    missing_answers: MissingAnswers,
    began_at: f64,
    confirmed_at: Option<f64>,
    /// When the last call began, if it failed.
    failed_call_at: Option<f64>,
    /// Calls in a row that failed; a slow one counts as several.
    failed_calls: u32,
    /// When the last call failed.
    failed_at: f64,
    /// When the oldest call in flight was made, as long as nothing was confirmed.
    first_call_at: Option<f64>,
    last_request_at: f64,
    suspended_until: f64,
    /// When the wait of the open watch is over.
    watch_until: f64,
}

impl ListLease {
    /// A lease on a list from before the start; nothing may be sent to a draining server `drain_grace_s` (seconds) after the
    /// mixer was notified of it.
    pub fn new(has_discovery: bool, drain_grace_s: f64, now: f64) -> ListLease {
        ListLease {
            has_discovery,
            drain_grace_s,
            missing_answers: MissingAnswers::default(),
            began_at: now,
            confirmed_at: None,
            failed_call_at: None,
            failed_calls: 0,
            failed_at: f64::NEG_INFINITY,
            first_call_at: None,
            last_request_at: now,
            suspended_until: f64::NEG_INFINITY,
            watch_until: f64::NEG_INFINITY,
        }
    }

    /// Sets the drain grace of new settings (seconds).
    pub fn set_drain_grace(&mut self, drain_grace_s: f64) {
        self.drain_grace_s = drain_grace_s;
    }

    /// Another discovery is called from now on. Where there was none before, the list was true until now.
    pub fn discovery_changed(&mut self, now: f64) {
        if !self.has_discovery {
            self.has_discovery = true;
            self.confirmed_at = Some(now);
        }
        let latest = now + MOVED_LEASE_S - LEASE_S;
        self.confirmed_at = self.confirmed_at.map(|at| at.min(latest));
        self.failed_call_at = self.failed_call_at.map(|at| at.min(latest));
        self.watch_until = f64::NEG_INFINITY;
    }

    /// A watch was opened that discovery answers at that time at the latest.
    pub fn watch_opened(&mut self, wait_over_at: f64) {
        self.watch_until = wait_over_at;
    }

    /// A call was made now.
    pub fn call_made(&mut self, now: f64) {
        if self.confirmed_at.is_none() {
            self.first_call_at.get_or_insert(now);
        }
    }

    /// A call ended now. Gives when the next one is made.
    #[must_use]
    pub fn call_ended(&mut self, outcome: CallOutcome, now: f64) -> NextCall {
        match outcome {
            CallOutcome::Confirmed {
                made_at,
                answer_not_before,
            } => {
                self.confirm(made_at.max(answer_not_before));
                self.missing_answers.answered(made_at);
                NextCall::AsScheduled
            }
            CallOutcome::Failed {
                began_at,
                end,
                answer_not_before,
            } => {
                self.missing_answers.call_ended(end, answer_not_before, now);
                self.record_failure(began_at, now);
                if end != CallEnd::TimedOut {
                    self.first_call_at = None; // one that was given up may still be answered
                }
                self.next_call(end, now)
            }
            CallOutcome::NotOpened => {
                self.record_failure(now, now);
                self.first_call_at = None;
                NextCall::AsScheduled
            }
            CallOutcome::Abandoned {
                answer_arriving_since,
            } => {
                self.missing_answers
                    .call_ended(CallEnd::CutOff, answer_arriving_since, now);
                self.next_call(CallEnd::CutOff, now)
            }
        }
    }

    fn next_call(&self, end: CallEnd, now: f64) -> NextCall {
        if self.missing_answers.needs_early_retry(end, now) {
            NextCall::Early
        } else {
            NextCall::AsScheduled
        }
    }

    /// The list was true at that time.
    fn confirm(&mut self, at: f64) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |before| before.max(at)));
        self.failed_call_at = None;
        self.failed_calls = 0;
        self.first_call_at = None;
        self.suspended_until = f64::NEG_INFINITY;
        self.watch_until = f64::NEG_INFINITY;
    }

    /// A call that was made at `began_at` failed now.
    fn record_failure(&mut self, began_at: f64, now: f64) {
        let latest = self
            .failed_call_at
            .map_or(began_at, |before| before.max(began_at));
        self.failed_call_at = Some(latest);
        let weight = if now >= began_at + SLOW_CALL_S {
            MIN_FAILED_CALLS
        } else {
            1
        };
        self.failed_calls = self.failed_calls.saturating_add(weight);
        self.failed_at = now;
    }

    /// No call is made before then, because discovery's list is longer than what is read.
    pub fn suspend_calls(&mut self, until: f64) {
        self.suspended_until = until;
    }

    /// Sets since when an incomplete answer has been arriving, if one is.
    pub fn set_answer_arriving(&mut self, since: Option<f64>) {
        self.missing_answers.set_answer_arriving(since);
    }

    /// Records that a change counts as notified since then that nobody received.
    pub fn change_missed(&mut self, since: f64, now: f64) {
        self.missing_answers.change_missed(since, now);
    }

    /// Whether a call has to be made because an answer of discovery may be missing.
    pub fn is_answer_missing(&self, now: f64) -> bool {
        self.missing_answers.needs_call(now)
    }

    /// Delay of an early retry (seconds), among `mixers` that call the same discovery; `was_prompt` is whether the call before
    /// it ended as soon as it was made, `jitter` is from 0 to 1.
    pub fn early_retry_delay_s(&self, mixers: u32, was_prompt: bool, jitter: f64) -> f64 {
        self.missing_answers
            .retry_delay_s(mixers, was_prompt, jitter)
    }

    /// Number of answers that were or may have been lost since the start of the process.
    pub fn lost_answers(&self) -> u64 {
        self.missing_answers.lost_count()
    }

    /// Since when discovery may have notified what a list read now says; `looked_at` is when the loop read its sockets before.
    pub fn notified_since(&self, now: f64, looked_at: f64) -> f64 {
        self.missing_answers
            .since(now)
            .map_or(looked_at, |since| since.min(looked_at))
    }

    /// What the successor process inherits.
    pub fn hand_over(&self, now: f64) -> LeaseHandover {
        let age_s = |at: f64| (now - at).max(0.0);
        LeaseHandover {
            confirmed_age_s: self.confirmed_at.map(age_s),
            failed_call_age_s: self.failed_call_at.map(age_s),
            began_age_s: age_s(self.began_at),
            failed_calls: self.failed_calls,
            missing_answer: self.missing_answers.hand_over(now),
        }
    }

    /// Takes over from the predecessor process, whose list, or a newer one, is in use here.
    pub fn inherit(&mut self, now: f64, handed: LeaseHandover) {
        let at = |age_s: f64| now - age_s.max(0.0);
        let later =
            |own: Option<f64>, handed: Option<f64>| own.into_iter().chain(handed).reduce(f64::max);
        let confirmed_at = later(self.confirmed_at, handed.confirmed_age_s.map(at));
        let is_own_unconfirmed = self.confirmed_at.is_none();
        if is_own_unconfirmed {
            self.failed_call_at = later(self.failed_call_at, handed.failed_call_age_s.map(at));
            self.failed_calls = self.failed_calls.saturating_add(handed.failed_calls);
        }
        self.confirmed_at = confirmed_at;
        // What discovery notifies to the predecessor from now on counts for this process too, which only its own calls see.
        let is_predecessor_watching =
            handed.confirmed_age_s.is_some() && handed.failed_call_age_s.is_none();
        if is_own_unconfirmed && is_predecessor_watching {
            self.missing_answers.change_may_be_missed(now, now);
        }
        if let Some(missing) = handed.missing_answer {
            self.missing_answers.inherit(now, missing);
        }
        self.began_at = self.began_at.min(at(handed.began_age_s));
    }

    /// A request was received that needs the list.
    pub fn request_received(&mut self, now: f64) {
        self.last_request_at = now;
    }

    /// Until when the list may be acted on if no call ends before; infinite without a discovery.
    pub fn expires_at(&self, now: f64) -> f64 {
        if !self.has_discovery {
            return f64::INFINITY;
        }
        let missing_since = self.missing_answers.since(now);
        let latest = missing_since.map_or(f64::INFINITY, |since| {
            draining::usable_until(since, self.drain_grace_s)
        });
        self.expiry_if_none_missing(now).min(latest)
    }

    /// The same if no answer is missing.
    fn expiry_if_none_missing(&self, now: f64) -> f64 {
        // Calls that may have been answered do not show that discovery is down.
        let is_unconfirmed = self.confirmed_at.is_none();
        let is_usable =
            !is_unconfirmed || (self.is_hold_over(now) && !self.missing_answers.needs_call(now));
        let unanswered = self.first_call_at.filter(|at| now >= at + SLOW_CALL_S);
        let unreachable = self
            .failed_call_at
            .into_iter()
            .chain(unanswered)
            .reduce(f64::max)
            .filter(|_| is_usable);
        let latest = self
            .confirmed_at
            .into_iter()
            .chain(unreachable)
            .fold(f64::NEG_INFINITY, f64::max);
        if latest.is_infinite() {
            return f64::NEG_INFINITY;
        }
        (latest.max(self.suspended_until) + LEASE_S).max(self.watch_until + AFTER_WATCH_S)
    }

    /// Whether the list may be acted on now.
    pub fn is_in_force(&self, now: f64) -> bool {
        now < self.expires_at(now)
    }

    /// What the lease is based on now.
    pub fn basis(&self, now: f64) -> Basis {
        match (self.has_discovery, self.failed_call_at, self.confirmed_at) {
            (false, _, _) => Basis::NoDiscovery,
            _ if self.missing_answers.needs_call(now) => Basis::AnswerMissing,
            (true, Some(_), _) => Basis::Unreachable,
            (true, None, Some(_)) => Basis::Confirmed,
            (true, None, None) => Basis::Unconfirmed,
        }
    }

    /// When to check next whether a call is needed, if no call ends before.
    pub fn next_check_at(&self, now: f64) -> f64 {
        let expires_at = self.expires_at(now);
        if expires_at.is_finite() {
            return (expires_at - RENEW_BEFORE_S).max(now + CHECK_INTERVAL_S);
        }
        let slow_at = self
            .first_call_at
            .map_or(now + CHECK_INTERVAL_S, |at| at + SLOW_CALL_S);
        slow_at
            .max(self.hold_ends_at())
            .max(now + MIN_CHECK_INTERVAL_S)
    }

    /// When the list was last known to be true.
    pub fn confirmed_at(&self) -> Option<f64> {
        self.confirmed_at
    }

    /// Whether a list from before the start may be acted on, since discovery is unreachable.
    fn is_hold_over(&self, now: f64) -> bool {
        let is_unanswered = self.first_call_at.is_some_and(|at| now >= at + SLOW_CALL_S);
        (self.failed_calls >= MIN_FAILED_CALLS || is_unanswered) && now >= self.hold_ends_at()
    }

    /// From when on a list from before the start may be acted on if calls fail.
    fn hold_ends_at(&self) -> f64 {
        self.began_at + START_HOLD_S
    }

    /// Whether a call should be made now, if none is in flight: a lease in use is about to end, or has ended.
    pub fn needs_call(&self, now: f64) -> bool {
        let is_in_use = now < self.last_request_at + IN_USE_S;
        let is_spaced = now >= self.failed_at + MIN_PAUSE_S;
        let expires_at = self.expires_at(now);
        // Before the first answer or failure, the watch schedule spreads the calls of a fleet that starts together.
        self.has_discovery
            && expires_at.is_finite()
            && is_in_use
            && is_spaced
            && now + RENEW_BEFORE_S >= expires_at
    }
}

#[cfg(test)]
mod tests;
