//! The stand-in for discovery in a soak: separate addresses for each mixer, a list that changes, and faults that `run.rs` sets.
//!
//! One thread serves each connection. Each answer written to a mixer is recorded with its time, even if it is cut off on its
//! way, because the mixer counts as notified from the write on.

use super::history::{
    DiscoveryAnswer, DiscoveryFailure, ListVersion, Recorder, ServerPhase, UnreachableSpan,
};
use super::plan::Cut;
use crate::standin::lock;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::Duration;

/// Longest time until a waiting call notices a new fault.
const FAULT_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// Largest number of header lines of a call.
const MAX_HEADERS: usize = 64;
/// Answer to each call during an outage of the kind [`Outage::Refuses`].
const REFUSED_RESPONSE: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n";
/// Addresses of discovery for each mixer. A new configuration can move the mixer from one to the next.
pub const ADDRESSES_PER_MIXER: usize = 2;

/// A server of the list.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// ID of the server in the list.
    pub name: String,
    /// Address at which the server listens.
    pub address: SocketAddr,
    /// Cell that the server belongs to.
    pub cell: u32,
    /// Phase that the list gives.
    pub phase: ServerPhase,
    /// Time of the last start (Unix milliseconds), or 0 for a start long ago.
    pub up_since_ms: u64,
}

#[derive(Default)]
struct State {
    servers: Vec<ListedServer>,
    /// Indices of the servers that each version changed; all servers for the first version.
    changes: Vec<Vec<usize>>,
    outage: Option<Outage>,
    unresponsive: Vec<bool>,  // by mixer
    known_lists: Vec<String>, // by mixer: the last complete list that was delivered in full
    delay_s: f64,
    cut_all: Option<Cut>,
    pending_cuts: Vec<(usize, Cut)>, // by mixer: the number of next answers to cut off
    /// Number of times that all open watches were silenced: a watch opened before the last time is not answered.
    silences: u64,
    /// Number of times that all open watches were reset: the connection of a watch opened before the last time is closed.
    resets: u64,
}

/// The way in which calls fail while discovery is down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// The connections of the calls are closed.
    Closes,
    /// The calls are answered with status 503.
    Refuses,
}

impl State {
    /// Returns where the next answer to a mixer is cut off, if at all, and counts that answer.
    fn take_cut(&mut self, mixer: usize) -> Option<Cut> {
        let (left, cut) = &mut self.pending_cuts[mixer];
        if *left > 0 {
            *left -= 1;
            return Some(*cut);
        }
        self.cut_all
    }

    fn version(&self) -> usize {
        self.changes.len() - 1
    }
}

struct Shared {
    state: Mutex<State>,
    changed: Condvar,
    recorder: Arc<Recorder>,
}

/// A running stand-in for discovery. Its threads run until the process ends.
#[derive(Clone)]
pub struct Registry {
    shared: Arc<Shared>,
    /// Addresses of discovery for each mixer.
    pub addresses: Vec<[SocketAddr; ADDRESSES_PER_MIXER]>,
}

/// A call of a mixer for the list.
#[derive(Clone, Copy)]
struct ListCall {
    /// Index of the version that the mixer has; none if the call names no revision.
    since: Option<usize>,
    /// Time for which the call waits for a newer version.
    wait: Duration,
}

impl Registry {
    /// Starts the stand-in for the given number of mixers.
    pub fn start(
        servers: Vec<ListedServer>,
        mixers: usize,
        recorder: &Arc<Recorder>,
    ) -> io::Result<Registry> {
        let mut state = State {
            changes: vec![(0..servers.len()).collect()],
            servers,
            unresponsive: vec![false; mixers],
            pending_cuts: vec![(0, Cut::NoByte); mixers],
            ..State::default()
        };
        state.known_lists = vec![state.complete_list(); mixers];
        let shared = Arc::new(Shared {
            state: Mutex::new(state),
            changed: Condvar::new(),
            recorder: recorder.clone(),
        });
        shared.record_version(&lock(&shared.state));
        let mut addresses = Vec::new();
        for mixer in 0..mixers {
            addresses.push([
                listen_for_mixer(&shared, mixer)?,
                listen_for_mixer(&shared, mixer)?,
            ]);
        }
        Ok(Registry { shared, addresses })
    }

    /// Returns the last complete list that was delivered to a mixer in full, in the format of the configuration's `known`.
    pub fn known(&self, mixer: usize) -> String {
        lock(&self.shared.state).known_lists[mixer].clone()
    }

    /// Changes servers, which makes a new version of the list.
    pub fn change(&self, changed: &[usize], change: impl Fn(&mut ListedServer)) {
        let mut state = lock(&self.shared.state);
        for server in changed {
            change(&mut state.servers[*server]);
        }
        state.changes.push(changed.to_vec());
        self.shared.record_version(&state);
        self.shared.changed.notify_all();
    }

