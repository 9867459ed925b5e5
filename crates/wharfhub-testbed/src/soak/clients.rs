//! The clients of a soak: several for each mixer, each with one request at a time, routed as the platform's load balancer would.
//!
//! The end of each request is recorded in the history.

use super::history::{Recorder, Request, RequestEnd};
use rand::seq::index::sample;
use rand::Rng;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest pause between two requests of a client (milliseconds).
const MAX_PAUSE_MS: u64 = 120;
/// Shortest timeout of a client (milliseconds).
const MIN_TIMEOUT_MS: u64 = 250;
/// Time from a client's timeout to the close of its connection. Answers count until 0.5 s after the timeout; a mixer that
/// continues after SIGSTOP right at the end of that period finds the client already disconnected.
const CLOSE_DELAY_AFTER_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest single wait for bytes. A receive timeout of this length ends at most a few milliseconds late.
const MAX_WAIT_SLICE: Duration = Duration::from_millis(100);
/// Share of requests in the class with idempotency keys.
const KEYED_SHARE: f64 = 0.25;
/// Probability that a client closes its connection before the answer, during the fault that makes clients do so.
const EARLY_CLOSE_PROBABILITY: f64 = 0.4;
/// Pause of a client without a connection while its mixer is out of rotation, in addition to the pause between requests.
const ROTATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval at which idle clients check whether the mixer has closed their connections.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Largest number of parts of a request.
const MAX_PARTS: usize = 6;

/// The routing state of one mixer, as a load balancer in front of the mixers would have it.
#[derive(Default)]
pub struct MixerRouting {
    /// Whether clients without a connection send requests to the mixer. Set when the mixer is ready, and cleared when it is
    /// killed or some time after SIGTERM, when a load balancer would have noticed.
    pub is_in_rotation: AtomicBool,
    /// Whether clients may open new connections to the mixer.
    pub allows_new_connections: AtomicBool,
}

/// The state that all clients share.
pub struct ClientPool {
    /// Address at which each mixer listens.
    pub addresses: Vec<SocketAddr>,
    /// Routing state of each mixer.
    pub routing: Vec<MixerRouting>,
    /// Whether some clients close their connections before the answer.
    pub clients_close_early: AtomicBool,
    /// Whether the soak is over.
    pub is_over: AtomicBool,
    /// Number of shards.
    pub shards: u32,
    /// Longest timeout of a client (milliseconds).
    pub max_client_timeout_ms: u64,
    /// Recorder of the history.
    pub recorder: Arc<Recorder>,
    next_request_number: AtomicU64,
}

impl ClientPool {
    /// Creates the clients' state for mixers at these addresses, all out of rotation.
    pub fn new(
        addresses: Vec<SocketAddr>,
        shards: u32,
        max_client_timeout_ms: u64,
        recorder: Arc<Recorder>,
    ) -> ClientPool {
        ClientPool {
            routing: addresses.iter().map(|_| MixerRouting::default()).collect(),
            addresses,
            clients_close_early: AtomicBool::default(),
            is_over: AtomicBool::default(),
            shards,
            max_client_timeout_ms,
            recorder,
            next_request_number: AtomicU64::default(),
        }
    }

    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Runs one client of a mixer until the soak is over.
    pub fn run_client(&self, mixer: usize) {
        let mut idle_connection: Option<BufReader<TcpStream>> = None;
        let mut rng = rand::rng();
        while !self.is_over() {
            std::thread::sleep(Duration::from_millis(rng.random_range(0..MAX_PAUSE_MS)));
            if !self.routing[mixer].is_in_rotation.load(Ordering::Relaxed) {
                // A client with an open connection keeps sending on it until the mixer closes it or is killed.
                if idle_connection.is_none() {
                    std::thread::sleep(ROTATION_CHECK_INTERVAL);
                    continue;
                }
            }
            self.send_request(mixer, &mut idle_connection);
        }
    }

