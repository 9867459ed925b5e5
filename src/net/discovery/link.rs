//! The connections to one discovery, and what is known of how it answers.
//!
//! This file owns which connection carries the watch and which its checks, and the history of failures. It is made anew for
//! another discovery. It must never make a call.

use crate::connections::backoff::Backoff;
use crate::endpoints::heartbeat::Fleet;
use crate::endpoints::overdue_calls::OverdueCalls;
use crate::endpoints::watch_schedule;
use crate::net::connection_table::Connection;
use crate::net::discovery::connection::{Call, DiscoveryConnection, OpenCall, Role};
use crate::net::discovery::heartbeat::WatchCheck;
use crate::net::runtime::Runtime;
use crate::net::timer_queue::Deadline;
use crate::net::timer_queue::TIMER_TOLERANCE_S;
use crate::net::ConnectionKey;

/// Of this many calls for changes in a row that timed out, the last one is a call for the complete list: a discovery that waits
/// all the same answers this one. Not after other failures: a fleet that comes out of an outage would call for complete lists
/// alone, each of which costs discovery many times as much.
const WHOLE_LIST_EVERY_CALLS: u32 = 8;

/// The connections to one discovery, and what is known of how it answers.
pub(super) struct DiscoveryLink {
    pub(super) watch: Option<ConnectionKey>,
    pub(super) check_connection: Option<ConnectionKey>,
    pub(super) overdue: OverdueCalls,
    pub(super) check: WatchCheck,
    max_list_bytes: usize,
    /// Whether a watch has been answered.
    pub(super) has_worked: bool,
    /// Calls in a row that failed before a watch was open.
    pub(super) failed_opens: u32,
    /// Of these, the last ones that timed out.
    pub(super) unanswered_opens: u32,
    /// Whether discovery has ended an overdue call with an error: it is crowded, and refuses a mixer's open call together with the
    /// one beside it. Until its next answer no call is made beside an open one before that could be answered.
    pub(super) refuses_open_calls: bool,
    /// Whether discovery has refused a call for changes as such.
    pub(super) refuses_changes: bool,
    /// Suspends calls while discovery's list is too long.
    pub(super) oversize: Backoff,
    /// When a call that failed is retried.
    retry_at: Option<f64>,
    /// Hash of the answer that was taken over last.
    pub(super) last_answer_hash: Option<u64>,
}

impl DiscoveryLink {
    /// No connection is open; `jitter` is from 0 to 1.
    pub(super) fn new(fleet: Fleet, max_list_bytes: usize, now: f64, jitter: f64) -> DiscoveryLink {
        DiscoveryLink {
            watch: None,
            check_connection: None,
            overdue: OverdueCalls::default(),
            check: WatchCheck::new(fleet, now, jitter),
            max_list_bytes,
            has_worked: false,
            failed_opens: 0,
            unanswered_opens: 0,
            refuses_open_calls: false,
            refuses_changes: false,
            oversize: Backoff::default(),
            retry_at: None,
            last_answer_hash: None,
        }
    }

    /// The longest list that is read (bytes).
    pub(super) fn max_list_bytes(&self) -> usize {
        self.max_list_bytes
    }

    /// A connection was opened for that role.
    pub(super) fn connection_opened(&mut self, key: ConnectionKey, role: Role) {
        match role {
            Role::Watch => self.watch = Some(key),
            Role::Heartbeat => self.check_connection = Some(key),
        }
    }

    /// A connection was removed from the loop's table.
    pub(super) fn connection_removed(&mut self, key: ConnectionKey) {
        for slot in [&mut self.watch, &mut self.check_connection] {
            if *slot == Some(key) {
                *slot = None;
            }
        }
        self.overdue.remove(key);
    }

    /// The call of that connection is overdue: it stays open, and another call may take its place. Gives the overdue call that
    /// is to be closed for it, if there are too many.
    pub(super) fn call_overdue(&mut self, key: ConnectionKey) -> Option<ConnectionKey> {
        self.connection_removed(key);
        self.overdue.add(key)
    }

