//! Queries in two phases: whether a query has a first phase, in which its parts are pre-checked, and how its time is divided.
//!
//! This file owns what is learned of phases by class: how often a pre-checked part may match, how many pre-checks are answered
//! in time, and how long pre-checks and full attempts take. From that it says whether a query has a first phase and when that
//! ends. It must never place a part, never send, retry or reject anything, never stand in for the answer of a leaf server,
//! and never read a clock.
//!
//! A first phase pays where the work it saves exceeds its own: of each pre-checked part, the share that is answered in time
//! and does not match need not be sent in full. The work of a pre-check, as a share of a full attempt's, is judged by the
//! least latency of either lately, where neither waited. Where phases don't pay, one query in so many has a first phase all
//! the same, to see whether they would by now.

use crate::decisions::api::{ClassSettings, Effect, Outcome};
use crate::decisions::learned_state::Latencies;
use crate::decisions::wire_pair::wire_as_pair;
use miniserde::{Deserialize, Serialize};

/// Weight of a new answer in the running shares.
const SMOOTHING: f64 = 0.02;
/// Answers to pre-checks, and to full attempts, before anything is concluded.
const MIN_ANSWERS: u32 = 20;
/// Least share of the full work that must be saved, beyond the work of the first phase.
const MIN_SAVED_SHARE: f64 = 0.05;
/// The first phase may take this multiple of the 95th percentile of pre-checks.
const PHASE_PER_P95: f64 = 1.25;
/// Time constant with which a least latency grows older (seconds).
const MIN_LATENCY_DECAY_S: f64 = 120.0;
/// Least work of a pre-check, as a share of a full attempt's.
const MIN_PRE_CHECK_WORK: f64 = 0.02;
/// Futile trials after which trials become no rarer; each halves their rate.
const MAX_FUTILE_TRIALS: u32 = 4;
/// Growth of the saved share that makes a trial a success.
const MIN_GROWTH_OF_SAVED_SHARE: f64 = 0.02;
/// First guesses at latencies, as shares of the latency objective.
const INITIAL_PRE_CHECK_MEDIAN: f64 = 0.03;
const INITIAL_PRE_CHECK_P95: f64 = 0.12;
const INITIAL_FULL_MEDIAN: f64 = 0.1;
const INITIAL_FULL_P95: f64 = 0.35;

/// The operators' settings.
#[derive(Clone, Debug, PartialEq)]
pub struct TwoPhaseSettings {
    /// Places of the classes that may have two phases; those that are not idempotent are ignored.
    pub classes: Vec<usize>,
    /// Queries of fewer parts have one phase.
    pub min_parts: u32,
    /// Largest share of a query's useful time for the first phase.
    pub max_share: f64,
    /// Where phases don't pay, one query in this many tries them again, and down to a sixteenth of that when futile.
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

/// The least latency that was seen lately.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MinLatency {
    /// The latency (seconds); 0 before any answer.
    pub latency_s: f64,
    /// When it was last updated.
    pub updated_at: f64,
}

wire_as_pair!(MinLatency {
    latency_s: f64,
    updated_at: f64
});

impl MinLatency {
    /// Takes a latency (seconds). What was seen long ago counts for less and less.
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

/// What was learned of one class. It is handed to a successor in this form; the names on the wire must not change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PhaseStatistics {
    /// The name of the class.
    pub class: String,
    /// Running share of the answered pre-checks by which a part may match.
    #[serde(rename = "matching")]
    pub match_rate: f64,
    /// Running share of the pre-checks that were answered in time.
    #[serde(rename = "in_time")]
    pub answered_rate: f64,
    /// Answered pre-checks, up to the number that is enough for a conclusion.
    #[serde(rename = "words")]
    pub pre_check_answers: u32,
    /// Answered full attempts, likewise.
    #[serde(rename = "answers")]
    pub full_answers: u32,
    /// Latencies of pre-checks.
    #[serde(rename = "word_s")]
    pub pre_check_latencies: Latencies,
    /// Latencies of full attempts.
    #[serde(rename = "answer_s")]
    pub full_latencies: Latencies,
    /// Least latency of a pre-check lately.
    #[serde(rename = "least_word")]
    pub min_pre_check_latency: MinLatency,
    /// Least latency of a full attempt lately.
    #[serde(rename = "least_answer")]
    pub min_full_latency: MinLatency,
    /// Queries since phases were last tried where they don't pay.
    #[serde(rename = "since_try")]
    pub queries_since_trial: u32,
    /// How many such trials in a row brought no improvement.
    #[serde(rename = "vain")]
    pub futile_trials: u32,
    /// Saved share at the last such trial.
    #[serde(rename = "saved_then")]
    pub saved_share_at_trial: f64,
}

