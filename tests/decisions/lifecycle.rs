//! Endpoint lists, settings, and queries that end oddly.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

#[test]
fn endpoint_lists_are_polled_and_polled_again_after_failures() {
    let mut polling = settings(class());
    polling.must_poll = true;
    let mut driver = Driver::new(polling, &[replica(1)]);
    assert!(driver.advance(0.1).contains(&Action::Watch));
    driver.actions.clear();
    for _ in 0..6 {
        assert!(
            !driver.event(Event::ListFailed).contains(&Action::Watch),
            "not without a wait"
        );
        assert_eq!(driver.advance(6.1), [Action::Watch]);
    }
}

#[test]
fn odd_input_ends_in_one_final_answer_or_is_ignored() {
    let mut driver = Driver::new(settings(class()), &[]);
    assert!(
        is_rejected(&driver.query(1, &[0], 3.0)),
        "no replica at all"
    );
    assert!(is_rejected(&driver.query(2, &[], 3.0)), "no parts");
    assert!(is_rejected(&driver.query(3, &[0], 0.0)), "no time");
    assert!(
        is_rejected(&driver.query_with_class(9, 4, &[0], 3.0, false)),
        "no such class"
    );
    assert!(
        is_rejected(&driver.query(5, &[0], f64::NAN)),
        "no plausible deadline"
    );
    driver.list(true, &[replica(1)]);
    assert!(driver
        .event(Event::ClientDisconnected(QueryId(77)))
        .is_empty());
    assert!(driver
        .end_attempt(7777, 0, ReplicaId(5), f64::NAN, OK)
        .is_empty());
    assert!(driver.part(888, 888, 0, 1.0).is_empty());
    let (part, at) = sends(&driver.query(6, &[0], 3.0))[0];
    assert!(
        driver.end_attempt(part, 9, at, 0.1, OK).is_empty(),
        "no such attempt"
    );
    assert_eq!(driver.end_attempt(part, 0, at, -1.0, OK).len(), 1);
    assert!(
        driver.end_attempt(part, 0, at, 0.1, OK).is_empty(),
        "a second outcome changes nothing"
    );
}

/// A query of more parts than arrive still ends before its client's time.
#[test]
fn a_query_whose_parts_never_come_is_rejected_in_time() {
    let mut driver = Driver::new(settings(class()), &[replica(1)]);
    let query = NewQuery {
        id: QueryId(1),
        number: 1,
        parts: 3,
        deadline: driver.now + 0.5,
        ..NewQuery::default()
    };
    driver.event(Event::Query(query));
    assert!(is_rejected(&driver.advance(0.5)));
}

/// Other settings may have more cells: which replicas hold a shard changes at once, and not with the next endpoint list only.
#[test]
fn other_settings_move_replicas_to_their_cells_at_once() {
    let mut driver = Driver::new(
        settings(class()),
        &[
            ReplicaEntry {
                cell: 1,
                ..replica(1)
            },
            replica(2),
        ],
    );
    assert_eq!(sends(&driver.query(1, &[1], 3.0)), [(100, ReplicaId(2))]);
    let settings = Settings {
        cells: 2,
        ..settings(class())
    };
    driver.event(Event::Settings {
        settings: Box::new(settings),
        classes: [Some(0)].into(),
        tenants: [].into(),
    });
    assert_eq!(sends(&driver.query(2, &[1], 3.0)), [(200, ReplicaId(1))]);
}

/// A driver of two classes, the second not idempotent, of which one replica was ejected for a reset connection.
fn driver_with_ejected_replica() -> Driver {
    let non_idempotent = ClassSettings {
        effect: Effect::NonIdempotent,
        ..class()
    };
    let two = Settings {
        classes: vec![class(), non_idempotent],
        ..settings(class())
    };
    let mut driver = Driver::new(two, &[replica(1), replica(2)]);
    for (id, index) in [(1, 0), (2, 0), (3, 0), (4, 1), (5, 1), (6, 1)] {
        for (part, to) in sends(&driver.query_with_class(index, id, &[0], 3.0, false)) {
            let is_reset = to == ReplicaId(1);
            let outcome = if is_reset { Outcome::Reset } else { OK };
            driver.end_attempt(part, 0, to, 0.05, outcome);
        }
    }
    assert_eq!(
        driver.aggregator.unavailable_replicas(),
        1,
        "a reset connection ejects a replica"
    );
    driver
}

/// After other settings a class is known by its former place, open queries keep their class and their limit on attempts, and
/// a replica that was avoided still is.
#[test]
fn other_settings_keep_statistics_and_open_queries() {
    let mut driver = driver_with_ejected_replica();
    let open = sends(&driver.query_with_class(1, 7, &[0], 3.0, false));
    assert_eq!(open.len(), 1);
    // The classes change places, and the one that was not idempotent is so from now on.
    let settings = Settings {
        classes: vec![class(), class()],
        max_attempts: 2,
        ..settings(class())
    };
    driver.event(Event::Settings {
        settings: Box::new(settings),
        classes: [Some(1), Some(0)].into(),
        tenants: [].into(),
    });
    assert_eq!(
        driver.aggregator.unavailable_replicas(),
        1,
        "the ejection is forgotten"
    );
    let out = driver.end_attempt(open[0].0, 0, open[0].1, 0.05, Outcome::Error);
    assert!(
        is_failed(&out) && sends(&out).is_empty(),
        "an open query lost its class: {out:?}"
    );
    let new = sends(&driver.query_with_class(0, 8, &[0], 3.0, false));
    let again = driver.end_attempt(new[0].0, 0, new[0].1, 0.05, Outcome::Error);
    assert_eq!(
        sends(&again).len(),
        1,
        "a new query does not have the new class: {again:?}"
    );
    let over = driver.end_attempt(new[0].0, 1, sends(&again)[0].1, 0.05, Outcome::Error);
    assert!(
        is_rejected(&over) && sends(&over).is_empty(),
        "two attempts are allowed: {over:?}"
    );
}
