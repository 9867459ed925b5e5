//! Results of a scenario: the service that clients got, and the work of leaf servers.
//!
//! Service is a weighted mean of the earned shares of the whole scenario, its worst window of 10 s, the worst class and the worst
//! tenant, less penalties for late failures and wasted work. Queries are weighted equally or by their work, and the requests that a
//! client sends for one query count once.

use crate::site::{Query, Scenario, ScoringRule};

const WINDOW_S: f64 = 10.0;
/// Factor on the earned weight of a partial answer.
const PARTIAL_ANSWER_FACTOR: f64 = 0.9;
/// Windows with less than this share of the mean requested weight are left out of the worst window.
const MIN_WINDOW_SHARE: f64 = 0.3;

#[derive(Clone, Copy, Debug, Default)]
struct WeightSum {
    requested: f64,
    earned: f64,
}

impl WeightSum {
    fn add(&mut self, requested: f64, earned: f64) {
        self.requested += requested;
        self.earned += earned;
    }

    fn earned_share(&self) -> f64 {
        if self.requested > 0.0 {
            self.earned / self.requested
        } else {
            1.0
        }
    }
}

/// Sums over one scenario.
#[derive(Clone, Debug)]
pub struct Tally {
    scoring: ScoringRule,
    overall: WeightSum,
    windows: Vec<WeightSum>,
    classes: Vec<WeightSum>,
    tenants: Vec<WeightSum>,
    failed_late: f64,
    late: f64,
    unanswered: f64,
    asked_work_s: f64,
    /// Number of queries answered, by class.
    pub answered: Vec<u64>,
    /// Work of leaf servers, by class (core seconds).
    pub work_s: Vec<f64>,
    /// Part of that work that went into answers that clients received (core seconds).
    pub useful_work_s: f64,
    /// Number of parts of answers for which a pre-check found no match.
    pub pruned: u64,
    /// Number of requests of clients by outcome, indexed by the constants below.
    pub requests: [u64; 6],
    /// Number of attempts sent to leaf servers.
    pub attempts_sent: u64,
    /// Number of attempts with a pre-check.
    pub prechecks: u64,
}

/// Index in [`Tally::requests`] of all requests that clients sent.
pub const TOTAL: usize = 0;
/// Index of answered requests, partial answers included.
pub const ANSWERED: usize = 1;
/// Index of requests with a partial answer.
pub const PARTIAL: usize = 2;
/// Index of rejected requests.
pub const REFUSED: usize = 3;
/// Index of failed requests.
pub const FAILED: usize = 4;
/// Index of requests that the client abandoned.
pub const CLIENT_LEFT: usize = 5;

impl Tally {
    /// Creates the empty sums of a scenario.
    pub fn new(scenario: &Scenario) -> Tally {
        let windows = (scenario.seconds / WINDOW_S).ceil().max(1.0) as usize;
        Tally {
            scoring: scenario.site.scoring,
            overall: WeightSum::default(),
            windows: vec![WeightSum::default(); windows],
            classes: vec![WeightSum::default(); scenario.site.classes.len()],
            tenants: vec![WeightSum::default(); scenario.site.tenants.len()],
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

    /// Records the end of a query over all its requests. `answered` is the time from the first request to the answer (seconds) and
    /// the answered share of the parts' weight; `ended_s` is the time from the first request to the end (seconds).
    pub fn record_query(
        &mut self,
        scenario: &Scenario,
        query: &Query,
        answered: Option<(f64, f64)>,
        ended_s: f64,
    ) {
        let class = &scenario.site.classes[query.class];
        let weight = class.priority_weight
            * if self.scoring.by_work {
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
            weight
                * part
                * if took_s <= class.latency_objective_s {
                    1.0
                } else {
                    class.late_weight
                }
        });
        self.overall.add(weight, earned);
        let last = self.windows.len() - 1;
        self.windows[((query.at / WINDOW_S) as usize).min(last)].add(weight, earned);
        self.classes[query.class].add(weight, earned);
        self.tenants[query.tenant].add(weight, earned);
        self.asked_work_s += query.work_s();
        self.answered[query.class] += u64::from(answered.is_some());
        if answered.is_none() && ended_s > class.latency_objective_s {
            self.failed_late += weight;
        }
        self.unanswered += if answered.is_none() { weight } else { 0.0 };
        self.late += if answered.is_some_and(|(took_s, _)| took_s > class.latency_objective_s) {
            weight
        } else {
            0.0
        };
    }

    /// Returns the shares of the requested weight that were answered late and not at all.
    pub fn late_and_unanswered_shares(&self) -> (f64, f64) {
        let requested = self.overall.requested.max(1e-9);
        (self.late / requested, self.unanswered / requested)
    }

    /// Returns the earned share of the requested weight over the whole scenario.
    pub fn in_time_share(&self) -> f64 {
        self.overall.earned_share()
    }

    /// Returns the service, which is 1 if every query is answered completely and in time and no work is wasted.
    pub fn service(&self) -> f64 {
        let mean = self.overall.requested / self.windows.len() as f64;
        let worst = |sums: &[WeightSum], min: f64| {
            let all = sums
                .iter()
                .filter(|sum| sum.requested >= min && sum.requested > 0.0)
                .map(WeightSum::earned_share);
            all.fold(1.0, f64::min)
        };
        let failed_late = self.failed_late / self.overall.requested.max(1e-9);
        let [overall, window, class, tenant] = self.scoring.weights;
        overall * self.overall.earned_share()
            + window * worst(&self.windows, MIN_WINDOW_SHARE * mean)
            + class * worst(&self.classes, 0.0)
            + tenant * worst(&self.tenants, 0.0)
            - self.scoring.late_fail * failed_late
            - self.scoring.waste * self.waste()
    }

    /// Returns the work that no answer used, as a share of the work of all queries.
    pub fn waste(&self) -> f64 {
        let worked: f64 = self.work_s.iter().sum();
        (worked - self.useful_work_s).max(0.0) / self.asked_work_s.max(1e-9)
    }
}
