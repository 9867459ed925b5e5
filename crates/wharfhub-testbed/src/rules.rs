//! Checker of the mixer's behaviour, used by every run in virtual time and on sockets.
//!
//! The checker relies only on messages between clients, mixers and leaf servers and on the scenario itself, never on the mixer's
//! own state, so that an error in that state can't hide a violation.

use crate::site::{Query, Scenario};
use std::collections::BTreeMap;

/// Rounding error allowed in sums of part weights.
const WEIGHT_SUM_TOLERANCE: f64 = 0.0001;
/// Maximum number of violations whose descriptions are kept; further ones are only counted.
const MAX_RECORDED_VIOLATIONS: usize = 8;

/// Returns the value that a leaf server sends for a part, with which the checker identifies the request, the shard and the leaf
/// server. `pre_check` marks the answer to a pre-check without a match.
pub fn part_value(id: &str, shard: u32, leaf_server: u32, pre_check: bool) -> String {
    format!(
        "{id}.{shard}@{leaf_server}{}",
        if pre_check { " none" } else { "" }
    )
}

/// Part of an answer as the client received it.
#[derive(Clone, Debug)]
pub struct AnswerPart<'a> {
    /// Index of the part in the query.
    pub index: usize,
    /// Value of the part.
    pub value: &'a str,
}

/// End of a request as the client saw it. A query is sent in one request or, with retries, in several.
#[derive(Clone, Debug)]
pub enum RequestOutcome<'a> {
    /// Answer, with the flag that claims it to be complete.
    Answered(bool, Vec<AnswerPart<'a>>),
    /// Rejection, with the time after which the client may retry (seconds).
    Rejected(f64),
    /// Failure without an answer.
    Failed,
    /// No final answer before the client's timeout, or before the client disconnected.
    Abandoned,
}

#[derive(Default)]
struct PartState {
    attempts: usize,
    in_flight: usize,           // attempts whose end the mixer waits for
    may_run_since: Option<f64>, // send time of the first attempt that may have run
}

#[derive(Default)]
struct RequestState {
    ended: bool,
    parts: BTreeMap<u32, PartState>, // by shard
}

/// Checker of one run.
pub struct RuleChecker {
    scenario: Scenario,
    requests: BTreeMap<String, RequestState>,
    unavailable_since: BTreeMap<(u32, u32), f64>, // by mixer and leaf server: notification of a drain or removal
    listed_starts: BTreeMap<(u32, u32), f64>, // by mixer and leaf server: latest start that the mixer knows
    slack_s: f64,
    /// Descriptions of the first violations, each beginning with the name of the rule.
    pub violations: Vec<String>,
    /// Number of violations.
    pub violation_count: u64,
}

impl RuleChecker {
    /// Creates a checker that extends every time limit by `slack_s` seconds.
    pub fn new(scenario: &Scenario, slack_s: f64) -> RuleChecker {
        let (requests, unavailable_since, listed_starts) =
            (BTreeMap::new(), BTreeMap::new(), BTreeMap::new());
        RuleChecker {
            scenario: scenario.clone(),
            requests,
            unavailable_since,
            listed_starts,
            slack_s,
            violations: Vec::new(),
            violation_count: 0,
        }
    }

