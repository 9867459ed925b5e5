//! Times in order: those that count within a window, and those at which something is due.
//!
//! This file owns how such times are kept, added and counted at a cost that does not grow with their number. It must never
//! say what they mean, and never read a clock. Times are seconds.

use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Times outside the window are dropped once they are the first of this many equal parts of all that are kept.
const KEPT_PER_DROPPED: usize = 8;
/// Rounding error of sums of times (seconds).
const ROUNDING_S: f64 = 1e-6;

/// A time that can stand in an ordered structure.
#[derive(Clone, Copy, Debug)]
pub struct OrderedTime(pub f64);

impl PartialEq for OrderedTime {
    fn eq(&self, other: &OrderedTime) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for OrderedTime {}

impl PartialOrd for OrderedTime {
    fn partial_cmp(&self, other: &OrderedTime) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OrderedTime {
    fn cmp(&self, other: &OrderedTime) -> Ordering {
        self.0.total_cmp(&other.0)
    }
}

/// Adds a time, and drops those up to `window_start` once they are many.
pub fn add(times: &mut Vec<f64>, at: f64, window_start: f64) {
    if times.last().is_none_or(|last| *last <= at) {
        times.push(at);
    } else {
        times.insert(times.partition_point(|other| *other <= at), at);
    }
    if times[times.len() / KEPT_PER_DROPPED] <= window_start {
        times.drain(..times.partition_point(|other| *other <= window_start));
    }
}

/// How many times are later than `window_start`.
pub fn count_since(times: &[f64], window_start: f64) -> usize {
    times.len() - times.partition_point(|at| *at <= window_start)
}

/// A key and the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due<K> {
    /// The time.
    pub at: f64,
    /// The key.
    pub key: K,
}

/// Keys, each with the time at which it is due. A key that is put in again stays at its old time too: whoever takes
/// it out there finds that it has moved. Keys are stored by the millisecond, so that one costs no search.
pub struct Schedule<K> {
    slots: BTreeMap<u64, Vec<Due<K>>>,
}

impl<K> Default for Schedule<K> {
    fn default() -> Schedule<K> {
        Schedule {
            slots: BTreeMap::new(),
        }
    }
}

/// The millisecond of a time, by which keys are stored.
fn slot_of(at: f64) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

impl<K: Ord + Copy> Schedule<K> {
    /// Puts a key in.
    pub fn put(&mut self, at: f64, key: K) {
        let slot = self.slots.entry(slot_of(at)).or_default();
        slot.push(Due { at, key });
    }

    /// Takes out what is due, in the order of the keys, and what by rounding alone may not be due yet: the caller checks
    /// each once more and puts it back.
    pub fn take_due(&mut self, now: f64) -> Vec<Due<K>> {
        let limit = now + ROUNDING_S;
        let mut due = Vec::new();
        while let Some(mut first) = self.slots.first_entry() {
            if *first.key() > slot_of(limit) {
                break;
            }
            let slot = std::mem::take(first.get_mut());
            let (over, later): (Vec<_>, Vec<_>) =
                slot.into_iter().partition(|entry| entry.at <= limit);
            due.extend(over);
            if later.is_empty() {
                first.remove();
            } else {
                *first.get_mut() = later;
                break;
            }
        }
        due.sort_by_key(|entry| entry.key);
        due
    }
}

#[cfg(test)]
mod tests;
