//! The directory of replicas: under which names and ids they are known, where they listen, and what the list says of them.
//!
//! This file owns the names, ids, addresses and connections of replicas, and the operators' drain marks. The form of a list is
//! `list_format.rs`'s. It must never make a call, and never judge the health of a replica.

use crate::decisions::api::{Lifecycle, ReplicaEntry, ReplicaId};
use crate::endpoints::list_format::{self, LineJson, ParsedLine};
use miniserde::json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// The zone of a replica whose zone is not named in the settings.
const ZONE_UNKNOWN: u8 = u8::MAX;

slotmap::new_key_type! {
    /// A connection in the loop's table.
    pub struct ConnectionKey;
}

/// The protocol that a replica speaks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WireFormat {
    /// The platform's frames.
    #[default]
    Frames,
    /// The search API over HTTP/1.1.
    Search,
}

/// A server's state in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerState {
    /// It takes new calls.
    Ready,
    /// It is draining.
    Draining {
        /// When the mixer was notified.
        since: f64,
    },
    /// No list names it.
    Removed,
}

/// A replica as this mixer reaches it.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// Its name in the list.
    pub name: String,
    /// Where it listens, if that is known.
    pub address: Option<SocketAddr>,
    /// The protocol that it speaks.
    pub wire_format: WireFormat,
    /// Whether new requests may be sent to it.
    pub ready: bool,
    /// The last load report, as the replica sent it.
    pub load: Option<String>,
    /// Since when no new requests may be sent to it.
    unready_since: Option<f64>,
    /// What the list last said of it.
    listed: Option<ReplicaEntry>,
    /// The connections to it.
    pub connections: Vec<ConnectionKey>,
}

impl Endpoint {
    /// Its state, for the check before anything is sent to it.
    pub fn state(&self) -> ServerState {
        match self.unready_since {
            _ if self.is_removed() => ServerState::Removed,
            _ if self.ready => ServerState::Ready,
            since => ServerState::Draining {
                since: since.unwrap_or(f64::NEG_INFINITY),
            },
        }
    }

    /// Whether it was removed from the list.
    pub fn is_removed(&self) -> bool {
        self.listed
            .is_none_or(|entry| entry.lifecycle == Lifecycle::Removed)
    }

    /// Takes over what a line of the list says of how to reach it; what the line leaves out stays.
    fn update_address(&mut self, line: &ParsedLine) {
        if let Some(address) = line.address {
            self.address = address.parse().ok();
        }
        if let Some(wire_format) = line.wire_format {
            self.wire_format = wire_format;
        }
    }
}

/// The replicas that there are. An id is never used twice: a replica that was removed and comes back gets another one.
///
/// What a change of the list concerns is found by index, so that its cost does not grow with the list.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: BTreeMap<ReplicaId, Endpoint>,
    names: BTreeMap<String, ReplicaId>,
    /// Index of the replicas to which no new requests may be sent.
    unready: BTreeSet<ReplicaId>,
    /// Index of the replicas that were removed from the list; all of them are unready.
    gone: BTreeSet<ReplicaId>,
    last_id: u32,
    /// Names that the operators marked as draining.
    drain_marks: BTreeSet<String>,
    zones: Vec<String>,
}

/// A list, or the changes of one.
#[derive(Debug, Default, PartialEq)]
pub struct List {
    /// Its version, if it has one.
    pub revision: Option<u64>,
    /// Whether it names all replicas there are.
    pub is_full: bool,
    /// Its lines, for the decision module.
    pub entries: Vec<ReplicaEntry>,
}

impl Directory {
    /// An empty directory; `zones` are those of the settings.
    pub fn new(zones: Vec<String>) -> Directory {
        Directory {
            zones,
            ..Directory::default()
        }
    }

    /// Sets the zones of new settings. They apply to lines read from now on.
    pub fn set_zones(&mut self, zones: Vec<String>) {
        self.zones = zones;
    }

