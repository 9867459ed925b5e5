//! Checks the recorded history of a soak against the operators' terms and reports each violation.
//!
//! A mixer counts as notified of a change once discovery has written an answer with that change to the mixer, even if the answer
//! did not arrive, and at the latest 6 s after discovery had the change and could be reached. Where lists are pushed, the mixer
//! counts as notified as soon as its agent has the change. From the end of the drain grace after the notification on, the mixer
//! must not send to a server that is draining or removed.
//!
//! In addition, no attempt starts for a client that has disconnected, each accepted request gets its final answer, keyed parts
//! are repeated only within their deduplication window, the timeout sent to a server is no longer than the client still waits,
//! and mixer processes do not crash and are ready in time.
//!
//! The history is the checker's only input.

use super::history::{History, PartCall, ProcessEvent, ProcessRecord, Request, RequestEnd, Stall};
use super::plan::Terms;
use super::timeline::{NotificationTimes, ProcessSpans};
use std::collections::{BTreeMap, BTreeSet};

/// Tolerance for sends over sockets that are due by a limit of the terms (seconds).
const TOLERANCE_S: f64 = 0.05;
/// Longest time between a write by a mixer and its record by a stand-in on a busy machine (seconds).
const MAX_RECORD_DELAY_S: f64 = 0.05;
/// Longest time after a client's disconnect at which an attempt for that client may still start (seconds).
const MAX_SEND_AFTER_DISCONNECT_S: f64 = 0.1;
/// Amount by which the timeout sent to a server may exceed the time that the client still waits (seconds).
const SENT_TIMEOUT_TOLERANCE_S: f64 = 0.15;
/// Time from its start within which each mixer has to be ready (seconds).
const MAX_TIME_TO_READY_S: f64 = 30.0;
/// Time from its start within which nine in ten restarted mixers have to be ready (seconds).
const TARGET_TIME_TO_READY_S: f64 = 10.0;
const MAX_LATE_RESTART_SHARE: f64 = 0.1;
/// A request without an answer is excused if its mixer was stopped for longer than this meanwhile (seconds). The terms leave
/// room for shorter stops.
const MAX_UNEXCUSED_STOP_S: f64 = 0.15;

/// A rule of the operators' terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// No part goes to a draining or removed server after the drain grace.
    Drain,
    /// No attempt starts for a client that has disconnected.
    ClientGone,
    /// Each accepted request gets a final answer.
    Lost,
    /// Keyed parts are repeated only within their deduplication window.
    Duplicate,
    /// The timeout sent to a server does not exceed the time that the client still waits.
    SentTimeout,
    /// Mixer processes do not crash and are ready in time.
    Process,
    /// The mixers' own invariant checks count no violation.
    Invariants,
}

/// A violation of a rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// Time of the action, or of the request without an answer (seconds since the start of the soak).
    pub at: f64,
    /// The action that violated the rule, with its mixer and values.
    pub description: String,
}

