//! The settings of a deployment: one decoder for the simulator's first message and for `LB_CONFIG`.
//!
//! This file owns the names and defaults of the settings on the wire. It must never be doubled: whoever
//! needs a setting takes it from [`Deployment`], and a second type for the same keys is a fault.

use crate::api::*;
use crate::choices::phases;
pub use crate::settings_error::SettingsError;
use crate::settings_fault;
use crate::store::Registers;
use crate::vrrp;
use crate::yaml;
use miniserde::json::Value;
use miniserde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};

/// After SIGTERM clients are served for so long before the listeners close, where nothing else is set (seconds).
const DRAIN_S: f64 = 0.7;

/// Longest configuration that is read (bytes): a list of 10,000 servers, indented, takes 2.3 MB. Guards the memory.
const MAX_CONFIG_BYTES: usize = 16 * 1024 * 1024;

/// Memory that the mixer counts on, where the limits tell none (megabytes).
const MEMORY_MB: f64 = 192.0;

/// Keys that may be missing though they were there before: what they set up counts at a start, or has a default
/// that operators may want back.
const OPTIONAL: [&str; 11] = [
    "settings.phases",
    "known",
    "search",
    "store",
    "vrrp",
    "operator",
    "drain_s",
    "settings.categories[].aimStretch",
    "settings.rules.extraFloor",
    "settings.rules.furtherRatio",
    "settings.rules.ratioSpanS",
];

/// A deployment's settings: those of the decision module, and those that only a real mixer needs.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// What the decision module is given.
    pub policy: Settings,
    /// Names of the classes, in the module's order.
    pub classes: Vec<String>,
    /// Names of the tenants, in the module's order.
    pub tenants: Vec<String>,
    /// Names of the zones, in the module's order.
    pub zones: Vec<String>,
    /// Number of shards.
    pub shards: u32,
    /// Most queries and parts held at once.
    pub most_held: usize,
    /// Parts that one connection carries at a time.
    pub streams_per_conn: usize,
    /// A connection that has not come up within this time is given up (seconds).
    pub connect_timeout_s: f64,
    /// A connection that stood unused for so long is closed by the other side (seconds).
    pub conn_idle_s: f64,
    /// Queries in two phases; no class has them where this is empty.
    pub phases: phases::Setup,
}

/// What the program is told at its start.
pub struct Options {
    /// Its name.
    pub name: String,
    /// Where clients connect.
    pub listen: SocketAddr,
    /// Where clients of the search API connect, where that front is on.
    pub search: Option<SocketAddr>,
    /// The tenant of its clients that name none.
    pub search_tenant: Option<String>,
    /// Where operators connect, if anywhere.
    pub operator: Option<SocketAddr>,
    /// Discovery, where there is one.
    pub discovery: Option<SocketAddr>,
    /// Discovery as the configuration's file names it, whatever the environment says.
    pub file_discovery: Option<SocketAddr>,
    /// The clients' listener that the platform holds, where it does, and where its processes meet.
    pub inherited: Option<(std::net::TcpListener, PathBuf)>,
    /// The keys of the configuration's file.
    pub shape: Shape,
    /// For random numbers.
    pub seed: u64,
    /// Descriptors it may hold.
    pub sockets: usize,
    /// Memory it may hold (bytes).
    pub memory: usize,
    /// The list of replicas as last known.
    pub known: Option<Value>,
    /// After SIGTERM clients are served for so long before the listeners close (seconds).
    pub drain_s: f64,
    /// The store, where it is set up.
    pub store: Option<StoreSetup>,
    /// VRRP, where it is set up.
    pub vrrp: Option<VrrpSetup>,
    /// The settings.
    pub deployment: Deployment,
}

/// How the store is set up.
pub struct StoreSetup {
    /// This node.
    pub node: u32,
    /// Where its peers reach it.
    pub listen: SocketAddr,
    /// The other nodes.
    pub peers: BTreeMap<u32, SocketAddr>,
    /// What it holds already, and where that is kept.
    pub registers: Registers,
}

