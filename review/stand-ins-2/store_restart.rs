//! The store in memory: the mixers are restarted one after the other.

use crate::harness::*;
use crate::settings_gap::{Site, NODES};
use crate::Verdict;

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
    let site = Site::new(record, settings(&values), false, reply);
    let mut mixers: Vec<Mixer> = (0..NODES).map(|node| site.start(node)).collect();
    for (node, mixer) in mixers.iter().enumerate() {
        if !site.await_ready(mixer, node) {
            return Verdict::NotRun(format!("{} is not ready", mixer.label));
        }
    }
    let text = "ward-list-7";
    if site.put(0, "notes", text).status != 200 {
        return Verdict::NotRun("the value was not written".into());
    }
    let has_value = |answer: &Answer| answer.status == 200 && answer.body.contains(text);
    if !(0..NODES).all(|node| has_value(&site.get(node, "notes"))) {
        return Verdict::NotRun("the value could not be read before the restarts".into());
    }
    if has_trouble() {
        for node in 0..NODES {
            mixers[node].signal("TERM");
            if !mixers[node].await_exit(10.0) {
                return Verdict::NotRun(format!("m{} did not exit", node + 1));
            }
            mixers[node] = site.start(node);
            if !site.await_ready(&mixers[node], node) {
                return Verdict::NotRun(format!("m{} is not ready again", node + 1));
            }
            sleep(5.0);
        }
    }
    let answers: Vec<Answer> = (0..NODES).map(|node| site.get(node, "notes")).collect();
    mixers.iter().for_each(Mixer::record_log);
    let lost = answers
        .iter()
        .filter(|it| it.status == 200 && !it.body.contains(text))
        .count();
    if lost > 0 {
        return Verdict::Broken(format!(
            "an acknowledged value was lost: {lost} of {NODES} reads do not have it"
        ));
    }
    Verdict::Held
}
