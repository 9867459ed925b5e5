//! The `soak` experiment: randomized fault soaks of real daemons with consecutive seeds, checked from outside.

use super::{Failure, Options, Verdict};
use crate::report::Table;
use crate::soak::plan::Plan;
use crate::soak::run::{self, Outcome};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// Number of soaks in a full run.
const SEEDS: u64 = 20;
/// Number of soaks in a quick run.
const QUICK_SEEDS: u64 = 3;
/// Name of the part of the experiment that runs a soak with the first seed only.
const ONE_SEED: &str = "one";
/// Smallest share of requests that have to be served in the last seconds of a soak, when faults have ended.
const MIN_FINAL_SERVED_SHARE: f64 = 0.9;
/// Largest number of violations printed for a soak.
const MAX_PRINTED_VIOLATIONS: usize = 8;
/// Largest number of lines of the mixers' logs printed for a soak with violations.
const MAX_PRINTED_LOG_LINES: usize = 40;
/// Texts by which log lines are selected for printing: the findings of the mixers' invariant checks, and stalls of the process.
const PRINTED_LOG_TEXTS: [&str; 3] = [
    "invariant violated",
    "invariant undecided",
    "process was stalled",
];

fn row(plan: &Plan, outcome: &Outcome) -> Vec<String> {
    let counts = outcome.requests;
    vec![
        plan.seed.to_string(),
        plan.terms.mixers.to_string(),
        plan.configured_fleet_size.to_string(),
        if plan.terms.lists_pushed {
            "pushed"
        } else {
            "asked"
        }
        .into(),
        plan.faults.len().to_string(),
        counts.all.to_string(),
        counts.served.to_string(),
        counts.refused.to_string(),
        counts.failed.to_string(),
        counts.closed_by_client.to_string(),
        (counts.not_accepted + counts.unanswered).to_string(),
        outcome.calls.to_string(),
        format!("{:.3}", outcome.final_served_share),
        outcome.stopped_actions.to_string(),
        format!("{:.2}", outcome.stalled_s),
        outcome.violations.len().to_string(),
    ]
}

fn print_violations(plan: &Plan, outcome: &Outcome) {
    let mut count_by_rule: BTreeMap<_, usize> = BTreeMap::new();
    for violation in &outcome.violations {
        *count_by_rule.entry(violation.rule).or_default() += 1;
    }
    println!("seed {}: violations {count_by_rule:?}", plan.seed);
    for violation in outcome.violations.iter().take(MAX_PRINTED_VIOLATIONS) {
        println!(
            "  {:7.3} {:?}: {}",
            violation.at, violation.rule, violation.description
        );
    }
    for planned in &plan.faults {
        println!("  fault {:7.3} {:?}", planned.at, planned.fault);
    }
}

/// Prints the selected lines of the mixers' logs, because the folder with the logs is not kept after a run in CI.
fn print_log_lines(folder: &Path) -> io::Result<()> {
    let mut lines = Vec::new();
    for entry in std::fs::read_dir(folder)? {
        let path = entry?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy();
        let text = String::from_utf8_lossy(&std::fs::read(&path)?).into_owned();
        let is_printed = |line: &&str| PRINTED_LOG_TEXTS.iter().any(|text| line.contains(text));
        let printed = text.lines().filter(is_printed);
        lines.extend(printed.map(|line| format!("  {name}: {line}")));
    }
    for line in lines.iter().take(MAX_PRINTED_LOG_LINES) {
        println!("{line}");
    }
    if lines.len() > MAX_PRINTED_LOG_LINES {
        println!("  and {} more lines", lines.len() - MAX_PRINTED_LOG_LINES);
    }
    Ok(())
}

/// Runs the experiment.
pub fn run(options: &Options) -> Verdict {
    let seeds = match (options.quick, options.part.as_deref()) {
        (_, Some(ONE_SEED)) => 1,
        (true, _) => QUICK_SEEDS,
        (false, _) => SEEDS,
    };
    let columns = [
        "seed",
        "mixers",
        "told size",
        "lists",
        "faults",
        "requests",
        "served",
        "refused",
        "failed",
        "left",
        "no answer",
        "calls",
        "served at the end",
        "stops",
        "stand-ins stalled s",
        "broken",
    ];
    let mut table = Table::new(&columns);
    let mut shortfalls = Vec::new();
    for seed in options.seed..options.seed + seeds {
        let plan = Plan::draw(seed, options.quick);
        let folder = options.out.join(format!("soak-{seed}"));
        let (_, outcome) = run::run_plan(&plan, &folder).map_err(Failure::from)?;
        table.row(row(&plan, &outcome));
        if !outcome.violations.is_empty() {
            print_violations(&plan, &outcome);
            print_log_lines(&folder)?;
            shortfalls.push(format!(
                "seed {seed}: {} violations",
                outcome.violations.len()
            ));
        }
        if outcome.final_served_share < MIN_FINAL_SERVED_SHARE {
            shortfalls.push(format!(
                "seed {seed}: {:.3} of the requests served at the end",
                outcome.final_served_share
            ));
        }
    }
    print!("{}", table.text());
    table.save(&options.out.join("soak.csv"))?;
    Ok((!shortfalls.is_empty()).then(|| shortfalls.join("; ")))
}
