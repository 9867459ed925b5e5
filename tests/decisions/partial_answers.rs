//! Partial answers, spares and second steps.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

#[test]
fn parts_that_a_complete_answer_does_not_need_are_spares() {
    let sample = ClassSettings {
        complete_share: 0.67,
        min_partial_share: 0.67,
        ..class()
    };
    let mut driver = Driver::new(settings(sample), &fleet(20));
    let sent = sends(&driver.query(1, &[0; 9], 3.0));
    assert_eq!(sent.len(), 7);
    for (part, replica) in &sent[..6] {
        driver.end_attempt(*part, 0, *replica, 0.05, OK);
    }
    let spare = sends(&driver.advance(0.5));
    assert!(
        !sent.iter().any(|(part, _)| *part == spare[0].0),
        "a spare, not a hedged request"
    );
    let out = driver.end_attempt(spare[0].0, 0, spare[0].1, 0.05, OK);
    assert!(out.contains(&Action::Answer {
        query: QueryId(1),
        is_complete: true
    }));
}

#[test]
fn a_partial_answer_comes_just_before_the_objective_and_is_not_complete() {
    let partial = ClassSettings {
        min_partial_share: 0.5,
        ..class()
    };
    let mut driver = Driver::new(settings(partial), &[replica(1)]);
    let sent = sends(&driver.query(1, &[0, 0], 3.0));
    driver.end_attempt(sent[0].0, 0, sent[0].1, 0.05, OK);
    assert!(driver.advance(0.9).is_empty());
    assert!(driver.advance(0.1).contains(&Action::Answer {
        query: QueryId(1),
        is_complete: false
    }));
}

#[test]
fn a_second_step_is_fetched_and_answered() {
    let steps = ClassSettings {
        second_step_parts: 2,
        min_partial_share: 0.4,
        ..class()
    };
    let mut driver = Driver::new(settings(steps), &fleet(8));
    for (part, replica) in sends(&driver.query(1, &[0, 1, 2], 3.0)) {
        driver.end_attempt(part, 0, replica, 0.05, OK);
    }
    let first = Action::Answer {
        query: QueryId(1),
        is_complete: true,
    };
    assert_eq!(
        driver
            .actions
            .iter()
            .filter(|action| **action == first)
            .count(),
        1
    );
    let mut second = sends(&driver.part(110, 1, 0, 0.5));
    second.extend(sends(&driver.part(111, 1, 1, 0.5)));
    assert_eq!(second.len(), 2);
    for (part, replica) in second {
        driver.end_attempt(part, 0, replica, 0.05, OK);
    }
    assert_eq!(
        driver
            .actions
            .iter()
            .filter(|action| **action == first)
            .count(),
        2
    );
}

/// Found at full size: one congested set, of which each aggregator gets an answer once in seconds, rejected wide queries
/// whole though these may be answered in part.
#[test]
fn a_query_with_partial_answers_goes_without_the_parts_it_cannot_pay() {
    let partial = ClassSettings {
        min_partial_share: 0.8,
        ..class()
    };
    let cells = Settings {
        cells: 10,
        ..settings(partial)
    };
    let entries = one_replica_per_cell(10);
    let mut driver = Driver::new(cells, &entries);
    for id in 1..60 {
        driver.round_trip(id, id % 10, 0.05);
    }
    (60..70).for_each(|id| drop(driver.round_trip(id, 3, 0.95)));
    let (mut in_part, mut whole_rejections) = (0, 0);
    for id in 100..120 {
        let sent = sends(&driver.query(id, &[0, 1, 2, 3, 4], 3.0));
        let took = |at: &ReplicaId| if at.0 == 4 { 0.95 } else { 0.01 };
        let last = sent
            .iter()
            .map(|(part, at)| driver.end_attempt(*part, 0, *at, took(at), OK))
            .last();
        let answer = [Action::Answer {
            query: QueryId(id),
            is_complete: false,
        }];
        in_part += usize::from(sent.len() == 4 && last.is_some_and(|last| last == answer));
        whole_rejections += usize::from(is_rejected(&driver.query(200 + id, &[2, 3], 3.0)));
    }
    assert!(
        in_part > 12,
        "{in_part} of 20 without the congested part, answered as soon as the rest is in"
    );
    assert!(
        whole_rejections > 12,
        "{whole_rejections} of 20 where that is under the floor"
    );
}

/// Found in a trace: one part that could no longer come made a query answer at its floor, giving up parts in flight.
#[test]
fn a_partial_answer_waits_for_parts_in_flight() {
    let partial = ClassSettings {
        min_partial_share: 0.5,
        ..class()
    };
    let mut driver = Driver::new(
        Settings {
            max_attempts: 1,
            ..settings(partial)
        },
        &fleet(10),
    );
    let sent = sends(&driver.query(1, &[0, 0, 0, 0], 3.0));
    driver.end_attempt(sent[0].0, 0, sent[0].1, 0.05, Outcome::Error);
    driver.end_attempt(sent[1].0, 0, sent[1].1, 0.05, OK);
    assert!(
        driver
            .end_attempt(sent[2].0, 0, sent[2].1, 0.05, OK)
            .is_empty(),
        "one is still in flight"
    );
    let out = driver.end_attempt(sent[3].0, 0, sent[3].1, 0.05, OK);
    assert_eq!(
        out,
        [Action::Answer {
            query: QueryId(1),
            is_complete: false
        }]
    );
}
