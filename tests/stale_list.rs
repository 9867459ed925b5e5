//! The program on real connections with a list of servers that is no longer true: nothing may be sent by it once
//! discovery could have told so.

mod stand_ins;

use stand_ins::{discovery, list, Client, LeafServer, Program, Reply, Setup};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Longer than the longest wait before a first call to discovery, and than two calls of it that fail.
const OBSERVED: Duration = Duration::from_secs(8);
/// A mixer that restarts has to be ready within this time, also where discovery is away.
const READY_WITHIN: Duration = Duration::from_secs(6);
/// Longer than a change may stay untold.
const STOOD_STILL: Duration = Duration::from_millis(7500);
const QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// What discovery does with the first calls.
#[derive(Clone, Copy, Debug)]
enum FirstCalls {
    Answered,
    AnsweredLate,
    FirstIsReset,
    FirstIsRefused,
    TwoFail,
}

/// The reply to the call of that number, from 0 on, once the first calls are over: the removal of a server.
fn first_reply(first_calls: FirstCalls, number: u32) -> Option<Reply> {
    match (first_calls, number) {
        (FirstCalls::AnsweredLate, 0) => {
            std::thread::sleep(Duration::from_millis(800));
            None
        }
        (FirstCalls::FirstIsReset, 0) | (FirstCalls::TwoFail, 0) => Some(Reply::Reset),
        (FirstCalls::FirstIsRefused, 0) | (FirstCalls::TwoFail, 1) => Some(Reply::Status(503)),
        _ => None,
    }
}