    /// The replica of that id.
    pub fn endpoint(&mut self, id: ReplicaId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&id)
    }

    /// The id of the replica of that name.
    pub fn id(&self, name: &str) -> Option<ReplicaId> {
        self.names.get(name).copied()
    }

    /// The name of the replica of that id.
    pub fn name(&self, id: ReplicaId) -> Option<&str> {
        self.endpoints
            .get(&id)
            .map(|endpoint| endpoint.name.as_str())
    }

    /// All names with their ids, in the order of the names.
    pub fn ids(&self) -> impl Iterator<Item = (&String, ReplicaId)> {
        self.names.iter().map(|(name, id)| (name, *id))
    }

    /// The list as it stands, in discovery's form.
    pub fn to_json(&self, revision: Option<u64>) -> String {
        let lines = self
            .endpoints
            .values()
            .filter_map(|endpoint| self.line_json(endpoint))
            .collect();
        list_format::write(revision, lines)
    }

    fn line_json(&self, endpoint: &Endpoint) -> Option<LineJson> {
        let entry = endpoint
            .listed
            .filter(|entry| entry.lifecycle != Lifecycle::Removed)?;
        Some(LineJson {
            name: endpoint.name.clone(),
            address: endpoint.address.map(|address| address.to_string()),
            zone: self.zones.get(usize::from(entry.zone)).cloned(),
            cell: entry.cell,
            phase: list_format::phase_name(entry.lifecycle).into(),
            started_at_ms: entry.started_at * 1000.0,
            wire_format: list_format::wire_format_name(endpoint.wire_format).into(),
            pre_check: entry.supports_pre_check,
        })
    }

    /// All replicas, in the order of their ids.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Number of replicas, including those that were removed from the list and still have connections.
    pub fn count(&self) -> usize {
        self.endpoints.len()
    }

    /// The replicas to which no new requests may be sent: they are draining or were removed.
    pub fn unready(&self) -> impl Iterator<Item = &Endpoint> {
        self.unready.iter().filter_map(|id| self.endpoints.get(id))
    }

    /// Whether there is a replica to which new requests may be sent.
    pub fn has_ready(&self) -> bool {
        self.endpoints.len() > self.unready.len()
    }

    /// Number of replicas that the list names.
    pub fn listed_count(&self) -> usize {
        self.endpoints.len() - self.gone.len()
    }

    /// Forgets the removed replicas that have no connection left. Machines are replaced without end, each by one of another
    /// name, so that memory would grow otherwise.
    pub fn drop_removed(&mut self) {
        let is_unused = |id: &&ReplicaId| {
            self.endpoints
                .get(id)
                .is_none_or(|endpoint| endpoint.connections.is_empty())
        };
        let forgotten: Vec<ReplicaId> = self.gone.iter().filter(is_unused).copied().collect();
        for id in forgotten {
            if let Some(endpoint) = self.endpoints.remove(&id) {
                self.names.remove(&endpoint.name);
            }
            self.unready.remove(&id);
            self.gone.remove(&id);
        }
    }

    /// Sets the time since when replicas are unready for those that the last list or drain marks made so.
    pub fn set_unready_since(&mut self, since: f64) {
        for id in &self.unready {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.unready_since.get_or_insert(since);
            }
        }
    }

    /// Updates the indexes with the state of a replica.
    fn update_indexes(&mut self, id: ReplicaId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.unready_since = endpoint.unready_since.filter(|_| !endpoint.ready);
        set_membership(&mut self.unready, id, !endpoint.ready);
        set_membership(&mut self.gone, id, endpoint.is_removed());
    }

    /// Takes over a list in discovery's form; none if it is not one. Lines that make no sense are skipped.
    pub fn read(&mut self, list: &Value) -> Option<List> {
        let parsed = list_format::parse(list)?;
        let mut entries = Vec::new();
        for line in parsed.lines() {
            entries.extend(self.update(&line));
        }
        if parsed.is_full {
            self.withdraw_unnamed(&entries);
        }
        Some(List {
            revision: parsed.revision,
            is_full: parsed.is_full,
            entries,
        })
    }

    /// Removes from the list whatever has no line in a complete one.
    fn withdraw_unnamed(&mut self, entries: &[ReplicaEntry]) {
        let named: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.id).collect();
        let unnamed: Vec<ReplicaId> = self
            .endpoints
            .keys()
            .filter(|id| !named.contains(id))
            .copied()
            .collect();
        for id in unnamed {
            if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.ready = false;
                endpoint.listed = None;
            }
            self.update_indexes(id);
        }
    }

    /// Takes over a line of a list; none once all ids are used up.
    fn update(&mut self, line: &ParsedLine) -> Option<ReplicaEntry> {
        let zone = self.zone_index(line.zone);
        let id = self.id_or_new(line.name)?;
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.update_address(line);
        endpoint.listed = Some(ReplicaEntry {
            id,
            zone,
            cell: line.cell,
            lifecycle: line.lifecycle,
            started_at: line.started_at,
            supports_pre_check: line.pre_check,
        });
        self.update_readiness(id)
    }

    fn zone_index(&self, zone: Option<&str>) -> u8 {
        zone.and_then(|zone| self.zones.iter().position(|name| name == zone))
            .and_then(|index| u8::try_from(index).ok())
            .unwrap_or(ZONE_UNKNOWN)
    }

    fn id_or_new(&mut self, name: &str) -> Option<ReplicaId> {
        if let Some(id) = self.names.get(name) {
            return Some(*id);
        }
        self.last_id = self.last_id.checked_add(1)?;
        let id = ReplicaId(self.last_id);
        let endpoint = Endpoint {
            name: name.to_string(),
            ..Endpoint::default()
        };
        self.endpoints.insert(id, endpoint);
        self.names.insert(name.to_string(), id);
        Some(id)
    }

    /// Works out whether new requests may be sent to a listed replica, and gives its line with that: what the list says, unless
    /// the operators marked it as draining.
    fn update_readiness(&mut self, id: ReplicaId) -> Option<ReplicaEntry> {
        let endpoint = self.endpoints.get_mut(&id)?;
        let mut entry = endpoint.listed?;
        if entry.lifecycle == Lifecycle::Ready && self.drain_marks.contains(&endpoint.name) {
            entry.lifecycle = Lifecycle::Draining;
        }
        endpoint.ready = entry.lifecycle == Lifecycle::Ready;
        self.update_indexes(id);
        Some(entry)
    }

    /// Sets the names that the operators marked as draining, all of them; gives the lines that have changed by it.
    pub fn set_drain_marks(&mut self, names: Vec<String>) -> Vec<ReplicaEntry> {
        let before = std::mem::replace(&mut self.drain_marks, names.into_iter().collect());
        let changed: Vec<ReplicaId> = before
            .symmetric_difference(&self.drain_marks)
            .filter_map(|name| self.names.get(name))
            .copied()
            .collect();
        changed
            .into_iter()
            .filter_map(|id| self.update_readiness(id))
            .collect()
    }
}

fn set_membership(index: &mut BTreeSet<ReplicaId>, id: ReplicaId, is_member: bool) {
    if is_member {
        index.insert(id);
    } else {
        index.remove(&id);
    }
}

#[cfg(test)]
mod tests;
