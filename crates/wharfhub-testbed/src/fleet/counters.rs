//! Counters of the traffic between a discovery stand-in and its mixers.

/// Traffic since the start of a discovery, or between two points in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counters {
    /// Connections accepted from mixers.
    pub connections: u64,
    /// Calls read from mixers.
    pub calls: u64,
    /// Calls that do not wait for a change (heartbeats); included in `calls`.
    pub heartbeats: u64,
    /// Answers with the complete list.
    pub complete_lists: u64,
    /// Answers with changes.
    pub change_answers: u64,
    /// Bytes of answers with changes.
    pub change_bytes: u64,
    /// Answers without changes.
    pub empty_answers: u64,
    /// Answers with status 503.
    pub overloaded: u64,
    /// Bytes read from mixers.
    pub bytes_in: u64,
    /// Bytes written to mixers.
    pub bytes_out: u64,
    /// Connections closed because the mixer did not read its answers.
    pub slow_closed: u64,
    /// Largest number of calls queued at the same time.
    pub max_queued: u64,
    /// Watches that were open when the counters were last updated.
    pub watches: u64,
    /// Largest number of bytes queued for writing on a single connection. A text that several connections share counts in full
    /// for each of them.
    pub max_unsent_bytes: u64,
}

impl Counters {
    /// Returns the traffic since `before`. Current levels and maxima are not subtracted.
    pub fn since(&self, before: &Counters) -> Counters {
        Counters {
            connections: self.connections - before.connections,
            calls: self.calls - before.calls,
            heartbeats: self.heartbeats - before.heartbeats,
            complete_lists: self.complete_lists - before.complete_lists,
            change_answers: self.change_answers - before.change_answers,
            change_bytes: self.change_bytes - before.change_bytes,
            empty_answers: self.empty_answers - before.empty_answers,
            overloaded: self.overloaded - before.overloaded,
            bytes_in: self.bytes_in - before.bytes_in,
            bytes_out: self.bytes_out - before.bytes_out,
            slow_closed: self.slow_closed - before.slow_closed,
            ..*self
        }
    }

    /// Adds two sets of counters; takes the larger value of each maximum.
    pub fn merge(self, other: Counters) -> Counters {
        Counters {
            connections: self.connections + other.connections,
            calls: self.calls + other.calls,
            heartbeats: self.heartbeats + other.heartbeats,
            complete_lists: self.complete_lists + other.complete_lists,
            change_answers: self.change_answers + other.change_answers,
            change_bytes: self.change_bytes + other.change_bytes,
            empty_answers: self.empty_answers + other.empty_answers,
            overloaded: self.overloaded + other.overloaded,
            bytes_in: self.bytes_in + other.bytes_in,
            bytes_out: self.bytes_out + other.bytes_out,
            slow_closed: self.slow_closed + other.slow_closed,
            max_queued: self.max_queued.max(other.max_queued),
            watches: self.watches + other.watches,
            max_unsent_bytes: self.max_unsent_bytes.max(other.max_unsent_bytes),
        }
    }

    /// Returns the number of calls and answers.
    pub fn messages(&self) -> u64 {
        self.calls
            + self.complete_lists
            + self.change_answers
            + self.empty_answers
            + self.overloaded
    }

    /// Returns the number of bytes in both directions.
    pub fn bytes(&self) -> u64 {
        self.bytes_in + self.bytes_out
    }
}
