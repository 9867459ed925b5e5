//! Tests of the selection of old attempts.

use super::*;
use proptest::prelude::*;

proptest! {
    /// Regardless of the order in which attempts end, exactly those in flight that were sent by the latest limit are returned.
    #[test]
    fn old_attempts_in_flight_are_found(steps in prop::collection::vec((0_u32..4, 0_usize..40), 0..200)) {
        let mut stragglers = Stragglers::default();
        let mut in_flight: Vec<(f64, AttemptId)> = Vec::new();
        let mut latest = f64::MIN;
        for (now, (step, which)) in steps.into_iter().enumerate() {
            let now = now as f64;
            match step {
                0 | 1 => {
                    // The order of the parts differs from the order of sending.
                    let part = PartId((now as u32 * 7919) % 1009);
                    let attempt = AttemptId { part, number: which };
                    if !in_flight.iter().any(|(_, other)| *other == attempt) {
                        stragglers.add(now, attempt);
                        in_flight.push((now, attempt));
                    }
                }
                2 if which < in_flight.len() => drop(in_flight.remove(which)),
                _ => {
                    let limit = now - which as f64;
                    latest = latest.max(limit);
                    let is_in_flight = |id: &AttemptId| in_flight.iter().any(|(_, other)| other == id);
                    let found = stragglers.sent_by(limit, is_in_flight);
                    let old = in_flight.iter().filter(|(at, _)| *at <= latest).map(|(_, id)| *id);
                    prop_assert_eq!(found, old.collect::<BTreeSet<_>>().into_iter().collect::<Vec<_>>());
                }
            }
        }
    }
}

#[test]
fn ended_attempts_at_the_front_are_dropped() {
    let mut stragglers = Stragglers::default();
    (0..1000).for_each(|number| {
        stragglers.add(
            1.0,
            AttemptId {
                part: PartId(number),
                number: 0,
            },
        )
    });
    assert!(stragglers.sent_by(0.0, |_| false).is_empty());
    assert!(stragglers.recent.is_empty() && stragglers.old.is_empty());
}
