//! The invariants: what must always hold, with one check for each kind of act, made where the act happens.
//!
//! Whatever the decision module, a queue or a socket did before: nothing is sent by an endpoint list that may not be acted
//! on, to a server that is draining or gone, or for a client that left; nothing is repeated outside its window; no connection
//! is closed while a request that was read from it has no answer; no client is served before there is a list. A `check_`
//! method is called before an act, and counts the act as stopped where it is forbidden; a `verify_` method is called after
//! an act, and counts a violation, or that the clock readings do not decide whether it was one. This file owns these rules and
//! all counts. It must never act, never read a clock, and never know a socket.

use crate::decisions::api::Effect;
use crate::endpoints::directory::ServerState;

/// The loop may be held up this long between reading its clock and writing: an act is judged as if it came so much later
/// (seconds).
const STALL_ALLOWANCE_S: f64 = 0.15;
/// Tolerance of the operators' rules on sockets (seconds).
const SLACK_S: f64 = 0.05;
/// The timeout sent to a server may exceed the time that its client still waits by this (seconds).
const MAX_SENT_TIMEOUT_EXCESS_S: f64 = 0.15;
/// A final answer that comes this long after its client's deadline counts as none (seconds).
const LATE_ANSWER_S: f64 = 0.5;

/// A rule that must always hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// Nothing is sent by an endpoint list that discovery has not confirmed for too long, and no client is served by one.
    StaleList,
    /// Nothing is sent to a server that is gone, or that is draining and whose grace is over.
    Drain,
    /// Nothing is sent for a client that has left, or for a request that has its final answer.
    ClientGone,
    /// Nothing is repeated outside its window, with more than one hedged request, or at all where a second execution does
    /// harm.
    Repeat,
    /// The timeout sent to a server is no longer than its client waits.
    SentTimeout,
    /// A request that was read has its final answer in time; no connection is closed before that.
    Unanswered,
    /// An attempt that is in flight gets its outcome.
    AttemptLost,
}

impl Invariant {
    /// All rules, in the order of their counters.
    pub const ALL: [Invariant; 7] = [
        Invariant::StaleList,
        Invariant::Drain,
        Invariant::ClientGone,
        Invariant::Repeat,
        Invariant::SentTimeout,
        Invariant::Unanswered,
        Invariant::AttemptLost,
    ];

    /// Its label in metrics and log lines; operators rely on it.
    pub fn label(self) -> &'static str {
        match self {
            Invariant::StaleList => "stale_list",
            Invariant::Drain => "drain",
            Invariant::ClientGone => "client_gone",
            Invariant::Repeat => "repeat",
            Invariant::SentTimeout => "told_wait",
            Invariant::Unanswered => "unanswered",
            Invariant::AttemptLost => "attempt_lost",
        }
    }
}

/// The server of a call, and what limits calls to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Destination {
    /// The server's state.
    pub server: ServerState,
    /// Nothing may go to a draining server this long after the mixer was notified (seconds).
    pub drain_grace_s: f64,
    /// Until when the endpoint list may be acted on.
    pub list_until: f64,
}

/// The limits in time of a call whose first byte is to be written, or has been.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTimes {
    /// When it must have begun to leave; infinite where none of its parts is a limited repeat.
    pub send_by: f64,
    /// By how much the timeout sent exceeds what a client still waits, the most over the parts of the call (seconds).
    pub sent_beyond_client_s: f64,
    /// Until when the last of its clients waits.
    pub client_deadline: f64,
}

/// When a call began to leave: between two readings of the clock (seconds). The process may have been stopped between them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WriteInterval {
    /// Just before the write.
    pub not_before: f64,
    /// After the write.
    pub not_after: f64,
}

/// When a client stops to wait for its answer: between these times (seconds). It is not known when its request came that was read
/// by a process that had been held up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlineBounds {
    /// If the request came right after the sockets were looked at before.
    pub earliest: f64,
    /// If it came right before it was read.
    pub latest: f64,
}

/// What was found of an act after it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verification {
    /// It kept every rule.
    Kept,
    /// It violated that rule.
    Violated(Invariant),
    /// Two readings of the clock have its limit between them: it violated that rule or kept it.
    Undecided(Invariant),
}

impl Verification {
    /// The word for the log and the rule, unless every rule was kept.
    pub fn finding(self) -> Option<(&'static str, Invariant)> {
        match self {
            Verification::Kept => None,
            Verification::Violated(rule) => Some(("violated", rule)),
            Verification::Undecided(rule) => Some(("undecided", rule)),
        }
    }
}

/// The facts about a further attempt of a part.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Repeat {
    /// What a second execution does.
    pub effect: Effect,
    /// When the first attempt was sent that may have been executed, if there is one.
    pub may_have_run_since: Option<f64>,
    /// How long leaf servers discard repeats, in classes with an idempotency key (seconds).
    pub window_s: f64,
    /// Attempts of the part that are in flight.
    pub in_flight: usize,
    /// Whether two may be in flight (hedging).
    pub hedging_allowed: bool,
}

/// The counts of acts that were stopped and of violations, by rule.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    stopped: [u64; Invariant::ALL.len()],
    violations: [u64; Invariant::ALL.len()],
    undecided: [u64; Invariant::ALL.len()],
}

