//! Stand-in leaf servers on loopback sockets, which run the model of `model.rs` behind the frame protocol and the search API.
//!
//! Each stand-in has one thread that completes jobs at their time and one reader thread per connection. All behaviour comes
//! from the model, so that runs on sockets and in virtual time agree.

use crate::model::{Admission, IncomingJob, LeafServer, ServerFault};
use crate::rules::{self, RuleChecker};
use crate::site::{Fault, Query, Scenario};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Maximum length of a frame, HTTP head or HTTP body that a stand-in reads.
const MAX_FRAME_BYTES: usize = 1 << 20;
const MAX_HEADERS: usize = 64;
/// Random number stream that selects the slow servers.
const SLOW_SERVERS_RNG_STREAM: u64 = 20;

/// Locks a mutex even if a thread has panicked while holding it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

fn invalid() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// State shared by the stand-ins and clients of a scenario on sockets.
pub struct Shared {
    /// Scenario that is run.
    pub scenario: Scenario,
    /// Queries of the scenario.
    pub queries: Vec<Query>,
    /// Time at which the scenario begins.
    pub start: Instant,
    /// Checker of the mixer's behaviour.
    pub rules: Mutex<RuleChecker>,
    /// Totals of all leaf servers: work by class (core seconds), number of attempts, and how many of these were pre-checks.
    pub work: Mutex<(Vec<f64>, u64, u64)>,
}

impl Shared {
    /// Returns the time since the beginning of the scenario (seconds); negative before it.
    pub fn now(&self) -> f64 {
        match self.start.checked_duration_since(Instant::now()) {
            Some(before) => -before.as_secs_f64(),
            None => self.start.elapsed().as_secs_f64(),
        }
    }

    /// Returns the factor by which all leaf servers are slower at this time.
    fn common_slowdown(&self, now: f64) -> f64 {
        let slow = |(from, to, fault): &(f64, f64, Fault)| match fault {
            Fault::Slow(factor) if (*from..*to).contains(&now) => Some(*factor),
            _ => None,
        };
        self.scenario.faults.iter().find_map(slow).unwrap_or(1.0)
    }
}

/// Part that a leaf server has accepted, with the connection for its answer.
struct AcceptedPart {
    stream: Arc<Mutex<TcpStream>>,
    id: String, // request id, without the shard
    shard: u32,
    matches: bool,
    pre_check: bool,
    is_search: bool,
}

struct State {
    model: LeafServer<u64>,
    accepted: BTreeMap<u64, AcceptedPart>,
    last_job: u64,
    rng: ChaCha8Rng,
}

/// Stand-in for one leaf server.
pub struct StandIn {
    number: u32,
    shared: Arc<Shared>,
    state: Mutex<State>,
    changed: Condvar,
}

/// Starts a stand-in, with the search API or else the frame protocol, and returns its address. Its threads run until the process
/// ends.
pub fn open(shared: &Arc<Shared>, number: u32, is_search: bool) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let mut model = LeafServer::new(shared.scenario.leaf_server_setup(number));
    model.slowdown = own_slowdown(&shared.scenario, number);
    let state = State {
        model,
        accepted: BTreeMap::new(),
        last_job: 0,
        rng: shared.scenario.rng(1000 + u64::from(number)),
    };
    let stand_in = Arc::new(StandIn {
        number,
        shared: shared.clone(),
        state: Mutex::new(state),
        changed: Condvar::new(),
    });
    let worker = stand_in.clone();
    std::thread::spawn(move || worker.complete_jobs());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let stand_in = stand_in.clone();
            std::thread::spawn(move || {
                // Invalid input closes the connection, as at a real leaf server.
                let _ = stream
                    .set_nodelay(true)
                    .and_then(|()| stand_in.serve(stream, is_search));
            });
        }
    });
    Ok(address)
}

/// Returns the factor by which a leaf server itself is slower. On sockets, servers affected by `SomeSlow` are slow throughout
/// the scenario.
fn own_slowdown(scenario: &Scenario, number: u32) -> f64 {
    let slowdown = |(_, _, fault): &(f64, f64, Fault)| match fault {
        Fault::SomeSlow(share, factor) => scenario
            .draw_leaf_servers(SLOW_SERVERS_RNG_STREAM, *share)
            .contains(&number)
            .then_some(*factor),
        _ => None,
    };
    scenario.faults.iter().find_map(slowdown).unwrap_or(1.0)
}

impl StandIn {
    fn serve(&self, stream: TcpStream, is_search: bool) -> io::Result<()> {
        let out = Arc::new(Mutex::new(stream.try_clone()?));
        let mut reader = BufReader::new(stream);
        loop {
            if is_search {
                self.read_request(&mut reader, &out)?;
            } else {
                self.read_frame(&mut reader, &out)?;
            }
        }
    }

