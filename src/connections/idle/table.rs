//! A table of connection slots, with the order in which idle connections are closed and readable connections are read.
//!
//! All connections may stay idle for the same time, so the list of each group is ordered by expiry, and only its first entry has
//! to be checked.

use super::{Capacity, IdleSettings};

/// Marks the absence of a slot in a link.
const NO_SLOT: u32 = u32::MAX;

/// State of a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// The slot is free.
    Free,
    /// The connection's first request is awaited, or a request is being read or answered.
    Busy,
    /// No request is in progress on the connection.
    Idle,
    /// The connection has become readable and waits to be read.
    Readable,
}

/// A connection, which is in the list of its group while idle and in the read queue while readable. The size is kept small,
/// because there are many.
#[derive(Clone, Copy, Debug)]
struct Slot {
    previous: u32,
    next: u32,
    /// Time at which the stage began, in steps of [`IdleSettings::step_s`].
    since: u32,
    group: u16,
    stage: Stage,
}

/// A linked list of slots, the oldest first.
#[derive(Clone, Copy, Debug)]
struct SlotList {
    first: u32,
    last: u32,
}

const EMPTY_LIST: SlotList = SlotList {
    first: NO_SLOT,
    last: NO_SLOT,
};

/// A batch of slots in use, for iterating over all connections in bounded steps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotBatch {
    /// Slots of the batch.
    pub slots: Vec<u32>,
    /// Slot at which the next batch starts; `None` at the end of the table.
    pub next: Option<u32>,
}

/// Table of all connections, addressed by slot number.
#[derive(Clone, Debug)]
pub struct IdleTable {
    capacity: Capacity,
    slots: Vec<Slot>,
    /// First free slot; the free slots are linked by `next`.
    first_free: u32,
    /// Idle connections by group.
    idle: Vec<SlotList>,
    readable: SlotList,
    readable_count: usize,
}

impl IdleTable {
    /// Creates an empty table.
    pub fn new(settings: IdleSettings) -> IdleTable {
        let groups = settings.group_count();
        IdleTable {
            capacity: Capacity::new(settings),
            slots: Vec::new(),
            first_free: NO_SLOT,
            idle: vec![EMPTY_LIST; groups],
            readable: EMPTY_LIST,
            readable_count: 0,
        }
    }

    /// Returns the connection counts by group.
    pub fn capacity(&mut self) -> &mut Capacity {
        &mut self.capacity
    }

    /// Returns the size of a slot (bytes).
    pub const fn bytes_per_slot() -> usize {
        std::mem::size_of::<Slot>()
    }

    /// Returns the stage of a slot.
    pub fn stage(&self, slot: u32) -> Stage {
        self.slots
            .get(slot as usize)
            .map_or(Stage::Free, |slot| slot.stage)
    }

    fn step(&self, now: f64) -> u32 {
        (now / self.capacity.settings.step_s).max(0.0) as u32
    }

    fn slot_mut(&mut self, slot: u32) -> &mut Slot {
        &mut self.slots[slot as usize]
    }

    fn list_of(&mut self, slot: u32) -> Option<&mut SlotList> {
        let Slot { stage, group, .. } = self.slots[slot as usize];
        match stage {
            Stage::Idle => Some(&mut self.idle[usize::from(group)]),
            Stage::Readable => Some(&mut self.readable),
            Stage::Free | Stage::Busy => None,
        }
    }

    fn unlink(&mut self, slot: u32) {
        let Slot { previous, next, .. } = self.slots[slot as usize];
        let Some(list) = self.list_of(slot) else {
            return;
        };
        if list.first == slot {
            list.first = next;
        }
        if list.last == slot {
            list.last = previous;
        }
        if previous != NO_SLOT {
            self.slot_mut(previous).next = next;
        }
        if next != NO_SLOT {
            self.slot_mut(next).previous = previous;
        }
    }

    fn append(&mut self, slot: u32) {
        let Some(list) = self.list_of(slot) else {
            return;
        };
        let last = std::mem::replace(&mut list.last, slot);
        if last == NO_SLOT {
            list.first = slot;
        } else {
            self.slot_mut(last).next = slot;
        }
        let slot = self.slot_mut(slot);
        slot.previous = last;
        slot.next = NO_SLOT;
    }

    fn set_stage(&mut self, slot: u32, stage: Stage, now: f64) {
        let Slot {
            stage: old_stage,
            group,
            ..
        } = self.slots[slot as usize];
        self.unlink(slot);
        let since = self.step(now);
        let entry = self.slot_mut(slot);
        entry.stage = stage;
        entry.since = since;
        self.append(slot);
        match (old_stage == Stage::Idle, stage == Stage::Idle) {
            (false, true) => self.capacity.set_idle(usize::from(group), true),
            (true, false) if stage != Stage::Free => {
                self.capacity.set_idle(usize::from(group), false);
            }
            _ => {}
        }
        self.readable_count += usize::from(stage == Stage::Readable);
        self.readable_count -= usize::from(old_stage == Stage::Readable);
    }

