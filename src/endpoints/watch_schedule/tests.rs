//! Tests of watch_schedule.rs that use its private items.

use super::*;
use crate::endpoints::directory::ConnectionKey;
use crate::endpoints::overdue_calls::OverdueCalls;
use oorandom::Rand64;
use slotmap::SlotMap;
use std::collections::VecDeque;

/// The schedules of a fleet whose mixers all start now, each with a list from before.
fn start_fleet(mixers: u32, rng: &mut Rand64) -> Vec<WatchSchedule> {
    let start = |_| {
        let mut schedule = WatchSchedule::new(mixers, 10.0, 0.0);
        schedule.list_received(0.0, rng.rand_float());
        schedule
    };
    (0..mixers).map(start).collect()
}

/// A discovery that answers calls in turn, each for `turn_s`, and fails those that waited for 2 s, which costs it next to nothing.
/// One that is down fails calls after as long. Gives when each mixer was notified, and how many calls were made in all.
fn play(mixers: u32, turn_s: f64, down_until: f64, length_s: f64) -> (Vec<Option<f64>>, usize) {
    let mut rng = Rand64::new(5);
    let mut all = start_fleet(mixers, &mut rng);
    let mut notified = vec![None; mixers as usize];
    let mut free_at = 0.0f64;
    let mut calls = 0;
    let mut fails: Vec<(f64, usize)> = Vec::new();
    let mut queue: VecDeque<(f64, usize)> = VecDeque::new();
    for step in 0..(length_s * 100.0) as u32 {
        let now = f64::from(step) / 100.0;
        while let Some((since, index)) = queue
            .front()
            .copied()
            .filter(|(since, _)| free_at.max(*since) <= now)
        {
            queue.pop_front();
            let begun = free_at.max(since);
            if begun - since > 2.0 {
                free_at = begun;
            } else {
                free_at = begun + turn_s;
                notified[index] = Some(free_at);
                fails.retain(|(_, other)| *other != index);
            }
        }
        let (over, left): (Vec<_>, Vec<_>) = fails.into_iter().partition(|(at, _)| *at <= now);
        fails = left;
        over.into_iter()
            .for_each(|(_, index)| all[index].call_failed(now, rng.rand_float()));
        for (index, schedule) in all.iter_mut().enumerate() {
            if schedule.take_due(now) {
                calls += 1;
                fails.push((now + 2.0, index));
                if now >= down_until {
                    queue.push_back((now, index));
                }
            }
        }
    }
    (notified, calls)
}

/// A discovery that answers calls in turn, each for `turn_s`, however long they waited and whether or not the mixer has closed
/// them meanwhile. Mixers leave overdue calls open. Gives when each mixer was notified, and how many calls were made in all.
fn play_with_open_calls(mixers: u32, turn_s: f64, length_s: f64) -> (Vec<Option<f64>>, usize) {
    let mut rng = Rand64::new(5);
    let mut all = start_fleet(mixers, &mut rng);
    let mut overdue_calls: Vec<OverdueCalls> =
        (0..mixers).map(|_| OverdueCalls::default()).collect();
    let mut notified = vec![None; mixers as usize];
    let mut open: SlotMap<ConnectionKey, usize> = SlotMap::with_key();
    let mut queue: VecDeque<(f64, ConnectionKey)> = VecDeque::new();
    let mut overdue: VecDeque<(f64, ConnectionKey)> = VecDeque::new();
    let mut free_at = 0.0f64;
    let mut calls = 0;
    for step in 0..(length_s * 100.0) as u32 {
        let now = f64::from(step) / 100.0;
        while let Some((since, key)) = queue
            .front()
            .copied()
            .filter(|(since, _)| free_at.max(*since) <= now)
        {
            queue.pop_front();
            free_at = free_at.max(since) + turn_s;
            if let Some(index) = open.remove(key) {
                notified[index].get_or_insert(free_at);
            }
        }
        while let Some((_, key)) = overdue.front().copied().filter(|(at, _)| *at <= now) {
            overdue.pop_front();
            let Some(index) = open
                .get(key)
                .copied()
                .filter(|index| notified[*index].is_none())
            else {
                continue;
            };
            all[index].call_failed(now, rng.rand_float());
            if let Some(closed) = overdue_calls[index].add(key) {
                open.remove(closed);
            }
        }
        for (index, schedule) in all.iter_mut().enumerate() {
            if notified[index].is_none() && schedule.take_due(now) {
                calls += 1;
                let key = open.insert(index);
                queue.push_back((now, key));
                overdue.push_back((now + overdue_after_s(mixers, 0), key));
            }
        }
    }
    (notified, calls)
}

/// Found on a release in a fleet of 100: 63 mixers called in step for 13 s, and all their calls failed.
#[test]
fn a_fleet_that_starts_at_once_is_notified_soon() {
    let (notified, calls) = play(100, 0.055, 0.0, 30.0);
    assert!(
        notified.iter().all(|at| at.is_some_and(|at| at < 9.0)),
        "{notified:?}"
    );
    assert!(calls < 150, "{calls} calls");
}

