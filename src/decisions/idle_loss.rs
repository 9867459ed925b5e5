//! Losses on idle connections that a network element has dropped, and the idle time from which a connection should be
//! replaced.

/// Time without use after which a connection is idle (seconds).
const IDLE_S: f64 = 0.25;
/// Weight of a new sample in the smoothed share of lost parts.
const SMOOTHING: f64 = 0.1;
/// Share of lost parts from which idle connections are assumed to be dropped.
const MIN_LOST_SHARE: f64 = 0.15;
/// Time after the last such loss for which further losses are expected (seconds).
const LOSSES_EXPECTED_FOR_S: f64 = 30.0;
/// Idle time from which connections are replaced, as a share of the shortest idle time after which a part was lost.
const SHARE_OF_LOST_IDLE: f64 = 0.8;

/// The statistics of losses on idle connections.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct IdleLosses {
    lost_share: f64,
    min_lost_idle_s: f64,
    expected_until: f64,
}

impl IdleLosses {
    /// Creates statistics without losses.
    pub fn new(now: f64) -> IdleLosses {
        IdleLosses {
            lost_share: 0.0,
            min_lost_idle_s: f64::INFINITY,
            expected_until: now,
        }
    }

    /// Records a part without an answer on a connection that had been unused for `idle_s`. Returns whether the connection
    /// was idle.
    pub fn part_lost(&mut self, idle_s: f64) -> bool {
        let is_idle = idle_s > IDLE_S;
        if is_idle {
            self.lost_share += SMOOTHING * (1.0 - self.lost_share);
        }
        is_idle
    }

    /// Records a part that was served on a connection unused for `idle_s`. `lost_idle_s` is the idle time of the connection
    /// on which the replica's previous loss occurred. If many parts were lost and this one was served on a connection that
    /// was not idle, connections are being dropped while idle, without notice.
    pub fn part_served(&mut self, now: f64, idle_s: f64, lost_idle_s: Option<f64>) {
        let is_confirmed = idle_s == 0.0 && self.lost_share > MIN_LOST_SHARE;
        if let Some(lost_idle_s) = lost_idle_s.filter(|_| is_confirmed) {
            let former_min_s = if now < self.expected_until {
                self.min_lost_idle_s
            } else {
                f64::INFINITY
            };
            self.min_lost_idle_s = former_min_s.min(lost_idle_s);
            self.expected_until = now + LOSSES_EXPECTED_FOR_S;
        }
        if idle_s > IDLE_S {
            self.lost_share -= SMOOTHING * self.lost_share;
        }
    }

    /// Returns whether a part is likely to be lost on a connection that has been unused for `idle_s`.
    pub fn is_likely_lost(&self, now: f64, idle_s: f64) -> bool {
        now < self.expected_until && idle_s >= SHARE_OF_LOST_IDLE * self.min_lost_idle_s
    }
}

#[cfg(test)]
mod tests;
