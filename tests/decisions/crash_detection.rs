//! Crash-inducing queries.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

/// Found on days with crash-inducing queries: a query whose parts take down each replica that begins one was carried on to
/// the next holders, and its repeats did it again.
#[test]
fn a_query_that_takes_replicas_down_is_ended_and_its_repeat_rejected() {
    let mut driver = warm_fleet(settings(class()));
    let sent = sends(&driver.query(500, &[0, 1, 2], 3.0));
    let mut again = Vec::new();
    driver.advance(0.001);
    for (part, replica) in &sent {
        again.extend(sends(&driver.end_attempt(
            *part,
            0,
            *replica,
            0.001,
            Outcome::Reset,
        )));
    }
    assert_eq!(
        again.len(),
        1,
        "a suspected query goes on by one part at a time"
    );
    let out = driver.end_attempt(again[0].0, 1, again[0].1, 0.001, Outcome::Reset);
    assert!(is_failed(&out), "known as crash-inducing: {out:?}");
    assert!(sends(&driver.advance(1.0)).is_empty());
    assert!(
        is_rejected(&driver.query_with_class(0, 501, &[0, 1, 2], 2.9, true)),
        "its repeat"
    );
    assert!(
        !is_rejected(&driver.query_with_class(0, 502, &[2, 3, 4], 2.9, true)),
        "another one's repeat"
    );
    driver.advance(31.0);
    assert!(
        !is_rejected(&driver.query(503, &[0, 1, 2], 3.0)),
        "it is not remembered for ever"
    );
}

/// A query of one part becomes known as crash-inducing: its connection is reset, and again where it is retried.
fn record_crash_inducing_query(driver: &mut Driver) {
    let (part, at) = sends(&driver.query(500, &[0], 3.0))[0];
    let again = sends(&driver.end_attempt(part, 0, at, 0.001, Outcome::Reset));
    assert!(is_failed(&driver.end_attempt(
        part,
        1,
        again[0].1,
        0.001,
        Outcome::Reset
    )));
}

/// Found at Szeged with capacity lost: for 30 s after replicas died every query waited for a first answer, half a median
/// latency long, and its parts went out in two calls.
#[test]
fn replicas_that_crash_hold_no_other_query_back() {
    let mut driver = warm_fleet(settings(class()));
    let sent = sends(&driver.query(500, &[0, 1, 2], 3.0));
    driver.end_attempt(sent[0].0, 0, sent[0].1, 0.001, Outcome::Reset);
    assert_eq!(sends(&driver.query(501, &[0, 1, 2], 3.0)).len(), 3);
    assert_eq!(
        sends(&driver.query(502, &[0; 8], 3.0)).len(),
        8,
        "nor is a wide one held back"
    );
}

/// Once a crash-inducing query is known, one part of each query probes it: the next one takes down one replica, not three.
#[test]
fn after_a_crash_inducing_query_each_query_is_probed_by_one_part() {
    let mut driver = warm_fleet(settings(class()));
    record_crash_inducing_query(&mut driver);
    let probe = sends(&driver.query(501, &[0, 1, 2], 3.0));
    assert_eq!(probe.len(), 1);
    let rest = sends(&driver.end_attempt(probe[0].0, 0, probe[0].1, 0.05, OK));
    assert_eq!(
        rest.len(),
        2,
        "an answered part shows that its query is harmless"
    );
    let slow = sends(&driver.query(502, &[0, 1, 2], 3.0));
    assert_eq!(
        sends(&driver.advance(0.3)).len(),
        3 - slow.len(),
        "a slow probe does not hold the others up"
    );
    driver.advance(31.0);
    assert_eq!(
        sends(&driver.query(503, &[0, 1, 2], 3.0)).len(),
        3,
        "the caution ends"
    );
}

/// A mass crash resets the parts of harmless queries, which must go on.
#[test]
fn a_mass_crash_makes_no_query_crash_inducing() {
    let mut driver = warm_fleet(settings(class()));
    let sent = sends(&driver.query(500, &[0, 1, 2, 3], 3.0));
    driver.advance(0.03);
    let mut again = Vec::new();
    for (part, replica) in &sent {
        again.extend(sends(&driver.end_attempt(
            *part,
            0,
            *replica,
            0.03,
            Outcome::Reset,
        )));
    }
    assert_eq!(again.len(), 1, "one part goes ahead");
    driver.advance(0.01);
    for (part, replica) in sends(&driver.end_attempt(again[0].0, 1, again[0].1, 0.01, OK)) {
        driver.end_attempt(part, 1, replica, 0.05, OK);
    }
    assert!(driver.actions.contains(&Action::Answer {
        query: QueryId(500),
        is_complete: true
    }));
    assert!(!is_rejected(&driver.query_with_class(
        0,
        501,
        &[0, 1, 2, 3],
        2.9,
        true
    )));
}

/// Found at full size: a probed query of a hundred parts sent one of them each half a latency.
#[test]
fn a_slow_probe_releases_all_parts_at_once() {
    let mut driver = warm_fleet(settings(class()));
    record_crash_inducing_query(&mut driver);
    assert_eq!(sends(&driver.query(501, &[0; 8], 3.0)).len(), 1);
    let rest = sends(&driver.advance(0.06));
    assert_eq!(rest.len(), 7, "{rest:?}");
}
