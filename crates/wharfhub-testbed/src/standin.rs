//! Leaf servers that stand in for real ones, on loopback sockets: the model of `model.rs` behind both styles.
//!
//! This file owns their sockets and clock. Each leaf server has a thread that ends jobs when their time has come, and one for
//! each connection that reads. It must never decide what a leaf server does (the model does), and never answer with a value
//! but its own.

use crate::model::{Arrival, Arriving, LeafServer, ServerFault};
use crate::rules::{self, RuleChecker};
use crate::site::{Fault, Query, Scenario};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

/// Longest frame, head or body that a stand-in reads.
const MAX_FRAME_BYTES: usize = 1 << 20;
const MAX_HEADERS: usize = 64;
/// The purpose of the draw that says which servers are slow.
const SLOW_SERVERS_DRAW: u64 = 20;

/// A lock that a thread that died leaves usable.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(|broken| broken.into_inner())
}

fn invalid() -> io::Error {
    io::ErrorKind::InvalidData.into()
}

/// What all that take part in a scenario on sockets share.
pub struct Shared {
    /// The scenario.
    pub scenario: Scenario,
    /// What is asked on it.
    pub queries: Vec<Query>,
    /// When it began.
    pub start: Instant,
    /// The judge.
    pub rules: Mutex<RuleChecker>,
    /// Work of all leaf servers by class (core seconds), attempts, and words.
    pub work: Mutex<(Vec<f64>, u64, u64)>,
}

impl Shared {
    /// Time of the scenario (seconds); below 0 before it begins.
    pub fn now(&self) -> f64 {
        match self.start.checked_duration_since(Instant::now()) {
            Some(before) => -before.as_secs_f64(),
            None => self.start.elapsed().as_secs_f64(),
        }
    }

    /// How many times slower all leaf servers are now.
    fn slow(&self, now: f64) -> f64 {
        let slow = |(from, to, fault): &(f64, f64, Fault)| match fault {
            Fault::Slow(factor) if (*from..*to).contains(&now) => Some(*factor),
            _ => None,
        };
        self.scenario.faults.iter().find_map(slow).unwrap_or(1.0)
    }
}

/// A job that a leaf server holds: how its answer goes back.
struct AcceptedPart {
    stream: Arc<Mutex<TcpStream>>,
    id: String, // of the request, without the shard
    shard: u32,
    matches: bool,
    pre_check: bool,
    search: bool,
}

struct Inside {
    stock: LeafServer<u64>,
    accepted: BTreeMap<u64, AcceptedPart>,
    last: u64,
    rng: ChaCha8Rng,
}

/// One leaf server.
pub struct Stand {
    number: u32,
    shared: Arc<Shared>,
    inside: Mutex<Inside>,
    changed: Condvar,
}

/// Opens a leaf server; gives its address. Its threads end with the process.
pub fn open(shared: &Arc<Shared>, number: u32, search: bool) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let mut stock = LeafServer::new(shared.scenario.leaf_server_setup(number));
    stock.slower = own_slowdown(&shared.scenario, number);
    let inside = Inside {
        stock,
        accepted: BTreeMap::new(),
        last: 0,
        rng: shared.scenario.rng(1000 + u64::from(number)),
    };
    let stand = Arc::new(Stand {
        number,
        shared: shared.clone(),
        inside: Mutex::new(inside),
        changed: Condvar::new(),
    });
    let ending = stand.clone();
    std::thread::spawn(move || ending.end_jobs());
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let stand = stand.clone();
            std::thread::spawn(move || {
                // What can't be used ends its connection, as at a real leaf server.
                let _ = stream
                    .set_nodelay(true)
                    .and_then(|()| stand.serve(stream, search));
            });
        }
    });
    Ok(address)
}

