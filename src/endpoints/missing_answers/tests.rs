//! Unit tests of missing_answers.rs.

use super::*;
use rstest::rstest;

/// Time of the first event in each test.
const AT: f64 = 100.0;
/// Part of a drain grace of 0.5 s that is used (seconds).
const USED_GRACE_S: f64 = 0.3;

/// Returns the state after calls that ended in these ways, to a discovery that had answered before.
fn after(ends: &[(CallEnd, f64)]) -> MissingAnswers {
    let mut answers = MissingAnswers::default();
    answers.answered(AT);
    for (end, at) in ends {
        answers.call_ended(*end, *at, *at);
    }
    answers
}

#[rstest]
#[case::not_sent(CallEnd::NotSent, None)]
#[case::refused(CallEnd::Refused, None)]
#[case::timed_out(CallEnd::TimedOut, None)]
#[case::closed(CallEnd::Closed, Some(AT))]
#[case::reset(CallEnd::Reset, Some(AT))]
#[case::cut_off(CallEnd::CutOff, Some(AT))]
fn the_end_of_a_call_determines_whether_an_answer_is_missing(
    #[case] end: CallEnd,
    #[case] since: Option<f64>,
) {
    let answers = after(&[(end, AT)]);
    assert_eq!(
        (answers.since(AT), answers.needs_call(AT)),
        (since, since.is_some())
    );
}

/// Only the answer to a call that was made after the answer was lost contains everything that the lost answer did.
#[test]
fn an_answer_to_an_earlier_call_does_not_replace_a_lost_one() {
    let mut answers = MissingAnswers::default();
    answers.call_ended(CallEnd::CutOff, AT, AT + 0.01);
    answers.answered(AT + 0.005);
    assert_eq!(answers.since(AT + 0.1), Some(AT));
    answers.call_ended(CallEnd::CutOff, AT + 0.1, AT + 0.1);
    answers.answered(AT + 0.05);
    assert_eq!(
        answers.since(AT + 0.2),
        Some(AT),
        "the time of the first lost answer counts, and a call after the last one is needed"
    );
    answers.answered(AT + 0.1);
    assert_eq!(
        (answers.since(AT + 0.2), answers.needs_call(AT + 0.2)),
        (None, false)
    );
}

/// The rest of an answer that has begun to arrive may never be received.
#[test]
fn an_arriving_answer_counts_as_missing_from_its_first_byte() {
    let mut answers = MissingAnswers::default();
    answers.set_answer_arriving(Some(AT));
    assert_eq!(
        (answers.since(AT + 1.0), answers.needs_call(AT + 1.0)),
        (Some(AT), false)
    );
    answers.call_ended(CallEnd::CutOff, AT, AT + 0.15);
    answers.set_answer_arriving(None);
    assert_eq!(
        (answers.since(AT + 60.0), answers.needs_call(AT + 60.0)),
        (Some(AT), true),
        "the answer stays missing"
    );
}

/// An outage begins with the end of the watch. If no call is answered after that, no answer was written.
#[rstest]
#[case::connections_refused(CallEnd::NotSent, 0.5)]
#[case::closed_without_a_byte(CallEnd::Closed, PRESUMED_DOWN_S)]
#[case::refused(CallEnd::Refused, PRESUMED_DOWN_S)]
#[case::not_answered(CallEnd::TimedOut, PRESUMED_DOWN_S)]
fn a_discovery_that_is_down_has_written_nothing(
    #[case] end: CallEnd,
    #[case] presumed_after_s: f64,
) {
    let mut answers = after(&[(CallEnd::Closed, AT)]);
    let mut ended_at = AT;
    while answers.needs_call(ended_at) {
        assert!(ended_at < AT + 30.0, "discovery is never presumed down");
        ended_at += 0.25;
        answers.call_ended(end, ended_at, ended_at);
    }
    assert_eq!(ended_at, AT + presumed_after_s);
    answers.call_ended(end, ended_at + 1.0, ended_at + 1.0);
    assert_eq!(
        answers.since(ended_at + 1.0),
        None,
        "another call that ends in the same way changes nothing"
    );
    answers.call_ended(CallEnd::CutOff, ended_at + 2.0, ended_at + 2.0);
    assert_eq!(
        answers.since(ended_at + 2.0),
        Some(ended_at + 2.0),
        "a part of an answer shows that discovery is up"
    );
}

/// According to the protocol, calls in an outage end with status 503 or a reset. Once discovery is presumed down, further resets
/// do not count as lost answers. A call that ends in another way, or a reset after an answer, may again be a lost answer.
#[test]
fn further_resets_in_an_outage_are_presumed_unanswered() {
    let mut answers = after(&[
        (CallEnd::Reset, AT),
        (CallEnd::Refused, AT + PRESUMED_DOWN_S),
    ]);
    for round in 1..20 {
        let at = AT + PRESUMED_DOWN_S + f64::from(round);
        answers.call_ended(CallEnd::Reset, at, at);
        assert_eq!(answers.since(at), None);
        answers.call_ended(CallEnd::Refused, at + 0.5, at + 0.5);
    }
    let mut closed = answers;
    closed.call_ended(CallEnd::Closed, AT + 60.0, AT + 60.0);
    assert_eq!(closed.since(AT + 60.0), Some(AT + 60.0));
    answers.answered(AT + 60.0);
    answers.call_ended(CallEnd::Reset, AT + 61.0, AT + 61.0);
    assert_eq!(answers.since(AT + 61.0), Some(AT + 61.0));
}

