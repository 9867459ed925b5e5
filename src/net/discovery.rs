//! Discovery: the list of replicas, and the watch on its changes.
//!
//! This file owns the calls to discovery and what becomes of their answers; what a list says is `members.rs`'s. It
//! must never judge a replica, and never ask a discovery that did not wait again at once.

use super::http::{Message, Reader, Start};
use super::{came_up, Conn, ConnKey, Due, Mixer, Phase};
use crate::api::{Outcome, ReplicaEntry};
use crate::choices::asking;
use miniserde::json::Value;
use mio::net::TcpStream;
use std::io::{self, Read, Write};

/// A connection to it has to come up within this time (seconds).
const UP_WITHIN_S: f64 = 1.0;
/// A call that does not wait for news has to be answered within this time (seconds).
pub const WHOLE_WITHIN_S: f64 = 2.5;
/// Where nobody else asks again, a failed call to discovery is repeated after this time (seconds).
const ASK_AGAIN_S: f64 = 0.5;
/// An answer of discovery that brings nothing new within this time did not wait; the next call does (seconds).
const SOON_S: f64 = 0.1;
/// Longest list that is read.
const LIST_MOST: usize = 1024 * 1024;

/// A connection to discovery with a call on it.
pub struct DiscoveryConn {
    /// Its socket.
    pub stream: TcpStream,
    /// What is still to be written.
    pub out: Vec<u8>,
    /// What has come and not been read.
    pub inbuf: Vec<u8>,
    /// Reads it.
    pub reader: Reader,
    /// Whether it has come up.
    pub up: bool,
    /// When the call was made.
    pub asked_at: f64,
    /// How long the call may take (seconds).
    pub within_s: f64,
    /// When its answer is overdue, or the connection has to be up.
    pub due: f64,
}

impl DiscoveryConn {
    /// A connection that is on its way.
    pub fn new(stream: TcpStream) -> DiscoveryConn {
        let reader = Reader::responses(LIST_MOST);
        let (out, inbuf) = (Vec::new(), Vec::new());
        DiscoveryConn { stream, out, inbuf, reader, up: false, asked_at: 0.0, within_s: 0.0, due: f64::MAX }
    }

