//! The mixer of a flood, with every listener that a peer can reach, and the stand-ins that it talks to.

use super::stand_ins::{DiscoveryFlood, LeafServer};
use super::{FloodKind, MEMORY_LIMIT_MB};
use crate::daemon::{self, Daemon, Usage};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};

/// Number of leaf servers that serve.
const LEAF_SERVERS: usize = 4;
/// Leaf servers in the list at addresses where nothing listens: they make the page of endpoints as long as in a large fleet.
const UNREACHABLE_SERVERS: usize = 5000;
/// Core that the mixer shares with a busy process.
const SHARED_CORE: &str = "0";

/// Addresses at which the mixer listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Clients of the platform.
    pub clients: SocketAddr,
    /// Clients of the search API.
    pub search: SocketAddr,
    /// Operators.
    pub admin: SocketAddr,
    /// Peers of the store.
    pub store: SocketAddr,
    /// VRRP.
    pub vrrp: SocketAddr,
    /// The only VRRP peer of the mixer.
    pub vrrp_peer: SocketAddr,
}

impl Addresses {
    /// Returns free addresses on a loopback IP that no other flood of this process uses.
    fn free() -> io::Result<Addresses> {
        static LAST: AtomicU8 = AtomicU8::new(0);
        let host = LAST.fetch_add(1, Ordering::Relaxed) % 250 + 1;
        let ip = Ipv4Addr::new(127, 11, (std::process::id() % 250) as u8, host);
        let tcp = || TcpListener::bind((ip, 0))?.local_addr();
        let udp = || UdpSocket::bind((ip, 0))?.local_addr();
        Ok(Addresses {
            clients: tcp()?,
            search: tcp()?,
            admin: tcp()?,
            store: tcp()?,
            vrrp: udp()?,
            vrrp_peer: udp()?,
        })
    }
}

/// The stand-ins of a flood.
pub struct Scenario {
    kind: FloodKind,
    leaf_servers: Vec<LeafServer>,
    discovery: Option<DiscoveryFlood>,
}

impl Scenario {
    /// Starts the stand-ins. Leaf servers and discovery flood the mixer themselves where the kind says so.
    pub fn start(kind: FloodKind) -> io::Result<Scenario> {
        let leaf_servers = (0..LEAF_SERVERS)
            .map(|number| LeafServer::start(kind == FloodKind::LeafAnswers && number == 0))
            .collect::<io::Result<_>>()?;
        let discovery = match kind {
            FloodKind::DiscoveryTrailer => Some(DiscoveryFlood::start()?),
            _ => None,
        };
        Ok(Scenario {
            kind,
            leaf_servers,
            discovery,
        })
    }

    /// Returns the number of messages with which the stand-ins have flooded the mixer.
    pub fn sent(&self) -> u64 {
        let leaf_answers: u64 = self.leaf_servers.iter().map(LeafServer::repeated).sum();
        leaf_answers + self.discovery.as_ref().map_or(0, DiscoveryFlood::sent)
    }

    fn list(&self) -> String {
        let entry = |name: String, address: SocketAddr, cell: usize, phase: &str| {
            format!(
                "{{\"id\":\"{name}\",\"host_port\":\"{address}\",\"locality\":\"a\",\"cell\":{cell},\"phase\":\"{phase}\",\
                 \"up_since_ms\":0}}"
            )
        };
        let mut entries: Vec<String> = self
            .leaf_servers
            .iter()
            .enumerate()
            .map(|(number, server)| {
                entry(format!("s{number}"), server.address, number % 2, "Ready")
            })
            .collect();
        if matches!(
            self.kind,
            FloodKind::EndpointsPage | FloodKind::UnreadAnswers
        ) {
            let nowhere = SocketAddr::from(([127, 0, 0, 1], 1));
            let more = (0..UNREACHABLE_SERVERS)
                .map(|number| entry(format!("u{number}"), nowhere, number % 2, "Terminating"));
            entries.extend(more);
        }
        format!(
            "{{\"revision\":1,\"complete\":true,\"members\":[{}]}}",
            entries.join(",")
        )
    }

