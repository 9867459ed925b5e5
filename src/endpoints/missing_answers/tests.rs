//! Tests of missing_answers.rs.

use super::*;
use rstest::rstest;

const AT: f64 = 100.0;
/// What is used of a grace of 0.5 s.
const USED_GRACE_S: f64 = 0.3;

/// The answers of a discovery that has answered before, after calls that ended so.
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
fn an_answer_is_missing_by_how_its_call_ended(#[case] end: CallEnd, #[case] since: Option<f64>) {
    let answers = after(&[(end, AT)]);
    assert_eq!(
        (answers.since(AT), answers.needs_call(AT)),
        (since, since.is_some())
    );
}

/// Only the answer to a call made after the lost one contains what that one did.
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
        "the first one counts, and the last one has to be replaced"
    );
    answers.answered(AT + 0.1);
    assert_eq!(
        (answers.since(AT + 0.2), answers.needs_call(AT + 0.2)),
        (None, false)
    );
}

/// The rest of an answer that has begun to arrive may never be received.
#[test]
fn an_answer_that_arrives_counts_from_its_beginning() {
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
        "for ever"
    );
}

/// An outage begins with watches that end. If no call is answered after that, no answer was written.
#[rstest]
#[case::connections_refused(CallEnd::NotSent, 0.5)]
#[case::closed_without_a_byte(CallEnd::Closed, PRESUMED_DOWN_S)]
#[case::refused(CallEnd::Refused, PRESUMED_DOWN_S)]
#[case::not_answered(CallEnd::TimedOut, PRESUMED_DOWN_S)]
fn a_discovery_that_is_down_has_written_nothing(
    #[case] way: CallEnd,
    #[case] presumed_after_s: f64,
) {
    let mut answers = after(&[(CallEnd::Closed, AT)]);
    let mut ended_at = AT;
    while answers.needs_call(ended_at) {
        assert!(ended_at < AT + 30.0, "never presumed");
        ended_at += 0.25;
        answers.call_ended(way, ended_at, ended_at);
    }
    assert_eq!(ended_at, AT + presumed_after_s);
    answers.call_ended(way, ended_at + 1.0, ended_at + 1.0);
    assert_eq!(
        answers.since(ended_at + 1.0),
        None,
        "another end of the same kind changes nothing"
    );
    answers.call_ended(CallEnd::CutOff, ended_at + 2.0, ended_at + 2.0);
    assert_eq!(
        answers.since(ended_at + 2.0),
        Some(ended_at + 2.0),
        "but it is back"
    );
}

/// In an outage calls end with 503 or a reset, as the protocol has it: its resets are presumed unanswered once. An end of
/// another kind, or any end after an answer, may again stand for a lost answer.
#[test]
fn resets_of_an_outage_are_presumed_once() {
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

/// Only an answer replaces one that was certainly written.
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

/// Two retries fit into the grace even with the largest jitter; those of a fleet are spread.
#[test]
fn retries_fit_into_the_grace_and_back_off() {
    let delay_s = |lost: usize, mixers: u32| {
        after(&vec![(CallEnd::CutOff, AT); lost]).retry_delay_s(mixers, false, 1.0)
    };
    assert!(delay_s(1, 4) + delay_s(2, 4) + delay_s(3, 4) < USED_GRACE_S);
    assert!(delay_s(1, 300) < USED_GRACE_S);
    assert!(
        delay_s(50, 4) <= 0.15,
        "a small fleet retries soon, however long it lasts"
    );
    assert!(
        delay_s(50, 300) < USED_GRACE_S,
        "the queue of 300 is harmless"
    );
    let prompt_s =
        |lost: usize| after(&vec![(CallEnd::Closed, AT); lost]).retry_delay_s(860, true, 1.0);
    assert!(
        prompt_s(1) + prompt_s(2) + prompt_s(3) < USED_GRACE_S && prompt_s(20) > 1.0,
        "there is no queue"
    );
    assert!((1.0..=1.5).contains(&delay_s(1, 860)) && (1.0..=1.5).contains(&delay_s(50, 860)));
}

#[test]
fn a_successor_inherits_a_missing_answer() {
    let before = after(&[(CallEnd::CutOff, AT)]);
    let mut next = MissingAnswers::default();
    next.inherit(5.0, before.hand_over(AT + 0.25).expect("one is missing"));
    assert_eq!(next.since(5.0), Some(4.75));
    next.answered(5.0);
    assert_eq!((next.since(5.0), next.hand_over(5.0)), (None, None));
}

/// A change that counts as notified while the process was stopped is certain.
#[test]
fn a_change_notified_while_the_process_was_stopped_stays_missing() {
    let mut answers = MissingAnswers::default();
    answers.change_missed(AT, AT + 2.0);
    answers.call_ended(CallEnd::NotSent, AT + 2.0, AT + 2.0);
    answers.call_ended(CallEnd::NotSent, AT + 2.0, AT + 2.0);
    assert_eq!(answers.since(AT + 60.0), Some(AT));
    answers.answered(AT + 2.0);
    assert_eq!(answers.since(AT + 60.0), None);
}

/// Of calls that end in two ways by turns some may have been answered.
#[test]
fn an_end_of_another_kind_restarts_the_presumption() {
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

/// A mixer that starts while each call is closed or reset serves by the list that it has: discovery was never up.
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
            "the first ones may have been answered"
        );
    }
    assert_eq!(answers.since(AT + PRESUMED_DOWN_AT_START_S), None);
}
