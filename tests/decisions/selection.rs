//! Which replica gets a part.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

#[test]
fn parts_go_to_the_least_latency_times_load() {
    let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
    let first = sends(&driver.query(1, &[0], 3.0))[0].1;
    let second = sends(&driver.query(2, &[0], 3.0))[0].1;
    assert_ne!(first, second, "the idle one is taken");
}

#[test]
fn the_own_zone_breaks_ties() {
    let mut here = settings(class());
    here.zone = 2;
    let near = ReplicaEntry {
        zone: 2,
        ..replica(9)
    };
    let mut driver = Driver::new(here, &[replica(1), replica(2), near]);
    assert_eq!(sends(&driver.query(1, &[0], 3.0))[0].1, ReplicaId(9));
}

#[test]
fn the_last_holder_of_a_shard_stays_in_use() {
    let mut driver = Driver::new(settings(class()), &[replica(1)]);
    let (part, only) = sends(&driver.query(1, &[0], 3.0))[0];
    driver.end_attempt(part, 0, only, 0.01, Outcome::Reset);
    driver.advance(0.1);
    assert_eq!(sends(&driver.query(2, &[0], 3.0)).len(), 1);
}

/// Among many aggregators the own zone is preferred less: our parts in flight show little of the load on its replicas.
#[test]
fn among_many_aggregators_a_slow_own_zone_loses_its_preference() {
    let to = |aggregators: u32| {
        let many = Settings {
            aggregators,
            ..settings(class())
        };
        let far = ReplicaEntry {
            zone: 1,
            ..replica(1)
        };
        let mut driver = Driver::new(many, &[far]);
        (100..110).for_each(|id| drop(driver.round_trip(id, 0, 0.1)));
        driver.list(false, &[replica(2)]);
        let mut far = 0;
        for id in 1..40 {
            for (part, at) in sends(&driver.query(id, &[0], 3.0)) {
                driver.advance(0.1);
                driver.end_attempt(part, 0, at, if at == ReplicaId(2) { 0.15 } else { 0.1 }, OK);
                far += usize::from(at == ReplicaId(1));
            }
        }
        far
    };
    let (of_two, of_forty) = (to(2), to(40));
    assert!(of_two == 0 && of_forty > 10, "{of_two}, {of_forty}");
}

/// Parts of one query that a replica can hold together share a call, whose own work is then paid once.
#[test]
fn neighbouring_parts_share_calls_where_calls_cost_work() {
    let calls = Settings {
        cells: 12,
        replication_factor: 3,
        max_call_parts: 4,
        call_work_s: 0.06,
        ..settings(class())
    };
    let entries = one_replica_per_cell(12);
    let mut driver = Driver::new(calls, &entries);
    let sent = sends(&driver.query(1, &[0, 1, 2, 3, 4, 5], 3.0));
    assert_eq!(sent.len(), 6);
    let used: std::collections::BTreeSet<_> = sent.iter().map(|(_, at)| *at).collect();
    assert_eq!(
        used.len(),
        2,
        "three shards in a row have one holder in common: {sent:?}"
    );
}

/// Load is counted by call: a replica with one call of two parts in flight is no busier than one with one part.
#[test]
fn a_call_has_a_limited_number_of_parts() {
    let calls = Settings {
        max_call_parts: 2,
        call_work_s: 0.06,
        cells: 2,
        ..settings(class())
    };
    let others = (3..12).map(|id| ReplicaEntry {
        cell: 1,
        ..replica(id)
    });
    let entries: Vec<_> = [replica(1), replica(2)].into_iter().chain(others).collect();
    let mut driver = Driver::new(calls, &entries);
    let sent = sends(&driver.query(1, &[0, 0, 0, 0], 3.0));
    let first = sent.iter().filter(|(_, at)| *at == ReplicaId(1)).count();
    assert_eq!(first, 2, "{sent:?}");
}

