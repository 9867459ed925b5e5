//! The pool of connections to leaf servers: selects the connection for a call, and decides when another one is opened.
//! `sending.rs` writes, `events.rs` reads and closes. The decision module chooses the leaf server. Calls to a draining leaf
//! server are never queued, because they could arrive after its drain grace.

use crate::connections::pool;
use crate::decisions::api::{Outcome, ReplicaId};
use crate::endpoints::directory::WireFormat;
use crate::net::connection_table::Connection;
use crate::net::event_loop::IDLE_TIMEOUT_FRACTION;
use crate::net::replica::connection::{ReplicaConnection, ReplicaConnectionSetup};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::Deadline;
use crate::net::ConnectionKey;
use crate::requests::coordinator::{AttemptKey, CallPart};
use crate::requests::invariants::Invariant;
use mio::net::TcpStream;
use slotmap::SecondaryMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Bounds of the limit on unwritten bytes on one connection; between them the limit depends on the memory.
const MIN_WAITING_BYTES: usize = 64 * 1024;
const MAX_WAITING_BYTES: usize = 512 * 1024;
/// Divisor of the memory limit that gives the limit on unwritten bytes over all connections.
const MEMORY_DIVISOR: usize = 8;

/// A call that no connection accepts and for which a new connection may be opened.
pub(in crate::net) struct UnplacedCall {
    replica: ReplicaId,
    address: SocketAddr,
    wire_format: WireFormat,
    parts: Vec<CallPart>,
}

impl UnplacedCall {
    /// Returns the address to which a connection is to be opened.
    pub(in crate::net) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Result of placing a call on a connection.
pub(in crate::net) enum Placement {
    /// The call is on a connection, or its attempts have ended.
    Done,
    /// The leaf server accepts one part per call, so the parts have to be sent separately.
    OnePartPerCall(Vec<CallPart>),
    /// The call needs another connection; [`ReplicaConnections::send_on_new`] or [`ReplicaConnections::open_failed`] must
    /// be called next.
    NeedsConnection(UnplacedCall),
}

/// Conditions that a connection has to satisfy to carry a call.
struct Requirements {
    address: Option<SocketAddr>,
    /// Whether new calls may wait in a queue for the leaf server; if not, a call has to be written at once.
    is_ready: bool,
    max_parts: usize,
    silence_s: f64,
}

/// A connection that accepts a call.
struct Candidate {
    key: ConnectionKey,
    is_connected: bool,
}

/// All connections to leaf servers. Times are those of the event loop's clock (seconds).
pub(in crate::net) struct ReplicaConnections {
    count: usize,
    /// Connection by attempt in flight.
    in_flight: SecondaryMap<AttemptKey, ConnectionKey>,
    /// Connections whose calls are written in the next iteration of the event loop.
    postponed: Vec<ConnectionKey>,
    /// Limit on unwritten bytes per connection.
    max_waiting_bytes: usize,
    /// Bytes of incomplete answers on all connections, and their limit.
    buffered_bytes: usize,
    max_buffered_bytes: usize,
}

impl ReplicaConnections {
    /// Creates an empty pool; the limits are those of the process: its memory (bytes), and its connections to clients and
    /// leaf servers.
    pub(in crate::net) fn new(memory_bytes: usize, max_connections: usize) -> ReplicaConnections {
        let max_replica_connections = pool::shares(max_connections, usize::MAX).replicas;
        ReplicaConnections {
            count: 0,
            in_flight: SecondaryMap::new(),
            postponed: Vec::new(),
            max_waiting_bytes: (memory_bytes / MEMORY_DIVISOR / max_replica_connections)
                .clamp(MIN_WAITING_BYTES, MAX_WAITING_BYTES),
            buffered_bytes: 0,
            max_buffered_bytes: memory_bytes / MEMORY_DIVISOR,
        }
    }

    /// Returns the number of connections.
    pub(in crate::net) fn count(&self) -> usize {
        self.count
    }

    /// Updates a connection's share of the buffered bytes. Returns whether all together exceed their limit.
    pub(super) fn count_buffered(&mut self, connection: &mut ReplicaConnection) -> bool {
        let bytes = connection.buffered_bytes();
        self.buffered_bytes = self.buffered_bytes - connection.counted_bytes + bytes;
        connection.counted_bytes = bytes;
        self.buffered_bytes > self.max_buffered_bytes
    }

    /// Returns whether writes were postponed in this iteration of the event loop.
    pub(in crate::net) fn has_postponed_writes(&self) -> bool {
        !self.postponed.is_empty()
    }

    /// Postpones writing to a connection to the next iteration of the event loop.
    pub(super) fn postpone_write(&mut self, key: ConnectionKey) {
        self.postponed.push(key);
    }

    /// Takes the connections whose writes were postponed.
    pub(in crate::net) fn take_postponed(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.postponed)
    }

    /// Returns the connection on which an attempt is in flight.
    pub(super) fn connection_of(&self, attempt: AttemptKey) -> Option<ConnectionKey> {
        self.in_flight.get(attempt).copied()
    }

