//! Detects that the process was stalled: stopped by a signal, or not scheduled for a long time.

use crate::net::discovery::lease::MIN_PROCESS_PAUSE_S;

/// Detector of delayed wake-ups and long iterations of the event loop. Times are on the loop's clock (seconds).
pub(super) struct StallDetector {
    /// Time at which the current wait is due to end.
    wake_at: f64,
    /// Earliest possible start of a stall that the event loop has not handled yet.
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
    /// Records that the loop is about to wait until the given time. If a signal interrupts a wait, as SIGCONT does after a
    /// stop, the earlier of the expected times is kept.
    pub(super) fn expect_wake_at(&mut self, at: f64) {
        self.wake_at = self.wake_at.min(at);
    }

    /// Records the end of a wait. Returns the delay beyond the expected time (seconds; negative if an event arrived first).
    pub(super) fn record_wake(&mut self, now: f64, previous_iteration_at: f64) -> f64 {
        let wake_delay_s = now - std::mem::replace(&mut self.wake_at, f64::INFINITY);
        if wake_delay_s > MIN_PROCESS_PAUSE_S {
            self.stalled_since.get_or_insert(previous_iteration_at);
        }
        wake_delay_s
    }

    /// Records how long the events of an iteration took to handle (seconds) and when the iteration started.
    pub(super) fn record_iteration(&mut self, duration_s: f64, iteration_started_at: f64) {
        if duration_s > MIN_PROCESS_PAUSE_S {
            self.stalled_since = Some(iteration_started_at);
        }
    }

    /// Returns the earliest possible start of a stall, once for each stall.
    pub(super) fn take_stall_start(&mut self) -> Option<f64> {
        self.stalled_since.take()
    }
}
