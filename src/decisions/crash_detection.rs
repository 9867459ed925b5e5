//! Detection of crash-inducing queries, which crash every replica that starts to execute one of their parts.
//!
//! Known crash-inducing queries are rejected. For some time after a crash, one part of every other query is sent first as a
//! probe.

use crate::decisions::query::Query;
use crate::decisions::view::View;
use std::collections::BTreeMap;

/// Time for which a crash-inducing query is remembered, and in which one part of every other query is sent first (seconds).
const RETENTION_S: f64 = 30.0;
/// Longest wait for the answer to a probe part (median latencies).
const MAX_PROBE_WAIT_MEDIANS: f64 = 0.5;

/// The crashes recorded for one fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct CrashRecord {
    last_at: f64,
    /// Number of crash-inducing queries that were first requests of a client, not retries.
    first_requests: u32,
}

/// Crash-inducing queries by fingerprint.
#[derive(Debug)]
pub struct CrashInducingQueries<K> {
    by_fingerprint: BTreeMap<K, CrashRecord>,
    crashes_expire_at: f64,
}

impl<K: Ord + Clone> CrashInducingQueries<K> {
    /// Creates an empty record.
    pub fn new(now: f64) -> CrashInducingQueries<K> {
        CrashInducingQueries {
            by_fingerprint: BTreeMap::new(),
            crashes_expire_at: now,
        }
    }

    /// Records a query that has crashed a second replica.
    pub fn record(&mut self, now: f64, fingerprint: &K, is_repeat: bool) {
        self.by_fingerprint
            .retain(|_, record| now < record.last_at + RETENTION_S);
        let record = self.by_fingerprint.entry(fingerprint.clone()).or_default();
        record.last_at = now;
        record.first_requests += u32::from(!is_repeat);
        self.crashes_expire_at = now + RETENTION_S;
    }

    /// Returns whether a query is to be rejected: a client's retry after one crash-inducing query with the same
    /// fingerprint, and a first request after two crash-inducing first requests. Harmless queries with the same
    /// fingerprint are rejected too until the record expires.
    pub fn is_rejected(&self, now: f64, fingerprint: &K, is_repeat: bool) -> bool {
        let record = self.by_fingerprint.get(fingerprint);
        let record = record.filter(|record| now < record.last_at + RETENTION_S);
        record.is_some_and(|record| is_repeat || record.first_requests > 1)
    }

    /// Returns whether a crash-inducing query was recorded recently.
    pub fn has_recent_crash(&self, now: f64) -> bool {
        now < self.crashes_expire_at
    }

    /// Removes all fingerprints, because the indices of classes and tenants in them are out of date.
    pub fn clear_fingerprints(&mut self) {
        self.by_fingerprint.clear();
    }
}

/// Returns whether the other parts of a query wait for the result of one part that probes whether the query is
/// crash-inducing. They are sent once a part is answered or the probe has been in flight for some time.
pub(crate) fn is_waiting_for_probe(view: &View, query: &Query) -> bool {
    let pre_check = query
        .pre_check
        .filter(|pre_check| view.now < pre_check.until);
    let class = pre_check.map_or(query.class, |pre_check| pre_check.class.into());
    let max_wait_s = MAX_PROBE_WAIT_MEDIANS * view.statistics.latencies[class].median_s;
    let is_probing = query
        .probing_since
        .is_some_and(|since| view.now < since + max_wait_s);
    !query.has_served_part && is_probing && query.progress.is_in_flight()
}

#[cfg(test)]
mod tests;
