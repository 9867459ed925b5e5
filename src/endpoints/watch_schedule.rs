//! The schedule of a mixer's calls to discovery while no watch is open: the first call, and the retries of failed calls.
//!
//! The schedule limits the call rate, so that a fleet of mixers does not overload the one discovery that it shares. Discovery
//! answers calls one after the other, and a call that has timed out may still take its time. If all mixers started together and
//! retried every second or two, discovery could be busy with timed-out calls only. A discovery that is down fails calls in the
//! same way and after the same time, but has to be called again soon: a change counts as notified 6 s after discovery is
//! reachable. Therefore first calls are spread over a time that grows with the fleet, failed calls are retried within 1.4 s, and
//! only after many consecutive failures do the mixers of a large fleet back off.

/// Spread of the first calls of a fleet that starts together, for each mixer (seconds). A mixer serves no client before its first
/// call is answered, so the spread must be short.
const FIRST_CALL_SPREAD_PER_MIXER_S: f64 = 0.02;
/// Maximum spread of the first calls (seconds): discovery answers 1,000 calls for changes that are made within this time before
/// they time out.
const MAX_FIRST_CALL_SPREAD_S: f64 = 2.0;
/// Time that discovery takes to answer one call with a complete list (seconds).
const COMPLETE_LIST_SERVICE_S: f64 = 0.05;
/// Spread of the first calls after the end of a watch: this time, plus `REOPEN_SPREAD_PER_MIXER_S` for each mixer (seconds).
const MIN_REOPEN_SPREAD_S: f64 = 0.1;
const REOPEN_SPREAD_PER_MIXER_S: f64 = 0.003;
/// Bounds of the random delay after a failed call (seconds). A call may take 2 s to fail, and the next call 2 s to be answered;
/// with the delay this is less than the 6 s within which a change has to be received once discovery is reachable.
const MIN_RETRY_DELAY_S: f64 = 0.2;
const MAX_RETRY_DELAY_S: f64 = 1.4;
/// Number of consecutive failures (about 25 s) after which discovery is presumed to be overloaded by a large fleet. With every
/// two further failures the additional delay doubles.
const MAX_FAILURES_BEFORE_BACKOFF: u32 = 8;
/// Minimum time that discovery takes to answer each mixer once for the fleet to count as large (seconds).
const MIN_LARGE_FLEET_SERVICE_S: f64 = 2.0;
/// Maximum of the additional delay, as a multiple of the time that discovery takes to answer each mixer once.
const MAX_BACKOFF_FACTOR: f64 = 4.0;
/// Timeout of a call that opens a watch and that discovery answers immediately (seconds).
pub const OPEN_TIMEOUT_S: f64 = 2.0;
/// Timeout of the first such calls after the end of a working watch (seconds). The lost watch, the failed calls and the delays
/// between them have to fit into the 6 s after which a change counts as notified.
const REOPEN_TIMEOUT_S: f64 = 0.5;
/// Number of failures up to which the short timeout applies.
const MAX_QUICK_REOPENS: u32 = 2;
/// Time after which a call of a small fleet is overdue (seconds): the answer to the next call then arrives within the drain
/// grace.
const MIN_OVERDUE_S: f64 = 0.3;
/// Time after which a call is overdue, for each mixer of the fleet (seconds). Discovery answers all mixers in less time, even if
/// each gets the complete list.
const OVERDUE_PER_MIXER_S: f64 = 0.1;

/// Returns the timeout of a call that opens a watch and that discovery answers immediately (seconds). `failures` is the number of
/// consecutive failures, including the end of the previous watch; `has_worked` is whether there was a previous watch.
pub fn open_timeout_s(has_worked: bool, failures: u32) -> f64 {
    if has_worked && failures <= MAX_QUICK_REOPENS {
        REOPEN_TIMEOUT_S
    } else {
        OPEN_TIMEOUT_S
    }
}

/// Returns the time after which a call that opens a watch is overdue and another call is made in parallel (seconds). `mixers` is
/// the number of mixers that call the same discovery, `overdue_calls` the number of overdue calls that are already open.
/// Discovery may have written an answer that was not received, and a change in it counts as notified. A small fleet therefore
/// calls again soon, but less often the more calls are open.
pub fn overdue_after_s(mixers: u32, overdue_calls: usize) -> f64 {
    let overdue_s = (f64::from(mixers) * OVERDUE_PER_MIXER_S).max(MIN_OVERDUE_S);
    (overdue_s * (overdue_calls as f64).exp2()).min(OPEN_TIMEOUT_S)
}

