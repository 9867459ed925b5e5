//! The event loop: one thread, one poll, every socket.
//!
//! This file owns the subsystems and the turn of the loop: it leads socket events and deadlines to the subsystem they belong
//! to, and carries out the request coordinator's commands. It must never decide about a request, and never block but in its
//! poll.

use crate::config::Options;
use crate::endpoints::directory::ConnectionKey;
use crate::net::client::connections::ClientConnections;
use crate::net::connection_table::Connection;
use crate::net::discovery::lease;
use crate::net::discovery::DiscoveryClient;
use crate::net::error::NetError;
use crate::net::lifecycle::{Lifecycle, Phase};
use crate::net::listeners::Listeners;
use crate::net::reload::Reload;
use crate::net::replica::pool::ReplicaConnections;
use crate::net::runtime::Runtime;
use crate::net::stall_detector::StallDetector;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use crate::net::tokens::{connection_key, ADMIN, PROTOCOLS, RELOAD, SIGNALS, STORE, VRRP};
use crate::net::{admin, handover, startup, store_peers, vrrp_socket};
use crate::requests::coordinator::Command;
use mio::event::Event;
use mio::{Events, Token};
use slotmap::KeyData;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Events that one wait of the poll takes at most; others come with the next.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Where an accept failed for want of descriptors it is tried again after this time (seconds).
pub(super) const ACCEPT_RETRY_S: f64 = 0.02;
/// Of the time after which a replica closes an idle connection, the share after which we do.
pub(super) const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The events of one turn.
pub(super) struct PollEvents {
    /// Of the poll that waited.
    waited_for: Events,
    /// Of a second poll right after it. The process may have been stopped after the first one, and what came meanwhile forbids
    /// to act for clients that have gone.
    latest: Events,
}

impl PollEvents {
    fn with_capacity(capacity: usize) -> PollEvents {
        PollEvents {
            waited_for: Events::with_capacity(capacity),
            latest: Events::with_capacity(capacity),
        }
    }

    /// All events, those of the first poll first. A socket may be among both.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Event> {
        self.waited_for.iter().chain(self.latest.iter())
    }
}

/// How the process is told to end, or to read its configuration again.
pub struct Signals {
    /// Becomes readable when the process is to end.
    pub stop: std::os::unix::net::UnixStream,
    /// Becomes readable when the configuration is to be read again.
    pub reload: std::os::unix::net::UnixStream,
    /// The configuration's file.
    pub config_path: PathBuf,
}

/// An endpoint list that has come into force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointListInUse {
    /// Its version, where it has one.
    pub revision: Option<u64>,
    /// Leaf servers that are known now.
    pub servers: usize,
}

/// Called with each endpoint list on the loop's thread; it must not block.
pub type EndpointListObserver = Box<dyn FnMut(EndpointListInUse)>;

/// The mixer on its sockets: the subsystems, and the loop that leads events to them.
pub struct Mixer {
    pub(super) runtime: Runtime,
    pub(super) listeners: Listeners,
    pub(super) clients: ClientConnections,
    pub(super) replicas: ReplicaConnections,
    pub(super) discovery: DiscoveryClient,
    pub(super) lifecycle: Lifecycle,
    pub(super) reload: Reload,
    pub(super) admin: Option<admin::AdminServer>,
    pub(super) handover: Option<handover::Handover>,
    pub(super) store: Option<store_peers::StorePeers>,
    pub(super) vrrp: Option<vrrp_socket::VrrpSocket>,
}

impl Mixer {
    /// Opens the listeners and all that the loop needs. An error says which socket or system call failed.
    pub fn new(options: Options, signals: Signals) -> Result<Mixer, NetError> {
        startup::start(options, signals)
    }

    /// Calls the observer for each endpoint list that comes into force from now on.
    pub fn observe_lists(&mut self, observer: EndpointListObserver) {
        self.discovery.observe_lists(observer);
    }

    /// Runs until the process has been told to end and every accepted request has its answer. An error is one of the poll.
    pub fn run(&mut self) -> Result<(), NetError> {
        let mut events = PollEvents::with_capacity(MAX_EVENTS_PER_POLL);
        let mut stall_detector = StallDetector::default();
        while self.lifecycle.phase() != Phase::Stopped {
            if let Some(woke_at) = self.await_events(&mut events, &mut stall_detector)? {
                self.run_iteration(woke_at, &events, &mut stall_detector);
            }
        }
        Ok(())
    }

