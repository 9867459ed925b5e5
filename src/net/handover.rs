//! The upgrade under load: a new process, the successor, takes over from the one that runs, its predecessor.
//!
//! The successor connects to the predecessor's rendezvous socket, waits until discovery has answered, and requests the
//! state. The predecessor stops accepting and sends its state; the successor accepts it; the predecessor commits. From then
//! on the successor accepts connections, and the predecessor reports its load until it exits. Where a step fails or takes
//! too long, the predecessor accepts connections again, and the successor retries, and at last starts alone.
//!
//! This file owns the rendezvous socket, the connections of both sides with their stages, and the inherited listener while
//! nothing is accepted from it. What concerns other subsystems it returns as a `HandoverEvent`. It must never let both
//! processes accept, never leave the accept queue to a process that has not accepted the state in time, never shut the
//! inherited listener down, and never wait for the other side without a limit.

mod link;
mod messages;
mod rendezvous;

pub(in crate::net) use link::Received;
pub(in crate::net) use messages::{ConnectionCounts, HandoverError, StateMessage};
pub use rendezvous::{inherited_listener, rendezvous_path};

use crate::config::InheritedListener;
use crate::connections::pool;
use crate::decisions::learned_state::LearnedReplica;
use crate::endpoints::lease::LeaseHandover;
use crate::net::runtime::Runtime;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use crate::requests::process_load::ProcessLoad;
use link::{Link, Stage};
use messages::{LoadMessage, Message, ACCEPT_LINE, COMMIT_LINE, REQUEST_LINE};
use mio::net::{TcpListener, UnixListener, UnixStream};
use mio::{Interest, Token};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

pub(super) const RENDEZVOUS: Token = Token(7);
pub(super) const PREDECESSOR: Token = Token(8);
pub(super) const SUCCESSOR: Token = Token(9);
/// Descriptors that the handover takes of the process's limit.
pub(super) const RESERVED_DESCRIPTORS: usize = 24;
/// The successor waits so long for discovery before it requests the state (seconds).
const LIST_TIMEOUT_S: f64 = 0.8;
/// The successor waits so long for each message of the predecessor (seconds).
const REPLY_TIMEOUT_S: f64 = 1.5;
/// After this time in all the successor starts alone (seconds).
const TAKEOVER_TIMEOUT_S: f64 = 4.0;
/// A connection that failed is retried after this time (seconds).
const RETRY_DELAY_S: f64 = 0.1;
/// The predecessor waits so long for the request of the state (seconds).
const REQUEST_TIMEOUT_S: f64 = 10.0;
/// The predecessor waits so long, without accepting connections, until the state is accepted (seconds).
const ACCEPT_TIMEOUT_S: f64 = 0.7;
/// Interval of the predecessor's load reports (seconds).
const LOAD_INTERVAL_S: f64 = 0.02;
/// The predecessor counts as gone when its load has not come for so long (seconds).
const LOAD_TIMEOUT_S: f64 = 5.0;
/// The successor may have so many clients and connections to replicas, whatever the predecessor still holds.
const MIN_CONNECTIONS: usize = 16;

/// The other process of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Side {
    Predecessor,
    Successor,
}

/// Why this process begins to accept connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartKind {
    /// There is no predecessor, or none that hands over.
    Alone,
    /// The predecessor has committed.
    AfterPredecessor,
}

impl StartKind {
    /// The words of the log line.
    pub(super) fn label(self) -> &'static str {
        match self {
            StartKind::Alone => "alone",
            StartKind::AfterPredecessor => "in place of the predecessor",
        }
    }
}

/// What concerns other subsystems.
pub(super) enum HandoverEvent {
    /// This process accepts connections from now on.
    Start(StartKind),
    /// The successor requests the state: [`Handover::state_line`] and [`Handover::send_state`] follow.
    StateRequested,
    /// The predecessor has sent its state: [`Handover::inherit`] and [`Handover::accept`] follow.
    StateReceived(Box<StateMessage>),
    /// The successor has accepted the state: [`Handover::commit`] follows.
    StateAccepted,
    /// The successor is gone after it had been sent the state: this process serves on.
    SuccessorLost,
}

/// What discovery adds to the state for a successor.
pub(super) struct DiscoveryFacts {
    pub(super) address: Option<SocketAddr>,
    /// The revision of the list in use.
    pub(super) revision: Option<u64>,
    pub(super) lease: LeaseHandover,
}

