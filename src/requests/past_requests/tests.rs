use super::{PastRequests, RequestEnd, MAX_IDS};

#[test]
fn ids_expire_and_their_number_is_bounded() {
    let mut past = PastRequests::default();
    past.insert(0.0, "left", 60.0, RequestEnd::ClientLeft);
    past.insert(0.0, "short", 0.1, RequestEnd::Answered);
    assert!(past.contains(2.9, "short") && !past.contains(3.1, "short"));
    assert!(past.contains(9.9, "left") && !past.contains(10.1, "left"));
    for number in 0..2 * MAX_IDS {
        past.insert(1.0, &number.to_string(), 3.0, RequestEnd::Answered);
    }
    assert_eq!(past.ids().count(), MAX_IDS + 1);
    assert!(
        past.contains(1.0, "left"),
        "answered requests make room for others, not for these"
    );
    for number in 0..MAX_IDS - 1 {
        assert!(!past.is_full());
        past.insert(1.0, &format!("left-{number}"), 3.0, RequestEnd::ClientLeft);
    }
    assert!(past.is_full());
    past.remove_expired(30.0);
    assert!(!past.is_full() && past.ids().next().is_none());
}
