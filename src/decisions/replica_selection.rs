//! Selects the replica for a part: the holder with the least expected cost and load among those that may receive the part.

use crate::decisions::api::{Effect, Lifecycle, PartId, ReplicaId};
use crate::decisions::query::Part;
use crate::decisions::replica::Replica;
use crate::decisions::view::View;
use crate::decisions::{draining, slow_start};

/// Statistics of a replica whose freshness is at or below this value are ignored.
const MIN_FRESHNESS: f64 = 0.05;

/// A selected replica and the cost by which it was selected.
pub(crate) struct Choice {
    pub(crate) replica: ReplicaId,
    /// Expected cost, multiplied by the number of calls in flight at the replica.
    pub(crate) cost: f64,
}

/// The order in which holders are preferred, lowest first. Costs are positive, so their bit patterns order as the values
/// do.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    cost_bits: u64,
    is_in_other_zone: bool,
    draw_bits: u64,
}

/// Returns the replicas that hold a shard and may receive a part now.
///
/// Ejected replicas are left out unless all holders are ejected, because a shard needs at least one usable holder. If no
/// holder is ready, draining holders are used for a part of the drain grace, since the next endpoint list may contain a new
/// holder. There are no eligible holders once the endpoint list has expired.
pub(crate) fn eligible_holders<'a>(
    view: &View<'a>,
    shard: u32,
    class: usize,
) -> impl Iterator<Item = &'a Replica> {
    let now = view.now;
    let mut holders = holders_in_state(view, shard, is_ready);
    if holders.is_empty() {
        holders = holders_in_state(view, shard, is_draining_within_grace);
    }
    let any_usable = holders.iter().any(|replica| replica.is_usable(class, now));
    holders
        .into_iter()
        .filter(move |replica| !any_usable || replica.is_usable(class, now))
}

fn holders_in_state<'a>(
    view: &View<'a>,
    shard: u32,
    has_state: fn(&View, &Replica) -> bool,
) -> Vec<&'a Replica> {
    let is_list_valid = view.now < view.replicas.valid_until;
    let may_receive = |replica: &&Replica| {
        is_list_valid && has_state(view, replica) && !slow_start::is_at_limit(view, replica)
    };
    let holders = view.replicas.listed_holders(shard, view.settings);
    holders.filter(may_receive).collect()
}

#[inline]
fn is_ready(_view: &View, replica: &Replica) -> bool {
    replica.entry.lifecycle == Lifecycle::Ready
}

fn is_draining_within_grace(view: &View, replica: &Replica) -> bool {
    let notified_at = replica.statistics.lifecycle_changed_at;
    replica.entry.lifecycle == Lifecycle::Draining
        && view.now < draining::usable_until(notified_at, view.settings.drain_grace_s)
}

/// Returns the holder with the least product of expected cost and calls in flight, leaving out `excluded`. Ties are broken
/// by zone, in favour of this aggregator's own, and then by a random draw.
pub(crate) fn best_holder(view: &View, id: PartId, excluded: &[ReplicaId]) -> Option<Choice> {
    let part = &view.queries.parts[&id];
    let candidates = eligible_holders(view, part.shard, part.class)
        .filter(|replica| !excluded.contains(&replica.entry.id));
    let ranked = candidates.map(|replica| (rank(view, part, replica), replica));
    let (rank, best) = ranked.min_by(|(a, _), (b, _)| a.cmp(b))?;
    Some(Choice {
        replica: best.entry.id,
        cost: f64::from_bits(rank.cost_bits),
    })
}

