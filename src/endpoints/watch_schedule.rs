//! When a mixer calls discovery while it has no watch there: the first call, and the next one after a call that failed.
//!
//! This file owns the rate at which a mixer calls, so that a fleet of mixers never makes more calls than the one discovery
//! can answer. It must never make a call, read a list or read a clock.
//!
//! Discovery answers calls in turn. One that waited too long has timed out, and may have taken its turn all the same: if all
//! mixers start together, and each retries after a second or two without end, discovery may do nothing but fail calls. A
//! discovery that is down fails calls in the same way and after the same time, and has to be called again soon: a change
//! counts as notified 6 s after it could be reached. So first calls are spread over a time that grows with the fleet, retries
//! come within 1.4 s, and only after many in a row do fleets that could overload discovery back off.

/// First calls of a fleet that starts together are spread over this time for each mixer (seconds). A mixer serves no one before
/// its first call is answered, so that this call has to come soon.
const FIRST_CALL_EACH_S: f64 = 0.02;
/// First calls are spread over this time at most (seconds): discovery answers 1,000 calls for changes made within it before
/// they time out.
const MAX_FIRST_CALL_SPREAD_S: f64 = 2.0;
/// Time that discovery takes to answer with a complete list, for each mixer (seconds).
const WHOLE_LIST_EACH_S: f64 = 0.05;
/// The first call after the end of a watch comes within this time, and within `REOPEN_EACH_S` more for each mixer (seconds).
const REOPEN_WITHIN_S: f64 = 0.1;
const REOPEN_EACH_S: f64 = 0.003;
/// Bounds of the random delay after a failed call (seconds). A call may take 2 s to fail, and the next one as long to be
/// answered: together less than the 6 s within which a change has to be received once discovery can be reached.
const MIN_RETRY_S: f64 = 0.2;
const MAX_RETRY_S: f64 = 1.4;
/// After this many failures in a row, some 25 s, discovery is presumed overloaded by a large fleet: with every second failure
/// more the delay doubles.
const OVERLOADED_FAILURES: u32 = 8;
/// A fleet is large if discovery takes longer than this to answer each mixer once (seconds).
const OVERLOADING_TURN_S: f64 = 2.0;
/// The doubled delay is at most this many times as long as discovery takes to answer each mixer once.
const MAX_RELIEF_TURNS: f64 = 4.0;
/// Timeout of a call that opens a watch and is answered without waiting (seconds).
pub const OPEN_TIMEOUT_S: f64 = 2.0;
/// Timeout of the first such calls after a watch that worked (seconds): a lost watch, the calls that failed and the delays
/// between them have to fit into the 6 s within which a change counts as notified.
const REOPEN_TIMEOUT_S: f64 = 0.5;
const MAX_QUICK_REOPENS: u32 = 2;
/// In a small fleet a call is overdue after this time, so that the answer to the next one comes within the drain grace (seconds).
const MIN_OVERDUE_S: f64 = 0.3;
/// The same for each mixer of the fleet: discovery answers all of them in less, also where each call gets the complete list.
const OVERDUE_EACH_S: f64 = 0.1;

/// Timeout of a call that opens a watch and is answered without waiting (seconds), after that many failures in a row, the end
/// of the watch before included; `has_worked` is whether there was a watch before.
pub fn open_timeout_s(has_worked: bool, failures: u32) -> f64 {
    if has_worked && failures <= MAX_QUICK_REOPENS {
        REOPEN_TIMEOUT_S
    } else {
        OPEN_TIMEOUT_S
    }
}

/// When a call that opens a watch is overdue, so that another one is made beside it (seconds), among `mixers` that call the same
/// discovery, while `overdue_calls` are open already. Discovery may have written the answer to a call that it seems to leave
/// open, and a change in it counts as notified. A small fleet soon calls again, less often the more calls are open.
pub fn overdue_after_s(mixers: u32, overdue_calls: usize) -> f64 {
    let overdue_s = (f64::from(mixers) * OVERDUE_EACH_S).max(MIN_OVERDUE_S);
    (overdue_s * (overdue_calls as f64).exp2()).min(OPEN_TIMEOUT_S)
}

/// Delay before the call after one that failed while an overdue call is open (seconds), among `mixers` that call the same
/// discovery; none where these are too many to call more often than the watch schedule says.
pub fn retry_while_overdue_s(mixers: u32) -> Option<f64> {
    let delay_s = overdue_after_s(mixers, 0);
    (delay_s < OPEN_TIMEOUT_S).then_some(delay_s)
}

/// When a mixer calls discovery next. Times are of the caller's clock (seconds).
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    first_call_spread_s: f64,
    /// How long discovery takes to answer each mixer of the fleet once.
    fleet_turn_s: f64,
    /// The settings' limit on the age of a list.
    max_list_age_s: f64,
    /// Over how long a fleet's first calls are spread after their watches ended.
    reopen_spread_s: f64,
    next_at: Option<f64>,
    has_called: bool,
    /// Since the last list.
    failures: u32,
}

impl WatchSchedule {
    /// The schedule of one of `mixers` that call the same discovery; `max_list_age_s` is the settings' limit on the age of a
    /// list (seconds). The first call is due now.
    pub fn new(mixers: u32, max_list_age_s: f64, now: f64) -> WatchSchedule {
        let for_all_mixers_s = |each_s: f64| each_s * f64::from(mixers);
        let first_call_spread_s = for_all_mixers_s(FIRST_CALL_EACH_S)
            .min(MAX_FIRST_CALL_SPREAD_S)
            .min(max_list_age_s / 2.0);
        WatchSchedule {
            first_call_spread_s,
            fleet_turn_s: for_all_mixers_s(WHOLE_LIST_EACH_S).min(max_list_age_s / 2.0),
            max_list_age_s,
            reopen_spread_s: (REOPEN_WITHIN_S + REOPEN_EACH_S * f64::from(mixers)).min(MAX_RETRY_S),
            next_at: Some(now),
            has_called: false,
            failures: 0,
        }
    }

    /// Whether to call now. True once for each call that is due.
    pub fn take_due(&mut self, now: f64) -> bool {
        let is_due = self.next_at.take_if(|at| *at <= now).is_some();
        self.has_called |= is_due;
        is_due
    }

    /// A list was received. If it was cached from before the start, the first call is spread; `jitter` is from 0 to 1.
    pub fn list_received(&mut self, now: f64, jitter: f64) {
        self.failures = 0;
        if !self.has_called {
            self.next_at = Some(now + jitter * self.first_call_spread_s);
        }
    }

    /// A call failed, or the watch ended; `jitter` is from 0 to 1.
    pub fn call_failed(&mut self, now: f64, jitter: f64) {
        self.failures += 1;
        let delay_s = match self.failures {
            1 => jitter * self.reopen_spread_s,
            _ => MIN_RETRY_S + jitter * (MAX_RETRY_S - MIN_RETRY_S),
        };
        self.next_at = Some(now + delay_s + (0.5 + jitter) * self.relief_s());
    }

    /// The additional delay of a fleet that may be overloading discovery (seconds).
    fn relief_s(&self) -> f64 {
        if self.failures <= OVERLOADED_FAILURES || self.fleet_turn_s < OVERLOADING_TURN_S {
            return 0.0;
        }
        let doubled_s = (f64::from(self.failures - OVERLOADED_FAILURES) / 2.0).exp2();
        doubled_s
            .min(MAX_RELIEF_TURNS * self.fleet_turn_s)
            .min(self.max_list_age_s * 2.0)
    }
}

#[cfg(test)]
mod tests;
