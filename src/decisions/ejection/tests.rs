//! Tests of ejections, probe intervals and the return of a replica.

use super::*;

#[test]
fn each_change_of_an_ejection_is_reported_once() {
    let mut ejection = Ejection::default();
    assert!(
        !ejection.count_failure(1.0, 1.0, 1) && !ejection.count_failure(1.1, 1.0, 1),
        "two failures do not eject"
    );
    assert!(
        ejection.count_failure(1.2, 1.0, 1)
            && ejection.next_probe_at == Some(1.2 + FIRST_PROBE_OBJECTIVES)
    );
    assert!(
        !ejection.count_failure(2.0, 1.0, 3),
        "the ejection has already been reported"
    );
    assert_eq!(
        ejection.next_probe_at,
        Some(2.0 + 2.0 * FIRST_PROBE_OBJECTIVES),
        "the probe interval doubles"
    );
    assert!(
        !ejection.count_success() && ejection.count_success(),
        "the second served probe ends the ejection"
    );
    assert!(
        ejection.next_probe_at.is_none() && !ejection.count_success(),
        "the end of the ejection has already been reported"
    );
}

#[test]
fn probe_intervals_are_bounded() {
    let mut ejection = Ejection::default();
    for _ in 0..20 {
        ejection.count_failure(5.0, 1.0, FAILURES_TO_EJECT);
    }
    assert_eq!(ejection.next_probe_at, Some(5.0 + MAX_PROBE_INTERVAL_S));
}
