//! When discovery is asked: the first call, and the next one after a call that failed.
//!
//! This file owns the pace at which a mixer asks, so that a fleet of them together never asks more than the one
//! discovery can answer. It must never make a call, never read a list, and never read a clock.
//!
//! Discovery takes calls in turn. One that has waited too long has failed, and has taken its turn all the same: where all
//! mixers start together, and each that failed repeats after a second or two for ever, it may do nothing but turn calls
//! away. One that is down fails calls in the same way and after the same time, and has to be asked again soon: a change
//! counts as told 6 s after it could be reached. So first calls are spread over a time that grows with the fleet, repeats
//! come within 1.4 s, and only after many in a row do they grow rarer, in fleets that could overbook it.

/// Time of discovery that a mixer takes its share of with its first call, for each mixer that there is (seconds).
const EACH_S: f64 = 0.05;
/// The first call after a watch that ended: at the latest so soon, and so much later for each mixer (seconds).
const ENDED_S: (f64, f64) = (0.1, 0.003);
/// Wait after a call that failed, at least, and by lot at most (seconds). A call may take 2 s to fail, and the next one as
/// long to be answered: together under the 6 s in which a change has to be heard of once discovery can be reached.
const AGAIN_S: (f64, f64) = (0.2, 1.4);
/// After so many failures in a row (some 25 s) discovery is taken for overbooked, where a fleet takes longer than this to ask
/// it once each (seconds): each second failure more doubles a wait, up to so many of these times.
const OVERBOOKED: (u32, f64, f64) = (8, 2.0, 4.0);
/// How long a watch waits for news, at least, for each mixer, and at most; and its last share, drawn by lot. Guards
/// against a watch that fell silent: what it misses is heard of once it is given up. Guards discovery against the renewals
/// of a whole fleet, also in step.
const WATCH_S: (f64, f64, f64) = (3.5, 0.012, 60.0);
const WATCH_LOT: f64 = 0.2;
/// The same where lists are pushed: an agent on the mixer's own machine answers, at no cost (seconds).
const PUSHED_S: f64 = 3.0;
/// How much longer its answer may take (seconds); from 2 s on, what it missed counts as told.
pub const LATER_S: f64 = 0.75;

/// How long the next watch waits for news, among so many mixers (seconds); `lot` is from 0 to 1.
pub fn watch_s(mixers: u32, pushed: bool, lot: f64) -> f64 {
    let most = if pushed { PUSHED_S } else { (f64::from(mixers) * WATCH_S.1).clamp(WATCH_S.0, WATCH_S.2) };
    most * (1.0 - WATCH_LOT * lot)
}

/// What a mixer has asked, and when it asks next.
#[derive(Clone, Debug)]
pub struct Asking {
    spread_s: f64, // over which a whole fleet asks once
    within_s: f64, // the settings' limit without asking
    ended_s: f64,  // over which it asks again once its watches have ended
    at: Option<f64>,
    asked: bool,
    failures: u32, // since a list came
}

impl Asking {
    /// Among so many mixers; what was listed longer ago than `within_s` counts as told to one that does not ask.
    pub fn new(mixers: u32, within_s: f64, now: f64) -> Asking {
        let spread_s = (EACH_S * f64::from(mixers)).min(within_s / 2.0);
        let ended_s = (ENDED_S.0 + ENDED_S.1 * f64::from(mixers)).min(AGAIN_S.1);
        Asking { spread_s, within_s, ended_s, at: Some(now), asked: false, failures: 0 }
    }

    /// Whether to ask now. A call that is due is due once.
    pub fn due(&mut self, now: f64) -> bool {
        let due = self.at.take_if(|at| *at <= now).is_some();
        self.asked |= due;
        due
    }

    /// A list is there. One that was kept from before can wait for the fleet's turn; `lot` is from 0 to 1.
    pub fn told(&mut self, now: f64, lot: f64) {
        self.failures = 0;
        if !self.asked {
            self.at = Some(now + lot * self.spread_s);
        }
    }

    /// A call has failed, or the watch has ended.
    pub fn failed(&mut self, now: f64, lot: f64) {
        self.failures += 1;
        let wait_s = match self.failures {
            1 => lot * self.ended_s,
            _ => AGAIN_S.0 + lot * (AGAIN_S.1 - AGAIN_S.0),
        };
        self.at = Some(now + wait_s + (0.5 + lot) * self.relief_s());
    }

    /// What a fleet that may be overbooking discovery waits beside that.
    fn relief_s(&self) -> f64 {
        let (many, least_s, most) = OVERBOOKED;
        if self.failures <= many || self.spread_s < least_s {
            return 0.0;
        }
        let doubled = (f64::from(self.failures - many) / 2.0).exp2();
        doubled.min(most * self.spread_s).min(self.within_s * 2.0)
    }
}

#[cfg(test)]
mod tests;
