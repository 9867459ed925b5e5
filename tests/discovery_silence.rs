//! The program on real connections with a discovery that falls silent, refuses calls, or answers with long lists.
//!
//! The one time that is asserted is the rule's own: what a silent watch misses has to be known 6 s after it fell silent.

mod stand_ins;

use rstest::rstest;
use stand_ins::{discovery, list, Program, Reply, Setup, PATIENCE, UNREACHABLE_SERVER as MEMBERS};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a silent watch misses counts as known so long after it fell silent.
const TERM: Duration = Duration::from_secs(6);

/// Starts the program; `known` is whether it has a last known list, and `mode` how lists come.
fn start(mixers: u32, mode: &'static str, discovery: SocketAddr, known: bool) -> Program {
    let known = known.then(|| MEMBERS.to_string());
    Program::start(&Setup {
        mixers,
        mode,
        discovery,
        known,
    })
}

/// When the watch falls silent, and a change is made in the same instant.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Instants {
    /// As soon as it is made.
    WatchMade,
    /// Right after a call beside it was answered, so that the next one is as far away as it can be.
    CallAnswered,
}

/// How a call fails.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Silent,
    Refused,
    Reset,
}

#[derive(Default)]
struct Silence {
    watches: u32,
    answered: u32,
    since: Option<Instant>,
    failed: usize,
}

/// A watch that falls silent in the worst instant, and then one or two calls that fail: what it missed is known within the
/// term, however many mixers there are.
#[rstest]
fn what_a_silent_watch_misses_is_known_within_the_term(
    #[values(30, 350, 1000)] mixers: u32,
    #[values(
        (Instants::WatchMade, vec![Fault::Silent]),
        (Instants::WatchMade, vec![Fault::Reset, Fault::Silent]),
        (Instants::CallAnswered, vec![Fault::Refused, Fault::Silent]),
        (Instants::CallAnswered, vec![Fault::Silent, Fault::Silent])
    )]
    case: (Instants, Vec<Fault>),
    #[values("subscribe", "automatic")] mode: &'static str,
) {
    let (instant, faults) = case;
    let silence = Arc::new(Mutex::new(Silence::default()));
    let shared = silence.clone();
    let address = discovery(move |asked| {
        let mut silence = shared.lock().expect("a lock");
        let waits = asked.is_some_and(|(_, wait)| wait > 0);
        if silence.since.is_some() {
            // Whatever is asked from now on is asked without what the watch missed.
            let fault = faults.get(silence.failed);
            silence.failed += 1;
            return match fault {
                Some(Fault::Silent) => Reply::Nothing,
                Some(Fault::Refused) => Reply::Status(503),
                Some(Fault::Reset) => Reply::Reset,
                None => list(2, false, &MEMBERS.replace("Ready", "Terminating")),
            };
        }
        silence.watches += u32::from(waits);
        let falls = match instant {
            Instants::WatchMade => waits,
            // The first such call opens the watch. Where the watch is put off, the calls go on without it.
            Instants::CallAnswered => (silence.answered > 0 && !waits) || silence.watches > 1,
        };
        silence.answered += u32::from(!waits);
        silence.since = falls.then(Instant::now);
        if waits {
            Reply::Nothing
        } else {
            list(1, false, "")
        }
    });
    let program = start(mixers, mode, address, true);
    let known_at = program.await_log("discovery: revision Some(2)");
    let since = silence
        .lock()
        .expect("a lock")
        .since
        .expect("it fell silent");
    assert!(
        known_at <= since + TERM,
        "known after {:?}",
        known_at - since
    );
}

/// A discovery that answers calls for changes with a refusal, or waits all the same, is still watched.
#[rstest]
#[case::refused(|| Reply::Status(400))]
#[case::waits_all_the_same(|| Reply::Nothing)]
fn a_discovery_that_only_knows_waits_is_watched(#[case] without_wait: fn() -> Reply) {
    let address = discovery(move |asked| match asked {
        None => list(3, true, MEMBERS),
        Some((_, 0)) => without_wait(),
        Some((3, _)) => list(4, false, &MEMBERS.replace("Ready", "Terminating")),
        Some(_) => Reply::Nothing,
    });
    start(2, "subscribe", address, true).await_log("discovery: revision Some(4)");
}

/// A discovery that was restarted counts its versions anew; one that refuses calls for changes answers whole lists.
#[test]
fn a_lower_version_of_a_restarted_discovery_is_taken() {
    let lists = Arc::new(Mutex::new(0));
    let address = discovery(move |asked| match asked {
        None => {
            let mut lists = lists.lock().expect("a lock");
            *lists += 1;
            list(if *lists == 1 { 9 } else { 2 }, true, MEMBERS)
        }
        Some((_, 0)) => Reply::Status(400),
        Some((9, _)) => Reply::Reset,
        Some(_) => Reply::Nothing,
    });
    let program = start(2, "subscribe", address, true);
    program.await_log("discovery: revision Some(9)");
    program.await_log("discovery: revision Some(2)");
}

/// A discovery that answers whole lists to all calls: the same list again is no news.
#[test]
fn a_list_that_comes_again_is_read_once() {
    let heartbeats = Arc::new(Mutex::new(0));
    let count = heartbeats.clone();
    let address = discovery(move |asked| {
        let mut count = count.lock().expect("a lock");
        match asked {
            Some((2, 0)) => *count += 1,
            Some((2, _)) => return Reply::Nothing,
            _ => {}
        }
        list(if *count < 3 { 2 } else { 3 }, true, MEMBERS)
    });
    let program = start(2, "automatic", address, true);
    program.await_log("discovery: revision Some(2)");
    let mut lines = 0;
    let end = Instant::now() + PATIENCE;
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
        (lines, *heartbeats.lock().expect("a lock")),
        (0, 3),
        "two heartbeats brought what was known"
    );
}

/// 10,000 leaf servers with two spaces a level.
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
        .expect("room");
    }
    assert!(endpoints.len() > 2_000_000, "{}", endpoints.len());
    let address = discovery(move |asked| match asked {
        None => list(7, true, &endpoints),
        Some(_) => Reply::Nothing,
    });
    start(860, "automatic", address, false)
        .await_log("discovery: revision Some(7), 10000 lines, full true");
}

/// A list over the limit is named with its size and the limit, and asked for ever more rarely.
#[test]
fn a_list_over_the_limit_is_asked_for_ever_more_rarely() {
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

/// Found on a day with an outage of ten seconds just before most mixers restarted: after eight failures each of 300 mixers
/// asked for the whole list, and discovery, back again, answered nobody for the rest of the day.
#[test]
fn a_discovery_that_is_away_is_not_asked_for_whole_lists() {
    let calls = Arc::new(Mutex::new((0, 0)));
    let shared = calls.clone();
    let address = discovery(move |asked| {
        let mut calls = shared.lock().expect("a lock");
        calls.0 += 1;
        calls.1 += u32::from(asked.is_none());
        match asked {
            Some((_, wait)) if calls.0 > 12 && wait > 0 => Reply::Nothing,
            _ if calls.0 > 12 => list(2, false, MEMBERS),
            _ => Reply::Status(503),
        }
    });
    start(3, "subscribe", address, true).await_log("discovery: revision Some(2)");
    assert_eq!(calls.lock().expect("a lock").1, 0, "whole lists");
}
