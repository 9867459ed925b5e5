//! Tests of admission: prices, quotas, predicted latencies and congestion.

use crate::common::*;
use wharfhub::decisions::api::*;
use wharfhub::decisions::learned_state::DelayReading;

const OK: Outcome = Outcome::Ok;

#[test]
fn no_query_is_rejected_while_the_replicas_are_idle() {
    let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
    for id in 1..200 {
        assert!(!is_rejected(&driver.round_trip(id, 0, 0.05)));
    }
}

/// Slow answers raise the price, and some queries are then rejected before any of their parts is sent. The price falls again
/// within the documented time, for which the test allows 45 s.
#[test]
fn delay_raises_a_price_that_rejects_whole_queries_and_falls_again() {
    let mut driver = Driver::new(settings(class()), &[replica(1)]);
    for id in 1..30 {
        driver.round_trip(id, 0, 0.05);
    }
    let mut rejections = 0;
    for id in 30..90 {
        let out = driver.round_trip(id, 0, 0.48);
        if is_rejected(&out) {
            rejections += 1;
            assert!(
                sends(&out).is_empty(),
                "parts of a rejected query were sent: {out:?}"
            );
        }
    }
    assert!(rejections > 5, "{rejections} rejected");
    driver.advance(45.0);
    for id in 100..150 {
        assert!(
            !is_rejected(&driver.round_trip(id, 0, 0.05)),
            "the price has not fallen"
        );
    }
}

#[test]
fn a_query_is_admitted_at_the_price_of_its_most_expensive_shard() {
    let mut two_cells = settings(class());
    two_cells.cells = 2;
    let far = ReplicaEntry {
        cell: 1,
        ..replica(2)
    };
    let mut driver = Driver::new(two_cells, &[replica(1), far]);
    for id in 1..30 {
        driver.round_trip(id, id % 2, 0.05);
    }
    let (mut cheap_rejections, mut expensive_rejections) = (0, 0);
    for id in 30..200 {
        driver.round_trip(id, 1, 0.48);
        cheap_rejections += usize::from(is_rejected(&driver.round_trip(1000 + id, 0, 0.05)));
        let both = driver.query(2000 + id, &[0, 1], 3.0);
        expensive_rejections += usize::from(is_rejected(&both));
        for (part, replica) in sends(&both) {
            driver.end_attempt(
                part,
                0,
                replica,
                if replica.0 == 1 { 0.05 } else { 0.48 },
                OK,
            );
        }
    }
    assert_eq!(cheap_rejections, 0);
    assert!(expensive_rejections > 5, "{expensive_rejections} rejected");
}

#[test]
fn a_marked_repeat_past_its_objective_is_rejected_if_late_answers_have_no_weight() {
    let strict = ClassSettings {
        late_weight: 0.0,
        ..class()
    };
    let mut driver = Driver::new(settings(strict), &[replica(1)]);
    driver.round_trip(1, 0, 0.05);
    assert!(
        is_rejected(&driver.query_with_class(0, 2, &[0], 1.9, true)),
        "the first request is 1.1 s old and the objective 1 s"
    );
    assert!(
        !is_rejected(&driver.query_with_class(0, 3, &[0], 2.5, true)),
        "the first request is 0.5 s old"
    );
}

/// In a large deployment an aggregator gets too few answers from each replica for a reading of its delay (here one answer per
/// second). Queries are then rejected because of the last known latencies.
#[test]
fn known_latencies_reject_queries_where_no_replica_has_enough_answers_for_a_reading() {
    let replicas: Vec<_> = (1..11).map(replica).collect();
    let mut driver = Driver::new(settings(class()), &replicas);
    for id in 1..200 {
        driver.round_trip(id, 0, 0.05);
    }
    let mut rejections = 0;
    for id in 200..500 {
        let out = driver.query(id, &[0], 3.0);
        rejections += usize::from(is_rejected(&out));
        driver.advance(0.1);
        for (part, at) in sends(&out) {
            driver.end_attempt(part, 0, at, 0.6, OK);
        }
    }
    assert!(rejections > 10, "{rejections} rejected");
}

