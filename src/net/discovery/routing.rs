//! Connects the client of discovery to the other subsystems of the event loop. Each method calls one subsystem and passes its
//! result to the next.

use crate::decisions::api::ReplicaEntry;
use crate::net::backlog::Work;
use crate::net::discovery::answers::{
    AnswerContent, AnsweredCall, FailedCall, ListAnswer, PreviousCalls, ReadOutcome,
};
use crate::net::discovery::calls::{PlannedCall, Step};
use crate::net::discovery::connection::{Call, DiscoveryError, Role};
use crate::net::discovery::lease::MAX_LOOP_DELAY_S;
use crate::net::discovery::link::connection;
use crate::net::event_loop::{Mixer, PollEvents};
use crate::net::http::Message;
use crate::net::lifecycle::Phase;
use crate::net::tokens::token;
use crate::net::ConnectionKey;
use miniserde::json::Value;
use mio::net::TcpStream;
use mio::Token;
use std::net::SocketAddr;

/// A connection to a replica that must not receive new requests.
struct UnreadyConnection {
    key: ConnectionKey,
    /// Whether the replica was removed from the list.
    is_removed: bool,
}

// Calls to discovery.
impl Mixer {
    /// Opens or continues the watch, unless one of its calls is in flight.
    pub(in crate::net) fn call_discovery(&mut self) {
        self.execute(Step::Decide);
    }

    /// Handles the deadline of the retry of a failed call.
    pub(in crate::net) fn discovery_retry_due(&mut self) {
        let step = self.discovery.retry_due(&self.runtime);
        self.execute(step);
    }

    /// Handles the deadline of the check of the watch.
    pub(in crate::net) fn heartbeat_due(&mut self) {
        let step = self.discovery.check_due(&mut self.runtime);
        self.execute(step);
    }

    /// Switches to another discovery.
    pub(in crate::net) fn change_discovery(&mut self, address: SocketAddr) {
        self.runtime
            .log(&format!("reload: switching to discovery {address}"));
        self.discovery.switch_to(&mut self.runtime, address);
        self.call_discovery();
    }

    /// Executes the steps of the client of discovery until it waits.
    fn execute(&mut self, first: Step) {
        let mut step = first;
        loop {
            step = match step {
                Step::Wait => return,
                Step::Decide => self.discovery.next_step(&mut self.runtime),
                Step::Make(planned) => return self.make_call(planned),
                Step::Open(purpose) => {
                    let Some(address) = self.discovery.address() else {
                        return;
                    };
                    match self.connect_to_discovery(address) {
                        Ok(stream) => {
                            self.discovery
                                .connection_opened(&mut self.runtime, stream, purpose)
                        }
                        Err(error) => return self.open_failed(purpose.role(), error),
                    }
                }
            };
        }
    }

    /// Connects to discovery. If no file descriptor is left, an idle client connection is closed first.
    fn connect_to_discovery(&mut self, address: SocketAddr) -> Result<TcpStream, DiscoveryError> {
        let stream =
            TcpStream::connect(address).or_else(|error| self.connect_again(address, error))?;
        Ok(stream)
    }

    fn make_call(&mut self, planned: PlannedCall) {
        if let Err(error) = self.discovery.make_call(&mut self.runtime, planned) {
            self.end_discovery(planned.key, error);
        }
        if let Call::Watch { wait_s, .. } = planned.call {
            self.discovery.watch_made(&mut self.runtime, wait_s);
        }
    }

    /// Schedules a call after the predecessor's lease was adopted, if an answer may be missing.
    pub(in crate::net) fn retry_for_missing_answer(&mut self) {
        self.discovery.retry_for_missing_answer(&mut self.runtime);
    }
}

