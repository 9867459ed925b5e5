//! All connections of clients: accepting, time limits, closing.
//!
//! This file owns how many clients there are and how each one's connection ends; `reading` and `writing` hold the rest
//! of [`ClientConnections`]. It must never decide about a request (the request coordinator does), never take
//! descriptors that leaf servers and discovery need, and never close a connection on which a request may have come
//! without reading it once more.

use crate::net::client::connection::{ClientConnection, ClientState, READ_BUFFER_BYTES};
use crate::net::client::connection_error::ConnectionError;
use crate::net::client::eviction::EvictionCandidate;
use crate::net::client::opensearch::SearchContext;
use crate::net::client::pages::STORE_PREFIX;
use crate::net::connection_table::Connection;
use crate::net::http::{Message, Reader};
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

/// Longest body of a client's query.
const MAX_QUERY_BYTES: usize = 64 * 1024;
/// Clients beyond the capacity that get an error and a clean end of their connections: they use spare descriptors.
const MAX_REJECTED_CLIENTS: usize = 8;
/// Clients have one part in so many of all descriptors at most.
const DESCRIPTOR_DIVISOR: f64 = 3.0;
/// Beyond this share of the clients' descriptors each response is the last one on its connection.
const CROWDED_SHARE: f64 = 0.5;
/// Incomplete requests take one part in so many of the memory at most.
const MEMORY_DIVISOR: usize = 8;

/// Why a client's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::net) enum CloseReason {
    /// The client closed its side.
    ClientClosed,
    /// It was reset, or could not be read.
    ReadFailed,
    /// A response could not be written.
    WriteFailed,
    /// A response was not read in time.
    AnswerNotRead,
    /// Its last response is out, and the client did not close in time.
    AfterLastAnswer,
    /// It was closed in favour of another client.
    Evicted,
}

impl CloseReason {
    /// Its label in metrics and logs.
    pub(in crate::net) fn label(self) -> &'static str {
        match self {
            CloseReason::ClientClosed => "client_closed",
            CloseReason::ReadFailed => "read_failed",
            CloseReason::WriteFailed => "write_failed",
            CloseReason::AnswerNotRead => "answer_not_read",
            CloseReason::AfterLastAnswer => "after_last_answer",
            CloseReason::Evicted => "evicted",
        }
    }

    /// Whether the client itself ended the connection.
    fn is_by_client(self) -> bool {
        matches!(self, CloseReason::ClientClosed | CloseReason::ReadFailed)
    }
}

/// What concerns other subsystems; the loop routes it and then reads the client on.
pub(super) enum ClientEvent {
    /// A query for the request coordinator, with the context that a response of the search API needs.
    Query {
        query_request: Box<QueryRequest>,
        search_context: Option<SearchContext>,
    },
    /// A request for one of the pages.
    Page(Message),
    /// The client has been idle for too long: it is to be read once more, and ended if it still is.
    IdleTimeout,
}

/// What other subsystems have to say on how clients are served, at the moment of a call.
#[derive(Clone, Copy, Debug)]
pub(super) struct ServingConditions {
    /// The store is set up, and requests to its pages may have larger bodies.
    pub(super) has_store: bool,
    /// Another process of the same mixer runs beside this one, and has half of the memory.
    pub(super) shares_memory: bool,
    /// Each response is the last one on its connection.
    pub(super) closes_after_response: bool,
}

/// All connections of clients; the connections themselves stand in the table of the [`Runtime`].
pub(in crate::net) struct ClientConnections {
    /// How many there are.
    count: usize,
    /// Ended ones, by reason.
    closed: BTreeMap<CloseReason, u64>,
    /// Clients that may have sent more while a response was written.
    pub(super) resumed: Vec<ConnectionKey>,
    /// With more clients than this each response is the last one on its connection.
    crowded_above: usize,
    /// Bytes of incomplete requests, over all clients, at most.
    pub(super) max_buffered_bytes: usize,
    /// The tenant of the search API's clients that name none.
    pub(super) search_tenant: Option<String>,
    /// Number of the last request of the search API.
    pub(super) last_search_number: u64,
}

impl ClientConnections {
    /// No connections yet. The limits are those of the process: descriptors, and memory in bytes.
    pub(in crate::net) fn new(
        max_descriptors: usize,
        memory_bytes: usize,
        search_tenant: Option<String>,
    ) -> ClientConnections {
        ClientConnections {
            count: 0,
            closed: BTreeMap::new(),
            resumed: Vec::new(),
            crowded_above: (CROWDED_SHARE * max_descriptors as f64 / DESCRIPTOR_DIVISOR) as usize,
            max_buffered_bytes: memory_bytes / MEMORY_DIVISOR,
            search_tenant,
            last_search_number: 0,
        }
    }

    /// How many clients are connected.
    pub(in crate::net) fn count(&self) -> usize {
        self.count
    }

    /// How many connections have ended since the start, by reason.
    pub(in crate::net) fn closed(&self) -> &BTreeMap<CloseReason, u64> {
        &self.closed
    }

