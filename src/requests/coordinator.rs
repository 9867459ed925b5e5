//! The coordinator: manages each request from its acceptance to its final answer, and each attempt from its sending to its
//! outcome.
//!
//! The coordinator feeds events to the decision module and translates the module's actions into [`Command`]s for the event
//! loop. Whatever the module decides, the coordinator enforces these invariants: each request gets exactly one final
//! answer, before its client's deadline; a request is rejected only if nothing with an effect may have been executed; no
//! answer is below the floor of its class; at most `mostHeld` queries and parts are open; the number of attempts is
//! bounded. The coordinator performs no I/O and reads no clock: the current time is a parameter of each method.

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
use crate::requests::recent_requests::{RecentRequests, RequestEnd};
use crate::requests::request::Request;
use crate::Aggregator;
use attempts::Dispatch;
use slotmap::SlotMap;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

/// Returns the length of the pre-check phase of a query (seconds), or `None` if the query has no such phase.
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

/// The open requests of one mixer and its decision module.
pub struct Coordinator {
    decisions: Aggregator,
    deployment: Rc<Deployment>,
    requests: SlotMap<RequestKey, Request>,
    attempts: SlotMap<AttemptKey, Attempt>,
    queries: BTreeMap<QueryId, RequestKey>,
    /// Ids that clients gave to the open requests.
    open_ids: BTreeSet<String>,
    /// Ids of requests that have ended and may have been executed.
    recent_requests: RecentRequests,
    parts: BTreeMap<PartId, PartState>,
    invariants: Invariants,
    /// Number of open queries plus their parts; limited by `mostHeld`.
    open_count: usize,
    /// Time until which the endpoint list may be used.
    list_valid_until: f64,
    last_id: u32,
    last_query_number: u32,
    /// Events that the decision module has not handled yet.
    events: VecDeque<Event>,
    /// Buffer for the module's actions, reused to avoid allocations.
    actions: Vec<Action>,
    /// Calls of the current round of decisions.
    calls: CallQueue,
    /// Metrics by protocol.
    metrics: [Metrics; 2],
    phases: TwoPhasePlanner,
    /// Recorder of attempts that have not been reported to the successor process.
    recorder: AttemptRecorder,
    /// Load of the predecessor process during an upgrade.
    predecessor: ProcessLoad,
    /// Ids of the predecessor's requests that are open or may have been executed.
    predecessor_ids: BTreeSet<String>,
}

impl Coordinator {
    /// Creates a coordinator with no open request and an empty endpoint list. The same seed and the same events lead to the
    /// same decisions.
    pub fn new(deployment: Rc<Deployment>, seed: u64, now: f64) -> Coordinator {
        let mut metrics = [Metrics::default(), Metrics::default()];
        for metrics in &mut metrics {
            metrics.track_classes(&deployment.classes);
        }
        Coordinator {
            decisions: Aggregator::new(module_settings(&deployment), seed, now),
            phases: new_phases(&deployment),
            deployment,
            requests: SlotMap::with_key(),
            attempts: SlotMap::with_key(),
            queries: BTreeMap::new(),
            open_ids: BTreeSet::new(),
            recent_requests: RecentRequests::default(),
            parts: BTreeMap::new(),
            invariants: Invariants::default(),
            open_count: 0,
            list_valid_until: f64::INFINITY,
            last_id: 0,
            last_query_number: 0,
            events: VecDeque::new(),
            actions: Vec::new(),
            calls: CallQueue::default(),
            metrics,
            recorder: AttemptRecorder::default(),
            predecessor: ProcessLoad::default(),
            predecessor_ids: BTreeSet::new(),
        }
    }

    /// Returns the statistics that the decision module has learned, for the successor process.
    pub fn learned_state(&self) -> LearnedState {
        self.decisions.learned_state()
    }

    /// Returns the names of the classes in the order in which the learned state refers to them.
    pub fn learned_class_names(&self) -> Vec<String> {
        module_classes(&self.deployment)
    }

    /// Returns the statistics of pre-check phases, for the successor process.
    pub fn learned_phases(&self) -> Vec<PhaseStatistics> {
        self.phases.statistics()
    }

    /// Returns the pre-check phases and their metrics, by class.
    pub fn phases(&self) -> &TwoPhasePlanner {
        &self.phases
    }

    /// Adopts the predecessor's statistics of pre-check phases.
    pub fn inherit_phases(&mut self, learned: Vec<PhaseStatistics>) {
        self.phases.inherit(learned);
    }

    /// Adopts the state that a predecessor learned; `classes` and `tenants` are the names to which its indices refer.
    pub fn inherit(&mut self, learned_state: LearnedState, classes: &[String], tenants: &[String]) {
        let classes = former_indices(&module_classes(&self.deployment), classes);
        let tenants = former_indices(&self.deployment.tenants, tenants);
        self.decisions.inherit(learned_state, &classes, &tenants);
    }