    fn config(&self, addresses: &Addresses) -> String {
        let Addresses {
            clients,
            search,
            admin,
            store,
            vrrp,
            vrrp_peer,
        } = addresses;
        let discovery = self.discovery.as_ref().map_or(String::new(), |discovery| {
            format!("\"discovery\":\"{}\",", discovery.address)
        });
        let vrrp = match self.kind {
            FloodKind::VrrpAdvertisements | FloodKind::VrrpGarbage => format!(
                "\"vrrp\":{{\"router\":7,\"priority\":255,\"interval_cs\":100,\"addresses\":[\"127.0.0.1\"],\
                 \"listen\":\"{vrrp}\",\"peers\":[\"{vrrp_peer}\"]}},"
            ),
            _ => String::new(),
        };
        format!(
            "{{\"name\":\"flood\",\"listen\":\"{clients}\",\"seed\":\"7\",{discovery}{vrrp}\"operator\":\"{admin}\",\
             \"search\":{{\"listen\":\"{search}\",\"tenant\":\"acme\"}},\
             \"store\":{{\"node\":1,\"listen\":\"{store}\",\"peers\":[]}},\
             \"limits\":{{\"sockets\":1024,\"memory_mb\":{MEMORY_LIMIT_MB}}},\"known\":{},\"settings\":{SETTINGS}}}",
            self.list()
        )
    }
}

/// Settings with long deadlines, so that anything that is kept until a deadline adds up.
const SETTINGS: &str = r#"{"categories":[
 {"name":"slot","aimS":0.4,"giveUpS":60.0,"effect":"retryable","lateWorth":0.3,"worth":1.0},
 {"name":"hold","aimS":0.4,"giveUpS":60.0,"effect":"dedup","windowS":1.0,"lateWorth":0.1,"worth":2.0}],
 "tenants":[{"name":"acme","share":0.5,"allowancePerS":100000.0},{"name":"probes","share":0.5,"allowancePerS":100000.0}],
 "zones":["a"],"myZone":0,"replicasOfMe":1,"roundS":0.005,"discovery":"subscribe",
 "familyInfo":{"cells":3,"inARow":1,"slabs":6,"perCall":1,"classPartial":[0.9,0.9],"completeFrom":[1.0,1.0],
  "floorByClass":[1.0,1.0],"followUp":[0,0]},
 "permissions":{"cancelling":true,"connIdleS":4.0,"connectTimeoutS":0.25,"maxRetryAfterS":2.0,"mostHeld":200,
  "retryAfter":true,"secondCopies":true,"sendCap":4,"streamsPerConn":32},
 "rules":{"askWithinS":10.0,"coldFrom":0.5,"coldS":3.0,"drainGraceS":0.5,"fallMultiple":2.5,"overloadForS":1.5}}"#;

/// A running mixer, and the busy process that shares its core, if there is one.
pub struct FloodedMixer {
    daemon: Daemon,
    busy: Option<Child>,
    /// Addresses at which the mixer listens.
    pub addresses: Addresses,
}

impl Drop for FloodedMixer {
    fn drop(&mut self) {
        if let Some(busy) = &mut self.busy {
            let _ = busy.kill();
            let _ = busy.wait();
        }
    }
}

impl FloodedMixer {
    /// Starts the mixer. With `half_core`, the mixer and a process that is always busy run on the same core.
    pub fn start(scenario: &Scenario, half_core: bool) -> io::Result<FloodedMixer> {
        let addresses = Addresses::free()?;
        let config = scenario.config(&addresses);
        let name = format!("flood-{}", addresses.clients.port());
        let mut daemon = daemon::start(&daemon::program()?, &config, &name)?;
        if scenario.kind == FloodKind::UnreadLog {
            daemon.fill_log_pipe()?;
        }
        let busy = match half_core {
            true => Some(share_core(daemon.id())?),
            false => None,
        };
        Ok(FloodedMixer {
            daemon,
            busy,
            addresses,
        })
    }

    /// Returns the resources that the mixer has used.
    pub fn usage(&self) -> io::Result<Usage> {
        self.daemon.usage()
    }
}

/// Moves a process to one core, and starts a process there that is always busy.
fn share_core(process: u32) -> io::Result<Child> {
    Command::new("taskset")
        .args(["-a", "-c", "-p", SHARED_CORE, &process.to_string()])
        .stdout(Stdio::null())
        .status()?;
    Command::new("taskset")
        .args(["-c", SHARED_CORE, "sh", "-c", "while :; do :; done"])
        .spawn()
}
