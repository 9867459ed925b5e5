//! The settings section `phases`, which configures the pre-check phases.

use super::classes::CategoryJson;
use crate::config::bounds::{check_range, integer_or_default};
use crate::config::SettingsError;
use crate::decisions::api::{ClassSettings, Effect};
use crate::decisions::two_phase::TwoPhaseSettings;
use miniserde::Deserialize;
use std::ops::RangeInclusive;

/// Range of the counts.
const COUNTS: RangeInclusive<f64> = 1.0..=1e6;
/// Range of the pre-check phase's share of a query's time.
const SHARES: RangeInclusive<f64> = 0.05..=0.8;

/// The section `phases`. Pre-checks are disabled if it is missing.
#[derive(Default, Deserialize)]
pub(super) struct PhasesJson {
    classes: Vec<String>,
    #[serde(rename = "leastParts")]
    min_parts: Option<f64>,
    #[serde(rename = "mostShare")]
    max_share: Option<f64>,
    #[serde(rename = "tryAgainEvery")]
    trial_interval_queries: Option<f64>,
}

impl PhasesJson {
    /// Returns the configuration of the pre-check phases.
    pub(super) fn two_phase_settings(
        &self,
        categories: &[CategoryJson],
        classes: &[ClassSettings],
    ) -> Result<TwoPhaseSettings, SettingsError> {
        let base = TwoPhaseSettings::default();
        let indices = self.class_indices(categories, classes)?;
        check_range("phases.mostShare", self.max_share, SHARES)?;
        let trial_interval_queries = self.trial_interval_queries;
        Ok(TwoPhaseSettings {
            classes: indices,
            max_share: self.max_share.unwrap_or(base.max_share),
            min_parts: integer_or_default(
                "phases.leastParts",
                self.min_parts,
                COUNTS,
                base.min_parts,
            )?,
            trial_interval_queries: integer_or_default(
                "phases.tryAgainEvery",
                trial_interval_queries,
                COUNTS,
                base.trial_interval_queries,
            )?,
        })
    }

    /// Returns the indices of the classes that have pre-check phases. A class that is unknown, listed twice or not idempotent is
    /// an error.
    fn class_indices(
        &self,
        categories: &[CategoryJson],
        classes: &[ClassSettings],
    ) -> Result<Vec<usize>, SettingsError> {
        let mut indices = Vec::new();
        for name in &self.classes {
            let index = categories
                .iter()
                .position(|class| class.has_name(name))
                .ok_or_else(|| SettingsError::UnknownPhaseClass(name.clone()))?;
            if classes[index].effect != Effect::Idempotent {
                return Err(SettingsError::PhaseClassNotIdempotent(name.clone()));
            }
            if indices.contains(&index) {
                return Err(SettingsError::RepeatedPhaseClass(name.clone()));
            }
            indices.push(index);
        }
        Ok(indices)
    }
}