/// How phases did since the start. Counters never go down.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PhaseMetrics {
    /// Queries that had a first phase.
    pub two_phase: u64,
    /// Queries of such classes that had none.
    pub one_phase: u64,
    /// Pre-checks by which nothing matches: these parts were pruned.
    pub pruned: u64,
    /// Pre-checks by which something may match.
    pub matching: u64,
    /// Pre-checks without an answer.
    pub unanswered: u64,
}

struct Class {
    latency_objective_s: f64,
    statistics: PhaseStatistics,
    metrics: PhaseMetrics,
}

/// The phases of one mixer, by class.
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

    /// Whether these can be statistics of this module: what another process hands over is checked.
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

    /// Work of a pre-check, as a share of a full attempt's.
    pub fn pre_check_work(&self) -> f64 {
        if self.min_full_latency.latency_s <= 0.0 {
            return MIN_PRE_CHECK_WORK;
        }
        let work = self.min_pre_check_latency.latency_s / self.min_full_latency.latency_s;
        work.clamp(MIN_PRE_CHECK_WORK, 1.0)
    }

    /// Where phases don't pay: counts a query, and returns whether it tries them. Futile trials become rarer, down to a bound;
    /// one that brought an improvement is soon followed by the next.
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

    /// Share of the full work that a first phase saves, less its own work; none before enough answers.
    pub fn saved_share(&self) -> Option<f64> {
        let is_known = self.pre_check_answers >= MIN_ANSWERS && self.full_answers >= MIN_ANSWERS;
        is_known.then(|| self.answered_rate * (1.0 - self.match_rate) - self.pre_check_work())
    }

    /// Takes whether a pre-check was answered; one that timed out took longer than was waited for it.
    fn count_pre_check(&mut self, outcome: Outcome, is_answered: bool, latency_objective_s: f64) {
        let answered = f64::from(u8::from(is_answered));
        self.answered_rate += SMOOTHING * (answered - self.answered_rate);
        // If these were left out, the latencies could only ever shrink.
        if outcome == Outcome::TimedOut {
            let latencies = &mut self.pre_check_latencies;
            latencies.add(f64::MAX);
            latencies.median_s = latencies.median_s.min(latency_objective_s);
            latencies.p95_s = latencies.p95_s.min(latency_objective_s);
        }
    }

    fn add_pre_check_answer(&mut self, is_match: bool, latency_s: f64, now: f64) {
        // The first answers count for more, since nothing is known before them.
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
    /// TwoPhasePlanner of which nothing is known. `names` and `rules` are those of all classes, in the order of their places.
    pub fn new(
        settings: &TwoPhaseSettings,
        names: &[String],
        rules: &[ClassSettings],
    ) -> TwoPhasePlanner {
        let is_idempotent = |place: &&usize| {
            let rules = rules.get(**place);
            rules.is_some_and(|rules| rules.effect == Effect::Idempotent)
        };
        let class = |place: &usize| {
            let latency_objective_s = rules[*place].latency_objective_s;
            let name = names.get(*place).map_or("", String::as_str);
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

    /// What was learned, for a successor or for other settings.
    pub fn statistics(&self) -> Vec<PhaseStatistics> {
        let classes = self.classes.iter();
        classes.map(|class| class.statistics.clone()).collect()
    }

    /// Statistics and metrics of each class.
    pub fn classes(&self) -> impl Iterator<Item = (&PhaseStatistics, &PhaseMetrics)> {
        let classes = self.classes.iter();
        classes.map(|class| (&class.statistics, &class.metrics))
    }

    /// Takes over what was learned of classes with the same names. What is not plausible is ignored.
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

    /// Takes over the metrics from the former settings, since counters never go down.
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

    /// Length of the first phase of a query (seconds); none if it has one phase. `timeout_s` is how long the client waits,
    /// and `above` the number of parts above which the client wants two phases, where it says so.
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

    /// Takes the end of an attempt that took `took_s` (seconds). The class is given by its name, since its place may have
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
            // Nobody waited for it any more, or it was never sent: that shows nothing of phases.
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
    /// Length of a first phase (seconds): as long as late pre-checks take, if that leaves time for full attempts before the
    /// latency objective, and for late ones before the client's timeout. None if it does not.
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
