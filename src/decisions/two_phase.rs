//! Queries in two phases: decides whether a query has a first phase, in which its parts are pre-checked, and how long that
//! lasts.
//!
//! A first phase pays if it saves more work than it costs. The parts whose pre-check is answered in time without a match
//! need not be sent in full. The work of a pre-check relative to a full attempt is estimated from the lowest recent
//! latencies of both, which contain no queueing. While phases do not pay, an occasional query has a first phase as a trial,
//! to detect whether they would pay again.

use crate::decisions::api::{ClassSettings, Effect, Outcome};
use crate::decisions::learned_state::Latencies;
use crate::decisions::wire_pair::wire_as_pair;
use miniserde::{Deserialize, Serialize};

/// Weight of a new sample in the smoothed shares.
const SMOOTHING: f64 = 0.02;
/// Number of answered pre-checks, and of answered full attempts, from which the saved share is known.
const MIN_ANSWERS: u32 = 20;
/// Least share of the full work that must be saved, beyond the work of the first phase.
const MIN_SAVED_SHARE: f64 = 0.05;
/// Length of the first phase, as a multiple of the 95th percentile of pre-check latencies.
const PHASE_PER_P95: f64 = 1.25;
/// Time constant with which a recorded least latency grows (seconds).
const MIN_LATENCY_DECAY_S: f64 = 120.0;
/// Least work of a pre-check, as a share of the work of a full attempt.
const MIN_PRE_CHECK_WORK: f64 = 0.02;
/// Largest number of futile trials that are counted. Each of them halves the rate of trials.
const MAX_FUTILE_TRIALS: u32 = 4;
/// Least growth of the saved share by which a trial counts as a success.
const MIN_GROWTH_OF_SAVED_SHARE: f64 = 0.02;
/// Initial estimates of latencies, as shares of the latency objective.
const INITIAL_PRE_CHECK_MEDIAN: f64 = 0.03;
const INITIAL_PRE_CHECK_P95: f64 = 0.12;
const INITIAL_FULL_MEDIAN: f64 = 0.1;
const INITIAL_FULL_P95: f64 = 0.35;

/// The operators' settings for two-phase queries.
#[derive(Clone, Debug, PartialEq)]
pub struct TwoPhaseSettings {
    /// Indices of the classes that may have two phases. Classes that are not idempotent are ignored.
    pub classes: Vec<usize>,
    /// Least number of parts of a query with two phases.
    pub min_parts: u32,
    /// Largest share of a query's useful time for the first phase.
    pub max_share: f64,
    /// Number of queries between two trials while phases do not pay. The interval grows up to 16 times as long if trials
    /// are futile.
    pub trial_interval_queries: u32,
}

impl Default for TwoPhaseSettings {
    fn default() -> TwoPhaseSettings {
        TwoPhaseSettings {
            classes: Vec::new(),
            min_parts: 4,
            max_share: 0.4,
            trial_interval_queries: 100,
        }
    }
}

/// The least latency seen recently.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MinLatency {
    /// The latency (seconds); 0 before the first answer.
    pub latency_s: f64,
    /// Time of the last update.
    pub updated_at: f64,
}

wire_as_pair!(MinLatency {
    latency_s: f64,
    updated_at: f64
});

impl MinLatency {
    /// Records a latency (seconds). The recorded minimum grows with time, so that old samples lose their influence.
    fn add(&mut self, latency_s: f64, now: f64) {
        let age_s = (now - self.updated_at).max(0.0);
        let grown_s = self.latency_s * (age_s / MIN_LATENCY_DECAY_S).exp();
        self.latency_s = if self.latency_s > 0.0 {
            grown_s.min(latency_s)
        } else {
            latency_s
        };
        self.updated_at = now;
    }

    fn is_plausible(&self) -> bool {
        let is_time = |time: f64| time >= 0.0 && time.is_finite();
        is_time(self.latency_s) && is_time(self.updated_at)
    }
}

