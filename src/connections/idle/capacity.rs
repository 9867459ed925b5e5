//! Connection counts of each group, admission of new connections, and the choice of the group in which an idle connection is
//! closed.
//!
//! Connections that are covered by a group's share are not closed in favour of another group.

use super::IdleSettings;

/// Share of the maximum number of requests in flight at which reading stops, because every request that is read has to be
/// answered.
const MAX_IN_FLIGHT_SHARE: f64 = 0.9;
/// Time after which readable connections are read regardless of the number of requests in flight (seconds).
const MAX_READ_WAIT_S: f64 = 0.25;
/// Share of the connections that is reserved for rejecting clients with an answer, which would not be possible with a full
/// table.
const RESERVED_SHARE: f64 = 0.02;

/// Decision on a new connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Admission {
    /// The connection is accepted.
    Accept,
    /// The connection is accepted, and the longest idle connection of this group is closed.
    Replace(usize),
    /// The connection is rejected with this Retry-After (seconds).
    RetryAfter(f64),
}

#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Group {
    pub(super) open: usize,
    /// Number of the open connections that are idle.
    idle: usize,
}

/// Connection counts of one mixer, by group.
#[derive(Clone, Debug)]
pub struct Capacity {
    pub(super) settings: IdleSettings,
    pub(super) groups: Vec<Group>,
    /// Time until which retries of rejected clients use up the accept rate.
    retries_scheduled_until: f64,
}

impl Capacity {
    /// Creates the counts without any connection.
    pub fn new(settings: IdleSettings) -> Capacity {
        let groups = vec![Group::default(); settings.group_count()];
        Capacity {
            settings,
            groups,
            retries_scheduled_until: 0.0,
        }
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> usize {
        self.groups.iter().map(|group| group.open).sum()
    }

    /// Returns the number of connections in a group's share.
    pub fn share(&self, group: usize) -> usize {
        let share = match self.settings.shares.get(group) {
            Some(share) => *share,
            None => (1.0 - self.settings.shares.iter().sum::<f64>()).max(0.0),
        };
        (share * self.settings.max_connections as f64) as usize
    }

    /// Returns the maximum number of open connections without the reserve.
    fn max_without_reserve(&self) -> usize {
        let max_connections = self.settings.max_connections;
        max_connections - (RESERVED_SHARE * max_connections as f64) as usize
    }

    /// Returns the number of connections by which a group exceeds its share; negative if the group has fewer.
    fn excess(&self, group: usize) -> i64 {
        self.groups[group].open as i64 - self.share(group) as i64
    }

    fn groups_with_idle(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.groups.len()).filter(|group| self.groups[*group].idle > 0)
    }

    /// Returns the group with the largest excess among those with idle connections. For a new connection of `for_group`, only
    /// groups are considered that would still have a larger excess than `for_group` with the new connection.
    fn group_to_evict(&self, for_group: Option<usize>) -> Option<usize> {
        let min_excess = for_group.map_or(0, |group| self.excess(group).max(-1) + 1);
        self.groups_with_idle()
            .filter(|group| self.excess(*group) > 0 && self.excess(*group) >= min_excess)
            .max_by_key(|group| (self.excess(*group), std::cmp::Reverse(*group)))
    }

    /// Decides on a new connection of a group; `jitter` is from 0 to 1. If the connection is accepted, the caller records it with
    /// [`Capacity::opened`], after recording the one that is closed in its place with [`Capacity::closed`].
    pub fn admit(&mut self, now: f64, group: usize, jitter: f64) -> Admission {
        if self.open_count() < self.max_without_reserve() {
            return Admission::Accept;
        }
        let has_own_idle = self.groups[group].idle > 0 && self.excess(group) >= 0;
        match self.group_to_evict(Some(group)) {
            Some(other) => Admission::Replace(other),
            // Within a group, a new connection is likely to send a request sooner than the longest idle one.
            None if has_own_idle => Admission::Replace(group),
            None => Admission::RetryAfter(self.retry_after_s(now, jitter)),
        }
    }

    /// Returns the Retry-After of a rejected client (seconds): the time after which all clients that were rejected earlier can
    /// have been accepted. If that exceeds the maximum, returns a random time, so that not all clients retry at the maximum.
    pub fn retry_after_s(&mut self, now: f64, jitter: f64) -> f64 {
        let min_s = self.settings.min_retry_after_s;
        let max_s = self.settings.max_retry_after_s;
        let after_s =
            self.retries_scheduled_until.max(now) - now + 1.0 / self.settings.accepts_per_s;
        if after_s > max_s {
            return min_s + jitter.clamp(0.0, 1.0) * (max_s - min_s);
        }
        self.retries_scheduled_until = now + after_s;
        after_s.max(min_s)
    }

    /// Records an accepted connection of a group. The connection counts as busy until its first request is answered.
    pub fn opened(&mut self, group: usize) {
        self.groups[group].open += 1;
    }

    /// Records that a connection of a group was closed.
    pub fn closed(&mut self, group: usize, was_idle: bool) {
        let group = &mut self.groups[group];
        group.open = group.open.saturating_sub(1);
        group.idle = group.idle.saturating_sub(usize::from(was_idle));
    }

    /// Records that a connection of a group became idle, or is no longer idle.
    pub fn set_idle(&mut self, group: usize, is_idle: bool) {
        let group = &mut self.groups[group];
        group.idle = if is_idle {
            (group.idle + 1).min(group.open)
        } else {
            group.idle.saturating_sub(1)
        };
    }

    /// Returns the group in which an idle connection is to be closed next because `wanted` more descriptors are needed or the
    /// limit was lowered. Busy connections are not closed for this purpose.
    pub fn group_to_shrink(&self, wanted: usize) -> Option<usize> {
        if self.open_count() + wanted <= self.settings.max_connections {
            return None;
        }
        let largest_excess = || {
            self.groups_with_idle()
                .max_by_key(|group| self.excess(*group))
        };
        self.group_to_evict(None).or_else(largest_excess)
    }

    /// Applies new settings. Open connections keep their group if it still exists, and count towards the last group otherwise.
    pub fn reconfigure(&mut self, settings: IdleSettings) {
        let mut groups = vec![Group::default(); settings.group_count()];
        let last = groups.len() - 1;
        let old_last = self.groups.len() - 1;
        for (index, old) in self.groups.iter().enumerate() {
            let index = if index == old_last {
                last
            } else {
                index.min(last)
            };
            groups[index].open += old.open;
            groups[index].idle += old.idle;
        }
        self.settings = settings;
        self.groups = groups;
    }

    /// Returns the number of connections, of `waiting` readable ones, that are read in this iteration of the event loop.
    /// `in_flight` of at most `max_in_flight` requests and parts are in flight; the first connection has waited for `waited_s`
    /// (seconds).
    pub fn reads_in_iteration(
        &self,
        waiting: usize,
        waited_s: f64,
        in_flight: usize,
        max_in_flight: usize,
    ) -> usize {
        let max_reads = waiting.min(self.settings.max_reads_per_iteration);
        if waited_s >= MAX_READ_WAIT_S {
            return max_reads;
        }
        let free_share =
            1.0 - in_flight as f64 / (MAX_IN_FLIGHT_SHARE * max_in_flight.max(1) as f64);
        (max_reads as f64 * free_share.clamp(0.0, 1.0)).ceil() as usize
    }
}

#[cfg(test)]
mod tests;
