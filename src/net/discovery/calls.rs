//! Decides which call to discovery is made next and when: the watch, the calls that open it, its checks and retries. A
//! [`Step`] is the next action of the event loop. A discovery that answers a watch without waiting must not be called again at
//! once, because the calls would follow each other in a tight loop.

use crate::net::connection_table::Connection;
use crate::net::discovery::client::{fleet_of, DiscoveryClient};
use crate::net::discovery::connection::{
    Call, DiscoveryConnection, DiscoveryError, OpenCall, Role,
};
use crate::net::discovery::link::{connection_mut, open_call};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::Deadline;
use crate::net::ConnectionKey;
use mio::net::TcpStream;

/// Timeout for establishing a connection to discovery (seconds).
const CONNECT_TIMEOUT_S: f64 = 1.0;

/// The next action of the event loop for the watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Step {
    /// Waits for the next event or deadline.
    Wait,
    /// Decides again on the watch's next call.
    Decide,
    /// Opens a connection to discovery.
    Open(ConnectionPurpose),
    /// Makes a call on an open connection.
    Make(PlannedCall),
}

/// The purpose of a new connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ConnectionPurpose {
    /// Watch. `was_postponed` is set if the watch was postponed and checks were made instead, so that no other call is
    /// needed before the watch.
    Watch { was_postponed: bool },
    /// Check of a watch, which asks for the changes since a revision.
    Check { since: u64 },
}

impl ConnectionPurpose {
    /// Returns the role of the connection.
    pub(super) fn role(self) -> Role {
        match self {
            ConnectionPurpose::Watch { .. } => Role::Watch,
            ConnectionPurpose::Check { .. } => Role::Heartbeat,
        }
    }
}

/// A call that is about to be made.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct PlannedCall {
    pub(super) key: ConnectionKey,
    pub(super) call: Call,
    pub(super) timeout_s: f64,
}

impl DiscoveryClient {
    /// Decides on the watch's next call: opens the watch, or continues it unless one of its calls is in flight.
    pub(super) fn next_step(&mut self, runtime: &mut Runtime) -> Step {
        if let Some(until) = self.link.oversize.blocked_until(runtime.now) {
            runtime.timers.add(until, Deadline::CallDiscovery);
            return Step::Wait;
        }
        let is_answer_missing = self.lease.is_answer_missing(runtime.now);
        if !is_answer_missing && self.link.check.is_reopening_later(runtime.now) {
            return Step::Wait;
        }
        let was_postponed = self.link.check.end_postponement() && !is_answer_missing;
        if let Some(key) = self.link.watch {
            return match open_call(runtime, Some(key)) {
                None => self.continue_watch(runtime, key),
                Some(_) => Step::Wait,
            };
        }
        self.log_first_call(runtime);
        Step::Open(ConnectionPurpose::Watch { was_postponed })
    }

    /// Logs the list that is in use until the first call is answered.
    fn log_first_call(&self, runtime: &mut Runtime) {
        if !self.link.has_been_answered && self.link.failed_opens == 0 {
            let revision = self.revision;
            runtime.log(&format!(
                "discovery: first call; the list in use is of revision {revision:?}, not confirmed"
            ));
        }
    }

    /// Registers a connection that was opened and may not be established yet. Returns the step that makes its first call.
    pub(super) fn connection_opened(
        &mut self,
        runtime: &mut Runtime,
        stream: TcpStream,
        purpose: ConnectionPurpose,
    ) -> Step {
        let role = purpose.role();
        let connection = DiscoveryConnection::new(stream, role, self.link.max_list_bytes());
        let key = runtime
            .connections
            .insert(Connection::Discovery(Box::new(connection)));
        self.link.connection_opened(key, role);
        runtime.register(key);
        match purpose {
            ConnectionPurpose::Watch {
                was_postponed: true,
            } => self.continue_watch(runtime, key),
            ConnectionPurpose::Watch {
                was_postponed: false,
            } => {
                let call = self.link.opening_call(self.revision);
                self.plan_opening(runtime, key, call)
            }
            ConnectionPurpose::Check { since } => self.plan_check(key, since),
        }
    }

    fn plan_opening(&self, runtime: &Runtime, key: ConnectionKey, call: Call) -> Step {
        let mixers = self.mixers_calling_again(runtime);
        Step::Make(PlannedCall {
            key,
            call,
            timeout_s: self.link.open_timeout_s(call, mixers),
        })
    }

    /// Returns the number of mixers that call the same discovery, if this mixer makes a second call soon while one is open.
    /// Returns `None` while an answer is missing: the list is not used then, and a second call could cost the open call its
    /// place in the queue of an overloaded discovery.
    pub(super) fn mixers_calling_again(&self, runtime: &Runtime) -> Option<u32> {
        let sharers = fleet_of(&runtime.deployment.policy).sharers();
        (!self.lease.is_answer_missing(runtime.now)).then_some(sharers)
    }

