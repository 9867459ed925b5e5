//! Handles the end of each call to discovery: an answer, a failure, or abandonment by the mixer. Each call ends in one
//! [`CallOutcome`], which is passed to the lease.

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

/// Delay before the next call after an answer without a revision (seconds).
const NO_REVISION_DELAY_S: f64 = 0.5;
/// Maximum age of a call for changes at which an answer without a change shows that discovery did not wait; the next call
/// is made after the same time (seconds).
const IMMEDIATE_ANSWER_S: f64 = 0.1;
/// Delay before a failed call to the agent is retried, if lists are pushed (seconds). The delay is short because the
/// agent's data counts as notified whether or not a watch is open.
const AGENT_RETRY_S: f64 = 0.15;

/// Result of reading from a connection.
pub(super) enum ReadOutcome {
    /// The connection is not established yet.
    NotConnected,
    /// No complete answer was received yet.
    Incomplete,
    /// Error after which the connection can't be used.
    Failed(DiscoveryError),
    /// Complete answer.
    Answer(Message),
}

/// The content of an answer, compared with the list in use.
pub(super) enum AnswerContent {
    /// List in use, or a repetition of the answer that was applied last.
    Unchanged,
    /// List that is older than the one in use.
    Outdated,
    /// List that is to be applied.
    List(NewList),
}

/// A list that is to be applied.
pub(super) struct NewList {
    pub(super) json: Value,
    /// Whether the list has another revision than the list in use.
    pub(super) has_new_revision: bool,
    /// Hash of the answer that contained the list.
    hash: u64,
}

/// The relation of a complete answer to the list in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListAnswer {
    /// The answer contained a new revision, which was applied.
    Changed,
    /// The answer confirmed the list in use.
    Unchanged,
    /// The answer is older than the list in use and does not confirm it.
    Outdated,
}

/// A call that was answered completely.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnsweredCall {
    pub(super) key: ConnectionKey,
    pub(super) role: Role,
    pub(super) open: OpenCall,
    pub(super) list: ListAnswer,
    /// Whether the call was overdue, so that another call may have replaced it as the watch.
    was_overdue: bool,
}

impl AnsweredCall {
    fn has_change(&self) -> bool {
        self.list == ListAnswer::Changed
    }
}

/// The result of the calls before the one that was answered for the watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PreviousCalls {
    /// The previous call was answered, or there was none.
    Answered,
    /// At least the last call failed.
    Failed,
}

/// The state of a failed call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Failure {
    /// The call has ended.
    Ended,
    /// The call was not answered in time and stays open.
    Overdue,
    /// The call has ended after it was overdue, and had already counted as failed.
    EndedOverdue,
}

/// A call or watch connection that failed.
pub(super) struct FailedCall {
    role: Role,
    reason: DiscoveryError,
    /// Time of the call; `None` if no call was in flight.
    made_at: Option<f64>,
    end: CallEnd,
    failure: Failure,
}

impl DiscoveryClient {
    /// Reads from a connection that has an event.
    pub(super) fn receive(&mut self, runtime: &mut Runtime, key: ConnectionKey) -> ReadOutcome {
        let now = runtime.now;
        let previous_iteration_at = runtime.previous_iteration_at;
        let Some(connection) = connection_mut(runtime, key) else {
            return ReadOutcome::NotConnected;
        };
        let was_connected = connection.is_connected;
        match connection.finish_connecting() {
            Ok(true) => {}
            Ok(false) => return ReadOutcome::NotConnected,
            Err(error) => return ReadOutcome::Failed(error.into()),
        }
        let due_before = if was_connected {
            connection.due
        } else {
            f64::MAX
        };
        let received = connection.receive(previous_iteration_at, now);
        let due = connection.due;
        if due != due_before && due < f64::MAX {
            runtime.timers.add(due, Deadline::Connection(key));
        }
        match received {
            Received::Nothing => ReadOutcome::Incomplete,
            Received::Failed(error) => ReadOutcome::Failed(error),
            Received::Answer(message) => ReadOutcome::Answer(message),
        }
    }

    /// Compares an answer with the list in use. An answer equal to the one applied last is not decoded again, because some
    /// discoveries answer every call with the complete list.
    pub(super) fn compare_answer(
        &self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        message: &Message,
    ) -> Result<AnswerContent, DiscoveryError> {
        let Some(open) = open_call(runtime, Some(key)) else {
            return Err(DiscoveryError::Unsolicited);
        };
        let hash = list::hash_of(&message.body);
        let is_repeated = self.link.last_answer_hash == Some(hash);
        if list::is_ok(message) && self.revision.is_some() && is_repeated {
            return Ok(AnswerContent::Unchanged);
        }
        let json = list::decode(message)?;
        let current = self.revision;
        let received = list_format::revision(&json);
        // The two connections are read in no particular order, so the answer to a call made before the last list was
        // received may be older than that list.
        if open.revision != current && received < current {
            runtime.log(&format!(
                "discovery: an answer of revision {received:?} is older than {current:?} and not taken"
            ));
            return Ok(AnswerContent::Outdated);
        }
        Ok(AnswerContent::List(NewList {
            json,
            has_new_revision: received.is_some() && received != current,
            hash,
        }))
    }

