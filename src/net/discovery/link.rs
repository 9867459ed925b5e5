//! The connections to one discovery and the history of its answers. The state is discarded when the mixer switches to another
//! discovery.

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

/// Interval, in consecutive timed-out calls to open a watch, at which such a call requests the complete list instead of the
/// changes, in case discovery waits for a change although the call says not to. Other failures do not count: after an outage
/// a whole fleet would request only complete lists, each of which costs discovery many times as much.
const COMPLETE_LIST_CALL_INTERVAL: u32 = 8;

/// The connections to one discovery, and the history of its answers.
pub(super) struct DiscoveryLink {
    pub(super) watch: Option<ConnectionKey>,
    pub(super) check_connection: Option<ConnectionKey>,
    pub(super) overdue: OverdueCalls,
    pub(super) check: WatchCheck,
    max_list_bytes: usize,
    /// Whether this discovery has answered a call of the watch.
    pub(super) has_been_answered: bool,
    /// Number of consecutive failed calls to open a watch.
    pub(super) failed_opens: u32,
    /// Number of consecutive calls to open a watch that timed out, the last call included.
    pub(super) timed_out_opens: u32,
    /// Whether discovery has ended an overdue call with an error. Discovery is then overloaded and refuses a mixer's open
    /// call together with a second one. Until its next answer, no second call is made before the full timeout of the open
    /// call.
    pub(super) refuses_open_calls: bool,
    /// Whether discovery has refused a call for changes with a 4xx status.
    pub(super) refuses_changes: bool,
    /// Backoff that suspends calls while discovery's list is too long.
    pub(super) oversize: Backoff,
    /// Time at which a failed call is retried.
    retry_at: Option<f64>,
    /// Hash of the answer that was applied last.
    pub(super) last_answer_hash: Option<u64>,
}

impl DiscoveryLink {
    /// Creates a state without open connections; `jitter` is from 0 to 1.
    pub(super) fn new(fleet: Fleet, max_list_bytes: usize, now: f64, jitter: f64) -> DiscoveryLink {
        DiscoveryLink {
            watch: None,
            check_connection: None,
            overdue: OverdueCalls::default(),
            check: WatchCheck::new(fleet, now, jitter),
            max_list_bytes,
            has_been_answered: false,
            failed_opens: 0,
            timed_out_opens: 0,
            refuses_open_calls: false,
            refuses_changes: false,
            oversize: Backoff::default(),
            retry_at: None,
            last_answer_hash: None,
        }
    }

    /// Returns the maximum size of a list (bytes).
    pub(super) fn max_list_bytes(&self) -> usize {
        self.max_list_bytes
    }

    /// Records a connection that was opened for a role.
    pub(super) fn connection_opened(&mut self, key: ConnectionKey, role: Role) {
        match role {
            Role::Watch => self.watch = Some(key),
            Role::Heartbeat => self.check_connection = Some(key),
        }
    }

    /// Records that a connection was removed from the event loop's table.
    pub(super) fn connection_removed(&mut self, key: ConnectionKey) {
        for slot in [&mut self.watch, &mut self.check_connection] {
            if *slot == Some(key) {
                *slot = None;
            }
        }
        self.overdue.remove(key);
    }

    /// Marks a connection as overdue: its call stays open, and another call may be made. Returns the connection of an
    /// overdue call that has to be closed if there are too many.
    pub(super) fn call_overdue(&mut self, key: ConnectionKey) -> Option<ConnectionKey> {
        self.connection_removed(key);
        self.overdue.add(key)
    }

