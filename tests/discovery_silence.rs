//! Tests the program on real connections with a discovery that stops answering, refuses calls, or answers with long lists.
//!
//! The only time that is asserted is the limit of the rules: a change that a silent watch misses has to be received within 6 s
//! after the watch stopped answering.

mod stand_ins;

use rstest::rstest;
use stand_ins::{discovery, list, Program, Reply, Setup, MAX_WAIT, UNREACHABLE_SERVER as MEMBERS};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time after the start of the silence at which a change that a silent watch missed counts as notified.
const MAX_NOTIFICATION_DELAY: Duration = Duration::from_secs(6);

/// Starts the program with or without a last known list (`known`) in the given discovery mode.
fn start(mixers: u32, mode: &'static str, discovery: SocketAddr, known: bool) -> Program {
    let known = known.then(|| MEMBERS.to_string());
    Program::start(&Setup {
        mixers,
        mode,
        discovery,
        known,
    })
}

/// Time at which the watch stops answering and a change is made.
#[derive(Clone, Copy, Debug, PartialEq)]
enum SilenceStart {
    /// When the watch is opened.
    WatchOpened,
    /// Right after a heartbeat on another connection was answered, so that the time to the next one is longest.
    HeartbeatAnswered,
}

/// Failure of a call.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Silent,
    Refused,
    Closed,
}

#[derive(Default)]
struct SilenceState {
    watches: u32,
    answered: u32,
    silent_since: Option<Instant>,
    failed_calls: usize,
}

/// The watch stops answering at the worst time, and then one or two calls fail: the change that the watch missed is received within
/// the limit for fleets of any size.
#[rstest]
fn a_change_that_a_silent_watch_misses_is_received_within_the_limit(
    #[values(30, 350, 1000)] mixers: u32,
    #[values(
        (SilenceStart::WatchOpened, vec![Fault::Silent]),
        (SilenceStart::WatchOpened, vec![Fault::Closed, Fault::Silent]),
        (SilenceStart::HeartbeatAnswered, vec![Fault::Refused, Fault::Silent]),
        (SilenceStart::HeartbeatAnswered, vec![Fault::Silent, Fault::Silent])
    )]
    case: (SilenceStart, Vec<Fault>),
    #[values("subscribe", "automatic")] mode: &'static str,
) {
    let (start_of_silence, faults) = case;
    let state = Arc::new(Mutex::new(SilenceState::default()));
    let shared = state.clone();
    let address = discovery(move |call| {
        let mut state = shared.lock().expect("lock poisoned");
        let waits = call.is_some_and(|(_, wait)| wait > 0);
        if state.silent_since.is_some() {
            // Every call from now on is made without the change that the watch missed.
            let fault = faults.get(state.failed_calls);
            state.failed_calls += 1;
            return match fault {
                Some(Fault::Silent) => Reply::NoAnswer,
                Some(Fault::Refused) => Reply::Status(503),
                Some(Fault::Closed) => Reply::Close,
                None => list(2, false, &MEMBERS.replace("Ready", "Terminating")),
            };
        }
        state.watches += u32::from(waits);
        let falls_silent = match start_of_silence {
            SilenceStart::WatchOpened => waits,
            // The first call that does not wait opens the watch. If the watch is postponed, only heartbeats are made.
            SilenceStart::HeartbeatAnswered => (state.answered > 0 && !waits) || state.watches > 1,
        };
        state.answered += u32::from(!waits);
        state.silent_since = falls_silent.then(Instant::now);
        if waits {
            Reply::NoAnswer
        } else {
            list(1, false, "")
        }
    });
    let program = start(mixers, mode, address, true);
    let received_at = program.await_log("discovery: revision Some(2)");
    let silent_since = state
        .lock()
        .expect("lock poisoned")
        .silent_since
        .expect("the watch did not stop answering");
    assert!(
        received_at <= silent_since + MAX_NOTIFICATION_DELAY,
        "received after {:?}",
        received_at - silent_since
    );
}

/// A discovery that supports only calls that wait, and refuses a call with `wait=0` or does not answer it at once, is still watched.
#[rstest]
#[case::refused(|| Reply::Status(400))]
#[case::waits_anyway(|| Reply::NoAnswer)]
fn a_discovery_that_supports_only_waiting_calls_is_watched(#[case] without_wait: fn() -> Reply) {
    let address = discovery(move |call| match call {
        None => list(3, true, MEMBERS),
        Some((_, 0)) => without_wait(),
        Some((3, _)) => list(4, false, &MEMBERS.replace("Ready", "Terminating")),
        Some(_) => Reply::NoAnswer,
    });
    start(2, "subscribe", address, true).await_log("discovery: revision Some(4)");
}

