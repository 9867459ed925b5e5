//! Tests of connections.rs that need its privates.

use super::*;

/// Found in a fleet of 300: with room for 160 of 179 boxes each mixer ended 60 connections that it needed again.
#[test]
fn each_box_that_is_listed_has_room_for_a_connection() {
    for (usable, boxes) in [(480, 179), (350, 200), (1000, 200)] {
        let (clients, leaves) = shares(usable, boxes);
        assert!(leaves >= boxes && clients >= usable / 3, "{usable}, {boxes}: {clients}, {leaves}");
        assert_eq!(clients + leaves, usable);
    }
}

#[test]
fn neither_clients_nor_boxes_take_all() {
    for boxes in [0, 3, 5000, usize::MAX] {
        let (clients, leaves) = shares(480, boxes);
        assert!(clients >= 160 && leaves >= 160 && clients + leaves == 480, "{boxes}: {clients}, {leaves}");
    }
    assert!(shares(8, 200).1 >= 4);
}

/// Found in a fleet of 100 mixers: at 75 ms of silence each opened another connection to boxes that were slow.
#[test]
fn what_is_as_late_as_nearly_all_is_not_doubted() {
    assert!(doubt_s(0.3, 0.6) > 0.6);
    assert!(doubt_s(0.3, 0.6) < 1.2, "a connection that is lost is noticed all the same");
}

#[test]
fn where_answers_are_swift_or_unknown_the_aim_decides() {
    assert_eq!(doubt_s(0.4, 0.01), 0.1);
    assert_eq!(doubt_s(0.4, f64::INFINITY), 0.1);
}

/// A box for a thousand connections has room for all mixers; few mixers may use more of it.
#[test]
fn all_mixers_together_leave_a_box_room() {
    assert_eq!(most(2), 8);
    for mixers in [25, 48, 100, 300] {
        assert!(most(mixers) * mixers as usize <= 600, "{mixers}: {}", most(mixers));
        assert!(most(mixers) >= 2, "one may be doubted");
    }
    assert_eq!(most(0), 8);
}
