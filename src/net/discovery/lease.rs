//! Publishes the lease on the endpoint list: to the decision module, to the log, and to the timer that renews it.
//!
//! This file owns what was last published, and how long the loop may be held up without looking at discovery. It must never
//! take over a list, and never send anything to a server.

use crate::endpoints::lease::{Basis, ListLease};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::Deadline;
use crate::net::timer_queue::TIMER_TOLERANCE_S;

/// A loop that did not poll for this time reads discovery before anything else, and sends nothing before that (seconds). The
/// part of the drain grace that is used allows for it.
pub(in crate::net) const HELD_UP_S: f64 = 0.05;
/// A loop that did not poll for this time was stopped (seconds); shorter delays of up to 0.15 s are allowed for.
pub(in crate::net) const STANDSTILL_S: f64 = 0.2;

/// The state of a lease as the log shows it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LeaseState {
    basis: Basis,
    is_in_force: bool,
}

/// What was last published of the lease.
pub(super) struct LeasePublisher {
    logged: LeaseState,
    /// When the lease is checked next.
    check_at: Option<f64>,
}

impl Default for LeasePublisher {
    /// Nothing was published, as is right for a mixer without discovery.
    fn default() -> LeasePublisher {
        LeasePublisher {
            logged: LeaseState {
                basis: Basis::NoDiscovery,
                is_in_force: true,
            },
            check_at: None,
        }
    }
}

impl LeasePublisher {
    /// Publishes until when the list of that version may be acted on, and schedules the next check of the lease.
    pub(super) fn publish(
        &mut self,
        runtime: &mut Runtime,
        lease: &ListLease,
        revision: Option<u64>,
    ) {
        let now = runtime.now;
        runtime
            .coordinator
            .list_lease(now, lease.expires_at(now), &mut runtime.commands);
        self.log(runtime, lease, revision);
        let next_at = lease.next_check_at(now);
        if lease.basis(now) != Basis::NoDiscovery && Some(next_at) != self.check_at {
            self.check_at = Some(next_at);
            runtime.timers.add(next_at, Deadline::ListLease);
        }
    }

    /// Logs the state of the lease if it has changed.
    fn log(&mut self, runtime: &mut Runtime, lease: &ListLease, revision: Option<u64>) {
        let now = runtime.now;
        let state = LeaseState {
            basis: lease.basis(now),
            is_in_force: lease.is_in_force(now),
        };
        if state == self.logged {
            return;
        }
        self.logged = state;
        let age = match lease.confirmed_at() {
            Some(at) => format!("confirmed {:.3} s ago", now - at),
            None => "never confirmed".to_string(),
        };
        let basis = state.basis.label();
        let force = if state.is_in_force {
            "in force"
        } else {
            "not in force, nothing is sent by it"
        };
        runtime.log(&format!(
            "list: {force} ({basis}), revision {revision:?}, {age}"
        ));
    }

    /// Whether the check that was scheduled last is due.
    pub(super) fn is_check_due(&self, now: f64) -> bool {
        self.check_at.is_none_or(|at| now + TIMER_TOLERANCE_S >= at)
    }
}
