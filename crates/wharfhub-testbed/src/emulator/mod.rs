//! The emulator, which runs a scenario in virtual time. Each mixer uses the daemon's own coordinator, decision module and
//! connection rules.
//!
//! Clients, the network, the endpoint list and the leaf servers are emulated by a discrete-event simulation. Time is virtual and
//! all random numbers come from the scenario's seed, so the same seed repeats a run exactly. Mixers get only the information
//! that the daemon would receive over its connections.

mod clients;
mod faults;
mod leaf_servers;

use crate::connections::{ConnectionPool, SelectionContext};
use crate::model::LeafServer;
use crate::rules::RuleChecker;
use crate::site::{Fault, Query, Scenario};
use crate::tally::{self, Tally};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::rc::Rc;
use std::time::Instant;
use wharfhub::config::{self, Deployment};
use wharfhub::decisions::api::{Lifecycle, Outcome, ReplicaEntry, ReplicaId};
use wharfhub::requests::coordinator::{
    AttemptKey, Command, Coordinator, QueryRequest, RequestKey, Wake,
};

/// Virtual time at the start of a scenario (seconds); well above 0, because a start time of 0 marks a warm leaf server.
const START_S: f64 = 1000.0;
/// One-way network delay within a zone (seconds).
const SAME_ZONE_DELAY_S: f64 = 0.0004;
/// Remaining time below which clients don't retry (seconds).
const MIN_RETRY_TIME_S: f64 = 0.15;
/// Tolerance of the rule checker for time limits, because of network delays (seconds).
const SLACK_S: f64 = 0.01;
/// Time from the end of a drained process to the start of the new one (seconds).
const DRAIN_RESTART_DELAY_S: f64 = 6.0;
/// Time after which the establishment of a connection fails (seconds).
const CONNECT_TIMEOUT_S: f64 = 0.25;
/// Time for which the load balancer in front of the mixers continues to send requests to a mixer that does not run (seconds).
const FAILOVER_DELAY_S: f64 = 2.0;

/// Attempt on its way to a leaf server or at one.
struct Job {
    mixer: usize,
    incarnation: u32, // of the mixer
    connection: u64,
    attempt: AttemptKey,
    query_request: Rc<QueryRequest>,
    query: usize,
    index: usize,
    pre_check: bool,
    call_work_s: f64, // fixed work of the call, charged to this part (core seconds)
    sent_at: f64,
    delay_s: f64,
}

/// Job of a leaf server.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Task {
    /// Part, by the number of its [`Job`].
    Part(u64),
    /// Handshake: mixer, incarnation of the mixer, connection.
    Handshake(usize, u32, u64),
}

/// Event of the simulation. A mixer is given with its incarnation, so that events for an earlier process have no effect.
enum Event {
    /// Request of a client: query, retry.
    SendRequest(usize, u32),
    /// Disconnect of a client, at its timeout at the latest: query, retry.
    ClientDisconnects(usize, u32),
    /// Deadline of a coordinator.
    Wake(usize, u32, Wake),
    /// Arrival of a call at a leaf server, with the numbers of its jobs.
    CallArrives(u32, Vec<u64>),
    /// Time at which a leaf server completes a job or begins or ends a pause; only the latest version is valid.
    Progress(u32, u64),
    /// Arrival of a handshake at a leaf server: leaf server, mixer, incarnation, connection.
    HandshakeArrives(u32, usize, u32, u64),
    /// Establishment of a connection: mixer, incarnation, leaf server, connection.
    Opened(usize, u32, u32, u64),
    /// Failed establishment of a connection; has no effect on an established connection.
    ConnectFailed(usize, u32, u32, u64),
    /// Arrival of an answer at a mixer: mixer, incarnation, leaf server, connection, attempt, outcome with value, send time.
    Answer(
        usize,
        u32,
        u32,
        u64,
        AttemptKey,
        (Outcome, Option<Rc<str>>, f64),
    ),
    /// Reset of a connection.
    Reset(usize, u32, u32, u64),
    /// End of an attempt that could not be sent within its send window.
    Expired(usize, u32, AttemptKey),
    /// Arrival of a cancellation at a leaf server: leaf server, job.
    CancelArrives(u32, u64),
    /// Arrival of a changed list entry at a mixer.
    ListUpdate(usize, ReplicaEntry),
    /// Beginning (`true`) or end of a fault.
    Fault(usize, bool),
    /// Start of a new process of a leaf server.
    Restart(u32),
    /// Fault of one connection, which is drawn at that time.
    ConnectionGoesSilent,
}

