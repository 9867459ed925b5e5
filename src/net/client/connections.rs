//! Management of client connections: acceptance, limits, timeouts and closing.
//!
//! The methods of [`ClientConnections`] that read and write are in `reading` and `writing`. Before an idle connection is
//! closed by the mixer, the caller reads it once more, because a request may have arrived in the meantime.

use crate::net::client::connection::{ClientConnection, ClientState, READ_BUFFER_BYTES};
use crate::net::client::connection_error::ConnectionError;
use crate::net::client::eviction::EvictionCandidate;
use crate::net::client::opensearch::SearchContext;
use crate::net::client::page_cache::PageCache;
use crate::net::client::pages::STORE_PREFIX;
use crate::net::connection_table::Connection;
use crate::net::http::{Message, MessageReader};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use crate::net::ConnectionKey;
use crate::requests::coordinator::{Protocol, QueryRequest};
use crate::requests::invariants::Invariant;
use crate::requests::metrics::increment;
use crate::store::MAX_VALUE_BYTES;
use mio::net::TcpStream;
use slotmap::SlotMap;
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::SocketAddr;

/// Limit on the body of a query.
const MAX_QUERY_BYTES: usize = 64 * 1024;
/// Connections above the client limit that are kept open until an error response is delivered. They use spare
/// descriptors.
const MAX_REJECTED_CLIENTS: usize = 8;
/// Divisor of the descriptor limit that gives the share for clients. The rest is for leaf servers and discovery.
const DESCRIPTOR_DIVISOR: f64 = 3.0;
/// Share of the client descriptors in use above which each response closes its connection.
const CLOSE_AFTER_RESPONSE_SHARE: f64 = 0.5;
/// Divisor of the memory limit that gives the share for incomplete requests.
const MEMORY_DIVISOR: usize = 8;

/// Reason for the end of a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::net) enum CloseReason {
    /// End of the stream from the client.
    ClientClosed,
    /// Reset connection or failed read.
    ReadFailed,
    /// Failed write of a response.
    WriteFailed,
    /// Timeout while the client was reading a response.
    ResponseNotRead,
    /// Timeout while waiting for the client to close its side after the last response.
    LingerTimeout,
    /// Eviction in favour of another client.
    Evicted,
}

impl CloseReason {
    /// Returns the label of the reason in metrics and logs.
    pub(in crate::net) fn label(self) -> &'static str {
        match self {
            CloseReason::ClientClosed => "client_closed",
            CloseReason::ReadFailed => "read_failed",
            CloseReason::WriteFailed => "write_failed",
            CloseReason::ResponseNotRead => "answer_not_read",
            CloseReason::LingerTimeout => "after_last_answer",
            CloseReason::Evicted => "evicted",
        }
    }

    /// Returns whether the client ended the connection.
    fn is_by_client(self) -> bool {
        matches!(self, CloseReason::ClientClosed | CloseReason::ReadFailed)
    }
}

/// Event of a client connection for another subsystem. After the event is handled, reading from the client continues.
pub(super) enum ClientEvent {
    /// Query for the request coordinator. `search_context` is set for requests of the search API.
    Query {
        query_request: Box<QueryRequest>,
        search_context: Option<SearchContext>,
    },
    /// Request for a page under `/-/`.
    Page(Message),
    /// Expiry of the idle timeout. The connection is to be read once more, and closed if the client is still idle.
    IdleTimeout,
}

/// Request that is answered with an error before it reaches the request coordinator.
pub(super) struct InvalidRequest<'a> {
    /// Status of the response.
    pub(super) status: u16,
    /// Description of the error.
    pub(super) reason: &'a dyn std::fmt::Display,
    /// Client's id of the request, if it was received.
    pub(super) id: Option<&'a str>,
}

/// State of other subsystems that affects how clients are served, taken at the time of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServingConditions {
    /// Whether the store is configured, so that requests for store pages may have larger bodies.
    pub(super) has_store: bool,
    /// Whether another process of this mixer runs during a handover and uses half of the memory limit.
    pub(super) shares_memory: bool,
    /// Whether each response closes its connection.
    pub(super) closes_after_response: bool,
}

