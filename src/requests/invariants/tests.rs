//! Tests of the invariants: each rule stops forbidden actions and counts violations.

use super::*;
use rstest::rstest;

const NOW: f64 = 100.0;

fn ready() -> Destination {
    Destination {
        server: ServerState::Ready,
        drain_grace_s: 0.5,
        list_until: NOW + 6.0,
    }
}

fn call() -> CallTimes {
    CallTimes {
        send_by: f64::INFINITY,
        sent_beyond_client_s: 0.0,
        client_deadline: NOW + 1.0,
    }
}

fn draining(since: f64) -> Destination {
    Destination {
        server: ServerState::Draining { since },
        ..ready()
    }
}

#[rstest]
#[case::ready(ready(), Ok(()))]
#[case::stale_list(Destination { list_until: NOW, ..ready() }, Err(Invariant::StaleList))]
#[case::removed(Destination { server: ServerState::Removed, ..ready() }, Err(Invariant::Drain))]
#[case::draining_since_now(draining(NOW), Ok(()))]
#[case::draining_with_a_possible_stall(draining(NOW - 0.42), Err(Invariant::Drain))]
#[case::draining_past_its_grace(draining(NOW - 5.0), Err(Invariant::Drain))]
fn a_destination_is_allowed_unless_stale_removed_or_past_its_drain_grace(
    #[case] to: Destination,
    #[case] expected: Result<(), Invariant>,
) {
    let mut invariants = Invariants::default();
    assert_eq!(invariants.check_destination(NOW, &to), expected);
    for rule in Invariant::ALL {
        assert_eq!(invariants.stopped(rule), u64::from(expected == Err(rule)));
        assert_eq!(invariants.violations(rule), 0);
    }
}

#[rstest]
#[case::within_all_limits(call(), Ok(()))]
#[case::window_is_over(CallTimes { send_by: NOW - 0.001, ..call() }, Err(Invariant::Repeat))]
#[case::client_deadline_passed(CallTimes { client_deadline: NOW, ..call() }, Err(Invariant::ClientDisconnected))]
#[case::sent_timeout_too_long(CallTimes { sent_beyond_client_s: 0.2, ..call() }, Err(Invariant::SentTimeout))]
fn a_call_is_allowed_within_its_window_deadline_and_timeout(
    #[case] call: CallTimes,
    #[case] expected: Result<(), Invariant>,
) {
    assert_eq!(Invariants::default().check_call(NOW, &call), expected);
}

/// A delayed call is verified by the time at which it was written, with the tolerance of the operators' rules.
#[rstest]
#[case::in_time(NOW, ready(), call(), Ok(()))]
#[case::within_the_grace(NOW + 0.54, draining(NOW), call(), Ok(()))]
#[case::after_the_grace(NOW + 0.56, draining(NOW), call(), Err(Invariant::Drain))]
#[case::removed(NOW, Destination { server: ServerState::Removed, ..ready() }, call(), Err(Invariant::Drain))]
#[case::long_after_the_lease(NOW + 6.6, ready(), call(), Err(Invariant::StaleList))]
#[case::beyond_the_window(NOW + 0.2, ready(), CallTimes { send_by: NOW, ..call() }, Err(Invariant::Repeat))]
#[case::sent_timeout_too_long(NOW, ready(), CallTimes { sent_beyond_client_s: 0.2, ..call() }, Err(Invariant::SentTimeout))]
fn a_written_call_is_verified_against_the_time_of_writing(
    #[case] written_at: f64,
    #[case] to: Destination,
    #[case] call: CallTimes,
    #[case] expected: Result<(), Invariant>,
) {
    let mut invariants = Invariants::default();
    let written = WriteInterval {
        not_before: written_at,
        not_after: written_at,
    };
    let found = match invariants.verify_call(written, &to, &call) {
        Verification::Kept => Ok(()),
        Verification::Violated(rule) => Err(rule),
        Verification::Undecided(rule) => panic!("{rule:?} undecided with a single clock reading"),
    };
    assert_eq!(found, expected);
    assert_eq!(
        Invariant::ALL
            .map(|rule| invariants.violations(rule))
            .iter()
            .sum::<u64>(),
        u64::from(expected.is_err())
    );
}

