//! What becomes of a call to discovery: its answer, its failure, or its end by the mixer.
//!
//! This file owns how an answer is compared with the list in use, and that each call ends in one [`CallOutcome`] passed to the
//! lease. It must never decide which servers an answer concerns, and never open a connection.

use crate::endpoints::lease::{CallOutcome, NextCall};
use crate::endpoints::list_format;
use crate::endpoints::missing_answers::CallEnd;
use crate::net::discovery::calls::Step;
use crate::net::discovery::client::DiscoveryClient;
use crate::net::discovery::connection::{Call, DiscoveryError, OpenCall, Received, Role};
use crate::net::discovery::link::{connection, connection_mut, open_call};
use crate::net::discovery::list;
use crate::net::http::Message;
use crate::net::runtime::Runtime;
use crate::net::timer_queue::Deadline;
use crate::net::ConnectionKey;
use miniserde::json::Value;

/// After an answer without a version the next call is made after this time (seconds).
const NO_VERSION_PAUSE_S: f64 = 0.5;
/// A watch that was answered within this time without a change did not wait; the next call is made after this time (seconds).
const DID_NOT_WAIT_S: f64 = 0.1;
/// If lists are pushed, what the agent has counts as notified whether or not a watch is open: a failed call to it is retried
/// after this time (seconds).
const AGENT_RETRY_S: f64 = 0.15;

/// What was read from a connection.
pub(super) enum Arrival {
    /// The connection is not established yet.
    NotConnected,
    /// No complete answer has been received.
    Incomplete,
    /// The connection can't be used any more.
    Failed(DiscoveryError),
    /// A complete answer.
    Answer(Message),
}

/// What an answer contains, compared with the list in use.
pub(super) enum AnswerContent {
    /// The list in use, or the answer that was taken over last.
    Unchanged,
    /// A list older than the one in use.
    Outdated,
    /// A list to be taken over.
    List(NewList),
}

/// A list to be taken over.
pub(super) struct NewList {
    pub(super) json: Value,
    /// Whether it has another version than the list in use.
    pub(super) has_new_version: bool,
    /// Hash of the answer that it came in.
    hash: u64,
}

/// What a complete answer shows of the list in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListAnswer {
    /// A version that was not in use was taken over.
    Changed,
    /// The list in use is true.
    Same,
    /// Nothing: the answer is older than the list in use.
    Outdated,
}

/// A call that was answered completely.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnsweredCall {
    pub(super) key: ConnectionKey,
    pub(super) role: Role,
    pub(super) open: OpenCall,
    pub(super) list: ListAnswer,
    /// Whether another call had taken its place.
    was_overdue: bool,
}

impl AnsweredCall {
    fn has_change(&self) -> bool {
        self.list == ListAnswer::Changed
    }
}

/// How the calls ended before the one that the watch was answered by.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallsBefore {
    /// They were answered, or there were none.
    Answered,
    /// At least the last one failed.
    Failed,
}

/// What is known of a failed call as such.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// It has ended.
    Ended,
    /// It was not answered in time and stays open.
    Overdue,
    /// It has ended, and had counted as failed since it was overdue.
    EndedOverdue,
}

/// A call, or the connection of the watch, that failed.
pub(super) struct FailedCall {
    role: Role,
    reason: DiscoveryError,
    /// When the call was made; none if no call was in flight.
    made_at: Option<f64>,
    end: CallEnd,
    failure: Failure,
}

impl DiscoveryClient {
    /// Reads a connection that has an event.
    pub(super) fn receive(&mut self, runtime: &mut Runtime, key: ConnectionKey) -> Arrival {
        let now = runtime.now;
        let previous_turn_at = runtime.previous_turn_at;
        let Some(connection) = connection_mut(runtime, key) else {
            return Arrival::NotConnected;
        };
        let was_connected = connection.is_connected;
        match connection.finish_connecting() {
            Ok(true) => {}
            Ok(false) => return Arrival::NotConnected,
            Err(error) => return Arrival::Failed(error.into()),
        }
        let due_before = if was_connected {
            connection.due
        } else {
            f64::MAX
        };
        let received = connection.receive(previous_turn_at, now);
        let due = connection.due;
        if due != due_before && due < f64::MAX {
            runtime.timers.add(due, Deadline::Connection(key));
        }
        match received {
            Received::Nothing => Arrival::Incomplete,
            Received::Failed(error) => Arrival::Failed(error),
            Received::Answer(message) => Arrival::Answer(message),
        }
    }

