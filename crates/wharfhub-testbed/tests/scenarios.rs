//! Scenarios with all kinds of faults, in virtual time and on sockets: mixers must not violate any rule, and the same seed must
//! repeat a run exactly.

use rstest::rstest;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wharfhub_testbed::rules::{part_value, AnswerPart, RequestOutcome, RuleChecker};
use wharfhub_testbed::site::{szeged, Fault, Scenario, Site};
use wharfhub_testbed::standin::{lock, open, Shared};
use wharfhub_testbed::{daemon, emulator, load, tally};

/// Returns a scenario with two-phase queries.
fn two_phase() -> Scenario {
    let phases = Some("{\"classes\":[\"area-search\"]}".into());
    Scenario {
        seconds: 20.0,
        leaf_servers: 8,
        mixers: 2,
        phases,
        ..Scenario::default()
    }
}

/// Two-phase queries under each fault: no rule is violated, pre-checks prune parts, and the same seed repeats the run.
#[rstest]
#[case::calm(Scenario { ..two_phase() })]
#[case::all_slow(Scenario { load: 1.2, faults: vec![(5.0, 14.0, Fault::Slow(2.0))], ..two_phase() })]
#[case::dead_and_cold_again(Scenario { faults: vec![(4.0, 9.0, Fault::Dead(0.25))], ..two_phase() })]
#[case::silent(Scenario { faults: vec![(4.0, 12.0, Fault::Silent(0.25))], ..two_phase() })]
#[case::all_silent(Scenario { faults: vec![(5.0, 8.0, Fault::Silent(1.0))], ..two_phase() })]
#[case::fast_errors(Scenario { faults: vec![(4.0, 12.0, Fault::Fails(0.25, 0.8))], ..two_phase() })]
#[case::drains(Scenario { faults: vec![(4.0, 9.0, Fault::Drain(0.25))], ..two_phase() })]
#[case::mixed_fleet(Scenario { pre_check_share: 0.5, ..two_phase() })]
#[case::clients_leave(Scenario { disconnecting_share: 0.3, ..two_phase() })]
#[case::all_at_once(Scenario {
    load: 1.3,
    pre_check_share: 0.75,
    disconnecting_share: 0.1,
    pre_check_first: false,
    faults: vec![
        (3.0, 9.0, Fault::Slow(1.8)),
        (4.0, 8.0, Fault::Dead(0.25)),
        (6.0, 12.0, Fault::Fails(0.25, 0.6)),
        (10.0, 16.0, Fault::Silent(0.125)),
    ],
    ..two_phase()
})]
fn mixers_with_two_phase_queries_violate_no_rule(#[case] scenario: Scenario) {
    for seed in 1..4 {
        let scenario = Scenario {
            seed,
            ..scenario.clone()
        };
        let run = emulator::run(&scenario).unwrap();
        assert!(
            run.rules.violations.is_empty(),
            "seed {seed}: {:?}",
            run.rules.violations
        );
        assert!(
            run.tally.pruned > 0 && run.tally.requests[tally::ANSWERED] > 0,
            "seed {seed}: {:?}",
            run.tally
        );
        assert_eq!(
            emulator::run(&scenario).unwrap().digest,
            run.digest,
            "seed {seed} does not repeat the run"
        );
    }
}