/// How many connections this process may have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionLimits {
    pub(super) clients: usize,
    pub(super) replicas: usize,
}

/// A connection's stage, and whether its time is over.
#[derive(Clone, Copy)]
struct StageDue {
    stage: Stage,
    is_over: bool,
}

/// What is due, of both connections at one time.
pub(super) struct HandoverDue {
    predecessor: Option<StageDue>,
    successor: Option<StageDue>,
    is_takeover_over: bool,
}

/// The handover of a process that inherited its listener.
pub(super) struct Handover {
    path: PathBuf,
    rendezvous: Option<UnixListener>,
    /// The inherited listener, while nothing is accepted from it.
    listener: Option<TcpListener>,
    predecessor: Option<Link>,
    successor: Option<Link>,
    /// When this process starts alone, if the predecessor has not committed.
    takeover_ends_at: f64,
    /// The connections that the predecessor still has.
    predecessor_connections: ConnectionCounts,
}

impl Handover {
    /// A handover that has not begun. An error: the system refuses to make the listener non-blocking.
    pub(super) fn new(inherited: InheritedListener, now: f64) -> io::Result<Handover> {
        let InheritedListener {
            listener,
            rendezvous_path,
        } = inherited;
        listener.set_nonblocking(true)?;
        Ok(Handover {
            path: rendezvous_path,
            rendezvous: None,
            listener: Some(TcpListener::from_std(listener)),
            predecessor: None,
            successor: None,
            takeover_ends_at: now + TAKEOVER_TIMEOUT_S,
            predecessor_connections: ConnectionCounts::default(),
        })
    }

    // ---- the successor's side

    /// Connects to a running process, to take over from it. Where nobody listens on the path, this process starts alone.
    pub(super) fn connect_predecessor(&mut self, runtime: &mut Runtime) -> Option<HandoverEvent> {
        let connected = UnixStream::connect(&self.path).and_then(|mut stream| {
            let both = Interest::READABLE | Interest::WRITABLE;
            let registry = runtime.poll.registry();
            registry.register(&mut stream, PREDECESSOR, both)?;
            Ok(stream)
        });
        match connected {
            Ok(stream) => {
                let due = runtime.now + LIST_TIMEOUT_S;
                self.predecessor = Some(Link::new(stream, Stage::AwaitingList, due));
                runtime.timers.add(due, Deadline::Handover);
                runtime.log("handover: connected to the running process, taking over from it");
            }
            Err(error) => {
                // A full backlog passes. Anything else means that nobody is there, or that nobody can be found.
                let is_busy = error.kind() == io::ErrorKind::WouldBlock;
                if !is_busy || runtime.now >= self.takeover_ends_at {
                    return Some(HandoverEvent::Start(StartKind::Alone));
                }
                let retry_at = runtime.now + RETRY_DELAY_S;
                runtime.timers.add(retry_at, Deadline::Handover);
            }
        }
        None
    }

    /// Requests the predecessor's state, if that is the next step: discovery has answered, or its time is over.
    pub(super) fn request_state(&mut self, runtime: &mut Runtime) -> Option<HandoverEvent> {
        let link = self.predecessor.as_mut()?;
        if link.stage != Stage::AwaitingList {
            return None;
        }
        link.stage = Stage::StateRequested;
        link.due = runtime.now + REPLY_TIMEOUT_S;
        runtime.timers.add(link.due, Deadline::Handover);
        self.send(runtime, Side::Predecessor, REQUEST_LINE)
    }

    /// Takes over what the predecessor has learned and holds. The endpoint list and the lease must be in use before, since
    /// replicas go by name.
    pub(super) fn inherit(&mut self, runtime: &mut Runtime, state: StateMessage) {
        let names: BTreeMap<u32, String> = state.names.into_iter().collect();
        let mut learned_state = state.learned_state;
        let former = std::mem::take(&mut learned_state.replicas).into_iter();
        let directory = &runtime.directory;
        learned_state.replicas = former
            .filter_map(|learned| {
                let id = directory.id(names.get(&learned.id)?)?.0;
                Some(LearnedReplica { id, ..learned })
            })
            .collect();
        let coordinator = &mut runtime.coordinator;
        coordinator.inherit(learned_state, &state.classes, &state.tenants);
        coordinator.inherit_phases(state.phases.unwrap_or_default());
        self.set_predecessor_load(runtime, state.load);
    }

