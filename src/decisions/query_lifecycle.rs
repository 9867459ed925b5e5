//! The lifecycle of queries: admission, the check of open queries, answers, rejections and failures.
//!
//! Prices are computed in `admission.rs`; `completion.rs` decides when a query ends.

use crate::decisions::admission::{self, WEIGHT_ROUNDING};
use crate::decisions::aggregator::Aggregator;
use crate::decisions::api::*;
use crate::decisions::completion::{self, NextStep};
use crate::decisions::price::MAX_TOKENS;
use crate::decisions::query::{Part, Query, QuietPeriod, RequestFingerprint};
use crate::decisions::query_progress::Progress;
use crate::decisions::{crash_detection, hedging};

impl Aggregator {
    /// Registers a query, whose parts follow as separate events. A query without parts or without enough time left is
    /// rejected at once.
    pub(super) fn handle_query(&mut self, new: NewQuery, out: &mut Vec<Action>) {
        let rejection = Action::Reject {
            query: new.id,
            retry_after_s: admission::min_retry_after_s(&self.settings),
        };
        let class = usize::from(new.class);
        let Some(class_settings) = self.settings.classes.get(class) else {
            return out.push(rejection);
        };
        let objective_s = class_settings.latency_objective_s;
        let mut query = self.new_query(&new);
        let first_request_at =
            admission::first_request_at(&self.settings, &mut self.statistics, &query, self.now);
        query.objective_at = first_request_at + objective_s;
        if self.queries.open.contains_key(&new.id) {
            return;
        }
        if query.expected_parts == 0 || self.view().final_answer_due(&query) <= self.now {
            return out.push(rejection);
        }
        query.progress = Progress::new(self.settings.cells);
        query.quota_weight = admission::count_tenant_query(
            &self.settings,
            &mut self.statistics,
            new.tenant as usize,
            self.now,
        );
        self.queries.insert(new.id, query);
    }

    fn new_query(&self, new: &NewQuery) -> Query {
        let class = usize::from(new.class);
        let classes = self.settings.classes.len();
        let may_pre_check = |pre_check: &PreCheck| {
            usize::from(pre_check.class) < classes && self.view().is_idempotent(class)
        };
        Query {
            number: new.number,
            class,
            is_repeat: new.is_repeat,
            pre_check: new.pre_check.filter(may_pre_check),
            fingerprint: RequestFingerprint {
                class: new.class,
                tenant: new.tenant,
                key: new.key,
                shards: Vec::new(),
            },
            deadline: if new.deadline.is_finite() {
                new.deadline
            } else {
                self.now
            },
            arrived_at: self.now,
            expected_parts: new.parts as usize,
            ..Query::default()
        }
    }

    /// Registers a part of a query. The last part of a first step triggers the admission of the query; parts of a second
    /// step are sent at once.
    pub(super) fn handle_part(&mut self, new: NewPart, out: &mut Vec<Action>) {
        let Some(id) = self.queries.id_of_number(new.query_number) else {
            return;
        };
        let Some(query) = self.queries.open.get_mut(&id) else {
            return;
        };
        if self.queries.parts.contains_key(&new.id) || query.parts.len() >= query.expected_parts {
            return;
        }
        let weight = if new.weight.is_finite() {
            new.weight.max(0.0)
        } else {
            0.0
        };
        let part = Part {
            query: Some(id),
            index: query.parts.len(),
            class: query.class,
            shard: new.shard,
            weight,
            cost_hint_s: new
                .cost_hint_s
                .filter(|work_s| *work_s > 0.0 && work_s.is_finite()),
            is_selected: query.is_in_second_step,
            max_attempts: self.settings.max_attempts as usize,
            ..Part::default()
        };
        query.parts.push(new.id);
        query.fingerprint.shards.push(new.shard);
        query.progress.push(weight, new.shard);
        let has_all_parts = query.has_all_parts();
        let is_selected = part.is_selected;
        self.queries.parts.insert(new.id, part);
        self.queries.recount_part(new.id, &self.replicas);
        if is_selected {
            self.send(new.id, out);
        } else if has_all_parts {
            self.admit(id, out);
        }
    }