    fn plan_check(&self, key: ConnectionKey, since: u64) -> Step {
        Step::Make(PlannedCall {
            key,
            call: Call::Changes { since },
            timeout_s: self.link.check.timeout_s(),
        })
    }

    /// Returns the step for the next call on a connection whose last call was answered.
    pub(super) fn continue_watch(&mut self, runtime: &mut Runtime, key: ConnectionKey) -> Step {
        let Some(since) = self.revision else {
            return self.plan_opening(runtime, key, Call::CompleteList);
        };
        if self.lease.is_answer_missing(runtime.now) {
            return self.call_for_changes(runtime, key);
        }
        let times = self.link.check.watch_times(runtime);
        Step::Make(PlannedCall {
            key,
            call: Call::Watch {
                since,
                wait_s: times.wait_s,
            },
            timeout_s: times.timeout_s,
        })
    }

    /// Returns the step for a call that discovery answers at once, on the connection of the watch, or on a new connection
    /// if that one was closed.
    pub(super) fn call_for_changes(&self, runtime: &Runtime, key: ConnectionKey) -> Step {
        match self.revision {
            Some(since) if self.link.watch == Some(key) => {
                self.plan_opening(runtime, key, Call::Changes { since })
            }
            _ => Step::Decide,
        }
    }

    /// Makes a call. An error means that the call could not be written; the connection is still open then.
    pub(super) fn make_call(
        &mut self,
        runtime: &mut Runtime,
        planned: PlannedCall,
    ) -> Result<(), DiscoveryError> {
        let Some(address) = self.address else {
            return Ok(());
        };
        let open_call = OpenCall {
            call: planned.call,
            revision: self.revision,
            made_at: runtime.now,
            timeout_s: planned.timeout_s,
        };
        let Some(connection) = connection_mut(runtime, planned.key) else {
            return Ok(());
        };
        self.link.cancel_retry();
        let request = planned.call.request_bytes(&address.to_string());
        let due = connection.start_call(request, open_call, CONNECT_TIMEOUT_S);
        self.lease.call_made(runtime.now);
        runtime.timers.add(due, Deadline::Connection(planned.key));
        match connection_mut(runtime, planned.key) {
            Some(connection) => Ok(connection.flush()?),
            None => Ok(()),
        }
    }

    /// Records a call that waits for changes: the lease and the heartbeat depend on its wait.
    pub(super) fn watch_made(&mut self, runtime: &mut Runtime, wait_s: f64) {
        self.lease.watch_opened(runtime.now + wait_s);
        self.link.check.watch_made(runtime);
    }

    /// Handles the deadline of a check: the watch's answer is late, or a check replaces a postponed watch. Only an open
    /// watch is checked, because a call that opens a watch shows by itself whether discovery answers.
    pub(super) fn check_due(&mut self, runtime: &mut Runtime) -> Step {
        if !self.link.check.take_due(runtime.now) {
            return Step::Wait;
        }
        if open_call(runtime, self.link.check_connection).is_some() {
            let now = runtime.now;
            self.link.check.schedule(runtime, now);
            return Step::Wait;
        }
        let is_checked = self.link.is_watch_open(runtime) || self.link.check.is_watch_postponed();
        let Some(since) = self.revision.filter(|_| is_checked) else {
            self.link.check.cancel();
            return Step::Wait;
        };
        if let Some(until) = self.link.oversize.blocked_until(runtime.now) {
            self.link.check.schedule(runtime, until);
            return Step::Wait;
        }
        match self.link.check_connection {
            Some(key) => self.plan_check(key, since),
            None => Step::Open(ConnectionPurpose::Check { since }),
        }
    }

    /// Handles the deadline of a retry.
    pub(super) fn retry_due(&mut self, runtime: &Runtime) -> Step {
        if self.link.take_due_retry(runtime.now) {
            Step::Decide
        } else {
            Step::Wait
        }
    }

    /// Schedules an early retry if an answer may be missing.
    pub(super) fn retry_for_missing_answer(&mut self, runtime: &mut Runtime) {
        if self.lease.is_answer_missing(runtime.now) {
            self.retry_early(runtime, false);
        }
    }

    /// Schedules an early retry; `was_prompt` indicates whether the previous call ended right after it was made.
    pub(super) fn retry_early(&mut self, runtime: &mut Runtime, was_prompt: bool) {
        let sharers = fleet_of(&runtime.deployment.policy).sharers();
        let jitter = runtime.rng.rand_float();
        let delay_s = self.lease.early_retry_delay_s(sharers, was_prompt, jitter);
        self.link.retry_after(runtime, delay_s);
    }
}
