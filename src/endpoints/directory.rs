//! The directory of replicas: their names, ids, addresses, connections, list entries, and the drain marks set by operators.
//!
//! The format of a list is implemented in `list_format.rs`. The health of replicas is not tracked here.

use crate::decisions::api::{Lifecycle, ReplicaEntry, ReplicaId};
use crate::endpoints::list_format::{self, EntryJson, ParsedEntry};
use miniserde::json::Value;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Zone index of a replica whose zone is missing or not listed in the settings.
const ZONE_UNKNOWN: u8 = u8::MAX;

slotmap::new_key_type! {
    /// Key of a connection in the event loop's table.
    pub struct ConnectionKey;
}

/// Protocol that a replica uses.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WireFormat {
    /// The frames of the platform's protocol.
    #[default]
    Frames,
    /// The search API over HTTP/1.1.
    Search,
}

/// State of a server according to the endpoint list and the drain marks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ServerState {
    /// The server accepts new calls.
    Ready,
    /// The server is draining.
    Draining {
        /// Time at which the mixer was notified.
        since: f64,
    },
    /// The server is not in the list, or is listed in an unknown phase.
    Removed,
}

/// A replica with its address and connections.
#[derive(Debug, Default)]
pub struct Endpoint {
    /// Name of the replica in the list.
    pub name: String,
    /// Listen address of the replica, if it is known.
    pub address: Option<SocketAddr>,
    /// Protocol that the replica uses.
    pub wire_format: WireFormat,
    /// Whether new requests may be sent to the replica.
    pub is_ready: bool,
    /// Last load report, as the replica sent it.
    pub load: Option<String>,
    /// Time since which no new requests may be sent to the replica.
    unready_since: Option<f64>,
    /// Last entry of the replica in the list; `None` once a complete list does not contain it.
    listed: Option<ReplicaEntry>,
    /// Connections to the replica.
    pub connections: Vec<ConnectionKey>,
}

impl Endpoint {
    /// Returns the state that is checked before anything is sent to the replica.
    pub fn state(&self) -> ServerState {
        match self.unready_since {
            _ if self.is_removed() => ServerState::Removed,
            _ if self.is_ready => ServerState::Ready,
            since => ServerState::Draining {
                since: since.unwrap_or(f64::NEG_INFINITY),
            },
        }
    }

    /// Returns whether the replica was removed from the list or is listed in an unknown phase.
    pub fn is_removed(&self) -> bool {
        self.listed
            .is_none_or(|entry| entry.lifecycle == Lifecycle::Removed)
    }

    /// Updates the address and the protocol from a list entry. Values that the entry does not contain are kept.
    fn update_address(&mut self, parsed: &ParsedEntry) {
        if let Some(address) = parsed.address {
            self.address = address.parse().ok();
        }
        if let Some(wire_format) = parsed.wire_format {
            self.wire_format = wire_format;
        }
    }
}

/// All known replicas. Ids are not reused: a replica that was removed and is listed again gets a new id.
///
/// Indexes of the unready and removed replicas keep the cost of a list change independent of the length of the list.
#[derive(Debug, Default)]
pub struct Directory {
    endpoints: BTreeMap<ReplicaId, Endpoint>,
    names: BTreeMap<String, ReplicaId>,
    /// Ids of the replicas to which no new requests may be sent.
    unready: BTreeSet<ReplicaId>,
    /// Ids of the replicas that were removed from the list, all of which are unready.
    removed: BTreeSet<ReplicaId>,
    last_id: u32,
    /// Names that operators marked as draining.
    drain_marks: BTreeSet<String>,
    /// Those of the marked names that were marked before this process started, so that their drain grace is over.
    restored_marks: BTreeSet<String>,
    zones: Vec<String>,
}

/// A complete list, or the changes of a list.
#[derive(Debug, Default, PartialEq)]
pub struct List {
    /// Revision of the list, if it has one.
    pub revision: Option<u64>,
    /// Whether the list is complete. Otherwise it contains only changes.
    pub is_full: bool,
    /// Entries in the form that the decision module uses.
    pub entries: Vec<ReplicaEntry>,
}

impl Directory {
    /// Creates an empty directory; `zones` are the zones in the settings.
    pub fn new(zones: Vec<String>) -> Directory {
        Directory {
            zones,
            ..Directory::default()
        }
    }

    /// Sets the zones after a change of settings. They apply to entries that are read later.
    pub fn set_zones(&mut self, zones: Vec<String>) {
        self.zones = zones;
    }

    /// Returns the replica with this id.
    pub fn endpoint(&mut self, id: ReplicaId) -> Option<&mut Endpoint> {
        self.endpoints.get_mut(&id)
    }

    /// Returns the id of the replica with this name.
    pub fn id(&self, name: &str) -> Option<ReplicaId> {
        self.names.get(name).copied()
    }

    /// Returns the name of the replica with this id.
    pub fn name(&self, id: ReplicaId) -> Option<&str> {
        self.endpoints
            .get(&id)
            .map(|endpoint| endpoint.name.as_str())
    }

    /// Returns all names with their ids, ordered by name.
    pub fn ids(&self) -> impl Iterator<Item = (&String, ReplicaId)> {
        self.names.iter().map(|(name, id)| (name, *id))
    }

    /// Returns the current list as JSON in discovery's format.
    pub fn to_json(&self, revision: Option<u64>) -> String {
        let entries = self
            .endpoints
            .values()
            .filter_map(|endpoint| self.entry_json(endpoint))
            .collect();
        list_format::write(revision, entries)
    }

