//! The connections of an emulated mixer to leaf servers in virtual time.
//!
//! The pool follows the same rules as the daemon's (`net/replica/pool.rs` in the event loop, `connections/pool.rs` for the
//! limits), so that emulated runs include the cost of handshakes and the effect of silent connections. The pool knows nothing
//! about the state of a leaf server that the daemon would not know, and draws no random numbers itself.

use std::collections::BTreeMap;
use wharfhub::connections::pool;
use wharfhub::requests::coordinator::{AttemptKey, CallPart};

/// Share of a leaf server's idle timeout after which the mixer closes an idle connection, as in the daemon.
const IDLE_SHARE: f64 = 0.8;

struct Connection {
    id: u64,
    is_open: bool,
    in_flight: Vec<AttemptKey>,
    waiting: Vec<CallPart>, // parts to send once the connection is established
    used_at: f64,
    unanswered_since: Option<f64>, // first unanswered send, or last answer while others are outstanding
    is_silent: bool,               // fault: the connection stays open but carries no data
}

impl Connection {
    fn is_suspect(&self, now: f64, suspect_after_s: f64) -> bool {
        self.is_open
            && self
                .unanswered_since
                .is_some_and(|at| now > at + suspect_after_s)
    }
}

/// State of a mixer on which the choice of a connection depends.
pub struct SelectionContext {
    /// Current time (seconds).
    pub now: f64,
    /// Shortest latency objective of all classes (seconds).
    pub shortest_objective_s: f64,
    /// 95th percentile latency of the slowest class (seconds); not finite if unknown.
    pub late_s: f64,
    /// Maximum number of concurrent parts on a connection.
    pub max_streams: usize,
}

impl SelectionContext {
    fn suspect_after_s(&self) -> f64 {
        pool::suspect_after_s(self.shortest_objective_s, self.late_s)
    }
}

/// Connection chosen for a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selection {
    /// Established connection with this id.
    Open(u64),
    /// Connection with this id that is still being established; the call has to wait for it.
    Connecting(u64),
    /// New connection with this id, which the caller has to establish.
    New(u64),
    /// No connection: none has room, and the limit for the leaf server is reached.
    PoolFull,
}

/// All connections of one mixer to leaf servers.
pub struct ConnectionPool {
    max_per_server: usize,
    idle_s: f64,
    leaf_servers: BTreeMap<u32, Vec<Connection>>,
    last_id: u64,
}

impl ConnectionPool {
    /// Creates an empty pool for one of `mixers` mixers; leaf servers close connections that were idle for `idle_s` seconds.
    pub fn new(mixers: u32, idle_s: f64) -> ConnectionPool {
        ConnectionPool {
            max_per_server: pool::max_connections_to_replica(mixers),
            idle_s,
            leaf_servers: BTreeMap::new(),
            last_id: 0,
        }
    }

    fn connection(&mut self, leaf_server: u32, id: u64) -> Option<&mut Connection> {
        self.leaf_servers
            .get_mut(&leaf_server)?
            .iter_mut()
            .find(|connection| connection.id == id)
    }

    /// Returns the ids of all connections to a leaf server.
    pub fn ids(&self, leaf_server: u32) -> Vec<u64> {
        self.leaf_servers
            .get(&leaf_server)
            .map(|connections| connections.iter().map(|connection| connection.id).collect())
            .unwrap_or_default()
    }

    /// Removes an attempt that waits for its connection. Returns whether the attempt was waiting.
    pub fn withdraw_unsent(&mut self, attempt: AttemptKey) -> bool {
        self.leaf_servers.values_mut().flatten().any(|connection| {
            let before = connection.waiting.len();
            connection.waiting.retain(|part| part.attempt != attempt);
            connection.waiting.len() < before
        })
    }

    /// Selects the connection for a call of `parts` parts, after closing unused connections that are idle or suspect. A new
    /// connection is added to the pool at once.
    pub fn select(
        &mut self,
        leaf_server: u32,
        parts: usize,
        context: &SelectionContext,
    ) -> Selection {
        let (now, suspect_after_s, idle_s) = (
            context.now,
            context.suspect_after_s(),
            IDLE_SHARE * self.idle_s,
        );
        let connections = self.leaf_servers.entry(leaf_server).or_default();
        connections.retain(|connection| {
            let unused = connection.is_open && connection.in_flight.is_empty();
            !(unused
                && (now >= connection.used_at + idle_s
                    || connection.is_suspect(now, suspect_after_s)))
        });
        let takes = |connection: &&Connection| {
            let carried = connection.in_flight.len() + connection.waiting.len();
            let has_room = carried == 0 || carried + parts <= context.max_streams;
            has_room && !connection.is_suspect(now, suspect_after_s)
        };
        let fit = || connections.iter().filter(takes);
        if let Some(connection) = fit().find(|connection| connection.is_open) {
            return Selection::Open(connection.id);
        }
        if let Some(connection) = fit().next() {
            return Selection::Connecting(connection.id);
        }
        if connections.len() >= self.max_per_server {
            return Selection::PoolFull;
        }
        self.last_id += 1;
        let (id, in_flight, waiting) = (self.last_id, Vec::new(), Vec::new());
        connections.push(Connection {
            id,
            is_open: false,
            in_flight,
            waiting,
            used_at: now,
            unanswered_since: None,
            is_silent: false,
        });
        Selection::New(id)
    }