    /// Starts an outage, which ends all watches, or ends it.
    pub fn set_outage(&self, outage: Option<Outage>) {
        self.update(|state| state.outage = outage);
    }

    /// Sets whether calls of these mixers stay unanswered.
    pub fn set_unresponsive(&self, mixers: &[usize], hangs: bool) {
        self.update(|state| {
            mixers
                .iter()
                .for_each(|mixer| state.unresponsive[*mixer] = hangs)
        });
    }

    /// Delays answers to calls that do not wait for a change (seconds).
    pub fn set_delay(&self, delay_s: f64) {
        self.update(|state| state.delay_s = delay_s);
    }

    /// Sets where all answers are cut off, if at all.
    pub fn set_cut_all(&self, cut: Option<Cut>) {
        self.update(|state| state.cut_all = cut);
    }

    /// Cuts off the next `count` answers to each of these mixers.
    pub fn cut_next(&self, mixers: &[usize], count: usize, cut: Cut) {
        self.update(|state| {
            mixers
                .iter()
                .for_each(|mixer| state.pending_cuts[*mixer] = (count, cut))
        });
    }

    /// Silences all open watches: they are never answered.
    pub fn silence_watches(&self) {
        let at = self.shared.recorder.now();
        self.update(|state| state.silences += 1);
        self.shared
            .recorder
            .record(|history| history.watch_silences.push(at));
    }

    /// Closes the connections of all open watches.
    pub fn reset_watches(&self) {
        self.update(|state| state.resets += 1);
    }

    /// Records that discovery was unreachable for these mixers, or all where there are none given, since `from`.
    pub fn record_unreachable(
        &self,
        mixers: Option<&[usize]>,
        failure: DiscoveryFailure,
        from: f64,
    ) {
        let to = self.shared.recorder.now();
        let span = |mixer: Option<usize>| UnreachableSpan {
            mixer,
            failure,
            from,
            to,
        };
        let spans: Vec<UnreachableSpan> = match mixers {
            None => vec![span(None)],
            Some(mixers) => mixers.iter().map(|mixer| span(Some(*mixer))).collect(),
        };
        self.shared
            .recorder
            .record(|history| history.unreachable.extend(spans));
    }

    fn update(&self, change: impl FnOnce(&mut State)) {
        change(&mut lock(&self.shared.state));
        self.shared.changed.notify_all();
    }
}

impl State {
    fn list(&self, servers: Vec<usize>, complete: bool) -> String {
        let mut lines = String::new();
        for server in servers.into_iter().map(|index| &self.servers[index]) {
            let phase = match server.phase {
                ServerPhase::Ready => "Ready",
                ServerPhase::Draining => "Terminating",
                ServerPhase::Gone if complete => continue, // a complete list leaves out removed servers
                ServerPhase::Gone => "Gone",
            };
            let comma = if lines.is_empty() { "" } else { "," };
            let ListedServer {
                name,
                address,
                cell,
                up_since_ms,
                ..
            } = server;
            let _ = write!(
                lines,
                "{comma}{{\"id\":\"{name}\",\"host_port\":\"{address}\",\"locality\":\"a\",\"cell\":{cell},\
                 \"phase\":\"{phase}\",\"up_since_ms\":{up_since_ms}}}"
            );
        }
        // Revisions on the wire start at 1, indices of versions at 0.
        format!(
            "{{\"revision\":{},\"complete\":{complete},\"members\":[{lines}]}}",
            self.version() + 1
        )
    }

    fn complete_list(&self) -> String {
        self.list((0..self.servers.len()).collect(), true)
    }

    fn list_since(&self, call: ListCall) -> String {
        match call.since.filter(|since| *since <= self.version()) {
            None => self.complete_list(),
            Some(since) => {
                let mut changed: Vec<usize> = self.changes[since + 1..].concat();
                changed.sort_unstable();
                changed.dedup();
                self.list(changed, false)
            }
        }
    }
}

impl Shared {
    fn record_version(&self, state: &State) {
        let at = self.recorder.now();
        let phases = state.servers.iter().map(|server| server.phase).collect();
        self.recorder
            .record(|history| history.versions.push(ListVersion { at, phases }));
    }

