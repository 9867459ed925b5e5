//! Case: a new configuration gives the class stem-hold another effect. Checks that a create that is answered 201 has run at a leaf
//! server, and that leaf servers get no call that no client sent.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};

const CREATES: u32 = 12;
/// Members of a search body that the stand-in knows; a search with another one is rejected with 400.
const SEARCH_KEYS: [&str; 5] = ["\"query\"", "\"from\"", "\"size\"", "\"timeout\"", "\"_source\""];

#[derive(Default)]
struct Seen {
    created: BTreeSet<String>,
    searches: Vec<String>,
}

fn leaf(name: &str, seen: Arc<Mutex<Seen>>) -> std::net::SocketAddr {
    search_leaf(
        name,
        Arc::new(move |call: &SearchCall| {
            sleep_s(0.02);
            if let Some((index, id)) = call.path.trim_start_matches('/').split_once("/_create/") {
                let (index, id) = (index.replace("%2D", "-"), id.replace("%2D", "-"));
                seen.lock().unwrap().created.insert(id.clone());
                return (201, format!("{{\"_index\":\"{index}\",\"_id\":\"{id}\",\"_version\":1,\"result\":\"created\"}}"), 1);
            }
            seen.lock().unwrap().searches.push(format!("{} {} {}", call.method, call.path, call.body));
            let text = call.body.trim().trim_start_matches('{').trim_end_matches('}').trim();
            if !text.is_empty() && !SEARCH_KEYS.iter().any(|key| text.starts_with(key)) {
                let reason = "{\"error\":{\"type\":\"parsing_exception\",\"reason\":\"Unknown key\"},\"status\":400}";
                return (400, reason.to_string(), 1);
            }
            let hits = "{\"took\":20,\"timed_out\":false,\"_shards\":{\"total\":1,\"successful\":1,\"skipped\":0,\"failed\":0},\"hits\":{\"total\":{\"value\":0,\"relation\":\"eq\"},\"max_score\":null,\"hits\":[]}}";
            (200, hits.to_string(), 1)
        }),
    )
}

fn main() {
    begin();
    let seen: Arc<Mutex<Seen>> = Arc::default();
    let (listen, search) = (free_address(), free_address());
    let members: Vec<String> = [("box-a", "cardiff-bay"), ("box-b", "newport-east")]
        .iter()
        .enumerate()
        .map(|(cell, (name, zone))| member(name, leaf(name, seen.clone()), zone, cell as u32, "opensearch"))
        .collect();
    let extra = format!("\"search\": {{\"listen\": \"{search}\", \"tenant\": \"tegid-direct\"}},");
    let write = |effect: &str| write_config("cardiff-1", listen, &extra, &members, &settings(effect, 2, 4, 4));
    let config = write("dedup");
    let mixer = start_mixer("cardiff-1", &config);
    await_ready(listen, 10.0);
    sleep_s(1.5); // never in the first second
    if trouble() {
        write("fragile");
        signal(mixer, "HUP");
    }
    sleep_s(2.0); // the new rules bind 1.2 s after SIGHUP
    let (mut answered, mut lost) = (0, 0);
    for number in 0..CREATES {
        let id = format!("order-{number}");
        // Every second order has nothing to say beyond its id.
        let body = if number % 2 == 0 { "{}" } else { "{\"stems\":12}" };
        match request_once(search, "PUT", &format!("/stem-hold/_create/{id}"), &[], body, 6.0) {
            Ok(response) => {
                note(&format!("client: created {id} with {body}, got {} {}", response.status, response.body));
                answered += 1;
                if response.status == 201 && !seen.lock().unwrap().created.contains(&id) {
                    lost += 1;
                    note(&format!("BROKEN: {id} was answered 201, result created, and no leaf server has got a create of it"));
                }
            }
            Err(error) => note(&format!("client: created {id}, got {error}")),
        }
    }
    let seen = seen.lock().unwrap();
    for search in &seen.searches {
        note(&format!("BROKEN: a leaf server got a search that no client sent: {search}"));
    }
    say(&format!(
        "{answered} of {CREATES} creates answered; {lost} answered 201 that never reached a leaf server; {} searches that no client sent",
        seen.searches.len()
    ));
    if lost > 0 || !seen.searches.is_empty() {
        end(1);
    }
    end(if answered < CREATES { 2 } else { 0 })
}
