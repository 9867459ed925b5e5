//! The schedule in the handover from a process to its successor. Times are sent as durations, because the two processes share no
//! clock. The field names are part of the handover format.

use super::{FormerSettings, ScheduledSettings, SettingsSchedule, MAX_WAITING, UNKNOWN_AGE_S};
use crate::config::{DecodedSettings, SettingsError};
use miniserde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// The schedule of a process at the time of the handover. Settings are sent as their JSON text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScheduleHandover {
    /// The settings that were applied last.
    pub latest: String,
    /// Accepted settings that are not applied yet, in the order of their acceptance.
    pub waiting: Vec<WaitingHandover>,
    /// Former settings that clients may still follow.
    pub former: Vec<FormerHandover>,
    /// Time for which clients may still follow settings that the process does not know (seconds).
    pub unknown_for_s: f64,
}

/// Settings that wait to be applied.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WaitingHandover {
    /// JSON text of the settings.
    pub settings: String,
    /// Time after which clients may follow the settings (seconds).
    pub followed_in_s: f64,
    /// Time after which the settings are applied (seconds).
    pub applied_in_s: f64,
}

/// Former settings that clients may still follow.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct FormerHandover {
    /// JSON text of the settings.
    pub settings: String,
    /// Time for which clients may still follow the settings (seconds).
    pub followed_for_s: f64,
}

impl ScheduleHandover {
    /// Returns the length of all texts together (bytes).
    pub fn text_bytes(&self) -> usize {
        let waiting = self.waiting.iter().map(|waiting| waiting.settings.len());
        let former = self.former.iter().map(|former| former.settings.len());
        self.latest.len() + waiting.sum::<usize>() + former.sum::<usize>()
    }
}

impl SettingsSchedule {
    /// Returns the schedule for the successor process.
    pub fn hand_over(&self, now: f64) -> ScheduleHandover {
        let waiting = self.waiting.iter().map(|waiting| WaitingHandover {
            settings: waiting.settings.text.to_string(),
            followed_in_s: remaining_s(waiting.followed_from, now),
            applied_in_s: remaining_s(waiting.apply_at, now),
        });
        let former = self.former.iter().map(|former| FormerHandover {
            settings: former.settings.text.to_string(),
            followed_for_s: remaining_s(former.followed_until, now),
        });
        ScheduleHandover {
            latest: self.latest.text.to_string(),
            waiting: waiting.collect(),
            former: former.collect(),
            unknown_for_s: remaining_s(self.unknown_until, now),
        }
    }

    /// Adopts the schedule of the predecessor process in place of the own one. Changes nothing if some of its settings cannot be
    /// decoded.
    pub fn inherit(&mut self, now: f64, schedule: &ScheduleHandover) -> Result<(), SettingsError> {
        let latest = DecodedSettings::decode(&schedule.latest)?;
        let waiting = schedule.waiting.iter().take(MAX_WAITING);
        let waiting: VecDeque<_> = waiting
            .map(|waiting| {
                Ok(ScheduledSettings {
                    settings: DecodedSettings::decode(&waiting.settings)?,
                    followed_from: time_in(now, waiting.followed_in_s),
                    apply_at: time_in(now, waiting.applied_in_s),
                })
            })
            .collect::<Result<_, SettingsError>>()?;
        let former: VecDeque<_> = schedule
            .former
            .iter()
            .map(|former| {
                Ok(FormerSettings {
                    settings: DecodedSettings::decode(&former.settings)?,
                    followed_until: time_in(now, former.followed_for_s),
                })
            })
            .collect::<Result<_, SettingsError>>()?;
        self.is_latest_taken &= self.latest == latest;
        self.latest = latest;
        self.waiting = waiting;
        self.former = former;
        self.unknown_until = time_in(now, schedule.unknown_for_s);
        Ok(())
    }
}

fn remaining_s(until: f64, now: f64) -> f64 {
    (until - now).max(0.0)
}

/// Returns the time after a duration of the predecessor, which is at most that of a change of settings.
fn time_in(now: f64, duration_s: f64) -> f64 {
    now + duration_s.clamp(0.0, UNKNOWN_AGE_S)
}
