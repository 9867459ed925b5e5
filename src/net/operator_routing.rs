//! Integration of the admin interface, the store, settings and VRRP into the event loop.
//!
//! The methods of [`Mixer`] here call one of these subsystems and forward its results to clients, the endpoint list, the
//! settings, the listeners and the lifecycle of the process.

use crate::config::{DecodedSettings, StoreSetup, VrrpSetup};
use crate::net::admin::{
    phase_text, AcceptResult, AdminCall, AdminServer, MetricsSources, MAX_ACCEPTS_PER_ITERATION,
    UNKNOWN_CALL_REPLY,
};
use crate::net::backlog::{Work, MAX_ACCEPTS_PER_TURN};
use crate::net::client::page_cache::RenderedPage;
use crate::net::client::platform;
use crate::net::error::NetError;
use crate::net::event_loop::Mixer;
use crate::net::handover::SettingsMessage;
use crate::net::http;
use crate::net::lifecycle::Phase;
use crate::net::reload::{self, ReloadOutcome};
use crate::net::store_peers::{
    completed_body, CompletedOperation, Quorum, Requester, StorePeers, StoredChange, SETTINGS,
};
use crate::net::vrrp_socket::{VrrpChange, VrrpReceived, VrrpSocket};
use crate::net::ConnectionKey;
use crate::requests::settings_schedule::{DueSettings, Origin};
use crate::store::StoreError;
use crate::vrrp::Event;
use std::net::SocketAddr;
use std::rc::Rc;

/// Limit on the names in a log line. Above the limit only their number is logged.
const MAX_LOGGED_NAMES: usize = 20;

/// A successor reads its file again if the predecessor has accepted the file since, or at most this long before (seconds): a
/// process begins to read its file some time before its clock starts.
const FILE_READ_MARGIN_S: f64 = 1.0;

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

/// Handlers of the configuration file.
impl Mixer {
    /// Handles SIGHUP: reads the configuration again. Requests and connections are kept; an invalid file changes nothing.
    pub(super) fn reload_requested(&mut self) {
        let ReloadOutcome::Accepted {
            settings,
            discovery,
        } = self.reload.reload_config(&mut self.runtime)
        else {
            return;
        };
        // Settings stored by the operators take precedence over the file.
        if !self.has_stored_settings() {
            self.accept_settings(settings, Origin::Signal);
        }
        if discovery.is_none() {
            self.runtime.log("reload: discovery unchanged");
        }
        self.change_discovery_to(discovery);
    }

    /// Begins anew with the configuration file as it is now, after a time in which another process may have accepted a new one.
    /// Clients may follow the file since long, or not yet.
    pub(super) fn begin_from_file(&mut self) {
        let settings = self
            .read_file()
            .unwrap_or_else(|| self.reload.last_accepted().clone());
        if !self.has_stored_settings() {
            self.reload.begin_settings(self.runtime.now, settings);
        }
        self.apply_due_settings();
    }

    /// Reads the configuration file again and switches to the discovery that it names. Returns its settings, or `None` if it is
    /// invalid.
    fn read_file(&mut self) -> Option<DecodedSettings> {
        match self.reload.read_config(&mut self.runtime) {
            ReloadOutcome::Rejected => None,
            ReloadOutcome::Accepted {
                settings,
                discovery,
            } => {
                self.change_discovery_to(discovery);
                Some(settings)
            }
        }
    }

    fn change_discovery_to(&mut self, discovery: Option<SocketAddr>) {
        if let Some(address) = discovery {
            self.change_discovery(address);
        }
    }
}

/// Handlers of stored settings.
impl Mixer {
    /// Records that the store's settings, or their absence, were read from a majority of its nodes.
    pub(super) fn store_settings_read(&mut self) {
        self.reload.store_read(self.runtime.now);
        self.apply_due_settings();
    }

    /// Records that the store could not be read.
    pub(super) fn store_settings_lost(&mut self) {
        self.reload.store_lost();
        self.apply_due_settings();
    }
}

