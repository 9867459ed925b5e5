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
        answers.call_ended(*end, *at, *at, *at);
    }
    answers
}

#[rstest]
#[case::not_sent(CallEnd::NotSent, None)]
#[case::refused(CallEnd::Refused, None)]
#[case::given_up(CallEnd::GivenUp, None)]
#[case::closed(CallEnd::Closed, Some(AT))]
#[case::reset(CallEnd::Reset, Some(AT))]
#[case::cut_off(CallEnd::CutOff, Some(AT))]
fn an_answer_is_missing_by_how_its_call_ended(#[case] end: CallEnd, #[case] since: Option<f64>) {
    let answers = after(&[(end, AT)]);
    assert_eq!(
        (answers.since(), answers.needs_call()),
        (since, since.is_some())
    );
}

/// Only the answer to a call made after the lost one contains what that one did.
#[test]
fn an_answer_to_an_earlier_call_does_not_replace_a_lost_one() {
    let mut answers = MissingAnswers::default();
    answers.call_ended(CallEnd::CutOff, AT, AT, AT + 0.01);
    answers.answered(AT + 0.005);
    assert_eq!(answers.since(), Some(AT));
    answers.call_ended(CallEnd::CutOff, AT + 0.1, AT + 0.1, AT + 0.1);
    answers.answered(AT + 0.05);
    assert_eq!(
        answers.since(),
        Some(AT),
        "the first one counts, and the last one has to be replaced"
    );
    answers.answered(AT + 0.1);
    assert_eq!((answers.since(), answers.needs_call()), (None, false));
}

/// The rest of an answer that has begun to arrive may never be received.
#[test]
fn an_answer_that_arrives_counts_from_its_beginning() {
    let mut answers = MissingAnswers::default();
    answers.set_answer_arriving(Some(AT));
    assert_eq!((answers.since(), answers.needs_call()), (Some(AT), false));
    answers.call_ended(CallEnd::CutOff, AT, AT, AT + 0.15);
    answers.set_answer_arriving(None);
    assert_eq!((answers.since(), answers.needs_call()), (Some(AT), true));
}

/// An outage begins with watches that end. If no call made after that brings a byte, no answer was written.
#[rstest]
#[case::connections_refused(CallEnd::NotSent, DOWN_AFTER_REFUSED_CONNECTIONS)]
#[case::closed(CallEnd::Closed, PRESUMED_DOWN_CALLS)]
#[case::reset(CallEnd::Reset, PRESUMED_DOWN_CALLS)]
#[case::refused(CallEnd::Refused, PRESUMED_DOWN_CALLS)]
#[case::not_answered(CallEnd::GivenUp, PRESUMED_DOWN_CALLS)]
fn a_discovery_that_is_down_has_written_nothing(#[case] end: CallEnd, #[case] calls: u32) {
    let mut answers = after(&[(CallEnd::Closed, AT)]);
    for call in 1..=calls {
        assert_eq!(answers.since(), Some(AT), "before call {call}");
        let at = AT + f64::from(call) * 0.1;
        answers.call_ended(end, at, at, at);
    }
    assert_eq!((answers.since(), answers.needs_call()), (None, false));
    for other in [CallEnd::Closed, CallEnd::Reset, CallEnd::Refused] {
        answers.call_ended(other, AT + 5.0, AT + 5.0, AT + 5.0);
        let is_new = end == CallEnd::NotSent;
        assert_eq!(answers.since().is_some(), is_new, "after {other:?}");
    }
    answers.call_ended(CallEnd::CutOff, AT + 6.0, AT + 6.0, AT + 6.0);
    assert!(answers.since().is_some(), "but it is back");
}

/// Calls that end in different ways in turns, as in an outage, are counted alike; after an answer they count anew.
#[test]
fn ends_of_different_kinds_show_an_outage_together() {
    let kinds = [CallEnd::Closed, CallEnd::Refused, CallEnd::Reset];
    let mut answers = after(&[(CallEnd::Reset, AT)]);
    for end in kinds.into_iter().cycle().take(PRESUMED_DOWN_CALLS as usize) {
        assert_eq!(answers.since(), Some(AT));
        answers.call_ended(end, AT + 0.1, AT + 0.1, AT + 0.1);
    }
    assert_eq!(answers.since(), None);
    answers.answered(AT + 0.4);
    answers.call_ended(CallEnd::Reset, AT + 0.5, AT + 0.5, AT + 0.5);
    assert_eq!(answers.since(), Some(AT + 0.5));
}

/// One cause may end all calls that are open: only calls made one after the other show that discovery is down.
#[test]
fn calls_that_were_open_together_show_no_outage() {
    let mut answers = after(&[(CallEnd::Closed, AT)]);
    for made_at in [-2.0, -1.0, -0.5, -0.3, -0.2, -0.1, -0.01].map(|ago_s| AT + ago_s) {
        answers.call_ended(CallEnd::Reset, made_at, AT, AT);
    }
    assert_eq!(answers.since(), Some(AT));
    for _ in 0..10 {
        answers.call_ended(CallEnd::Refused, AT + 0.1, AT + 0.2, AT + 0.2);
    }
    assert_eq!(
        answers.since(),
        Some(AT),
        "a call and those beside it count once"
    );
}

/// What an answer takes out of use after an outage was so since the first answer that may be missing; until then the retries stay
/// early, because an answer at the end of the outage may be lost as well.
#[test]
fn the_first_answer_after_an_outage_dates_from_its_beginning() {
    let ends = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 30.0].map(|after_s| (CallEnd::Closed, AT + after_s));
    let mut answers = after(&ends);
    assert_eq!(
        (answers.since(), answers.notified_since()),
        (None, Some(AT))
    );
    assert!(answers.needs_early_retry(CallEnd::Closed) && answers.hand_over(AT).is_none());
    answers.answered(AT + 30.1);
    assert_eq!(answers.notified_since(), None);
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
        (CallEnd::Reset, AT + 21.0),
    ]);
    assert_eq!(answers.since(), Some(AT));
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
    assert_eq!(next.since(), Some(4.75));
    next.answered(5.0);
    assert_eq!((next.since(), next.hand_over(5.0)), (None, None));
}

/// A change that counts as notified while the process was stopped is certain.
#[test]
fn a_change_notified_while_the_process_was_stopped_stays_missing() {
    let mut answers = MissingAnswers::default();
    answers.change_missed(AT, AT + 2.0);
    for _ in 0..10 {
        answers.call_ended(CallEnd::NotSent, AT + 2.0, AT + 2.0, AT + 2.0);
    }
    assert_eq!(answers.since(), Some(AT));
    answers.answered(AT + 2.0);
    assert_eq!(answers.since(), None);
}
