//! Tests of the limit on parts sent to replicas in slow start.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

/// Guards against a failure seen during a release under load: retries after rejections by full queues raised the measured load
/// from which the limit of replicas in slow start is derived.
#[test]
fn the_slow_start_limit_is_derived_from_first_attempts_only() {
    let mut driver = Driver::new(settings(class()), &[replica(1)]);
    for id in 1..200 {
        driver.round_trip(id, 0, 0.05);
    }
    let warming = ReplicaEntry {
        started_at: driver.now,
        ..replica(2)
    };
    driver.list(false, &[warming]);
    let start = driver.now;
    let mut to_warming = 0;
    for id in 300..400 {
        let out = driver.query(id, &[0], 3.0);
        for (part, replica) in sends(&out) {
            to_warming += usize::from(replica == ReplicaId(2));
            driver.end_attempt(part, 0, replica, 0.001, Outcome::Rejected);
        }
        driver.advance(0.01);
    }
    let to_warming_late = sends(&driver.actions)
        .iter()
        .filter(|(_, replica)| *replica == ReplicaId(2))
        .count();
    // About 20 queries per second over two replicas, one fifth of the capacity, overload multiple 2, window 2 s.
    let seconds = driver.now - start;
    assert!(seconds < 2.0);
    assert!(
        to_warming_late.max(to_warming) <= 10,
        "{to_warming_late} sent to a replica in slow start in {seconds} s"
    );
}

/// Aggregators that send to the same replicas, of which each of 20 cells has one.
struct Aggregators {
    drivers: Vec<Driver>,
    /// Number of attempts in the first ten seconds, before replicas start.
    sent_before: usize,
    /// Rounds of the attempts that were sent to the first replica after its start.
    rounds_to_warming: Vec<u32>,
    rejections: usize,
}

const CELLS: u32 = 20;
/// Round in which replicas start; a round lasts 0.1 s.
const START_ROUND: u32 = 100;

fn replicas_started_at(started_at: f64, count: u32) -> Vec<ReplicaEntry> {
    let started = |id| ReplicaEntry {
        started_at,
        cell: id - 1,
        ..replica(id)
    };
    (1..=count).map(started).collect()
}

impl Aggregators {
    fn new() -> Aggregators {
        let settings = Settings {
            aggregators: 40,
            cells: CELLS,
            slow_start_s: 20.0,
            overload_window_s: 3.0,
            ..settings(class())
        };
        let entries = replicas_started_at(0.0, CELLS);
        let driver = |seed| {
            let mut driver = Driver::new(settings.clone(), &entries);
            driver.aggregator = wharfhub::Aggregator::new(settings.clone(), seed, 100.0);
            driver.list(true, &entries);
            driver
        };
        Aggregators {
            drivers: (0..40u64).map(driver).collect(),
            sent_before: 0,
            rounds_to_warming: Vec::new(),
            rejections: 0,
        }
    }

    /// Reports to all aggregators that the first `count` replicas have started now.
    fn start_replicas(&mut self, count: u32) {
        let entries = replicas_started_at(self.drivers[0].now, count);
        for driver in &mut self.drivers {
            driver.list(false, &entries);
        }
    }

    fn run_round(&mut self, round: u32) {
        for (number, driver) in self.drivers.iter_mut().enumerate() {
            // The rates range from one query in 2 s to one in 0.2 s.
            if round as usize % (2 + number % 19) == 0 {
                let shard = (round * 7 + number as u32) % CELLS;
                let out = driver.query(round + 1, &[shard], 3.0);
                self.rejections += usize::from(is_rejected(&out) && (round > START_ROUND));
                for (part, at) in sends(&out) {
                    driver.advance(0.01);
                    driver.end_attempt(part, 0, at, 0.01, OK);
                    self.sent_before += usize::from(round < START_ROUND);
                    if at == ReplicaId(1) && round >= START_ROUND {
                        self.rounds_to_warming.push(round);
                    }
                }
            }
            driver.advance(110.0 + f64::from(round) * 0.1 - driver.now);
        }
    }
}

/// Many aggregators with different, low rates together keep a replica in slow start below its limit without communicating with
/// each other, and still send the replica enough parts to warm up. This holds even if all holders are in slow start.
#[rstest::rstest]
#[case::one_in_slow_start(1, 200)]
#[case::all_in_slow_start(CELLS, 1200)]
fn aggregators_with_little_traffic_share_the_limit_of_a_replica_in_slow_start_by_random_draws(
    #[case] started: u32,
    #[case] max_rejections: usize,
) {
    let mut aggregators = Aggregators::new();
    for round in 0..300 {
        if round == START_ROUND {
            aggregators.start_replicas(started);
        }
        aggregators.run_round(round);
    }
    let even_load_per_window = aggregators.sent_before as f64 / 10.0 / f64::from(CELLS) * 3.0;
    let rounds = &aggregators.rounds_to_warming;
    for start in (START_ROUND..250).step_by(10) {
        let window = start..start + 30;
        let sent = rounds.iter().filter(|round| window.contains(round)).count() as f64;
        let capacity = 0.2 + 0.8 * f64::from(start - START_ROUND) / 200.0;
        assert!(
            sent <= 2.0 * capacity * even_load_per_window,
            "{sent} parts in 3 s from round {start}, with {started} replicas in slow start"
        );
    }
    assert!(
        rounds.len() >= 5,
        "too few parts to warm up the replica: {rounds:?}"
    );
    let rejections = aggregators.rejections;
    assert!(
        rejections < max_rejections,
        "{rejections} of about 1200 queries rejected"
    );
}

/// The slow start limit applies to draining replicas too, so that a last holder that has just started is not overloaded while
/// it drains.
#[test]
fn a_draining_last_holder_keeps_its_slow_start_limit() {
    let just_started = ReplicaEntry {
        started_at: 100.0,
        ..replica(1)
    };
    let mut driver = Driver::new(settings(class()), &[just_started]);
    driver.list(
        false,
        &[ReplicaEntry {
            lifecycle: Lifecycle::Draining,
            ..just_started
        }],
    );
    let sent: usize = (1..60)
        .map(|id| sends(&driver.query(id, &[0], 3.0)).len())
        .sum();
    assert!(sent < 10, "{sent} sent to a replica in slow start");
}
