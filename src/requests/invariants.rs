//! Safety invariants, checked immediately before or after an action, independently of the decision module, the queues and
//! the sockets.
//!
//! No part is sent based on an endpoint list without a valid lease, to a server that was removed or whose drain grace is
//! over, or for a client that disconnected; no part is repeated outside its window; no connection is closed while a request
//! that was read from it has no answer; no client is served before there is a list. A `check_` method is called before an action and
//! counts a forbidden action as stopped. A `verify_` method is called after an action and counts a violation, or counts the
//! action as undecided if the clock readings do not show whether the limit was kept.

use crate::decisions::api::Effect;
use crate::endpoints::directory::ServerState;

/// Maximum delay of the event loop between reading its clock and writing. Destinations are checked as if the write came
/// this much later (seconds).
const STALL_ALLOWANCE_S: f64 = 0.15;
/// Tolerance of the operators' rules for events on sockets (seconds).
const TOLERANCE_S: f64 = 0.05;
/// Maximum by which the timeout sent to a server may exceed the remaining time of its client (seconds).
const MAX_SENT_TIMEOUT_EXCESS_S: f64 = 0.15;
/// A final answer that is later than this after its client's deadline counts as missing (seconds).
const LATE_ANSWER_S: f64 = 0.5;

/// A safety rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Invariant {
    /// No part is sent and no client is served based on an endpoint list whose last confirmation by discovery is too old.
    StaleList,
    /// No part is sent to a server that was removed, or that is draining and whose drain grace is over.
    Drain,
    /// No part is sent for a client that has disconnected, or for a request that has its final answer.
    ClientDisconnected,
    /// No part is repeated after the window of its class, with more than one hedged request, or at all where a second
    /// execution does harm.
    Repeat,
    /// The timeout sent to a server is not longer than its client waits.
    SentTimeout,
    /// A request that was read gets its final answer in time; its connection is not closed before.
    Unanswered,
    /// Every attempt in flight gets an outcome.
    AttemptLost,
}

impl Invariant {
    /// All rules, in declaration order, which is the index of their counters.
    pub const ALL: [Invariant; 7] = [
        Invariant::StaleList,
        Invariant::Drain,
        Invariant::ClientDisconnected,
        Invariant::Repeat,
        Invariant::SentTimeout,
        Invariant::Unanswered,
        Invariant::AttemptLost,
    ];

    /// Returns the label in metrics and log lines; operators rely on these labels.
    pub fn label(self) -> &'static str {
        match self {
            Invariant::StaleList => "stale_list",
            Invariant::Drain => "drain",
            Invariant::ClientDisconnected => "client_gone",
            Invariant::Repeat => "repeat",
            Invariant::SentTimeout => "told_wait",
            Invariant::Unanswered => "unanswered",
            Invariant::AttemptLost => "attempt_lost",
        }
    }
}

/// The server of a call, with the limits for calls to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Destination {
    /// State of the server.
    pub server: ServerState,
    /// Time after the notification during which calls may still be sent to a draining server (seconds).
    pub drain_grace_s: f64,
    /// Time until which the endpoint list may be used.
    pub list_until: f64,
}

/// Time limits of a call whose first byte is about to be written or has been written.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CallTimes {
    /// Latest time at which writing may start; infinite if no part of the call is a retry with a limited window.
    pub send_by: f64,
    /// Excess of the sent timeout over the remaining time of the client (seconds); the maximum over the parts of the call.
    pub sent_beyond_client_s: f64,
    /// Latest deadline of the clients of the call.
    pub client_deadline: f64,
}

/// Two clock readings between which the first byte of a call was written (seconds). The process may have been paused
/// between them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WriteInterval {
    /// Reading just before the write.
    pub not_before: f64,
    /// Reading after the write.
    pub not_after: f64,
}

/// Bounds of a client's deadline (seconds). The time at which a request was received is uncertain if the process was
/// delayed before reading it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DeadlineBounds {
    /// Deadline if the request was received right after the previous poll of the sockets.
    pub earliest: f64,
    /// Deadline if the request was received right before it was read.
    pub latest: f64,
}

/// Result of verifying an action after it was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verification {
    /// The action kept every rule.
    Kept,
    /// The action violated the rule.
    Violated(Invariant),
    /// The limit lies between two clock readings, so the action may or may not have violated the rule.
    Undecided(Invariant),
}

impl Verification {
    /// Returns the word for the log and the rule, or `None` if every rule was kept.
    pub fn finding(self) -> Option<(&'static str, Invariant)> {
        match self {
            Verification::Kept => None,
            Verification::Violated(rule) => Some(("violated", rule)),
            Verification::Undecided(rule) => Some(("undecided", rule)),
        }
    }
}

/// The facts that decide whether another attempt of a part is allowed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Repeat {
    /// Effect of a second execution.
    pub effect: Effect,
    /// Time at which the first attempt was sent that may have been executed, if any.
    pub may_have_run_since: Option<f64>,
    /// Time for which leaf servers discard duplicates, in classes with an idempotency key (seconds).
    pub window_s: f64,
    /// Number of attempts of the part in flight.
    pub in_flight: usize,
    /// Whether two attempts may be in flight at the same time (hedging).
    pub hedging_allowed: bool,
}

