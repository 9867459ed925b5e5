//! When queries have a first phase, and what is learned of phases.

use super::*;

const OK: Outcome = Outcome::Ok;

fn phases(latency_objective_s: f64) -> TwoPhasePlanner {
    let rules = ClassSettings {
        latency_objective_s,
        deadline_s: 3.0,
        ..ClassSettings::default()
    };
    let keyed = ClassSettings {
        effect: Effect::IdempotentWithKey,
        ..rules.clone()
    };
    let settings = TwoPhaseSettings {
        classes: vec![0, 1],
        trial_interval_queries: 10,
        ..TwoPhaseSettings::default()
    };
    TwoPhasePlanner::new(
        &settings,
        &["search".into(), "hold".into()],
        &[rules, keyed],
    )
}

/// Plays pre-checks, of which that share matches, and as many full attempts, with these latencies (seconds).
fn play(phases: &mut TwoPhasePlanner, attempts: u32, matching: f64, pre_check_s: f64, full_s: f64) {
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
fn phases_are_tried_and_kept_where_they_pay() {
    let mut phases = phases(1.5);
    assert!(
        phases.plan("search", 8, 3.0, None).is_some(),
        "unknown, so it is tried"
    );
    play(&mut phases, 200, 0.25, 0.02, 0.2);
    let saved = phases.classes[0].statistics.saved_share().unwrap();
    assert!((0.5..0.75).contains(&saved), "{saved}");
    assert!((0..100).all(|_| phases.plan("search", 8, 3.0, None).is_some()));
    assert_eq!(phases.plan("search", 3, 3.0, None), None, "too few parts");
    assert!(
        phases.plan("search", 3, 3.0, Some(2)).is_some(),
        "but the client wants them"
    );
    assert_eq!(phases.plan("search", 8, 3.0, Some(128)), None);
    assert_eq!(
        phases.plan("hold", 8, 3.0, None),
        None,
        "what isn't idempotent has one phase"
    );
    assert_eq!(phases.plan("nobody", 8, 3.0, None), None);
}

/// Where nearly all parts match, or pre-checks are never answered, few queries are trials, and fewer after each futile one.
#[rstest::rstest]
#[case(1.0, OK)]
#[case(0.0, Outcome::TimedOut)]
fn phases_that_do_not_pay_are_tried_ever_more_rarely(#[case] matching: f64, #[case] rest: Outcome) {
    let mut phases = phases(1.5);
    play(&mut phases, 40, matching, 0.02, 0.2);
    for _ in 0..400 {
        phases.attempt_ended(
            "search",
            true,
            if matching == 1.0 {
                Outcome::Matches
            } else {
                rest
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
        "after 10, 20, 40, 80, and then 160 each"
    );
    // A trial that brings an improvement is soon followed by the next.
    phases.classes[0].statistics.match_rate -= 0.03;
    phases.classes[0].statistics.answered_rate += 0.03;
    assert_eq!(trials(&mut phases, 170), 2, "after 160, and then 10");
    play(&mut phases, 400, 0.1, 0.02, 0.2);
    assert!(
        phases.plan("search", 8, 3.0, None).is_some(),
        "they pay again"
    );
}

/// A pre-check as heavy as a full attempt saves nothing, even if hardly anything matches.
#[test]
fn pre_checks_as_slow_as_full_attempts_do_not_pay() {
    let mut phases = phases(1.5);
    play(&mut phases, 200, 0.1, 0.19, 0.2);
    assert!(phases.classes[0].statistics.saved_share().unwrap() < 0.0);
}

/// Whatever is known, a first phase leaves time for full attempts, or there is none.
#[test]
fn the_first_phase_leaves_time_for_full_attempts() {
    let mut phases = phases(1.5);
    play(&mut phases, 2000, 0.2, 0.1, 0.6);
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
        "too short for two"
    );
    assert!(phases.plan("search", 8, 3.0, None).is_some());
    play(&mut phases, 2000, 0.2, 1.2, 1.4);
    assert_eq!(
        phases.plan("search", 8, 3.0, None),
        None,
        "slow full attempts leave no time"
    );
    play(&mut phases, 2000, 0.2, 1.2, 0.3);
    assert_eq!(
        phases.plan("search", 8, 3.0, None),
        None,
        "slow pre-checks are of no use"
    );
}

#[test]
fn plausible_statistics_are_inherited_and_others_ignored() {
    let mut old = phases(1.5);
    play(&mut old, 200, 0.25, 0.02, 0.2);
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
