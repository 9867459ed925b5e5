//! The judge of a soak: goes through what was seen and names each broken rule.
//!
//! The rules are the operators' terms: what discovery has written to a mixer counts as told, whether or not it has arrived; a
//! change counts as told 6 s after discovery had it and could be reached, and where lists are pushed as soon as the agent has
//! it; what was told binds a mixer after the drain grace. Nothing is begun for a client that left; each request that was taken gets its final answer; keyed parts are repeated within their
//! window only; servers are told to work no longer than clients wait; processes don't crash and are ready in time. This file
//! must never look at anything but the history.

use super::history::{History, PartCall, ProcessEvent, ProcessRecord, Request, RequestEnd, Stall};
use super::plan::Terms;
use super::timeline::{NotificationTimes, ProcessSpans};
use std::collections::{BTreeMap, BTreeSet};

/// Slack of the rules on sockets (seconds).
const TOLERANCE_S: f64 = 0.05;
/// What may pass between the write of a mixer and the note of a stand-in, on a busy machine (seconds).
const MAX_RECORD_DELAY_S: f64 = 0.05;
/// An attempt for a client that left has begun by then (seconds).
const MAX_SEND_AFTER_DISCONNECT_S: f64 = 0.1;
/// The wait that a server is told may exceed what the client still waits by this (seconds).
const SENT_TIMEOUT_TOLERANCE_S: f64 = 0.15;
/// A mixer has to be ready so long after its start, and nine in ten of those that were restarted so long (seconds).
const MAX_TIME_TO_READY_S: f64 = 30.0;
const TARGET_TIME_TO_READY_S: f64 = 10.0;
const MAX_LATE_RESTART_SHARE: f64 = 0.1;
/// A process that stood still for longer excuses what was late meanwhile (seconds). The terms allow for less.
const MAX_UNEXCUSED_STOP_S: f64 = 0.15;

/// A rule of the terms.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Nothing to a server that drains or is gone, after the grace.
    Drain,
    /// Nothing begun for a client that left.
    ClientGone,
    /// A final answer to each request that was taken.
    Lost,
    /// Repeats of keyed parts within their window.
    Duplicate,
    /// The wait that servers are told.
    SentTimeout,
    /// No crash, and ready in time.
    Process,
    /// The mixer's own guard counted a violation.
    Invariants,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When (seconds).
    pub at: f64,
    /// What happened.
    pub description: String,
}

/// Goes through a history.
pub struct Checker<'a> {
    history: &'a History,
    terms: &'a Terms,
    notification_times: Vec<Vec<NotificationTimes>>, // by mixer, for each of its processes
    processes: Vec<ProcessSpans>,
    violations: Vec<Violation>,
}

impl<'a> Checker<'a> {
    /// Names all broken rules, in order of time.
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

    /// How long the stand-ins stood still in that time (seconds).
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
            format!("m{mixer} sent {request} to s{server}, told {late_s:.2} s before"),
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
                "m{mixer} began {} at s{server} {late_s:.2} s after its client left",
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
            format!("m{mixer} told {sent_timeout_s:.3} s for {id}, {left_s:.3} s are left"),
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
                format!("m{mixer} repeated {request}.{shard} after {after_s:.2} s"),
            );
        }
    }

    /// A kept connection that ends under a request which the mixer had read: a server knows of it.
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
                    "m{} {}: read, and its connection closed",
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
            // In a crowd a new connection may be shut unread.
            RequestEnd::ConnectionLost { is_reset: true, .. }
                if self.terms.has_descriptor_shortage && !reached_server =>
            {
                return
            }
            RequestEnd::ConnectionLost { at, .. } => (at, "closed with no answer"),
            RequestEnd::TimedOut => (until, "no answer in time"),
            _ => return,
        };
        let was_killed =
            processes.was_killed_within(request.at - MAX_RECORD_DELAY_S, ended_at + 1.0);
        let was_stopped = processes.longest_stop_s(request.at, until) > MAX_UNEXCUSED_STOP_S;
        if !was_killed && !was_stopped {
            let description = format!(
                "m{} {} of {:.3} s: {how}",
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
                ProcessEvent::GuardViolations(count) if count > 0 => {
                    let description = format!("m{mixer}: its guard counted {count} violations");
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
                "m{} was ready after {:.1} s, as too many were",
                start.mixer, start.time_to_ready_s
            );
            self.report(Rule::Process, start.at + start.time_to_ready_s, description);
        }
    }

    /// All starts of processes that were left alone until they were ready, or for long enough.
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

/// A start of a process.
struct Start {
    mixer: usize,
    at: f64,
    /// Until it was ready, or the end of the soak (seconds).
    time_to_ready_s: f64,
    is_restart: bool,
}
