//! Tests of the detection of crash-inducing queries.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

/// Guards against a failure seen in scenarios with crash-inducing queries: a query whose parts crash each replica that
/// starts to execute one was sent to the next holders, and so were its repeats.
#[test]
fn a_query_that_crashes_replicas_fails_and_its_repeat_is_rejected() {
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
        "after a reset one part of the query is sent first"
    );
    let out = driver.end_attempt(again[0].0, 1, again[0].1, 0.001, Outcome::Reset);
    assert!(
        is_failed(&out),
        "the second reset shows that the query is crash-inducing: {out:?}"
    );
    assert!(sends(&driver.advance(1.0)).is_empty());
    assert!(
        is_rejected(&driver.query_with_class(0, 501, &[0, 1, 2], 2.9, true)),
        "the repeat of the crash-inducing query"
    );
    assert!(
        !is_rejected(&driver.query_with_class(0, 502, &[2, 3, 4], 2.9, true)),
        "the repeat of another query"
    );
    driver.advance(31.0);
    assert!(
        !is_rejected(&driver.query(503, &[0, 1, 2], 3.0)),
        "the record of the query expires"
    );
}

/// Lets a query of one part become known as crash-inducing: the connection is reset under its first attempt and under its
/// retry.
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

/// Guards against a failure seen with the testbed's site szeged while capacity was lost: for 30 s after replicas had crashed every
/// query waited for its first answer, for up to half a median latency, and its parts were sent in two calls.
#[test]
fn a_first_reset_under_one_query_does_not_delay_other_queries() {
    let mut driver = warm_fleet(settings(class()));
    let sent = sends(&driver.query(500, &[0, 1, 2], 3.0));
    driver.end_attempt(sent[0].0, 0, sent[0].1, 0.001, Outcome::Reset);
    assert_eq!(sends(&driver.query(501, &[0, 1, 2], 3.0)).len(), 3);
    assert_eq!(
        sends(&driver.query(502, &[0; 8], 3.0)).len(),
        8,
        "a query of many parts is not delayed either"
    );
}

/// Once a crash-inducing query is known, one part of each query is sent first as a probe, so that the next crash-inducing query
/// of three parts crashes one replica at first and not three.
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
        "an answered part shows that the query is harmless"
    );
    let slow = sends(&driver.query(502, &[0, 1, 2], 3.0));
    assert_eq!(
        sends(&driver.advance(0.3)).len(),
        3 - slow.len(),
        "a slow probe does not hold back the other parts"
    );
    driver.advance(31.0);
    assert_eq!(
        sends(&driver.query(503, &[0, 1, 2], 3.0)).len(),
        3,
        "queries are no longer probed"
    );
}

/// When many replicas crash at once, parts of harmless queries are reset too, and these queries must continue.
#[test]
fn a_simultaneous_crash_of_replicas_marks_no_query_as_crash_inducing() {
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
    assert_eq!(again.len(), 1, "one part is sent first");
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

/// Guards against a failure seen in a full-size deployment: a probed query of a hundred parts sent one part per half a median
/// latency.
#[test]
fn a_slow_probe_releases_all_parts_at_once() {
    let mut driver = warm_fleet(settings(class()));
    record_crash_inducing_query(&mut driver);
    assert_eq!(sends(&driver.query(501, &[0; 8], 3.0)).len(), 1);
    let rest = sends(&driver.advance(0.06));
    assert_eq!(rest.len(), 7, "{rest:?}");
}
