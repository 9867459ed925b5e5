//! Unit tests of lease.rs.

use super::*;
use crate::endpoints::watch_schedule::WatchSchedule;
use oorandom::Rand64;

const STARTED_AT: f64 = 100.0;
const GRACE_S: f64 = 0.5;

fn lease() -> ListLease {
    ListLease::new(true, GRACE_S, STARTED_AT)
}

/// Records that a call made at `made_at` confirmed the list as of `at`.
fn confirm_by_call(lease: &mut ListLease, made_at: f64, at: f64) {
    let outcome = CallOutcome::Confirmed {
        made_at,
        answer_not_before: at,
    };
    assert_eq!(lease.call_ended(outcome, at), NextCall::AsScheduled);
}

/// Records that an answer confirmed the list at `at`.
fn confirm(lease: &mut ListLease, at: f64) {
    confirm_by_call(lease, at, at);
}

/// Records a failed call whose answer, if any, was not written before the end of the call.
fn fail_with(lease: &mut ListLease, end: CallEnd, began_at: f64, now: f64) -> NextCall {
    let outcome = CallOutcome::Failed {
        began_at,
        end,
        answer_not_before: now,
    };
    lease.call_ended(outcome, now)
}

/// Records a failed call to which discovery wrote no list.
fn fail(lease: &mut ListLease, began_at: f64, now: f64) {
    let next = fail_with(lease, CallEnd::Refused, began_at, now);
    assert_eq!(next, NextCall::AsScheduled);
}

#[test]
fn without_discovery_the_lease_never_expires() {
    let lease = ListLease::new(false, GRACE_S, STARTED_AT);
    assert!(lease.is_valid(STARTED_AT + 1e9) && !lease.needs_call(STARTED_AT + 1e9));
}

#[test]
fn a_list_from_before_the_start_is_not_used_until_it_is_confirmed() {
    let mut lease = lease();
    assert!(!lease.is_valid(STARTED_AT) && !lease.is_valid(STARTED_AT + 60.0));
    confirm(&mut lease, STARTED_AT + 1.0);
    assert!(lease.is_valid(STARTED_AT + 1.0) && lease.is_valid(STARTED_AT + 6.9));
    assert!(
        !lease.is_valid(STARTED_AT + 7.0),
        "missed changes count as notified"
    );
}

/// Neither one or two failed calls nor many failures within a short time show that discovery is down.
#[test]
fn a_list_from_before_the_start_is_used_while_discovery_is_unreachable() {
    let mut lease = lease();
    for index in 0..20 {
        let at = STARTED_AT + 0.01 * f64::from(index);
        fail(&mut lease, at, at);
    }
    assert!(!lease.is_valid(STARTED_AT + 1.4) && lease.is_valid(STARTED_AT + 1.5));
    let mut lease = self::lease();
    fail(&mut lease, STARTED_AT + 2.0, STARTED_AT + 2.0);
    fail(&mut lease, STARTED_AT + 3.0, STARTED_AT + 3.1);
    assert!(
        !lease.is_valid(STARTED_AT + 4.0),
        "two quick failures are not enough"
    );
    fail(&mut lease, STARTED_AT + 4.0, STARTED_AT + 4.0);
    assert!(lease.is_valid(STARTED_AT + 4.0));
    assert!(
        !lease.is_valid(STARTED_AT + 10.1),
        "the lease expires, because no call was made since"
    );
}

/// Calls whose answers may have been lost do not show that discovery is down. A list from before the start is not used then, not
/// even for the drain grace.
#[test]
fn a_list_from_before_the_start_is_not_used_while_an_answer_may_be_missing() {
    let mut lease = lease();
    for index in 0..20 {
        let at = STARTED_AT + 0.1 * f64::from(index);
        let next = fail_with(&mut lease, CallEnd::Reset, at, at);
        assert_eq!(next, NextCall::Early);
        assert!(!lease.is_valid(at), "{at}");
    }
    assert!(
        lease.is_valid(STARTED_AT + 4.0),
        "discovery never answered and is presumed down"
    );
}

