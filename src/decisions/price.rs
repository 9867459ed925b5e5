//! The admission price of a replica for one class. Queries whose tokens are below the price are rejected.
//!
//! At the end of each interval the price rises in proportion to the queueing delay beyond a threshold, or falls by a
//! constant if the delay is small.

use crate::decisions::api::{ReplicaId, Settings};
use crate::decisions::learned_state::{ClassStatistics, DelayReading, ANSWERS_PER_READING};
use crate::decisions::replica_table::ReplicaTable;
use crate::decisions::time_window::Schedule;

/// A query draws its tokens uniformly from 0 to this number, which also bounds the prices.
pub const MAX_TOKENS: f64 = 10.0;
/// Largest share of queries that a price rejects. If all were rejected, no answer could show that the price may fall.
pub const MAX_REJECTED_SHARE: f64 = 0.95;
/// Rise of a price for each threshold's worth of delay beyond the threshold (tokens).
const RISE_PER_THRESHOLD: f64 = 0.5;
/// Largest rise in one interval (tokens).
const MAX_RISE: f64 = 1.0;
/// Fall of a price in an interval with little delay (tokens).
const FALL: f64 = 1.0;
/// Delay threshold of a class (latency objectives).
const THRESHOLD_OBJECTIVES: f64 = 0.2;
/// Shortest interval between two readings (seconds).
const MIN_INTERVAL_S: f64 = 0.02;
/// Length of an interval without answers, which counts as one without delay (latency objectives).
const EMPTY_INTERVAL_OBJECTIVES: f64 = 0.7;
/// Length of an interval with too few answers for a reading, which also counts as one without delay (latency objectives).
const SPARSE_INTERVAL_OBJECTIVES: f64 = 3.3;

/// Returns the longest time until a price has fallen to 0, in a class with this latency objective (seconds).
pub fn max_fall_time_s(price: f64, latency_objective_s: f64) -> f64 {
    price / FALL * (EMPTY_INTERVAL_OBJECTIVES * latency_objective_s)
}

impl ClassStatistics {
    /// Returns whether the interval has enough answers for a reading.
    fn has_reading(&self) -> bool {
        self.recent_delays[0].at > self.interval_started_at
    }

    /// Records the queueing delay of an answer (seconds).
    pub fn add_delay(&mut self, now: f64, delay_s: f64) {
        self.recent_delays.rotate_left(1);
        self.recent_delays[ANSWERS_PER_READING - 1] = DelayReading { at: now, delay_s };
    }

    /// Returns the end of the current interval, which comes sooner if a reading is available.
    pub fn interval_end(&self, objective_s: f64) -> f64 {
        let has_answers = self.recent_delays[ANSWERS_PER_READING - 1].at > self.interval_started_at;
        let length_s = if self.has_reading() {
            MIN_INTERVAL_S
        } else if has_answers {
            objective_s * SPARSE_INTERVAL_OBJECTIVES
        } else {
            objective_s * EMPTY_INTERVAL_OBJECTIVES
        };
        self.interval_started_at + length_s
    }

    /// Updates the price at the end of an interval; does nothing before the end.
    pub fn update_price(&mut self, now: f64, objective_s: f64) {
        if now < self.interval_end(objective_s) {
            return;
        }
        let threshold_s = THRESHOLD_OBJECTIVES * objective_s;
        let delay_s = if self.has_reading() {
            self.min_recent_delay_s()
        } else {
            0.0
        };
        let rise =
            (RISE_PER_THRESHOLD * (delay_s - threshold_s) / threshold_s).clamp(0.0, MAX_RISE);
        let fall = if delay_s < threshold_s / 2.0 {
            FALL
        } else {
            0.0
        };
        self.interval_started_at = now;
        self.price = (self.price + rise - fall).clamp(0.0, MAX_REJECTED_SHARE * MAX_TOKENS);
    }

    fn min_recent_delay_s(&self) -> f64 {
        let delays = self.recent_delays.iter().map(|reading| reading.delay_s);
        delays.fold(f64::MAX, f64::min)
    }
}

/// A replica and a class, which together have one price.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct PricedClass {
    pub(crate) replica: ReplicaId,
    pub(crate) class: usize,
}

/// The ends of the price intervals of all replicas and classes.
#[derive(Default)]
pub(crate) struct PriceIntervals {
    due: Schedule<PricedClass>,
}

impl PriceIntervals {
    /// Rebuilds the schedule for the present replicas and classes.
    pub(crate) fn reset(&mut self, replicas: &ReplicaTable, settings: &Settings) {
        self.due = Schedule::default();
        for (id, replica) in replicas.iter() {
            for (class, statistics) in replica.statistics.classes.iter().enumerate() {
                let objective_s = settings.classes[class].latency_objective_s;
                let priced = PricedClass {
                    replica: *id,
                    class,
                };
                self.due.put(statistics.interval_end(objective_s), priced);
            }
        }
    }

    /// Schedules a changed end of an interval.
    pub(crate) fn move_end(&mut self, interval_end: f64, priced: PricedClass) {
        self.due.put(interval_end, priced);
    }

    /// Updates each price whose interval has ended.
    pub(crate) fn close_due(&mut self, replicas: &mut ReplicaTable, settings: &Settings, now: f64) {
        for due in self.due.take_due(now) {
            let class = due.key.class;
            let objective_s = settings.classes[class].latency_objective_s;
            let replica = replicas.get_mut(due.key.replica);
            let statistics = replica.and_then(|replica| replica.statistics.classes.get_mut(class));
            // If the end of an interval has moved, the schedule has an entry for the new end too, and this entry is out of
            // date.
            let statistics =
                statistics.filter(|statistics| statistics.interval_end(objective_s) == due.at);
            if let Some(statistics) = statistics {
                statistics.update_price(now, objective_s);
                self.due.put(statistics.interval_end(objective_s), due.key);
            }
        }
    }
}
