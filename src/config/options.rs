//! What the program is started with, decoded and checked.
//!
//! This file owns these types only. It must never know a key of the configuration.

use super::key_paths::KeyPaths;
use super::settings::Deployment;
use crate::store::Registers;
use crate::vrrp;
use miniserde::json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// What the program is started with.
pub struct Options {
    /// The mixer's name.
    pub name: String,
    /// Where clients of the platform's protocol connect.
    pub listen: SocketAddr,
    /// Where clients of the search API connect, where that front is on.
    pub search: Option<SocketAddr>,
    /// The tenant of search clients that name none.
    pub search_tenant: Option<String>,
    /// The admin interface, where it is on.
    pub operator: Option<SocketAddr>,
    /// Discovery, where there is one.
    pub discovery: Option<SocketAddr>,
    /// Discovery as the configuration's file names it, whatever the environment says.
    pub file_discovery: Option<SocketAddr>,
    /// What the platform holds for all processes of this mixer, where it does.
    pub inherited: Option<InheritedListener>,
    /// The paths of the keys in the configuration's file.
    pub key_paths: KeyPaths,
    /// The seed of random draws.
    pub seed: u64,
    /// Descriptors that the process may have open.
    pub max_sockets: usize,
    /// Memory that the process may use (bytes).
    pub max_memory_bytes: usize,
    /// The endpoint list as last known.
    pub known_list: Option<Value>,
    /// After SIGTERM clients are served for so long before the listeners close (seconds).
    pub drain_s: f64,
    /// The store, where it is set up.
    pub store: Option<StoreSetup>,
    /// VRRP, where it is set up.
    pub vrrp: Option<VrrpSetup>,
    /// The settings.
    pub deployment: Deployment,
}

/// The clients' listener that the platform holds for all processes of a mixer.
pub struct InheritedListener {
    /// The listener.
    pub listener: std::net::TcpListener,
    /// The path of the socket at which these processes connect to each other.
    pub rendezvous_path: PathBuf,
}

/// The set-up of the store.
pub struct StoreSetup {
    /// The id of this node.
    pub node: u32,
    /// Where its peers connect.
    pub listen: SocketAddr,
    /// The other nodes, by id.
    pub peers: BTreeMap<u32, SocketAddr>,
    /// Its registers, with what its folder has kept.
    pub registers: Registers,
}

/// The set-up of VRRP.
pub struct VrrpSetup {
    /// The state machine's own set-up.
    pub router: vrrp::Setup,
    /// Where advertisements are received, and sent from.
    pub listen: SocketAddr,
    /// The other routers.
    pub peers: Vec<SocketAddr>,
}
