//! The leaf servers of a soak: they record each part as soon as it arrives, answer after some milliseconds, and behave as
//! `run.rs` sets.
//!
//! One thread reads from each connection, and one thread for each server writes the answers.

use super::history::{PartCall, Recorder};
use crate::standin::lock;
use rand::Rng;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// Shortest and longest service time of a part (milliseconds).
const SERVICE_MS: (u64, u64) = (2, 25);
/// Probability that a server that resets connections closes the connection on a call.
const RESET_PROBABILITY: f64 = 0.3;
/// Probability that an overloaded server rejects a part.
const REJECT_PROBABILITY: f64 = 0.5;
/// Interval at which the listener accepts connections and checks whether its server is down.
const ACCEPT_POLL_INTERVAL: Duration = Duration::from_millis(2);
const MAX_FRAME_BYTES: usize = 1 << 20;

/// The faults of a server that are in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Behavior {
    /// The server neither accepts nor keeps connections, as if its process did not run.
    pub is_down: bool,
    /// The server records parts and does not answer them.
    pub hangs: bool,
    /// The server closes connections on some of its calls.
    pub resets: bool,
    /// The server rejects some parts.
    pub is_overloaded: bool,
}

/// An answer with the time at which it is due. Answers are ordered by that time.
struct Answer {
    due: Instant,
    bytes: Vec<u8>,
    stream: Arc<Mutex<TcpStream>>,
}

impl PartialEq for Answer {
    fn eq(&self, other: &Answer) -> bool {
        self.due == other.due
    }
}
impl Eq for Answer {}
impl PartialOrd for Answer {
    fn partial_cmp(&self, other: &Answer) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Answer {
    fn cmp(&self, other: &Answer) -> std::cmp::Ordering {
        self.due.cmp(&other.due)
    }
}

#[derive(Default)]
struct State {
    behavior: Behavior,
    connections: Vec<TcpStream>,
    answers: BinaryHeap<Reverse<Answer>>,
}

struct Shared {
    number: usize,
    state: Mutex<State>,
    changed: Condvar,
    recorder: Arc<Recorder>,
}

/// A running leaf server. Its threads run until the process ends.
pub struct LeafServer {
    /// Address at which the server listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

impl LeafServer {
    /// Starts a server.
    pub fn start(number: usize, recorder: &Arc<Recorder>) -> io::Result<LeafServer> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let (state, changed, recorder) = (Mutex::default(), Condvar::new(), recorder.clone());
        let shared = Arc::new(Shared {
            number,
            state,
            changed,
            recorder,
        });
        let (accepting, writing) = (shared.clone(), shared.clone());
        std::thread::spawn(move || accepting.accept_connections(listener, address));
        std::thread::spawn(move || writing.write_answers());
        Ok(LeafServer { address, shared })
    }

    /// Changes the behavior. A server that is down loses its connections and pending answers.
    pub fn update_behavior(&self, change: impl FnOnce(&mut Behavior)) {
        let mut state = lock(&self.shared.state);
        change(&mut state.behavior);
        if state.behavior.is_down {
            state.answers.clear();
            for connection in state.connections.drain(..) {
                let _ = connection.shutdown(Shutdown::Both);
            }
        }
        self.shared.changed.notify_all();
    }
}

impl Shared {
    /// Accepts connections, and closes the port while the server is down.
    fn accept_connections(self: Arc<Shared>, listener: TcpListener, address: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            let is_down = lock(&self.state).behavior.is_down;
            if is_down {
                listener = None;
            } else if listener.is_none() {
                listener = TcpListener::bind(address).ok();
            }
            if let Some(open) = &listener {
                let _ = open.set_nonblocking(true);
                while let Ok((stream, _)) = open.accept() {
                    let shared = self.clone();
                    // An error ends only the connection that it occurs on.
                    std::thread::spawn(move || shared.read_calls(stream));
                }
            }
            std::thread::sleep(ACCEPT_POLL_INTERVAL);
        }
    }

    fn read_calls(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        lock(&self.state).connections.push(stream.try_clone()?);
        let mut length = [0; 4];
        loop {
            stream.read_exact(&mut length)?;
            let length = u32::from_be_bytes(length) as usize;
            if length == 0 || length > MAX_FRAME_BYTES {
                return Err(io::ErrorKind::InvalidData.into());
            }
            let mut frame = vec![0; length];
            stream.read_exact(&mut frame)?;
            if frame[0] == b'q' {
                self.receive_call(&frame[1..], &writer)?;
            }
        }
    }

