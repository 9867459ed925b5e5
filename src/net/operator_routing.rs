//! The loop's side of the operators' subsystems: what brings the admin interface, the store and VRRP together with clients,
//! the endpoint list, settings, listeners and the phases of the process.
//!
//! This file owns no state. It must never decide anything: it calls one subsystem, and leads what that gives to another.

use crate::config::{StoreSetup, VrrpSetup};
use crate::net::admin::{
    describe, Accepted, AdminCall, AdminServer, MetricsSources, MAX_ACCEPTS_PER_TURN,
    UNKNOWN_CALL_REPLY,
};
use crate::net::error::NetError;
use crate::net::event_loop::Mixer;
use crate::net::http;
use crate::net::lifecycle::Phase;
use crate::net::store_peers::{
    completed_body, CompletedOperation, Quorum, Requester, StorePeers, StoredChange,
};
use crate::net::vrrp_socket::{VrrpChange, VrrpSocket};
use crate::net::ConnectionKey;
use crate::store::StoreError;
use crate::vrrp::Event;
use std::net::SocketAddr;

/// Names in a line of the log; of more, only the number is logged.
const MAX_LOGGED_NAMES: usize = 20;

/// The admin interface.
impl Mixer {
    /// Listens for operators.
    pub(super) fn open_admin_interface(&mut self, address: SocketAddr) -> Result<(), NetError> {
        self.admin = Some(AdminServer::open(&mut self.runtime, address)?);
        Ok(())
    }

    /// Accepts the operators who have connected, some in each turn, and reads at once what they have sent.
    pub(super) fn admin_accept(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(admin) = &self.admin else { return };
            match admin.accept(&mut self.runtime) {
                Accepted::Connection(key) => self.admin_event(key),
                Accepted::NobodyWaits => return,
                Accepted::Aborted => {}
                Accepted::Refused(error) => {
                    self.free_descriptor_after(&error);
                    if let Some(admin) = &self.admin {
                        admin.accept_later(&mut self.runtime);
                    }
                    return;
                }
            }
        }
        if let Some(admin) = &self.admin {
            admin.accept_next_turn(&mut self.runtime);
        }
    }

    /// Something came on a connection of an operator, or more can be written to it.
    pub(super) fn admin_event(&mut self, key: ConnectionKey) {
        let call = self
            .admin
            .as_ref()
            .and_then(|admin| admin.connection_event(&mut self.runtime, key));
        let Some(call) = call else { return };
        let reply = self.reply_to(call);
        if let Some(admin) = &self.admin {
            admin.reply(&mut self.runtime, key, reply);
        }
    }

    /// A deadline of a connection of an operator has come.
    pub(super) fn admin_due(&mut self, key: ConnectionKey) {
        if let Some(admin) = &self.admin {
            admin.connection_due(&mut self.runtime, key);
        }
    }

    /// Carries out a call and gives the reply.
    fn reply_to(&mut self, call: AdminCall) -> String {
        match call {
            AdminCall::Status if self.is_ready() => "ok ready\n".into(),
            AdminCall::Status => format!("fail not ready: {}\n", describe(self.lifecycle.phase())),
            AdminCall::Metrics => self.metrics_sources().summary() + "eof\n",
            AdminCall::Pause | AdminCall::Resume
                if self.is_ending() || self.lifecycle.phase() == Phase::Inheriting =>
            {
                format!("fail {}\n", describe(self.lifecycle.phase()))
            }
            AdminCall::Pause => {
                self.pause();
                "ok paused\n".into()
            }
            AdminCall::Resume => {
                self.resume();
                "ok resumed\n".into()
            }
            AdminCall::Unknown => UNKNOWN_CALL_REPLY.into(),
        }
    }

    fn metrics_sources(&self) -> MetricsSources<'_> {
        MetricsSources {
            coordinator: &self.runtime.coordinator,
            listed_endpoints: self.runtime.directory.listed_count(),
            accepted_configurations: self.reload.accepted(),
            rejected_configurations: self.reload.rejected(),
            missing_answers: self.discovery.lost_answers(),
            closed_clients: self.clients.closed(),
        }
    }

    /// Answers a client with the metrics.
    pub(super) fn metrics_page(&mut self, key: ConnectionKey, target: &str, close: bool) {
        let text = self.metrics_sources().page(target);
        let close = self.closes_after_response() || close;
        let response = http::typed(200, "text/plain; version=0.0.4", &[], &text, close);
        self.respond(key, response, close);
    }
}

/// The store.
impl Mixer {
    /// Listens for the store's peers and begins to read from it.
    pub(super) fn set_up_store(&mut self, setup: StoreSetup) -> Result<(), NetError> {
        self.store = Some(StorePeers::open(&mut self.runtime, setup)?);
        Ok(())
    }

    /// Accepts the peers that have connected.
    pub(super) fn store_accept(&mut self) {
        while let Some(store) = &mut self.store {
            if !store.accept(&mut self.runtime) {
                return;
            }
            self.complete_store_operations();
        }
    }