    /// Adds an accepted connection of a group and returns its slot. Free slots are reused before new ones are added.
    pub fn opened(&mut self, group: usize, now: f64) -> u32 {
        self.capacity.opened(group);
        let new = Slot {
            previous: NO_SLOT,
            next: NO_SLOT,
            since: self.step(now),
            group: group as u16,
            stage: Stage::Busy,
        };
        if self.first_free == NO_SLOT {
            self.slots.push(new);
            return self.slots.len() as u32 - 1;
        }
        let slot = self.first_free;
        self.first_free = self.slots[slot as usize].next;
        *self.slot_mut(slot) = new;
        slot
    }

    /// Frees the slot of a closed connection.
    pub fn closed(&mut self, slot: u32, now: f64) {
        let Slot { stage, group, .. } = self.slots[slot as usize];
        if stage == Stage::Free {
            return;
        }
        self.capacity
            .closed(usize::from(group), stage == Stage::Idle);
        self.set_stage(slot, Stage::Free, now);
        let next_free = self.first_free;
        self.slot_mut(slot).next = next_free;
        self.first_free = slot;
    }

    /// Marks a busy connection as idle, because the answer was written and nothing more was received.
    pub fn became_idle(&mut self, slot: u32, now: f64) {
        if self.stage(slot) == Stage::Busy {
            self.set_stage(slot, Stage::Idle, now);
        }
    }

    /// Queues an idle connection that has become readable for reading. Has no effect on connections that are not idle.
    pub fn became_readable(&mut self, slot: u32, now: f64) {
        if self.stage(slot) == Stage::Idle {
            self.set_stage(slot, Stage::Readable, now);
        }
    }

    /// Takes the connections to read in this iteration of the event loop, in the order in which they became readable, and marks
    /// them as busy.
    pub fn take_reads(&mut self, now: f64, in_flight: usize, max_in_flight: usize) -> Vec<u32> {
        let waited_s = match self.readable.first {
            NO_SLOT => return Vec::new(),
            first => {
                now - f64::from(self.slots[first as usize].since) * self.capacity.settings.step_s
            }
        };
        let count = self.capacity.reads_in_iteration(
            self.readable_count,
            waited_s,
            in_flight,
            max_in_flight,
        );
        let mut read = Vec::with_capacity(count);
        for _ in 0..count {
            let first = self.readable.first;
            self.set_stage(first, Stage::Busy, now);
            read.push(first);
        }
        read
    }

    /// Returns the number of connections that wait to be read.
    pub fn readable_count(&self) -> usize {
        self.readable_count
    }

    /// Returns the longest idle connection of a group.
    pub fn longest_idle(&self, group: usize) -> Option<u32> {
        self.idle
            .get(group)
            .map(|list| list.first)
            .filter(|first| *first != NO_SLOT)
    }

    /// Returns the time at which an idle connection whose stage began in step `since` expires. One step is added, because the
    /// stage may have begun at the end of the step.
    fn expires_at(&self, since: u32) -> f64 {
        let settings = &self.capacity.settings;
        f64::from(since + 1) * settings.step_s + settings.idle_s
    }

    /// Returns the next expiry time of an idle connection, rounded up to steps; `None` while no connection is idle.
    pub fn next_expiry(&self) -> Option<f64> {
        let since = self
            .idle
            .iter()
            .map(|list| list.first)
            .filter(|first| *first != NO_SLOT)
            .map(|first| self.slots[first as usize].since)
            .min()?;
        Some(self.expires_at(since))
    }

    /// Returns up to `max_count` expired idle connections. If there are more, [`IdleTable::next_expiry`] is due immediately.
    pub fn expired(&self, now: f64, max_count: usize) -> Vec<u32> {
        let has_expired = |slot: u32| now >= self.expires_at(self.slots[slot as usize].since);
        let mut expired = Vec::new();
        for list in &self.idle {
            let mut slot = list.first;
            while slot != NO_SLOT && expired.len() < max_count && has_expired(slot) {
                expired.push(slot);
                slot = self.slots[slot as usize].next;
            }
        }
        expired
    }

    /// Returns the slots in use among the `max_count` slots that start at `from`.
    pub fn batch(&self, from: u32, max_count: usize) -> SlotBatch {
        let end = (from as usize + max_count).min(self.slots.len());
        let slots = (from..end as u32)
            .filter(|slot| self.stage(*slot) != Stage::Free)
            .collect();
        SlotBatch {
            slots,
            next: (end < self.slots.len()).then_some(end as u32),
        }
    }
}

#[cfg(test)]
mod tests;