// Answers and failures of calls.
impl Mixer {
    /// Reads from discovery before any client is read: a change counts as notified from the time at which discovery wrote
    /// it, even if the event loop was delayed and a request was received earlier. Returns the tokens whose events have been
    /// handled. The resulting commands are executed by [`Mixer::process_commands`].
    pub(in crate::net) fn receive_from_discovery(&mut self, events: &PollEvents) -> Vec<Token> {
        let is_delayed = self.runtime.now > self.runtime.previous_iteration_at + MAX_LOOP_DELAY_S;
        let mut handled = Vec::new();
        for key in self.discovery.connections() {
            let token = token(key);
            let has_event = events.iter().any(|event| event.token() == token);
            let waits_for_turn = self.runtime.backlog.contains(Work::Connection(key));
            if is_delayed || has_event || waits_for_turn {
                self.discovery_event(key);
                handled.push(token);
            }
        }
        handled
    }

    /// Handles an event of a connection to discovery.
    pub(in crate::net) fn discovery_event(&mut self, key: ConnectionKey) {
        match self.discovery.receive(&mut self.runtime, key) {
            ReadOutcome::NotConnected => {}
            ReadOutcome::Incomplete => {
                if connection(&self.runtime, key).is_some_and(|connection| connection.needs_turn) {
                    self.runtime.backlog.push(Work::Connection(key));
                }
                self.publish_lease();
            }
            ReadOutcome::Failed(error) => self.end_discovery(key, error),
            ReadOutcome::Answer(message) => self.discovery_answered(key, &message),
        }
    }

    fn discovery_answered(&mut self, key: ConnectionKey, message: &Message) {
        let list = match self.process_answer(key, message) {
            Ok(list) => list,
            Err(error) => {
                self.discovery
                    .record_unusable_answer(&mut self.runtime, key, message);
                return self.end_discovery(key, error);
            }
        };
        let keep_alive = message.keep_alive;
        let Some(answered) = self
            .discovery
            .call_answered(&mut self.runtime, key, list, keep_alive)
        else {
            return;
        };
        self.publish_lease();
        self.discovery.resume_calls();
        match answered.role {
            Role::Watch if self.discovery.is_superseded(&self.runtime, &answered) => {
                self.discovery.close(&mut self.runtime, answered.key);
            }
            Role::Watch => self.watch_answered(&answered),
            Role::Heartbeat => {
                let step = self.discovery.check_answered(&mut self.runtime, &answered);
                self.execute(step);
            }
        }
    }

    fn process_answer(
        &mut self,
        key: ConnectionKey,
        message: &Message,
    ) -> Result<ListAnswer, DiscoveryError> {
        let content = self
            .discovery
            .compare_answer(&mut self.runtime, key, message)?;
        match content {
            AnswerContent::Unchanged => Ok(ListAnswer::Unchanged),
            AnswerContent::Outdated => Ok(ListAnswer::Outdated),
            AnswerContent::List(list) => {
                if !self.apply_list(&list.json) {
                    return Err(DiscoveryError::NoEndpoints);
                }
                Ok(self.discovery.list_applied(&list))
            }
        }
    }

    fn watch_answered(&mut self, answered: &AnsweredCall) {
        self.discovery.promote_overdue(&mut self.runtime, answered);
        let previous_calls = self.discovery.watch_confirmed(&mut self.runtime);
        if previous_calls == PreviousCalls::Failed {
            self.apply_entries(false, Vec::new()); // resets the decision module's count of failed calls
        }
        self.discovery
            .schedule_check_after(&mut self.runtime, answered);
        self.request_predecessor_state();
        let step = self
            .discovery
            .after_watch_answer(&mut self.runtime, answered);
        self.execute(step);
    }

    /// Handles the timeout of the call on a connection to discovery.
    pub(in crate::net) fn discovery_timed_out(&mut self, key: ConnectionKey) {
        match self.discovery.mark_overdue(&mut self.runtime, key) {
            Some(overdue) => self.call_failed(&overdue),
            None => self.end_discovery(key, DiscoveryError::TimedOut),
        }
    }

    /// Closes a connection that can't be used any more.
    fn end_discovery(&mut self, key: ConnectionKey, reason: DiscoveryError) {
        let failed = self.discovery.close_failed(&mut self.runtime, key, reason);
        if let Some(failed) = failed {
            self.call_failed(&failed);
        }
    }

