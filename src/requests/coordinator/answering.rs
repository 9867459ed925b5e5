//! Final answers of the coordinator and the metrics that are recorded with them. The contents of an answer are determined
//! in [`response`](crate::requests::response).

use super::Coordinator;
use crate::decisions::api::{Effect, Event, QueryId};
use crate::requests::command::{Command, Wake};
use crate::requests::metrics::{increment, ClassMetrics};
use crate::requests::part::PartState;
use crate::requests::query_request::QueryRequest;
use crate::requests::recent_requests::RequestEnd;
use crate::requests::request::{Request, RequestKey};
use crate::requests::response::{FinalAnswer, Reason};

impl Coordinator {
    /// Finishes an open query with the answer that `final_answer` returns.
    pub(super) fn finish_query(
        &mut self,
        now: f64,
        query: QueryId,
        out: &mut Vec<Command>,
        final_answer: impl FnOnce(&Request) -> FinalAnswer,
    ) {
        let Some(key) = self.queries.get(&query).copied() else {
            return;
        };
        let answer = final_answer(&self.requests[key]);
        self.finish(now, key, answer, out);
    }

    /// Finishes an open query with a rejection, or with a failure if something with an effect may have been executed.
    pub(super) fn reject(
        &mut self,
        now: f64,
        query: QueryId,
        retry_after_s: f64,
        out: &mut Vec<Command>,
    ) {
        let Some(key) = self.queries.get(&query).copied() else {
            return;
        };
        let request = &self.requests[key];
        let mut parts = request.parts.iter().filter_map(|id| self.parts.get(id));
        let has_attempt_in_flight = parts.any(PartState::is_in_flight);
        let reason = if now < self.list_valid_until {
            Reason::Overload
        } else {
            Reason::StaleList
        };
        let answer = request.rejection(has_attempt_in_flight, reason, retry_after_s);
        self.finish(now, key, answer, out);
    }

    /// Ends a request whose client has sent so much more that its disconnect could not be detected: nothing further is sent for it.
    pub fn client_unreadable(&mut self, now: f64, key: RequestKey, out: &mut Vec<Command>) {
        let Some(request) = self.requests.get(key) else {
            return;
        };
        let query = request.query;
        let mut parts = request.parts.iter().filter_map(|id| self.parts.get(id));
        let has_attempt_in_flight = parts.any(PartState::is_in_flight);
        let answer = request.rejection(has_attempt_in_flight, Reason::ReadAhead, 0.0);
        self.finish(now, key, answer, out);
        self.handle_event(now, Event::ClientDisconnected(query), out);
    }

    /// Counts a query that is rejected before it is accepted.
    pub fn count_rejected(&mut self, query_request: &QueryRequest, reason: Reason) {
        let metrics = &mut self.metrics[query_request.protocol as usize];
        increment(&mut metrics.rejected, reason);
        if let Some(metrics) = self.class_metrics(query_request) {
            metrics.rejected += 1;
        }
    }

    /// Removes an open request and issues its final answer. Every final answer passes through this method.
    pub(super) fn finish(
        &mut self,
        now: f64,
        key: RequestKey,
        answer: FinalAnswer,
        out: &mut Vec<Command>,
    ) {
        let Some(request) = self.remove_request(key, out) else {
            return;
        };
        self.keep_id(now, &request, RequestEnd::Answered);
        self.withdraw_unsent(now, &request, out);
        let took_s = now - request.accepted_at;
        self.verify_in_time(now, &request, out);
        self.count_answer(&request, &answer, took_s);
        out.push(Command::Reply {
            caller: request.caller,
            answer,
            query_request: request.query_request,
            took_s,
        });
    }

    fn verify_in_time(&mut self, now: f64, request: &Request, out: &mut Vec<Command>) {
        let deadline = request.client_deadline_bounds();
        let verification = self.invariants.verify_answer(now, deadline);
        let Some((finding, rule)) = verification.finding() else {
            return;
        };
        let id = &request.query_request.id;
        let rule = rule.label();
        let took_s = now - request.accepted_at;
        let earliest_s = deadline.earliest - request.accepted_at;
        let latest_s = deadline.latest - request.accepted_at;
        out.push(Command::Log(format!(
            "invariant {finding}: {rule}: request {id} is answered after {took_s:.3} s, its client waited for {earliest_s:.3} to {latest_s:.3} s"
        )));
    }

    fn count_answer(&mut self, request: &Request, answer: &FinalAnswer, took_s: f64) {
        let metrics = &mut self.metrics[request.query_request.protocol as usize];
        match answer {
            FinalAnswer::Answered { .. } => {}
            FinalAnswer::Rejected { reason, .. } => increment(&mut metrics.rejected, *reason),
            FinalAnswer::Failed { reason, .. } => increment(&mut metrics.failed, *reason),
        }
        let latency_objective_s = request.class_settings.latency_objective_s;
        let Some(metrics) = self.class_metrics(&request.query_request) else {
            return;
        };
        match answer {
            FinalAnswer::Answered { complete, .. } => {
                metrics.answered += 1;
                metrics.partial += u64::from(!*complete);
                metrics.within_objective += u64::from(took_s <= latency_objective_s);
            }
            FinalAnswer::Rejected { .. } => metrics.rejected += 1,
            FinalAnswer::Failed { .. } => metrics.failed += 1,
        }
    }

    pub(super) fn class_metrics(
        &mut self,
        query_request: &QueryRequest,
    ) -> Option<&mut ClassMetrics> {
        self.metrics[query_request.protocol as usize]
            .classes
            .get_mut(&query_request.class_name)
    }

    /// Keeps the id of a request that has ended, if executing it again would do harm and it may have been executed.
    pub(super) fn keep_id(&mut self, now: f64, request: &Request, end: RequestEnd) {
        let settings = &request.class_settings;
        let mut parts = request.parts.iter().filter_map(|id| self.parts.get(id));
        let may_have_run = request.may_have_run || parts.any(PartState::is_in_flight);
        if settings.effect != Effect::Idempotent && may_have_run {
            let id = &request.query_request.id;
            self.recent_requests
                .insert(now, id, settings.deadline_s, end);
        }
    }

    /// Removes a request from the open ones. Parts with attempts in flight are kept until these attempts end.
    pub(super) fn remove_request(
        &mut self,
        key: RequestKey,
        out: &mut Vec<Command>,
    ) -> Option<Request> {
        let request = self.requests.remove(key)?;
        if let Some(at) = request.wake_at {
            let wake = Wake::Request(key);
            out.push(Command::CancelWake { at, wake });
        }
        self.queries.remove(&request.query);
        self.open_ids.remove(&request.query_request.id);
        self.open_count -= 1 + request.parts.len();
        for id in &request.parts {
            if let Some(part) = self.parts.get_mut(id) {
                part.request = None;
                if !part.is_in_flight() {
                    self.parts.remove(id);
                }
            }
        }
        Some(request)
    }
}
