//! Connects the lifecycle, the listeners and the handover with each other and with the other subsystems. Each method calls one
//! subsystem and carries out on the others what it returns.

use crate::config::InheritedListener;
use crate::net::backlog::{Work, MAX_ACCEPTS_PER_TURN};
use crate::net::error::NetError;
use crate::net::event_loop::Mixer;
use crate::net::handover::{
    ConnectionCounts, ConnectionLimits, DiscoveryFacts, Handover, HandoverError, HandoverEvent,
    Side, StartKind, StateMessage, SuccessorAccept,
};
use crate::net::lifecycle::{Phase, PhaseAction, StopAction};
use crate::net::tokens::PROTOCOLS;
use crate::requests::query_request::Protocol;
use crate::vrrp::{Event as VrrpEvent, State as VrrpState};
use miniserde::json;

// ---- lifecycle

impl Mixer {
    /// Returns whether the process is shutting down or has handed over.
    pub(super) fn is_ending(&self) -> bool {
        self.lifecycle.is_ending()
    }

    /// Returns whether load balancers should send new clients to this process.
    pub(super) fn is_ready(&self) -> bool {
        self.lifecycle.is_ready()
    }

    /// Returns whether a connection is closed after its response: because of the current phase, or because there are so many
    /// clients that new ones could not connect if each kept its connection.
    pub(super) fn closes_after_response(&self) -> bool {
        self.lifecycle.closes_after_response(self.runtime.now) || self.clients.is_near_capacity()
    }

    /// Checks the invariant that clients are served only with an endpoint list that may be used.
    pub(super) fn may_serve(&mut self) -> bool {
        let now = self.runtime.now;
        let list_until = self.discovery.list_until(now);
        let invariants = self.runtime.coordinator.invariants_mut();
        invariants.check_start(now, list_until).is_ok()
    }

    /// Pauses the process on request of an operator.
    pub(super) fn pause(&mut self) {
        if self.lifecycle.pause(&mut self.runtime) {
            self.handle_vrrp_event(VrrpEvent::Shutdown);
        }
    }

    /// Resumes the process on request of an operator.
    pub(super) fn resume(&mut self) {
        if self.lifecycle.resume() {
            self.check_readiness();
            self.runtime.log("resume: serving clients again");
            self.handle_vrrp_event(VrrpEvent::Startup);
        }
    }

    /// Handles SIGTERM or SIGINT.
    pub(super) fn handle_stop_signal(&mut self) {
        match self.lifecycle.stop(&mut self.runtime) {
            StopAction::None => {}
            StopAction::CloseListeners => {
                if let Some(handover) = &mut self.handover {
                    handover.abandon();
                }
                self.close_listener();
            }
        }
    }

    /// Carries out the action that is due in the current phase, if any.
    pub(super) fn handle_phase_timer(&mut self) {
        match self.lifecycle.due(self.runtime.now) {
            Some(PhaseAction::CloseListeners) => self.close_listener(),
            Some(PhaseAction::CloseIdle { fresh_s }) => {
                self.close_idle_clients(fresh_s);
                self.lifecycle.schedule_close_idle(&mut self.runtime);
            }
            None => {}
        }
    }

    /// Stops the event loop if the process is closing and all requests are answered or the time for them is over.
    pub(super) fn check_end(&mut self) {
        self.lifecycle.check_end(&mut self.runtime);
    }
}

// ---- listeners

impl Mixer {
    /// Writes the address of each open listener to the log.
    pub(super) fn log_listeners(&mut self) {
        self.listeners.log(&mut self.runtime);
    }

    /// Opens the listeners for clients unless VRRP is in use and this router is not Active, a predecessor has yet to hand over,
    /// or the process is shutting down. A failed attempt is repeated after a delay.
    pub(super) fn open_listeners(&mut self) {
        let vrrp = self.vrrp.as_ref();
        let is_passive = vrrp.is_some_and(|vrrp| vrrp.state() != VrrpState::Active);
        let is_inheriting = self.lifecycle.phase() == Phase::Inheriting;
        if !is_passive && !is_inheriting && !self.lifecycle.is_ending() {
            self.listeners.open(&mut self.runtime);
        }
    }

    /// Closes the listeners when this router is no longer Active. Accepted requests are answered, then their connections are
    /// closed.
    pub(super) fn close_listeners_by_vrrp(&mut self) {
        self.accept_all_queued();
        self.listeners.close();
        self.clients.end_all_after_response(&mut self.runtime);
    }

