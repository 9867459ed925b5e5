//! Tests of the soak's checker with a planted violation of each rule, and of the plans drawn from seeds.

use rstest::rstest;
use wharfhub_testbed::soak::checker::{Checker, Rule};
use wharfhub_testbed::soak::history::{
    DiscoveryAnswer, DiscoveryFailure, History, ListVersion, PartCall, ProcessEvent, ProcessRecord,
    Request, RequestEnd, ServerPhase, Stall, UnreachableSpan,
};
use wharfhub_testbed::soak::plan::{Plan, Terms};

const TERMS: Terms = Terms {
    mixers: 2,
    drain_grace_s: 0.5,
    dedup_window_s: 1.0,
    duration_s: 60.0,
    lists_pushed: false,
    has_descriptor_shortage: false,
};
const PUSHED_LIST_TERMS: Terms = Terms {
    lists_pushed: true,
    ..TERMS
};
/// Time at which server 0 starts to drain (seconds).
const DRAINED_AT: f64 = 10.0;

fn record(mixer: usize, at: f64, event: ProcessEvent) -> ProcessRecord {
    ProcessRecord { mixer, at, event }
}

fn discovery_answer(mixer: usize, at: f64, version: usize) -> DiscoveryAnswer {
    DiscoveryAnswer {
        mixer,
        at,
        version,
        is_cut: false,
    }
}

/// Returns a history in which two mixers started at 0 s and are ready, server 0 drains from 10 s on, and discovery has written
/// that change to mixer 1 only.
fn history() -> History {
    let version = |at: f64, phase: ServerPhase| ListVersion {
        at,
        phases: vec![phase, ServerPhase::Ready],
    };
    History {
        versions: vec![
            version(0.0, ServerPhase::Ready),
            version(DRAINED_AT, ServerPhase::Draining),
        ],
        discovery_answers: vec![
            discovery_answer(0, 0.1, 0),
            discovery_answer(1, 0.1, 0),
            discovery_answer(1, DRAINED_AT + 0.01, 1),
        ],
        processes: (0..2)
            .flat_map(|mixer| {
                [
                    record(mixer, 0.0, ProcessEvent::Started),
                    record(mixer, 1.0, ProcessEvent::Ready),
                ]
            })
            .collect(),
        ..History::default()
    }
}

fn call(mixer: usize, server: usize, at: f64) -> PartCall {
    let request = format!("m{mixer}-1");
    PartCall {
        mixer,
        request,
        shard: 3,
        server,
        at,
        sent_timeout_s: 0.5,
        never_ran: false,
    }
}

fn request(mixer: usize, at: f64, end: RequestEnd) -> Request {
    Request {
        id: format!("m{mixer}-1"),
        mixer,
        at,
        timeout_s: 0.8,
        keyed: true,
        reused_connection_lost_at: None,
        end,
    }
}

fn unreachable(failure: DiscoveryFailure, from: f64, to: f64) -> UnreachableSpan {
    UnreachableSpan {
        mixer: None,
        failure,
        from,
        to,
    }
}

fn served(at: f64) -> RequestEnd {
    RequestEnd::Answered { at, status: 200 }
}

fn violated_rules(history: &History) -> Vec<Rule> {
    violated_rules_under(history, &TERMS)
}