/// How VRRP is set up.
pub struct VrrpSetup {
    /// The machine's own set-up.
    pub router: vrrp::Setup,
    /// Where advertisements are received, and sent from.
    pub listen: SocketAddr,
    /// The other routers.
    pub peers: Vec<SocketAddr>,
}

/// The settings as they stand in JSON. Unknown keys are skipped; optional ones may be missing.
#[derive(Deserialize)]
pub struct Setup {
    categories: Option<Vec<CategoryJson>>,
    tenants: Option<Vec<TenantJson>>,
    zones: Option<Vec<String>>,
    #[serde(rename = "overShareWorth")]
    over_share_worth: Option<f64>,
    #[serde(rename = "worthBy")]
    worth_by: Option<String>,
    #[serde(rename = "myZone")]
    my_zone: Option<u8>,
    #[serde(rename = "replicasOfMe")]
    replicas_of_me: Option<u32>,
    #[serde(rename = "roundS")]
    round_s: Option<f64>,
    discovery: Option<String>,
    #[serde(rename = "familyInfo")]
    family_info: Option<FamilyJson>,
    permissions: Option<PermissionsJson>,
    rules: Option<RulesJson>,
    phases: Option<PhasesJson>,
}

/// Queries in two phases; they are off where this is missing.
#[derive(Default, Deserialize)]
struct PhasesJson {
    classes: Vec<String>,
    #[serde(rename = "leastParts")]
    least_parts: Option<f64>,
    #[serde(rename = "mostShare")]
    most_share: Option<f64>,
    #[serde(rename = "tryAgainEvery")]
    try_again_every: Option<f64>,
}

#[derive(Deserialize)]
struct CategoryJson {
    name: Option<String>,
    #[serde(rename = "aimS")]
    aim_s: f64,
    #[serde(rename = "giveUpS")]
    give_up_s: f64,
    effect: Option<String>,
    #[serde(rename = "lateWorth")]
    late_worth: Option<f64>,
    #[serde(rename = "windowS")]
    window_s: Option<f64>,
    worth: Option<f64>,
}

#[derive(Deserialize)]
struct TenantJson {
    name: Option<String>,
    #[serde(rename = "allowancePerS")]
    allowance_per_s: Option<f64>,
    share: Option<f64>,
}

#[derive(Default, Deserialize)]
struct FamilyJson {
    cells: Option<u32>,
    slabs: Option<u32>,
    #[serde(rename = "inARow")]
    in_a_row: Option<u32>,
    #[serde(rename = "perCall")]
    per_call: Option<u32>,
    #[serde(rename = "perCallWorkS")]
    per_call_work_s: Option<f64>,
    #[serde(rename = "classPartial")]
    class_partial: Option<Vec<f64>>,
    #[serde(rename = "completeFrom")]
    complete_from: Option<Vec<f64>>,
    #[serde(rename = "floorByClass")]
    floor_by_class: Option<Vec<f64>>,
    #[serde(rename = "followUp")]
    follow_up: Option<Vec<u32>>,
}

#[derive(Default, Deserialize)]
struct PermissionsJson {
    cancelling: Option<bool>,
    #[serde(rename = "connIdleS")]
    conn_idle_s: Option<f64>,
    #[serde(rename = "connectTimeoutS")]
    connect_timeout_s: Option<f64>,
    #[serde(rename = "maxRetryAfterS")]
    max_retry_after_s: Option<f64>,
    #[serde(rename = "mostHeld")]
    most_held: Option<u32>,
    probes: Option<bool>,
    #[serde(rename = "retryAfter")]
    retry_after: Option<bool>,
    #[serde(rename = "secondCopies")]
    second_copies: Option<bool>,
    #[serde(rename = "sendCap")]
    send_cap: Option<u32>,
    #[serde(rename = "streamsPerConn")]
    streams_per_conn: Option<u32>,
}