/// A known latency loses its influence on the price with time. Otherwise, in a large fleet, one slow answer from each replica
/// would cause rejections until the next answer, and rejected queries bring no answers.
#[test]
fn an_old_latency_no_longer_rejects_queries() {
    let rejections = |pause_s: f64| {
        let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
        for id in 1..40 {
            for (part, at) in sends(&driver.query(id, &[0], 3.0)) {
                driver.advance(0.9);
                driver.end_attempt(part, 0, at, 0.9, OK);
            }
        }
        let ask = |id: u32| {
            driver.advance(pause_s);
            let out = driver.query(1000 + id, &[0], 3.0);
            sends(&out)
                .iter()
                .for_each(|(part, at)| drop(driver.end_attempt(*part, 0, *at, 0.9, OK)));
            is_rejected(&out)
        };
        (0..60).map(ask).filter(|is_rejected| *is_rejected).count()
    };
    let (at_once, later) = (rejections(0.0), rejections(6.0));
    assert!(
        at_once > 30 && later < 10,
        "{at_once} rejected without pauses, {later} with pauses of 6 s"
    );
}

/// Guards against a failure seen with 100 aggregators and 60 replicas: each aggregator was answered by a given replica only
/// every few seconds, and the last slow answer of that replica caused rejections long after answers of the other replicas
/// had shown that the congestion was over.
#[test]
fn no_query_is_rejected_once_other_replicas_show_that_congestion_is_over() {
    let many = Settings {
        cells: 20,
        ..settings(class())
    };
    let entries = one_replica_per_cell(20);
    let mut driver = Driver::new(many, &entries);
    (1..21).for_each(|id| drop(driver.round_trip(id, id % 20, 0.05)));
    for id in 21..121 {
        let sent = sends(&driver.query(id, &[id % 20], 3.0));
        driver.advance(0.05);
        sent.iter()
            .for_each(|(part, at)| drop(driver.end_attempt(*part, 0, *at, 0.9, OK)));
    }
    let rejections = |driver: &mut Driver, from: u32| {
        let ask = |id: u32| {
            let out = driver.query(id, &[(id % 10) + 10], 3.0);
            sends(&out)
                .iter()
                .for_each(|(part, at)| drop(driver.end_attempt(*part, 0, *at, 0.05, OK)));
            is_rejected(&out)
        };
        (from..from + 10)
            .map(ask)
            .filter(|is_rejected| *is_rejected)
            .count()
    };
    for id in 130..160 {
        driver.round_trip(id, id % 10, 0.05); // half of the replicas answer, and are fast again
    }
    assert_eq!(rejections(&mut driver, 200), 0);
}

/// Guards against a failure seen in retry storms: queries whose clients disconnect before an answer is likely only add
/// to the load.
#[test]
fn a_query_whose_client_will_not_wait_long_enough_is_rejected() {
    let mut driver = Driver::new(settings(class()), &[replica(1)]);
    for id in 1..30 {
        driver.round_trip(id, 0, 0.3);
    }
    let short_query = driver.query(100, &[0], 0.25);
    assert!(is_rejected(&short_query) && sends(&short_query).is_empty());
    assert!(!is_rejected(&driver.query(101, &[0], 3.0)));
}

/// An answer shows the queue at the time at which its part was sent, one latency ago. Guards against a failure seen with the
/// testbed's site szeged while capacity was lost: by the time of the answers twice as many attempts were in flight, and 47%
/// of the admitted queries were answered late.
#[test]
fn attempts_in_flight_count_before_any_answer_shows_their_queue() {
    let class = ClassSettings {
        latency_objective_s: 2.0,
        ..class()
    };
    let mut driver = warm_fleet(Settings {
        can_hedge: false,
        ..settings(class)
    });
    for id in 100..130 {
        let sent = sends(&driver.query(id, &[0; 7], 3.0));
        driver.advance(0.35);
        for (part, at) in sent {
            driver.advance(0.01);
            driver.end_attempt(part, 0, at, 0.38, OK);
        }
    }
    let rejections = |ids: std::ops::Range<u32>, driver: &mut Driver| {
        ids.filter(|id| is_rejected(&driver.query(*id, &[0], 1.0)))
            .count()
    };
    assert_eq!(
        rejections(200..202, &mut driver),
        0,
        "no more attempts are in flight than when the answered ones were sent"
    );
    assert!(
        rejections(300..340, &mut driver) > 8,
        "no answer has arrived, but the queue has grown"
    );
}