fn violated_rules_under(history: &History, terms: &Terms) -> Vec<Rule> {
    Checker::check(history, terms)
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_correct_history_has_no_violations() {
    let mut history = history();
    history.calls = vec![
        call(1, 0, DRAINED_AT + 0.4),
        call(1, 1, 40.0),
        call(0, 0, DRAINED_AT + 6.4),
    ];
    history.requests = vec![request(0, DRAINED_AT + 6.3, served(DRAINED_AT + 6.5))];
    assert_eq!(violated_rules(&history), []);
}

/// A mixer counts as notified when the answer was written, or 6 s after discovery had the change and could be reached.
#[rstest]
#[case::notified_by_an_answer(1, DRAINED_AT + 0.7, true)]
#[case::counted_as_notified(0, DRAINED_AT + 6.7, true)]
#[case::not_yet_notified(0, DRAINED_AT + 6.4, false)]
fn a_send_to_a_draining_server_is_a_violation_after_the_grace(
    #[case] mixer: usize,
    #[case] at: f64,
    #[case] is_violation: bool,
) {
    let mut history = history();
    history.calls = vec![call(mixer, 0, at)];
    assert_eq!(
        violated_rules(&history),
        if is_violation {
            vec![Rule::Drain]
        } else {
            vec![]
        }
    );
}

/// Incident 2: a mixer counts as notified from the write of an answer on, however much of the answer arrives.
#[test]
fn an_answer_that_is_cut_off_counts_as_a_notification() {
    let mut history = history();
    history.calls = vec![call(0, 0, DRAINED_AT + 1.0)];
    assert_eq!(violated_rules(&history), []);
    history.discovery_answers.push(DiscoveryAnswer {
        is_cut: true,
        ..discovery_answer(0, DRAINED_AT + 0.1, 1)
    });
    assert_eq!(violated_rules(&history), [Rule::Drain]);
    history.calls = vec![call(0, 0, DRAINED_AT + 0.6)];
    assert_eq!(
        violated_rules(&history),
        [],
        "the grace starts at the write"
    );
}

/// A process started after the cut-off answer counts as notified only when the time for that has passed.
#[test]
fn an_answer_cut_off_before_a_restart_does_not_notify_the_new_process() {
    let mut history = history();
    history.discovery_answers.push(DiscoveryAnswer {
        is_cut: true,
        ..discovery_answer(0, DRAINED_AT + 0.1, 1)
    });
    history.processes.extend([
        record(0, DRAINED_AT + 0.2, ProcessEvent::Killed),
        record(0, DRAINED_AT + 1.0, ProcessEvent::Started),
        record(0, DRAINED_AT + 1.1, ProcessEvent::Ready),
    ]);
    history.calls = vec![call(0, 0, DRAINED_AT + 1.2)];
    assert_eq!(violated_rules(&history), []);
    history.calls = vec![call(0, 0, DRAINED_AT + 6.7)];
    assert_eq!(violated_rules(&history), [Rule::Drain]);
}

/// Where lists are pushed, a mixer counts as notified of the changes that its agent has, without any answer. An outage of
/// discovery delays that until its end; a silent discovery delays it by another 6 s.
#[rstest]
#[case::after_the_grace(None, 0.7, true)]
#[case::within_the_grace(None, 0.5, false)]
#[case::within_the_grace_after_an_outage(Some(DiscoveryFailure::Down), 2.4, false)]
#[case::after_the_grace_after_an_outage(Some(DiscoveryFailure::Down), 2.7, true)]
#[case::within_the_grace_after_a_silence(Some(DiscoveryFailure::Silent), 8.4, false)]
#[case::after_the_grace_after_a_silence(Some(DiscoveryFailure::Silent), 8.7, true)]
fn a_change_that_the_agent_has_counts_as_a_notification(
    #[case] failure: Option<DiscoveryFailure>,
    #[case] after_s: f64,
    #[case] is_violation: bool,
) {
    let mut history = history();
    history.unreachable = failure
        .into_iter()
        .map(|failure| unreachable(failure, DRAINED_AT - 1.0, DRAINED_AT + 2.0))
        .collect();
    history.calls = vec![call(0, 0, DRAINED_AT + after_s)];
    assert_eq!(
        violated_rules_under(&history, &PUSHED_LIST_TERMS),
        if is_violation {
            vec![Rule::Drain]
        } else {
            vec![]
        }
    );
}

#[test]
fn a_notification_through_the_agent_is_delayed_after_a_silence_or_a_new_configuration() {
    let mut history = history();
    history.calls = vec![call(0, 0, DRAINED_AT + 1.0)];
    history.watch_silences = vec![DRAINED_AT - 1.0];
    assert_eq!(violated_rules_under(&history, &PUSHED_LIST_TERMS), []);
    history.watch_silences = vec![DRAINED_AT - 6.5];
    assert_eq!(
        violated_rules_under(&history, &PUSHED_LIST_TERMS),
        [Rule::Drain]
    );
    history
        .processes
        .push(record(0, DRAINED_AT - 3.0, ProcessEvent::Reconfigured));
    assert_eq!(violated_rules_under(&history, &PUSHED_LIST_TERMS), []);
}

#[test]
fn an_outage_delays_the_notification_until_discovery_was_reachable_for_6_s() {
    let mut history = history();
    history.unreachable = vec![unreachable(
        DiscoveryFailure::Down,
        DRAINED_AT + 2.0,
        DRAINED_AT + 9.0,
    )];
    history.calls = vec![call(0, 0, DRAINED_AT + 15.0)];
    assert_eq!(violated_rules(&history), []);
    history.calls = vec![call(0, 0, DRAINED_AT + 15.7)];
    assert_eq!(violated_rules(&history), [Rule::Drain]);
}

/// Incident 1: a change is made while the mixer is down. The mixer counts as notified 6 s after the change all the same.
#[test]
fn a_restarted_mixer_counts_as_notified_of_changes_while_it_was_down() {
    let mut history = history();
    history.processes.extend([
        record(0, DRAINED_AT - 3.0, ProcessEvent::Killed),
        record(0, DRAINED_AT + 2.0, ProcessEvent::Started),
        record(0, DRAINED_AT + 2.1, ProcessEvent::Ready),
    ]);
    history.calls = vec![call(0, 0, DRAINED_AT + 6.3)];
    assert_eq!(violated_rules(&history), []);
    history.calls = vec![call(0, 0, DRAINED_AT + 6.7)];
    assert_eq!(violated_rules(&history), [Rule::Drain]);
}

#[test]
fn an_attempt_for_a_disconnected_client_is_a_violation() {
    let mut history = history();
    history.requests = vec![request(0, 5.0, RequestEnd::ClientClosed { at: 5.2 })];
    history.calls = vec![call(0, 1, 5.25)];
    assert_eq!(violated_rules(&history), []);
    history.calls = vec![call(0, 1, 5.4)];
    assert_eq!(violated_rules(&history), [Rule::ClientGone]);
}

#[rstest]
#[case::closed(RequestEnd::ConnectionLost { at: 5.1, is_reset: false })]
#[case::reset(RequestEnd::ConnectionLost { at: 5.1, is_reset: true })]
#[case::timed_out(RequestEnd::TimedOut)]
fn a_request_without_an_answer_is_lost_unless_its_mixer_was_killed(#[case] end: RequestEnd) {
    let mut history = history();
    history.requests = vec![request(0, 5.0, end)];
    assert_eq!(violated_rules(&history), [Rule::Lost]);
    history
        .processes
        .push(record(0, 5.05, ProcessEvent::Killed));
    assert_eq!(violated_rules(&history), [], "its mixer was killed");
}

/// A request is lost if its mixer exits after SIGTERM, or is killed for not exiting in time, without an answer.
#[rstest]
#[case(ProcessEvent::Exited)]
#[case(ProcessEvent::KilledAfterSigterm)]
fn a_request_unanswered_at_a_shutdown_is_lost(#[case] end: ProcessEvent) {
    let mut history = history();
    history.requests = vec![request(
        0,
        5.0,
        RequestEnd::ConnectionLost {
            at: 5.3,
            is_reset: true,
        },
    )];
    history.processes.extend([
        record(0, 4.0, ProcessEvent::SigtermSent),
        record(0, 5.3, end),
    ]);
    assert_eq!(violated_rules(&history), [Rule::Lost]);
}

/// A shortage of descriptors excuses the reset of a new connection that was not read, but no request that was read.
#[test]
fn a_mixer_short_of_descriptors_may_close_new_connections_unread() {
    let shortage_terms = Terms {
        has_descriptor_shortage: true,
        ..TERMS
    };
    let mut history = history();
    history.requests = vec![request(
        0,
        5.0,
        RequestEnd::ConnectionLost {
            at: 5.1,
            is_reset: true,
        },
    )];
    assert_eq!(violated_rules_under(&history, &shortage_terms), []);
    history.calls = vec![call(0, 1, 5.05)];
    assert_eq!(
        violated_rules_under(&history, &shortage_terms),
        [Rule::Lost],
        "a server received a part of the request"
    );
    history.calls.clear();
    history.requests = vec![request(
        0,
        5.0,
        RequestEnd::ConnectionLost {
            at: 5.1,
            is_reset: false,
        },
    )];
    assert_eq!(
        violated_rules_under(&history, &shortage_terms),
        [Rule::Lost],
        "a connection that is closed without a reset was read"
    );
}

#[test]
fn a_request_read_on_a_reused_connection_that_closes_is_lost() {
    let mut history = history();
    history.requests = vec![Request {
        reused_connection_lost_at: Some(5.2),
        ..request(0, 5.2, served(5.4))
    }];
    history.calls = vec![call(0, 1, 5.3)];
    assert_eq!(
        violated_rules(&history),
        [],
        "the part belongs to the retry"
    );
    history.calls = vec![call(0, 1, 5.1)];
    assert_eq!(violated_rules(&history), [Rule::Lost]);
}

#[test]
fn a_repeat_after_the_dedup_window_is_a_violation() {
    let mut history = history();
    history.requests = vec![Request {
        timeout_s: 3.0,
        ..request(0, 5.0, served(7.0))
    }];
    history.calls = vec![call(0, 1, 5.0), call(0, 1, 6.0)];
    assert_eq!(violated_rules(&history), []);
    history.calls.push(call(0, 1, 6.3));
    assert_eq!(violated_rules(&history), [Rule::Duplicate]);
    history.calls[0].never_ran = true;
    assert_eq!(
        violated_rules(&history),
        [],
        "the window starts with the first attempt that may have run"
    );
}

#[test]
fn a_timeout_longer_than_the_client_waits_is_a_violation() {
    let mut history = history();
    history.requests = vec![request(0, 5.0, served(5.7))];
    history.calls = vec![call(0, 1, 5.4)];
    assert_eq!(violated_rules(&history), []);
    history.calls = vec![call(0, 1, 5.6)];
    assert_eq!(violated_rules(&history), [Rule::SentTimeout]);
}

/// An event that a stand-in records right after a stall of its own happened earlier.
#[test]
fn a_stall_of_the_stand_ins_does_not_count_as_a_delay_of_the_mixer() {
    let mut history = history();
    history.requests = vec![request(0, 5.0, served(5.7))];
    history.calls = vec![call(0, 1, 5.6)];
    history.stalls = vec![Stall { from: 5.1, to: 5.4 }];
    assert_eq!(violated_rules(&history), []);
    history.stalls = vec![Stall { from: 4.0, to: 4.9 }];
    assert_eq!(violated_rules(&history), [Rule::SentTimeout]);
}

#[test]
fn crashes_missing_readiness_and_invariant_violations_are_reported() {
    let mut history = history();
    history.processes.extend([
        record(0, 20.0, ProcessEvent::Crashed),
        record(0, 21.0, ProcessEvent::Started),
        record(1, 30.0, ProcessEvent::InvariantViolations(2)),
    ]);
    assert_eq!(
        violated_rules(&history),
        [Rule::Process, Rule::Invariants, Rule::Process]
    );
}

/// Nine in ten restarted mixers have to be ready within 10 s, and each of them within 30 s.
#[rstest]
#[case::one_of_ten(10, 15.0, 0)]
#[case::one_of_nine(9, 15.0, 1)]
#[case::too_late_for_any(20, 31.0, 1)]
fn late_restarts_are_violations_above_one_in_ten_or_after_30_s(
    #[case] restarts: usize,
    #[case] late_s: f64,
    #[case] found: usize,
) {
    let mut history = history();
    for number in 0..restarts {
        let at = 5.0 + number as f64;
        let ready_s = if number + 1 == restarts { late_s } else { 0.5 };
        history.processes.extend([
            record(0, at, ProcessEvent::Killed),
            record(0, at + 0.1, ProcessEvent::Started),
            record(0, at + 0.1 + ready_s, ProcessEvent::Ready),
        ]);
    }
    assert_eq!(violated_rules(&history), vec![Rule::Process; found]);
}

/// A process that was stopped has to call discovery before it sends.
#[test]
fn a_stop_of_the_process_excuses_no_send_to_a_draining_server() {
    let mut history = history();
    history.processes.extend([
        record(1, DRAINED_AT - 0.1, ProcessEvent::Stopped),
        record(1, DRAINED_AT + 3.0, ProcessEvent::Continued),
    ]);
    history.calls = vec![call(1, 0, DRAINED_AT + 3.01)];
    assert_eq!(violated_rules(&history), [Rule::Drain]);
}

#[test]
fn equal_seeds_give_equal_plans() {
    for seed in 0..50 {
        let plan = Plan::draw(seed, false);
        assert!((3..=40).contains(&plan.terms.mixers));
        assert_eq!(
            format!("{plan:?}"),
            format!("{:?}", Plan::draw(seed, false))
        );
        assert!(plan
            .faults
            .iter()
            .all(|planned| planned.at < plan.terms.duration_s));
    }
}