#[derive(Default, Deserialize)]
struct RulesJson {
    #[serde(rename = "askWithinS")]
    ask_within_s: Option<f64>,
    #[serde(rename = "coldFrom")]
    cold_from: Option<f64>,
    #[serde(rename = "coldS")]
    cold_s: Option<f64>,
    #[serde(rename = "drainGraceS")]
    drain_grace_s: Option<f64>,
    #[serde(rename = "fallMultiple")]
    fall_multiple: Option<f64>,
    #[serde(rename = "overloadForS")]
    overload_for_s: Option<f64>,
    #[serde(rename = "extraFloor")]
    extra_floor: Option<f64>,
    #[serde(rename = "furtherRatio")]
    further_ratio: Option<f64>,
    #[serde(rename = "ratioSpanS")]
    ratio_span_s: Option<f64>,
}

/// The keys of a configuration, each with its way from the top. Of a list of objects those count that all have.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Shape(BTreeSet<String>);

impl Shape {
    fn of(value: &Value, at: &str) -> Shape {
        let mut keys = BTreeSet::new();
        match value {
            Value::Object(object) => {
                for (key, value) in object {
                    let way = if at.is_empty() { key.clone() } else { format!("{at}.{key}") };
                    if !OPTIONAL.contains(&way.as_str()) {
                        keys.extend(Shape::of(value, &way).0);
                        keys.insert(way);
                    }
                }
            }
            Value::Array(values) => {
                let each = values.iter().map(|value| Shape::of(value, &format!("{at}[]")).0);
                keys = each.reduce(|all, one| &all & &one).unwrap_or_default();
            }
            _ => {}
        }
        Shape(keys)
    }

    /// Guards against a file that was cut or lost a line on its way, and would mean defaults by what it lacks.
    fn covers(&self, before: &Shape) -> Result<(), SettingsError> {
        before.0.difference(&self.0).next().map_or(Ok(()), |key| Err(SettingsError::Lost(key.clone())))
    }
}

/// Reads JSON; an error says which key is at fault.
fn read<T: Deserialize>(text: &str) -> Result<T, SettingsError> {
    miniserde::json::from_str(text).map_err(|_| SettingsError::NotJson(settings_fault::of::<T>(text)))
}

/// Longest time in settings (seconds): beyond a month a key is taken to be in another unit.
const LONGEST_S: f64 = 30.0 * 86_400.0;
/// Most of what is counted in settings.
const COUNT_MOST: f64 = 1e9;
/// The least descriptors with which a mixer serves.
const SOCKETS_LEAST: f64 = 32.0;

/// Whether a number stands within its bounds, where it stands at all.
fn within(key: impl Into<String>, value: Option<f64>, least: f64, most: f64) -> Result<(), SettingsError> {
    match value {
        Some(value) if !(least..=most).contains(&value) => {
            Err(SettingsError::OutOfBounds { key: key.into(), value, least, most })
        }
        _ => Ok(()),
    }
}

/// Whether something is one of the words that are known.
fn one_of(key: &str, value: Option<&str>, words: &[&str]) -> Result<(), SettingsError> {
    match value {
        Some(word) if !words.contains(&word) => {
            Err(SettingsError::Senseless(format!("{key}: {word:?} is none of {words:?}")))
        }
        _ => Ok(()),
    }
}

/// Decodes settings from their JSON text.
pub fn decode(text: &[u8]) -> Result<Deployment, SettingsError> {
    let text = std::str::from_utf8(text)?;
    read::<Setup>(text)?.deployment()
}

