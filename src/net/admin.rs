//! Admin interface for operators. Each connection carries one call of one line, and one reply.
//!
//! [`AdminServer`] accepts the connections and enforces their timeouts; `operator_routing` executes the calls. The interface
//! has its own descriptors, so that operators can connect when clients use all of theirs.

mod call;
mod connection;
mod metrics_text;

pub(in crate::net) use call::{phase_text, AdminCall, UNKNOWN_CALL_REPLY};
pub(in crate::net) use connection::AdminConnection;
pub(in crate::net) use metrics_text::{metrics_page, MetricsSources};

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

/// Limit on open admin connections. At the limit, a new connection replaces an existing one.
const MAX_CONNECTIONS: usize = 12;
/// Descriptors reserved for the admin interface: the listener, its connections, and one connection that is being accepted.
pub(super) const DESCRIPTORS: usize = MAX_CONNECTIONS + 2;
/// Limit on the connections that are accepted in one iteration of the event loop.
pub(super) const MAX_ACCEPTS_PER_ITERATION: usize = 32;
/// Delay before accepting continues after `MAX_ACCEPTS_PER_ITERATION` connections (seconds).
const NEXT_ACCEPT_DELAY_S: f64 = 0.001;
/// Time from the accept to a complete call (seconds).
const CALL_TIMEOUT_S: f64 = 3.0;
/// Time for the operator to read a reply (seconds).
const REPLY_TIMEOUT_S: f64 = 2.0;

/// Result of accepting one connection.
pub(in crate::net) enum AcceptResult {
    /// Accepted connection, whose call may already have arrived.
    Connection(ConnectionKey),
    /// No pending connection.
    NonePending,
    /// Aborted connection or interrupted system call; the next attempt may succeed.
    Aborted,
    /// Failed system call, probably because the process is out of descriptors.
    Failed(io::Error),
}

/// Connection that may be dropped for a new one.
struct EvictionCandidate {
    key: ConnectionKey,
    is_answered: bool,
    received_at: f64,
}

/// Listener of the admin interface. The connections are stored in the connection table of the runtime.
pub(in crate::net) struct AdminServer {
    listener: TcpListener,
}

impl AdminServer {
    /// Opens the listener.
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

    /// Accepts one connection, if one is pending.
    pub(in crate::net) fn accept(&self, runtime: &mut Runtime) -> AcceptResult {
        match self.listener.accept() {
            Ok((stream, _)) => AcceptResult::Connection(self.add(runtime, stream)),
            Err(error) => match error.kind() {
                io::ErrorKind::WouldBlock => AcceptResult::NonePending,
                io::ErrorKind::Interrupted | io::ErrorKind::ConnectionAborted => {
                    AcceptResult::Aborted
                }
                _ => {
                    runtime.log(&format!("admin: accept: {error}"));
                    AcceptResult::Failed(error)
                }
            },
        }
    }

    fn add(&self, runtime: &mut Runtime, stream: TcpStream) -> ConnectionKey {
        let _ = stream.set_nodelay(true);
        self.evict_if_full(runtime);
        let deadline = runtime.now + CALL_TIMEOUT_S;
        let connection = AdminConnection::new(stream, runtime.now, deadline);
        let key = runtime
            .connections
            .insert(Connection::Admin(Box::new(connection)));
        runtime.register(key);
        runtime.timers.add(deadline, Deadline::Connection(key));
        key
    }

    /// Drops a connection if the limit is reached, so that connections that send nothing cannot block new ones. Connections
    /// whose reply is written are dropped first, then the one that has been silent for the longest time.
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

    /// Schedules the next round of accepting, because more connections may be pending than one iteration accepts.
    pub(in crate::net) fn schedule_next_accept(&self, runtime: &mut Runtime) {
        runtime
            .timers
            .add(runtime.now + NEXT_ACCEPT_DELAY_S, Deadline::AdminAccept);
    }

    /// Schedules a retry of accepting after a failed system call.
    pub(in crate::net) fn schedule_accept_retry(&self, runtime: &mut Runtime) {
        runtime
            .timers
            .add(runtime.now + ACCEPT_RETRY_S, Deadline::AdminAccept);
    }

    /// Handles a readiness event of a connection. Returns the call once it is complete, after which the caller must call
    /// [`AdminServer::reply`]. Keys of other kinds of connections are ignored.
    pub(in crate::net) fn handle_connection_event(
        &self,
        runtime: &mut Runtime,
        key: ConnectionKey,
    ) -> Option<AdminCall> {
        let Some(Connection::Admin(connection)) = runtime.connections.get_mut(key) else {
            return None;
        };
        match connection.read(runtime.now) {
            Ok(Some(line)) => return Some(AdminCall::parse(&line)),
            Ok(None) => {
                if connection.write().is_err() {
                    drop_connection(runtime, key);
                }
            }
            Err(_) => drop_connection(runtime, key),
        }
        None
    }

    /// Sends the reply to a call.
    pub(in crate::net) fn reply(&self, runtime: &mut Runtime, key: ConnectionKey, reply: String) {
        let Some(Connection::Admin(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        let deadline = runtime.now + REPLY_TIMEOUT_S;
        connection.start_reply(reply, deadline);
        runtime.timers.add(deadline, Deadline::Connection(key));
        // Input after the call must be read, because a close with unread input resets the connection and the operator could
        // lose the reply.
        let written = connection.write();
        if written.is_err() || connection.read(runtime.now).is_err() {
            drop_connection(runtime, key);
        }
    }

    /// Drops a connection whose deadline has passed. A connection without a call gets an error reply first; a reply that was
    /// not delivered in time is truncated.
    pub(in crate::net) fn handle_connection_timer(
        &self,
        runtime: &mut Runtime,
        key: ConnectionKey,
    ) {
        let Some(Connection::Admin(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        if runtime.now + TIMER_TOLERANCE_S < connection.deadline() {
            return;
        }
        if connection.is_awaiting_call() {
            connection.write_final_reply(NO_CALL_REPLY);
        }
        drop_connection(runtime, key);
    }
}

fn drop_connection(runtime: &mut Runtime, key: ConnectionKey) {
    if let Some(Connection::Admin(connection)) = runtime.connections.remove(key) {
        let deadline = Deadline::Connection(key);
        runtime.timers.remove(connection.deadline(), deadline);
    }
}