    fn entry_json(&self, endpoint: &Endpoint) -> Option<EntryJson> {
        let entry = endpoint
            .listed
            .filter(|entry| entry.lifecycle != Lifecycle::Removed)?;
        Some(EntryJson {
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

    /// Returns all replicas, ordered by id.
    pub fn endpoints(&self) -> impl Iterator<Item = &Endpoint> {
        self.endpoints.values()
    }

    /// Returns the number of replicas, including removed ones that were not dropped yet.
    pub fn count(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns the replicas to which no new requests may be sent, because they are draining or were removed.
    pub fn unready(&self) -> impl Iterator<Item = &Endpoint> {
        self.unready.iter().filter_map(|id| self.endpoints.get(id))
    }

    /// Returns whether new requests may be sent to at least one replica.
    pub fn has_ready(&self) -> bool {
        self.endpoints.len() > self.unready.len()
    }

    /// Returns the number of replicas in the list.
    pub fn listed_count(&self) -> usize {
        self.endpoints.len() - self.removed.len()
    }

    /// Drops the removed replicas that have no connection left. Without this, memory would grow without bound, because machines
    /// are continually replaced by machines with other names.
    pub fn drop_removed(&mut self) {
        let is_unused = |id: &&ReplicaId| {
            self.endpoints
                .get(id)
                .is_none_or(|endpoint| endpoint.connections.is_empty())
        };
        let dropped: Vec<ReplicaId> = self.removed.iter().filter(is_unused).copied().collect();
        for id in dropped {
            if let Some(endpoint) = self.endpoints.remove(&id) {
                self.names.remove(&endpoint.name);
            }
            self.unready.remove(&id);
            self.removed.remove(&id);
        }
    }

    /// Sets `since` as the start of unreadiness for all replicas that became unready with the last list or drain marks.
    pub fn set_unready_since(&mut self, since: f64) {
        for id in &self.unready {
            if let Some(endpoint) = self.endpoints.get_mut(id) {
                endpoint.unready_since.get_or_insert(since);
            }
        }
    }

    /// Updates the indexes to the state of a replica.
    fn update_indexes(&mut self, id: ReplicaId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return;
        };
        endpoint.unready_since = endpoint.unready_since.filter(|_| !endpoint.is_ready);
        set_membership(&mut self.unready, id, !endpoint.is_ready);
        set_membership(&mut self.removed, id, endpoint.is_removed());
    }

    /// Applies a list in discovery's format. Returns `None` if the JSON is not a list. Invalid entries are skipped.
    pub fn read(&mut self, list: &Value) -> Option<List> {
        let parsed = list_format::parse(list)?;
        let mut entries = Vec::new();
        for entry in parsed.entries() {
            entries.extend(self.update(&entry));
        }
        if parsed.is_full {
            self.remove_unlisted(&entries);
        }
        Some(List {
            revision: parsed.revision,
            is_full: parsed.is_full,
            entries,
        })
    }

    /// Marks all replicas without an entry in a complete list as removed.
    fn remove_unlisted(&mut self, entries: &[ReplicaEntry]) {
        let listed: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.id).collect();
        let unlisted: Vec<ReplicaId> = self
            .endpoints
            .keys()
            .filter(|id| !listed.contains(id))
            .copied()
            .collect();
        for id in unlisted {
            if let Some(endpoint) = self.endpoints.get_mut(&id) {
                endpoint.is_ready = false;
                endpoint.listed = None;
            }
            self.update_indexes(id);
        }
    }

    /// Applies a list entry. Returns `None` once all ids are used up.
    fn update(&mut self, parsed: &ParsedEntry) -> Option<ReplicaEntry> {
        let zone = self.zone_index(parsed.zone);
        let id = self.id_or_new(parsed.name)?;
        let endpoint = self.endpoints.get_mut(&id)?;
        endpoint.update_address(parsed);
        endpoint.listed = Some(ReplicaEntry {
            id,
            zone,
            cell: parsed.cell,
            lifecycle: parsed.lifecycle,
            started_at: parsed.started_at,
            supports_pre_check: parsed.pre_check,
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

    /// Updates whether new requests may be sent to a replica, and returns its entry. The entry has the state in the list, or
    /// `Draining` if operators marked a ready replica as draining.
    fn update_readiness(&mut self, id: ReplicaId) -> Option<ReplicaEntry> {
        let endpoint = self.endpoints.get_mut(&id)?;
        let mut entry = endpoint.listed?;
        if entry.lifecycle == Lifecycle::Ready && self.drain_marks.contains(&endpoint.name) {
            entry.lifecycle = Lifecycle::Draining;
        }
        endpoint.is_ready = entry.lifecycle == Lifecycle::Ready;
        let is_restored = self.restored_marks.contains(&endpoint.name);
        self.update_indexes(id);
        if let Some(endpoint) = self.endpoints.get_mut(&id).filter(|_| is_restored) {
            endpoint.unready_since.get_or_insert(f64::NEG_INFINITY);
        }
        Some(entry)
    }

    /// Marks names as draining that operators marked before this process started. Must be called before a list is read.
    pub fn restore_drain_marks(&mut self, names: Vec<String>) {
        self.drain_marks = names.into_iter().collect();
        self.restored_marks = self.drain_marks.clone();
    }

    /// Replaces the set of names that operators marked as draining. Returns the entries whose mark changed.
    pub fn set_drain_marks(&mut self, names: Vec<String>) -> Vec<ReplicaEntry> {
        let before = std::mem::replace(&mut self.drain_marks, names.into_iter().collect());
        self.restored_marks
            .retain(|name| self.drain_marks.contains(name));
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