/// Manager of the client connections. The connections themselves are stored in the connection table of the [`Runtime`].
pub(in crate::net) struct ClientConnections {
    /// Number of open client connections.
    count: usize,
    /// Number of closed connections since the start, by reason.
    closed: BTreeMap<CloseReason, u64>,
    /// Number of error responses to requests that could not be parsed or were invalid, by status.
    invalid_requests: BTreeMap<u16, u64>,
    /// Texts of the pages that take long to render.
    pub(in crate::net) pages: PageCache,
    /// Number of clients above which each response closes its connection.
    close_after_response_above: usize,
    /// Memory that the input, the requests in flight and the responses of all clients take (bytes).
    memory_bytes: usize,
    /// Limit on `memory_bytes` above which no large request is read.
    pub(super) max_buffered_bytes: usize,
    /// Tenant of search API requests without `X-Tenant-Id`.
    pub(super) search_tenant: Option<String>,
    /// Sequence number of the latest search API request.
    pub(super) last_search_number: u64,
}

impl ClientConnections {
    /// Returns a manager without connections. `max_descriptors` and `memory_bytes` are the limits of the process.
    pub(in crate::net) fn new(
        max_descriptors: usize,
        memory_bytes: usize,
        search_tenant: Option<String>,
    ) -> ClientConnections {
        ClientConnections {
            count: 0,
            closed: BTreeMap::new(),
            invalid_requests: BTreeMap::new(),
            pages: PageCache::default(),
            close_after_response_above: (CLOSE_AFTER_RESPONSE_SHARE * max_descriptors as f64
                / DESCRIPTOR_DIVISOR) as usize,
            memory_bytes: 0,
            max_buffered_bytes: memory_bytes / MEMORY_DIVISOR,
            search_tenant,
            last_search_number: 0,
        }
    }

    /// Returns the number of open client connections.
    pub(in crate::net) fn count(&self) -> usize {
        self.count
    }

    /// Returns the number of closed connections since the start, by reason.
    pub(in crate::net) fn closed(&self) -> &BTreeMap<CloseReason, u64> {
        &self.closed
    }

    /// Returns the number of error responses to requests that could not be parsed or were invalid, by status.
    pub(in crate::net) fn invalid_requests(&self) -> &BTreeMap<u16, u64> {
        &self.invalid_requests
    }

    /// Counts and logs a request that is answered with an error because it could not be parsed or is invalid. `id` is the
    /// client's id of the request, if it was received.
    pub(super) fn record_invalid(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        invalid: &InvalidRequest,
    ) {
        increment(&mut self.invalid_requests, invalid.status);
        let client = client_mut(&mut runtime.connections, key);
        let peer = peer_text(client.and_then(|client| client.peer));
        let InvalidRequest { status, reason, id } = invalid;
        runtime.log_peer(|| {
            let id = id.unwrap_or("unknown");
            format!("client {peer}: request {id} answered {status} ({reason})")
        });
    }

    /// Returns whether so many clients are connected that each response has to close its connection. Otherwise clients that
    /// send one request and keep their connection open could use up all connections, and a new client could not connect
    /// until the idle timeout.
    pub(in crate::net) fn is_near_capacity(&self) -> bool {
        self.count > self.close_after_response_above
    }

    /// Updates a client's share of the memory of all clients, after its buffers have changed.
    pub(super) fn count_memory(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        let bytes = client.memory_bytes();
        self.memory_bytes = self.memory_bytes - client.counted_bytes + bytes;
        client.counted_bytes = bytes;
    }

    /// Returns whether the memory of all clients exceeds its limit. `own_bytes` are those of the client that is to be served: the
    /// only client with anything buffered is always served, since the size of a message has its own limit.
    pub(super) fn is_memory_exhausted(
        &self,
        own_bytes: usize,
        conditions: ServingConditions,
    ) -> bool {
        let max_bytes = if conditions.shares_memory {
            self.max_buffered_bytes / 2
        } else {
            self.max_buffered_bytes
        };
        self.memory_bytes > max_bytes && self.memory_bytes > own_bytes
    }

    /// Closes the connections of clients that do not read their responses, the oldest first, until the memory of all clients is
    /// within twice its limit.
    pub(super) fn close_unread_responses(&mut self, runtime: &mut Runtime) {
        while self.memory_bytes > 2 * self.max_buffered_bytes {
            let writing =
                runtime
                    .connections
                    .iter()
                    .filter_map(|(key, connection)| match connection {
                        Connection::Client(client) if client.state == ClientState::Writing => {
                            Some((client.state_since, key))
                        }
                        _ => None,
                    });
            let Some((_, oldest)) = writing.min_by(|a, b| a.0.total_cmp(&b.0)) else {
                return;
            };
            self.close(runtime, oldest, CloseReason::ResponseNotRead);
        }
    }

