//! Handles events and deadlines of the connections to leaf servers, and closes connections. Each attempt on a connection
//! gets exactly one outcome, also when the connection ends.

use crate::decisions::api::ReplicaId;
use crate::net::backlog::{ReadProgress, Work};
use crate::net::connection_table::Connection;
use crate::net::replica::connection::AttemptResult;
use crate::net::replica::error::ReplicaError;
use crate::net::replica::pool::{connections_to, max_idle_s, max_silence_s, ReplicaConnections};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use crate::net::ConnectionKey;

/// Interval after which a connection is checked again that was in use at the end of its idle time (seconds).
const IDLE_RECHECK_S: f64 = 0.5;

/// Size up to which an incomplete answer is kept whatever the others take.
const SMALL_ANSWER_BYTES: usize = 32 * 1024;

impl ReplicaConnections {
    /// Handles an event of a connection that is readable or writable, or has failed.
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
                Err(error) => return self.close(runtime, key, &error.into()),
            }
        }
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        let mut results: Vec<AttemptResult> = Vec::new();
        let read = connection.read(runtime.now, &mut results);
        let read = self.check_buffered(runtime, key, read);
        // Nothing is written to a connection that can't be used any more: a call on it would be lost, and might still run.
        let result = match read {
            Ok(ReadProgress::Drained) => self.flush(runtime, key, list_until),
            Ok(ReadProgress::MoreInput) => {
                runtime.backlog.push(Work::Connection(key));
                Ok(())
            }
            Err(error) => Err(error),
        };
        let Some(replica) = record_received(runtime, key) else {
            return;
        };
        let answered_sent_at = results.iter().map(|result| result.sent_at).reduce(f64::max);
        for result in results {
            self.end_attempt(runtime, result.attempt, result.outcome, result.value);
        }
        if let Some(answered_sent_at) = answered_sent_at {
            self.close_silent(runtime, replica, answered_sent_at);
        }
        if let Err(error) = result {
            self.close(runtime, key, &error);
        }
    }

    /// Updates the total of buffered bytes after a read. An answer that is not complete is given up if the total exceeds its
    /// limit.
    fn check_buffered(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        read: Result<ReadProgress, ReplicaError>,
    ) -> Result<ReadProgress, ReplicaError> {
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return read;
        };
        let is_large = connection.buffered_bytes() > SMALL_ANSWER_BYTES;
        let is_over_limit = self.count_buffered(connection);
        if read.is_ok() && is_large && is_over_limit {
            let error = ReplicaError::TooManyIncompleteAnswers;
            return Err(connection.reject_answer(None, error));
        }
        read
    }

    /// Handles a deadline of a connection: it was not established in time, an answer is incomplete, or it may have been
    /// unused for too long.
    pub(in crate::net) fn connection_due(&mut self, runtime: &mut Runtime, key: ConnectionKey) {
        let now = runtime.now;
        let max_idle_s = max_idle_s(runtime);
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        if !connection.is_connected() {
            return self.close(runtime, key, &ReplicaError::ConnectTimeout);
        }
        // Without this deadline, the parts on a connection with an incomplete answer would wait for as long as their
        // clients do.
        if connection
            .answer_due_at()
            .is_some_and(|due_at| due_at <= now + TIMER_TOLERANCE_S)
        {
            let error = connection.reject_answer(None, ReplicaError::IncompleteAnswer);
            return self.close(runtime, key, &error);
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

    /// Closes connections that have been silent since before `answered_sent_at`, because the leaf server has answered a
    /// call that was sent at that time: the connections are at fault, and not the leaf server.
    fn close_silent(&mut self, runtime: &mut Runtime, replica: ReplicaId, answered_sent_at: f64) {
        let connections = connections_to(runtime, replica);
        let silence_s = max_silence_s(runtime);
        for key in connections {
            let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
                continue;
            };
            if connection.is_silent_while_another_answers(runtime.now, silence_s, answered_sent_at)
            {
                connection.mark_silent();
                self.close(runtime, key, &ReplicaError::Silent);
            }
        }
    }

    /// Closes a connection; every attempt in flight on it gets its outcome.
    fn close(&mut self, runtime: &mut Runtime, key: ConnectionKey, error: &ReplicaError) {
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        let replica = connection.replica();
        let lost = connection.end_attempts();
        self.drop_connection(runtime, key);
        // A server that sends what nobody asked for is reported even if no attempt is lost.
        if !lost.is_empty() || matches!(error, ReplicaError::UnexpectedResponse) {
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

/// Stores the load report that a connection has received, and sets the deadline for an incomplete answer. Returns the leaf
/// server, or `None` if the connection was removed.
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
