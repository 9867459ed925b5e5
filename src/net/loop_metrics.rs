//! Counters of the event loop's iterations, by which operators distinguish too much work from too little processor time.

use crate::net::discovery::lease::{MAX_LOOP_DELAY_S, MIN_PROCESS_PAUSE_S};

/// Counters of the iterations since the start of the process. Times are on the loop's clock (seconds).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct LoopMetrics {
    /// Number of iterations.
    pub(super) iterations: u64,
    /// Iterations after which the clock was read too late for deadlines to be handled.
    pub(super) long_iterations: u64,
    /// Duration of the longest iteration (seconds).
    pub(super) longest_s: f64,
    /// Iterations that ended with work left in the backlog because its time was over.
    pub(super) full_backlogs: u64,
    /// Messages of clients handled in the current iteration.
    messages: u64,
}

impl LoopMetrics {
    /// Records the start of an iteration.
    pub(super) fn begin_iteration(&mut self) {
        self.iterations += 1;
        self.messages = 0;
    }

    /// Counts a message of a client.
    pub(super) fn count_message(&mut self) {
        self.messages += 1;
    }

    /// Counts an iteration that left work in the backlog because its time was over.
    pub(super) fn count_full_backlog(&mut self) {
        self.full_backlogs += 1;
    }

    /// Records how long an iteration took to handle its events (seconds). Returns the line to be logged if that was too long.
    pub(super) fn end_iteration(&mut self, duration_s: f64) -> Option<String> {
        self.longest_s = self.longest_s.max(duration_s);
        self.long_iterations += u64::from(duration_s > MAX_LOOP_DELAY_S);
        let messages = self.messages;
        (duration_s > MIN_PROCESS_PAUSE_S).then(|| {
            format!("loop: an iteration took {duration_s:.3} s and handled {messages} messages of clients")
        })
    }
}
