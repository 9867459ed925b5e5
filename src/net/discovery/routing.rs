//! Routes between the client of discovery, the reload of the configuration, and the other subsystems of the loop.
//!
//! Each method calls a subsystem and leads its typed result to the next one. This file owns no state and no decision.

use crate::config::Deployment;
use crate::decisions::api::ReplicaEntry;
use crate::net::discovery::answers::{
    AnswerContent, AnsweredCall, Arrival, CallsBefore, FailedCall, ListAnswer,
};
use crate::net::discovery::calls::{PlannedCall, Step};
use crate::net::discovery::connection::{Call, DiscoveryError, Role};
use crate::net::discovery::lease::HELD_UP_S;
use crate::net::event_loop::{Mixer, TurnEvents};
use crate::net::http::Message;
use crate::net::lifecycle::Phase;
use crate::net::reload::{self, RereadOutcome};
use crate::net::tokens::token;
use crate::net::ConnectionKey;
use miniserde::json::Value;
use mio::net::TcpStream;
use mio::Token;
use std::net::SocketAddr;

/// A connection to a replica to which no new requests may be sent.
struct UnreadyConnection {
    key: ConnectionKey,
    /// Whether the replica was removed from the list.
    is_gone: bool,
}

// Calls to discovery.
impl Mixer {
    /// Opens or continues the watch, unless a call of it is in flight.
    pub(in crate::net) fn call_discovery(&mut self) {
        self.follow(Step::Reconsider);
    }

    /// The deadline of the retry of a failed call.
    pub(in crate::net) fn discovery_retry_due(&mut self) {
        let step = self.discovery.retry_due(&self.runtime);
        self.follow(step);
    }

    /// The deadline of the check of the watch.
    pub(in crate::net) fn heartbeat_due(&mut self) {
        let step = self.discovery.check_due(&mut self.runtime);
        self.follow(step);
    }

    /// Carries out what the client of discovery decided, until it waits.
    fn follow(&mut self, first: Step) {
        let mut step = first;
        loop {
            step = match step {
                Step::Wait => return,
                Step::Reconsider => self.discovery.next_step(&mut self.runtime),
                Step::Make(planned) => return self.make_call(planned),
                Step::Open(opening) => {
                    let Some(address) = self.discovery.address() else {
                        return;
                    };
                    match self.connect_to_discovery(address) {
                        Ok(stream) => {
                            self.discovery
                                .connection_opened(&mut self.runtime, stream, opening)
                        }
                        Err(error) => return self.open_failed(opening.role(), error),
                    }
                }
            };
        }
    }

    /// Connects to discovery; where descriptors are used up, a client connection is closed for it.
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

    /// Schedules a call after the predecessor's lease was taken over, if an answer may be missing.
    pub(in crate::net) fn retry_for_missing_answer(&mut self) {
        self.discovery.retry_for_missing_answer(&mut self.runtime);
    }
}

// Answers and failures of calls.
impl Mixer {
    /// Reads from discovery before anything that clients bring: a change counts as notified from the moment it was written, also
    /// if the loop was held up and a request was received first. Gives whose events have been handled. What follows from them
    /// is left to [`Mixer::settle`].
    pub(in crate::net) fn receive_from_discovery(&mut self, events: &TurnEvents) -> Vec<Token> {
        let was_held_up = self.runtime.now > self.runtime.previous_turn_at + HELD_UP_S;
        let mut handled = Vec::new();
        for key in self.discovery.connections() {
            let token = token(key);
            let has_event = events.iter().any(|event| event.token() == token);
            if was_held_up || has_event {
                self.discovery_event(key);
                handled.push(token);
            }
        }
        handled
    }

    /// An event of a connection to discovery.
    pub(in crate::net) fn discovery_event(&mut self, key: ConnectionKey) {
        match self.discovery.receive(&mut self.runtime, key) {
            Arrival::NotConnected => {}
            Arrival::Incomplete => self.publish_lease(),
            Arrival::Failed(error) => self.end_discovery(key, error),
            Arrival::Answer(message) => self.discovery_answered(key, &message),
        }
    }

    fn discovery_answered(&mut self, key: ConnectionKey, message: &Message) {
        let list = match self.take_answer(key, message) {
            Ok(list) => list,
            Err(error) => {
                self.discovery
                    .note_unusable_answer(&mut self.runtime, key, message);
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
                self.follow(step);
            }
        }
    }

    fn take_answer(
        &mut self,
        key: ConnectionKey,
        message: &Message,
    ) -> Result<ListAnswer, DiscoveryError> {
        let content = self
            .discovery
            .compare_answer(&mut self.runtime, key, message)?;
        match content {
            AnswerContent::Unchanged => Ok(ListAnswer::Same),
            AnswerContent::Outdated => Ok(ListAnswer::Outdated),
            AnswerContent::List(list) => {
                if !self.take_list(&list.json) {
                    return Err(DiscoveryError::NoEndpoints);
                }
                Ok(self.discovery.list_taken_over(&list))
            }
        }
    }

    fn watch_answered(&mut self, answered: &AnsweredCall) {
        self.discovery.adopt_overdue(&mut self.runtime, answered);
        let calls_before = self.discovery.watch_confirmed(&mut self.runtime);
        if calls_before == CallsBefore::Failed {
            self.take_entries(false, Vec::new()); // the decision module counts failures up to the next list
        }
        self.discovery
            .schedule_check_after(&mut self.runtime, answered);
        self.request_predecessor_state();
        let step = self
            .discovery
            .after_watch_answer(&mut self.runtime, answered);
        self.follow(step);
    }

