//! Unit tests of watch_schedule.rs.

use super::*;
use crate::endpoints::directory::ConnectionKey;
use crate::endpoints::overdue_calls::OverdueCalls;
use oorandom::Rand64;
use slotmap::SlotMap;
use std::collections::VecDeque;

/// Returns the schedules of a fleet whose mixers all start now, each with a cached list.
fn start_fleet(mixers: u32, rng: &mut Rand64) -> Vec<WatchSchedule> {
    let start = |_| {
        let mut schedule = WatchSchedule::new(mixers, 10.0, 0.0);
        schedule.list_received(0.0, rng.rand_float());
        schedule
    };
    (0..mixers).map(start).collect()
}

/// Simulates a fleet and a discovery that answers calls one after the other in `service_s` each. Calls that waited for 2 s time
/// out and cost discovery nothing. Calls that are made while discovery is down time out after 2 s too. Returns the time at which
/// each mixer was notified, and the number of calls.
fn simulate(
    mixers: u32,
    service_s: f64,
    down_until: f64,
    length_s: f64,
) -> (Vec<Option<f64>>, usize) {
    let mut rng = Rand64::new(5);
    let mut all = start_fleet(mixers, &mut rng);
    let mut notified = vec![None; mixers as usize];
    let mut free_at = 0.0f64;
    let mut calls = 0;
    let mut timeouts: Vec<(f64, usize)> = Vec::new();
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
                free_at = begun + service_s;
                notified[index] = Some(free_at);
                timeouts.retain(|(_, other)| *other != index);
            }
        }
        let (expired, pending): (Vec<_>, Vec<_>) =
            timeouts.into_iter().partition(|(at, _)| *at <= now);
        timeouts = pending;
        expired
            .into_iter()
            .for_each(|(_, index)| all[index].call_failed(now, rng.rand_float()));
        for (index, schedule) in all.iter_mut().enumerate() {
            if schedule.take_due(now) {
                calls += 1;
                timeouts.push((now + 2.0, index));
                if now >= down_until {
                    queue.push_back((now, index));
                }
            }
        }
    }
    (notified, calls)
}

/// Simulates a fleet and a discovery that answers calls one after the other in `service_s` each, regardless of how long they
/// waited and whether the mixer has closed them. Mixers leave overdue calls open. Returns the time at which each mixer was
/// notified, and the number of calls.
fn simulate_with_open_calls(
    mixers: u32,
    service_s: f64,
    length_s: f64,
) -> (Vec<Option<f64>>, usize) {
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
            free_at = free_at.max(since) + service_s;
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

/// Observed during a release in a fleet of 100 mixers: 63 mixers called at the same times for 13 s, and all their calls failed.
#[test]
fn a_fleet_that_starts_together_is_notified_soon() {
    let (notified, calls) = simulate(100, 0.055, 0.0, 30.0);
    assert!(
        notified.iter().all(|at| at.is_some_and(|at| at < 9.0)),
        "{notified:?}"
    );
    assert!(calls < 150, "{calls} calls");
}

/// Discovery can answer a third of the fleet's first calls before they time out. The fleet backs off, and all mixers are notified
/// in little more time than discovery needs to answer each of them once.
#[test]
fn a_fleet_backs_off_from_an_overloaded_discovery() {
    let (notified, calls) = simulate(100, 0.15, 0.0, 100.0);
    assert!(
        notified.iter().all(|at| at.is_some_and(|at| at < 30.0)),
        "{notified:?}"
    );
    assert!(calls < 500, "{calls} calls");
}

/// Discovery is overloaded by the fleet's first calls, spends time also on calls that the mixers have closed, and fails no calls.
/// The fleet backs off, and all mixers are notified in little more time than discovery needs to answer each of them once.
#[test]
fn all_mixers_are_notified_although_discovery_spends_time_on_closed_calls() {
    let (notified, calls) = simulate_with_open_calls(100, 0.15, 100.0);
    assert!(
        notified.iter().all(|at| at.is_some_and(|at| at < 30.0)),
        "{notified:?}"
    );
    assert!(calls < 500, "{calls} calls");
}

/// A change counts as notified 6 s after discovery is reachable. All mixers receive the change within this time, after long
/// outages as well as after short ones. This holds for 300 mixers, because discovery can answer that many calls for changes in
/// the time.
#[rstest::rstest]
#[case::few(3, 0.05)]
#[case::thirty(30, 0.02)]
#[case::many(300, 0.004)]
fn a_fleet_is_notified_within_six_seconds_of_the_end_of_an_outage(
    #[case] mixers: u32,
    #[case] service_s: f64,
) {
    for down_s in [1.0, 7.0, 20.0] {
        let (notified, _) = simulate(mixers, service_s, down_s, 60.0);
        assert!(
            notified
                .iter()
                .all(|at| at.is_some_and(|at| at < down_s + 6.0)),
            "{mixers}: {notified:?}"
        );
    }
}

/// A large fleet calls at growing intervals if discovery answers none of its calls.
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

/// Without a list no request can be served, so the first call is made immediately.
#[test]
fn a_mixer_without_a_list_calls_at_once() {
    let mut schedule = WatchSchedule::new(100, 10.0, 7.0);
    assert!(schedule.take_due(7.0) && !schedule.take_due(7.0));
    schedule.list_received(8.0, 0.9);
    assert!(
        !schedule.take_due(60.0),
        "no call is due while a watch is open"
    );
}

/// Missed changes count as notified, so delays are bounded: the first call is made within half the maximum age of a list, and the
/// call after a failure within four times the maximum age.
#[test]
fn delays_are_bounded_by_the_maximum_age_of_a_list() {
    let mut schedule = WatchSchedule::new(5000, 10.0, 0.0);
    schedule.list_received(0.0, 1.0);
    assert!(schedule.take_due(5.0));
    for round in 1..20 {
        let now = f64::from(round) * 100.0;
        schedule.call_failed(now, 1.0);
        assert!(schedule.take_due(now + 38.0));
    }
}

/// The time after which a call is overdue grows with the fleet and with the number of open calls. A fleet that is small enough to
/// call more often than the schedule retries after a time that does not depend on the open calls.
#[rstest::rstest]
#[case::few(3, 0, 0.3, Some(0.3))]
#[case::few_with_two_open(3, 2, 1.2, Some(0.3))]
#[case::some(12, 0, 1.2, Some(1.2))]
#[case::some_with_one_open(12, 1, OPEN_TIMEOUT_S, Some(1.2))]
#[case::many(32, 0, OPEN_TIMEOUT_S, None)]
fn the_time_until_a_call_is_overdue_depends_on_the_fleet_and_the_open_calls(
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
