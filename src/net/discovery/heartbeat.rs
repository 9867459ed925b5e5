//! The heartbeat of the watch: the timer of its checks, and the postponed reopening of a watch that stopped answering.

use crate::endpoints::heartbeat::{Fleet, Heartbeat, WatchTimes};
use crate::net::runtime::Runtime;
use crate::net::timer_queue::Deadline;
use crate::net::timer_queue::TIMER_TOLERANCE_S;

/// Schedule of the checks of the watch and of its reopening.
pub(super) struct WatchCheck {
    heartbeat: Heartbeat,
    /// Time at which the watch is reopened, if only checks are made until then.
    reopen_at: Option<f64>,
}

impl WatchCheck {
    /// Creates a schedule without an open watch; `jitter` from 0 to 1 is the phase of the heartbeat.
    pub(super) fn new(fleet: Fleet, now: f64, jitter: f64) -> WatchCheck {
        WatchCheck {
            heartbeat: Heartbeat::new(fleet, now, jitter),
            reopen_at: None,
        }
    }

    /// Returns whether the check that was scheduled last is due; true only once for each check.
    pub(super) fn take_due(&mut self, now: f64) -> bool {
        self.heartbeat.take_due(now + TIMER_TOLERANCE_S)
    }

    /// Returns the timeout of the check that is due (seconds).
    pub(super) fn timeout_s(&self) -> f64 {
        self.heartbeat.check_timeout_s()
    }

    /// Schedules the check of a watch made at `from`, unless a check is already scheduled.
    pub(super) fn schedule(&mut self, runtime: &mut Runtime, from: f64) {
        let next_at = self.heartbeat.start(from);
        runtime.timers.add(next_at, Deadline::Heartbeat);
    }

    /// Cancels the scheduled check, because no watch is open.
    pub(super) fn cancel(&mut self) {
        self.heartbeat.stop();
    }

    /// Returns the wait and the timeout of a watch that is made now.
    pub(super) fn watch_times(&mut self, runtime: &mut Runtime) -> WatchTimes {
        self.heartbeat
            .set_mixers(runtime.deployment.policy.aggregators);
        let jitter = runtime.rng.rand_float();
        self.heartbeat.watch_times(runtime.now, jitter)
    }

    /// Schedules the check of a watch that was made now.
    pub(super) fn watch_made(&mut self, runtime: &mut Runtime) {
        let next_at = self.heartbeat.watch_made(runtime.now);
        runtime.timers.add(next_at, Deadline::Heartbeat);
    }

    /// Records the answer to a call that discovery answers at once, and schedules the next check.
    pub(super) fn answered(&mut self, runtime: &mut Runtime) {
        let next_at = self.heartbeat.answered(runtime.now);
        runtime.timers.add(next_at, Deadline::Heartbeat);
    }

    /// Records a failed check and schedules the next one.
    pub(super) fn failed(&mut self, runtime: &mut Runtime) {
        let next_at = self.heartbeat.failed(runtime.now);
        runtime.timers.add(next_at, Deadline::Heartbeat);
    }

    /// Postpones the reopening of the watch if the fleet's checks leave too little of discovery's capacity; returns whether
    /// it was postponed.
    pub(super) fn postpone_watch(&mut self, runtime: &mut Runtime) -> bool {
        let jitter = runtime.rng.rand_float();
        let delay_s = self.heartbeat.reopen_delay_s(jitter);
        if delay_s > 0.0 {
            let reopen_at = runtime.now + delay_s;
            self.reopen_at = Some(reopen_at);
            runtime.timers.add(reopen_at, Deadline::CallDiscovery);
        }
        delay_s > 0.0
    }

    /// Returns whether the reopening was postponed and the watch has not been reopened yet.
    pub(super) fn is_watch_postponed(&self) -> bool {
        self.reopen_at.is_some()
    }

    /// Returns whether the reopening was postponed to a time that has not come yet.
    pub(super) fn is_reopening_later(&self, now: f64) -> bool {
        self.reopen_at
            .is_some_and(|at| now + TIMER_TOLERANCE_S < at)
    }

    /// Ends the postponement; returns whether there was one.
    pub(super) fn end_postponement(&mut self) -> bool {
        self.reopen_at.take().is_some()
    }

    /// Ends the postponement if checks are no longer reliable; returns whether a postponement was ended.
    pub(super) fn end_unreliable_postponement(&mut self) -> bool {
        !self.heartbeat.is_trusted() && self.end_postponement()
    }
}
