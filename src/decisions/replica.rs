//! The state of one replica: its entry in the endpoint list, its statistics and its calls in flight.

use crate::decisions::api::ReplicaEntry;
use crate::decisions::learned_state::{ClassStatistics, ReplicaStatistics};

/// Weight of a new sample in the smoothed statistics of a replica.
pub(crate) const SMOOTHING: f64 = 0.3;
/// Expected latency of an attempt in flight, as a multiple of its present age.
const EXPECTED_LATENCY_PER_AGE: f64 = 1.2;

/// A call, which carries the parts that are sent to one replica in one round.
pub(crate) struct CallInFlight {
    pub(crate) sent_at: f64,
    /// Send time, moved forward by the pauses of this process since then.
    pub(crate) waiting_since: f64,
    /// Number of parts that can still join the call within its round.
    pub(crate) free_slots: u32,
    /// Number of the call's parts in flight.
    pub(crate) in_flight: u32,
}

/// A replica that discovery has listed.
#[derive(Default)]
pub(crate) struct Replica {
    pub(crate) entry: ReplicaEntry,
    pub(crate) statistics: ReplicaStatistics,
    /// Number of attempts in flight at the replica.
    pub(crate) in_flight: u32,
    /// Number of attempts that the predecessor process has in flight at the replica.
    pub(crate) predecessor_in_flight: u32,
    /// Calls with parts in flight, oldest first.
    pub(crate) calls: Vec<CallInFlight>,
    /// Idle time of the connection on which the last part was lost (seconds).
    pub(crate) lost_after_idle_s: Option<f64>,
    /// Time at which a part was last sent to the replica or last ended there.
    pub(crate) last_used_at: Option<f64>,
    /// True if the replica answered the attempt that ended last, with success or not.
    pub(crate) has_answered_last: bool,
    /// Random draw from 0 to 1 for the present overload window of the slow start.
    pub(crate) slow_start_draw: f64,
    /// Time of the next draw.
    pub(crate) next_draw_at: f64,
}

impl Replica {
    /// Creates a replica of which only the entry in the endpoint list is known.
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

    /// Resets the state for a new process of the replica, except for the attempts in flight and the send times.
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

    /// Counts a part that is sent, in the call of this round if that has a free slot, or else in a new call.
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

    /// Returns whether a part sent now joins an existing call.
    #[inline]
    pub(crate) fn has_open_call(&self, now: f64) -> bool {
        self.calls.last().is_some_and(|call| call.is_open(now))
    }

    /// Counts the end of a part that was sent at `sent_at`.
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

    /// Returns the least latency to expect, from the age of the oldest call in flight (seconds).
    #[inline]
    pub(crate) fn expected_wait_s(&self, now: f64) -> f64 {
        let oldest = self.calls.first();
        oldest.map_or(0.0, |call| {
            EXPECTED_LATENCY_PER_AGE * (now - call.waiting_since)
        })
    }

    /// Records a latency, as a multiple of the average over all replicas.
    pub(crate) fn add_relative_latency(&mut self, now: f64, relative_latency: f64) {
        let former = self.statistics.relative_latency.unwrap_or(relative_latency);
        let smoothed = former + SMOOTHING * (relative_latency - former);
        self.statistics.relative_latency = Some(smoothed);
        self.statistics.last_answer_at = now;
    }

    /// Returns whether the replica receives only probe requests for this class.
    #[inline]
    pub(crate) fn is_ejected(&self, class: usize) -> bool {
        self.statistics.ejection.is_ejected()
            || self.statistics.classes[class].ejection.is_ejected()
    }

    /// Returns whether a part of the class may be sent to the replica: the replica is not ejected, or a probe request is
    /// due. A replica that is ejected as a whole gets a probe request only while nothing else is in flight there.
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