/// A restarted discovery counts its revisions from the start. The mixer, whose calls for changes are refused here, accepts the
/// lower revision of the whole list.
#[test]
fn a_lower_revision_of_a_restarted_discovery_is_accepted() {
    let lists = Arc::new(Mutex::new(0));
    let address = discovery(move |call| match call {
        None => {
            let mut lists = lists.lock().expect("lock poisoned");
            *lists += 1;
            list(if *lists == 1 { 9 } else { 2 }, true, MEMBERS)
        }
        Some((_, 0)) => Reply::Status(400),
        Some((9, _)) => Reply::Close,
        Some(_) => Reply::NoAnswer,
    });
    let program = start(2, "subscribe", address, true);
    program.await_log("discovery: revision Some(9)");
    program.await_log("discovery: revision Some(2)");
}

/// Discovery answers every call with the whole list: a list of the same revision is not applied again.
#[test]
fn a_repeated_list_is_applied_once() {
    let heartbeats = Arc::new(Mutex::new(0));
    let count = heartbeats.clone();
    let address = discovery(move |call| {
        let mut count = count.lock().expect("lock poisoned");
        match call {
            Some((2, 0)) => *count += 1,
            Some((2, _)) => return Reply::NoAnswer,
            _ => {}
        }
        list(if *count < 3 { 2 } else { 3 }, true, MEMBERS)
    });
    let program = start(2, "automatic", address, true);
    program.await_log("discovery: revision Some(2)");
    let mut lines = 0;
    let end = Instant::now() + MAX_WAIT;
    while let Ok((_, line)) = program
        .log
        .recv_timeout(end.saturating_duration_since(Instant::now()))
    {
        if line.contains("discovery: revision Some(3)") {
            break;
        }
        lines += u32::from(line.contains("discovery: revision"));
    }
    assert_eq!(
        (lines, *heartbeats.lock().expect("lock poisoned")),
        (0, 3),
        "(lists applied again, heartbeats)"
    );
}

/// The list has 10,000 leaf servers and an indentation of two spaces for each level.
#[test]
fn a_long_indented_list_is_read() {
    let mut endpoints = String::new();
    for id in 0..10_000 {
        let comma = if id == 0 { "" } else { "," };
        write!(
            endpoints,
            "{comma}\n    {{\n      \"id\": \"s-{id:08x}\",\n      \"host_port\": \"10.1.{}.{}:8080\",\n      \
             \"locality\": \"a\",\n      \"flavor\": \"m2\",\n      \"cell\": {},\n      \"phase\": \"Ready\",\n      \
             \"size\": 1.0,\n      \"up_since_ms\": 0\n    }}",
            id / 250,
            id % 250,
            id % 2
        )
        .expect("write to a string");
    }
    assert!(endpoints.len() > 2_000_000, "{}", endpoints.len());
    let address = discovery(move |call| match call {
        None => list(7, true, &endpoints),
        Some(_) => Reply::NoAnswer,
    });
    start(860, "automatic", address, false)
        .await_log("discovery: revision Some(7), 10000 lines, full true");
}

/// A list above the size limit is logged with its size and the limit, and calls for it are made at increasing intervals.
#[test]
fn a_list_above_the_size_limit_is_requested_at_increasing_intervals() {
    let long = " ".repeat(5_000_000);
    let address = discovery(move |_| Reply::List(long.clone()));
    let program = start(30, "subscribe", address, true);
    for wait_s in [1, 2, 4] {
        program.await_log(&format!(
            "call failed (the list has 5000000 bytes or more, 4194304 are read (a share of limits.memory_mb)); \
             next call in {wait_s} s"
        ));
    }
}

/// Mixers must not call for whole lists because calls for changes failed. In a simulated day with an outage of 10 s just before
/// most mixers restarted, each of 300 mixers called for the whole list after eight failures, and discovery, although it was up again,
/// answered no mixer for the rest of the day.
#[test]
fn an_unavailable_discovery_is_not_called_for_whole_lists() {
    let calls = Arc::new(Mutex::new((0, 0)));
    let shared = calls.clone();
    let address = discovery(move |call| {
        let mut calls = shared.lock().expect("lock poisoned");
        calls.0 += 1;
        calls.1 += u32::from(call.is_none());
        match call {
            Some((_, wait)) if calls.0 > 12 && wait > 0 => Reply::NoAnswer,
            _ if calls.0 > 12 => list(2, false, MEMBERS),
            _ => Reply::Status(503),
        }
    });
    start(3, "subscribe", address, true).await_log("discovery: revision Some(2)");
    assert_eq!(
        calls.lock().expect("lock poisoned").1,
        0,
        "calls for whole lists"
    );
}
