//! Unit tests of capacity.rs.

use super::*;

fn capacity(max_connections: usize, shares: &[f64]) -> Capacity {
    Capacity::new(IdleSettings {
        max_connections,
        shares: shares.to_vec(),
        ..IdleSettings::default()
    })
}

fn fill(capacity: &mut Capacity, group: usize, count: usize) {
    for _ in 0..count {
        capacity.opened(group);
        capacity.set_idle(group, true);
    }
}

/// A group may use connections that other groups do not use, until the other groups need their shares.
#[test]
fn connections_above_a_share_are_replaced_by_connections_within_a_share() {
    let mut capacity = capacity(100, &[0.5, 0.25]);
    fill(&mut capacity, 0, 98);
    let mut replaced = [0, 0];
    for _ in 0..200 {
        let Admission::Replace(other) = capacity.admit(1.0, 1, 0.5) else {
            panic!("an idle connection must be replaced")
        };
        capacity.closed(other, true);
        fill(&mut capacity, 1, 1);
        replaced[other] += 1;
    }
    // The second group gains connections until both groups have the same excess. From then on, its own longest idle connections
    // are closed.
    assert!(replaced[0] >= 35 && replaced[1] >= 100, "{replaced:?}");
    assert!(
        capacity.groups[1].open >= capacity.share(1)
            && capacity.groups[0].open >= capacity.share(0),
        "{:?}",
        capacity.groups
    );
}

/// If all connections are busy, a new connection is rejected with a Retry-After, and no busy connection is closed.
#[test]
fn busy_connections_stay_open_and_new_ones_are_rejected_with_a_bounded_retry_after() {
    let mut capacity = capacity(100, &[0.5]);
    (0..50).for_each(|_| capacity.opened(0));
    (0..48).for_each(|_| capacity.opened(1));
    let settings = IdleSettings::default();
    let bounds_s = settings.min_retry_after_s..=settings.max_retry_after_s;
    for number in 0..1000 {
        match capacity.admit(1.0, 0, f64::from(number) / 1000.0) {
            Admission::RetryAfter(after_s) => assert!(bounds_s.contains(&after_s), "{after_s}"),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(capacity.group_to_shrink(10), None, "no connection is idle");
}

/// The retries of 10,000 clients that are rejected together are spread over the time that accepting them takes.
#[test]
fn retries_are_spread_over_the_time_it_takes_to_accept_them() {
    let settings = IdleSettings {
        min_retry_after_s: 0.1,
        max_retry_after_s: 20.0,
        accepts_per_s: 1000.0,
        ..IdleSettings::default()
    };
    let mut capacity = Capacity::new(settings);
    let mut rng = oorandom::Rand64::new(7);
    let mut seconds = [0u32; 21];
    for _ in 0..10_000 {
        seconds[capacity.retry_after_s(1.0, rng.rand_float()) as usize] += 1;
    }
    assert!(
        seconds[..10]
            .iter()
            .all(|count| (900..=1200).contains(count)),
        "{seconds:?}"
    );
    assert!(
        capacity.retry_after_s(60.0, 1.0) < 0.3,
        "earlier rejections must not count any more"
    );
    // More clients than can be accepted within the maximum Retry-After: their retries are still spread.
    let more = (0..40_000).map(|_| capacity.retry_after_s(60.0, rng.rand_float()));
    assert!(more.filter(|after_s| *after_s > 19.0).count() < 4000);
}

#[test]
fn reads_decrease_with_requests_in_flight_but_the_wait_is_bounded() {
    let capacity = capacity(1000, &[]);
    assert_eq!(capacity.reads_in_iteration(10_000, 0.0, 0, 200), 64);
    assert_eq!(capacity.reads_in_iteration(10_000, 0.0, 90, 200), 32);
    assert_eq!(capacity.reads_in_iteration(10_000, 0.0, 200, 200), 0);
    assert_eq!(
        capacity.reads_in_iteration(10_000, 0.3, 200, 200),
        64,
        "after the maximum wait the connections are read, and their requests rejected"
    );
    assert_eq!(capacity.reads_in_iteration(3, 0.0, 0, 200), 3);
}

/// If the limit is lowered below the number of open connections, idle connections are closed in the group with the largest
/// excess first.
#[test]
fn a_lowered_limit_closes_idle_connections_by_share() {
    let mut capacity = capacity(1000, &[0.5]);
    fill(&mut capacity, 0, 300);
    fill(&mut capacity, 1, 600);
    capacity.reconfigure(IdleSettings {
        max_connections: 400,
        shares: vec![0.5],
        ..IdleSettings::default()
    });
    let mut closed = [0, 0];
    while let Some(group) = capacity.group_to_shrink(0) {
        capacity.closed(group, true);
        closed[group] += 1;
    }
    assert_eq!((capacity.open_count(), closed), (400, [100, 400]));
}
