//! The rules of the brief, checked from outside on every run, in virtual time and on sockets alike.
//!
//! This file owns what is remembered of requests and attempts to judge them. It must never ask the mixer what it
//! thinks: only what crossed the wire counts, and how the scenario really was.

use crate::site::{Query, Scenario};
use std::collections::BTreeMap;

/// Rounding that sums of weights may show.
const WEIGHT_SUM_TOLERANCE: f64 = 0.0001;
/// Violations that are told; of more only the number is.
const MAX_RECORDED_VIOLATIONS: usize = 8;

/// A part of a value as a stand-in writes it: request, shard, leaf server, and whether it is a word.
pub fn value(id: &str, shard: u32, leaf_server: u32, word: bool) -> String {
    format!(
        "{id}.{shard}@{leaf_server}{}",
        if word { " none" } else { "" }
    )
}

/// A part of an answer as its client got it.
#[derive(Clone, Debug)]
pub struct AnswerPart<'a> {
    /// Its place among the query's parts.
    pub index: usize,
    /// Its value.
    pub value: &'a str,
}

/// How a try ended, as its client saw it.
#[derive(Clone, Debug)]
pub enum RequestOutcome<'a> {
    /// Answered, and whether it was called whole.
    Answered(bool, Vec<AnswerPart<'a>>),
    /// Refused, with the time to come back (seconds).
    Rejected(f64),
    /// Failed.
    Failed,
    /// The client's time was up, or it left.
    Abandoned,
}

#[derive(Default)]
struct PartState {
    attempts: usize,
    in_flight: usize, // of these, the ones of which the mixer waits for the end
    may_run_since: Option<f64>, // when the first was sent that may have run
}

#[derive(Default)]
struct RequestState {
    ended: bool,
    parts: BTreeMap<u32, PartState>, // by shard
}

/// The judge of one run.
pub struct RuleChecker {
    scenario: Scenario,
    requests: BTreeMap<String, RequestState>,
    unavailable_since: BTreeMap<(u32, u32), f64>, // when a mixer was told that a leaf server drains or is gone
    listed_starts: BTreeMap<(u32, u32), f64>, // the latest start of a leaf server that a mixer was told of
    slack_s: f64,
    /// What was broken, in words.
    pub violations: Vec<String>,
    /// How often.
    pub violation_count: u64,
}

impl RuleChecker {
    /// A judge; every time limit is so much longer (seconds).
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

    /// Notes a violation.
    pub fn record_violation(&mut self, what: String) {
        self.violation_count += 1;
        if self.violations.len() < MAX_RECORDED_VIOLATIONS {
            self.violations.push(what);
        }
    }

    /// A mixer was told that a leaf server may get something new, or may not.
    pub fn endpoint_listed(&mut self, now: f64, mixer: u32, leaf_server: u32, ready: bool) {
        if ready {
            self.unavailable_since.remove(&(mixer, leaf_server));
        } else {
            self.unavailable_since
                .entry((mixer, leaf_server))
                .or_insert(now);
        }
    }

    /// A mixer was told when a leaf server last started.
    pub fn start_listed(&mut self, mixer: u32, leaf_server: u32, started_at: f64) {
        self.listed_starts.insert((mixer, leaf_server), started_at);
    }

    /// Whether a mixer was told of this start of a leaf server.
    pub fn knows_start(&self, mixer: u32, leaf_server: u32, started_at: f64) -> bool {
        started_at <= 0.0
            || self
                .listed_starts
                .get(&(mixer, leaf_server))
                .is_some_and(|notified| *notified >= started_at)
    }

    /// A mixer sent a part to a leaf server: which shard, and whether it only pre-checked.
    pub fn part_sent(
        &mut self,
        now: f64,
        (mixer, leaf_server): (u32, u32),
        id: &str,
        query: &Query,
        asked: (u32, bool),
    ) {
        let (shard, pre_check) = asked;
        let class = self.scenario.site.classes[query.class].clone();
        if let Some(notified) = self
            .unavailable_since
            .get(&(mixer, leaf_server))
            .filter(|notified| now > **notified + self.scenario.site.drain_grace_s + self.slack_s)
        {
            let late = now - notified;
            self.record_violation(format!(
                "drain: {id}.{shard} went to box {leaf_server} {late:.3} s after it was told"
            ));
        }
        if !self.scenario.holds(leaf_server, shard) {
            self.record_violation(format!(
                "placement: {id}.{shard} went to box {leaf_server}, which does not hold it"
            ));
        }
        if pre_check && !class.is_retryable() {
            self.record_violation(format!(
                "phases: {id}.{shard} of {} was asked ahead",
                class.name
            ));
        }
        let slack_s = self.slack_s;
        let (safe, window_s, name) = (class.is_retryable(), class.dedup_window_s, class.name);
        let entry = self.requests.entry(id.to_string()).or_default();
        let (over, sends) = (entry.ended, entry.parts.entry(shard).or_default());
        let after_s = sends.may_run_since.map_or(0.0, |first| now - first);
        let late = !safe && after_s > window_s + slack_s;
        sends.attempts += 1;
        sends.in_flight += 1;
        let (attempts, in_flight) = (sends.attempts, sends.in_flight);
        if over {
            self.record_violation(format!(
                "ended: {id}.{shard} was sent after its final answer"
            ));
        }
        if late {
            self.record_violation(format!("repeat: {id}.{shard} of {name} was sent again beyond its window, {after_s:.3} s after the first"));
        }
        if attempts > self.scenario.site.attempts.0 as usize {
            self.record_violation(format!("attempts: {id}.{shard} was sent {attempts} times"));
        }
        if in_flight > 1 && !self.scenario.site.attempts.1 {
            self.record_violation(format!(
                "copies: {in_flight} attempts of {id}.{shard} are out at once"
            ));
        }
    }