fn rank(view: &View, part: &Part, replica: &Replica) -> Rank {
    let joins_call = replica.has_open_call(view.now);
    let calls =
        replica.calls.len() + replica.predecessor_in_flight as usize + usize::from(!joins_call);
    let cost = expected_cost_s(view, replica, part.class)
        * relative_call_work(view, part, replica, joins_call);
    let is_in_other_zone = replica.entry.zone != view.settings.zone;
    let zone_penalty = if is_in_other_zone {
        view.own_load_share()
    } else {
        0.0
    };
    Rank {
        cost_bits: (cost * (1.0 + zone_penalty) * calls as f64).to_bits(),
        is_in_other_zone,
        draw_bits: replica.slow_start_draw.to_bits(),
    }
}

/// Returns the work that a part adds to a replica, as a share of the work that it would cause in a call of its own. A part
/// that joins a call adds none of the call's own work; a part that opens a call shares that work with the parts that can
/// join.
fn relative_call_work(view: &View, part: &Part, replica: &Replica, joins_call: bool) -> f64 {
    let settings = view.settings;
    let call_work_s = settings.call_work_s;
    if settings.max_call_parts < 2 || call_work_s <= 0.0 {
        return 1.0;
    }
    let cells = settings.cells;
    let first_cells = (0..settings.replication_factor.min(cells))
        .map(|step| (replica.entry.cell + cells - step) % cells);
    let query = view.queries.query_of(part);
    let can_follow = query.map_or(0, |query| query.progress.untried(first_cells));
    let sharing = can_follow.clamp(1, settings.max_call_parts as usize) as f64;
    let median_s = view.statistics.latencies[part.class].median_s;
    let part_work_s = part.cost_hint_s.unwrap_or(median_s);
    let added_call_work_s = if joins_call {
        0.0
    } else {
        call_work_s / sharing
    };
    (part_work_s + added_call_work_s) / (part_work_s + call_work_s)
}

/// Returns the latency of a replica as currently known (seconds): the average service time multiplied by the replica's
/// relative latency, weighted by its freshness. A slowdown of all replicas is thus known from the answers of the others
/// even where each replica is used rarely.
#[inline]
pub(crate) fn known_latency_s(view: &View, replica: &Replica) -> f64 {
    let relative = replica.statistics.relative_latency.unwrap_or(1.0);
    let latency = view.service_time.average_s * (1.0 + (relative - 1.0) * freshness(view, replica));
    latency.max(replica.expected_wait_s(view.now))
}

/// Returns the weight that the statistics of a replica still have, from 0 to 1.
#[inline]
fn freshness(view: &View, replica: &Replica) -> f64 {
    let age = view.now - replica.statistics.last_answer_at;
    let freshness = (-age / view.decay_window_s).exp();
    if freshness > MIN_FRESHNESS {
        freshness
    } else {
        0.0
    }
}

/// Returns the expected latency of a replica (seconds): [`known_latency_s`], but at least the average service time, so that
/// small differences between fast replicas do not outweigh the zone. A replica in slow start counts as slower in proportion
/// to its reduced capacity, unless a random draw already limits what it receives.
#[inline]
pub(crate) fn expected_latency_s(view: &View, replica: &Replica) -> f64 {
    let capacity = slow_start::capacity(view.settings, replica.statistics.started_at, view.now);
    let slowdown = if capacity < 1.0 && slow_start::is_limited_by_draw(view, capacity) {
        1.0
    } else {
        capacity
    };
    known_latency_s(view, replica).max(view.service_time.average_s / slowdown)
}

/// Returns the expected latency plus the cost of a failure, weighted by its probability (seconds). A failure costs another
/// attempt, or the query if its parts can't be repeated. This matters for replicas that alternate fast errors with answers.
#[inline]
fn expected_cost_s(view: &View, replica: &Replica, class: usize) -> f64 {
    let loses_query = view.class(class).effect == Effect::NonIdempotent;
    let failure_cost_s = if loses_query {
        view.class(class).latency_objective_s
    } else {
        view.statistics.latencies[class].p95_s
    };
    let failure_odds = replica.statistics.failure_rate * freshness(view, replica);
    expected_latency_s(view, replica) + failure_odds * failure_cost_s
}
