//! Tests of when queries have a first phase, and of the statistics of phases.

use super::*;

const OK: Outcome = Outcome::Ok;

fn phases(latency_objective_s: f64) -> TwoPhasePlanner {
    let class_settings = ClassSettings {
        latency_objective_s,
        deadline_s: 3.0,
        ..ClassSettings::default()
    };
    let keyed = ClassSettings {
        effect: Effect::IdempotentWithKey,
        ..class_settings.clone()
    };
    let settings = TwoPhaseSettings {
        classes: vec![0, 1],
        trial_interval_queries: 10,
        ..TwoPhaseSettings::default()
    };
    TwoPhasePlanner::new(
        &settings,
        &["search".into(), "hold".into()],
        &[class_settings, keyed],
    )
}

/// Records pre-checks, of which the share `matching` matches, and as many full attempts, with the given latencies
/// (seconds).
fn record_attempts(
    phases: &mut TwoPhasePlanner,
    attempts: u32,
    matching: f64,
    pre_check_s: f64,
    full_s: f64,
) {
    for number in 0..attempts {
        let matches = f64::from(number % 20) < 20.0 * matching;
        phases.attempt_ended(
            "search",
            true,
            if matches { Outcome::Matches } else { OK },
            pre_check_s,
            f64::from(number),
        );
        phases.attempt_ended("search", false, OK, full_s, f64::from(number));
    }
}

#[test]
fn phases_are_tried_at_first_and_kept_while_they_pay() {
    let mut phases = phases(1.5);
    assert!(
        phases.plan("search", 8, 3.0, None).is_some(),
        "without statistics phases are tried"
    );
    record_attempts(&mut phases, 200, 0.25, 0.02, 0.2);
    let saved = phases.classes[0].statistics.saved_share().unwrap();
    assert!((0.5..0.75).contains(&saved), "{saved}");
    assert!((0..100).all(|_| phases.plan("search", 8, 3.0, None).is_some()));
    assert_eq!(phases.plan("search", 3, 3.0, None), None, "too few parts");
    assert!(
        phases.plan("search", 3, 3.0, Some(2)).is_some(),
        "the limit of the client applies"
    );
    assert_eq!(phases.plan("search", 8, 3.0, Some(128)), None);
    assert_eq!(
        phases.plan("hold", 8, 3.0, None),
        None,
        "a class that is not idempotent has one phase"
    );
    assert_eq!(phases.plan("nobody", 8, 3.0, None), None);
}

/// If nearly all parts match, or pre-checks are never answered, few queries are trials, and fewer after each futile trial.
#[rstest::rstest]
#[case(1.0, OK)]
#[case(0.0, Outcome::TimedOut)]
fn trials_become_rarer_while_phases_do_not_pay(#[case] matching: f64, #[case] outcome: Outcome) {
    let mut phases = phases(1.5);
    record_attempts(&mut phases, 40, matching, 0.02, 0.2);
    for _ in 0..400 {
        phases.attempt_ended(
            "search",
            true,
            if matching == 1.0 {
                Outcome::Matches
            } else {
                outcome
            },
            0.02,
            50.0,
        );
    }
    let trials = |phases: &mut TwoPhasePlanner, of: u32| {
        (0..of)
            .filter(|_| phases.plan("search", 8, 3.0, None).is_some())
            .count()
    };
    assert_eq!(
        trials(&mut phases, 1600),
        13,
        "trials follow after 10, 20, 40, 80 and then every 160 queries"
    );
    // After a trial with an improvement the next one follows soon.
    phases.classes[0].statistics.match_rate -= 0.03;
    phases.classes[0].statistics.answered_rate += 0.03;
    assert_eq!(
        trials(&mut phases, 170),
        2,
        "one trial after 160 queries and the next after 10"
    );
    record_attempts(&mut phases, 400, 0.1, 0.02, 0.2);
    assert!(
        phases.plan("search", 8, 3.0, None).is_some(),
        "phases pay again"
    );
}

/// A pre-check as slow as a full attempt saves nothing, even if hardly any part matches.
#[test]
fn pre_checks_as_slow_as_full_attempts_do_not_pay() {
    let mut phases = phases(1.5);
    record_attempts(&mut phases, 200, 0.1, 0.19, 0.2);
    assert!(phases.classes[0].statistics.saved_share().unwrap() < 0.0);
}

/// A query has a first phase only if that leaves time for full attempts.
#[test]
fn the_first_phase_leaves_time_for_full_attempts() {
    let mut phases = phases(1.5);
    record_attempts(&mut phases, 2000, 0.2, 0.1, 0.6);
    let Latencies { median_s, p95_s } = phases.classes[0].statistics.full_latencies;
    for wait in 1..300 {
        let timeout_s = f64::from(wait) / 100.0;
        let Some(length) = phases.plan("search", 8, timeout_s, None) else {
            continue;
        };
        assert!(
            length >= 0.09 && length <= 0.4 * timeout_s,
            "{length} of {timeout_s}"
        );
        assert!(length + median_s <= timeout_s.min(1.5) && length + p95_s <= timeout_s);
    }
    assert_eq!(
        phases.plan("search", 8, 0.6, None),
        None,
        "the timeout is too short for two phases"
    );
    assert!(phases.plan("search", 8, 3.0, None).is_some());
    record_attempts(&mut phases, 2000, 0.2, 1.2, 1.4);
    assert_eq!(
        phases.plan("search", 8, 3.0, None),
        None,
        "slow full attempts leave no time for a first phase"
    );
    record_attempts(&mut phases, 2000, 0.2, 1.2, 0.3);
    assert_eq!(
        phases.plan("search", 8, 3.0, None),
        None,
        "slow pre-checks do not pay"
    );
}

#[test]
fn plausible_statistics_are_inherited_and_others_ignored() {
    let mut old = phases(1.5);
    record_attempts(&mut old, 200, 0.25, 0.02, 0.2);
    let text = miniserde::json::to_string(&old.statistics());
    let mut new = phases(1.5);
    new.inherit(miniserde::json::from_str(&text).unwrap());
    assert_eq!(new.statistics(), old.statistics());
    let bad = PhaseStatistics {
        match_rate: 7.0,
        ..old.statistics().remove(0)
    };
    let mut new = phases(1.5);
    new.inherit(vec![bad]);
    assert_eq!(new.classes[0].statistics.pre_check_answers, 0);
}
