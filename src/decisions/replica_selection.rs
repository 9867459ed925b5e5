//! Which replica gets a part: the holder with the least expected cost and load among those that may get it.
//!
//! This file owns that choice and the estimates of latency and cost behind it. It must never send anything and never
//! change any state.

use crate::decisions::api::{Effect, Lifecycle, PartId, ReplicaId};
use crate::decisions::query::Part;
use crate::decisions::replica::Replica;
use crate::decisions::view::View;
use crate::decisions::{draining, slow_start};

/// What is known of a replica and has faded to this share is forgotten.
const FORGOTTEN_BELOW: f64 = 0.05;

/// A choice of a replica and the cost by which it was chosen.
pub(crate) struct Choice {
    pub(crate) replica: ReplicaId,
    /// Expected cost times the calls in flight there.
    pub(crate) cost: f64,
}

/// The order in which holders are preferred, least first. Costs are positive, so that their bits order as they do.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    cost_bits: u64,
    is_in_other_zone: bool,
    draw_bits: u64,
}

/// Replicas that hold a shard and that the rules let us send to now.
///
/// Ejected ones are left out unless all are ejected: the last holders of a shard stay in use. Where all are draining they
/// are used for a part of the grace, since the next endpoint list may bring a new holder. By an endpoint list that may no
/// longer be acted on there are none.
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

/// The holder for a part with the least expected cost times calls in flight, but none of `excluded`. The own zone, then a
/// random draw, breaks ties.
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
    let cost = expected_cost(view, replica, part.class)
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

/// Work that a part brings a replica, as a share of its work in a call of its own: a part that joins a call adds none of the
/// call's work, and one that opens a call shares that with the parts that can follow.
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

/// Latency of a replica as known now (seconds): the average service time, times the replica's relative latency as far as that
/// has not faded. What slows all replicas is thus known from the others' answers, where each replica is used seldom.
#[inline]
pub(crate) fn known_latency(view: &View, replica: &Replica) -> f64 {
    let relative = replica.statistics.relative_latency.unwrap_or(1.0);
    let latency = view.service_time.average_s * (1.0 + (relative - 1.0) * freshness(view, replica));
    latency.max(replica.expected_wait_s(view.now))
}

/// How much of what is known of a replica still counts, from 0 to 1.
#[inline]
fn freshness(view: &View, replica: &Replica) -> f64 {
    let age = view.now - replica.statistics.last_answer_at;
    let freshness = (-age / view.decay_window_s).exp();
    if freshness > FORGOTTEN_BELOW {
        freshness
    } else {
        0.0
    }
}

/// As [`known_latency`], but none is taken as faster than average, so that zones may decide. A replica in slow start counts
/// as slower by its least capacity, unless a random draw keeps us from most of it already.
#[inline]
pub(crate) fn expected_latency(view: &View, replica: &Replica) -> f64 {
    let capacity = slow_start::capacity(view.settings, replica.statistics.started_at, view.now);
    let slowdown = if capacity < 1.0 && slow_start::is_limited_by_draw(view, capacity) {
        1.0
    } else {
        capacity
    };
    known_latency(view, replica).max(view.service_time.average_s / slowdown)
}

/// Expected latency, and the cost of a failure by its odds: another attempt, or the query where it can't be repeated. This
/// counts where fast errors alternate with answers.
#[inline]
fn expected_cost(view: &View, replica: &Replica, class: usize) -> f64 {
    let loses_query = view.class(class).effect == Effect::NonIdempotent;
    let failure_cost_s = if loses_query {
        view.class(class).latency_objective_s
    } else {
        view.statistics.latencies[class].p95_s
    };
    let failure_odds = replica.statistics.failure_rate * freshness(view, replica);
    expected_latency(view, replica) + failure_odds * failure_cost_s
}
