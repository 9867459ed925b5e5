//! The referee: judges the actions of the decision module by the six rules alone, and knows nothing of the module.

use std::collections::{BTreeMap, BTreeSet};
use wharfhub::decisions::api::*;

/// How an attempt ended, as far as the rules depend on it.
#[derive(Clone, Copy, PartialEq)]
pub enum End {
    /// It never ran.
    NeverRan,
    /// It may have run.
    MayHaveRun,
}

/// What the referee knows of an attempt.
#[derive(Clone, Copy)]
pub struct Attempt {
    pub sent_at: f64,
    pub replica: ReplicaId,
    /// None while it is in flight.
    pub end: Option<End>,
}

impl Attempt {
    pub fn is_in_flight(&self) -> bool {
        self.end.is_none()
    }

    /// Whether it may have run, or may still run.
    fn may_run(&self) -> bool {
        self.end != Some(End::NeverRan)
    }
}

/// What the referee knows of a part.
#[derive(Default, Clone)]
pub struct Part {
    pub query: u32,
    pub weight: f64,
    pub answered: bool,
    pub attempts: Vec<Attempt>,
}

/// An attempt that was sent, by its time and replica.
pub struct Sent {
    pub at: f64,
    pub replica: ReplicaId,
}

/// What the referee knows of a query.
#[derive(Default, Clone)]
pub struct Query {
    pub deadline: f64,
    pub class: usize,
    pub finals: u32,
    pub step_parts: Vec<u32>,
    pub expected: usize,
    pub step: u32,
    pub first_complete: bool,
}

/// Judges the actions of the module by the rules alone.
pub struct Referee {
    pub settings: Settings,
    pub queries: BTreeMap<u32, Query>,
    pub parts: BTreeMap<u32, Part>,
    /// Since when nothing new may be sent there, but for the grace.
    pub not_ready_since: BTreeMap<ReplicaId, f64>,
    pub gone: BTreeSet<ReplicaId>,
    pub starts: BTreeMap<ReplicaId, f64>,
    pub sends: Vec<Sent>,
    pub accepted: Vec<f64>,
    pub retries: Vec<f64>,
    pub breaches: Vec<String>,
}

impl Referee {
    pub fn new(settings: &Settings) -> Self {
        Referee {
            settings: settings.clone(),
            queries: BTreeMap::new(),
            parts: BTreeMap::new(),
            not_ready_since: BTreeMap::new(),
            gone: BTreeSet::new(),
            starts: BTreeMap::new(),
            sends: Vec::new(),
            accepted: Vec::new(),
            retries: Vec::new(),
            breaches: Vec::new(),
        }
    }

    pub fn act(&mut self, now: f64, action: &Action) {
        match action {
            Action::Send { part, replica, .. } => self.sent(now, part.0, *replica),
            Action::Answer {
                query,
                is_complete: complete,
            } => self.answered(now, query.0, *complete),
            Action::Reject { query, .. } => self.rejected(now, query.0),
            Action::Fail { query } => self.ended(now, query.0),
            _ => {}
        }
    }

    fn rejected(&mut self, now: f64, id: u32) {
        let class = self.queries[&id].class;
        let may_run = |part: &&Part| part.attempts.iter().any(Attempt::may_run);
        let mut own = self.parts.values().filter(|part| part.query == id);
        let is_idempotent = self.settings.classes[class].effect == Effect::Idempotent;
        if !is_idempotent && own.any(|part| may_run(&part)) {
            self.breaches
                .push("effect: rejected though it may have run".into());
        }
        self.ended(now, id);
    }

    fn ended(&mut self, now: f64, id: u32) {
        let query = self.queries.get_mut(&id).expect("a known query");
        query.finals += 1;
        if query.finals > 1 || now > query.deadline.max(self.accepted[0]) + 0.02 {
            self.breaches.push(format!(
                "lost: query {id} ended {} times, at {now}",
                query.finals
            ));
        }
    }

