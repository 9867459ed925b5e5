//! When discovery is asked: the first call, and the next one after a call that failed.
//!
//! This file owns the pace at which a mixer asks, so that a fleet of them together never asks more than the one
//! discovery can answer. It must never make a call, never read a list, and never read a clock.
//!
//! Discovery takes calls in turn. One that has waited too long has failed, and has taken its turn all the same: where all
//! mixers start together, and each that failed repeats after a second or two, it does nothing but turn calls away. So
//! first calls are spread over a time that grows with the fleet, and repeats over one that doubles.

/// Time of discovery that a mixer takes its share of, for each mixer that there is (seconds).
const EACH_S: f64 = 0.05;
/// First and longest wait after a call that failed, in a small fleet (seconds).
const AGAIN_S: (f64, f64) = (0.5, 4.0);
/// A call that failed after so long had waited in turn: discovery is there, and overbooked (seconds).
const OVERBOOKED_S: f64 = 1.0;
/// Longest wait where it is overbooked, in times of the first one.
const OVERBOOKED_MOST: f64 = 4.0;

/// What a mixer has asked, and when it asks next.
#[derive(Clone, Debug)]
pub struct Asking {
    spread_s: f64, // over which a whole fleet asks once
    within_s: f64, // the settings' limit without asking
    at: Option<f64>,
    asked_at: Option<f64>,
    wait_s: f64,
}

impl Asking {
    /// Among so many mixers; what was listed longer ago than `within_s` counts as told to one that does not ask.
    pub fn new(mixers: u32, within_s: f64, now: f64) -> Asking {
        let spread_s = (EACH_S * f64::from(mixers)).min(within_s / 2.0);
        Asking { spread_s, within_s, at: Some(now), asked_at: None, wait_s: AGAIN_S.0.max(spread_s) }
    }

    /// Whether to ask now. A call that is due is due once.
    pub fn due(&mut self, now: f64) -> bool {
        let due = self.at.take_if(|at| *at <= now).is_some();
        self.asked_at = if due { Some(now) } else { self.asked_at };
        due
    }

    /// A list is there. One that was kept from before can wait for the fleet's turn; `lot` is from 0 to 1.
    pub fn told(&mut self, now: f64, lot: f64) {
        self.wait_s = AGAIN_S.0.max(self.spread_s);
        if self.asked_at.is_none() {
            self.at = Some(now + lot * self.spread_s);
        }
    }

    /// A call has failed, or the watch has ended. The limit without asking is four times as long after that.
    pub fn failed(&mut self, now: f64, lot: f64) {
        let overbooked = self.asked_at.is_some_and(|at| now - at > OVERBOOKED_S);
        let first = AGAIN_S.0.max(self.spread_s);
        let most = if overbooked { OVERBOOKED_MOST * first } else { first };
        self.at = Some(now + self.wait_s * (0.5 + lot));
        self.wait_s = (self.wait_s * 2.0).min(most.max(AGAIN_S.1)).min(2.0 * self.within_s).max(first);
    }
}

#[cfg(test)]
mod tests;