impl Setup {
    /// Whether each number and word makes sense by itself. Guards against settings that can't be served: a start, or a
    /// reload, ends with the key and the value.
    fn check(&self) -> Result<(), SettingsError> {
        let count = |value: Option<u32>| value.map(f64::from);
        for (place, class) in self.categories.iter().flatten().enumerate() {
            let key = |key: &str| format!("categories[{place}].{key}");
            within(key("aimS"), Some(class.aim_s), 1e-4, LONGEST_S)?;
            within(key("giveUpS"), Some(class.give_up_s), 1e-4, LONGEST_S)?;
            within(key("windowS"), class.window_s, 0.0, LONGEST_S)?;
            within(key("lateWorth"), class.late_worth, 0.0, 1.0)?;
            within(key("worth"), class.worth, 0.0, COUNT_MOST)?;
            one_of(&key("effect"), class.effect.as_deref(), &["retryable", "dedup", "fragile"])?;
        }
        for (place, tenant) in self.tenants.iter().flatten().enumerate() {
            within(format!("tenants[{place}].share"), tenant.share, 0.0, COUNT_MOST)?;
            within(format!("tenants[{place}].allowancePerS"), tenant.allowance_per_s, 0.0, f64::MAX)?;
        }
        within("overShareWorth", self.over_share_worth, 0.0, 1.0)?;
        within("roundS", self.round_s, 0.0, 10.0)?;
        one_of("discovery", self.discovery.as_deref(), &["automatic", "subscribe"])?;
        if let Some(family) = &self.family_info {
            within("familyInfo.cells", count(family.cells), 1.0, 1e6)?;
            within("familyInfo.slabs", count(family.slabs), 1.0, COUNT_MOST)?;
            within("familyInfo.perCallWorkS", family.per_call_work_s, 0.0, LONGEST_S)?;
            let lists = [
                ("classPartial", &family.class_partial, 0.0),
                ("completeFrom", &family.complete_from, 1e-6),
                ("floorByClass", &family.floor_by_class, 0.0),
            ];
            for (name, list, least) in lists {
                for (place, share) in list.iter().flatten().enumerate() {
                    within(format!("familyInfo.{name}[{place}]"), Some(*share), least, 1.0)?;
                }
            }
        }
        if let Some(allow) = &self.permissions {
            within("permissions.connIdleS", allow.conn_idle_s, 0.0, LONGEST_S)?;
            within("permissions.connectTimeoutS", allow.connect_timeout_s, 0.0, LONGEST_S)?;
            within("permissions.maxRetryAfterS", allow.max_retry_after_s, 0.0, LONGEST_S)?;
            within("permissions.mostHeld", count(allow.most_held), 1.0, COUNT_MOST)?;
        }
        if let Some(rules) = &self.rules {
            within("rules.askWithinS", rules.ask_within_s, 1e-3, LONGEST_S)?;
            within("rules.coldFrom", rules.cold_from, 0.0, 1.0)?;
            within("rules.coldS", rules.cold_s, 0.0, LONGEST_S)?;
            within("rules.drainGraceS", rules.drain_grace_s, 0.0, LONGEST_S)?;
            within("rules.fallMultiple", rules.fall_multiple, 0.0, COUNT_MOST)?;
            within("rules.overloadForS", rules.overload_for_s, 0.0, LONGEST_S)?;
            within("rules.extraFloor", rules.extra_floor, 0.0, COUNT_MOST)?;
            within("rules.furtherRatio", rules.further_ratio, 0.0, COUNT_MOST)?;
            within("rules.ratioSpanS", rules.ratio_span_s, 1e-3, LONGEST_S)?;
        }
        Ok(())
    }

