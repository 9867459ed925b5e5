//! The settings sections `tenants`, `familyInfo`, `permissions` and `rules`: their keys and bounds.
//!
//! Each section overwrites the fields of the decision module's settings for which it has a value, and leaves the defaults of
//! the others.

use crate::config::bounds::{check_range, MAX_COUNT, MAX_TIME_S};
use crate::config::SettingsError;
use crate::decisions::api::{RetryBudget, Settings, TenantSettings};
use miniserde::Deserialize;

/// Maximum number of cells.
const MAX_CELLS: f64 = 1e6;
/// Minimum share of the weight of all parts from which an answer may count as complete.
const MIN_COMPLETE_SHARE: f64 = 1e-6;
/// Minimum of the times that must not be 0 (seconds).
const MIN_TIME_S: f64 = 1e-3;

/// An entry of `tenants`.
#[derive(Deserialize)]
pub(super) struct TenantJson {
    name: Option<String>,
    #[serde(rename = "allowancePerS")]
    quota_per_s: Option<f64>,
    share: Option<f64>,
}

impl TenantJson {
    pub(super) fn check(&self, index: usize) -> Result<(), SettingsError> {
        let key = |key: &str| format!("tenants[{index}].{key}");
        check_range(key("share"), self.share, 0.0..=MAX_COUNT)?;
        check_range(key("allowancePerS"), self.quota_per_s, 0.0..=f64::MAX)
    }

    /// Returns the name, or an empty string if none is set.
    pub(super) fn name(self) -> String {
        self.name.unwrap_or_default()
    }

    pub(super) fn tenant_settings(&self) -> TenantSettings {
        TenantSettings {
            share: self.share.unwrap_or(1.0),
            quota_per_s: self.quota_per_s.unwrap_or(f64::MAX),
        }
    }
}

/// The section `familyInfo`: the layout of the leaf servers and the requirements on answers. Lists have one entry for each
/// class.
#[derive(Default, Deserialize)]
pub(super) struct FamilyJson {
    cells: Option<u32>,
    #[serde(rename = "slabs")]
    pub(super) shards: Option<u32>,
    #[serde(rename = "inARow")]
    replication_factor: Option<u32>,
    #[serde(rename = "perCall")]
    max_call_parts: Option<u32>,
    #[serde(rename = "perCallWorkS")]
    call_work_s: Option<f64>,
    #[serde(rename = "classPartial")]
    pub(super) partial_weights: Option<Vec<f64>>,
    #[serde(rename = "completeFrom")]
    pub(super) complete_shares: Option<Vec<f64>>,
    #[serde(rename = "floorByClass")]
    pub(super) min_partial_shares: Option<Vec<f64>>,
    #[serde(rename = "followUp")]
    pub(super) second_step_parts: Option<Vec<u32>>,
}

impl FamilyJson {
    pub(super) fn check(&self) -> Result<(), SettingsError> {
        let cells = self.cells.map(f64::from);
        let shards = self.shards.map(f64::from);
        check_range("familyInfo.cells", cells, 1.0..=MAX_CELLS)?;
        check_range("familyInfo.slabs", shards, 1.0..=MAX_COUNT)?;
        check_range(
            "familyInfo.perCallWorkS",
            self.call_work_s,
            0.0..=MAX_TIME_S,
        )?;
        check_shares("classPartial", &self.partial_weights, 0.0)?;
        check_shares("completeFrom", &self.complete_shares, MIN_COMPLETE_SHARE)?;
        check_shares("floorByClass", &self.min_partial_shares, 0.0)
    }

    /// Returns an error if a list of shares has fewer entries than there are classes.
    pub(super) fn check_class_lists(&self, classes: usize) -> Result<(), SettingsError> {
        let mut lists = [
            &self.partial_weights,
            &self.complete_shares,
            &self.min_partial_shares,
        ]
        .into_iter()
        .flatten();
        if lists.any(|list| list.len() < classes) {
            return Err(SettingsError::ShortClassList);
        }
        Ok(())
    }

    pub(super) fn apply(&self, settings: &mut Settings) {
        let replication_factor = self.replication_factor;
        settings.cells = self.cells.unwrap_or(settings.cells).max(1);
        settings.replication_factor = replication_factor
            .unwrap_or(settings.replication_factor)
            .max(1);
        settings.max_call_parts = self
            .max_call_parts
            .unwrap_or(settings.max_call_parts)
            .max(1);
        settings.call_work_s = self.call_work_s.unwrap_or(settings.call_work_s);
    }
}

fn check_shares(key: &str, shares: &Option<Vec<f64>>, min: f64) -> Result<(), SettingsError> {
    for (index, share) in shares.iter().flatten().enumerate() {
        check_range(
            format!("familyInfo.{key}[{index}]"),
            Some(*share),
            min..=1.0,
        )?;
    }
    Ok(())
}

/// The section `permissions`: optional features and limits of the mixer. A feature that is not set is disabled.
#[derive(Default, Deserialize)]
pub(super) struct PermissionsJson {
    cancelling: Option<bool>,
    #[serde(rename = "connIdleS")]
    pub(super) connection_idle_s: Option<f64>,
    #[serde(rename = "connectTimeoutS")]
    pub(super) connect_timeout_s: Option<f64>,
    #[serde(rename = "maxRetryAfterS")]
    max_retry_after_s: Option<f64>,
    #[serde(rename = "mostHeld")]
    pub(super) max_in_flight: Option<u32>,
    probes: Option<bool>,
    #[serde(rename = "retryAfter")]
    retry_after: Option<bool>,
    #[serde(rename = "secondCopies")]
    hedging: Option<bool>,
    #[serde(rename = "sendCap")]
    max_attempts: Option<u32>,
    #[serde(rename = "streamsPerConn")]
    pub(super) streams_per_connection: Option<u32>,
}

