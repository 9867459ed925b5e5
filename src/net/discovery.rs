//! Discovery: the list of replicas, and the watch on its changes.
//!
//! This file owns the names under which replicas are known, their addresses and connections, and the calls
//! to discovery. It must never judge a replica, and never trust a line: one that makes no sense is passed
//! over, and the others count.

use super::http::{Message, Reader, Start};
use super::leaf::Speech;
use super::{came_up, Clock, Conn, ConnKey, Due, Mixer, Phase};
use crate::api::{Lifecycle, Outcome, ReplicaEntry, ReplicaId};
use miniserde::json::{self, Number, Object, Value};
use miniserde::Serialize;
use mio::net::TcpStream;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// How long a watch waits for news: at least, for each mixer that there is, and at most; and how much longer its
/// answer may take (seconds). Guards discovery, one service for all, against calls that a fleet makes for no news.
const WATCH_S: (f64, f64, f64) = (8.0, 1.0, 60.0);
/// How much longer than that its answer may take (seconds).
pub const LATER_S: f64 = 3.0;
/// The same for a call that does not wait for news. Guards against a new discovery that never comes up.
pub const WHOLE_WITHIN_S: f64 = 2.5;
/// Where nobody else asks again, a failed call to discovery is repeated after this time (seconds).
const ASK_AGAIN_S: f64 = 0.5;
/// An answer of discovery that brings nothing new within this time did not wait; the next call does (seconds).
const SOON_S: f64 = 0.1;
/// Longest list that is read.
const LIST_MOST: usize = 1024 * 1024;
/// The zone of a replica whose zone the settings do not name.
const ZONE_UNKNOWN: u8 = u8::MAX;

/// A replica as this mixer reaches it.
#[derive(Debug, Default)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it listens, if that is known.
    pub address: Option<SocketAddr>,
    /// What it speaks.
    pub speech: Speech,
    /// Whether something new may go there.
    pub ready: bool,
    /// The load report that came last, as the replica words it.
    pub load: Option<String>,
    /// What the list last said of it.
    listed: Option<ReplicaEntry>,
    /// The connections to it.
    pub conns: Vec<ConnKey>,
}

impl Member {
    /// Whether no list names it any more.
    pub fn gone(&self) -> bool {
        self.listed.is_none_or(|entry| entry.lifecycle == Lifecycle::Gone)
    }
}

/// The replicas that there are. An id is never used twice: a name that was forgotten gets another one.
#[derive(Debug, Default)]
pub struct Directory {
    members: BTreeMap<ReplicaId, Member>,
    names: BTreeMap<String, ReplicaId>,
    last_id: u32,
    drains: Vec<String>, // that the operator marked
    zones: Vec<String>,
}

/// A list, or the changes of one.
#[derive(Debug, Default, PartialEq)]
pub struct List {
    /// Its version, where it has one.
    pub revision: Option<u64>,
    /// Whether it names all replicas there are.
    pub full: bool,
    /// Its lines, for the module.
    pub entries: Vec<ReplicaEntry>,
}

#[derive(Serialize)]
struct ListJson {
    revision: Option<u64>,
    complete: bool,
    members: Vec<LineJson>,
}

#[derive(Serialize)]
struct LineJson {
    id: String,
    host_port: Option<String>,
    locality: Option<String>,
    cell: u32,
    phase: String,
    up_since_ms: f64,
    speaks: String,
    prefilter: bool,
}

/// The version of a list, where it has one.
pub fn revision(list: &Value) -> Option<u64> {
    match list {
        Value::Object(list) => match list.get("revision") {
            Some(Value::Number(Number::U64(revision))) => Some(*revision),
            _ => None,
        },
        _ => None,
    }
}

fn text<'a>(object: &'a Object, key: &str) -> Option<&'a str> {
    match object.get(key)? {
        Value::String(text) => Some(text),
        _ => None,
    }
}

fn number(object: &Object, key: &str) -> Option<f64> {
    match object.get(key)? {
        Value::Number(Number::U64(number)) => Some(*number as f64),
        Value::Number(Number::I64(number)) => Some(*number as f64),
        Value::Number(Number::F64(number)) => Some(*number),
        _ => None,
    }
}