    /// Removes an attempt that is no longer in flight. Returns its connection.
    pub(super) fn remove_attempt(&mut self, attempt: AttemptKey) -> Option<ConnectionKey> {
        self.in_flight.remove(attempt)
    }

    /// Reports the outcome of an attempt to the coordinator.
    pub(super) fn end_attempt(
        &mut self,
        runtime: &mut Runtime,
        attempt: AttemptKey,
        outcome: Outcome,
        value: Option<Rc<str>>,
    ) {
        self.in_flight.remove(attempt);
        runtime.coordinator.attempt_ended(
            runtime.now,
            attempt,
            outcome,
            value,
            &mut runtime.commands,
        );
    }

    /// Sends a call on a connection that accepts it. `list_until` is the time until which the endpoint list may be used.
    pub(in crate::net) fn place_call(
        &mut self,
        runtime: &mut Runtime,
        replica: ReplicaId,
        mut parts: Vec<CallPart>,
        list_until: f64,
    ) -> Placement {
        // An attempt that was cancelled after the coordinator issued the call is not sent.
        parts.retain(|part| runtime.coordinator.is_in_flight(part.attempt));
        if parts.is_empty() {
            return Placement::Done;
        }
        let silence_s = max_silence_s(runtime);
        let Some(endpoint) = runtime.directory.endpoint(replica) else {
            end_unsent(runtime, &parts, false);
            return Placement::Done;
        };
        let wire_format = endpoint.wire_format;
        let required = Requirements {
            address: endpoint.address,
            is_ready: endpoint.is_ready,
            max_parts: runtime.deployment.streams_per_connection,
            silence_s,
        };
        if wire_format == WireFormat::Search && parts.len() > 1 {
            return Placement::OnePartPerCall(parts);
        }
        let mut connections = endpoint.connections.clone();
        self.drop_unusable(runtime, &mut connections, silence_s);
        if let Some(key) = find_connection(runtime, &connections, &parts, &required) {
            self.send_on(runtime, key, &parts, list_until);
            return Placement::Done;
        }
        let max_connections = match wire_format {
            WireFormat::Search => required.max_parts,
            WireFormat::Frames => {
                pool::max_connections_to_replica(runtime.deployment.policy.aggregators)
            }
        };
        let may_open = required.is_ready && connections.len() < max_connections;
        match required.address.filter(|_| may_open) {
            Some(address) => Placement::NeedsConnection(UnplacedCall {
                replica,
                address,
                wire_format,
                parts,
            }),
            None => {
                end_unsent(runtime, &parts, required.is_ready);
                Placement::Done
            }
        }
    }

    /// Drops connections on which a part would be lost: silent connections without a part in flight, and
    /// connections that a delayed event loop has left unused for so long that the leaf server may be closing them.
    fn drop_unusable(
        &mut self,
        runtime: &mut Runtime,
        connections: &mut Vec<ConnectionKey>,
        silence_s: f64,
    ) {
        let now = runtime.now;
        let max_idle_s = max_idle_s(runtime);
        connections.retain(|key| {
            let Some(Connection::Replica(connection)) = runtime.connections.get(*key) else {
                return true;
            };
            let is_silent = connection.is_suspect(now, silence_s);
            let is_idle = connection.is_connected() && now >= connection.used_at() + max_idle_s;
            let is_unusable = connection.is_unused() && (is_silent || is_idle);
            if is_unusable {
                self.drop_connection(runtime, *key);
            }
            !is_unusable
        });
    }

    /// Queues a call on a connection and writes as much as possible now.
    fn send_on(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        parts: &[CallPart],
        list_until: f64,
    ) {
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        for part in parts {
            self.in_flight.insert(part.attempt, key);
        }
        connection.queue_call(parts, runtime.now);
        self.flush_or_close(runtime, key, list_until);
    }

    /// Closes the connection that has been unused for the longest time if `max_connections` are open. Returns
    /// whether another connection may be opened.
    pub(in crate::net) fn ensure_capacity(
        &mut self,
        runtime: &mut Runtime,
        max_connections: usize,
    ) -> bool {
        if self.count < max_connections {
            return true;
        }
        let unused = runtime
            .connections
            .iter()
            .filter_map(|(key, connection)| match connection {
                Connection::Replica(connection) if connection.is_unused() => {
                    Some((connection.used_at(), key))
                }
                _ => None,
            });
        let Some((_, oldest)) = unused.min_by(|a, b| a.0.total_cmp(&b.0)) else {
            return false;
        };
        self.drop_connection(runtime, oldest);
        true
    }

    /// Sends a call on a new connection.
    pub(in crate::net) fn send_on_new(
        &mut self,
        runtime: &mut Runtime,
        stream: TcpStream,
        call: &UnplacedCall,
        list_until: f64,
    ) {
        let key = self.add(runtime, stream, call);
        self.send_on(runtime, key, &call.parts, list_until);
    }

