//! The settings section `categories`, which defines the query classes. The per-class lists of `familyInfo` are merged in.

use super::sections::FamilyJson;
use crate::config::bounds::{check_choice, check_range, MAX_COUNT, MAX_TIME_S};
use crate::config::SettingsError;
use crate::decisions::api::{ClassSettings, Effect};
use miniserde::Deserialize;
use std::collections::BTreeSet;

/// Minimum latency objective and deadline (seconds).
const MIN_TIME_S: f64 = 1e-4;

/// An entry of `categories`.
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
        check_range(key("aimS"), latency_objective_s, times_s.clone())?;
        check_range(key("giveUpS"), Some(self.deadline_s), times_s)?;
        check_range(key("windowS"), self.idempotency_window_s, 0.0..=MAX_TIME_S)?;
        check_range(key("lateWorth"), self.late_weight, 0.0..=1.0)?;
        check_range(key("worth"), self.priority_weight, 0.0..=MAX_COUNT)?;
        let effect = self.effect.as_deref();
        check_choice(key("effect"), effect, &["retryable", "dedup", "fragile"])
    }

    pub(super) fn has_name(&self, name: &str) -> bool {
        self.name.as_deref() == Some(name)
    }

    /// Returns the name, or an empty string if none is set.
    pub(super) fn name(self) -> String {
        self.name.unwrap_or_default()
    }

    /// Returns the decision module's settings of this class, whose index is `index`.
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
            complete_share: entry(&family.complete_shares, index).unwrap_or(base.complete_share),
            min_partial_share: entry(&family.min_partial_shares, index)
                .unwrap_or(base.min_partial_share),
            partial_weight: entry(&family.partial_weights, index).unwrap_or(base.partial_weight),
            second_step_parts: entry(&family.second_step_parts, index)
                .unwrap_or(base.second_step_parts),
        }
    }
}

/// Returns the entry of a class in a per-class list, if there is one.
fn entry<T: Copy>(list: &Option<Vec<T>>, index: usize) -> Option<T> {
    list.as_ref()?.get(index).copied()
}

/// Checks that there is at least one class, that names are unique, and that no name is an empty string. Classes without a name
/// are accepted.
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
