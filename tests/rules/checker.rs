//! A checker of the six rules for the actions of the decision module. It shares only the public types with the module, so an
//! error in the module's code does not affect the check.
//!
//! The rules: a query gets exactly one final answer, by its deadline; a part is repeated only where its effect allows that; an
//! answer is reported as complete only if it is; nothing is sent to a draining replica after the drain grace; retries stay within
//! their budget and the limit on attempts; a replica in slow start is not overloaded.

use std::collections::{BTreeMap, BTreeSet};
use wharfhub::decisions::api::*;

/// Result of an attempt, as far as the rules depend on it.
#[derive(Clone, Copy, PartialEq)]
pub enum End {
    /// The attempt was not executed.
    NotExecuted,
    /// The attempt may have been executed.
    MayBeExecuted,
}

/// State of an attempt.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub sent_at: f64,
    pub replica: ReplicaId,
    /// `None` while the attempt is in flight.
    pub end: Option<End>,
}

impl Attempt {
    pub fn is_in_flight(&self) -> bool {
        self.end.is_none()
    }

    /// Returns whether the attempt may have been executed, or may still be.
    fn may_be_executed(&self) -> bool {
        self.end != Some(End::NotExecuted)
    }
}

/// State of a part.
#[derive(Default, Clone)]
pub struct Part {
    pub query: u32,
    pub weight: f64,
    pub is_answered: bool,
    pub attempts: Vec<Attempt>,
}

/// Time and replica of an attempt that was sent.
pub struct Sent {
    pub at: f64,
    pub replica: ReplicaId,
}

/// State of a query.
#[derive(Default, Clone)]
pub struct Query {
    pub deadline: f64,
    pub class: usize,
    pub final_answers: u32,
    /// Parts of the present step.
    pub parts_of_step: Vec<u32>,
    /// Number of parts of the present step, some of which may not have arrived.
    pub expected_parts: usize,
    /// Index of the present step: 0 or 1.
    pub step: u32,
    pub is_first_step_complete: bool,
}

/// Checks each action of the module against the rules and records the violations.
pub struct RuleChecker {
    pub settings: Settings,
    pub queries: BTreeMap<u32, Query>,
    pub parts: BTreeMap<u32, Part>,
    /// Times at which replicas left the ready state. Parts may still be sent there during the drain grace.
    pub not_ready_since: BTreeMap<ReplicaId, f64>,
    pub removed: BTreeSet<ReplicaId>,
    /// Start times of the replicas that have started during the test.
    pub started_at: BTreeMap<ReplicaId, f64>,
    pub sent_attempts: Vec<Sent>,
    /// Times at which queries and parts were accepted.
    pub accepted_times: Vec<f64>,
    pub retry_times: Vec<f64>,
    pub violations: Vec<String>,
}