    /// Returns the open connections, the watch first.
    pub(super) fn connections(&self) -> impl Iterator<Item = ConnectionKey> + '_ {
        self.current_connections().chain(self.overdue.iter())
    }

    /// Returns the connections of the watch and of its checks, without overdue ones.
    fn current_connections(&self) -> impl Iterator<Item = ConnectionKey> {
        self.watch.into_iter().chain(self.check_connection)
    }

    /// Returns the call that opens a watch, given the revision of the list in use.
    pub(super) fn opening_call(&self, revision: Option<u64>) -> Call {
        let is_complete_list_due =
            self.timed_out_opens % COMPLETE_LIST_CALL_INTERVAL == COMPLETE_LIST_CALL_INTERVAL - 1;
        match revision {
            Some(since) if !self.refuses_changes && !is_complete_list_due => {
                Call::Changes { since }
            }
            _ => Call::CompleteList,
        }
    }

    /// Returns the timeout after which a call that opens a watch is overdue (seconds). `mixers` is the number of mixers
    /// that call the same discovery, or `None` if no second call is made while one is open.
    pub(super) fn open_timeout_s(&self, call: Call, mixers: Option<u32>) -> f64 {
        if call == Call::CompleteList || self.refuses_open_calls {
            return watch_schedule::OPEN_TIMEOUT_S;
        }
        let timeout_s = watch_schedule::open_timeout_s(self.has_been_answered, self.failed_opens);
        let overdue_calls = self.overdue.count();
        mixers.map_or(timeout_s, |mixers| {
            timeout_s.min(watch_schedule::overdue_after_s(mixers, overdue_calls))
        })
    }

    /// Returns the delay before the next call after a failure while an overdue call is open (seconds), among `mixers` that
    /// call the same discovery; `None` if only the watch schedule applies.
    pub(super) fn retry_while_overdue_s(&self, mixers: u32) -> Option<f64> {
        if self.overdue.count() == 0 || self.refuses_open_calls {
            return None;
        }
        watch_schedule::retry_while_overdue_s(mixers)
    }

    /// Schedules the retry of a failed call, unless an earlier one is scheduled. Only one retry is scheduled at a time,
    /// because otherwise each failed call would add another.
    pub(super) fn retry_after(&mut self, runtime: &mut Runtime, delay_s: f64) {
        let at = self.retry_at.unwrap_or(f64::MAX).min(runtime.now + delay_s);
        self.retry_at = Some(at);
        runtime.timers.add(at, Deadline::DiscoveryRetry);
    }

    /// Returns whether the retry of a failed call is due; true only once for each retry.
    pub(super) fn take_due_retry(&mut self, now: f64) -> bool {
        let due_by = now + TIMER_TOLERANCE_S;
        self.retry_at.take_if(|at| *at <= due_by).is_some()
    }

    /// Cancels the retry, because a call is made now.
    pub(super) fn cancel_retry(&mut self) {
        self.retry_at = None;
    }

    /// Returns whether any call that is not overdue is in flight.
    pub(super) fn is_call_in_flight(&self, runtime: &Runtime) -> bool {
        self.current_connections()
            .any(|key| open_call(runtime, Some(key)).is_some())
    }

    /// Returns whether the watch is open, that is, its call waits for changes.
    pub(super) fn is_watch_open(&self, runtime: &Runtime) -> bool {
        open_call(runtime, self.watch).is_some_and(|open| open.call.is_watch())
    }

    /// Returns whether the watch is open and its wait has not ended.
    pub(super) fn is_watch_in_time(&self, runtime: &Runtime) -> bool {
        open_call(runtime, self.watch).is_some_and(|open| match open.call {
            Call::Watch { wait_s, .. } => runtime.now < open.made_at + wait_s,
            Call::CompleteList | Call::Changes { .. } => false,
        })
    }

    /// Returns the earliest time since which an incomplete answer has been arriving on any connection.
    pub(super) fn answer_arriving_since(&self, runtime: &Runtime) -> Option<f64> {
        self.connections()
            .filter_map(|key| connection(runtime, key)?.answer_arriving_since())
            .reduce(f64::min)
    }
}

/// Returns the connection to discovery with this key.
pub(super) fn connection(runtime: &Runtime, key: ConnectionKey) -> Option<&DiscoveryConnection> {
    match runtime.connections.get(key) {
        Some(Connection::Discovery(connection)) => Some(connection),
        _ => None,
    }
}

/// Returns the mutable connection to discovery with this key.
pub(super) fn connection_mut(
    runtime: &mut Runtime,
    key: ConnectionKey,
) -> Option<&mut DiscoveryConnection> {
    match runtime.connections.get_mut(key) {
        Some(Connection::Discovery(connection)) => Some(connection),
        _ => None,
    }
}

/// Returns the call in flight on a connection.
pub(super) fn open_call(runtime: &Runtime, key: Option<ConnectionKey>) -> Option<OpenCall> {
    connection(runtime, key?)?.open_call
}