    /// What these settings mean.
    pub fn deployment(self) -> Result<Deployment, SettingsError> {
        self.check()?;
        let base = Settings::default();
        let categories = self.categories.ok_or(SettingsError::Missing("categories"))?;
        if categories.is_empty() {
            return Err(SettingsError::Senseless("no class of query".into()));
        }
        let family = self.family_info.unwrap_or_default();
        let allow = self.permissions.unwrap_or_default();
        let rules = self.rules.unwrap_or_default();
        let tenants = self.tenants.unwrap_or_default();
        let names: BTreeSet<_> = categories.iter().filter_map(|class| class.name.as_deref()).collect();
        if names.contains("") || names.len() < categories.iter().filter(|class| class.name.is_some()).count()
        {
            return Err(SettingsError::Senseless("two classes of one name, or one without".into()));
        }
        if allow.send_cap == Some(0) {
            return Err(SettingsError::Senseless("no attempt is allowed for a part".into()));
        }
        let lists = [&family.class_partial, &family.complete_from, &family.floor_by_class];
        if lists.into_iter().flatten().any(|list| list.len() < categories.len()) {
            return Err(SettingsError::Senseless("a list by class that is shorter than the classes".into()));
        }
        let classes: Result<_, _> =
            categories.iter().enumerate().map(|(place, class)| class.policy(&family, place)).collect();
        let budget = match (rules.extra_floor, rules.further_ratio) {
            (None, None) => None,
            (free, share) => Some(Budget {
                free: free.unwrap_or(0.0),
                share: share.unwrap_or(0.0),
                span_s: rules.ratio_span_s.ok_or(SettingsError::Missing("ratioSpanS beside a ration"))?,
            }),
        };
        let retry_after = allow.retry_after.unwrap_or(false);
        let policy = Settings {
            classes: classes?,
            tenants: tenants.iter().map(TenantJson::policy).collect(),
            over_share_worth: self.over_share_worth.unwrap_or(base.over_share_worth),
            worth_by_work: self.worth_by.as_deref() == Some("work"),
            zone: self.my_zone.unwrap_or(base.zone),
            aggregators: self.replicas_of_me.unwrap_or(base.aggregators).max(1),
            cells: family.cells.unwrap_or(base.cells).max(1),
            reach: family.in_a_row.unwrap_or(base.reach).max(1),
            call_parts: family.per_call.unwrap_or(base.call_parts).max(1),
            call_work_s: family.per_call_work_s.unwrap_or(base.call_work_s),
            tick_s: self.round_s.unwrap_or(base.tick_s),
            must_ask: self.discovery.as_deref() == Some("subscribe"),
            ask_within_s: rules.ask_within_s.unwrap_or(base.ask_within_s),
            cancel: allow.cancelling.unwrap_or(false),
            probes: allow.probes.unwrap_or(false),
            second_copies: allow.second_copies.unwrap_or(false),
            retry_after_s: if retry_after { allow.max_retry_after_s.unwrap_or(0.0) } else { 0.0 },
            max_attempts: allow.send_cap.unwrap_or(base.max_attempts),
            budget,
            drain_grace_s: rules.drain_grace_s.unwrap_or(base.drain_grace_s),
            cold_from: rules.cold_from.unwrap_or(base.cold_from),
            cold_s: rules.cold_s.unwrap_or(base.cold_s),
            fall_multiple: rules.fall_multiple.unwrap_or(base.fall_multiple),
            fall_s: rules.overload_for_s.unwrap_or(base.fall_s),
        };
        let phases = self.phases.unwrap_or_default().setup(&categories, &policy.classes)?;
        Ok(Deployment {
            phases,
            classes: categories.into_iter().map(|class| class.name.unwrap_or_default()).collect(),
            tenants: tenants.into_iter().map(|tenant| tenant.name.unwrap_or_default()).collect(),
            zones: self.zones.unwrap_or_default(),
            shards: family.slabs.unwrap_or(u32::MAX),
            most_held: allow.most_held.unwrap_or(1000) as usize,
            streams_per_conn: allow.streams_per_conn.unwrap_or(32).max(1) as usize,
            connect_timeout_s: allow.connect_timeout_s.filter(|time| *time > 0.0).unwrap_or(0.25),
            conn_idle_s: allow.conn_idle_s.filter(|time| *time > 0.0).unwrap_or(15.0),
            policy,
        })
    }
}