impl PermissionsJson {
    pub(super) fn check(&self) -> Result<(), SettingsError> {
        let times_s = 0.0..=MAX_TIME_S;
        let max_in_flight = self.max_in_flight.map(f64::from);
        check_range(
            "permissions.connIdleS",
            self.connection_idle_s,
            times_s.clone(),
        )?;
        check_range(
            "permissions.connectTimeoutS",
            self.connect_timeout_s,
            times_s.clone(),
        )?;
        check_range(
            "permissions.maxRetryAfterS",
            self.max_retry_after_s,
            times_s,
        )?;
        check_range("permissions.mostHeld", max_in_flight, 1.0..=MAX_COUNT)
    }

    /// Returns an error if no attempt is allowed for a part.
    pub(super) fn check_attempts(&self) -> Result<(), SettingsError> {
        if self.max_attempts == Some(0) {
            return Err(SettingsError::NoAttempts);
        }
        Ok(())
    }

    pub(super) fn apply(&self, settings: &mut Settings) {
        settings.can_cancel = self.cancelling.unwrap_or(false);
        settings.can_probe = self.probes.unwrap_or(false);
        settings.can_hedge = self.hedging.unwrap_or(false);
        settings.max_retry_after_s = if self.retry_after.unwrap_or(false) {
            self.max_retry_after_s.unwrap_or(0.0)
        } else {
            0.0
        };
        settings.max_attempts = self.max_attempts.unwrap_or(settings.max_attempts);
    }
}

/// The section `rules`: invariants that operators require of the mixer.
#[derive(Default, Deserialize)]
pub(super) struct RulesJson {
    #[serde(rename = "askWithinS")]
    max_poll_interval_s: Option<f64>,
    #[serde(rename = "coldFrom")]
    slow_start_min_capacity: Option<f64>,
    #[serde(rename = "coldS")]
    slow_start_s: Option<f64>,
    #[serde(rename = "drainGraceS")]
    drain_grace_s: Option<f64>,
    #[serde(rename = "fallMultiple")]
    overload_multiple: Option<f64>,
    #[serde(rename = "overloadForS")]
    overload_window_s: Option<f64>,
    #[serde(rename = "extraFloor")]
    min_retries: Option<f64>,
    #[serde(rename = "furtherRatio")]
    retries_per_accepted: Option<f64>,
    #[serde(rename = "ratioSpanS")]
    retry_window_s: Option<f64>,
}

impl RulesJson {
    pub(super) fn check(&self) -> Result<(), SettingsError> {
        let check = |key: &str, value: Option<f64>, min: f64, max: f64| {
            check_range(format!("rules.{key}"), value, min..=max)
        };
        check(
            "askWithinS",
            self.max_poll_interval_s,
            MIN_TIME_S,
            MAX_TIME_S,
        )?;
        check("coldFrom", self.slow_start_min_capacity, 0.0, 1.0)?;
        check("coldS", self.slow_start_s, 0.0, MAX_TIME_S)?;
        check("drainGraceS", self.drain_grace_s, 0.0, MAX_TIME_S)?;
        check("fallMultiple", self.overload_multiple, 0.0, MAX_COUNT)?;
        check("overloadForS", self.overload_window_s, 0.0, MAX_TIME_S)?;
        check("extraFloor", self.min_retries, 0.0, MAX_COUNT)?;
        check("furtherRatio", self.retries_per_accepted, 0.0, MAX_COUNT)?;
        check("ratioSpanS", self.retry_window_s, MIN_TIME_S, MAX_TIME_S)
    }

    pub(super) fn apply(&self, settings: &mut Settings) -> Result<(), SettingsError> {
        let or = |value: Option<f64>, default: f64| value.unwrap_or(default);
        settings.max_poll_interval_s = or(self.max_poll_interval_s, settings.max_poll_interval_s);
        settings.drain_grace_s = or(self.drain_grace_s, settings.drain_grace_s);
        settings.slow_start_min_capacity = or(
            self.slow_start_min_capacity,
            settings.slow_start_min_capacity,
        );
        settings.slow_start_s = or(self.slow_start_s, settings.slow_start_s);
        settings.overload_multiple = or(self.overload_multiple, settings.overload_multiple);
        settings.overload_window_s = or(self.overload_window_s, settings.overload_window_s);
        settings.retry_budget = self.retry_budget()?;
        Ok(())
    }

    /// Returns the retry budget; `None` (unlimited retries) if neither `extraFloor` nor `furtherRatio` is set.
    fn retry_budget(&self) -> Result<Option<RetryBudget>, SettingsError> {
        if self.min_retries.is_none() && self.retries_per_accepted.is_none() {
            return Ok(None);
        }
        let window_s = self.retry_window_s;
        Ok(Some(RetryBudget {
            min_retries: self.min_retries.unwrap_or(0.0),
            retries_per_accepted: self.retries_per_accepted.unwrap_or(0.0),
            window_s: window_s.ok_or(SettingsError::Missing(
                "rules.ratioSpanS (required with extraFloor or furtherRatio)",
            ))?,
        }))
    }
}