/// Faults at the deployment with replica sets, calls of several parts, one attempt at a time and pauses: no rule is violated, and
/// the same seed repeats the run.
#[rstest]
#[case::quiet(0.4, vec![])]
#[case::some_slow(0.6, vec![(4.0, 14.0, Fault::SomeSlow(0.2, 8.0))])]
#[case::pauses(0.6, vec![(4.0, 14.0, Fault::Pauses(0.45, 0.5, 3.0))])]
#[case::room_lost(0.5, vec![(4.0, 12.0, Fault::ZoneLoss(1, false))])]
#[case::room_lost_with_mixers(0.5, vec![(4.0, 12.0, Fault::ZoneLoss(0, true))])]
#[case::links_fall_silent(0.5, vec![(2.0, 18.0, Fault::SilentConnections(0.3))])]
#[case::dead_and_silent(0.5, vec![(4.0, 9.0, Fault::Dead(0.2)), (6.0, 14.0, Fault::Silent(0.15))])]
#[case::all_at_once(0.9, vec![
    (3.0, 9.0, Fault::Slow(1.8)),
    (3.0, 12.0, Fault::ZoneLoss(2, true)),
    (5.0, 15.0, Fault::Pauses(0.3, 0.4, 3.0)),
    (6.0, 10.0, Fault::Burst(1.8)),
])]
fn mixers_with_replica_sets_violate_no_rule(
    #[case] load: f64,
    #[case] faults: Vec<(f64, f64, Fault)>,
) {
    for seed in 1..4 {
        let (seconds, leaf_servers, faults) = (20.0, 12, faults.clone());
        let scenario = Scenario {
            seed,
            seconds,
            leaf_servers,
            load,
            faults,
            site: szeged(),
            ..Scenario::default()
        };
        let run = emulator::run(&scenario).unwrap();
        assert!(
            run.rules.violations.is_empty(),
            "seed {seed}: {:?}",
            run.rules.violations
        );
        assert!(
            run.tally.requests[tally::ANSWERED] > 0,
            "seed {seed}: {:?}",
            run.tally
        );
        assert_eq!(
            emulator::run(&scenario).unwrap().digest,
            run.digest,
            "seed {seed} does not repeat the run"
        );
    }
}

/// The rule checker reports each kind of violation. Otherwise, runs without violations would prove nothing.
#[test]
#[expect(clippy::too_many_lines)]
fn the_rule_checker_reports_each_violation() {
    let scenario = Scenario::default();
    let queries = scenario.queries();
    let area = queries
        .iter()
        .find(|query| query.class == 0 && query.parts.iter().any(|part| part.matches))
        .unwrap();
    let hold = queries.iter().find(|query| query.class == 2).unwrap();
    let index = area.parts.iter().position(|part| part.matches).unwrap();
    let shard = area.parts[index].shard;
    let holder = scenario.holder(shard);
    let hold_at = scenario.holder(hold.parts[0].shard);
    let other = (0..scenario.leaf_servers)
        .find(|leaf_server| !scenario.holds(*leaf_server, shard))
        .unwrap();
    let single = Scenario {
        site: Site {
            attempts: (4, false),
            ..scenario.site.clone()
        },
        ..scenario.clone()
    };
    let violations_of = |events: &dyn Fn(&mut RuleChecker)| {
        let mut rules = RuleChecker::new(&single, 0.0);
        rules.request_started("q1-0");
        events(&mut rules);
        rules.violations.join("; ")
    };
    let complete = |rules: &mut RuleChecker, pre_check: bool| {
        let value = |index: usize| {
            let shard = area.parts[index].shard;
            let leaf_server = scenario.holder(shard);
            part_value("q1-0", shard, leaf_server, pre_check)
        };
        let values: Vec<String> = (0..area.parts.len()).map(value).collect();
        let pieces = values
            .iter()
            .enumerate()
            .map(|(index, value)| AnswerPart { index, value })
            .collect();
        rules.request_ended(
            "q1-0",
            area,
            &RequestOutcome::Answered(true, pieces),
            0.1,
            1.0,
        );
    };
    let one = |rules: &mut RuleChecker, complete: bool| {
        let value = part_value("q1-0", shard, holder, false);
        rules.request_ended(
            "q1-0",
            area,
            &RequestOutcome::Answered(
                complete,
                vec![AnswerPart {
                    index,
                    value: &value,
                }],
            ),
            0.1,
            1.0,
        );
    };
    type Case<'a> = (&'a str, Box<dyn Fn(&mut RuleChecker) + 'a>);
    let cases: Vec<Case> = vec![
        ("lost", Box::new(|rules| rules.finish())),
        (
            "second final",
            Box::new(|rules| {
                (0..2).for_each(|_| {
                    rules.request_ended("q1-0", area, &RequestOutcome::Failed, 0.1, 1.0)
                })
            }),
        ),
        (
            "time",
            Box::new(|rules| rules.request_ended("q1-0", area, &RequestOutcome::Failed, 1.2, 1.0)),
        ),
        ("floor", Box::new(|rules| one(rules, false))),
        ("pruned", Box::new(|rules| complete(rules, true))),
        (
            "drain",
            Box::new(|rules| {
                rules.endpoint_listed(1.0, 0, holder, false);
                rules.part_sent(1.6, (0, holder), "q1-0", area, (shard, false));
            }),
        ),
        (
            "placement",
            Box::new(|rules| rules.part_sent(1.0, (0, other), "q1-0", area, (shard, false))),
        ),
        (
            "ended",
            Box::new(|rules| {
                rules.request_ended("q1-0", area, &RequestOutcome::Failed, 0.1, 1.0);
                rules.part_sent(1.0, (0, holder), "q1-0", area, (shard, false));
            }),
        ),
        (
            "attempts",
            Box::new(|rules| {
                (0..5).for_each(|_| rules.part_sent(1.0, (0, holder), "q1-0", area, (shard, false)))
            }),
        ),
        (
            "in flight at once",
            Box::new(|rules| {
                (0..2)
                    .for_each(|_| rules.part_sent(1.0, (0, holder), "q1-0", area, (shard, false)));
            }),
        ),
        (
            "was pre-checked",
            Box::new(|rules| {
                rules.part_sent(1.0, (0, hold_at), "q1-0", hold, (hold.parts[0].shard, true))
            }),
        ),
        (
            "repeat",
            Box::new(|rules| {
                let shard = hold.parts[0].shard;
                rules.part_sent(1.0, (0, hold_at), "q1-0", hold, (shard, false));
                rules.part_ran("q1-0", shard, 1.0);
                rules.part_sent(4.0, (0, hold_at), "q1-0", hold, (shard, false));
            }),
        ),
        (
            "refusal",
            Box::new(|rules| {
                let shard = hold.parts[0].shard;
                rules.part_sent(1.0, (0, hold_at), "q1-0", hold, (shard, false));
                rules.part_ran("q1-0", shard, 1.0);
                rules.request_ended("q1-0", hold, &RequestOutcome::Rejected(0.1), 0.1, 1.0);
            }),
        ),
        (
            "value",
            Box::new(|rules| {
                let value = part_value("q2-0", shard, holder, false);
                rules.request_ended(
                    "q1-0",
                    area,
                    &RequestOutcome::Answered(
                        false,
                        vec![AnswerPart {
                            index,
                            value: &value,
                        }],
                    ),
                    0.1,
                    1.0,
                );
            }),
        ),
    ];
    for (name, events) in cases {
        let violations = violations_of(&*events);
        assert!(
            violations.contains(name),
            "{name} is not reported: {violations:?}"
        );
    }
    assert_eq!(
        violations_of(&|rules| complete(rules, false)),
        "",
        "a correct answer is not a violation"
    );
}

