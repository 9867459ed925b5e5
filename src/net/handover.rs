//! Handover between two processes of one mixer during an upgrade: a new process, the successor, takes over from the running
//! one, its predecessor.
//!
//! The successor connects to the predecessor's rendezvous socket, waits until discovery has answered, and requests the state.
//! The predecessor stops accepting and sends its state; the successor confirms it; the predecessor commits. From then on the
//! successor accepts connections, and the predecessor reports its load until it exits. If a step fails or times out, the
//! predecessor accepts connections again, and the successor retries and finally starts without a handover.
//!
//! At most one of the two processes accepts from the shared listener at any time. Every wait for the other process has a
//! timeout, so that a process that serves the accept queue is never missing for long. The inherited listener is never shut down,
//! because the other process shares it. Effects on other subsystems are returned as a `HandoverEvent`.

mod limits;
mod link;
mod messages;
mod rendezvous;

pub(super) use limits::ConnectionLimits;
pub(in crate::net) use link::Received;
pub(in crate::net) use messages::{ConnectionCounts, HandoverError, SettingsMessage, StateMessage};
pub use rendezvous::{inherited_listener, rendezvous_path};

use crate::config::InheritedListener;
use crate::decisions::learned_state::LearnedReplica;
use crate::endpoints::lease::LeaseHandover;
use crate::net::runtime::Runtime;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
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
/// Number of descriptors of the process's limit that are reserved for the handover.
pub(super) const RESERVED_DESCRIPTORS: usize = 24;
/// Time that the successor waits for discovery before it requests the state (seconds).
const LIST_TIMEOUT_S: f64 = 0.8;
/// Time that the successor waits for each message of the predecessor (seconds).
const REPLY_TIMEOUT_S: f64 = 1.5;
/// Total time after which the successor starts without a handover (seconds).
const TAKEOVER_TIMEOUT_S: f64 = 4.0;
/// Delay before a failed connection is retried (seconds).
const RETRY_DELAY_S: f64 = 0.1;
/// Time that the predecessor waits for the request of the state (seconds).
const REQUEST_TIMEOUT_S: f64 = 10.0;
/// Time that the predecessor waits, without accepting connections, until the successor confirms the state (seconds).
const ACCEPT_TIMEOUT_S: f64 = 0.7;
/// Interval of the predecessor's load reports (seconds).
const LOAD_INTERVAL_S: f64 = 0.02;
/// Time without a load report after which the predecessor is considered to have exited (seconds).
const LOAD_TIMEOUT_S: f64 = 5.0;
/// The role of the process at the other end of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::net) enum Side {
    Predecessor,
    Successor,
}

/// The reason why this process starts to accept connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StartKind {
    /// No predecessor runs.
    Alone,
    /// A predecessor was found, and the handover failed.
    AfterFailedTakeover,
    /// The predecessor has committed the handover.
    AfterPredecessor,
}

impl StartKind {
    /// Returns the text for the log line.
    pub(super) fn label(self) -> &'static str {
        match self {
            StartKind::Alone | StartKind::AfterFailedTakeover => "alone",
            StartKind::AfterPredecessor => "in place of the predecessor",
        }
    }
}

/// An event of the handover that other subsystems have to act on.
pub(super) enum HandoverEvent {
    /// This process has to accept connections from now on.
    Start(StartKind),
    /// The successor requests the state: [`Handover::state_line`] and [`Handover::send_state`] follow.
    StateRequested,
    /// The predecessor has sent its state: [`Handover::inherit`] and [`Handover::confirm_state`] follow.
    StateReceived(Box<StateMessage>),
    /// The successor has accepted the state: [`Handover::commit`] follows.
    StateAccepted,
    /// The connection to the successor was lost after the state had been sent: this process serves again.
    SuccessorLost,
}

/// Result of accepting a connection of a successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum SuccessorAccept {
    /// The successor is connected, and its messages have to be received.
    Accepted,
    /// The connection was closed, because another successor is connected or the process has stopped.
    Closed,
    /// No connection is pending.
    NonePending,
}