struct ScheduledEvent {
    at: u64,    // microseconds
    order: u64, // sequence number, which orders events of the same time
    event: Event,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &ScheduledEvent) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &ScheduledEvent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &ScheduledEvent) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

struct Mixer {
    coordinator: Option<Coordinator>, // none while the mixer does not run
    incarnation: u32,
    stopped_at: f64,
    pool: ConnectionPool,
    in_flight: BTreeMap<AttemptKey, (u32, u64, u64)>, // leaf server, connection, number of the job
    endpoints: BTreeMap<ReplicaId, ReplicaEntry>,     // list entries as last received
    cpu_ns: u64,
}

/// Request of a client that has no final answer yet.
struct OpenRequest {
    mixer: usize,
    request: RequestKey,
    sent_at: f64,
    timeout_s: f64,
}

/// Result of a scenario.
pub struct Run {
    /// Totals over all queries.
    pub tally: Tally,
    /// Rule checker with the violations.
    pub rules: RuleChecker,
    /// Number of requests that mixers received, retries included.
    pub requests: u64,
    /// Number of handshakes at leaf servers.
    pub handshakes: u64,
    /// Time spent in the coordinators of all mixers (seconds of real time on this machine).
    pub cpu_s: f64,
    /// Hash of all calls, cancellations and answers of the mixers, in order.
    pub digest: u64,
}

/// State of a running emulation.
pub struct Emulator<'a> {
    scenario: &'a Scenario,
    deployment: Rc<Deployment>,
    queries: Vec<Query>,
    now: f64,
    order: u64,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    mixers: Vec<Mixer>,
    leaf_servers: Vec<LeafServer<Task>>,
    event_versions: Vec<u64>, // by leaf server: version of its valid `Progress` event
    jobs: BTreeMap<u64, Job>,
    last_job: u64,
    jobs_by_server: Vec<BTreeSet<u64>>,
    handshakes: u64,
    supports_pre_check: Vec<bool>,
    affected_servers: Vec<Vec<u32>>, // by fault
    open_requests: BTreeMap<(usize, u32), OpenRequest>,
    slowdown: f64,
    rng: ChaCha8Rng,
    tally: Tally,
    rules: RuleChecker,
    requests: u64,
    digest: u64,
    commands: Vec<Command>,
}

/// Returns the id of a leaf server in the decision module.
fn replica(leaf_server: u32) -> ReplicaId {
    ReplicaId(leaf_server + 1)
}

/// Runs a scenario to its end.
pub fn run(scenario: &Scenario) -> Result<Run, config::SettingsError> {
    let deployment: Deployment = config::decode(scenario.settings().as_bytes())?;
    let mut emulator = Emulator::new(scenario, deployment);
    emulator.run();
    Ok(emulator.into_run())
}

