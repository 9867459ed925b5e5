//! Ejection of a replica, as a whole or for one class. An ejected replica receives one probe request at a time, until
//! enough of them have been served.

use crate::decisions::learned_state::Ejection;

/// Weighted number of failures that eject a replica. A lost connection or a missing response counts as this many.
pub const FAILURES_TO_EJECT: u32 = 3;
/// Number of probe requests that must be served in a row to end an ejection.
const PROBES_TO_RETURN: u32 = 2;
/// First interval between probe requests (latency objectives).
const FIRST_PROBE_OBJECTIVES: f64 = 0.4;
/// Longest interval between probe requests (seconds).
const MAX_PROBE_INTERVAL_S: f64 = 4.0;
impl Ejection {
    /// Returns whether only probe requests are sent to the replica.
    #[inline]
    pub fn is_ejected(&self) -> bool {
        self.next_probe_at.is_some()
    }

    /// Returns whether the replica is not ejected, or a probe request is due.
    #[inline]
    pub fn is_usable(&self, now: f64) -> bool {
        self.next_probe_at.is_none_or(|probe_at| probe_at <= now)
    }

    /// Counts a failure with the given weight. Returns whether this failure starts an ejection.
    pub fn count_failure(&mut self, now: f64, objective_s: f64, weight: u32) -> bool {
        let was_ejected = self.is_ejected();
        self.failures += weight;
        self.probe_interval_s = if was_ejected {
            (self.probe_interval_s * 2.0).min(MAX_PROBE_INTERVAL_S)
        } else {
            FIRST_PROBE_OBJECTIVES * objective_s
        };
        if self.failures >= FAILURES_TO_EJECT {
            self.next_probe_at = Some(now + self.probe_interval_s);
            self.failures = PROBES_TO_RETURN;
        }
        self.is_ejected() != was_ejected
    }

    /// Counts a served part. Returns whether this part ends an ejection.
    pub fn count_success(&mut self) -> bool {
        self.failures = self.failures.saturating_sub(1);
        self.failures == 0 && self.next_probe_at.take().is_some()
    }

    /// Records that a part is sent. During an ejection the part is the probe request, and the next one is sent after an
    /// interval.
    pub fn part_sent(&mut self, now: f64) {
        if self.is_ejected() {
            self.next_probe_at = Some(now + self.probe_interval_s);
        }
    }
}

#[cfg(test)]
mod tests;
