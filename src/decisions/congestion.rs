//! Congestion: replicas reject parts, so that queries are admitted in vain.
//!
//! This file owns the admission price that an aggregator asks of every query while its own are lost to congestion. It must
//! never choose a replica, never look at a part, and never read a clock.
//!
//! A query of many parts is lost with any part that nobody takes, and its other parts have cost the replicas their work all
//! the same. Where many replicas are congested, one aggregator among hundreds meets each too seldom to price it: it goes on
//! admitting, and all replicas work for queries that are lost. What it does learn is how its own queries end. So each query
//! that was given up after many of its parts had been rejected raises this price, each that is answered lowers it, and it
//! falls by itself: the replicas get time to work off what nobody waits for, and some queries always pass and show the state.

/// Share of a query's parts from which rejections mean congestion: fewer come from few replicas, which have their own prices.
const MIN_REJECTED_SHARE: f64 = 0.12;
/// Fall of the price with each answered query (tokens).
const FALL_PER_ANSWER: f64 = 3.0;
/// Fall of the price in the time of one latency objective (tokens).
const FALL_PER_OBJECTIVE: f64 = 0.5;

/// The admission price for congestion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Congestion {
    max_price: f64,
    price: f64,
    updated_at: f64,
}

impl Congestion {
    /// No query was lost yet; `max_price` is the highest price there is (tokens).
    pub fn new(max_price: f64) -> Congestion {
        Congestion {
            max_price,
            price: 0.0,
            updated_at: 0.0,
        }
    }

    /// The present price for a query with that latency objective (tokens).
    pub fn price(&self, now: f64, objective_s: f64) -> f64 {
        let elapsed_s = (now - self.updated_at).max(0.0);
        (self.price - FALL_PER_OBJECTIVE * elapsed_s / objective_s).max(0.0)
    }

    /// Takes a query that was given up after `rejected_share` of its parts had been rejected.
    pub fn query_unanswered(&mut self, now: f64, objective_s: f64, rejected_share: f64) {
        let is_congested = rejected_share >= MIN_REJECTED_SHARE;
        self.price = if is_congested {
            self.max_price
        } else {
            self.price(now, objective_s)
        };
        self.updated_at = now;
    }

    /// Takes a query that was answered.
    pub fn query_answered(&mut self, now: f64, objective_s: f64) {
        self.price = (self.price(now, objective_s) - FALL_PER_ANSWER).max(0.0);
        self.updated_at = now;
    }
}

#[cfg(test)]
mod tests;
