//! Accepted settings that are not applied yet, and former ones that clients may still follow. It does no I/O.

use crate::config::Deployment;
use std::collections::VecDeque;
use std::rc::Rc;

/// Delay before accepted settings are applied (seconds). Clients follow new settings from 1.2 s after SIGHUP at the latest, and
/// may name new classes from then on.
const APPLY_AFTER_S: f64 = 1.0;
/// Time for which clients may follow former settings after new ones were applied (seconds): up to 1.2 s after SIGHUP, and until
/// their requests have arrived.
const TRANSITION_S: f64 = 0.25;
/// Maximum number of settings that wait to be applied. Further ones replace the latest of them.
const MAX_WAITING: usize = 16;

/// Settings that are accepted but not applied yet.
struct ScheduledSettings {
    deployment: Rc<Deployment>,
    /// Time at which the settings are applied (seconds on the event loop's clock).
    apply_at: f64,
}

/// Settings that others have replaced.
struct FormerSettings {
    deployment: Rc<Deployment>,
    /// Time until which clients may follow the settings (seconds on the event loop's clock).
    followed_until: f64,
}

/// Times at which accepted settings change what the mixer does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ApplyTimes {
    /// Time at which the settings are applied, restricted to what the former ones allow as well (seconds).
    pub(super) apply_at: f64,
    /// Time at which the restrictions end (seconds).
    pub(super) complete_at: f64,
}

/// The settings that wait to be applied, in the order in which they were accepted, and those that clients may still follow.
/// Each is applied by its own time: later settings neither replace earlier ones that clients will use first, nor are applied
/// together with them.
#[derive(Default)]
pub(super) struct SettingsSchedule {
    waiting: VecDeque<ScheduledSettings>,
    /// The settings that were applied last, without restrictions; `None` before the first.
    latest: Option<Rc<Deployment>>,
    former: VecDeque<FormerSettings>,
}

impl SettingsSchedule {
    /// Schedules settings that were accepted at `now` (seconds), where `current` are in use. Returns the times at which
    /// [`SettingsSchedule::take_due`] has to be called, or `None` if they equal those that are in use by then.
    pub(super) fn accept(
        &mut self,
        now: f64,
        deployment: Deployment,
        current: &Deployment,
    ) -> Option<ApplyTimes> {
        let waiting = self.waiting.back().map(|last| &*last.deployment);
        let last = waiting.or(self.latest.as_deref()).unwrap_or(current);
        if *last == deployment {
            return None;
        }
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_back();
        }
        let apply_at = now + APPLY_AFTER_S;
        self.waiting.push_back(ScheduledSettings {
            deployment: Rc::new(deployment),
            apply_at,
        });
        Some(ApplyTimes {
            apply_at,
            complete_at: apply_at + TRANSITION_S,
        })
    }

    /// Returns the settings to be used from `now` (seconds) on, if they differ from the `current` ones. Has to be called until
    /// it returns `None`, because each of several settings that are due is returned.
    pub(super) fn take_due(
        &mut self,
        now: f64,
        current: &Rc<Deployment>,
    ) -> Option<Rc<Deployment>> {
        let is_due = |scheduled: &ScheduledSettings| scheduled.apply_at <= now;
        if self.waiting.front().is_some_and(is_due) {
            let due = self.waiting.pop_front()?;
            self.former.push_back(FormerSettings {
                deployment: self.latest.take().unwrap_or_else(|| current.clone()),
                followed_until: due.apply_at + TRANSITION_S,
            });
            self.latest = Some(due.deployment);
        }
        self.former.retain(|former| former.followed_until > now);
        let latest = Deployment::clone(self.latest.as_deref()?);
        let newest_first = self.former.iter().rev();
        let restricted = newest_first.fold(latest, |deployment, former| {
            deployment.restricted_by(&former.deployment)
        });
        (restricted != **current).then(|| Rc::new(restricted))
    }
}

#[cfg(test)]
mod tests;