    fn add(
        &mut self,
        runtime: &mut Runtime,
        stream: TcpStream,
        call: &UnplacedCall,
    ) -> ConnectionKey {
        let setup = ReplicaConnectionSetup {
            replica: call.replica,
            address: call.address,
            wire_format: call.wire_format,
            max_waiting_bytes: self.max_waiting_bytes,
        };
        let connection = ReplicaConnection::new(stream, setup, runtime.now);
        let key = runtime
            .connections
            .insert(Connection::Replica(Box::new(connection)));
        self.count += 1;
        if let Some(endpoint) = runtime.directory.endpoint(call.replica) {
            endpoint.connections.push(key);
        }
        runtime.register(key);
        runtime.timers.add(
            runtime.now + runtime.deployment.connect_timeout_s,
            Deadline::Connection(key),
        );
        key
    }

    /// Ends the attempts of a call for which no connection could be opened. `error` is the reason if the system refused it.
    pub(in crate::net) fn open_failed(
        &mut self,
        runtime: &mut Runtime,
        call: &UnplacedCall,
        error: Option<&io::Error>,
    ) {
        if let Some(error) = error {
            runtime.log(&format!("replica {:?}: {error}", call.replica));
        }
        // A connection is only opened to a leaf server that is ready.
        end_unsent(runtime, &call.parts, true);
    }

    /// Drops a connection. Its attempts in flight must have been removed before.
    pub(super) fn drop_connection(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        if let Some(Connection::Replica(connection)) = runtime.connections.remove(key) {
            self.connection_removed(runtime, key, &connection);
        }
    }

    /// Records that a connection was removed from the table.
    pub(in crate::net) fn connection_removed(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        connection: &ReplicaConnection,
    ) {
        self.count -= 1;
        self.buffered_bytes -= connection.counted_bytes;
        if !connection.is_unused() {
            let rule = Invariant::AttemptLost;
            runtime.coordinator.invariants_mut().violated(rule);
            runtime.log(&format!(
                "invariant violated: {}: a connection in use was dropped",
                rule.label()
            ));
        }
        if let Some(endpoint) = runtime.directory.endpoint(connection.replica()) {
            endpoint.connections.retain(|other| *other != key);
        }
    }

    /// Drops the connections to a leaf server that carry no attempt.
    pub(in crate::net) fn close_idle(&mut self, runtime: &mut Runtime, replica: ReplicaId) {
        for key in connections_to(runtime, replica) {
            if matches!(runtime.connections.get(key), Some(Connection::Replica(connection)) if connection.is_unused())
            {
                self.drop_connection(runtime, key);
            }
        }
    }
}

/// Returns the connections to a leaf server.
pub(super) fn connections_to(runtime: &mut Runtime, replica: ReplicaId) -> Vec<ConnectionKey> {
    runtime
        .directory
        .endpoint(replica)
        .map(|endpoint| endpoint.connections.clone())
        .unwrap_or_default()
}

/// Returns a connection that accepts a call; an established connection is preferred to one that is being established.
fn find_connection(
    runtime: &mut Runtime,
    connections: &[ConnectionKey],
    parts: &[CallPart],
    required: &Requirements,
) -> Option<ConnectionKey> {
    let mut chosen: Option<Candidate> = None;
    for key in connections {
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(*key) else {
            continue;
        };
        // A draining leaf server still receives new calls for a short time, but only if they are written at once: a
        // connection that is being established, or has bytes waiting, could deliver them too late.
        let arrives_in_time =
            required.is_ready || (connection.is_connected() && connection.has_nothing_to_send());
        if Some(connection.address()) != required.address
            || !arrives_in_time
            || !connection.can_accept(parts, required.max_parts, runtime.now, required.silence_s)
        {
            continue;
        }
        if chosen
            .as_ref()
            .is_none_or(|chosen| connection.is_connected() && !chosen.is_connected)
        {
            chosen = Some(Candidate {
                key: *key,
                is_connected: connection.is_connected(),
            });
        }
    }
    chosen.map(|chosen| chosen.key)
}

/// Ends attempts that were not sent, and so were never executed. The failure counts against the leaf server only if the
/// server is ready.
fn end_unsent(runtime: &mut Runtime, parts: &[CallPart], is_ready: bool) {
    let outcome = if is_ready {
        Outcome::ConnectFailed
    } else {
        Outcome::Superseded
    };
    for part in parts {
        runtime.coordinator.attempt_ended(
            runtime.now,
            part.attempt,
            outcome,
            None,
            &mut runtime.commands,
        );
    }
}

/// Returns the duration of silence after which a connection is suspect (seconds).
pub(super) fn max_silence_s(runtime: &Runtime) -> f64 {
    let objectives = runtime
        .deployment
        .policy
        .classes
        .iter()
        .map(|class| class.latency_objective_s);
    pool::suspect_after_s(
        objectives.fold(f64::MAX, f64::min),
        runtime.coordinator.slowest_class_p95_s(),
    )
}

/// Returns the time for which a connection may stay unused (seconds): the mixer closes it before the leaf server does, so
/// that no part is lost on a connection that the leaf server is closing.
pub(super) fn max_idle_s(runtime: &Runtime) -> f64 {
    IDLE_TIMEOUT_FRACTION * runtime.deployment.connection_idle_s
}