/// The part of the state for a successor that comes from the discovery client.
pub(super) struct DiscoveryFacts {
    pub(super) address: Option<SocketAddr>,
    /// The revision of the list in use.
    pub(super) revision: Option<u64>,
    pub(super) lease: LeaseHandover,
}

/// The stage of a connection, and whether its timeout has expired.
#[derive(Clone, Copy)]
struct StageTimeout {
    stage: Stage,
    is_timed_out: bool,
}

/// The stages of both connections and which timeouts have expired, evaluated at the same time.
pub(super) struct ExpiredTimeouts {
    predecessor: Option<StageTimeout>,
    successor: Option<StageTimeout>,
    is_takeover_timed_out: bool,
}

/// The state of the handover, for a process that inherited its listener.
pub(super) struct Handover {
    path: PathBuf,
    rendezvous: Option<UnixListener>,
    /// The inherited listener while this process does not accept from it.
    listener: Option<TcpListener>,
    predecessor: Option<Link>,
    successor: Option<Link>,
    /// Time at which this process starts without a handover if the predecessor has not committed.
    takeover_ends_at: f64,
    /// Whether this process has been connected to a predecessor.
    has_met_predecessor: bool,
    /// Connections that the predecessor still has, according to its last load report.
    predecessor_connections: ConnectionCounts,
}