    /// Records each part of a call and queues the answer for the time at which it is due.
    fn receive_call(&self, frame: &[u8], writer: &Arc<Mutex<TcpStream>>) -> io::Result<()> {
        let at = self.recorder.now();
        let behavior = lock(&self.state).behavior;
        if behavior.is_down {
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        let mut rng = rand::rng();
        let resets = behavior.resets && rng.random_bool(RESET_PROBABILITY);
        for part in parse_call(frame).ok_or(io::ErrorKind::InvalidData)? {
            let is_rejected = behavior.is_overloaded && rng.random_bool(REJECT_PROBABILITY);
            let mixer = mixer_number(&part.request).ok_or(io::ErrorKind::InvalidData)?;
            let PartLine {
                request,
                shard,
                sent_timeout_s,
            } = part;
            let end = if is_rejected { "skipped" } else { "served" };
            let answer = format!("a{request}.{shard} {end} 1 -\nv");
            let call = PartCall {
                mixer,
                request,
                shard,
                server: self.number,
                at,
                sent_timeout_s,
                never_ran: is_rejected,
            };
            self.recorder.record(|history| history.calls.push(call));
            let mut bytes = (answer.len() as u32).to_be_bytes().to_vec();
            bytes.extend_from_slice(answer.as_bytes());
            let service = Duration::from_millis(rng.random_range(SERVICE_MS.0..SERVICE_MS.1));
            if !behavior.hangs && !resets {
                let due = Instant::now() + service;
                lock(&self.state).answers.push(Reverse(Answer {
                    due,
                    bytes,
                    stream: writer.clone(),
                }));
                self.changed.notify_all();
            }
        }
        if resets {
            let _ = lock(writer).shutdown(Shutdown::Both);
            return Err(io::ErrorKind::ConnectionReset.into());
        }
        Ok(())
    }

    /// Writes answers when they are due.
    fn write_answers(&self) {
        let mut state = lock(&self.state);
        loop {
            let now = Instant::now();
            match state.answers.peek().map(|Reverse(first)| first.due) {
                Some(due) if due <= now => {
                    if let Some(Reverse(answer)) = state.answers.pop() {
                        // The mixer may have closed the connection.
                        let _ = lock(&answer.stream).write_all(&answer.bytes);
                    }
                }
                Some(due) => {
                    let wait = due - now;
                    state = self
                        .changed
                        .wait_timeout(state, wait)
                        .unwrap_or_else(|broken| broken.into_inner())
                        .0;
                }
                None => {
                    state = self
                        .changed
                        .wait(state)
                        .unwrap_or_else(|broken| broken.into_inner())
                }
            }
        }
    }
}

/// A part as described by its line in a call.
struct PartLine {
    request: String,
    shard: u32,
    sent_timeout_s: f64,
}

/// Parses a call, which has a line for each part, followed by as many bytes of text as the line says.
fn parse_call(mut rest: &[u8]) -> Option<Vec<PartLine>> {
    let mut found = Vec::new();
    while !rest.is_empty() {
        let end = rest.iter().position(|byte| *byte == b'\n')?;
        let line = std::str::from_utf8(&rest[..end]).ok()?;
        let words: Vec<&str> = line.split(' ').collect();
        let [id, shard, list, length] = words[..] else {
            return None;
        };
        let (request, _) = id.rsplit_once('.')?;
        let wait_ms = list
            .split(',')
            .find_map(|pair| pair.strip_prefix("d="))?
            .parse::<f64>()
            .ok()?;
        let length: usize = length.parse().ok()?;
        rest = rest.get(end + 1 + length..)?;
        found.push(PartLine {
            request: request.to_string(),
            shard: shard.parse().ok()?,
            sent_timeout_s: wait_ms / 1000.0,
        });
    }
    Some(found)
}

/// Returns the number of the mixer from the ID of a request, which has the form `m7-...`.
fn mixer_number(request: &str) -> Option<usize> {
    request.strip_prefix('m')?.split('-').next()?.parse().ok()
}