/// The statistics of one class. This is the form in which they are handed to a successor, so the names on the wire must not
/// change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PhaseStatistics {
    /// Name of the class.
    pub class: String,
    /// Smoothed share of the answered pre-checks that found a possible match.
    #[serde(rename = "matching")]
    pub match_rate: f64,
    /// Smoothed share of the pre-checks that were answered in time.
    #[serde(rename = "in_time")]
    pub answered_rate: f64,
    /// Number of answered pre-checks, counted up to `MIN_ANSWERS`.
    #[serde(rename = "words")]
    pub pre_check_answers: u32,
    /// Number of answered full attempts, counted up to `MIN_ANSWERS`.
    #[serde(rename = "answers")]
    pub full_answers: u32,
    /// Latency quantiles of pre-checks.
    #[serde(rename = "word_s")]
    pub pre_check_latencies: Latencies,
    /// Latency quantiles of full attempts.
    #[serde(rename = "answer_s")]
    pub full_latencies: Latencies,
    /// Lowest recent latency of a pre-check.
    #[serde(rename = "least_word")]
    pub min_pre_check_latency: MinLatency,
    /// Lowest recent latency of a full attempt.
    #[serde(rename = "least_answer")]
    pub min_full_latency: MinLatency,
    /// Number of queries since the last trial while phases do not pay.
    #[serde(rename = "since_try")]
    pub queries_since_trial: u32,
    /// Number of consecutive trials without an improvement.
    #[serde(rename = "vain")]
    pub futile_trials: u32,
    /// Saved share at the last trial.
    #[serde(rename = "saved_then")]
    pub saved_share_at_trial: f64,
}

/// The counters of two-phase queries since the start. They never decrease.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseMetrics {
    /// Queries that had a first phase.
    pub two_phase: u64,
    /// Queries of the same class that had no first phase.
    pub one_phase: u64,
    /// Pre-checks that found no match, by which a part was pruned.
    pub pruned: u64,
    /// Pre-checks that found a possible match.
    pub matching: u64,
    /// Pre-checks without an answer.
    pub unanswered: u64,
}

struct Class {
    latency_objective_s: f64,
    statistics: PhaseStatistics,
    metrics: PhaseMetrics,
}

/// The two-phase decisions and statistics of one mixer.
pub struct TwoPhasePlanner {
    settings: TwoPhaseSettings,
    classes: Vec<Class>,
}

impl PhaseStatistics {
    fn new(class: &str, latency_objective_s: f64) -> PhaseStatistics {
        PhaseStatistics {
            class: class.to_string(),
            answered_rate: 1.0,
            pre_check_latencies: Latencies {
                median_s: INITIAL_PRE_CHECK_MEDIAN * latency_objective_s,
                p95_s: INITIAL_PRE_CHECK_P95 * latency_objective_s,
            },
            full_latencies: Latencies {
                median_s: INITIAL_FULL_MEDIAN * latency_objective_s,
                p95_s: INITIAL_FULL_P95 * latency_objective_s,
            },
            match_rate: 0.0,
            pre_check_answers: 0,
            full_answers: 0,
            min_pre_check_latency: Default::default(),
            min_full_latency: Default::default(),
            queries_since_trial: 0,
            futile_trials: 0,
            saved_share_at_trial: 0.0,
        }
    }

    /// Returns whether the values are possible. Statistics from another process are checked before they are used.
    fn is_plausible(&self) -> bool {
        let is_share = |share: f64| (0.0..=1.0).contains(&share);
        let latencies = [
            self.pre_check_latencies.median_s,
            self.pre_check_latencies.p95_s,
            self.full_latencies.median_s,
            self.full_latencies.p95_s,
        ];
        let are_latencies = latencies
            .iter()
            .all(|latency| *latency > 0.0 && latency.is_finite());
        is_share(self.match_rate)
            && is_share(self.answered_rate)
            && are_latencies
            && self.min_pre_check_latency.is_plausible()
            && self.min_full_latency.is_plausible()
    }

    /// Returns the work of a pre-check, as a share of the work of a full attempt.
    pub fn pre_check_work(&self) -> f64 {
        if self.min_full_latency.latency_s <= 0.0 {
            return MIN_PRE_CHECK_WORK;
        }
        let work = self.min_pre_check_latency.latency_s / self.min_full_latency.latency_s;
        work.clamp(MIN_PRE_CHECK_WORK, 1.0)
    }

