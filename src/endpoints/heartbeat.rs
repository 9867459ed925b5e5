//! The heartbeat of a watch on discovery, which detects a watch that has become silent.
//!
//! A watch whose connection stays open but delivers nothing looks like a watch without changes. Therefore each mixer renews its
//! watch at a fixed period and at a random phase, and the answer serves as the heartbeat. If the answer is late, the mixer makes
//! a check on a second connection: a call that discovery answers immediately. The check delivers the changes that the watch
//! missed, and the watch is reopened. A renewed watch costs discovery little, while a check costs as much as any other call, so
//! checks are made only for late answers. The detection time does not depend on the number of mixers; the phases spread the
//! calls of a fleet evenly.

/// Renewal period of a watch if lists are polled (seconds). A change that a silent watch misses counts as known 6 s after the
/// watch became silent; the period, a late answer, two failed calls and an answer have to fit into that time. 1,000 mixers renew
/// 222 watches a second, and discovery answers 250 calls a second.
const POLLED_PERIOD_S: f64 = 4.5;
/// Renewal period of a watch if lists are pushed, so that an agent on the mixer's own machine answers (seconds).
const PUSHED_PERIOD_S: f64 = 2.0;
/// Lateness of a watch's answer after which a check is made (seconds).
const LATE_S: f64 = 0.1;
/// Timeout of a check (seconds): a check that has to wait is no evidence that the watch works.
const CHECK_TIMEOUT_S: f64 = 0.3;
/// Time from a check to its retry, regardless of how it failed (seconds). Single calls may fail although discovery is up.
const RETRY_INTERVAL_S: f64 = 0.35;
/// Maximum number of consecutive retries. After that, discovery counts as unreachable and is called once a period.
const MAX_RETRIES: u32 = 2;
/// Rate at which all mixers together may retry, in addition to their saved tokens (retries per second). Retries must not keep
/// discovery overloaded while it works off its queue.
const FLEET_RETRIES_PER_S: f64 = 10.0;
/// Capacity of a mixer's token bucket for retries.
const MAX_RETRY_TOKENS: f64 = 2.0;
/// Timeout of a check once the retries are used up (seconds): a discovery with a long queue answers late.
const UNREACHABLE_TIMEOUT_S: f64 = 2.0;
/// Number of consecutive failures from which checks are no longer relied on.
const MAX_TRUSTED_FAILURES: u32 = 5;

/// Minimum time between two renewals (seconds).
const MIN_DISTANCE_S: f64 = 0.01;

/// Number of calls for changes that discovery is expected to answer a second: 250 less a reserve. If all watches of a large
/// fleet become silent together, they are reopened at the rate that the checks leave.
const DISCOVERY_CALLS_PER_S: f64 = 235.0;
/// Maximum time over which the reopening of watches is spread (seconds).
const MAX_REOPEN_S: f64 = 60.0;

/// Wait of a watch without checks, before jitter. A change that such a watch misses is received only after the watch timed out;
/// the wait grows with the fleet, which limits the rate at which a fleet renews its watches.
const UNCHECKED_WAIT: UncheckedWait = UncheckedWait {
    min_s: 3.5,
    per_mixer_s: 0.012,
    max_s: 60.0,
    pushed_s: 3.0,
};
/// Share of the wait that is subject to jitter, so that the mixers of a fleet do not renew their watches at the same time.
const WAIT_JITTER: f64 = 0.2;
/// Time beyond its wait after which a watch with checks times out (seconds).
const CHECKED_TIMEOUT_MARGIN_S: f64 = 2.0;
/// Time beyond its wait after which a watch without checks times out (seconds).
const UNCHECKED_TIMEOUT_MARGIN_S: f64 = 0.75;

/// Wait of a watch without checks (seconds).
struct UncheckedWait {
    min_s: f64,
    /// Wait for each mixer of the fleet, if lists are polled.
    per_mixer_s: f64,
    max_s: f64,
    /// Wait if lists are pushed.
    pushed_s: f64,
}

/// Wait and timeout of a watch.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WatchTimes {
    /// Time for which discovery waits for changes before it answers (seconds).
    pub wait_s: f64,
    /// Timeout of the call, from its start (seconds).
    pub timeout_s: f64,
}

/// The fleet of mixers that call the same discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet {
    /// Number of mixers.
    pub mixers: u32,
    /// Whether each mixer has an agent on its own machine to which lists are pushed.
    pub is_pushed: bool,
}

impl Fleet {
    /// Returns the number of mixers that share the agent or the discovery that this mixer calls, at least 1.
    pub fn sharers(&self) -> u32 {
        if self.is_pushed {
            1
        } else {
            self.mixers.max(1)
        }
    }
}

/// The heartbeat schedule of a mixer. Times are on the caller's clock (seconds).
#[derive(Clone, Debug)]
pub struct Heartbeat {
    fleet: Fleet,
    period_s: f64,
    phase_s: f64,
    /// Time of the next check; `None` while no watch is open.
    next_at: Option<f64>,
    checked_at: f64,
    /// Number of consecutive failures.
    failures: u32,
    /// Whether discovery has answered a check, and fewer than [`MAX_TRUSTED_FAILURES`] checks failed since.
    is_trusted: bool,
    retry_tokens: f64,
    refilled_at: f64,
}

