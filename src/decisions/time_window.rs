//! Ordered times: counts of events within a window, and schedules of keys that become due. Times are seconds.

use std::cmp::Ordering;
use std::collections::BTreeMap;

/// Times outside the window are dropped once they make up at least one part in this many of all kept times.
const KEPT_PER_DROPPED: usize = 8;
/// Rounding error of sums of times (seconds).
const ROUNDING_S: f64 = 1e-6;

/// A time with a total order, for use as a key in ordered collections.
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

/// Inserts a time in order. Times up to `window_start` are dropped once they are a large enough share of all.
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

/// Returns the number of times later than `window_start`.
pub fn count_since(times: &[f64], window_start: f64) -> usize {
    times.len() - times.partition_point(|at| *at <= window_start)
}

/// A key and the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Due<K> {
    /// Time at which the key is due.
    pub at: f64,
    /// Key that is due.
    pub key: K,
}

/// Keys with the times at which they are due. Inserting a key again does not remove its earlier entry; the caller must
/// recognise an outdated entry when it is taken out. Entries are grouped by millisecond, so that an insertion needs no search
/// among those of the same millisecond.
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

/// Returns the millisecond of a time, by which entries are grouped.
fn slot_of(at: f64) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

impl<K: Ord + Copy> Schedule<K> {
    /// Inserts a key.
    pub fn put(&mut self, at: f64, key: K) {
        let slot = self.slots.entry(slot_of(at)).or_default();
        slot.push(Due { at, key });
    }

    /// Removes and returns the entries that are due, in the order of their keys. The limit includes a rounding error, so an
    /// entry may not be due yet; the caller must check each and insert it again.
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