impl<'a> Emulator<'a> {
    fn new(scenario: &'a Scenario, deployment: Deployment) -> Emulator<'a> {
        let mut supports_pre_check = vec![false; scenario.leaf_servers as usize];
        scenario
            .draw_leaf_servers(10, scenario.pre_check_share)
            .into_iter()
            .for_each(|leaf_server| supports_pre_check[leaf_server as usize] = true);
        let affected = |(number, (_, _, fault)): (usize, &(f64, f64, Fault))| match fault {
            Fault::Slow(_) | Fault::Burst(_) | Fault::SilentConnections(_) => Vec::new(),
            Fault::ZoneLoss(zone, _) => (0..scenario.leaf_servers)
                .filter(|leaf_server| scenario.zone(*leaf_server) == *zone)
                .collect(),
            Fault::Dead(share)
            | Fault::Silent(share)
            | Fault::Drain(share)
            | Fault::SomeSlow(share, _)
            | Fault::Fails(share, _)
            | Fault::Pauses(share, ..) => scenario.draw_leaf_servers(20 + number as u64, *share),
        };
        let mut emulator = Emulator {
            scenario,
            deployment: Rc::new(deployment),
            queries: scenario.queries(),
            now: START_S,
            order: 0,
            events: BinaryHeap::new(),
            mixers: Vec::new(),
            leaf_servers: (0..scenario.leaf_servers)
                .map(|leaf_server| LeafServer::new(scenario.leaf_server_setup(leaf_server)))
                .collect(),
            event_versions: vec![0; scenario.leaf_servers as usize],
            jobs: BTreeMap::new(),
            last_job: 0,
            jobs_by_server: vec![BTreeSet::new(); scenario.leaf_servers as usize],
            handshakes: 0,
            supports_pre_check,
            affected_servers: scenario.faults.iter().enumerate().map(affected).collect(),
            open_requests: BTreeMap::new(),
            slowdown: 1.0,
            rng: scenario.rng(2),
            tally: Tally::new(scenario),
            rules: RuleChecker::new(scenario, SLACK_S),
            requests: 0,
            digest: 0xcbf2_9ce4_8422_2325,
            commands: Vec::new(),
        };
        emulator.mixers = (0..scenario.mixers)
            .map(|number| emulator.new_mixer(number))
            .collect();
        emulator
    }

    fn new_mixer(&self, number: u32) -> Mixer {
        let pool = ConnectionPool::new(self.scenario.mixers, self.scenario.site.idle_timeout_s);
        Mixer {
            coordinator: Some(self.new_coordinator(number, 0)),
            incarnation: 0,
            stopped_at: 0.0,
            pool,
            in_flight: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            cpu_ns: 0,
        }
    }

    fn new_coordinator(&self, number: u32, incarnation: u32) -> Coordinator {
        let mut deployment = (*self.deployment).clone();
        deployment.policy.zone = self.scenario.mixer_zone(number);
        let seed = self.scenario.seed * 1000 + u64::from(number) + (u64::from(incarnation) << 40);
        Coordinator::new(Rc::new(deployment), seed, self.now)
    }

    /// Schedules an event; a time in the past counts as now.
    fn schedule(&mut self, at: f64, event: Event) {
        self.order += 1;
        let at = (at.max(self.now) * 1e6).round() as u64;
        self.events.push(Reverse(ScheduledEvent {
            at,
            order: self.order,
            event,
        }));
    }

    fn run(&mut self) {
        for mixer in 0..self.mixers.len() {
            let entries: Vec<_> = (0..self.scenario.leaf_servers)
                .map(|leaf_server| self.replica_entry(leaf_server, Lifecycle::Ready))
                .collect();
            self.mixers[mixer].endpoints = entries.iter().map(|entry| (entry.id, *entry)).collect();
            self.drive(mixer, |coordinator, now, out| {
                coordinator.update_endpoints(now, true, entries, out)
            });
        }
        for query in 0..self.queries.len() {
            self.schedule(
                START_S + self.queries[query].at,
                Event::SendRequest(query, 0),
            );
        }
        for (number, (from, to, _)) in self.scenario.faults.iter().enumerate() {
            self.schedule(START_S + from, Event::Fault(number, true));
            self.schedule(START_S + to, Event::Fault(number, false));
        }
        // Every query ends within 8 s of the start of the last one: client timeouts of the operators' deployments are shorter.
        let end = START_S + self.scenario.seconds + 8.0;
        while let Some(Reverse(next)) = self.events.pop() {
            self.now = next.at as f64 / 1e6;
            if self.now > end {
                break;
            }
            self.handle_event(next.event);
        }
    }

    fn into_run(mut self) -> Run {
        self.rules.finish();
        for _ in self
            .leaf_servers
            .iter()
            .filter(|server| server.has_collapsed)
        {
            self.rules
                .record_violation("cold: a leaf server was overloaded during slow start".into());
        }
        Run {
            tally: self.tally,
            rules: self.rules,
            requests: self.requests,
            handshakes: self.handshakes,
            cpu_s: self.mixers.iter().map(|mixer| mixer.cpu_ns).sum::<u64>() as f64 / 1e9,
            digest: self.digest,
        }
    }

    fn replica_entry(&self, leaf_server: u32, lifecycle: Lifecycle) -> ReplicaEntry {
        let started_at = self.leaf_servers[leaf_server as usize].started_at;
        let (zone, cell, pre_check) = (
            self.scenario.zone(leaf_server),
            self.scenario.cell(leaf_server),
            self.supports_pre_check[leaf_server as usize],
        );
        ReplicaEntry {
            id: replica(leaf_server),
            zone,
            cell,
            lifecycle,
            started_at,
            supports_pre_check: pre_check,
        }
    }

    /// Calls the coordinator of a mixer and executes its commands. Has no effect if the mixer does not run.
    fn drive(&mut self, mixer: usize, call: impl FnOnce(&mut Coordinator, f64, &mut Vec<Command>)) {
        let Some(coordinator) = &mut self.mixers[mixer].coordinator else {
            return;
        };
        let mut commands = std::mem::take(&mut self.commands);
        let started = Instant::now();
        call(coordinator, self.now, &mut commands);
        self.mixers[mixer].cpu_ns += started.elapsed().as_nanos() as u64;
        loop {
            let unsent = self.execute_commands(mixer, &mut commands);
            let Some(coordinator) = self.mixers[mixer]
                .coordinator
                .as_mut()
                .filter(|_| !unsent.is_empty())
            else {
                break;
            };
            for (attempt, outcome) in unsent {
                coordinator.attempt_ended(self.now, attempt, outcome, None, &mut commands);
            }
        }
        self.commands = commands;
    }

    /// Executes the commands of a mixer. Returns the attempts not sent: the pool is full, or their result is no longer needed.
    fn execute_commands(
        &mut self,
        mixer: usize,
        commands: &mut Vec<Command>,
    ) -> Vec<(AttemptKey, Outcome)> {
        let incarnation = self.mixers[mixer].incarnation;
        let mut unsent = Vec::new();
        for command in commands.drain(..) {
            match command {
                Command::Call { replica, parts } => {
                    let leaf_server = replica.0 - 1;
                    for part in &parts {
                        self.add_to_digest(
                            u64::from(leaf_server) << 32
                                | u64::from(part.query_request.parts[part.index].shard) << 1,
                        );
                    }
                    let rejected = self.send_call(mixer, leaf_server, parts).into_iter();
                    unsent.extend(rejected.map(|attempt| (attempt, Outcome::ConnectFailed)));
                }
                Command::Reply {
                    caller,
                    answer,
                    took_s,
                    ..
                } => {
                    self.add_to_digest((took_s * 1e6) as u64 ^ caller);
                    self.receive_final_answer(
                        (caller >> 8) as usize,
                        (caller & 255) as u32,
                        answer,
                    );
                }
                Command::WakeAt { at, wake } => {
                    self.schedule(at, Event::Wake(mixer, incarnation, wake))
                }
                Command::Cancel { attempt } => {
                    self.add_to_digest(3);
                    self.cancel_attempt(mixer, attempt);
                }
                Command::Withdraw { attempt } => {
                    if self.mixers[mixer].pool.withdraw_unsent(attempt) {
                        unsent.push((attempt, Outcome::Superseded));
                    }
                }
                Command::CloseIdle { replica } => self.mixers[mixer].pool.close_idle(replica.0 - 1),
                // The emulated list sends its changes without a request, and outdated deadlines have no effect.
                Command::Watch | Command::CancelWake { .. } | Command::Log(_) => {}
            }
        }
        unsent
    }

    /// Adds an action of a mixer to the digest (FNV-1a).
    fn add_to_digest(&mut self, action: u64) {
        self.digest = (self.digest ^ action).wrapping_mul(0x100_0000_01b3);
    }

    /// Returns whether a mixer runs and is still the process that an event refers to.
    fn is_current(&self, mixer: usize, incarnation: u32) -> bool {
        self.mixers[mixer].incarnation == incarnation && self.mixers[mixer].coordinator.is_some()
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::SendRequest(query, retry) => self.send_request(query, retry),
            Event::ClientDisconnects(query, retry) => self.client_disconnects(query, retry),
            Event::Wake(mixer, incarnation, wake) if self.is_current(mixer, incarnation) => {
                self.drive(mixer, |coordinator, now, out| {
                    coordinator.wake(now, wake, out)
                });
            }
            Event::Wake(..) => {}
            Event::CallArrives(leaf_server, jobs) => self.call_arrives(leaf_server, jobs),
            Event::Progress(server, version) if self.event_versions[server as usize] == version => {
                self.advance(server);
                self.schedule_next_event(server);
            }
            Event::Progress(..) => {}
            Event::HandshakeArrives(leaf_server, mixer, incarnation, connection) => {
                self.handshake_arrives(leaf_server, mixer, incarnation, connection)
            }
            Event::Opened(mixer, incarnation, leaf_server, connection)
                if self.is_current(mixer, incarnation) =>
            {
                self.connection_opened(mixer, leaf_server, connection)
            }
            Event::ConnectFailed(mixer, incarnation, leaf_server, connection)
                if self.is_current(mixer, incarnation) =>
            {
                let waiting = self.mixers[mixer].pool.abort(leaf_server, connection);
                for attempt in waiting.into_iter().map(|part| part.attempt) {
                    self.drive(mixer, |coordinator, now, out| {
                        coordinator.attempt_ended(now, attempt, Outcome::ConnectFailed, None, out);
                    });
                }
            }
            Event::Answer(mixer, incarnation, leaf_server, connection, attempt, answer)
                if self.is_current(mixer, incarnation) =>
            {
                self.answer_arrives(mixer, (leaf_server, connection), attempt, answer);
            }
            Event::Reset(mixer, incarnation, leaf_server, connection)
                if self.is_current(mixer, incarnation) =>
            {
                self.close_connection(mixer, leaf_server, connection, Outcome::Reset);
            }
            Event::Opened(..) | Event::ConnectFailed(..) | Event::Answer(..) | Event::Reset(..) => {
            }
            Event::Expired(mixer, incarnation, attempt) if self.is_current(mixer, incarnation) => {
                self.drive(mixer, |coordinator, now, out| {
                    coordinator.attempt_ended(now, attempt, Outcome::Superseded, None, out)
                });
            }
            Event::Expired(..) => {}
            Event::CancelArrives(leaf_server, job) => self.cancel_arrives(leaf_server, job),
            Event::ListUpdate(mixer, entry) => self.list_update_arrives(mixer, entry),
            Event::Fault(number, begins) => self.apply_fault(number, begins),
            Event::Restart(leaf_server) => self.restart_server(leaf_server),
            Event::ConnectionGoesSilent => self.silence_random_connection(),
        }
    }