impl PhasesJson {
    fn setup(
        &self,
        categories: &[CategoryJson],
        classes: &[ClassSettings],
    ) -> Result<phases::Setup, SettingsError> {
        let base = phases::Setup::default();
        let bad = |what: String| Err(SettingsError::Senseless(format!("phases.{what}")));
        let mut places = Vec::new();
        for name in &self.classes {
            match categories.iter().position(|class| class.name.as_ref() == Some(name)) {
                None => return bad(format!("classes: there is no class {name:?}")),
                Some(place) if classes[place].effect != Effect::Safe => {
                    return bad(format!("classes: {name:?} is not safe to repeat, and can't be asked ahead"));
                }
                Some(place) if places.contains(&place) => {
                    return bad(format!("classes: {name:?} stands there twice"));
                }
                Some(place) => places.push(place),
            }
        }
        let whole = |key: &str, value: Option<f64>, usual: u32| match value {
            None => Ok(usual),
            Some(value) if (1.0..=1e6).contains(&value) && value.fract() == 0.0 => Ok(value as u32),
            Some(value) => {
                let what = format!("phases.{key}: {value} is no whole number from 1 to 1000000");
                Err(SettingsError::Senseless(what))
            }
        };
        let most_share = self.most_share.unwrap_or(base.most_share);
        if !(0.05..=0.8).contains(&most_share) {
            return bad(format!("mostShare: {most_share} is not within 0.05 and 0.8"));
        }
        Ok(phases::Setup {
            classes: places,
            least_parts: whole("leastParts", self.least_parts, base.least_parts)?,
            most_share,
            try_again_every: whole("tryAgainEvery", self.try_again_every, base.try_again_every)?,
        })
    }
}

impl TenantJson {
    fn policy(&self) -> TenantSettings {
        TenantSettings {
            share: self.share.unwrap_or(1.0),
            allowance_per_s: self.allowance_per_s.unwrap_or(f64::MAX),
        }
    }
}

impl CategoryJson {
    fn policy(&self, family: &FamilyJson, place: usize) -> Result<ClassSettings, SettingsError> {
        let base = ClassSettings::default();
        let effect = match self.effect.as_deref() {
            Some("dedup") => Effect::Keyed,
            Some("fragile") => Effect::Unsafe,
            _ => Effect::Safe,
        };
        let of = |list: &Option<Vec<f64>>, base: f64| {
            list.as_ref().and_then(|l| l.get(place)).copied().unwrap_or(base)
        };
        let follow_up = family.follow_up.as_ref().and_then(|list| list.get(place)).copied();
        Ok(ClassSettings {
            aim_s: self.aim_s,
            deadline_s: self.give_up_s,
            worth: self.worth.unwrap_or(base.worth),
            late_worth: self.late_worth.unwrap_or(base.late_worth),
            effect,
            keyed_span_s: self.window_s.unwrap_or(base.keyed_span_s),
            need: of(&family.complete_from, base.need),
            floor: of(&family.floor_by_class, base.floor),
            partial_worth: of(&family.class_partial, base.partial_worth),
            second_step: follow_up.unwrap_or(base.second_step),
        })
    }
}

/// The configuration of a real mixer, as `LB_CONFIG` holds it.
#[derive(Deserialize)]
struct ConfigJson {
    name: Option<String>,
    listen: Option<String>,
    discovery: Option<String>,
    operator: Option<String>,
    search: Option<SearchJson>,
    seed: Option<String>,
    limits: Option<LimitsJson>,
    known: Option<Value>,
    drain_s: Option<f64>,
    store: Option<StoreJson>,
    vrrp: Option<VrrpJson>,
    settings: Setup,
}

/// The front for the search API; it is off where this is missing.
#[derive(Deserialize)]
struct SearchJson {
    listen: String,
    tenant: Option<String>,
}

/// The store; it is off where this is missing.
#[derive(Deserialize)]
struct StoreJson {
    node: u32,
    listen: String,
    folder: Option<String>,
    peers: Vec<StorePeerJson>,
}

