//! The calls to discovery that were not answered in time and are still open.
//!
//! Discovery answers calls in turn, so that an answer may come after any timeout; a mixer that closed the connection would
//! count as notified by an answer that crosses the close, and not have it. An overdue call therefore stays open beside the
//! calls made after it, and its answer counts.
//!
//! This file owns which connections these are and how many there may be. It must never make or close a call.

use crate::endpoints::directory::ConnectionKey;
use std::collections::VecDeque;

/// Overdue calls that are open at the same time.
const MAX_OVERDUE_CALLS: usize = 3;

/// The connections of overdue calls, the oldest call first.
#[derive(Default)]
pub struct OverdueCalls {
    keys: VecDeque<ConnectionKey>,
}

impl OverdueCalls {
    /// Adds a connection whose call is overdue. Gives the one that is to be closed for it, if there are too many: the oldest call but
    /// one. The oldest is the next to be answered where discovery takes calls in turn, and the answer to a young one may be on
    /// its way.
    pub fn add(&mut self, key: ConnectionKey) -> Option<ConnectionKey> {
        self.keys.push_back(key);
        if self.keys.len() > MAX_OVERDUE_CALLS {
            self.keys.remove(1)
        } else {
            None
        }
    }

    /// Removes a connection; says whether its call was overdue.
    pub fn remove(&mut self, key: ConnectionKey) -> bool {
        let count_before = self.keys.len();
        self.keys.retain(|other| *other != key);
        self.keys.len() < count_before
    }

    /// Whether the call of that connection is overdue.
    pub fn contains(&self, key: ConnectionKey) -> bool {
        self.keys.contains(&key)
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.keys.len()
    }

    /// The connections, the oldest call first.
    pub fn iter(&self) -> impl Iterator<Item = ConnectionKey> + '_ {
        self.keys.iter().copied()
    }
}