    /// Compares an answer with the list in use. One that equals the answer taken over last is not decoded again, because some
    /// discoveries answer all calls with the complete list.
    pub(super) fn compare_answer(
        &self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        message: &Message,
    ) -> Result<AnswerContent, DiscoveryError> {
        let Some(open) = open_call(runtime, Some(key)) else {
            return Err(DiscoveryError::NoAnswer);
        };
        let hash = list::hash_of(&message.body);
        let is_repeated = self.link.last_answer_hash == Some(hash);
        if list::is_ok(message) && self.revision.is_some() && is_repeated {
            return Ok(AnswerContent::Unchanged);
        }
        let json = list::decode(message)?;
        let current = self.revision;
        let received = list_format::revision(&json);
        // The two connections are read in no order: the answer to a call made before the last list came may be older than that.
        if open.revision != current && received < current {
            runtime.log(&format!(
                "discovery: an answer of revision {received:?} is older than {current:?} and not taken"
            ));
            return Ok(AnswerContent::Outdated);
        }
        Ok(AnswerContent::List(NewList {
            json,
            has_new_version: received.is_some() && received != current,
            hash,
        }))
    }

    /// A list was taken over from an answer.
    pub(super) fn list_taken_over(&mut self, list: &NewList) -> ListAnswer {
        self.link.last_answer_hash = Some(list.hash);
        if list.has_new_version {
            ListAnswer::Changed
        } else {
            ListAnswer::Same
        }
    }

    /// A complete answer that can't be used tells of no change, so that no answer is missing.
    pub(super) fn note_unusable_answer(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        message: &Message,
    ) {
        if let Some(connection) = connection_mut(runtime, key) {
            connection.has_unusable_answer = message.is_delimited;
        }
    }

    /// A call was answered completely: its connection is idle, or closed if discovery closes it, and the lease is renewed.
    pub(super) fn call_answered(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        list: ListAnswer,
        keep_alive: bool,
    ) -> Option<AnsweredCall> {
        let connection = connection_mut(runtime, key)?;
        let role = connection.role;
        let open = connection.open_call?;
        connection.call_completed();
        let was_overdue = self.link.overdue.remove(key);
        if !keep_alive {
            self.close(runtime, key);
        }
        self.close_overdue_before(runtime, open.made_at);
        if list != ListAnswer::Outdated {
            let outcome = CallOutcome::Confirmed {
                made_at: open.made_at,
                answer_not_before: runtime.previous_turn_at,
            };
            self.call_ended(runtime, outcome, false);
        }
        Some(AnsweredCall {
            key,
            role,
            open,
            list,
            was_overdue,
        })
    }

    /// Closes overdue calls made before that time, when a call was made that is answered now: discovery handles calls in turn, so
    /// that their answers are lost. One that is arriving is waited for.
    fn close_overdue_before(&mut self, runtime: &mut Runtime, made_before: f64) {
        let is_lost = |key: &ConnectionKey| {
            connection(runtime, *key).is_some_and(|connection| {
                let open = connection.open_call;
                let is_older = open.is_some_and(|open| open.made_at < made_before);
                is_older && connection.answer_arriving_since().is_none()
            })
        };
        let lost: Vec<ConnectionKey> = self.link.overdue.iter().filter(is_lost).collect();
        for key in lost {
            self.close(runtime, key);
        }
    }

    /// Whether the watch was opened by another call before this one, which was overdue, was answered.
    pub(super) fn is_superseded(&self, runtime: &Runtime, answered: &AnsweredCall) -> bool {
        answered.was_overdue && self.link.is_watch_open(runtime)
    }

