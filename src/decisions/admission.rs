//! Admission: the price of a query and the weight that the query has.
//!
//! The price follows from the admission prices and predicted latencies of the replicas that hold the query's shards. The
//! weight follows from the quota of the tenant and the time since the client's first request.

use crate::decisions::api::{PartId, Settings};
use crate::decisions::learned_state::Statistics;
use crate::decisions::price::{max_fall_time_s, MAX_REJECTED_SHARE, MAX_TOKENS};
use crate::decisions::query::Query;
use crate::decisions::replica::Replica;
use crate::decisions::replica_selection::{best_holder, eligible_holders, known_latency_s};
use crate::decisions::view::View;

/// Shortest Retry-After of a rejected query (seconds).
const MIN_RETRY_AFTER_S: f64 = 0.1;
/// Predicted latencies, as shares of the useful time, at which rejections begin and at which nearly all queries are
/// rejected.
const MIN_REJECTING_LATENCY_SHARE: f64 = 0.4;
const MAX_REJECTING_LATENCY_SHARE: f64 = 0.9;
/// Time constant with which a known latency loses its influence on the price (seconds).
const LATENCY_DECAY_S: f64 = 2.0;
/// Time constant of the decaying count of a tenant's queries (seconds).
const TENANT_DECAY_S: f64 = 10.0;
/// A client's retry counts as cut to the time left until its deadline if the timeout is below this share of the longest
/// timeout of a first request in the class.
const CUT_TIMEOUT_SHARE: f64 = 0.99;
/// Rounding error of the sum of a step's weights, which should be 1.
pub(crate) const WEIGHT_ROUNDING: f64 = 0.00005;

/// A part of a query and its price.
pub(crate) struct PricedPart {
    pub(crate) id: PartId,
    /// Lowest price of the part's holders (tokens); `None` if no holder can serve the part.
    pub(crate) price: Option<f64>,
    /// Expected cost at the best holder, by which parts are selected where not all are needed.
    cost: f64,
}

/// The price of a query.
pub(crate) struct QueryPrice {
    /// Parts to send; the other parts of the query stay spares.
    pub(crate) parts: Vec<PricedPart>,
    /// Highest price of these parts (tokens).
    pub(crate) max_price: f64,
}

/// Returns the cheapest parts that make up a complete answer, with their prices.
pub(crate) fn query_price(view: &View, query: &Query) -> QueryPrice {
    let complete_share = view.class(query.class).complete_share;
    let needs_all_parts = complete_share >= 1.0;
    let priced_part = |id: &PartId| {
        let prices = eligible_holders(view, view.queries.parts[id].shard, query.class)
            .map(|replica| replica_price(view, replica, query));
        let price = prices.reduce(f64::min);
        let best = if needs_all_parts {
            None
        } else {
            best_holder(view, *id, &[])
        };
        PricedPart {
            id: *id,
            price,
            cost: best.map_or(f64::MAX, |choice| choice.cost),
        }
    };
    let mut parts: Vec<PricedPart> = query.parts.iter().map(priced_part).collect();
    if !needs_all_parts {
        parts.sort_by(|one, other| one.cost.total_cmp(&other.cost));
        parts.truncate(count_needed(view, &parts, complete_share));
    }
    let prices = parts.iter().filter_map(|part| part.price);
    let max_price = prices.fold(0.0, f64::max);
    QueryPrice { parts, max_price }
}

/// Returns how many of the first parts are needed to reach the share of a complete answer.
fn count_needed(view: &View, parts: &[PricedPart], complete_share: f64) -> usize {
    let mut weight = 0.0;
    let is_needed = |part: &&PricedPart| {
        let is_needed = weight + WEIGHT_ROUNDING < complete_share;
        weight += view.queries.parts[&part.id].weight;
        is_needed
    };
    parts.iter().take_while(is_needed).count()
}

/// Returns the price of a replica for a query (tokens): its admission price, or a higher price if the predicted latency
/// nears the useful time. The latter matters where answers are too few for the admission price to follow. Its influence
/// decays with the time since the last answer, so that some queries pass and show whether the latency is still as high.
fn replica_price(view: &View, replica: &Replica, query: &Query) -> f64 {
    let objective_s = view.class(query.class).latency_objective_s;
    let useful_s = objective_s.min(query.deadline - view.now);
    let predicted_s = view
        .service_time
        .predict(known_latency_s(view, replica), view.own_load_share());
    let rejecting_share = (predicted_s / useful_s - MIN_REJECTING_LATENCY_SHARE)
        / (MAX_REJECTING_LATENCY_SHARE - MIN_REJECTING_LATENCY_SHARE);
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

/// Returns the Retry-After of a query that is rejected before its price is known (seconds).
pub(crate) fn min_retry_after_s(settings: &Settings) -> f64 {
    MIN_RETRY_AFTER_S.min(settings.max_retry_after_s)
}

/// Returns the Retry-After of a rejected query: the longest time until its price has fallen to 0 (seconds).
pub(crate) fn retry_after_s(settings: &Settings, price: f64, class: Option<usize>) -> f64 {
    let objective_s = class.map_or(0.0, |class| settings.classes[class].latency_objective_s);
    max_fall_time_s(price, objective_s)
        .max(MIN_RETRY_AFTER_S)
        .min(settings.max_retry_after_s)
}

/// Counts a query of a tenant, and returns the weight that the tenant's quota leaves the query, from 0 to 1.
///
/// Traffic beyond the quota has little weight and draws fewer tokens in proportion, so that bursts and retry storms are
/// rejected at the expense of the tenant that causes them. Each aggregator measures its own part of the traffic.
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

/// Returns the time at which the client sent its first request for a query that arrives now.
///
/// A client cuts the timeout of a retry to the time left until its deadline, so the timeout shows the age of the first
/// request. The age lets the caller reject retries past their latency objective. Retries of a client with a shorter
/// timeout than others appear older than they are.
pub(crate) fn first_request_at(
    settings: &Settings,
    statistics: &mut Statistics,
    query: &Query,
    now: f64,
) -> f64 {
    let timeout_s = query.deadline - now;
    let first_request_timeout_s = &mut statistics.first_request_timeouts_s[query.class];
    if !query.is_repeat {
        *first_request_timeout_s = first_request_timeout_s.max(timeout_s);
        return now;
    }
    if timeout_s < CUT_TIMEOUT_SHARE * *first_request_timeout_s {
        now - (settings.classes[query.class].deadline_s - timeout_s).max(0.0)
    } else {
        now
    }
}
