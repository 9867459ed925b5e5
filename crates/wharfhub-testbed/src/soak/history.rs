//! What the stand-ins of a soak saw, each with its time: the only thing that the judge goes by.
//!
//! Times are seconds since the soak began, by one monotonic clock. This file must never judge.

use crate::standin::lock;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// How often the stand-ins look whether they stood still, and what counts as such.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
const MIN_STALL_S: f64 = 0.03;

/// What discovery says of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// Something new may go there.
    Ready,
    /// It drains.
    Draining,
    /// It is gone.
    Gone,
}

/// A version of the list: discovery has it from that time on.
#[derive(Clone, Debug)]
pub struct ListVersion {
    /// When.
    pub at: f64,
    /// Each server's phase.
    pub phases: Vec<ServerPhase>,
}

/// An answer that discovery wrote: it counts as told from then on, whatever becomes of it on the way.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryAnswer {
    /// To which mixer.
    pub mixer: usize,
    /// When it was written.
    pub at: f64,
    /// The version, by place.
    pub version: usize,
    /// Whether it was cut off on the way.
    pub is_cut: bool,
}

/// How discovery is out of reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// It closes or refuses calls.
    Down,
    /// It does not answer, and its open watches are silent from then on.
    Silent,
}

/// A time in which a mixer could not reach discovery.
#[derive(Clone, Copy, Debug)]
pub struct UnreachableSpan {
    /// Which; all of them where there is none.
    pub mixer: Option<usize>,
    /// How.
    pub failure: DiscoveryFailure,
    /// From when.
    pub from: f64,
    /// To when.
    pub to: f64,
}

/// A part that came to a server.
#[derive(Clone, Debug)]
pub struct PartCall {
    /// Whose.
    pub mixer: usize,
    /// The client's name of the request.
    pub request: String,
    /// Which shard.
    pub shard: u32,
    /// Where it came.
    pub server: usize,
    /// When.
    pub at: f64,
    /// How long the server is told to work for it (seconds).
    pub sent_timeout_s: f64,
    /// Whether it never ran: the server turned it away.
    pub never_ran: bool,
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEnd {
    /// A final answer came.
    Answered {
        /// When its last byte came.
        at: f64,
        /// Its status.
        status: u16,
    },
    /// The client closed its connection.
    ClientClosed {
        /// When.
        at: f64,
    },
    /// The connection ended without an answer.
    ConnectionLost {
        /// When.
        at: f64,
        /// Whether it was reset: a connection that is closed over bytes that were not read is.
        is_reset: bool,
    },
    /// No answer came by half a second after its time.
    TimedOut,
    /// It could not be handed in: nobody accepted the connection.
    NotAccepted,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its name.
    pub id: String,
    /// Where it was handed in.
    pub mixer: usize,
    /// When its last byte was written.
    pub at: f64,
    /// How long the client waits (seconds).
    pub timeout_s: f64,
    /// Whether repeats of its parts are discarded by key for a while only.
    pub keyed: bool,
    /// When a kept connection ended under it without an answer, before it was sent once more on a new one.
    pub reused_connection_lost_at: Option<f64>,
    /// How it ended.
    pub end: RequestEnd,
}

/// What happened to a process of a mixer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It said that it is ready.
    Ready,
    /// It is killed.
    Killed,
    /// It is gone after that: on a busy machine its sockets outlive the signal.
    Reaped,
    /// It was told to end.
    SigtermSent,
    /// It has ended after that.
    Exited,
    /// It was killed, for it had not ended by the time that it has for that.
    KilledAfterSigterm,
    /// It was told of another discovery, or to read its configuration again.
    Reconfigured,
    /// It was stopped.
    Stopped,
    /// It goes on.
    Continued,
    /// It ended by itself.
    Crashed,
    /// Its own guard counted so many violations.
    GuardViolations(u64),
    /// Its own guard stopped so many acts.
    GuardStops(u64),
}

/// A process event with its mixer and time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRecord {
    /// Which mixer.
    pub mixer: usize,
    /// When.
    pub at: f64,
    /// What.
    pub event: ProcessEvent,
}

/// A time in which the stand-ins themselves stood still: what they noted then came earlier.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// From when.
    pub from: f64,
    /// To when.
    pub to: f64,
}

/// All that was seen.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Versions of the list, in order.
    pub versions: Vec<ListVersion>,
    /// Answers of discovery.
    pub discovery_answers: Vec<DiscoveryAnswer>,
    /// When discovery was out of reach.
    pub unreachable: Vec<UnreachableSpan>,
    /// When all open watches fell silent.
    pub watch_silences: Vec<f64>,
    /// Parts at servers.
    pub calls: Vec<PartCall>,
    /// Requests of clients.
    pub requests: Vec<Request>,
    /// Processes.
    pub processes: Vec<ProcessRecord>,
    /// Stalls of the stand-ins.
    pub stalls: Vec<Stall>,
}

/// The history while it is written, and the clock of all who write.
pub struct Recorder {
    start: Instant,
    history: Mutex<History>,
}

impl Default for Recorder {
    fn default() -> Recorder {
        Recorder {
            start: Instant::now(),
            history: Mutex::default(),
        }
    }
}

impl Recorder {
    /// The time now (seconds).
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Notes stalls of this process, until `is_over` says so: a thread that wants to run every few milliseconds and does not.
    pub fn record_stalls(&self, is_over: impl Fn() -> bool) {
        let mut before = self.now();
        while !is_over() {
            std::thread::sleep(STALL_CHECK_INTERVAL);
            let now = self.now();
            if now - before > MIN_STALL_S {
                self.record(|history| {
                    history.stalls.push(Stall {
                        from: before,
                        to: now,
                    })
                });
            }
            before = now;
        }
    }

    /// Writes something down.
    pub fn record(&self, write: impl FnOnce(&mut History)) {
        write(&mut lock(&self.history));
    }

    /// Something happened to a process now.
    pub fn record_process(&self, mixer: usize, event: ProcessEvent) {
        let at = self.now();
        self.record(|history| history.processes.push(ProcessRecord { mixer, at, event }));
    }

    /// What was written so far.
    pub fn history(&self) -> History {
        lock(&self.history).clone()
    }
}
