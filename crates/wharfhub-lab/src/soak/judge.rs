//! The judge of a soak: goes through what was seen and names each broken rule.
//!
//! The rules are the operators' terms: what a mixer was told, or counts as told, binds it after the drain grace; nothing is
//! begun for a client that left; each request that was taken gets its final answer; keyed parts are repeated within their
//! window only; servers are told to work no longer than clients wait; processes don't crash and are ready in time. This file
//! must never look at anything but the history.

use super::history::{History, PartCall, ProcessEvent, Request, RequestEnd, ServerPhase, Stall};
use super::plan::Terms;
use std::collections::BTreeMap;

/// A change counts as told so long after discovery had it and could be reached (seconds).
const TOLD_AFTER_S: f64 = 6.0;
/// Slack of the rules on sockets (seconds).
const SLACK_S: f64 = 0.05;
/// What may pass between the write of a mixer and the note of a stand-in, on a busy machine (seconds).
const NOTE_S: f64 = 0.05;
/// An attempt for a client that left has begun by then (seconds).
const AFTER_LEAVING_S: f64 = 0.1;
/// The wait that a server is told may exceed what the client still waits by this (seconds).
const TOLD_WAIT_SLACK_S: f64 = 0.15;
/// A mixer has to be ready so long after its start (seconds).
const READY_WITHIN_S: f64 = 10.0;
/// A process that stood still for longer excuses what was late meanwhile (seconds). The terms allow for less.
const MAX_HELD_UP_S: f64 = 0.15;
/// What counts as told before a process was there counts as told to it once it could reach discovery for so long (seconds).
const TOLD_AFTER_START_S: f64 = 3.0;

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
    ToldWait,
    /// No crash, and ready in time.
    Process,
    /// The mixer's own guard counted a violation.
    Guard,
}

/// A broken rule.
#[derive(Clone, Debug, PartialEq)]
pub struct Violation {
    /// Which.
    pub rule: Rule,
    /// When (seconds).
    pub at: f64,
    /// What happened.
    pub what: String,
}

/// A span of time.
#[derive(Clone, Copy, Debug)]
struct Span {
    from: f64,
    to: f64,
}

impl Span {
    fn overlaps(&self, from: f64, to: f64) -> bool {
        self.from < to && from < self.to
    }
}

/// When a process of a mixer counts as told of each version, in order of versions.
struct ToldTimes {
    started_at: f64,
    times: Vec<f64>,
}

impl ToldTimes {
    /// For each process of a mixer.
    fn of_all(history: &History, mixer: usize) -> Vec<ToldTimes> {
        let starts = history.processes.iter().filter(|record| record.mixer == mixer);
        let starts = starts.filter(|record| record.event == ProcessEvent::Started).map(|record| record.at);
        starts.map(|started_at| ToldTimes::of(history, mixer, started_at)).collect()
    }

    fn of(history: &History, mixer: usize, started_at: f64) -> ToldTimes {
        let mut away: Vec<Span> = history
            .unreachable
            .iter()
            .filter(|span| span.mixer.is_none_or(|other| other == mixer))
            .map(|span| Span { from: span.from, to: span.to })
            .collect();
        away.sort_by(|a, b| a.from.total_cmp(&b.from));
        let at_start = undisturbed_since(started_at, TOLD_AFTER_START_S, &away);
        let deemed = |changed_at: f64| undisturbed_since(changed_at, TOLD_AFTER_S, &away);
        let mut told: Vec<f64> =
            history.versions.iter().map(|version| deemed(version.at).max(at_start)).collect();
        // A process starts with the list that the one before last had.
        for answer in history.told.iter().filter(|answer| answer.mixer == mixer) {
            told[answer.version] = told[answer.version].min(answer.at.max(started_at));
        }
        // Who knows a version knows what was changed before it.
        for place in (0..told.len().saturating_sub(1)).rev() {
            told[place] = told[place].min(told[place + 1]);
        }
        ToldTimes { started_at, times: told }
    }

    /// Since when the mixer has been told that nothing may go to a server, as of then.
    fn unready_since(&self, history: &History, server: usize, at: f64) -> Option<f64> {
        let latest = self.times.iter().rposition(|told| *told <= at)?;
        let is_ready = |place: usize| history.versions[place].phases[server] == ServerPhase::Ready;
        let mut since = None;
        for place in (0..=latest).rev() {
            if is_ready(place) {
                break;
            }
            since = Some(self.times[place]);
        }
        since
    }
}

/// When discovery could be reached for so long on end, from that time on.
fn undisturbed_since(from: f64, for_s: f64, away: &[Span]) -> f64 {
    let mut from = from;
    for span in away {
        if span.overlaps(from, from + for_s) {
            from = from.max(span.to);
        }
    }
    from + for_s
}