    /// Accepts the predecessor's state.
    pub(super) fn accept(&mut self, runtime: &mut Runtime) -> Option<HandoverEvent> {
        let due = runtime.now + REPLY_TIMEOUT_S;
        if let Some(link) = &mut self.predecessor {
            link.stage = Stage::StateAccepted;
            link.due = due;
        }
        runtime.timers.add(due, Deadline::Handover);
        self.send(runtime, Side::Predecessor, ACCEPT_LINE)
    }

    fn set_predecessor_load(&mut self, runtime: &mut Runtime, load: LoadMessage) {
        let connections = load.connections();
        let load = load.into_process_load(runtime);
        runtime
            .coordinator
            .set_predecessor_load(runtime.now, load, &mut runtime.commands);
        self.predecessor_connections = connections;
    }

    /// Gives the takeover up: the predecessor goes on. The inherited listener is closed here.
    pub(super) fn abandon(&mut self) {
        self.predecessor = None;
        self.listener = None;
    }

    // ---- the predecessor's side

    /// Opens the rendezvous socket. A file that is there already is replaced.
    pub(super) fn listen_for_successor(&mut self, runtime: &mut Runtime) {
        let fresh = self.path.with_extension("new");
        let _ = std::fs::remove_file(&fresh); // what a process left that died before the rename
        let bound = UnixListener::bind(&fresh).and_then(|mut rendezvous| {
            let registry = runtime.poll.registry();
            registry.register(&mut rendezvous, RENDEZVOUS, Interest::READABLE)?;
            std::fs::rename(&fresh, &self.path)?;
            Ok(rendezvous)
        });
        match bound {
            Ok(rendezvous) => self.rendezvous = Some(rendezvous),
            Err(error) => {
                runtime.log(&format!("handover: cannot listen for a successor: {error}"));
            }
        }
    }

    /// Accepts a successor from the rendezvous socket, one at a time and none where the process has stopped; others are
    /// closed and will try again. Returns whether there is a new one, whose messages are then to be received.
    pub(super) fn accept_successor(&mut self, runtime: &mut Runtime, has_stopped: bool) -> bool {
        loop {
            let Some(Ok((mut stream, _))) = self.rendezvous.as_ref().map(UnixListener::accept)
            else {
                return false;
            };
            if self.successor.is_some() || has_stopped {
                continue;
            }
            let both = Interest::READABLE | Interest::WRITABLE;
            let registry = runtime.poll.registry();
            if let Err(error) = registry.register(&mut stream, SUCCESSOR, both) {
                runtime.log(&format!("poll: {error}"));
                return false;
            }
            let due = runtime.now + REQUEST_TIMEOUT_S;
            self.successor = Some(Link::new(stream, Stage::SuccessorConnected, due));
            runtime.timers.add(due, Deadline::Handover);
            runtime.log("handover: successor connected");
            return true;
        }
    }

    /// The state line for a successor. Attempts are recorded for it from now on, and the retry budget is the successor's.
    pub(super) fn state_line(
        &mut self,
        runtime: &mut Runtime,
        discovery: DiscoveryFacts,
        connections: ConnectionCounts,
    ) -> String {
        // As it is here, before the retry budget goes over.
        let learned_state = runtime.coordinator.learned_state();
        runtime
            .coordinator
            .set_recording(runtime.now, true, &mut runtime.commands);
        let names = runtime.directory.ids();
        let state = StateMessage {
            discovery: discovery.address.map(|address| address.to_string()),
            list: runtime.directory.to_json(discovery.revision),
            names: names.map(|(name, id)| (id.0, name.clone())).collect(),
            classes: runtime.coordinator.learned_class_names(),
            phases: Some(runtime.coordinator.learned_phases()),
            tenants: runtime.deployment.tenants.clone(),
            learned_state,
            lease: Some(discovery.lease),
            load: LoadMessage::of(runtime, connections),
        };
        state.to_line()
    }

    /// Sends the state line to the successor. Nothing may be accepted from the listener any more.
    pub(super) fn send_state(
        &mut self,
        runtime: &mut Runtime,
        state_line: &str,
    ) -> Option<HandoverEvent> {
        let due = runtime.now + ACCEPT_TIMEOUT_S;
        if let Some(link) = &mut self.successor {
            link.stage = Stage::StateSent;
            link.due = due;
        }
        runtime.timers.add(due, Deadline::Handover);
        self.send(runtime, Side::Successor, state_line)
    }