/// An answer that was certainly written stays missing until a later call is answered.
#[test]
fn an_answer_that_was_written_stays_missing_while_discovery_is_down() {
    let refused = (CallEnd::NotSent, AT + 1.0);
    let answers = after(&[
        (CallEnd::CutOff, AT),
        refused,
        refused,
        refused,
        (CallEnd::Refused, AT + 20.0),
    ]);
    assert_eq!(answers.since(AT + 100.0), Some(AT));
}

/// Two retries fit into the drain grace even with the maximum jitter; the retries of a large fleet are spread.
#[test]
fn retries_fit_into_the_drain_grace_and_back_off() {
    let delay_s = |lost: usize, mixers: u32| {
        after(&vec![(CallEnd::CutOff, AT); lost]).retry_delay_s(mixers, false, 1.0)
    };
    assert!(delay_s(1, 4) + delay_s(2, 4) + delay_s(3, 4) < USED_GRACE_S);
    assert!(delay_s(1, 300) < USED_GRACE_S);
    assert!(
        delay_s(50, 4) <= 0.15,
        "a small fleet retries soon, even after many failures"
    );
    assert!(
        delay_s(50, 300) < USED_GRACE_S,
        "a queue of 300 calls needs no spreading"
    );
    let prompt_s =
        |lost: usize| after(&vec![(CallEnd::Closed, AT); lost]).retry_delay_s(860, true, 1.0);
    assert!(
        prompt_s(1) + prompt_s(2) + prompt_s(3) < USED_GRACE_S && prompt_s(20) > 1.0,
        "prompt calls show that there is no queue"
    );
    assert!((1.0..=1.5).contains(&delay_s(1, 860)) && (1.0..=1.5).contains(&delay_s(50, 860)));
}

#[test]
fn a_successor_inherits_a_missing_answer() {
    let before = after(&[(CallEnd::CutOff, AT)]);
    let mut next = MissingAnswers::default();
    next.inherit(
        5.0,
        before.hand_over(AT + 0.25).expect("an answer is missing"),
    );
    assert_eq!(next.since(5.0), Some(4.75));
    next.answered(5.0);
    assert_eq!((next.since(5.0), next.hand_over(5.0)), (None, None));
}

/// A change that counts as notified during a process pause was certainly written.
#[test]
fn a_change_notified_during_a_process_pause_stays_missing() {
    let mut answers = MissingAnswers::default();
    answers.change_missed(AT, AT + 2.0);
    answers.call_ended(CallEnd::NotSent, AT + 2.0, AT + 2.0);
    answers.call_ended(CallEnd::NotSent, AT + 2.0, AT + 2.0);
    assert_eq!(answers.since(AT + 60.0), Some(AT));
    answers.answered(AT + 2.0);
    assert_eq!(answers.since(AT + 60.0), None);
}

/// If calls alternately end in two ways, some of them may have been answered.
#[test]
fn a_call_that_ends_in_another_way_restarts_the_time_until_discovery_is_presumed_down() {
    let ends = [
        (CallEnd::Closed, AT),
        (CallEnd::Reset, AT + 1.0),
        (CallEnd::Reset, AT + 2.0),
    ];
    let mut answers = after(&ends);
    assert_eq!(answers.since(AT + 0.9 + PRESUMED_DOWN_S), Some(AT));
    assert_eq!(answers.since(AT + 1.0 + PRESUMED_DOWN_S), None);
    answers.call_ended(CallEnd::Closed, AT + 3.0, AT + 3.0);
    assert_eq!(answers.since(AT + 2.9 + PRESUMED_DOWN_S), Some(AT));
}

/// A mixer that starts while every call is closed or reset soon uses the list that it has, because discovery never answered.
#[rstest]
#[case(CallEnd::Closed)]
#[case(CallEnd::Reset)]
fn a_discovery_that_never_answered_is_presumed_down_soon(#[case] end: CallEnd) {
    let mut answers = MissingAnswers::default();
    for call in 0..39 {
        let at = AT + 0.1 * f64::from(call);
        answers.call_ended(end, at, at);
        assert_eq!(answers.since(at), Some(AT));
    }
    answers.call_ended(CallEnd::Refused, AT + 3.9, AT + 3.9);
    answers.call_ended(CallEnd::TimedOut, AT + 3.9, AT + 3.9);
    let other_end = if end == CallEnd::Closed {
        CallEnd::Reset
    } else {
        CallEnd::Closed
    };
    for other in [other_end, CallEnd::CutOff] {
        let mut mixed = answers;
        mixed.call_ended(other, AT + 3.95, AT + 3.95);
        assert_eq!(
            mixed.since(AT + 10.0),
            Some(AT),
            "the first calls may have been answered"
        );
    }
    assert_eq!(answers.since(AT + PRESUMED_DOWN_AT_START_S), None);
}
