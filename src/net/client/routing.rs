//! The connections of clients among the other subsystems of the loop.
//!
//! This file owns no state. It must never do more than call [`ClientConnections`] and lead its events to the subsystems
//! that they concern, in the order in which they arise.
//!
//! [`ClientConnections`]: crate::net::client::connections::ClientConnections

use crate::net::client::connections::{ClientEvent, ServingConditions};
use crate::net::client::eviction::{find_candidate, EvictionRank};
use crate::net::client::opensearch::SearchContext;
use crate::net::client::pages::Page;
use crate::net::client::platform;
use crate::net::client::writing::log_unanswered;
use crate::net::event_loop::{Mixer, PollEvents, ACCEPT_RETRY_S};
use crate::net::http::{self, Message, Start};
use crate::net::socket::is_out_of_descriptors;
use crate::net::timer_queue::Deadline;
use crate::net::tokens::{connection_key, token};
use crate::net::ConnectionKey;
use crate::requests::coordinator::{FinalAnswer, Protocol, QueryRequest};
use mio::net::TcpStream;
use std::io;

impl Mixer {
    /// What the other subsystems have to say now on how clients are served.
    fn serving_conditions(&self) -> ServingConditions {
        ServingConditions {
            has_store: self.store.is_some(),
            shares_memory: self.has_other_process(),
            closes_after_response: self.closes_after_response(),
        }
    }

    /// Accepts all clients that wait on a listener, if it is open.
    pub(in crate::net) fn accept(&mut self, protocol: Protocol) {
        loop {
            let Some(listener) = self.listeners.get(protocol) else {
                return;
            };
            match listener.accept() {
                Ok((stream, _)) => self.add_client(stream, protocol),
                Err(error) => match error.kind() {
                    io::ErrorKind::WouldBlock => return,
                    io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {}
                    _ => {
                        // Out of descriptors or memory: the queue stays, and no event tells of it again.
                        self.runtime.log(&format!("accept: {error}"));
                        self.free_descriptor_after(&error);
                        self.runtime
                            .timers
                            .add(self.runtime.now + ACCEPT_RETRY_S, Deadline::Accept);
                        return;
                    }
                },
            }
        }
    }

    /// Serves an accepted client, or rejects it where all others wait for answers.
    fn add_client(&mut self, stream: TcpStream, protocol: Protocol) {
        let max_clients = self.connection_limits().clients;
        if self.clients.count() >= max_clients && !self.evict_up_to(EvictionRank::Fresh) {
            let conditions = self.serving_conditions();
            return self.clients.reject(
                &mut self.runtime,
                stream,
                protocol,
                max_clients,
                conditions,
            );
        }
        let conditions = self.serving_conditions();
        let key = self
            .clients
            .insert(&mut self.runtime, stream, protocol, conditions);
        self.read_client(key);
        self.clients.schedule_deadline(&mut self.runtime, key);
    }

    /// Closes the connection of a client that waits for nothing where a system call has failed for want of descriptors.
    pub(in crate::net) fn free_descriptor_after(&mut self, error: &io::Error) {
        if is_out_of_descriptors(error) {
            let _ = self.evict_up_to(EvictionRank::Idle);
        }
    }

    /// Closes the connection of one client of at most that rank; whether there was one. Clients whose requests are in
    /// flight stay. Each is read once more before, since its request may have come.
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

    /// Reads a client until nothing is left, and handles the requests that have come.
    pub(in crate::net) fn read_client(&mut self, key: ConnectionKey) {
        let conditions = self.serving_conditions();
        let event = self.clients.read(&mut self.runtime, key, conditions);
        self.route_client_event(key, event);
    }

    /// Handles an event of a client's socket. `is_disconnected` says that the client has closed its side, or that the
    /// connection has failed.
    pub(in crate::net) fn client_event(&mut self, key: ConnectionKey, is_disconnected: bool) {
        let conditions = self.serving_conditions();
        let runtime = &mut self.runtime;
        let event = self
            .clients
            .handle_socket_event(runtime, key, is_disconnected, conditions);
        self.route_client_event(key, event);
    }

    /// Handles a timer of a client's connection.
    pub(in crate::net) fn client_due(&mut self, key: ConnectionKey) {
        let event = self.clients.handle_timer(&mut self.runtime, key);
        self.route_client_event(key, event);
    }

