//! Tests of queries in two phases.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

/// Returns a replica that answers pre-checks.
fn pre_checking(id: u32) -> ReplicaEntry {
    ReplicaEntry {
        supports_pre_check: true,
        ..replica(id)
    }
}

/// Returns a driver with two classes, of which the second counts the pre-checks, and with known latencies.
fn two_phase_driver(effect: Effect, replicas: &[ReplicaEntry]) -> Driver {
    let mut settings = settings(ClassSettings {
        effect,
        idempotency_window_s: 2.5,
        ..class()
    });
    settings.classes.push(settings.classes[0].clone());
    let mut driver = Driver::new(settings, replicas);
    for id in 1..40 {
        driver.round_trip(id, 0, 0.1);
    }
    driver
}

/// Starts a query whose first phase lasts `length_s`, and returns the parts that were sent.
fn query_with_pre_check(
    driver: &mut Driver,
    id: u32,
    shards: &[u32],
    length_s: f64,
) -> Vec<SentPart> {
    let pre_check = Some(PreCheck {
        class: 1,
        until: driver.now + length_s,
    });
    let (parts, deadline) = (shards.len() as u32, driver.now + 3.0);
    let new = NewQuery {
        id: QueryId(id),
        number: id,
        parts,
        deadline,
        pre_check,
        ..NewQuery::default()
    };
    let mut out = driver.event(Event::Query(new));
    for (index, shard) in shards.iter().enumerate() {
        out.extend(driver.part(id * 100 + index as u32, id, *shard, 1.0 / f64::from(parts)));
    }
    sent_parts(&out)
}

/// An attempt of a part.
#[derive(Clone, Copy, Debug)]
struct SentPart {
    part: u32,
    replica: ReplicaId,
    is_pre_check: bool,
}

/// Returns the parts that these actions send.
fn sent_parts(actions: &[Action]) -> Vec<SentPart> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send {
            part,
            replica,
            is_pre_check: pre_check,
            ..
        } => Some(SentPart {
            part: part.0,
            replica: *replica,
            is_pre_check: *pre_check,
        }),
        _ => None,
    });
    sent.collect()
}

/// The answer that something may match does not answer the part: the part is sent in full at once, which is not a retry.
#[test]
fn a_part_that_may_match_is_sent_in_full_and_any_other_is_pruned() {
    let mut driver = two_phase_driver(Effect::Idempotent, &[pre_checking(1), pre_checking(2)]);
    let first = query_with_pre_check(&mut driver, 100, &[0], 0.3);
    assert!(first.len() == 1 && first[0].is_pre_check, "{first:?}");
    let out = driver.end_attempt(10000, 0, first[0].replica, 0.01, Outcome::Matches);
    let full = sent_parts(&out);
    assert!(full.len() == 1 && !full[0].is_pre_check, "{out:?}");
    let out = driver.end_attempt(10000, 1, full[0].replica, 0.1, OK);
    assert_eq!(
        out,
        [Action::Answer {
            query: QueryId(100),
            is_complete: true
        }]
    );
    let first = query_with_pre_check(&mut driver, 101, &[0], 0.3);
    let out = driver.end_attempt(10100, 0, first[0].replica, 0.01, OK);
    assert_eq!(
        out,
        [Action::Answer {
            query: QueryId(101),
            is_complete: true
        }],
        "the pre-check answer prunes the part"
    );
}

#[test]
fn the_second_phase_needs_no_retry_budget() {
    let mut settings = settings(class());
    settings.classes.push(settings.classes[0].clone());
    settings.retry_budget = Some(RetryBudget {
        min_retries: 0.0,
        retries_per_accepted: 0.0,
        window_s: 5.0,
    });
    let mut driver = Driver::new(settings, &[pre_checking(1), pre_checking(2)]);
    let first = query_with_pre_check(&mut driver, 100, &[0], 0.3);
    assert_eq!(
        sent_parts(&driver.end_attempt(10000, 0, first[0].replica, 0.01, Outcome::Matches)).len(),
        1
    );
    let first = query_with_pre_check(&mut driver, 101, &[0], 0.3);
    let out = driver.end_attempt(10100, 0, first[0].replica, 0.01, Outcome::Error);
    assert!(
        sent_parts(&out).is_empty(),
        "an attempt after a failure is a retry: {out:?}"
    );
}