    /// Keeps idle connections to a mixer open to use up its descriptors, until the soak is over. Connections that the mixer
    /// closes are replaced.
    pub fn run_idle_clients(&self, mixer: usize, clients: usize) {
        let mut idle: Vec<TcpStream> = Vec::new();
        while !self.is_over() {
            std::thread::sleep(IDLE_CHECK_INTERVAL);
            idle.retain(|stream| !peer_has_closed(stream));
            while self.routing[mixer].is_in_rotation.load(Ordering::Relaxed) && idle.len() < clients
            {
                let Ok(stream) = TcpStream::connect(self.addresses[mixer]) else {
                    break;
                };
                if stream.set_nonblocking(true).is_ok() {
                    idle.push(stream);
                }
            }
        }
    }

    /// Sends a request and records its end. The request is retried on a new connection if a reused one is closed without an
    /// answer, as the close may have crossed the request.
    fn send_request(&self, mixer: usize, idle_connection: &mut Option<BufReader<TcpStream>>) {
        let mut rng = rand::rng();
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        let id = format!("m{mixer}-{number}");
        let timeout =
            Duration::from_millis(rng.random_range(MIN_TIMEOUT_MS..self.max_client_timeout_ms));
        let keyed = rng.random_bool(KEYED_SHARE);
        let closes_early = self.clients_close_early.load(Ordering::Relaxed)
            && rng.random_bool(EARLY_CLOSE_PROBABILITY);
        let close_after = closes_early.then(|| timeout.mul_f64(rng.random_range(0.0..1.0)));
        let text = self.request_text(&id, keyed, timeout);
        let is_reused = idle_connection.is_some();
        let (mut at, mut end) = match idle_connection.take() {
            Some(stream) => self.exchange(stream, &text, timeout, close_after, idle_connection),
            None => {
                self.exchange_on_new_connection(mixer, &text, timeout, close_after, idle_connection)
            }
        };
        let mut reused_connection_lost_at = None;
        if let (true, RequestEnd::ConnectionLost { at: lost_at, .. }) = (is_reused, end) {
            reused_connection_lost_at = Some(lost_at);
            (at, end) = self.exchange_on_new_connection(
                mixer,
                &text,
                timeout,
                close_after,
                idle_connection,
            );
        }
        let request = Request {
            id,
            mixer,
            at,
            timeout_s: timeout.as_secs_f64(),
            keyed,
            reused_connection_lost_at,
            end,
        };
        self.recorder
            .record(|history| history.requests.push(request));
    }

    fn exchange_on_new_connection(
        &self,
        mixer: usize,
        text: &str,
        timeout: Duration,
        close_after: Option<Duration>,
        idle_connection: &mut Option<BufReader<TcpStream>>,
    ) -> (f64, RequestEnd) {
        if !self.routing[mixer]
            .allows_new_connections
            .load(Ordering::Relaxed)
        {
            return (self.recorder.now(), RequestEnd::NotAccepted);
        }
        match TcpStream::connect(self.addresses[mixer]) {
            Ok(stream) => self.exchange(
                BufReader::new(stream),
                text,
                timeout,
                close_after,
                idle_connection,
            ),
            Err(_) => (self.recorder.now(), RequestEnd::NotAccepted),
        }
    }

    /// Sends a request and waits for its answer; a connection that stays alive is kept for the next request. Returns the time
    /// of the write, which may be long after the connection was opened, and the end of the request.
    fn exchange(
        &self,
        mut stream: BufReader<TcpStream>,
        text: &str,
        timeout: Duration,
        close_after: Option<Duration>,
        idle_connection: &mut Option<BufReader<TcpStream>>,
    ) -> (f64, RequestEnd) {
        let _ = stream.get_ref().set_nodelay(true);
        let written_at = self.recorder.now();
        if let Err(error) = stream.get_mut().write_all(text.as_bytes()) {
            let end = RequestEnd::ConnectionLost {
                at: self.recorder.now(),
                is_reset: is_reset(&error),
            };
            return (written_at, end);
        }
        let until = Instant::now() + close_after.unwrap_or(timeout + CLOSE_DELAY_AFTER_TIMEOUT);
        let answer = read_answer(&mut stream, until);
        let at = self.recorder.now();
        let end = match answer {
            Ok(answer) => {
                if answer.keeps_alive {
                    *idle_connection = Some(stream);
                }
                RequestEnd::Answered {
                    at,
                    status: answer.status,
                }
            }
            Err(error) if is_timeout(&error) && close_after.is_some() => {
                drop(stream);
                RequestEnd::ClientClosed {
                    at: self.recorder.now(),
                }
            }
            Err(error) if is_timeout(&error) => RequestEnd::TimedOut,
            Err(error) => RequestEnd::ConnectionLost {
                at,
                is_reset: is_reset(&error),
            },
        };
        (written_at, end)
    }

