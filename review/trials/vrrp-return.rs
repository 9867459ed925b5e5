//! Trial: the Active mixer of a VRRP pair is killed and returns. Checks that the returning one does not take the address while queries
//! that the other one has accepted are unanswered.

#[path = "../stand-ins/common.rs"]
mod common;

use common::*;
use std::net::{SocketAddr, UdpSocket};
use std::sync::Arc;
use std::thread;

const QUERIES: u32 = 40;

fn main() {
    begin();
    let members: Vec<String> = (0..2)
        .map(|number| {
            let serve = |_: &FramePart| {
                sleep_s(0.5);
                Some(("served".to_string(), "done".to_string()))
            };
            let address = frame_leaf(&format!("box-{number}"), Arc::new(serve));
            member(&format!("box-{number}"), address, ["cardiff-bay", "newport-east"][number as usize], number, "frames")
        })
        .collect();
    let (listen, search) = (free_address(), free_address());
    let free_udp = |ip: &str| UdpSocket::bind((ip, 0)).and_then(|socket| socket.local_addr()).expect("a port");
    let (first, second) = (free_udp("127.0.3.1"), free_udp("127.0.3.2"));
    let config = |name: &str, priority: u32, own: SocketAddr, peer: SocketAddr| {
        let extra = format!(
            "\"search\": {{\"listen\": \"{search}\", \"tenant\": \"tegid-direct\"}}, \"vrrp\": {{\"router\": 7, \"priority\": {priority}, \"interval_cs\": 100, \"preempt\": true, \"addresses\": [\"127.0.0.1\"], \"listen\": \"{own}\", \"peers\": [\"{peer}\"]}},"
        );
        write_config(name, listen, &extra, &members, &settings("dedup", 2, 4, 4))
    };
    let (config_1, config_2) = (config("cardiff-1", 200, first, second), config("cardiff-2", 100, second, first));
    let mixer = start_mixer("cardiff-1", &config_1);
    start_mixer("cardiff-2", &config_2);
    await_ready(listen, 10.0);
    sleep_s(1.0);
    if trouble() {
        signal(mixer, "KILL");
        await_exit(mixer, 2.0);
        await_ready(listen, 10.0);
        start_mixer("cardiff-1", &config_1);
    }
    let begin_at = now();
    let clients: Vec<_> = (0..QUERIES)
        .map(|number| {
            thread::spawn(move || {
                sleep_until(begin_at + 0.1 * f64::from(number));
                let sent_at = now();
                let body = query_body(&[number % 4], "roses");
                let got = request_once(listen, "POST", "/slot-check", &query_headers(&format!("q{number}"), "slot-check", 3000), &body, 4.0);
                let status = got.map(|answer| answer.status).map_err(|error| error.kind());
                note(&format!("client: q{number} sent at {sent_at:.3} got {status:?} at {:.3}", now()));
                (sent_at, now(), status.is_ok())
            })
        })
        .collect();
    // Who answers at the address: the root page of the search API names its mixer.
    let (mut last, mut changed_at) = (String::new(), None);
    while now() < begin_at + 5.0 {
        if let Ok(page) = request_once(search, "GET", "/", &[], "", 1.0) {
            let name = page.body.split("\"name\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("?").to_string();
            if name != last {
                note(&format!("the address is served by {name}"));
                if last == "cardiff-2" {
                    changed_at = Some(now());
                }
                last = name;
            }
        }
        sleep_s(0.005);
    }
    let queries: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    let unanswered = queries.iter().filter(|(from, to, _)| changed_at.is_some_and(|at| *from + 0.1 < at && *to > at)).count();
    let answered = queries.iter().filter(|(_, _, answered)| *answered).count();
    say(&format!("{unanswered} accepted queries were unanswered when the returning mixer served the address; {answered} of {QUERIES} queries got an answer"));
    end(i32::from(unanswered > 0))
}
