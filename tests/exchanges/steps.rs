//! Executes the steps of scripts. `main.rs` describes them.

use crate::peer::Peer;
use crate::state::ScriptState;
use crate::text::bytes;
use crate::{MAX_WAIT, SETTINGS};
use std::io::Write;
use std::net::{Shutdown, TcpListener, TcpStream, UdpSocket};
use std::os::fd::OwnedFd;
use std::os::unix::net::{UnixListener, UnixStream};

/// Executes one line of the script `name`. Panics if a result differs from the awaited one.
pub fn step(state: &mut ScriptState, name: &str, line: &str) {
    let words: Vec<&str> = line.splitn(3, ' ').collect();
    if let ["old", ..] = words[..] {
        std::mem::swap(&mut state.old, &mut state.program);
        step(state, name, &line["old ".len()..]);
        std::mem::swap(&mut state.old, &mut state.program);
        return;
    }
    let is_known = set_up(state, &words, line)
        || drive_program(state, name, &words, line)
        || exchange_messages(state, &words)
        || drive_connection(state, &words);
    assert!(is_known, "unknown step");
}

/// Executes a step that adds a party or changes the configuration. Returns whether the step is of this kind.
fn set_up(state: &mut ScriptState, words: &[&str], line: &str) -> bool {
    match *words {
        ["discovery"] => drop(state.listen("discovery", false)),
        ["another", name] => drop(state.listen(name, false)),
        ["peer", name] => drop(state.listen(name, true)),
        ["leaf", name, rest] => listen_as_leaf_server(state, name, rest),
        ["udp", name] => {
            state.peers.insert(name.into(), vrrp_router());
        }
        ["set", key, value] => {
            let value = with_addresses(state, value);
            state.config_keys.insert(key.into(), value);
        }
        ["edit", _, _] => edit_settings(state, &line["edit ".len()..]),
        ["unlisted"] => state.has_no_known_list = true,
        ["hold"] => {
            state.held_listener = Some(TcpListener::bind("127.0.0.1:0").expect("bind a port"))
        }
        _ => return false,
    }
    true
}

fn listen_as_leaf_server(state: &mut ScriptState, name: &str, rest: &str) {
    let mut words = rest.split(' ');
    let cell = words.next().expect("leaf server without a cell");
    let words: Vec<&str> = words.collect();
    let is_search = words.contains(&"opensearch");
    let peer = state.listen(name, !is_search);
    peer.cell = cell.into();
    peer.speaks_search_api = is_search;
    peer.supports_prefilter = words.contains(&"prefilter");
}

fn vrrp_router() -> Peer {
    let socket = UdpSocket::bind("127.0.0.1:0").expect("bind a port");
    socket
        .set_read_timeout(Some(MAX_WAIT))
        .expect("set the read timeout");
    Peer {
        address: socket.local_addr().ok(),
        udp: Some(socket),
        ..Peer::default()
    }
}

/// Returns `value` with each `@NAME` replaced by the address of that party, and `@folder` by the temporary folder.
fn with_addresses(state: &ScriptState, value: &str) -> String {
    let mut value = value.replace("@folder", &state.folder.to_string_lossy());
    for (name, peer) in &state.peers {
        if let Some(address) = peer.address {
            value = value.replace(&format!("@{name}"), &address.to_string());
        }
    }
    value
}

fn edit_settings(state: &mut ScriptState, change: &str) {
    let (old, new) = change.split_once(" => ").expect("edit without =>");
    let settings = state
        .config_keys
        .entry("settings".into())
        .or_insert_with(|| SETTINGS.into());
    assert!(settings.contains(old), "text to edit not in the settings");
    *settings = settings.replace(old, new);
}