    /// Waits for events until the next deadline. Returns when it was over, none where a signal has ended it. The events include
    /// all that had come by then, but for the last `MAX_LOOP_DELAY_S`: what a turn does by the clock must not be later than what it
    /// knows.
    fn await_events(
        &mut self,
        events: &mut PollEvents,
        stall_detector: &mut StallDetector,
    ) -> Result<Option<f64>, NetError> {
        let runtime = &mut self.runtime;
        let polled_at = runtime.clock.now();
        let timeout = if self.replicas.has_postponed_writes() {
            Some(Duration::ZERO)
        } else {
            runtime.timers.wait(polled_at)
        };
        if let Some(timeout) = timeout {
            stall_detector.expect_wake_at(polled_at + timeout.as_secs_f64());
        }
        events.latest.clear();
        if !poll(runtime, &mut events.waited_for, timeout)? {
            return Ok(None);
        }
        let woke_at = runtime.clock.now();
        if woke_at > polled_at + lease::MAX_LOOP_DELAY_S {
            poll(runtime, &mut events.latest, Some(Duration::ZERO))?;
        }
        Ok(Some(woke_at))
    }

    /// One turn: handles the events, then the deadlines that have come.
    fn run_iteration(
        &mut self,
        woke_at: f64,
        events: &PollEvents,
        stall_detector: &mut StallDetector,
    ) {
        self.begin_iteration(woke_at, stall_detector);
        // Operators come first: what clients bring must not keep their replies waiting.
        self.handle_admin_events(events);
        self.handle_client_disconnects(events);
        let handled = self.receive_from_discovery(events);
        if let Some(since) = stall_detector.take_stall_start() {
            let stalled_for_s = self.runtime.now - since;
            self.runtime.log(&format!(
                "loop: the process was stalled for up to {stalled_for_s:.3} s"
            ));
            self.confirm_list_after_pause(since);
        }
        self.process_commands();
        self.flush_postponed();
        for event in events.iter() {
            if !handled.contains(&event.token()) {
                self.handle_event(event);
            }
            self.process_commands();
        }
        self.advance_to_deadlines(woke_at, stall_detector);
        while let Some(deadline) = self.runtime.timers.next(self.runtime.now) {
            self.handle_deadline(deadline);
            self.process_commands();
        }
        self.check_end();
    }

    /// Sets the time of this turn, and notes whether the process stood still during the wait.
    fn begin_iteration(&mut self, woke_at: f64, stall_detector: &mut StallDetector) {
        let runtime = &mut self.runtime;
        runtime.now = woke_at;
        runtime.previous_iteration_at = runtime.iteration_started_at;
        runtime.iteration_started_at = runtime.now;
        let wake_delay_s = stall_detector.record_wake(runtime.now, runtime.previous_iteration_at);
        if wake_delay_s > lease::MAX_LOOP_DELAY_S {
            // A stop comes at the end of a system call: the poll may have looked before it.
            runtime.iteration_started_at = runtime.previous_iteration_at;
        }
    }

    /// Reads the clock for the deadlines of this turn. Where handling the events took long, its deadlines are those that had come
    /// when it began: others wait until the sockets have been looked at again.
    fn advance_to_deadlines(&mut self, woke_at: f64, stall_detector: &mut StallDetector) {
        let now = self.runtime.clock.now();
        stall_detector.record_iteration(now - woke_at, self.runtime.iteration_started_at);
        if now <= woke_at + lease::MAX_LOOP_DELAY_S {
            self.runtime.now = now;
        }
    }

    fn handle_admin_events(&mut self, events: &PollEvents) {
        for event in events.iter() {
            match event.token() {
                ADMIN => self.accept_admin_connections(),
                token => self.handle_admin_event(connection_key(token)),
            }
        }
    }

    /// Leads an event to the subsystem that owns its socket. Those of the admin interface were handled before.
    fn handle_event(&mut self, event: &Event) {
        match event.token() {
            Token(protocol) if protocol < PROTOCOLS.len() => self.accept(PROTOCOLS[protocol]),
            SIGNALS => self.stop_requested(),
            RELOAD => self.reload_requested(),
            STORE => self.accept_store_peers(),
            VRRP => self.handle_vrrp_socket_event(),
            ADMIN => {}
            handover::RENDEZVOUS => self.rendezvous_event(),
            handover::PREDECESSOR => self.link_event(handover::Side::Predecessor),
            handover::SUCCESSOR => self.link_event(handover::Side::Successor),
            token => {
                let is_read_closed = event.is_read_closed();
                let is_gone = event.is_error() || (is_read_closed && event.is_write_closed());
                self.connection_event(connection_key(token), is_gone, is_read_closed);
            }
        }
    }

