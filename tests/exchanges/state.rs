//! The state of a running script: its parties, the programs and their configuration.

use crate::peer::Peer;
use crate::program::Program;
use crate::SETTINGS;
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::PathBuf;
use std::process::{Command, Stdio};
use std::sync::mpsc::channel;

pub struct ScriptState {
    /// The parties that the script plays, by name.
    pub peers: BTreeMap<String, Peer>,
    /// The newest running program.
    pub program: Option<Program>,
    /// The predecessor of `program`, if the script tests a handover.
    pub old: Option<Program>,
    /// The listener for clients that programs inherit, if the script holds one.
    pub held_listener: Option<TcpListener>,
    /// Temporary folder of the programs, which contains the handover socket.
    pub folder: PathBuf,
    /// Whether the configuration has no `known` list.
    pub has_no_known_list: bool,
    /// JSON of the configuration's keys that the script has set.
    pub config_keys: BTreeMap<String, String>,
}

impl ScriptState {
    /// Adds a party that listens on a port of its own.
    pub fn listen(&mut self, name: &str, uses_frames: bool) -> &mut Peer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("bind a port");
        let address = listener.local_addr().ok();
        let peer = Peer {
            listener: Some(listener),
            address,
            uses_frames,
            ..Peer::default()
        };
        self.peers.insert(name.into(), peer);
        self.peers.get_mut(name).expect("inserted")
    }

    /// Returns the JSON of the configuration.
    pub fn config(&self) -> String {
        let endpoints = self.peers.iter().filter(|(_, peer)| !peer.cell.is_empty()).map(|(name, peer)| {
            let (address, cell) = (peer.address.expect("leaf server without an address"), &peer.cell);
            let speaks = if peer.speaks_search_api { "opensearch" } else { "frames" };
            format!(
                "{{\"id\":\"{name}\",\"host_port\":\"{address}\",\"locality\":\"a\",\"cell\":{cell},\
                 \"phase\":\"Ready\",\"up_since_ms\":0,\"speaks\":\"{speaks}\",\"prefilter\":{}}}",
                peer.supports_prefilter
            )
        });
        let endpoints = endpoints.collect::<Vec<_>>().join(",");
        let known =
            format!("\"known\":{{\"revision\":1,\"complete\":true,\"members\":[{endpoints}]}}");
        let mut keys = if self.has_no_known_list {
            Vec::new()
        } else {
            vec![known]
        };
        for (key, value) in [
            ("settings", SETTINGS),
            ("listen", "\"127.0.0.1:0\""),
            ("seed", "\"1\""),
        ] {
            keys.push(format!(
                "\"{key}\":{}",
                self.config_keys.get(key).map_or(value, String::as_str)
            ));
        }
        let others = self
            .config_keys
            .iter()
            .filter(|(key, _)| !["settings", "listen", "seed"].contains(&key.as_str()));
        keys.extend(others.map(|(key, value)| format!("\"{key}\":{value}")));
        let address = self.peers.get("discovery").and_then(|peer| peer.address);
        if let Some(address) = address.filter(|_| !self.config_keys.contains_key("discovery")) {
            keys.push(format!("\"discovery\":\"{address}\""));
        }
        format!("{{{}}}", keys.join(","))
    }

    /// Starts the program and waits for the addresses of its listeners, except those for clients if VRRP is configured or the script
    /// holds the listener.
    pub fn start(&mut self, name: &str) {
        let path = self
            .folder
            .join(format!("{name}-{}.json", u8::from(self.old.is_some())));
        std::fs::write(&path, self.config()).expect("write the configuration file");
        let mut command = Command::new(env!("CARGO_BIN_EXE_wharfhub"));
        command
            .args(["serve", "--config"])
            .arg(&path)
            .stderr(Stdio::piped())
            .env("TMPDIR", &self.folder);
        if let Some(held) = &self.held_listener {
            let held = OwnedFd::from(held.try_clone().expect("duplicate the descriptor"));
            command.stdin(Stdio::from(held)).env("LB_LISTEN_FD", "0");
        }
        let mut child = command.spawn().expect("start the program");
        let (lines, log) = channel();
        let errors = BufReader::new(child.stderr.take().expect("piped"));
        std::thread::spawn(move || {
            errors
                .lines()
                .map_while(Result::ok)
                .all(|line| lines.send(line).is_ok())
        });
        let address = self
            .held_listener
            .as_ref()
            .map_or(SocketAddr::from(([127, 0, 0, 1], 0)), |held| {
                held.local_addr().expect("read the local address")
            });
        let mut program = Program {
            child,
            config_path: path,
            log,
            client_address: address,
            search_address: None,
            admin_address: None,
            store_address: None,
            vrrp_address: None,
        };
        if !self.config_keys.contains_key("vrrp") && self.held_listener.is_none() {
            program.await_client_addresses(self.config_keys.contains_key("search"));
        }
        if self.config_keys.contains_key("operator") {
            program.admin_address =
                Some(program.await_address("admin: listening for operators on "));
        }
        if self.config_keys.contains_key("store") {
            program.store_address = Some(program.await_address("store: node "));
        }
        if self.config_keys.contains_key("vrrp") {
            program.vrrp_address = Some(program.await_address("advertises from "));
        }
        self.program = Some(program);
    }

    /// Returns the newest running program.
    pub fn program(&mut self) -> &mut Program {
        self.program.as_mut().expect("program not started")
    }

    /// Returns the path of the socket at which a process connects to its predecessor.
    pub fn handover_socket(&self) -> PathBuf {
        self.folder.join("wharfhub-wharfhub.sock")
    }

    /// Removes a client whose connection is closed, so that the next use of its name connects again. Other parties are kept.
    pub fn remove_client(&mut self, name: &str) {
        self.peers.retain(|other, peer| {
            other != name
                || peer.listener.is_some()
                || peer.address.is_some()
                || peer.handover_listener.is_some()
        });
    }

    /// Returns the party with this name. An unknown name is a new client, which connects to the listener that its name selects.
    pub fn peer(&mut self, name: &str) -> &mut Peer {
        if !self.peers.contains_key(name) {
            let program = self.program.as_ref();
            let search = program
                .and_then(|program| program.search_address)
                .filter(|_| name.starts_with("os"));
            let store = program
                .and_then(|program| program.store_address)
                .filter(|_| name.starts_with("node"));
            let old = self
                .old
                .as_ref()
                .and_then(|old| old.admin_address)
                .filter(|_| name.starts_with("oop"));
            let admin = program
                .and_then(|program| program.admin_address)
                .filter(|_| name.starts_with("op"))
                .or(old);
            // If the script holds the listener, clients may connect before the program starts.
            let held = || {
                self.held_listener
                    .as_ref()
                    .and_then(|held| held.local_addr().ok())
                    .expect("no program and no held listener")
            };
            let front = program.map_or_else(held, |program| program.client_address);
            let (uses_frames, address) =
                (store.is_some(), search.or(admin).or(store).unwrap_or(front));
            let stream = TcpStream::connect(address).expect("connect");
            stream.set_nodelay(true).expect("set TCP_NODELAY");
            self.peers.insert(
                name.into(),
                Peer {
                    stream: Some(stream),
                    uses_frames,
                    ..Peer::default()
                },
            );
        }
        self.peers.get_mut(name).expect("inserted")
    }
}

impl Drop for ScriptState {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
