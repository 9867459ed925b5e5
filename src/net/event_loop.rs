//! The event loop of the mixer: a single thread that polls all sockets, dispatches socket events and deadlines to the
//! subsystems and executes the commands of the request coordinator. Nothing in an iteration may block except the poll itself.

use crate::config::Options;
use crate::endpoints::directory::ConnectionKey;
use crate::net::backlog::{Backlog, TurnCounts, Work};
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
use crate::net::tokens::{connection_key, token, ADMIN, PROTOCOLS, RELOAD, SIGNALS, STORE, VRRP};
use crate::net::{admin, handover, startup, store_peers, vrrp_socket};
use crate::requests::coordinator::{Command, Protocol};
use mio::event::Event;
use mio::{Events, Token};
use slotmap::KeyData;
use std::io;
use std::path::PathBuf;
use std::time::Duration;

/// Maximum number of events returned by one poll; further events are returned by the next poll.
const MAX_EVENTS_PER_POLL: usize = 256;
/// Time after which an iteration hands the remaining events to the backlog (seconds).
const MAX_EVENTS_S: f64 = 0.004;
/// Time that an iteration spends on first turns of connections, and on further ones, plus the last turn (seconds). The sockets are
/// polled again after it, so that answers of leaf servers, disconnects and deadlines do not wait for long.
const MAX_FIRST_TURNS_S: f64 = 0.004;
const MAX_FURTHER_TURNS_S: f64 = 0.002;
/// Delay before connections are accepted again after an accept failed for lack of descriptors or memory (seconds).
pub(super) const ACCEPT_RETRY_S: f64 = 0.02;
/// Fraction of a replica's idle timeout after which the mixer closes an idle connection.
pub(super) const IDLE_TIMEOUT_FRACTION: f64 = 0.8;

/// The socket events of one iteration of the event loop.
pub(super) struct PollEvents {
    /// Events of the poll that waited for the next event or deadline.
    waited_for: Events,
    /// Events of a second poll, made only after a long wait. The process may have been paused after the first poll; events that
    /// arrived during the pause, such as disconnects of clients, have to be known before any action.
    latest: Events,
}

impl PollEvents {
    fn with_capacity(capacity: usize) -> PollEvents {
        PollEvents {
            waited_for: Events::with_capacity(capacity),
            latest: Events::with_capacity(capacity),
        }
    }

    /// Returns all events, those of the first poll first. Both polls may report the same socket.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Event> {
        self.waited_for.iter().chain(self.latest.iter())
    }
}

/// The pipes by which signals reach the event loop, and the configuration that SIGHUP reloads.
pub struct Signals {
    /// Becomes readable when the process has received SIGTERM or SIGINT.
    pub stop: std::os::unix::net::UnixStream,
    /// Becomes readable when the process has received SIGHUP.
    pub reload: std::os::unix::net::UnixStream,
    /// Path of the configuration file.
    pub config_path: PathBuf,
}

/// An endpoint list that the mixer has started to use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointListInUse {
    /// Revision of the list, if it has one.
    pub revision: Option<u64>,
    /// Number of leaf servers known after the update.
    pub servers: usize,
}

/// Callback that the event loop's thread runs for each new endpoint list; it must not block.
pub type EndpointListObserver = Box<dyn FnMut(EndpointListInUse)>;

