//! Tests of lease.rs.

use super::*;
use crate::endpoints::watch_schedule::WatchSchedule;
use oorandom::Rand64;

const STARTED_AT: f64 = 100.0;
const GRACE_S: f64 = 0.5;

fn lease() -> ListLease {
    ListLease::new(true, GRACE_S, STARTED_AT)
}

/// A call that was made at `made_at` confirms the list as it was at `at`.
fn confirm_by_call(lease: &mut ListLease, made_at: f64, at: f64) {
    let outcome = CallOutcome::Confirmed {
        made_at,
        answer_not_before: at,
    };
    assert_eq!(lease.call_ended(outcome, at), NextCall::AsScheduled);
}

/// An answer confirms the list at that time.
fn confirm(lease: &mut ListLease, at: f64) {
    confirm_by_call(lease, at, at);
}

/// A call fails whose answer, if any, is not before its end.
fn fail_with(lease: &mut ListLease, end: CallEnd, began_at: f64, now: f64) -> NextCall {
    let outcome = CallOutcome::Failed {
        began_at,
        end,
        answer_not_before: now,
    };
    lease.call_ended(outcome, now)
}

/// A call fails to which discovery wrote no answer.
fn fail(lease: &mut ListLease, began_at: f64, now: f64) {
    let next = fail_with(lease, CallEnd::Refused, began_at, now);
    assert_eq!(next, NextCall::AsScheduled);
}

#[test]
fn without_discovery_the_lease_never_ends() {
    let lease = ListLease::new(false, GRACE_S, STARTED_AT);
    assert!(lease.is_in_force(STARTED_AT + 1e9) && !lease.needs_call(STARTED_AT + 1e9));
}

#[test]
fn a_list_from_before_the_start_is_not_acted_on_until_it_is_confirmed() {
    let mut lease = lease();
    assert!(!lease.is_in_force(STARTED_AT) && !lease.is_in_force(STARTED_AT + 60.0));
    confirm(&mut lease, STARTED_AT + 1.0);
    assert!(lease.is_in_force(STARTED_AT + 1.0) && lease.is_in_force(STARTED_AT + 6.9));
    assert!(
        !lease.is_in_force(STARTED_AT + 7.0),
        "what was missed counts as notified"
    );
}

/// One or two calls that fail by chance do not show that discovery is down; nor do many that fail at once.
#[test]
fn a_list_from_before_the_start_is_acted_on_while_discovery_is_unreachable() {
    let mut lease = lease();
    for index in 0..20 {
        let at = STARTED_AT + 0.01 * f64::from(index);
        fail(&mut lease, at, at);
    }
    assert!(!lease.is_in_force(STARTED_AT + 1.4) && lease.is_in_force(STARTED_AT + 1.5));
    let mut lease = self::lease();
    fail(&mut lease, STARTED_AT + 2.0, STARTED_AT + 2.0);
    fail(&mut lease, STARTED_AT + 3.0, STARTED_AT + 3.1);
    assert!(!lease.is_in_force(STARTED_AT + 4.0), "two quick failures");
    fail(&mut lease, STARTED_AT + 4.0, STARTED_AT + 4.0);
    assert!(lease.is_in_force(STARTED_AT + 4.0));
    assert!(
        !lease.is_in_force(STARTED_AT + 10.1),
        "and no call was made since"
    );
}

/// Calls whose answers may have been lost do not show that discovery is down: the list from before the start is not used
/// for a grace either.
#[test]
fn a_list_from_before_the_start_is_not_acted_on_while_an_answer_is_missing() {
    let mut lease = lease();
    for index in 0..20 {
        let at = STARTED_AT + 0.1 * f64::from(index);
        let next = fail_with(&mut lease, CallEnd::Reset, at, at);
        assert_eq!(next, NextCall::Early);
        assert!(!lease.is_in_force(at), "{at}");
    }
    assert!(
        lease.is_in_force(STARTED_AT + 4.0),
        "discovery was never up"
    );
}

