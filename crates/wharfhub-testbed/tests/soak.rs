//! The soak's judge catches a planted fault of each kind, and its plans follow from their seeds.

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
/// When server 0 is taken off the list.
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

/// Two mixers that started at 0 and are ready; server 0 drains from 10 on, and only mixer 1 was told so.
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
    violated_rules_by(history, &TERMS)
}

fn violated_rules_by(history: &History, terms: &Terms) -> Vec<Rule> {
    Checker::check(history, terms)
        .into_iter()
        .map(|violation| violation.rule)
        .collect()
}

#[test]
fn a_sound_history_breaks_nothing() {
    let mut history = history();
    history.calls = vec![
        call(1, 0, DRAINED_AT + 0.4),
        call(1, 1, 40.0),
        call(0, 0, DRAINED_AT + 6.4),
    ];
    history.requests = vec![request(0, DRAINED_AT + 6.3, served(DRAINED_AT + 6.5))];
    assert_eq!(violated_rules(&history), []);
}

/// Told when the answer was written, or 6 s after discovery had it and could be reached.
#[rstest]
#[case::discovery_answer(1, DRAINED_AT + 0.7, true)]
#[case::deemed_told(0, DRAINED_AT + 6.7, true)]
#[case::not_told_yet(0, DRAINED_AT + 6.4, false)]
fn a_send_to_a_server_that_drains(
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

/// Incident 2: what was written counts, whatever has arrived of it.
#[test]
fn an_answer_that_is_cut_off_counts_as_told() {
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
        "the grace counts from the write"
    );
}

/// A process that starts after that has not been told by it, but by the time.
#[test]
fn an_answer_that_was_cut_off_on_its_way_to_the_process_before() {
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

/// Where lists are pushed what the agent has counts, without any answer.
#[rstest]
#[case::at_once(None, 0.7, true)]
#[case::in_its_grace(None, 0.5, false)]
#[case::down_until_2_s(Some(DiscoveryFailure::Down), 2.4, false)]
#[case::back_since_2_s(Some(DiscoveryFailure::Down), 2.7, true)]
#[case::silent_until_2_s(Some(DiscoveryFailure::Silent), 8.4, false)]
#[case::silent_and_found_too_late(Some(DiscoveryFailure::Silent), 8.7, true)]
fn what_an_agent_has_counts_as_told(
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
        violated_rules_by(&history, &PUSHED_LIST_TERMS),
        if is_violation {
            vec![Rule::Drain]
        } else {
            vec![]
        }
    );
}

#[test]
fn what_an_agent_has_counts_later_after_a_silence_or_a_new_configuration() {
    let mut history = history();
    history.calls = vec![call(0, 0, DRAINED_AT + 1.0)];
    history.watch_silences = vec![DRAINED_AT - 1.0];
    assert_eq!(violated_rules_by(&history, &PUSHED_LIST_TERMS), []);
    history.watch_silences = vec![DRAINED_AT - 6.5];
    assert_eq!(
        violated_rules_by(&history, &PUSHED_LIST_TERMS),
        [Rule::Drain]
    );
    history
        .processes
        .push(record(0, DRAINED_AT - 3.0, ProcessEvent::Reconfigured));
    assert_eq!(violated_rules_by(&history, &PUSHED_LIST_TERMS), []);
}