/// Returns the delay after a failed call while an overdue call is open (seconds), or `None` if the `mixers` that call the same
/// discovery are too many to call more often than the watch schedule allows.
pub fn retry_while_overdue_s(mixers: u32) -> Option<f64> {
    let delay_s = overdue_after_s(mixers, 0);
    (delay_s < OPEN_TIMEOUT_S).then_some(delay_s)
}

/// Time of a mixer's next call to discovery. Times are on the caller's clock (seconds).
#[derive(Clone, Debug)]
pub struct WatchSchedule {
    first_call_spread_s: f64,
    /// Time that discovery takes to answer each mixer of the fleet once.
    fleet_service_s: f64,
    /// Maximum age of a list in the settings.
    max_list_age_s: f64,
    /// Time over which a fleet's first calls after the end of their watches are spread.
    reopen_spread_s: f64,
    next_at: Option<f64>,
    has_called: bool,
    /// Number of failures since the last list was received.
    failures: u32,
}

impl WatchSchedule {
    /// Creates the schedule of one of `mixers` that call the same discovery; `max_list_age_s` is the maximum age of a list in the
    /// settings (seconds). The first call is due now.
    pub fn new(mixers: u32, max_list_age_s: f64, now: f64) -> WatchSchedule {
        let for_all_mixers_s = |per_mixer_s: f64| per_mixer_s * f64::from(mixers);
        let first_call_spread_s = for_all_mixers_s(FIRST_CALL_SPREAD_PER_MIXER_S)
            .min(MAX_FIRST_CALL_SPREAD_S)
            .min(max_list_age_s / 2.0);
        WatchSchedule {
            first_call_spread_s,
            fleet_service_s: for_all_mixers_s(COMPLETE_LIST_SERVICE_S).min(max_list_age_s / 2.0),
            max_list_age_s,
            reopen_spread_s: (MIN_REOPEN_SPREAD_S + REOPEN_SPREAD_PER_MIXER_S * f64::from(mixers))
                .min(MAX_RETRY_DELAY_S),
            next_at: Some(now),
            has_called: false,
            failures: 0,
        }
    }

    /// Returns whether to call now; true once for each call that is due.
    pub fn take_due(&mut self, now: f64) -> bool {
        let is_due = self.next_at.take_if(|at| *at <= now).is_some();
        self.has_called |= is_due;
        is_due
    }

    /// Records that a list was received. If the list was cached before the start, the first call is delayed; `jitter` is from 0
    /// to 1.
    pub fn list_received(&mut self, now: f64, jitter: f64) {
        self.failures = 0;
        if !self.has_called {
            self.next_at = Some(now + jitter * self.first_call_spread_s);
        }
    }

    /// Records that a call failed or the watch ended, and schedules the next call; `jitter` is from 0 to 1.
    pub fn call_failed(&mut self, now: f64, jitter: f64) {
        self.failures += 1;
        let delay_s = match self.failures {
            1 => jitter * self.reopen_spread_s,
            _ => MIN_RETRY_DELAY_S + jitter * (MAX_RETRY_DELAY_S - MIN_RETRY_DELAY_S),
        };
        self.next_at = Some(now + delay_s + (0.5 + jitter) * self.backoff_s());
    }

    /// Returns the additional delay of a fleet that may be overloading discovery, before jitter (seconds).
    fn backoff_s(&self) -> f64 {
        if self.failures <= MAX_FAILURES_BEFORE_BACKOFF
            || self.fleet_service_s < MIN_LARGE_FLEET_SERVICE_S
        {
            return 0.0;
        }
        let doubled_s = (f64::from(self.failures - MAX_FAILURES_BEFORE_BACKOFF) / 2.0).exp2();
        doubled_s
            .min(MAX_BACKOFF_FACTOR * self.fleet_service_s)
            .min(self.max_list_age_s * 2.0)
    }
}

#[cfg(test)]
mod tests;