impl Directory {
    /// A directory that names nobody; `zones` are those of the settings.
    pub fn new(zones: Vec<String>) -> Directory {
        Directory { zones, ..Directory::default() }
    }

    /// Other names of zones.
    pub fn set_zones(&mut self, zones: Vec<String>) {
        self.zones = zones;
    }

    /// The replica of that id.
    pub fn member(&mut self, id: ReplicaId) -> Option<&mut Member> {
        self.members.get_mut(&id)
    }

    /// The id under which a replica of that name is known.
    pub fn id(&self, name: &str) -> Option<ReplicaId> {
        self.names.get(name).copied()
    }

    /// All names, each with its id.
    pub fn ids(&self) -> impl Iterator<Item = (&String, ReplicaId)> {
        self.names.iter().map(|(name, id)| (name, *id))
    }

    /// The list as it stands, in discovery's form.
    pub fn text(&self, revision: Option<u64>) -> String {
        let line = |member: &Member| {
            let entry = member.listed.filter(|entry| entry.lifecycle != Lifecycle::Gone)?;
            let drains = entry.lifecycle == Lifecycle::Draining;
            Some(LineJson {
                id: member.name.clone(),
                host_port: member.address.map(|address| address.to_string()),
                locality: self.zones.get(usize::from(entry.zone)).cloned(),
                cell: entry.cell,
                phase: if drains { "Terminating" } else { "Ready" }.into(),
                up_since_ms: entry.started_at * 1000.0,
                prefilter: entry.ahead,
                speaks: if member.speech == Speech::Search { "opensearch" } else { "frames" }.into(),
            })
        };
        let members = self.members.values().filter_map(line).collect();
        json::to_string(&ListJson { revision, complete: true, members })
    }

    /// All replicas, in the order of their ids.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.values()
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.members.len()
    }

    /// Forgets what is gone and has no connection left. Guards the memory: machines are replaced without end,
    /// and each new one has a name of its own.
    pub fn forget_gone(&mut self) {
        self.members.retain(|_, member| !member.gone() || !member.conns.is_empty());
        self.names.retain(|_, id| self.members.contains_key(id));
    }

    /// Reads a list in discovery's form. Unknown keys and senseless lines are passed over.
    pub fn read(&mut self, list: &Value, clock: &Clock) -> Option<List> {
        let revision = revision(list);
        let Value::Object(list) = list else { return None };
        let Some(Value::Array(lines)) = list.get("members") else { return None };
        let full = !matches!(list.get("complete"), Some(Value::Bool(false)));
        let mut named = Vec::new();
        let mut entries = Vec::new();
        for line in lines.iter() {
            let Value::Object(line) = line else { continue };
            let Some(entry) = self.line(line, clock) else { continue };
            named.push(entry.id);
            entries.push(entry);
        }
        if full {
            for (id, member) in self.members.iter_mut() {
                if !named.contains(id) {
                    (member.ready, member.listed) = (false, None);
                }
            }
        }
        Some(List { revision, full, entries })
    }

    fn line(&mut self, line: &Object, clock: &Clock) -> Option<ReplicaEntry> {
        let name = text(line, "id")?;
        let lifecycle = match text(line, "phase")? {
            "Ready" => Lifecycle::Ready,
            "Terminating" => Lifecycle::Draining,
            // Guards against sending to what is in a state that we don't know.
            _ => Lifecycle::Gone,
        };
        let cell = number(line, "cell").filter(|cell| *cell >= 0.0 && *cell <= f64::from(u32::MAX));
        let cell = match cell {
            Some(cell) => cell as u32,
            None if lifecycle == Lifecycle::Gone => 0,
            None => return None,
        };
        let zone = text(line, "locality").and_then(|zone| self.zones.iter().position(|name| name == zone));
        let zone = zone.and_then(|place| u8::try_from(place).ok()).unwrap_or(ZONE_UNKNOWN);
        let started_at = number(line, "up_since_ms").map_or(0.0, |at| clock.from_wall_ms(at));
        let id = match self.names.get(name) {
            Some(id) => *id,
            None => {
                self.last_id = self.last_id.checked_add(1)?;
                let id = ReplicaId(self.last_id);
                self.members.insert(id, Member { name: name.to_string(), ..Member::default() });
                self.names.insert(name.to_string(), id);
                id
            }
        };
        let member = self.members.get_mut(&id)?;
        if let Some(address) = text(line, "host_port") {
            member.address = address.parse().ok();
        }
        if let Some(speech) = text(line, "speaks") {
            member.speech = if speech == "opensearch" { Speech::Search } else { Speech::Frames };
        }
        let ahead = matches!(line.get("prefilter"), Some(Value::Bool(true)));
        member.listed = Some(ReplicaEntry { id, zone, cell, lifecycle, started_at, ahead });
        self.entry(id)
    }

    /// What holds of a replica: what the list says, unless the operator marked it as draining.
    fn entry(&mut self, id: ReplicaId) -> Option<ReplicaEntry> {
        let member = self.members.get_mut(&id)?;
        let mut entry = member.listed?;
        if entry.lifecycle == Lifecycle::Ready && self.drains.contains(&member.name) {
            entry.lifecycle = Lifecycle::Draining;
        }
        member.ready = entry.lifecycle == Lifecycle::Ready;
        Some(entry)
    }

    /// The operator's drain marks, all of them; gives the lines that hold now for those concerned.
    pub fn mark_drains(&mut self, drains: Vec<String>) -> Vec<ReplicaEntry> {
        let before = std::mem::replace(&mut self.drains, drains);
        let changed = |name: &String| before.contains(name) != self.drains.contains(name);
        let concerned: Vec<ReplicaId> =
            self.names.iter().filter(|(name, _)| changed(name)).map(|(_, id)| *id).collect();
        concerned.into_iter().filter_map(|id| self.entry(id)).collect()
    }
}

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
    /// When the answer is overdue.
    pub due: f64,
}

