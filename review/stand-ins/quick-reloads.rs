//! Case: two new configurations in quick succession. The second one makes a class that may never be repeated repeatable. Checks that
//! requests of that class, sent within 1.2 s of the second SIGHUP and so before its rules bind, are not sent again after an attempt
//! that may have run.

#[path = "common.rs"]
mod common;

use common::*;
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::thread;

/// Time between the two configurations (seconds).
const BETWEEN_S: f64 = 0.7;
/// The requests are sent from this to that time after the second SIGHUP (seconds); the new rules bind after 1.2 s.
const SENT_S: (f64, f64) = (0.45, 0.55);
const REQUESTS: u32 = 24;
const BOXES: u32 = 6;
/// The one box of six (17%) that quickly fails nine in ten of its parts, in both plays.
const FAILING: u32 = 0;
/// Time that a box takes for a part (seconds).
const WORK_S: f64 = 0.1;

/// An attempt as a leaf server saw it.
struct Run {
    at: f64,
    leaf: u32,
    word: &'static str,
}

fn main() {
    begin();
    let runs: Arc<Mutex<BTreeMap<String, Vec<Run>>>> = Arc::default();
    let members: Vec<String> = (0..BOXES)
        .map(|number| {
            let runs = runs.clone();
            let address = frame_leaf(
                &format!("box-{number}"),
                Arc::new(move |part: &FramePart| {
                    let mut runs = runs.lock().unwrap();
                    let earlier: usize = runs.values().flatten().filter(|run| run.leaf == number).count();
                    let word = if number == FAILING && earlier % 10 != 9 { "broke" } else { "served" };
                    runs.entry(part.id.clone()).or_default().push(Run { at: part.at, leaf: number, word });
                    drop(runs);
                    sleep_s(WORK_S);
                    Some((word.to_string(), format!("{} done", part.text)))
                }),
            );
            member(&format!("box-{number}"), address, ["cardiff-bay", "newport-east"][number as usize % 2], number, "frames")
        })
        .collect();
    let listen = free_address();
    let write = |effect: &str, send_cap: u32| write_config("cardiff-1", listen, "", &members, &settings(effect, BOXES, 2 * BOXES, send_cap));
    let config = write("fragile", 4);
    let mixer = start_mixer("cardiff-1", &config);
    await_ready(listen, 10.0);
    sleep_s(1.5); // never in the first second
    if trouble() {
        write("fragile", 3); // the number of attempts changes
        signal(mixer, "HUP");
        sleep_s(BETWEEN_S);
    }
    write("retryable", 3); // the effect changes
    signal(mixer, "HUP");
    let changed_at = now();
    // Shards whose holders are the failing box and the next or the one before.
    let shards = [0, BOXES, BOXES - 1, 2 * BOXES - 1];
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            let at = changed_at + SENT_S.0 + (SENT_S.1 - SENT_S.0) * f64::from(number) / f64::from(REQUESTS);
            let shard = shards[number as usize % shards.len()];
            thread::spawn(move || {
                let mut client = Client::connect(listen, 6.0).expect("a connection");
                sleep_until(at);
                let id = format!("hold{number}");
                let sent_at = now();
                note(&format!("client: sends {id} {:.3} s after the last SIGHUP", sent_at - changed_at));
                let answer = client.request(
                    "POST",
                    "/stem-hold",
                    &query_headers(&id, "stem-hold", 5000),
                    &query_body(&[shard], &format!("hold {number}")),
                );
                let status = answer.map(|answer| answer.status).unwrap_or(0);
                note(&format!("client: {id} got {status}"));
                (id, shard, sent_at, status)
            })
        })
        .collect();
    let sent: Vec<_> = clients.into_iter().map(|client| client.join().expect("a client")).collect();
    sleep_s(0.5);
    let runs = runs.lock().unwrap();
    let (mut may_have_run, mut repeated) = (0, 0);
    for (id, shard, sent_at, status) in &sent {
        // Sent too late to judge, because this machine was slow.
        if sent_at - changed_at > 1.1 {
            continue;
        }
        let Some(runs) = runs.get(&format!("{id}.{shard}")) else { continue };
        may_have_run += u32::from(runs[0].word != "served");
        if runs.len() > 1 {
            repeated += 1;
            let list: Vec<String> = runs.iter().map(|run| format!("box-{} at {:.4} {}", run.leaf, run.at, run.word)).collect();
            note(&format!("BROKEN: {id}, sent {:.3} s after the last SIGHUP, answered {status}, ran {} times: {}", sent_at - changed_at, runs.len(), list.join(", ")));
        }
    }
    say(&format!("{may_have_run} of {} requests had a first attempt that failed and may have run; {repeated} of them were sent again", sent.len()));
    if repeated > 0 {
        end(1);
    }
    if may_have_run == 0 {
        say("the case could not run: no attempt failed");
        end(2);
    }
    end(0)
}
