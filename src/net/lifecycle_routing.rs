//! Leads events between the lifecycle, the listeners and the handover, and between these and the other subsystems.
//!
//! This file owns no state. A method calls one subsystem, and carries out what it returns on the others, in that order.

use crate::config::InheritedListener;
use crate::net::error::NetError;
use crate::net::event_loop::Mixer;
use crate::net::handover::{
    ConnectionCounts, ConnectionLimits, DiscoveryFacts, Handover, HandoverError, HandoverEvent,
    Side, StartKind, StateMessage,
};
use crate::net::lifecycle::{Phase, PhaseAction, StopAction};
use crate::net::tokens::PROTOCOLS;
use crate::requests::query_request::Protocol;
use crate::vrrp::{Event as VrrpEvent, State as VrrpState};
use miniserde::json;

// ---- lifecycle

impl Mixer {
    /// Whether the process is on its way to its exit.
    pub(super) fn is_ending(&self) -> bool {
        self.lifecycle.is_ending()
    }

    /// Whether the operators and the platform may count on this process for new clients.
    pub(super) fn is_ready(&self) -> bool {
        self.lifecycle.is_ready()
    }

    /// Whether a response is the last one on its connection: by the phase, or because there are so many clients that the next
    /// one could open no connection if each kept its own.
    pub(super) fn closes_after_response(&self) -> bool {
        self.lifecycle.closes_after_response(self.runtime.now) || self.clients.is_near_capacity()
    }

    /// Checks the invariant of each start: clients may be served by the list in use.
    pub(super) fn may_serve(&mut self) -> bool {
        let now = self.runtime.now;
        let list_until = self.discovery.list_until(now);
        let invariants = self.runtime.coordinator.invariants_mut();
        invariants.check_start(now, list_until).is_ok()
    }

    /// The operators pause this process.
    pub(super) fn pause(&mut self) {
        if self.lifecycle.pause(&mut self.runtime) {
            self.handle_vrrp_event(VrrpEvent::Shutdown);
        }
    }

    /// The operators resume this process.
    pub(super) fn resume(&mut self) {
        if self.lifecycle.resume() {
            self.check_readiness();
            self.runtime.log("resume: serving clients again");
            self.handle_vrrp_event(VrrpEvent::Startup);
        }
    }