/// Guards against a failure seen during a release under load: queries were rejected because their holders were in slow start,
/// which does not mean that the answers would be late.
#[test]
fn holders_in_slow_start_are_no_reason_to_reject() {
    let mut driver = warm_fleet(Settings {
        slow_start_min_capacity: 0.3,
        overload_multiple: 20.0,
        ..settings(class())
    });
    for id in 100..200 {
        driver.round_trip(id, 0, 0.2);
    }
    let warming: Vec<_> = (1..11)
        .map(|id| ReplicaEntry {
            started_at: driver.now,
            ..replica(id)
        })
        .collect();
    driver.list(true, &warming);
    let rejections = (200..215)
        .filter(|id| is_rejected(&driver.query(*id, &[0], 3.0)))
        .count();
    assert_eq!(rejections, 0);
}

/// Queries of a tenant beyond its quota draw fewer tokens, so a burst or a retry storm is rejected at the expense of the tenant
/// that causes it.
#[test]
fn a_tenant_beyond_its_quota_is_rejected_first() {
    let tenant = TenantSettings {
        share: 0.5,
        quota_per_s: 3.0,
    };
    let two = Settings {
        tenants: vec![tenant.clone(), tenant],
        over_quota_weight: 0.1,
        ..settings(class())
    };
    let mut driver = Driver::new(two, &[replica(1)]);
    let mut rejections = [0, 0];
    for id in 1..400u32 {
        let tenant = u32::from(id % 10 == 0);
        let (number, deadline) = (id, driver.now + 3.0);
        let new = NewQuery {
            id: QueryId(id),
            number,
            parts: 1,
            deadline,
            tenant,
            ..NewQuery::default()
        };
        driver.event(Event::Query(new));
        let out = driver.part(id * 100, id, 0, 1.0);
        rejections[tenant as usize] +=
            usize::from(is_rejected(&out)) * if tenant == 1 { 9 } else { 1 };
        driver.advance(0.05);
        for (part, at) in sends(&out) {
            driver.end_attempt(part, 0, at, 0.45, OK);
        }
    }
    assert!(
        rejections[1] > 0 && rejections[0] > rejections[1] * 3 / 2,
        "{rejections:?} rejected, relative to the traffic of each tenant"
    );
}

/// Guards against a failure seen in virtual time with congested replicas: a mixer relied on the last answers, which were some
/// seconds old, and did not reduce its sending rate although calls had been in flight for longer than those answers had taken.
#[test]
fn the_age_of_a_call_in_flight_counts_as_latency() {
    let warm = || {
        let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
        for id in 1..40 {
            driver.round_trip(id, 0, 0.05);
        }
        driver
    };
    let mut driver = warm();
    let waiting_replica = sends(&driver.query(100, &[0], 3.0))[0].1;
    driver.advance(0.1);
    let to_waiting_replica = (101..140).filter(|id| {
        let (part, replica) = sends(&driver.query(*id, &[0], 3.0))[0];
        driver.end_attempt(part, 0, replica, 0.05, OK);
        replica == waiting_replica
    });
    assert_eq!(
        to_waiting_replica.count(),
        0,
        "no part is sent to a replica whose call has been in flight for twice as long as any answer took"
    );
    // Calls are in flight for a long time at all replicas: many queries that would hardly be answered in time are rejected.
    let mut driver = warm();
    (100..110).for_each(|id| drop(driver.query(id, &[0], 3.0)));
    driver.advance(0.7);
    let rejections = (200..300)
        .filter(|id| is_rejected(&driver.query(*id, &[0], 3.0)))
        .count();
    assert!(rejections > 20, "{rejections} of 100 rejected");
}

/// If a replica answers a class less than twice per second, the three answers of a reading take more than a second. The price
/// rises all the same.
#[test]
fn a_price_interval_stays_open_for_rare_answers() {
    let mut driver = Driver::new(settings(class()), &[replica(1)]);
    for id in 1..5 {
        driver.round_trip(id, 0, 0.05);
        driver.advance(0.6);
    }
    for id in 5..60 {
        driver.round_trip(id, 0, 0.55);
        driver.advance(0.15);
    }
    let price = driver.aggregator.learned_state().replicas[0]
        .statistics
        .classes[0]
        .price;
    assert!(
        price > 2.0,
        "the price is {price} after 40 s with a queueing delay of 0.5 s"
    );
}

