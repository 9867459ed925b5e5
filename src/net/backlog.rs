//! The queue of work that the event loop has put off to keep its iterations short. Each entry gets a turn of limited length; if
//! input is left after the turn, the entry is queued again behind all others, so that no peer delays another by sending fast.

use crate::net::handover::Side;
use crate::net::ConnectionKey;
use std::collections::{BTreeSet, VecDeque};

/// Maximum number of reads from a socket in one turn.
pub(in crate::net) const MAX_READS_PER_TURN: usize = 8;
/// Maximum number of connections that are accepted in one turn from a listener for other processes than clients.
pub(in crate::net) const MAX_ACCEPTS_PER_TURN: usize = 32;

/// Whether the socket was read to its end in a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadProgress {
    /// No more input is available.
    Drained,
    /// More input may be available; the connection needs another turn.
    MoreInput,
}

/// A source of input that may have more of it than one turn handles.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(in crate::net) enum Work {
    /// A connection of any kind.
    Connection(ConnectionKey),
    /// The listener for peers of the store.
    AcceptPeers,
    /// The queue of store operations.
    StoreOperations,
    /// The VRRP socket.
    Vrrp,
    /// The socket on which successors connect.
    Rendezvous,
    /// The connection to the other process of a handover.
    Link(Side),
}

/// Numbers of sources that wait for a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) struct TurnCounts {
    pub(in crate::net) first: usize,
    pub(in crate::net) further: usize,
}

/// Pending work in the order in which it was queued. Each source is queued at most once.
#[derive(Debug, Default)]
pub(in crate::net) struct Backlog {
    /// Sources that have not had a turn yet. They come first, because a peer that sends fast is rarely among them.
    first_turns: VecDeque<Work>,
    /// Sources whose last turn may have left input.
    further_turns: VecDeque<Work>,
    queued: BTreeSet<Work>,
}

impl Backlog {
    /// Queues a source behind all others, unless the source is queued already.
    pub(in crate::net) fn push(&mut self, work: Work) {
        if self.queued.insert(work) {
            self.further_turns.push_back(work);
        }
    }

    /// Queues a source for its first turn, before those that have had a turn, unless the source is queued already.
    pub(in crate::net) fn push_first(&mut self, work: Work) {
        if self.queued.insert(work) {
            self.first_turns.push_back(work);
        }
    }

    /// Removes and returns the source that has waited for its first turn for the longest time.
    pub(in crate::net) fn pop_first(&mut self) -> Option<Work> {
        let work = self.first_turns.pop_front()?;
        self.queued.remove(&work);
        Some(work)
    }

    /// Removes and returns the source that has waited for a further turn for the longest time.
    pub(in crate::net) fn pop(&mut self) -> Option<Work> {
        let work = self.further_turns.pop_front()?;
        self.queued.remove(&work);
        Some(work)
    }

    /// Returns whether a source is queued.
    pub(in crate::net) fn contains(&self, work: Work) -> bool {
        self.queued.contains(&work)
    }

    /// Returns whether no work is pending.
    pub(in crate::net) fn is_empty(&self) -> bool {
        self.queued.is_empty()
    }

    /// Returns how many sources wait for their first turn, and how many for a further one.
    pub(in crate::net) fn counts(&self) -> TurnCounts {
        TurnCounts {
            first: self.first_turns.len(),
            further: self.further_turns.len(),
        }
    }

    /// Returns the number of sources that wait for a turn.
    pub(in crate::net) fn len(&self) -> usize {
        self.queued.len()
    }
}

#[cfg(test)]
mod tests;
