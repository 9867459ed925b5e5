//! The settings by which requests are accepted: those in use, accepted ones that are not applied yet, and the restrictions that hold
//! while clients may follow others.
//!
//! The module does no I/O and reads no clock. Times are seconds on the caller's clock.

mod handover;

pub use handover::{FormerHandover, ScheduleHandover, WaitingHandover};

use crate::config::{DecodedSettings, Deployment, Uncertainty};
use std::collections::VecDeque;
use std::rc::Rc;

/// Delay before accepted settings are applied (seconds). Clients follow new settings from 1.2 s after SIGHUP at the latest, and
/// may name new classes from then on.
const APPLY_AFTER_S: f64 = 1.0;
/// Time for which clients may follow former settings after new ones were applied (seconds): up to 1.2 s after SIGHUP, and until
/// their requests have arrived.
const TRANSITION_S: f64 = 0.25;
/// Time for which clients may follow other settings than those that this process has read, if it does not know since when these
/// have been in force (seconds).
const UNKNOWN_AGE_S: f64 = APPLY_AFTER_S + TRANSITION_S;
/// Maximum number of settings that wait to be applied. Further ones replace the latest of them.
const MAX_WAITING: usize = 16;

/// The way in which settings reached a running process, which determines when clients begin to follow them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Origin {
    /// The configuration file at SIGHUP: all clients follow the former settings for the next second.
    Signal,
    /// The store: clients and other mixers may follow the settings already.
    Store,
}

/// Settings that are accepted but not applied yet.
struct ScheduledSettings {
    settings: DecodedSettings,
    /// Time from which clients may follow the settings.
    followed_from: f64,
    /// Time at which the settings are applied.
    apply_at: f64,
}

/// Settings that others have replaced.
struct FormerSettings {
    settings: DecodedSettings,
    /// Time until which clients may follow the settings.
    followed_until: f64,
}

/// Settings to be used from now on.
#[derive(Clone, Debug, PartialEq)]
pub struct DueSettings {
    /// The settings with all restrictions that hold now.
    pub deployment: Rc<Deployment>,
    /// Whether other settings have been applied. Otherwise only restrictions have begun or ended.
    pub are_new: bool,
}

/// The settings of one process over time. Each of several settings is applied by its own time: later settings neither replace
/// earlier ones that clients will use first, nor are applied together with them.
pub struct SettingsSchedule {
    /// The settings that were applied last, without restrictions.
    latest: DecodedSettings,
    /// Whether [`SettingsSchedule::take_due`] has returned the latest settings.
    is_latest_taken: bool,
    /// Accepted settings in the order of their acceptance.
    waiting: VecDeque<ScheduledSettings>,
    former: VecDeque<FormerSettings>,
    /// Time until which clients may follow settings that this process does not know.
    unknown_until: f64,
    /// Whether the store may hold settings that this process has not read.
    is_store_unread: bool,
}

impl SettingsSchedule {
    /// Creates the schedule of a process that starts with settings of unknown age. `has_store` says that the store, which has not
    /// been read yet, takes precedence over them.
    pub fn new(now: f64, settings: DecodedSettings, has_store: bool) -> SettingsSchedule {
        SettingsSchedule {
            latest: settings,
            is_latest_taken: true,
            waiting: VecDeque::new(),
            former: VecDeque::new(),
            unknown_until: now + UNKNOWN_AGE_S,
            is_store_unread: has_store,
        }
    }

    /// Begins anew with settings that others may have followed for long, or for a moment only. They are applied at once, and no
    /// earlier ones are applied any more.
    pub fn begin(&mut self, now: f64, settings: DecodedSettings) {
        self.waiting.clear();
        self.former.clear();
        if self.latest != settings {
            self.latest = settings;
            self.is_latest_taken = false;
        }
        self.unknown_until = now + UNKNOWN_AGE_S;
    }

