//! Servers that drain: how long they still get something new.
//!
//! This file owns for how much of the grace a draining server is used, where a partition has no other holder. It must never
//! choose a server, and never read a clock.

/// Share of the drain grace in which the last holders of a partition are still used.
const SHARE_OF_GRACE: f64 = 0.85;
/// What news of a drain and a send may be held up on their way, together (seconds).
const HELD_UP_S: f64 = 0.2;

/// Until when a server that drains may be used, of which we were notified at that time.
pub fn usable_until(notified_at: f64, grace_s: f64) -> f64 {
    notified_at + (SHARE_OF_GRACE * grace_s).min(grace_s - HELD_UP_S)
}