#[derive(Deserialize)]
struct StorePeerJson {
    node: u32,
    address: String,
}

/// VRRP; it is off where this is missing.
#[derive(Deserialize)]
struct VrrpJson {
    router: u8,
    priority: u8,
    interval_cs: u16,
    preempt: Option<bool>,
    addresses: Vec<String>,
    listen: String,
    peers: Vec<String>,
}

#[derive(Default, Deserialize)]
struct LimitsJson {
    sockets: Option<f64>,
    memory_mb: Option<f64>,
}

/// The configuration of a real mixer.
pub struct Config {
    json: ConfigJson,
    file_discovery: Option<String>, // as the file says, whatever the environment does
    shape: Shape,
}

/// What a running mixer takes from its file when it rereads it.
pub struct Reread {
    /// Discovery, where the file names one.
    pub discovery: Option<SocketAddr>,
    /// The settings.
    pub deployment: Deployment,
    /// The keys of the file.
    pub shape: Shape,
}

impl Config {
    /// Reads it from its text, JSON or YAML.
    pub fn decode(text: &[u8]) -> Result<Config, SettingsError> {
        if text.len() > MAX_CONFIG_BYTES {
            return Err(SettingsError::TooLong { max_bytes: MAX_CONFIG_BYTES });
        }
        let text = std::str::from_utf8(text)?;
        // JSON is what begins like an object of it, and nothing else is; the rest is YAML.
        let yaml = (!text.trim_start().starts_with('{')).then(|| yaml::to_json(text)).transpose()?;
        let text = yaml.as_deref().unwrap_or(text);
        let json: ConfigJson = read(text)?;
        within("drain_s", json.drain_s, 0.0, LONGEST_S)?;
        if let Some(limits) = &json.limits {
            within("limits.sockets", limits.sockets, SOCKETS_LEAST, COUNT_MOST)?;
            within("limits.memory_mb", limits.memory_mb, 1.0, COUNT_MOST)?;
        }
        let file_discovery = json.discovery.clone();
        let value: Value = read(text)?;
        Ok(Config { json, file_discovery, shape: Shape::of(&value, "") })
    }

    /// Reads it from its file.
    pub fn read(path: &Path) -> Result<Config, SettingsError> {
        let mut text = Vec::new();
        // One byte more than is taken tells that there is more.
        File::open(path)?.take(MAX_CONFIG_BYTES as u64 + 1).read_to_end(&mut text)?;
        Config::decode(&text)
    }

    /// Reads again what a running mixer takes up; a file of which any such thing is wrong, or which lacks a key
    /// that the file in force has, is refused whole.
    pub fn reread(path: &Path, before: &Shape) -> Result<Reread, SettingsError> {
        let Config { json, file_discovery, shape } = Config::read(path)?;
        shape.covers(before)?;
        let discovery = file_discovery.map(|text| address(&text, "discovery")).transpose()?;
        Ok(Reread { discovery, deployment: json.settings.deployment()?, shape })
    }

    /// What the environment says comes before what the file says.
    pub fn override_by(&mut self, variable: impl Fn(&str) -> Option<String>) -> Result<(), SettingsError> {
        self.json.name = variable("LB_NAME").or(self.json.name.take());
        self.json.listen = variable("LB_LISTEN").or(self.json.listen.take());
        self.json.discovery = variable("LB_DISCOVERY").or(self.json.discovery.take());
        self.json.operator = variable("LB_OPERATOR").or(self.json.operator.take());
        Ok(())
    }

    /// A line on what it says.
    pub fn summary(&self) -> String {
        let or = |text: &Option<String>, other: &str| text.as_deref().unwrap_or(other).to_string();
        let json = &self.json;
        format!(
            "{} listens on {}, discovery {}",
            or(&json.name, "a mixer"),
            or(&json.listen, "?"),
            or(&json.discovery, "none")
        )
    }

