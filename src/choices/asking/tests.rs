//! Tests of asking.rs that need its privates.

use super::*;
use oorandom::Rand64;

/// A discovery that takes calls in turn, each for `turn_s`, and fails those that waited for 2 s. Gives when each
/// mixer was told, and how many calls were made in all.
fn play(mixers: u32, turn_s: f64, down_until: f64, length_s: f64) -> (Vec<Option<f64>>, usize) {
    let mut rng = Rand64::new(5);
    let mut all: Vec<Asking> = (0..mixers).map(|_| Asking::new(mixers, 10.0, 0.0)).collect();
    all.iter_mut().for_each(|asking| asking.told(0.0, rng.rand_float()));
    let (mut told, mut free_at, mut calls) = (vec![None; mixers as usize], 0.0f64, 0);
    let mut fails: Vec<(f64, usize)> = Vec::new();
    for step in 0..(length_s * 100.0) as u32 {
        let now = f64::from(step) / 100.0;
        let (over, left): (Vec<_>, Vec<_>) = fails.into_iter().partition(|(at, _)| *at <= now);
        fails = left;
        over.into_iter().for_each(|(_, place)| all[place].failed(now, rng.rand_float()));
        for (place, asking) in all.iter_mut().enumerate() {
            if !asking.due(now) {
                continue;
            }
            calls += 1;
            if now < down_until {
                fails.push((now, place));
                continue;
            }
            free_at = free_at.max(now) + turn_s;
            match free_at - now > 2.0 {
                true => fails.push((now + 2.0, place)),
                false => told[place] = Some(free_at),
            }
        }
    }
    (told, calls)
}

/// Found on a release in a fleet of 100: 63 mixers asked in step for 13 s and were all turned away.
#[test]
fn a_whole_fleet_that_starts_at_once_is_told_soon() {
    let (told, calls) = play(100, 0.055, 0.0, 30.0);
    assert!(told.iter().all(|at| at.is_some_and(|at| at < 9.0)), "{told:?}");
    assert!(calls < 150, "{calls} calls");
}

/// Discovery can bear a third of what the fleet asks in its first turn: it is not asked to death.
#[test]
fn an_overbooked_discovery_is_asked_less_and_less() {
    let (told, calls) = play(100, 0.15, 0.0, 100.0);
    assert!(told.iter().all(Option::is_some), "{told:?}");
    assert!(calls < 500, "{calls} calls");
}

#[test]
fn what_was_down_is_asked_soon_after_it_is_back() {
    for (mixers, late) in [(3, 6.0), (100, 16.0)] {
        let (told, _) = play(mixers, 0.05, 20.0, 60.0);
        assert!(told.iter().all(|at| at.is_some_and(|at| at < 20.0 + late)), "{mixers}: {told:?}");
    }
}

/// Without any list there is nothing to serve with: the first call waits for nobody.
#[test]
fn a_mixer_without_a_list_asks_at_once() {
    let mut asking = Asking::new(100, 10.0, 7.0);
    assert!(asking.due(7.0) && !asking.due(7.0));
    asking.told(8.0, 0.9);
    assert!(!asking.due(60.0), "the watch goes on by itself");
}

/// The rules hold a mixer to what it would have been told: it asks within the limit, four times that after a failure.
#[test]
fn no_wait_is_beyond_the_limits() {
    let mut asking = Asking::new(5000, 10.0, 0.0);
    asking.told(0.0, 1.0);
    assert!(asking.due(5.0));
    for round in 1..20 {
        let now = f64::from(round) * 100.0;
        asking.failed(now, 1.0);
        assert!(asking.due(now + 38.0));
    }
}