    /// Commits: the successor accepts connections from now on.
    pub(super) fn commit(&mut self, runtime: &mut Runtime) -> Option<HandoverEvent> {
        self.rendezvous = None;
        if let Some(link) = &mut self.successor {
            link.stage = Stage::Committed;
        }
        self.send(runtime, Side::Successor, COMMIT_LINE)
    }

    /// Sets the timer of the next load report.
    pub(super) fn schedule_load_report(&self, runtime: &mut Runtime) {
        let next_at = runtime.now + LOAD_INTERVAL_S;
        runtime.timers.add(next_at, Deadline::Handover);
    }

    // ---- both sides

    /// Takes the inherited listener, to accept from it.
    pub(super) fn take_listener(&mut self) -> Option<TcpListener> {
        self.listener.take()
    }

    /// Keeps the inherited listener while nothing is accepted from it. The platform keeps it open, so closing our copy would
    /// not end the poll's interest in it.
    pub(super) fn keep_listener(&mut self, listener: TcpListener) {
        self.listener = Some(listener);
    }

    /// Whether another process of this mixer runs, with one of the two committed.
    pub(super) fn has_other_process(&self) -> bool {
        [&self.predecessor, &self.successor]
            .into_iter()
            .flatten()
            .any(|link| link.stage == Stage::Committed)
    }

    fn link(&mut self, side: Side) -> Option<&mut Link> {
        match side {
            Side::Predecessor => self.predecessor.as_mut(),
            Side::Successor => self.successor.as_mut(),
        }
    }

    fn send(&mut self, runtime: &mut Runtime, side: Side, line: &str) -> Option<HandoverEvent> {
        match self.link(side)?.send(line) {
            Ok(()) => None,
            Err(error) => self.end_link(runtime, side, &error),
        }
    }

    /// Writes and reads what the connection takes and has; none without a connection. Each line goes to
    /// [`Handover::handle_line`], then an error to [`Handover::end_link`].
    pub(super) fn receive(&mut self, side: Side) -> Option<Received> {
        self.link(side).map(Link::receive)
    }

    /// Handles one message. After an error the connection is to be ended. A line whose connection has ended meanwhile is
    /// ignored.
    pub(super) fn handle_line(
        &mut self,
        runtime: &mut Runtime,
        side: Side,
        line: &str,
    ) -> Result<Option<HandoverEvent>, HandoverError> {
        let now = runtime.now;
        let Some(link) = self.link(side) else {
            return Ok(None);
        };
        let message = Message::parse(line).ok_or(HandoverError::UnexpectedMessage)?;
        let event = match (side, link.stage, message) {
            (Side::Successor, Stage::SuccessorConnected, Message::Request) => {
                Some(HandoverEvent::StateRequested)
            }
            (Side::Successor, Stage::StateSent, Message::Accept) => {
                Some(HandoverEvent::StateAccepted)
            }
            (Side::Predecessor, Stage::StateRequested, Message::State { json }) => {
                let state = StateMessage::decode(json)?;
                Some(HandoverEvent::StateReceived(Box::new(state)))
            }
            (Side::Predecessor, Stage::StateAccepted, Message::Commit) => {
                link.stage = Stage::Committed;
                link.due = now + LOAD_TIMEOUT_S;
                runtime.timers.add(link.due, Deadline::Handover);
                Some(HandoverEvent::Start(StartKind::AfterPredecessor))
            }
            (Side::Predecessor, Stage::Committed, Message::Load { json }) => {
                let load = LoadMessage::decode(json)?;
                link.due = now + LOAD_TIMEOUT_S;
                self.set_predecessor_load(runtime, load);
                None
            }
            _ => return Err(HandoverError::UnexpectedMessage),
        };
        Ok(event)
    }

