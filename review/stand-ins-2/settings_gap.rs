//! The store: a mixer that was down while new settings were written, and starts again.

use crate::harness::*;
use crate::Verdict;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Number of mixers, which are also the nodes of the store.
pub const NODES: usize = 3;

/// Three mixers with a common store, and their leaf servers.
pub struct Site {
    pub folder: Folder,
    pub attempts: Attempts,
    pub clients: Vec<SocketAddr>,
    stores: Vec<SocketAddr>,
    pub members: [String; 2],
    settings: String,
    has_folders: bool,
    record: Record,
}

impl Site {
    pub fn new(
        record: &Record,
        settings: String,
        has_folders: bool,
        reply: impl Fn(&Attempt) -> Reply + Send + Sync + Clone + 'static,
    ) -> Site {
        let attempts = Attempts::default();
        let a = start_leaf("box-a", &attempts, record, reply.clone());
        let b = start_leaf("box-b", &attempts, record, reply);
        let addresses = |ip: &str| (0..NODES).map(|_| free_address(ip)).collect();
        Site {
            folder: Folder::new(),
            attempts,
            clients: addresses("127.0.1.1"),
            stores: addresses("127.0.2.1"),
            members: [
                member("box-a", a, 0, "cardiff-bay"),
                member("box-b", b, 1, "newport-east"),
            ],
            settings,
            has_folders,
            record: record.clone(),
        }
    }

    /// Starts one mixer.
    pub fn start(&self, node: usize) -> Mixer {
        let peers: Vec<String> = (0..NODES)
            .filter(|other| *other != node)
            .map(|other| {
                format!(
                    "{{\"node\":{},\"address\":\"{}\"}}",
                    other + 1,
                    self.stores[other]
                )
            })
            .collect();
        let folder = if self.has_folders {
            let path = self.folder.sub(&format!("store-{node}"));
            format!("\"folder\":\"{}\",", path.display())
        } else {
            String::new()
        };
        let extra = format!(
            "\"store\":{{\"node\":{},\"listen\":\"{}\",{folder}\"peers\":[{}]}},",
            node + 1,
            self.stores[node],
            peers.join(",")
        );
        let label = format!("m{}", node + 1);
        let config = config(
            &label,
            self.clients[node],
            &self.members,
            &self.settings,
            &extra,
        );
        let start = Start {
            label: &label,
            config: &config,
            folder: &self.folder.0,
            listener: None,
            variables: vec![],
        };
        Mixer::start(&self.record, start)
    }

    /// Waits until a mixer is ready and has reached the store.
    pub fn await_ready(&self, mixer: &Mixer, node: usize) -> bool {
        await_that(10.0, || is_ready(self.clients[node]))
            && mixer.await_log("store: quorum reached", 10.0)
    }

    pub fn put(&self, node: usize, key: &str, value: &str) -> Answer {
        let request = format!(
            "PUT /-/store/{key} HTTP/1.1\r\nHost: mixer\r\nContent-Length: {}\r\n\r\n{value}",
            value.len()
        );
        let answer = call(self.clients[node], &request, 6.0);
        self.record.add(format!(
            "operator: PUT {key} at m{}: {} {}",
            node + 1,
            answer.status,
            answer.body
        ));
        answer
    }

    pub fn get(&self, node: usize, key: &str) -> Answer {
        let request = format!("GET /-/store/{key} HTTP/1.1\r\nHost: mixer\r\n\r\n");
        let answer = call(self.clients[node], &request, 6.0);
        self.record.add(format!(
            "operator: GET {key} at m{}: {} {}",
            node + 1,
            answer.status,
            answer.body
        ));
        answer
    }
}

fn settings_with(hold_effect: &str) -> String {
    settings(&Settings {
        hold_effect,
        most_held: 214,
        mixers: NODES as u32,
    })
}

pub fn run(record: &Record) -> Verdict {
    // A holder runs the part and then fails, so it may have run.
    let reply = |attempt: &Attempt| Reply {
        after_s: 0.02,
        end: if attempt.text.starts_with('f') {
            "broke"
        } else {
            "served"
        },
        value: attempt.text.clone(),
    };
    let site = Site::new(record, settings_with("retryable"), true, reply);
    let mut mixers: Vec<Mixer> = (0..NODES).map(|node| site.start(node)).collect();
    for (node, mixer) in mixers.iter().enumerate() {
        if !site.await_ready(mixer, node) {
            return Verdict::NotRun(format!("{} is not ready", mixer.label));
        }
    }
    if has_trouble() {
        mixers[2].signal("KILL");
        if !mixers[2].await_exit(5.0) {
            return Verdict::NotRun("m3 did not exit".into());
        }
    }
    sleep(0.5);
    let written = site.put(0, "settings", &settings_with("fragile"));
    if written.status != 200 {
        return Verdict::NotRun("the settings were not written".into());
    }
    let written_at = now();
    // Every mixer reads the settings within 2 s, and applies them 1 s later.
    sleep(6.0);
    let ask = |node: usize, id: &str| {
        let answer = call(site.clients[node], &query("stem-hold", id, 0, 2000), 4.0);
        record.add(format!(
            "client: {id} is answered {} by m{}",
            answer.status,
            node + 1
        ));
        answer
    };
    ask(0, "f-control");
    if has_trouble() {
        let restarted = site.start(2);
        if !await_that(10.0, || is_ready(site.clients[2])) {
            return Verdict::NotRun("m3 is not ready again".into());
        }
        record.add("front: m3 is ready, clients are sent there");
        // By then m3 has read the settings from the store.
        sleep(0.1);
        mixers.push(restarted);
    }
    for number in 0..10 {
        ask(2, &format!("f{number}"));
        sleep(0.1);
    }
    sleep(1.5);
    ask(2, "s-last");
    mixers.iter().for_each(Mixer::record_log);
    let attempts = site.attempts.lock().expect("attempts");
    let mut runs: BTreeMap<&str, usize> = BTreeMap::new();
    for attempt in attempts.iter().filter(|it| it.began > written_at) {
        *runs.entry(&attempt.part).or_default() += 1;
    }
    record.add(format!(
        "runs of each part after the settings were written: {runs:?}"
    ));
    if runs.get("f-control.0") != Some(&1) {
        return Verdict::NotRun("the control query at m1 did not run once".into());
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