    /// Records that a client connection was removed from the connection table.
    pub(in crate::net) fn connection_removed(&mut self) {
        self.count -= 1;
    }

    /// Adds an accepted connection to the connection table and registers its socket with the poll.
    pub(super) fn insert(
        &mut self,
        runtime: &mut Runtime,
        stream: TcpStream,
        protocol: Protocol,
        conditions: ServingConditions,
    ) -> ConnectionKey {
        // Without TCP_NODELAY only latency suffers, so a failure is ignored.
        let _ = stream.set_nodelay(true);
        let mut reader = MessageReader::requests(MAX_QUERY_BYTES);
        if conditions.has_store {
            reader = reader.with_larger_bodies(STORE_PREFIX, MAX_VALUE_BYTES);
        }
        let client = ClientConnection::new(stream, protocol, reader, runtime.now);
        let key = runtime
            .connections
            .insert(Connection::Client(Box::new(client)));
        self.count += 1;
        runtime.register(key);
        key
    }

    /// Rejects a connection above the client limit with an error response. An immediate close with unread input would reset
    /// the connection, and the client could lose the response.
    pub(super) fn reject(
        &mut self,
        runtime: &mut Runtime,
        mut stream: TcpStream,
        protocol: Protocol,
        max_clients: usize,
        conditions: ServingConditions,
    ) {
        let bytes = ConnectionError::TooManyClients.response(protocol);
        if self.count < max_clients + MAX_REJECTED_CLIENTS {
            let key = self.insert(runtime, stream, protocol, conditions);
            return self.respond(runtime, key, bytes, true);
        }
        // No spare descriptor is left to keep the connection open, so only input that has already arrived is read.
        let _ = stream.write(&bytes);
        let _ = stream.shutdown(std::net::Shutdown::Write);
        let mut buffer = [0; READ_BUFFER_BYTES];
        let mut remaining_bytes = MAX_QUERY_BYTES;
        while let Ok(count @ 1..) = stream.read(&mut buffer) {
            remaining_bytes = remaining_bytes.saturating_sub(count);
            if remaining_bytes == 0 {
                return;
            }
        }
    }

    /// Adds the client's deadline to the timer queue, unless an earlier timer of the connection is pending. That timer
    /// schedules the deadline when it expires.
    pub(super) fn schedule_deadline(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        let deadline = client.deadline();
        let is_scheduled = client.timer_at > runtime.now && client.timer_at <= deadline;
        if deadline < f64::MAX && !is_scheduled {
            client.timer_at = deadline;
            runtime.timers.add(deadline, Deadline::Connection(key));
        }
    }

    /// Handles an expired timer of the client. The deadline may have changed since the timer was added.
    pub(super) fn handle_timer(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
    ) -> Option<ClientEvent> {
        let client = client_mut(&mut runtime.connections, key)?;
        client.timer_at = 0.0;
        if runtime.now + TIMER_TOLERANCE_S < client.deadline() {
            self.schedule_deadline(runtime, key);
            return None;
        }
        match client.state {
            ClientState::Reading if client.is_idle() => return Some(ClientEvent::IdleTimeout),
            ClientState::Reading => {
                self.respond_with_error(runtime, key, ConnectionError::RequestTimeout);
            }
            ClientState::Lingering => self.close(runtime, key, CloseReason::LingerTimeout),
            ClientState::InFlight(_) | ClientState::AwaitingStore | ClientState::Writing => {
                self.close(runtime, key, CloseReason::ResponseNotRead);
            }
        }
        None
    }

    /// Records that the client's request waits for a store operation.
    pub(in crate::net) fn await_store(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        if let Some(client) = client_mut(&mut runtime.connections, key) {
            client.enter(ClientState::AwaitingStore, runtime.now);
        }
    }

    /// Sets the context of a search API request that is answered without being accepted.
    pub(super) fn set_search_context(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        search_context: Option<SearchContext>,
    ) {
        if let Some(client) = client_mut(&mut runtime.connections, key) {
            client.search_context = search_context;
        }
    }

    /// Sets the earliest time since which the client's input may have waited.
    pub(super) fn set_waits_since(&self, runtime: &mut Runtime, key: ConnectionKey, since: f64) {
        if let Some(client) = client_mut(&mut runtime.connections, key) {
            client.waits_since = since;
        }
    }

    /// Returns the earliest time since which the client's input may have waited for a turn; `f64::MAX` if it has not.
    pub(super) fn waits_since(&self, runtime: &Runtime, key: ConnectionKey) -> f64 {
        match runtime.connections.get(key) {
            Some(Connection::Client(client)) => client.waits_since,
            _ => f64::MAX,
        }
    }

