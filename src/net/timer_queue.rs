//! Every deadline of the program, in one ordered structure.
//!
//! This file owns their order. It must never know what becomes of one that is due, and never read a clock.

use crate::net::ConnectionKey;
use crate::requests::coordinator::Wake;
use std::collections::BTreeSet;
use std::time::Duration;

/// A deadline counts as reached so much before its time, since the queue keeps whole microseconds (seconds).
pub(super) const TIMER_TOLERANCE_S: f64 = 1e-4;
/// Microseconds in a second.
const MICROSECONDS_PER_S: f64 = 1e6;

/// What a deadline is for. Of deadlines in the same microsecond the variants come in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Deadline {
    /// A timer of the request coordinator.
    Coordinator(Wake),
    /// The deadline of a connection of any kind.
    Connection(ConnectionKey),
    /// A socket is to be watched by the poll, which refused it before.
    Register(ConnectionKey),
    /// Clients are accepted again after a failure.
    Accept,
    /// Connections of operators are accepted again.
    AdminAccept,
    /// A timeout of the handover.
    Handover,
    /// Discovery is called, unless a call is in flight.
    CallDiscovery,
    /// A call to discovery that failed is repeated.
    DiscoveryRetry,
    /// The watch on discovery is checked.
    Heartbeat,
    /// The lease on the endpoint list is checked.
    ListLease,
    /// The next step of the present phase of the process.
    Phase,
    /// Accepted settings are applied.
    ApplySettings,
    /// Listeners that could not be opened are tried again.
    OpenListeners,
    /// A timer of VRRP.
    VrrpTimer,
    /// The keys of the store that matter to the mixer are read.
    StoreRefresh,
    /// The timeout of an operation of the store.
    StoreOperation(u64),
}

/// Every deadline of the program, in order of time. A deadline is never removed early: whoever handles one that is no longer
/// needed finds that its owner is gone or its time has moved.
#[derive(Default)]
pub(super) struct TimerQueue {
    /// Microseconds on the loop's clock, and what is due then.
    deadlines: BTreeSet<(u64, Deadline)>,
}

impl TimerQueue {
    /// Adds a deadline; times are in seconds on the loop's clock.
    pub(super) fn add(&mut self, at: f64, deadline: Deadline) {
        self.deadlines.insert((microseconds(at.max(0.0)), deadline));
    }

    /// How long until the first deadline; none if there is no deadline.
    pub(super) fn wait(&self, now: f64) -> Option<Duration> {
        let (at, _) = self.deadlines.first()?;
        Some(Duration::from_micros(at.saturating_sub(microseconds(now))))
    }

    /// Takes out the first deadline if it is due.
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
