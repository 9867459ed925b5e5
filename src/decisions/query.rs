//! Queries, their parts and attempts, and the tables that index them.
//!
//! [`QueryTable`] updates the [`Progress`] of a query whenever one of its parts changes.

use crate::decisions::api::{Outcome, PartId, PreCheck, QueryId, ReplicaId};
use crate::decisions::query_progress::{InFlight, PartState, Progress};
use crate::decisions::replica_table::ReplicaTable;
use std::collections::{BTreeMap, BTreeSet};

/// Attempt of a part.
#[derive(Clone, Copy, Default)]
pub(crate) struct Attempt {
    pub(crate) replica: ReplicaId,
    pub(crate) sent_at: f64,
    /// Class that the attempt is counted for in the statistics: the class of its part, or that of the pre-check.
    pub(crate) measured_class: usize,
    /// Result of the attempt; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) is_cancelled: bool,
    /// True once the missing answer has been counted as a failure of the replica.
    pub(crate) is_counted_unresponsive: bool,
    /// Number of other attempts in flight when this one was sent.
    pub(crate) in_flight_when_sent: u32,
    /// Time for which the connection had been unused when the attempt was sent (seconds).
    pub(crate) connection_idle_s: f64,
    /// Total length of the pauses of this process while the attempt was in flight (seconds).
    pub(crate) process_pause_s: f64,
}

impl Attempt {
    #[inline]
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }
}

/// A part of a query's present step, or of an earlier step while it has attempts in flight.
#[derive(Default)]
pub(crate) struct Part {
    /// Query that the part belongs to; `None` once its step has ended.
    pub(crate) query: Option<QueryId>,
    /// Index among the parts of the query's step.
    pub(crate) index: usize,
    pub(crate) class: usize,
    pub(crate) shard: u32,
    pub(crate) weight: f64,
    /// Estimate of the work (seconds), if the client gave one.
    pub(crate) cost_hint_s: Option<f64>,
    /// True if the part is selected to be sent; a part that is not selected is a spare.
    pub(crate) is_selected: bool,
    pub(crate) is_answered: bool,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) max_attempts: usize,
}

impl Part {
    /// Returns whether the replica of the last attempt rejected it because its queue was full.
    pub(crate) fn is_rejected(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|last| last.outcome == Some(Outcome::Rejected))
    }

    /// Returns the attempts in flight, each with its number.
    pub(crate) fn in_flight(&self) -> impl Iterator<Item = (usize, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, attempt)| attempt.is_in_flight())
    }

    /// Returns the state of the part for the progress of its query; `is_ejected` returns whether the replica of an
    /// attempt is ejected.
    pub(crate) fn state(&self, is_ejected: impl Fn(&Attempt) -> bool) -> PartState {
        if self.is_answered {
            return PartState::Answered;
        }
        if !self.is_selected {
            return PartState::Spare;
        }
        let mut in_flight = self.in_flight().map(|(_, attempt)| attempt);
        let Some(first) = in_flight.next() else {
            return PartState::Pending {
                untried: self.attempts.is_empty(),
            };
        };
        PartState::InFlight(InFlight {
            sent_at: first.sent_at,
            is_pre_check: first.measured_class != self.class,
            is_ejected: is_ejected(first),
            is_single: !first.is_cancelled && in_flight.next().is_none(),
        })
    }

    /// Returns the first attempt that may have been executed, which excludes those whose result proves that they were not.
    pub(crate) fn first_that_may_have_run(&self) -> Option<&Attempt> {
        let never_ran = |attempt: &&Attempt| {
            matches!(
                attempt.outcome,
                Some(Outcome::Rejected | Outcome::ConnectFailed | Outcome::Superseded)
            )
        };
        self.attempts.iter().find(|attempt| !never_ran(attempt))
    }
}

/// Properties that a query shares with its client's retries.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RequestFingerprint {
    pub(crate) class: u16,
    pub(crate) tenant: u32,
    pub(crate) key: u64,
    pub(crate) shards: Vec<u32>,
}

/// A period in which a query needs no check unless one of its parts changes.
#[derive(Clone, Copy)]
pub(crate) struct QuietPeriod {
    /// Time at which the query itself is due.
    pub(crate) until: f64,
    /// Time at which the oldest of the attempts in flight was sent, from which it becomes overdue.
    pub(crate) oldest_sent_at: f64,
}

/// An open query.
#[derive(Default)]
pub(crate) struct Query {
    /// Number of the query at this aggregator, by which its parts refer to it.
    pub(crate) number: u32,
    pub(crate) class: usize,
    /// True if the client marked the query as a repeat.
    pub(crate) is_repeat: bool,
    pub(crate) deadline: f64,
    pub(crate) arrived_at: f64,
    /// End of the latency objective, counted from the client's first request.
    pub(crate) objective_at: f64,
    /// Number of parts of the present step.
    pub(crate) expected_parts: usize,
    /// Parts of the present step that have arrived.
    pub(crate) parts: Vec<PartId>,
    pub(crate) progress: Progress,
    /// Version of the ejections (`OutlierDetector::version`) at the last update of the progress.
    pub(crate) health_version: u64,
    pub(crate) pre_check: Option<PreCheck>,
    pub(crate) is_in_second_step: bool,
    pub(crate) is_first_step_complete: bool,
    pub(crate) fingerprint: RequestFingerprint,
    /// Time since which one part is sent as a probe before the others; `None` if there is no probe.
    pub(crate) probing_since: Option<f64>,
    /// Time of the first connection reset under one of the query's parts.
    pub(crate) first_reset_at: Option<f64>,
    /// True if a replica has served a part, which shows that the query is not crash-inducing.
    pub(crate) has_served_part: bool,
    pub(crate) quiet: Option<QuietPeriod>,
    /// Share of its weight that the tenant's quota leaves the query, from 0 to 1.
    pub(crate) quota_weight: f64,
}

