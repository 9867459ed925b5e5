//! An upgrade whose new process stalls before it serves, and goes on later.

use crate::harness::*;
use crate::Verdict;
use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

/// Maximum number of queries and parts that one mixer may hold.
const MOST_HELD: u32 = 20;
/// Queries and parts that a query of one part counts for.
const COUNT_OF_QUERY: usize = 2;
/// Number of queries that are sent at once, more than the limits of two processes together.
const BURST: usize = 60;
/// Time that a leaf server takes in the burst (seconds).
const SLOW_S: f64 = 1.0;

/// One mixer with a held listener, and its leaf servers.
pub struct Site {
    pub folder: Folder,
    pub listener: TcpListener,
    pub address: SocketAddr,
    pub attempts: Attempts,
    pub config: String,
    pub record: Record,
}

impl Site {
    pub fn new(record: &Record) -> Site {
        let attempts = Attempts::default();
        let answer = |attempt: &Attempt| Reply {
            after_s: if attempt.text.starts_with("burst") {
                SLOW_S
            } else {
                0.005
            },
            end: "served",
            value: attempt.text.clone(),
        };
        let a = start_leaf("box-a", &attempts, record, answer);
        let b = start_leaf("box-b", &attempts, record, answer);
        let listener = TcpListener::bind("127.0.0.1:0").expect("a listener");
        let address = listener.local_addr().expect("an address");
        let members = [
            member("box-a", a, 0, "cardiff-bay"),
            member("box-b", b, 1, "newport-east"),
        ];
        let values = Settings {
            hold_effect: "dedup",
            most_held: MOST_HELD,
            mixers: 1,
        };
        let config = config("n1", address, &members, &settings(&values), "");
        Site {
            folder: Folder::new(),
            listener,
            address,
            attempts,
            config,
            record: record.clone(),
        }
    }

    /// Starts a process of the mixer with its own admin interface.
    pub fn start(&self, label: &str, operator: SocketAddr) -> Mixer {
        let start = Start {
            label,
            config: &self.config,
            folder: &self.folder.0,
            listener: Some(&self.listener),
            variables: vec![
                ("LB_NAME", "n1".to_string()),
                ("LB_OPERATOR", operator.to_string()),
            ],
        };
        Mixer::start(&self.record, start)
    }

    /// Sends many queries at once, and returns the largest number of parts that the leaf servers held at the same time.
    pub fn burst(&self, name: &str) -> usize {
        let begin = now();
        let address = self.address;
        let record = Arc::new(self.record.clone());
        let clients: Vec<_> = (0..BURST)
            .map(|number| {
                let id = format!("burst-{name}-{number}");
                let record = record.clone();
                thread::spawn(move || {
                    // The front opens its connections one after the other.
                    sleep(number as f64 * 0.005);
                    let shard = number as u32 % 4;
                    let answer = call(address, &query("slot-check", &id, shard, 3000), 5.0);
                    record.add(format!("client: {id} is answered {}", answer.status));
                })
            })
            .collect();
        for client in clients {
            let _ = client.join();
        }
        let attempts = self.attempts.lock().expect("attempts");
        let all: Vec<&Attempt> = attempts.iter().filter(|it| it.began >= begin).collect();
        let parts_at = |time: f64| {
            let open = all.iter().filter(|it| it.began <= time && time < it.ended);
            let mut parts: Vec<&str> = open.map(|it| it.part.as_str()).collect();
            parts.sort_unstable();
            parts.dedup();
            parts.len()
        };
        all.iter().map(|it| parts_at(it.began)).max().unwrap_or(0)
    }
}

/// Asks all processes for their state for `seconds`. Returns how many times two or more said that they serve, and how often they were
/// asked.
pub fn count_both_ready(record: &Record, operators: &[SocketAddr], seconds: f64) -> (usize, usize) {
    let end = now() + seconds;
    let (mut both, mut all) = (0, 0);
    while now() < end {
        let replies: Vec<String> = operators.iter().map(|it| admin(*it, "STATUS")).collect();
        record.add(format!("STATUS: {replies:?}"));
        let ready = replies
            .iter()
            .filter(|it| it.starts_with("ok ready"))
            .count();
        both += usize::from(ready > 1);
        all += 1;
        sleep(0.2);
    }
    (both, all)
}

/// Returns the verdict on processes of which one at most may serve.
pub fn judge(site: &Site, operators: &[SocketAddr]) -> Verdict {
    let (both, all) = count_both_ready(&site.record, operators, 3.0);
    let most = site.burst("a").max(site.burst("b"));
    let held = most * COUNT_OF_QUERY;
    let text = format!(
        "two processes said `ok ready` {both} times of {all}; {held} queries and parts were held at once, {MOST_HELD} are allowed"
    );
    site.record.add(&text);
    if both == all && held > MOST_HELD as usize {
        Verdict::Broken(text)
    } else {
        Verdict::Held
    }
}

pub fn run(record: &Record) -> Verdict {
    let site = Site::new(record);
    let operators = [free_address("127.0.0.1"), free_address("127.0.0.1")];
    let first = site.start("first", operators[0]);
    if !await_that(10.0, || admin(operators[0], "STATUS") == "ok ready") {
        return Verdict::NotRun("the first process is not ready".into());
    }
    let alone = site.burst("alone") * COUNT_OF_QUERY;
    record.add(format!("the first process alone holds {alone} at once"));
    if alone > MOST_HELD as usize {
        return Verdict::NotRun("the limit does not hold for one process".into());
    }
    let second = site.start("second", operators[1]);
    if !second.await_log("connected to the running process", 5.0) {
        return Verdict::NotRun("the second process did not find the first one".into());
    }
    if has_trouble() {
        second.signal("STOP");
        if !first.await_log("the successor disconnected", 20.0) {
            return Verdict::NotRun("the first process did not notice the stall".into());
        }
        sleep(1.0);
        record.add(format!("first says {}", admin(operators[0], "STATUS")));
        second.signal("CONT");
        sleep(3.0);
    } else if !await_that(10.0, || admin(operators[1], "STATUS") == "ok ready") {
        return Verdict::NotRun("the second process did not take over".into());
    }
    let verdict = judge(&site, &operators);
    first.record_log();
    second.record_log();
    verdict
}
