//! Attempts that have been in flight for long: which of all attempts are checked for silence.
//!
//! This file owns the order in which attempts were sent, so that each is checked only once it is old. It must never say
//! what silence is, and never read a clock.

use crate::decisions::api::PartId;
use std::collections::{BTreeSet, VecDeque};

/// An attempt, by its part and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Its part.
    pub part: PartId,
    /// Its place among the attempts of the part.
    pub number: usize,
}

#[derive(Debug)]
struct SentAttempt {
    sent_at: f64,
    attempt: AttemptId,
}

/// Attempts by their age. Those that have ended stay until the next check or until they are the oldest: as many as are sent
/// in the time that makes one old.
#[derive(Debug, Default)]
pub struct Stragglers {
    recent: VecDeque<SentAttempt>, // in the order of sending
    old: BTreeSet<AttemptId>,
}

impl Stragglers {
    /// Takes an attempt that is sent at `sent_at`, none earlier than those before.
    pub fn add(&mut self, sent_at: f64, attempt: AttemptId) {
        self.recent.push_back(SentAttempt { sent_at, attempt });
    }

    /// The attempts in flight that were sent by `limit`, and perhaps some later ones, in the order of their parts.
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