/// Calls that a removed server got from a mixer that restarts on the list from before the removal, each as the time
/// since the start.
fn calls_at_removed_server(
    mixers: u32,
    mode: &'static str,
    first_calls: FirstCalls,
) -> Vec<Duration> {
    let (removed, kept) = (LeafServer::start(), LeafServer::start());
    let known = format!(
        "{},{}",
        removed.line("removed", "Ready"),
        kept.line("kept", "Ready")
    );
    let now = kept.line("kept", "Ready");
    let calls = Arc::new(Mutex::new(0));
    let address = discovery(move |asked| {
        let number = {
            let mut calls = calls.lock().expect("a lock");
            *calls += 1;
            *calls - 1
        };
        if let Some(reply) = first_reply(first_calls, number) {
            return reply;
        }
        match asked {
            Some((2, wait)) if wait > 0 => Reply::Nothing,
            _ => list(2, true, &now),
        }
    });
    let program = Program::start(&Setup {
        mixers,
        mode,
        discovery: address,
        known: Some(known),
    });
    let mut client = Client::connect(program.await_address());
    let mut served = 0;
    while program.started_at.elapsed() < OBSERVED {
        if client.is_ready() {
            served += u32::from(client.query() == 200);
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    assert!(
        served > 0,
        "{mixers} {mode} {first_calls:?}: it never served"
    );
    assert!(!kept.calls().is_empty());
    removed
        .calls()
        .into_iter()
        .map(|at| at - program.started_at)
        .collect()
}

/// Incident 1: a mixer that restarted among 300 served on its list from before the kill, and called discovery up to 5 s
/// later; it sent to servers that were gone, while discovery could be reached all the time.
#[test]
fn a_restarted_mixer_sends_nothing_by_an_old_list() {
    let cases = [
        (3, "subscribe", FirstCalls::Answered),
        (30, "subscribe", FirstCalls::Answered),
        (300, "subscribe", FirstCalls::Answered),
        (860, "subscribe", FirstCalls::Answered),
        (300, "subscribe", FirstCalls::AnsweredLate),
        (300, "subscribe", FirstCalls::FirstIsReset),
        (300, "subscribe", FirstCalls::FirstIsRefused),
        (300, "subscribe", FirstCalls::TwoFail),
        (300, "automatic", FirstCalls::Answered),
        (300, "automatic", FirstCalls::AnsweredLate),
        (300, "automatic", FirstCalls::TwoFail),
    ];
    let plays = cases.map(|case| {
        (
            case,
            std::thread::spawn(move || calls_at_removed_server(case.0, case.1, case.2)),
        )
    });
    let sent = plays.map(|(case, play)| (case, play.join().expect("a play that ends")));
    let stale: Vec<_> = sent.iter().filter(|(_, calls)| !calls.is_empty()).collect();
    let told = |(case, calls): &&((u32, &str, FirstCalls), Vec<Duration>)| {
        format!(
            "{case:?}: {} calls, {:?} to {:?}",
            calls.len(),
            calls.first(),
            calls.last()
        )
    };
    assert!(
        stale.is_empty(),
        "{:#?}",
        stale.iter().map(told).collect::<Vec<_>>()
    );
}

/// Where discovery is away, the last known list is all there is: a mixer that restarts serves by it.
#[test]
fn a_restarted_mixer_serves_by_its_list_while_discovery_is_away() {
    let server = LeafServer::start();
    let nobody = std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|it| it.local_addr())
        .expect("a port");
    for mode in ["subscribe", "automatic"] {
        let known = Some(server.line("s0", "Ready"));
        let program = Program::start(&Setup {
            mixers: 300,
            mode,
            discovery: nobody,
            known,
        });
        let mut client = Client::connect(program.await_address());
        while !client.is_ready() {
            assert!(
                program.started_at.elapsed() < READY_WITHIN,
                "{mode}: not ready"
            );
            std::thread::sleep(QUERY_INTERVAL);
        }
        let until = Instant::now() + OBSERVED;
        while Instant::now() < until {
            assert_eq!(
                client.query(),
                200,
                "{mode}: {:?} after its start",
                program.started_at.elapsed()
            );
            std::thread::sleep(QUERY_INTERVAL);
        }
    }
}

/// A process that stood still, for a paused machine or a debugger, goes on with a list that may long be outdated, and its
/// watch may have been cut meanwhile: requests that wait for it are not sent by that list.
#[test]
fn a_mixer_that_stood_still_sends_nothing_by_its_old_list() {
    let (removed, kept) = (LeafServer::start(), LeafServer::start());
    let known = format!(
        "{},{}",
        removed.line("removed", "Ready"),
        kept.line("kept", "Ready")
    );
    let (before, after) = (known.clone(), kept.line("kept", "Ready"));
    let is_removed = Arc::new(Mutex::new(false));
    let shared = is_removed.clone();
    let address = discovery(
        move |asked| match (asked, *shared.lock().expect("a lock")) {
            (Some((_, wait)), _) if wait > 0 => Reply::Nothing, // what it would tell is lost
            (_, false) => list(1, true, &before),
            (_, true) => list(2, true, &after),
        },
    );
    let setup = Setup {
        mixers: 3,
        mode: "subscribe",
        discovery: address,
        known: Some(known),
    };
    let (program, address) = Program::start_serving(&setup);
    let mut clients: Vec<Client> = (0..2).map(|_| Client::connect(address)).collect();
    for client in &mut clients {
        client.send_query();
    }
    assert!(clients.iter_mut().all(|client| client.answer() == 200));
    program.signal("STOP");
    let calls_before = removed.calls().len();
    *is_removed.lock().expect("a lock") = true;
    std::thread::sleep(STOOD_STILL);
    clients.iter_mut().for_each(Client::send_query);
    program.signal("CONT");
    let goes_on_at = Instant::now();
    for client in &mut clients {
        client.answer(); // served, or refused
    }
    while clients[0].query() != 200 {
        assert!(
            goes_on_at.elapsed() < READY_WITHIN,
            "it does not serve again"
        );
        std::thread::sleep(QUERY_INTERVAL);
    }
    assert_eq!(
        removed.calls().len(),
        calls_before,
        "sent by a list that was {STOOD_STILL:?} old"
    );
}