    /// Makes a random connection of a random mixer silent.
    fn silence_random_connection(&mut self) {
        let mixer = self.rng.random_range(0..self.mixers.len());
        let draw = self.rng.random_range(0..1 << 20);
        self.mixers[mixer].pool.silence_one(draw);
    }

    /// Handles a changed list entry that arrives at a mixer.
    fn list_update_arrives(&mut self, mixer: usize, entry: ReplicaEntry) {
        if self.mixers[mixer].coordinator.is_none() {
            return;
        }
        let leaf_server = entry.id.0 - 1;
        let is_ready = entry.lifecycle == Lifecycle::Ready;
        self.rules
            .endpoint_listed(self.now, mixer as u32, leaf_server, is_ready);
        self.rules
            .start_listed(mixer as u32, leaf_server, entry.started_at);
        match entry.lifecycle {
            Lifecycle::Removed => self.mixers[mixer].endpoints.remove(&entry.id),
            _ => self.mixers[mixer].endpoints.insert(entry.id, entry),
        };
        self.drive(mixer, |coordinator, now, out| {
            coordinator.update_endpoints(now, false, vec![entry], out)
        });
    }

    /// Stops a mixer. If its machine is lost too, its clients get no reset and wait until their timeout.
    fn stop_mixer(&mut self, mixer: usize, machine_lost: bool) {
        let stopped = &mut self.mixers[mixer];
        if stopped.coordinator.take().is_none() {
            return;
        }
        (stopped.incarnation, stopped.stopped_at) = (stopped.incarnation + 1, self.now);
        stopped.pool = ConnectionPool::new(self.scenario.mixers, self.scenario.site.idle_timeout_s);
        stopped.in_flight.clear();
        self.rules.mixer_stopped(mixer as u32);
        let interrupted: Vec<(usize, u32)> = self
            .open_requests
            .iter()
            .filter(|(_, open)| open.mixer == mixer)
            .map(|(key, _)| *key)
            .collect();
        for (number, retry) in interrupted {
            self.open_requests.remove(&(number, retry));
            self.rules.forget_request(&format!("q{number}-{retry}"));
            self.tally.requests[tally::CLIENT_LEFT] += 1;
            let query = &self.queries[number];
            if machine_lost {
                let ended_s = query.timeout_s;
                self.tally.record_query(self.scenario, query, None, ended_s);
            } else {
                self.retry_or_finish(number, retry, None, false);
            }
        }
    }

    /// Restarts a mixer with the last endpoint list that it received and no other state.
    fn restart_mixer(&mut self, mixer: usize) {
        if self.mixers[mixer].coordinator.is_some() {
            return;
        }
        let incarnation = self.mixers[mixer].incarnation;
        self.mixers[mixer].coordinator = Some(self.new_coordinator(mixer as u32, incarnation));
        let entries: Vec<ReplicaEntry> = self.mixers[mixer].endpoints.values().copied().collect();
        self.drive(mixer, |coordinator, now, out| {
            coordinator.update_endpoints(now, true, entries, out)
        });
    }
}

/// Returns the state of a mixer on which the choice of a connection depends.
fn selection_context(
    deployment: &Deployment,
    coordinator: &Coordinator,
    now: f64,
) -> SelectionContext {
    let objectives = deployment
        .policy
        .classes
        .iter()
        .map(|class| class.latency_objective_s);
    SelectionContext {
        now,
        shortest_objective_s: objectives.fold(f64::MAX, f64::min),
        late_s: coordinator.slowest_class_p95_s(),
        max_streams: deployment.streams_per_connection,
    }
}