/// How many times slower than usual a leaf server is by itself: those that a `SomeSlow` concerns are slow all scenario.
fn own_slowdown(scenario: &Scenario, number: u32) -> f64 {
    let slowdown = |(_, _, fault): &(f64, f64, Fault)| match fault {
        Fault::SomeSlow(share, factor) => scenario
            .draw_leaf_servers(SLOW_SERVERS_DRAW, *share)
            .contains(&number)
            .then_some(*factor),
        _ => None,
    };
    scenario.faults.iter().find_map(slowdown).unwrap_or(1.0)
}

impl Stand {
    fn serve(&self, stream: TcpStream, search: bool) -> io::Result<()> {
        let out = Arc::new(Mutex::new(stream.try_clone()?));
        let mut reader = BufReader::new(stream);
        loop {
            if search {
                self.take_request(&mut reader, &out)?;
            } else {
                self.take_frame(&mut reader, &out)?;
            }
        }
    }

    fn take_frame(&self, reader: &mut impl Read, out: &Arc<Mutex<TcpStream>>) -> io::Result<()> {
        let mut head = [0; 4];
        reader.read_exact(&mut head)?;
        let length = u32::from_be_bytes(head) as usize;
        if length == 0 || length > MAX_FRAME_BYTES {
            return Err(invalid());
        }
        let mut frame = vec![0; length];
        reader.read_exact(&mut frame)?;
        if frame[0] == b'c' {
            self.called_off(&String::from_utf8_lossy(&frame[1..]), out);
        }
        if frame[0] != b'q' {
            return Ok(());
        }
        let mut call_s = self.shared.scenario.site.call.1;
        let mut rest = &frame[1..];
        while let Some(end) = rest.iter().position(|byte| *byte == b'\n') {
            let line = std::str::from_utf8(&rest[..end]).map_err(|_| invalid())?;
            let [id, _, list, length] = line.split(' ').collect::<Vec<_>>()[..] else {
                return Err(invalid());
            };
            let length: usize = length.parse().map_err(|_| invalid())?;
            let pre_check = list.split(',').any(|word| word == "p=1");
            self.take(id, (pre_check, std::mem::take(&mut call_s)), false, out)?;
            rest = rest.get(end + 1 + length..).ok_or_else(invalid)?;
        }
        Ok(())
    }

    fn take_request(
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
        self.take(id, (pre_check, 0.0), true, out)
    }