    /// Counts a query while phases do not pay, and returns whether the query is a trial. The interval between trials
    /// doubles with each futile one, up to a limit; after an improvement the next trial follows soon.
    fn count_for_trial(&mut self, trial_interval_queries: u32) -> bool {
        self.queries_since_trial += 1;
        let rarity = 1 << self.futile_trials.min(MAX_FUTILE_TRIALS);
        if self.queries_since_trial < trial_interval_queries.saturating_mul(rarity) {
            return false;
        }
        let saved_share = self.saved_share().unwrap_or(0.0);
        let has_improved = saved_share > self.saved_share_at_trial + MIN_GROWTH_OF_SAVED_SHARE;
        self.futile_trials = if has_improved {
            0
        } else {
            (self.futile_trials + 1).min(MAX_FUTILE_TRIALS)
        };
        self.queries_since_trial = 0;
        self.saved_share_at_trial = saved_share;
        true
    }

    /// Returns the share of the full work that a first phase saves, minus the work of its pre-checks. Returns `None` before
    /// there are enough answers.
    pub fn saved_share(&self) -> Option<f64> {
        let is_known = self.pre_check_answers >= MIN_ANSWERS && self.full_answers >= MIN_ANSWERS;
        is_known.then(|| self.answered_rate * (1.0 - self.match_rate) - self.pre_check_work())
    }

    /// Records whether a pre-check was answered in time.
    fn count_pre_check(&mut self, outcome: Outcome, is_answered: bool, latency_objective_s: f64) {
        let answered = f64::from(u8::from(is_answered));
        self.answered_rate += SMOOTHING * (answered - self.answered_rate);
        // The latency of a pre-check that timed out is unknown, but longer than the timeout. Leaving it out would bias the
        // latencies downwards.
        if outcome == Outcome::TimedOut {
            let latencies = &mut self.pre_check_latencies;
            latencies.add(f64::MAX);
            latencies.median_s = latencies.median_s.min(latency_objective_s);
            latencies.p95_s = latencies.p95_s.min(latency_objective_s);
        }
    }

    fn add_pre_check_answer(&mut self, is_match: bool, latency_s: f64, now: f64) {
        // The first answers have more weight, because the initial estimate is arbitrary.
        let weight = SMOOTHING.max(1.0 / f64::from(self.pre_check_answers + 1));
        let matching = f64::from(u8::from(is_match));
        self.match_rate += weight * (matching - self.match_rate);
        self.min_pre_check_latency.add(latency_s, now);
        self.pre_check_latencies.add(latency_s);
        self.pre_check_answers = (self.pre_check_answers + 1).min(MIN_ANSWERS);
    }

    fn add_full_answer(&mut self, latency_s: f64, now: f64) {
        self.min_full_latency.add(latency_s, now);
        self.full_latencies.add(latency_s);
        self.full_answers = (self.full_answers + 1).min(MIN_ANSWERS);
    }
}

impl PhaseMetrics {
    fn count_pre_check(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Ok => self.pruned += 1,
            Outcome::Matches => self.matching += 1,
            _ => self.unanswered += 1,
        }
    }
}

impl TwoPhasePlanner {
    /// Creates a planner without statistics. `names` and `class_settings` are those of all classes, in the order of their
    /// indices.
    pub fn new(
        settings: &TwoPhaseSettings,
        names: &[String],
        class_settings: &[ClassSettings],
    ) -> TwoPhasePlanner {
        let is_idempotent = |index: &&usize| {
            let class_settings = class_settings.get(**index);
            class_settings.is_some_and(|class_settings| class_settings.effect == Effect::Idempotent)
        };
        let class = |index: &usize| {
            let latency_objective_s = class_settings[*index].latency_objective_s;
            let name = names.get(*index).map_or("", String::as_str);
            Class {
                latency_objective_s,
                statistics: PhaseStatistics::new(name, latency_objective_s),
                metrics: PhaseMetrics::default(),
            }
        };
        let classes = settings.classes.iter().filter(is_idempotent).map(class);
        TwoPhasePlanner {
            settings: settings.clone(),
            classes: classes.collect(),
        }
    }

    /// Returns the statistics of all classes, for a successor or for new settings.
    pub fn statistics(&self) -> Vec<PhaseStatistics> {
        let classes = self.classes.iter();
        classes.map(|class| class.statistics.clone()).collect()
    }

    /// Returns the statistics and metrics of each class.
    pub fn classes(&self) -> impl Iterator<Item = (&PhaseStatistics, &PhaseMetrics)> {
        let classes = self.classes.iter();
        classes.map(|class| (&class.statistics, &class.metrics))
    }