/// What is known of the processes of one mixer.
#[derive(Default)]
struct Processes {
    stopped: Vec<Span>,
    /// From the kill, or the end, to the next start.
    down: Vec<Span>,
    ended_at: Vec<f64>, // kills, and ends that were asked for
}

impl Processes {
    fn of(history: &History, mixer: usize) -> Processes {
        let mut found = Processes::default();
        let (mut stopped_at, mut down_from) = (None, None);
        for record in history.processes.iter().filter(|record| record.mixer == mixer) {
            match record.event {
                ProcessEvent::Stopped => stopped_at = Some(record.at),
                ProcessEvent::Continued => {
                    let from = stopped_at.take().unwrap_or(record.at);
                    found.stopped.push(Span { from, to: record.at });
                }
                ProcessEvent::Killed | ProcessEvent::Ended | ProcessEvent::Crashed => {
                    found.ended_at.push(record.at);
                    down_from = Some(record.at);
                }
                ProcessEvent::Started => {
                    let from = down_from.take().unwrap_or(f64::NEG_INFINITY);
                    found.down.push(Span { from, to: record.at });
                }
                _ => {}
            }
        }
        found.down.extend(down_from.map(|from| Span { from, to: f64::INFINITY }));
        found
    }

    /// How long it stood still in that time, at most in one piece (seconds).
    fn held_up_s(&self, from: f64, to: f64) -> f64 {
        let inside = |span: &Span| span.to.min(to) - span.from.max(from);
        self.stopped.iter().map(inside).fold(0.0, f64::max)
    }

    fn was_killed_within(&self, from: f64, to: f64) -> bool {
        self.ended_at.iter().any(|at| (from..to).contains(at))
    }
}

/// Goes through a history.
pub struct Judge<'a> {
    history: &'a History,
    terms: &'a Terms,
    told: Vec<Vec<ToldTimes>>, // by mixer, for each of its processes
    processes: Vec<Processes>,
    violations: Vec<Violation>,
}

impl<'a> Judge<'a> {
    /// Names all broken rules, in order of time.
    pub fn judge(history: &'a History, terms: &'a Terms) -> Vec<Violation> {
        let mixers = 0..terms.mixers;
        let mut judge = Judge {
            history,
            terms,
            told: mixers.clone().map(|mixer| ToldTimes::of_all(history, mixer)).collect(),
            processes: mixers.map(|mixer| Processes::of(history, mixer)).collect(),
            violations: Vec::new(),
        };
        let requests: BTreeMap<&str, &Request> =
            history.requests.iter().map(|request| (request.id.as_str(), request)).collect();
        for call in &history.calls {
            judge.judge_drain(call);
            if let Some(request) = requests.get(call.request.as_str()) {
                judge.judge_client(call, request);
                judge.judge_told_wait(call, request);
            }
        }
        judge.judge_repeats(&requests);
        judge.judge_kept_connections(&requests);
        history.requests.iter().for_each(|request| judge.judge_answer(request));
        judge.judge_processes();
        judge.violations.sort_by(|a, b| a.at.total_cmp(&b.at));
        judge.violations
    }

    fn broken(&mut self, rule: Rule, at: f64, what: String) {
        self.violations.push(Violation { rule, at, what });
    }

    /// How long the stand-ins stood still in that time (seconds).
    fn stalled_s(&self, from: f64, to: f64) -> f64 {
        let inside = |stall: &Stall| (stall.to.min(to) - stall.from.max(from)).max(0.0);
        self.history.stalls.iter().map(inside).sum()
    }

    fn judge_drain(&mut self, call: &PartCall) {
        let process = self.told[call.mixer].iter().rfind(|told| told.started_at <= call.at);
        let since = process.and_then(|told| told.unready_since(self.history, call.server, call.at));
        let Some(since) = since else { return };
        let late_s = call.at - since - self.stalled_s(since, call.at);
        if late_s <= self.terms.drain_grace_s + SLACK_S + NOTE_S {
            return;
        }
        let PartCall { mixer, server, request, .. } = call;
        self.broken(
            Rule::Drain,
            call.at,
            format!("m{mixer} sent {request} to s{server}, told {late_s:.2} s before"),
        );
    }

    fn judge_client(&mut self, call: &PartCall, request: &Request) {
        let RequestEnd::Left { at: left_at } = request.end else { return };
        let late_s = call.at - left_at - self.stalled_s(left_at, call.at);
        if late_s <= AFTER_LEAVING_S + NOTE_S {
            return;
        }
        let PartCall { mixer, server, .. } = call;
        self.broken(
            Rule::ClientGone,
            call.at,
            format!("m{mixer} began {} at s{server} {late_s:.2} s after its client left", request.id),
        );
    }