/// A call that fails after a long time is stronger evidence of an outage than a call that is reset.
#[test]
fn a_slow_failed_call_counts_as_several() {
    let mut lease = lease();
    fail(&mut lease, STARTED_AT + 0.1, STARTED_AT + 1.4);
    assert!(!lease.is_valid(STARTED_AT + 1.4) && lease.is_valid(STARTED_AT + 1.5));
}

/// A first call that stays unanswered counts as failed while it is still in flight. After the first answer, calls in flight do
/// not count.
#[test]
fn an_unanswered_first_call_counts_as_failed_after_the_slow_call_time() {
    let mut lease = lease();
    lease.call_made(STARTED_AT + 1.0);
    assert!(!lease.is_valid(STARTED_AT + 2.1) && lease.is_valid(STARTED_AT + 2.2));
    assert!((lease.next_check_at(STARTED_AT + 1.0) - (STARTED_AT + 2.2)).abs() < 1e-9);
    confirm(&mut lease, STARTED_AT + 2.3);
    lease.call_made(STARTED_AT + 8.0);
    assert!(!lease.is_valid(STARTED_AT + 9.5));
}

/// The lease does not require calls before the first calls and retries, which jitter spreads over a fleet.
#[test]
fn the_lease_requires_no_call_before_the_spread_calls() {
    let mut lease = lease();
    assert!(
        !lease.needs_call(STARTED_AT + 1.0),
        "the first call is spread"
    );
    confirm(&mut lease, STARTED_AT);
    lease.request_received(STARTED_AT + 4.4);
    fail(&mut lease, STARTED_AT, STARTED_AT + 4.5);
    lease.request_received(STARTED_AT + 4.6);
    assert!(!lease.needs_call(STARTED_AT + 5.9) && lease.needs_call(STARTED_AT + 6.0));
}

/// A paused process makes no calls and receives nothing, so its lease must expire.
#[test]
fn the_lease_expires_if_no_call_is_made() {
    let mut lease = lease();
    confirm(&mut lease, STARTED_AT);
    fail(&mut lease, STARTED_AT + 4.0, STARTED_AT + 4.0);
    assert!(lease.is_valid(STARTED_AT + 9.9) && !lease.is_valid(STARTED_AT + 10.1));
    confirm(&mut lease, STARTED_AT + 12.0);
    assert!(lease.is_valid(STARTED_AT + 12.0));
}

/// An answer that was read late confirms the list only as of the time at which it was written.
#[test]
fn an_older_confirmation_does_not_shorten_the_lease() {
    let mut lease = lease();
    confirm(&mut lease, STARTED_AT + 5.0);
    confirm(&mut lease, STARTED_AT + 2.0);
    assert_eq!(lease.expires_at(STARTED_AT + 5.0), STARTED_AT + 11.0);
}

/// If discovery is configured while the mixer runs, the operators' list was correct until then, and the list of the new discovery
/// counts as notified 4 s later.
#[test]
fn a_new_discovery_has_to_send_its_list_within_four_seconds() {
    let mut lease = ListLease::new(false, GRACE_S, STARTED_AT);
    lease.discovery_changed(STARTED_AT + 50.0);
    assert!(lease.is_valid(STARTED_AT + 53.9) && !lease.is_valid(STARTED_AT + 54.1));
    fail(&mut lease, STARTED_AT + 52.0, STARTED_AT + 52.0);
    assert!(
        lease.is_valid(STARTED_AT + 57.9),
        "discovery is unreachable"
    );
    confirm(&mut lease, STARTED_AT + 60.0);
    lease.discovery_changed(STARTED_AT + 60.1);
    assert!(lease.is_valid(STARTED_AT + 64.0) && !lease.is_valid(STARTED_AT + 64.2));
    lease.discovery_changed(STARTED_AT + 100.0);
    assert!(
        !lease.is_valid(STARTED_AT + 100.0),
        "a switch to another discovery does not renew the lease"
    );
}

