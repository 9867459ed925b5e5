//! The price of congestion after queries that were lost or answered.

use super::*;

/// For a mixer that gets one query in a second, one lost query shows more than the readings of any replica.
#[test]
fn a_query_lost_asks_nearly_all_and_falls_by_itself() {
    let mut congestion = Congestion::new(9.5);
    congestion.query_unanswered(5.0, 1.0, 0.1);
    assert_eq!(
        congestion.price(5.0, 1.0),
        0.0,
        "few parts rejected are no congestion"
    );
    congestion.query_unanswered(5.0, 1.0, 0.5);
    assert_eq!(congestion.price(5.0, 1.0), 9.5, "some always pass");
    assert!(
        congestion.price(7.0, 1.0) < 9.0 && congestion.price(7.0, 2.0) > congestion.price(7.0, 1.0),
        "by the latency target"
    );
    assert_eq!(congestion.price(60.0, 1.0), 0.0);
    assert_eq!(congestion.price(4.0, 1.0), 9.5, "time never runs back");
}

#[test]
fn a_few_answers_end_it() {
    let mut congestion = Congestion::new(9.5);
    congestion.query_unanswered(5.0, 1.0, 0.5);
    (0..4).for_each(|_| congestion.query_answered(5.0, 1.0));
    assert_eq!(congestion.price(5.0, 1.0), 0.0);
    congestion.query_answered(5.0, 1.0);
    assert_eq!(congestion.price(5.0, 1.0), 0.0, "nothing is saved up");
}
