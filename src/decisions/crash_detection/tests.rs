//! Tests of how long crash-inducing queries are remembered, and which queries are rejected in that time.

use super::*;

#[test]
fn retries_are_rejected_after_one_crash_inducing_query_and_first_requests_after_two() {
    let mut queries = CrashInducingQueries::new(0.0);
    assert!(!queries.has_recent_crash(0.0));
    queries.record(1.0, &"q", false);
    assert!(queries.is_rejected(2.0, &"q", true) && !queries.is_rejected(2.0, &"q", false));
    assert!(!queries.is_rejected(2.0, &"other", true) && queries.has_recent_crash(2.0));
    queries.record(2.0, &"q", false);
    assert!(queries.is_rejected(3.0, &"q", false));
    let over = 2.0 + RETENTION_S;
    assert!(!queries.is_rejected(over, &"q", true) && !queries.has_recent_crash(over));
}

#[test]
fn expired_records_are_dropped_when_the_next_one_is_added() {
    let mut queries = CrashInducingQueries::new(0.0);
    (0..100).for_each(|query| queries.record(1.0, &query, true));
    queries.record(1.0 + RETENTION_S, &200, true);
    assert_eq!(queries.by_fingerprint.len(), 1);
}