/// Executes a step that concerns a process, its log or its configuration file. Returns whether the step is of this kind.
fn drive_program(state: &mut ScriptState, name: &str, words: &[&str], line: &str) -> bool {
    match *words {
        ["start"] => state.start(name),
        ["beside"] => {
            state.old = state.program.take();
            state.start(name);
        }
        ["ends", "now"] => {
            state.program = None;
            state.program = state.old.take();
        }
        ["active"] => {
            let has_search = state.config_keys.contains_key("search");
            match state.held_listener {
                Some(_) => state.program().await_search_address(),
                None => state.program().await_client_addresses(has_search),
            }
        }
        ["log", ..] => drop(state.program().await_log(&line["log ".len()..])),
        ["rewrite"] => {
            let text = state.config();
            std::fs::write(&state.program().config_path, text)
                .expect("write the configuration file");
        }
        ["spoil"] => {
            std::fs::write(&state.program().config_path, "{").expect("write the configuration file")
        }
        ["stop"] => state.program().stop(),
        ["term" | "hup" | "cont"] => state.program().signal(&words[0].to_uppercase()),
        ["exits"] => state.program().await_exit(),
        _ => return false,
    }
    true
}

/// Executes a step that sends or awaits bytes. Returns whether the step is of this kind.
fn exchange_messages(state: &mut ScriptState, words: &[&str]) -> bool {
    match *words {
        [who, ">", text] => state.peer(who).send(text),
        [who, "<", text] => state.peer(who).await_text(text),
        [who, "raw", text] => state
            .peer(who)
            .stream()
            .write_all(&bytes(text))
            .expect("send the bytes"),
        [who, "tells", text] => {
            let address = state.program().vrrp_address.expect("VRRP not configured");
            let socket = state.peers[who]
                .udp
                .as_ref()
                .expect("party is not a VRRP router");
            socket
                .send_to(&bytes(text), address)
                .expect("send the datagram");
        }
        [who, "hears", text] => {
            let socket = state.peers[who]
                .udp
                .as_ref()
                .expect("party is not a VRRP router");
            await_datagram(socket, &bytes(text));
        }
        [who, "sent"] => state.peer(who).await_arrival(),
        [who, "finds"] => {
            let found = state.peer(who).stream().peek(&mut [0]);
            assert!(found.expect("wait for bytes") > 0, "connection closed");
        }
        [who, "floods"] => {
            let stream = state.peer(who).stream();
            let chunk = [b'x'; 1 << 16];
            let ended = (0..1 << 12).any(|_| stream.write_all(&chunk).is_err());
            assert!(ended, "256 MiB accepted");
        }
        _ => return false,
    }
    true
}

/// Waits for a datagram, and ignores others, such as repeated advertisements, before it.
fn await_datagram(socket: &UdpSocket, awaited: &[u8]) {
    let mut buffer = [0; 2048];
    loop {
        let count = socket.recv(&mut buffer).expect("receive a datagram");
        if buffer[..count] == *awaited {
            return;
        }
    }
}

/// Executes a step that concerns a connection or a listener. Returns whether the step is of this kind.
fn drive_connection(state: &mut ScriptState, words: &[&str]) -> bool {
    match *words {
        [who, "meets"] => {
            let stream = UnixStream::connect(state.handover_socket())
                .expect("connect to the handover socket");
            let peer = Peer {
                stream: Some(TcpStream::from(OwnedFd::from(stream))),
                ..Peer::default()
            };
            state.peers.insert(who.into(), peer);
        }
        [who, "awaits"] => {
            let listener =
                UnixListener::bind(state.handover_socket()).expect("bind the handover socket");
            let peer = Peer {
                handover_listener: Some(listener),
                ..Peer::default()
            };
            state.peers.insert(who.into(), peer);
        }
        [who, "takes"] => state.peer(who).accept(),
        [who, "fills"] => state.peer(who).fill_queue(),
        [who, "empties"] => state.peer(who).empty_queue(),
        [who, "shut"] => state
            .peer(who)
            .stream()
            .shutdown(Shutdown::Write)
            .expect("shut down the sending side"),
        [who, "close"] => {
            state.peer(who).stream = None;
            state.remove_client(who);
        }
        [who, "parts"] => {
            state.peer(who).await_orderly_close();
            state.remove_client(who);
        }
        [who, "ends"] => {
            state.peer(who).await_close();
            state.remove_client(who);
        }
        [who, "refuses"] => {
            let peer = state.peer(who);
            peer.listener = None;
            peer.handover_listener = None;
        }
        _ => return false,
    }
    true
}