    /// Accepts all queued connections, then closes the listeners and idle clients. An inherited listener stays open, with its
    /// queue, for the next process.
    pub(super) fn close_listener(&mut self) {
        self.release_inherited_listener();
        self.accept_all_queued();
        self.listeners.close();
        self.handle_vrrp_event(VrrpEvent::Shutdown);
        self.lifecycle.begin_closing(&mut self.runtime);
        self.close_idle_clients(0.0);
        self.runtime.log(&format!(
            "shutdown: listeners closed, {} requests in flight",
            self.runtime.coordinator.open_requests()
        ));
    }

    /// Accepts all connections in the accept queues.
    fn accept_all_queued(&mut self) {
        for protocol in PROTOCOLS {
            self.accept_all(protocol);
        }
    }

    /// Starts to accept from the inherited listener.
    fn adopt_inherited_listener(&mut self) {
        let listener = self.handover.as_mut().and_then(Handover::take_listener);
        let Some(listener) = listener else {
            return;
        };
        self.listeners.adopt(listener, &mut self.runtime);
        // The poll may not report connections that are already in the queue.
        self.accept(Protocol::Platform);
    }

    /// Stops accepting from an inherited listener.
    fn release_inherited_listener(&mut self) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        if let Some(listener) = self.listeners.release(&self.runtime) {
            handover.keep_listener(listener);
        }
    }
}

// ---- handover

impl Mixer {
    /// Starts the takeover from a running process, or serves without one on the inherited listener.
    pub(super) fn set_up_handover(&mut self, inherited: InheritedListener) -> Result<(), NetError> {
        let handover = Handover::new(inherited, self.runtime.now)?;
        let handover = self.handover.insert(handover);
        let event = handover.connect_predecessor(&mut self.runtime);
        self.route_handover(event);
        Ok(())
    }

    /// Requests the predecessor's state if that is the next step; called after discovery has answered.
    pub(super) fn request_predecessor_state(&mut self) {
        if let Some(handover) = &mut self.handover {
            let event = handover.request_state(&mut self.runtime);
            self.route_handover(event);
        }
    }