    /// Leads an event to the subsystem that it concerns and reads its client on, until nothing more comes of it.
    fn route_client_event(&mut self, key: ConnectionKey, mut event: Option<ClientEvent>) {
        while let Some(current) = event {
            match current {
                ClientEvent::Query {
                    query_request,
                    search_context,
                } => self.submit_query(key, *query_request, search_context),
                ClientEvent::Page(message) => self.serve_page(key, &message),
                ClientEvent::IdleTimeout => return self.end_if_idle(key, 0.0),
            }
            let conditions = self.serving_conditions();
            event = self.clients.read(&mut self.runtime, key, conditions);
        }
    }

    /// Hands a query to the request coordinator, unless its client has gone already.
    fn submit_query(
        &mut self,
        key: ConnectionKey,
        mut query_request: QueryRequest,
        search_context: Option<SearchContext>,
    ) {
        if !self.clients.check_connected(&mut self.runtime, key) {
            return;
        }
        // It may have come right after the sockets were last polled: its client waits for so much less.
        let read_at = if self.runtime.is_delayed() {
            self.runtime.clock.now()
        } else {
            self.runtime.now
        };
        let max_age_s = read_at - self.runtime.previous_iteration_at;
        let longest_s = read_at - self.runtime.now + query_request.timeout_s;
        query_request.timeout_s = (query_request.timeout_s - max_age_s).max(0.0);
        query_request.timeout_uncertainty_s = longest_s - query_request.timeout_s;
        self.renew_lease_for_request();
        self.clients
            .submit(&mut self.runtime, key, query_request, search_context);
    }

    /// Serves one of the pages for operators and load balancers.
    fn serve_page(&mut self, key: ConnectionKey, message: &Message) {
        let Start::Request { method, target } = &message.start else {
            return;
        };
        let (status, body) = match Page::from_target(target, self.store.is_some()) {
            Page::Store { name } => return self.store_page(key, method, name, &message.body),
            Page::Metrics => return self.metrics_page(key, target, !message.keep_alive),
            Page::Ready if self.is_ready() => (200, r#"{"ready":true}"#.to_string()),
            Page::Ready => (503, r#"{"ready":false}"#.to_string()),
            Page::Healthy => (200, "{}".to_string()),
            Page::Endpoints => (
                200,
                platform::render_endpoints(self.runtime.directory.endpoints()),
            ),
            Page::Unknown => (404, r#"{"error":"no such page"}"#.to_string()),
        };
        let closes = self.closes_after_response() || !message.keep_alive;
        self.respond(key, http::response(status, &[], &body, closes), closes);
    }

    /// Begins to write a response to a client, after which its connection ends where `closes` says so.
    pub(in crate::net) fn respond(&mut self, key: ConnectionKey, bytes: Vec<u8>, closes: bool) {
        self.clients.respond(&mut self.runtime, key, bytes, closes);
    }

    /// Gives a client the final answer to its request. `took_s` is how long the request was in flight.
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
        log_unanswered(runtime, query_request, &answer, took_s, list_revision);
        self.clients
            .reply(runtime, key, query_request, answer, took_s, closes);
    }

    /// Ends the connections of idle clients, except those that connected within the last `fresh_s` seconds and may be
    /// about to send a request.
    pub(in crate::net) fn close_idle_clients(&mut self, fresh_s: f64) {
        for key in self.clients.keys(&self.runtime) {
            self.end_if_idle(key, fresh_s);
            self.process_commands();
        }
    }

    /// Reads a client once more and ends its connection if it still is idle.
    fn end_if_idle(&mut self, key: ConnectionKey, fresh_s: f64) {
        self.read_client(key);
        self.clients.end_if_idle(&mut self.runtime, key, fresh_s);
    }

    /// Handles the clients that have closed their sides before anything else is done that could be for them: whoever has
    /// gone gets no further attempt, also where one is found to have failed in the same turn. What follows from it is left to
    /// [`Mixer::process_commands`], because to cancel an attempt of one client may send what its connection holds for another.
    pub(in crate::net) fn handle_client_disconnects(&mut self, events: &PollEvents) {
        let is_end = |event: &&mio::event::Event| event.is_read_closed() || event.is_error();
        for event in events.iter().filter(is_end) {
            let key = connection_key(event.token());
            // The token of a listener makes a key too, but not the other way round.
            let is_connection = token(key) == event.token();
            if is_connection && self.clients.has_request(&self.runtime, key) {
                self.client_event(key, true);
            }
        }
    }
}