    /// A connection of a peer can be read or written, or has failed.
    pub(super) fn peer_event(&mut self, key: ConnectionKey) {
        let Some(store) = &mut self.store else { return };
        store.connection_event(&mut self.runtime, key);
        self.complete_store_operations();
    }

    /// The time has come to read the keys that matter to the mixer.
    pub(super) fn refresh(&mut self) {
        let Some(store) = &mut self.store else { return };
        store.refresh(&mut self.runtime);
        self.next_store_operation();
    }

    /// A client's request to the store: GET reads a key, PUT writes it.
    pub(super) fn store_page(&mut self, key: ConnectionKey, method: &str, name: &str, body: &[u8]) {
        let Some(store) = &mut self.store else { return };
        if let Err(error) = store.queue_request(key, method, name, body) {
            let body = format!("{{\"error\":\"{error}\"}}");
            return self.respond_from_store(key, error.status(), &body);
        }
        self.clients.await_store(&mut self.runtime, key);
        self.next_store_operation();
    }

    /// The timeout of an operation has come.
    pub(super) fn operation_due(&mut self, id: u64) {
        let Some(store) = &mut self.store else { return };
        match store.operation_due(id) {
            None => return,
            Some(Requester::Client(client)) => {
                let body = format!("{{\"error\":\"{}\"}}", StoreError::NoMajority);
                self.respond_from_store(client, 504, &body);
            }
            Some(Requester::Refresh) => store.log_quorum(&mut self.runtime, Quorum::Lost),
        }
        self.next_store_operation();
    }

    /// Whether the store has settings, which come before those of the file.
    pub(super) fn has_stored_settings(&self) -> bool {
        self.store.as_ref().is_some_and(StorePeers::has_settings)
    }

    fn next_store_operation(&mut self) {
        let Some(store) = &mut self.store else { return };
        store.begin_next(&mut self.runtime);
        self.complete_store_operations();
    }

    /// Answers and applies each operation that is complete, and begins the next one.
    fn complete_store_operations(&mut self) {
        while let Some(operation) = self
            .store
            .as_mut()
            .and_then(|store| store.next_completed(&mut self.runtime))
        {
            self.complete_store_operation(operation);
            if let Some(store) = &mut self.store {
                store.begin_next(&mut self.runtime);
            }
        }
    }

    fn complete_store_operation(&mut self, operation: CompletedOperation) {
        let completed = operation.completed;
        match operation.requester {
            Requester::Client(client) => {
                self.respond_from_store(client, 200, &completed_body(&completed));
            }
            Requester::Refresh => {
                if let Some(store) = &mut self.store {
                    store.log_quorum(&mut self.runtime, Quorum::Reached);
                }
            }
        }
        let Some(value) = completed.value else { return };
        let change = self
            .store
            .as_mut()
            .and_then(|store| store.take_value(&completed.key, value));
        if let Some(change) = change {
            self.apply_stored(change);
        }
    }

    fn respond_from_store(&mut self, key: ConnectionKey, status: u16, body: &str) {
        let close = self.closes_after_response();
        self.respond(key, http::response(status, &[], body, close), close);
    }

    fn apply_stored(&mut self, change: StoredChange) {
        match change {
            StoredChange::EndpointList(list) => {
                // Its revision is not one of discovery's.
                self.apply_list_without_revision(&list);
            }
            StoredChange::Draining(names) => {
                match names.len() {
                    0..=MAX_LOGGED_NAMES => self.runtime.log(&format!("store: draining {names:?}")),
                    count => self
                        .runtime
                        .log(&format!("store: draining {count} servers")),
                }
                let entries = self.runtime.directory.set_drain_marks(names);
                self.apply_entries(false, entries);
            }
            StoredChange::Settings(deployment) => {
                self.runtime.log("store: new settings");
                self.accept_settings(*deployment);
            }
            StoredChange::InvalidSettings(error) => self.runtime.log(&format!(
                "store: settings rejected, the old ones stay in use: {error}"
            )),
        }
    }
}

/// VRRP.
impl Mixer {
    /// Opens VRRP's socket and starts the router; clients are listened for only while it is Active.
    pub(super) fn set_up_vrrp(&mut self, setup: VrrpSetup) -> Result<(), NetError> {
        self.vrrp = Some(VrrpSocket::open(&mut self.runtime, setup)?);
        self.handle_vrrp_event(Event::Startup);
        Ok(())
    }

    /// Messages have come on VRRP's socket.
    pub(super) fn vrrp_event(&mut self) {
        while let Some(event) = self
            .vrrp
            .as_ref()
            .and_then(|vrrp| vrrp.receive(&mut self.runtime))
        {
            self.handle_vrrp_event(event);
        }
    }

    /// Leads an event to VRRP's state machine, and opens or leaves the listeners where that changes.
    pub(super) fn handle_vrrp_event(&mut self, event: Event) {
        let change = self
            .vrrp
            .as_mut()
            .and_then(|vrrp| vrrp.handle(&mut self.runtime, event));
        match change {
            Some(VrrpChange::BecameActive) => self.open_listeners(),
            Some(VrrpChange::LeftActive) => self.close_listeners_by_vrrp(),
            None => {}
        }
    }
}