impl Handover {
    /// Creates the state before the first connection attempt. Fails if the listener cannot be made non-blocking.
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
            has_met_predecessor: false,
            predecessor_connections: ConnectionCounts::default(),
        })
    }

    // ---- the successor's side

    /// Connects to a running process to take over from it. Returns the event to start without a handover if no process listens
    /// on the path.
    pub(super) fn connect_predecessor(&mut self, runtime: &mut Runtime) -> Option<HandoverEvent> {
        let connected = UnixStream::connect(&self.path).and_then(|mut stream| {
            let both = Interest::READABLE | Interest::WRITABLE;
            let registry = runtime.poll.registry();
            registry.register(&mut stream, PREDECESSOR, both)?;
            Ok(stream)
        });
        match connected {
            Ok(stream) => {
                let timeout_at = runtime.now + LIST_TIMEOUT_S;
                self.predecessor = Some(Link::new(stream, Stage::AwaitingList, timeout_at));
                self.has_met_predecessor = true;
                runtime.timers.add(timeout_at, Deadline::Handover);
                runtime.log("handover: connected to the running process, taking over from it");
            }
            Err(error) => {
                // A full backlog is temporary. Any other error means that no process listens on the path, or that it cannot be
                // reached.
                let is_busy = error.kind() == io::ErrorKind::WouldBlock;
                if !is_busy || runtime.now >= self.takeover_ends_at {
                    return Some(self.start_without_handover());
                }
                let retry_at = runtime.now + RETRY_DELAY_S;
                runtime.timers.add(retry_at, Deadline::Handover);
            }
        }
        None
    }

    fn start_without_handover(&self) -> HandoverEvent {
        HandoverEvent::Start(if self.has_met_predecessor {
            StartKind::AfterFailedTakeover
        } else {
            StartKind::Alone
        })
    }

    /// Requests the predecessor's state if that is the next step: discovery has answered, or the wait for it has timed out.
    pub(super) fn request_state(&mut self, runtime: &mut Runtime) -> Option<HandoverEvent> {
        let link = self.predecessor.as_mut()?;
        if link.stage != Stage::AwaitingList {
            return None;
        }
        link.stage = Stage::StateRequested;
        link.timeout_at = runtime.now + REPLY_TIMEOUT_S;
        runtime.timers.add(link.timeout_at, Deadline::Handover);
        self.send(runtime, Side::Predecessor, REQUEST_LINE)
    }

    /// Takes over the predecessor's learned state and its load. The predecessor's endpoint list and lease must be in use
    /// before, because the replicas of the learned state are matched by name.
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

    /// Confirms to the predecessor that its state was taken over.
    pub(super) fn confirm_state(&mut self, runtime: &mut Runtime) -> Option<HandoverEvent> {
        let timeout_at = runtime.now + REPLY_TIMEOUT_S;
        if let Some(link) = &mut self.predecessor {
            link.stage = Stage::StateAccepted;
            link.timeout_at = timeout_at;
        }
        runtime.timers.add(timeout_at, Deadline::Handover);
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

    /// Abandons the takeover: the predecessor continues to serve. Closes this process's copy of the inherited listener.
    pub(super) fn abandon(&mut self) {
        self.predecessor = None;
        self.listener = None;
    }

    // ---- the predecessor's side

    /// Opens the rendezvous socket. An existing file at its path is replaced.
    pub(super) fn listen_for_successor(&mut self, runtime: &mut Runtime) {
        let fresh = self.path.with_extension("new");
        let _ = std::fs::remove_file(&fresh); // left over if a process terminated before the rename
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

    /// Accepts one connection from the rendezvous socket. At most one successor is accepted at a time, and none after the
    /// process has stopped; other connections are closed, and their processes retry.
    pub(super) fn accept_successor(
        &mut self,
        runtime: &mut Runtime,
        has_stopped: bool,
    ) -> SuccessorAccept {
        let Some(Ok((mut stream, _))) = self.rendezvous.as_ref().map(UnixListener::accept) else {
            return SuccessorAccept::NonePending;
        };
        if self.successor.is_some() || has_stopped {
            return SuccessorAccept::Closed;
        }
        let both = Interest::READABLE | Interest::WRITABLE;
        let registry = runtime.poll.registry();
        if let Err(error) = registry.register(&mut stream, SUCCESSOR, both) {
            runtime.log(&format!("poll: {error}"));
            return SuccessorAccept::Closed;
        }
        let timeout_at = runtime.now + REQUEST_TIMEOUT_S;
        self.successor = Some(Link::new(stream, Stage::SuccessorConnected, timeout_at));
        runtime.timers.add(timeout_at, Deadline::Handover);
        runtime.log("handover: successor connected");
        SuccessorAccept::Accepted
    }

    /// Returns the message with the state for a successor. From now on attempts are recorded for the successor, and the retry
    /// budget belongs to it.
    pub(super) fn state_line(
        &mut self,
        runtime: &mut Runtime,
        discovery: DiscoveryFacts,
        settings: Option<SettingsMessage>,
        connections: ConnectionCounts,
    ) -> String {
        // Taken before recording starts, which stops the retry budget of this process.
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
            settings,
        };
        state.to_line()
    }

    /// Sends the state to the successor. This process must not accept from the listener any more.
    pub(super) fn send_state(
        &mut self,
        runtime: &mut Runtime,
        state_line: &str,
    ) -> Option<HandoverEvent> {
        let timeout_at = runtime.now + ACCEPT_TIMEOUT_S;
        if let Some(link) = &mut self.successor {
            link.stage = Stage::StateSent;
            link.timeout_at = timeout_at;
        }
        runtime.timers.add(timeout_at, Deadline::Handover);
        self.send(runtime, Side::Successor, state_line)
    }

    /// Takes back a state that was sent and not confirmed yet, because the settings have changed since. The successor tries again.
    pub(super) fn take_back_state(&mut self, runtime: &mut Runtime) -> Option<HandoverEvent> {
        let successor = self.successor.as_ref();
        successor.filter(|link| link.stage == Stage::StateSent)?;
        self.end_link(runtime, Side::Successor, &HandoverError::SettingsChanged)
    }

    /// Commits the handover: the successor accepts connections from now on.
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

    /// Takes the inherited listener in order to accept from it.
    pub(super) fn take_listener(&mut self) -> Option<TcpListener> {
        self.listener.take()
    }

    /// Keeps the inherited listener open while this process does not accept from it. Other processes hold it open too, so
    /// closing this copy would not remove it from the poll.
    pub(super) fn keep_listener(&mut self, listener: TcpListener) {
        self.listener = Some(listener);
    }

    /// Returns whether another process of this mixer runs and one of the two has committed.
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

    /// Writes pending data and reads received data. Returns `None` without a connection. The caller passes each line to
    /// [`Handover::handle_line`], then an error to [`Handover::end_link`].
    pub(super) fn receive(&mut self, side: Side) -> Option<Received> {
        self.link(side).map(Link::receive)
    }

    /// Handles one message. After an error the caller has to end the connection. A line of a connection that has ended since it
    /// was received is ignored.
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
                link.timeout_at = now + LOAD_TIMEOUT_S;
                runtime.timers.add(link.timeout_at, Deadline::Handover);
                Some(HandoverEvent::Start(StartKind::AfterPredecessor))
            }
            (Side::Predecessor, Stage::Committed, Message::Load { json }) => {
                let load = LoadMessage::decode(json)?;
                link.timeout_at = now + LOAD_TIMEOUT_S;
                self.set_predecessor_load(runtime, load);
                None
            }
            _ => return Err(HandoverError::UnexpectedMessage),
        };
        Ok(event)
    }

    /// Closes the connection to the other process, if there is one, and returns what follows from that.
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
                runtime
                    .coordinator
                    .predecessor_exited(runtime.now, &mut runtime.commands);
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

    /// Returns the expired timeouts for [`Handover::check_predecessor`] and [`Handover::check_successor`].
    pub(super) fn expired_timeouts(&self, now: f64) -> ExpiredTimeouts {
        let now = now + TIMER_TOLERANCE_S;
        let stage_timeout = |link: &Link| StageTimeout {
            stage: link.stage,
            is_timed_out: link.timeout_at <= now,
        };
        ExpiredTimeouts {
            predecessor: self.predecessor.as_ref().map(stage_timeout),
            successor: self.successor.as_ref().map(stage_timeout),
            is_takeover_timed_out: now >= self.takeover_ends_at,
        }
    }

    /// Continues, retries or abandons the takeover from the predecessor. `is_inheriting` says that this process is still
    /// waiting for it.
    pub(super) fn check_predecessor(
        &mut self,
        runtime: &mut Runtime,
        expired: &ExpiredTimeouts,
        is_inheriting: bool,
    ) -> Option<HandoverEvent> {
        let Some(StageTimeout {
            stage,
            is_timed_out,
        }) = expired.predecessor
        else {
            return match (is_inheriting, expired.is_takeover_timed_out) {
                (true, true) => Some(self.start_without_handover()),
                (true, false) => self.connect_predecessor(runtime),
                (false, _) => None,
            };
        };
        match (stage, is_timed_out) {
            (Stage::AwaitingList, true) => self.request_state(runtime),
            (Stage::StateRequested | Stage::StateAccepted | Stage::Committed, true) => {
                let reason = HandoverError::PredecessorSilent;
                self.end_link(runtime, Side::Predecessor, &reason)
            }
            (Stage::Committed, false) => {
                // The last load report has moved the timeout.
                let check_at = runtime.now + TIMER_TOLERANCE_S + LOAD_TIMEOUT_S;
                runtime.timers.add(check_at, Deadline::Handover);
                None
            }
            _ => None,
        }
    }

    /// Closes the connection to a successor that has timed out, or sends a load report to a successor that serves.
    pub(super) fn check_successor(
        &mut self,
        runtime: &mut Runtime,
        expired: &ExpiredTimeouts,
        connections: ConnectionCounts,
    ) -> Option<HandoverEvent> {
        let StageTimeout {
            stage,
            is_timed_out,
        } = expired.successor?;
        match (stage, is_timed_out) {
            (Stage::SuccessorConnected | Stage::StateSent, true) => {
                self.end_link(runtime, Side::Successor, &HandoverError::SuccessorSilent)
            }
            (Stage::Committed, _) => {
                self.schedule_load_report(runtime);
                // If the last report has not been written completely, the next one follows later and contains all changes
                // since.
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

#[cfg(test)]
mod tests;