    /// The open connections, the watch first.
    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionKey> + '_ {
        self.current_connections().chain(self.overdue.iter())
    }

    /// The connections of the watch and of its checks.
    fn current_connections(&self) -> impl Iterator<Item = ConnectionKey> {
        self.watch.into_iter().chain(self.check_connection)
    }

    /// The call that opens a watch where the list in use has that version.
    pub(super) fn opening_call(&self, revision: Option<u64>) -> Call {
        let is_whole_list_due =
            self.unanswered_opens % WHOLE_LIST_EVERY_CALLS == WHOLE_LIST_EVERY_CALLS - 1;
        match revision {
            Some(since) if !self.refuses_changes && !is_whole_list_due => Call::Changes { since },
            _ => Call::WholeList,
        }
    }

    /// After which time a call that opens a watch is overdue (seconds), among `mixers` that call the same discovery, if they call
    /// again soon beside an open call.
    pub(super) fn open_timeout_s(&self, call: Call, mixers: Option<u32>) -> f64 {
        if call == Call::WholeList || self.refuses_open_calls {
            return watch_schedule::OPEN_TIMEOUT_S;
        }
        let timeout_s = watch_schedule::open_timeout_s(self.has_worked, self.failed_opens);
        let overdue_calls = self.overdue.count();
        mixers.map_or(timeout_s, |mixers| {
            timeout_s.min(watch_schedule::overdue_after_s(mixers, overdue_calls))
        })
    }

    /// Delay before the call after one that failed while an overdue call is open (seconds), among `mixers` that call the same
    /// discovery; none if the watch schedule decides alone.
    pub(super) fn retry_while_overdue_s(&self, mixers: u32) -> Option<f64> {
        if self.overdue.count() == 0 || self.refuses_open_calls {
            return None;
        }
        watch_schedule::retry_while_overdue_s(mixers)
    }

    /// Schedules the retry of a failed call, unless one comes sooner. There is one such time, because each failed call would add
    /// another.
    pub(super) fn retry_after(&mut self, runtime: &mut Runtime, delay_s: f64) {
        let at = self.retry_at.unwrap_or(f64::MAX).min(runtime.now + delay_s);
        self.retry_at = Some(at);
        runtime.timers.add(at, Deadline::DiscoveryRetry);
    }

    /// Whether the retry of a failed call is due; true once for each.
    pub(super) fn take_due_retry(&mut self, now: f64) -> bool {
        let due_by = now + TIMER_TOLERANCE_S;
        self.retry_at.take_if(|at| *at <= due_by).is_some()
    }

    /// Cancels the retry, because a call is made.
    pub(super) fn cancel_retry(&mut self) {
        self.retry_at = None;
    }

    /// Whether any call is in flight that is not overdue.
    pub(super) fn is_call_in_flight(&self, runtime: &Runtime) -> bool {
        self.current_connections()
            .any(|key| open_call(runtime, Some(key)).is_some())
    }

    /// Whether the watch is open: its call waits for changes.
    pub(super) fn is_watch_open(&self, runtime: &Runtime) -> bool {
        open_call(runtime, self.watch).is_some_and(|open| open.call.is_watch())
    }

    /// Whether the watch is open and its wait not over.
    pub(super) fn is_watch_in_time(&self, runtime: &Runtime) -> bool {
        open_call(runtime, self.watch).is_some_and(|open| match open.call {
            Call::Watch { wait_s, .. } => runtime.now < open.made_at + wait_s,
            Call::WholeList | Call::Changes { .. } => false,
        })
    }

    /// Since when an incomplete answer has been arriving, on any connection.
    pub(super) fn answer_arriving_since(&self, runtime: &Runtime) -> Option<f64> {
        self.connections()
            .filter_map(|key| connection(runtime, key)?.answer_arriving_since())
            .reduce(f64::min)
    }
}

/// The connection to discovery of that key, if it is one.
pub(super) fn connection(runtime: &Runtime, key: ConnectionKey) -> Option<&DiscoveryConnection> {
    match runtime.connections.get(key) {
        Some(Connection::Discovery(connection)) => Some(connection),
        _ => None,
    }
}

/// The same, to be changed.
pub(super) fn connection_mut(
    runtime: &mut Runtime,
    key: ConnectionKey,
) -> Option<&mut DiscoveryConnection> {
    match runtime.connections.get_mut(key) {
        Some(Connection::Discovery(connection)) => Some(connection),
        _ => None,
    }
}

/// The call in flight on a connection.
pub(super) fn open_call(runtime: &Runtime, key: Option<ConnectionKey>) -> Option<OpenCall> {
    connection(runtime, key?)?.open_call
}
