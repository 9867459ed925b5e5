//! A mixer's connections to leaf servers in virtual time: which carries a call, which is opened, which has ended.
//!
//! This file owns what the loop's `replica/pool.rs` owns on sockets, by the same choices (`connections/pool.rs`), so that
//! handshakes and silent connections count in virtual time too. It must never know a leaf server's state, nor draw a number.

use std::collections::BTreeMap;
use wharfhub::connections::pool;
use wharfhub::requests::coordinator::{AttemptKey, CallPart};

/// As in the loop: of the time after which a leaf server closes an idle connection, the share after which we do.
const IDLE_SHARE: f64 = 0.8;

/// One connection.
struct Connection {
    id: u64,
    is_open: bool,
    in_flight: Vec<AttemptKey>,
    waiting: Vec<CallPart>, // until it has come up
    used_at: f64,
    unanswered_since: Option<f64>, // since when something was asked and nothing heard
    is_silent: bool,               // it stays open, and nothing passes on it any more
}

impl Connection {
    fn is_suspect(&self, now: f64, suspect_after_s: f64) -> bool {
        self.is_open
            && self
                .unanswered_since
                .is_some_and(|at| now > at + suspect_after_s)
    }
}

/// What the choice of a connection depends on.
pub struct SelectionContext {
    /// The time.
    pub now: f64,
    /// The shortest latency objective of any class (seconds).
    pub shortest_objective_s: f64,
    /// Within what time nearly all answers come (seconds).
    pub late_s: f64,
    /// Parts that a connection carries.
    pub max_streams: usize,
}

impl SelectionContext {
    fn suspect_after_s(&self) -> f64 {
        pool::suspect_after_s(self.shortest_objective_s, self.late_s)
    }
}

/// How a call goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Selection {
    /// On this connection.
    Open(u64),
    /// It waits for this one to come up.
    Connecting(u64),
    /// For this one, which is to be opened.
    New(u64),
    /// There are as many as there may be.
    PoolFull,
}

/// The connections of one mixer.
pub struct ConnectionPool {
    max_per_server: usize,
    idle_s: f64,
    leaf_servers: BTreeMap<u32, Vec<Connection>>,
    last_id: u64,
}

impl ConnectionPool {
    /// None yet, of one mixer among so many.
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

    /// The connections to a leaf server.
    pub fn ids(&self, leaf_server: u32) -> Vec<u64> {
        self.leaf_servers
            .get(&leaf_server)
            .map(|connections| connections.iter().map(|connection| connection.id).collect())
            .unwrap_or_default()
    }

    /// What waits for its connection, and nobody waits for, does not leave. Says whether it waited.
    pub fn withdraw_unsent(&mut self, attempt: AttemptKey) -> bool {
        self.leaf_servers.values_mut().flatten().any(|connection| {
            let before = connection.waiting.len();
            connection.waiting.retain(|part| part.attempt != attempt);
            connection.waiting.len() < before
        })
    }

    /// How a call of so many parts goes there. A new connection is here from now on.
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

    /// These wait until it has come up.
    pub fn queue(&mut self, leaf_server: u32, id: u64, parts: Vec<CallPart>) {
        if let Some(connection) = self.connection(leaf_server, id) {
            connection.waiting.extend(parts);
        }
    }

    /// It has come is_open: what waited for it. None where it is gone.
    pub fn connected(&mut self, leaf_server: u32, id: u64, now: f64) -> Option<Vec<CallPart>> {
        let connection = self
            .connection(leaf_server, id)
            .filter(|connection| !connection.is_open)?;
        (connection.is_open, connection.used_at) = (true, now);
        Some(std::mem::take(&mut connection.waiting))
    }

    /// It never came up, unless it did: what waited for it.
    pub fn connect_failed(&mut self, leaf_server: u32, id: u64) -> Vec<CallPart> {
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

    /// An attempt has left on it.
    pub fn attempt_sent(&mut self, leaf_server: u32, id: u64, attempt: AttemptKey, now: f64) {
        if let Some(connection) = self.connection(leaf_server, id) {
            connection.in_flight.push(attempt);
            connection.used_at = now;
            connection.unanswered_since.get_or_insert(now);
        }
    }

    /// One of those that have come up, by lot, falls silent.
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

    /// Whether nothing passes on it.
    pub fn is_silent(&mut self, leaf_server: u32, id: u64) -> bool {
        self.connection(leaf_server, id)
            .is_none_or(|connection| connection.is_silent)
    }

    /// An answer has come on it. Says whether it is still there.
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

    /// An attempt on it was given up.
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

    /// Connections to a leaf server that are silent while it answers on another what was asked later, at that time.
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

    /// It is over: what was out on it.
    pub fn close(&mut self, leaf_server: u32, id: u64) -> Vec<AttemptKey> {
        let Some(connection) = self.connection(leaf_server, id) else {
            return Vec::new();
        };
        let waiting = connection.waiting.drain(..).map(|part| part.attempt);
        let ends = connection.in_flight.drain(..).chain(waiting).collect();
        self.remove(leaf_server, id);
        ends
    }

    /// Ends those to a leaf server that carry nothing.
    pub fn close_idle(&mut self, leaf_server: u32) {
        if let Some(connections) = self.leaf_servers.get_mut(&leaf_server) {
            connections
                .retain(|connection| !connection.is_open || !connection.in_flight.is_empty());
        }
    }
}