/// Pre-checks are sent only for idempotent classes, and only to replicas that announce support for them.
#[rstest::rstest]
#[case(Effect::IdempotentWithKey, true)]
#[case(Effect::NonIdempotent, true)]
#[case(Effect::Idempotent, false)]
fn only_idempotent_classes_and_capable_replicas_get_pre_checks(
    #[case] effect: Effect,
    #[case] supports_pre_check: bool,
) {
    let replicas = [1, 2].map(|id| ReplicaEntry {
        supports_pre_check,
        ..replica(id)
    });
    let mut driver = two_phase_driver(effect, &replicas);
    let sent = query_with_pre_check(&mut driver, 100, &[0], 0.3);
    assert!(sent.len() == 1 && !sent[0].is_pre_check, "{sent:?}");
}

/// A part whose pre-check fails or gets no answer in time is treated as matching and sent in full. The limit on attempts counts
/// the attempts of both phases.
#[rstest::rstest]
#[case(Outcome::TimedOut)]
#[case(Outcome::Error)]
#[case(Outcome::Reset)]
#[case(Outcome::ConnectFailed)]
fn a_part_without_a_pre_check_answer_is_sent_in_full(#[case] outcome: Outcome) {
    let mut driver = two_phase_driver(Effect::Idempotent, &[pre_checking(1), pre_checking(2)]);
    let mut sent = query_with_pre_check(&mut driver, 100, &[0], 0.3);
    let mut attempts = 0;
    while let Some(first) = sent.first().copied() {
        assert_eq!(
            first.is_pre_check,
            attempts == 0,
            "only the first attempt is a pre-check"
        );
        let mut out = driver.end_attempt(first.part, attempts, first.replica, 0.02, outcome);
        attempts += 1;
        out.extend(driver.advance(0.1));
        sent = sent_parts(&out);
        if attempts > 1 && sent.is_empty() {
            break;
        }
    }
    assert!((2..=4).contains(&attempts), "{attempts}");
}

/// The replica that answered the pre-check drains between the phases: the part is sent in full to another holder, and nothing
/// is sent to the draining replica after the grace.
#[test]
fn a_replica_that_drains_between_the_phases_is_not_used() {
    let mut driver = two_phase_driver(Effect::Idempotent, &[pre_checking(1), pre_checking(2)]);
    let first = query_with_pre_check(&mut driver, 100, &[0], 2.0);
    let draining = ReplicaEntry {
        lifecycle: Lifecycle::Draining,
        ..pre_checking(first[0].replica.0)
    };
    driver.list(false, &[draining]);
    let out = driver.end_attempt(10000, 0, first[0].replica, 0.01, Outcome::Matches);
    let full = sent_parts(&out);
    assert!(
        full.len() == 1 && full[0].replica != first[0].replica,
        "{out:?}"
    );
    // Without another holder the part is not sent once the grace is over.
    let mut driver = two_phase_driver(Effect::Idempotent, &[pre_checking(1)]);
    let first = query_with_pre_check(&mut driver, 100, &[0], 2.0);
    driver.list(
        false,
        &[ReplicaEntry {
            lifecycle: Lifecycle::Draining,
            ..pre_checking(1)
        }],
    );
    driver.advance(0.3);
    let out = driver.end_attempt(10000, 0, first[0].replica, 0.3, Outcome::Matches);
    assert!(sent_parts(&out).is_empty(), "{out:?}");
}