    /// Ends a connection, if there is one.
    pub(super) fn end_link(
        &mut self,
        runtime: &mut Runtime,
        side: Side,
        reason: &HandoverError,
    ) -> Option<HandoverEvent> {
        let link = match side {
            Side::Predecessor => self.predecessor.take(),
            Side::Successor => self.successor.take(),
        }?;
        match (side, link.stage) {
            (Side::Successor, Stage::SuccessorConnected) => {
                runtime.log(&format!("handover: the successor disconnected ({reason})"));
            }
            (Side::Successor, _) => {
                let coordinator = &mut runtime.coordinator;
                coordinator.set_recording(runtime.now, false, &mut runtime.commands);
                runtime.log(&format!(
                    "handover: the successor did not take over ({reason}); serving on"
                ));
                return Some(HandoverEvent::SuccessorLost);
            }
            (Side::Predecessor, Stage::Committed) => {
                self.predecessor_connections = ConnectionCounts::default();
                runtime.coordinator.set_predecessor_load(
                    runtime.now,
                    ProcessLoad::default(),
                    &mut runtime.commands,
                );
                runtime.log("handover: the predecessor has exited");
            }
            (Side::Predecessor, _) => {
                runtime.log(&format!(
                    "handover: the predecessor disconnected ({reason})"
                ));
                let retry_at = runtime.now + RETRY_DELAY_S;
                runtime.timers.add(retry_at, Deadline::Handover);
            }
        }
        None
    }

    /// What is due now, for [`Handover::check_predecessor`] and [`Handover::check_successor`].
    pub(super) fn due(&self, now: f64) -> HandoverDue {
        let now = now + TIMER_TOLERANCE_S;
        let stage_due = |link: &Link| StageDue {
            stage: link.stage,
            is_over: link.due <= now,
        };
        HandoverDue {
            predecessor: self.predecessor.as_ref().map(stage_due),
            successor: self.successor.as_ref().map(stage_due),
            is_takeover_over: now >= self.takeover_ends_at,
        }
    }

    /// Continues, retries or gives up the takeover from the predecessor; `is_inheriting` while this process does not accept.
    pub(super) fn check_predecessor(
        &mut self,
        runtime: &mut Runtime,
        due: &HandoverDue,
        is_inheriting: bool,
    ) -> Option<HandoverEvent> {
        let Some(StageDue { stage, is_over }) = due.predecessor else {
            return match (is_inheriting, due.is_takeover_over) {
                (true, true) => Some(HandoverEvent::Start(StartKind::Alone)),
                (true, false) => self.connect_predecessor(runtime),
                (false, _) => None,
            };
        };
        match (stage, is_over) {
            (Stage::AwaitingList, true) => self.request_state(runtime),
            (Stage::StateRequested | Stage::StateAccepted | Stage::Committed, true) => {
                let reason = HandoverError::PredecessorSilent;
                self.end_link(runtime, Side::Predecessor, &reason)
            }
            (Stage::Committed, false) => {
                // Its last load report has put the time off.
                let check_at = runtime.now + TIMER_TOLERANCE_S + LOAD_TIMEOUT_S;
                runtime.timers.add(check_at, Deadline::Handover);
                None
            }
            _ => None,
        }
    }

    /// Gives up a successor that takes too long, or reports the load to one that serves.
    pub(super) fn check_successor(
        &mut self,
        runtime: &mut Runtime,
        due: &HandoverDue,
        connections: ConnectionCounts,
    ) -> Option<HandoverEvent> {
        let StageDue { stage, is_over } = due.successor?;
        match (stage, is_over) {
            (Stage::SuccessorConnected | Stage::StateSent, true) => {
                self.end_link(runtime, Side::Successor, &HandoverError::SuccessorSilent)
            }
            (Stage::Committed, _) => {
                self.schedule_load_report(runtime);
                // Where the last report has not left yet, the next one comes later and has all that is new.
                if self.successor.as_ref().is_none_or(Link::has_unsent) {
                    return None;
                }
                let line = LoadMessage::of(runtime, connections).to_line();
                self.send(runtime, Side::Successor, &line)
            }
            _ => None,
        }
    }
}

impl ConnectionLimits {
    /// What the limits of the process leave beside the predecessor's connections.
    pub(super) fn new(runtime: &Runtime, handover: Option<&Handover>) -> ConnectionLimits {
        let predecessor = handover
            .map(|handover| handover.predecessor_connections)
            .unwrap_or_default();
        let left = |limit: usize, predecessor: usize| {
            limit
                .saturating_sub(predecessor)
                .max(MIN_CONNECTIONS.min(limit))
        };
        let shares = pool::shares(runtime.max_connections, runtime.directory.count());
        ConnectionLimits {
            clients: left(shares.clients, predecessor.clients),
            replicas: left(shares.replicas, predecessor.replicas),
        }
    }
}

#[cfg(test)]
mod tests;