#[test]
fn what_can_not_be_told_counts_from_the_return_of_discovery() {
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

/// As in incident 1: the change was made while the mixer was down, and counts as told soon after its start.
#[test]
fn a_restarted_mixer_counts_as_told_of_what_it_missed() {
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
fn an_attempt_for_a_client_that_left() {
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
#[case::silent(RequestEnd::TimedOut)]
fn a_request_without_an_answer(#[case] end: RequestEnd) {
    let mut history = history();
    history.requests = vec![request(0, 5.0, end)];
    assert_eq!(violated_rules(&history), [Rule::Lost]);
    history
        .processes
        .push(record(0, 5.05, ProcessEvent::Killed));
    assert_eq!(violated_rules(&history), [], "its mixer was killed");
}

/// What ends after it was told to end, or is killed since it has not, has lost what it had taken.
#[rstest]
#[case(ProcessEvent::Exited)]
#[case(ProcessEvent::KilledAfterSigterm)]
fn a_request_that_an_end_finds_unanswered(#[case] end: ProcessEvent) {
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

/// A crowd excuses a new connection that is shut unread, and nothing that was read.
#[test]
fn a_crowd_may_be_shut_out_unread() {
    let crowded = Terms {
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
    assert_eq!(violated_rules_by(&history, &crowded), []);
    history.calls = vec![call(0, 1, 5.05)];
    assert_eq!(
        violated_rules_by(&history, &crowded),
        [Rule::Lost],
        "a server knows of it"
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
        violated_rules_by(&history, &crowded),
        [Rule::Lost],
        "it was read"
    );
}

#[test]
fn a_request_that_was_read_and_whose_kept_connection_closed() {
    let mut history = history();
    history.requests = vec![Request {
        reused_connection_lost_at: Some(5.2),
        ..request(0, 5.2, served(5.4))
    }];
    history.calls = vec![call(0, 1, 5.3)];
    assert_eq!(violated_rules(&history), [], "it was sent once more");
    history.calls = vec![call(0, 1, 5.1)];
    assert_eq!(violated_rules(&history), [Rule::Lost]);
}

#[test]
fn a_repeat_beyond_its_window() {
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
        "the window begins with the first that may have run"
    );
}

#[test]
fn a_server_that_is_told_to_work_for_longer_than_its_client_waits() {
    let mut history = history();
    history.requests = vec![request(0, 5.0, served(5.7))];
    history.calls = vec![call(0, 1, 5.4)];
    assert_eq!(violated_rules(&history), []);
    history.calls = vec![call(0, 1, 5.6)];
    assert_eq!(violated_rules(&history), [Rule::SentTimeout]);
}

/// What a stand-in notes right after it stood still itself came earlier.
#[test]
fn a_stall_of_the_stand_ins_is_no_delay_of_the_mixer() {
    let mut history = history();
    history.requests = vec![request(0, 5.0, served(5.7))];
    history.calls = vec![call(0, 1, 5.6)];
    history.stalls = vec![Stall { from: 5.1, to: 5.4 }];
    assert_eq!(violated_rules(&history), []);
    history.stalls = vec![Stall { from: 4.0, to: 4.9 }];
    assert_eq!(violated_rules(&history), [Rule::SentTimeout]);
}

#[test]
fn processes_that_crash_or_are_not_ready_and_guards_that_count() {
    let mut history = history();
    history.processes.extend([
        record(0, 20.0, ProcessEvent::Crashed),
        record(0, 21.0, ProcessEvent::Started),
        record(1, 30.0, ProcessEvent::GuardViolations(2)),
    ]);
    assert_eq!(
        violated_rules(&history),
        [Rule::Process, Rule::Invariants, Rule::Process]
    );
}

/// Nine in ten restarted mixers are ready within 10 s, and each within 30 s.
#[rstest]
#[case::one_of_ten(10, 15.0, 0)]
#[case::one_of_nine(9, 15.0, 1)]
#[case::too_late_for_any(20, 31.0, 1)]
fn mixers_that_are_ready_late(#[case] restarts: usize, #[case] late_s: f64, #[case] found: usize) {
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

/// A process that stood still has to ask before it acts.
#[test]
fn a_pause_excuses_no_send() {
    let mut history = history();
    history.processes.extend([
        record(1, DRAINED_AT - 0.1, ProcessEvent::Stopped),
        record(1, DRAINED_AT + 3.0, ProcessEvent::Continued),
    ]);
    history.calls = vec![call(1, 0, DRAINED_AT + 3.01)];
    assert_eq!(violated_rules(&history), [Rule::Drain]);
}

#[test]
fn plans_follow_from_their_seeds() {
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
