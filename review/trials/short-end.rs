//! Trial: a new configuration removes the class with the longest deadline; a planned restart follows while a request of that class is
//! open and leaf servers hang through the shutdown. Checks that the request gets its final answer.

#[path = "../stand-ins/common.rs"]
mod common;

use common::*;
use std::sync::Arc;
use std::thread;

const REQUESTS: u32 = 4;

fn main() {
    begin();
    // Leaf servers that hang through the whole of the shutdown, in both plays.
    let members: Vec<String> = (0..2)
        .map(|number| {
            let hang = |part: &FramePart| (!part.text.starts_with("hang")).then(|| ("served".to_string(), "done".to_string()));
            let address = frame_leaf(&format!("box-{number}"), Arc::new(hang));
            member(&format!("box-{number}"), address, ["cardiff-bay", "newport-east"][number as usize], number, "frames")
        })
        .collect();
    let listen = free_address();
    let full = settings("dedup", 2, 4, 4);
    let at = full.find(",\n    {\"name\": \"stem-hold\"").expect("the class");
    let end_at = at + full[at..].find("}]").expect("the last class");
    let mut without = format!("{}{}", &full[..at], &full[end_at + 1..]);
    for list in ["completeFrom\": [1.0", "floorByClass\": [0.7", "classPartial\": [0.9"] {
        let second = if list.starts_with("classPartial") { "0.9" } else { "1.0" };
        without = without.replace(&format!("{list}, {second}, {second}]"), &format!("{list}, {second}]"));
    }
    let config = write_config("cardiff-1", listen, "", &members, &full);
    let mixer = start_mixer("cardiff-1", &config);
    await_ready(listen, 10.0);
    sleep_s(1.5); // never in the first second
    if trouble() {
        write_config("cardiff-1", listen, "", &members, &without);
        signal(mixer, "HUP");
    }
    sleep_s(0.8);
    let clients: Vec<_> = (0..REQUESTS)
        .map(|number| {
            thread::spawn(move || {
                let mut headers = query_headers(&format!("h{number}"), "stem-hold", 5000);
                headers.push(("Idempotency-Key", format!("k{number}")));
                let sent_at = now();
                let mut client = Client::connect(listen, 7.0).expect("a connection");
                let got = client.request("POST", "/stem-hold", &headers, &query_body(&[number], "hang"));
                let status = got.map(|answer| answer.status).map_err(|error| error.kind());
                note(&format!("client: h{number} of 5 s got {status:?} after {:.3} s", now() - sent_at));
                status.is_err()
            })
        })
        .collect();
    sleep_s(0.4);
    signal(mixer, "TERM");
    let lost = clients.into_iter().map(|client| client.join().expect("a client")).filter(|lost| *lost).count();
    say(&format!("{lost} of {REQUESTS} requests were never answered"));
    end(i32::from(lost > 0))
}
