//! The admin interface: one line in, one reply out.
//!
//! This file owns the listener for operators and the deadlines of their connections. It must never let a connection that
//! sends nothing keep out one that does, never use a descriptor that clients may use, and never carry out a call itself.

mod call;
mod connection;
mod metrics_text;

pub(in crate::net) use call::{describe, AdminCall, UNKNOWN_CALL_REPLY};
pub(in crate::net) use connection::AdminConnection;
pub(in crate::net) use metrics_text::MetricsSources;

use crate::net::connection_table::Connection;
use crate::net::error::NetError;
use crate::net::event_loop::ACCEPT_RETRY_S;
use crate::net::runtime::Runtime;
use crate::net::socket::listen;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use crate::net::tokens::ADMIN;
use crate::net::ConnectionKey;
use call::NO_CALL_REPLY;
use mio::net::{TcpListener, TcpStream};
use std::io;
use std::net::SocketAddr;

/// Connections of operators at a time; for one more, another is dropped.
const MAX_CONNECTIONS: usize = 12;
/// Descriptors that are kept for the admin interface: its listener, its connections, and one that is just being accepted.
pub(super) const DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// Connections accepted in one turn of the loop, at most.
pub(super) const MAX_ACCEPTS_PER_TURN: usize = 32;
/// After that many, the others are accepted after this time at the latest (seconds).
const NEXT_ACCEPT_DELAY_S: f64 = 0.001;
/// A call has to come within this time (seconds).
const CALL_TIMEOUT_S: f64 = 3.0;
/// A reply has to be read within this time (seconds).
const REPLY_TIMEOUT_S: f64 = 2.0;

/// What became of an attempt to accept a connection.
pub(in crate::net) enum Accepted {
    /// There is a connection; its call may have come already.
    Connection(ConnectionKey),
    /// Nobody waits.
    NobodyWaits,
    /// This one failed by itself: the next may be tried.
    Aborted,
    /// The system refuses, probably for want of descriptors.
    Refused(io::Error),
}

/// A connection that may be dropped for another one.
struct EvictionCandidate {
    key: ConnectionKey,
    is_answered: bool,
    received_at: f64,
}

/// The admin interface. Its connections stand in the runtime's table.
pub(in crate::net) struct AdminServer {
    listener: TcpListener,
}

impl AdminServer {
    /// Listens for operators.
    pub(in crate::net) fn open(
        runtime: &mut Runtime,
        address: SocketAddr,
    ) -> Result<AdminServer, NetError> {
        let listener = listen(runtime.poll.registry(), address, ADMIN)?;
        let line = format!(
            "admin: listening for operators on {}",
            listener.local_addr()?
        );
        runtime.log(&line);
        Ok(AdminServer { listener })
    }

    /// Accepts one connection.
    pub(in crate::net) fn accept(&self, runtime: &mut Runtime) -> Accepted {
        match self.listener.accept() {
            Ok((stream, _)) => Accepted::Connection(self.add(runtime, stream)),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock => Accepted::NobodyWaits,
                io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => Accepted::Aborted,
                _ => {
                    runtime.log(&format!("admin: accept: {error}"));
                    Accepted::Refused(error)
                }
            },
        }
    }

    fn add(&self, runtime: &mut Runtime, stream: TcpStream) -> ConnectionKey {
        let _ = stream.set_nodelay(true);
        self.evict_if_full(runtime);
        let due_at = runtime.now + CALL_TIMEOUT_S;
        let connection = AdminConnection::new(stream, runtime.now, due_at);
        let key = runtime
            .connections
            .insert(Connection::Admin(Box::new(connection)));
        runtime.register(key);
        runtime.timers.add(due_at, Deadline::Connection(key));
        key
    }

    /// Operators who connect and send nothing must not keep out the next one: at the limit a connection is dropped, first one
    /// that has its reply, and of several the one that has been silent for the longest.
    fn evict_if_full(&self, runtime: &mut Runtime) {
        let candidates: Vec<EvictionCandidate> = runtime
            .connections
            .iter()
            .filter_map(|(key, connection)| match connection {
                Connection::Admin(connection) => Some(EvictionCandidate {
                    key,
                    is_answered: connection.is_answered(),
                    received_at: connection.received_at(),
                }),
                _ => None,
            })
            .collect();
        if candidates.len() < MAX_CONNECTIONS {
            return;
        }
        let first = candidates.into_iter().min_by(|a, b| {
            let answered_first = b.is_answered.cmp(&a.is_answered);
            answered_first.then(a.received_at.total_cmp(&b.received_at))
        });
        if let Some(candidate) = first {
            drop_connection(runtime, candidate.key);
        }
    }

    /// More may wait than were accepted in this turn.
    pub(in crate::net) fn accept_next_turn(&self, runtime: &mut Runtime) {
        runtime
            .timers
            .add(runtime.now + NEXT_ACCEPT_DELAY_S, Deadline::AdminAccept);
    }

    /// The system refused a connection: accepting is tried again a little later.
    pub(in crate::net) fn accept_later(&self, runtime: &mut Runtime) {
        runtime
            .timers
            .add(runtime.now + ACCEPT_RETRY_S, Deadline::AdminAccept);
    }

    /// A connection can be read or written, or has failed. Gives the call, once that is complete: [`AdminServer::reply`] is
    /// to follow. A key of another kind of connection changes nothing.
    pub(in crate::net) fn connection_event(
        &self,
        runtime: &mut Runtime,
        key: ConnectionKey,
    ) -> Option<AdminCall> {
        let Some(Connection::Admin(connection)) = runtime.connections.get_mut(key) else {
            return None;
        };
        match connection.read(runtime.now) {
            Ok(Some(line)) => return Some(AdminCall::decode(&line)),
            Ok(None) => {
                if connection.write().is_err() {
                    drop_connection(runtime, key);
                }
            }
            Err(_) => drop_connection(runtime, key),
        }
        None
    }

    /// Replies to a call.
    pub(in crate::net) fn reply(&self, runtime: &mut Runtime, key: ConnectionKey, reply: String) {
        let Some(Connection::Admin(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        let due_at = runtime.now + REPLY_TIMEOUT_S;
        connection.set_reply(reply, due_at);
        runtime.timers.add(due_at, Deadline::Connection(key));
        // What came after the line must be read too, or closing would destroy the reply.
        let written = connection.write();
        if written.is_err() || connection.read(runtime.now).is_err() {
            drop_connection(runtime, key);
        }
    }

    /// The deadline of a connection has come: without a call it gets a reply that says so; a reply that was not read in time
    /// is cut off.
    pub(in crate::net) fn connection_due(&self, runtime: &mut Runtime, key: ConnectionKey) {
        let Some(Connection::Admin(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        if runtime.now + TIMER_TOLERANCE_S < connection.due_at() {
            return;
        }
        if connection.has_no_call() {
            connection.write_last(NO_CALL_REPLY);
        }
        drop_connection(runtime, key);
    }
}

fn drop_connection(runtime: &mut Runtime, key: ConnectionKey) {
    runtime.connections.remove(key);
}