    fn read_frame(&self, reader: &mut impl Read, out: &Arc<Mutex<TcpStream>>) -> io::Result<()> {
        let mut head = [0; 4];
        reader.read_exact(&mut head)?;
        let length = u32::from_be_bytes(head) as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return Err(invalid());
        }
        let mut frame = vec![0; length];
        reader.read_exact(&mut frame)?;
        if frame[0] == b'c' {
            self.cancel(&String::from_utf8_lossy(&frame[1..]), out);
        }
        if frame[0] != b'q' {
            return Ok(());
        }
        let mut call_work_s = self.shared.scenario.site.call.1;
        let mut rest = &frame[1..];
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = std::str::from_utf8(&rest[..end]).map_err(|_| invalid())?;
            let [id, _, list, length] = line.split(' ').collect::<Vec<_>>()[..] else {
                return Err(invalid());
            };
            let length: usize = length.parse().map_err(|_| invalid())?;
            let pre_check = list.split(',').any(|field| field == "p=1");
            self.accept_part(
                id,
                (pre_check, std::mem::take(&mut call_work_s)),
                false,
                out,
            )?;
            rest = rest.get(end + 1 + length..).ok_or_else(invalid)?;
        }
        Ok(())
    }

    fn read_request(
        &self,
        reader: &mut impl BufRead,
        out: &Arc<Mutex<TcpStream>>,
    ) -> io::Result<()> {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            if reader.read_until(b'\n', &mut head)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            if head.len() > MAX_FRAME_BYTES {
                return Err(invalid());
            }
        }
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut request = httparse::Request::new(&mut headers);
        request.parse(&head).map_err(|_| invalid())?;
        let header = |name: &str| {
            let found = request
                .headers
                .iter()
                .find(|header| header.name.eq_ignore_ascii_case(name))?;
            std::str::from_utf8(found.value).ok()
        };
        let length = header("content-length")
            .map_or(Ok(0), |text| text.parse::<usize>().map_err(|_| invalid()))?;
        let (id, pre_check) = (
            header("x-request-id").unwrap_or_default(),
            request.path.unwrap_or_default().contains("/_count"),
        );
        if length > MAX_FRAME_BYTES {
            return Err(invalid());
        }
        reader.read_exact(&mut vec![0; length])?;
        self.accept_part(id, (pre_check, 0.0), true, out)
    }

    /// Handles the arrival of a part. `id` is the request id, a dot and the shard. `call_work_s` is the fixed work of the call,
    /// which is charged to the first part of each call.
    fn accept_part(
        &self,
        id: &str,
        (pre_check, call_work_s): (bool, f64),
        is_search: bool,
        out: &Arc<Mutex<TcpStream>>,
    ) -> io::Result<()> {
        let (id, shard) = id.rsplit_once('.').ok_or_else(invalid)?;
        let shard: u32 = shard.parse().map_err(|_| invalid())?;
        let query = self.query_of(id).ok_or_else(invalid)?;
        let part = query.parts.iter().find(|part| part.shard == shard);
        let part = *part.ok_or_else(invalid)?;
        let now = self.shared.now();
        {
            let mut rules = lock(&self.shared.rules);
            rules.part_sent(now, (0, self.number), id, query, (shard, pre_check));
            // The stand-in can't see whether the mixer still waits for an earlier attempt, so no attempt counts as in flight.
            rules.attempt_over(id, shard);
        }
        let scenario = &self.shared.scenario;
        let work_share = if pre_check {
            scenario.pre_check_work
        } else {
            1.0
        };
        let work_s = part.work_s * work_share;
        let mut state = lock(&self.state);
        self.advance(&mut state, now);
        state.last_job += 1;
        let draw = state.rng.random();
        let incoming = IncomingJob {
            job: state.last_job,
            work_s: work_s + call_work_s,
            nominal_work_s: scenario.site.classes[query.class].work_s + call_work_s,
            is_prioritized: pre_check && scenario.pre_check_first,
            sender_knows_start: true,
        };
        let admission = state.model.arrive(now, incoming, draw);
        let accepted = AcceptedPart {
            stream: out.clone(),
            id: id.into(),
            shard,
            matches: part.matches,
            pre_check,
            is_search,
        };
        self.count(now, &accepted, admission, query.class, work_s);
        self.handle_admission(now, &mut state, admission, accepted)
    }

    /// Returns the query to which a request id refers: a letter and the query's number, up to the first hyphen.
    fn query_of(&self, id: &str) -> Option<&Query> {
        let number: usize = id[1..].split('-').next()?.parse().ok()?;
        self.shared.queries.get(number)
    }

    /// Adds an attempt to the totals and notifies the rule checker if the part may be executed.
    fn count(
        &self,
        now: f64,
        part: &AcceptedPart,
        admission: Admission,
        class: usize,
        work_s: f64,
    ) {
        if matches!(
            admission,
            Admission::Accepted | Admission::Failed | Admission::Ignored
        ) {
            lock(&self.shared.rules).part_ran(&part.id, part.shard, now);
        }
        let mut work = lock(&self.shared.work);
        work.1 += 1;
        work.2 += u64::from(part.pre_check);
        if admission == Admission::Accepted {
            work.0[class] += work_s;
        }
    }

    /// Stores a part that the model accepted, or answers it at once.
    fn handle_admission(
        &self,
        now: f64,
        state: &mut State,
        admission: Admission,
        part: AcceptedPart,
    ) -> io::Result<()> {
        match admission {
            Admission::Accepted => {
                let job = state.last_job;
                state.accepted.insert(job, part);
                // Jobs that take no time are completed at once.
                self.advance(state, now);
                if !state.accepted.is_empty() {
                    self.changed.notify_one();
                }
            }
            Admission::QueueFull => self.answer(&part, "skipped"),
            Admission::Failed => self.answer(&part, "broke"),
            Admission::Ignored => {}
            Admission::Refused => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        Ok(())
    }

    /// Cancels the part `ID.SHARD` that arrived on this connection.
    fn cancel(&self, id: &str, out: &Arc<Mutex<TcpStream>>) {
        let mut state = lock(&self.state);
        self.advance(&mut state, self.shared.now());
        let is_same = |accepted: &AcceptedPart| {
            Arc::ptr_eq(&accepted.stream, out)
                && format!("{}.{}", accepted.id, accepted.shard) == id
        };
        let Some(job) = state
            .accepted
            .iter()
            .find(|(_, accepted)| is_same(accepted))
            .map(|(job, _)| *job)
        else {
            return;
        };
        if state.model.cancel(job).is_some() {
            state.accepted.remove(&job);
            self.changed.notify_one();
        }
    }

    /// Advances the model to `now` and answers the completed parts.
    fn advance(&self, state: &mut State, now: f64) {
        for job in state.model.advance(now, self.shared.common_slowdown(now)) {
            let silent = state.model.fault == ServerFault::Silent;
            if let Some(accepted) = state.accepted.remove(&job).filter(|_| !silent) {
                self.answer(
                    &accepted,
                    if accepted.pre_check && accepted.matches {
                        "match"
                    } else {
                        "served"
                    },
                );
            }
        }
    }

    /// Completes jobs at their time; runs in a thread of its own.
    fn complete_jobs(&self) {
        let mut state = lock(&self.state);
        loop {
            let now = self.shared.now();
            self.advance(&mut state, now);
            state = match state
                .model
                .next_event_at(now, self.shared.common_slowdown(now))
            {
                Some(at) => {
                    let wait = Duration::from_secs_f64((at - now).clamp(1e-5, 1.0));
                    match self.changed.wait_timeout(state, wait) {
                        Ok((state, _)) => state,
                        Err(poisoned) => poisoned.into_inner().0,
                    }
                }
                None => self
                    .changed
                    .wait(state)
                    .unwrap_or_else(|poisoned| poisoned.into_inner()),
            };
        }
    }

    /// Writes an answer. Errors are ignored, because the mixer may have closed the connection.
    fn answer(&self, accepted: &AcceptedPart, result: &str) {
        let value = rules::part_value(
            &accepted.id,
            accepted.shard,
            self.number,
            accepted.pre_check,
        );
        let bytes = if accepted.is_search {
            search_answer(accepted, result, &value)
        } else {
            frame_answer(accepted, result, &value)
        };
        let _ = lock(&accepted.stream).write_all(&bytes);
    }
}

