//! The settings of a deployment: one decoder for the simulator's first message and for `LB_CONFIG`.
//!
//! This file and its modules own the names, bounds and defaults of the settings on the wire. There must be no second type
//! for the same keys: whoever needs a setting takes it from [`Deployment`].

mod classes;
mod phases;
mod sections;

use super::bounds::{one_of, within};
use super::fault;
use super::SettingsError;
use crate::decisions::api::Settings;
use crate::decisions::two_phase::TwoPhaseSettings;
use classes::CategoryJson;
use miniserde::Deserialize;
use phases::PhasesJson;
use sections::{FamilyJson, PermissionsJson, RulesJson, TenantJson};

/// Default of [`Deployment::max_in_flight`].
const MAX_IN_FLIGHT: u32 = 1000;
/// Default of [`Deployment::streams_per_connection`].
const STREAMS_PER_CONNECTION: u32 = 32;
/// Default of [`Deployment::connect_timeout_s`].
const CONNECT_TIMEOUT_S: f64 = 0.25;
/// Default of [`Deployment::connection_idle_s`].
const CONNECTION_IDLE_S: f64 = 15.0;
/// Longest tick of the decision module (seconds).
const MAX_TICK_S: f64 = 10.0;

/// A deployment's settings: those of the decision module, and those that only a real mixer needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// The decision module's settings.
    pub policy: Settings,
    /// Names of the classes, in the module's order.
    pub classes: Vec<String>,
    /// Names of the tenants, in the module's order.
    pub tenants: Vec<String>,
    /// Names of the zones, in the module's order.
    pub zones: Vec<String>,
    /// Number of shards.
    pub shards: u32,
    /// Queries and parts that are open at once, at most.
    pub max_in_flight: usize,
    /// Parts that one connection carries at a time.
    pub streams_per_connection: usize,
    /// A connection that is not established within this time is given up (seconds).
    pub connect_timeout_s: f64,
    /// A connection that is idle for so long is closed by the other side (seconds).
    pub connection_idle_s: f64,
    /// The pre-check phases; no class has them where this is empty.
    pub phases: TwoPhaseSettings,
}

/// The settings in JSON. Unknown keys are skipped; optional ones may be missing.
#[derive(Deserialize)]
pub(super) struct SettingsJson {
    categories: Option<Vec<CategoryJson>>,
    tenants: Option<Vec<TenantJson>>,
    zones: Option<Vec<String>>,
    #[serde(rename = "overShareWorth")]
    over_quota_weight: Option<f64>,
    #[serde(rename = "worthBy")]
    weight_by: Option<String>,
    #[serde(rename = "myZone")]
    own_zone: Option<u8>,
    #[serde(rename = "replicasOfMe")]
    mixers: Option<u32>,
    #[serde(rename = "roundS")]
    tick_s: Option<f64>,
    discovery: Option<String>,
    #[serde(rename = "familyInfo")]
    family: Option<FamilyJson>,
    permissions: Option<PermissionsJson>,
    rules: Option<RulesJson>,
    phases: Option<PhasesJson>,
}

/// Decodes JSON; an error names the key at fault.
pub(super) fn from_json<T: Deserialize>(text: &str) -> Result<T, SettingsError> {
    let decoded = miniserde::json::from_str(text);
    decoded.map_err(|_| SettingsError::NotJson(fault::find::<T>(text)))
}

/// Decodes settings from their JSON text; an error names the key at fault.
pub fn decode(text: &[u8]) -> Result<Deployment, SettingsError> {
    let text = std::str::from_utf8(text)?;
    from_json::<SettingsJson>(text)?.deployment()
}

impl SettingsJson {
    /// Checks each value by itself, so that settings that cannot be served end a start or a reload with the key and the
    /// value.
    fn check(&self) -> Result<(), SettingsError> {
        for (index, class) in self.categories.iter().flatten().enumerate() {
            class.check(index)?;
        }
        for (index, tenant) in self.tenants.iter().flatten().enumerate() {
            tenant.check(index)?;
        }
        within("overShareWorth", self.over_quota_weight, 0.0..=1.0)?;
        within("roundS", self.tick_s, 0.0..=MAX_TICK_S)?;
        let discovery = self.discovery.as_deref();
        one_of("discovery", discovery, &["automatic", "subscribe"])?;
        if let Some(family) = &self.family {
            family.check()?;
        }
        if let Some(permissions) = &self.permissions {
            permissions.check()?;
        }
        if let Some(rules) = &self.rules {
            rules.check()?;
        }
        Ok(())
    }

    /// The deployment that these settings describe; an error names the key at fault.
    pub(super) fn deployment(self) -> Result<Deployment, SettingsError> {
        self.check()?;
        let policy_base = self.policy();
        let categories = self
            .categories
            .ok_or(SettingsError::Missing("categories"))?;
        let family = self.family.unwrap_or_default();
        let permissions = self.permissions.unwrap_or_default();
        let rules = self.rules.unwrap_or_default();
        let tenants = self.tenants.unwrap_or_default();
        let phases = self.phases.unwrap_or_default();
        classes::check_names(&categories)?;
        permissions.check_attempts()?;
        family.check_class_lists(categories.len())?;

        let mut policy = policy_base;
        let indexed = categories.iter().enumerate();
        policy.classes = indexed
            .map(|(index, class)| class.class_settings(&family, index))
            .collect();
        policy.tenants = tenants.iter().map(TenantJson::tenant_settings).collect();
        family.apply(&mut policy);
        permissions.apply(&mut policy);
        rules.apply(&mut policy)?;

        let max_in_flight = permissions.max_in_flight.unwrap_or(MAX_IN_FLIGHT);
        let streams = permissions.streams_per_connection;
        let connect_timeout_s = permissions.connect_timeout_s.filter(|time| *time > 0.0);
        let connection_idle_s = permissions.connection_idle_s.filter(|time| *time > 0.0);
        Ok(Deployment {
            phases: phases.setup(&categories, &policy.classes)?,
            policy,
            classes: categories.into_iter().map(CategoryJson::name).collect(),
            tenants: tenants.into_iter().map(TenantJson::name).collect(),
            zones: self.zones.unwrap_or_default(),
            shards: family.shards.unwrap_or(u32::MAX),
            max_in_flight: max_in_flight as usize,
            streams_per_connection: streams.unwrap_or(STREAMS_PER_CONNECTION).max(1) as usize,
            connect_timeout_s: connect_timeout_s.unwrap_or(CONNECT_TIMEOUT_S),
            connection_idle_s: connection_idle_s.unwrap_or(CONNECTION_IDLE_S),
        })
    }

    /// The decision module's settings, with what the keys outside the sections say.
    fn policy(&self) -> Settings {
        let base = Settings::default();
        Settings {
            over_quota_weight: self.over_quota_weight.unwrap_or(base.over_quota_weight),
            weight_by_work: self.weight_by.as_deref() == Some("work"),
            zone: self.own_zone.unwrap_or(base.zone),
            aggregators: self.mixers.unwrap_or(base.aggregators).max(1),
            tick_s: self.tick_s.unwrap_or(base.tick_s),
            must_poll: self.discovery.as_deref() == Some("subscribe"),
            ..base
        }
    }
}

#[cfg(test)]
mod tests;
