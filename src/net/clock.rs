//! The one clock of the program.
//!
//! This file owns what time it is. Nothing else in the program reads a clock: every other file is given the time.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The one clock, in Unix seconds: monotonic, tied to wall time once, so that a time told twice is twice the same,
/// and means the same to the process that takes over.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    start_s: f64,
}

impl Clock {
    /// A clock that starts now.
    pub fn start() -> Clock {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            origin: Instant::now(),
            start_s: wall.as_secs_f64(),
        }
    }

    /// The time now (seconds).
    pub fn now(&self) -> f64 {
        self.start_s + self.origin.elapsed().as_secs_f64()
    }

    /// When it was started (seconds).
    pub fn started_at(&self) -> f64 {
        self.start_s
    }

    /// How long it has run at that time (seconds).
    pub fn elapsed_s(&self, now: f64) -> f64 {
        now - self.start_s
    }

    /// A time of this clock as a Unix time in milliseconds.
    pub fn unix_ms(&self, now: f64) -> u64 {
        (now * 1000.0).max(0.0) as u64
    }
}
