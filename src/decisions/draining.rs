//! Draining replicas: how long they still get something new.
//!
//! This file owns for how much of the grace a draining replica is used, where a shard has no other holder. It must never
//! choose a replica, and never read a clock.

/// Share of the drain grace in which the last holders of a shard are still used.
const USABLE_GRACE_SHARE: f64 = 0.85;
/// Longest delay of the notification and of a send on their way, together (seconds).
const MAX_DELAY_S: f64 = 0.2;

/// Until when a replica may be used of whose draining we were notified at `notified_at`; `grace_s` is the drain grace.
#[inline]
pub fn usable_until(notified_at: f64, grace_s: f64) -> f64 {
    notified_at + (USABLE_GRACE_SHARE * grace_s).min(grace_s - MAX_DELAY_S)
}