impl DiscoveryConn {
    /// A connection that is on its way.
    pub fn new(stream: TcpStream) -> DiscoveryConn {
        let reader = Reader::responses(LIST_MOST);
        let (out, inbuf) = (Vec::new(), Vec::new());
        DiscoveryConn { stream, out, inbuf, reader, up: false, asked_at: 0.0, due: f64::MAX }
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

/// How long a watch waits for news in a fleet of so many mixers (seconds).
pub fn watch_s(mixers: u32) -> f64 {
    (f64::from(mixers) * WATCH_S.1).clamp(WATCH_S.0, WATCH_S.2)
}

/// The text of the next call: a watch from that version on that waits for so long, or the whole list.
pub fn call(host: &str, revision: Option<u64>, wait_s: f64) -> Vec<u8> {
    let wait = (wait_s * 1000.0) as u64;
    let query = revision.map_or(String::new(), |revision| format!("?index={revision}&wait={wait}"));
    format!("GET /api/targets{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n")
        .into_bytes()
}

/// The list in an answer, as JSON; none where the call failed.
pub fn answer(message: &Message) -> Option<Value> {
    if message.start != (Start::Response { status: 200 }) {
        return None;
    }
    miniserde::json::from_str(std::str::from_utf8(&message.body).ok()?).ok()
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
        let wait_s = watch_s(self.deployment.policy.aggregators);
        conn.out = call(&address.to_string(), self.revision, wait_s);
        let watch = wait_s + LATER_S;
        let within = if self.revision.is_some() { watch } else { WHOLE_WITHIN_S };
        (conn.asked_at, conn.due) = (self.now, self.now + within);
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
                Ok(true) => conn.up = true,
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
            Some(list) if self.take_list(&list) => {
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
            _ => self.end_discovery(key, "no list"),
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
        let Some(list) = self.directory.read(list, &self.clock) else { return false };
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
        let unready = self.directory.members().filter(|member| !member.ready);
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
        let told = self.directory.members().any(|member| member.ready);
        if told && self.phase == Phase::Starting {
            self.phase = Phase::Serving;
            self.log("ready: serving");
        }
    }
}