    /// Records a violation.
    pub fn record_violation(&mut self, description: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(description);
        }
    }

    /// Records that a mixer was notified that a leaf server accepts new requests (`ready`), or that it drains or was removed.
    pub fn endpoint_listed(&mut self, now: f64, mixer: u32, leaf_server: u32, ready: bool) {
        if ready {
            self.unavailable_since.remove(&(mixer, leaf_server));
        } else {
            self.unavailable_since
                .entry((mixer, leaf_server))
                .or_insert(now);
        }
    }

    /// Records that a mixer was notified of the latest start of a leaf server.
    pub fn start_listed(&mut self, mixer: u32, leaf_server: u32, started_at: f64) {
        self.listed_starts.insert((mixer, leaf_server), started_at);
    }

    /// Returns whether a mixer was notified of this start of a leaf server. Servers that were warm from the beginning need no
    /// notification.
    pub fn knows_start(&self, mixer: u32, leaf_server: u32, started_at: f64) -> bool {
        started_at <= 0.0
            || self
                .listed_starts
                .get(&(mixer, leaf_server))
                .is_some_and(|known| *known >= started_at)
    }

    /// Checks an attempt that a mixer sends to a leaf server; `sent` is its shard and whether it is a pre-check.
    pub fn part_sent(
        &mut self,
        now: f64,
        (mixer, leaf_server): (u32, u32),
        id: &str,
        query: &Query,
        sent: (u32, bool),
    ) {
        let (shard, pre_check) = sent;
        let class = self.scenario.site.classes[query.class].clone();
        if let Some(notified_at) =
            self.unavailable_since
                .get(&(mixer, leaf_server))
                .filter(|notified_at| {
                    now > **notified_at + self.scenario.site.drain_grace_s + self.slack_s
                })
        {
            let late = now - notified_at;
            self.record_violation(format!(
                "drain: {id}.{shard} was sent to leaf server {leaf_server} {late:.3} s after the notification"
            ));
        }
        if !self.scenario.holds(leaf_server, shard) {
            self.record_violation(format!(
                "placement: {id}.{shard} was sent to leaf server {leaf_server}, which does not hold the shard"
            ));
        }
        if pre_check && !class.is_retryable() {
            self.record_violation(format!(
                "phases: {id}.{shard} of {} was pre-checked, but the class is not retryable",
                class.name
            ));
        }
        let slack_s = self.slack_s;
        let (is_retryable, window_s, name) =
            (class.is_retryable(), class.dedup_window_s, class.name);
        let entry = self.requests.entry(id.to_string()).or_default();
        let (has_ended, part) = (entry.ended, entry.parts.entry(shard).or_default());
        let after_s = part.may_run_since.map_or(0.0, |first| now - first);
        let late = !is_retryable && after_s > window_s + slack_s;
        part.attempts += 1;
        part.in_flight += 1;
        let (attempts, in_flight) = (part.attempts, part.in_flight);
        if has_ended {
            self.record_violation(format!(
                "ended: {id}.{shard} was sent after the final answer"
            ));
        }
        if late {
            self.record_violation(format!(
                "repeat: {id}.{shard} of {name} was sent again after the deduplication window, {after_s:.3} s after the \
                 first attempt"
            ));
        }
        if attempts > self.scenario.site.attempts.0 as usize {
            self.record_violation(format!("attempts: {id}.{shard} was sent {attempts} times"));
        }
        if in_flight > 1 && !self.scenario.site.attempts.1 {
            self.record_violation(format!(
                "copies: {in_flight} attempts of {id}.{shard} are in flight at once"
            ));
        }
    }

    /// Records that a mixer no longer waits for an attempt of a part.
    pub fn attempt_over(&mut self, id: &str, shard: u32) {
        if let Some(part) = self
            .requests
            .get_mut(id)
            .and_then(|request| request.parts.get_mut(&shard))
        {
            part.in_flight = part.in_flight.saturating_sub(1);
        }
    }

    /// Records that a leaf server got an attempt that was sent at `sent_at` and did not reject it, so the part may be executed.
    pub fn part_ran(&mut self, id: &str, shard: u32, sent_at: f64) {
        let part = self
            .requests
            .get_mut(id)
            .and_then(|request| request.parts.get_mut(&shard));
        if let Some(part) = part {
            part.may_run_since = Some(
                part.may_run_since
                    .map_or(sent_at, |first| first.min(sent_at)),
            );
        }
    }

    /// Records the start of a request.
    pub fn request_started(&mut self, id: &str) {
        self.requests.entry(id.to_string()).or_default();
    }

    /// Checks the end of a request, `took_s` after its start; the client waits for `timeout_s` (seconds).
    pub fn request_ended(
        &mut self,
        id: &str,
        query: &Query,
        outcome: &RequestOutcome,
        took_s: f64,
        timeout_s: f64,
    ) {
        let entry = self.requests.entry(id.to_string()).or_default();
        let may_have_run = entry
            .parts
            .values()
            .any(|part| part.may_run_since.is_some());
        let already_ended = std::mem::replace(&mut entry.ended, true);
        let class = self.scenario.site.classes[query.class].clone();
        if already_ended {
            return self.record_violation(format!("answers: {id} got a second final answer"));
        }
        if took_s > timeout_s + self.slack_s && !matches!(outcome, RequestOutcome::Abandoned) {
            self.record_violation(format!(
                "time: {id} was answered after {took_s:.3} s, with a timeout of {timeout_s:.3} s"
            ));
        }
        match outcome {
            RequestOutcome::Answered(complete, parts) => {
                let share: f64 = parts
                    .iter()
                    .map(|answer| query.parts[answer.index].weight)
                    .sum();
                if share + WEIGHT_SUM_TOLERANCE < class.min_share {
                    self.record_violation(format!(
                        "floor: {id} was answered with a share of {share:.3}, less than the class requires"
                    ));
                } else if *complete && share + WEIGHT_SUM_TOLERANCE < 1.0 {
                    self.record_violation(format!(
                        "whole: {id} was marked complete with a share of {share:.3}"
                    ));
                }
                for answer in parts {
                    self.check_value(id, query, answer);
                }
            }
            RequestOutcome::Rejected(_) if !class.is_retryable() && may_have_run => {
                self.record_violation(format!(
                    "refusal: {id} of {} was rejected after a leaf server had accepted a part",
                    class.name
                ));
            }
            RequestOutcome::Rejected(_) | RequestOutcome::Failed | RequestOutcome::Abandoned => {}
        }
    }

    /// Checks that a value comes from a leaf server that holds the shard and belongs to this request, and that a pre-check
    /// without a match is correct.
    fn check_value(&mut self, id: &str, query: &Query, answer: &AnswerPart) {
        let part = query.parts[answer.index];
        let pre_check = answer.value.ends_with(" none");
        let leaf_server = answer
            .value
            .split('@')
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse::<u32>().ok());
        let is_genuine = leaf_server.is_some_and(|leaf_server| {
            self.scenario.holds(leaf_server, part.shard)
                && answer.value == part_value(id, part.shard, leaf_server, pre_check)
        });
        if !is_genuine {
            self.record_violation(format!(
                "value: {id}.{} was answered with {:?}",
                part.shard, answer.value
            ));
        } else if pre_check && part.matches {
            self.record_violation(format!(
                "pruned: {id}.{} was pruned but has a match",
                part.shard
            ));
        }
    }

    /// Discards the notifications that a mixer received, because the mixer has died. The caller removes its open requests with
    /// [`RuleChecker::forget_request`].
    pub fn mixer_died(&mut self, mixer: u32) {
        self.unavailable_since
            .retain(|(other, _), _| *other != mixer);
        self.listed_starts.retain(|(other, _), _| *other != mixer);
    }

    /// Removes a request that no longer needs a final answer, because its mixer has died.
    pub fn forget_request(&mut self, id: &str) {
        self.requests.remove(id);
    }

    /// Records a violation for every request without a final answer; called at the end of the scenario.
    pub fn finish(&mut self) {
        let lost: Vec<String> = self
            .requests
            .iter()
            .filter(|(_, request)| !request.ended)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.record_violation(format!("lost: {id} got no final answer"));
        }
    }
}