impl Query {
    /// Returns whether all parts of the present step have arrived.
    pub(crate) fn has_all_parts(&self) -> bool {
        self.parts.len() == self.expected_parts
    }
}

/// The open queries, and all parts with attempts in flight.
#[derive(Default)]
pub(crate) struct QueryTable {
    pub(crate) open: BTreeMap<QueryId, Query>,
    ids_by_number: BTreeMap<u32, QueryId>,
    /// Parts of open queries, and parts of ended steps that still have attempts in flight.
    pub(crate) parts: BTreeMap<PartId, Part>,
}

impl QueryTable {
    pub(crate) fn insert(&mut self, id: QueryId, query: Query) {
        self.ids_by_number.insert(query.number, id);
        self.open.insert(id, query);
    }

    pub(crate) fn remove(&mut self, id: QueryId) {
        if let Some(query) = self.open.remove(&id) {
            self.ids_by_number.remove(&query.number);
        }
    }

    /// Returns the id of the open query with this number.
    pub(crate) fn id_of_number(&self, number: u32) -> Option<QueryId> {
        self.ids_by_number.get(&number).copied()
    }

    /// Returns the open query that a part belongs to.
    #[inline]
    pub(crate) fn query_of(&self, part: &Part) -> Option<&Query> {
        part.query.and_then(|query| self.open.get(&query))
    }

    /// Returns the parts of a query, in order of their indices.
    pub(crate) fn parts_of<'a>(&'a self, query: &'a Query) -> impl Iterator<Item = &'a Part> + 'a {
        query.parts.iter().map(|part| &self.parts[part])
    }

    /// Returns whether the given attempt of a part is in flight.
    #[inline]
    pub(crate) fn is_in_flight(&self, part: PartId, attempt: usize) -> bool {
        let part = self.parts.get(&part);
        let attempt = part.and_then(|part| part.attempts.get(attempt));
        attempt.is_some_and(Attempt::is_in_flight)
    }

    /// Updates the progress of a part's query. Must be called after each change of the part, or the progress is out of
    /// date.
    pub(crate) fn recount_part(&mut self, id: PartId, replicas: &ReplicaTable) {
        let part = &self.parts[&id];
        let Some(query) = part.query.and_then(|query| self.open.get_mut(&query)) else {
            return;
        };
        let is_ejected =
            |attempt: &Attempt| replicas.is_ejected(attempt.replica, attempt.measured_class);
        query.progress.set(part.index, part.state(is_ejected));
    }

    /// Updates which parts of a query are in flight at an ejected replica, if ejections have changed since the last update.
    pub(crate) fn recount_ejected(
        &mut self,
        id: QueryId,
        health_version: u64,
        replicas: &ReplicaTable,
    ) {
        let query = self.open.get_mut(&id).expect("the query is open");
        if query.health_version == health_version {
            return;
        }
        query.health_version = health_version;
        let places = query.progress.indices_in_flight().into_iter();
        let parts: Vec<PartId> = places.map(|index| query.parts[index]).collect();
        for part in parts {
            self.recount_part(part, replicas);
        }
    }

    /// Selects a part to be sent.
    pub(crate) fn select(&mut self, id: PartId, replicas: &ReplicaTable) {
        let part = self
            .parts
            .get_mut(&id)
            .expect("a selected part is in the table");
        part.is_selected = true;
        self.recount_part(id, replicas);
    }

    /// Adds a pause of this process to all attempts in flight.
    pub(crate) fn add_process_pause(&mut self, pause_s: f64) {
        let parts = self.parts.values_mut();
        for attempt in parts.flat_map(|part| &mut part.attempts) {
            attempt.process_pause_s += pause_s;
        }
    }

    /// Returns the classes that open queries or attempts refer to.
    pub(crate) fn referenced_classes(&self) -> BTreeSet<usize> {
        let mut classes = BTreeSet::new();
        for part in self.parts.values() {
            classes.insert(part.class);
            classes.extend(part.attempts.iter().map(|attempt| attempt.measured_class));
        }
        for query in self.open.values() {
            classes.insert(query.class);
            classes.extend(
                query
                    .pre_check
                    .map(|pre_check| usize::from(pre_check.class)),
            );
        }
        classes
    }

    /// Updates class indices after a change of settings, and lowers the limit on attempts of open parts if the new one is
    /// lower.
    pub(crate) fn remap_classes(
        &mut self,
        new_index: impl Fn(usize) -> usize,
        max_attempts: usize,
    ) {
        for query in self.open.values_mut() {
            query.class = new_index(query.class);
            query.quiet = None;
            if let Some(pre_check) = &mut query.pre_check {
                pre_check.class = new_index(pre_check.class.into()) as u16;
            }
        }
        for part in self.parts.values_mut() {
            part.class = new_index(part.class);
            part.max_attempts = part.max_attempts.min(max_attempts);
            for attempt in &mut part.attempts {
                attempt.measured_class = new_index(attempt.measured_class);
            }
        }
    }
}
