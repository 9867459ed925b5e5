//! The history of a soak: everything the stand-ins observed, with times. The checker has no other input.
//!
//! Times are seconds since the start of the soak, taken from one monotonic clock.

use crate::standin::lock;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Interval at which the process of the stand-ins checks whether it was stalled.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// Shortest time between two checks that counts as a stall (seconds).
const MIN_STALL_S: f64 = 0.03;

/// The phase of a server on the list of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerPhase {
    /// The server may get new parts.
    Ready,
    /// The server is draining.
    Draining,
    /// The server was removed from the list.
    Gone,
}

/// A version of the list.
#[derive(Clone, Debug)]
pub struct ListVersion {
    /// Time since which discovery has this version.
    pub at: f64,
    /// Phases of the servers, by server number.
    pub phases: Vec<ServerPhase>,
}

/// An answer that discovery wrote. The mixer counts as notified from then on, even if the answer does not arrive.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryAnswer {
    /// Number of the mixer that made the call.
    pub mixer: usize,
    /// Time of the write.
    pub at: f64,
    /// Index of the version in [`History::versions`].
    pub version: usize,
    /// Whether the answer was cut off on its way to the mixer.
    pub is_cut: bool,
}

/// The way in which discovery is unreachable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiscoveryFailure {
    /// Discovery closes or refuses calls.
    Down,
    /// Discovery does not answer, and its open watches stay silent from then on.
    Silent,
}

/// A span in which discovery was unreachable.
#[derive(Clone, Copy, Debug)]
pub struct UnreachableSpan {
    /// Number of the affected mixer; none if all mixers are affected.
    pub mixer: Option<usize>,
    /// The way in which calls failed.
    pub failure: DiscoveryFailure,
    /// Start of the span.
    pub from: f64,
    /// End of the span.
    pub to: f64,
}

/// A part that a server received.
#[derive(Clone, Debug)]
pub struct PartCall {
    /// Number of the mixer that sent the part.
    pub mixer: usize,
    /// ID of the request that the part belongs to.
    pub request: String,
    /// Shard that the part is for.
    pub shard: u32,
    /// Number of the receiving server.
    pub server: usize,
    /// Time of receipt.
    pub at: f64,
    /// Timeout that the mixer sent with the part (seconds).
    pub sent_timeout_s: f64,
    /// Whether the server rejected the part without running it.
    pub never_ran: bool,
}

/// The end of a request as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestEnd {
    /// The client received a final answer.
    Answered {
        /// Time at which the last byte arrived.
        at: f64,
        /// HTTP status.
        status: u16,
    },
    /// The client closed its connection before the answer.
    ClientClosed {
        /// Time of the close.
        at: f64,
    },
    /// The mixer closed the connection without an answer.
    ConnectionLost {
        /// Time at which the client noticed the close.
        at: f64,
        /// Whether the connection was reset, as happens when a peer closes a connection with unread data.
        is_reset: bool,
    },
    /// No answer arrived before the client closed its connection, some time after its timeout.
    TimedOut,
    /// The request was not sent because no connection to the mixer could be opened.
    NotAccepted,
}

/// A request of a client.
#[derive(Clone, Debug)]
pub struct Request {
    /// Value of the `X-Request-ID` header.
    pub id: String,
    /// Number of the mixer that the client sent the request to.
    pub mixer: usize,
    /// Time at which the client started to write the request.
    pub at: f64,
    /// Timeout of the client (seconds).
    pub timeout_s: f64,
    /// Whether the request has an idempotency key, by which servers discard repeats of its parts within a limited window.
    pub keyed: bool,
    /// Time at which a reused connection was closed without an answer to the request, which was then retried on a new one.
    pub reused_connection_lost_at: Option<f64>,
    /// End of the request.
    pub end: RequestEnd,
}

/// An event of a mixer process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProcessEvent {
    /// The process was started.
    Started,
    /// The process reported that it is ready.
    Ready,
    /// SIGKILL is about to be sent.
    Killed,
    /// The killed process was reaped. On a busy machine its sockets outlive the signal.
    Reaped,
    /// SIGTERM is about to be sent.
    SigtermSent,
    /// The process exited after SIGTERM.
    Exited,
    /// The process was killed because it had not exited in time after SIGTERM.
    KilledAfterSigterm,
    /// The configuration was rewritten and is about to be reloaded, with or without another address of discovery.
    Reconfigured,
    /// SIGSTOP is about to be sent.
    Stopped,
    /// SIGCONT is about to be sent.
    Continued,
    /// The process exited without a signal to do so, or could not be started.
    Crashed,
    /// Number of violations that the invariant checks of the process have counted.
    InvariantViolations(u64),
    /// Number of actions that the invariant checks of the process have stopped.
    StoppedActions(u64),
}

/// A process event with the mixer and the time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessRecord {
    /// Number of the mixer.
    pub mixer: usize,
    /// Time of the event.
    pub at: f64,
    /// The event.
    pub event: ProcessEvent,
}

/// A span in which the stand-ins themselves were stalled: events recorded at its end happened earlier.
#[derive(Clone, Copy, Debug)]
pub struct Stall {
    /// Start of the stall.
    pub from: f64,
    /// End of the stall.
    pub to: f64,
}

/// All observations of a soak.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Versions of the list, in order of time.
    pub versions: Vec<ListVersion>,
    /// Answers that discovery wrote.
    pub discovery_answers: Vec<DiscoveryAnswer>,
    /// Spans in which discovery was unreachable.
    pub unreachable: Vec<UnreachableSpan>,
    /// Times at which all open watches fell silent.
    pub watch_silences: Vec<f64>,
    /// Parts that the servers received.
    pub calls: Vec<PartCall>,
    /// Requests of the clients.
    pub requests: Vec<Request>,
    /// Events of the mixer processes.
    pub processes: Vec<ProcessRecord>,
    /// Stalls of the stand-ins.
    pub stalls: Vec<Stall>,
}

/// The history while it is being recorded, with the clock of all threads that record.
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
    /// Returns the current time (seconds since the start of the soak).
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Records stalls of this process until `is_over` returns true. A stall is detected when this thread, which sleeps for a few
    /// milliseconds at a time, wakes up much later.
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

    /// Applies `write` to the history.
    pub fn record(&self, write: impl FnOnce(&mut History)) {
        write(&mut lock(&self.history));
    }

    /// Records a process event with the current time.
    pub fn record_process(&self, mixer: usize, event: ProcessEvent) {
        let at = self.now();
        self.record(|history| history.processes.push(ProcessRecord { mixer, at, event }));
    }

    /// Returns a copy of the history recorded so far.
    pub fn history(&self) -> History {
        lock(&self.history).clone()
    }
}
