//! The admission price of an aggregator while its queries fail because replicas reject their parts.
//!
//! A query fails if a single part is rejected by all holders, and the work of its other parts is wasted. Where many
//! replicas are congested, one of hundreds of aggregators sends too few parts to each replica for the replica's own price
//! to rise: the aggregator continues to admit queries, and the replicas spend their time on queries that fail. The
//! aggregator does learn the results of its own queries. A query that ends without an answer after many of its parts were
//! rejected raises this price, an answered query lowers it, and the price decreases with time. The replicas then have time
//! to work off the backlog, and the queries that are still admitted show whether the congestion lasts.

/// Share of rejected parts from which a failed query shows congestion. Fewer rejections come from a few replicas, which
/// have prices of their own.
const MIN_REJECTED_SHARE: f64 = 0.12;
/// Fall of the price with each answered query (tokens).
const FALL_PER_ANSWER: f64 = 3.0;
/// Fall of the price during one latency objective (tokens).
const FALL_PER_OBJECTIVE: f64 = 0.5;

/// The admission price for congestion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Congestion {
    max_price: f64,
    price: f64,
    updated_at: f64,
}

impl Congestion {
    /// Creates a price of 0; `max_price` is the highest price (tokens).
    pub fn new(max_price: f64) -> Congestion {
        Congestion {
            max_price,
            price: 0.0,
            updated_at: 0.0,
        }
    }

    /// Returns the present price for a query with this latency objective (tokens).
    pub fn price(&self, now: f64, objective_s: f64) -> f64 {
        let elapsed_s = (now - self.updated_at).max(0.0);
        (self.price - FALL_PER_OBJECTIVE * elapsed_s / objective_s).max(0.0)
    }

    /// Records a query that ended without an answer after `rejected_share` of its parts had been rejected.
    pub fn query_unanswered(&mut self, now: f64, objective_s: f64, rejected_share: f64) {
        let is_congested = rejected_share >= MIN_REJECTED_SHARE;
        self.price = if is_congested {
            self.max_price
        } else {
            self.price(now, objective_s)
        };
        self.updated_at = now;
    }

    /// Records a query that was answered.
    pub fn query_answered(&mut self, now: f64, objective_s: f64) {
        self.price = (self.price(now, objective_s) - FALL_PER_ANSWER).max(0.0);
        self.updated_at = now;
    }
}

#[cfg(test)]
mod tests;