    /// SIGTERM or SIGINT has come.
    pub(super) fn stop_requested(&mut self) {
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

    /// A deadline of the present phase has passed.
    pub(super) fn phase_due(&mut self) {
        match self.lifecycle.due(self.runtime.now) {
            Some(PhaseAction::CloseListeners) => self.close_listener(),
            Some(PhaseAction::CloseIdle { fresh_s }) => {
                self.close_idle_clients(fresh_s);
                self.lifecycle.schedule_close_idle(&mut self.runtime);
            }
            None => {}
        }
    }

    /// Stops the loop when all that was open is answered, or the time for it is over.
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

    /// Listens for clients, where this process is the one to do so: Active, where VRRP is set up, not ending and not waiting
    /// for a predecessor. Again a little later where that is not possible yet.
    pub(super) fn open_listeners(&mut self) {
        let vrrp = self.vrrp.as_ref();
        let is_passive = vrrp.is_some_and(|vrrp| vrrp.state() != VrrpState::Active);
        let is_inheriting = self.lifecycle.phase() == Phase::Inheriting;
        if !is_passive && !is_inheriting && !self.lifecycle.is_ending() {
            self.listeners.open(&mut self.runtime);
        }
    }

    /// No longer Active by VRRP: accepted requests are answered, and then their connections closed.
    pub(super) fn close_listeners_by_vrrp(&mut self) {
        self.accept_all();
        self.listeners.close();
        self.clients.end_all_after_response(&mut self.runtime);
    }

    /// Empties the accept queues, closes the listeners and idle clients. An inherited listener stays open with its queue for
    /// the next process.
    pub(super) fn close_listener(&mut self) {
        self.release_inherited_listener();
        self.accept_all();
        self.listeners.close();
        self.handle_vrrp_event(VrrpEvent::Shutdown);
        self.lifecycle.begin_closing(&mut self.runtime);
        self.close_idle_clients(0.0);
        self.runtime.log(&format!(
            "shutdown: listeners closed, {} requests in flight",
            self.runtime.coordinator.open_requests()
        ));
    }

    /// Accepts what waits in the accept queues.
    fn accept_all(&mut self) {
        for protocol in PROTOCOLS {
            self.accept(protocol);
        }
    }

    /// Begins to accept from the inherited listener.
    fn adopt_inherited_listener(&mut self) {
        let listener = self.handover.as_mut().and_then(Handover::take_listener);
        let Some(listener) = listener else {
            return;
        };
        self.listeners.adopt(listener, &mut self.runtime);
        // The poll may not report what waits in the queue already.
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
    /// Takes over from a process that runs, or starts alone on the inherited listener.
    pub(super) fn set_up_handover(&mut self, inherited: InheritedListener) -> Result<(), NetError> {
        let handover = Handover::new(inherited, self.runtime.now)?;
        let handover = self.handover.insert(handover);
        let event = handover.connect_predecessor(&mut self.runtime);
        self.route_handover(event);
        Ok(())
    }

    /// Discovery has answered: requests the predecessor's state, if that is the next step.
    pub(super) fn request_predecessor_state(&mut self) {
        if let Some(handover) = &mut self.handover {
            let event = handover.request_state(&mut self.runtime);
            self.route_handover(event);
        }
    }

    /// How many connections this process may have, beside those of a predecessor.
    pub(super) fn connection_limits(&self) -> ConnectionLimits {
        ConnectionLimits::new(&self.runtime, self.handover.as_ref())
    }

    /// Whether another process of this mixer runs beside this one, which shares its memory limit.
    pub(super) fn has_other_process(&self) -> bool {
        let handover = self.handover.as_ref();
        handover.is_some_and(Handover::has_other_process)
    }

    /// Successors have connected to the rendezvous socket.
    pub(super) fn rendezvous_event(&mut self) {
        while let Some(handover) = &mut self.handover {
            let has_stopped = self.lifecycle.phase() == Phase::Stopped;
            if !handover.accept_successor(&mut self.runtime, has_stopped) {
                return;
            }
            self.link_event(Side::Successor);
        }
    }

    /// The connection to the predecessor or the successor can be read or written.
    pub(super) fn link_event(&mut self, side: Side) {
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
        if let Err(error) = received.result {
            self.end_link(side, &error);
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

    /// A deadline of the handover has passed; both connections are judged by the state before either is acted on.
    pub(super) fn handover_due(&mut self) {
        let Some(handover) = &mut self.handover else {
            return;
        };
        let due = handover.due(self.runtime.now);
        let is_inheriting = self.lifecycle.phase() == Phase::Inheriting;
        let event = handover.check_predecessor(&mut self.runtime, &due, is_inheriting);
        self.route_handover(event);
        let connections = self.connection_counts();
        if let Some(handover) = &mut self.handover {
            let event = handover.check_successor(&mut self.runtime, &due, connections);
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

    /// Accepts clients from now on, and a successor.
    fn start_serving(&mut self, kind: StartKind) {
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

    /// Sends the state to the successor, and stops accepting from the inherited listener before that.
    fn send_state_to_successor(&mut self) {
        let connections = self.connection_counts();
        let facts = DiscoveryFacts {
            address: self.discovery.address(),
            revision: self.discovery.revision(),
            lease: self.discovery.hand_over_lease(self.runtime.now),
        };
        let Some(handover) = &mut self.handover else {
            return;
        };
        let line = handover.state_line(&mut self.runtime, facts, connections);
        self.release_inherited_listener();
        if let Some(handover) = &mut self.handover {
            let event = handover.send_state(&mut self.runtime, &line);
            self.route_handover(event);
        }
    }

    fn connection_counts(&self) -> ConnectionCounts {
        ConnectionCounts {
            clients: self.clients.count(),
            replicas: self.replicas.count(),
        }
    }

    /// Takes over the predecessor's state, and accepts it.
    fn inherit_state(&mut self, state: StateMessage) {
        self.inherit_list(&state);
        if let Some(lease) = state.lease {
            self.discovery.inherit_lease(self.runtime.now, lease);
            self.publish_lease();
            self.retry_for_missing_answer();
        }
        if let Some(handover) = &mut self.handover {
            handover.inherit(&mut self.runtime, state);
            let event = handover.accept(&mut self.runtime);
            self.route_handover(event);
        }
    }

    /// Of two revisions of a list the later one is used. Revisions of another discovery mean nothing to this one: such a list
    /// is used only where there is none, and without its revision.
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

    /// Commits: the successor accepts clients from now on; here connections are closed with their responses.
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

    /// The successor is gone: this process serves on.
    fn resume_after_successor_loss(&mut self) {
        match self.lifecycle.phase() {
            Phase::Closing { .. } | Phase::Stopped => return,
            Phase::HandedOver => {
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