impl Heartbeat {
    /// Creates the heartbeat of a mixer that starts now; `jitter` from 0 to 1 determines its phase.
    pub fn new(fleet: Fleet, now: f64, jitter: f64) -> Heartbeat {
        let period_s = if fleet.is_pushed {
            PUSHED_PERIOD_S
        } else {
            POLLED_PERIOD_S
        };
        Heartbeat {
            fleet,
            period_s,
            phase_s: now + jitter * period_s,
            next_at: None,
            checked_at: now,
            failures: 0,
            is_trusted: false,
            retry_tokens: MAX_RETRY_TOKENS,
            refilled_at: now,
        }
    }

    /// Sets the number of mixers after a change of settings.
    pub fn set_mixers(&mut self, mixers: u32) {
        self.fleet.mixers = mixers;
    }

    /// Schedules a check for the time at which the answer to a watch made now is late, unless a check is scheduled already.
    /// Returns the time of the check.
    pub fn start(&mut self, now: f64) -> f64 {
        *self
            .next_at
            .get_or_insert(next_in_phase(self.phase_s, self.period_s, now) + LATE_S)
    }

    /// Records that a watch was made, and schedules its check in place of any other. Returns the time of the check.
    pub fn watch_made(&mut self, now: f64) -> f64 {
        self.next_at = None;
        self.start(now)
    }

    /// Records that no watch is open any more.
    pub fn stop(&mut self) {
        self.next_at = None;
    }

    /// Returns whether to make a check now; true once for each check that is due.
    pub fn take_due(&mut self, now: f64) -> bool {
        let is_due = self.next_at.take_if(|at| *at <= now).is_some();
        if is_due {
            self.checked_at = now;
            self.refill_retry_tokens(now);
        }
        is_due
    }

    /// Returns the timeout of the check that is due (seconds).
    pub fn check_timeout_s(&self) -> f64 {
        if self.failures < MAX_RETRIES && self.retry_tokens >= 1.0 {
            CHECK_TIMEOUT_S
        } else {
            UNREACHABLE_TIMEOUT_S
        }
    }

    /// Records the answer to a call that discovery answers immediately. Returns the time of the next check.
    pub fn answered(&mut self, now: f64) -> f64 {
        self.failures = 0;
        self.is_trusted = true;
        self.next_at = None;
        self.start(now)
    }

    /// Records that the check failed or timed out. Returns the time of the next check.
    pub fn failed(&mut self, now: f64) -> f64 {
        self.failures = self.failures.saturating_add(1);
        self.is_trusted &= self.failures < MAX_TRUSTED_FAILURES;
        if self.failures > MAX_RETRIES || !self.take_retry_token() {
            self.next_at = None;
            return self.start(now);
        }
        let at = (self.checked_at + RETRY_INTERVAL_S).max(now);
        self.next_at = Some(at);
        at
    }

    fn refill_retry_tokens(&mut self, now: f64) {
        let sharers = f64::from(self.fleet.sharers());
        let refill = (now - self.refilled_at).max(0.0) * FLEET_RETRIES_PER_S / sharers;
        self.retry_tokens = (self.retry_tokens + refill).min(MAX_RETRY_TOKENS);
        self.refilled_at = now;
    }

    /// Takes a retry token. Returns false if none is left.
    fn take_retry_token(&mut self) -> bool {
        let has_token = self.retry_tokens >= 1.0;
        if has_token {
            self.retry_tokens -= 1.0;
        }
        has_token
    }

    /// Returns the delay before a silent watch is reopened, during which only checks are made (seconds); `jitter` is from 0 to 1.
    /// The delay is 0 if the checks of the fleet leave discovery enough capacity, if checks are not relied on, or if lists are
    /// pushed.
    pub fn reopen_delay_s(&self, jitter: f64) -> f64 {
        let mixers = f64::from(self.fleet.mixers);
        let reopens_per_s =
            (DISCOVERY_CALLS_PER_S - mixers / self.period_s).max(mixers / MAX_REOPEN_S);
        let spread_s = if self.fleet.is_pushed || !self.is_trusted {
            0.0
        } else {
            mixers / reopens_per_s - self.period_s
        };
        jitter * spread_s.clamp(0.0, MAX_REOPEN_S)
    }

    /// Returns whether checks can be relied on, because discovery has recently answered one.
    pub fn is_trusted(&self) -> bool {
        self.is_trusted
    }

    /// Returns the wait and timeout of a watch made now; `jitter` is from 0 to 1.
    pub fn watch_times(&self, now: f64, jitter: f64) -> WatchTimes {
        if self.is_trusted {
            let wait_s = next_in_phase(self.phase_s, self.period_s, now) - now;
            return WatchTimes {
                wait_s,
                timeout_s: wait_s + CHECKED_TIMEOUT_MARGIN_S,
            };
        }
        let fleet_wait_s = f64::from(self.fleet.mixers) * UNCHECKED_WAIT.per_mixer_s;
        let max_wait_s = if self.fleet.is_pushed {
            UNCHECKED_WAIT.pushed_s
        } else {
            fleet_wait_s.clamp(UNCHECKED_WAIT.min_s, UNCHECKED_WAIT.max_s)
        };
        let wait_s = max_wait_s * (1.0 - WAIT_JITTER * jitter);
        WatchTimes {
            wait_s,
            timeout_s: wait_s + UNCHECKED_TIMEOUT_MARGIN_S,
        }
    }
}

/// Returns the first time after `now` at this phase, at least [`MIN_DISTANCE_S`] later.
fn next_in_phase(phase_s: f64, period_s: f64, now: f64) -> f64 {
    let periods = ((now + MIN_DISTANCE_S - phase_s) / period_s).floor() + 1.0;
    phase_s + periods.max(0.0) * period_s
}

#[cfg(test)]
mod tests;
