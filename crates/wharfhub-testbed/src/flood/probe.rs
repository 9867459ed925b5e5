//! The clients whose answers show whether a flooded mixer still serves: each sends one query at a time at a low rate.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

/// Number of clients.
const CLIENTS: usize = 4;
/// Time between an answer and the next query of a client.
const QUERY_INTERVAL: Duration = Duration::from_millis(15);
/// Time for which a client waits for its answer, as in the operators' records of late answers.
const TIMEOUT: Duration = Duration::from_millis(250);
/// Tolerance of the operators' rules for events on sockets.
const TOLERANCE: Duration = Duration::from_millis(50);
/// Time after which a client stops waiting and connects again.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Number of queries after which a client opens a new connection.
const QUERIES_PER_CONNECTION: u32 = 10;
/// Interval at which the clock of the clients is checked for stalls of this process.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// A query is not counted if this process was stalled for longer than this while the query was open.
const MAX_OWN_STALL: Duration = Duration::from_millis(40);

/// The answers to the queries of all clients.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProbeSummary {
    /// Number of queries.
    pub queries: u64,
    /// Queries that got a final answer in time.
    pub in_time: u64,
    /// Queries that were answered with a result.
    pub served: u64,
    /// Longest time to the end of an answer, or to the end of the wait for it (seconds).
    pub slowest_s: f64,
}

impl ProbeSummary {
    fn add(&mut self, other: &ProbeSummary) {
        self.queries += other.queries;
        self.in_time += other.in_time;
        self.served += other.served;
        self.slowest_s = self.slowest_s.max(other.slowest_s);
    }
}

/// The running clients.
pub struct ProbeClients {
    is_stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<ProbeSummary>>,
}

impl ProbeClients {
    /// Starts clients of the mixer at this address.
    pub fn start(address: SocketAddr) -> ProbeClients {
        let is_stopped = Arc::new(AtomicBool::new(false));
        let clients = (0..CLIENTS)
            .map(|number| {
                let is_stopped = is_stopped.clone();
                std::thread::spawn(move || Client::new(address, number).run(&is_stopped))
            })
            .collect();
        ProbeClients {
            is_stopped,
            clients,
        }
    }

    /// Stops the clients and returns their results.
    pub fn stop(self) -> ProbeSummary {
        self.is_stopped.store(true, Ordering::Relaxed);
        let mut summary = ProbeSummary::default();
        for client in self.clients {
            if let Ok(results) = client.join() {
                summary.add(&results);
            }
        }
        summary
    }
}

/// One client.
struct Client {
    address: SocketAddr,
    number: usize,
    stream: Option<TcpStream>,
    sent: u32,
    summary: ProbeSummary,
}

impl Client {
    fn new(address: SocketAddr, number: usize) -> Client {
        Client {
            address,
            number,
            stream: None,
            sent: 0,
            summary: ProbeSummary::default(),
        }
    }

    fn run(mut self, is_stopped: &AtomicBool) -> ProbeSummary {
        while !is_stopped.load(Ordering::Relaxed) {
            std::thread::sleep(QUERY_INTERVAL);
            let started_at = Instant::now();
            let stall = StallWatch::start();
            let status = self.query();
            let took = started_at.elapsed();
            if stall.longest() > MAX_OWN_STALL {
                continue;
            }
            self.summary.queries += 1;
            self.summary.in_time += u64::from(status.is_ok() && took <= TIMEOUT + TOLERANCE);
            self.summary.served += u64::from(matches!(status, Ok(200)));
            self.summary.slowest_s = self.summary.slowest_s.max(took.as_secs_f64());
        }
        self.summary
    }

    /// Sends a query and returns the status of its answer. After an error, a query on a reused connection is sent once more on
    /// a new one, because the mixer may close a connection between two queries.
    fn query(&mut self) -> io::Result<u16> {
        if self.sent.is_multiple_of(QUERIES_PER_CONNECTION) {
            self.stream = None;
        }
        let is_reused = self.stream.is_some();
        match self.exchange() {
            Err(error) if is_reused && error.kind() != io::ErrorKind::WouldBlock => {
                self.stream = None;
                self.exchange()
            }
            result => result,
        }
    }

    fn exchange(&mut self) -> io::Result<u16> {
        self.sent += 1;
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, READ_TIMEOUT)?;
                stream.set_nodelay(true)?;
                stream.set_read_timeout(Some(READ_TIMEOUT))?;
                stream
            }
        };
        let body = r#"{"tablets":[{"tablet":0,"fraction":1}],"statement":"s"}"#;
        let request = format!(
            "POST /slot HTTP/1.1\r\nHost: s\r\nX-Request-ID: probe-{}-{}\r\nX-Tenant-Id: probes\r\nX-Timeout-Ms: {}\r\n\
             Content-Length: {}\r\n\r\n{body}",
            self.number,
            self.sent,
            TIMEOUT.as_millis(),
            body.len()
        );
        stream.write_all(request.as_bytes())?;
        let answer = read_answer(&mut stream)?;
        if answer.keeps_alive {
            self.stream = Some(stream);
        }
        Ok(answer.status)
    }
}

struct Answer {
    status: u16,
    keeps_alive: bool,
}

fn read_answer(stream: &mut TcpStream) -> io::Result<Answer> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        bytes.extend_from_slice(&buffer[..count]);
        if let Some(answer) = complete_answer(&bytes) {
            return Ok(answer);
        }
    }
}

/// Returns the answer if all of its bytes have arrived.
fn complete_answer(bytes: &[u8]) -> Option<Answer> {
    let text = std::str::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length: usize = head
        .lines()
        .find_map(|line| line.strip_prefix("Content-Length: "))?
        .parse()
        .ok()?;
    let keeps_alive = !head.contains("Connection: close");
    (body.len() >= length).then_some(Answer {
        status,
        keeps_alive,
    })
}

/// Detects stalls of this process, which delay a client's clock readings, by a thread that sleeps for short times.
struct StallWatch {
    is_over: Arc<AtomicBool>,
    thread: JoinHandle<Duration>,
}

impl StallWatch {
    fn start() -> StallWatch {
        let is_over = Arc::new(AtomicBool::new(false));
        let watched = is_over.clone();
        let thread = std::thread::spawn(move || {
            let mut longest = Duration::ZERO;
            let mut before = Instant::now();
            while !watched.load(Ordering::Relaxed) {
                std::thread::sleep(STALL_CHECK_INTERVAL);
                let now = Instant::now();
                longest = longest.max(now.duration_since(before));
                before = now;
            }
            longest
        });
        StallWatch { is_over, thread }
    }

    fn longest(self) -> Duration {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.join().unwrap_or_default()
    }
}
