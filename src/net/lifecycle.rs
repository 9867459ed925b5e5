//! The phases of the process from start to exit. This module decides from which time on connections are closed after their
//! response, and when idle clients are closed; the caller closes the connections.

use crate::net::connection_table::Connection;
use crate::net::runtime::Runtime;
use crate::net::timer_queue::{Deadline, TIMER_TOLERANCE_S};
use crate::requests::invariants::Invariant;
use mio::net::UnixStream;
use std::io::Read;

/// Maximum time that the exit waits for a client to read its last response (seconds).
const LAST_RESPONSE_LINGER_S: f64 = 0.2;
/// Time after a pause from which client connections are closed after their response (seconds). Until then load balancers notice
/// that the process is not ready.
const PAUSE_CLOSE_AFTER_RESPONSE_S: f64 = 0.4;
/// Time after a pause from which idle client connections are closed (seconds).
const PAUSE_CLOSE_IDLE_S: f64 = 0.7;
/// Interval at which idle connections are closed again, for clients that still connect (seconds).
const CLOSE_IDLE_INTERVAL_S: f64 = 0.2;
/// While paused, a client that connected within this time is not closed, because it may be about to send a request (seconds).
const FRESH_CLIENT_S: f64 = CLOSE_IDLE_INTERVAL_S / 2.0;
/// Last fraction of the drain time after SIGTERM in which connections are closed after their response.
const CLOSE_AFTER_RESPONSE_FRACTION: f64 = 0.2;
/// Minimum time for which open requests may finish after the listeners are closed (seconds); a longer deadline of a class
/// extends it.
const MIN_CLOSING_S: f64 = 3.0;

/// A phase between the start and the exit of the process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Phase {
    /// A predecessor still serves and has to hand over first: not ready, not accepting.
    Inheriting,
    /// There is no usable endpoint list yet: not ready, but accepting.
    Starting,
    /// Ready and accepting.
    Serving,
    /// Paused by operators, who want clients to be routed to other mixers: not ready, but still accepting.
    Paused,
    /// A successor has taken over: not accepting, connections are closed after their response until SIGTERM.
    HandedOver,
    /// SIGTERM was received: not ready, but accepting until the given time.
    Draining { until: f64 },
    /// The listeners are closed; open requests are answered until none is left or the given time has passed.
    Closing { until: f64 },
    /// The event loop has to return.
    Stopped,
}

/// Action due after a deadline of the current phase.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum PhaseAction {
    /// Close the listeners; [`Lifecycle::begin_closing`] follows.
    CloseListeners,
    /// Close idle clients except those that connected within the last `fresh_s` (seconds); [`Lifecycle::schedule_close_idle`]
    /// follows.
    CloseIdle { fresh_s: f64 },
}

/// Action required by SIGTERM or SIGINT.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopAction {
    /// No further action: the process is exiting already, or serves until the end of its drain time.
    None,
    /// Another process serves or is about to: abandon a takeover and close the listeners at once.
    CloseListeners,
}

/// The state machine of the process between start and exit.
pub(super) struct Lifecycle {
    phase: Phase,
    /// Time at which idle clients are closed next, in phases that close them.
    next_idle_close_at: f64,
    /// Time from which connections are closed after their response.
    close_after_response_at: f64,
    /// Time between SIGTERM and the closing of the listeners (seconds).
    drain_s: f64,
    /// Becomes readable on SIGTERM and SIGINT.
    signals: UnixStream,
}

impl Lifecycle {
    /// Creates the state of a process that starts.
    pub(super) fn new(signals: UnixStream, drain_s: f64) -> Lifecycle {
        Lifecycle {
            phase: Phase::Starting,
            next_idle_close_at: 0.0,
            close_after_response_at: f64::MAX,
            drain_s,
            signals,
        }
    }

    /// Returns the current phase.
    pub(super) fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns whether load balancers should send new clients to this process.
    pub(super) fn is_ready(&self) -> bool {
        self.phase == Phase::Serving
    }

    /// Returns whether the process is shutting down or has handed over.
    pub(super) fn is_ending(&self) -> bool {
        !matches!(
            self.phase,
            Phase::Inheriting | Phase::Starting | Phase::Serving | Phase::Paused
        )
    }

    /// Returns whether the current phase requires that connections are closed after their response. After SIGTERM this is so
    /// only near the end of the drain time: clients that are closed before another mixer is ready would have nowhere to
    /// connect.
    pub(super) fn closes_after_response(&self, now: f64) -> bool {
        now >= self.close_after_response_at
    }

    /// Enters the phase in which the process waits for a predecessor to hand over.
    pub(super) fn begin_inheriting(&mut self) {
        self.phase = Phase::Inheriting;
    }

