//! How a scenario went: service by the brief's counting, and work.
//!
//! This file owns the sums. Service mixes the whole scenario, its worst 10 s, the worst class and the worst brand; what is
//! late or wasted comes off. Worth counts by query or in proportion to its work, a client's tries as one.

use crate::site::{Query, Scenario, ScoringRule};

const WINDOW_S: f64 = 10.0;
/// What an answer in part earns of its share.
const PARTIAL_ANSWER_FACTOR: f64 = 0.9;
/// A window of which less than this share of the scenario's mean was asked says nothing.
const MIN_WINDOW_SHARE: f64 = 0.3;

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    asked: f64,
    earned: f64,
}

impl Sum {
    fn add(&mut self, asked: f64, earned: f64) {
        self.asked += asked;
        self.earned += earned;
    }

    fn share(&self) -> f64 {
        if self.asked > 0.0 {
            self.earned / self.asked
        } else {
            1.0
        }
    }
}

/// The sums of one scenario.
#[derive(Clone, Debug)]
pub struct Tally {
    goal: ScoringRule,
    complete: Sum,
    windows: Vec<Sum>,
    classes: Vec<Sum>,
    tenants: Vec<Sum>,
    failed_late: f64,
    late: f64,
    unanswered: f64,
    asked_work_s: f64,
    /// Queries answered, by class.
    pub answered: Vec<u64>,
    /// Work of leaf servers, by class (core seconds).
    pub work_s: Vec<f64>,
    /// Of it, what went into answers that clients got (core seconds).
    pub useful_work_s: f64,
    /// Words of leaf servers that say that a part has no match, and that were part of an answer.
    pub pruned: u64,
    /// Tries, and among them answered, in part, refused, failed and left.
    pub requests: [u64; 6],
    /// Attempts sent.
    pub attempts_sent: u64,
    /// Attempts that pre-checked.
    pub prechecks: u64,
}

/// Places in [`Tally::requests`].
pub const TOTAL: usize = 0;
/// Answered.
pub const ANSWERED: usize = 1;
/// Answered in part.
pub const PARTIAL: usize = 2;
/// Refused.
pub const REFUSED: usize = 3;
/// Failed.
pub const FAILED: usize = 4;
/// Left by the client.
pub const CLIENT_LEFT: usize = 5;

impl Tally {
    /// A scenario of which nothing is known.
    pub fn new(scenario: &Scenario) -> Tally {
        let windows = (scenario.seconds / WINDOW_S).ceil().max(1.0) as usize;
        Tally {
            goal: scenario.site.scoring,
            complete: Sum::default(),
            windows: vec![Sum::default(); windows],
            classes: vec![Sum::default(); scenario.site.classes.len()],
            tenants: vec![Sum::default(); scenario.site.tenants.len()],
            failed_late: 0.0,
            late: 0.0,
            unanswered: 0.0,
            asked_work_s: 0.0,
            work_s: vec![0.0; scenario.site.classes.len()],
            answered: vec![0; scenario.site.classes.len()],
            useful_work_s: 0.0,
            pruned: 0,
            requests: [0; 6],
            attempts_sent: 0,
            prechecks: 0,
        }
    }

    /// A query is over, over all its requests: answered so long after it was first asked, from a share of its weight,
    /// or not at all, and then it ended after so long.
    pub fn record_query(
        &mut self,
        scenario: &Scenario,
        query: &Query,
        answered: Option<(f64, f64)>,
        ended_s: f64,
    ) {
        let class = &scenario.site.classes[query.class];
        let asked = class.priority_weight
            * if self.goal.by_work {
                query.work_s()
            } else {
                1.0
            };
        let earned = answered.map_or(0.0, |(took_s, share)| {
            let part = if share > 0.9999 {
                1.0
            } else {
                PARTIAL_ANSWER_FACTOR * share
            };
            asked
                * part
                * if took_s <= class.latency_objective_s {
                    1.0
                } else {
                    class.late_weight
                }
        });
        self.complete.add(asked, earned);
        let last = self.windows.len() - 1;
        self.windows[((query.at / WINDOW_S) as usize).min(last)].add(asked, earned);
        self.classes[query.class].add(asked, earned);
        self.tenants[query.tenant].add(asked, earned);
        self.asked_work_s += query.work_s();
        self.answered[query.class] += u64::from(answered.is_some());
        if answered.is_none() && ended_s > class.latency_objective_s {
            self.failed_late += asked;
        }
        self.unanswered += if answered.is_none() { asked } else { 0.0 };
        self.late += if answered.is_some_and(|(took_s, _)| took_s > class.latency_objective_s) {
            asked
        } else {
            0.0
        };
    }

    /// Of the worth asked for, the shares answered late and not at all.
    pub fn late_and_unanswered_shares(&self) -> (f64, f64) {
        let asked = self.complete.asked.max(1e-9);
        (self.late / asked, self.unanswered / asked)
    }

    /// Worth earned over the worth asked for, of the whole scenario.
    pub fn in_time_share(&self) -> f64 {
        self.complete.share()
    }

    /// Service, between 0 and 1.
    pub fn service(&self) -> f64 {
        let mean = self.complete.asked / self.windows.len() as f64;
        let worst = |sums: &[Sum], min: f64| {
            let all = sums
                .iter()
                .filter(|sum| sum.asked >= min && sum.asked > 0.0)
                .map(Sum::share);
            all.fold(1.0, f64::min)
        };
        let late = self.failed_late / self.complete.asked.max(1e-9);
        let [complete, window, class, tenant] = self.goal.weights;
        complete * self.complete.share()
            + window * worst(&self.windows, MIN_WINDOW_SHARE * mean)
            + class * worst(&self.classes, 0.0)
            + tenant * worst(&self.tenants, 0.0)
            - self.goal.late_fail * late
            - self.goal.waste * self.waste()
    }

    /// Work that no answer used, as a share of what was asked for.
    pub fn waste(&self) -> f64 {
        let worked: f64 = self.work_s.iter().sum();
        (worked - self.useful_work_s).max(0.0) / self.asked_work_s.max(1e-9)
    }
}
