//! Exponential backoff without jitter.
//!
//! Used for calls that are expensive for discovery and this machine and that will not succeed for a while, such as requests for
//! a list that exceeds the size limit.

/// First delay (seconds).
const FIRST_DELAY_S: f64 = 1.0;
/// Maximum delay (seconds).
const MAX_DELAY_S: f64 = 60.0;
/// Bound of the exponent. The maximum delay is reached with fewer doublings.
const MAX_DOUBLINGS: u32 = 16;

/// Backoff state: the number of consecutive failures, and the time before which the call is not retried.
#[derive(Clone, Debug, Default)]
pub struct Backoff {
    failures: u32,
    until: f64,
}

impl Backoff {
    /// Records a failed call and returns the delay before the retry (seconds).
    pub fn failed(&mut self, now: f64) -> f64 {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let delay_s = (FIRST_DELAY_S * f64::from(doublings).exp2()).min(MAX_DELAY_S);
        self.failures = self.failures.saturating_add(1);
        self.until = now + delay_s;
        delay_s
    }

    /// Records a successful call, which resets the delay.
    pub fn succeeded(&mut self) {
        *self = Backoff::default();
    }

    /// Returns the time before which the call must not be retried, if that time is after `now`.
    pub fn blocked_until(&self, now: f64) -> Option<f64> {
        Some(self.until).filter(|until| now < *until)
    }
}

#[cfg(test)]
mod tests;
