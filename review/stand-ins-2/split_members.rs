//! The store: a mixer that is restarted while the other nodes are cut off, after a list of leaf servers was written to the store.

use crate::harness::*;
use crate::settings_gap::{Site, NODES};
use crate::Verdict;

/// Length of the split (seconds), as on the operators' day `split+mass`.
const SPLIT_S: f64 = 6.0;

pub fn run(record: &Record) -> Verdict {
    let reply = |attempt: &Attempt| Reply {
        after_s: 0.005,
        end: "served",
        value: attempt.text.clone(),
    };
    let values = Settings {
        hold_effect: "dedup",
        most_held: 214,
        mixers: NODES as u32,
    };
    let site = Site::new(record, settings(&values), true, reply);
    let mut mixers: Vec<Mixer> = (0..NODES).map(|node| site.start(node)).collect();
    for (node, mixer) in mixers.iter().enumerate() {
        if !site.await_ready(mixer, node) {
            return Verdict::NotRun(format!("{} is not ready", mixer.label));
        }
    }
    let list = format!(
        "{{\"revision\":2,\"complete\":true,\"members\":[{}]}}",
        site.members
            .join(",")
            .replacen("\"Ready\"", "\"Terminating\"", 1)
    );
    if site.put(0, "members", &list).status != 200 {
        return Verdict::NotRun("the list was not written".into());
    }
    let told_at = now();
    let ask = |id: &str| {
        let answer = call(site.clients[0], &query("slot-check", id, 0, 2000), 4.0);
        record.add(format!("client: {id} is answered {}", answer.status));
    };
    sleep(5.0);
    for number in 0..10 {
        ask(&format!("before{number}"));
    }
    if has_trouble() {
        mixers[1].signal("STOP");
        mixers[2].signal("STOP");
    }
    let split_at = now();
    mixers[0].signal("TERM");
    if !mixers[0].await_exit(5.0) {
        return Verdict::NotRun("m1 did not exit".into());
    }
    mixers[0] = site.start(0);
    if !await_that(5.0, || is_ready(site.clients[0])) {
        return Verdict::NotRun("m1 is not ready again".into());
    }
    sleep(1.0);
    let mut number = 0;
    while now() < split_at + SPLIT_S - 0.5 {
        ask(&format!("after{number}"));
        number += 1;
        sleep(0.1);
    }
    if has_trouble() {
        sleep_until(split_at + SPLIT_S);
        mixers[1].signal("CONT");
        mixers[2].signal("CONT");
    }
    mixers.iter().for_each(Mixer::record_log);
    let attempts = site.attempts.lock().expect("attempts");
    let late = |attempt: &&Attempt| attempt.leaf == "box-a" && attempt.began > told_at + 1.0;
    let count = attempts.iter().filter(late).count();
    record.add(format!("parts at the drained server: {count}"));
    match count {
        0 => Verdict::Held,
        _ => Verdict::Broken(format!("{count} parts were sent to a server that drains")),
    }
}