    /// Takes over the statistics of classes with the same names. Implausible statistics are ignored.
    pub fn inherit(&mut self, inherited: Vec<PhaseStatistics>) {
        for statistics in inherited {
            if !statistics.is_plausible() {
                continue;
            }
            if let Some(class) = find_class(&mut self.classes, &statistics.class) {
                class.statistics = statistics;
            }
        }
    }

    /// Takes over the metrics of the planner with the former settings, because counters must never decrease.
    pub fn keep_metrics(&mut self, former: &TwoPhasePlanner) {
        for class in &mut self.classes {
            let name = &class.statistics.class;
            let same = former
                .classes
                .iter()
                .find(|other| other.statistics.class == *name);
            class.metrics = same.map(|other| other.metrics).unwrap_or_default();
        }
    }

    /// Returns the length of the first phase of a query (seconds), or `None` for a query in one phase. `timeout_s` is the
    /// time that the client waits. `only_above_parts` is the client's own limit: queries with more parts than that get two
    /// phases.
    pub fn plan(
        &mut self,
        class: &str,
        parts: usize,
        timeout_s: f64,
        only_above_parts: Option<u32>,
    ) -> Option<f64> {
        let settings = &self.settings;
        let class = find_class(&mut self.classes, class)?;
        let has_enough_parts = match only_above_parts {
            Some(limit) => parts > limit as usize,
            None => parts >= settings.min_parts as usize,
        };
        let length_s = if has_enough_parts {
            class.first_phase_s(timeout_s, settings.max_share)
        } else {
            None
        };
        let saved_share = class.statistics.saved_share();
        let pays = saved_share.is_none_or(|saved_share| saved_share > MIN_SAVED_SHARE);
        let planned_s = length_s.filter(|length_s| {
            let is_long_enough = *length_s >= class.statistics.pre_check_latencies.median_s;
            (pays && is_long_enough)
                || class
                    .statistics
                    .count_for_trial(settings.trial_interval_queries)
        });
        match planned_s {
            Some(_) => class.metrics.two_phase += 1,
            None => class.metrics.one_phase += 1,
        }
        planned_s
    }

    /// Records the end of an attempt that took `took_s` (seconds). The class is given by name, because its index may have
    /// changed since the attempt was sent.
    pub fn attempt_ended(
        &mut self,
        class: &str,
        is_pre_check: bool,
        outcome: Outcome,
        took_s: f64,
        now: f64,
    ) {
        let Some(class) = find_class(&mut self.classes, class) else {
            return;
        };
        let statistics = &mut class.statistics;
        let is_answered = matches!(outcome, Outcome::Ok | Outcome::Matches);
        if is_pre_check {
            class.metrics.count_pre_check(outcome);
            // An attempt that was cancelled or never sent gives no information on latencies.
            if matches!(outcome, Outcome::Cancelled | Outcome::Superseded) {
                return;
            }
            statistics.count_pre_check(outcome, is_answered, class.latency_objective_s);
        }
        let has_latency = took_s.is_finite() && took_s > 0.0;
        if !is_answered || !has_latency {
            return;
        }
        if is_pre_check {
            statistics.add_pre_check_answer(outcome == Outcome::Matches, took_s, now);
        } else {
            statistics.add_full_answer(took_s, now);
        }
    }
}

fn find_class<'a>(classes: &'a mut [Class], name: &str) -> Option<&'a mut Class> {
    let mut classes = classes.iter_mut();
    classes.find(|class| class.statistics.class == name)
}

impl Class {
    /// Returns the length of a first phase (seconds): long enough for late pre-checks, if that leaves time for a full
    /// attempt of median latency before the latency objective, and for a late one before the client's timeout. Otherwise
    /// returns `None`.
    fn first_phase_s(&self, timeout_s: f64, max_share: f64) -> Option<f64> {
        let useful_s = self.latency_objective_s.min(timeout_s);
        let late_pre_check_s = PHASE_PER_P95 * self.statistics.pre_check_latencies.p95_s;
        let length_s = late_pre_check_s.min(max_share * useful_s);
        let full = &self.statistics.full_latencies;
        let meets_objective = length_s + full.median_s <= useful_s;
        let meets_timeout = length_s + full.p95_s <= timeout_s;
        (meets_objective && meets_timeout).then_some(length_s)
    }
}

#[cfg(test)]
mod tests;
