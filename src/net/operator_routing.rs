//! Integration of the admin interface, the store and VRRP into the event loop.
//!
//! The methods of [`Mixer`] here call one of these subsystems and forward its results to clients, the endpoint list, the
//! settings, the listeners and the lifecycle of the process.

use crate::config::{StoreSetup, VrrpSetup};
use crate::net::admin::{
    phase_text, AcceptResult, AdminCall, AdminServer, MetricsSources, MAX_ACCEPTS_PER_ITERATION,
    UNKNOWN_CALL_REPLY,
};
use crate::net::backlog::{Work, MAX_ACCEPTS_PER_TURN};
use crate::net::client::page_cache::RenderedPage;
use crate::net::client::platform;
use crate::net::error::NetError;
use crate::net::event_loop::Mixer;
use crate::net::http;
use crate::net::lifecycle::Phase;
use crate::net::store_peers::{
    completed_body, CompletedOperation, Quorum, Requester, StorePeers, StoredChange, SETTINGS,
};
use crate::net::vrrp_socket::{VrrpChange, VrrpReceived, VrrpSocket};
use crate::net::ConnectionKey;
use crate::requests::settings_schedule::Origin;
use crate::store::StoreError;
use crate::vrrp::Event;
use std::net::SocketAddr;
use std::rc::Rc;

/// Limit on the names in a log line. Above the limit only their number is logged.
const MAX_LOGGED_NAMES: usize = 20;

/// Maximum number of VRRP messages that are received in one turn.
const MAX_VRRP_MESSAGES_PER_TURN: usize = 16;

/// Handlers of the admin interface.
impl Mixer {
    /// Opens the admin interface.
    pub(super) fn open_admin_interface(&mut self, address: SocketAddr) -> Result<(), NetError> {
        self.admin = Some(AdminServer::open(&mut self.runtime, address)?);
        Ok(())
    }

    /// Accepts pending admin connections, up to a limit in each iteration of the event loop, and reads from each.
    pub(super) fn accept_admin_connections(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            let Some(admin) = &self.admin else { return };
            match admin.accept(&mut self.runtime) {
                AcceptResult::Connection(key) => self.handle_admin_event(key),
                AcceptResult::NonePending => return,
                AcceptResult::Aborted => {}
                AcceptResult::Failed(error) => {
                    self.free_descriptor_after(&error);
                    if let Some(admin) = &self.admin {
                        admin.schedule_accept_retry(&mut self.runtime);
                    }
                    return;
                }
            }
        }
        if let Some(admin) = &self.admin {
            admin.schedule_next_accept(&mut self.runtime);
        }
    }

    /// Handles a readiness event of an admin connection, and executes its call once the call is complete.
    pub(super) fn handle_admin_event(&mut self, key: ConnectionKey) {
        let call = self
            .admin
            .as_ref()
            .and_then(|admin| admin.handle_connection_event(&mut self.runtime, key));
        let Some(call) = call else { return };
        let reply = self.reply_to(call);
        if let Some(admin) = &self.admin {
            admin.reply(&mut self.runtime, key, reply);
        }
    }

    /// Handles an expired timer of an admin connection.
    pub(super) fn handle_admin_timer(&mut self, key: ConnectionKey) {
        if let Some(admin) = &self.admin {
            admin.handle_connection_timer(&mut self.runtime, key);
        }
    }

    /// Executes a call and returns the reply.
    fn reply_to(&mut self, call: AdminCall) -> String {
        match call {
            AdminCall::Status if self.is_ready() => "ok ready\n".into(),
            AdminCall::Status => {
                format!("fail not ready: {}\n", phase_text(self.lifecycle.phase()))
            }
            AdminCall::Metrics => self.metrics_sources().summary() + "eof\n",
            AdminCall::Pause | AdminCall::Resume
                if self.is_ending() || self.lifecycle.phase() == Phase::Inheriting =>
            {
                format!("fail {}\n", phase_text(self.lifecycle.phase()))
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
            invalid_requests: self.clients.invalid_requests(),
            loop_metrics: self.runtime.loop_metrics,
            backlog: self.runtime.backlog.len(),
            timers: self.runtime.timers.len(),
        }
    }

    /// Responds to a client with a page that takes long to render.
    pub(super) fn serve_rendered(&mut self, key: ConnectionKey, page: RenderedPage, close: bool) {
        let close = self.closes_after_response() || close;
        let content_type = match page {
            RenderedPage::Endpoints => "application/json",
            _ => "text/plain; version=0.0.4",
        };
        let text = self.rendered(page);
        let head = http::response_head(200, content_type, &[], text.len(), close);
        self.clients
            .respond_shared(&mut self.runtime, key, head, text, close);
    }

    /// Returns the text of a page, rendered now or a short time ago.
    fn rendered(&mut self, page: RenderedPage) -> Rc<str> {
        let started_at = self.runtime.clock.now();
        if let Some(text) = self.clients.pages.get(started_at, page) {
            return text;
        }
        let text: Rc<str> = match page {
            RenderedPage::Endpoints => {
                platform::render_endpoints(self.runtime.directory.endpoints())
            }
            _ => self.metrics_sources().page(page),
        }
        .into();
        let now = self.runtime.clock.now();
        self.clients.pages.put(started_at, now, page, text.clone());
        text
    }
}

