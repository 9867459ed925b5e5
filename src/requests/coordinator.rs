//! The coordinator: every open request, around the decision module.
//!
//! This file owns every request from its acceptance to its one final answer, and every attempt from its sending to its one
//! outcome. It feeds the decision module events, and carries the module's actions out as [`Command`]s for whoever owns the
//! sockets. Whatever the module says, it enforces what must always hold: one final answer for each request, before its
//! client's deadline; a rejection only where nothing with an effect may have been executed; no answer below the floor of its
//! class; `mostHeld`; the bound on attempts. It must never know a wire, a socket or JSON, never read a clock (time is passed
//! in) and never choose a replica.

mod answering;
mod attempts;

pub use crate::requests::attempt::{AttemptKey, CallPart};
pub use crate::requests::command::{Command, Wake};
pub use crate::requests::process_load::ProcessLoad;
pub use crate::requests::query_request::{PartRequest, Protocol, QueryRequest};
pub use crate::requests::request::RequestKey;
pub use crate::requests::response::{FinalAnswer, Reason};

use crate::config::Deployment;
use crate::decisions::api::*;
use crate::decisions::learned_state::LearnedState;
use crate::decisions::two_phase::{PhaseStatistics, TwoPhasePlanner};
use crate::requests::attempt::{Attempt, CallQueue};
use crate::requests::invariants::Invariants;
use crate::requests::metrics::Metrics;
use crate::requests::module_settings::{
    former_indices, module_classes, module_settings, new_phases, pre_check_class,
};
use crate::requests::part::PartState;
use crate::requests::process_load::AttemptRecorder;
use crate::requests::request::Request;
use crate::Aggregator;
use attempts::Dispatch;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// The length of a query's pre-check phase (seconds), where it is to have one.
fn plan_pre_check(
    phases: &mut TwoPhasePlanner,
    query_request: &QueryRequest,
    timeout_s: f64,
) -> Option<f64> {
    phases.plan(
        &query_request.class_name,
        query_request.parts.len(),
        timeout_s,
        query_request.pre_check_above,
    )
}

/// The open requests of one mixer, around its decision module.
pub struct Coordinator {
    module: Aggregator,
    deployment: Rc<Deployment>,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    queries: BTreeMap<QueryId, RequestKey>,
    /// The clients' ids of the open requests.
    ids: BTreeSet<String>,
    parts: BTreeMap<PartId, PartState>,
    invariants: Invariants,
    /// Queries and parts that are open.
    held: usize,
    /// Until when the endpoint list may be acted on.
    list_until: f64,
    last_id: u32,
    last_number: u32,
    /// Events for the module that it has not handled yet.
    events: VecDeque<Event>,
    /// An empty buffer for the module's actions.
    actions: Vec<Action>,
    /// The calls of this round of decisions.
    calls: CallQueue,
    /// By protocol.
    metrics: [Metrics; 2],
    phases: TwoPhasePlanner,
    /// The attempts that a successor has not been notified of.
    recorder: AttemptRecorder,
    /// The load of the process that this one takes over from.
    predecessor: ProcessLoad,
}

impl Coordinator {
    /// A coordinator with no open request and an empty endpoint list. The same seed makes the same decisions.
    pub fn new(deployment: Rc<Deployment>, seed: u64, now: f64) -> Coordinator {
        let mut metrics = [Metrics::default(), Metrics::default()];
        for metrics in &mut metrics {
            metrics.track_classes(&deployment.classes);
        }
        Coordinator {
            module: Aggregator::new(module_settings(&deployment), seed, now),
            phases: new_phases(&deployment),
            deployment,
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            queries: BTreeMap::new(),
            ids: BTreeSet::new(),
            parts: BTreeMap::new(),
            invariants: Invariants::default(),
            held: 0,
            list_until: f64::INFINITY,
            last_id: 0,
            last_number: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
            calls: CallQueue::default(),
            metrics,
            recorder: AttemptRecorder::default(),
            predecessor: ProcessLoad::default(),
        }
    }

    /// What the decision module has learned, for a successor.
    pub fn learned_state(&self) -> LearnedState {
        self.module.learned_state()
    }

    /// The names of the classes by which the learned state goes.
    pub fn learned_classes(&self) -> Vec<String> {
        module_classes(&self.deployment)
    }

    /// What has been learned of pre-check phases, for a successor.
    pub fn learned_phases(&self) -> Vec<PhaseStatistics> {
        self.phases.statistics()
    }

