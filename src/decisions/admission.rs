//! Admission: the price that a query has to pay, and the weight that it has.
//!
//! This file owns the offers for the parts of a query, the prices that replicas ask, the weight that a tenant's quota
//! leaves a query, and the age of a client's repeat. It must never reject or send anything itself.

use crate::decisions::api::{PartId, Settings};
use crate::decisions::learned_state::Statistics;
use crate::decisions::price::{max_fall_time_s, MAX_REJECTED_SHARE, MAX_TOKENS};
use crate::decisions::query::Query;
use crate::decisions::replica::Replica;
use crate::decisions::replica_selection::{best_holder, eligible_holders, known_latency};
use crate::decisions::view::View;

/// Least Retry-After of a rejected query (seconds).
const MIN_RETRY_AFTER_S: f64 = 0.1;
/// Shares of the useful time between which a predicted latency rejects ever more queries.
const FIRST_REJECTING_SHARE: f64 = 0.4;
const ALL_REJECTING_SHARE: f64 = 0.9;
/// Time constant with which a known latency loses its force to reject (seconds).
const LATENCY_DECAY_S: f64 = 2.0;
/// Time constant of a tenant's count of queries (seconds).
const TENANT_DECAY_S: f64 = 10.0;
/// A repeat whose timeout is below this share of the first try's was cut to what is left of its deadline.
const CUT_TIMEOUT_SHARE: f64 = 0.99;
/// The weights of a step add up to 1 but for this rounding error.
pub(crate) const WEIGHT_ROUNDING: f64 = 0.00005;

/// A part of a query, and what it would cost.
pub(crate) struct Offer {
    pub(crate) part: PartId,
    /// The lowest price of its holders (tokens); none if nobody can serve it.
    pub(crate) price: Option<f64>,
    /// Cost at its best holder, by which parts are preferred where not all are needed.
    cost: f64,
}

/// What a query is offered.
pub(crate) struct Offers {
    /// The parts to buy; the others stay spares.
    pub(crate) parts: Vec<Offer>,
    /// The highest of their prices (tokens).
    pub(crate) max_price: f64,
}

/// The cheapest parts that make up a complete answer, with their prices.
pub(crate) fn offers(view: &View, query: &Query) -> Offers {
    let need = view.class(query.class).complete_share;
    let needs_all = need >= 1.0;
    let offer = |id: &PartId| {
        let prices = eligible_holders(view, view.queries.parts[id].shard, query.class)
            .map(|replica| price_at(view, replica, query));
        let price = prices.reduce(f64::min);
        let best = if needs_all {
            None
        } else {
            best_holder(view, *id, &[])
        };
        Offer {
            part: *id,
            price,
            cost: best.map_or(f64::MAX, |choice| choice.cost),
        }
    };
    let mut parts: Vec<Offer> = query.parts.iter().map(offer).collect();
    if !needs_all {
        parts.sort_by(|one, other| one.cost.total_cmp(&other.cost));
        parts.truncate(count_needed(view, &parts, need));
    }
    let prices = parts.iter().filter_map(|offer| offer.price);
    let max_price = prices.fold(0.0, f64::max);
    Offers { parts, max_price }
}

/// How many of the first parts add up to the weight that is needed.
fn count_needed(view: &View, parts: &[Offer], need: f64) -> usize {
    let mut weight = 0.0;
    let is_needed = |offer: &&Offer| {
        let is_needed = weight + WEIGHT_ROUNDING < need;
        weight += view.queries.parts[&offer.part].weight;
        is_needed
    };
    parts.iter().take_while(is_needed).count()
}

/// The price of a replica for a query (tokens): its admission price, or more as its predicted latency nears the useful time.
/// The latter counts where answers are too few for prices; as it fades, some queries pass and show whether it still holds.
fn price_at(view: &View, replica: &Replica, query: &Query) -> f64 {
    let objective_s = view.class(query.class).latency_objective_s;
    let useful_s = objective_s.min(query.deadline - view.now);
    let predicted_s = view
        .service_time
        .predict(known_latency(view, replica), view.own_load_share());
    let rejecting_share = (predicted_s / useful_s - FIRST_REJECTING_SHARE)
        / (ALL_REJECTING_SHARE - FIRST_REJECTING_SHARE);
    let age_s = view.now - replica.statistics.last_answer_at;
    let freshness = (-age_s / LATENCY_DECAY_S).exp();
    let classes = &replica.statistics.classes;
    let pre_check_price = query
        .pre_check
        .map_or(0.0, |pre_check| classes[usize::from(pre_check.class)].price);
    classes[query.class]
        .price
        .max(pre_check_price)
        .max(rejecting_share.min(MAX_REJECTED_SHARE) * freshness * MAX_TOKENS)
}

/// The Retry-After of a query that is rejected before its price is known (seconds).
pub(crate) fn min_retry_after_s(settings: &Settings) -> f64 {
    MIN_RETRY_AFTER_S.min(settings.max_retry_after_s)
}

/// The Retry-After of a rejected query: when its price will have fallen at the latest (seconds).
pub(crate) fn retry_after_s(settings: &Settings, price: f64, class: Option<usize>) -> f64 {
    let objective_s = class.map_or(0.0, |class| settings.classes[class].latency_objective_s);
    max_fall_time_s(price, objective_s)
        .max(MIN_RETRY_AFTER_S)
        .min(settings.max_retry_after_s)
}

/// Counts a query of a tenant, and returns the weight that its quota leaves the query, from 0 to 1.
///
/// What a tenant asks beyond its quota has little weight and draws fewer tokens in proportion: bursts and retry storms cost
/// the tenant that makes them. Each aggregator judges by its part of the traffic.
pub(crate) fn count_tenant_query(
    settings: &Settings,
    statistics: &mut Statistics,
    tenant: usize,
    now: f64,
) -> f64 {
    let Some(tenant_settings) = settings.tenants.get(tenant) else {
        return 1.0;
    };
    let queries = &mut statistics.tenant_queries[tenant];
    let decay = (-(now - queries.updated_at) / TENANT_DECAY_S).exp();
    queries.count = 1.0 + queries.count * decay;
    queries.updated_at = now;
    let expected = tenant_settings.quota_per_s * TENANT_DECAY_S / f64::from(settings.aggregators);
    let within_quota = ((1.0 + expected) / queries.count).min(1.0);
    within_quota + (1.0 - within_quota) * settings.over_quota_weight.clamp(0.0, 1.0)
}

/// When the client sent the first try of a query that arrives now with this timeout.
///
/// The age of a marked repeat shows in a timeout that was cut to what is left of its deadline: no work is done for repeats
/// past their objective. Repeats of a client that waits less than the others look older than they are.
pub(crate) fn first_try_at(
    settings: &Settings,
    statistics: &mut Statistics,
    query: &Query,
    now: f64,
) -> f64 {
    let timeout_s = query.deadline - now;
    let first_try_timeout_s = &mut statistics.first_try_timeouts_s[query.class];
    if !query.is_repeat {
        *first_try_timeout_s = first_try_timeout_s.max(timeout_s);
        return now;
    }
    if timeout_s < CUT_TIMEOUT_SHARE * *first_try_timeout_s {
        now - (settings.classes[query.class].deadline_s - timeout_s).max(0.0)
    } else {
        now
    }
}
