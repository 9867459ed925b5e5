//! Reading from client connections: parsing requests, responding to invalid ones, and detecting disconnected clients.
//!
//! Valid queries and page requests are returned as [`ClientEvent`]s, which `routing` forwards to the other subsystems.

use crate::net::backlog::{Work, MAX_READS_PER_TURN};
use crate::net::client::connection::{ClientPresence, ClientState, SocketRead, READ_BUFFER_BYTES};
use crate::net::client::connection_error::ConnectionError;
use crate::net::client::connections::{
    client_mut, ClientConnections, ClientEvent, CloseReason, InvalidRequest, ServingConditions,
};
use crate::net::client::opensearch::{self, SearchContext, SearchRequest};
use crate::net::client::platform::{self, PlatformError, PlatformRequest};
use crate::net::http::Message;
use crate::net::runtime::Runtime;
use crate::net::ConnectionKey;
use crate::requests::coordinator::{Protocol, QueryRequest};
use slotmap::Key;
use std::ops::ControlFlow;

/// Size up to which an incomplete request is accepted without a check of the memory limit.
const SMALL_BUFFER_BYTES: usize = 4 * 1024;

impl ClientConnections {
    /// Handles a readiness event of the client's socket. `is_disconnected` is set if the client has closed its side or the
    /// connection has failed.
    pub(super) fn handle_socket_event(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        is_disconnected: bool,
        conditions: ServingConditions,
    ) -> Option<ClientEvent> {
        let client = client_mut(&mut runtime.connections, key)?;
        client.has_disconnected |= is_disconnected;
        match client.state {
            ClientState::Writing => self.write(runtime, key),
            ClientState::InFlight(_) | ClientState::AwaitingStore => {
                self.detect_disconnect(runtime, key);
            }
            ClientState::Lingering => self.discard_input(runtime, key),
            // The connection gets its turn in the order of the backlog.
            ClientState::Reading
                if runtime.backlog.contains(Work::Connection(key)) && !client.input.is_empty() => {}
            ClientState::Reading => return self.read(runtime, key, conditions),
        }
        None
    }

    /// Gives the client a turn: reads until no input is left, the connection has ended, one request has arrived, or the number
    /// of reads of a turn is reached. In the last case the connection is queued for another turn; after a request, this happens
    /// once its response is written.
    pub(super) fn read(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        conditions: ServingConditions,
    ) -> Option<ClientEvent> {
        for _ in 0..MAX_READS_PER_TURN {
            let client = client_mut(&mut runtime.connections, key)?;
            match client.state {
                ClientState::Reading => {}
                ClientState::Lingering => {
                    self.discard_input(runtime, key);
                    return None;
                }
                ClientState::InFlight(_) | ClientState::AwaitingStore | ClientState::Writing => {
                    return None;
                }
            }
            client.may_have_input = true;
            if !client.input.is_empty() {
                match client.next_message() {
                    Ok(Some(message)) => {
                        return self.handle_message(runtime, key, message, conditions)
                    }
                    Ok(None) => client.send_continue(),
                    Err(error) => {
                        self.respond_with_error(runtime, key, ConnectionError::Malformed(error));
                        return None;
                    }
                }
            }
            if self.receive(runtime, key, conditions).is_break() {
                return None;
            }
        }
        self.queue_turn(runtime, key);
        None
    }

    /// Queues another turn of a connection whose input may not have been read completely.
    pub(super) fn queue_turn(&self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        client.may_have_input = true;
        runtime.backlog.push(Work::Connection(key));
        self.begin_wait(runtime, key);
    }

    /// Records that input of the client, which may have arrived right after the previous poll, waits for a turn.
    pub(in crate::net) fn begin_wait(&self, runtime: &mut Runtime, key: ConnectionKey) {
        let since = runtime.previous_iteration_at;
        if let Some(client) = client_mut(&mut runtime.connections, key) {
            client.waits_since = client.waits_since.min(since);
        }
    }

