//! Sends, cancels and ends the coordinator's attempts, from the action of the decision module to the outcome.

use super::Coordinator;
use crate::decisions::api::{AttemptEnd, Event, Outcome, PartId, ReplicaId, Settings};
use crate::requests::attempt::{Attempt, AttemptKey, CallPart};
use crate::requests::command::{Command, Wake};
use crate::requests::invariants::Invariants;
use crate::requests::metrics::increment;
use crate::requests::part::PartState;
use crate::requests::request::Request;
use std::rc::Rc;

/// Maximum number of attempts for a part, because attempt numbers are stored in a `u8`.
const MAX_ATTEMPTS: u32 = 255;

/// An attempt requested by the decision module.
pub(super) struct Dispatch {
    pub(super) part: PartId,
    pub(super) replica: ReplicaId,
    /// Maximum timeout (seconds); 0 stands for the time that is left for the request.
    pub(super) max_timeout_s: f64,
    pub(super) pre_check: bool,
}

/// Returns whether another attempt of a part may be sent; logs an attempt that an invariant forbids.
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

/// Returns the event by which an attempt that was not sent ends.
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
    /// Sends an attempt if its request is open and the invariants allow it; otherwise notifies the module that the attempt
    /// was superseded.
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
            let retries = &mut self.metrics[protocol as usize].retries;
            increment(retries, part.outcome_before_retry());
        }
        let timeout_s = request.attempt_timeout_s(now, dispatch.max_timeout_s);
        let times_out_at = now + timeout_s;
        let key = self.attempts.insert(Attempt {
            part: dispatch.part,
            number,
            replica,
            sent_at: now,
            times_out_at,
            pre_check: dispatch.pre_check,
            protocol,
        });
        let send_by = request.send_by(part.may_have_run_since());
        part.add_attempt(now, key);
        self.recorder.record(now, replica, number > 0);
        out.push(Command::WakeAt {
            at: times_out_at,
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

    /// Cancels an attempt in flight. An attempt that is still in a call of the current round is not sent.
    pub(super) fn cancel(&mut self, now: f64, part: PartId, number: u8, out: &mut Vec<Command>) {
        let part = self.parts.get(&part);
        let Some(key) = part.and_then(|part| part.attempt(number)) else {
            return;
        };
        let is_unsent = self.calls.withdraw(key);
        if !is_unsent {
            out.push(Command::Cancel { attempt: key });
        }
        self.end_attempt(now, key, Outcome::Cancelled, None, out);
    }

    /// Records the outcome of an attempt and queues the event for the module. A second outcome for the same attempt is
    /// ignored.
    pub(super) fn end_attempt(
        &mut self,
        now: f64,
        key: AttemptKey,
        outcome: Outcome,
        value: Option<Rc<str>>,
        out: &mut Vec<Command>,
    ) {
        let Some(attempt) = self.attempts.remove(key) else {
            return;
        };
        out.push(Command::CancelWake {
            at: attempt.times_out_at,
            wake: Wake::Attempt(key),
        });
        let took_s = now - attempt.sent_at;
        // `Matches` is a valid outcome only for a pre-check.
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
        increment(ends, outcome);
        self.events.push_back(Event::AttemptEnded(AttemptEnd {
            part: attempt.part,
            attempt: attempt.number,
            replica: attempt.replica,
            took_s,
            outcome,
        }));
    }

    /// Withdraws the unsent attempts of a request that has ended, where the settings do not allow the module to cancel
    /// attempts.
    pub(super) fn withdraw_unsent(&mut self, now: f64, request: &Request, out: &mut Vec<Command>) {
        if self.deployment.policy.can_cancel {
            return;
        }
        let parts = request.parts.iter().filter_map(|id| self.parts.get(id));
        let attempts: Vec<AttemptKey> = parts.flat_map(PartState::in_flight).collect();
        for attempt in attempts {
            if self.calls.withdraw(attempt) {
                self.end_attempt(now, attempt, Outcome::Superseded, None, out);
            } else {
                out.push(Command::Withdraw { attempt });
            }
        }
    }
}