/// An overdue pre-check gets one hedged request, which is sent in full. The late answer to the pre-check still counts: it
/// prunes the part or changes nothing, and never causes a third attempt.
#[rstest::rstest]
#[case(OK, true)]
#[case(Outcome::Matches, false)]
fn a_late_pre_check_answer_prunes_the_part_or_changes_nothing(
    #[case] answer: Outcome,
    #[case] is_pruned: bool,
) {
    let mut driver = two_phase_driver(Effect::Idempotent, &[pre_checking(1), pre_checking(2)]);
    for id in 100..140 {
        let first = query_with_pre_check(&mut driver, id, &[0], 2.0);
        driver.advance(0.01);
        driver.end_attempt(id * 100, 0, first[0].replica, 0.01, OK);
    }
    let first = query_with_pre_check(&mut driver, 200, &[0], 2.0);
    let hedged = sent_parts(&driver.advance(0.5));
    assert!(
        hedged.len() == 1 && !hedged[0].is_pre_check && hedged[0].replica != first[0].replica,
        "{hedged:?}"
    );
    let out = driver.end_attempt(20000, 0, first[0].replica, 0.5, answer);
    assert!(sent_parts(&out).is_empty(), "{out:?}");
    assert_eq!(
        out.contains(&Action::Answer {
            query: QueryId(200),
            is_complete: true
        }),
        is_pruned
    );
    assert_eq!(
        out.contains(&Action::Cancel {
            part: PartId(20000),
            attempt: 1
        }),
        is_pruned
    );
}

/// A query whose pre-checks are rejected by every replica keeps the usual limit on attempts, and ends exactly once.
#[test]
fn a_query_rejected_everywhere_in_the_first_phase_ends_once() {
    let mut driver = two_phase_driver(Effect::Idempotent, &[pre_checking(1), pre_checking(2)]);
    let mut sent = query_with_pre_check(&mut driver, 100, &[0, 0], 0.3);
    let mut attempts = std::collections::BTreeMap::new();
    for _ in 0..400 {
        let mut next = Vec::new();
        for SentPart { part, replica, .. } in sent {
            let number = attempts.entry(part).or_insert(0u8);
            *number += 1;
            let number = *number - 1;
            next.extend(sent_parts(&driver.end_attempt(
                part,
                number,
                replica,
                0.001,
                Outcome::Rejected,
            )));
        }
        next.extend(sent_parts(&driver.advance(0.01)));
        sent = next;
    }
    let is_final_answer = |action: &&Action| {
        matches!(
            action,
            Action::Reject {
                query: QueryId(100),
                ..
            } | Action::Fail {
                query: QueryId(100)
            }
        )
    };
    assert_eq!(driver.actions.iter().filter(is_final_answer).count(), 1);
    assert!(attempts.values().all(|count| *count <= 4), "{attempts:?}");
}

/// Pre-checks count towards the limit of a replica in slow start, and do not raise the load from which the limit is derived.
#[test]
fn pre_checks_count_towards_the_slow_start_limit() {
    let mut driver = two_phase_driver(Effect::Idempotent, &[pre_checking(1)]);
    let warming = ReplicaEntry {
        started_at: driver.now,
        ..pre_checking(2)
    };
    driver.list(false, &[warming]);
    let mut to_warming = 0;
    for id in 300..500 {
        for SentPart { part, replica, .. } in query_with_pre_check(&mut driver, id, &[0], 0.3) {
            to_warming += u32::from(replica == ReplicaId(2));
            driver.end_attempt(part, 0, replica, 0.005, OK);
        }
        driver.advance(0.005);
    }
    // About ten full queries per second over two replicas, one fifth of the capacity, overload multiple 2, window 2 s.
    assert!(
        to_warming <= 6,
        "{to_warming} sent to a replica in slow start"
    );
}

/// New settings with other classes do not change a query that is between its phases.
#[test]
fn new_settings_do_not_change_a_query_between_its_phases() {
    let mut driver = two_phase_driver(Effect::Idempotent, &[pre_checking(1), pre_checking(2)]);
    let first = query_with_pre_check(&mut driver, 100, &[0], 0.3);
    let settings = Box::new(settings(ClassSettings {
        effect: Effect::NonIdempotent,
        ..class()
    }));
    let (classes, tenants) = (vec![None].into(), Vec::new().into());
    driver.event(Event::Settings {
        settings,
        classes,
        tenants,
    });
    let full = sent_parts(&driver.end_attempt(10000, 0, first[0].replica, 0.01, Outcome::Matches));
    assert!(full.len() == 1 && !full[0].is_pre_check, "{full:?}");
    let out = driver.end_attempt(10000, 1, full[0].replica, 0.1, OK);
    assert_eq!(
        out,
        [Action::Answer {
            query: QueryId(100),
            is_complete: true
        }]
    );
}
