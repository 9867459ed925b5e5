//! Tests of losses on idle connections that a network element has dropped.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

/// Sends one query at a time, so that each connection is unused for some seconds between two parts. `is_lost` decides from the
/// number of the replica, and from whether the connection was idle, whether a part is lost. Returns the number of parts
/// before which idle connections were closed.
fn count_closed_idle(is_lost: impl Fn(u32, bool) -> bool) -> usize {
    let settings = Settings {
        cells: 10,
        ..settings(class())
    };
    let entries: Vec<_> = (1..21)
        .map(|id| ReplicaEntry {
            cell: id % 10,
            ..replica(id)
        })
        .collect();
    let mut driver = Driver::new(settings, &entries);
    (0..20).for_each(|id| drop(driver.round_trip(id + 1, id % 10, 0.05)));
    let (mut last_used_at, mut closed, mut lost_part) =
        (std::collections::BTreeMap::new(), 0, None);
    for id in 200..320 {
        let mut actions = driver.query(id, &[id % 10], 3.0);
        while let Some(index) = actions
            .iter()
            .position(|action| matches!(action, Action::Send { .. }))
        {
            let Action::Send { part, replica, .. } = actions.remove(index) else {
                unreachable!()
            };
            let has_closed_idle = actions.contains(&Action::CloseIdle { replica });
            closed += usize::from(has_closed_idle);
            let is_idle = !has_closed_idle
                && last_used_at
                    .insert(replica, driver.now)
                    .is_some_and(|at| driver.now - at > 1.5);
            if is_lost(replica.0, is_idle) {
                lost_part = Some((part.0, replica));
                actions = driver.advance(0.9);
            } else {
                driver.advance(0.05);
                let attempt = u8::from(lost_part.is_some_and(|(lost, _)| lost == part.0));
                actions = driver.end_attempt(part.0, attempt, replica, 0.05, OK);
            }
        }
        if let Some((part, replica)) = lost_part.take() {
            driver.end_attempt(part, 0, replica, 0.95, Outcome::Cancelled);
        }
        driver.advance(0.3);
    }
    closed
}

/// Guards against a failure seen in scenarios in which idle connections are dropped without notice: a part that was sent
/// on such a connection got no answer.
#[test]
fn idle_connections_on_which_parts_are_lost_are_closed_first() {
    let closed = count_closed_idle(|_, is_idle| is_idle);
    assert!(closed > 70, "{closed} of about 120 parts");
}

/// Replicas that answer nothing at all must not cause the connections to all replicas to be replaced.
#[test]
fn silent_replicas_do_not_cause_connections_to_be_replaced_everywhere() {
    let closed = count_closed_idle(|replica, _| replica < 3);
    assert!(closed < 40, "{closed} of about 120 parts");
}

/// Guards against a failure seen in a large fleet with replicas that fail fast: each probe request closed a working connection
/// first, and the replicas spent capacity on handshakes from all mixers instead of on parts.
#[test]
fn a_probe_request_after_a_fast_failure_keeps_its_connection() {
    let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
    (1..40).for_each(|id| drop(driver.round_trip(id, 0, 0.05)));
    let (mut to_failing, mut closed) = (0, 0);
    for id in 100..200 {
        let out = driver.query(id, &[0], 3.0);
        let (part, at) = sends(&out)[0];
        closed += usize::from(out.contains(&Action::CloseIdle {
            replica: ReplicaId(1),
        }));
        to_failing += usize::from(at == ReplicaId(1));
        let (took_s, outcome) = if at == ReplicaId(1) {
            (0.01, Outcome::Error)
        } else {
            (0.2, OK)
        };
        driver.advance(took_s);
        for (part, other) in sends(&driver.end_attempt(part, 0, at, took_s, outcome)) {
            driver.end_attempt(part, 1, other, 0.2, OK);
        }
        driver.advance(0.1);
    }
    assert!(
        to_failing > 4,
        "{to_failing} parts sent to the failing replica, no more than its ejection takes"
    );
    assert_eq!(closed, 0);
}