    /// Rejects a query whose tokens are below its price, or else sends the parts whose price the tokens cover.
    fn admit(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let draw = self.rng.rand_float();
        let view = self.view();
        let query = &self.queries.open[&id];
        let class = view.class(query.class);
        let lateness_weight = if query.objective_at <= self.now {
            class.late_weight
        } else {
            1.0
        };
        let tokens = draw * MAX_TOKENS * lateness_weight * query.quota_weight;
        let query_price = admission::query_price(&view, query);
        let congestion_price = self.congestion.price(self.now, class.latency_objective_s)
            * (1.0 - view.own_load_share());
        // A query for which a partial answer is allowed omits the parts that its tokens do not cover.
        let is_affordable = |price: f64| price <= tokens;
        let affordable_parts: Vec<PartId> = query_price
            .parts
            .iter()
            .filter(|part| part.price.is_some_and(is_affordable))
            .map(|part| part.id)
            .collect();
        let weights = affordable_parts
            .iter()
            .map(|part| self.queries.parts[part].weight);
        let affordable_weight: f64 = weights.sum();
        let is_below_partial_share = affordable_weight + WEIGHT_ROUNDING < class.min_partial_share;
        let is_crash_inducing =
            self.crash_inducing
                .is_rejected(self.now, &query.fingerprint, query.is_repeat);
        if is_below_partial_share || tokens < congestion_price || is_crash_inducing {
            return self.reject(id, query_price.max_price.max(congestion_price), out);
        }
        self.send_first(id, affordable_parts, out);
    }

    /// Sends the parts of an admitted query, or only the first part as a probe while queries may be crash-inducing.
    fn send_first(&mut self, id: QueryId, parts: Vec<PartId>, out: &mut Vec<Action>) {
        let is_probing = parts.len() > 1 && self.crash_inducing.has_recent_crash(self.now);
        let query = self.queries.open.get_mut(&id).expect("the query is open");
        query.probing_since = is_probing.then_some(self.now);
        for part in &parts {
            self.queries.select(*part, &self.replicas);
        }
        let sent_at_once = if is_probing { 1 } else { parts.len() };
        for part in parts.into_iter().take(sent_at_once) {
            self.send(part, out);
        }
    }

    /// Rejects a query. The client may safely retry; the Retry-After is the longest time that the price takes to fall.
    fn reject(&mut self, id: QueryId, price: f64, out: &mut Vec<Action>) {
        out.push(Action::Reject {
            query: id,
            retry_after_s: self.retry_after_s(id, price),
        });
        self.end_query(id, out);
    }

    /// Ends a query without an answer: rejects it if a retry is safe, and fails it otherwise.
    fn end_unanswered(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let query = &self.queries.open[&id];
        let class = query.class;
        let objective_s = self.settings.classes[class].latency_objective_s;
        let parts = self.queries.parts_of(query);
        let rejected_parts = parts.filter(|part| part.is_rejected()).count();
        let rejected_share = rejected_parts as f64 / query.parts.len().max(1) as f64;
        self.congestion
            .query_unanswered(self.now, objective_s, rejected_share);
        let never_ran = || {
            let mut parts = self.queries.parts_of(query);
            parts.all(|part| part.first_that_may_have_run().is_none())
        };
        if self.view().is_idempotent(class) || never_ran() {
            let price = admission::query_price(&self.view(), query).max_price;
            return self.reject(id, price, out);
        }
        self.fail(id, out);
    }

    fn fail(&mut self, id: QueryId, out: &mut Vec<Action>) {
        out.push(Action::Fail { query: id });
        self.end_query(id, out);
    }

    /// Handles a connection reset under a part that was sent at `sent_at`.
    ///
    /// After a first reset the query may be crash-inducing, so one part is sent as a probe before the others. A second
    /// reset, under a part that was sent after the first reset while no part was answered, shows that the query is
    /// crash-inducing. Replicas that all crash at once reset only the parts already in flight, not those sent later.
    pub(super) fn handle_reset(&mut self, id: QueryId, sent_at: f64, out: &mut Vec<Action>) {
        let query = self.queries.open.get_mut(&id);
        let Some(query) = query.filter(|query| !query.has_served_part) else {
            return;
        };
        if query
            .first_reset_at
            .is_some_and(|reset_at| sent_at >= reset_at)
        {
            self.crash_inducing
                .record(self.now, &query.fingerprint, query.is_repeat);
            return self.fail(id, out);
        }
        query.first_reset_at = query.first_reset_at.or(Some(self.now));
        query.probing_since = Some(self.now);
    }

