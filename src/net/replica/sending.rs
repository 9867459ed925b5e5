//! Writes calls to leaf servers, checks the invariants before the first byte of each call, and verifies them with the clock
//! after the write.

use crate::decisions::api::{Outcome, ReplicaId};
use crate::endpoints::directory::ServerState;
use crate::net::connection_table::Connection;
use crate::net::replica::error::ReplicaError;
use crate::net::replica::pool::{max_silence_s, ReplicaConnections};
use crate::net::replica::send_queue::StartedCall;
use crate::net::runtime::Runtime;
use crate::net::tokens::PROTOCOLS;
use crate::net::ConnectionKey;
use crate::requests::coordinator::AttemptKey;
use crate::requests::invariants::{CallTimes, Destination, Invariant, WriteInterval};

/// Result of writing to a connection.
struct Flushed {
    result: Result<(), ReplicaError>,
    /// The invariant that stopped a call; the last one if several calls were stopped.
    stopped_by: Option<Invariant>,
}

impl ReplicaConnections {
    /// Writes as much as the connection's socket accepts and the invariants allow. `list_until` is the time until which the
    /// endpoint list may be used. An error means that the connection is to be closed after the received data has been read.
    pub(super) fn flush(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        list_until: f64,
    ) -> Result<(), ReplicaError> {
        let Some(Connection::Replica(connection)) = runtime.connections.get(key) else {
            return Ok(());
        };
        if connection.has_nothing_to_send() {
            return Ok(());
        }
        // A delayed event loop first reads what was received in the meantime, because it may forbid the call.
        if runtime.is_delayed() {
            self.postpone_write(key);
            return Ok(());
        }
        let to = destination(runtime, connection.replica(), list_until);
        let mut withdrawn = withdraw_unwanted(runtime, key);
        let Flushed { result, stopped_by } = write_calls(runtime, key, &to, &mut withdrawn);
        count_written(runtime, key, &to);
        if let Some(rule) = stopped_by {
            let rule = rule.label();
            let count = withdrawn.len();
            runtime.log(&format!(
                "invariant kept, action stopped: {rule}: {count} parts were not sent, {to:?}"
            ));
        }
        for attempt in withdrawn {
            self.end_attempt(runtime, attempt, Outcome::Superseded, None);
        }
        // Must be called even after an error, because the check counts what it stops.
        let unwanted = check_partly_sent(runtime, key);
        result.and(unwanted)
    }

    /// Writes as much as possible now. If the connection has failed, data received before the failure is still processed.
    pub(super) fn flush_or_close(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        list_until: f64,
    ) {
        if self.flush(runtime, key, list_until).is_err() {
            self.connection_event(runtime, key, list_until);
        }
    }

    /// Cancels an attempt whose outcome is known to the coordinator.
    pub(in crate::net) fn cancel(
        &mut self,
        runtime: &mut Runtime,
        attempt: AttemptKey,
        list_until: f64,
    ) {
        let Some(key) = self.remove_attempt(attempt) else {
            return;
        };
        let silence_s = max_silence_s(runtime);
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        if connection.cancel(attempt, runtime.now, silence_s) {
            return self.drop_connection(runtime, key);
        }
        self.flush_or_close(runtime, key, list_until);
    }

    /// Withdraws an attempt that no client waits for, where leaf servers accept no cancellations, so that only an attempt
    /// whose writing has not started can be stopped.
    pub(in crate::net) fn withdraw_unsent(&mut self, runtime: &mut Runtime, attempt: AttemptKey) {
        let Some(key) = self.connection_of(attempt) else {
            return;
        };
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        if connection.withdraw_unsent(attempt) {
            self.end_attempt(runtime, attempt, Outcome::Superseded, None);
        }
    }

    /// Withdraws all calls whose writing has not started on a connection to a leaf server that must not receive new calls.
    /// If the leaf server was removed from the list, the connection is dropped once it carries no attempt.
    pub(in crate::net) fn withdraw_all_unsent(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        is_removed: bool,
    ) {
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        for attempt in connection.withdraw_all_unsent() {
            self.end_attempt(runtime, attempt, Outcome::Superseded, None);
        }
        let is_unused = matches!(
            runtime.connections.get(key),
            Some(Connection::Replica(connection)) if connection.is_unused()
        );
        if is_removed && is_unused {
            self.drop_connection(runtime, key);
        }
    }
}

/// Returns the state of a leaf server that the invariants check before a write.
fn destination(runtime: &mut Runtime, replica: ReplicaId, list_until: f64) -> Destination {
    let server = runtime
        .directory
        .endpoint(replica)
        .map_or(ServerState::Removed, |endpoint| endpoint.state());
    Destination {
        server,
        drain_grace_s: runtime.deployment.policy.drain_grace_s,
        list_until,
    }
}

