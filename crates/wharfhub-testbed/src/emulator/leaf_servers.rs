//! Calls from emulated mixers to leaf servers: connections, network delays, execution and answers.

use super::{selection_context, Emulator, Event, Job, Task, CONNECT_TIMEOUT_S, SAME_ZONE_DELAY_S};
use crate::connections::Selection;
use crate::model::{Admission, IncomingJob, ServerFault};
use crate::rules;
use rand::Rng;
use std::rc::Rc;
use wharfhub::decisions::api::{Lifecycle, Outcome};
use wharfhub::requests::coordinator::{AttemptKey, CallPart};

impl Emulator<'_> {
    /// Draws the one-way network delay between a mixer and a leaf server (seconds).
    pub(super) fn delay_s(&mut self, mixer: usize, leaf_server: u32) -> f64 {
        let is_same_zone =
            self.scenario.mixer_zone(mixer as u32) == self.scenario.zone(leaf_server);
        let inter_zone_delay_s = self.scenario.site.inter_zone_delay_s;
        if is_same_zone {
            SAME_ZONE_DELAY_S
        } else {
            self.rng
                .random_range(inter_zone_delay_s.0..inter_zone_delay_s.1)
        }
    }

    /// Sends a call on a suitable connection or queues it for one that is being established. Returns the attempts for which the
    /// pool has no connection.
    pub(super) fn send_call(
        &mut self,
        mixer: usize,
        leaf_server: u32,
        mut parts: Vec<CallPart>,
    ) -> Vec<AttemptKey> {
        let now = self.now;
        let sender = &mut self.mixers[mixer];
        let Some(coordinator) = &sender.coordinator else {
            return Vec::new();
        };
        // Parts whose attempt has ended since the coordinator issued the call are not sent.
        parts.retain(|part| coordinator.is_in_flight(part.attempt));
        if parts.is_empty() {
            return Vec::new();
        }
        let context = selection_context(&self.deployment, coordinator, now);
        match sender.pool.select(leaf_server, parts.len(), &context) {
            Selection::Open(connection) => {
                self.send_on_connection(mixer, leaf_server, connection, parts)
            }
            Selection::Connecting(connection) => {
                self.mixers[mixer]
                    .pool
                    .queue(leaf_server, connection, parts)
            }
            Selection::New(connection) => {
                self.mixers[mixer]
                    .pool
                    .queue(leaf_server, connection, parts);
                let delay_s = self.delay_s(mixer, leaf_server);
                let incarnation = self.mixers[mixer].incarnation;
                self.schedule(
                    now + 2.0 * delay_s,
                    Event::HandshakeArrives(leaf_server, mixer, incarnation, connection),
                );
                self.schedule(
                    now + CONNECT_TIMEOUT_S,
                    Event::ConnectFailed(mixer, incarnation, leaf_server, connection),
                );
            }
            Selection::PoolFull => return parts.into_iter().map(|part| part.attempt).collect(),
        }
        Vec::new()
    }

    /// Handles a handshake that arrives at a leaf server.
    pub(super) fn handshake_arrives(
        &mut self,
        leaf_server: u32,
        mixer: usize,
        incarnation: u32,
        connection: u64,
    ) {
        self.advance(leaf_server);
        let server = &mut self.leaf_servers[leaf_server as usize];
        match server.fault {
            ServerFault::Lost => return,
            ServerFault::Dead => {
                self.schedule(
                    self.now,
                    Event::ConnectFailed(mixer, incarnation, leaf_server, connection),
                );
                return;
            }
            _ => {}
        }
        self.handshakes += 1;
        let work_s = self.scenario.site.handshake_work_s;
        if work_s <= 0.0 || self.scenario.is_ideal {
            self.schedule(
                self.now,
                Event::Opened(mixer, incarnation, leaf_server, connection),
            );
            return;
        }
        server.add_priority_work(Task::Handshake(mixer, incarnation, connection), work_s);
        self.schedule_next_event(leaf_server);
    }

    /// Sends the parts that waited for a connection, after the connection was established.
    pub(super) fn connection_opened(&mut self, mixer: usize, leaf_server: u32, connection: u64) {
        let Some(waiting) = self.mixers[mixer]
            .pool
            .connected(leaf_server, connection, self.now)
        else {
            return;
        };
        let max = self.scenario.site.call.0.max(1) as usize;
        let mut waiting = waiting.into_iter().peekable();
        while waiting.peek().is_some() {
            let call: Vec<CallPart> = waiting.by_ref().take(max).collect();
            self.send_on_connection(mixer, leaf_server, connection, call);
        }
    }

    /// Sends a call on an established connection, without the parts whose attempt has ended or whose send window has closed.
    pub(super) fn send_on_connection(
        &mut self,
        mixer: usize,
        leaf_server: u32,
        connection: u64,
        parts: Vec<CallPart>,
    ) {
        let delay_s = self.delay_s(mixer, leaf_server);
        let incarnation = self.mixers[mixer].incarnation;
        let mut numbers = Vec::new();
        let mut late = Vec::new();
        for part in parts {
            let Some(coordinator) = &self.mixers[mixer].coordinator else {
                return;
            };
            if !coordinator.is_in_flight(part.attempt) {
                continue;
            }
            if part.send_by < self.now {
                late.push(part.attempt);
                continue;
            }
            self.check_send(mixer, leaf_server, &part);
            // The fixed work of the call is charged to its first part.
            let call_work_s = if numbers.is_empty() {
                self.scenario.site.call.1
            } else {
                0.0
            };
            let job = Job {
                mixer,
                incarnation,
                connection,
                attempt: part.attempt,
                query: query_number(&part.query_request.id),
                query_request: part.query_request,
                index: part.index,
                pre_check: part.pre_check,
                call_work_s,
                sent_at: self.now,
                delay_s,
            };
            numbers.push(self.add_job(leaf_server, job));
        }
        if !numbers.is_empty() && !self.mixers[mixer].pool.is_silent(leaf_server, connection) {
            self.schedule(self.now + delay_s, Event::CallArrives(leaf_server, numbers));
        }
        for attempt in late {
            self.schedule(self.now, Event::Expired(mixer, incarnation, attempt));
        }
    }

    /// Counts an attempt that is sent, and passes it to the rule checker.
    fn check_send(&mut self, mixer: usize, leaf_server: u32, part: &CallPart) {
        let query_request = &part.query_request;
        let query = &self.queries[query_number(&query_request.id)];
        let shard = query_request.parts[part.index].shard;
        self.tally.attempts_sent += 1;
        self.tally.prechecks += u64::from(part.pre_check);
        self.rules.part_sent(
            self.now,
            (mixer as u32, leaf_server),
            &query_request.id,
            query,
            (shard, part.pre_check),
        );
        if part.pre_check && !self.supports_pre_check[leaf_server as usize] {
            self.rules.record_violation(format!(
                "phases: leaf server {leaf_server} got a pre-check, which it does not support"
            ));
        }
    }

    /// Records an attempt in flight and returns the number of its job.
    fn add_job(&mut self, leaf_server: u32, job: Job) -> u64 {
        self.last_job += 1;
        let number = self.last_job;
        let mixer = &mut self.mixers[job.mixer];
        mixer
            .in_flight
            .insert(job.attempt, (leaf_server, job.connection, number));
        mixer
            .pool
            .attempt_sent(leaf_server, job.connection, job.attempt, self.now);
        self.jobs.insert(number, job);
        number
    }

    /// Cancels an attempt that the mixer no longer waits for.
    pub(super) fn cancel_attempt(&mut self, mixer: usize, attempt: AttemptKey) {
        // An attempt that still waits for its connection is dropped when the connection is established.
        let Some((leaf_server, connection, number)) = self.mixers[mixer].in_flight.remove(&attempt)
        else {
            return;
        };
        let now = self.now;
        let sender = &mut self.mixers[mixer];
        if let Some(coordinator) = &sender.coordinator {
            sender.pool.attempt_abandoned(
                leaf_server,
                connection,
                attempt,
                &selection_context(&self.deployment, coordinator, now),
            );
        }
        if let Some(job) = self.jobs.get(&number) {
            self.rules.attempt_over(
                &job.query_request.id,
                job.query_request.parts[job.index].shard,
            );
            let delay_s = job.delay_s;
            if !self.mixers[mixer].pool.is_silent(leaf_server, connection) {
                self.schedule(now + delay_s, Event::CancelArrives(leaf_server, number));
            }
        }
    }

    /// Handles an answer that arrives at a mixer.
    pub(super) fn answer_arrives(
        &mut self,
        mixer: usize,
        (leaf_server, connection): (u32, u64),
        attempt: AttemptKey,
        (outcome, value, sent_at): (Outcome, Option<Rc<str>>, f64),
    ) {
        let now = self.now;
        let pool = &mut self.mixers[mixer].pool;
        if pool.is_silent(leaf_server, connection)
            || !pool.answer_received(leaf_server, connection, attempt, now)
        {
            return; // the connection is silent or closed, so the answer is lost
        }
        if self.mixers[mixer].in_flight.remove(&attempt).is_some() {
            self.drive(mixer, |coordinator, now, out| {
                coordinator.attempt_ended(now, attempt, outcome, value, out)
            });
        }
        let receiver = &self.mixers[mixer];
        let Some(coordinator) = &receiver.coordinator else {
            return;
        };
        // The leaf server answers, so if another of its connections has been silent for long, that connection is faulty.
        for silent in receiver.pool.suspect_ids(
            leaf_server,
            &selection_context(&self.deployment, coordinator, now),
            sent_at,
        ) {
            self.close_connection(mixer, leaf_server, silent, Outcome::Cancelled);
        }
    }

    /// Closes a connection and ends all attempts on it with `outcome`.
    pub(super) fn close_connection(
        &mut self,
        mixer: usize,
        leaf_server: u32,
        connection: u64,
        outcome: Outcome,
    ) {
        for attempt in self.mixers[mixer].pool.close(leaf_server, connection) {
            let flight = self.mixers[mixer].in_flight.remove(&attempt);
            if let Some(job) = flight.and_then(|(_, _, job)| self.jobs.remove(&job)) {
                self.rules.attempt_over(
                    &job.query_request.id,
                    job.query_request.parts[job.index].shard,
                );
            }
            // Attempts that were not sent yet were not executed.
            let outcome = if flight.is_some() {
                outcome
            } else {
                Outcome::ConnectFailed
            };
            self.drive(mixer, |coordinator, now, out| {
                coordinator.attempt_ended(now, attempt, outcome, None, out)
            });
        }
    }

    /// Resets the connections of all mixers to a leaf server.
    pub(super) fn reset_connections(&mut self, leaf_server: u32) {
        for mixer in 0..self.mixers.len() {
            let (incarnation, delay_s) = (
                self.mixers[mixer].incarnation,
                self.delay_s(mixer, leaf_server),
            );
            for connection in self.mixers[mixer].pool.ids(leaf_server) {
                self.schedule(
                    self.now + delay_s,
                    Event::Reset(mixer, incarnation, leaf_server, connection),
                );
            }
        }
    }

    /// Advances a leaf server to the current time, and answers the parts and handshakes that it has completed.
    pub(super) fn advance(&mut self, leaf_server: u32) {
        let completed = self.leaf_servers[leaf_server as usize].advance(self.now, self.slowdown);
        for task in completed {
            match task {
                Task::Part(number) => self.part_completed(leaf_server, number),
                Task::Handshake(mixer, incarnation, connection) => {
                    let delay_s = self.delay_s(mixer, leaf_server);
                    self.schedule(
                        self.now + delay_s,
                        Event::Opened(mixer, incarnation, leaf_server, connection),
                    );
                }
            }
        }
    }

    /// Schedules the next event of a leaf server. An event that was scheduled earlier has no effect any more.
    pub(super) fn schedule_next_event(&mut self, leaf_server: u32) {
        let index = leaf_server as usize;
        self.event_versions[index] += 1;
        if let Some(at) = self.leaf_servers[index].next_event_at(self.now, self.slowdown) {
            let version = self.event_versions[index];
            self.schedule(at, Event::Progress(leaf_server, version));
        }
    }

    /// Handles a call that arrives at a leaf server.
    pub(super) fn call_arrives(&mut self, leaf_server: u32, numbers: Vec<u64>) {
        self.advance(leaf_server);
        for number in numbers {
            self.part_arrives(leaf_server, number);
        }
        self.schedule_next_event(leaf_server);
    }

    /// Returns the share of a part's full work that an attempt takes.
    fn work_share(&self, pre_check: bool) -> f64 {
        if pre_check {
            self.scenario.pre_check_work
        } else {
            1.0
        }
    }

    /// Handles one part of an incoming call. Rejections and errors are answered at once.
    pub(super) fn part_arrives(&mut self, leaf_server: u32, number: u64) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let part = self.queries[job.query].parts[job.index];
        let class = &self.scenario.site.classes[self.queries[job.query].class];
        let work_s = part.work_s * self.work_share(job.pre_check);
        let (mixer, incarnation, connection, attempt) =
            (job.mixer, job.incarnation, job.connection, job.attempt);
        let (id, sent_at, arrives_at) = (
            job.query_request.id.clone(),
            job.sent_at,
            self.now + job.delay_s,
        );
        let is_prioritized = job.pre_check && self.scenario.pre_check_first;
        let task = Task::Part(number);
        let nominal_work_s = class.work_s + job.call_work_s;
        let sender_knows_start = self.rules.knows_start(
            mixer as u32,
            leaf_server,
            self.leaf_servers[leaf_server as usize].started_at,
        );
        let incoming = IncomingJob {
            job: task,
            work_s: work_s + job.call_work_s,
            nominal_work_s,
            is_prioritized,
            sender_knows_start,
        };
        let draw: f64 = self.rng.random();
        let admission = self.leaf_servers[leaf_server as usize].arrive(self.now, incoming, draw);
        if matches!(
            admission,
            Admission::Accepted | Admission::Failed | Admission::Ignored
        ) {
            self.rules.part_ran(&id, part.shard, sent_at);
        }
        let outcome = match admission {
            Admission::Accepted => {
                self.tally.work_s[self.queries[job.query].class] += work_s;
                self.jobs_by_server[leaf_server as usize].insert(number);
                return;
            }
            Admission::Ignored => {
                self.jobs_by_server[leaf_server as usize].insert(number);
                return;
            }
            Admission::QueueFull => Outcome::Rejected,
            Admission::Failed => Outcome::Error,
            Admission::Refused => Outcome::Reset,
        };
        self.send_answer(
            leaf_server,
            number,
            (mixer, incarnation, connection),
            (attempt, outcome, None),
            arrives_at,
        );
    }

    /// Sends the outcome of a job to its mixer, where it arrives at the time `at`.
    pub(super) fn send_answer(
        &mut self,
        leaf_server: u32,
        number: u64,
        (mixer, incarnation, connection): (usize, u32, u64),
        (attempt, outcome, value): (AttemptKey, Outcome, Option<Rc<str>>),
        at: f64,
    ) {
        let job = self.jobs.remove(&number);
        let sent_at = job.as_ref().map_or(0.0, |job| job.sent_at);
        if let Some(job) = job.filter(|_| self.is_current(mixer, incarnation)) {
            if self.mixers[mixer].in_flight.contains_key(&attempt) {
                self.rules.attempt_over(
                    &job.query_request.id,
                    job.query_request.parts[job.index].shard,
                );
            }
        }
        self.schedule(
            at,
            Event::Answer(
                mixer,
                incarnation,
                leaf_server,
                connection,
                attempt,
                (outcome, value, sent_at),
            ),
        );
    }

    /// Answers a part that a leaf server has completed, unless the server sends no answers.
    pub(super) fn part_completed(&mut self, leaf_server: u32, number: u64) {
        let silent = matches!(
            self.leaf_servers[leaf_server as usize].fault,
            ServerFault::Silent | ServerFault::Lost
        );
        self.jobs_by_server[leaf_server as usize].remove(&number);
        let Some(job) = self.jobs.get(&number).filter(|_| !silent) else {
            return;
        };
        let part = self.queries[job.query].parts[job.index];
        let outcome = if job.pre_check && part.matches {
            Outcome::Matches
        } else {
            Outcome::Ok
        };
        let value = rules::part_value(
            &job.query_request.id,
            part.shard,
            leaf_server,
            job.pre_check,
        );
        let value = (outcome == Outcome::Ok).then(|| Rc::from(value));
        let (target, arrives_at) = (
            (job.mixer, job.incarnation, job.connection),
            self.now + job.delay_s,
        );
        let attempt = job.attempt;
        self.send_answer(
            leaf_server,
            number,
            target,
            (attempt, outcome, value),
            arrives_at,
        );
    }

    /// Handles the cancellation of a part at a leaf server.
    pub(super) fn cancel_arrives(&mut self, leaf_server: u32, number: u64) {
        if !matches!(
            self.leaf_servers[leaf_server as usize].fault,
            ServerFault::None | ServerFault::Fails(_)
        ) {
            return;
        }
        self.advance(leaf_server);
        if let Some(remaining_s) =
            self.leaf_servers[leaf_server as usize].cancel(Task::Part(number))
        {
            self.jobs_by_server[leaf_server as usize].remove(&number);
            if let Some(job) = self.jobs.remove(&number) {
                self.tally.work_s[self.queries[job.query].class] -=
                    (remaining_s - job.call_work_s).max(0.0);
            }
        }
        self.schedule_next_event(leaf_server);
    }

    /// Kills the process of a leaf server and resets its connections.
    pub(super) fn server_dies(&mut self, leaf_server: u32) {
        self.advance(leaf_server);
        self.leaf_servers[leaf_server as usize].die();
        self.event_versions[leaf_server as usize] += 1;
        self.jobs_by_server[leaf_server as usize].clear();
        self.reset_connections(leaf_server);
    }

    /// Starts a new process of a leaf server and announces it to the mixers.
    pub(super) fn restart_server(&mut self, leaf_server: u32) {
        if self.leaf_servers[leaf_server as usize].fault == ServerFault::Lost {
            self.server_dies(leaf_server); // the restored machine resets connections that the mixers still keep open
        }
        self.leaf_servers[leaf_server as usize].start(self.now);
        self.send_list_updates(leaf_server, Lifecycle::Ready);
    }

    /// Sends a changed list entry to each mixer, with the delay of discovery.
    pub(super) fn send_list_updates(&mut self, leaf_server: u32, lifecycle: Lifecycle) {
        let entry = self.replica_entry(leaf_server, lifecycle);
        for mixer in 0..self.mixers.len() {
            let lag_s = self
                .rng
                .random_range(self.scenario.list_delay_s.0..=self.scenario.list_delay_s.1);
            self.schedule(self.now + lag_s, Event::ListUpdate(mixer, entry));
        }
    }
}

/// Returns the number of the query to which a request id (`qNUMBER-RETRY`) belongs.
fn query_number(request_id: &str) -> usize {
    request_id[1..]
        .split('-')
        .next()
        .and_then(|number| number.parse().ok())
        .unwrap_or(0)
}