/// Found at full size: with a part to a replica every few seconds, a slow one was forgotten before the next.
#[test]
fn a_slow_replica_is_remembered_for_some_sends() {
    let mut driver = warm_fleet(settings(class()));
    driver.advance(20.0);
    let (part, slow) = sends(&driver.query(500, &[0], 3.0))[0];
    driver.advance(0.3);
    driver.end_attempt(part, 0, slow, 0.3, OK);
    let mut again = 0;
    for id in 501..510 {
        driver.advance(3.0);
        again += usize::from(sends(&driver.round_trip(id, 0, 0.05))[0].1 == slow);
    }
    assert_eq!(again, 0, "one of ten replicas, a send every 3 s");
}

/// Found at full size: with a query every two seconds nearly all holders are idle, and every aggregator sent to
/// the lowest id.
#[test]
fn equal_holders_in_the_own_zone_are_chosen_at_random() {
    let far = ReplicaEntry {
        zone: 1,
        ..replica(1)
    };
    let mut driver = Driver::new(
        settings(class()),
        &[far, replica(2), replica(3), replica(4)],
    );
    let mut taken = std::collections::BTreeMap::new();
    for id in 1..100 {
        driver.advance(1.0);
        *taken
            .entry(sends(&driver.round_trip(id, 0, 0.05))[0].1 .0)
            .or_insert(0) += 1;
    }
    assert!(
        !taken.contains_key(&1) && (2..5).all(|id| taken[&id] > 15),
        "{taken:?}"
    );
}

/// A shard whose holders are all draining is served by them during the grace after the notification, and no longer: the next
/// endpoint list may have a holder already. Where one is ready, that one is used.
#[test]
fn draining_last_holders_are_used_within_the_grace() {
    let in_state = |lifecycle| ReplicaEntry {
        lifecycle,
        ..replica(1)
    };
    let mut driver = Driver::new(settings(class()), &[replica(1)]);
    driver.list(false, &[in_state(Lifecycle::Draining)]);
    assert_eq!(sends(&driver.query(1, &[0], 3.0)).len(), 1);
    driver.advance(0.9 * drain_grace_s());
    assert!(is_rejected(&driver.query(2, &[0], 3.0)));
    driver.list(false, &[replica(2)]);
    assert_eq!(sends(&driver.query(3, &[0], 3.0))[0].1, ReplicaId(2));
    driver.list(
        false,
        &[ReplicaEntry {
            lifecycle: Lifecycle::Removed,
            ..replica(2)
        }],
    );
    assert!(
        is_rejected(&driver.query(4, &[0], 3.0)),
        "nothing new to a replica that is gone"
    );
}

/// The drain grace of the common settings (seconds).
fn drain_grace_s() -> f64 {
    settings(class()).drain_grace_s
}

/// Crossing zones has its price: of two equal replicas the one in the own zone gets the part, even with one in flight there.
#[test]
fn the_own_zone_is_preferred_while_it_is_not_much_busier() {
    let far = ReplicaEntry {
        zone: 1,
        ..replica(1)
    };
    let mut driver = Driver::new(settings(class()), &[far, replica(2)]);
    let to: Vec<u32> = (1..=3)
        .map(|id| sends(&driver.query(id, &[0], 3.0))[0].1 .0)
        .collect();
    assert_eq!(to, [2, 2, 1]);
}

/// Machines are replaced without end, each by one with a new id: what is gone is forgotten.
#[test]
fn gone_replicas_are_forgotten() {
    let mut driver = Driver::new(settings(class()), &[replica(1)]);
    for id in 2..500 {
        let gone = ReplicaEntry {
            lifecycle: Lifecycle::Removed,
            ..replica(id - 1)
        };
        driver.list(false, &[replica(id), gone]);
        driver.advance(5.0);
    }
    let remembered = driver.aggregator.learned_state().replicas.len();
    assert!(remembered < 10, "{remembered} remembered");
}