    /// What the mixer is started with.
    pub fn options(self) -> Result<Options, SettingsError> {
        let json = self.json;
        let store = json.store.map(|store| store.setup()).transpose()?;
        let vrrp = json.vrrp.map(|vrrp| vrrp.setup()).transpose()?;
        // What the operator stored comes before the file, where a data folder kept it.
        let stored = store.as_ref().and_then(|store| store.registers.get("settings").1).map(String::from);
        let seed = json.seed.as_deref().unwrap_or_default();
        let limits = json.limits.unwrap_or_default();
        Ok(Options {
            name: json.name.unwrap_or_else(|| "wharfhub".into()),
            listen: address(&json.listen.ok_or(SettingsError::Missing("listen"))?, "listen")?,
            search: json
                .search
                .as_ref()
                .map(|search| address(&search.listen, "search.listen"))
                .transpose()?,
            search_tenant: json.search.and_then(|search| search.tenant),
            discovery: json.discovery.map(|text| address(&text, "discovery")).transpose()?,
            operator: json.operator.map(|text| address(&text, "operator")).transpose()?,
            file_discovery: self.file_discovery.and_then(|text| text.parse().ok()),
            seed: u64::from_str_radix(seed, 16).unwrap_or(0x5eed),
            sockets: limits.sockets.map_or(1024, |sockets| sockets as usize),
            memory: (limits.memory_mb.unwrap_or(MEMORY_MB).max(1.0) * 1024.0 * 1024.0) as usize,
            store,
            vrrp,
            known: json.known,
            inherited: None,
            shape: self.shape,
            drain_s: json.drain_s.filter(|time| *time >= 0.0).unwrap_or(DRAIN_S),
            deployment: match stored {
                Some(text) => decode(text.as_bytes())?,
                None => json.settings.deployment()?,
            },
        })
    }
}

fn address<T: std::str::FromStr>(text: &str, what: &str) -> Result<T, SettingsError> {
    text.parse().map_err(|_| SettingsError::Senseless(format!("{what} is no address: {text:?}")))
}

impl StoreJson {
    fn setup(self) -> Result<StoreSetup, SettingsError> {
        let mut peers = BTreeMap::new();
        for peer in self.peers {
            peers.insert(peer.node, address(&peer.address, "store.peers")?);
        }
        if peers.contains_key(&self.node) {
            return Err(SettingsError::Senseless("store.peers names this node".into()));
        }
        let registers = match &self.folder {
            None => Registers::in_memory(),
            Some(folder) => Registers::open(Path::new(folder))
                .map_err(|error| SettingsError::Senseless(format!("store.folder {folder}: {error}")))?,
        };
        Ok(StoreSetup { node: self.node, listen: address(&self.listen, "store.listen")?, peers, registers })
    }
}

impl VrrpJson {
    fn setup(self) -> Result<VrrpSetup, SettingsError> {
        let listen: SocketAddr = address(&self.listen, "vrrp.listen")?;
        let IpAddr::V4(primary) = listen.ip() else {
            return Err(SettingsError::Senseless("vrrp.listen is not of IPv4".into()));
        };
        let addresses = self.addresses.iter().map(|text| address(text, "vrrp.addresses"));
        let addresses: Vec<Ipv4Addr> = addresses.collect::<Result<_, _>>()?;
        if addresses.is_empty() || self.priority == 0 || self.interval_cs == 0 {
            return Err(SettingsError::Senseless("vrrp: no address, priority 0 or interval 0".into()));
        }
        let peers = self.peers.iter().map(|text| address(text, "vrrp.peers")).collect::<Result<_, _>>()?;
        let (router, priority, interval_cs) = (self.router, self.priority, self.interval_cs);
        let preempt = self.preempt.unwrap_or(true);
        let router = vrrp::Setup { router, priority, interval_cs, preempt, primary, addresses };
        Ok(VrrpSetup { router, listen, peers })
    }
}

#[cfg(test)]
mod tests;
