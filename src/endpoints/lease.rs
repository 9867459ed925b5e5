//! The lease on the endpoint list, which limits how long the list may be used and which each answer of discovery renews.
//!
//! A list is correct at the time at which discovery writes it. The mixer counts as notified of a change 6 s after discovery
//! had the change and was reachable; sending to a draining or removed server after that violates the rules. The list may
//! therefore be used for 6 s after it was confirmed. While calls fail, discovery counts as unreachable, and the lease is
//! extended from the start of each failed call. The lease expires if no call is made, for example because the process was
//! paused, and a list from before the start of the process has no lease until it is confirmed or discovery is found
//! unreachable. If an answer that discovery may have written was not received, the lease expires with the drain grace
//! (`missing_answers.rs`).
//!
//! Each call ends in one [`CallOutcome`], which must be passed to [`ListLease::call_ended`] exactly once.

use super::missing_answers::{CallEnd, MissingAnswerHandover, MissingAnswers};
use crate::decisions::draining;
use miniserde::{Deserialize, Serialize};

/// Time after which the mixer counts as notified of a change that a reachable discovery had (seconds).
const LEASE_S: f64 = 6.0;
/// The lease lasts at least until this time after the end of the wait of an open watch (seconds). The rules allow 2 s; less is
/// used, because the next call has to be answered by then.
const AFTER_WATCH_S: f64 = 1.5;
/// Time after a switch to another discovery at which the mixer counts as notified of the new list (seconds).
const CHANGED_DISCOVERY_LEASE_S: f64 = 4.0;
/// Time before the expiry of a lease in use at which a call is made (seconds): the call may take 2 s to fail, and is made only
/// at a periodic check.
const RENEW_BEFORE_S: f64 = 2.5;
/// Number of failed calls after which a list from before the start is used unconfirmed. Servers may have been removed while the
/// mixer was down, and single calls may fail although discovery is up.
const MIN_FAILED_CALLS: u32 = 3;
/// A call that fails after at least this time counts as [`MIN_FAILED_CALLS`] failed calls (seconds).
const SLOW_CALL_S: f64 = 1.2;
/// Minimum time after the start before a list from before the start is used unconfirmed (seconds). A restarted mixer has to be
/// ready within 6 s.
const MIN_UNCONFIRMED_WAIT_S: f64 = 1.5;
/// Minimum time after a failed call before the lease requires another one (seconds). The watch schedule, which spreads the
/// retries of a fleet, retries a failed call within 1.4 s, so the lease leaves the retry to the schedule.
const MIN_RETRY_INTERVAL_S: f64 = 1.5;
/// Minimum interval between checks of a valid lease (seconds).
const CHECK_INTERVAL_S: f64 = 1.0;
/// Minimum interval between checks of a lease that is not valid yet (seconds).
const MIN_CHECK_INTERVAL_S: f64 = 0.05;
/// The list counts as in use for this time after a request (seconds).
const IN_USE_S: f64 = 6.0;

/// The evidence on which the lease is based, as shown in the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LeaseBasis {
    /// No discovery is configured: operators provide the list.
    NoDiscovery,
    /// The list is from before the start and was not confirmed yet.
    Unconfirmed,
    /// Discovery confirmed the list, and no later call failed.
    Confirmed,
    /// The last call failed.
    Unreachable,
    /// An answer that discovery may have written was not received, so that the list may be outdated.
    AnswerMissing,
}

impl LeaseBasis {
    /// Returns the text for the log.
    pub fn label(self) -> &'static str {
        match self {
            LeaseBasis::NoDiscovery => "no discovery is configured",
            LeaseBasis::Unconfirmed => "not confirmed by discovery yet",
            LeaseBasis::Confirmed => "confirmed by discovery",
            LeaseBasis::Unreachable => "discovery is unreachable",
            LeaseBasis::AnswerMissing => "an answer of discovery may be missing",
        }
    }
}

/// Outcome of a call to discovery. Times are on the caller's clock (seconds).
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// A complete answer was received; it confirms the list in use.
    Confirmed {
        /// Time at which the call was made.
        made_at: f64,
        /// Earliest time at which the answer can have been written.
        answer_not_before: f64,
    },
    /// The call, or the connection of the watch, failed.
    Failed {
        /// Time at which the call was made, or now if none was in flight.
        began_at: f64,
        /// Way in which the call ended, which determines whether an answer may have been written.
        end: CallEnd,
        /// Earliest time at which an answer, if any, can have been written.
        answer_not_before: f64,
    },
    /// The connection for the call could not be opened, so nothing was sent.
    NotOpened,
    /// The mixer closed the connection while an answer was arriving.
    Abandoned {
        /// Time since which the answer had been arriving.
        answer_arriving_since: f64,
    },
}

/// Timing of the call that follows one that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextCall {
    /// At the time set by the watch schedule.
    AsScheduled,
    /// After [`ListLease::early_retry_delay_s`], because an answer is or may be missing.
    Early,
}

