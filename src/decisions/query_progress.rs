//! The progress of one query: the weight that is answered or may still be answered, and the parts that need a check.
//!
//! Totals are updated with each change of a part, so that handling an answer takes the same time for any number of parts.

use crate::decisions::time_window::OrderedTime;
use std::collections::{BTreeMap, BTreeSet};

/// Number of units in a weight of 1. Sums of integral units are exact in any order.
const UNITS_PER_WEIGHT: f64 = (1_u64 << 60) as f64;

/// An exact weight or sum of weights, in units.
pub type WeightUnits = u128;

/// Converts a weight to units. Rounds up, so that no weight above 0 becomes 0.
fn units(weight: f64) -> WeightUnits {
    WeightUnits::from((weight * UNITS_PER_WEIGHT).ceil() as u64)
}

/// Converts a sum of weights to a share of the weight 1.
pub fn share(sum: WeightUnits) -> f64 {
    sum as f64 / UNITS_PER_WEIGHT
}

/// The state of a part that has attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InFlight {
    /// Time at which the first of the attempts in flight was sent.
    pub sent_at: f64,
    /// True if that attempt is a pre-check.
    pub is_pre_check: bool,
    /// True if the replica of that attempt is ejected.
    pub is_ejected: bool,
    /// True if no other attempt is in flight and this one is not cancelled.
    pub is_single: bool,
}

/// The state of a part.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum PartState {
    /// The part is not selected: a complete answer may do without it.
    #[default]
    Spare,
    /// The part is selected and has no attempt in flight.
    Pending {
        /// True if no attempt of the part has been sent.
        untried: bool,
    },
    /// The part is selected and has attempts in flight.
    InFlight(InFlight),
    /// The part has been answered.
    Answered,
}

/// A part and its contribution to the totals.
#[derive(Clone, Copy, Debug, PartialEq)]
struct TrackedPart {
    weight: WeightUnits,
    shard: u32,
    state: PartState,
}

/// A part with a single attempt in flight. The order is by group, then send time, then index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct SingleAttempt {
    group: AttemptGroup,
    sent_at: OrderedTime,
    index: usize,
}

/// A selected part without attempts in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PendingPart {
    /// Index of the part in the query's step.
    pub index: usize,
    /// Weight of the part.
    pub weight: WeightUnits,
}

/// The attempts in flight that become overdue after the same time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptGroup {
    /// True for pre-checks, false for full attempts.
    pub is_pre_check: bool,
    /// True for attempts at ejected replicas.
    pub is_ejected: bool,
}

/// The parts of a query's step, in order of their indices, and the totals over them.
#[derive(Debug, Default, PartialEq)]
pub struct Progress {
    cells: u32,
    parts: Vec<TrackedPart>,
    answered: WeightUnits,
    in_flight: WeightUnits,
    spare: WeightUnits,
    spare_count: usize,
    in_flight_count: usize,
    ejected_count: usize,
    pending: BTreeSet<usize>,
    single_attempts: BTreeSet<SingleAttempt>,
    untried: BTreeMap<u32, usize>, // by cell
}

impl Progress {
    /// Creates the progress of a step without parts; shards are spread over `cells` cells.
    pub fn new(cells: u32) -> Progress {
        Progress {
            cells,
            ..Progress::default()
        }
    }

    /// Updates the number of cells and recounts the untried parts by cell.
    pub fn set_cells(&mut self, cells: u32) {
        self.cells = cells;
        self.untried.clear();
        for part in &self.parts {
            if part.state == (PartState::Pending { untried: true }) {
                *self.untried.entry(cell_of(part.shard, cells)).or_default() += 1;
            }
        }
    }

    /// Appends a part, as a spare, that reads this shard.
    pub fn push(&mut self, weight: f64, shard: u32) {
        let part = TrackedPart {
            weight: units(weight),
            shard,
            state: PartState::Spare,
        };
        self.add_to_totals(self.parts.len(), part);
        self.parts.push(part);
    }

    /// Sets the state of a part.
    pub fn set(&mut self, index: usize, state: PartState) {
        let Some(part) = self.parts.get_mut(index).filter(|part| part.state != state) else {
            return;
        };
        let before = std::mem::replace(part, TrackedPart { state, ..*part });
        self.subtract_from_totals(index, before);
        self.add_to_totals(index, TrackedPart { state, ..before });
    }

    fn add_to_totals(&mut self, index: usize, part: TrackedPart) {
        match part.state {
            PartState::Spare => {
                self.spare += part.weight;
                self.spare_count += 1;
            }
            PartState::Answered => self.answered += part.weight,
            PartState::Pending { untried } => {
                self.pending.insert(index);
                if untried {
                    *self
                        .untried
                        .entry(cell_of(part.shard, self.cells))
                        .or_default() += 1;
                }
            }
            PartState::InFlight(flight) => {
                self.in_flight += part.weight;
                self.in_flight_count += 1;
                self.ejected_count += usize::from(flight.is_ejected);
                if flight.is_single {
                    self.single_attempts.insert(flight.single_attempt(index));
                }
            }
        }
    }

