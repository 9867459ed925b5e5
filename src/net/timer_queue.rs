//! The queue of all deadlines of the event loop, in order of time.

use crate::net::ConnectionKey;
use crate::requests::coordinator::Wake;
use std::collections::BTreeSet;
use std::time::Duration;

/// Time by which a deadline may be handled early (seconds), because the queue rounds to whole microseconds.
pub(super) const TIMER_TOLERANCE_S: f64 = 1e-4;
const MICROSECONDS_PER_S: f64 = 1e6;

/// The purpose of a deadline. Deadlines of the same microsecond are handled in the order of these variants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// A timer of the request coordinator.
    Coordinator(Wake),
    /// The deadline of a connection of any kind.
    Connection(ConnectionKey),
    /// The registration of a socket with the poll is retried.
    Register(ConnectionKey),
    /// Client connections are accepted again after a failure.
    Accept,
    /// Connections to the admin interface are accepted again.
    AdminAccept,
    /// A timeout of the handover.
    Handover,
    /// Discovery is called, unless a call is in flight.
    CallDiscovery,
    /// A failed call to discovery is retried.
    DiscoveryRetry,
    /// The watch on discovery is checked for a timeout.
    Heartbeat,
    /// The lease on the endpoint list is checked.
    ListLease,
    /// A step of the current phase of the process is due.
    Phase,
    /// Accepted settings are applied.
    ApplySettings,
    /// Opening the listeners is retried.
    OpenListeners,
    /// The timer of the VRRP state machine has expired.
    VrrpTimer,
    /// The mixer reads its keys from the store.
    StoreRefresh,
    /// An operation of the store, given by its number, times out.
    StoreOperation(u64),
}

/// A queue of deadlines in order of time. The handler of a deadline that is no longer needed finds that its owner no longer exists or
/// that its time has changed. Deadlines whose number grows with the requests or connections of peers are removed with their owner, so
/// that the queue does not grow with the rate at which peers send.
#[derive(Default)]
pub(super) struct TimerQueue {
    /// Deadlines with their times in microseconds on the event loop's clock.
    deadlines: BTreeSet<(u64, Deadline)>,
}

impl TimerQueue {
    /// Adds a deadline at a time on the event loop's clock (seconds).
    pub(super) fn add(&mut self, at: f64, deadline: Deadline) {
        self.deadlines.insert((microseconds(at.max(0.0)), deadline));
    }

    /// Removes a deadline that was added for this time, if it is still in the queue.
    pub(super) fn remove(&mut self, at: f64, deadline: Deadline) {
        self.deadlines
            .remove(&(microseconds(at.max(0.0)), deadline));
    }

    /// Returns the number of deadlines.
    pub(super) fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Returns the time until the first deadline, or `None` if there is no deadline.
    pub(super) fn wait(&self, now: f64) -> Option<Duration> {
        let (at, _) = self.deadlines.first()?;
        Some(Duration::from_micros(at.saturating_sub(microseconds(now))))
    }

    /// Removes and returns the first deadline if it is due.
    pub(super) fn next(&mut self, now: f64) -> Option<Deadline> {
        let (at, _) = self.deadlines.first()?;
        if *at > microseconds(now) {
            return None;
        }
        self.deadlines.pop_first().map(|(_, deadline)| deadline)
    }
}

fn microseconds(seconds: f64) -> u64 {
    (seconds * MICROSECONDS_PER_S) as u64
}
