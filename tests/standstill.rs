//! The program on real connections, stopped again and again at moments of chance: what came meanwhile is handled before it
//! acts by a clock that has gone on.

mod stand_ins;

use stand_ins::{discovery, list, Client, LeafServer, Program, Reply, Setup};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

const STOPS: u32 = 20;
/// Longer than a client's timeout and the time in which a final answer still counts.
const STOPPED: Duration = Duration::from_millis(750);
const BETWEEN_STOPS: Duration = Duration::from_millis(137);
const CLIENTS: usize = 8;
const TIMEOUT_MS: u32 = 150;
const LEAVES_AFTER: Duration = Duration::from_millis(200);
/// What a leaf server takes for a call, so that requests are in flight at each stop.
const WORK: Duration = Duration::from_millis(20);

/// A client that closes its connection once it has waited too long, and connects again.
fn ask_in_a_hurry(address: SocketAddr, is_over: &AtomicBool) {
    while !is_over.load(Ordering::Relaxed) {
        let Ok(mut client) = Client::connect_hurried(address, TIMEOUT_MS, LEAVES_AFTER) else {
            continue;
        };
        loop {
            client.send_query();
            if client.try_answer().is_err() || is_over.load(Ordering::Relaxed) {
                break;
            }
        }
    }
}

/// Soak seed 3 beside other load: a process that was stopped within a turn of its loop answered clients that had gone
/// meanwhile, and counted that as a violation.
#[test]
fn a_process_that_was_stopped_sees_first_which_clients_have_gone() {
    let servers = [LeafServer::start_slow(WORK), LeafServer::start_slow(WORK)];
    let known = format!(
        "{},{}",
        servers[0].line("first", "Ready"),
        servers[1].line("second", "Ready")
    );
    let lines = known.clone();
    let address = discovery(move |asked| match asked {
        Some((_, wait)) if wait > 0 => Reply::Nothing,
        _ => list(1, true, &lines),
    });
    let (program, clients_at) = Program::start_serving(&Setup {
        mixers: 1,
        mode: "subscribe",
        discovery: address,
        known: Some(known),
    });
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let is_over = is_over.clone();
            std::thread::spawn(move || ask_in_a_hurry(clients_at, &is_over))
        })
        .collect();
    for _ in 0..STOPS {
        std::thread::sleep(BETWEEN_STOPS);
        program.signal("STOP");
        std::thread::sleep(STOPPED);
        program.signal("CONT");
    }
    std::thread::sleep(BETWEEN_STOPS);
    is_over.store(true, Ordering::Relaxed);
    for client in clients {
        client.join().expect("a client that ends");
    }
    let figures = Client::connect(clients_at).page("/-/figures");
    let violations: Vec<&str> = figures
        .lines()
        .filter(|line| line.starts_with("svc_violations_total") && !line.ends_with(" 0"))
        .collect();
    let notes: Vec<String> = program.log.try_iter().map(|(_, line)| line).collect();
    assert!(
        violations.is_empty(),
        "{violations:?}\n{}",
        notes.join("\n")
    );
    assert!(servers.iter().all(|server| !server.calls().is_empty()));
}