    /// Writes what the socket takes, once it has come up.
    pub fn flush(&mut self) -> io::Result<()> {
        while self.up && !self.out.is_empty() {
            match self.stream.write(&self.out) {
                Ok(count) => drop(self.out.drain(..count)),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => break,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

/// The text of the next call: a watch from that version on that waits for so long, or the whole list.
pub fn call(host: &str, revision: Option<u64>, wait_s: f64) -> Vec<u8> {
    let wait = (wait_s * 1000.0) as u64;
    let query = revision.map_or(String::new(), |revision| format!("?index={revision}&wait={wait}"));
    format!("GET /api/targets{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// What an answer says, as JSON; or why the call failed.
pub fn answer(message: &Message) -> Result<Value, String> {
    match message.start {
        Start::Response { status: 200 } => {}
        Start::Response { status } => return Err(format!("status {status}")),
        Start::Request { .. } => return Err("no answer but a request".into()),
    }
    let text = std::str::from_utf8(&message.body).map_err(|_| "a list that is not UTF-8")?;
    miniserde::json::from_str(text).map_err(|_| "a list that is no JSON, or cut off".into())
}

impl Mixer {
    /// Sends the next call, unless one is out.
    pub(super) fn ask(&mut self) {
        let Some(address) = self.discovery else { return };
        let key = match self.asking {
            Some(key) => key,
            None => {
                match TcpStream::connect(address).or_else(|error| self.without_a_client(address, error)) {
                    Ok(stream) => {
                        let key = self.conns.insert(Conn::Discovery(Box::new(DiscoveryConn::new(stream))));
                        self.asking = Some(key);
                        self.register(key);
                        key
                    }
                    Err(error) => return self.list_failed(&error.to_string()),
                }
            }
        };
        let Some(Conn::Discovery(conn)) = self.conns.get_mut(key) else { return };
        if conn.due < f64::MAX {
            return;
        }
        let policy = &self.deployment.policy;
        let wait_s = asking::watch_s(policy.aggregators, !policy.must_ask, self.rng.rand_float());
        conn.out = call(&address.to_string(), self.revision, wait_s);
        conn.within_s = if self.revision.is_some() { wait_s + asking::LATER_S } else { WHOLE_WITHIN_S };
        conn.asked_at = self.now;
        // Guards against a machine that is not there: a watch's patience is for one that is.
        conn.due = self.now + if conn.up { conn.within_s } else { UP_WITHIN_S };
        self.agenda.add(conn.due, Due::Conn(key));
        if let Err(error) = conn.flush() {
            self.end_discovery(key, &error.to_string());
        }
    }

    pub(super) fn discovery_event(&mut self, key: ConnKey) {
        let Some(Conn::Discovery(conn)) = self.conns.get_mut(key) else { return };
        if !conn.up {
            match came_up(&conn.stream) {
                Ok(false) => return,
                Ok(true) => {
                    conn.up = true;
                    let _ = conn.stream.set_nodelay(true);
                    if conn.due < f64::MAX {
                        conn.due = conn.asked_at + conn.within_s;
                        self.agenda.add(conn.due, Due::Conn(key));
                    }
                }
                Err(error) => return self.end_discovery(key, &error.to_string()),
            }
        }
        if let Err(error) = conn.flush() {
            return self.end_discovery(key, &error.to_string());
        }
        let mut buffer = [0; 16 * 1024];
        let message = loop {
            let (count, ended) = match conn.stream.read(&mut buffer) {
                Ok(count) => (count, count == 0),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return self.end_discovery(key, &error.to_string()),
            };
            conn.inbuf.extend_from_slice(&buffer[..count]);
            match conn.reader.read(&mut conn.inbuf, ended) {
                Ok(Some(message)) => break message,
                Ok(None) if ended => return self.end_discovery(key, "closed"),
                Ok(None) => {}
                Err(error) => return self.end_discovery(key, &error.to_string()),
            }
        };
        let list = answer(&message);
        let at_once = self.now < conn.asked_at + SOON_S;
        conn.due = f64::MAX;
        if !message.keep_alive {
            self.drop_conn(key);
        }
        let before = self.revision;
        match list {
            Ok(list) if self.take_list(&list) => {
                self.ask_predecessor();
                if std::mem::take(&mut self.going_over) {
                    self.log("reload: done, the new discovery has told its list");
                }
                // Guards discovery against calls without end, where it does not wait or tells no version. The
                // watch goes on all the same: the next call is due within 200 ms.
                if at_once && self.revision == before {
                    let pause = if self.revision.is_none() { ASK_AGAIN_S } else { SOON_S };
                    self.agenda.add(self.now + pause, Due::Ask);
                } else {
                    self.ask();
                }
            }
            Ok(_) => self.end_discovery(key, "an answer without members"),
            Err(why) => self.end_discovery(key, &why),
        }
    }

    pub(super) fn end_discovery(&mut self, key: ConnKey, why: &str) {
        self.drop_conn(key);
        self.list_failed(why);
    }

    pub(super) fn list_failed(&mut self, why: &str) {
        self.log(&format!("discovery: call failed ({why})"));
        self.core.list_failed(self.now, &mut self.commands);
        if !self.deployment.policy.must_ask {
            self.agenda.add(self.now + ASK_AGAIN_S, Due::Ask);
        }
    }

    /// Takes a list; says whether it was one.
    pub(super) fn take_list(&mut self, list: &Value) -> bool {
        let Some(list) = self.directory.read(list) else { return false };
        self.revision = list.revision.or(self.revision);
        let count = list.entries.len();
        if count > 0 {
            self.log(&format!("discovery: revision {:?}, {count} lines, full {}", self.revision, list.full));
        }
        self.take_entries(list.full, list.entries);
        true
    }

    /// Tells the core of replicas, and withdraws what must not leave any more.
    pub(super) fn take_entries(&mut self, full: bool, entries: Vec<ReplicaEntry>) {
        self.core.list(self.now, full, entries, &mut self.commands);
        // Nothing new may go to what drains or is gone, not even what still waits for its connection.
        let unready = self.directory.unready();
        let unready: Vec<(ConnKey, bool)> =
            unready.flat_map(|member| member.conns.iter().map(|key| (*key, member.gone()))).collect();
        for (key, gone) in unready {
            let Some(Conn::Leaf(leaf)) = self.conns.get_mut(key) else { continue };
            for attempt in leaf.withdraw() {
                self.flights.remove(attempt);
                self.core.ended(self.now, attempt, Outcome::Moot, None, &mut self.commands);
            }
            let Some(Conn::Leaf(leaf)) = self.conns.get_mut(key) else { continue };
            if gone && leaf.unused() {
                self.drop_conn(key);
            }
        }
        self.directory.forget_gone();
        self.ready_if_told();
    }

    pub(super) fn ready_if_told(&mut self) {
        if self.phase == Phase::Starting && self.directory.has_ready() {
            self.phase = Phase::Serving;
            self.log("ready: serving");
        }
    }
}