impl Invariants {
    /// How many acts were stopped that the rule forbids.
    pub fn stopped(&self, rule: Invariant) -> u64 {
        self.stopped[rule as usize]
    }

    /// How often the rule was violated.
    pub fn violations(&self, rule: Invariant) -> u64 {
        self.violations[rule as usize]
    }

    /// How often the readings of the clock did not decide whether the rule was violated.
    pub fn undecided(&self, rule: Invariant) -> u64 {
        self.undecided[rule as usize]
    }

    /// Counts an act that the rule forbids and that was stopped.
    pub fn stop(&mut self, rule: Invariant) {
        self.stopped[rule as usize] += 1;
    }

    /// Counts a violation of the rule.
    pub fn violated(&mut self, rule: Invariant) {
        self.violations[rule as usize] += 1;
    }

    /// Checks that a call may go to the server now; the error is the rule that forbids it.
    pub fn check_destination(&mut self, now: f64, to: &Destination) -> Result<(), Invariant> {
        let latest = now + STALL_ALLOWANCE_S;
        let forbidden = match to.server {
            _ if now >= to.list_until => Some(Invariant::StaleList),
            ServerState::Removed => Some(Invariant::Drain),
            ServerState::Draining { since } if latest >= since + to.drain_grace_s + SLACK_S => {
                Some(Invariant::Drain)
            }
            ServerState::Ready | ServerState::Draining { .. } => None,
        };
        self.verdict(forbidden)
    }

    /// Checks that a call may begin to leave now; the error is the rule that forbids it.
    pub fn check_call(&mut self, now: f64, call: &CallTimes) -> Result<(), Invariant> {
        let forbidden = if call.send_by < now {
            Some(Invariant::Repeat)
        } else if call.client_deadline <= now {
            Some(Invariant::ClientGone)
        } else if call.sent_beyond_client_s > MAX_SENT_TIMEOUT_EXCESS_S {
            Some(Invariant::SentTimeout)
        } else {
            None
        };
        self.verdict(forbidden)
    }

    /// Verifies a call that has begun to leave within that interval. All limits are upper ones, so that a call that was late
    /// before the write was late in any case.
    pub fn verify_call(
        &mut self,
        written: WriteInterval,
        to: &Destination,
        call: &CallTimes,
    ) -> Verification {
        let verification = match (
            rule_broken_at(written.not_before, to, call),
            rule_broken_at(written.not_after, to, call),
        ) {
            (Some(rule), _) => Verification::Violated(rule),
            (None, Some(rule)) => Verification::Undecided(rule),
            (None, None) => Verification::Kept,
        };
        self.count_verification(verification)
    }

    /// Checks that a part may be sent once more now.
    pub fn check_repeat(&mut self, now: f64, repeat: &Repeat) -> Result<(), Invariant> {
        let effect_allows = match (repeat.effect, repeat.may_have_run_since) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::IdempotentWithKey, Some(since)) => now <= since + repeat.window_s,
            (Effect::NonIdempotent, Some(_)) => false,
        };
        let hedging_allows = repeat.in_flight <= usize::from(repeat.hedging_allowed);
        self.verdict((!effect_allows || !hedging_allows).then_some(Invariant::Repeat))
    }

    /// Checks that clients may be served from now on, by a list that may be acted on until `list_until`.
    pub fn check_start(&mut self, now: f64, list_until: f64) -> Result<(), Invariant> {
        self.verdict((now >= list_until).then_some(Invariant::StaleList))
    }

    /// Verifies that the final answer that a request gets now is in time for its client.
    pub fn verify_answer(&mut self, now: f64, client_deadline: DeadlineBounds) -> Verification {
        let verification = if now > client_deadline.latest + LATE_ANSWER_S {
            Verification::Violated(Invariant::Unanswered)
        } else if now > client_deadline.earliest + LATE_ANSWER_S {
            Verification::Undecided(Invariant::Unanswered)
        } else {
            Verification::Kept
        };
        self.count_verification(verification)
    }

    fn count_verification(&mut self, verification: Verification) -> Verification {
        match verification {
            Verification::Kept => {}
            Verification::Violated(rule) => self.violated(rule),
            Verification::Undecided(rule) => self.undecided[rule as usize] += 1,
        }
        verification
    }

    fn verdict(&mut self, forbidden: Option<Invariant>) -> Result<(), Invariant> {
        match forbidden {
            Some(rule) => {
                self.stop(rule);
                Err(rule)
            }
            None => Ok(()),
        }
    }
}

/// The rule that a call violates if it begins to leave at that time.
fn rule_broken_at(written_at: f64, to: &Destination, call: &CallTimes) -> Option<Invariant> {
    match to.server {
        _ if written_at >= to.list_until + to.drain_grace_s + SLACK_S => Some(Invariant::StaleList),
        ServerState::Removed => Some(Invariant::Drain),
        ServerState::Draining { since } if written_at >= since + to.drain_grace_s + SLACK_S => {
            Some(Invariant::Drain)
        }
        _ if written_at > call.send_by + SLACK_S => Some(Invariant::Repeat),
        _ if call.sent_beyond_client_s > MAX_SENT_TIMEOUT_EXCESS_S => Some(Invariant::SentTimeout),
        ServerState::Ready | ServerState::Draining { .. } => None,
    }
}

#[cfg(test)]
mod tests;