/// Runs the daemon between clients and stand-ins of both protocols, on sockets. Only the timeouts of the clients are checked, with
/// a tolerance, because the machine may be busy.
#[test]
fn a_short_scenario_on_sockets_violates_no_rule() {
    let program = daemon::program().unwrap();
    let scenario = Scenario {
        seconds: 2.0,
        load: 0.3,
        leaf_servers: 6,
        mixers: 1,
        pre_check_share: 0.7,
        ..two_phase()
    };
    let search = [1, 4];
    let shared = Arc::new(Shared {
        queries: scenario.queries(),
        scenario: scenario.clone(),
        start: Instant::now() + Duration::from_millis(500),
        rules: Mutex::new(RuleChecker::new(&scenario, 0.5)),
        work: Mutex::new((vec![0.0; 3], 0, 0)),
    });
    let leaf_servers: Vec<_> = (0..scenario.leaf_servers)
        .map(|number| open(&shared, number, search.contains(&number)).unwrap())
        .collect();
    let mixer = daemon::start(
        &program,
        &daemon::config(&scenario, 0, &leaf_servers, &search),
        "short-day",
    )
    .unwrap();
    let load = load::run_open_loop(&shared, vec![mixer.address]);
    let mut rules = lock(&shared.rules);
    rules.finish();
    assert!(rules.violations.is_empty(), "{:?}", rules.violations);
    assert!(lock(&load.tally).requests[tally::ANSWERED] > 0);
    assert!(lock(&shared.work).2 > 0, "no pre-checks were sent");
}
