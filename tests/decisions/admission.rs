//! Admission: prices, quotas, predicted latencies and congestion.

use crate::common::*;
use wharfhub::decisions::api::*;
use wharfhub::decisions::learned_state::DelayReading;

const OK: Outcome = Outcome::Ok;

#[test]
fn an_idle_fleet_rejects_nothing() {
    let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
    for id in 1..200 {
        assert!(!is_rejected(&driver.round_trip(id, 0, 0.05)));
    }
}

/// Answers that come ever later raise the price; some queries are then rejected before any part is sent, and the price falls
/// again within the time that the docs state.
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
            assert!(sends(&out).is_empty(), "a rejected query was sent: {out:?}");
        }
    }
    assert!(rejections > 5, "{rejections} rejected");
    driver.advance(45.0);
    for id in 100..150 {
        assert!(
            !is_rejected(&driver.round_trip(id, 0, 0.05)),
            "the price did not fall"
        );
    }
}

#[test]
fn a_query_pays_the_price_of_its_most_expensive_shard() {
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
    let (mut cheap, mut expensive) = (0, 0);
    for id in 30..200 {
        driver.round_trip(id, 1, 0.48);
        cheap += usize::from(is_rejected(&driver.round_trip(1000 + id, 0, 0.05)));
        let both = driver.query(2000 + id, &[0, 1], 3.0);
        expensive += usize::from(is_rejected(&both));
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
    assert_eq!(cheap, 0);
    assert!(expensive > 5, "{expensive}");
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
        "1.1 s old, objective 1 s"
    );
    assert!(
        !is_rejected(&driver.query_with_class(0, 3, &[0], 2.5, true)),
        "half a second old"
    );
}

/// At size an aggregator gets too few answers of each replica to read its delay (here one a second): their last latencies
/// reject queries all the same.
#[test]
fn known_latencies_reject_where_no_replica_has_enough_answers_for_a_reading() {
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

/// Latencies of a while ago are no reason to reject: in a large fleet one slow answer of each replica would otherwise reject
/// queries until the next answer, and rejected queries bring none.
#[test]
fn an_old_latency_no_longer_rejects() {
    let rejections = |timeout_s: f64| {
        let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
        for id in 1..40 {
            for (part, at) in sends(&driver.query(id, &[0], 3.0)) {
                driver.advance(0.9);
                driver.end_attempt(part, 0, at, 0.9, OK);
            }
        }
        let ask = |id: u32| {
            driver.advance(timeout_s);
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
        "rejected at once {at_once}, after a while {later}"
    );
}

/// Found in a fleet of 100 aggregators and 60 replicas: each was answered by a replica every few seconds, and its last slow
/// answer rejected queries long after the others' answers had shown that the congestion was over.
#[test]
fn congestion_that_other_replicas_show_to_be_over_rejects_nothing() {
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
        driver.round_trip(id, id % 10, 0.05); // half of them answer, and are fast again
    }
    assert_eq!(rejections(&mut driver, 200), 0);
}

/// Found in retry storms: tries whose clients leave before an answer is likely only feed the storm.
#[test]
fn a_try_whose_client_will_not_wait_long_enough_is_rejected() {
    let mut driver = Driver::new(settings(class()), &[replica(1)]);
    for id in 1..30 {
        driver.round_trip(id, 0, 0.3);
    }
    let hasty = driver.query(100, &[0], 0.25);
    assert!(is_rejected(&hasty) && sends(&hasty).is_empty());
    assert!(!is_rejected(&driver.query(101, &[0], 3.0)));
}

/// Found at Szeged as capacity was lost: an answer shows the queue that its part met, one latency ago. By then twice as much
/// was in flight, and 47% of what was admitted came late.
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
        "no more is in flight than when the answered ones were sent"
    );
    assert!(
        rejections(300..340, &mut driver) > 8,
        "no answer has come, but the queue has grown"
    );
}

/// Found in a release under load: that holders are in slow start is no sign that a query would be late.
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

/// A burst or a retry storm of one tenant costs that tenant: beyond its quota its queries draw fewer tokens.
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
        "{rejections:?}, weighted by their traffic"
    );
}

/// Found in virtual time, where replicas congest: a mixer relied on the last answers, some seconds old, while calls had been in
/// flight for longer than those took, and went on as before.
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
    let under = sends(&driver.query(100, &[0], 3.0))[0].1;
    driver.advance(0.1);
    let to_under = (101..140).filter(|id| {
        let (part, replica) = sends(&driver.query(*id, &[0], 3.0))[0];
        driver.end_attempt(part, 0, replica, 0.05, OK);
        replica == under
    });
    assert_eq!(
        to_under.count(),
        0,
        "nothing more goes where a call has waited for twice as long as any took"
    );
    // All replicas so: of what would hardly be answered in time, much is rejected before it is sent.
    let mut driver = warm();
    (100..110).for_each(|id| drop(driver.query(id, &[0], 3.0)));
    driver.advance(0.7);
    let rejections = (200..300)
        .filter(|id| is_rejected(&driver.query(*id, &[0], 3.0)))
        .count();
    assert!(rejections > 20, "{rejections} of 100");
}

/// Where a replica answers one class twice a second, three answers take longer than a second: its price rises all the same.
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
    assert!(price > 2.0, "{price} after 40 s of half a second's queue");
}

/// Found at Szeged at a quick pace: a price of 10 rejected every query of its class, two answers had come in its interval, so
/// it stood for 5 s, ten latency objectives, while the replica answered other classes in a tenth of the objective.
#[test]
fn a_price_with_too_few_answers_falls() {
    let quick = ClassSettings {
        latency_objective_s: 0.4,
        deadline_s: 1.0,
        ..class()
    };
    let mut driver = Driver::new(settings(quick), &[replica(1)]);
    (1..30).for_each(|id| drop(driver.round_trip(id, 0, 0.01)));
    let mut learned_state = driver.aggregator.learned_state();
    let now = driver.now;
    let statistics = &mut learned_state.replicas[0].statistics.classes[0];
    statistics.price = 10.0;
    statistics.interval_started_at = now;
    statistics.recent_delays.rotate_left(2);
    let late = DelayReading {
        at: now + 0.001,
        delay_s: 0.3,
    };
    statistics.recent_delays[1] = late;
    statistics.recent_delays[2] = late;
    driver.aggregator.inherit(learned_state, &[Some(0)], &[]);
    driver.advance(1.5);
    let mut rejections = 0;
    for id in 100..300 {
        rejections += usize::from(is_rejected(&driver.round_trip(id, 0, 0.01)));
        driver.advance(0.005);
    }
    assert!(rejections < 150, "{rejections} of 200 in 3 s");
}

/// Found with six in ten servers replaced: each of 300 aggregators met a congested one too seldom to price it, and admitted
/// a query in two; all were lost with the parts that were rejected, while their other parts kept the servers busy.
///
/// Among few aggregators each knows its servers, whose own prices suffice.
#[rstest::rstest]
#[case(Outcome::Error, 300, 0)]
#[case(Outcome::Rejected, 300, 14)]
#[case(Outcome::Rejected, 2, 0)]
fn a_query_lost_to_congestion_raises_the_price_for_others(
    #[case] outcome: Outcome,
    #[case] aggregators: u32,
    #[case] min_rejections: usize,
) {
    let rejections = |driver: &mut Driver, ids: std::ops::Range<u32>| {
        // Sent to a healthy server, and left open: only what was lost counts.
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
    // Whatever retries there are end as the first one did, up to the end of the query's time.
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
        "{outcome:?}: answers end it"
    );
}
