use super::{RecentRequests, RequestEnd, MAX_IDS};

#[test]
fn ids_expire_and_their_number_is_bounded() {
    let mut recent = RecentRequests::default();
    recent.insert(0.0, "left", 60.0, RequestEnd::ClientLeft);
    recent.insert(0.0, "short", 0.1, RequestEnd::Answered);
    assert!(recent.contains(2.9, "short") && !recent.contains(3.1, "short"));
    assert!(recent.contains(9.9, "left") && !recent.contains(10.1, "left"));
    for number in 0..2 * MAX_IDS {
        recent.insert(1.0, &number.to_string(), 3.0, RequestEnd::Answered);
    }
    assert_eq!(recent.ids().count(), MAX_IDS + 1);
    assert!(
        recent.contains(1.0, "left"),
        "answered requests make room for others, not for these"
    );
    for number in 0..MAX_IDS - 1 {
        assert!(!recent.is_full());
        recent.insert(1.0, &format!("left-{number}"), 3.0, RequestEnd::ClientLeft);
    }
    assert!(recent.is_full());
    recent.remove_expired(30.0);
    assert!(!recent.is_full() && recent.ids().next().is_none());
}