/// Handlers of the store.
impl Mixer {
    /// Opens the store and its listener for peers, follows the drains in its data folder, and starts reading from the store.
    /// Must be called before an endpoint list is applied.
    pub(super) fn set_up_store(&mut self, setup: StoreSetup) -> Result<(), NetError> {
        let mut store = StorePeers::open(&mut self.runtime, setup)?;
        let drains = store.restored_drains();
        self.store = Some(store);
        if !drains.is_empty() {
            self.log_draining(&drains);
            self.runtime.directory.restore_drain_marks(drains);
        }
        Ok(())
    }

    fn log_draining(&mut self, names: &[String]) {
        match names.len() {
            0..=MAX_LOGGED_NAMES => self.runtime.log(&format!("store: draining {names:?}")),
            count => self
                .runtime
                .log(&format!("store: draining {count} servers")),
        }
    }

    /// Accepts pending connections of store peers.
    pub(super) fn accept_store_peers(&mut self) {
        for _ in 0..MAX_ACCEPTS_PER_TURN {
            let Some(store) = &mut self.store else { return };
            if !store.accept(&mut self.runtime) {
                return;
            }
            self.complete_store_operations();
        }
        self.runtime.backlog.push(Work::AcceptPeers);
    }

    /// Handles a readiness event on the connection of a store peer.
    pub(super) fn handle_store_peer_event(&mut self, key: ConnectionKey) {
        let Some(store) = &mut self.store else { return };
        store.connection_event(&mut self.runtime, key);
        self.complete_store_operations();
    }

    /// Starts the periodic read of the store keys that configure the mixer.
    pub(super) fn refresh_from_store(&mut self) {
        let Some(store) = &mut self.store else { return };
        store.refresh(&mut self.runtime);
        self.next_store_operation();
    }

    /// Handles a client's request for a store key: GET reads the key, PUT writes it.
    pub(super) fn store_page(&mut self, key: ConnectionKey, method: &str, name: &str, body: &[u8]) {
        let Some(store) = &mut self.store else { return };
        let memory_bytes = self.runtime.memory_bytes;
        if let Err(error) = store.queue_request(key, method, name, body, memory_bytes) {
            let body = format!("{{\"error\":\"{error}\"}}");
            return self.respond_from_store(key, error.status(), &body);
        }
        self.clients.await_store(&mut self.runtime, key);
        self.next_store_operation();
    }

    /// Handles the timeout of a store operation.
    pub(super) fn handle_store_operation_timeout(&mut self, id: u64) {
        let Some(store) = &mut self.store else { return };
        match store.operation_due(id) {
            None => return,
            Some(Requester::Client(client)) => {
                let body = format!("{{\"error\":\"{}\"}}", StoreError::NoMajority);
                self.respond_from_store(client, 504, &body);
            }
            Some(Requester::Refresh) => {
                store.log_quorum(&mut self.runtime, Quorum::Lost);
                self.store_settings_lost();
            }
        }
        self.next_store_operation();
    }

