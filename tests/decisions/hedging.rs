//! Hedged requests, and cancelling where there are none.

use crate::common::*;
use wharfhub::decisions::api::*;

const OK: Outcome = Outcome::Ok;

#[test]
fn an_overdue_part_gets_one_hedged_request_and_the_loser_is_cancelled() {
    let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
    for id in 1..100 {
        driver.round_trip(id, 0, 0.05);
    }
    let (part, first) = sends(&driver.query(500, &[0], 3.0))[0];
    let hedged = sends(&driver.advance(0.5));
    assert_eq!(hedged.len(), 1);
    assert_ne!(hedged[0].1, first);
    let out = driver.end_attempt(part, 1, hedged[0].1, 0.05, OK);
    assert!(out.contains(&Action::Cancel {
        part: PartId(part),
        attempt: 0
    }));
    assert!(out.contains(&Action::Answer {
        query: QueryId(500),
        is_complete: true
    }));
}

/// Found on calm days of 300 mixers: in a burst each sent the hedged requests it had saved up, after 0.15 of 0.4 s, to the
/// neighbours of a slow replica, a third of all that these got; so the congestion went round, and lasted for 7 s.
#[test]
fn in_a_fleet_a_hedged_request_waits_for_half_of_the_objective() {
    let hedged_after = |aggregators: u32| {
        let fleet = Settings {
            aggregators,
            ..settings(class())
        };
        let mut driver = Driver::new(fleet, &[replica(1), replica(2)]);
        for id in 1..300 {
            driver.round_trip(id, 0, 0.05);
        }
        driver.query(500, &[0], 3.0);
        let steps = (1..100).find(|_| !sends(&driver.advance(0.01)).is_empty());
        steps.expect("a hedged request is sent")
    };
    let (few, fleet) = (hedged_after(3), hedged_after(300));
    assert!(few < 40, "{few}");
    assert!(
        (48..60).contains(&fleet),
        "{fleet}: late enough, and in time for the hedged request to be served"
    );
}

#[test]
fn without_hedging_an_overdue_part_is_cancelled_first() {
    let mut single = settings(class());
    single.can_hedge = false;
    let mut driver = Driver::new(single, &[replica(1), replica(2)]);
    for id in 1..100 {
        driver.round_trip(id, 0, 0.05);
    }
    let (part, first) = sends(&driver.query(500, &[0], 3.0))[0];
    // Found at full size: a part at a congested replica was cancelled at half the overdue time, and its work done twice.
    assert!(
        driver.advance(0.6).is_empty(),
        "not while it may only be late"
    );
    // Found at Szeged: it was left there for half as long again after its replica was ejected, and came late.
    let out = driver.advance(0.2);
    assert!(sends(&out).is_empty());
    assert!(out.contains(&Action::Cancel {
        part: PartId(part),
        attempt: 0
    }));
    let again = sends(&driver.end_attempt(part, 0, first, 1.2, Outcome::Cancelled));
    assert_eq!(again.len(), 1);
    assert_ne!(again[0].1, first);
}

/// Without hedging one attempt of a part is in flight at a time: a cancelled one until its end is reported.
#[test]
fn without_hedging_the_next_attempt_waits_for_the_end_of_the_cancelled_one() {
    let mut driver = Driver::new(
        Settings {
            can_hedge: false,
            ..settings(class())
        },
        &fleet(3),
    );
    for id in 1..60 {
        driver.round_trip(id, 0, 0.05);
    }
    let (part, at) = sends(&driver.query(500, &[0], 3.0))[0];
    let out = driver.advance(2.5);
    assert!(
        out.contains(&Action::Cancel {
            part: PartId(part),
            attempt: 0
        }) && sends(&out).is_empty()
    );
    assert_eq!(
        sends(&driver.end_attempt(part, 0, at, 2.5, Outcome::Cancelled)).len(),
        1
    );
}

/// Found in the emulator: a query of which every part was in flight was not checked again when the replica of one of them was
/// ejected, and its hedged request left only when the part was overdue in full.
#[test]
fn a_part_at_a_replica_that_is_ejected_later_is_hedged_at_half_the_time() {
    let hedged_after = |is_ejected: bool| {
        let mut driver = Driver::new(settings(class()), &[replica(1), replica(2)]);
        for id in 1..40 {
            driver.round_trip(id, 0, 0.1);
        }
        let under = sends(&driver.query(200, &[0], 3.0))[0].1;
        driver.advance(0.02);
        let mut others = Vec::new(); // answered, so that the other replica is worth a hedged request
        for id in 201..210 {
            let (part, replica) = sends(&driver.query(id, &[0], 3.0))[0];
            if is_ejected && replica == under {
                let again = sends(&driver.end_attempt(part, 0, replica, 0.01, Outcome::Reset));
                others.extend(again.into_iter().map(|(part, replica)| (part, 1, replica)));
                break;
            }
            others.extend((replica != under).then_some((part, 0, replica)));
        }
        for (part, attempt, replica) in others {
            driver.end_attempt(part, attempt, replica, 0.02, OK);
        }
        let steps = (0..300).find(|_| {
            sends(&driver.advance(0.01))
                .iter()
                .any(|(part, _)| *part == 20000)
        });
        steps.expect("a hedged request is sent")
    };
    let (ejected, healthy) = (hedged_after(true), hedged_after(false));
    assert!(ejected * 4 < healthy * 3, "{ejected} steps and {healthy}");
}