/// Changes that a long watch misses count as notified only after its wait, so the list stays in use until then.
#[test]
fn a_long_watch_extends_the_lease_until_the_end_of_its_wait() {
    let mut lease = lease();
    lease.watch_opened(STARTED_AT + 60.0);
    assert!(!lease.is_valid(STARTED_AT), "a watch confirms nothing");
    confirm(&mut lease, STARTED_AT);
    lease.watch_opened(STARTED_AT + 30.0);
    assert!(lease.is_valid(STARTED_AT + 31.4) && !lease.is_valid(STARTED_AT + 31.6));
    lease.watch_opened(STARTED_AT + 3.0);
    assert!(
        lease.is_valid(STARTED_AT + 5.9),
        "a short watch does not shorten the lease"
    );
}

/// While discovery's list exceeds the size limit, no call is made, and the last list stays in use.
#[test]
fn a_list_that_cannot_be_read_suspends_calls_and_extends_the_lease() {
    let mut lease = lease();
    lease.suspend_calls(STARTED_AT + 60.0);
    assert!(!lease.is_valid(STARTED_AT), "the list was never confirmed");
    confirm(&mut lease, STARTED_AT);
    lease.suspend_calls(STARTED_AT + 60.0);
    assert!(lease.is_valid(STARTED_AT + 65.0) && !lease.is_valid(STARTED_AT + 66.0));
}

#[test]
fn a_call_is_required_only_while_requests_are_received() {
    let mut lease = lease();
    confirm(&mut lease, STARTED_AT);
    assert!(!lease.needs_call(STARTED_AT + 3.0) && lease.needs_call(STARTED_AT + 3.6));
    assert!(
        !lease.needs_call(STARTED_AT + 60.0),
        "no request was received for long"
    );
    lease.request_received(STARTED_AT + 60.0);
    assert!(lease.needs_call(STARTED_AT + 60.0));
    fail(&mut lease, STARTED_AT + 60.0, STARTED_AT + 60.0);
    lease.request_received(STARTED_AT + 60.5);
    assert!(
        !lease.needs_call(STARTED_AT + 60.5),
        "the failed call extended the lease"
    );
}

/// Effect of a discovery outage on a mixer.
struct OutageResult {
    /// Time for which the lease was not valid (seconds).
    lapsed_s: f64,
    /// Time from the end of the outage to the call that was answered.
    notified_after_s: f64,
}

/// Simulates the calls of a mixer during and after a discovery outage.
fn simulate_outage(outage_s: f64, call_takes_s: f64, seed: u64) -> OutageResult {
    let mut rng = Rand64::new(u128::from(seed));
    let mut lease = lease();
    let mut schedule = WatchSchedule::new(300, 10.0, STARTED_AT);
    schedule.list_received(STARTED_AT, 0.0);
    assert!(schedule.take_due(STARTED_AT));
    confirm(&mut lease, STARTED_AT);
    let back_at = STARTED_AT + outage_s;
    schedule.call_failed(STARTED_AT, rng.rand_float());
    let mut lapsed_s = 0.0;
    let mut call_made_at: Option<f64> = None;
    for step in 0..((outage_s + 60.0) * 100.0) as u32 {
        let now = STARTED_AT + f64::from(step) / 100.0;
        lease.request_received(now);
        if !lease.is_valid(now) {
            lapsed_s += 0.01;
        }
        match call_made_at {
            Some(made_at) if made_at >= back_at => {
                return OutageResult {
                    lapsed_s,
                    notified_after_s: now - back_at,
                }
            }
            Some(made_at) if now >= made_at + call_takes_s => {
                call_made_at = None;
                fail(&mut lease, made_at, now);
                schedule.call_failed(now, rng.rand_float());
            }
            Some(_) => {}
            None if schedule.take_due(now) || lease.needs_call(now) => call_made_at = Some(now),
            None => {}
        }
    }
    panic!("the mixer was never notified");
}

