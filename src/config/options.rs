//! The decoded and validated start options of the mixer.

use super::key_paths::KeyPaths;
use super::settings::Deployment;
use crate::store::Registers;
use crate::vrrp;
use miniserde::json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;

/// Start options of the mixer, from the configuration file and the environment.
pub struct Options {
    /// Name of the mixer.
    pub name: String,
    /// Listen address for clients of the platform's protocol.
    pub listen: SocketAddr,
    /// Listen address for clients of the search API; `None` if it is disabled.
    pub search: Option<SocketAddr>,
    /// Tenant of search requests that do not name a tenant.
    pub search_tenant: Option<String>,
    /// Listen address of the admin interface; `None` if it is disabled.
    pub operator: Option<SocketAddr>,
    /// Address of discovery, if one is configured.
    pub discovery: Option<SocketAddr>,
    /// Address of discovery in the configuration file, before the environment overrides it.
    pub file_discovery: Option<SocketAddr>,
    /// Listener that the platform keeps open across processes of this mixer, if it does.
    pub inherited: Option<InheritedListener>,
    /// Paths of the keys in the configuration file.
    pub key_paths: KeyPaths,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Maximum number of open descriptors of the process.
    pub max_sockets: usize,
    /// Maximum memory of the process (bytes).
    pub max_memory_bytes: usize,
    /// Initial endpoint list, from `known` in the configuration file.
    pub known_list: Option<Value>,
    /// Time after SIGTERM during which the listeners stay open and clients are served (seconds).
    pub drain_s: f64,
    /// Options of the replicated store; `None` if it is disabled.
    pub store: Option<StoreSetup>,
    /// Options of VRRP; `None` if it is disabled.
    pub vrrp: Option<VrrpSetup>,
    /// Settings of the deployment.
    pub deployment: Deployment,
    /// JSON text of the settings.
    pub settings_text: String,
}

/// Client listener that the platform keeps open across processes of a mixer.
pub struct InheritedListener {
    /// The listening socket.
    pub listener: std::net::TcpListener,
    /// Path of the Unix socket over which the processes perform a handover.
    pub rendezvous_path: PathBuf,
}

/// Options of the replicated store.
pub struct StoreSetup {
    /// Id of this node.
    pub node: u32,
    /// Listen address for the other nodes.
    pub listen: SocketAddr,
    /// Addresses of the other nodes, by id.
    pub peers: BTreeMap<u32, SocketAddr>,
    /// Registers of this node, loaded from the data folder if there is one.
    pub registers: Registers,
}

/// Options of VRRP.
pub struct VrrpSetup {
    /// Configuration of the virtual router.
    pub router: vrrp::RouterConfig,
    /// Address at which advertisements are received and from which they are sent.
    pub listen: SocketAddr,
    /// Addresses of the other routers.
    pub peers: Vec<SocketAddr>,
}