/// Discovery can answer a third of the calls that the fleet makes in its first turn: the fleet backs off, and all mixers are
/// notified in little more time than discovery needs for that.
#[test]
fn a_fleet_backs_off_from_an_overloaded_discovery() {
    let (notified, calls) = play(100, 0.15, 0.0, 100.0);
    assert!(
        notified.iter().all(|at| at.is_some_and(|at| at < 30.0)),
        "{notified:?}"
    );
    assert!(calls < 500, "{calls} calls");
}

/// The same where calls that their mixers have closed take their turns all the same, and no call fails by itself.
#[test]
fn a_discovery_whose_given_up_calls_cost_turns_tells_all_in_the_end() {
    let (notified, calls) = play_with_open_calls(100, 0.15, 100.0);
    assert!(
        notified.iter().all(|at| at.is_some_and(|at| at < 30.0)),
        "{notified:?}"
    );
    assert!(calls < 500, "{calls} calls");
}

/// A change counts as notified 6 s after discovery could be reached: 300 mixers receive it by then, because discovery answers
/// as many calls for changes; after a long outage as after a short one.
#[rstest::rstest]
#[case::few(3, 0.05)]
#[case::thirty(30, 0.02)]
#[case::many(300, 0.004)]
fn a_fleet_is_notified_within_six_seconds_of_the_end_of_an_outage(
    #[case] mixers: u32,
    #[case] turn_s: f64,
) {
    for down_s in [1.0, 7.0, 20.0] {
        let (notified, _) = play(mixers, turn_s, down_s, 60.0);
        assert!(
            notified
                .iter()
                .all(|at| at.is_some_and(|at| at < down_s + 6.0)),
            "{mixers}: {notified:?}"
        );
    }
}

/// Where each call that timed out takes its turn all the same, a fleet that overloads discovery calls ever less often.
#[test]
fn calls_to_a_discovery_that_answers_none_back_off() {
    let mut schedule = WatchSchedule::new(300, 10.0, 0.0);
    schedule.list_received(0.0, 0.0);
    let mut now = 0.0;
    let mut calls = Vec::new();
    while now < 400.0 {
        calls.extend(schedule.take_due(now).then_some(now));
        if calls.last() == Some(&now) {
            schedule.call_failed(now + 2.0, 0.5);
        }
        now += 0.01;
    }
    let within = |from: f64, to: f64| calls.iter().filter(|at| (from..to).contains(*at)).count();
    assert!(within(0.0, 25.0) >= 8, "{calls:?}");
    assert!(within(100.0, 200.0) <= 8, "{calls:?}");
}

/// Without any list nothing can be served: the first call is made at once.
#[test]
fn a_mixer_without_a_list_calls_at_once() {
    let mut schedule = WatchSchedule::new(100, 10.0, 7.0);
    assert!(schedule.take_due(7.0) && !schedule.take_due(7.0));
    schedule.list_received(8.0, 0.9);
    assert!(!schedule.take_due(60.0), "the watch goes on by itself");
}

/// What a mixer would have been notified of counts against it: it calls within the limit, four times that after a failure.
#[test]
fn no_delay_is_beyond_the_limits() {
    let mut schedule = WatchSchedule::new(5000, 10.0, 0.0);
    schedule.list_received(0.0, 1.0);
    assert!(schedule.take_due(5.0));
    for round in 1..20 {
        let now = f64::from(round) * 100.0;
        schedule.call_failed(now, 1.0);
        assert!(schedule.take_due(now + 38.0));
    }
}

/// A call is overdue the later, the longer discovery takes for the fleet and the more calls are open already; only a fleet
/// that calls more often than by the schedule does not wait for that.
#[rstest::rstest]
#[case::few(3, 0, 0.3, Some(0.3))]
#[case::few_with_two_open(3, 2, 1.2, Some(0.3))]
#[case::some(12, 0, 1.2, Some(1.2))]
#[case::some_with_one_open(12, 1, OPEN_TIMEOUT_S, Some(1.2))]
#[case::many(32, 0, OPEN_TIMEOUT_S, None)]
fn a_call_is_overdue_by_the_size_of_the_fleet_and_the_calls_open(
    #[case] mixers: u32,
    #[case] overdue_calls: usize,
    #[case] expected_s: f64,
    #[case] retry_s: Option<f64>,
) {
    let is_close = |a: f64, b: f64| (a - b).abs() < 1e-9;
    assert!(is_close(overdue_after_s(mixers, overdue_calls), expected_s));
    let retry = retry_while_overdue_s(mixers);
    assert_eq!(retry.is_some(), retry_s.is_some());
    assert!(retry.zip(retry_s).is_none_or(|(a, b)| is_close(a, b)));
}
