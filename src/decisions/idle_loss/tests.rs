//! Tests of when idle connections are assumed to be dropped.

use super::*;

#[test]
fn idle_connections_are_replaced_after_many_losses_and_an_answer_on_a_new_connection() {
    let mut losses = IdleLosses::new(0.0);
    assert!(
        !losses.part_lost(0.1),
        "a connection used 0.1 s ago is not idle"
    );
    losses.part_served(1.0, 0.0, Some(6.0));
    assert!(!losses.is_likely_lost(1.0, 60.0), "no loss was recorded");
    assert!(losses.part_lost(6.0) && losses.part_lost(9.0));
    losses.part_served(2.0, 0.5, Some(6.0));
    assert!(
        !losses.is_likely_lost(2.0, 60.0),
        "the part was served on an idle connection"
    );
    assert!(losses.part_lost(9.0));
    losses.part_served(3.0, 0.0, Some(9.0));
    losses.part_served(3.0, 0.0, Some(6.0));
    assert!(losses.is_likely_lost(4.0, 4.9) && !losses.is_likely_lost(4.0, 4.7));
    assert!(
        !losses.is_likely_lost(3.0 + LOSSES_EXPECTED_FOR_S, 60.0),
        "losses are expected only for a limited time"
    );
}