    fn subtract_from_totals(&mut self, index: usize, part: TrackedPart) {
        match part.state {
            PartState::Spare => {
                self.spare -= part.weight;
                self.spare_count -= 1;
            }
            PartState::Answered => self.answered -= part.weight,
            PartState::Pending { untried } => {
                self.pending.remove(&index);
                if let Some(count) = self
                    .untried
                    .get_mut(&cell_of(part.shard, self.cells))
                    .filter(|_| untried)
                {
                    *count -= 1;
                }
            }
            PartState::InFlight(flight) => {
                self.in_flight -= part.weight;
                self.in_flight_count -= 1;
                self.ejected_count -= usize::from(flight.is_ejected);
                if flight.is_single {
                    self.single_attempts.remove(&flight.single_attempt(index));
                }
            }
        }
    }

    /// Returns the total weight of answered parts.
    pub fn answered(&self) -> WeightUnits {
        self.answered
    }

    /// Returns the total weight of parts in flight.
    pub fn in_flight(&self) -> WeightUnits {
        self.in_flight
    }

    /// Returns the total weight of spares.
    pub fn spare(&self) -> WeightUnits {
        self.spare
    }

    /// Returns the index of the first spare.
    pub fn first_spare(&self) -> Option<usize> {
        let is_spare = |part: &TrackedPart| part.state == PartState::Spare;
        if self.spare_count > 0 {
            self.parts.iter().position(is_spare)
        } else {
            None
        }
    }

    /// Returns whether any part without an answer has an attempt in flight.
    pub fn is_in_flight(&self) -> bool {
        self.in_flight_count > 0
    }

    /// Returns the indices of the parts with attempts in flight.
    pub fn indices_in_flight(&self) -> Vec<usize> {
        let is_in_flight =
            |index: &usize| matches!(self.parts[*index].state, PartState::InFlight(_));
        (0..self.parts.len()).filter(is_in_flight).collect()
    }

    /// Returns the selected parts without attempts in flight, in order of their indices.
    pub fn pending(&self) -> impl Iterator<Item = PendingPart> + '_ {
        self.pending.iter().map(|index| PendingPart {
            index: *index,
            weight: self.parts[*index].weight,
        })
    }

    /// Returns the index of the first pending part at or after `from`.
    pub fn next_pending(&self, from: usize) -> Option<usize> {
        self.pending.range(from..).next().copied()
    }

    /// Returns the first index at or after `from` that is pending at present or contained in `late`, which must be sorted.
    pub fn next_due(&self, late: &[usize], from: usize) -> Option<usize> {
        let late = late
            .get(late.partition_point(|index| *index < from))
            .copied();
        self.next_pending(from).into_iter().chain(late).min()
    }

    /// Returns the number of selected parts, never sent, whose shards begin at one of these cells.
    pub fn untried(&self, cells: impl Iterator<Item = u32>) -> usize {
        cells.filter_map(|cell| self.untried.get(&cell)).sum()
    }

    /// Returns the indices of the parts of a group whose single attempt was sent at or before `limit`, oldest first.
    pub fn sent_by(&self, group: AttemptGroup, limit: f64) -> impl Iterator<Item = usize> + '_ {
        let last = SingleAttempt {
            group,
            sent_at: OrderedTime(limit),
            index: usize::MAX,
        };
        let of_group = self
            .single_attempts
            .range(SingleAttempt::first_of(group)..=last);
        of_group.map(|single| single.index)
    }

    /// Returns the send time of the oldest single attempt, or `f64::MAX` if there is none. Returns `None` if any attempt in
    /// flight is at an ejected replica.
    pub fn oldest_sent_at(&self) -> Option<f64> {
        let full = self.oldest_of(false).unwrap_or(f64::MAX);
        let pre_check = self.oldest_of(true).unwrap_or(f64::MAX);
        let oldest = f64::MAX.min(full).min(pre_check);
        (self.ejected_count == 0).then_some(oldest)
    }

    fn oldest_of(&self, is_pre_check: bool) -> Option<f64> {
        let group = AttemptGroup {
            is_pre_check,
            is_ejected: false,
        };
        let mut from_group = self.single_attempts.range(SingleAttempt::first_of(group)..);
        let first = from_group.next().filter(|single| single.group == group);
        first.map(|single| single.sent_at.0)
    }
}

/// Returns the first of the cells that hold a shard.
fn cell_of(shard: u32, cells: u32) -> u32 {
    shard.checked_rem(cells).unwrap_or(0)
}

impl InFlight {
    fn single_attempt(&self, index: usize) -> SingleAttempt {
        let group = AttemptGroup {
            is_pre_check: self.is_pre_check,
            is_ejected: self.is_ejected,
        };
        SingleAttempt {
            group,
            sent_at: OrderedTime(self.sent_at),
            index,
        }
    }
}

impl SingleAttempt {
    /// Returns a lower bound of all single attempts of a group.
    fn first_of(group: AttemptGroup) -> SingleAttempt {
        SingleAttempt {
            group,
            sent_at: OrderedTime(f64::MIN),
            index: 0,
        }
    }
}

#[cfg(test)]
mod tests;
