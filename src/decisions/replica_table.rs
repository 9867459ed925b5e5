//! The replicas that discovery listed, indexed by the cells that determine their shards.

use crate::decisions::api::{Lifecycle, ReplicaEntry, ReplicaId, Settings};
use crate::decisions::replica::Replica;
use std::collections::{BTreeMap, BTreeSet};

/// All known replicas, and the time until which the endpoint list is valid.
pub(crate) struct ReplicaTable {
    replicas: BTreeMap<ReplicaId, Replica>,
    by_cell: Vec<Vec<ReplicaId>>,
    /// Time from which no part may be sent based on the endpoint list.
    pub(crate) valid_until: f64,
    listed_count: usize,
}

impl ReplicaTable {
    /// Creates a table without replicas.
    pub(crate) fn new() -> ReplicaTable {
        ReplicaTable {
            replicas: BTreeMap::new(),
            by_cell: Vec::new(),
            valid_until: f64::INFINITY,
            listed_count: 1,
        }
    }

    /// Returns the number of listed replicas, without removed ones, and at least 1.
    #[inline]
    pub(crate) fn listed_count(&self) -> usize {
        self.listed_count
    }

    /// Returns the replica with this id.
    #[inline]
    pub(crate) fn get(&self, id: ReplicaId) -> Option<&Replica> {
        self.replicas.get(&id)
    }

    /// Returns the replica with this id for modification.
    #[inline]
    pub(crate) fn get_mut(&mut self, id: ReplicaId) -> Option<&mut Replica> {
        self.replicas.get_mut(&id)
    }

    /// Returns all replicas, in the order of their ids.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ReplicaId, &Replica)> {
        self.replicas.iter()
    }

    /// Returns all replicas for modification, in the order of their ids.
    pub(crate) fn iter_mut(&mut self) -> impl Iterator<Item = (&ReplicaId, &mut Replica)> {
        self.replicas.iter_mut()
    }

    /// Returns whether the replica is ejected for the class.
    #[inline]
    pub(crate) fn is_ejected(&self, id: ReplicaId, class: usize) -> bool {
        self.get(id)
            .is_some_and(|replica| replica.is_ejected(class))
    }

    /// Returns all known replicas in the cells that hold a shard, in any state, cell by cell.
    pub(crate) fn listed_holders(
        &self,
        shard: u32,
        settings: &Settings,
    ) -> impl Iterator<Item = &Replica> {
        let cells = u64::from(settings.cells);
        let cell_at = move |step: u32| (u64::from(shard) + u64::from(step)) % cells;
        (0..settings.replication_factor.min(settings.cells))
            .map(cell_at)
            .filter_map(|cell| self.by_cell.get(cell as usize))
            .flatten()
            .map(|id| &self.replicas[id])
    }

    /// Applies entries of the endpoint list. If `is_full`, replicas without an entry are marked as removed.
    pub(crate) fn update(
        &mut self,
        is_full: bool,
        entries: &[ReplicaEntry],
        settings: &Settings,
        now: f64,
    ) {
        if is_full {
            self.mark_unlisted_removed(entries, now);
        }
        for entry in entries {
            self.update_entry(entry, settings.classes.len(), now);
        }
        self.drop_removed(settings.slow_start_s, now);
        self.index_cells(settings.cells);
    }

    fn mark_unlisted_removed(&mut self, entries: &[ReplicaEntry], now: f64) {
        let named: BTreeSet<ReplicaId> = entries.iter().map(|entry| entry.id).collect();
        let unlisted = self
            .replicas
            .iter_mut()
            .filter(|(id, _)| !named.contains(id));
        for (_, replica) in unlisted {
            if replica.entry.lifecycle != Lifecycle::Removed {
                replica.entry.lifecycle = Lifecycle::Removed;
                replica.statistics.lifecycle_changed_at = now;
            }
        }
    }

    fn update_entry(&mut self, entry: &ReplicaEntry, classes: usize, now: f64) {
        let replica = self
            .replicas
            .entry(entry.id)
            .or_insert_with(|| Replica::new(*entry, classes, now));
        if entry.started_at > replica.entry.started_at {
            replica.restart(*entry, classes, now);
        }
        if replica.entry.lifecycle != entry.lifecycle {
            replica.statistics.lifecycle_changed_at = now;
        }
        replica.entry = *entry;
    }

    /// Drops removed replicas without attempts in flight, because each new machine has a new id and the table would grow
    /// without bound. A replica that returns within the slow start is still warming up, so its state is kept for that long.
    fn drop_removed(&mut self, slow_start_s: f64, now: f64) {
        self.replicas.retain(|_, replica| {
            replica.entry.lifecycle != Lifecycle::Removed
                || replica.in_flight > 0
                || now < replica.statistics.lifecycle_changed_at + slow_start_s
        });
    }

    fn index_cells(&mut self, cells: u32) {
        let is_listed = |replica: &&Replica| replica.entry.lifecycle != Lifecycle::Removed;
        self.listed_count = self.replicas.values().filter(is_listed).count().max(1);
        self.by_cell = vec![Vec::new(); cells as usize];
        for replica in self.replicas.values() {
            if let Some(cell) = self.by_cell.get_mut(replica.entry.cell as usize) {
                cell.push(replica.entry.id);
            }
        }
    }
}