/// The mixer with its sockets: the subsystems and the event loop that dispatches events to them.
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
    /// Opens the listeners and all other sockets and starts the subsystems. Fails if a socket cannot be opened or a system call
    /// of the start fails.
    pub fn new(options: Options, signals: Signals) -> Result<Mixer, NetError> {
        startup::start(options, signals)
    }

    /// Registers a callback for each endpoint list that the mixer starts to use from now on.
    pub fn observe_lists(&mut self, observer: EndpointListObserver) {
        self.discovery.observe_lists(observer);
    }

    /// Runs the event loop until shutdown was requested and the open requests have been answered or their
    /// time is over. Fails if polling fails.
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

    /// Waits for events until the next deadline. Returns the time at which the wait ended, or `None` if a signal interrupted
    /// it. After a long wait the sockets are polled a second time, so that an iteration never acts on events that are older
    /// than its clock reading by more than the tolerated delay.
    fn await_events(
        &mut self,
        events: &mut PollEvents,
        stall_detector: &mut StallDetector,
    ) -> Result<Option<f64>, NetError> {
        let has_backlog = self.has_backlog();
        let runtime = &mut self.runtime;
        let polled_at = runtime.clock.now();
        let has_pending_work = self.replicas.has_postponed_writes() || has_backlog;
        let timeout = if has_pending_work {
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

    /// Runs one iteration: handles the events, then a part of the backlog, then the deadlines that have passed.
    fn run_iteration(
        &mut self,
        woke_at: f64,
        events: &PollEvents,
        stall_detector: &mut StallDetector,
    ) {
        self.begin_iteration(woke_at, stall_detector);
        let turns = self.runtime.backlog.counts();
        let pending_listeners = self.listeners.take_pending();
        // The admin interface is served first, so that client traffic cannot delay its replies.
        self.handle_admin_events(events);
        self.handle_client_disconnects(events);
        let handled = self.receive_from_discovery(events);
        if let Some(stalled_since) = stall_detector.take_stall_start() {
            let stalled_for_s = self.runtime.now - stalled_since;
            self.runtime.log(&format!(
                "loop: the process was stalled for up to {stalled_for_s:.3} s"
            ));
            self.confirm_list_after_pause(stalled_since);
        }
        self.process_commands();
        self.flush_postponed();
        for event in events.iter() {
            if !handled.contains(&event.token()) {
                self.handle_or_defer(event, woke_at);
            }
            self.process_commands();
        }
        self.accept_pending(pending_listeners);
        self.reduce_backlog(turns);
        self.advance_to_deadlines(woke_at, stall_detector);
        while let Some(deadline) = self.runtime.timers.next(self.runtime.now) {
            self.handle_deadline(deadline);
            self.process_commands();
        }
        self.check_end();
    }

    /// Sets the time of this iteration and records whether the process was stalled during the wait.
    fn begin_iteration(&mut self, woke_at: f64, stall_detector: &mut StallDetector) {
        let runtime = &mut self.runtime;
        runtime.loop_metrics.begin_iteration();
        runtime.now = woke_at;
        runtime.previous_iteration_at = runtime.iteration_started_at;
        runtime.iteration_started_at = runtime.now;
        let wake_delay_s = stall_detector.record_wake(runtime.now, runtime.previous_iteration_at);
        if wake_delay_s > lease::MAX_LOOP_DELAY_S {
            // A stop signal takes effect at the end of a system call, so the poll may have collected its events before the
            // process was stopped. Events of the next iteration may therefore have arrived since the previous one.
            runtime.iteration_started_at = runtime.previous_iteration_at;
        }
    }

    /// Reads the clock for the deadlines of this iteration. If handling the events took long, only the deadlines that had
    /// passed when the iteration started are handled; the others wait until the sockets have been polled again.
    fn advance_to_deadlines(&mut self, woke_at: f64, stall_detector: &mut StallDetector) {
        let now = self.runtime.clock.now();
        stall_detector.record_iteration(now - woke_at, self.runtime.iteration_started_at);
        if let Some(line) = self.runtime.loop_metrics.end_iteration(now - woke_at) {
            self.runtime.log(&line);
        }
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

    /// Handles an event now or, if the iteration has taken long already, queues its connection for a later turn.
    fn handle_or_defer(&mut self, event: &Event, woke_at: f64) {
        let key = connection_key(event.token());
        let is_connection = token(key) == event.token();
        if is_connection && self.runtime.clock.now() > woke_at + MAX_EVENTS_S {
            self.runtime.backlog.push_first(Work::Connection(key));
            self.clients.begin_wait(&mut self.runtime, key);
        } else {
            self.handle_event(event);
        }
    }

    fn has_backlog(&self) -> bool {
        !self.runtime.backlog.is_empty() || self.listeners.has_pending()
    }

    /// Accepts clients that did not fit into the turn of their listener in the last iteration.
    fn accept_pending(&mut self, pending: Vec<Protocol>) {
        for protocol in pending {
            self.accept(protocol);
            self.process_commands();
        }
    }

    /// Gives turns to the sources of the backlog: first turns before further ones, and at least one of each kind. `turns` are the
    /// numbers of sources at the poll: what was queued since waits for the next one, so that discovery and disconnects are read
    /// before its input.
    fn reduce_backlog(&mut self, turns: TurnCounts) {
        self.run_turns(turns.first, MAX_FIRST_TURNS_S, Backlog::pop_first);
        self.run_turns(turns.further, MAX_FURTHER_TURNS_S, Backlog::pop);
        if !self.runtime.backlog.is_empty() {
            self.runtime.loop_metrics.count_full_backlog();
        }
    }

    /// Gives turns to up to `count` sources that `next` returns, until `max_s` have passed.
    fn run_turns(&mut self, count: usize, max_s: f64, next: impl Fn(&mut Backlog) -> Option<Work>) {
        let end_at = self.runtime.clock.now() + max_s;
        for _ in 0..count {
            let Some(work) = next(&mut self.runtime.backlog) else {
                return;
            };
            self.run_turn(work);
            self.process_commands();
            if self.runtime.clock.now() > end_at {
                return;
            }
        }
    }

    /// Gives a turn to a source of the backlog.
    fn run_turn(&mut self, work: Work) {
        match work {
            Work::Connection(key) => self.handle_connection_event(key, false, false),
            Work::AcceptPeers => self.accept_store_peers(),
            Work::StoreOperations => self.next_store_operation(),
            Work::Vrrp => self.handle_vrrp_socket_event(),
            Work::Rendezvous => self.handle_rendezvous_event(),
            Work::Link(side) => self.handle_link_event(side),
        }
    }

    /// Dispatches an event to the subsystem that owns its socket. Events of the admin interface have been handled before.
    fn handle_event(&mut self, event: &Event) {
        match event.token() {
            Token(protocol) if protocol < PROTOCOLS.len() => self.accept(PROTOCOLS[protocol]),
            SIGNALS => self.handle_stop_signal(),
            RELOAD => self.reload_requested(),
            STORE => self.accept_store_peers(),
            VRRP => self.handle_vrrp_socket_event(),
            ADMIN => {}
            handover::RENDEZVOUS => self.handle_rendezvous_event(),
            handover::PREDECESSOR => self.handle_link_event(handover::Side::Predecessor),
            handover::SUCCESSOR => self.handle_link_event(handover::Side::Successor),
            token => {
                let is_read_closed = event.is_read_closed();
                let is_closed = event.is_error() || (is_read_closed && event.is_write_closed());
                self.handle_connection_event(connection_key(token), is_closed, is_read_closed);
            }
        }
    }

    /// Executes the coordinator's commands, including those that result from executing them, until none is left.
    pub(super) fn process_commands(&mut self) {
        while !self.runtime.commands.is_empty() {
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
                    Command::CancelWake { at, wake } => {
                        let deadline = Deadline::Coordinator(wake);
                        self.runtime.timers.remove(at, deadline);
                    }
                    Command::Watch => self.call_discovery(),
                    Command::CloseIdle { replica } => self.close_idle(replica),
                    Command::Log(line) => self.runtime.log(&line),
                }
            }
        }
    }

    /// Dispatches a deadline that has passed to the subsystem that set it.
    fn handle_deadline(&mut self, deadline: Deadline) {
        match deadline {
            Deadline::Coordinator(wake) => {
                self.runtime
                    .coordinator
                    .wake(self.runtime.now, wake, &mut self.runtime.commands)
            }
            Deadline::Connection(key) => self.handle_connection_timer(key),
            Deadline::Register(key) => self.runtime.register(key),
            Deadline::Handover => self.handle_handover_timer(),
            Deadline::AdminAccept => self.accept_admin_connections(),
            Deadline::Accept => PROTOCOLS
                .into_iter()
                .for_each(|protocol| self.accept(protocol)),
            Deadline::CallDiscovery => self.call_discovery(),
            Deadline::DiscoveryRetry => self.discovery_retry_due(),
            Deadline::Heartbeat => self.heartbeat_due(),
            Deadline::ListLease => self.lease_due(),
            Deadline::ApplySettings => self.apply_due_settings(),
            Deadline::OpenListeners => self.open_listeners(),
            Deadline::VrrpTimer => self.handle_vrrp_timer(),
            Deadline::StoreRefresh => self.refresh_from_store(),
            Deadline::StoreOperation(id) => self.handle_store_operation_timeout(id),
            Deadline::Phase => self.handle_phase_timer(),
        }
    }
}

/// Polls once. Returns false if a signal interrupted the wait.
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

/// Dispatch of the events and deadlines of connections, by the kind of the connection.
impl Mixer {
    fn handle_connection_event(
        &mut self,
        key: ConnectionKey,
        is_closed: bool,
        is_read_closed: bool,
    ) {
        match self.runtime.connections.get(key) {
            Some(Connection::Client(_)) => {
                self.handle_client_event(key, is_closed || is_read_closed)
            }
            Some(Connection::Replica(_)) => self.replica_event(key),
            Some(Connection::Discovery(_)) => self.discovery_event(key),
            Some(Connection::Peer(_)) => self.handle_store_peer_event(key),
            Some(Connection::Admin(_)) => {} // handled before all other events
            None => {}                       // the connection was closed earlier in this iteration
        }
    }

    fn handle_connection_timer(&mut self, key: ConnectionKey) {
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