    /// The pre-check phases and their metrics, by class.
    pub fn phases(&self) -> &TwoPhasePlanner {
        &self.phases
    }

    /// Takes over what a predecessor learned of pre-check phases.
    pub fn inherit_phases(&mut self, learned: Vec<PhaseStatistics>) {
        self.phases.inherit(learned);
    }

    /// Takes over what a predecessor learned, whose classes and tenants had these names.
    pub fn inherit(&mut self, learned_state: LearnedState, classes: &[String], tenants: &[String]) {
        let classes = former_indices(&module_classes(&self.deployment), classes);
        let tenants = former_indices(&self.deployment.tenants, tenants);
        self.module.inherit(learned_state, &classes, &tenants);
    }

    /// Records from now on the attempts that are made, for a successor; or no longer. While it records, no retry budget
    /// accrues here: the successor counts the attempts of both, and its own are not known here.
    pub fn record(&mut self, now: f64, on: bool, out: &mut Vec<Command>) {
        self.recorder.set_recording(on);
        let mut settings = Box::new(module_settings(&self.deployment));
        let Some(retry_budget) = settings.retry_budget.as_mut() else {
            return;
        };
        if on {
            retry_budget.min_retries = 0.0;
            retry_budget.retries_per_accepted = 0.0;
        }
        let unchanged = |count: usize| (0..count).map(Some).collect();
        let classes = unchanged(settings.classes.len());
        let tenants = unchanged(settings.tenants.len());
        self.feed(
            now,
            Event::Settings {
                settings,
                classes,
                tenants,
            },
            out,
        );
    }

    /// The load of this process, with the attempts made since this was last called.
    pub fn load(&mut self) -> ProcessLoad {
        let mut in_flight: BTreeMap<ReplicaId, u32> = BTreeMap::new();
        for attempt in self.attempts.values() {
            *in_flight.entry(attempt.replica).or_default() += 1;
        }
        ProcessLoad {
            ids: self.ids.iter().cloned().collect(),
            held: self.held,
            attempts: PredecessorLoad {
                in_flight: in_flight
                    .into_iter()
                    .map(|(replica, attempts)| ReplicaLoad { replica, attempts })
                    .collect(),
                sent: self.recorder.take_unreported(),
            },
        }
    }

    /// Takes the load of the process that this one takes over from: both together keep the limits that one would keep.
    pub fn set_predecessor_load(&mut self, now: f64, load: ProcessLoad, out: &mut Vec<Command>) {
        self.feed(now, Event::PredecessorLoad(load.attempts.clone()), out);
        self.predecessor = load;
    }

    /// The metrics of one protocol's requests.
    pub fn metrics(&self, protocol: Protocol) -> &Metrics {
        &self.metrics[protocol as usize]
    }

    /// Counts attempts of a protocol that have been written completely to a replica.
    pub fn count_sent_attempts(&mut self, protocol: Protocol, attempts: u64) {
        self.metrics[protocol as usize].sends += attempts;
    }

    /// How many replicas of the list are avoided now, as ejected or slow.
    pub fn avoided_replicas(&self) -> usize {
        self.module.unavailable_replicas()
    }

    /// Within what time nearly all answers come, in the slowest class (seconds).
    pub fn near_worst_latency_s(&self) -> f64 {
        self.module
            .statistics
            .latencies
            .iter()
            .map(|latencies| latencies.p95_s)
            .fold(0.0, f64::max)
    }

    /// The client's id of an open request.
    pub fn id_of(&self, key: RequestKey) -> Option<&str> {
        self.requests
            .get(key)
            .map(|request| request.query_request.id.as_str())
    }

    /// Whether an attempt is in flight for a request that has no final answer yet.
    pub fn is_wanted(&self, key: AttemptKey) -> bool {
        let part = self
            .attempts
            .get(key)
            .and_then(|attempt| self.parts.get(&attempt.part));
        part.is_some_and(|part| part.request.is_some())
    }

    /// The invariants' counts.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// The invariants, for the checks of acts outside the coordinator.
    pub fn invariants_mut(&mut self) -> &mut Invariants {
        &mut self.invariants
    }

    /// Requests that have no final answer yet.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Whether a request of that id is open, here or at the predecessor. Another one of that id must not be accepted.
    pub fn is_open(&self, id: &str) -> bool {
        self.ids.contains(id) || self.predecessor.ids.iter().any(|other| other == id)
    }

