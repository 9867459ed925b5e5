//! Tests the program on real connections with an outdated list of servers: nothing may be sent according to that list once discovery
//! could have notified the mixer of the change.

mod stand_ins;

use stand_ins::{discovery, list, Client, LeafServer, Program, Reply, Setup};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Time during which a client sends queries. It is longer than the maximum delay before the first call to discovery, and than two
/// failed calls.
const OBSERVATION: Duration = Duration::from_secs(8);
/// Time within which a restarted or resumed mixer has to be ready, even if discovery is unavailable.
const MAX_READY_TIME: Duration = Duration::from_secs(6);
/// Length of a process pause; longer than the 6 s after which a change counts as notified.
const PAUSE_LENGTH: Duration = Duration::from_millis(7500);
const QUERY_INTERVAL: Duration = Duration::from_millis(20);

/// Reaction of discovery to the first calls.
#[derive(Clone, Copy, Debug)]
enum FirstCalls {
    Answered,
    AnsweredLate,
    FirstIsClosed,
    FirstIsRefused,
    TwoFail,
}

/// Returns the reply to the call with this number (from 0), or `None` if the call is answered with the current list. The first answer
/// may be delayed.
fn first_reply(first_calls: FirstCalls, number: u32) -> Option<Reply> {
    match (first_calls, number) {
        (FirstCalls::AnsweredLate, 0) => {
            std::thread::sleep(Duration::from_millis(800));
            None
        }
        (FirstCalls::FirstIsClosed, 0) | (FirstCalls::TwoFail, 0) => Some(Reply::Close),
        (FirstCalls::FirstIsRefused, 0) | (FirstCalls::TwoFail, 1) => Some(Reply::Status(503)),
        _ => None,
    }
}

/// Starts a mixer with a list from before the removal of a server. Returns the times, since the start, of the calls that the removed
/// server received.
fn calls_at_removed_server(
    mixers: u32,
    mode: &'static str,
    first_calls: FirstCalls,
) -> Vec<Duration> {
    let (removed, kept) = (LeafServer::start(), LeafServer::start());
    let known = format!(
        "{},{}",
        removed.list_entry("removed", "Ready"),
        kept.list_entry("kept", "Ready")
    );
    let current = kept.list_entry("kept", "Ready");
    let calls = Arc::new(Mutex::new(0));
    let address = discovery(move |call| {
        let number = {
            let mut calls = calls.lock().expect("lock poisoned");
            *calls += 1;
            *calls - 1
        };
        if let Some(reply) = first_reply(first_calls, number) {
            return reply;
        }
        match call {
            Some((2, wait)) if wait > 0 => Reply::NoAnswer,
            _ => list(2, true, &current),
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
    while program.started_at.elapsed() < OBSERVATION {
        if client.is_ready() {
            served += u32::from(client.query() == 200);
        }
        std::thread::sleep(QUERY_INTERVAL);
    }
    assert!(served > 0, "{mixers} {mode} {first_calls:?}: never served");
    assert!(!kept.calls().is_empty());
    removed
        .calls()
        .into_iter()
        .map(|at| at - program.started_at)
        .collect()
}

/// Guards against incident 1: a restarted mixer, one of 300, served with its list from before the restart and called discovery up to
/// 5 s later. It sent calls to removed servers, although discovery was reachable all the time.
#[test]
fn a_restarted_mixer_sends_nothing_according_to_an_old_list() {
    let cases = [
        (3, "subscribe", FirstCalls::Answered),
        (30, "subscribe", FirstCalls::Answered),
        (300, "subscribe", FirstCalls::Answered),
        (860, "subscribe", FirstCalls::Answered),
        (300, "subscribe", FirstCalls::AnsweredLate),
        (300, "subscribe", FirstCalls::FirstIsClosed),
        (300, "subscribe", FirstCalls::FirstIsRefused),
        (300, "subscribe", FirstCalls::TwoFail),
        (300, "automatic", FirstCalls::Answered),
        (300, "automatic", FirstCalls::AnsweredLate),
        (300, "automatic", FirstCalls::TwoFail),
    ];
    let threads = cases.map(|case| {
        (
            case,
            std::thread::spawn(move || calls_at_removed_server(case.0, case.1, case.2)),
        )
    });
    let sent = threads.map(|(case, thread)| (case, thread.join().expect("case panicked")));
    let stale: Vec<_> = sent.iter().filter(|(_, calls)| !calls.is_empty()).collect();
    let describe = |(case, calls): &&((u32, &str, FirstCalls), Vec<Duration>)| {
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
        stale.iter().map(describe).collect::<Vec<_>>()
    );
}

/// While discovery is unreachable, a restarted mixer serves with its last known list, since there is no newer one.
#[test]
fn a_restarted_mixer_serves_with_its_list_while_discovery_is_unreachable() {
    let server = LeafServer::start();
    let unreachable = std::net::TcpListener::bind("127.0.0.1:0")
        .and_then(|listener| listener.local_addr())
        .expect("bind a port");
    for mode in ["subscribe", "automatic"] {
        let known = Some(server.list_entry("s0", "Ready"));
        let program = Program::start(&Setup {
            mixers: 300,
            mode,
            discovery: unreachable,
            known,
        });
        let mut client = Client::connect(program.await_address());
        while !client.is_ready() {
            assert!(
                program.started_at.elapsed() < MAX_READY_TIME,
                "{mode}: not ready"
            );
            std::thread::sleep(QUERY_INTERVAL);
        }
        let until = Instant::now() + OBSERVATION;
        while Instant::now() < until {
            assert_eq!(
                client.query(),
                200,
                "{mode}: {:?} after the start",
                program.started_at.elapsed()
            );
            std::thread::sleep(QUERY_INTERVAL);
        }
    }
}

/// After a process pause (of the machine, or by a debugger) the list may be outdated, and the watch may have been lost during the
/// pause. The requests that arrived during the pause must not be sent according to that list.
#[test]
fn a_paused_mixer_sends_nothing_according_to_its_old_list() {
    let (removed, kept) = (LeafServer::start(), LeafServer::start());
    let known = format!(
        "{},{}",
        removed.list_entry("removed", "Ready"),
        kept.list_entry("kept", "Ready")
    );
    let (before, after) = (known.clone(), kept.list_entry("kept", "Ready"));
    let is_removed = Arc::new(Mutex::new(false));
    let shared = is_removed.clone();
    let address = discovery(
        move |call| match (call, *shared.lock().expect("lock poisoned")) {
            (Some((_, wait)), _) if wait > 0 => Reply::NoAnswer, // the watch has been lost
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
    assert!(clients.iter_mut().all(|client| client.read_status() == 200));
    program.signal("STOP");
    let calls_before = removed.calls().len();
    *is_removed.lock().expect("lock poisoned") = true;
    std::thread::sleep(PAUSE_LENGTH);
    clients.iter_mut().for_each(Client::send_query);
    program.signal("CONT");
    let continued_at = Instant::now();
    for client in &mut clients {
        client.read_status(); // the query may be served or rejected
    }
    while clients[0].query() != 200 {
        assert!(
            continued_at.elapsed() < MAX_READY_TIME,
            "not served after the pause"
        );
        std::thread::sleep(QUERY_INTERVAL);
    }
    assert_eq!(
        removed.calls().len(),
        calls_before,
        "sent according to a list that was {PAUSE_LENGTH:?} old"
    );
}
