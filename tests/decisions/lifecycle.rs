//! Tests of endpoint lists, changes of settings, invalid input and queries with missing parts.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

#[test]
fn endpoint_lists_are_polled_and_polled_again_after_failures() {
    let mut settings = settings(class());
    settings.must_poll = true;
    let mut driver = Driver::new(settings, &[replica(1)]);
    assert!(driver.advance(0.1).contains(&Action::Watch));
    driver.actions.clear();
    for _ in 0..6 {
        assert!(
            !driver.event(Event::ListFailed).contains(&Action::Watch),
            "the list is not polled again at once"
        );
        assert_eq!(driver.advance(6.1), [Action::Watch]);
    }
}

#[test]
fn invalid_input_gets_one_final_answer_or_is_ignored() {
    let mut driver = Driver::new(settings(class()), &[]);
    assert!(
        is_rejected(&driver.query(1, &[0], 3.0)),
        "there is no replica"
    );
    assert!(
        is_rejected(&driver.query(2, &[], 3.0)),
        "the query has no parts"
    );
    assert!(
        is_rejected(&driver.query(3, &[0], 0.0)),
        "the deadline is now"
    );
    assert!(
        is_rejected(&driver.query_with_class(9, 4, &[0], 3.0, false)),
        "the class does not exist"
    );
    assert!(
        is_rejected(&driver.query(5, &[0], f64::NAN)),
        "the deadline is not a number"
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
        "the attempt does not exist"
    );
    assert_eq!(driver.end_attempt(part, 0, at, -1.0, OK).len(), 1);
    assert!(
        driver.end_attempt(part, 0, at, 0.1, OK).is_empty(),
        "a second outcome changes nothing"
    );
}

/// A query of which not all parts arrive still ends by its deadline.
#[test]
fn a_query_whose_parts_never_arrive_is_rejected_in_time() {
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

/// New settings may have another number of cells. The holders of each shard then change at once, and not only with the next
/// endpoint list.
#[test]
fn new_settings_change_the_holders_of_shards_at_once() {
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

/// Returns a driver with two classes, the second not idempotent, and with one replica ejected for a reset connection.
fn driver_with_ejected_replica() -> Driver {
    let non_idempotent = ClassSettings {
        effect: Effect::NonIdempotent,
        ..class()
    };
    let settings = Settings {
        classes: vec![class(), non_idempotent],
        ..settings(class())
    };
    let mut driver = Driver::new(settings, &[replica(1), replica(2)]);
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

/// New settings give the former index of each class. Open queries keep the settings of their class, and an ejected replica
/// stays ejected.
#[test]
fn new_settings_keep_statistics_and_open_queries() {
    let mut driver = driver_with_ejected_replica();
    let open = sends(&driver.query_with_class(1, 7, &[0], 3.0, false));
    assert_eq!(open.len(), 1);
    // The classes exchange their indices, and the one that was not idempotent is idempotent from now on.
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
        "the ejection is lost"
    );
    let out = driver.end_attempt(open[0].0, 0, open[0].1, 0.05, Outcome::Error);
    assert!(
        is_failed(&out) && sends(&out).is_empty(),
        "an open query no longer has its class: {out:?}"
    );
    let new = sends(&driver.query_with_class(0, 8, &[0], 3.0, false));
    let again = driver.end_attempt(new[0].0, 0, new[0].1, 0.05, Outcome::Error);
    assert_eq!(
        sends(&again).len(),
        1,
        "a new query does not have the new class: {again:?}"
    );
    let last = driver.end_attempt(new[0].0, 1, sends(&again)[0].1, 0.05, Outcome::Error);
    assert!(
        is_rejected(&last) && sends(&last).is_empty(),
        "two attempts are allowed: {last:?}"
    );
}
