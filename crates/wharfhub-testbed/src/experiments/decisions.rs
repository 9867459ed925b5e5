//! The CPU that a mixer's core and module spend on a query: by the rate of queries, by the number of leaf servers, and
//! by the number of its parts.
//!
//! One mixer, leaf servers that answer after 50 ms whatever they hold: only the mixer's own cost changes. Times are this
//! machine's; the verdict rests on their ratios. Beside these cells stand scenarios on which much goes wrong: their digests,
//! with those of the cells, tell whether another program decides the same.

use super::two_phase::PHASES;
use super::{Failure, Options, Verdict};
use crate::emulator::{self, Run};
use crate::report::{chart, Estimate, Line, Table};
use crate::site::{cardiff, szeged, Class, Fault, Scenario, Site};
use std::path::Path;

const RATES: [f64; 3] = [50.0, 500.0, 5000.0];
const LEAF_SERVER_COUNTS: [u32; 4] = [4, 20, 200, 2000];
/// The cost may differ so many times.
const FLAT: f64 = 1.3;
/// Queries that a run plays at least, and its least length (seconds): the windows of 8 s have to fill.
const QUERIES: f64 = 4000.0;
const MIN_SCENARIO_S: f64 = 9.0;

/// Parts of a query, the leaf servers that answer them, and the rate of parts (a second).
const PARTS: [usize; 3] = [4, 45, 180];
const SERVERS: u32 = 200;
const PARTS_PER_S: f64 = 4000.0;
/// The cost of a part may differ so many times between the least and the greatest query.
const LINEAR: f64 = 1.5;
/// Length of a scenario on which much goes wrong (seconds).
const FAULTY_SCENARIO_S: f64 = 14.0;

/// A scenario on which every query has so many parts, and servers answer them after 50 ms.
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
        seconds: (QUERIES / rate).clamp(min_s, 80.0),
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

/// A scenario of all classes, with so many parts at least, on which much goes wrong.
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
        leaf_servers: SERVERS,
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

/// A cell of the experiment, played as often as there are runs.
struct Cell {
    scenario: Scenario,
    min_cost_us: f64, // of a query
    digest: Option<u64>,
    broken: usize,
}

impl Cell {
    fn new(scenario: Scenario) -> Cell {
        Cell {
            scenario,
            min_cost_us: f64::MAX,
            digest: None,
            broken: 0,
        }
    }

    fn play(&mut self) -> Result<Run, Failure> {
        let run = emulator::run(&self.scenario)?;
        self.min_cost_us = self
            .min_cost_us
            .min(run.cpu_s * 1e6 / run.requests.max(1) as f64);
        if *self.digest.get_or_insert(run.digest) != run.digest {
            return Err(Failure::Other("two plays of one day differ".into()));
        }
        self.broken += run.rules.violation_count as usize;
        Ok(run)
    }

    fn digest(&self) -> String {
        format!("{:016x}", self.digest.unwrap_or_default())
    }
}

/// How many times the highest cost is the least.
fn spread(costs: impl Iterator<Item = f64>) -> f64 {
    let (min, max) = costs.fold((f64::MAX, 0.0_f64), |(min, max), cost| {
        (min.min(cost), max.max(cost))
    });
    max / min
}

/// The table and the chart by rate and by number of leaf servers; gives how much the cost differs.
fn show_rates(cells: &[Cell], out: &Path) -> Result<f64, Failure> {
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
        table.row(vec![
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
                half: 0.0,
            },
        );
        lines
            .iter_mut()
            .last()
            .into_iter()
            .for_each(|line| line.points.push(point));
    }
    let spread = spread(cells.iter().map(|cell| cell.min_cost_us));
    print!("{}", table.text());
    println!("highest over lowest: {spread:.2}");
    table.save(&out.join("decisions.csv"))?;
    let title = "CPU of core and module a query (four parts)";
    chart(
        &out.join("decisions.svg"),
        title,
        ("queries a second", "µs"),
        true,
        &lines,
    )?;
    Ok(spread)
}

/// The table by the number of parts; gives how many times as much a part of the greatest query costs.
fn show_parts(cells: &[Cell], out: &Path) -> Result<f64, Failure> {
    let mut table = Table::new(&[
        "parts",
        "CPU µs a query",
        "CPU µs a part",
        "digest of what was done",
    ]);
    let cost = |index: usize| cells[index].min_cost_us / PARTS[index] as f64;
    for (index, cell) in cells.iter().enumerate() {
        let query = format!("{:.1}", cell.min_cost_us);
        table.row(vec![
            PARTS[index].to_string(),
            query,
            format!("{:.2}", cost(index)),
            cell.digest(),
        ]);
    }
    let growth = cost(PARTS.len() - 1) / cost(0);
    print!("{}", table.text());
    println!("a part of the greatest query over one of the least: {growth:.2}");
    table.save(&out.join("decisions-parts.csv"))?;
    Ok(growth)
}

/// Scenarios on which much goes wrong: only what was done counts there.
fn faulty_scenarios(options: &Options) -> Result<usize, Failure> {
    let mut table = Table::new(&[
        "site",
        "parts",
        "phases",
        "queries",
        "digest of what was done",
    ]);
    let mut broken = 0;
    for parts in PARTS {
        for (site, phases) in [(cardiff(), false), (cardiff(), true), (szeged(), false)] {
            let name = site.name;
            let mut cell = Cell::new(faulty_scenario(site, parts, phases, options.seed));
            let taken = cell.play()?.requests;
            broken += cell.broken;
            let phases = if phases { "on" } else { "off" };
            table.row(vec![
                name.into(),
                parts.to_string(),
                phases.into(),
                taken.to_string(),
                cell.digest(),
            ]);
        }
    }
    print!("{}", table.text());
    table.save(&options.out.join("decisions-troubled.csv"))?;
    Ok(broken)
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
        .map(|parts| scenario(PARTS_PER_S / *parts as f64, SERVERS, *parts))
        .collect();
    // The same scenarios again and again, in turns: what differs is the machine, and the least is the cost.
    for _ in 0..runs {
        for cell in rates.iter_mut().chain(&mut parts) {
            cell.play()?;
        }
    }
    let spread = show_rates(&rates, &options.out)?;
    let growth = show_parts(&parts, &options.out)?;
    let mut broken: usize = rates.iter().chain(&parts).map(|cell| cell.broken).sum();
    broken += faulty_scenarios(options)?;
    if broken > 0 {
        return Ok(Some(format!("{broken} rules broken")));
    }
    if growth > LINEAR {
        return Ok(Some(format!(
            "a part of {} costs {growth:.2} times one of 4, not {LINEAR} at most",
            PARTS[2]
        )));
    }
    Ok((spread > FLAT).then(|| format!("the cost differs {spread:.2} times, not {FLAT} at most")))
}