    /// Returns whether the store contains settings, which take precedence over those of the configuration file.
    pub(super) fn has_stored_settings(&self) -> bool {
        self.store.as_ref().is_some_and(StorePeers::has_settings)
    }

    /// Starts the next store operation, unless one is in progress.
    pub(super) fn next_store_operation(&mut self) {
        let Some(store) = &mut self.store else { return };
        store.begin_next(&mut self.runtime);
        self.complete_store_operations();
    }

    /// Applies settings that a peer has stored, then responds to and applies each completed operation. The next one starts in a later
    /// turn, because an operation may wait for the disk.
    fn complete_store_operations(&mut self) {
        let store = self.store.as_mut();
        if let Some(settings) = store.and_then(StorePeers::take_replicated_settings) {
            self.apply_stored_value(SETTINGS, settings);
        }
        while let Some(operation) = self
            .store
            .as_mut()
            .and_then(|store| store.next_completed(&mut self.runtime))
        {
            self.complete_store_operation(operation);
            self.runtime.backlog.push(Work::StoreOperations);
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
        let is_settings = completed.key == SETTINGS;
        if let Some(value) = completed.value {
            self.apply_stored_value(&completed.key, value);
        }
        if is_settings {
            self.store_settings_read();
        }
    }

    fn apply_stored_value(&mut self, key: &str, value: String) {
        let change = self
            .store
            .as_mut()
            .and_then(|store| store.take_value(key, value));
        if let Some(change) = change {
            self.apply_stored(change);
        }
    }

    fn respond_from_store(&mut self, key: ConnectionKey, status: u16, body: &str) {
        let close = self.closes_after_response();
        self.respond(key, http::json_response(status, &[], body, close), close);
    }

    fn apply_stored(&mut self, change: StoredChange) {
        match change {
            StoredChange::EndpointList(list) => {
                // A list from the store has no discovery revision.
                self.apply_list_without_revision(&list);
            }
            StoredChange::Draining(names) => {
                self.log_draining(&names);
                let entries = self.runtime.directory.set_drain_marks(names);
                self.apply_entries(false, entries);
            }
            StoredChange::Settings(settings) => {
                self.runtime.log("store: new settings");
                self.accept_settings(settings, Origin::Store);
            }
            StoredChange::InvalidSettings(error) => self.runtime.log(&format!(
                "store: settings rejected, the old ones stay in use: {error}"
            )),
        }
    }
}

/// Handlers of VRRP.
impl Mixer {
    /// Opens the VRRP socket and starts the virtual router. The client listeners are open only while the router is Active.
    pub(super) fn set_up_vrrp(&mut self, setup: VrrpSetup) -> Result<(), NetError> {
        self.vrrp = Some(VrrpSocket::open(&mut self.runtime, setup)?);
        self.handle_vrrp_event(Event::Startup);
        Ok(())
    }

    /// Receives and handles the VRRP messages of one turn.
    pub(super) fn handle_vrrp_socket_event(&mut self) {
        for _ in 0..MAX_VRRP_MESSAGES_PER_TURN {
            let Some(vrrp) = &self.vrrp else { return };
            match vrrp.receive(&mut self.runtime) {
                VrrpReceived::Event(event) => self.handle_vrrp_event(event),
                VrrpReceived::Ignored => {}
                VrrpReceived::Nothing => return,
            }
        }
        self.runtime.backlog.push(Work::Vrrp);
    }

    /// Handles the expiry of the VRRP timer.
    pub(super) fn handle_vrrp_timer(&mut self) {
        if let Some(vrrp) = &mut self.vrrp {
            vrrp.timer_expired();
        }
        self.handle_vrrp_event(Event::Timer);
    }

    /// Forwards an event to the VRRP state machine, and opens or closes the client listeners if the router enters or leaves
    /// Active.
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
