//! Decisions experiment: the CPU time of a mixer's core and decision module for a query, by query rate, by number of leaf servers
//! and by number of parts.
//!
//! One mixer runs with leaf servers that answer after 50 ms under any load, so that only the mixer's own cost varies. Times depend
//! on the machine; the criteria are ratios of costs. Further scenarios contain many faults. The digests of all scenarios show whether
//! another version of the program makes the same decisions.

use super::two_phase::PHASES;
use super::{ExperimentError, Options, Verdict};
use crate::emulator::{self, Run};
use crate::report::{draw_chart, Estimate, Line, Table};
use crate::site::{cardiff, szeged, Class, Fault, Scenario, Site};
use std::path::Path;

const RATES: [f64; 3] = [50.0, 500.0, 5000.0];
const LEAF_SERVER_COUNTS: [u32; 4] = [4, 20, 200, 2000];
/// Largest ratio of the highest to the lowest cost of a query over all rates and numbers of leaf servers.
const MAX_COST_SPREAD: f64 = 1.3;
/// Smallest number of queries of a run, and its shortest length in the full run (seconds), which lets the windows of 8 s fill.
const MIN_QUERIES: f64 = 4000.0;
const MIN_SCENARIO_S: f64 = 9.0;

/// Numbers of parts of a query, the number of leaf servers, and the rate of parts (per second).
const PARTS: [usize; 3] = [4, 45, 180];
const LEAF_SERVERS: u32 = 200;
const PARTS_PER_S: f64 = 4000.0;
/// Largest ratio of the cost of a part in the largest query to that in the smallest.
const MAX_PART_COST_RATIO: f64 = 1.5;
/// Length of a scenario with many faults (seconds).
const FAULTY_SCENARIO_S: f64 = 14.0;

/// Returns a scenario in which every query has `parts` parts, and servers answer them after 50 ms.
fn ideal_scenario(rate: f64, leaf_servers: u32, parts: usize, seed: u64, quick: bool) -> Scenario {
    let class = Class {
        name: "slot-check",
        share: 1.0,
        parts: (parts, parts, 0.0),
        work_s: 0.05,
        ..cardiff().classes.remove(1)
    };
    let min_s = if quick { 4.0 } else { MIN_SCENARIO_S };
    let mut scenario = Scenario {
        seed,
        leaf_servers,
        mixers: 1,
        seconds: (MIN_QUERIES / rate).clamp(min_s, 80.0),
        site: Site {
            classes: vec![class],
            ..cardiff()
        },
        is_ideal: true,
        ..Scenario::default()
    };
    scenario.load *= rate / scenario.queries_per_s();
    scenario
}

/// Returns a scenario of all classes with many faults, in which every query has `parts` parts.
fn faulty_scenario(site: Site, parts: usize, phases: bool, seed: u64) -> Scenario {
    let classes = site.classes.iter().map(|class| Class {
        parts: (parts, parts, 0.0),
        ..class.clone()
    });
    let phases = phases.then(|| PHASES.to_owned());
    let faults = vec![
        (1.0, 3.0, Fault::SomeSlow(0.2, 4.0)),
        (2.0, 5.0, Fault::Silent(0.05)),
        (3.0, 6.0, Fault::Fails(0.1, 0.5)),
        (5.0, 7.0, Fault::Dead(0.1)),
        (6.0, 7.5, Fault::Burst(2.0)),
        (8.0, 10.0, Fault::Pauses(0.2, 0.1, 0.5)),
        (9.0, 11.0, Fault::Drain(0.1)),
        (10.0, 12.0, Fault::Slow(1.5)),
    ];
    Scenario {
        seed,
        leaf_servers: LEAF_SERVERS,
        mixers: 2,
        seconds: FAULTY_SCENARIO_S,
        site: Site {
            classes: classes.collect(),
            ..site
        },
        phases,
        faults,
        disconnecting_share: 0.05,
        ..Scenario::default()
    }
}

/// Cell of the experiment: a scenario that is run several times.
struct Cell {
    scenario: Scenario,
    min_cost_us: f64, // lowest CPU time for a query over all runs
    digest: Option<u64>,
    violations: usize,
}

impl Cell {
    fn new(scenario: Scenario) -> Cell {
        Cell {
            scenario,
            min_cost_us: f64::MAX,
            digest: None,
            violations: 0,
        }
    }

    fn run(&mut self) -> Result<Run, ExperimentError> {
        let run = emulator::run(&self.scenario)?;
        self.min_cost_us = self
            .min_cost_us
            .min(run.cpu_s * 1e6 / run.requests.max(1) as f64);
        if *self.digest.get_or_insert(run.digest) != run.digest {
            return Err(ExperimentError::Other(
                "two runs of one scenario have different digests".into(),
            ));
        }
        self.violations += run.rules.violation_count as usize;
        Ok(run)
    }

    fn digest(&self) -> String {
        format!("{:016x}", self.digest.unwrap_or_default())
    }
}

/// Returns the ratio of the highest to the lowest cost.
fn cost_spread(costs: impl Iterator<Item = f64>) -> f64 {
    let (min, max) = costs.fold((f64::MAX, 0.0_f64), |(min, max), cost| {
        (min.min(cost), max.max(cost))
    });
    max / min
}