    /// A mixer no longer waits for an attempt of a part.
    pub fn attempt_over(&mut self, id: &str, shard: u32) {
        if let Some(part) = self
            .requests
            .get_mut(id)
            .and_then(|one| one.parts.get_mut(&shard))
        {
            part.in_flight = part.in_flight.saturating_sub(1);
        }
    }

    /// A leaf server took a part that was sent at that time: it may run.
    pub fn part_ran(&mut self, id: &str, shard: u32, sent_at: f64) {
        let part = self
            .requests
            .get_mut(id)
            .and_then(|one| one.parts.get_mut(&shard));
        if let Some(part) = part {
            part.may_run_since = Some(
                part.may_run_since
                    .map_or(sent_at, |first| first.min(sent_at)),
            );
        }
    }

    /// A try began.
    pub fn request_started(&mut self, id: &str) {
        self.requests.entry(id.to_string()).or_default();
    }

    /// A try ended; `took_s` of the `timeout_s` that its client waits (seconds).
    pub fn request_ended(
        &mut self,
        id: &str,
        query: &Query,
        ended: &RequestOutcome,
        took_s: f64,
        timeout_s: f64,
    ) {
        let entry = self.requests.entry(id.to_string()).or_default();
        let ran = entry
            .parts
            .values()
            .any(|part| part.may_run_since.is_some());
        let again = std::mem::replace(&mut entry.ended, true);
        let class = self.scenario.site.classes[query.class].clone();
        if again {
            return self.record_violation(format!("answers: {id} got a second final answer"));
        }
        if took_s > timeout_s + self.slack_s && !matches!(ended, RequestOutcome::Abandoned) {
            self.record_violation(format!(
                "time: {id} was answered {took_s:.3} s into {timeout_s:.3} s"
            ));
        }
        match ended {
            RequestOutcome::Answered(complete, pieces) => {
                let share: f64 = pieces
                    .iter()
                    .map(|piece| query.parts[piece.index].weight)
                    .sum();
                if share + WEIGHT_SUM_TOLERANCE < class.min_share {
                    self.record_violation(format!(
                        "floor: {id} was answered from a share of {share:.3}"
                    ));
                } else if *complete && share + WEIGHT_SUM_TOLERANCE < 1.0 {
                    self.record_violation(format!(
                        "whole: {id} was called whole at a share of {share:.3}"
                    ));
                }
                for piece in pieces {
                    self.check_value(id, query, piece);
                }
            }
            RequestOutcome::Rejected(_) if !class.is_retryable() && ran => {
                self.record_violation(format!(
                    "refusal: {id} of {} was refused after a box took it",
                    class.name
                ));
            }
            RequestOutcome::Rejected(_) | RequestOutcome::Failed | RequestOutcome::Abandoned => {}
        }
    }

    /// A value must be made by a leaf server that holds the part, for this very request; a word must be true.
    fn check_value(&mut self, id: &str, query: &Query, piece: &AnswerPart) {
        let part = query.parts[piece.index];
        let word = piece.value.ends_with(" none");
        let leaf_server = piece
            .value
            .split('@')
            .nth(1)
            .and_then(|rest| rest.split(' ').next()?.parse::<u32>().ok());
        let made = leaf_server.is_some_and(|leaf_server| {
            self.scenario.holds(leaf_server, part.shard)
                && piece.value == value(id, part.shard, leaf_server, word)
        });
        if !made {
            self.record_violation(format!(
                "value: {id}.{} was answered with {:?}",
                part.shard, piece.value
            ));
        } else if word && part.matches {
            self.record_violation(format!("pruned: {id}.{} has a match", part.shard));
        }
    }

    /// A mixer has died: what it was told counts no more, and nobody owes an answer to what it held.
    pub fn mixer_died(&mut self, mixer: u32) {
        self.unavailable_since
            .retain(|(notified, _), _| *notified != mixer);
        self.listed_starts
            .retain(|(notified, _), _| *notified != mixer);
    }

    /// Nobody owes an answer to this try any more.
    pub fn forget_request(&mut self, id: &str) {
        self.requests.remove(id);
    }

    /// The scenario is over: tries without an answer are lost.
    pub fn finish(&mut self) {
        let lost: Vec<String> = self
            .requests
            .iter()
            .filter(|(_, one)| !one.ended)
            .map(|(id, _)| id.clone())
            .collect();
        for id in lost {
            self.record_violation(format!("lost: {id} got no final answer"));
        }
    }
}