/// Guards against a false violation (found with soak seed 3): the process was paused between a write and the next clock
/// reading, and a call that had been written in time counted as late.
#[rstest]
#[case::in_time(0.50, 0.54, Verification::Kept)]
#[case::stopped_across_the_limit(0.50, 2.76, Verification::Undecided(Invariant::Drain))]
#[case::stopped_before_the_write(0.56, 0.57, Verification::Violated(Invariant::Drain))]
fn a_written_call_is_verified_against_the_clock_on_both_sides_of_the_write(
    #[case] not_before_s: f64,
    #[case] not_after_s: f64,
    #[case] expected: Verification,
) {
    let mut invariants = Invariants::default();
    let written = WriteInterval {
        not_before: NOW + not_before_s,
        not_after: NOW + not_after_s,
    };
    let found = invariants.verify_call(written, &draining(NOW), &call());
    assert_eq!(found, expected);
    let counts = (
        invariants.violations(Invariant::Drain),
        invariants.undecided(Invariant::Drain),
    );
    let expected_counts = match expected {
        Verification::Kept => (0, 0),
        Verification::Violated(_) => (1, 0),
        Verification::Undecided(_) => (0, 1),
    };
    assert_eq!(counts, expected_counts);
}

#[rstest]
#[case::idempotent(Effect::Idempotent, Some(NOW - 50.0), 0, true, true)]
#[case::keyed_in_its_window(Effect::IdempotentWithKey, Some(NOW - 2.0), 0, true, true)]
#[case::keyed_after_its_window(Effect::IdempotentWithKey, Some(NOW - 2.6), 0, true, false)]
#[case::keyed_that_never_ran(Effect::IdempotentWithKey, None, 0, true, true)]
#[case::non_idempotent_that_may_have_run(Effect::NonIdempotent, Some(NOW), 0, true, false)]
#[case::non_idempotent_that_never_ran(Effect::NonIdempotent, None, 0, true, true)]
#[case::hedged_request(Effect::Idempotent, Some(NOW), 1, true, true)]
#[case::second_hedged_request(Effect::Idempotent, Some(NOW), 2, true, false)]
#[case::hedged_request_where_hedging_is_off(Effect::Idempotent, Some(NOW), 1, false, false)]
fn a_repeat_is_allowed_by_effect_window_and_hedging(
    #[case] effect: Effect,
    #[case] may_have_run_since: Option<f64>,
    #[case] in_flight: usize,
    #[case] hedging_allowed: bool,
    #[case] allowed: bool,
) {
    let repeat = Repeat {
        effect,
        may_have_run_since,
        window_s: 2.5,
        in_flight,
        hedging_allowed,
    };
    assert_eq!(
        Invariants::default().check_repeat(NOW, &repeat).is_ok(),
        allowed
    );
}

#[test]
fn starting_without_a_lease_is_stopped_and_late_answers_are_violations() {
    let mut invariants = Invariants::default();
    assert_eq!(invariants.check_start(NOW, NOW), Err(Invariant::StaleList));
    assert_eq!(invariants.check_start(NOW, NOW + 0.1), Ok(()));
    let at = |time: f64| DeadlineBounds {
        earliest: time,
        latest: time,
    };
    assert_eq!(
        invariants.verify_answer(NOW, at(NOW - 0.4)),
        Verification::Kept
    );
    assert_eq!(
        invariants.verify_answer(NOW, at(NOW - 0.6)),
        Verification::Violated(Invariant::Unanswered)
    );
    assert_eq!(
        (
            invariants.stopped(Invariant::StaleList),
            invariants.violations(Invariant::Unanswered)
        ),
        (1, 1)
    );
}

/// Guards against a false violation (found with soak seed 3): the process was paused before it read a request, so the time
/// at which the client had sent the request was unknown, and the answer counted as late.
#[rstest]
#[case::in_time_at_the_earliest(NOW - 0.4, NOW + 2.0, Verification::Kept)]
#[case::late_at_the_earliest_only(NOW - 2.0, NOW + 0.2, Verification::Undecided(Invariant::Unanswered))]
#[case::late_at_the_latest(NOW - 2.0, NOW - 0.6, Verification::Violated(Invariant::Unanswered))]
fn an_answer_is_verified_against_the_bounds_of_its_clients_deadline(
    #[case] earliest: f64,
    #[case] latest: f64,
    #[case] expected: Verification,
) {
    let bounds = DeadlineBounds { earliest, latest };
    assert_eq!(Invariants::default().verify_answer(NOW, bounds), expected);
}
