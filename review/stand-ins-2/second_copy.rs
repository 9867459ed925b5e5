//! A leaf server fails a part and sends a second copy of that answer right after.

use crate::harness::*;
use crate::Verdict;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Time between an answer and its second copy (seconds).
const COPY_AFTER_S: f64 = 0.002;
/// Time that a part takes (seconds).
const WORK_S: f64 = 0.3;
/// Number of queries.
const QUERIES: u32 = 20;
/// The leaf server fails the first attempt of one query in so many.
const FAILS_EVERY: u32 = 5;

/// Executions of each part, with their times of begin and end.
type Runs = Arc<Mutex<BTreeMap<String, Vec<(f64, f64)>>>>;

struct Leaf {
    runs: Runs,
    /// Parts that have failed once.
    failed: Arc<Mutex<Vec<String>>>,
    record: Record,
}

impl Leaf {
    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        stream.set_nodelay(true)?;
        let writer = Arc::new(Mutex::new(stream.try_clone()?));
        loop {
            let mut length = [0; 4];
            stream.read_exact(&mut length)?;
            let mut frame = vec![0; u32::from_be_bytes(length) as usize];
            stream.read_exact(&mut frame)?;
            let text = String::from_utf8_lossy(&frame).into_owned();
            if let Some(part) = text.strip_prefix('c') {
                self.record.add(format!("box-a: {part} is given up"));
                continue;
            }
            let line = text[1..].lines().next().unwrap_or_default().to_string();
            let part = line.split(' ').next().unwrap_or_default().to_string();
            self.record.add(format!("box-a: gets {line}"));
            let is_first = {
                let mut failed = self.failed.lock().expect("parts");
                let is_first = text.ends_with("fails") && !failed.contains(&part);
                if is_first {
                    failed.push(part.clone());
                }
                is_first
            };
            if is_first {
                self.record.add(format!("box-a: answers {part} broke"));
                answer(&writer, &part, "broke", "");
                if has_trouble() {
                    sleep(COPY_AFTER_S);
                    self.record.add(format!(
                        "box-a: sends a second copy of that answer, {part} broke"
                    ));
                    answer(&writer, &part, "broke", "");
                }
                continue;
            }
            let index = {
                let mut runs = self.runs.lock().expect("runs");
                let of_part = runs.entry(part.clone()).or_default();
                of_part.push((now(), f64::INFINITY));
                of_part.len() - 1
            };
            let (writer, runs, record) = (writer.clone(), self.runs.clone(), self.record.clone());
            thread::spawn(move || {
                sleep(WORK_S);
                if let Some(of_part) = runs.lock().expect("runs").get_mut(&part) {
                    of_part[index].1 = now();
                }
                record.add(format!("box-a: answers {part} served"));
                answer(&writer, &part, "served", "value");
            });
        }
    }
}

fn answer(writer: &Mutex<TcpStream>, part: &str, end: &str, value: &str) {
    let body = format!("a{part} {end} 0 -\n{value}");
    let mut bytes = (body.len() as u32).to_be_bytes().to_vec();
    bytes.extend(body.into_bytes());
    let _ = writer.lock().expect("writer").write_all(&bytes);
}

pub fn run(record: &Record) -> Verdict {
    let runs = Runs::default();
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("an address");
    {
        let (runs, record) = (runs.clone(), record.clone());
        let failed = Arc::default();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let leaf = Leaf {
                    runs: runs.clone(),
                    failed: Arc::clone(&failed),
                    record: record.clone(),
                };
                thread::spawn(move || drop(leaf.serve(stream)));
            }
        });
    }
    let values = Settings {
        hold_effect: "dedup",
        most_held: 214,
        mixers: 1,
    };
    let settings = settings(&values).replace("\"secondCopies\":true", "\"secondCopies\":false");
    let client = free_address("127.0.0.1");
    let members = [member("box-a", address, 0, "cardiff-bay")];
    let config = config("n1", client, &members, &settings, "");
    let folder = Folder::new();
    let start = Start {
        label: "n1",
        config: &config,
        folder: &folder.0,
        listener: None,
        variables: vec![],
    };
    let mixer = Mixer::start(record, start);
    if !await_that(10.0, || is_ready(client)) {
        return Verdict::NotRun("the mixer is not ready".into());
    }
    let mut answers: BTreeMap<String, u16> = BTreeMap::new();
    for number in 0..QUERIES {
        let fails = number % FAILS_EVERY == FAILS_EVERY - 1;
        let id = format!("q{number}-{}", if fails { "fails" } else { "free" });
        let answer = call(client, &query("area-search", &id, 0, 3000), 6.0);
        record.add(format!("client: {id} is answered {}", answer.status));
        answers.insert(format!("{id}.0"), answer.status);
    }
    sleep(1.0);
    mixer.record_log();
    let runs = runs.lock().expect("runs").clone();
    record.add(format!("runs: {runs:?}"));
    if !answers.values().any(|status| *status == 200) {
        return Verdict::NotRun("no query was answered".into());
    }
    for (part, times) in &runs {
        for pair in times.windows(2) {
            if pair[1].0 < pair[0].1 - 0.05 {
                return Verdict::Broken(format!(
                    "{part} was sent at {:.3} and again at {:.3}, while the first of these ran until {:.3}",
                    pair[0].0, pair[1].0, pair[0].1
                ));
            }
        }
    }
    Verdict::Held
}