    /// The connection of an overdue call that was answered becomes the watch. The call that was made in its place stays open: its
    /// answer may be newer, and may be on its way.
    pub(super) fn adopt_overdue(&mut self, runtime: &mut Runtime, answered: &AnsweredCall) {
        if !answered.was_overdue {
            return;
        }
        if let Some(later) = self.link.watch {
            self.keep_or_close(runtime, later);
        }
        self.link.watch = connection(runtime, answered.key).map(|_| answered.key);
    }

    /// A call that was not answered in time stays open if none of its answer was received, and counts as failed until it is
    /// answered. None if its connection has to be closed.
    pub(super) fn leave_open(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
    ) -> Option<FailedCall> {
        let reason = DiscoveryError::TimedOut;
        let connection = connection(runtime, key)?;
        let role = connection.role;
        let end = connection.call_end(&reason);
        let open = connection.open_call.filter(|_| end == CallEnd::TimedOut)?;
        self.set_overdue(runtime, key);
        let outcome = CallOutcome::Failed {
            began_at: open.made_at,
            end,
            answer_not_before: runtime.previous_turn_at,
        };
        self.call_ended(runtime, outcome, false);
        Some(FailedCall {
            role,
            reason,
            made_at: Some(open.made_at),
            end,
            failure: Failure::Overdue,
        })
    }

    /// Keeps a connection open whose call discovery may be answering; closes any other.
    fn keep_or_close(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let end = connection(runtime, key)
            .map(|connection| connection.call_end(&DiscoveryError::TimedOut));
        match end {
            Some(CallEnd::TimedOut) => self.set_overdue(runtime, key),
            Some(CallEnd::CutOff) => self.add_overdue(runtime, key),
            _ => self.close(runtime, key),
        }
    }

    fn set_overdue(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        if let Some(connection) = connection_mut(runtime, key) {
            connection.due = f64::MAX;
        }
        self.add_overdue(runtime, key);
    }

    fn add_overdue(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        if let Some(surplus) = self.link.call_overdue(key) {
            self.abandon_call(runtime, surplus);
        }
    }

    /// The list is not too long any more.
    pub(super) fn resume_calls(&mut self) {
        self.link.oversize.succeeded();
    }

    /// The watch, or a call that opens it, was answered.
    pub(super) fn watch_confirmed(&mut self, runtime: &mut Runtime) -> CallsBefore {
        let failed_opens = std::mem::take(&mut self.link.failed_opens);
        if !self.link.has_worked || failed_opens > 0 {
            let revision = self.revision;
            runtime.log(&format!(
                "discovery: list confirmed, revision {revision:?}, {failed_opens} calls had failed"
            ));
        }
        self.link.has_worked = true;
        self.link.refuses_open_calls = false;
        self.link.unanswered_opens = 0;
        if failed_opens > 0 {
            CallsBefore::Failed
        } else {
            CallsBefore::Answered
        }
    }

    /// Schedules the next check after the answer to a call for changes. A complete list does not show that calls for changes
    /// are answered at once.
    pub(super) fn schedule_check_after(&mut self, runtime: &mut Runtime, answered: &AnsweredCall) {
        if matches!(answered.open.call, Call::Changes { .. }) {
            self.link.check.answered(runtime);
        }
    }

    /// The watch's next call after an answer. A discovery that does not wait, or sends no version, is not called again at once;
    /// the watch goes on all the same, because the next call is due within 200 ms.
    pub(super) fn after_watch_answer(
        &mut self,
        runtime: &mut Runtime,
        answered: &AnsweredCall,
    ) -> Step {
        if std::mem::take(&mut self.is_moving) {
            runtime.log("reload: done, the new discovery has sent its list");
        }
        let waits = answered.open.call.is_watch();
        let is_quick = runtime.now < answered.open.made_at + DID_NOT_WAIT_S;
        let did_not_wait = waits && is_quick && !answered.has_change();
        if self.revision.is_none() {
            let at = runtime.now + NO_VERSION_PAUSE_S;
            runtime.timers.add(at, Deadline::CallDiscovery);
            Step::Wait
        } else if did_not_wait {
            let at = runtime.now + DID_NOT_WAIT_S;
            runtime.timers.add(at, Deadline::CallDiscovery);
            Step::Wait
        } else if !self.lease.is_in_force(runtime.now) {
            // The answer was received long ago and read only now: it may be outdated.
            self.call_for_changes(runtime, answered.key)
        } else if !waits && self.link.check.postpone_watch(runtime) {
            Step::Wait
        } else if self.link.watch == Some(answered.key) {
            self.continue_watch(runtime, answered.key)
        } else {
            Step::Reconsider
        }
    }