/// Prints and saves the costs by query rate and by number of leaf servers, and returns the ratio of the highest to the lowest.
fn report_rates(cells: &[Cell], out: &Path) -> Result<f64, ExperimentError> {
    let mut table = Table::new(&[
        "boxes",
        "queries/s",
        "CPU µs a query",
        "digest of what was done",
    ]);
    let mut lines: Vec<Line> = Vec::new();
    let cell_keys = LEAF_SERVER_COUNTS
        .iter()
        .flat_map(|leaf_servers| RATES.map(|rate| (*leaf_servers, rate)));
    for (cell, (leaf_servers, rate)) in cells.iter().zip(cell_keys) {
        let cost = cell.min_cost_us;
        table.add_row(vec![
            leaf_servers.to_string(),
            format!("{rate:.0}"),
            format!("{cost:.1}"),
            cell.digest(),
        ]);
        if rate == RATES[0] {
            lines.push(Line {
                name: format!("{leaf_servers} boxes"),
                points: Vec::new(),
            });
        }
        let point = (
            rate,
            Estimate {
                mean: cost,
                half_width: 0.0,
            },
        );
        lines
            .iter_mut()
            .last()
            .into_iter()
            .for_each(|line| line.points.push(point));
    }
    let spread = cost_spread(cells.iter().map(|cell| cell.min_cost_us));
    print!("{}", table.text());
    println!("highest over lowest: {spread:.2}");
    table.save(&out.join("decisions.csv"))?;
    let title = "CPU of core and module a query (four parts)";
    draw_chart(
        &out.join("decisions.svg"),
        title,
        ("queries a second", "µs"),
        true,
        &lines,
    )?;
    Ok(spread)
}

/// Prints and saves the costs by number of parts, and returns the ratio of the cost of a part in the largest query to that in the
/// smallest.
fn report_parts(cells: &[Cell], out: &Path) -> Result<f64, ExperimentError> {
    let mut table = Table::new(&[
        "parts",
        "CPU µs a query",
        "CPU µs a part",
        "digest of what was done",
    ]);
    let cost = |index: usize| cells[index].min_cost_us / PARTS[index] as f64;
    for (index, cell) in cells.iter().enumerate() {
        let query = format!("{:.1}", cell.min_cost_us);
        table.add_row(vec![
            PARTS[index].to_string(),
            query,
            format!("{:.2}", cost(index)),
            cell.digest(),
        ]);
    }
    let part_cost_ratio = cost(PARTS.len() - 1) / cost(0);
    print!("{}", table.text());
    println!("CPU of a part, largest query over smallest: {part_cost_ratio:.2}");
    table.save(&out.join("decisions-parts.csv"))?;
    Ok(part_cost_ratio)
}

/// Runs the scenarios with many faults, whose digests are recorded but not their costs. Returns the number of violations.
fn faulty_scenarios(options: &Options) -> Result<usize, ExperimentError> {
    let mut table = Table::new(&[
        "site",
        "parts",
        "phases",
        "queries",
        "digest of what was done",
    ]);
    let mut violations = 0;
    for parts in PARTS {
        for (site, phases) in [(cardiff(), false), (cardiff(), true), (szeged(), false)] {
            let name = site.name;
            let mut cell = Cell::new(faulty_scenario(site, parts, phases, options.seed));
            let requests = cell.run()?.requests;
            violations += cell.violations;
            let phases = if phases { "on" } else { "off" };
            table.add_row(vec![
                name.into(),
                parts.to_string(),
                phases.into(),
                requests.to_string(),
                cell.digest(),
            ]);
        }
    }
    print!("{}", table.text());
    table.save(&options.out.join("decisions-troubled.csv"))?;
    Ok(violations)
}

pub fn run(options: &Options) -> Verdict {
    let runs = if options.quick { 2 } else { 5 };
    let scenario = |rate: f64, leaf_servers: u32, parts: usize| {
        Cell::new(ideal_scenario(
            rate,
            leaf_servers,
            parts,
            options.seed,
            options.quick,
        ))
    };
    let mut rates: Vec<Cell> = LEAF_SERVER_COUNTS
        .iter()
        .flat_map(|leaf_servers| RATES.map(|rate| scenario(rate, *leaf_servers, 4)))
        .collect();
    let mut parts: Vec<Cell> = PARTS
        .iter()
        .map(|parts| scenario(PARTS_PER_S / *parts as f64, LEAF_SERVERS, *parts))
        .collect();
    // The same scenarios run several times, interleaved: only the load of the machine varies, so that the lowest value is the cost.
    for _ in 0..runs {
        for cell in rates.iter_mut().chain(&mut parts) {
            cell.run()?;
        }
    }
    let spread = report_rates(&rates, &options.out)?;
    let part_cost_ratio = report_parts(&parts, &options.out)?;
    let mut violations: usize = rates.iter().chain(&parts).map(|cell| cell.violations).sum();
    violations += faulty_scenarios(options)?;
    if violations > 0 {
        return Ok(Some(format!("{violations} rule violations")));
    }
    if part_cost_ratio > MAX_PART_COST_RATIO {
        return Ok(Some(format!(
            "a part of a query of {} parts costs {part_cost_ratio:.2} times one of 4 parts, limit {MAX_PART_COST_RATIO}",
            PARTS[2]
        )));
    }
    Ok((spread > MAX_COST_SPREAD).then(|| {
        format!(
            "the highest cost of a query is {spread:.2} times the lowest, limit {MAX_COST_SPREAD}"
        )
    }))
}
