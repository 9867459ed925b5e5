//! Detects that the process stood still: stopped by a signal, or not scheduled for long.
//!
//! This file owns when the loop expected to wake and since when it may have stood still. It must never read a clock.

use crate::net::discovery::lease::MIN_PROCESS_PAUSE_S;

/// What the loop knows of its own wake-ups. Times are of the loop's clock (seconds).
pub(super) struct StallDetector {
    /// When the present wait was to end.
    wake_at: f64,
    /// Since when the process may have stood still, until the loop has dealt with it.
    stalled_since: Option<f64>,
}

impl Default for StallDetector {
    fn default() -> StallDetector {
        StallDetector {
            wake_at: f64::INFINITY,
            stalled_since: None,
        }
    }
}

impl StallDetector {
    /// The loop is about to wait until that time. A signal that ends the wait, as the one after a stop does, does not move an
    /// earlier time that was expected before it.
    pub(super) fn expect_wake_at(&mut self, at: f64) {
        self.wake_at = self.wake_at.min(at);
    }

    /// The wait is over. Returns how much later than expected (seconds; negative where an event came first).
    pub(super) fn record_wake(&mut self, now: f64, previous_iteration_at: f64) -> f64 {
        let wake_delay_s = now - std::mem::replace(&mut self.wake_at, f64::INFINITY);
        if wake_delay_s > MIN_PROCESS_PAUSE_S {
            self.stalled_since.get_or_insert(previous_iteration_at);
        }
        wake_delay_s
    }

    /// Handling the events of a turn took so long (seconds); the turn began at that time.
    pub(super) fn record_iteration(&mut self, duration_s: f64, iteration_started_at: f64) {
        if duration_s > MIN_PROCESS_PAUSE_S {
            self.stalled_since = Some(iteration_started_at);
        }
    }

    /// Since when the process may have stood still; once only.
    pub(super) fn take_stall_start(&mut self) -> Option<f64> {
        self.stalled_since.take()
    }
}