    /// A check was answered. If it brought a change, or the watch is late, its connection becomes the watch.
    pub(super) fn check_answered(
        &mut self,
        runtime: &mut Runtime,
        answered: &AnsweredCall,
    ) -> Step {
        self.link.check.answered(runtime);
        let is_watch_working = self.link.is_watch_in_time(runtime) && !answered.has_change();
        if self.link.check.is_watch_postponed() || is_watch_working {
            if answered.was_overdue {
                self.close(runtime, answered.key);
            }
            return Step::Wait;
        }
        if self.link.is_watch_open(runtime) {
            runtime.log("discovery: the watch timed out; it is reopened");
        }
        if let Some(silent) = self.link.watch {
            self.abandon_call(runtime, silent);
        }
        if self.link.check.postpone_watch(runtime) {
            return Step::Wait;
        }
        if let Some(connection) = connection_mut(runtime, answered.key) {
            connection.role = Role::Watch;
            self.link.connection_removed(answered.key);
            self.link.watch = Some(answered.key);
        }
        Step::Reconsider
    }

    /// Closes a connection that can't be used any more. Gives the call that failed by it: none if the connection of the checks
    /// was idle.
    pub(super) fn close_failed(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        reason: DiscoveryError,
    ) -> Option<FailedCall> {
        let connection = connection(runtime, key)?;
        let role = connection.role;
        let open = connection.open_call;
        let end = connection.call_end(&reason);
        let answer_not_before = connection
            .answer_arriving_since()
            .unwrap_or(runtime.previous_turn_at);
        let failure = if self.link.overdue.contains(key) {
            Failure::EndedOverdue
        } else {
            Failure::Ended
        };
        self.close(runtime, key);
        if role == Role::Heartbeat && open.is_none() {
            return None;
        }
        let made_at = open.map(|open| open.made_at);
        let outcome = CallOutcome::Failed {
            began_at: made_at.unwrap_or(runtime.now),
            end,
            answer_not_before,
        };
        let was_prompt = open.is_some_and(|open| open.is_prompt(runtime.now));
        if failure == Failure::Ended || end.may_have_answer() {
            self.call_ended(runtime, outcome, was_prompt);
        }
        Some(FailedCall {
            role,
            reason,
            made_at,
            end,
            failure,
        })
    }

    /// No connection could be opened for a call.
    pub(super) fn open_failed(
        &mut self,
        runtime: &mut Runtime,
        role: Role,
        reason: DiscoveryError,
    ) -> FailedCall {
        self.call_ended(runtime, CallOutcome::NotOpened, false);
        FailedCall {
            role,
            reason,
            made_at: None,
            end: CallEnd::NotSent,
            failure: Failure::Ended,
        }
    }

    /// Logs a failed call, and suspends calls if discovery's list is too long.
    pub(super) fn report_failure(&mut self, runtime: &mut Runtime, failed: &FailedCall) {
        let reason = &failed.reason;
        let mut line = format!("discovery: call failed ({reason})");
        if matches!(reason, DiscoveryError::ListTooLarge { .. }) {
            let pause_s = self.link.oversize.failed(runtime.now);
            line += &format!("; not asked again for {pause_s} s");
        } else if let Some(made_at) = failed.made_at {
            line += &format!(" after {:.3} s", runtime.now - made_at);
        }
        if failed.end.may_have_answer() {
            line += &format!("; {}", failed.end.label());
        } else if failed.failure == Failure::Overdue {
            line += "; it stays open, and its answer counts";
        }
        runtime.log(&line);
        if let Some(until) = self.link.oversize.blocked_until(runtime.now) {
            self.lease.suspend_calls(until);
        }
    }