    fn serve_connection(&self, stream: TcpStream, mixer: usize) -> io::Result<()> {
        if lock(&self.state).outage == Some(Outage::Closes) {
            return Ok(());
        }
        stream.set_nodelay(true)?;
        let mut reader = BufReader::new(stream);
        loop {
            let call = read_call(&mut reader)?;
            let Some(answer) = self.await_reply(mixer, call) else {
                return Ok(());
            };
            match answer {
                Reply::List { text, version, cut } => {
                    self.write_list(reader.get_mut(), mixer, &text, version, cut)?;
                    match cut {
                        None => {}
                        Some(Cut::HalfThenSilence) => return await_peer_close(reader.get_mut()),
                        Some(_) => return Ok(()),
                    }
                }
                Reply::Refused => reader.get_mut().write_all(REFUSED_RESPONSE)?,
                Reply::Silence => return await_peer_close(reader.get_mut()),
            }
        }
    }

    /// Waits until a call is due and returns its reply; none if the connection is to be closed.
    fn await_reply(&self, mixer: usize, call: ListCall) -> Option<Reply> {
        let began = std::time::Instant::now();
        let mut state = lock(&self.state);
        let (silences, resets) = (state.silences, state.resets);
        let waits = call.since.is_some() && !call.wait.is_zero();
        let delay = Duration::from_secs_f64(state.delay_s);
        loop {
            match state.outage {
                Some(Outage::Closes) => return None,
                Some(Outage::Refuses) => return Some(Reply::Refused),
                None if waits && state.resets > resets => return None,
                None => {}
            }
            if state.unresponsive[mixer] || (waits && state.silences > silences) {
                return Some(Reply::Silence);
            }
            let has_other_version = call.since.is_none_or(|since| since != state.version());
            let is_due = if waits {
                has_other_version || began.elapsed() >= call.wait
            } else {
                began.elapsed() >= delay
            };
            if is_due {
                let (text, version, cut) = (
                    state.list_since(call),
                    state.version(),
                    state.take_cut(mixer),
                );
                return Some(Reply::List { text, version, cut });
            }
            state = self
                .changed
                .wait_timeout(state, FAULT_CHECK_INTERVAL)
                .unwrap_or_else(|broken| broken.into_inner())
                .0;
        }
    }

    fn write_list(
        &self,
        stream: &mut TcpStream,
        mixer: usize,
        text: &str,
        version: usize,
        cut: Option<Cut>,
    ) -> io::Result<()> {
        if peer_has_closed(stream)? {
            return Ok(()); // the mixer has abandoned the call
        }
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{text}",
            text.len()
        );
        let is_cut = cut.is_some();
        let arriving_bytes = cut.map_or(response.len(), |cut| cut.arriving_bytes(response.len()));
        let at = self.recorder.now();
        self.recorder.record(|history| {
            history.discovery_answers.push(DiscoveryAnswer {
                mixer,
                at,
                version,
                is_cut,
            })
        });
        stream.write_all(&response.as_bytes()[..arriving_bytes])?;
        let mut state = lock(&self.state);
        if version == state.version() && !is_cut {
            state.known_lists[mixer] = state.complete_list();
        }
        Ok(())
    }
}

enum Reply {
    List {
        text: String,
        version: usize,
        cut: Option<Cut>,
    },
    Refused,
    Silence,
}

/// Reads and discards bytes until the mixer closes the connection.
fn await_peer_close(stream: &mut TcpStream) -> io::Result<()> {
    while stream.read(&mut [0; 512])? > 0 {}
    Ok(())
}

/// Returns whether the peer has closed the connection.
fn peer_has_closed(stream: &TcpStream) -> io::Result<bool> {
    stream.set_nonblocking(true)?;
    let peeked = stream.peek(&mut [0]);
    stream.set_nonblocking(false)?;
    match peeked {
        Ok(count) => Ok(count == 0),
        Err(error) => Ok(error.kind() != io::ErrorKind::WouldBlock),
    }
}

fn listen_for_mixer(shared: &Arc<Shared>, mixer: usize) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let shared = shared.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let shared = shared.clone();
            // An error ends only the connection that it occurs on.
            std::thread::spawn(move || shared.serve_connection(stream, mixer));
        }
    });
    Ok(address)
}

fn read_call(reader: &mut BufReader<TcpStream>) -> io::Result<ListCall> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let number = |key: &str| -> Option<u64> {
        let rest = line.split_once(key)?.1;
        rest.split(|c: char| !c.is_ascii_digit())
            .next()?
            .parse()
            .ok()
    };
    let since =
        number("index=").and_then(|revision| usize::try_from(revision).ok()?.checked_sub(1));
    let wait = Duration::from_millis(number("wait=").unwrap_or(0));
    for _ in 0..MAX_HEADERS {
        let mut header = String::new();
        if reader.read_line(&mut header)? <= 2 {
            return Ok(ListCall { since, wait });
        }
    }
    Err(io::ErrorKind::InvalidData.into())
}