    /// Queues parts until the connection is established.
    pub fn queue(&mut self, leaf_server: u32, id: u64, parts: Vec<CallPart>) {
        if let Some(connection) = self.connection(leaf_server, id) {
            connection.waiting.extend(parts);
        }
    }

    /// Marks a connection as established and returns the parts that waited for it. Returns `None` if the connection was
    /// removed or was already established.
    pub fn connected(&mut self, leaf_server: u32, id: u64, now: f64) -> Option<Vec<CallPart>> {
        let connection = self
            .connection(leaf_server, id)
            .filter(|connection| !connection.is_open)?;
        (connection.is_open, connection.used_at) = (true, now);
        Some(std::mem::take(&mut connection.waiting))
    }

    /// Removes a connection whose establishment failed and returns the parts that waited for it. Has no effect on an
    /// established connection.
    pub fn abort(&mut self, leaf_server: u32, id: u64) -> Vec<CallPart> {
        match self
            .connection(leaf_server, id)
            .filter(|connection| !connection.is_open)
        {
            Some(connection) => {
                let waiting = std::mem::take(&mut connection.waiting);
                self.remove(leaf_server, id);
                waiting
            }
            None => Vec::new(),
        }
    }

    fn remove(&mut self, leaf_server: u32, id: u64) {
        if let Some(connections) = self.leaf_servers.get_mut(&leaf_server) {
            connections.retain(|connection| connection.id != id);
        }
    }

    /// Records that an attempt was sent on a connection.
    pub fn attempt_sent(&mut self, leaf_server: u32, id: u64, attempt: AttemptKey, now: f64) {
        if let Some(connection) = self.connection(leaf_server, id) {
            connection.in_flight.push(attempt);
            connection.used_at = now;
            connection.unanswered_since.get_or_insert(now);
        }
    }

    /// Makes one established connection silent, selected by the random number `draw`.
    pub fn silence_one(&mut self, draw: usize) {
        let mut open: Vec<&mut Connection> = self
            .leaf_servers
            .values_mut()
            .flatten()
            .filter(|connection| connection.is_open)
            .collect();
        let count = open.len().max(1);
        if let Some(connection) = open.get_mut(draw % count) {
            connection.is_silent = true;
        }
    }

    /// Returns whether a connection carries no data, either because it is silent or because it no longer exists.
    pub fn is_silent(&mut self, leaf_server: u32, id: u64) -> bool {
        self.connection(leaf_server, id)
            .is_none_or(|connection| connection.is_silent)
    }

    /// Records an answer to an attempt. Returns whether the connection still exists.
    pub fn answer_received(
        &mut self,
        leaf_server: u32,
        id: u64,
        attempt: AttemptKey,
        now: f64,
    ) -> bool {
        let Some(connection) = self.connection(leaf_server, id) else {
            return false;
        };
        connection.in_flight.retain(|other| *other != attempt);
        connection.used_at = now;
        connection.unanswered_since = (!connection.in_flight.is_empty()).then_some(now);
        true
    }

    /// Records that the mixer no longer waits for an attempt. A suspect connection stays suspect.
    pub fn attempt_abandoned(
        &mut self,
        leaf_server: u32,
        id: u64,
        attempt: AttemptKey,
        context: &SelectionContext,
    ) {
        let (now, suspect_after_s) = (context.now, context.suspect_after_s());
        if let Some(connection) = self.connection(leaf_server, id) {
            connection.in_flight.retain(|other| *other != attempt);
            if connection.in_flight.is_empty() && !connection.is_suspect(now, suspect_after_s) {
                connection.unanswered_since = None;
            }
        }
    }

    /// Returns the suspect connections to a leaf server, given that the server has answered a call that was sent at
    /// `answered_sent_at`: only connections that have not answered since an earlier time are returned.
    pub fn suspect_ids(
        &self,
        leaf_server: u32,
        context: &SelectionContext,
        answered_sent_at: f64,
    ) -> Vec<u64> {
        let suspect_after_s = context.suspect_after_s();
        let connections = self.leaf_servers.get(&leaf_server).into_iter().flatten();
        let silent = |connection: &&Connection| {
            connection.is_suspect(context.now, suspect_after_s)
                && connection
                    .unanswered_since
                    .is_some_and(|at| at < answered_sent_at)
        };
        connections
            .filter(silent)
            .map(|connection| connection.id)
            .collect()
    }

    /// Removes a connection and returns its attempts, both sent and waiting.
    pub fn close(&mut self, leaf_server: u32, id: u64) -> Vec<AttemptKey> {
        let Some(connection) = self.connection(leaf_server, id) else {
            return Vec::new();
        };
        let waiting = connection.waiting.drain(..).map(|part| part.attempt);
        let ends = connection.in_flight.drain(..).chain(waiting).collect();
        self.remove(leaf_server, id);
        ends
    }

    /// Closes the established connections to a leaf server that have no attempt in flight.
    pub fn close_idle(&mut self, leaf_server: u32) {
        if let Some(connections) = self.leaf_servers.get_mut(&leaf_server) {
            connections
                .retain(|connection| !connection.is_open || !connection.in_flight.is_empty());
        }
    }
}
