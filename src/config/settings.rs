//! Decodes the settings of a deployment, both from the simulator's first message and from the file that `LB_CONFIG` names.
//!
//! This module and its submodules define the names, ranges and defaults of all keys of `settings`. Other code reads settings
//! from [`Deployment`], so that names and defaults are defined only once.

mod classes;
mod phases;
mod sections;
mod transition;

pub use transition::{EffectChange, Uncertainty};

use super::bounds::{check_choice, check_range};
use super::fault;
use super::SettingsError;
use crate::decisions::api::{Effect, Settings};
use crate::decisions::two_phase::TwoPhaseSettings;
use classes::CategoryJson;
use miniserde::Deserialize;
use phases::PhasesJson;
use sections::{FamilyJson, PermissionsJson, RulesJson, TenantJson};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Default of [`Deployment::max_in_flight`].
const MAX_IN_FLIGHT: u32 = 1000;
/// Default of [`Deployment::streams_per_connection`].
const STREAMS_PER_CONNECTION: u32 = 32;
/// Default of [`Deployment::connect_timeout_s`].
const CONNECT_TIMEOUT_S: f64 = 0.25;
/// Default of [`Deployment::connection_idle_s`].
const CONNECTION_IDLE_S: f64 = 15.0;
/// Maximum tick of the decision module (seconds).
const MAX_TICK_S: f64 = 10.0;

/// Settings of a deployment: those of the decision module, and those that only a real mixer needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Settings of the decision module.
    pub policy: Settings,
    /// Names of the classes, in the module's order.
    pub classes: Vec<String>,
    /// Names of the tenants, in the module's order.
    pub tenants: Vec<String>,
    /// Names of the zones, in the module's order.
    pub zones: Vec<String>,
    /// Number of shards.
    pub shards: u32,
    /// Maximum number of queries and parts that are open at the same time.
    pub max_in_flight: usize,
    /// Maximum number of parts in flight on one connection.
    pub streams_per_connection: usize,
    /// Timeout for establishing a connection (seconds).
    pub connect_timeout_s: f64,
    /// Idle time after which the other side closes a connection (seconds).
    pub connection_idle_s: f64,
    /// Configuration of the pre-check phases. No class has them if its list of classes is empty.
    pub phases: TwoPhaseSettings,
    /// Effects of the classes by these settings, in the module's order, by which clients form their requests. The effects in
    /// `policy` are stricter while clients may follow other settings.
    pub declared_effects: Vec<Effect>,
    /// Classes whose effect is changing, by index. They are not idempotent until all clients follow the new settings.
    pub effect_changes: BTreeMap<usize, EffectChange>,
    /// Reason why clients may follow settings that this mixer does not know, if there is one.
    pub uncertainty: Option<Uncertainty>,
}

/// Settings, and the JSON text from which another process of the mixer can decode them.
#[derive(Clone, Debug)]
pub struct DecodedSettings {
    /// The decoded settings.
    pub deployment: Rc<Deployment>,
    /// JSON text of the settings.
    pub text: Rc<str>,
}

impl DecodedSettings {
    /// Joins settings with the text from which they were decoded.
    pub fn new(deployment: Deployment, text: String) -> DecodedSettings {
        DecodedSettings {
            deployment: Rc::new(deployment),
            text: text.into(),
        }
    }

    /// Decodes settings from JSON text; an error names the invalid key.
    pub fn decode(text: &str) -> Result<DecodedSettings, SettingsError> {
        let deployment = decode(text.as_bytes())?;
        Ok(DecodedSettings::new(deployment, text.to_string()))
    }
}

impl PartialEq for DecodedSettings {
    /// Compares the settings; the same settings may have different texts.
    fn eq(&self, other: &DecodedSettings) -> bool {
        self.deployment == other.deployment
    }
}

/// JSON form of the settings. Unknown keys are ignored.
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

/// Decodes JSON; an error names the invalid key.
pub(super) fn from_json<T: Deserialize>(text: &str) -> Result<T, SettingsError> {
    let decoded = miniserde::json::from_str(text);
    decoded.map_err(|_| SettingsError::NotJson(fault::find::<T>(text)))
}

/// Decodes settings from JSON text; an error names the invalid key.
pub fn decode(text: &[u8]) -> Result<Deployment, SettingsError> {
    let text = std::str::from_utf8(text)?;
    from_json::<SettingsJson>(text)?.deployment()
}

impl SettingsJson {
    /// Checks the range of each value, so that invalid settings are rejected at a start or reload with an error that names the
    /// key and the value.
    fn check(&self) -> Result<(), SettingsError> {
        for (index, class) in self.categories.iter().flatten().enumerate() {
            class.check(index)?;
        }
        for (index, tenant) in self.tenants.iter().flatten().enumerate() {
            tenant.check(index)?;
        }
        check_range("overShareWorth", self.over_quota_weight, 0.0..=1.0)?;
        check_range("roundS", self.tick_s, 0.0..=MAX_TICK_S)?;
        let discovery = self.discovery.as_deref();
        check_choice("discovery", discovery, &["automatic", "subscribe"])?;
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

    /// Validates the settings and converts them; an error names the invalid key.
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
            phases: phases.two_phase_settings(&categories, &policy.classes)?,
            declared_effects: policy.classes.iter().map(|class| class.effect).collect(),
            policy,
            classes: categories.into_iter().map(CategoryJson::name).collect(),
            tenants: tenants.into_iter().map(TenantJson::name).collect(),
            zones: self.zones.unwrap_or_default(),
            shards: family.shards.unwrap_or(u32::MAX),
            max_in_flight: max_in_flight as usize,
            streams_per_connection: streams.unwrap_or(STREAMS_PER_CONNECTION).max(1) as usize,
            connect_timeout_s: connect_timeout_s.unwrap_or(CONNECT_TIMEOUT_S),
            connection_idle_s: connection_idle_s.unwrap_or(CONNECTION_IDLE_S),
            effect_changes: BTreeMap::new(),
            uncertainty: None,
        })
    }

    /// Returns the decision module's settings with the values of the top-level keys; the sections are applied later.
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