    /// Accepts settings at `now`. Returns false if they equal the last accepted ones.
    pub fn accept(&mut self, now: f64, settings: DecodedSettings, origin: Origin) -> bool {
        if *self.last_accepted() == settings {
            return false;
        }
        // A value that is read for the first time may have been written long ago.
        if origin == Origin::Store && self.is_store_unread {
            self.begin(now, settings);
            return true;
        }
        if self.waiting.len() >= MAX_WAITING {
            self.waiting.pop_back();
        }
        let apply_at = now + APPLY_AFTER_S;
        self.waiting.push_back(ScheduledSettings {
            settings,
            followed_from: match origin {
                Origin::Signal => apply_at,
                Origin::Store => now,
            },
            apply_at,
        });
        true
    }

    /// Returns the settings that were accepted last, which may not be applied yet.
    pub fn last_accepted(&self) -> &DecodedSettings {
        let waiting = self.waiting.back().map(|last| &last.settings);
        waiting.unwrap_or(&self.latest)
    }

    /// Records that the store's settings, or their absence, were read from a majority of its nodes.
    pub fn store_read(&mut self, now: f64) {
        if self.is_store_unread {
            self.is_store_unread = false;
            self.unknown_until = now + UNKNOWN_AGE_S;
        }
    }

    /// Records that the store could not be read: it may hold other settings from now on.
    pub fn store_lost(&mut self) {
        self.is_store_unread = true;
    }

    /// Returns the settings to be used from `now` on, if they differ from those `in_use`. Has to be called until it returns
    /// `None`, because each of several settings that are due is returned.
    pub fn take_due(&mut self, now: f64, in_use: &Deployment) -> Option<DueSettings> {
        self.switch_to_waiting(now);
        self.former.retain(|former| former.followed_until > now);
        let are_new = !std::mem::replace(&mut self.is_latest_taken, true);
        let deployment = self.in_force(now);
        (are_new || deployment != *in_use).then(|| DueSettings {
            deployment: Rc::new(deployment),
            are_new,
        })
    }

    /// Replaces the latest settings by the first waiting ones if these are due.
    fn switch_to_waiting(&mut self, now: f64) {
        let is_due = |scheduled: &ScheduledSettings| scheduled.apply_at <= now;
        if !self.waiting.front().is_some_and(is_due) {
            return;
        }
        let Some(due) = self.waiting.pop_front() else {
            return;
        };
        self.former.push_back(FormerSettings {
            settings: std::mem::replace(&mut self.latest, due.settings),
            followed_until: due.apply_at + TRANSITION_S,
        });
        self.is_latest_taken = false;
    }

    /// Returns the latest settings with all restrictions that hold at `now`.
    pub fn in_force(&self, now: f64) -> Deployment {
        let newest_first = self.former.iter().rev();
        let restricted = newest_first.fold(
            Deployment::clone(&self.latest.deployment),
            |settings, former| settings.restricted_by_former(&former.settings.deployment),
        );
        let followed = self.waiting.iter().filter(|next| next.followed_from <= now);
        let restricted = followed.fold(restricted, |settings, next| {
            settings.restricted_by_next(&next.settings.deployment)
        });
        match self.uncertainty(now) {
            Some(reason) => restricted.without_repeats(reason),
            None => restricted,
        }
    }

    fn uncertainty(&self, now: f64) -> Option<Uncertainty> {
        if self.is_store_unread {
            Some(Uncertainty::StoreUnread)
        } else if now < self.unknown_until {
            Some(Uncertainty::UnknownAge)
        } else {
            None
        }
    }

    /// Returns the next time after `now` at which [`SettingsSchedule::take_due`] has to be called, if there is one.
    pub fn next_change_at(&self, now: f64) -> Option<f64> {
        let waiting = self.waiting.iter().map(|next| next.apply_at);
        let former = self.former.iter().map(|former| former.followed_until);
        let times = waiting.chain(former).chain([self.unknown_until]);
        times.filter(|time| *time > now).reduce(f64::min)
    }
}

#[cfg(test)]
mod tests;
