//! The coordinator's attempts: sending, cancelling and ending them.
//!
//! This file owns the way of an attempt from the module's action to its one outcome. It must never decide where an attempt
//! goes, and never give a final answer.

use super::Coordinator;
use crate::decisions::api::{AttemptEnd, Event, Outcome, PartId, ReplicaId, Settings};
use crate::requests::attempt::{Attempt, AttemptKey, CallPart};
use crate::requests::command::{Command, Wake};
use crate::requests::invariants::Invariants;
use crate::requests::metrics::count;
use crate::requests::part::PartState;
use crate::requests::request::Request;
use std::rc::Rc;

/// Attempt numbers fit into a byte.
const MAX_ATTEMPTS: u32 = 255;

/// An attempt that the decision module wants.
pub(super) struct Dispatch {
    pub(super) part: PartId,
    pub(super) replica: ReplicaId,
    /// 0 for the time that is left to the request (seconds).
    pub(super) max_timeout_s: f64,
    pub(super) pre_check: bool,
}

/// Whether one more attempt of a part may be sent for a request that is still open.
fn is_attempt_allowed(
    now: f64,
    part: &PartState,
    request: &Request,
    policy: &Settings,
    invariants: &mut Invariants,
    out: &mut Vec<Command>,
) -> bool {
    let number = part.next_number();
    let repeat = part.repeat(&request.class_settings, policy.can_hedge);
    let verdict = if number == 0 {
        Ok(())
    } else {
        invariants.check_repeat(now, &repeat)
    };
    if let Err(rule) = verdict {
        let id = &request.query_request.id;
        let rule = rule.label();
        out.push(Command::Log(format!(
            "invariant kept, action stopped: {rule}: attempt {number} of {id}, {repeat:?}"
        )));
    }
    let max_attempts = policy.max_attempts.min(MAX_ATTEMPTS);
    u32::from(number) < max_attempts && verdict.is_ok()
}

/// The end of an attempt that was not sent.
fn superseded(dispatch: &Dispatch, number: u8) -> Event {
    Event::AttemptEnded(AttemptEnd {
        part: dispatch.part,
        attempt: number,
        replica: dispatch.replica,
        took_s: 0.0,
        outcome: Outcome::Superseded,
    })
}

impl Coordinator {
    /// Sends an attempt, if its request is open and the rules allow it; otherwise the module learns that it was superseded.
    pub(super) fn send(&mut self, now: f64, dispatch: &Dispatch, out: &mut Vec<Command>) {
        let replica = dispatch.replica;
        let Some(part) = self.parts.get_mut(&dispatch.part) else {
            return;
        };
        let number = part.next_number();
        let policy = &self.deployment.policy;
        let invariants = &mut self.invariants;
        let request = part
            .request
            .and_then(|key| self.requests.get(key))
            .filter(|request| is_attempt_allowed(now, part, request, policy, invariants, out));
        let Some(request) = request else {
            part.skip_attempt();
            self.events.push_back(superseded(dispatch, number));
            return;
        };
        let protocol = request.query_request.protocol;
        if number > 0 {
            let retries = &mut self.metrics[protocol as usize].repeats;
            count(retries, part.outcome_before_retry());
        }
        let key = self.attempts.insert(Attempt {
            part: dispatch.part,
            number,
            replica,
            sent_at: now,
            pre_check: dispatch.pre_check,
            protocol,
        });
        let send_by = request.send_by(part.may_have_run_since());
        part.add_attempt(now, key);
        self.recorder.record(now, replica, number > 0);
        let timeout_s = request.attempt_timeout_s(now, dispatch.max_timeout_s);
        out.push(Command::WakeAt {
            at: now + timeout_s,
            wake: Wake::Attempt(key),
        });
        let call_part = CallPart {
            attempt: key,
            query_request: request.query_request.clone(),
            index: part.index,
            timeout_s,
            client_deadline: request.client_deadline(),
            pre_check: dispatch.pre_check,
            send_by,
        };
        self.calls.push(replica, call_part);
    }

    /// Cancels an attempt that is in flight, before it is sent where it still waits in a call of this round.
    pub(super) fn cancel(&mut self, now: f64, part: PartId, number: u8, out: &mut Vec<Command>) {
        let part = self.parts.get(&part);
        let Some(key) = part.and_then(|part| part.attempt(number)) else {
            return;
        };
        let is_unsent = self.calls.withdraw(key);
        if !is_unsent {
            out.push(Command::Cancel { attempt: key });
        }
        self.end_attempt(now, key, Outcome::Cancelled, None);
    }

    /// Records an attempt's one outcome, and queues the event for the module. A second outcome does nothing.
    pub(super) fn end_attempt(
        &mut self,
        now: f64,
        key: AttemptKey,
        outcome: Outcome,
        value: Option<Rc<str>>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        let took_s = now - attempt.sent_at;
        // Only a pre-check may be answered so, and it has no value then.
        let outcome = match outcome {
            Outcome::Matches if !attempt.pre_check => Outcome::Error,
            outcome => outcome,
        };
        if let Some(part) = self.parts.get_mut(&attempt.part) {
            part.end_attempt(attempt.number, outcome);
            if let Some(request) = part.request.and_then(|key| self.requests.get_mut(key)) {
                request.record_outcome(part.index, &attempt, outcome, value);
                self.phases.attempt_ended(
                    &request.query_request.class_name,
                    attempt.pre_check,
                    outcome,
                    took_s,
                    now,
                );
            } else if !part.is_in_flight() {
                self.parts.remove(&attempt.part);
            }
        }
        let ends = &mut self.metrics[attempt.protocol as usize].attempts;
        count(ends, outcome);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            part: attempt.part,
            attempt: attempt.number,
            replica: attempt.replica,
            took_s,
            outcome,
        }));
    }

    /// Withdraws the unsent attempts of a request that has ended, where the module may not cancel them.
    pub(super) fn withdraw_unsent(&mut self, now: f64, request: &Request, out: &mut Vec<Command>) {
        if self.deployment.policy.can_cancel {
            return;
        }
        let parts = request.parts.iter().filter_map(|id| self.parts.get(id));
        let attempts: Vec<AttemptKey> = parts.flat_map(PartState::in_flight).collect();
        for attempt in attempts {
            if self.calls.withdraw(attempt) {
                self.end_attempt(now, attempt, Outcome::Superseded, None);
            } else {
                out.push(Command::Withdraw { attempt });
            }
        }
    }
}