    /// Returns how many connections this process may have in addition to those of a predecessor.
    pub(super) fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits::new(&self.runtime, self.handover.as_ref())
    }

    /// Returns whether another process of this mixer runs at the same time and shares its memory limit.
    pub(super) fn has_other_process(&self) -> bool {
        let handover = self.handover.as_ref();
        handover.is_some_and(Handover::has_other_process)
    }

    /// Accepts successors that have connected to the rendezvous socket.
    pub(super) fn handle_rendezvous_event(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(handover) = &mut self.handover else {
                return;
            };
            let has_stopped = self.lifecycle.phase() == Phase::Stopped;
            match handover.accept_successor(&mut self.runtime, has_stopped) {
                SuccessorAccept::Accepted => self.handle_link_event(Side::Successor),
                SuccessorAccept::Closed => {}
                SuccessorAccept::NonePending => return,
            }
        }
        self.runtime.backlog.push(Work::Rendezvous);
    }

    /// Reads and writes the connection to the predecessor or the successor and handles the received messages.
    pub(super) fn handle_link_event(&mut self, side: Side) {
        let received = self
            .handover
            .as_mut()
            .and_then(|handover| handover.receive(side));
        let Some(received) = received else {
            return;
        };
        for line in received.lines {
            if let Err(error) = self.handover_line(side, &line) {
                return self.end_link(side, &error);
            }
        }
        match received.result {
            Ok(false) => {}
            Ok(true) => self.runtime.backlog.push(Work::Link(side)),
            Err(error) => self.end_link(side, &error),
        }
    }

    fn handover_line(&mut self, side: Side, line: &str) -> Result<(), HandoverError> {
        if let Some(handover) = &mut self.handover {
            let event = handover.handle_line(&mut self.runtime, side, line)?;
            self.route_handover(event);
        }
        Ok(())
    }

    fn end_link(&mut self, side: Side, reason: &HandoverError) {
        if let Some(handover) = &mut self.handover {
            let event = handover.end_link(&mut self.runtime, side, reason);
            self.route_handover(event);
        }
    }

    /// Handles a deadline of the handover. The deadlines of both connections are evaluated before either is acted on.
    pub(super) fn handle_handover_timer(&mut self) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        let expired = handover.expired_timeouts(self.runtime.now);
        let is_inheriting = self.lifecycle.phase() == Phase::Inheriting;
        let event = handover.check_predecessor(&mut self.runtime, &expired, is_inheriting);
        self.route_handover(event);
        let connections = self.connection_counts();
        if let Some(handover) = &mut self.handover {
            let event = handover.check_successor(&mut self.runtime, &expired, connections);
            self.route_handover(event);
        }
    }

    fn route_handover(&mut self, event: Option<HandoverEvent>) {
        match event {
            Some(HandoverEvent::Start(kind)) => self.start_serving(kind),
            Some(HandoverEvent::StateRequested) => self.send_state_to_successor(),
            Some(HandoverEvent::StateReceived(state)) => self.inherit_state(*state),
            Some(HandoverEvent::StateAccepted) => self.commit_handover(),
            Some(HandoverEvent::SuccessorLost) => self.resume_after_successor_loss(),
            None => {}
        }
    }

    /// Starts to accept clients and a successor.
    fn start_serving(&mut self, kind: StartKind) {
        if kind == StartKind::AfterFailedTakeover {
            self.begin_from_file();
        }
        self.lifecycle.begin_starting();
        let line = format!("handover: starting {}", kind.label());
        self.runtime.log(&line);
        self.check_readiness();
        self.open_listeners();
        self.adopt_inherited_listener();
        self.listen_for_successor();
    }

    fn listen_for_successor(&mut self) {
        if let Some(handover) = &mut self.handover {
            handover.listen_for_successor(&mut self.runtime);
        }
    }

    /// Stops accepting from the inherited listener, then sends the state to the successor.
    fn send_state_to_successor(&mut self) {
        let connections = self.connection_counts();
        let facts = DiscoveryFacts {
            address: self.discovery.address(),
            revision: self.discovery.revision(),
            lease: self.discovery.hand_over_lease(self.runtime.now),
        };
        let settings = self.settings_for_successor();
        let Some(handover) = &mut self.handover else {
            return;
        };
        let line = handover.state_line(&mut self.runtime, facts, settings, connections);
        self.release_inherited_listener();
        if let Some(handover) = &mut self.handover {
            let event = handover.send_state(&mut self.runtime, &line);
            self.route_handover(event);
        }
    }

    /// Takes back the state that was sent to a successor, if it has not confirmed it yet.
    pub(super) fn take_back_state(&mut self) {
        if let Some(handover) = &mut self.handover {
            let event = handover.take_back_state(&mut self.runtime);
            self.route_handover(event);
        }
    }

    fn connection_counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            clients: self.clients.count(),
            replicas: self.replicas.count(),
        }
    }

    /// Takes over the predecessor's state and confirms that to the predecessor.
    fn inherit_state(&mut self, state: StateMessage) {
        self.inherit_settings(state.settings.as_ref());
        self.inherit_list(&state);
        if let Some(lease) = state.lease {
            self.discovery.inherit_lease(self.runtime.now, lease);
            self.publish_lease();
            self.retry_for_missing_answer();
        }
        if let Some(handover) = &mut self.handover {
            handover.inherit(&mut self.runtime, state);
            let event = handover.confirm_state(&mut self.runtime);
            self.route_handover(event);
        }
    }

    /// Uses the predecessor's endpoint list if its revision is later than that of the own list. Revisions of different
    /// discovery servers are not comparable: a list from another one is used only if there is no list yet, and without its
    /// revision.
    fn inherit_list(&mut self, state: &StateMessage) {
        let Ok(list) = json::from_str(&state.list) else {
            return;
        };
        let own_discovery = self.discovery.address().map(|address| address.to_string());
        let is_same_discovery = state.discovery == own_discovery;
        let revision = crate::endpoints::list_format::revision(&list);
        if is_same_discovery && revision > self.discovery.revision() {
            self.apply_list(&list);
        } else if self.discovery.revision().is_none() {
            self.apply_list_without_revision(&list);
        }
    }

    /// Commits the handover: the successor accepts clients from now on, and this process closes its connections after their
    /// response.
    fn commit_handover(&mut self) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        let event = handover.commit(&mut self.runtime);
        self.route_handover(event);
        if let Some(handover) = &mut self.handover {
            handover.schedule_load_report(&mut self.runtime);
        }
        self.listeners.close();
        self.runtime.log(&format!(
            "handover: the successor serves; {} requests in flight",
            self.runtime.coordinator.open_requests()
        ));
        match self.lifecycle.phase() {
            Phase::Draining { .. } => self.close_listener(),
            Phase::Closing { .. } | Phase::Stopped => {}
            _ => self.lifecycle.begin_handed_over(&mut self.runtime),
        }
    }

    /// Serves again after the connection to the successor was lost.
    fn resume_after_successor_loss(&mut self) {
        match self.lifecycle.phase() {
            Phase::Closing { .. } | Phase::Stopped => return,
            Phase::HandedOver => {
                self.begin_from_file();
                self.lifecycle.resume_from_handed_over();
                self.check_readiness();
                self.listen_for_successor();
                self.open_listeners();
            }
            _ => {}
        }
        self.adopt_inherited_listener();
    }
}
