//! Tests of the latency prediction.

use super::*;

/// Guards against rejections that go on for one latency after the queue has drained, because the answers still show the
/// queue.
#[test]
fn latency_prediction_follows_the_attempts_in_flight() {
    let mut estimate = ServiceTimeEstimate::default();
    estimate.add_answer(1.0, 0.1, 0, 1.2);
    let last = (0..20).map(|_| estimate.attempt_sent()).last();
    assert_eq!(last, Some(19));
    (1..40).for_each(|step| estimate.add_answer(1.0 + f64::from(step) * 0.2, 0.9, 20, 1.2));
    assert!(
        (estimate.predict(0.9, 1.0) - 0.9).abs() < 0.1,
        "the queue is unchanged, with as many attempts in flight as before: {}",
        estimate.predict(0.9, 1.0)
    );
    (0..20).for_each(|_| estimate.attempt_ended());
    assert!(
        estimate.predict(0.9, 1.0) < 0.4,
        "{}",
        estimate.predict(0.9, 1.0)
    );
    assert_eq!((0..90).map(|_| estimate.attempt_sent()).last(), Some(89));
    assert!(
        estimate.predict(0.9, 1.0) > 1.5,
        "{}",
        estimate.predict(0.9, 1.0)
    );
    assert!(
        estimate.predict(0.9, 1.0) <= 1.8,
        "the prediction is at most twice the observed latency"
    );
    assert_eq!(
        estimate.predict(0.05, 1.0),
        0.05,
        "the prediction for a replica without a queue is unchanged"
    );
    // In a fleet of 300 mixers, each had about ten parts in flight, and a prediction from the random variation of that
    // number rejected queries: the result without faults fell from 0.57 to 0.37.
    assert!((estimate.predict(0.9, 0.01) - 0.9).abs() < 0.01);
}