    fn request_text(&self, id: &str, keyed: bool, timeout: Duration) -> String {
        let mut rng = rand::rng();
        let shards = self.shards as usize;
        let count = rng.random_range(1..=MAX_PARTS.min(shards));
        let fraction = 1.0 / count as f64;
        let part = |shard: usize| format!("{{\"tablet\":{shard},\"fraction\":{fraction}}}");
        let parts = sample(&mut rng, shards, count)
            .iter()
            .map(part)
            .collect::<Vec<_>>()
            .join(",");
        let body = format!("{{\"tablets\":[{parts}],\"statement\":\"s\"}}");
        let class = if keyed { "hold" } else { "slot" };
        let key = if keyed {
            format!("Idempotency-Key: k{id}\r\n")
        } else {
            String::new()
        };
        format!(
            "POST /{class} HTTP/1.1\r\nHost: s\r\nX-Request-ID: {id}\r\nX-Tenant-Id: acme\r\nX-Timeout-Ms: {}\r\n{key}\
             Content-Length: {}\r\n\r\n{body}",
            timeout.as_millis(),
            body.len()
        )
    }
}

/// Returns whether the peer has closed a non-blocking connection.
fn peer_has_closed(stream: &TcpStream) -> bool {
    !matches!(stream.peek(&mut [0]), Err(error) if error.kind() == io::ErrorKind::WouldBlock)
}

struct Answer {
    status: u16,
    keeps_alive: bool,
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

fn is_reset(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe
    )
}

/// Waits for bytes of an answer, sets the timeout of the reads that follow, and returns an error when `until` has passed. The
/// wait is split into slices because a receive timeout may end late by an eighth of its length, and a client has to close its
/// connection on time.
fn await_bytes(stream: &mut BufReader<TcpStream>, until: Instant) -> io::Result<()> {
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream
            .get_ref()
            .set_read_timeout(Some(left.min(MAX_WAIT_SLICE)))?;
        match stream.fill_buf() {
            Ok(_) => return stream.get_ref().set_read_timeout(Some(left)),
            Err(error) if is_timeout(&error) => {}
            Err(error) => return Err(error),
        }
    }
}

fn read_answer(stream: &mut BufReader<TcpStream>, until: Instant) -> io::Result<Answer> {
    let mut line = String::new();
    await_bytes(stream, until)?;
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let status = line
        .split(' ')
        .nth(1)
        .and_then(|text| text.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    let (mut length, mut keeps_alive) = (0, true);
    loop {
        line.clear();
        await_bytes(stream, until)?;
        if stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let Some((name, value)) = line.trim_end().split_once(':') else {
            break;
        };
        match name.to_ascii_lowercase().as_str() {
            "content-length" => {
                length = value
                    .trim()
                    .parse()
                    .map_err(|_| io::ErrorKind::InvalidData)?
            }
            "connection" => keeps_alive = value.trim() != "close",
            _ => {}
        }
    }
    await_bytes(stream, until)?;
    stream.read_exact(&mut vec![0; length])?;
    Ok(Answer {
        status,
        keeps_alive,
    })
}

/// Requests a page from a mixer on a separate connection and returns the status and the body.
pub fn get(address: SocketAddr, target: &str) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(Duration::from_secs(2)))?;
    write!(
        stream,
        "GET {target} HTTP/1.1\r\nHost: s\r\nConnection: close\r\n\r\n"
    )?;
    let mut text = String::new();
    stream.read_to_string(&mut text)?;
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .ok_or(io::ErrorKind::InvalidData)?;
    let body = text.split_once("\r\n\r\n").map_or("", |(_, body)| body);
    Ok((status, body.to_string()))
}