    /// Enters the phase in which the process accepts clients and waits for a usable endpoint list, after a handover or without
    /// one.
    pub(super) fn begin_starting(&mut self) {
        self.phase = Phase::Starting;
    }

    /// Becomes ready; called as soon as there is a usable endpoint list.
    pub(super) fn begin_serving(&mut self) {
        self.phase = Phase::Serving;
    }

    /// Pauses the process: not ready from now on. Clients are served as usual until load balancers have noticed, since a client
    /// that is closed earlier would be routed here again. Returns false if the current phase cannot be paused.
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

    /// Resumes a paused process. Returns false if it was not paused.
    pub(super) fn resume(&mut self) -> bool {
        if self.phase != Phase::Paused {
            return false;
        }
        self.phase = Phase::Starting;
        self.close_after_response_at = f64::MAX;
        true
    }

    /// Enters the phase after a handover: connections are closed after their response, idle ones at once. Must not be called
    /// after SIGTERM.
    pub(super) fn begin_handed_over(&mut self, runtime: &mut Runtime) {
        self.phase = Phase::HandedOver;
        self.close_after_response_at = runtime.now;
        self.set_next_idle_close(runtime.now, runtime);
    }

    /// Returns to the starting phase after the successor was lost.
    pub(super) fn resume_from_handed_over(&mut self) {
        self.phase = Phase::Starting;
        self.close_after_response_at = f64::MAX;
    }

    /// Handles SIGTERM or SIGINT. Returns the action that the caller has to take.
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

    /// Enters the closing phase, in which open requests are answered for at most the longest deadline of a class.
    pub(super) fn begin_closing(&mut self, runtime: &mut Runtime) {
        let classes = runtime.deployment.policy.classes.iter();
        let deadlines_s = classes.map(|class| class.deadline_s);
        let until = runtime.now + deadlines_s.fold(MIN_CLOSING_S, f64::max);
        self.phase = Phase::Closing { until };
        self.close_after_response_at = runtime.now;
        runtime.timers.add(until, Deadline::Phase);
    }

    /// Returns the action that is due in the current phase, if any.
    pub(super) fn due(&self, now: f64) -> Option<PhaseAction> {
        let now = now + TIMER_TOLERANCE_S;
        match self.phase {
            Phase::Draining { until } if now >= until => Some(PhaseAction::CloseListeners),
            // Repeated pauses set several timers, of which only the latest counts.
            Phase::Paused if now >= self.next_idle_close_at => Some(PhaseAction::CloseIdle {
                fresh_s: FRESH_CLIENT_S,
            }),
            Phase::HandedOver if now >= self.next_idle_close_at => {
                Some(PhaseAction::CloseIdle { fresh_s: 0.0 })
            }
            _ => None,
        }
    }

    /// Sets the next time at which idle clients are closed.
    pub(super) fn schedule_close_idle(&mut self, runtime: &mut Runtime) {
        self.set_next_idle_close(runtime.now + CLOSE_IDLE_INTERVAL_S, runtime);
    }

    fn set_next_idle_close(&mut self, at: f64, runtime: &mut Runtime) {
        self.next_idle_close_at = at;
        runtime.timers.add(at, Deadline::Phase);
    }

    /// Stops the event loop once, in the closing phase, no client awaits a response or the time is over. Must be called at the
    /// end of each iteration.
    pub(super) fn check_end(&mut self, runtime: &mut Runtime) {
        let Phase::Closing { until } = self.phase else {
            return;
        };
        let now = runtime.now;
        let until = until.max(last_response_by(runtime));
        self.phase = Phase::Closing { until };
        let is_busy = |connection: &Connection| match connection {
            Connection::Client(client) => !client.has_lingered(now, LAST_RESPONSE_LINGER_S),
            _ => false,
        };
        if now >= until || !runtime.connections.values().any(is_busy) {
            self.phase = Phase::Stopped;
            if !has_unanswered(runtime) {
                runtime.log("shutdown: complete, every request is answered");
            }
        } else {
            let next_at = now + LAST_RESPONSE_LINGER_S / 4.0;
            runtime.timers.add(next_at, Deadline::Phase);
        }
    }
}

/// Returns the time until which clients of open requests may still read their responses; 0 if no request is open. A request
/// keeps the deadline with which it was accepted, which may be longer than any in the current settings.
fn last_response_by(runtime: &Runtime) -> f64 {
    let deadline = runtime.coordinator.latest_client_deadline();
    deadline.map_or(0.0, |deadline| deadline + LAST_RESPONSE_LINGER_S)
}

/// Returns whether requests are open when the process exits, which get no answer. Records a violated invariant for each.
fn has_unanswered(runtime: &mut Runtime) -> bool {
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
    unanswered > 0
}