/// State of a lease in the handover to the successor process. Times are sent as ages, because the two processes share no clock.
/// The field names are part of the handover format.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct LeaseHandover {
    /// Time since the list was last known to be correct (seconds).
    pub confirmed_age_s: Option<f64>,
    /// Time since the last call began, if it failed (seconds).
    pub failed_call_age_s: Option<f64>,
    /// Time since the start of the process (seconds).
    pub began_age_s: f64,
    /// Number of consecutive failed calls; a slow failure counts as several.
    pub failed_calls: u32,
    /// The missing answer, if any. Older versions do not send this field.
    pub missing_answer: Option<MissingAnswerHandover>,
}

/// The lease on the list in use. Times are on the caller's clock (seconds).
#[derive(Clone, Copy, Debug)]
pub struct ListLease {
    has_discovery: bool,
    drain_grace_s: f64,
    missing_answers: MissingAnswers,
    started_at: f64,
    confirmed_at: Option<f64>,
    /// Start of the last call, if it failed.
    failed_call_at: Option<f64>,
    /// Number of consecutive failed calls; a slow failure counts as several.
    failed_calls: u32,
    /// Time at which the last call failed.
    failed_at: f64,
    /// Start of the oldest call in flight. Set only while the list was never confirmed.
    first_call_at: Option<f64>,
    last_request_at: f64,
    suspended_until: f64,
    /// Time at which the wait of the open watch ends.
    watch_until: f64,
}