    fn open_failed(&mut self, role: Role, reason: DiscoveryError) {
        let failed = self.discovery.open_failed(&mut self.runtime, role, reason);
        self.call_failed(&failed);
    }

    fn call_failed(&mut self, failed: &FailedCall) {
        self.discovery.report_failure(&mut self.runtime, failed);
        self.publish_lease();
        let step = self.discovery.after_failure(&mut self.runtime, failed);
        self.execute(step);
    }
}

// The list in use, and the lease on it.
impl Mixer {
    /// Applies a list in discovery's format; returns whether the JSON was a list.
    pub(in crate::net) fn apply_list(&mut self, list: &Value) -> bool {
        let Some(list) = self.discovery.read_list(&mut self.runtime, list) else {
            return false;
        };
        self.apply_entries(list.is_full, list.entries);
        self.discovery.notify_observer(&self.runtime);
        true
    }

    /// Applies a list whose revision was not assigned by the current discovery, and keeps the revision in use.
    pub(in crate::net) fn apply_list_without_revision(&mut self, list: &Value) {
        let revision = self.discovery.revision();
        self.apply_list(list);
        self.discovery.set_revision(revision);
    }

    /// Forwards list entries to the decision module, and withdraws unsent calls to replicas that must not receive new
    /// requests.
    pub(in crate::net) fn apply_entries(&mut self, is_full: bool, entries: Vec<ReplicaEntry>) {
        self.discovery
            .forward_entries(&mut self.runtime, is_full, entries);
        for connection in self.unready_connections() {
            self.replicas.withdraw_all_unsent(
                &mut self.runtime,
                connection.key,
                connection.is_removed,
            );
        }
        self.runtime.directory.drop_removed();
        self.check_readiness();
    }

    fn unready_connections(&self) -> Vec<UnreadyConnection> {
        self.runtime
            .directory
            .unready()
            .flat_map(|endpoint| {
                let is_removed = endpoint.is_removed();
                endpoint
                    .connections
                    .iter()
                    .map(move |key| UnreadyConnection {
                        key: *key,
                        is_removed,
                    })
            })
            .collect()
    }

    /// Publishes the time until which the list may be used.
    pub(in crate::net) fn publish_lease(&mut self) {
        self.discovery.publish_lease(&mut self.runtime);
        self.check_readiness();
    }

    /// Starts serving once there is a list that may be used, with a replica that may receive requests.
    pub(in crate::net) fn check_readiness(&mut self) {
        let is_due =
            self.lifecycle.phase() == Phase::Starting && self.runtime.directory.has_ready();
        if is_due && self.discovery.is_list_valid(self.runtime.now) && self.may_serve() {
            self.lifecycle.begin_serving();
            self.runtime.log("ready: serving");
        }
    }

    /// Handles the deadline of the check of the lease, which is about to end or has ended.
    pub(in crate::net) fn lease_due(&mut self) {
        if !self.discovery.is_lease_check_due(self.runtime.now) {
            return;
        }
        self.renew_lease();
        self.publish_lease();
    }

    /// Renews the lease if necessary, because a request was received that needs the list.
    pub(in crate::net) fn renew_lease_for_request(&mut self) {
        self.discovery.request_received(self.runtime.now);
        self.renew_lease();
    }

    fn renew_lease(&mut self) {
        if self.discovery.needs_renewal(&self.runtime) {
            self.call_discovery();
        }
    }
}

// Delays of the event loop.
impl Mixer {
    /// Requires another call to confirm the list after the process was paused, since `since` at the latest. If lists are
    /// pushed, data that the agent received during the pause counts as notified, even if the mixer then reads an answer
    /// that the agent wrote earlier.
    pub(in crate::net) fn confirm_list_after_pause(&mut self, since: f64) {
        if self.runtime.deployment.policy.must_poll || self.discovery.address().is_none() {
            return;
        }
        self.discovery.change_missed(&mut self.runtime, since);
        self.publish_lease();
        self.call_discovery();
    }
}
