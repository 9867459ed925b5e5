//! Tests of the congestion price after queries with and without an answer.

use super::*;

/// A mixer that receives one query per second must react to one failed query, because it sees too few answers of any
/// replica.
#[test]
fn a_lost_query_sets_the_highest_price_which_falls_with_time() {
    let mut congestion = Congestion::new(9.5);
    congestion.query_unanswered(5.0, 1.0, 0.1);
    assert_eq!(
        congestion.price(5.0, 1.0),
        0.0,
        "few rejected parts do not show congestion"
    );
    congestion.query_unanswered(5.0, 1.0, 0.5);
    assert_eq!(
        congestion.price(5.0, 1.0),
        9.5,
        "the price is the highest one, which some queries always exceed"
    );
    assert!(
        congestion.price(7.0, 1.0) < 9.0 && congestion.price(7.0, 2.0) > congestion.price(7.0, 1.0),
        "the price falls faster with a shorter latency objective"
    );
    assert_eq!(congestion.price(60.0, 1.0), 0.0);
    assert_eq!(
        congestion.price(4.0, 1.0),
        9.5,
        "an earlier time does not change the price"
    );
}

#[test]
fn a_few_answers_lower_the_price_to_zero() {
    let mut congestion = Congestion::new(9.5);
    congestion.query_unanswered(5.0, 1.0, 0.5);
    (0..4).for_each(|_| congestion.query_answered(5.0, 1.0));
    assert_eq!(congestion.price(5.0, 1.0), 0.0);
    congestion.query_answered(5.0, 1.0);
    assert_eq!(
        congestion.price(5.0, 1.0),
        0.0,
        "the price does not fall below 0"
    );
}