    /// The call on a connection to discovery was not answered in time.
    pub(in crate::net) fn discovery_timed_out(&mut self, key: ConnectionKey) {
        match self.discovery.leave_open(&mut self.runtime, key) {
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
        self.follow(step);
    }
}

// The list in use, and the lease on it.
impl Mixer {
    /// Takes over a list in discovery's form; says whether it was one.
    pub(in crate::net) fn take_list(&mut self, list: &Value) -> bool {
        let Some(list) = self.discovery.read_list(&mut self.runtime, list) else {
            return false;
        };
        self.take_entries(list.is_full, list.entries);
        self.discovery.notify_observer(&self.runtime);
        true
    }

    /// Takes over a list whose version is not one of discovery's: the version in use stays.
    pub(in crate::net) fn take_list_without_revision(&mut self, list: &Value) {
        let revision = self.discovery.revision();
        self.take_list(list);
        self.discovery.set_revision(revision);
    }

    /// Passes lines of a list to the decision module, and withdraws what may not be sent any more.
    pub(in crate::net) fn take_entries(&mut self, is_full: bool, entries: Vec<ReplicaEntry>) {
        self.discovery
            .pass_on_entries(&mut self.runtime, is_full, entries);
        for connection in self.unready_connections() {
            self.replicas.withdraw_all_unsent(
                &mut self.runtime,
                connection.key,
                connection.is_gone,
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
                let is_gone = endpoint.is_removed();
                endpoint
                    .connections
                    .iter()
                    .map(move |key| UnreadyConnection { key: *key, is_gone })
            })
            .collect()
    }

    /// Publishes until when the list may be acted on.
    pub(in crate::net) fn publish_lease(&mut self) {
        self.discovery.publish_lease(&mut self.runtime);
        self.check_readiness();
    }

    /// Becomes ready once there is a list that may be acted on, with a replica to which requests may be sent.
    pub(in crate::net) fn check_readiness(&mut self) {
        let is_due =
            self.lifecycle.phase() == Phase::Starting && self.runtime.directory.has_ready();
        if is_due && self.discovery.is_list_in_force(self.runtime.now) && self.may_serve() {
            self.lifecycle.begin_serving();
            self.runtime.log("ready: serving");
        }
    }

    /// The deadline of the check of the lease, which is about to end, or has ended.
    pub(in crate::net) fn lease_due(&mut self) {
        if !self.discovery.is_lease_check_due(self.runtime.now) {
            return;
        }
        self.renew_lease();
        self.publish_lease();
    }

    /// A request was received that needs the list.
    pub(in crate::net) fn list_needed(&mut self) {
        self.discovery.request_received(self.runtime.now);
        self.renew_lease();
    }

    fn renew_lease(&mut self) {
        if self.discovery.needs_renewal(&self.runtime) {
            self.call_discovery();
        }
    }
}

// A loop that was held up.
impl Mixer {
    /// The loop was stopped since that time at the latest. If lists are pushed, what the agent has received meanwhile counts as
    /// notified, even if an answer was read that it wrote before: another call has to confirm the list.
    pub(in crate::net) fn confirm_after_standstill(&mut self, since: f64) {
        if self.runtime.deployment.policy.must_poll || self.discovery.address().is_none() {
            return;
        }
        self.discovery.change_missed(&mut self.runtime, since);
        self.publish_lease();
        self.call_discovery();
    }
}

// The reload of the configuration.
impl Mixer {
    /// Logs which classes have two-phase queries, if any.
    pub(in crate::net) fn log_phases(&mut self) {
        reload::log_phases(&mut self.runtime);
    }

    /// SIGHUP: reads the configuration again. Requests and connections stay as they are; an invalid file changes nothing.
    pub(in crate::net) fn reload_requested(&mut self) {
        let RereadOutcome::Accepted {
            deployment,
            discovery,
        } = self.reload.reread(&mut self.runtime)
        else {
            return;
        };
        // Settings that the operators stored take precedence over the file.
        if !self.has_stored_settings() {
            self.accept_settings(*deployment);
        }
        match discovery {
            Some(address) => self.change_discovery(address),
            None => self.runtime.log("reload: discovery unchanged"),
        }
    }

    /// Accepts valid settings, which are applied a little later.
    pub(in crate::net) fn accept_settings(&mut self, deployment: Deployment) {
        self.reload.accept_settings(&mut self.runtime, deployment);
    }

    /// The deadline at which accepted settings are applied.
    pub(in crate::net) fn apply_pending_settings(&mut self) {
        let Some(deployment) = self.reload.take_pending() else {
            return;
        };
        self.runtime.directory.set_zones(deployment.zones.clone());
        self.runtime.deployment = deployment.clone();
        self.discovery
            .set_drain_grace(deployment.policy.drain_grace_s);
        self.publish_lease();
        reload::apply_settings(&mut self.runtime, deployment);
    }

    /// Changes to another discovery.
    fn change_discovery(&mut self, address: SocketAddr) {
        self.runtime
            .log(&format!("reload: switching to discovery {address}"));
        self.discovery.move_to(&mut self.runtime, address);
        self.call_discovery();
    }
}