    /// Starts or stops recording attempts for the successor process. While recording, the local retry budget does not grow:
    /// the successor counts the attempts of both processes, and this process does not know those of the successor.
    pub fn set_recording(&mut self, now: f64, on: bool, out: &mut Vec<Command>) {
        self.recorder.set_recording(on);
        if self.deployment.policy.retry_budget.is_none() {
            return;
        }
        let settings = Box::new(self.module_settings());
        let unchanged = |count: usize| (0..count).map(Some).collect();
        let classes = unchanged(settings.classes.len());
        let tenants = unchanged(settings.tenants.len());
        self.handle_event(
            now,
            Event::Settings {
                settings,
                classes,
                tenants,
            },
            out,
        );
    }

    /// Returns the settings of the decision module. While attempts are recorded for the successor the retry budget is empty.
    fn module_settings(&self) -> Settings {
        let mut settings = module_settings(&self.deployment);
        let budget = settings.retry_budget.as_mut();
        if let Some(budget) = budget.filter(|_| self.recorder.is_recording()) {
            budget.min_retries = 0.0;
            budget.retries_per_accepted = 0.0;
        }
        settings
    }

    /// Returns the load of this process, with the attempts sent since the previous call of this method.
    pub fn take_process_load(&mut self) -> ProcessLoad {
        let mut in_flight: BTreeMap<ReplicaId, u32> = BTreeMap::new();
        for attempt in self.attempts.values() {
            *in_flight.entry(attempt.replica).or_default() += 1;
        }
        let request_ids = self.open_ids.iter().chain(self.recent_requests.ids());
        ProcessLoad {
            request_ids: request_ids.cloned().collect(),
            open_count: self.open_count,
            attempts: PredecessorLoad {
                in_flight: in_flight
                    .into_iter()
                    .map(|(replica, attempts)| ReplicaLoad { replica, attempts })
                    .collect(),
                sent: self.recorder.take_unreported(),
            },
        }
    }

    /// Sets the load of the predecessor process, so that both processes together keep the limits of a single one.
    pub fn set_predecessor_load(
        &mut self,
        now: f64,
        mut load: ProcessLoad,
        out: &mut Vec<Command>,
    ) {
        self.handle_event(now, Event::PredecessorLoad(load.attempts.clone()), out);
        self.predecessor_ids = std::mem::take(&mut load.request_ids).into_iter().collect();
        self.predecessor = load;
    }

    /// Records that the predecessor process has exited. Its last requests may have been executed, and their clients may send
    /// them again.
    pub fn predecessor_exited(&mut self, now: f64, out: &mut Vec<Command>) {
        for id in std::mem::take(&mut self.predecessor_ids) {
            self.recent_requests
                .insert(now, &id, 0.0, RequestEnd::ClientLeft);
        }
        self.set_predecessor_load(now, ProcessLoad::default(), out);
    }

    /// Returns the metrics of one protocol's requests.
    pub fn metrics(&self, protocol: Protocol) -> &Metrics {
        &self.metrics[protocol as usize]
    }

    /// Counts attempts that have been written completely to a replica.
    pub fn count_sent_attempts(&mut self, protocol: Protocol, attempts: u64) {
        self.metrics[protocol as usize].sent_attempts += attempts;
    }

    /// Returns the number of listed replicas that are currently avoided because they are ejected or slow.
    pub fn avoided_replicas(&self) -> usize {
        self.decisions.unavailable_replicas()
    }

    /// Returns the 95th percentile latency of the slowest class (seconds).
    pub fn slowest_class_p95_s(&self) -> f64 {
        self.decisions
            .statistics
            .latencies
            .iter()
            .map(|latencies| latencies.p95_s)
            .fold(0.0, f64::max)
    }

    /// Returns the client's id of an open request.
    pub fn request_id(&self, key: RequestKey) -> Option<&str> {
        self.requests
            .get(key)
            .map(|request| request.query_request.id.as_str())
    }

    /// Returns whether an attempt is in flight for a request that has no final answer yet.
    pub fn is_wanted(&self, key: AttemptKey) -> bool {
        let part = self
            .attempts
            .get(key)
            .and_then(|attempt| self.parts.get(&attempt.part));
        part.is_some_and(|part| part.request.is_some())
    }

    /// Returns the counters of the invariants.
    pub fn invariants(&self) -> &Invariants {
        &self.invariants
    }

    /// Returns the invariants for checks of actions outside the coordinator.
    pub fn invariants_mut(&mut self) -> &mut Invariants {
        &mut self.invariants
    }

