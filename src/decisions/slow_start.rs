//! Slow start: limits the parts that a recently started replica receives from this aggregator.
//!
//! A replica that is warming up becomes overloaded when all aggregators together send it more than a multiple of its
//! present capacity within a window. An aggregator does not know the load that the others send, so it derives its quota
//! from its own average load per replica. A quota of less than one part per window is applied by a random draw.

use crate::decisions::api::{ReplicaId, Settings};
use crate::decisions::learned_state::SEND_RATE_WINDOW_S;
use crate::decisions::replica::Replica;
use crate::decisions::replica_table::ReplicaTable;
use crate::decisions::time_window::{self, Schedule};
use crate::decisions::view::View;

/// Share of a replica's overload limit that all aggregators together may use.
const LIMIT_SHARE: f64 = 0.9;
/// Least capacity that is assumed for a replica.
const MIN_CAPACITY: f64 = 0.01;
/// Shortest slow start that is assumed (seconds).
const MIN_SLOW_START_S: f64 = 1e-3;

/// The number of parts that an aggregator may send to a replica within one overload window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Quota {
    /// A fixed number of parts.
    Parts(f64),
    /// A number below 1, to which the random draw of the window is added.
    ByDraw(f64),
}

impl Quota {
    /// Returns the number of parts that may be sent in the window; `draw` is from 0 to 1.
    pub fn max_parts(self, draw: f64) -> f64 {
        match self {
            Quota::Parts(parts) => parts,
            Quota::ByDraw(parts) => parts + draw,
        }
    }
}

/// Returns the least present capacity of a replica that started at `started_at` (0: long ago), as a share of its full
/// capacity.
#[inline]
pub fn capacity(settings: &Settings, started_at: f64, now: f64) -> f64 {
    if started_at <= 0.0 {
        return 1.0;
    }
    let ramp = ((now - started_at) / settings.slow_start_s.max(MIN_SLOW_START_S)).clamp(0.0, 1.0);
    (settings.slow_start_min_capacity + (1.0 - settings.slow_start_min_capacity) * ramp)
        .clamp(MIN_CAPACITY, 1.0)
}

/// Returns the quota for a replica of this capacity; `parts_per_s` is the rate at which the aggregator sends to each
/// replica on average.
pub fn quota(settings: &Settings, capacity: f64, parts_per_s: f64) -> Quota {
    let even_load = parts_per_s * settings.overload_window_s;
    let parts = LIMIT_SHARE * settings.overload_multiple * capacity * even_load;
    if parts >= 1.0 || settings.aggregators < 2 {
        Quota::Parts(parts)
    } else {
        Quota::ByDraw(parts)
    }
}

fn quota_at_present(view: &View, capacity: f64) -> Quota {
    let sent = view.statistics.recent_first_attempts() as f64;
    let parts_per_s = sent / SEND_RATE_WINDOW_S / view.replicas.listed_count() as f64;
    quota(view.settings, capacity, parts_per_s)
}

/// Returns whether a random draw decides how many parts a replica of this capacity receives.
pub(crate) fn is_limited_by_draw(view: &View, capacity: f64) -> bool {
    matches!(quota_at_present(view, capacity), Quota::ByDraw(_))
}

/// Returns whether a replica is warming up and one more part would exceed the quota. If all aggregators respect their
/// quotas, the replica stays below its overload limit.
#[inline]
pub(crate) fn is_at_limit(view: &View, replica: &Replica) -> bool {
    let capacity = capacity(view.settings, replica.statistics.started_at, view.now);
    if capacity >= 1.0 {
        return false;
    }
    let window_start = view.now - view.settings.overload_window_s;
    let sent = time_window::count_since(&replica.statistics.sent_times, window_start) as f64;
    sent + 1.0 > quota_at_present(view, capacity).max_parts(replica.slow_start_draw)
}

/// The random draws of all replicas, one for each overload window. The first window of a replica has a random length.
#[derive(Default)]
pub(crate) struct SlowStartDraws {
    due: Schedule<ReplicaId>,
}

impl SlowStartDraws {
    /// Rebuilds the schedule for the present replicas.
    pub(crate) fn reset(&mut self, replicas: &ReplicaTable) {
        self.due = Schedule::default();
        for (id, replica) in replicas.iter() {
            self.due.put(replica.next_draw_at, *id);
        }
    }

    /// Draws again for the replicas whose window has ended.
    pub(crate) fn redraw_due(
        &mut self,
        replicas: &mut ReplicaTable,
        window_s: f64,
        rng: &mut oorandom::Rand64,
        now: f64,
    ) {
        for due in self.due.take_due(now) {
            let Some(replica) = replicas.get_mut(due.key) else {
                continue;
            };
            if now >= replica.next_draw_at {
                let is_first = replica.next_draw_at <= 0.0;
                let phase = if is_first { rng.rand_float() } else { 1.0 };
                replica.next_draw_at = now + phase * window_s;
                replica.slow_start_draw = rng.rand_float();
            }
            self.due.put(replica.next_draw_at, due.key);
        }
    }
}