impl ListLease {
    /// Creates the lease on a list from before the start. `drain_grace_s` is the time after the notification that a server is
    /// draining after which no part may be sent to that server (seconds).
    pub fn new(has_discovery: bool, drain_grace_s: f64, now: f64) -> ListLease {
        ListLease {
            has_discovery,
            drain_grace_s,
            missing_answers: MissingAnswers::default(),
            started_at: now,
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

    /// Sets the drain grace after a change of settings (seconds).
    pub fn set_drain_grace(&mut self, drain_grace_s: f64) {
        self.drain_grace_s = drain_grace_s;
    }

    /// Records a switch to another discovery. If there was none before, the list was correct until now.
    pub fn discovery_changed(&mut self, now: f64) {
        if !self.has_discovery {
            self.has_discovery = true;
            self.confirmed_at = Some(now);
        }
        let latest = now + CHANGED_DISCOVERY_LEASE_S - LEASE_S;
        self.confirmed_at = self.confirmed_at.map(|at| at.min(latest));
        self.failed_call_at = self.failed_call_at.map(|at| at.min(latest));
        self.watch_until = f64::NEG_INFINITY;
    }

    /// Records that a watch was opened, which discovery answers by `wait_over_at`.
    pub fn watch_opened(&mut self, wait_over_at: f64) {
        self.watch_until = wait_over_at;
    }

    /// Records that a call was made.
    pub fn call_made(&mut self, now: f64) {
        if self.confirmed_at.is_none() {
            self.first_call_at.get_or_insert(now);
        }
    }

    /// Records the outcome of a call that ended now, and returns the timing of the next call.
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
                    self.first_call_at = None; // a call that timed out stays open and may still be answered
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

    /// Records that the list was correct at that time.
    fn confirm(&mut self, at: f64) {
        self.confirmed_at = Some(self.confirmed_at.map_or(at, |before| before.max(at)));
        self.failed_call_at = None;
        self.failed_calls = 0;
        self.first_call_at = None;
        self.suspended_until = f64::NEG_INFINITY;
        self.watch_until = f64::NEG_INFINITY;
    }

    /// Records that a call made at `began_at` failed now.
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

    /// Extends the lease while calls are suspended because discovery's list exceeds the maximum length.
    pub fn suspend_calls(&mut self, until: f64) {
        self.suspended_until = until;
    }

    /// Sets the time since which an incomplete answer has been arriving, or `None`.
    pub fn set_answer_arriving(&mut self, since: Option<f64>) {
        self.missing_answers.set_answer_arriving(since);
    }

    /// Records that a change, which counts as notified since `since`, was not received.
    pub fn change_missed(&mut self, since: f64, now: f64) {
        self.missing_answers.change_missed(since, now);
    }

    /// Returns whether a call has to be made because an answer of discovery may be missing.
    pub fn is_answer_missing(&self, now: f64) -> bool {
        self.missing_answers.needs_call(now)
    }

    /// Returns the delay of an early retry (seconds). `mixers` is the number of mixers that call the same discovery,
    /// `was_prompt` is whether the previous call ended as soon as it was made, `jitter` is from 0 to 1.
    pub fn early_retry_delay_s(&self, mixers: u32, was_prompt: bool, jitter: f64) -> f64 {
        self.missing_answers
            .retry_delay_s(mixers, was_prompt, jitter)
    }

    /// Returns the number of answers that were or may have been lost since the start of the process.
    pub fn lost_answers(&self) -> u64 {
        self.missing_answers.lost_count()
    }

    /// Returns the earliest time at which discovery may have notified the mixer of the contents of a list that is read now.
    /// `last_poll_at` is the time of the previous poll of the sockets.
    pub fn notified_since(&self, now: f64, last_poll_at: f64) -> f64 {
        self.missing_answers
            .since(now)
            .map_or(last_poll_at, |since| since.min(last_poll_at))
    }

    /// Returns the state that is handed over to the successor process.
    pub fn hand_over(&self, now: f64) -> LeaseHandover {
        let age_s = |at: f64| (now - at).max(0.0);
        LeaseHandover {
            confirmed_age_s: self.confirmed_at.map(age_s),
            failed_call_age_s: self.failed_call_at.map(age_s),
            began_age_s: age_s(self.started_at),
            failed_calls: self.failed_calls,
            missing_answer: self.missing_answers.hand_over(now),
        }
    }

    /// Merges the state of the predecessor process, whose list, or a newer one, is in use in this process.
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
        // From now on, a change of which discovery notifies the predecessor counts as notified to this process too, which
        // receives only the answers to its own calls.
        let is_predecessor_watching =
            handed.confirmed_age_s.is_some() && handed.failed_call_age_s.is_none();
        if is_own_unconfirmed && is_predecessor_watching {
            self.missing_answers.change_may_be_missed(now, now);
        }
        if let Some(missing) = handed.missing_answer {
            self.missing_answers.inherit(now, missing);
        }
        self.started_at = self.started_at.min(at(handed.began_age_s));
    }

    /// Records that a request that needs the list was received.
    pub fn request_received(&mut self, now: f64) {
        self.last_request_at = now;
    }

    /// Returns the time until which the list may be used, unless a call ends earlier; infinite without a discovery.
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

    /// Returns the expiry time, assuming that no answer is missing.
    fn expiry_if_none_missing(&self, now: f64) -> f64 {
        // Calls that may have been answered are no evidence that discovery is unreachable.
        let is_unconfirmed = self.confirmed_at.is_none();
        let is_usable = !is_unconfirmed
            || (self.is_usable_unconfirmed(now) && !self.missing_answers.needs_call(now));
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

    /// Returns whether the list may be used now.
    pub fn is_valid(&self, now: f64) -> bool {
        now < self.expires_at(now)
    }

    /// Returns the evidence on which the lease is based now.
    pub fn basis(&self, now: f64) -> LeaseBasis {
        match (self.has_discovery, self.failed_call_at, self.confirmed_at) {
            (false, _, _) => LeaseBasis::NoDiscovery,
            _ if self.missing_answers.needs_call(now) => LeaseBasis::AnswerMissing,
            (true, Some(_), _) => LeaseBasis::Unreachable,
            (true, None, Some(_)) => LeaseBasis::Confirmed,
            (true, None, None) => LeaseBasis::Unconfirmed,
        }
    }

    /// Returns the time of the next check whether a call is needed, unless a call ends earlier.
    pub fn next_check_at(&self, now: f64) -> f64 {
        let expires_at = self.expires_at(now);
        if expires_at.is_finite() {
            return (expires_at - RENEW_BEFORE_S).max(now + CHECK_INTERVAL_S);
        }
        let slow_at = self
            .first_call_at
            .map_or(now + CHECK_INTERVAL_S, |at| at + SLOW_CALL_S);
        slow_at
            .max(self.unconfirmed_wait_ends_at())
            .max(now + MIN_CHECK_INTERVAL_S)
    }

    /// Returns the time at which the list was last known to be correct.
    pub fn confirmed_at(&self) -> Option<f64> {
        self.confirmed_at
    }

    /// Returns whether a list from before the start may be used because discovery is unreachable.
    fn is_usable_unconfirmed(&self, now: f64) -> bool {
        let is_unanswered = self.first_call_at.is_some_and(|at| now >= at + SLOW_CALL_S);
        (self.failed_calls >= MIN_FAILED_CALLS || is_unanswered)
            && now >= self.unconfirmed_wait_ends_at()
    }

    /// Returns the time from which a list from before the start may be used if calls fail.
    fn unconfirmed_wait_ends_at(&self) -> f64 {
        self.started_at + MIN_UNCONFIRMED_WAIT_S
    }

    /// Returns whether a call should be made now, if none is in flight, because a lease in use is about to expire or has expired.
    pub fn needs_call(&self, now: f64) -> bool {
        let is_in_use = now < self.last_request_at + IN_USE_S;
        let is_retry_allowed = now >= self.failed_at + MIN_RETRY_INTERVAL_S;
        let expires_at = self.expires_at(now);
        // Before the first answer or failure, the watch schedule spreads the calls of a fleet that starts together.
        self.has_discovery
            && expires_at.is_finite()
            && is_in_use
            && is_retry_allowed
            && now + RENEW_BEFORE_S >= expires_at
    }
}

#[cfg(test)]
mod tests;