/// The check of one history.
pub struct Checker<'a> {
    history: &'a History,
    terms: &'a Terms,
    notification_times: Vec<Vec<NotificationTimes>>, // by mixer and process
    processes: Vec<ProcessSpans>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    /// Returns all violations in order of time.
    pub fn check(history: &'a History, terms: &'a Terms) -> Vec<Violation> {
        let mixers = 0..terms.mixers;
        let mut checker = Checker {
            history,
            terms,
            notification_times: mixers
                .clone()
                .map(|mixer| NotificationTimes::of_processes(history, terms, mixer))
                .collect(),
            processes: mixers
                .map(|mixer| ProcessSpans::of(history, mixer))
                .collect(),
            violations: Vec::new(),
        };
        let requests: BTreeMap<&str, &Request> = history
            .requests
            .iter()
            .map(|request| (request.id.as_str(), request))
            .collect();
        for call in &history.calls {
            checker.check_drain(call);
            if let Some(request) = requests.get(call.request.as_str()) {
                checker.check_client_disconnect(call, request);
                checker.check_sent_timeout(call, request);
            }
        }
        checker.check_dedup_window(&requests);
        checker.check_reused_connections(&requests);
        let sent_requests: BTreeSet<&str> = history
            .calls
            .iter()
            .map(|call| call.request.as_str())
            .collect();
        for request in &history.requests {
            checker.check_final_answer(request, sent_requests.contains(request.id.as_str()));
        }
        checker.check_processes();
        checker.violations.sort_by(|a, b| a.at.total_cmp(&b.at));
        checker.violations
    }

    fn report(&mut self, rule: Rule, at: f64, description: String) {
        self.violations.push(Violation {
            rule,
            at,
            description,
        });
    }

    /// Returns for how long the stand-ins were stalled between `from` and `to` (seconds).
    fn stand_in_stall_s(&self, from: f64, to: f64) -> f64 {
        let inside = |stall: &Stall| (stall.to.min(to) - stall.from.max(from)).max(0.0);
        self.history.stalls.iter().map(inside).sum()
    }

    fn check_drain(&mut self, call: &PartCall) {
        let process = self.notification_times[call.mixer]
            .iter()
            .rfind(|process| process.started_at <= call.at);
        let since =
            process.and_then(|process| process.unready_since(self.history, call.server, call.at));
        let Some(since) = since else { return };
        let late_s = call.at - since - self.stand_in_stall_s(since, call.at);
        if late_s <= self.terms.drain_grace_s + TOLERANCE_S + MAX_RECORD_DELAY_S {
            return;
        }
        let PartCall {
            mixer,
            server,
            request,
            ..
        } = call;
        self.report(
            Rule::Drain,
            call.at,
            format!("m{mixer} sent {request} to s{server} {late_s:.2} s after it was notified that s{server} is not ready"),
        );
    }

    fn check_client_disconnect(&mut self, call: &PartCall, request: &Request) {
        let RequestEnd::ClientClosed { at: closed_at } = request.end else {
            return;
        };
        let late_s = call.at - closed_at - self.stand_in_stall_s(closed_at, call.at);
        if late_s <= MAX_SEND_AFTER_DISCONNECT_S + MAX_RECORD_DELAY_S {
            return;
        }
        let PartCall { mixer, server, .. } = call;
        self.report(
            Rule::ClientGone,
            call.at,
            format!(
                "m{mixer} started {} at s{server} {late_s:.2} s after the client disconnected",
                request.id
            ),
        );
    }

    fn check_sent_timeout(&mut self, call: &PartCall, request: &Request) {
        let left_s = request.at + request.timeout_s - call.at;
        let beyond_s = call.sent_timeout_s - left_s - self.stand_in_stall_s(request.at, call.at);
        if beyond_s <= SENT_TIMEOUT_TOLERANCE_S + MAX_RECORD_DELAY_S {
            return;
        }
        let PartCall {
            mixer,
            sent_timeout_s,
            ..
        } = call;
        let id = &request.id;
        self.report(
            Rule::SentTimeout,
            call.at,
            format!(
                "m{mixer} sent a timeout of {sent_timeout_s:.3} s for {id} with {left_s:.3} s left"
            ),
        );
    }

    fn check_dedup_window(&mut self, requests: &BTreeMap<&str, &Request>) {
        let mut first_sent_at: BTreeMap<(&str, u32), f64> = BTreeMap::new();
        let mut late = Vec::new();
        for call in &self.history.calls {
            let is_keyed = requests
                .get(call.request.as_str())
                .is_some_and(|request| request.keyed);
            if !is_keyed || call.never_ran {
                continue;
            }
            let first_at = *first_sent_at
                .entry((&call.request, call.shard))
                .or_insert(call.at);
            if call.at - first_at > self.terms.dedup_window_s + TOLERANCE_S + MAX_RECORD_DELAY_S {
                late.push((call, call.at - first_at));
            }
        }
        for (call, after_s) in late {
            let PartCall {
                mixer,
                request,
                shard,
                ..
            } = call;
            self.report(
                Rule::Duplicate,
                call.at,
                format!("m{mixer} repeated keyed part {request}.{shard} after {after_s:.2} s"),
            );
        }
    }

    /// Reports requests on a reused connection that the mixer closed without an answer after it had read them. A part of the
    /// request that reached a server before the close shows that the mixer had read it.
    fn check_reused_connections(&mut self, requests: &BTreeMap<&str, &Request>) {
        let mut lost: BTreeMap<&str, (&Request, f64)> = BTreeMap::new();
        for call in &self.history.calls {
            let Some(request) = requests.get(call.request.as_str()) else {
                continue;
            };
            if let Some(lost_at) = request
                .reused_connection_lost_at
                .filter(|lost_at| call.at < *lost_at)
            {
                lost.insert(&request.id, (request, lost_at));
            }
        }
        for (request, lost_at) in lost.into_values() {
            let processes = &self.processes[request.mixer];
            if !processes.was_killed_within(lost_at - 1.0, lost_at + 1.0) {
                let description = format!(
                    "m{} {}: connection closed without an answer after the request was read",
                    request.mixer, request.id
                );
                self.report(Rule::Lost, lost_at, description);
            }
        }
    }

    fn check_final_answer(&mut self, request: &Request, reached_server: bool) {
        let until = request.at + request.timeout_s + 0.5;
        let processes = &self.processes[request.mixer];
        let (ended_at, how) = match request.end {
            // A mixer short of descriptors may close a new connection without reading from it.
            RequestEnd::ConnectionLost { is_reset: true, .. }
                if self.terms.has_descriptor_shortage && !reached_server =>
            {
                return
            }
            RequestEnd::ConnectionLost { at, .. } => (at, "connection closed without an answer"),
            RequestEnd::TimedOut => (until, "no answer in time"),
            _ => return,
        };
        let was_killed =
            processes.was_killed_within(request.at - MAX_RECORD_DELAY_S, ended_at + 1.0);
        let was_stopped = processes.longest_stop_s(request.at, until) > MAX_UNEXCUSED_STOP_S;
        if !was_killed && !was_stopped {
            let description = format!(
                "m{} {} with a timeout of {:.3} s: {how}",
                request.mixer, request.id, request.timeout_s
            );
            self.report(Rule::Lost, request.at, description);
        }
    }

    fn check_processes(&mut self) {
        for record in &self.history.processes {
            let ProcessRecord { mixer, at, event } = *record;
            match event {
                ProcessEvent::Crashed => {
                    self.report(Rule::Process, at, format!("m{mixer} crashed"))
                }
                ProcessEvent::InvariantViolations(count) if count > 0 => {
                    let description =
                        format!("m{mixer}: the invariant checks counted {count} violations");
                    self.report(Rule::Invariants, at, description);
                }
                _ => {}
            }
        }
        self.check_starts();
    }

    fn check_starts(&mut self) {
        let starts = self.starts();
        let late = |within_s: f64| move |start: &&Start| start.time_to_ready_s > within_s;
        for start in starts.iter().filter(late(MAX_TIME_TO_READY_S)) {
            let description = format!(
                "m{} was not ready within {MAX_TIME_TO_READY_S} s",
                start.mixer
            );
            self.report(Rule::Process, start.at + start.time_to_ready_s, description);
        }
        let restarts: Vec<&Start> = starts.iter().filter(|start| start.is_restart).collect();
        let late_restarts: Vec<&Start> = restarts
            .iter()
            .copied()
            .filter(late(TARGET_TIME_TO_READY_S))
            .collect();
        if late_restarts.len() as f64 <= MAX_LATE_RESTART_SHARE * restarts.len() as f64 {
            return;
        }
        for start in late_restarts
            .into_iter()
            .filter(|start| start.time_to_ready_s <= MAX_TIME_TO_READY_S)
        {
            let description = format!(
                "m{} was ready after {:.1} s, as too many restarted mixers were",
                start.mixer, start.time_to_ready_s
            );
            self.report(Rule::Process, start.at + start.time_to_ready_s, description);
        }
    }

    /// Returns the starts of processes that were ready before they crashed or got a signal to end, and those still not ready
    /// at the end of the soak.
    fn starts(&self) -> Vec<Start> {
        let mut starts = Vec::new();
        let mut starting: BTreeMap<usize, f64> = BTreeMap::new();
        let mut started_before: BTreeSet<usize> = BTreeSet::new();
        let ended = [
            ProcessEvent::Killed,
            ProcessEvent::SigtermSent,
            ProcessEvent::Crashed,
        ];
        for record in &self.history.processes {
            let mixer = record.mixer;
            if record.event == ProcessEvent::Started {
                starting.insert(mixer, record.at);
            } else if ended.contains(&record.event) {
                starting.remove(&mixer);
                started_before.insert(mixer);
            } else if record.event == ProcessEvent::Ready {
                let Some(at) = starting.remove(&mixer) else {
                    continue;
                };
                starts.push(self.start(mixer, at, record.at, started_before.contains(&mixer)));
            }
        }
        let duration_s = self.terms.duration_s;
        starts.extend(starting.iter().map(|(mixer, at)| {
            self.start(*mixer, *at, duration_s, started_before.contains(mixer))
        }));
        starts
    }

    fn start(&self, mixer: usize, at: f64, ready_at: f64, is_restart: bool) -> Start {
        Start {
            mixer,
            at,
            time_to_ready_s: ready_at - at - self.processes[mixer].longest_stop_s(at, ready_at),
            is_restart,
        }
    }
}

/// A start of a mixer process.
struct Start {
    mixer: usize,
    at: f64,
    /// Time until the process was ready, or until the end of the soak, without the longest stop (seconds).
    time_to_ready_s: f64,
    is_restart: bool,
}
