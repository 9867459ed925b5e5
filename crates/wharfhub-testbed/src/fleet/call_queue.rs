//! Queue of the calls to the discovery stand-in, and the watches that wait for changes.
//!
//! The queue is a state machine without sockets and without a clock: the caller passes the current time and the revision of
//! the list.

use std::collections::{BTreeMap, VecDeque};

/// Longest time from the arrival of a call to the end of its processing. A call that takes longer is answered with an error and
/// still occupies the server for its service time (seconds).
const MAX_QUEUE_WAIT_S: f64 = 2.0;

/// Call to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// The complete list.
    CompleteList,
    /// Changes after a revision; waits for the next change if there is none yet.
    Watch {
        /// Revision of the caller's list.
        since: u64,
        /// Longest wait for a change (seconds).
        wait_s: f64,
    },
}

/// Answer to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The complete list.
    CompleteList,
    /// Changes after a revision; none if the watch timed out.
    Changes {
        /// Revision of the caller's list.
        since: u64,
    },
    /// Error answer to a call that waited too long in the queue.
    Overloaded,
}

/// Calls that are processed one after the other, and open watches. `K` identifies the caller's connection.
#[derive(Debug)]
pub struct CallQueue<K> {
    service_time_s: f64,
    busy_until: f64,
    queue: VecDeque<(f64, K, Call)>,
    watches: BTreeMap<K, OpenWatch>,
    max_queued: usize,
}

#[derive(Clone, Copy, Debug)]
struct OpenWatch {
    since: u64,
    until: f64,
}

impl<K: Copy + Ord> CallQueue<K> {
    /// Creates an empty queue whose calls take `service_time_s` each (seconds).
    pub fn new(service_time_s: f64) -> CallQueue<K> {
        let (queue, watches) = (VecDeque::new(), BTreeMap::new());
        CallQueue {
            service_time_s,
            busy_until: 0.0,
            queue,
            watches,
            max_queued: 0,
        }
    }

    /// Sets the service time of each call from now on (seconds).
    pub fn set_service_time_s(&mut self, service_time_s: f64) {
        self.service_time_s = service_time_s;
    }

    /// Adds a call that arrived at `now`.
    pub fn push(&mut self, now: f64, key: K, call: Call) {
        self.busy_until = self.busy_until.max(now);
        self.queue.push_back((now, key, call));
        self.max_queued = self.max_queued.max(self.queue.len());
    }

    /// Removes the watch of a closed connection. Its queued calls still take their service time, because the server does not
    /// notice the disconnect before it has processed them.
    pub fn remove_watch(&mut self, key: K) {
        self.watches.remove(&key);
    }

    /// Removes all open watches and returns their callers.
    pub fn take_watches(&mut self) -> Vec<K> {
        std::mem::take(&mut self.watches).into_keys().collect()
    }

    /// Returns the number of open watches.
    pub fn watches(&self) -> usize {
        self.watches.len()
    }

    /// Returns the largest number of calls that were queued at the same time.
    pub fn max_queued(&self) -> usize {
        self.max_queued
    }

    /// Returns the answers that are due at `now`, while the list has the given revision. `has_changes_since` returns whether the
    /// changes after a revision are still stored.
    pub fn poll(
        &mut self,
        now: f64,
        revision: u64,
        has_changes_since: impl Fn(u64) -> bool,
    ) -> Vec<(K, Answer)> {
        let mut answers = Vec::new();
        while let Some((asked_at, key, call)) = self.queue.front().copied() {
            let done_at = self.busy_until + self.service_time_s;
            if done_at > now && self.service_time_s > 0.0 {
                break;
            }
            self.queue.pop_front();
            self.busy_until = done_at;
            if done_at - asked_at > MAX_QUEUE_WAIT_S {
                answers.push((key, Answer::Overloaded));
                continue;
            }
            match call {
                Call::CompleteList => answers.push((key, Answer::CompleteList)),
                Call::Watch { since, .. } if !has_changes_since(since) => {
                    answers.push((key, Answer::CompleteList))
                }
                Call::Watch { since, wait_s } => {
                    self.watches.insert(
                        key,
                        OpenWatch {
                            since,
                            until: now + wait_s,
                        },
                    );
                }
            }
        }
        let is_ended = |watch: &OpenWatch| watch.since < revision || watch.until <= now;
        let ended = self.watches.iter().filter(|(_, watch)| is_ended(watch));
        let ended: Vec<(K, u64)> = ended.map(|(key, watch)| (*key, watch.since)).collect();
        for (key, since) in ended {
            self.watches.remove(&key);
            answers.push((
                key,
                if has_changes_since(since) {
                    Answer::Changes { since }
                } else {
                    Answer::CompleteList
                },
            ));
        }
        answers
    }

    /// Returns the time at which the next call is processed or the next watch times out, if no further call arrives.
    pub fn next_due_at(&self) -> Option<f64> {
        let call = self
            .queue
            .front()
            .map(|_| self.busy_until + self.service_time_s);
        let watch = self
            .watches
            .values()
            .map(|watch| watch.until)
            .min_by(f64::total_cmp);
        call.into_iter().chain(watch).min_by(f64::total_cmp)
    }
}
