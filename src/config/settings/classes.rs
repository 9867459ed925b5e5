//! The classes of queries in the settings.
//!
//! This file owns the keys of `categories`. What `familyInfo` says by class is merged in here.

use super::sections::FamilyJson;
use crate::config::bounds::{one_of, within, MAX_COUNT, MAX_TIME_S};
use crate::config::SettingsError;
use crate::decisions::api::{ClassSettings, Effect};
use miniserde::Deserialize;
use std::collections::BTreeSet;

/// Shortest latency objective and deadline (seconds).
const MIN_TIME_S: f64 = 1e-4;

/// One class.
#[derive(Deserialize)]
pub(super) struct CategoryJson {
    name: Option<String>,
    #[serde(rename = "aimS")]
    latency_objective_s: f64,
    #[serde(rename = "giveUpS")]
    deadline_s: f64,
    effect: Option<String>,
    #[serde(rename = "lateWorth")]
    late_weight: Option<f64>,
    #[serde(rename = "windowS")]
    idempotency_window_s: Option<f64>,
    #[serde(rename = "worth")]
    priority_weight: Option<f64>,
}

impl CategoryJson {
    pub(super) fn check(&self, index: usize) -> Result<(), SettingsError> {
        let key = |key: &str| format!("categories[{index}].{key}");
        let times_s = MIN_TIME_S..=MAX_TIME_S;
        let latency_objective_s = Some(self.latency_objective_s);
        within(key("aimS"), latency_objective_s, times_s.clone())?;
        within(key("giveUpS"), Some(self.deadline_s), times_s)?;
        within(key("windowS"), self.idempotency_window_s, 0.0..=MAX_TIME_S)?;
        within(key("lateWorth"), self.late_weight, 0.0..=1.0)?;
        within(key("worth"), self.priority_weight, 0.0..=MAX_COUNT)?;
        let effect = self.effect.as_deref();
        one_of(key("effect"), effect, &["retryable", "dedup", "fragile"])
    }

    pub(super) fn has_name(&self, name: &str) -> bool {
        self.name.as_deref() == Some(name)
    }

    /// Its name; empty where it has none.
    pub(super) fn name(self) -> String {
        self.name.unwrap_or_default()
    }

    /// The decision module's settings of this class, which is the one at `index`.
    pub(super) fn class_settings(&self, family: &FamilyJson, index: usize) -> ClassSettings {
        let base = ClassSettings::default();
        let effect = match self.effect.as_deref() {
            Some("dedup") => Effect::IdempotentWithKey,
            Some("fragile") => Effect::NonIdempotent,
            _ => Effect::Idempotent,
        };
        ClassSettings {
            latency_objective_s: self.latency_objective_s,
            deadline_s: self.deadline_s,
            priority_weight: self.priority_weight.unwrap_or(base.priority_weight),
            late_weight: self.late_weight.unwrap_or(base.late_weight),
            effect,
            idempotency_window_s: self
                .idempotency_window_s
                .unwrap_or(base.idempotency_window_s),
            complete_share: entry(&family.complete_from, index).unwrap_or(base.complete_share),
            min_partial_share: entry(&family.floor_by_class, index)
                .unwrap_or(base.min_partial_share),
            partial_weight: entry(&family.partial_weights, index).unwrap_or(base.partial_weight),
            second_step_parts: entry(&family.second_steps, index).unwrap_or(base.second_step_parts),
        }
    }
}

/// The entry of a class in a list by class, where there is one.
fn entry<T: Copy>(list: &Option<Vec<T>>, index: usize) -> Option<T> {
    list.as_ref()?.get(index).copied()
}

/// Checks that there is a class, and that no two have one name. A single class may have none.
pub(super) fn check_names(categories: &[CategoryJson]) -> Result<(), SettingsError> {
    if categories.is_empty() {
        return Err(SettingsError::NoClasses);
    }
    let named = categories.iter().filter_map(|class| class.name.as_deref());
    let count = named.clone().count();
    let names: BTreeSet<&str> = named.collect();
    if names.contains("") || names.len() < count {
        return Err(SettingsError::AmbiguousClassNames);
    }
    Ok(())
}
