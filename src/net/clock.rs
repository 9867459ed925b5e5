//! The clock of the program. All other code reads the time through it or receives the time as an argument.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock in Unix seconds. It is aligned with wall time only at its start, so that its readings never go back, and a
/// process that takes over can compare them with its own.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    start_s: f64,
}

impl Clock {
    /// Starts a clock.
    pub fn start() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            origin: Instant::now(),
            start_s: wall.as_secs_f64(),
        }
    }

    /// Returns the current time (seconds).
    pub fn now(&self) -> f64 {
        self.start_s + self.origin.elapsed().as_secs_f64()
    }

    /// Returns the time at which the clock was started (seconds).
    pub fn started_at(&self) -> f64 {
        self.start_s
    }

    /// Returns the time from the start of the clock to `now` (seconds).
    pub fn elapsed_s(&self, now: f64) -> f64 {
        now - self.start_s
    }

    /// Converts a time of this clock to Unix time in milliseconds.
    pub fn unix_ms(&self, now: f64) -> u64 {
        (now * 1000.0).max(0.0) as u64
    }
}