    /// Carries out the coordinator's commands, and what they lead to, until none is left.
    pub(super) fn process_commands(&mut self) {
        while !self.runtime.commands.is_empty() || self.clients.has_resumed() {
            for key in self.clients.take_resumed() {
                self.read_client(key);
            }
            for command in std::mem::take(&mut self.runtime.commands) {
                match command {
                    Command::Call { replica, parts } => self.call(replica, parts),
                    Command::Cancel { attempt } => self.cancel_attempt(attempt),
                    Command::Withdraw { attempt } => self.withdraw_unsent(attempt),
                    Command::Reply {
                        caller,
                        answer,
                        query_request,
                        took_s,
                    } => {
                        let key = ConnectionKey::from(KeyData::from_ffi(caller));
                        self.reply(key, &query_request, answer, took_s);
                    }
                    Command::WakeAt { at, wake } => {
                        self.runtime.timers.add(at, Deadline::Coordinator(wake))
                    }
                    Command::Watch => self.call_discovery(),
                    Command::CloseIdle { replica } => self.close_idle(replica),
                    Command::Log(line) => self.runtime.log(&line),
                }
            }
        }
    }

    /// Leads a deadline that has come to the subsystem that set it.
    fn handle_deadline(&mut self, deadline: Deadline) {
        match deadline {
            Deadline::Coordinator(wake) => {
                self.runtime
                    .coordinator
                    .wake(self.runtime.now, wake, &mut self.runtime.commands)
            }
            Deadline::Connection(key) => self.connection_due(key),
            Deadline::Register(key) => self.runtime.register(key),
            Deadline::Handover => self.handover_due(),
            Deadline::AdminAccept => self.accept_admin_connections(),
            Deadline::Accept => PROTOCOLS
                .into_iter()
                .for_each(|protocol| self.accept(protocol)),
            Deadline::CallDiscovery => self.call_discovery(),
            Deadline::DiscoveryRetry => self.discovery_retry_due(),
            Deadline::Heartbeat => self.heartbeat_due(),
            Deadline::ListLease => self.lease_due(),
            Deadline::ApplySettings => self.apply_pending_settings(),
            Deadline::OpenListeners => self.open_listeners(),
            Deadline::VrrpTimer => self.handle_vrrp_event(crate::vrrp::Event::Timer),
            Deadline::StoreRefresh => self.refresh_from_store(),
            Deadline::StoreOperation(id) => self.handle_store_operation_timeout(id),
            Deadline::Phase => self.phase_due(),
        }
    }
}

/// Polls once. Returns false where a signal has ended the wait.
fn poll(
    runtime: &mut Runtime,
    events: &mut Events,
    timeout: Option<Duration>,
) -> Result<bool, NetError> {
    match runtime.poll.poll(events, timeout) {
        Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(false),
        Err(error) => Err(error.into()),
        Ok(()) => Ok(true),
    }
}

/// Leads the events and deadlines of connections to the subsystem that owns their kind.
impl Mixer {
    fn connection_event(&mut self, key: ConnectionKey, gone: bool, read_closed: bool) {
        match self.runtime.connections.get(key) {
            Some(Connection::Client(_)) => self.handle_client_event(key, gone || read_closed),
            Some(Connection::Replica(_)) => self.replica_event(key),
            Some(Connection::Discovery(_)) => self.discovery_event(key),
            Some(Connection::Peer(_)) => self.handle_store_peer_event(key),
            Some(Connection::Admin(_)) => {} // served before all others
            None => {}                       // an event for a connection that is closed
        }
    }

    fn connection_due(&mut self, key: ConnectionKey) {
        match self.runtime.connections.get(key) {
            Some(Connection::Client(_)) => self.handle_client_timer(key),
            Some(Connection::Replica(_)) => self.replica_due(key),
            Some(Connection::Discovery(connection))
                if self.runtime.now + TIMER_TOLERANCE_S >= connection.due =>
            {
                self.discovery_timed_out(key);
            }
            Some(Connection::Admin(_)) => self.handle_admin_timer(key),
            Some(Connection::Discovery(_) | Connection::Peer(_)) | None => {}
        }
    }
}
