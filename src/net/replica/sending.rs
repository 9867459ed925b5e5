//! Writing calls to leaf servers, under the invariants.
//!
//! This file owns when the bytes of a call may leave, and what has to be withdrawn before. It must never let a call leave
//! that an invariant forbids, and verifies by the clock what has left.

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
use std::io;

/// What a write has done.
struct Flushed {
    result: Result<(), ReplicaError>,
    /// The invariant that kept back a call, the last one if several did.
    stopped_by: Option<Invariant>,
}

impl ReplicaConnections {
    /// Writes what the connection's socket takes and the invariants allow. `list_until` is until when the endpoint list may
    /// be acted on. An error means that the connection is to be ended, after what it has received is read.
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
        // A loop that was held up reads what came meanwhile first: it may forbid the call.
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
                "invariant kept, action stopped: {rule}: {count} parts did not leave, {to:?}"
            ));
        }
        for attempt in withdrawn {
            self.end_attempt(runtime, attempt, Outcome::Superseded, None);
        }
        // To be called in any case: it counts what it stops.
        let unwanted = check_partly_sent(runtime, key);
        result.and(unwanted)
    }

    /// Writes what can leave now. If the connection has failed, what it received before its end still counts.
    pub(super) fn flush_or_end(
        &mut self,
        runtime: &mut Runtime,
        key: ConnectionKey,
        list_until: f64,
    ) {
        if self.flush(runtime, key, list_until).is_err() {
            self.connection_event(runtime, key, list_until);
        }
    }

    /// Cancels an attempt, whose outcome is known to the coordinator.
    pub(in crate::net) fn cancel(
        &mut self,
        runtime: &mut Runtime,
        attempt: AttemptKey,
        list_until: f64,
    ) {
        let Some(key) = self.forget_attempt(attempt) else {
            return;
        };
        let silence_s = max_silence_s(runtime);
        let Some(Connection::Replica(connection)) = runtime.connections.get_mut(key) else {
            return;
        };
        if connection.cancel(attempt, runtime.now, silence_s) {
            return self.drop_connection(runtime, key);
        }
        self.flush_or_end(runtime, key, list_until);
    }

    /// Withdraws an attempt that no client waits for, where leaf servers take no cancellations: only what has not started to
    /// leave can be kept back.
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

    /// Withdraws all that has not started to leave on a connection to a leaf server that may get nothing new. If the leaf
    /// server is gone, the connection is dropped once it carries nothing.
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

/// What the invariants need to know of a leaf server before anything leaves for it.
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

/// Withdraws calls that have not started to leave and that no client waits for any more. The coordinator withdraws each such
/// attempt itself; one that it missed is stopped here.
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
            "invariant kept, action stopped: client_gone: a part that no client waits for did not leave",
        );
    }
    unwanted
}

/// Withdraws what is too late, and writes what the invariants allow. Adds the attempts that do not leave to `withdrawn`.
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
        // The process may have been stopped since the turn began, and may yet be before the write.
        let just_before = clock.now();
        // Both are checked in any case: each counts what it stops.
        let destination = invariants.check_destination(just_before, to);
        let verdict = destination.and(invariants.check_call(just_before, call));
        stopped_by = verdict.err().or(stopped_by);
        verdict.is_ok().then_some(just_before)
    };
    let result: io::Result<()> = connection.flush(may_start, withdrawn);
    Flushed {
        result: result.map_err(ReplicaError::from),
        stopped_by,
    }
}

/// Counts the attempts that have left completely, and verifies the calls that have started to leave.
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

/// Verifies calls that have started to leave, by the time now that they are written.
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
        let held_up_s = call.not_before - runtime.now;
        let write_s = not_after - call.not_before;
        let rule = rule.label();
        runtime.log(&format!(
            "invariant {finding}: {rule}: a call left, {to:?}, {:?}, held up for {held_up_s:.3} s, written within {write_s:.3} s",
            call.times
        ));
    }
}

/// A call that has left in part and that no client waits for any more must not arrive: only the end of the connection keeps
/// back its last byte.
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
        "invariant kept, action stopped: client_gone: a partly sent call that no client waits for does not arrive",
    );
    Err(ReplicaError::PartlySentUnwanted)
}
