use super::{Backlog, Work};

/// A source that is queued again after its turn must not come before those that have waited.
#[test]
fn sources_take_turns_in_the_order_in_which_they_were_queued() {
    let mut backlog = Backlog::default();
    let (first, second) = (Work::AcceptPeers, Work::Vrrp);
    for work in [first, second, first] {
        backlog.push(work);
    }
    assert_eq!(backlog.len(), 2, "a source is queued once");
    assert_eq!(backlog.pop(), Some(first));
    backlog.push(first);
    assert!(backlog.contains(first));
    assert_eq!(
        [backlog.pop(), backlog.pop(), backlog.pop()],
        [Some(second), Some(first), None]
    );
    assert!(backlog.is_empty());
    backlog.push(first);
    backlog.push_first(second);
    backlog.push_first(first);
    assert_eq!(
        [backlog.pop_first(), backlog.pop_first()],
        [Some(second), None]
    );
    assert_eq!(backlog.pop(), Some(first), "a source keeps its place");
}
