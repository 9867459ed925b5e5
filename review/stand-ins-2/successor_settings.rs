//! A new configuration with SIGHUP, and an upgrade right after it.

use crate::harness::*;
use crate::Verdict;
use std::collections::BTreeMap;
use std::fs;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread;

/// Time after SIGHUP up to which queries are judged by the former settings (seconds). Clients follow the new ones, and the new rules
/// bind, from 1.2 s after SIGHUP on.
const FORMER_UNTIL_S: f64 = 1.1;

/// Starts a discovery that answers with the whole list, and holds a watch, since nothing changes.
fn start_discovery(members: &[String]) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    let list = format!(
        "{{\"revision\":1,\"complete\":true,\"members\":[{}]}}",
        members.join(",")
    );
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let list = list.clone();
            thread::spawn(move || answer_calls(stream, &list));
        }
    });
    address
}

fn answer_calls(mut stream: TcpStream, list: &str) {
    let mut buffer = [0; 4096];
    let mut text = String::new();
    loop {
        while !text.contains("\r\n\r\n") {
            match stream.read(&mut buffer) {
                Ok(count @ 1..) => text.push_str(&String::from_utf8_lossy(&buffer[..count])),
                _ => return,
            }
        }
        let target = text.lines().next().unwrap_or_default().to_string();
        text.clear();
        let wait_ms = target.split("wait=").nth(1).map(|rest| {
            let digits: String = rest.chars().take_while(char::is_ascii_digit).collect();
            digits.parse::<f64>().unwrap_or(0.0)
        });
        let body = match wait_ms {
            // Nothing newer comes, so the call waits for its whole time.
            Some(wait_ms) if target.contains("index=1&") => {
                sleep(wait_ms / 1000.0);
                "{\"revision\":1,\"complete\":false,\"members\":[]}"
            }
            _ => list,
        };
        let answer = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

fn settings_with(hold_effect: &str) -> String {
    settings(&Settings {
        hold_effect,
        most_held: 214,
        mixers: 1,
    })
}

pub fn run(record: &Record) -> Verdict {
    let attempts = Attempts::default();
    let reply = |attempt: &Attempt| Reply {
        after_s: 0.02,
        end: "broke",
        value: attempt.text.clone(),
    };
    let a = start_leaf("box-a", &attempts, record, reply);
    let b = start_leaf("box-b", &attempts, record, reply);
    let members = [
        member("box-a", a, 0, "cardiff-bay"),
        member("box-b", b, 1, "newport-east"),
    ];
    let discovery = start_discovery(&members);
    let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
    let address = listener.local_addr().expect("an address");
    let extra = format!("\"discovery\":\"{discovery}\",");
    let former = config("n1", address, &members, &settings_with("fragile"), &extra);
    let new = config("n1", address, &members, &settings_with("retryable"), &extra);
    let folder = Folder::new();
    let start = |label: &str, config: &str, operator: SocketAddr| {
        let start = Start {
            label,
            config,
            folder: &folder.0,
            listener: Some(&listener),
            variables: vec![
                ("LB_NAME", "n1".to_string()),
                ("LB_OPERATOR", operator.to_string()),
            ],
        };
        Mixer::start(record, start)
    };
    let operators = [free_address("127.0.0.1"), free_address("127.0.0.1")];
    let first = start("first", &former, operators[0]);
    if !await_that(10.0, || admin(operators[0], "STATUS") == "ok ready") {
        return Verdict::NotRun("the first process is not ready".into());
    }
    sleep(1.5);
    fs::write(folder.0.join("first.json"), &new).expect("a configuration");
    let changed_at = now();
    first.signal("HUP");
    let mut second = None;
    if has_trouble() {
        sleep(0.2);
        // The same file, read by the new process.
        let process = start("second", &new, operators[1]);
        if !await_that(1.0, || admin(operators[1], "STATUS") == "ok ready") {
            return Verdict::NotRun("the second process did not take over in time".into());
        }
        record.add(format!(
            "second: ready {:.3} s after SIGHUP",
            now() - changed_at
        ));
        second = Some(process);
    }
    let mut number = 0;
    while now() < changed_at + FORMER_UNTIL_S - 0.1 {
        let id = format!("q{number}");
        let answer = call(address, &query("stem-hold", &id, 0, 1000), 3.0);
        record.add(format!("client: {id} is answered {}", answer.status));
        number += 1;
        sleep(0.05);
    }
    sleep(1.0);
    first.record_log();
    second.iter().for_each(Mixer::record_log);
    let attempts = attempts.lock().expect("attempts");
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for attempt in attempts
        .iter()
        .filter(|it| it.began < changed_at + FORMER_UNTIL_S)
    {
        *runs.entry(&attempt.part).or_default() += 1;
    }
    record.add(format!(
        "runs up to {FORMER_UNTIL_S} s after SIGHUP: {runs:?}"
    ));
    if runs.is_empty() {
        return Verdict::NotRun("nothing ran".into());
    }
    let twice: Vec<&&str> = runs
        .iter()
        .filter(|(_, count)| **count > 1)
        .map(|(part, _)| part)
        .collect();
    if twice.is_empty() {
        return Verdict::Held;
    }
    Verdict::Broken(format!(
        "parts of a fragile class ran more than once: {twice:?}"
    ))
}