/// Counters of stopped actions, violations and undecided verifications, by rule.
#[derive(Clone, Debug, Default)]
pub struct Invariants {
    stopped: [u64; Invariant::ALL.len()],
    violations: [u64; Invariant::ALL.len()],
    undecided: [u64; Invariant::ALL.len()],
}

impl Invariants {
    /// Returns the number of actions that the rule stopped.
    pub fn stopped(&self, rule: Invariant) -> u64 {
        self.stopped[rule as usize]
    }

    /// Returns the number of violations of the rule.
    pub fn violations(&self, rule: Invariant) -> u64 {
        self.violations[rule as usize]
    }

    /// Returns the number of verifications for which the clock readings did not show whether the rule was violated.
    pub fn undecided(&self, rule: Invariant) -> u64 {
        self.undecided[rule as usize]
    }

    /// Counts an action that the rule stopped.
    pub fn stop(&mut self, rule: Invariant) {
        self.stopped[rule as usize] += 1;
    }

    /// Counts a violation of the rule.
    pub fn violated(&mut self, rule: Invariant) {
        self.violations[rule as usize] += 1;
    }

    /// Checks that a call may be sent to the server now; the error is the rule that forbids the call.
    pub fn check_destination(&mut self, now: f64, to: &Destination) -> Result<(), Invariant> {
        let latest = now + STALL_ALLOWANCE_S;
        let forbidden = match to.server {
            _ if now >= to.list_until => Some(Invariant::StaleList),
            ServerState::Removed => Some(Invariant::Drain),
            ServerState::Draining { since } if latest >= since + to.drain_grace_s + TOLERANCE_S => {
                Some(Invariant::Drain)
            }
            ServerState::Ready | ServerState::Draining { .. } => None,
        };
        self.count_if_stopped(forbidden)
    }

    /// Checks that writing a call may start now; the error is the rule that forbids the call.
    pub fn check_call(&mut self, now: f64, call: &CallTimes) -> Result<(), Invariant> {
        let forbidden = if call.send_by < now {
            Some(Invariant::Repeat)
        } else if call.client_deadline <= now {
            Some(Invariant::ClientDisconnected)
        } else if call.sent_beyond_client_s > MAX_SENT_TIMEOUT_EXCESS_S {
            Some(Invariant::SentTimeout)
        } else {
            None
        };
        self.count_if_stopped(forbidden)
    }

    /// Verifies a call whose writing started within the interval. All limits are upper bounds, so a call that was late
    /// before the write was late in any case.
    pub fn verify_call(
        &mut self,
        written: WriteInterval,
        to: &Destination,
        call: &CallTimes,
    ) -> Verification {
        let verification = match (
            rule_violated_at(written.not_before, to, call),
            rule_violated_at(written.not_after, to, call),
        ) {
            (Some(rule), _) => Verification::Violated(rule),
            (None, Some(rule)) => Verification::Undecided(rule),
            (None, None) => Verification::Kept,
        };
        self.count_verification(verification)
    }

    /// Checks that another attempt of a part may be sent now.
    pub fn check_repeat(&mut self, now: f64, repeat: &Repeat) -> Result<(), Invariant> {
        let effect_allows = match (repeat.effect, repeat.may_have_run_since) {
            (Effect::Idempotent, _) | (_, None) => true,
            (Effect::IdempotentWithKey, Some(since)) => now <= since + repeat.window_s,
            (Effect::NonIdempotent, Some(_)) => false,
        };
        let hedging_allows = repeat.in_flight <= usize::from(repeat.hedging_allowed);
        self.count_if_stopped((!effect_allows || !hedging_allows).then_some(Invariant::Repeat))
    }

    /// Checks that the mixer may start serving clients by a list that may be used until `list_until`.
    pub fn check_start(&mut self, now: f64, list_until: f64) -> Result<(), Invariant> {
        self.count_if_stopped((now >= list_until).then_some(Invariant::StaleList))
    }

    /// Verifies that a final answer sent now is in time for its client.
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

    fn count_if_stopped(&mut self, forbidden: Option<Invariant>) -> Result<(), Invariant> {
        match forbidden {
            Some(rule) => {
                self.stop(rule);
                Err(rule)
            }
            None => Ok(()),
        }
    }
}

/// Returns the rule that a call violates if its first byte is written at that time.
fn rule_violated_at(written_at: f64, to: &Destination, call: &CallTimes) -> Option<Invariant> {
    match to.server {
        _ if written_at >= to.list_until + to.drain_grace_s + TOLERANCE_S => {
            Some(Invariant::StaleList)
        }
        ServerState::Removed => Some(Invariant::Drain),
        ServerState::Draining { since } if written_at >= since + to.drain_grace_s + TOLERANCE_S => {
            Some(Invariant::Drain)
        }
        _ if written_at > call.send_by + TOLERANCE_S => Some(Invariant::Repeat),
        _ if call.sent_beyond_client_s > MAX_SENT_TIMEOUT_EXCESS_S => Some(Invariant::SentTimeout),
        ServerState::Ready | ServerState::Draining { .. } => None,
    }
}

#[cfg(test)]
mod tests;
