//! Accepted settings that are not applied yet, each with the time at which it is applied. It does no I/O.

use crate::config::Deployment;
use std::collections::VecDeque;
use std::rc::Rc;

/// Delay before accepted settings are applied (seconds). Clients are notified of new settings up to 1.2 s after SIGHUP and use
/// the old ones until then.
const APPLY_AFTER_S: f64 = 1.0;
/// Maximum number of settings that wait to be applied. Further ones replace the latest of them.
const MAX_WAITING: usize = 16;

/// Settings that are accepted but not applied yet.
struct ScheduledSettings {
    deployment: Rc<Deployment>,
    /// Time at which the settings are applied (seconds on the event loop's clock).
    apply_at: f64,
}

/// The settings that wait to be applied, in the order in which they were accepted. Each is applied by its own time: later
/// settings neither replace earlier ones that clients will use first, nor are applied together with them.
#[derive(Default)]
pub(super) struct SettingsSchedule {
    waiting: VecDeque<ScheduledSettings>,
}

impl SettingsSchedule {
    /// Schedules settings that were accepted at `now` (seconds). Returns the time at which they are applied, or `None` if they
    /// equal those that are in use by then.
    pub(super) fn accept(
        &mut self,
        now: f64,
        deployment: Deployment,
        current: &Deployment,
    ) -> Option<f64> {
        let last = self
            .waiting
            .back()
            .map_or(current, |scheduled| &scheduled.deployment);
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
        Some(apply_at)
    }

    /// Removes and returns the first settings if they are due at `now` (seconds).
    pub(super) fn take_due(&mut self, now: f64) -> Option<Rc<Deployment>> {
        if self.waiting.front()?.apply_at > now {
            return None;
        }
        let scheduled = self.waiting.pop_front()?;
        Some(scheduled.deployment)
    }
}

#[cfg(test)]
mod tests;
