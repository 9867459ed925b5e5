//! Draining replicas: the time for which they may still receive parts of shards without another holder.

/// Share of the drain grace in which the last holders of a shard are still used.
const USABLE_GRACE_SHARE: f64 = 0.85;
/// Longest total delay of the notification and of a request on the network (seconds).
const MAX_DELAY_S: f64 = 0.2;

/// Returns the time until which a replica may be used if this process was notified of its draining at `notified_at`;
/// `grace_s` is the drain grace.
#[inline]
pub fn usable_until(notified_at: f64, grace_s: f64) -> f64 {
    notified_at + (USABLE_GRACE_SHARE * grace_s).min(grace_s - MAX_DELAY_S)
}