    /// Records that a list was applied from an answer.
    pub(super) fn list_applied(&mut self, list: &NewList) -> ListAnswer {
        self.link.last_answer_hash = Some(list.hash);
        if list.has_new_revision {
            ListAnswer::Changed
        } else {
            ListAnswer::Unchanged
        }
    }

    /// Records a complete answer that can't be used. Such an answer contains no change, so no answer is missing.
    pub(super) fn record_unusable_answer(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        message: &Message,
    ) {
        if let Some(connection) = connection_mut(runtime, key) {
            connection.has_unusable_answer = message.is_delimited;
        }
    }

    /// Records a complete answer: marks the connection as idle, closes it unless it is kept alive, and renews the lease.
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
                answer_not_before: runtime.previous_iteration_at,
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

    /// Closes overdue calls that were made before `made_before`, the time of a call that was answered now. Discovery
    /// handles calls in order, so the answers to these calls are lost. A call whose answer is arriving stays open.
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

    /// Returns whether the answered call was overdue and another call has opened the watch in the meantime.
    pub(super) fn is_superseded(&self, runtime: &Runtime, answered: &AnsweredCall) -> bool {
        answered.was_overdue && self.link.is_watch_open(runtime)
    }

    /// Makes the connection of an answered overdue call the watch. The call that replaced it stays open if its answer may
    /// be on its way, because that answer may be newer.
    pub(super) fn promote_overdue(&mut self, runtime: &mut Runtime, answered: &AnsweredCall) {
        if !answered.was_overdue {
            return;
        }
        if let Some(later) = self.link.watch {
            self.keep_or_close(runtime, later);
        }
        self.link.watch = connection(runtime, answered.key).map(|_| answered.key);
    }

    /// Marks a call as overdue that was not answered in time. The call stays open if no byte of its answer was received,
    /// and counts as failed until it is answered. Returns `None` if the connection has to be closed.
    pub(super) fn mark_overdue(
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
            answer_not_before: runtime.previous_iteration_at,
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

    /// Keeps a connection open if discovery may be answering its call; closes any other connection.
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

    /// Ends the suspension of calls that a too long list had caused.
    pub(super) fn resume_calls(&mut self) {
        self.link.oversize.succeeded();
    }

    /// Records that the watch, or a call that opens it, was answered.
    pub(super) fn watch_confirmed(&mut self, runtime: &mut Runtime) -> PreviousCalls {
        let failed_opens = std::mem::take(&mut self.link.failed_opens);
        if !self.link.has_been_answered || failed_opens > 0 {
            let revision = self.revision;
            runtime.log(&format!(
                "discovery: list confirmed, revision {revision:?}, {failed_opens} calls had failed"
            ));
        }
        self.link.has_been_answered = true;
        self.link.refuses_open_calls = false;
        self.link.timed_out_opens = 0;
        if failed_opens > 0 {
            PreviousCalls::Failed
        } else {
            PreviousCalls::Answered
        }
    }

    /// Schedules the next check after the answer to a call for changes. An answer with the complete list does not show that
    /// calls for changes are answered at once.
    pub(super) fn schedule_check_after(&mut self, runtime: &mut Runtime, answered: &AnsweredCall) {
        if matches!(answered.open.call, Call::Changes { .. }) {
            self.link.check.answered(runtime);
        }
    }

    /// Returns the step for the watch's next call after an answer. A discovery that does not wait, or sends no revision, is
    /// called again only after a short delay.
    pub(super) fn after_watch_answer(
        &mut self,
        runtime: &mut Runtime,
        answered: &AnsweredCall,
    ) -> Step {
        if std::mem::take(&mut self.is_switching) {
            runtime.log("reload: done, the new discovery has sent its list");
        }
        let waits = answered.open.call.is_watch();
        let is_quick = runtime.now < answered.open.made_at + IMMEDIATE_ANSWER_S;
        let was_immediate = waits && is_quick && !answered.has_change();
        if self.revision.is_none() {
            let at = runtime.now + NO_REVISION_DELAY_S;
            runtime.timers.add(at, Deadline::CallDiscovery);
            Step::Wait
        } else if was_immediate {
            let at = runtime.now + IMMEDIATE_ANSWER_S;
            runtime.timers.add(at, Deadline::CallDiscovery);
            Step::Wait
        } else if !self.lease.is_valid(runtime.now) {
            // The process read this answer long after it was received, so the list may be outdated.
            self.call_for_changes(runtime, answered.key)
        } else if !waits && self.link.check.postpone_watch(runtime) {
            Step::Wait
        } else if self.link.watch == Some(answered.key) {
            self.continue_watch(runtime, answered.key)
        } else {
            Step::Decide
        }
    }

    /// Handles the answer to a check. If the answer contains a change, or the watch is late, the connection of the check
    /// becomes the watch.
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
        Step::Decide
    }