/// Guards against a failure seen with the testbed's site szeged at shortened service times and latency objectives: a price of 10
/// rejected every query of its class. Two answers, too few for a reading, had arrived in the price interval, so the price did
/// not change for 5 s, ten latency objectives, although the replica answered other classes within a tenth of the objective.
#[test]
fn a_price_with_too_few_answers_falls() {
    let short_objective = ClassSettings {
        latency_objective_s: 0.4,
        deadline_s: 1.0,
        ..class()
    };
    let mut driver = Driver::new(settings(short_objective), &[replica(1)]);
    (1..30).for_each(|id| drop(driver.round_trip(id, 0, 0.01)));
    let mut learned_state = driver.aggregator.learned_state();
    let now = driver.now;
    let statistics = &mut learned_state.replicas[0].statistics.classes[0];
    statistics.price = 10.0;
    statistics.interval_started_at = now;
    statistics.recent_delays.rotate_left(2);
    let slow = DelayReading {
        at: now + 0.001,
        delay_s: 0.3,
    };
    statistics.recent_delays[1] = slow;
    statistics.recent_delays[2] = slow;
    driver.aggregator.inherit(learned_state, &[Some(0)], &[]);
    driver.advance(1.5);
    let mut rejections = 0;
    for id in 100..300 {
        rejections += usize::from(is_rejected(&driver.round_trip(id, 0, 0.01)));
        driver.advance(0.005);
    }
    assert!(rejections < 150, "{rejections} of 200 rejected in 3 s");
}

/// Guards against a failure seen with six in ten leaf servers replaced: each of 300 aggregators sent to a congested server too
/// seldom for the server's price to rise, and admitted one query in two. All of these queries failed with their rejected
/// parts, while their other parts kept the servers busy.
///
/// Among few aggregators each gets enough answers from every server, so the prices of the servers suffice.
#[rstest::rstest]
#[case(Outcome::Error, 300, 0)]
#[case(Outcome::Rejected, 300, 14)]
#[case(Outcome::Rejected, 2, 0)]
fn a_query_that_fails_under_congestion_raises_the_price_of_other_queries(
    #[case] outcome: Outcome,
    #[case] aggregators: u32,
    #[case] min_rejections: usize,
) {
    let rejections = |driver: &mut Driver, ids: std::ops::Range<u32>| {
        // The queries are sent to a healthy server and stay open, so only the failed query influences the price.
        ids.filter(|id| is_rejected(&driver.query(*id, &[2], 3.0)))
            .count()
    };
    let settings = Settings {
        cells: 3,
        aggregators,
        ..settings(class())
    };
    let mut driver = Driver::new(settings, &one_replica_per_cell(3));
    (1..20).for_each(|id| drop(driver.round_trip(id, id % 3, 0.05)));
    for (part, at) in sends(&driver.query(100, &[0, 1], 3.0)) {
        let is_congested = at == ReplicaId(2);
        let (took_s, outcome) = if is_congested {
            (0.002, outcome)
        } else {
            (0.05, OK)
        };
        driver.end_attempt(part, 0, at, took_s, outcome);
    }
    // All retries end like the first attempt, until the query's deadline.
    for _ in 0..300 {
        for (part, at) in sends(&driver.advance(0.01)) {
            let sent = sends(&driver.actions);
            let attempts = sent.iter().filter(|(sent, _)| *sent == part).count();
            driver.end_attempt(part, attempts as u8 - 1, at, 0.002, outcome);
        }
    }
    let count = rejections(&mut driver, 210..230);
    assert!(
        count >= min_rejections && (min_rejections > 0 || count == 0),
        "{outcome:?}: {count} of 20 rejected"
    );
    let open = sends(&driver.actions)
        .into_iter()
        .filter(|(part, _)| *part >= 21_000);
    for (part, at) in open.collect::<Vec<_>>() {
        driver.end_attempt(part, 0, at, 0.05, OK);
    }
    (300..310).for_each(|id| drop(driver.round_trip(id, 2, 0.05)));
    assert_eq!(
        rejections(&mut driver, 310..330),
        0,
        "{outcome:?}: answers do not lower the price"
    );
}