/// Withdraws unwritten calls that no client waits for. The coordinator normally withdraws each such attempt itself; this
/// check stops any that it missed.
fn withdraw_unwanted(runtime: &mut Runtime, key: ConnectionKey) -> Vec<AttemptKey> {
    let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
        return Vec::new();
    };
    let mut unwanted = connection.unsent_attempts();
    unwanted.retain(|attempt| {
        !runtime.coordinator.is_wanted(*attempt) && connection.withdraw_unsent(*attempt)
    });
    for _ in &unwanted {
        runtime
            .coordinator
            .invariants_mut()
            .stop(Invariant::ClientDisconnected);
        runtime.log(
            "invariant kept, action stopped: client_gone: a part that no client waits for was not sent",
        );
    }
    unwanted
}

/// Withdraws calls that are too late, and writes those that the invariants allow. Adds the attempts that are not sent to
/// `withdrawn`.
fn write_calls(
    runtime: &mut Runtime,
    key: ConnectionKey,
    to: &Destination,
    withdrawn: &mut Vec<AttemptKey>,
) -> Flushed {
    let mut stopped_by = None;
    let now = runtime.now;
    let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
        return Flushed {
            result: Ok(()),
            stopped_by,
        };
    };
    if connection.is_connected() {
        connection.refresh_timeouts(now);
    }
    withdrawn.extend(connection.withdraw_late(now));
    if connection.is_partly_sent_too_late(now) {
        return Flushed {
            result: Err(ReplicaError::PartlySentTooLate),
            stopped_by,
        };
    }
    let invariants = runtime.coordinator.invariants_mut();
    let clock = &runtime.clock;
    let may_start = |call: &CallTimes| {
        // The process may have been paused since this iteration of the event loop began, and may be paused again before the
        // write.
        let just_before = clock.now();
        // Both checks run in any case, because each counts what it stops.
        let destination = invariants.check_destination(just_before, to);
        let verdict = destination.and(invariants.check_call(just_before, call));
        stopped_by = verdict.err().or(stopped_by);
        verdict.is_ok().then_some(just_before)
    };
    let result = connection.flush(may_start, withdrawn);
    Flushed { result, stopped_by }
}

/// Counts the attempts that were written completely, and verifies the calls whose writing has started.
fn count_written(runtime: &mut Runtime, key: ConnectionKey, to: &Destination) {
    let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
        return;
    };
    let written = connection.take_written();
    let started_calls = connection.take_started_calls();
    for (protocol, count) in PROTOCOLS.into_iter().zip(written) {
        runtime.coordinator.count_sent_attempts(protocol, count);
    }
    verify_calls(runtime, to, &started_calls);
}

/// Verifies the calls whose writing has started, with the current time as the upper bound of the write.
fn verify_calls(runtime: &mut Runtime, to: &Destination, calls: &[StartedCall]) {
    if calls.is_empty() {
        return;
    }
    let not_after = runtime.clock.now();
    for call in calls {
        let written = WriteInterval {
            not_before: call.not_before,
            not_after,
        };
        let invariants = runtime.coordinator.invariants_mut();
        let verification = invariants.verify_call(written, to, &call.times);
        let Some((finding, rule)) = verification.finding() else {
            continue;
        };
        let delay_s = call.not_before - runtime.now;
        let write_s = not_after - call.not_before;
        let rule = rule.label();
        runtime.log(&format!(
            "invariant {finding}: {rule}: a call was sent, {to:?}, {:?}, delayed by {delay_s:.3} s, written within {write_s:.3} s",
            call.times
        ));
    }
}

/// Checks that a client still waits for a partly written call. If not, the call must not arrive, and only closing the
/// connection keeps its last byte from being sent.
fn check_partly_sent(runtime: &mut Runtime, key: ConnectionKey) -> Result<(), ReplicaError> {
    let partly_sent = match runtime.connections.get(key) {
        Some(Connection::Replica(connection)) => connection.partly_sent_attempts(),
        _ => return Ok(()),
    };
    let is_wanted = |attempt: &AttemptKey| runtime.coordinator.is_wanted(*attempt);
    if partly_sent.is_empty() || partly_sent.iter().any(is_wanted) {
        return Ok(());
    }
    runtime
        .coordinator
        .invariants_mut()
        .stop(Invariant::ClientDisconnected);
    runtime.log(
        "invariant kept, action stopped: client_gone: a partly sent call that no client waits for is not completed",
    );
    Err(ReplicaError::PartlySentUnwanted)
}