    /// Closes an unusable connection. Returns the call that failed with it, or `None` if the checks' connection was idle.
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
            .unwrap_or(runtime.previous_iteration_at);
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

    /// Records that no connection could be opened for a call.
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
            line += &format!("; next call in {pause_s} s");
        } else if let Some(made_at) = failed.made_at {
            line += &format!(" after {:.3} s", runtime.now - made_at);
        }
        if failed.end.may_have_answer() {
            line += &format!("; {}", failed.end.label());
        } else if failed.failure == Failure::Overdue {
            line += "; the call stays open and its answer will be accepted";
        }
        runtime.log(&line);
        if let Some(until) = self.link.oversize.blocked_until(runtime.now) {
            self.lease.suspend_calls(until);
        }
    }

    /// Returns the step after a failed call: the retry of the watch, or the next check.
    pub(super) fn after_failure(&mut self, runtime: &mut Runtime, failed: &FailedCall) -> Step {
        let is_refused = matches!(failed.reason, DiscoveryError::Status(400..=499));
        self.link.refuses_changes |= is_refused;
        match (failed.failure, failed.role) {
            (Failure::EndedOverdue, _) => {
                self.link.refuses_open_calls |= matches!(failed.reason, DiscoveryError::Status(_));
                self.close_outdated_watch(runtime);
                Step::Wait
            }
            (_, Role::Watch) => {
                let has_timed_out = matches!(failed.reason, DiscoveryError::TimedOut);
                self.watch_failed(runtime, has_timed_out);
                self.retry_while_overdue(runtime, failed.failure);
                Step::Wait
            }
            (_, Role::Heartbeat) => self.check_failed(runtime),
        }
    }

    /// Schedules an early retry in a small fleet while an overdue call, whose answer may have been written, is open.
    fn retry_while_overdue(&mut self, runtime: &mut Runtime, failure: Failure) {
        let mixers = self.mixers_calling_again(runtime);
        if let Some(delay_s) = mixers.and_then(|mixers| self.link.retry_while_overdue_s(mixers)) {
            let is_due = failure == Failure::Overdue;
            self.link
                .retry_after(runtime, if is_due { 0.0 } else { delay_s });
        }
    }

    fn watch_failed(&mut self, runtime: &mut Runtime, has_timed_out: bool) {
        self.link.timed_out_opens = if has_timed_out {
            self.link.timed_out_opens + 1
        } else {
            0
        };
        self.link.failed_opens = self.link.failed_opens.saturating_add(1);
        runtime
            .coordinator
            .list_call_failed(runtime.now, &mut runtime.commands);
        if !runtime.deployment.policy.must_poll {
            self.link.retry_after(runtime, AGENT_RETRY_S);
        }
    }

    fn check_failed(&mut self, runtime: &mut Runtime) -> Step {
        self.link.check.failed(runtime);
        self.close_outdated_watch(runtime);
        if self.link.check.end_unreliable_postponement() {
            Step::Decide
        } else {
            Step::Wait
        }
    }

    /// Records that a change may have been missed since this time, because the process was paused.
    pub(super) fn change_missed(&mut self, runtime: &mut Runtime, since: f64) {
        self.lease.change_missed(since, runtime.now);
        self.close_outdated_watch(runtime);
    }

    /// Closes an open watch if an answer is missing: a new call has to replace it, as a watch delivers only later changes.
    fn close_outdated_watch(&mut self, runtime: &mut Runtime) {
        if !self.lease.is_answer_missing(runtime.now) {
            return;
        }
        let open_watch = self.link.watch.filter(|_| self.link.is_watch_open(runtime));
        if let Some(key) = open_watch {
            self.abandon_call(runtime, key);
        }
    }

    /// Closes a connection whose call is abandoned. If its answer has begun to arrive, the rest is lost.
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

    /// Passes the end of a call to the lease, and schedules an early retry if its answer may be missing; `was_prompt` indicates
    /// whether the call ended right after it was made.
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
