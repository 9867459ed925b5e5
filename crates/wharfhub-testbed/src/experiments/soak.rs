//! The randomized fault soak: real daemons under faults that overlap in time, judged from outside, over many seeds.

use super::{Failure, Options, Verdict};
use crate::report::Table;
use crate::soak::plan::Plan;
use crate::soak::run::{self, Outcome};
use std::collections::BTreeMap;
use std::io;
use std::path::Path;

/// Soaks of a full run, one after the other.
const SEEDS: u64 = 20;
/// Soaks of a quick one.
const QUICK_SEEDS: u64 = 3;
/// The part of the experiment that plays its first seed alone, at full size.
const ONE_SEED: &str = "one";
/// In the quiet time at the end at least this share is served.
const MIN_SERVED_AT_THE_END: f64 = 0.9;
/// Broken rules that are printed of each soak.
const MAX_PRINTED: usize = 8;
/// Lines of the mixers' logs that are printed of a soak with broken rules.
const MAX_PRINTED_LOG_LINES: usize = 40;
/// What such a line contains: what a mixer found of its own acts, and when it was stopped.
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
        plan.notified_size.to_string(),
        if plan.terms.pushed { "pushed" } else { "asked" }.into(),
        plan.faults.len().to_string(),
        counts.all.to_string(),
        counts.served.to_string(),
        counts.refused.to_string(),
        counts.failed.to_string(),
        counts.left.to_string(),
        (counts.not_taken + counts.unanswered).to_string(),
        outcome.calls.to_string(),
        format!("{:.3}", outcome.served_at_the_end),
        outcome.stops.to_string(),
        format!("{:.2}", outcome.stalled_s),
        outcome.violations.len().to_string(),
    ]
}

fn print_violations(plan: &Plan, outcome: &Outcome) {
    let mut by_rule: BTreeMap<_, usize> = BTreeMap::new();
    for violation in &outcome.violations {
        *by_rule.entry(violation.rule).or_default() += 1;
    }
    println!("seed {}: broken {by_rule:?}", plan.seed);
    for violation in outcome.violations.iter().take(MAX_PRINTED) {
        println!(
            "  {:7.3} {:?}: {}",
            violation.at, violation.rule, violation.what
        );
    }
    for planned in &plan.faults {
        println!("  fault {:7.3} {:?}", planned.at, planned.fault);
    }
}

/// Prints what the mixers found of their own acts: the folder with their logs does not outlive a run in CI.
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
        println!("  and {} lines more", lines.len() - MAX_PRINTED_LOG_LINES);
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
    let mut short = Vec::new();
    for seed in options.seed..options.seed + seeds {
        let plan = Plan::draw(seed, options.quick);
        let folder = options.out.join(format!("soak-{seed}"));
        let (_, outcome) = run::play(&plan, &folder).map_err(Failure::from)?;
        table.row(row(&plan, &outcome));
        if !outcome.violations.is_empty() {
            print_violations(&plan, &outcome);
            print_log_lines(&folder)?;
            short.push(format!(
                "seed {seed}: {} rules broken",
                outcome.violations.len()
            ));
        }
        if outcome.served_at_the_end < MIN_SERVED_AT_THE_END {
            short.push(format!(
                "seed {seed}: {:.3} served at the end",
                outcome.served_at_the_end
            ));
        }
    }
    print!("{}", table.text());
    table.save(&options.out.join("soak.csv"))?;
    Ok((!short.is_empty()).then(|| short.join("; ")))
}
