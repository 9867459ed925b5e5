//! Runs one case or trial of the second review: `driver NAME FOLDER`. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
//! run. `record.txt` in the folder says what was sent, answered and run.

mod harness;
mod late_precheck;
mod rollback;
mod search_upgrade;
mod second_copy;
mod seize;
mod settings_gap;
mod split_members;
mod stalled_successor;
mod store_restart;
mod successor_settings;

use harness::{end_all, has_trouble, now, sleep, Record};
use std::path::PathBuf;
use std::process::exit;

/// Time after which a run is given up (seconds).
const MAX_RUN_S: f64 = 110.0;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken(String),
    /// The case could not run, and why.
    NotRun(String),
}

fn main() {
    now();
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".into()));
    let record = Record::default();
    record.add(format!("case {case}, disruption: {}", has_trouble()));
    {
        let (record, folder) = (record.clone(), folder.clone());
        std::thread::spawn(move || {
            sleep(MAX_RUN_S);
            end_all();
            record.add("verdict: not run: it took too long");
            record.save(&folder);
            exit(2);
        });
    }
    let run = match case.as_str() {
        "stalled-successor" => stalled_successor::run,
        "search-upgrade" => search_upgrade::run,
        "late-precheck" => late_precheck::run,
        "second-copy" => second_copy::run,
        "successor-settings" => successor_settings::run,
        "split-members" => split_members::run,
        "seize" => seize::run,
        "settings-gap" => settings_gap::run,
        "store-restart" => store_restart::run,
        "rollback" => rollback::run,
        _ => {
            eprintln!("unknown case");
            exit(2);
        }
    };
    let result = std::panic::catch_unwind(|| run(&record));
    end_all();
    let (code, text) = match result {
        Ok(Verdict::Held) => (0, "held".to_string()),
        Ok(Verdict::Broken(what)) => (1, format!("broken: {what}")),
        Ok(Verdict::NotRun(why)) => (2, format!("not run: {why}")),
        Err(_) => (2, "not run: a step failed".to_string()),
    };
    record.add(format!("verdict: {text}"));
    record.save(&folder);
    println!("{case}: {text}");
    exit(code);
}
