//! What every subsystem of the loop uses: the poll, the clock, the timers, the table of connections and the request coordinator.
//!
//! This file owns no rule of any subsystem. It must never read or write a connection.

use crate::config::Deployment;
use crate::endpoints::directory::{ConnectionKey, Directory};
use crate::net::clock::Clock;
use crate::net::connection_table::Connection;
use crate::net::discovery::lease::MAX_LOOP_DELAY_S;
use crate::net::log::Log;
use crate::net::timer_queue::{Deadline, TimerQueue};
use crate::net::tokens::token;
use crate::requests::coordinator::{Command, Coordinator};
use mio::{Interest, Poll};
use slotmap::SlotMap;
use std::rc::Rc;

/// A socket that the system refuses to watch is registered again after this time (seconds).
const REGISTER_RETRY_S: f64 = 0.02;

/// The state that all subsystems share. Times are of `clock` (seconds).
pub(in crate::net) struct Runtime {
    pub(in crate::net) poll: Poll,
    /// The mixer's name.
    pub(in crate::net) name: String,
    pub(in crate::net) clock: Clock,
    /// The time of this turn of the loop.
    pub(in crate::net) now: f64,
    pub(in crate::net) iteration_started_at: f64,
    /// When the loop last looked at its sockets before this turn: whatever it finds now came after that.
    pub(in crate::net) previous_iteration_at: f64,
    pub(in crate::net) timers: TimerQueue,
    pub(in crate::net) log: Log,
    /// For jitter that keeps a fleet out of step.
    pub(in crate::net) rng: oorandom::Rand64,
    pub(in crate::net) connections: SlotMap<ConnectionKey, Connection>,
    /// Descriptors for connections to clients and replicas.
    pub(in crate::net) max_connections: usize,
    pub(in crate::net) coordinator: Coordinator,
    /// What the coordinator wants done, until the loop has carried it out.
    pub(in crate::net) commands: Vec<Command>,
    pub(in crate::net) deployment: Rc<Deployment>,
    pub(in crate::net) directory: Directory,
}

impl Runtime {
    /// Whether the loop has been held up since this turn began, so that sockets have not been read since.
    pub(in crate::net) fn is_delayed(&self) -> bool {
        self.clock.now() > self.now + MAX_LOOP_DELAY_S
    }

    /// Writes a line about the mixer as a whole, within the limit on such lines.
    pub(in crate::net) fn log(&mut self, line: &str) {
        self.log
            .write(self.now, self.clock.elapsed_s(self.now), line);
    }

    /// Writes a line about one request, which `line` makes where the limit on such lines allows it.
    pub(in crate::net) fn log_request(&mut self, line: impl FnOnce() -> String) {
        self.log
            .write_request(self.now, self.clock.elapsed_s(self.now), line);
    }

    /// Asks the poll to watch a connection, again a little later where the system refuses it.
    pub(in crate::net) fn register(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let result = self.poll.registry().register(
            connection.stream_mut(),
            token(key),
            Interest::READABLE | Interest::WRITABLE,
        );
        // A socket that nobody watches would keep whoever is on it waiting for ever.
        if let Err(error) = result {
            self.log(&format!("poll: {error}"));
            self.timers
                .add(self.now + REGISTER_RETRY_S, Deadline::Register(key));
        }
    }
}
