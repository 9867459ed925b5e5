//! The configuration of a real mixer: its settings, and what it is started with around them.
//!
//! This file owns the names and defaults of all keys beside `settings`, and the bounds on a configuration's file. It must
//! never open a socket.

use super::bounds::{within, MAX_COUNT, MAX_TIME_S};
use super::key_paths::KeyPaths;
use super::options::{Options, StoreSetup, VrrpSetup};
use super::settings::{decode, from_json, Deployment, SettingsJson};
use super::yaml;
use super::SettingsError;
use crate::store::Registers;
use crate::vrrp;
use miniserde::json::Value;
use miniserde::Deserialize;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Read;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::Path;

/// Longest configuration that is read (bytes): a list of 10,000 servers, indented, takes 2.3 MB.
const MAX_CONFIG_BYTES: usize = 16 * 1024 * 1024;
/// Least descriptors with which a mixer can serve.
const MIN_SOCKETS: f64 = 32.0;
/// Least memory that may be configured (megabytes).
const MIN_MEMORY_MB: f64 = 1.0;
const BYTES_PER_MB: f64 = 1024.0 * 1024.0;

/// The name where none is set.
const DEFAULT_NAME: &str = "wharfhub";
/// The seed where none is set, or none that is hexadecimal.
const DEFAULT_SEED: u64 = 0x5eed;
/// Descriptors where no limit is set.
const DEFAULT_SOCKETS: usize = 1024;
/// Memory where no limit is set (megabytes).
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// After SIGTERM clients are served for so long before the listeners close, where nothing else is set (seconds).
const DEFAULT_DRAIN_S: f64 = 0.7;

/// The configuration of a real mixer, as `LB_CONFIG` holds it.
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

/// Another node of the store.
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

/// The limits of the process.
#[derive(Default, Deserialize)]
struct LimitsJson {
    sockets: Option<f64>,
    memory_mb: Option<f64>,
}

/// The configuration of a real mixer.
pub struct Config {
    pub(super) json: ConfigJson,
    /// Discovery as the file names it, whatever the environment says.
    file_discovery: Option<String>,
    pub(super) key_paths: KeyPaths,
}

/// What a running mixer takes from its file when it rereads it.
pub struct ReloadedConfig {
    /// Discovery, where the file names one.
    pub discovery: Option<SocketAddr>,
    /// The settings.
    pub deployment: Deployment,
    /// The paths of the keys in the file.
    pub key_paths: KeyPaths,
}

impl Config {
    /// Decodes the text of a configuration, JSON or YAML; an error names the key at fault.
    pub fn decode(text: &[u8]) -> Result<Config, SettingsError> {
        if text.len() > MAX_CONFIG_BYTES {
            return Err(SettingsError::TooLong {
                max_bytes: MAX_CONFIG_BYTES,
            });
        }
        let text = std::str::from_utf8(text)?;
        // A text is JSON if it begins like a JSON object; anything else is YAML.
        let is_json = text.trim_start().starts_with('{');
        let from_yaml = if is_json {
            None
        } else {
            Some(yaml::to_json(text)?)
        };
        let text = from_yaml.as_deref().unwrap_or(text);
        let json: ConfigJson = from_json(text)?;
        within("drain_s", json.drain_s, 0.0..=MAX_TIME_S)?;
        if let Some(limits) = &json.limits {
            within("limits.sockets", limits.sockets, MIN_SOCKETS..=MAX_COUNT)?;
            within(
                "limits.memory_mb",
                limits.memory_mb,
                MIN_MEMORY_MB..=MAX_COUNT,
            )?;
        }
        let file_discovery = json.discovery.clone();
        let value: Value = from_json(text)?;
        Ok(Config {
            json,
            file_discovery,
            key_paths: KeyPaths::of(&value),
        })
    }

    /// Reads and decodes the file of a configuration.
    pub fn read(path: &Path) -> Result<Config, SettingsError> {
        let mut text = Vec::new();
        // One byte more than the bound shows that there is more.
        File::open(path)?
            .take(MAX_CONFIG_BYTES as u64 + 1)
            .read_to_end(&mut text)?;
        Config::decode(&text)
    }

    /// Reads the file again for a running mixer, whose file in force has these keys. A file is rejected completely where
    /// anything of this is wrong, or where it lacks one of these keys.
    pub fn reload(path: &Path, in_force: &KeyPaths) -> Result<ReloadedConfig, SettingsError> {
        let config = Config::read(path)?;
        config.key_paths.check_includes(in_force)?;
        Ok(ReloadedConfig {
            discovery: optional_address(config.file_discovery.as_deref(), "discovery")?,
            deployment: config.json.settings.deployment()?,
            key_paths: config.key_paths,
        })
    }

    /// Puts the variables of the environment that are set in place of the file's keys.
    pub fn override_by(&mut self, variable: impl Fn(&str) -> Option<String>) {
        let json = &mut self.json;
        json.name = variable("LB_NAME").or(json.name.take());
        json.listen = variable("LB_LISTEN").or(json.listen.take());
        json.discovery = variable("LB_DISCOVERY").or(json.discovery.take());
        json.operator = variable("LB_OPERATOR").or(json.operator.take());
    }

    /// One line for people, with the name and the addresses.
    pub fn summary(&self) -> String {
        let json = &self.json;
        format!(
            "{} listens on {}, discovery {}",
            json.name.as_deref().unwrap_or("a mixer"),
            json.listen.as_deref().unwrap_or("?"),
            json.discovery.as_deref().unwrap_or("none")
        )
    }

    /// Checks the rest of the configuration and opens the store's folder; an error names the key at fault.
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
            deployment: deployment(store.as_ref(), json.settings)?,
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

/// The deployment: what operators have put into the store and its folder has kept comes before the file.
fn deployment(
    store: Option<&StoreSetup>,
    settings: SettingsJson,
) -> Result<Deployment, SettingsError> {
    let (_, stored) = match store {
        Some(store) => store.registers.get("settings"),
        None => return settings.deployment(),
    };
    match stored {
        Some(text) => decode(text.as_bytes()),
        None => settings.deployment(),
    }
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
        let router = vrrp::Setup {
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