    fn judge_told_wait(&mut self, call: &PartCall, request: &Request) {
        let left_s = request.at + request.wait_s - call.at;
        let beyond_s = call.told_wait_s - left_s - self.stalled_s(request.at, call.at);
        if beyond_s <= TOLD_WAIT_SLACK_S + NOTE_S {
            return;
        }
        let PartCall { mixer, told_wait_s, .. } = call;
        let id = &request.id;
        self.broken(
            Rule::ToldWait,
            call.at,
            format!("m{mixer} told {told_wait_s:.3} s for {id}, {left_s:.3} s are left"),
        );
    }

    fn judge_repeats(&mut self, requests: &BTreeMap<&str, &Request>) {
        let mut first: BTreeMap<(&str, u32), f64> = BTreeMap::new();
        let mut late = Vec::new();
        for call in &self.history.calls {
            let is_keyed = requests.get(call.request.as_str()).is_some_and(|request| request.keyed);
            if !is_keyed || call.never_ran {
                continue;
            }
            let first_at = *first.entry((&call.request, call.shard)).or_insert(call.at);
            if call.at - first_at > self.terms.window_s + SLACK_S + NOTE_S {
                late.push((call, call.at - first_at));
            }
        }
        for (call, after_s) in late {
            let PartCall { mixer, request, shard, .. } = call;
            self.broken(
                Rule::Duplicate,
                call.at,
                format!("m{mixer} repeated {request}.{shard} after {after_s:.2} s"),
            );
        }
    }

    /// A kept connection that ends under a request which the mixer had read: a server knows of it.
    fn judge_kept_connections(&mut self, requests: &BTreeMap<&str, &Request>) {
        let mut lost: BTreeMap<&str, (&Request, f64)> = BTreeMap::new();
        for call in &self.history.calls {
            let Some(request) = requests.get(call.request.as_str()) else { continue };
            if let Some(broke_at) = request.broke_on_kept_at.filter(|broke_at| call.at < *broke_at) {
                lost.insert(&request.id, (request, broke_at));
            }
        }
        for (request, broke_at) in lost.into_values() {
            let processes = &self.processes[request.mixer];
            if !processes.was_killed_within(broke_at - 1.0, broke_at + 1.0) {
                let what = format!("m{} {}: read, and its connection closed", request.mixer, request.id);
                self.broken(Rule::Lost, broke_at, what);
            }
        }
    }

    fn judge_answer(&mut self, request: &Request) {
        let until = request.at + request.wait_s + 0.5;
        let processes = &self.processes[request.mixer];
        let (ended_at, how) = match request.end {
            RequestEnd::Broken { at } => (at, "closed with no answer"),
            RequestEnd::Silent => (until, "no answer in time"),
            _ => return,
        };
        let was_killed = processes.was_killed_within(request.at - NOTE_S, ended_at + 1.0);
        let stood_still = processes.held_up_s(request.at, until) > MAX_HELD_UP_S;
        if !was_killed && !stood_still {
            let what = format!("m{} {} of {:.3} s: {how}", request.mixer, request.id, request.wait_s);
            self.broken(Rule::Lost, request.at, what);
        }
    }

    fn judge_processes(&mut self) {
        let mut started: BTreeMap<usize, f64> = BTreeMap::new();
        for record in self.history.processes.clone() {
            let mixer = record.mixer;
            match record.event {
                ProcessEvent::Started => drop(started.insert(mixer, record.at)),
                ProcessEvent::Killed | ProcessEvent::ToldToEnd => drop(started.remove(&mixer)),
                ProcessEvent::Ready => {
                    let Some(at) = started.remove(&mixer) else { continue };
                    let took_s = record.at - at - self.processes[mixer].held_up_s(at, record.at);
                    if took_s > READY_WITHIN_S {
                        self.broken(
                            Rule::Process,
                            record.at,
                            format!("m{mixer} was ready after {took_s:.1} s"),
                        );
                    }
                }
                ProcessEvent::Crashed => self.broken(Rule::Process, record.at, format!("m{mixer} crashed")),
                ProcessEvent::Violations(count) if count > 0 => {
                    let what = format!("m{mixer}: its guard counted {count} violations");
                    self.broken(Rule::Guard, record.at, what);
                }
                _ => {}
            }
        }
        for (mixer, at) in started {
            let was_long = self.terms.length_s - at > READY_WITHIN_S;
            if was_long {
                self.broken(
                    Rule::Process,
                    self.terms.length_s,
                    format!("m{mixer}, started at {at:.1}, is not ready"),
                );
            }
        }
    }
}
