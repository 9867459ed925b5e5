//! The connections to leaf servers: which one carries a call, and when another one is opened.
//!
//! This file owns the choice of a connection and the count of them; `sending.rs` writes, `events.rs` reads and ends. It must
//! never choose the leaf server (the decision module does), and never let anything new wait for a draining one.

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

/// Bounds on the bytes that may wait to be written on one connection; between them the memory decides.
const MIN_WAITING_BYTES: usize = 64 * 1024;
const MAX_WAITING_BYTES: usize = 512 * 1024;
/// Of the memory, one byte in so many may wait to be written, over all connections.
const MEMORY_DIVISOR: usize = 8;

/// A call for which no connection was found, and a new one may be opened.
pub(in crate::net) struct UnplacedCall {
    replica: ReplicaId,
    address: SocketAddr,
    wire_format: WireFormat,
    parts: Vec<CallPart>,
}

impl UnplacedCall {
    /// Where a connection is to be opened.
    pub(in crate::net) fn address(&self) -> SocketAddr {
        self.address
    }
}

/// What has become of a call.
pub(in crate::net) enum Placement {
    /// It is on a connection, or its attempts have ended.
    Done,
    /// The leaf server takes one part a call: these are to be sent one by one.
    OnePartPerCall(Vec<CallPart>),
    /// It needs another connection; its parts wait for [`ReplicaConnections::send_on_new`] or
    /// [`ReplicaConnections::open_failed`].
    NeedsConnection(UnplacedCall),
}

/// What a connection has to satisfy to carry a call.
struct Requirements {
    address: Option<SocketAddr>,
    /// Whether the leaf server may get something new later than now.
    is_ready: bool,
    max_parts: usize,
    silence_s: f64,
}

/// A connection that accepts a call.
struct Candidate {
    key: ConnectionKey,
    is_connected: bool,
}

/// The connections to leaf servers, as a whole. Times are of the loop's clock (seconds).
pub(in crate::net) struct ReplicaConnections {
    count: usize,
    /// The connection on which each attempt is in flight.
    in_flight: SecondaryMap<AttemptKey, ConnectionKey>,
    /// Connections whose calls leave in the next turn of the loop.
    postponed: Vec<ConnectionKey>,
    /// Bytes that may wait to be written on one connection, at most.
    max_waiting_bytes: usize,
}

impl ReplicaConnections {
    /// None yet; the limits are those of the process: memory (bytes), and connections to clients and leaf servers.
    pub(in crate::net) fn new(memory_bytes: usize, max_connections: usize) -> ReplicaConnections {
        let max_replica_connections = pool::shares(max_connections, usize::MAX).replicas;
        ReplicaConnections {
            count: 0,
            in_flight: SecondaryMap::new(),
            postponed: Vec::new(),
            max_waiting_bytes: (memory_bytes / MEMORY_DIVISOR / max_replica_connections)
                .clamp(MIN_WAITING_BYTES, MAX_WAITING_BYTES),
        }
    }

    /// How many connections there are.
    pub(in crate::net) fn count(&self) -> usize {
        self.count
    }

    /// Whether calls were held back in this turn of the loop.
    pub(in crate::net) fn has_postponed_writes(&self) -> bool {
        !self.postponed.is_empty()
    }

    /// The calls of a connection leave in the next turn of the loop.
    pub(super) fn postpone_write(&mut self, key: ConnectionKey) {
        self.postponed.push(key);
    }

    /// The connections whose calls were held back, which is none from now on.
    pub(in crate::net) fn take_postponed(&mut self) -> Vec<ConnectionKey> {
        std::mem::take(&mut self.postponed)
    }

    /// The connection on which an attempt is in flight.
    pub(super) fn connection_of(&self, attempt: AttemptKey) -> Option<ConnectionKey> {
        self.in_flight.get(attempt).copied()
    }

    /// An attempt is no longer in flight. Gives the connection on which it was.
    pub(super) fn forget_attempt(&mut self, attempt: AttemptKey) -> Option<ConnectionKey> {
        self.in_flight.remove(attempt)
    }

    /// Reports to the coordinator how an attempt ended.
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

    /// Sends a call on a connection that accepts it. `list_until` is until when the endpoint list may be acted on.
    pub(in crate::net) fn place_call(
        &mut self,
        runtime: &mut Runtime,
        replica: ReplicaId,
        mut parts: Vec<CallPart>,
        list_until: f64,
    ) -> Placement {
        // An attempt that was cancelled since the coordinator wanted it sent never leaves.
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
            is_ready: endpoint.ready,
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

    /// Drops connections on which a part would be lost: silent ones that carry nothing any more, and ones that a loop that
    /// was held up has left unused for so long that the leaf server may be closing them.
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

    /// Queues a call on a connection and writes what can leave now.
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
        self.flush_or_end(runtime, key, list_until);
    }

    /// Makes sure that there may be another connection, among `max_connections`: the one that has been unused for the
    /// longest is dropped for it. Says whether it may be opened.
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
            shards: runtime.deployment.shards,
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

    /// No connection could be opened for a call: its attempts end. `error` is why, where the system refused it.
    pub(in crate::net) fn open_failed(
        &mut self,
        runtime: &mut Runtime,
        call: &UnplacedCall,
        error: Option<&io::Error>,
    ) {
        if let Some(error) = error {
            runtime.log(&format!("replica {:?}: {error}", call.replica));
        }
        // A connection is opened only to a leaf server that is ready.
        end_unsent(runtime, &call.parts, true);
    }

    /// Drops a connection. The attempts in flight on it must have been taken from it before.
    pub(super) fn drop_connection(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        if let Some(Connection::Replica(connection)) = runtime.connections.remove(key) {
            self.forget(runtime, key, &connection);
        }
    }

    /// A connection is no longer in the table.
    pub(in crate::net) fn forget(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        connection: &ReplicaConnection,
    ) {
        self.count -= 1;
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

    /// Drops the connections to a leaf server that carry nothing.
    pub(in crate::net) fn close_idle(&mut self, runtime: &mut Runtime, replica: ReplicaId) {
        for key in connections_to(runtime, replica) {
            if matches!(runtime.connections.get(key), Some(Connection::Replica(connection)) if connection.is_unused())
            {
                self.drop_connection(runtime, key);
            }
        }
    }
}

/// The connections to a leaf server.
pub(super) fn connections_to(runtime: &mut Runtime, replica: ReplicaId) -> Vec<ConnectionKey> {
    runtime
        .directory
        .endpoint(replica)
        .map(|endpoint| endpoint.connections.clone())
        .unwrap_or_default()
}

/// A connection that accepts a call; one that is up comes before one that is being established.
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
        // A draining leaf server gets something new for a short while yet, but only at once: a connection that is being
        // established, or has bytes waiting, could bring it there too late.
        let can_write_now =
            required.is_ready || (connection.is_connected() && connection.has_nothing_to_send());
        if Some(connection.address()) != required.address
            || !can_write_now
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

/// Ends attempts that did not leave, and so never ran. That counts against the leaf server only where something new may go
/// there.
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

/// A connection that is silent for longer is suspect (seconds).
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

/// How long a connection may stand unused (seconds): the mixer closes it before the leaf server does, so that no part is
/// lost on one that is being closed there.
pub(super) fn max_idle_s(runtime: &Runtime) -> f64 {
    IDLE_TIMEOUT_FRACTION * runtime.deployment.connection_idle_s
}
