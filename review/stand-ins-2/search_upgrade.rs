//! Upgrades while clients of the search API connect all the time.

use crate::harness::*;
use crate::Verdict;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Number of clients, each of which connects anew for every search.
const CLIENTS: usize = 12;
/// Number of upgrades in a row.
const UPGRADES: usize = 10;

/// Sends one search on a new connection. Returns whether there was an answer; a connection that was refused, or ended before the request
/// was written, is no loss. An error says how a request that was written whole ended without an answer.
fn search(to: SocketAddr, request: &str) -> Result<bool, String> {
    let Ok(mut stream) = TcpStream::connect(to) else {
        return Ok(false);
    };
    let _ = stream.set_read_timeout(Some(Duration::from_secs(5)));
    if stream.write_all(request.as_bytes()).is_err() {
        return Ok(false);
    }
    let mut bytes = Vec::new();
    match stream.read_to_end(&mut bytes) {
        Ok(_) if bytes.starts_with(b"HTTP/1.1") => Ok(true),
        Ok(_) => Err("end without an answer".into()),
        Err(error) => Err(format!("{error} after {} bytes", bytes.len())),
    }
}

pub fn run(record: &Record) -> Verdict {
    let attempts = Attempts::default();
    let answer = |attempt: &Attempt| Reply {
        after_s: 0.001,
        end: "served",
        value: attempt.text.clone(),
    };
    let quiet = Record::default();
    let a = start_leaf("box-a", &attempts, &quiet, answer);
    let b = start_leaf("box-b", &attempts, &quiet, answer);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let members = [
        member("box-a", a, 0, "cardiff-bay"),
        member("box-b", b, 1, "newport-east"),
    ];
    let values = Settings {
        hold_effect: "dedup",
        most_held: 214,
        mixers: 1,
    };
    let search_address = free_address("127.0.0.1");
    let extra =
        format!("\"search\":{{\"listen\":\"{search_address}\",\"tenant\":\"tegid-direct\"}},");
    let config = config("n1", address, &members, &settings(&values), &extra);
    let folder = Folder::new();
    let start = |number: usize, operator: SocketAddr| {
        let label = format!("p{number}");
        let start = Start {
            label: &label,
            config: &config,
            folder: &folder.0,
            listener: Some(&listener),
            variables: vec![
                ("LB_NAME", "n1".to_string()),
                ("LB_OPERATOR", operator.to_string()),
            ],
        };
        Mixer::start(record, start)
    };
    let operator = free_address("127.0.0.1");
    let mut current = start(0, operator);
    if !await_that(10.0, || admin(operator, "STATUS") == "ok ready") {
        return Verdict::NotRun("the first process is not ready".into());
    }
    let stop = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let lost = Arc::new(AtomicUsize::new(0));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let (stop, answered, lost, record) =
                (stop.clone(), answered.clone(), lost.clone(), record.clone());
            thread::spawn(move || {
                let request = "GET /slot-check/_search?preference=_shards:0 HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n";
                while !stop.load(Ordering::Relaxed) {
                    match search(search_address, request) {
                        Ok(true) => {
                            answered.fetch_add(1, Ordering::Relaxed);
                        }
                        Ok(false) => sleep(0.001),
                        Err(error) => {
                            lost.fetch_add(1, Ordering::Relaxed);
                            record.add(format!("client: a search that was written whole got no answer: {error}"));
                        }
                    }
                }
            })
        })
        .collect();
    for number in 1..=UPGRADES {
        if !has_trouble() {
            sleep(1.0);
            continue;
        }
        sleep(0.5);
        let next_operator = free_address("127.0.0.1");
        let next = start(number, next_operator);
        if !await_that(10.0, || admin(next_operator, "STATUS") == "ok ready") {
            return Verdict::NotRun("no takeover".into());
        }
        current.signal("TERM");
        current.await_exit(10.0);
        current = next;
    }
    stop.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    current.record_log();
    let (answered, lost) = (
        answered.load(Ordering::Relaxed),
        lost.load(Ordering::Relaxed),
    );
    record.add(format!(
        "{answered} searches were answered, {lost} were lost"
    ));
    if lost > 0 {
        return Verdict::Broken(format!("{lost} searches got no answer, {answered} did"));
    }
    Verdict::Held
}
