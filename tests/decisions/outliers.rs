//! Tests of outlier detection: the failures for which replicas are ejected, and the delays that are not attributed to them.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

#[test]
fn a_silent_replica_is_ejected_and_returns_after_probe_requests() {
    let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
    for id in 1..100 {
        driver.round_trip(id, 0, 0.05);
    }
    let (part, silent) = sends(&driver.query(500, &[0], 3.0))[0];
    let (_, other) = sends(&driver.advance(0.8))[0];
    driver.end_attempt(part, 1, other, 0.4, OK);
    for id in 501..505 {
        assert_eq!(sends(&driver.round_trip(id, 0, 0.05))[0].1, other);
    }
    driver.advance(3.0);
    driver.end_attempt(part, 0, silent, 3.0, Outcome::Cancelled);
    driver.advance(5.0);
    for id in 600..690 {
        driver.round_trip(id, 0, 0.05);
    }
    let probes = sends(&driver.actions)
        .iter()
        .filter(|(part, at)| *part >= 60_000 && *at == silent)
        .count();
    assert!((2..10).contains(&probes), "{probes} probe requests");
    driver.advance(20.0);
    (690..699).for_each(|id| drop(driver.round_trip(id, 0, 0.05)));
    driver.advance(20.0);
    let first = sends(&driver.query(700, &[0], 3.0))[0].1;
    assert_ne!(
        first,
        sends(&driver.query(701, &[0], 3.0))[0].1,
        "both replicas are used again"
    );
}

/// Guards against a failure seen in an incident: a pause of this process raises every latency at once.
#[test]
fn a_process_pause_is_not_attributed_to_the_replicas() {
    let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
    for id in 1..60 {
        driver.round_trip(id, 0, 0.05);
    }
    let out: Vec<_> = (100..110)
        .flat_map(|id| sends(&driver.query(id, &[0], 6.0)))
        .collect();
    driver.now += 2.0;
    for (part, replica) in out {
        driver.end_attempt(part, 0, replica, 2.0, OK);
    }
    driver.advance(0.1);
    for id in 200..230 {
        assert!(!is_rejected(&driver.round_trip(id, 0, 0.05)));
    }
}

/// Guards against a failure seen in scenarios in which replicas leave one class unanswered: their answers in the other
/// class prevented the ejection.
#[test]
fn a_replica_that_leaves_one_class_unanswered_is_ejected_for_that_class_only() {
    // Both replicas hold shard 0, which class 1 reads; only the faulty one holds shard 2, which class 0 reads.
    let settings = Settings {
        classes: vec![class(), class()],
        cells: 3,
        replication_factor: 2,
        ..settings(class())
    };
    let mut driver = Driver::new(
        settings,
        &[
            replica(1),
            ReplicaEntry {
                cell: 1,
                ..replica(2)
            },
        ],
    );
    let faulty = ReplicaId(1);
    let (mut to_faulty, mut open, mut attempts) =
        ([[0; 2]; 2], Vec::new(), std::collections::BTreeMap::new());
    // Attempts that are not simulated yet. Those sent at the end of another attempt are simulated after the next query, so that
    // every attempt ends.
    let mut new = Vec::new();
    for id in 1..400 {
        let shard = if id % 2 == 1 { 0 } else { 2 };
        new.extend(sends(&driver.query_with_class(
            (id % 2) as u16,
            id,
            &[shard],
            3.0,
            false,
        )));
        for _ in 0..2 {
            for (part, at) in new.drain(..) {
                let (class, attempt) = (part / 100 % 2, attempts.entry(part).or_insert(0u8));
                to_faulty[usize::from(id > 200)][class as usize] += usize::from(at == faulty);
                let took = if at == faulty && class == 1 {
                    1.0
                } else {
                    0.05
                };
                open.push((driver.now + took, part, *attempt, at, took));
                *attempt += 1;
            }
            new.extend(sends(&driver.advance(0.05)));
            let now = driver.now;
            let (due, later): (Vec<_>, Vec<_>) =
                open.into_iter().partition(|(due, ..)| *due <= now + 1e-9);
            open = later;
            for (_, part, attempt, at, took) in due {
                let outcome = if took < 1.0 { OK } else { Outcome::TimedOut };
                new.extend(sends(&driver.end_attempt(part, attempt, at, took, outcome)));
            }
        }
    }
    assert!(
        to_faulty[1][1] < 12,
        "parts of class 1 are still sent to the faulty replica: {to_faulty:?}"
    );
    assert!(
        to_faulty[1][0] > 20,
        "parts of class 0 are no longer sent to the faulty replica: {to_faulty:?}"
    );
}

/// Guards against a failure seen with fast errors: failures that alternate with answers never reached the number that ejects a
/// replica, and a non-idempotent part is not retried at another one.
#[test]
fn a_replica_that_fails_every_other_part_is_avoided() {
    for effect in [Effect::Idempotent, Effect::NonIdempotent] {
        let mut driver = Driver::new(settings(ClassSettings { effect, ..class() }), &fleet(3));
        let (mut to_faulty, mut count) = (0, 0);
        for id in 1..100 {
            for (part, at) in sends(&driver.query(id, &[0], 3.0)) {
                driver.advance(0.05);
                count += u32::from(at == ReplicaId(1));
                let fails = at == ReplicaId(1) && count % 2 == 1;
                let again =
                    driver.end_attempt(part, 0, at, 0.05, if fails { Outcome::Error } else { OK });
                sends(&again)
                    .iter()
                    .for_each(|(part, at)| drop(driver.end_attempt(*part, 1, *at, 0.05, OK)));
                to_faulty += usize::from(at == ReplicaId(1));
            }
            driver.advance(0.05);
        }
        assert!(
            (1..25).contains(&to_faulty),
            "{to_faulty} parts of 99 queries, {effect:?}"
        );
    }
}

/// Guards against a failure seen in a full-size deployment: probe requests that were preferred to other replicas cost each of
/// many aggregators a part at every silent replica.
#[test]
fn a_probe_request_is_sent_only_if_the_replica_is_the_best_choice() {
    let far = ReplicaEntry {
        zone: 1,
        ..replica(1)
    };
    let mut driver = Driver::new(settings(class()), &[far]);
    let (part, ejected) = sends(&driver.query(500, &[0], 3.0))[0];
    driver.end_attempt(part, 0, ejected, 0.001, Outcome::ConnectFailed);
    driver.list(false, &[replica(2), replica(3)]);
    driver.advance(0.6);
    let used: Vec<_> = (510..540)
        .map(|id| sends(&driver.round_trip(id, 0, 0.02))[0].1)
        .collect();
    assert!(
        !used.contains(&ejected),
        "healthy replicas of the own zone are idle: {used:?}"
    );
}

/// The time of a process pause does not count towards the age of the calls in flight, which would cause rejections.
#[test]
fn a_process_pause_does_not_add_to_the_age_of_calls() {
    let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
    for id in 1..40 {
        driver.round_trip(id, 0, 0.05);
    }
    (100..104).for_each(|id| drop(driver.query(id, &[0], 3.0)));
    driver.now += 2.0;
    driver.event(Event::Timer(1));
    assert!(!is_rejected(&driver.query(200, &[0], 3.0)));
}