    /// Records that a client in state `Reading` has no more input for now.
    fn input_ended(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        client.may_have_input = false;
        client.waits_since = f64::MAX;
        if client.closes_when_idle && client.is_idle() {
            self.linger(runtime, key);
        }
    }

    /// Reads once from the socket of a client in state `Reading`. Returns `Break` if reading is to stop.
    fn receive(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        conditions: ServingConditions,
    ) -> ControlFlow<()> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return ControlFlow::Break(());
        };
        let count = match client.read_socket(&mut buffer) {
            SocketRead::Bytes(count) => count,
            SocketRead::Blocked => {
                self.input_ended(runtime, key);
                return ControlFlow::Break(());
            }
            SocketRead::Closed => {
                self.close(runtime, key, CloseReason::ClientClosed);
                return ControlFlow::Break(());
            }
            SocketRead::Failed => {
                self.close(runtime, key, CloseReason::ReadFailed);
                return ControlFlow::Break(());
            }
        };
        let begins_request = client.is_idle();
        // Without spare capacity, the memory that is counted is that of the bytes received.
        client.input.reserve_exact(count);
        client.input.extend_from_slice(&buffer[..count]);
        let own_bytes = client.memory_bytes();
        if begins_request {
            client.state_since = runtime.now;
            self.schedule_deadline(runtime, key);
        }
        self.count_memory(runtime, key);
        if own_bytes > SMALL_BUFFER_BYTES && self.is_memory_exhausted(own_bytes, conditions) {
            self.respond_with_error(runtime, key, ConnectionError::TooManyLargeRequests);
            return ControlFlow::Break(());
        }
        ControlFlow::Continue(())
    }

    /// Discards input after the last response and closes the connection once the client has closed its side.
    pub(super) fn discard_input(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let mut buffer = [0; READ_BUFFER_BYTES];
        while let Some(client) = client_mut(&mut runtime.connections, key) {
            if !client.discards_input() {
                return;
            }
            match client.read_socket(&mut buffer) {
                SocketRead::Bytes(count) => client.discarded_bytes += count,
                SocketRead::Blocked => return,
                SocketRead::Closed => return self.close(runtime, key, CloseReason::ClientClosed),
                SocketRead::Failed => return self.close(runtime, key, CloseReason::ReadFailed),
            }
        }
    }

    /// Parses a complete message according to the protocol of its connection. Responds to messages that do not concern other
    /// subsystems, and returns an event for all others.
    fn handle_message(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        message: Message,
        conditions: ServingConditions,
    ) -> Option<ClientEvent> {
        runtime.loop_metrics.count_message();
        let client = client_mut(&mut runtime.connections, key)?;
        client.closes_after_response = !message.keep_alive;
        client.omits_body = message.is_head_request();
        client.sent_continue = false;
        client.closes_when_idle = false;
        client.release_input();
        client.first_request_by = f64::MAX;
        match client.protocol {
            Protocol::Platform => self.handle_platform_message(runtime, key, message),
            Protocol::Search => self.handle_search_message(runtime, key, message, conditions),
        }
    }

    fn handle_platform_message(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        message: Message,
    ) -> Option<ClientEvent> {
        let error = match platform::parse_request(&message, &runtime.deployment) {
            Ok(PlatformRequest::Page) => return Some(ClientEvent::Page(message)),
            Ok(PlatformRequest::Query(query_request)) => {
                let coordinator = &runtime.coordinator;
                let is_duplicate = coordinator.is_request_open(&query_request.id)
                    || coordinator.has_recently_run(runtime.now, &query_request);
                if !is_duplicate {
                    return Some(ClientEvent::Query {
                        query_request,
                        search_context: None,
                    });
                }
                PlatformError::RequestIdInUse
            }
            Err(error) => error,
        };
        let invalid = InvalidRequest {
            status: error.status(),
            reason: &error,
            id: message.header("x-request-id"),
        };
        self.record_invalid(runtime, key, &invalid);
        self.respond(runtime, key, error.response(), true);
        None
    }

    fn handle_search_message(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        message: Message,
        conditions: ServingConditions,
    ) -> Option<ClientEvent> {
        let id = self.next_search_id(runtime);
        let tenant = self.search_tenant.as_deref();
        let closes = conditions.closes_after_response || !message.keep_alive;
        let bytes = match opensearch::parse_request(&message, &runtime.deployment, id, tenant) {
            Ok(SearchRequest::Query {
                query_request,
                context,
            }) => {
                return Some(ClientEvent::Query {
                    query_request,
                    search_context: Some(context),
                })
            }
            Ok(SearchRequest::Page) => return Some(ClientEvent::Page(message)),
            Ok(SearchRequest::Root) => opensearch::render_root(&runtime.name, closes),
            Err(error) => {
                let opaque = message.header("x-opaque-id");
                let invalid = InvalidRequest {
                    status: error.status(),
                    reason: &error,
                    id: opaque,
                };
                self.record_invalid(runtime, key, &invalid);
                opensearch::render_error(&error, opaque, closes)
            }
        };
        self.respond(runtime, key, bytes, closes);
        None
    }

    /// Returns an id for a search API request. The id contains the start time of the process, so that it stays unique across
    /// restarts: leaf servers identify a part by it.
    fn next_search_id(&mut self, runtime: &Runtime) -> String {
        let clock = &runtime.clock;
        loop {
            self.last_search_number += 1;
            let started_ms = clock.unix_ms(clock.started_at());
            let id = format!("s{started_ms:x}-{:x}", self.last_search_number);
            if !runtime.coordinator.is_request_open(&id) {
                return id;
            }
        }
    }

    /// Closes the connection if the client closed its side right after sending a request, before the request is started. The end
    /// of the stream follows all input, so input is read ahead to find it.
    pub(super) fn check_presence(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        conditions: ServingConditions,
    ) -> ClientPresence {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return ClientPresence::Disconnected;
        };
        let own_bytes = client.memory_bytes();
        let presence = if self.is_memory_exhausted(own_bytes, conditions) {
            client.peek_presence()
        } else {
            client.read_ahead()
        };
        self.count_memory(runtime, key);
        if presence == ClientPresence::Disconnected {
            self.close(runtime, key, CloseReason::ClientClosed);
        }
        presence
    }

    /// Submits a query to the request coordinator. The final answer may already be among the resulting commands.
    pub(super) fn submit(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        query_request: QueryRequest,
        search_context: Option<SearchContext>,
    ) {
        let request_bytes = query_request.payload.len();
        let request = runtime.coordinator.accept_request(
            runtime.now,
            query_request,
            key.data().as_ffi(),
            &mut runtime.commands,
        );
        if let Some(client) = client_mut(&mut runtime.connections, key) {
            client.enter(ClientState::InFlight(request), runtime.now);
            client.search_context = search_context;
            client.request_bytes = request_bytes;
        }
        self.count_memory(runtime, key);
    }

    /// Checks whether a client whose request is in flight has closed its side. If so, the request ends immediately, so that
    /// leaf servers do no further work for it.
    fn detect_disconnect(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        let presence = client.read_ahead();
        self.count_memory(runtime, key);
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        match (presence, client.state) {
            (ClientPresence::Connected, _) => return,
            (ClientPresence::Unknown, ClientState::InFlight(request)) => {
                return runtime.coordinator.client_unreadable(
                    runtime.now,
                    request,
                    &mut runtime.commands,
                );
            }
            (ClientPresence::Unknown, _) => return,
            (ClientPresence::Disconnected, _) => {}
        }
        if let ClientState::InFlight(request) = client.state {
            let elapsed_s = runtime.now - client.state_since;
            if let Some(id) = runtime.coordinator.request_id(request).map(String::from) {
                runtime.log_request(|| {
                    format!("request {id}: its client disconnected after {elapsed_s:.3} s")
                });
            }
            runtime
                .coordinator
                .client_disconnected(runtime.now, request, &mut runtime.commands);
        }
        self.close(runtime, key, CloseReason::ClientClosed);
    }
}
