//! Unit tests of backoff.rs.

use super::*;

#[test]
fn delays_double_up_to_a_minute_and_are_reset_by_a_success() {
    let mut backoff = Backoff::default();
    assert_eq!(backoff.blocked_until(0.0), None);
    let delays: Vec<f64> = (0..9).map(|_| backoff.failed(100.0)).collect();
    assert_eq!(delays, [1.0, 2.0, 4.0, 8.0, 16.0, 32.0, 60.0, 60.0, 60.0]);
    assert_eq!(backoff.blocked_until(130.0), Some(160.0));
    assert_eq!(backoff.blocked_until(160.0), None);
    for _ in 0..100_000 {
        assert!(backoff.failed(0.0) <= MAX_DELAY_S);
    }
    backoff.succeeded();
    assert_eq!(
        (backoff.blocked_until(0.0), backoff.failed(0.0)),
        (None, FIRST_DELAY_S)
    );
}