    /// Ends a query if it can be ended, and otherwise checks its parts. Called after each event that concerns the query,
    /// and periodically.
    pub(super) fn check_query(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let Some(query) = self.queries.open.get(&id) else {
            return;
        };
        match completion::next_step(&self.view(), query) {
            NextStep::AwaitParts => {}
            NextStep::Answer { is_complete } => self.answer(id, is_complete, out),
            NextStep::EndUnanswered => self.end_unanswered(id, out),
            NextStep::CheckParts => self.check_parts(id, out),
        }
    }

    /// Checks the parts of a query that are late or not in flight, and sets the period in which the query needs no further
    /// check.
    fn check_parts(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let view = self.view();
        let query = &self.queries.open[&id];
        let until = view
            .partial_answer_due(query)
            .min(view.final_answer_due(query));
        let version = self.outliers.version();
        self.queries.recount_ejected(id, version, &self.replicas);
        let late = hedging::late_parts(&self.view(), &self.queries.open[&id]);
        let mut are_quiet = true;
        let mut from = 0;
        while let Some(index) = self.queries.open[&id].progress.next_due(&late, from) {
            let part = self.queries.open[&id].parts[index];
            are_quiet &= self.check_part(part, out);
            from = index + 1;
        }
        let query = &self.queries.open[&id];
        let is_quiet = are_quiet && !crash_detection::is_waiting_for_probe(&self.view(), query);
        let oldest_sent_at = query.progress.oldest_sent_at().filter(|_| is_quiet);
        let query = self.queries.open.get_mut(&id).expect("the query is open");
        query.quiet = oldest_sent_at.map(|oldest_sent_at| QuietPeriod {
            until,
            oldest_sent_at,
        });
    }

    /// Answers a query. The first answer of a class with a second step starts that step.
    fn answer(&mut self, id: QueryId, is_complete: bool, out: &mut Vec<Action>) {
        out.push(Action::Answer {
            query: id,
            is_complete,
        });
        let query = &self.queries.open[&id];
        let class = &self.settings.classes[query.class];
        self.congestion
            .query_answered(self.now, class.latency_objective_s);
        let second_step_parts = class.second_step_parts as usize;
        if second_step_parts == 0 || query.is_in_second_step {
            return self.end_query(id, out);
        }
        let parts = self.queries.parts_of(query);
        let answered_parts = parts.filter(|part| part.is_answered).count();
        self.end_step(id, out);
        let query = self.queries.open.get_mut(&id).expect("the query is open");
        query.is_in_second_step = true;
        query.is_first_step_complete = is_complete;
        query.expected_parts = second_step_parts.min(answered_parts);
        query.quiet = None;
    }

    /// Ends a query and removes it, in any state.
    pub(super) fn end_query(&mut self, id: QueryId, out: &mut Vec<Action>) {
        self.end_step(id, out);
        self.queries.remove(id);
    }

    /// Ends the present step of a query and cancels its attempts in flight. Parts are kept until their attempts have ended.
    fn end_step(&mut self, id: QueryId, out: &mut Vec<Action>) {
        let Some(query) = self.queries.open.get_mut(&id) else {
            return;
        };
        query.progress = Progress::new(self.settings.cells);
        for id in std::mem::take(&mut query.parts) {
            let part = self.queries.parts.get_mut(&id);
            let part = part.expect("parts of open queries are in the table");
            part.query = None;
            if self.settings.can_cancel {
                let to_cancel = part
                    .in_flight()
                    .filter(|(_, attempt)| !attempt.is_cancelled);
                out.extend(to_cancel.map(|(number, _)| Action::Cancel {
                    part: id,
                    attempt: number as u8,
                }));
            }
            if part.in_flight().next().is_none() {
                self.queries.parts.remove(&id);
            }
        }
    }
}