    /// Whether an attempt has no outcome yet.
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.attempts.contains_key(key)
    }

    /// Begins the module's periodic tick. Without this a mixer that polls discovery and has no list yet would wait for an
    /// event that only its own first call can bring. To be called once, after the last known list where there is one.
    pub fn start(&mut self, now: f64, out: &mut Vec<Command>) {
        self.feed(now, Event::Start, out);
    }

    /// Takes the endpoint list, or with `full` false the entries of it that changed.
    pub fn update_endpoints(
        &mut self,
        now: f64,
        full: bool,
        entries: Vec<ReplicaEntry>,
        out: &mut Vec<Command>,
    ) {
        let entries = entries.into();
        self.feed(
            now,
            Event::List {
                is_full: full,
                entries,
            },
            out,
        );
    }

    /// Puts other settings into force. Open requests keep the class settings with which they were accepted.
    pub fn reconfigure(&mut self, now: f64, deployment: Rc<Deployment>, out: &mut Vec<Command>) {
        let former_classes = module_classes(&self.deployment);
        let classes = former_indices(&module_classes(&deployment), &former_classes).into();
        let tenants = former_indices(&deployment.tenants, &self.deployment.tenants).into();
        for metrics in &mut self.metrics {
            metrics.track_classes(&deployment.classes);
        }
        let settings = Box::new(module_settings(&deployment));
        let learned = self.phases.statistics();
        let former_phases = std::mem::replace(&mut self.phases, new_phases(&deployment));
        self.phases.inherit(learned);
        self.phases.keep_metrics(&former_phases);
        self.deployment = deployment;
        self.feed(
            now,
            Event::Settings {
                settings,
                classes,
                tenants,
            },
            out,
        );
    }

    /// Notifies that the endpoint list may be acted on until then.
    pub fn list_lease(&mut self, now: f64, until: f64, out: &mut Vec<Command>) {
        self.list_until = until;
        self.feed(now, Event::ListLease { until }, out);
    }

    /// Notifies that a call for the endpoint list failed, or that the watch broke.
    pub fn list_failed(&mut self, now: f64, out: &mut Vec<Command>) {
        self.feed(now, Event::ListFailed, out);
    }

    /// Accepts a request. It gets exactly one [`Command::Reply`], unless its client leaves.
    pub fn accept_request(
        &mut self,
        now: f64,
        query_request: QueryRequest,
        caller: u64,
        out: &mut Vec<Command>,
    ) -> RequestKey {
        let is_full = self.held + self.predecessor.held >= self.deployment.max_in_flight;
        let key = self.open_request(now, query_request, caller);
        if is_full {
            // The decision module never learns of a request beyond the limit.
            let last = FinalAnswer::Rejected {
                reason: Reason::Held,
                retry_after_s: self.deployment.policy.max_retry_after_s / 2.0,
            };
            self.finish(now, key, last, out);
            return key;
        }
        self.submit(now, key, out);
        self.pump(now, out);
        key
    }

    /// The client of a request has left; it gets no answer.
    pub fn client_left(&mut self, now: f64, key: RequestKey, out: &mut Vec<Command>) {
        let Some(request) = self.forget(key) else {
            return;
        };
        if let Some(metrics) = self.class_metrics(&request.query_request) {
            metrics.left += 1;
        }
        self.withdraw_unsent(now, &request, out);
        self.feed(now, Event::ClientDisconnected(request.query), out);
    }

    /// An attempt ended. `value` is what the replica answered for the part, where it served it.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        key: AttemptKey,
        outcome: Outcome,
        value: Option<Rc<str>>,
        out: &mut Vec<Command>,
    ) {
        self.end_attempt(now, key, outcome, value);
        self.pump(now, out);
    }

    /// A time that [`Command::WakeAt`] named has come. What it was for may have ended since.
    pub fn wake(&mut self, now: f64, wake: Wake, out: &mut Vec<Command>) {
        match wake {
            Wake::Module(token) => self.feed(now, Event::Timer(token), out),
            Wake::Attempt(key) => {
                if self.attempts.contains_key(key) {
                    out.push(Command::Cancel { attempt: key });
                    self.attempt_ended(now, key, Outcome::TimedOut, None, out);
                }
            }
            Wake::Request(key) => {
                // The module gives a request up before its deadline, unless the process was held up.
                if let Some(request) = self.requests.get(key) {
                    let query = request.query;
                    let last = request.failure(Reason::DeadlineExceeded);
                    self.finish(now, key, last, out);
                    self.feed(now, Event::ClientDisconnected(query), out);
                }
            }
        }
    }

    /// Adds a request to the open ones.
    fn open_request(&mut self, now: f64, query_request: QueryRequest, caller: u64) -> RequestKey {
        let count = query_request.parts.len();
        self.held += 1 + count;
        let query = QueryId(self.next_id());
        let parts = (0..count).map(|_| PartId(self.next_id())).collect();
        self.ids.insert(query_request.id.clone());
        self.requests.insert(Request {
            caller,
            query,
            parts,
            values: vec![None; count],
            outcomes: vec![None; count],
            pruned: vec![false; count],
            class_settings: self.deployment.policy.classes[query_request.class].clone(),
            may_have_run: false,
            taken_at: now,
            query_request: Rc::new(query_request),
        })
    }

    /// Queues the events by which the decision module learns of a request.
    fn submit(&mut self, now: f64, key: RequestKey, out: &mut Vec<Command>) {
        let request = &self.requests[key];
        let query_request = &request.query_request;
        let deadline = request.deadline();
        out.push(Command::WakeAt {
            at: deadline.max(now),
            wake: Wake::Request(key),
        });
        self.queries.insert(request.query, key);
        self.last_number = self.last_number.wrapping_add(1);
        let number = self.last_number;
        let timeout_s = deadline - now;
        let pre_check_s = plan_pre_check(&mut self.phases, query_request, timeout_s);
        let pre_check_class = pre_check_class(&self.deployment, query_request.class);
        let pre_check = pre_check_s
            .zip(pre_check_class)
            .map(|(pre_check_s, class)| PreCheck {
                class,
                until: now + pre_check_s,
            });
        self.events.push_back(Event::Query(NewQuery {
            id: request.query,
            number,
            class: query_request.class as u16,
            tenant: query_request.tenant,
            deadline,
            parts: query_request.parts.len() as u32,
            is_repeat: query_request.repeat,
            key: query_request.key,
            pre_check,
        }));
        let parts = request.parts.iter().zip(&query_request.parts);
        for (index, (id, part)) in parts.enumerate() {
            self.parts.insert(*id, PartState::new(key, index));
            self.events.push_back(Event::Part(NewPart {
                id: *id,
                query_number: number,
                shard: part.shard,
                weight: part.weight,
                cost_hint_s: part.hint_s,
            }));
        }
    }

    fn next_id(&mut self) -> u32 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    fn feed(&mut self, now: f64, event: Event, out: &mut Vec<Command>) {
        self.events.push_back(event);
        self.pump(now, out);
    }

    /// Feeds the module all events that wait, and those that its own actions cause; then hands over the calls.
    fn pump(&mut self, now: f64, out: &mut Vec<Command>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.module.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.act(now, action, out);
            }
            self.actions = actions;
        }
        let max_parts = self.deployment.policy.max_call_parts.max(1) as usize;
        self.calls.drain(max_parts, |replica, parts| {
            out.push(Command::Call { replica, parts });
        });
    }

    /// Carries out one action of the module. One that concerns a request that is no longer open does nothing.
    fn act(&mut self, now: f64, action: Action, out: &mut Vec<Command>) {
        match action {
            Action::Send {
                part,
                replica,
                max_timeout_s,
                is_pre_check: pre_check,
            } => {
                let dispatch = Dispatch {
                    part,
                    replica,
                    max_timeout_s,
                    pre_check,
                };
                self.send(now, &dispatch, out);
            }
            Action::Cancel { part, attempt } => self.cancel(now, part, attempt, out),
            Action::Answer {
                query,
                is_complete: complete,
            } => {
                self.finish_query(now, query, out, |request| request.answer(complete));
            }
            Action::Reject {
                query,
                retry_after_s,
            } => self.reject(now, query, retry_after_s, out),
            Action::Fail { query } => {
                self.finish_query(now, query, out, |request| request.failure(Reason::GivenUp));
            }
            Action::SetTimer { token, after_s } => out.push(Command::WakeAt {
                at: now + after_s,
                wake: Wake::Module(token),
            }),
            Action::CloseIdle { replica } => out.push(Command::CloseIdle { replica }),
            Action::Watch => out.push(Command::Watch),
            Action::Log(text) => out.push(Command::Log(text)),
            Action::Probe { .. } => {}
        }
    }
}
