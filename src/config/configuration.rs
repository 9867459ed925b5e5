//! The configuration file of a mixer: decoding, the top-level keys other than `settings` with their defaults, and the checks
//! at a start and on reload.

use super::bounds::{check_range, MAX_COUNT, MAX_TIME_S};
use super::key_paths::KeyPaths;
use super::options::{Options, StoreSetup, VrrpSetup};
use super::settings::{decode, from_json, DecodedSettings, SettingsJson};
use super::yaml;
use super::SettingsError;
use crate::store::Registers;
use crate::vrrp;
use miniserde::json::{self, Value};
use miniserde::Deserialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

/// Maximum length of a configuration (bytes): an indented list of 10,000 servers takes 2.3 MB.
const MAX_CONFIG_BYTES: usize = 16 * 1024 * 1024;
/// Minimum number of descriptors with which a mixer can serve.
const MIN_SOCKETS: f64 = 32.0;
/// Minimum configurable memory (megabytes).
const MIN_MEMORY_MB: f64 = 1.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// Default of `name`.
const DEFAULT_NAME: &str = "wharfhub";
/// Seed used if `seed` is not set or not hexadecimal.
const DEFAULT_SEED: u64 = 0x5eed;
/// Default of `limits.sockets`.
const DEFAULT_SOCKETS: usize = 1024;
/// Default of `limits.memory_mb` (megabytes).
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// Default of `drain_s` (seconds).
const DEFAULT_DRAIN_S: f64 = 0.7;

/// JSON form of the file that `LB_CONFIG` names.
#[derive(Deserialize)]
pub(super) struct ConfigJson {
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
    pub(super) settings: SettingsJson,
}

/// The section `search`. The search API is disabled if it is missing.
#[derive(Deserialize)]
struct SearchJson {
    listen: String,
    tenant: Option<String>,
}

/// The section `store`. The replicated store is disabled if it is missing.
#[derive(Deserialize)]
struct StoreJson {
    node: u32,
    listen: String,
    folder: Option<String>,
    peers: Vec<StorePeerJson>,
}

/// An entry of `store.peers`.
#[derive(Deserialize)]
struct StorePeerJson {
    node: u32,
    address: String,
}

/// The section `vrrp`. VRRP is disabled if it is missing.
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

/// The section `limits`: limits of the process.
#[derive(Default, Deserialize)]
struct LimitsJson {
    sockets: Option<f64>,
    memory_mb: Option<f64>,
}

/// The decoded configuration of a mixer.
pub struct Config {
    pub(super) json: ConfigJson,
    /// JSON text of the key `settings`.
    settings_text: String,
    /// Value of `discovery` in the file, before the environment overrides it.
    file_discovery: Option<String>,
    pub(super) key_paths: KeyPaths,
}

/// The part of the configuration that a running mixer applies on reload.
pub struct ReloadedConfig {
    /// Address of discovery, if the file sets it.
    pub discovery: Option<SocketAddr>,
    /// Settings of the deployment.
    pub settings: DecodedSettings,
    /// Paths of the keys in the file.
    pub key_paths: KeyPaths,
}

impl Config {
    /// Decodes a configuration in JSON or YAML; an error names the invalid key.
    pub fn decode(text: &[u8]) -> Result<Config, SettingsError> {
        if text.len() > MAX_CONFIG_BYTES {
            return Err(SettingsError::TooLong {
                max_bytes: MAX_CONFIG_BYTES,
            });
        }
        let text = std::str::from_utf8(text)?;
        // A text that begins with `{` is decoded as JSON, any other text as YAML.
        let is_json = text.trim_start().starts_with('{');
        let from_yaml = if is_json {
            None
        } else {
            Some(yaml::to_json(text)?)
        };
        let text = from_yaml.as_deref().unwrap_or(text);
        let json: ConfigJson = from_json(text)?;
        check_range("drain_s", json.drain_s, 0.0..=MAX_TIME_S)?;
        if let Some(limits) = &json.limits {
            check_range("limits.sockets", limits.sockets, MIN_SOCKETS..=MAX_COUNT)?;
            check_range(
                "limits.memory_mb",
                limits.memory_mb,
                MIN_MEMORY_MB..=MAX_COUNT,
            )?;
        }
        let file_discovery = json.discovery.clone();
        let value: Value = from_json(text)?;
        Ok(Config {
            json,
            settings_text: settings_text(&value),
            file_discovery,
            key_paths: KeyPaths::of(&value),
        })
    }

    /// Reads and decodes a configuration file.
    pub fn read(path: &Path) -> Result<Config, SettingsError> {
        let mut text = Vec::new();
        // Reading one byte beyond the limit makes `decode` reject a longer file without reading it to the end.
        File::open(path)?
            .take(MAX_CONFIG_BYTES as u64 + 1)
            .read_to_end(&mut text)?;
        Config::decode(&text)
    }

    /// Reads the file again for a running mixer whose configuration in use has the keys `in_use`. The whole file is rejected if
    /// a value is invalid or one of these keys is missing.
    pub fn reload(path: &Path, in_use: &KeyPaths) -> Result<ReloadedConfig, SettingsError> {
        let config = Config::read(path)?;
        config.key_paths.check_includes(in_use)?;
        Ok(ReloadedConfig {
            discovery: optional_address(config.file_discovery.as_deref(), "discovery")?,
            settings: DecodedSettings::new(
                config.json.settings.deployment()?,
                config.settings_text,
            ),
            key_paths: config.key_paths,
        })
    }