/// A call that was not answered for long shows more than one that was reset.
#[test]
fn a_slow_failed_call_counts_as_several() {
    let mut lease = lease();
    fail(&mut lease, STARTED_AT + 0.1, STARTED_AT + 1.4);
    assert!(!lease.is_in_force(STARTED_AT + 1.4) && lease.is_in_force(STARTED_AT + 1.5));
}

/// The first call has been in flight for long without an answer: it need not fail first. Once there was an answer, a call in
/// flight shows nothing.
#[test]
fn a_first_call_without_an_answer_counts_as_failed_after_a_while() {
    let mut lease = lease();
    lease.call_made(STARTED_AT + 1.0);
    assert!(!lease.is_in_force(STARTED_AT + 2.1) && lease.is_in_force(STARTED_AT + 2.2));
    assert!((lease.next_check_at(STARTED_AT + 1.0) - (STARTED_AT + 2.2)).abs() < 1e-9);
    confirm(&mut lease, STARTED_AT + 2.3);
    lease.call_made(STARTED_AT + 8.0);
    assert!(!lease.is_in_force(STARTED_AT + 9.5));
}

/// The first calls of a fleet that starts together, and its retries, are made when their jitter has them.
#[test]
fn the_lease_requires_no_call_before_the_spread_ones() {
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

/// A process that was stopped has made no call and received nothing.
#[test]
fn the_lease_ends_where_no_call_is_made() {
    let mut lease = lease();
    confirm(&mut lease, STARTED_AT);
    fail(&mut lease, STARTED_AT + 4.0, STARTED_AT + 4.0);
    assert!(lease.is_in_force(STARTED_AT + 9.9) && !lease.is_in_force(STARTED_AT + 10.1));
    confirm(&mut lease, STARTED_AT + 12.0);
    assert!(lease.is_in_force(STARTED_AT + 12.0));
}

/// An answer that was read late says only what was true when it was written.
#[test]
fn an_older_confirmation_does_not_shorten_the_lease() {
    let mut lease = lease();
    confirm(&mut lease, STARTED_AT + 5.0);
    confirm(&mut lease, STARTED_AT + 2.0);
    assert_eq!(lease.expires_at(STARTED_AT + 5.0), STARTED_AT + 11.0);
}

/// A discovery that is configured while the mixer runs: the operators' list was true until then, and what the new discovery
/// has counts as notified 4 s later.
#[test]
fn another_discovery_has_to_send_its_list_within_four_seconds() {
    let mut lease = ListLease::new(false, GRACE_S, STARTED_AT);
    lease.discovery_changed(STARTED_AT + 50.0);
    assert!(lease.is_in_force(STARTED_AT + 53.9) && !lease.is_in_force(STARTED_AT + 54.1));
    fail(&mut lease, STARTED_AT + 52.0, STARTED_AT + 52.0);
    assert!(lease.is_in_force(STARTED_AT + 57.9), "it is unreachable");
    confirm(&mut lease, STARTED_AT + 60.0);
    lease.discovery_changed(STARTED_AT + 60.1);
    assert!(lease.is_in_force(STARTED_AT + 64.0) && !lease.is_in_force(STARTED_AT + 64.2));
    lease.discovery_changed(STARTED_AT + 100.0);
    assert!(
        !lease.is_in_force(STARTED_AT + 100.0),
        "another discovery renews nothing"
    );
}

/// What a long watch misses counts as notified only after its wait: the list stays in use until then.
#[test]
fn a_long_watch_extends_the_lease_until_its_wait_is_over() {
    let mut lease = lease();
    lease.watch_opened(STARTED_AT + 60.0);
    assert!(!lease.is_in_force(STARTED_AT), "a watch confirms nothing");
    confirm(&mut lease, STARTED_AT);
    lease.watch_opened(STARTED_AT + 30.0);
    assert!(lease.is_in_force(STARTED_AT + 31.4) && !lease.is_in_force(STARTED_AT + 31.6));
    lease.watch_opened(STARTED_AT + 3.0);
    assert!(
        lease.is_in_force(STARTED_AT + 5.9),
        "a short one shortens nothing"
    );
}

/// While a list is too long to be read no call is made, and the last one stays in use, as the log says.
#[test]
fn a_list_that_cannot_be_read_suspends_calls_and_extends_the_lease() {
    let mut lease = lease();
    lease.suspend_calls(STARTED_AT + 60.0);
    assert!(!lease.is_in_force(STARTED_AT), "it was never confirmed");
    confirm(&mut lease, STARTED_AT);
    lease.suspend_calls(STARTED_AT + 60.0);
    assert!(lease.is_in_force(STARTED_AT + 65.0) && !lease.is_in_force(STARTED_AT + 66.0));
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
    assert!(!lease.needs_call(STARTED_AT + 60.5), "the lease runs on");
}

/// What an outage of discovery did to a mixer.
struct OutageResult {
    /// How long the lease was not in force.
    lapsed_s: f64,
    /// How long after the end of the outage the list was received.
    notified_after_s: f64,
}

/// A mixer's calls in an outage of discovery.
fn play_outage(outage_s: f64, call_takes_s: f64, seed: u64) -> OutageResult {
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
        if !lease.is_in_force(now) {
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
    panic!("never notified");
}

/// Outages of every length: a mixer with requests goes on serving, and calls within the term in which a change counts as
/// notified once discovery can be reached. Without calls for the lease, 300 mixers called up to 20 s late after 25 s.
#[rstest::rstest]
fn an_outage_of_any_length_neither_ends_the_lease_nor_delays_changes(
    #[values(3.0, 25.0, 60.0, 300.0)] outage_s: f64,
    #[values(0.01, 1.4, 2.0)] call_takes_s: f64,
) {
    for seed in 0..20 {
        let OutageResult {
            lapsed_s,
            notified_after_s,
        } = play_outage(outage_s, call_takes_s, seed);
        assert!(
            lapsed_s < 0.005,
            "seed {seed}: not in force for {lapsed_s} s"
        );
        assert!(
            notified_after_s < 6.0,
            "seed {seed}: notified {notified_after_s} s after its return"
        );
    }
}

/// A successor process knows what its predecessor knew, and no more: what discovery notifies to that one from then on counts
/// for both. So the list may be acted on for the grace, or until the successor's own call is answered (before incident 2: for
/// the rest of the lease). Where discovery was unreachable, nothing is notified to either.
#[test]
fn a_successor_inherits_the_lease() {
    let mut before = lease();
    confirm(&mut before, STARTED_AT + 100.0);
    let handed = before.hand_over(STARTED_AT + 104.0);
    let mut after = ListLease::new(true, GRACE_S, 5.0); // by another clock
    after.inherit(5.0, handed);
    assert!(after.is_in_force(5.2) && !after.is_in_force(5.31));
    assert!(after.is_answer_missing(5.0));
    confirm_by_call(&mut after, 5.05, 5.1);
    assert!(after.is_in_force(11.0) && !after.is_in_force(11.2));
    let mut own = ListLease::new(true, GRACE_S, 5.0);
    confirm(&mut own, 5.1);
    own.inherit(5.2, handed);
    assert!(own.is_in_force(11.0), "its own answer is newer");
    let mut away = lease();
    fail(&mut away, STARTED_AT + 4.0, STARTED_AT + 6.0);
    fail(&mut away, STARTED_AT + 6.0, STARTED_AT + 6.5);
    let mut after = ListLease::new(true, GRACE_S, 5.0);
    after.inherit(5.0, away.hand_over(STARTED_AT + 7.0));
    assert!(
        after.is_in_force(5.0) && !after.is_in_force(10.1),
        "discovery was unreachable 1 s ago"
    );
}

/// An answer that the predecessor missed is missing for its successor too.
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
    assert!(!after.is_in_force(5.0));
    confirm_by_call(&mut after, 5.2, 5.5);
    assert!(after.is_in_force(5.5));
}

/// A call that is not answered in time stays open: at the start the list is held back from its beginning on, not from the
/// beginning of the call beside it.
#[test]
fn a_list_from_before_the_start_is_held_back_from_the_first_open_call_on() {
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
    assert!(!lease.is_in_force(STARTED_AT + 1.4));
    assert!(lease.is_in_force(STARTED_AT + START_HOLD_S));
}
