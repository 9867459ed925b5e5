//! Publishes the lease on the endpoint list: to the decision module, to the log, and to the timer that renews the lease.

use crate::endpoints::lease::{LeaseBasis, ListLease};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::Deadline;
use crate::net::timer_queue::TIMER_TOLERANCE_S;

/// Maximum time between two polls of the event loop (seconds). After a longer delay the loop first reads the
/// connections to discovery, and sends no part before that. The part of the drain grace that is used includes this delay.
pub(in crate::net) const MAX_LOOP_DELAY_S: f64 = 0.05;
/// Minimum time without a poll after which the process counts as paused (seconds). Shorter delays, of up to 0.15 s, are
/// allowed for in the time limits.
pub(in crate::net) const MIN_PROCESS_PAUSE_S: f64 = 0.2;

/// State of a lease as shown in the log.
#[derive(Clone, Copy, Debug, PartialEq)]
struct LeaseState {
    basis: LeaseBasis,
    is_valid: bool,
}

/// The state of the lease that was last published.
pub(super) struct LeasePublisher {
    logged: LeaseState,
    /// Time of the next scheduled check of the lease.
    check_at: Option<f64>,
}

impl Default for LeasePublisher {
    /// The state of a mixer without discovery, whose list can always be used.
    fn default() -> LeasePublisher {
        LeasePublisher {
            logged: LeaseState {
                basis: LeaseBasis::NoDiscovery,
                is_valid: true,
            },
            check_at: None,
        }
    }
}

impl LeasePublisher {
    /// Publishes the time until which the list with this revision may be used, and schedules the next check of the lease.
    pub(super) fn publish(
        &mut self,
        runtime: &mut Runtime,
        lease: &ListLease,
        revision: Option<u64>,
    ) {
        let now = runtime.now;
        runtime
            .coordinator
            .set_list_lease(now, lease.expires_at(now), &mut runtime.commands);
        self.log(runtime, lease, revision);
        let next_at = lease.next_check_at(now);
        if lease.basis(now) != LeaseBasis::NoDiscovery && Some(next_at) != self.check_at {
            self.check_at = Some(next_at);
            runtime.timers.add(next_at, Deadline::ListLease);
        }
    }

    /// Logs the state of the lease if it has changed.
    fn log(&mut self, runtime: &mut Runtime, lease: &ListLease, revision: Option<u64>) {
        let now = runtime.now;
        let state = LeaseState {
            basis: lease.basis(now),
            is_valid: lease.is_valid(now),
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
        let validity = if state.is_valid {
            "valid"
        } else {
            "not valid, no calls are sent"
        };
        runtime.log(&format!(
            "list: {validity} ({basis}), revision {revision:?}, {age}"
        ));
    }

    /// Returns whether the check that was scheduled last is due.
    pub(super) fn is_check_due(&self, now: f64) -> bool {
        self.check_at.is_none_or(|at| now + TIMER_TOLERANCE_S >= at)
    }
}
