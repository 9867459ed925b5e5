//! The phases of the process from start to exit: starting, serving, paused, draining, closing.
//!
//! This file owns the phase, from when on a response is the last one on its connection, and when idle clients are closed
//! next. It must never end a connection, and never decide about a request.

use crate::net::connection_table::Connection;
use crate::net::runtime::Runtime;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use crate::requests::invariants::Invariant;
use mio::net::UnixStream;
use std::io::Read;

/// The exit waits at most this long for a last response to be read (seconds).
const LAST_RESPONSE_LINGER_S: f64 = 0.2;
/// After a pause clients are served as usual for so long: whoever routes clients to this process has to notice first. From
/// then on a response is the last one on its connection (seconds).
const PAUSE_CLOSE_AFTER_RESPONSE_S: f64 = 0.4;
/// After this time of a pause idle connections are closed (seconds).
const PAUSE_CLOSE_IDLE_S: f64 = 0.7;
/// Idle connections are closed again at this interval, for clients that still connect (seconds).
const CLOSE_IDLE_INTERVAL_S: f64 = 0.2;
/// While paused, a client that connected within this time may be about to send a request, and is not closed (seconds).
const FRESH_CLIENT_S: f64 = CLOSE_IDLE_INTERVAL_S / 2.0;
/// Responses are the last ones on their connections for this last share of the time for which clients are served after
/// SIGTERM.
const CLOSE_AFTER_RESPONSE_FRACTION: f64 = 0.2;
/// After the listeners are closed, requests are awaited for the longest deadline of a class, and at least for this time
/// (seconds).
const MIN_CLOSING_S: f64 = 3.0;

/// The phases from start to exit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// A predecessor still serves, and is to hand over: not ready, not accepting.
    Inheriting,
    /// No endpoint list may be acted on yet: not ready, but accepting.
    Starting,
    /// Ready.
    Serving,
    /// The operators have had clients sent to other mixers: not ready, still accepting.
    Paused,
    /// A successor has taken over: not accepting, closing connections with their responses until SIGTERM.
    HandedOver,
    /// After SIGTERM: not ready, still accepting until that time.
    Draining { until: f64 },
    /// The listeners are closed; open requests are answered until none is left, or that time.
    Closing { until: f64 },
    /// The event loop ends.
    Stopped,
}

/// What is to be done as a deadline of the present phase has passed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PhaseAction {
    /// Close the listeners; [`Lifecycle::begin_closing`] follows.
    CloseListeners,
    /// Close idle clients but those that connected within the last `fresh_s` (seconds);
    /// [`Lifecycle::schedule_close_idle`] follows.
    CloseIdle { fresh_s: f64 },
}

/// What is to be done on SIGTERM.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopAction {
    /// Nothing more than has been done: the process ends already, or goes on serving for a while.
    None,
    /// Another process serves, or is to: give a takeover up and close the listeners at once.
    CloseListeners,
}

/// Where the process is between start and exit.
pub(super) struct Lifecycle {
    phase: Phase,
    /// When idle clients are closed next, in phases that close them.
    next_idle_close_at: f64,
    /// From then on a response is the last one on its connection.
    close_after_response_at: f64,
    /// After SIGTERM clients are served for so long before the listeners close (seconds).
    drain_s: f64,
    /// Becomes readable on SIGTERM and SIGINT.
    signals: UnixStream,
}

impl Lifecycle {
    /// A process that starts.
    pub(super) fn new(signals: UnixStream, drain_s: f64) -> Lifecycle {
        Lifecycle {
            phase: Phase::Starting,
            next_idle_close_at: 0.0,
            close_after_response_at: f64::MAX,
            drain_s,
            signals,
        }
    }

    /// The present phase.
    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// Whether the operators and the platform may count on this process for new clients.
    pub(super) fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Whether the process is on its way to its exit.
    pub(super) fn is_ending(&self) -> bool {
        !matches!(
            self.phase,
            Phase::Inheriting | Phase::Starting | Phase::Serving | Phase::Paused
        )
    }

    /// Whether a response is the last one on its connection by the phase. After SIGTERM that is so only near the end: clients
    /// that are closed before another mixer is ready would have nowhere to go.
    pub(super) fn closes_after_response(&self, now: f64) -> bool {
        now >= self.close_after_response_at
    }

    /// Waits for a predecessor to hand over.
    pub(super) fn begin_inheriting(&mut self) {
        self.phase = Phase::Inheriting;
    }

    /// Begins to serve as soon as there is an endpoint list, after a predecessor or alone.
    pub(super) fn begin_starting(&mut self) {
        self.phase = Phase::Starting;
    }

    /// There is an endpoint list that may be acted on: ready.
    pub(super) fn begin_serving(&mut self) {
        self.phase = Phase::Serving;
    }

