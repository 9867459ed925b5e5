//! Idle connections that were dropped.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

/// Sends one query at a time with long pauses; parts to replicas of which `is_lost` says so are lost when they go out on a
/// connection that was idle, or always. Returns how often idle connections were closed first.
fn count_closed_idle(is_lost: impl Fn(u32, bool) -> bool) -> usize {
    let rows = Settings {
        cells: 10,
        ..settings(class())
    };
    let entries: Vec<_> = (1..21)
        .map(|id| ReplicaEntry {
            cell: id % 10,
            ..replica(id)
        })
        .collect();
    let mut driver = Driver::new(rows, &entries);
    (0..20).for_each(|id| drop(driver.round_trip(id + 1, id % 10, 0.05)));
    let (mut used, mut closed, mut silent) = (std::collections::BTreeMap::new(), 0, None);
    for id in 200..320 {
        let mut work = driver.query(id, &[id % 10], 3.0);
        while let Some(index) = work
            .iter()
            .position(|action| matches!(action, Action::Send { .. }))
        {
            let Action::Send { part, replica, .. } = work.remove(index) else {
                unreachable!()
            };
            let fresh = work.contains(&Action::CloseIdle { replica });
            closed += usize::from(fresh);
            let idle = !fresh
                && used
                    .insert(replica, driver.now)
                    .is_some_and(|at| driver.now - at > 1.5);
            if is_lost(replica.0, idle) {
                silent = Some((part.0, replica));
                work = driver.advance(0.9);
            } else {
                driver.advance(0.05);
                let attempt = u8::from(silent.is_some_and(|(lost, _)| lost == part.0));
                work = driver.end_attempt(part.0, attempt, replica, 0.05, OK);
            }
        }
        if let Some((part, replica)) = silent.take() {
            driver.end_attempt(part, 0, replica, 0.95, Outcome::Cancelled);
        }
        driver.advance(0.3);
    }
    closed
}

/// Found on days when idle connections are dropped without notice: what was sent on one got no answer.
#[test]
fn idle_connections_that_lose_parts_are_closed_first() {
    let closed = count_closed_idle(|_, idle| idle);
    assert!(closed > 70, "{closed} of some 120 sends");
}

/// Replicas that answer nothing at all must not cost new connections everywhere.
#[test]
fn silent_replicas_do_not_make_connections_churn() {
    let closed = count_closed_idle(|replica, _| replica < 3);
    assert!(closed < 40, "{closed} of some 120 sends");
}

/// Found in a large fleet with replicas that fail fast: each probe request closed a working connection first, and the replicas
/// spent on handshakes, from all mixers, what they could have served.
#[test]
fn a_probe_request_after_a_fast_failure_keeps_its_connection() {
    let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
    (1..40).for_each(|id| drop(driver.round_trip(id, 0, 0.05)));
    let (mut tried, mut closed) = (0, 0);
    for id in 100..200 {
        let out = driver.query(id, &[0], 3.0);
        let (part, at) = sends(&out)[0];
        closed += usize::from(out.contains(&Action::CloseIdle {
            replica: ReplicaId(1),
        }));
        tried += usize::from(at == ReplicaId(1));
        let (took, ends) = if at == ReplicaId(1) {
            (0.01, Outcome::Error)
        } else {
            (0.2, OK)
        };
        driver.advance(took);
        for (part, other) in sends(&driver.end_attempt(part, 0, at, took, ends)) {
            driver.end_attempt(part, 1, other, 0.2, OK);
        }
        driver.advance(0.1);
    }
    assert!(tried > 4, "more often than it takes to be ejected: {tried}");
    assert_eq!(closed, 0);
}