    /// A part has come: `ID.SHARD`, of a request whose id begins with its query's number.
    /// With it comes the work of its call, where it is the first of one.
    fn take(
        &self,
        id: &str,
        (pre_check, call_s): (bool, f64),
        search: bool,
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
            rules.sent(now, (0, self.number), id, query, (shard, pre_check));
            // Whether the mixer still waits for an earlier attempt can't be seen from here.
            rules.attempt_over(id, shard);
        }
        let scenario = &self.shared.scenario;
        let work_share = if pre_check {
            scenario.pre_check_work
        } else {
            1.0
        };
        let work_s = part.work_s * work_share;
        let mut inside = lock(&self.inside);
        self.turn(&mut inside, now);
        inside.last += 1;
        let draw = inside.rng.random();
        let arriving = Arriving {
            job: inside.last,
            work_s: work_s + call_s,
            counts_s: scenario.site.classes[query.class].work_s + call_s,
            first: pre_check && scenario.pre_check_first,
            notified: true,
        };
        let arrival = inside.stock.arrive(now, arriving, draw);
        let accepted = AcceptedPart {
            stream: out.clone(),
            id: id.into(),
            shard,
            matches: part.matches,
            pre_check,
            search,
        };
        self.count(now, &accepted, arrival, query.class, work_s);
        self.carry_out(now, &mut inside, arrival, accepted)
    }

    /// The query of a request's id, `LETTER NUMBER` up to the first hyphen.
    fn query_of(&self, id: &str) -> Option<&Query> {
        let number: usize = id[1..].split('-').next()?.parse().ok()?;
        self.shared.queries.get(number)
    }

    /// Counts a part that has come, and what came of it.
    fn count(&self, now: f64, part: &AcceptedPart, arrival: Arrival, class: usize, work_s: f64) {
        if matches!(
            arrival,
            Arrival::Accepted | Arrival::Fails | Arrival::Swallowed
        ) {
            lock(&self.shared.rules).ran(&part.id, part.shard, now);
        }
        let mut work = lock(&self.shared.work);
        work.1 += 1;
        work.2 += u64::from(part.pre_check);
        if arrival == Arrival::Accepted {
            work.0[class] += work_s;
        }
    }

    /// Keeps a part that was accepted last, or answers it.
    fn carry_out(
        &self,
        now: f64,
        inside: &mut Inside,
        arrival: Arrival,
        part: AcceptedPart,
    ) -> io::Result<()> {
        match arrival {
            Arrival::Accepted => {
                let job = inside.last;
                inside.accepted.insert(job, part);
                // What takes no time is answered here and now.
                self.turn(inside, now);
                if !inside.accepted.is_empty() {
                    self.changed.notify_one();
                }
            }
            Arrival::Full => self.answer(&part, "skipped"),
            Arrival::Fails => self.answer(&part, "broke"),
            Arrival::Swallowed => {}
            Arrival::Refused => return Err(io::ErrorKind::ConnectionReset.into()),
        }
        Ok(())
    }

    /// Nobody waits for a part any more: `ID.SHARD`, on the connection that it came on.
    fn called_off(&self, id: &str, out: &Arc<Mutex<TcpStream>>) {
        let mut inside = lock(&self.inside);
        self.turn(&mut inside, self.shared.now());
        let same = |accepted: &AcceptedPart| {
            Arc::ptr_eq(&accepted.stream, out)
                && format!("{}.{}", accepted.id, accepted.shard) == id
        };
        let Some(job) = inside
            .accepted
            .iter()
            .find(|(_, accepted)| same(accepted))
            .map(|(job, _)| *job)
        else {
            return;
        };
        if inside.stock.cancel(job).is_some() {
            inside.accepted.remove(&job);
            self.changed.notify_one();
        }
    }

    /// Reckons what the leaf server has done; what has ended is answered.
    fn turn(&self, inside: &mut Inside, now: f64) {
        for job in inside.stock.turn(now, self.shared.slow(now)) {
            let silent = inside.stock.fault == ServerFault::Silent;
            if let Some(accepted) = inside.accepted.remove(&job).filter(|_| !silent) {
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

    /// Ends jobs when their time has come.
    fn end_jobs(&self) {
        let mut inside = lock(&self.inside);
        loop {
            let now = self.shared.now();
            self.turn(&mut inside, now);
            inside = match inside.stock.next_turn(now, self.shared.slow(now)) {
                Some(at) => {
                    let wait = Duration::from_secs_f64((at - now).clamp(1e-5, 1.0));
                    match self.changed.wait_timeout(inside, wait) {
                        Ok((inside, _)) => inside,
                        Err(broken) => broken.into_inner().0,
                    }
                }
                None => self
                    .changed
                    .wait(inside)
                    .unwrap_or_else(|broken| broken.into_inner()),
            };
        }
    }

    /// Writes an answer; whoever does not read it has gone.
    fn answer(&self, accepted: &AcceptedPart, end: &str) {
        let value = rules::value(
            &accepted.id,
            accepted.shard,
            self.number,
            accepted.pre_check,
        );
        let bytes = if accepted.search {
            search_answer(accepted, end, &value)
        } else {
            frame_answer(accepted, end, &value)
        };
        let _ = lock(&accepted.stream).write_all(&bytes);
    }
}

fn frame_answer(accepted: &AcceptedPart, end: &str, value: &str) -> Vec<u8> {
    let (end, value) = match (end, accepted.pre_check) {
        ("served", true) => ("none", value),
        ("served", false) => ("served", value),
        (end, _) => (end, ""),
    };
    let rest = format!("a{}.{} {end} 0 qps=1\n{value}", accepted.id, accepted.shard);
    [&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat()
}

fn search_answer(accepted: &AcceptedPart, end: &str, value: &str) -> Vec<u8> {
    let shards = "\"_shards\":{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0}";
    let (status, body) = match (end, accepted.pre_check) {
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