    /// Whether there are so many clients that each response has to end its connection: where each sends one request and
    /// then keeps its connection, the next client could open none until the idle ones are closed.
    pub(in crate::net) fn is_crowded(&self) -> bool {
        self.count > self.crowded_above
    }

    /// Whether clients wait to be read on after their responses.
    pub(in crate::net) fn has_resumed(&self) -> bool {
        !self.resumed.is_empty()
    }

    /// Takes the clients that are to be read on after their responses.
    pub(in crate::net) fn take_resumed(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.resumed)
    }

    /// Notes that a client was taken out of the table of connections.
    pub(in crate::net) fn connection_removed(&mut self) {
        self.count -= 1;
    }

    /// Takes an accepted connection into the table and has the poll watch it.
    pub(super) fn insert(
        &mut self,
        runtime: &mut Runtime,
        stream: TcpStream,
        protocol: Protocol,
        conditions: ServingConditions,
    ) -> ConnectionKey {
        // Only latency would suffer.
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::requests(MAX_QUERY_BYTES);
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

    /// Ends a connection for which there is no capacity, with an error that says so. A close at once over what the
    /// client has sent, or still sends, would reset the connection and destroy that error.
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
        // No descriptor is left to wait with: what has come is read, and what comes later is not waited for.
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

    /// Puts the client's deadline into the timer queue, unless an earlier one there leads to it.
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

    /// Handles a timer of the client; its deadline may have moved since.
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
            ClientState::Lingering => self.close(runtime, key, CloseReason::AfterLastAnswer),
            ClientState::InFlight(_) | ClientState::AwaitingStore | ClientState::Writing => {
                self.close(runtime, key, CloseReason::AnswerNotRead);
            }
        }
        None
    }

    /// Notes that the client's request waits for an operation of the store.
    pub(in crate::net) fn await_store(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        if let Some(client) = client_mut(&mut runtime.connections, key) {
            client.enter(ClientState::AwaitingStore, runtime.now);
        }
    }

    /// Whether a client's request waits for its final answer.
    pub(super) fn has_request(&self, runtime: &Runtime, key: ConnectionKey) -> bool {
        matches!(
            runtime.connections.get(key),
            Some(Connection::Client(client)) if client.has_request()
        )
    }

    /// Closes the connection that was chosen for eviction, unless a request has come on it since. Whether a client has
    /// gone, by this or by itself.
    pub(super) fn evict(&mut self, runtime: &mut Runtime, candidate: EvictionCandidate) -> bool {
        let Some(client) = client_mut(&mut runtime.connections, candidate.key) else {
            return true;
        };
        let is_unchanged = match client.state {
            ClientState::Lingering => true,
            ClientState::Reading => client.is_idle() == candidate.was_idle,
            ClientState::InFlight(_) | ClientState::AwaitingStore | ClientState::Writing => false,
        };
        if is_unchanged {
            self.close(runtime, candidate.key, CloseReason::Evicted);
        }
        is_unchanged
    }

    /// Ends an idle client's connection, unless it connected within the last `fresh_s` and may be about to send a
    /// request. The caller must have read it in this turn: what a client wrote to a connection that was accepted counts
    /// as received.
    pub(super) fn end_if_idle(&mut self, runtime: &mut Runtime, key: ConnectionKey, fresh_s: f64) {
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        let is_old = runtime.now >= client.state_since + fresh_s;
        if client.is_idle() && (client.is_idle_after_response() || is_old) {
            self.linger(runtime, key);
        }
    }

    /// Makes the next response the last one on each connection, and ends those that are idle.
    pub(in crate::net) fn end_all_after_response(&mut self, runtime: &mut Runtime) {
        for key in self.keys(runtime) {
            let Some(client) = client_mut(&mut runtime.connections, key) else {
                continue;
            };
            client.closes_after_response = true;
            if client.is_idle() {
                self.linger(runtime, key);
            }
        }
    }

    /// The keys of all clients.
    pub(super) fn keys(&self, runtime: &Runtime) -> Vec<ConnectionKey> {
        let clients = |(key, connection): (ConnectionKey, &Connection)| {
            matches!(connection, Connection::Client(_)).then_some(key)
        };
        runtime.connections.iter().filter_map(clients).collect()
    }

    /// Removes a client's connection: the one place where that happens, by our doing or by the client's.
    pub(super) fn close(&mut self, runtime: &mut Runtime, key: ConnectionKey, reason: CloseReason) {
        increment(&mut self.closed, reason);
        let Some(client) = client_mut(&mut runtime.connections, key) else {
            return;
        };
        if client.has_request() && !reason.is_by_client() {
            let rule = Invariant::Unanswered;
            runtime.coordinator.invariants_mut().violated(rule);
            runtime.log(&format!(
                "invariant violated: {}: closed as {} over a request",
                rule.label(),
                reason.label()
            ));
        }
        runtime.connections.remove(key);
        self.connection_removed();
    }
}

/// The client of a key, if it is still connected.
pub(super) fn client_mut(
    connections: &mut SlotMap<ConnectionKey, Connection>,
    key: ConnectionKey,
) -> Option<&mut ClientConnection> {
    match connections.get_mut(key) {
        Some(Connection::Client(client)) => Some(client),
        _ => None,
    }
}
