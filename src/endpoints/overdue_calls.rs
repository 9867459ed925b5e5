//! The calls to discovery that were not answered in time and are still open.
//!
//! Discovery answers calls one after the other, so an answer may arrive after any timeout. If the mixer closed the connection
//! while discovery was writing the answer, the mixer would count as notified without having received the list. An overdue call
//! therefore stays open in parallel with later calls, and its answer is used.

use crate::endpoints::directory::ConnectionKey;
use std::collections::VecDeque;

/// Maximum number of overdue calls that are open at the same time.
const MAX_OVERDUE_CALLS: usize = 3;

/// Connections of overdue calls, the oldest call first.
#[derive(Default)]
pub struct OverdueCalls {
    keys: VecDeque<ConnectionKey>,
}

impl OverdueCalls {
    /// Adds a connection whose call is overdue. If there are too many, returns the connection that the caller has to close: that
    /// of the second oldest call. The oldest call is the next one that discovery answers, and the answer to a recent call may be
    /// in transit.
    pub fn add(&mut self, key: ConnectionKey) -> Option<ConnectionKey> {
        self.keys.push_back(key);
        if self.keys.len() > MAX_OVERDUE_CALLS {
            self.keys.remove(1)
        } else {
            None
        }
    }

    /// Removes a connection. Returns whether its call was overdue.
    pub fn remove(&mut self, key: ConnectionKey) -> bool {
        let count_before = self.keys.len();
        self.keys.retain(|other| *other != key);
        self.keys.len() < count_before
    }

    /// Returns whether the call on this connection is overdue.
    pub fn contains(&self, key: ConnectionKey) -> bool {
        self.keys.contains(&key)
    }

    /// Returns the number of overdue calls.
    pub fn count(&self) -> usize {
        self.keys.len()
    }

    /// Returns the connections, the oldest call first.
    pub fn iter(&self) -> impl Iterator<Item = ConnectionKey> + '_ {
        self.keys.iter().copied()
    }
}
