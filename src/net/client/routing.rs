//! Integration of client connections into the event loop.
//!
//! Calls [`ClientConnections`] and forwards its events to the other subsystems in the order in which they arise.
//!
//! [`ClientConnections`]: crate::net::client::connections::ClientConnections

use crate::net::admin::metrics_page;
use crate::net::backlog::Work;
use crate::net::client::connection::ClientPresence;
use crate::net::client::connections::{ClientEvent, ServingConditions};
use crate::net::client::eviction::{find_candidate, EvictionRank};
use crate::net::client::opensearch::SearchContext;
use crate::net::client::page_cache::RenderedPage;
use crate::net::client::pages::Page;
use crate::net::client::writing::log_unsuccessful_request;
use crate::net::event_loop::{Mixer, PollEvents, ACCEPT_RETRY_S};
use crate::net::http::{self, Message, StartLine};
use crate::net::socket::is_out_of_descriptors;
use crate::net::timer_queue::Deadline;
use crate::net::tokens::{connection_key, token};
use crate::net::ConnectionKey;
use crate::requests::coordinator::{FinalAnswer, Protocol, QueryRequest, Reason};
use mio::net::TcpStream;
use std::io;

/// Time that an iteration spends on the accept queue of a listener (seconds).
const MAX_ACCEPT_S: f64 = 0.002;
/// Time spent on the accept queue of a listener that is about to be closed (seconds); a full queue takes some milliseconds.
const MAX_ACCEPT_ALL_S: f64 = 0.2;

impl Mixer {
    /// Returns the current state of the other subsystems that affects how clients are served.
    fn serving_conditions(&self) -> ServingConditions {
        ServingConditions {
            has_store: self.store.is_some(),
            shares_memory: self.has_other_process(),
            closes_after_response: self.closes_after_response(),
        }
    }

    /// Accepts pending client connections of a listener, if the listener is open. Those beyond the number of a turn wait for the
    /// next iteration.
    pub(in crate::net) fn accept(&mut self, protocol: Protocol) {
        let end_at = self.runtime.clock.now() + MAX_ACCEPT_S;
        let queued_since = self
            .listeners
            .queued_since()
            .min(self.runtime.previous_iteration_at);
        if self.accept_until(end_at, protocol) {
            self.listeners.set_pending(protocol);
            self.listeners.set_queued_since(queued_since);
        } else {
            self.listeners.set_queued_since(f64::MAX);
        }
    }

    /// Accepts all connections in the accept queue of a listener, which is about to be closed.
    pub(in crate::net) fn accept_all(&mut self, protocol: Protocol) {
        let end_at = self.runtime.clock.now() + MAX_ACCEPT_ALL_S;
        self.accept_until(end_at, protocol);
    }