impl RuleChecker {
    pub fn new(settings: &Settings) -> Self {
        RuleChecker {
            settings: settings.clone(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            not_ready_since: BTreeMap::new(),
            removed: BTreeSet::new(),
            started_at: BTreeMap::new(),
            sent_attempts: Vec::new(),
            accepted_times: Vec::new(),
            retry_times: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Checks an action that the module took at `now`.
    pub fn check_action(&mut self, now: f64, action: &Action) {
        match action {
            Action::Send { part, replica, .. } => self.check_send(now, part.0, *replica),
            Action::Answer { query, is_complete } => self.check_answer(now, query.0, *is_complete),
            Action::Reject { query, .. } => self.check_rejection(now, query.0),
            Action::Fail { query } => self.check_end(now, query.0),
            _ => {}
        }
    }

    fn check_rejection(&mut self, now: f64, id: u32) {
        let class = self.queries[&id].class;
        let may_be_executed = |part: &&Part| part.attempts.iter().any(Attempt::may_be_executed);
        let mut own = self.parts.values().filter(|part| part.query == id);
        let is_idempotent = self.settings.classes[class].effect == Effect::Idempotent;
        if !is_idempotent && own.any(|part| may_be_executed(&part)) {
            self.violations
                .push("effect: query rejected although a part may have been executed".into());
        }
        self.check_end(now, id);
    }

    fn check_end(&mut self, now: f64, id: u32) {
        let query = self.queries.get_mut(&id).expect("the query is recorded");
        query.final_answers += 1;
        if query.final_answers > 1 || now > query.deadline.max(self.accepted_times[0]) + 0.02 {
            self.violations.push(format!(
                "final answer: query {id} ended {} times, the last time at {now} with the deadline {}",
                query.final_answers, query.deadline
            ));
        }
    }

    fn check_answer(&mut self, now: f64, id: u32, is_complete: bool) {
        let query = self.queries[&id].clone();
        let class = &self.settings.classes[query.class];
        let share: f64 = query
            .parts_of_step
            .iter()
            .map(|part| &self.parts[part])
            .filter(|p| p.is_answered)
            .map(|p| p.weight)
            .sum();
        let required_share = if query.step == 0 {
            class.complete_share
        } else {
            1.0
        };
        let is_reported_correctly = !is_complete
            || (share > required_share - 0.0001
                && (query.step == 0 || query.is_first_step_complete));
        if share < class.min_partial_share - 0.0001 || !is_reported_correctly {
            self.violations.push(format!(
                "completeness: query {id} answered from a share of {share}, complete: {is_complete}"
            ));
        }
        if class.second_step_parts > 0 && query.step == 0 {
            let answered_parts = query
                .parts_of_step
                .iter()
                .filter(|part| self.parts[part].is_answered)
                .count();
            let query = self.queries.get_mut(&id).expect("the query is recorded");
            query.step = 1;
            query.is_first_step_complete = is_complete;
            query.parts_of_step.clear();
            query.expected_parts = answered_parts.min(class.second_step_parts as usize);
        } else {
            self.check_end(now, id);
        }
    }

    fn check_send(&mut self, now: f64, id: u32, replica: ReplicaId) {
        let part = self.parts.get(&id).expect("the part is recorded").clone();
        self.check_effect(now, id, &part);
        let not_ready_since = self.not_ready_since.get(&replica);
        if not_ready_since.is_some_and(|at| now > at + self.settings.drain_grace_s) {
            self.violations.push(format!(
                "drain: {replica:?} received a part after its drain grace"
            ));
        }
        if !part.attempts.is_empty() {
            self.retry_times.push(now);
            self.check_budget(now);
        }
        if part.attempts.len() >= self.settings.max_attempts as usize {
            self.violations
                .push(format!("attempts: part {id} sent too often"));
        }
        self.sent_attempts.push(Sent { at: now, replica });
        self.check_slow_start(now, replica);
        let part = self.parts.get_mut(&id).expect("the part is recorded");
        part.attempts.push(Attempt {
            sent_at: now,
            replica,
            end: None,
        });
    }

    fn check_effect(&mut self, now: f64, id: u32, part: &Part) {
        let query = &self.queries[&part.query];
        let class = &self.settings.classes[query.class];
        if query.final_answers > 0 || !query.parts_of_step.contains(&id) || part.is_answered {
            self.violations.push(format!(
                "final answer: part {id} sent after the end of the part, its step or its query"
            ));
        }
        let first = part
            .attempts
            .iter()
            .find(|attempt| attempt.may_be_executed());
        let is_violation = match (class.effect, first) {
            (Effect::NonIdempotent, Some(_)) => true,
            (Effect::IdempotentWithKey, Some(first)) => {
                now > first.sent_at + class.idempotency_window_s
            }
            _ => false,
        };
        let has_other_in_flight = part.attempts.iter().any(Attempt::is_in_flight);
        if is_violation || (has_other_in_flight && !self.settings.can_hedge) {
            self.violations
                .push(format!("effect: part {id} sent again"));
        }
    }

    fn check_budget(&mut self, now: f64) {
        let Some(budget) = self.settings.retry_budget else {
            return;
        };
        let window_start = now - budget.window_s;
        let within = |times: &[f64]| times.iter().filter(|at| **at > window_start).count() as f64;
        let retries = within(&self.retry_times);
        let accepted = within(&self.accepted_times);
        if retries > budget.min_retries + budget.retries_per_accepted * accepted {
            self.violations.push(format!(
                "retry budget: {retries} retries with {accepted} queries and parts accepted at {now}"
            ));
        }
    }

    /// Checks the load of a replica in slow start. The average load that the only aggregator sends to each replica that is not
    /// removed stands for the full capacity of a replica.
    fn check_slow_start(&mut self, now: f64, replica: ReplicaId) {
        let Some(start) = self.started_at.get(&replica) else {
            return;
        };
        let settings = &self.settings;
        let age = (now - start) / settings.slow_start_s;
        if age < 1.0 {
            let capacity =
                settings.slow_start_min_capacity + (1.0 - settings.slow_start_min_capacity) * age;
            let recent = |replica: Option<ReplicaId>, window_s: f64| {
                let is_counted = |sent: &&Sent| {
                    sent.at > now - window_s
                        && replica.is_none_or(|replica| replica == sent.replica)
                };
                self.sent_attempts.iter().filter(is_counted).count() as f64
            };
            let even_load_per_s = recent(None, 8.0) / 8.0 / (6 - self.removed.len()).max(1) as f64;
            if recent(Some(replica), settings.overload_window_s)
                > settings.overload_multiple
                    * capacity
                    * even_load_per_s
                    * settings.overload_window_s
            {
                self.violations.push(format!(
                    "slow start: {replica:?} received more parts than its slow start limit"
                ));
            }
        }
    }
}