    /// Records that the client has closed its side, before its input is read.
    pub(super) fn mark_disconnected(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        if let Some(client) = client_mut(&mut runtime.connections, key) {
            client.has_disconnected = true;
        }
    }

    /// Returns whether a request of the client waits for its final answer.
    pub(super) fn has_request(&self, runtime: &Runtime, key: ConnectionKey) -> bool {
        matches!(
            runtime.connections.get(key),
            Some(Connection::Client(client)) if client.has_request()
        )
    }

    /// Closes the connection that was chosen for eviction, unless a request has arrived on the connection since. Returns
    /// whether the connection is closed now, by this call or before.
    pub(super) fn evict(&mut self, runtime: &mut Runtime, candidate: EvictionCandidate) -> bool {
        let Some(client) = client_mut(&mut runtime.connections, candidate.key) else {
            return true;
        };
        let is_unchanged = match client.state {
            ClientState::Lingering => true,
            ClientState::Reading => {
                client.is_idle() == candidate.was_idle && !client.may_have_input
            }
            ClientState::InFlight(_) | ClientState::AwaitingStore | ClientState::Writing => false,
        };
        if is_unchanged {
            self.close(runtime, candidate.key, CloseReason::Evicted);
        }
        is_unchanged
    }

    /// Closes the connection of an idle client, unless the client connected within the last `min_age_s` and may be about to
    /// send its first request. The caller must have read the connection in this iteration of the event loop, because data
    /// that a client wrote to an accepted connection counts as received. A connection with unread input is closed once that
    /// is read, if it is idle then.
    pub(super) fn end_if_idle(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        min_age_s: f64,
    ) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        let has_min_age = runtime.now >= client.state_since + min_age_s;
        if !client.is_idle() || !(client.is_idle_after_response() || has_min_age) {
            return;
        }
        self.end_idle(runtime, key);
    }

    /// Ends the connection of an idle client, once its unread input is read.
    fn end_idle(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        if client.may_have_input {
            client.closes_when_idle = true;
        } else {
            self.linger(runtime, key);
        }
    }

    /// Closes idle connections, and all others after their next response.
    pub(in crate::net) fn end_all_after_response(&mut self, runtime: &mut Runtime) {
        for key in self.keys(runtime) {
            let Some(client) = client_mut(&mut runtime.connections, key) else {
                continue;
            };
            client.closes_after_response = true;
            if client.is_idle() {
                self.end_idle(runtime, key);
            }
        }
    }

    /// Returns the keys of all client connections.
    pub(super) fn keys(&self, runtime: &Runtime) -> Vec<ConnectionKey> {
        let clients = |(key, connection): (ConnectionKey, &Connection)| {
            matches!(connection, Connection::Client(_)).then_some(key)
        };
        runtime.connections.iter().filter_map(clients).collect()
    }

    /// Removes a client connection and counts the reason. All client connections are removed here, so that each end is
    /// counted once.
    pub(super) fn close(&mut self, runtime: &mut Runtime, key: ConnectionKey, reason: CloseReason) {
        increment(&mut self.closed, reason);
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        if !reason.is_by_client() {
            let peer = peer_text(client.peer);
            runtime
                .log
                .write_peer(runtime.now, runtime.clock.elapsed_s(runtime.now), || {
                    format!("client {peer}: connection closed ({})", reason.label())
                });
        }
        if client.has_request() && !reason.is_by_client() {
            let rule = Invariant::Unanswered;
            runtime.coordinator.invariants_mut().violated(rule);
            runtime.log(&format!(
                "invariant violated: {}: client connection closed ({}) before the final answer",
                rule.label(),
                reason.label()
            ));
        }
        if let Some(Connection::Client(client)) = runtime.connections.remove(key) {
            self.memory_bytes -= client.counted_bytes;
            runtime
                .timers
                .remove(client.timer_at, Deadline::Connection(key));
        }
        self.connection_removed();
    }
}

fn peer_text(peer: Option<SocketAddr>) -> String {
    peer.map_or("unknown".into(), |peer| peer.to_string())
}

/// Returns the client connection with this key, if it is still open.
pub(super) fn client_mut(
    connections: &mut SlotMap<ConnectionKey, Connection>,
    key: ConnectionKey,
) -> Option<&mut ClientConnection> {
    match connections.get_mut(key) {
        Some(Connection::Client(client)) => Some(client),
        _ => None,
    }
}