    fn answered(&mut self, now: f64, id: u32, complete: bool) {
        let query = self.queries[&id].clone();
        let class = &self.settings.classes[query.class];
        let share: f64 = query
            .step_parts
            .iter()
            .map(|part| &self.parts[part])
            .filter(|p| p.answered)
            .map(|p| p.weight)
            .sum();
        let need = if query.step == 0 {
            class.complete_share
        } else {
            1.0
        };
        let honest =
            !complete || (share > need - 0.0001 && (query.step == 0 || query.first_complete));
        if share < class.min_partial_share - 0.0001 || !honest {
            self.breaches.push(format!(
                "honest: query {id} answered from {share}, complete {complete}"
            ));
        }
        if class.second_step_parts > 0 && query.step == 0 {
            let parts_in = query
                .step_parts
                .iter()
                .filter(|part| self.parts[part].answered)
                .count();
            let query = self.queries.get_mut(&id).expect("looked up above");
            query.step = 1;
            query.first_complete = complete;
            query.step_parts.clear();
            query.expected = parts_in.min(class.second_step_parts as usize);
        } else {
            self.ended(now, id);
        }
    }

    fn sent(&mut self, now: f64, id: u32, replica: ReplicaId) {
        let part = self.parts.get(&id).expect("a known part").clone();
        self.check_effect(now, id, &part);
        let not_ready_since = self.not_ready_since.get(&replica);
        if not_ready_since.is_some_and(|at| now > at + self.settings.drain_grace_s) {
            self.breaches.push(format!("drain: {replica:?}"));
        }
        if !part.attempts.is_empty() {
            self.retries.push(now);
            self.check_budget(now);
        }
        if part.attempts.len() >= self.settings.max_attempts as usize {
            self.breaches.push(format!("attempts: part {id}"));
        }
        self.sends.push(Sent { at: now, replica });
        self.check_slow_start(now, replica);
        let part = self.parts.get_mut(&id).expect("looked up above");
        part.attempts.push(Attempt {
            sent_at: now,
            replica,
            end: None,
        });
    }

    fn check_effect(&mut self, now: f64, id: u32, part: &Part) {
        let query = &self.queries[&part.query];
        let class = &self.settings.classes[query.class];
        if query.finals > 0 || !query.step_parts.contains(&id) || part.answered {
            self.breaches
                .push(format!("lost: part {id} sent after its end"));
        }
        let first = part.attempts.iter().find(|attempt| attempt.may_run());
        let is_breach = match (class.effect, first) {
            (Effect::NonIdempotent, Some(_)) => true,
            (Effect::IdempotentWithKey, Some(first)) => {
                now > first.sent_at + class.idempotency_window_s
            }
            _ => false,
        };
        let has_other_in_flight = part.attempts.iter().any(Attempt::is_in_flight);
        if is_breach || (has_other_in_flight && !self.settings.can_hedge) {
            self.breaches.push(format!("effect: part {id} sent again"));
        }
    }

    fn check_budget(&mut self, now: f64) {
        let Some(budget) = self.settings.retry_budget else {
            return;
        };
        let window_start = now - budget.window_s;
        let within = |times: &[f64]| times.iter().filter(|at| **at > window_start).count() as f64;
        let retries = within(&self.retries);
        let accepted = within(&self.accepted);
        if retries > budget.min_retries + budget.retries_per_accepted * accepted {
            self.breaches.push(format!(
                "budget: {retries} retries of {accepted} accepted at {now}"
            ));
        }
    }

    /// The even load of the only aggregator, for each replica that is not gone, stands for the capacity of a warm one.
    fn check_slow_start(&mut self, now: f64, replica: ReplicaId) {
        let Some(start) = self.starts.get(&replica) else {
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
                self.sends.iter().filter(is_counted).count() as f64
            };
            let even = recent(None, 8.0) / 8.0 / (6 - self.gone.len()).max(1) as f64;
            if recent(Some(replica), settings.overload_window_s)
                > settings.overload_multiple * capacity * even * settings.overload_window_s
            {
                self.breaches.push(format!("slow start: {replica:?}"));
            }
        }
    }
}