/// Handlers of a predecessor's settings.
impl Mixer {
    /// Returns the settings for the successor process.
    pub(super) fn settings_for_successor(&self) -> Option<SettingsMessage> {
        let are_stored = self.has_stored_settings();
        self.reload.settings_message(self.runtime.now, are_stored)
    }

    /// Goes on with the predecessor's settings, which clients follow, and then with the own ones where they differ. A
    /// predecessor of an earlier release sends none.
    pub(super) fn inherit_settings(&mut self, message: Option<&SettingsMessage>) {
        let Some(message) = message else {
            self.runtime
                .log("handover: the predecessor sent no settings");
            return self.begin_from_file();
        };
        let now = self.runtime.now;
        let own = self.reload.last_accepted().clone();
        if let Err(error) = self.reload.inherit_settings(now, message) {
            self.runtime.log(&format!(
                "handover: the predecessor's settings cannot be used: {error}"
            ));
            return self.begin_from_file();
        }
        self.runtime
            .log("handover: going on with the predecessor's settings");
        let own = self.own_settings(own, message);
        if let Some(own) = own.filter(|own| own != self.reload.last_accepted()) {
            self.reload.begin_settings(now, own);
        }
        self.apply_due_settings();
    }

    /// Returns the settings that take precedence over the predecessor's, if there are any. `own` are those before the handover.
    /// Stored settings take precedence over a file, and those of a store that was read over those of a data folder.
    fn own_settings(
        &mut self,
        own: DecodedSettings,
        message: &SettingsMessage,
    ) -> Option<DecodedSettings> {
        let own_file_age_s = self.reload.file_age_s(self.runtime.now);
        let is_predecessors_newer = message.are_stored && self.is_store_unread();
        if is_predecessors_newer {
            let text = self.reload.last_accepted().text.to_string();
            if let Some(store) = &mut self.store {
                store.adopt_settings(text);
            }
            None
        } else if self.has_stored_settings() {
            Some(own)
        } else if message.file_age_s < own_file_age_s + FILE_READ_MARGIN_S {
            self.read_file()
        } else {
            Some(own)
        }
    }

    /// Returns whether this process has a store that it has not read.
    fn is_store_unread(&self) -> bool {
        self.store.is_some() && self.runtime.deployment.is_store_unread()
    }
}

/// Handlers of settings from all sources.
impl Mixer {
    /// Accepts valid settings, and restricts the rules in use to what they allow where clients may follow them already. A state
    /// that has been sent to a successor is outdated then.
    pub(super) fn accept_settings(&mut self, settings: DecodedSettings, origin: Origin) {
        if self.lifecycle.phase() == Phase::Inheriting {
            // No client is served yet, so the settings need not wait.
            self.reload.begin_settings(self.runtime.now, settings);
        } else {
            let is_new = self
                .reload
                .accept_settings(&mut self.runtime, settings, origin);
            if is_new {
                self.take_back_state();
            }
        }
        self.apply_due_settings();
    }

    /// Applies each of the accepted settings that are due, and begins and ends restrictions.
    pub(super) fn apply_due_settings(&mut self) {
        while let Some(due) = self.reload.take_due_settings(&self.runtime) {
            self.apply_settings(due);
        }
        self.reload.schedule_next_change(&mut self.runtime);
    }

    fn apply_settings(&mut self, due: DueSettings) {
        let zones = due.deployment.zones.clone();
        self.runtime.directory.set_zones(zones);
        let former = std::mem::replace(&mut self.runtime.deployment, due.deployment);
        let drain_grace_s = self.runtime.deployment.policy.drain_grace_s;
        self.discovery.set_drain_grace(drain_grace_s);
        self.publish_lease();
        reload::apply_settings(&mut self.runtime, &former, due.are_new);
    }

    /// Logs which classes have two-phase queries, if any.
    pub(super) fn log_phases(&mut self) {
        reload::log_phases(&mut self.runtime);
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