    /// What follows a failed call: the retry of the watch, or the next check.
    pub(super) fn after_failure(&mut self, runtime: &mut Runtime, failed: &FailedCall) -> Step {
        let is_refused = matches!(failed.reason, DiscoveryError::Status(400..=499));
        self.link.refuses_changes |= is_refused;
        match (failed.failure, failed.role) {
            (Failure::EndedOverdue, _) => {
                self.link.refuses_open_calls |= matches!(failed.reason, DiscoveryError::Status(_));
                self.abandon_old_watch(runtime);
                Step::Wait
            }
            (_, Role::Watch) => {
                let is_unanswered = matches!(failed.reason, DiscoveryError::TimedOut);
                self.watch_failed(runtime, is_unanswered);
                self.retry_while_overdue(runtime, failed.failure);
                Step::Wait
            }
            (_, Role::Heartbeat) => self.check_failed(runtime),
        }
    }

    /// While an overdue call is open, discovery may have written its answer: a small fleet calls again soon.
    fn retry_while_overdue(&mut self, runtime: &mut Runtime, failure: Failure) {
        let mixers = self.mixers_calling_again(runtime);
        if let Some(delay_s) = mixers.and_then(|mixers| self.link.retry_while_overdue_s(mixers)) {
            let is_due = failure == Failure::Overdue;
            self.link
                .retry_after(runtime, if is_due { 0.0 } else { delay_s });
        }
    }

    fn watch_failed(&mut self, runtime: &mut Runtime, is_unanswered: bool) {
        self.link.unanswered_opens = if is_unanswered {
            self.link.unanswered_opens + 1
        } else {
            0
        };
        self.link.failed_opens = self.link.failed_opens.saturating_add(1);
        runtime
            .coordinator
            .list_failed(runtime.now, &mut runtime.commands);
        if !runtime.deployment.policy.must_poll {
            self.link.retry_after(runtime, AGENT_RETRY_S);
        }
    }

    fn check_failed(&mut self, runtime: &mut Runtime) -> Step {
        self.link.check.failed(runtime);
        self.abandon_old_watch(runtime);
        if self.link.check.end_unreliable_postponement() {
            Step::Reconsider
        } else {
            Step::Wait
        }
    }

    /// A change counts as notified since then that nobody received, because the process was stopped.
    pub(super) fn change_missed(&mut self, runtime: &mut Runtime, since: f64) {
        self.lease.change_missed(since, runtime.now);
        self.abandon_old_watch(runtime);
    }

    /// Closes an open watch if an answer is missing: a watch opened before brings only what comes after, so that another call
    /// takes its place.
    fn abandon_old_watch(&mut self, runtime: &mut Runtime) {
        if !self.lease.is_answer_missing(runtime.now) {
            return;
        }
        let open_watch = self.link.watch.filter(|_| self.link.is_watch_open(runtime));
        if let Some(key) = open_watch {
            self.abandon_call(runtime, key);
        }
    }

    /// Closes a connection whose call is not waited for any more. If its answer has begun to arrive, the rest is lost.
    pub(super) fn abandon_call(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(connection) = connection(runtime, key) else {
            return;
        };
        let arriving_since = connection.answer_arriving_since();
        self.close(runtime, key);
        if let Some(answer_arriving_since) = arriving_since {
            let outcome = CallOutcome::Abandoned {
                answer_arriving_since,
            };
            self.call_ended(runtime, outcome, false);
        }
    }

    /// Passes the end of a call to the lease, and schedules an early retry if its answer may be missing; `was_prompt` is whether
    /// the call ended as soon as it was made.
    fn call_ended(&mut self, runtime: &mut Runtime, outcome: CallOutcome, was_prompt: bool) {
        let next_call = self.lease.call_ended(outcome, runtime.now);
        if next_call == NextCall::Early {
            self.retry_early(runtime, was_prompt);
        }
    }

    pub(super) fn close(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        runtime.connections.remove(key);
        self.link.connection_removed(key);
    }
}