    /// Overrides keys of the file by the environment variables that are set.
    pub fn override_by(&mut self, variable: impl Fn(&str) -> Option<String>) {
        let json = &mut self.json;
        json.name = variable("LB_NAME").or(json.name.take());
        json.listen = variable("LB_LISTEN").or(json.listen.take());
        json.discovery = variable("LB_DISCOVERY").or(json.discovery.take());
        json.operator = variable("LB_OPERATOR").or(json.operator.take());
    }

    /// Returns one line with the name and the addresses for display.
    pub fn summary(&self) -> String {
        let json = &self.json;
        format!(
            "{} listens on {}, discovery {}",
            json.name.as_deref().unwrap_or("a mixer"),
            json.listen.as_deref().unwrap_or("?"),
            json.discovery.as_deref().unwrap_or("none")
        )
    }

    /// Validates the rest of the configuration and opens the store's data folder; an error names the invalid key.
    pub fn options(self) -> Result<Options, SettingsError> {
        let json = self.json;
        let store = json.store.map(StoreJson::setup).transpose()?;
        let vrrp = json.vrrp.map(VrrpJson::setup).transpose()?;
        let limits = json.limits.unwrap_or_default();
        let (search, search_tenant) = match json.search {
            Some(search) => (Some(search.listen), search.tenant),
            None => (None, None),
        };
        let listen = json.listen.ok_or(SettingsError::Missing("listen"))?;
        let seed = json.seed.as_deref().unwrap_or_default();
        // Settings that operators wrote to the store, and that its data folder holds, take precedence over the file.
        let (deployment, settings_text) = match stored_settings(store.as_ref()) {
            Some(text) => (decode(text.as_bytes())?, text.to_string()),
            None => (json.settings.deployment()?, self.settings_text),
        };
        Ok(Options {
            name: json.name.unwrap_or_else(|| DEFAULT_NAME.into()),
            listen: address(&listen, "listen")?,
            search: optional_address(search.as_deref(), "search.listen")?,
            search_tenant,
            discovery: optional_address(json.discovery.as_deref(), "discovery")?,
            operator: optional_address(json.operator.as_deref(), "operator")?,
            file_discovery: self.file_discovery.and_then(|text| text.parse().ok()),
            seed: u64::from_str_radix(seed, 16).unwrap_or(DEFAULT_SEED),
            max_sockets: limits.sockets(),
            max_memory_bytes: limits.memory_bytes(),
            deployment,
            settings_text,
            store,
            vrrp,
            known_list: json.known,
            inherited: None,
            key_paths: self.key_paths,
            drain_s: json
                .drain_s
                .filter(|time| *time >= 0.0)
                .unwrap_or(DEFAULT_DRAIN_S),
        })
    }
}

/// Returns the text of the settings in the store's data folder, if it holds any.
fn stored_settings(store: Option<&StoreSetup>) -> Option<&str> {
    let (_, text) = store?.registers.get("settings");
    text
}

fn settings_text(configuration: &Value) -> String {
    match configuration {
        Value::Object(keys) => keys.get("settings").map(json::to_string),
        _ => None,
    }
    .unwrap_or_default()
}

fn address<T: std::str::FromStr>(text: &str, key: &'static str) -> Result<T, SettingsError> {
    text.parse().map_err(|_| SettingsError::NotAnAddress {
        key,
        value: text.into(),
    })
}

fn optional_address(
    text: Option<&str>,
    key: &'static str,
) -> Result<Option<SocketAddr>, SettingsError> {
    text.map(|text| address(text, key)).transpose()
}

impl LimitsJson {
    fn sockets(&self) -> usize {
        self.sockets
            .map_or(DEFAULT_SOCKETS, |sockets| sockets as usize)
    }

    fn memory_bytes(&self) -> usize {
        let memory_mb = self.memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        (memory_mb.max(MIN_MEMORY_MB) * BYTES_PER_MB) as usize
    }
}

impl StoreJson {
    fn setup(self) -> Result<StoreSetup, SettingsError> {
        let mut peers = BTreeMap::new();
        for peer in self.peers {
            peers.insert(peer.node, address(&peer.address, "store.peers")?);
        }
        if peers.contains_key(&self.node) {
            return Err(SettingsError::StorePeersNameThisNode);
        }
        let registers = match &self.folder {
            None => Registers::in_memory(),
            Some(folder) => {
                Registers::open(Path::new(folder)).map_err(|error| SettingsError::StoreFolder {
                    folder: folder.clone(),
                    error,
                })?
            }
        };
        Ok(StoreSetup {
            node: self.node,
            listen: address(&self.listen, "store.listen")?,
            peers,
            registers,
        })
    }
}

impl VrrpJson {
    fn setup(self) -> Result<VrrpSetup, SettingsError> {
        let listen: SocketAddr = address(&self.listen, "vrrp.listen")?;
        let IpAddr::V4(primary) = listen.ip() else {
            return Err(SettingsError::VrrpNotIpv4);
        };
        let addresses = self
            .addresses
            .iter()
            .map(|text| address(text, "vrrp.addresses"));
        let addresses: Vec<Ipv4Addr> = addresses.collect::<Result<_, _>>()?;
        if addresses.is_empty() || self.priority == 0 || self.interval_cs == 0 {
            return Err(SettingsError::IncompleteVrrp);
        }
        let peers = self
            .peers
            .iter()
            .map(|text| address(text, "vrrp.peers"))
            .collect::<Result<_, _>>()?;
        let router = vrrp::RouterConfig {
            router: self.router,
            priority: self.priority,
            interval_cs: self.interval_cs,
            preempt: self.preempt.unwrap_or(true),
            primary,
            addresses,
        };
        Ok(VrrpSetup {
            router,
            listen,
            peers,
        })
    }
}