fn frame_answer(accepted: &AcceptedPart, result: &str, value: &str) -> Vec<u8> {
    let (result, value) = match (result, accepted.pre_check) {
        ("served", true) => ("none", value),
        ("served", false) => ("served", value),
        (result, _) => (result, ""),
    };
    let rest = format!(
        "a{}.{} {result} 0 qps=1\n{value}",
        accepted.id, accepted.shard
    );
    [&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat()
}

fn search_answer(accepted: &AcceptedPart, result: &str, value: &str) -> Vec<u8> {
    let shards = "\"_shards\":{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0}";
    let (status, body) = match (result, accepted.pre_check) {
        ("skipped", _) => (
            "429 Too Many Requests",
            "{\"error\":{},\"status\":429}".to_string(),
        ),
        ("broke", _) => (
            "503 Service Unavailable",
            "{\"error\":{},\"status\":503}".to_string(),
        ),
        ("match", _) => ("200 OK", format!("{{\"count\":1,{shards}}}")),
        (_, true) => ("200 OK", format!("{{\"count\":0,{shards}}}")),
        (_, false) => {
            let hits = format!(
                "{{\"total\":{{\"value\":1,\"relation\":\"eq\"}},\"hits\":[{{\"_id\":\"{value}\"}}]}}"
            );
            (
                "200 OK",
                format!("{{\"took\":1,\"timed_out\":false,{shards},\"hits\":{hits}}}"),
            )
        }
    };
    let length = body.len();
    format!("HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {length}\r\n\r\n{body}")
        .into_bytes()
}