/// In outages of any length, a mixer with requests continues to serve, and calls before a change counts as notified once
/// discovery is reachable again. Without the calls that the lease requires, the calls of 300 mixers were up to 20 s late after an
/// outage of 25 s.
#[rstest::rstest]
fn an_outage_of_any_length_neither_expires_the_lease_nor_delays_changes(
    #[values(3.0, 25.0, 60.0, 300.0)] outage_s: f64,
    #[values(0.01, 1.4, 2.0)] call_takes_s: f64,
) {
    for seed in 0..20 {
        let OutageResult {
            lapsed_s,
            notified_after_s,
        } = simulate_outage(outage_s, call_takes_s, seed);
        assert!(
            lapsed_s < 0.005,
            "seed {seed}: lease not valid for {lapsed_s} s"
        );
        assert!(
            notified_after_s < 6.0,
            "seed {seed}: notified {notified_after_s} s after the outage"
        );
    }
}

/// A successor process inherits the predecessor's lease. Changes of which discovery notifies the predecessor after the handover
/// count as notified to both, so the successor may use the list for the drain grace, or longer once its own call is answered
/// (before incident 2, it was used for the rest of the lease). If discovery is unreachable, it notifies neither process.
#[test]
fn a_successor_inherits_the_lease() {
    let mut before = lease();
    confirm(&mut before, STARTED_AT + 100.0);
    let handed = before.hand_over(STARTED_AT + 104.0);
    let mut after = ListLease::new(true, GRACE_S, 5.0); // on another clock
    after.inherit(5.0, handed);
    assert!(after.is_valid(5.2) && !after.is_valid(5.31));
    assert!(after.is_answer_missing(5.0));
    confirm_by_call(&mut after, 5.05, 5.1);
    assert!(after.is_valid(11.0) && !after.is_valid(11.2));
    let mut own = ListLease::new(true, GRACE_S, 5.0);
    confirm(&mut own, 5.1);
    own.inherit(5.2, handed);
    assert!(own.is_valid(11.0), "the successor's own answer is newer");
    let mut unreachable = lease();
    fail(&mut unreachable, STARTED_AT + 4.0, STARTED_AT + 6.0);
    fail(&mut unreachable, STARTED_AT + 6.0, STARTED_AT + 6.5);
    let mut after = ListLease::new(true, GRACE_S, 5.0);
    after.inherit(5.0, unreachable.hand_over(STARTED_AT + 7.0));
    assert!(
        after.is_valid(5.0) && !after.is_valid(10.1),
        "discovery was unreachable 1 s ago"
    );
}

/// An answer that the predecessor did not receive is missing for the successor too.
#[test]
fn a_successor_inherits_a_missing_answer() {
    let mut before = lease();
    confirm(&mut before, STARTED_AT);
    let next = fail_with(
        &mut before,
        CallEnd::CutOff,
        STARTED_AT + 1.0,
        STARTED_AT + 1.0,
    );
    assert_eq!(next, NextCall::Early);
    let mut after = ListLease::new(true, GRACE_S, 5.0);
    after.inherit(5.0, before.hand_over(STARTED_AT + 1.5));
    assert!(!after.is_valid(5.0));
    confirm_by_call(&mut after, 5.2, 5.5);
    assert!(after.is_valid(5.5));
}

/// A call that times out stays open while another call is made in parallel. The time after which the list from before the start
/// may be used runs from the first open call, not from the second.
#[test]
fn the_wait_before_an_unconfirmed_list_is_used_runs_from_the_first_open_call() {
    let mut lease = lease();
    lease.call_made(STARTED_AT + 0.1);
    let next = fail_with(
        &mut lease,
        CallEnd::TimedOut,
        STARTED_AT + 0.1,
        STARTED_AT + 0.4,
    );
    assert_eq!(next, NextCall::AsScheduled);
    lease.call_made(STARTED_AT + 0.4);
    assert!(!lease.is_valid(STARTED_AT + 1.4));
    assert!(lease.is_valid(STARTED_AT + MIN_UNCONFIRMED_WAIT_S));
}
