//! The state of one replica: its endpoint entry, what was learned of it, and the calls in flight there.
//!
//! This file owns that state. It must never choose between replicas, and never read a clock.

use crate::decisions::api::ReplicaEntry;
use crate::decisions::learned_state::{ClassStatistics, ReplicaStatistics};

/// Weight of a new answer in what is smoothed by replica.
pub(crate) const SMOOTHING: f64 = 0.3;
/// An attempt in flight is expected to take this multiple of its present age in the end.
const EXPECTED_LATENCY_PER_AGE: f64 = 1.2;

/// A call: the parts that go to one replica in one round.
pub(crate) struct CallInFlight {
    pub(crate) sent_at: f64,
    /// As `sent_at`, but later by the stalls of this process since then.
    pub(crate) waiting_since: f64,
    /// Parts that can still join it in its round.
    pub(crate) free_slots: u32,
    /// Its parts that are in flight.
    pub(crate) in_flight: u32,
}

/// A replica that discovery listed.
#[derive(Default)]
pub(crate) struct Replica {
    pub(crate) entry: ReplicaEntry,
    pub(crate) statistics: ReplicaStatistics,
    /// Attempts in flight there.
    pub(crate) in_flight: u32,
    /// Attempts that the predecessor process has in flight there.
    pub(crate) predecessor_in_flight: u32,
    /// Calls that still have a part in flight, oldest first.
    pub(crate) calls: Vec<CallInFlight>,
    /// How long the connection had been idle on which a part was lost (seconds).
    pub(crate) lost_after_idle_s: Option<f64>,
    /// When a part was last sent there or ended.
    pub(crate) last_used_at: Option<f64>,
    /// Whether the attempt that ended last was answered, well or not.
    pub(crate) has_answered_last: bool,
    /// Random draw from 0 to 1 for the present overload window of the slow start.
    pub(crate) slow_start_draw: f64,
    /// When the next draw is due.
    pub(crate) next_draw_at: f64,
}

impl Replica {
    /// A replica of which only the endpoint list is known.
    pub(crate) fn new(entry: ReplicaEntry, classes: usize, now: f64) -> Self {
        let statistics = ReplicaStatistics {
            classes: vec![ClassStatistics::new(now); classes],
            started_at: entry.started_at,
            last_answer_at: now,
            lifecycle_changed_at: now,
            ..ReplicaStatistics::default()
        };
        Replica {
            entry,
            statistics,
            ..Replica::default()
        }
    }

    /// Starts over for a new process of the replica: only the load that is in flight or was sent stays known.
    pub(crate) fn restart(&mut self, entry: ReplicaEntry, classes: usize, now: f64) {
        let former = std::mem::take(self);
        *self = Replica {
            in_flight: former.in_flight,
            predecessor_in_flight: former.predecessor_in_flight,
            calls: former.calls,
            ..Replica::new(entry, classes, now)
        };
        self.statistics.sent_times = former.statistics.sent_times;
    }

    /// Counts a part that is sent: in the call of this very round where that has a free place, else in a new one.
    pub(crate) fn part_sent(&mut self, now: f64, max_call_parts: u32) {
        self.in_flight += 1;
        self.last_used_at = Some(now);
        if let Some(call) = self.open_call_mut(now) {
            call.free_slots -= 1;
            call.in_flight += 1;
            return;
        }
        self.calls.push(CallInFlight {
            sent_at: now,
            waiting_since: now,
            free_slots: max_call_parts.max(1) - 1,
            in_flight: 1,
        });
    }

    fn open_call_mut(&mut self, now: f64) -> Option<&mut CallInFlight> {
        let last = self.calls.last_mut();
        last.filter(|call| call.is_open(now))
    }

    /// Whether a part that is sent now joins a call.
    #[inline]
    pub(crate) fn has_open_call(&self, now: f64) -> bool {
        self.calls.last().is_some_and(|call| call.is_open(now))
    }

    /// Counts the end of a part that was sent at that time.
    pub(crate) fn part_ended(&mut self, now: f64, sent_at: f64) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.last_used_at = Some(now);
        let index = self.calls.partition_point(|call| call.sent_at < sent_at);
        let call = self.calls.get_mut(index);
        if let Some(call) = call.filter(|call| call.sent_at == sent_at) {
            call.in_flight -= 1;
            if call.in_flight == 0 {
                self.calls.remove(index);
            }
        }
    }

    /// Least latency that the age of the oldest call in flight lets expect (seconds).
    #[inline]
    pub(crate) fn expected_wait_s(&self, now: f64) -> f64 {
        let oldest = self.calls.first();
        oldest.map_or(0.0, |call| {
            EXPECTED_LATENCY_PER_AGE * (now - call.waiting_since)
        })
    }

    /// Takes a latency, as a multiple of the average of all replicas.
    pub(crate) fn add_relative_latency(&mut self, now: f64, relative_latency: f64) {
        let former = self.statistics.relative_latency.unwrap_or(relative_latency);
        let smoothed = former + SMOOTHING * (relative_latency - former);
        self.statistics.relative_latency = Some(smoothed);
        self.statistics.last_answer_at = now;
    }

    /// Whether it gets nothing but probe requests for this class.
    #[inline]
    pub(crate) fn is_ejected(&self, class: usize) -> bool {
        self.statistics.ejection.is_ejected()
            || self.statistics.classes[class].ejection.is_ejected()
    }

    /// Whether a part of the class may go there: it is not ejected, or due for a probe request. A replica that is
    /// ejected as a whole gets a probe only while nothing else is in flight there.
    #[inline]
    pub(crate) fn is_usable(&self, class: usize, now: f64) -> bool {
        let whole = &self.statistics.ejection;
        let is_idle = self.in_flight + self.predecessor_in_flight == 0;
        let may_probe = !whole.is_ejected() || is_idle;
        let of_class = &self.statistics.classes[class].ejection;
        may_probe && whole.is_usable(now) && of_class.is_usable(now)
    }
}

impl CallInFlight {
    #[inline]
    fn is_open(&self, now: f64) -> bool {
        self.sent_at == now && self.free_slots > 0
    }
}
