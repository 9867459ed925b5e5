//! Queries in two phases: a leaf server that stands still answers a pre-check when its time is over.

use crate::harness::*;
use crate::Verdict;
use std::io::{self, Read, Write};
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;

/// Time for which the leaf server stands still (seconds). The operators name 67 to 270 ms.
const PAUSE_S: f64 = 0.26;
/// Time that a part takes in full (seconds).
const WORK_S: f64 = 0.4;

/// One execution of a part in full.
#[derive(Clone, Debug)]
struct Run {
    part: String,
    began: f64,
    ended: f64,
}

type Runs = Arc<Mutex<Vec<Run>>>;

struct Leaf {
    runs: Runs,
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
            let words: Vec<&str> = line.split(' ').collect();
            let (part, options) = (words[0].to_string(), words[2].to_string());
            self.record.add(format!("box-a: gets {part} ({options})"));
            if options.starts_with("p=1") {
                let stands_still = has_trouble() && text.ends_with("pause");
                if stands_still {
                    // The machine stands still: nothing is read or answered. By then the time of the pre-check is over.
                    sleep(PAUSE_S);
                    answer(&writer, &part, "broke", "");
                    self.record
                        .add(format!("box-a: answers the pre-check {part} broke"));
                } else {
                    answer(&writer, &part, "match", "");
                    self.record
                        .add(format!("box-a: answers the pre-check {part} match"));
                }
                continue;
            }
            let index = {
                let mut runs = self.runs.lock().expect("runs");
                runs.push(Run {
                    part: part.clone(),
                    began: now(),
                    ended: f64::INFINITY,
                });
                runs.len() - 1
            };
            let (writer, runs, record) = (writer.clone(), self.runs.clone(), self.record.clone());
            thread::spawn(move || {
                sleep(WORK_S);
                runs.lock().expect("runs")[index].ended = now();
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
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let leaf = Leaf {
                    runs: runs.clone(),
                    record: record.clone(),
                };
                thread::spawn(move || drop(leaf.serve(stream)));
            }
        });
    }
    let ready = member("box-a", address, 0, "cardiff-bay").replace('}', ",\"prefilter\":true}");
    let values = Settings {
        hold_effect: "dedup",
        most_held: 214,
        mixers: 1,
    };
    let settings = settings(&values)
        .replace("\"secondCopies\":true", "\"secondCopies\":false")
        .replacen('{', "{\"phases\":{\"classes\":[\"area-search\"],\"leastParts\":1,\"mostShare\":0.4,\"tryAgainEvery\":100},", 1);
    let client = free_address("127.0.0.1");
    let config = config("n1", client, &[ready], &settings, "");
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
    let ask = |text: &str| {
        let request = query("area-search", text, 0, 3000);
        let answer = call(client, &request, 4.0);
        record.add(format!("client: {text} is answered {}", answer.status));
    };
    ask("q1");
    sleep(0.3);
    ask("q2-pause");
    sleep(1.0);
    mixer.record_log();
    let runs = runs.lock().expect("runs").clone();
    record.add(format!("{runs:?}"));
    for (index, run) in runs.iter().enumerate() {
        let other = runs[..index]
            .iter()
            .find(|other| other.part == run.part && run.began < other.ended - 0.05);
        if let Some(other) = other {
            return Verdict::Broken(format!(
                "{} was sent in full at {:.3} and again at {:.3}, while the first ran until {:.3}",
                run.part, other.began, run.began, other.ended
            ));
        }
    }
    Verdict::Held
}
