//! Tests the program on real connections while its process is paused repeatedly at arbitrary times. After a pause, the program has
//! to handle the events that arrived during the pause before it acts on the time that has passed.

mod stand_ins;

use stand_ins::{discovery, list, Client, LeafServer, Program, Reply, Setup};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const PAUSES: u32 = 20;
/// Length of a pause; longer than a client's timeout plus the time during which a final answer still counts.
const PAUSE_LENGTH: Duration = Duration::from_millis(750);
const PAUSE_INTERVAL: Duration = Duration::from_millis(137);
const CLIENTS: usize = 8;
const TIMEOUT_MS: u32 = 150;
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Delay of a leaf server's answers, so that requests are in flight at each pause.
const ANSWER_DELAY: Duration = Duration::from_millis(20);

/// Sends queries, and closes the connection and connects again whenever no answer is received in time.
fn query_with_short_timeouts(address: SocketAddr, is_stopped: &AtomicBool) {
    while !is_stopped.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect_with_timeouts(address, TIMEOUT_MS, READ_TIMEOUT)
        else {
            continue;
        };
        loop {
            client.send_query();
            if client.try_read_answer().is_err() || is_stopped.load(Ordering::Relaxed) {
                break;
            }
        }
    }
}

/// A process that was paused within an iteration of its event loop answered clients that had disconnected during the pause, and
/// counted each such answer as a violation (found by the soak test with seed 3, in parallel with other load).
#[test]
fn a_resumed_process_first_detects_which_clients_have_disconnected() {
    let servers = [
        LeafServer::start_slow(ANSWER_DELAY),
        LeafServer::start_slow(ANSWER_DELAY),
    ];
    let known = format!(
        "{},{}",
        servers[0].list_entry("first", "Ready"),
        servers[1].list_entry("second", "Ready")
    );
    let lines = known.clone();
    let address = discovery(move |call| match call {
        Some((_, wait)) if wait > 0 => Reply::NoAnswer,
        _ => list(1, true, &lines),
    });
    let (program, client_address) = Program::start_serving(&Setup {
        mixers: 1,
        mode: "subscribe",
        discovery: address,
        known: Some(known),
    });
    let is_stopped = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let is_stopped = is_stopped.clone();
            std::thread::spawn(move || query_with_short_timeouts(client_address, &is_stopped))
        })
        .collect();
    for _ in 0..PAUSES {
        std::thread::sleep(PAUSE_INTERVAL);
        program.signal("STOP");
        std::thread::sleep(PAUSE_LENGTH);
        program.signal("CONT");
    }
    std::thread::sleep(PAUSE_INTERVAL);
    is_stopped.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("client panicked");
    }
    let metrics = Client::connect(client_address).get_page("/-/figures");
    let violations: Vec<&str> = metrics
        .lines()
        .filter(|line| line.starts_with("svc_violations_total") && !line.ends_with(" 0"))
        .collect();
    let log: Vec<String> = program.log.try_iter().map(|(_, line)| line).collect();
    assert!(violations.is_empty(), "{violations:?}\n{}", log.join("\n"));
    assert!(servers.iter().all(|server| !server.calls().is_empty()));
}
