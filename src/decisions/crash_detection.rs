//! Crash-inducing queries, which bring down each replica that begins one of their parts: which queries are known as such,
//! and which others are probed by one part first.
//!
//! This file owns the known crash-inducing queries and for how long they are known. It must never send or reject anything,
//! and never read a clock.

use crate::decisions::query::Query;
use crate::decisions::view::View;
use std::collections::BTreeMap;

/// A crash-inducing query is remembered, and all others are probed by one part first, for this long (seconds).
const RETENTION_S: f64 = 30.0;
/// Longest wait for the answer to the part that probes (median latencies).
const MAX_PROBE_WAIT_MEDIANS: f64 = 0.5;

/// What is known of one fingerprint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct CrashRecord {
    last_at: f64,
    /// How many crash-inducing queries were first tries, not repeats.
    first_tries: u32,
}

/// Crash-inducing queries, by their fingerprint.
#[derive(Debug)]
pub struct CrashInducingQueries<K> {
    by_fingerprint: BTreeMap<K, CrashRecord>,
    crashes_expire_at: f64,
}

impl<K: Ord + Clone> CrashInducingQueries<K> {
    /// None is known yet.
    pub fn new(now: f64) -> CrashInducingQueries<K> {
        CrashInducingQueries {
            by_fingerprint: BTreeMap::new(),
            crashes_expire_at: now,
        }
    }

    /// Takes a query, first try or repeat, that has brought down a replica again.
    pub fn record(&mut self, now: f64, fingerprint: &K, is_repeat: bool) {
        self.by_fingerprint
            .retain(|_, record| now < record.last_at + RETENTION_S);
        let record = self.by_fingerprint.entry(fingerprint.clone()).or_default();
        record.last_at = now;
        record.first_tries += u32::from(!is_repeat);
        self.crashes_expire_at = now + RETENTION_S;
    }

    /// Whether a query is to be rejected: repeats after one crash-inducing query of the same fingerprint, and first tries
    /// after two first tries. Harmless queries about the same key wait for as long.
    pub fn is_rejected(&self, now: f64, fingerprint: &K, is_repeat: bool) -> bool {
        let record = self.by_fingerprint.get(fingerprint);
        let record = record.filter(|record| now < record.last_at + RETENTION_S);
        record.is_some_and(|record| is_repeat || record.first_tries > 1)
    }

    /// Whether a crash-inducing query was recorded lately.
    pub fn has_recent_crash(&self, now: f64) -> bool {
        now < self.crashes_expire_at
    }

    /// Forgets all fingerprints, since their classes and tenants have new places.
    pub fn clear_fingerprints(&mut self) {
        self.by_fingerprint.clear();
    }
}

/// Whether the other parts of a query wait, since one part probes whether the query is crash-inducing. They follow when some
/// part is answered, or when the probe has been in flight for some time.
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
