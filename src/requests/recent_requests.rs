//! Ids of requests that have ended and may have been executed. A client that sends such a request again, on another connection or to
//! the other process of a handover, must not have it executed twice.

use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of ids of requests whose clients got an answer, and of requests whose clients had left.
const MAX_IDS: usize = 10_000;
/// Bounds of the time for which an id is kept; between them it is the deadline of its class (seconds).
const MIN_RETENTION_S: f64 = 3.0;
const MAX_RETENTION_S: f64 = 10.0;
const MICROSECONDS_PER_S: f64 = 1e6;

/// The way in which a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RequestEnd {
    /// The client got an answer, and has little reason to send the request again.
    Answered,
    /// The client disconnected before the answer.
    ClientLeft,
}

/// Ids with their expiry times, at most [`MAX_IDS`].
#[derive(Debug, Default)]
struct ExpiringIds {
    expiry_by_id: BTreeMap<String, u64>,
    by_expiry: BTreeSet<(u64, String)>,
}

impl ExpiringIds {
    fn insert(&mut self, id: &str, expires_at: u64) {
        if let Some(before) = self.expiry_by_id.insert(id.to_string(), expires_at) {
            self.by_expiry.remove(&(before, id.to_string()));
        }
        self.by_expiry.insert((expires_at, id.to_string()));
    }

    fn remove_first(&mut self) {
        if let Some((_, id)) = self.by_expiry.pop_first() {
            self.expiry_by_id.remove(&id);
        }
    }

    fn remove_expired(&mut self, now: u64) {
        while self.by_expiry.first().is_some_and(|(at, _)| *at <= now) {
            self.remove_first();
        }
    }
}

/// The ids of recent requests. Times are on the event loop's clock (seconds).
#[derive(Debug, Default)]
pub(super) struct RecentRequests {
    answered: ExpiringIds,
    client_left: ExpiringIds,
}

impl RecentRequests {
    /// Keeps the id of a request that ended now. The oldest answered ones make room for others; the ids of clients that left are
    /// kept until they expire, and [`RecentRequests::is_full`] returns whether more of them fit.
    pub(super) fn insert(&mut self, now: f64, id: &str, deadline_s: f64, end: RequestEnd) {
        let expires_at = now + deadline_s.clamp(MIN_RETENTION_S, MAX_RETENTION_S);
        self.remove_expired(now);
        let ids = match end {
            RequestEnd::Answered => &mut self.answered,
            RequestEnd::ClientLeft => &mut self.client_left,
        };
        ids.insert(id, microseconds(expires_at));
        if ids.by_expiry.len() > MAX_IDS {
            ids.remove_first();
        }
    }

    /// Removes the ids whose time is over.
    pub(super) fn remove_expired(&mut self, now: f64) {
        self.answered.remove_expired(microseconds(now));
        self.client_left.remove_expired(microseconds(now));
    }

    /// Returns whether a request with this id may have been executed recently.
    pub(super) fn contains(&self, now: f64, id: &str) -> bool {
        let is_kept = |ids: &ExpiringIds| {
            let expires_at = ids.expiry_by_id.get(id);
            expires_at.is_some_and(|at| *at > microseconds(now))
        };
        is_kept(&self.answered) || is_kept(&self.client_left)
    }

    /// Returns whether no further id of a client that leaves can be kept.
    pub(super) fn is_full(&self) -> bool {
        self.client_left.by_expiry.len() >= MAX_IDS
    }

    /// Returns all ids.
    pub(super) fn ids(&self) -> impl Iterator<Item = &String> {
        let answered = self.answered.expiry_by_id.keys();
        answered.chain(self.client_left.expiry_by_id.keys())
    }
}

fn microseconds(seconds: f64) -> u64 {
    (seconds.max(0.0) * MICROSECONDS_PER_S) as u64
}

#[cfg(test)]
mod tests;