    /// Returns the number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.len()
    }

    /// Returns the latest time until which the client of an open request may wait, or `None` if no request is open.
    pub fn latest_client_deadline(&self) -> Option<f64> {
        self.requests
            .values()
            .map(|request| request.client_deadline_bounds().latest)
            .reduce(f64::max)
    }

    /// Returns whether a request with this id is open here, or is open or may have been executed in the predecessor process. A
    /// second request with the same id must not be accepted.
    pub fn is_request_open(&self, id: &str) -> bool {
        self.open_ids.contains(id) || self.predecessor_ids.contains(id)
    }

    /// Returns whether a request with the id of this query may have been executed a short time ago, and the query must not be
    /// executed twice.
    pub fn has_recently_run(&self, now: f64, query_request: &QueryRequest) -> bool {
        self.has_effect(query_request) && self.recent_requests.contains(now, &query_request.id)
    }

    /// Returns whether running a query twice would do harm.
    fn has_effect(&self, query_request: &QueryRequest) -> bool {
        let class = self.deployment.policy.classes.get(query_request.class);
        class.is_some_and(|class| class.effect != Effect::Idempotent)
    }

    /// Returns whether an attempt has no outcome yet.
    pub fn is_in_flight(&self, key: AttemptKey) -> bool {
        self.attempts.contains_key(key)
    }

    /// Starts the module's periodic tick. Without the tick, a mixer that polls discovery and has no list would never make
    /// its first call, because only that call brings further events. Must be called once, after the last known list was set
    /// where there is one.
    pub fn start(&mut self, now: f64, out: &mut Vec<Command>) {
        self.handle_event(now, Event::Start, out);
    }

    /// Applies a complete endpoint list or, if `full` is false, the entries that changed.
    pub fn update_endpoints(
        &mut self,
        now: f64,
        full: bool,
        entries: Vec<ReplicaEntry>,
        out: &mut Vec<Command>,
    ) {
        let entries = entries.into();
        self.handle_event(
            now,
            Event::List {
                is_full: full,
                entries,
            },
            out,
        );
    }

    /// Applies new settings. Open requests keep the class settings with which they were accepted.
    pub fn reconfigure(&mut self, now: f64, deployment: Rc<Deployment>, out: &mut Vec<Command>) {
        let former_classes = module_classes(&self.deployment);
        let classes = former_indices(&module_classes(&deployment), &former_classes).into();
        let tenants = former_indices(&deployment.tenants, &self.deployment.tenants).into();
        for metrics in &mut self.metrics {
            metrics.track_classes(&deployment.classes);
        }
        let learned = self.phases.statistics();
        let former_phases = std::mem::replace(&mut self.phases, new_phases(&deployment));
        self.phases.inherit(learned);
        self.phases.keep_metrics(&former_phases);
        self.deployment = deployment;
        let settings = Box::new(self.module_settings());
        self.handle_event(
            now,
            Event::Settings {
                settings,
                classes,
                tenants,
            },
            out,
        );
    }

    /// Sets the time until which the endpoint list may be used.
    pub fn set_list_lease(&mut self, now: f64, until: f64, out: &mut Vec<Command>) {
        self.list_valid_until = until;
        self.handle_event(now, Event::ListLease { until }, out);
    }

    /// Records that a call for the endpoint list failed or that the watch broke.
    pub fn list_call_failed(&mut self, now: f64, out: &mut Vec<Command>) {
        self.handle_event(now, Event::ListFailed, out);
    }

    /// Accepts a request. The caller gets exactly one [`Command::Reply`], unless the client disconnects first.
    pub fn accept_request(
        &mut self,
        now: f64,
        query_request: QueryRequest,
        caller: u64,
        out: &mut Vec<Command>,
    ) -> RequestKey {
        self.recent_requests.remove_expired(now);
        let is_full = self.open_count + self.predecessor.open_count
            >= self.deployment.max_in_flight
            || (self.recent_requests.is_full() && self.has_effect(&query_request));
        let key = self.open_request(now, query_request, caller);
        if is_full {
            // The decision module is not notified of a request beyond the limit.
            let answer = FinalAnswer::Rejected {
                reason: Reason::TooManyOpen,
                retry_after_s: self.deployment.policy.max_retry_after_s / 2.0,
            };
            self.finish(now, key, answer, out);
            return key;
        }
        self.submit(now, key, out);
        self.process_events(now, out);
        key
    }

    /// Removes a request whose client has disconnected; no answer is sent.
    pub fn client_disconnected(&mut self, now: f64, key: RequestKey, out: &mut Vec<Command>) {
        let Some(request) = self.remove_request(key, out) else {
            return;
        };
        if let Some(metrics) = self.class_metrics(&request.query_request) {
            metrics.client_disconnected += 1;
        }
        self.keep_id(now, &request, RequestEnd::ClientLeft);
        self.withdraw_unsent(now, &request, out);
        self.handle_event(now, Event::ClientDisconnected(request.query), out);
    }

    /// Records the end of an attempt. `value` is the replica's answer for the part, if the part was served.
    pub fn attempt_ended(
        &mut self,
        now: f64,
        key: AttemptKey,
        outcome: Outcome,
        value: Option<Rc<str>>,
        out: &mut Vec<Command>,
    ) {
        self.end_attempt(now, key, outcome, value, out);
        self.process_events(now, out);
    }

    /// Handles a deadline set by [`Command::WakeAt`]. A deadline whose request or attempt has ended has no effect.
    pub fn wake(&mut self, now: f64, wake: Wake, out: &mut Vec<Command>) {
        match wake {
            Wake::Module(token) => self.handle_event(now, Event::Timer(token), out),
            Wake::Attempt(key) => {
                if self.attempts.contains_key(key) {
                    out.push(Command::Cancel { attempt: key });
                    self.attempt_ended(now, key, Outcome::TimedOut, None, out);
                }
            }
            Wake::Request(key) => {
                // The module ends a request before its deadline, unless the process was paused.
                if let Some(request) = self.requests.get(key) {
                    let query = request.query;
                    let answer = request.failure(Reason::DeadlineExceeded);
                    self.finish(now, key, answer, out);
                    self.handle_event(now, Event::ClientDisconnected(query), out);
                }
            }
        }
    }

    /// Adds a request to the open ones, without notifying the decision module.
    fn open_request(&mut self, now: f64, query_request: QueryRequest, caller: u64) -> RequestKey {
        let count = query_request.parts.len();
        self.open_count += 1 + count;
        let query = QueryId(self.next_id());
        let parts = (0..count).map(|_| PartId(self.next_id())).collect();
        self.open_ids.insert(query_request.id.clone());
        self.requests.insert(Request {
            caller,
            query,
            parts,
            values: vec![None; count],
            outcomes: vec![None; count],
            pruned: vec![false; count],
            class_settings: self.deployment.policy.classes[query_request.class].clone(),
            may_have_run: false,
            accepted_at: now,
            wake_at: None,
            query_request: Rc::new(query_request),
        })
    }

    /// Queues the events that notify the decision module of a request and its parts.
    fn submit(&mut self, now: f64, key: RequestKey, out: &mut Vec<Command>) {
        let request = &mut self.requests[key];
        let deadline = request.deadline();
        let wake_at = deadline.max(now);
        request.wake_at = Some(wake_at);
        out.push(Command::WakeAt {
            at: wake_at,
            wake: Wake::Request(key),
        });
        let request = &self.requests[key];
        let query_request = &request.query_request;
        self.queries.insert(request.query, key);
        self.last_query_number = self.last_query_number.wrapping_add(1);
        let number = self.last_query_number;
        let timeout_s = deadline - now;
        // A pre-check sends a part a second time, which is not allowed while the class's effect is restricted.
        let pre_check_s = match request.class_settings.effect {
            Effect::Idempotent => plan_pre_check(&mut self.phases, query_request, timeout_s),
            Effect::IdempotentWithKey | Effect::NonIdempotent => None,
        };
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
            is_repeat: query_request.is_client_retry,
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
                cost_hint_s: part.cost_hint_s,
            }));
        }
    }

    fn next_id(&mut self) -> u32 {
        self.last_id = self.last_id.wrapping_add(1);
        self.last_id
    }

    fn handle_event(&mut self, now: f64, event: Event, out: &mut Vec<Command>) {
        self.events.push_back(event);
        self.process_events(now, out);
    }

    /// Passes all queued events to the decision module, including those caused by its own actions, and then issues the
    /// queued calls.
    fn process_events(&mut self, now: f64, out: &mut Vec<Command>) {
        while let Some(event) = self.events.pop_front() {
            let mut actions = std::mem::take(&mut self.actions);
            self.decisions.handle(now, event, &mut actions);
            for action in actions.drain(..) {
                self.execute_action(now, action, out);
            }
            self.actions = actions;
        }
        let max_parts = self.deployment.policy.max_call_parts.max(1) as usize;
        self.calls.drain(max_parts, |replica, parts| {
            out.push(Command::Call { replica, parts });
        });
    }

    /// Executes one action of the module. An action for a request that is no longer open has no effect.
    fn execute_action(&mut self, now: f64, action: Action, out: &mut Vec<Command>) {
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
                self.finish_query(now, query, out, |request| {
                    request.failure(Reason::Abandoned)
                });
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