    /// Accepts client connections of a listener until the given time, at least one. Returns whether more may be pending.
    fn accept_until(&mut self, end_at: f64, protocol: Protocol) -> bool {
        let mut is_first = true;
        loop {
            let Some(listener) = self.listeners.get(protocol) else {
                return false;
            };
            match listener.accept() {
                Ok((stream, _)) => {
                    let key = self.add_client(stream, protocol);
                    self.begin_first_turn(key, std::mem::take(&mut is_first));
                }
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return false,
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    _ => {
                        // Out of descriptors or memory. The connections stay in the accept queue, and the edge-triggered
                        // poll does not report them again, so a timer retries.
                        self.runtime.log_peer(|| format!("accept: {error}"));
                        self.free_descriptor_after(&error);
                        self.runtime
                            .timers
                            .add(self.runtime.now + ACCEPT_RETRY_S, Deadline::Accept);
                        return false;
                    }
                },
            }
            if self.runtime.clock.now() > end_at {
                return true;
            }
        }
    }

    /// Serves an accepted client, or rejects it if the client limit is reached and no other connection can be evicted.
    /// Returns the connection of a client that is served.
    fn add_client(&mut self, stream: TcpStream, protocol: Protocol) -> Option<ConnectionKey> {
        let max_clients = self.connection_limits().clients;
        if self.clients.count() >= max_clients && !self.evict_up_to(EvictionRank::RecentlyActive) {
            let conditions = self.serving_conditions();
            self.clients
                .reject(&mut self.runtime, stream, protocol, max_clients, conditions);
            return None;
        }
        let conditions = self.serving_conditions();
        let key = self
            .clients
            .insert(&mut self.runtime, stream, protocol, conditions);
        self.clients.schedule_deadline(&mut self.runtime, key);
        let queued_since = self.listeners.queued_since();
        self.clients
            .set_waits_since(&mut self.runtime, key, queued_since);
        Some(key)
    }

    /// Gives a new client its first turn now, if it is the only one that waits. Otherwise the turn is queued, so that requests do
    /// not delay the accept queue.
    fn begin_first_turn(&mut self, key: Option<ConnectionKey>, is_first: bool) {
        let Some(key) = key else { return };
        if is_first && self.runtime.backlog.counts().first == 0 {
            return self.read_client(key);
        }
        self.runtime.backlog.push_first(Work::Connection(key));
        self.clients.queue_turn(&mut self.runtime, key);
    }

    /// Evicts an idle or answered client if a system call has failed because the process is out of descriptors.
    pub(in crate::net) fn free_descriptor_after(&mut self, error: &io::Error) {
        if is_out_of_descriptors(error) {
            let _ = self.evict_up_to(EvictionRank::Idle);
        }
    }

    /// Evicts one client with a rank of at most `max_rank`. Returns whether a connection was closed. Each candidate is read
    /// once more first, because a request may have arrived; clients with a request in flight are not evicted.
    fn evict_up_to(&mut self, max_rank: EvictionRank) -> bool {
        while let Some(candidate) =
            find_candidate(&self.runtime.connections, max_rank, self.runtime.now)
        {
            self.read_client(candidate.key);
            if self.clients.evict(&mut self.runtime, candidate) {
                return true;
            }
        }
        false
    }

    /// Gives a client a turn, and handles its request if it has sent one.
    pub(in crate::net) fn read_client(&mut self, key: ConnectionKey) {
        let conditions = self.serving_conditions();
        let event = self.clients.read(&mut self.runtime, key, conditions);
        self.route_client_event(key, event);
    }

    /// Handles a readiness event of a client's socket. `is_disconnected` is set if the client has closed its side or the
    /// connection has failed.
    pub(in crate::net) fn handle_client_event(
        &mut self,
        key: ConnectionKey,
        is_disconnected: bool,
    ) {
        let conditions = self.serving_conditions();
        let runtime = &mut self.runtime;
        let event = self
            .clients
            .handle_socket_event(runtime, key, is_disconnected, conditions);
        self.route_client_event(key, event);
    }

    /// Handles an expired timer of a client connection.
    pub(in crate::net) fn handle_client_timer(&mut self, key: ConnectionKey) {
        let event = self.clients.handle_timer(&mut self.runtime, key);
        self.route_client_event(key, event);
    }

    /// Forwards an event to the responsible subsystem.
    fn route_client_event(&mut self, key: ConnectionKey, event: Option<ClientEvent>) {
        match event {
            Some(ClientEvent::Query {
                query_request,
                search_context,
            }) => self.submit_query(key, *query_request, search_context),
            Some(ClientEvent::Page(message)) => self.serve_page(key, &message),
            Some(ClientEvent::IdleTimeout) => self.end_if_idle(key, 0.0),
            None => {}
        }
    }

    /// Submits a query to the request coordinator, unless the client has disconnected. The timeout is reduced by the longest
    /// time for which the request may have waited in the socket.
    fn submit_query(
        &mut self,
        key: ConnectionKey,
        mut query_request: QueryRequest,
        search_context: Option<SearchContext>,
    ) {
        let conditions = self.serving_conditions();
        match self
            .clients
            .check_presence(&mut self.runtime, key, conditions)
        {
            ClientPresence::Connected => {}
            ClientPresence::Disconnected => return,
            ClientPresence::Unknown => {
                return self.reject_unreadable(key, &query_request, search_context);
            }
        }
        // The request may have arrived right after the previous poll, or have waited in the backlog, so the client may already
        // have waited since then.
        let read_at = if self.runtime.is_delayed() {
            self.runtime.clock.now()
        } else {
            self.runtime.now
        };
        let waits_since = self.clients.waits_since(&self.runtime, key);
        let max_age_s = read_at - self.runtime.previous_iteration_at.min(waits_since);
        let max_timeout_s = read_at - self.runtime.now + query_request.timeout_s;
        query_request.timeout_s = (query_request.timeout_s - max_age_s).max(0.0);
        query_request.timeout_uncertainty_s = max_timeout_s - query_request.timeout_s;
        self.renew_lease_for_request();
        self.clients
            .submit(&mut self.runtime, key, query_request, search_context);
    }

    /// Rejects a query because its client has sent so many further requests that it may have left since.
    fn reject_unreadable(
        &mut self,
        key: ConnectionKey,
        query_request: &QueryRequest,
        search_context: Option<SearchContext>,
    ) {
        let reason = Reason::ReadAhead;
        let answer = FinalAnswer::Rejected {
            reason,
            retry_after_s: 0.0,
        };
        self.runtime
            .coordinator
            .count_rejected(query_request, reason);
        self.clients
            .set_search_context(&mut self.runtime, key, search_context);
        self.reply(key, query_request, answer, 0.0);
    }

    /// Serves a page under `/-/`, for operators and load balancers.
    fn serve_page(&mut self, key: ConnectionKey, message: &Message) {
        let StartLine::Request { method, target } = &message.start else {
            return;
        };
        let (status, body) = match Page::from_target(target, self.store.is_some()) {
            Page::Store { name } => return self.store_page(key, method, name, &message.body),
            Page::Metrics => {
                return self.serve_rendered(key, metrics_page(target), !message.keep_alive)
            }
            Page::Process => {
                return self.serve_rendered(key, RenderedPage::Process, !message.keep_alive)
            }
            Page::Endpoints => {
                return self.serve_rendered(key, RenderedPage::Endpoints, !message.keep_alive)
            }
            Page::Ready if self.is_ready() => (200, r#"{"ready":true}"#.to_string()),
            Page::Ready => (503, r#"{"ready":false}"#.to_string()),
            Page::Healthy => (200, "{}".to_string()),
            Page::Unknown => (404, r#"{"error":"no such page"}"#.to_string()),
        };
        let closes = self.closes_after_response() || !message.keep_alive;
        self.respond(key, http::json_response(status, &[], &body, closes), closes);
    }

    /// Starts writing a response to a client. If `closes` is set, the connection ends after the response.
    pub(in crate::net) fn respond(&mut self, key: ConnectionKey, bytes: Vec<u8>, closes: bool) {
        self.clients.respond(&mut self.runtime, key, bytes, closes);
    }

    /// Sends the final answer to a request. `took_s` is the time that the request was in flight.
    pub(in crate::net) fn reply(
        &mut self,
        key: ConnectionKey,
        query_request: &QueryRequest,
        answer: FinalAnswer,
        took_s: f64,
    ) {
        let closes = self.closes_after_response();
        let list_revision = self.discovery.revision();
        let runtime = &mut self.runtime;
        log_unsuccessful_request(runtime, query_request, &answer, took_s, list_revision);
        self.clients
            .reply(runtime, key, query_request, answer, took_s, closes);
    }

    /// Closes the connections of idle clients, except those that connected within the last `min_age_s` seconds and may be
    /// about to send a first request.
    pub(in crate::net) fn close_idle_clients(&mut self, min_age_s: f64) {
        for key in self.clients.keys(&self.runtime) {
            self.end_if_idle(key, min_age_s);
            self.process_commands();
        }
    }

    /// Reads from a client once more, and closes its connection if the client is still idle.
    fn end_if_idle(&mut self, key: ConnectionKey, min_age_s: f64) {
        self.read_client(key);
        self.clients.end_if_idle(&mut self.runtime, key, min_age_s);
    }

    /// Handles disconnected clients before all other events of the iteration, so that their requests cause no further
    /// attempts even if an attempt is found to have failed in the same iteration. The resulting commands are left to
    /// [`Mixer::process_commands`], because cancelling an attempt of one client may send parts that the leaf connection
    /// queues for another client.
    pub(in crate::net) fn handle_client_disconnects(&mut self, events: &PollEvents) {
        let is_disconnect = |event: &&mio::event::Event| event.is_read_closed() || event.is_error();
        for event in events.iter().filter(is_disconnect) {
            let key = connection_key(event.token());
            // The token of a listener also converts to a key, but that key does not convert back to the same token.
            let is_connection = token(key) == event.token();
            if !is_connection {
                continue;
            }
            self.clients.mark_disconnected(&mut self.runtime, key);
            if self.clients.has_request(&self.runtime, key) {
                self.handle_client_event(key, true);
            }
        }
    }
}
