//! State that the subsystems of the event loop share: the poll, the clock, the timers, the connection table and the request
//! coordinator.

use crate::config::Deployment;
use crate::endpoints::directory::{ConnectionKey, Directory};
use crate::net::backlog::Backlog;
use crate::net::clock::Clock;
use crate::net::connection_table::Connection;
use crate::net::discovery::lease::MAX_LOOP_DELAY_S;
use crate::net::log::Log;
use crate::net::loop_metrics::LoopMetrics;
use crate::net::timer_queue::{Deadline, TimerQueue};
use crate::net::tokens::token;
use crate::requests::coordinator::{Command, Coordinator};
use mio::{Interest, Poll};
use slotmap::SlotMap;
use std::rc::Rc;

/// Delay before the registration of a socket with the poll is retried (seconds).
const REGISTER_RETRY_S: f64 = 0.02;

/// The state that all subsystems share. Times are on `clock` (seconds).
pub(in crate::net) struct Runtime {
    pub(in crate::net) poll: Poll,
    /// Name of the mixer.
    pub(in crate::net) name: String,
    pub(in crate::net) clock: Clock,
    /// Time of the current iteration of the event loop.
    pub(in crate::net) now: f64,
    /// Earliest possible arrival of the events that the next iteration reads.
    pub(in crate::net) iteration_started_at: f64,
    /// Time of the last poll before this iteration; all data read in this iteration arrived after it.
    pub(in crate::net) previous_iteration_at: f64,
    pub(in crate::net) timers: TimerQueue,
    /// Work that did not fit into earlier iterations or turns.
    pub(in crate::net) backlog: Backlog,
    pub(in crate::net) log: Log,
    pub(in crate::net) loop_metrics: LoopMetrics,
    /// Source of jitter, which prevents the mixers of a fleet from acting at the same time.
    pub(in crate::net) rng: oorandom::Rand64,
    pub(in crate::net) connections: SlotMap<ConnectionKey, Connection>,
    /// Memory limit of the process (bytes).
    pub(in crate::net) memory_bytes: usize,
    /// Maximum number of connections to clients and replicas together.
    pub(in crate::net) max_connections: usize,
    pub(in crate::net) coordinator: Coordinator,
    /// Commands of the coordinator that the event loop has yet to execute.
    pub(in crate::net) commands: Vec<Command>,
    pub(in crate::net) deployment: Rc<Deployment>,
    pub(in crate::net) directory: Directory,
}

impl Runtime {
    /// Returns whether the event loop has been delayed in this iteration, so that sockets have not been read for too long.
    pub(in crate::net) fn is_delayed(&self) -> bool {
        self.clock.now() > self.now + MAX_LOOP_DELAY_S
    }

    /// Logs a line about the mixer as a whole, unless the limit on such lines is exceeded.
    pub(in crate::net) fn log(&mut self, line: &str) {
        self.log
            .write(self.now, self.clock.elapsed_s(self.now), line);
    }

    /// Logs a line about one request, unless the limit on such lines is exceeded; `line` is evaluated only if the line is
    /// written.
    pub(in crate::net) fn log_request(&mut self, line: impl FnOnce() -> String) {
        self.log
            .write_request(self.now, self.clock.elapsed_s(self.now), line);
    }

    /// Logs a line about the input of a peer, unless the limit on such lines is exceeded; `line` is evaluated only if the line is
    /// written.
    pub(in crate::net) fn log_peer(&mut self, line: impl FnOnce() -> String) {
        self.log
            .write_peer(self.now, self.clock.elapsed_s(self.now), line);
    }

    /// Registers a connection with the poll. A failed registration is logged and retried after a delay.
    pub(in crate::net) fn register(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        let result = self.poll.registry().register(
            connection.stream_mut(),
            token(key),
            Interest::READABLE | Interest::WRITABLE,
        );
        // A socket that is not registered would keep its peer waiting indefinitely.
        if let Err(error) = result {
            self.log(&format!("poll: {error}"));
            self.timers
                .add(self.now + REGISTER_RETRY_S, Deadline::Register(key));
        }
    }
}
