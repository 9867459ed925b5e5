//! The turns in which a discovery takes calls, and the watches that wait for news.
//!
//! A state machine without sockets and clock: calls go in with a time, answers come out with a time. It must never
//! know what a list says, only its version.

use std::collections::{BTreeMap, VecDeque};

/// A call that has waited for its turn for longer has failed, and takes its turn all the same (seconds).
const MAX_QUEUE_WAIT_S: f64 = 2.0;

/// What is asked of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// The complete list.
    CompleteList,
    /// Changes after a version, waiting for them for so long at most.
    Watch {
        /// The version that is known.
        since: u64,
        /// Longest wait (seconds).
        wait_s: f64,
    },
}

/// What a call is answered with.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Answer {
    /// The complete list.
    CompleteList,
    /// The changes after that version, perhaps none.
    Changes {
        /// The version that is known.
        since: u64,
    },
    /// It waited too long for its turn.
    Overloaded,
}

/// Calls in turn, and open watches. `K` names who asked.
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
    /// A queue in which each call takes so long.
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

    /// Each call takes so long from now on.
    pub fn set_service_time_s(&mut self, service_time_s: f64) {
        self.service_time_s = service_time_s;
    }

    /// A call has come.
    pub fn push(&mut self, now: f64, key: K, call: Call) {
        self.busy_until = self.busy_until.max(now);
        self.queue.push_back((now, key, call));
        self.max_queued = self.max_queued.max(self.queue.len());
    }

    /// Whoever asked has gone. Its call takes its turn all the same, for discovery does not notice.
    pub fn remove_watch(&mut self, key: K) {
        self.watches.remove(&key);
    }

    /// All open watches, which are forgotten.
    pub fn take_watches(&mut self) -> Vec<K> {
        std::mem::take(&mut self.watches).into_keys().collect()
    }

    /// Open watches.
    pub fn watches(&self) -> usize {
        self.watches.len()
    }

    /// The most calls that have waited for their turn at once.
    pub fn max_queued(&self) -> usize {
        self.max_queued
    }

    /// The answers that are due now, at that version of the list; `has_changes_since` says whether changes since a version
    /// can be told.
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
        let is_over = |watch: &OpenWatch| watch.since < revision || watch.until <= now;
        let over = self.watches.iter().filter(|(_, watch)| is_over(watch));
        let over: Vec<(K, u64)> = over.map(|(key, watch)| (*key, watch.since)).collect();
        for (key, since) in over {
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

    /// When something falls due next, if nothing comes in.
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
