//! Stand-in leaf servers on loopback sockets.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use wharfhub_testbed::rules::RuleChecker;
use wharfhub_testbed::site::{cardiff, Fault, Layout, Part, Query, Scenario, Site};
use wharfhub_testbed::standin::{self, Shared};

const SLOW_FACTOR: f64 = 20.0;
const PART_S: f64 = 0.005;

/// Starts the only leaf server of a scenario; a part takes `part_s` seconds.
fn open(part_s: f64, faults: Vec<(f64, f64, Fault)>) -> SocketAddr {
    let site = Site {
        layout: Layout::Ring(1, 1),
        ..cardiff()
    };
    let scenario = Scenario {
        leaf_servers: 1,
        mixers: 1,
        faults,
        site,
        ..Scenario::default()
    };
    let part = Part {
        shard: 0,
        weight: 1.0,
        work_s: part_s,
        matches: true,
    };
    let query = Query {
        at: 0.0,
        class: 0,
        tenant: 0,
        key: 1,
        parts: vec![part],
        timeout_s: 10.0,
        disconnects_after_s: f64::MAX,
        mixer: 0,
    };
    let shared = Arc::new(Shared {
        queries: vec![query],
        start: Instant::now(),
        rules: Mutex::new(RuleChecker::new(&scenario, 0.0)),
        work: Mutex::new((vec![0.0; scenario.site.classes.len()], 0, 0)),
        scenario,
    });
    standin::open(&shared, 0, false).expect("cannot open a stand-in on a loopback port")
}

/// Sends a part in a frame, as a mixer does, and returns the answer and the latency.
fn send_part(server: SocketAddr) -> (String, Duration) {
    let mut stream = TcpStream::connect(server).expect("cannot connect to the leaf server");
    let rest = "qq0-0.0 0 d=9000 1\nx";
    let frame = [&(rest.len() as u32).to_be_bytes()[..], rest.as_bytes()].concat();
    let sent_at = Instant::now();
    stream.write_all(&frame).expect("cannot send the frame");
    let mut head = [0; 4];
    stream
        .read_exact(&mut head)
        .expect("cannot read the length of the answer");
    let mut answer = vec![0; u32::from_be_bytes(head) as usize];
    stream
        .read_exact(&mut answer)
        .expect("cannot read the complete answer");
    (
        String::from_utf8(answer).expect("the answer should be UTF-8"),
        sent_at.elapsed(),
    )
}

#[test]
fn a_part_without_work_is_answered() {
    let (answer, _) = send_part(open(0.0, Vec::new()));
    assert!(answer.starts_with("aq0-0.0 served "), "{answer}");
}

#[test]
fn a_server_slowed_by_a_fault_takes_longer_by_the_factor() {
    let slow = (0.0, f64::MAX, Fault::SomeSlow(1.0, SLOW_FACTOR));
    let (answer, took) = send_part(open(PART_S, vec![slow]));
    assert!(answer.starts_with("aq0-0.0 served "), "{answer}");
    assert!(took.as_secs_f64() >= PART_S * SLOW_FACTOR, "{took:?}");
}