    /// The operators pause this process: not ready from now on. Whoever routes clients here sends no new ones once it has
    /// noticed; until then clients are served as usual, for those that were closed too early would come back the same way.
    /// Returns whether the phase allows it.
    pub(super) fn pause(&mut self, runtime: &mut Runtime) -> bool {
        if !matches!(self.phase, Phase::Starting | Phase::Serving) {
            return false;
        }
        self.phase = Phase::Paused;
        self.close_after_response_at = runtime.now + PAUSE_CLOSE_AFTER_RESPONSE_S;
        self.set_next_idle_close(runtime.now + PAUSE_CLOSE_IDLE_S, runtime);
        runtime.log("pause: not ready, closing client connections");
        true
    }

    /// The operators resume a process that was paused. Returns whether it was.
    pub(super) fn resume(&mut self) -> bool {
        if self.phase != Phase::Paused {
            return false;
        }
        self.phase = Phase::Starting;
        self.close_after_response_at = f64::MAX;
        true
    }

    /// A successor serves: clients are closed with their responses, idle ones at once. Not for a process that has had SIGTERM.
    pub(super) fn begin_handed_over(&mut self, runtime: &mut Runtime) {
        self.phase = Phase::HandedOver;
        self.close_after_response_at = runtime.now;
        self.set_next_idle_close(runtime.now, runtime);
    }

    /// A successor is gone: this process starts to serve again.
    pub(super) fn resume_from_handed_over(&mut self) {
        self.phase = Phase::Starting;
        self.close_after_response_at = f64::MAX;
    }

    /// SIGTERM has come.
    pub(super) fn stop(&mut self, runtime: &mut Runtime) -> StopAction {
        let mut buffer = [0; 64];
        while matches!(self.signals.read(&mut buffer), Ok(count) if count > 0) {}
        if matches!(self.phase, Phase::Inheriting | Phase::HandedOver) {
            return StopAction::CloseListeners;
        }
        if !self.is_ending() {
            let until = runtime.now + self.drain_s;
            let close_after_response_at = until - CLOSE_AFTER_RESPONSE_FRACTION * self.drain_s;
            self.phase = Phase::Draining { until };
            self.close_after_response_at =
                self.close_after_response_at.min(close_after_response_at);
            runtime.timers.add(until, Deadline::Phase);
            runtime.log("shutdown: draining, not ready, still serving");
        }
        StopAction::None
    }

    /// The listeners are closed: open requests are answered, for at most the longest deadline of a class.
    pub(super) fn begin_closing(&mut self, runtime: &mut Runtime) {
        let classes = runtime.deployment.policy.classes.iter();
        let deadlines_s = classes.map(|class| class.deadline_s);
        let until = runtime.now + deadlines_s.fold(MIN_CLOSING_S, f64::max);
        self.phase = Phase::Closing { until };
        self.close_after_response_at = runtime.now;
        runtime.timers.add(until, Deadline::Phase);
    }

    /// What is due in the present phase, if anything is.
    pub(super) fn due(&self, now: f64) -> Option<PhaseAction> {
        let now = now + TIMER_TOLERANCE_S;
        match self.phase {
            Phase::Draining { until } if now >= until => Some(PhaseAction::CloseListeners),
            // Of several timers, set by pauses in a row, only the latest counts.
            Phase::Paused if now >= self.next_idle_close_at => Some(PhaseAction::CloseIdle {
                fresh_s: FRESH_CLIENT_S,
            }),
            Phase::HandedOver if now >= self.next_idle_close_at => {
                Some(PhaseAction::CloseIdle { fresh_s: 0.0 })
            }
            _ => None,
        }
    }

    /// Idle clients have been closed: sets the time of the next round.
    pub(super) fn schedule_close_idle(&mut self, runtime: &mut Runtime) {
        self.set_next_idle_close(runtime.now + CLOSE_IDLE_INTERVAL_S, runtime);
    }

    fn set_next_idle_close(&mut self, at: f64, runtime: &mut Runtime) {
        self.next_idle_close_at = at;
        runtime.timers.add(at, Deadline::Phase);
    }

    /// Stops the process when, in its last phase, no client awaits a response any more or the time is over. To be called at
    /// the end of each turn of the loop.
    pub(super) fn check_end(&mut self, runtime: &mut Runtime) {
        let Phase::Closing { until } = self.phase else {
            return;
        };
        let now = runtime.now;
        let is_busy = |connection: &Connection| match connection {
            Connection::Client(client) => !client.has_lingered(now, LAST_RESPONSE_LINGER_S),
            _ => false,
        };
        if now >= until || !runtime.connections.values().any(is_busy) {
            self.phase = Phase::Stopped;
            check_unanswered(runtime);
            runtime.log("shutdown: complete, every request is answered");
        } else {
            let next_at = now + LAST_RESPONSE_LINGER_S / 4.0;
            runtime.timers.add(next_at, Deadline::Phase);
        }
    }
}

/// Requests that are open when the process ends get no answer: each violates an invariant.
fn check_unanswered(runtime: &mut Runtime) {
    let unanswered = runtime.coordinator.open_requests();
    for _ in 0..unanswered {
        let invariants = runtime.coordinator.invariants_mut();
        invariants.violated(Invariant::Unanswered);
    }
    if unanswered > 0 {
        runtime.log(&format!(
            "invariant violated: {}: {unanswered} requests at the end",
            Invariant::Unanswered.label()
        ));
    }
}
