//! Case: the link between two machine rooms is cut while a mixer is restarted that has a drain in its store. Checks that the drained
//! leaf server gets nothing from the restarted mixer.

#[path = "../stand-ins/common.rs"]
mod common;

use common::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

/// Length of the cut (seconds).
const CUT_S: f64 = 6.0;
const QUERIES: u32 = 40;

fn main() {
    begin();
    let is_cut = Arc::new(AtomicBool::new(false));
    let parts: Arc<Mutex<Vec<(String, FramePart)>>> = Arc::default();
    let leaf = |name: &'static str| {
        let parts = parts.clone();
        frame_leaf(
            name,
            Arc::new(move |part: &FramePart| {
                parts.lock().unwrap().push((name.to_string(), part.clone()));
                sleep_s(0.02);
                Some(("served".to_string(), "done".to_string()))
            }),
        )
    };
    let (box_a, box_b, box_c) = (leaf("box-a"), leaf("box-b"), leaf("box-c"));
    // Three mixers, each a node of the store: node 1 in cardiff-bay, nodes 2 and 3 in newport-east.
    let listen: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let stores: Vec<SocketAddr> = (0..3).map(|_| free_address()).collect();
    let is_remote = |a: usize, b: usize| (a == 0) != (b == 0);
    let start: Vec<_> = (0..3)
        .map(|node| {
            let across = |address: SocketAddr, remote: bool| if remote { link(address, is_cut.clone()) } else { address };
            let peers: Vec<String> = (0..3)
                .filter(|peer| *peer != node)
                .map(|peer| format!("{{\"node\":{},\"address\":\"{}\"}}", peer + 1, across(stores[peer], is_remote(node, peer))))
                .collect();
            let data = folder().join(format!("data-{}", node + 1));
            std::fs::create_dir_all(&data).expect("a data folder");
            let extra = format!(
                "\"store\": {{\"node\": {}, \"listen\": \"{}\", \"folder\": \"{}\", \"peers\": [{}]}},",
                node + 1,
                stores[node],
                data.display(),
                peers.join(", ")
            );
            let members = [
                member("box-a", across(box_a, node != 0), "cardiff-bay", 0, "frames"),
                member("box-b", across(box_b, node != 0), "cardiff-bay", 1, "frames"),
                member("box-c", across(box_c, node == 0), "newport-east", 0, "frames"),
            ];
            let name = ["cardiff-1", "newport-1", "newport-2"][node];
            (name, write_config(name, listen[node], &extra, &members, &settings("dedup", 2, 4, 4)))
        })
        .collect();
    let ids: Vec<u32> = start.iter().map(|(name, config)| start_mixer(name, config)).collect();
    for address in &listen {
        await_ready(*address, 10.0);
    }
    // An operator drains box-a at cardiff-1. Nodes may not have connected yet, so a first answer may be 504.
    let mut acknowledged_at = None;
    for _ in 0..5 {
        let response = request_once(listen[0], "PUT", "/-/store/drains", &[], "[\"box-a\"]", 5.0).expect("an answer of the store");
        note(&format!("operator: PUT /-/store/drains [\"box-a\"] at cardiff-1 got {} {}", response.status, response.body));
        if response.status == 200 {
            acknowledged_at = Some(now());
            break;
        }
    }
    let acknowledged_at = acknowledged_at.expect("a drain that is acknowledged");
    let ask = |from: u32, to: u32| {
        let mut answered = 0;
        for number in from..to {
            let body = query_body(&[number % 4, (number + 1) % 4], "roses");
            match request_once(listen[0], "POST", "/slot-check", &query_headers(&format!("q{number}"), "slot-check", 1000), &body, 2.0) {
                Ok(response) => {
                    answered += u32::from(response.status == 200);
                    note(&format!("client: q{number} got {}", response.status));
                }
                Err(error) => note(&format!("client: q{number} got {error}")),
            }
            sleep_s(0.05);
        }
        answered
    };
    let drained = |since: f64| {
        let parts = parts.lock().unwrap();
        parts.iter().filter(|(name, part)| name == "box-a" && part.first_at > since).map(|(_, part)| part.clone()).collect::<Vec<_>>()
    };
    sleep_s(0.7);
    let before = ask(0, 10);
    let grace_over = acknowledged_at + 0.5 + 0.05;
    let kept_before = drained(grace_over).is_empty();
    say(&format!("before the restart: {before} of 10 queries answered, box-a got {} parts after the grace", drained(grace_over).len()));
    if trouble() {
        is_cut.store(true, Ordering::SeqCst);
        note("the link between cardiff-bay and newport-east is cut");
    }
    let cut_at = now();
    // A planned restart of cardiff-1, in both plays.
    signal(ids[0], "TERM");
    await_exit(ids[0], 8.0);
    start_mixer(start[0].0, &start[0].1);
    await_ready(listen[0], 10.0);
    sleep_s(0.3);
    let ready_at = now();
    let answered = ask(10, 10 + QUERIES);
    let got = drained(ready_at);
    sleep_until(cut_at + CUT_S);
    is_cut.store(false, Ordering::SeqCst);
    note("the link is whole");
    for part in &got {
        note(&format!("BROKEN: box-a got part {} {:.3} s after its drain was acknowledged", part.id, part.first_at - acknowledged_at));
    }
    say(&format!("after the restart: {answered} of {QUERIES} queries answered, the drained box-a got {} parts", got.len()));
    if !got.is_empty() || !kept_before {
        end(1);
    }
    // A mixer that refuses until it knows better keeps the rule too.
    end(0)
}
