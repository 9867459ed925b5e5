//! Attempts that have been in flight for long, which are the only ones that need a check for a missing response.

use crate::decisions::api::PartId;
use std::collections::{BTreeSet, VecDeque};

/// The id of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Part that the attempt belongs to.
    pub part: PartId,
    /// Number of the attempt within its part.
    pub number: usize,
}

#[derive(Debug)]
struct SentAttempt {
    sent_at: f64,
    attempt: AttemptId,
}

/// Attempts by age. Ended attempts are removed at the next check or once they are the oldest, so the number of entries is
/// bounded by the number of attempts sent in the time that makes an attempt old.
#[derive(Debug, Default)]
pub struct Stragglers {
    recent: VecDeque<SentAttempt>, // in the order of sending
    old: BTreeSet<AttemptId>,
}

impl Stragglers {
    /// Adds an attempt sent at `sent_at`, which must not be earlier than the previous ones.
    pub fn add(&mut self, sent_at: f64, attempt: AttemptId) {
        self.recent.push_back(SentAttempt { sent_at, attempt });
    }

    /// Returns the attempts in flight that were sent by `limit`, or by the limit of an earlier call, in the order of their
    /// parts.
    pub fn sent_by(
        &mut self,
        limit: f64,
        is_in_flight: impl Fn(&AttemptId) -> bool,
    ) -> Vec<AttemptId> {
        self.old.retain(&is_in_flight);
        while let Some(first) = self.recent.front() {
            let is_open = is_in_flight(&first.attempt);
            if is_open && first.sent_at > limit {
                break;
            }
            if is_open {
                self.old.insert(first.attempt);
            }
            self.recent.pop_front();
        }
        self.old.iter().copied().collect()
    }
}

#[cfg(test)]
mod tests;
