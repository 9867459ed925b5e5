//! Events and deadlines of the connections to leaf servers, and the end of a connection.
//!
//! This file owns what a connection's answers and its end mean for the attempts on it: each gets exactly one outcome. It must
//! never end a connection without reporting these.

use crate::decisions::api::ReplicaId;
use crate::net::connection_table::Connection;
use crate::net::replica::connection::AttemptResult;
use crate::net::replica::error::ReplicaError;
use crate::net::replica::pool::{connections_to, max_idle_s, max_silence_s, ReplicaConnections};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use crate::net::ConnectionKey;

/// A connection that is in use when it would have been idle for too long is looked at again after this time (seconds).
const IDLE_RECHECK_S: f64 = 0.5;

impl ReplicaConnections {
    /// A connection can be read or written, or has failed.
    pub(in crate::net) fn connection_event(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        list_until: f64,
    ) {
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        if !connection.is_connected() {
            match connection.poll_connected() {
                Ok(false) => return,
                Ok(true) => {
                    connection.mark_connected(runtime.now);
                    let idle_at = runtime.now + max_idle_s(runtime);
                    runtime.timers.add(idle_at, Deadline::Connection(key));
                }
                Err(error) => return self.end(runtime, key, &error.into()),
            }
        }
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        let mut results: Vec<AttemptResult> = Vec::new();
        let read = connection.read(runtime.now, &mut results);
        let flushed = self.flush(runtime, key, list_until);
        let Some(replica) = record_received(runtime, key) else {
            return;
        };
        let answered_sent_at = results.iter().map(|result| result.sent_at).reduce(f64::max);
        for result in results {
            self.end_attempt(runtime, result.attempt, result.outcome, result.value);
        }
        if let Some(answered_sent_at) = answered_sent_at {
            self.end_silent(runtime, replica, answered_sent_at);
        }
        if let Err(error) = read.and(flushed) {
            self.end(runtime, key, &error);
        }
    }

    /// A deadline of a connection has come: it did not come up, an answer is incomplete, or it may have been unused for too
    /// long.
    pub(in crate::net) fn connection_due(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let now = runtime.now;
        let max_idle_s = max_idle_s(runtime);
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        if !connection.is_connected() {
            return self.end(runtime, key, &ReplicaError::ConnectTimeout);
        }
        // The parts on a connection where an answer never ends would otherwise wait for as long as their clients do.
        if connection
            .answer_due_at()
            .is_some_and(|due_at| due_at <= now + TIMER_TOLERANCE_S)
        {
            let error = connection.reject_answer(None, ReplicaError::IncompleteAnswer);
            return self.end(runtime, key, &error);
        }
        let idle_at = connection.used_at() + max_idle_s;
        if now + TIMER_TOLERANCE_S < idle_at {
            runtime.timers.add(idle_at, Deadline::Connection(key));
        } else if connection.is_unused() {
            self.drop_connection(runtime, key);
        } else {
            runtime
                .timers
                .add(now + IDLE_RECHECK_S, Deadline::Connection(key));
        }
    }

    /// The leaf server has answered what was sent at that time, so a connection to it that has been silent for longer is at
    /// fault itself.
    fn end_silent(&mut self, runtime: &mut Runtime, replica: ReplicaId, answered_sent_at: f64) {
        let connections = connections_to(runtime, replica);
        let silence_s = max_silence_s(runtime);
        for key in connections {
            let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
                continue;
            };
            if connection.is_silent_while_another_answers(runtime.now, silence_s, answered_sent_at)
            {
                connection.mark_silent();
                self.end(runtime, key, &ReplicaError::Silent);
            }
        }
    }

    /// Ends a connection: every attempt in flight on it gets its outcome.
    fn end(&mut self, runtime: &mut Runtime, key: ConnectionKey, error: &ReplicaError) {
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        let replica = connection.replica();
        let lost = connection.end_attempts();
        self.drop_connection(runtime, key);
        if !lost.is_empty() {
            let name = runtime
                .directory
                .endpoint(replica)
                .map_or(String::new(), |endpoint| endpoint.name.clone());
            runtime.log(&format!(
                "replica {name}: connection closed ({error}), {} attempts lost",
                lost.len()
            ));
        }
        for attempt in lost {
            self.end_attempt(runtime, attempt.attempt, attempt.outcome, None);
        }
    }
}

/// Keeps the load report that a connection has received, and sets a deadline for an answer that is incomplete. Gives the
/// leaf server; none where the connection has ended.
fn record_received(runtime: &mut Runtime, key: ConnectionKey) -> Option<ReplicaId> {
    let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
        return None;
    };
    let replica = connection.replica();
    let load = connection.take_load();
    if let Some(due_at) = connection.answer_due_at() {
        runtime.timers.add(due_at, Deadline::Connection(key));
    }
    if let Some(endpoint) = runtime.directory.endpoint(replica) {
        endpoint.load = load.or(endpoint.load.take());
    }
    Some(replica)
}
