//! Case: a leaf server of the search API sends a second copy of one answer right after it. Checks that each client gets only values
//! that a leaf server made for its own request, and that each create that is reported as done has run.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::BTreeSet;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;

const CLIENTS: u32 = 3;
const ROUNDS: u32 = 20;
/// One in so many answers is followed by a second copy.
const COPY_EVERY: u32 = 25;

fn leaf(name: &str, created: Arc<Mutex<BTreeSet<String>>>) -> std::net::SocketAddr {
    let answers = AtomicU32::new(0);
    search_leaf(
        name,
        Arc::new(move |call: &SearchCall| {
            sleep_s(0.02);
            let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
            let copies = if trouble() && number % COPY_EVERY == 10 { 2 } else { 1 };
            if let Some((index, id)) = call.path.trim_start_matches('/').split_once("/_create/") {
                let (index, id) = (index.replace("%2D", "-"), id.replace("%2D", "-"));
                // A holder discards a repeat and answers as before.
                created.lock().unwrap().insert(id.clone());
                let body = format!("{{\"_index\":\"{index}\",\"_id\":\"{id}\",\"_version\":1,\"result\":\"created\"}}");
                return (201, body, copies);
            }
            // The hit names what was asked for.
            let asked = call.body.split("\"query\":\"").nth(1).and_then(|rest| rest.split('"').next()).unwrap_or("?");
            let body = format!(
                "{{\"took\":20,\"timed_out\":false,\"_shards\":{{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0}},\"hits\":{{\"total\":{{\"value\":1,\"relation\":\"eq\"}},\"max_score\":1.0,\"hits\":[{{\"_index\":\"slot-check\",\"_id\":\"found for {asked}\",\"_score\":1.0}}]}}}}"
            );
            (200, body, copies)
        }),
    )
}

fn main() {
    begin();
    let created: Arc<Mutex<BTreeSet<String>>> = Arc::default();
    let listen = free_address();
    let search = free_address();
    let boxes = [("box-a", "cardiff-bay"), ("box-b", "newport-east")];
    let members: Vec<String> = boxes
        .iter()
        .enumerate()
        .map(|(cell, (name, zone))| member(name, leaf(name, created.clone()), zone, cell as u32, "opensearch"))
        .collect();
    let extra = format!("\"search\": {{\"listen\": \"{search}\", \"tenant\": \"tegid-direct\"}},");
    let config = write_config("cardiff-1", listen, &extra, &members, &settings("dedup", 2, 4, 4));
    start_mixer("cardiff-1", &config);
    await_ready(listen, 10.0);
    let wrong: Arc<Mutex<Vec<String>>> = Arc::default();
    let answered = Arc::new(AtomicU32::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|client| {
            let (wrong, answered, created) = (wrong.clone(), answered.clone(), created.clone());
            thread::spawn(move || {
                for round in 0..ROUNDS {
                    let mine = format!("florist-{client}-{round}");
                    let tablets = [(client + round) % 4, (client + round + 1) % 4];
                    let response = request_once(
                        listen,
                        "POST",
                        "/slot-check",
                        &query_headers(&format!("q{client}x{round}"), "slot-check", 3000),
                        &query_body(&tablets, &mine),
                        4.0,
                    );
                    match response {
                        Ok(response) => {
                            note(&format!("client {client}: asked for {mine}, got {} {}", response.status, response.body));
                            let own = response.body.matches(&format!("found for {mine}\\")).count();
                            if response.status == 200 {
                                answered.fetch_add(1, Ordering::Relaxed);
                                if own != tablets.len() {
                                    wrong.lock().unwrap().push(format!("{mine} was answered 200 with {}", response.body));
                                }
                            }
                        }
                        Err(error) => note(&format!("client {client}: asked for {mine}, got {error}")),
                    }
                    let order = format!("order-{client}-{round}");
                    let target = format!("/stem-hold/_create/{order}");
                    match request_once(search, "PUT", &target, &[], "{\"stems\":12}", 6.0) {
                        Ok(response) => {
                            note(&format!("client {client}: created {order}, got {} {}", response.status, response.body));
                            if response.status == 201 {
                                answered.fetch_add(1, Ordering::Relaxed);
                                if !created.lock().unwrap().contains(&order) {
                                    wrong.lock().unwrap().push(format!("{order} was answered 201 and no leaf server had run it"));
                                }
                            }
                        }
                        Err(error) => note(&format!("client {client}: created {order}, got {error}")),
                    }
                    sleep_s(0.03);
                }
            })
        })
        .collect();
    for client in clients {
        client.join().expect("a client");
    }
    let wrong = wrong.lock().unwrap();
    let answered = answered.load(Ordering::Relaxed);
    for line in wrong.iter() {
        note(&format!("BROKEN: {line}"));
    }
    say(&format!("{answered} of {} requests answered 200 or 201, {} of them with what no leaf server made for them", 2 * CLIENTS * ROUNDS, wrong.len()));
    if answered < CLIENTS * ROUNDS {
        say("the case could not run: too few requests were answered");
        end(if wrong.is_empty() { 2 } else { 1 });
    }
    end(if wrong.is_empty() { 0 } else { 1 })
}
