//! Tests of partial answers, spares and second steps.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

#[test]
fn parts_that_a_complete_answer_does_not_need_are_spares() {
    let class_with_spares = ClassSettings {
        complete_share: 0.67,
        min_partial_share: 0.67,
        ..class()
    };
    let mut driver = Driver::new(settings(class_with_spares), &fleet(20));
    let sent = sends(&driver.query(1, &[0; 9], 3.0));
    assert_eq!(sent.len(), 7);
    for (part, replica) in &sent[..6] {
        driver.end_attempt(*part, 0, *replica, 0.05, OK);
    }
    let spare = sends(&driver.advance(0.5));
    assert!(
        !sent.iter().any(|(part, _)| *part == spare[0].0),
        "a spare is sent, not a hedged request"
    );
    let out = driver.end_attempt(spare[0].0, 0, spare[0].1, 0.05, OK);
    assert!(out.contains(&Action::Answer {
        query: QueryId(1),
        is_complete: true
    }));
}

#[test]
fn a_partial_answer_is_given_just_before_the_objective_and_is_not_complete() {
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
fn a_second_step_is_sent_and_answered() {
    let steps = ClassSettings {
        second_step_parts: 2,
        min_partial_share: 0.4,
        ..class()
    };
    let mut driver = Driver::new(settings(steps), &fleet(8));
    for (part, replica) in sends(&driver.query(1, &[0, 1, 2], 3.0)) {
        driver.end_attempt(part, 0, replica, 0.05, OK);
    }
    let answer = Action::Answer {
        query: QueryId(1),
        is_complete: true,
    };
    assert_eq!(
        driver
            .actions
            .iter()
            .filter(|action| **action == answer)
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
            .filter(|action| **action == answer)
            .count(),
        2
    );
}

/// Guards against a failure seen in a full-size deployment: one congested set of replicas, from which each aggregator got an
/// answer only every few seconds, caused the rejection of queries with many parts although these may be answered in part.
#[test]
fn a_query_that_may_be_answered_in_part_is_sent_without_the_parts_that_it_cannot_afford() {
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
    let (mut partial_answers, mut whole_rejections) = (0, 0);
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
        partial_answers += usize::from(sent.len() == 4 && last.is_some_and(|last| last == answer));
        whole_rejections += usize::from(is_rejected(&driver.query(200 + id, &[2, 3], 3.0)));
    }
    assert!(
        partial_answers > 12,
        "{partial_answers} of 20 sent without the congested part and answered as soon as the other parts were"
    );
    assert!(
        whole_rejections > 12,
        "{whole_rejections} of 20 rejected where the affordable parts are less than the least partial share"
    );
}

/// Guards against a failure seen in a trace: once one part could no longer be answered, the query was answered at the least
/// partial share, and its parts in flight were abandoned.
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
        "one part is still in flight"
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
