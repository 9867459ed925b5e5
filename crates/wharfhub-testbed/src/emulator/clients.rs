//! The clients of an emulated scenario: they send requests, receive answers, retry and disconnect.

use super::{Emulator, Event, Mixer, OpenRequest, FAILOVER_DELAY_S, MIN_RETRY_TIME_S, START_S};
use crate::rules::{AnswerPart, RequestOutcome};
use crate::site::Query;
use crate::tally;
use rand::Rng;
use wharfhub::requests::coordinator::{FinalAnswer, PartRequest, QueryRequest};

impl Emulator<'_> {
    /// Returns the mixer for a request. Each retry goes to another mixer. The load balancer skips a dead mixer once it has noticed
    /// the failure, after [`FAILOVER_DELAY_S`].
    pub(super) fn choose_mixer(&self, query: &Query, retry: u32) -> usize {
        let count = self.mixers.len();
        let known_dead = |mixer: &Mixer| {
            mixer.coordinator.is_none() && self.now > mixer.died_at + FAILOVER_DELAY_S
        };
        let first = (query.mixer + retry as usize) % count;
        let next = (0..count).map(|step| (first + step) % count);
        next.into_iter()
            .find(|index| !known_dead(&self.mixers[*index]))
            .unwrap_or(first)
    }

    /// Sends a query for the first time (`retry` 0) or again.
    pub(super) fn send_request(&mut self, number: usize, retry: u32) {
        let query = &self.queries[number];
        let class = &self.scenario.site.classes[query.class];
        let timeout_s = query.at + START_S + query.timeout_s - self.now;
        let disconnects_after_s = query.disconnects_after_s.min(timeout_s);
        let hints = self.scenario.site.has_cost_hints;
        let part = |part: &crate::site::Part| PartRequest {
            shard: part.shard,
            weight: part.weight,
            cost_hint_s: hints.then_some(part.work_s),
        };
        let id = format!("q{number}-{retry}");
        let query_request = QueryRequest {
            id: id.clone(),
            class: query.class,
            class_name: class.name.into(),
            tenant: query.tenant as u32,
            key: query.key,
            is_client_retry: retry > 0 && self.scenario.site.retries.2,
            timeout_s,
            idempotency_key: (!class.is_retryable()).then(|| format!("k{number}")),
            parts: query.parts.iter().map(part).collect(),
            ..QueryRequest::default()
        };
        let mixer = self.choose_mixer(query, retry);
        self.tally.requests[tally::TOTAL] += 1;
        if self.mixers[mixer].coordinator.is_none() {
            // The mixer is dead, so the connection is refused.
            self.tally.requests[tally::FAILED] += 1;
            return self.retry_or_finish(number, retry, None, true);
        }
        self.requests += 1;
        self.rules.request_started(&id);
        let caller = (number as u64) << 8 | u64::from(retry);
        let mut accepted = None;
        let sent_at = self.now;
        // The coordinator may answer immediately, so its commands are executed only after the request is recorded as open.
        let mut commands = Vec::new();
        self.drive(mixer, |coordinator, now, out| {
            accepted = Some(coordinator.accept_request(now, query_request, caller, out));
            commands.append(out);
        });
        let Some(request) = accepted else { return };
        self.open_requests.insert(
            (number, retry),
            OpenRequest {
                mixer,
                request,
                sent_at,
                timeout_s,
            },
        );
        self.drive(mixer, |_, _, out| out.append(&mut commands));
        self.schedule(
            self.now + disconnects_after_s,
            Event::ClientDisconnects(number, retry),
        );
    }

    /// Ends a request whose client disconnects, at its timeout or earlier. Has no effect on an answered request.
    pub(super) fn client_disconnects(&mut self, number: usize, retry: u32) {
        let Some(open) = self.open_requests.remove(&(number, retry)) else {
            return;
        };
        let took_s = self.now - open.sent_at;
        self.tally.requests[tally::CLIENT_LEFT] += 1;
        let query = &self.queries[number];
        let id = format!("q{number}-{retry}");
        if took_s >= open.timeout_s - 1e-6 {
            self.rules.record_violation(format!(
                "lost: {id} had no final answer at the client's timeout"
            ));
        }
        self.rules.request_ended(
            &id,
            query,
            &RequestOutcome::Abandoned,
            took_s,
            open.timeout_s,
        );
        let ended_s = self.now - START_S - query.at;
        self.tally.record_query(self.scenario, query, None, ended_s);
        self.drive(open.mixer, |coordinator, now, out| {
            coordinator.client_disconnected(now, open.request, out)
        });
    }

    /// Handles a mixer's final answer to a request.
    pub(super) fn receive_final_answer(&mut self, number: usize, retry: u32, answer: FinalAnswer) {
        let id = format!("q{number}-{retry}");
        let Some(open) = self.open_requests.remove(&(number, retry)) else {
            return self.rules.record_violation(format!(
                "answers: {id} got an answer although the request had ended"
            ));
        };
        let took_s = self.now - open.sent_at;
        let query = &self.queries[number];
        let outcome = request_outcome(&answer);
        self.rules
            .request_ended(&id, query, &outcome, took_s, open.timeout_s);
        let retry_after_s = match answer {
            FinalAnswer::Answered {
                complete,
                values,
                pruned,
                ..
            } => {
                let is_present: Vec<bool> = values.iter().map(Option::is_some).collect();
                return self.count_answer(number, complete, &is_present, &pruned);
            }
            FinalAnswer::Rejected { retry_after_s, .. } => {
                self.tally.requests[tally::REFUSED] += 1;
                Some(retry_after_s)
            }
            FinalAnswer::Failed { .. } => {
                self.tally.requests[tally::FAILED] += 1;
                None
            }
        };
        self.retry_or_finish(number, retry, retry_after_s, false);
    }

    /// Adds an answer to the totals, given which parts it contains and which of these were pruned by a pre-check.
    fn count_answer(
        &mut self,
        number: usize,
        complete: bool,
        is_present: &[bool],
        pruned: &[bool],
    ) {
        let query = &self.queries[number];
        let since_s = self.now - START_S - query.at;
        self.tally.requests[tally::ANSWERED] += 1;
        self.tally.requests[tally::PARTIAL] += u64::from(!complete);
        let mut share = 0.0;
        for (index, part) in query.parts.iter().enumerate() {
            if !is_present[index] {
                continue;
            }
            share += part.weight;
            let work = if pruned[index] {
                self.scenario.pre_check_work
            } else {
                1.0
            };
            self.tally.useful_work_s += part.work_s * work;
            self.tally.pruned += u64::from(pruned[index]);
        }
        let share = if complete { 1.0 } else { share };
        self.tally
            .record_query(self.scenario, query, Some((since_s, share)), since_s);
    }

    /// Schedules a retry after a request that ended without an answer, or ends the query.
    pub(super) fn retry_or_finish(
        &mut self,
        number: usize,
        retry: u32,
        retry_after_s: Option<f64>,
        unreachable: bool,
    ) {
        let (max, backoff_s, _) = self.scenario.site.retries;
        let backoff_s = self.rng.random_range(backoff_s.0..backoff_s.1);
        let query = &self.queries[number];
        let since_s = self.now - START_S - query.at;
        let retry_delay_s = retry_after_s
            .filter(|delay_s| *delay_s > 0.0)
            .unwrap_or(backoff_s);
        let left_s = query.timeout_s - since_s - retry_delay_s;
        // Clients don't retry on their own if the query may have been executed and must not be executed twice.
        let may_retry = retry_after_s.is_some()
            || unreachable
            || self.scenario.site.classes[query.class].is_retryable();
        if retry < max && left_s > MIN_RETRY_TIME_S && may_retry {
            self.schedule(
                self.now + retry_delay_s,
                Event::SendRequest(number, retry + 1),
            );
        } else {
            self.tally.record_query(self.scenario, query, None, since_s);
        }
    }
}

/// Returns the outcome of a request in the form that the rule checker takes.
fn request_outcome(answer: &FinalAnswer) -> RequestOutcome<'_> {
    match answer {
        FinalAnswer::Answered {
            complete, values, ..
        } => {
            let parts = values.iter().enumerate().filter_map(|(index, value)| {
                let value = value.as_deref()?;
                Some(AnswerPart { index, value })
            });
            RequestOutcome::Answered(*complete, parts.collect())
        }
        FinalAnswer::Rejected { retry_after_s, .. } => RequestOutcome::Rejected(*retry_after_s),
        FinalAnswer::Failed { .. } => RequestOutcome::Failed,
    }
}
