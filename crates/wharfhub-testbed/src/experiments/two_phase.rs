//! Two-phase experiment: the work of leaf servers and the service of clients with two-phase queries on and off.
//!
//! In virtual time every cell runs the same scenarios with phases on and off, with the same queries, and compares them pair by
//! pair. The criteria are the limits of saved work and of lost service below.

use super::{parallel, ExperimentError, Options, Verdict};
use crate::report::{draw_chart, Estimate, Line, Table};
use crate::rules::RuleChecker;
use crate::site::{Fault, Scenario};
use crate::standin::{self, Shared};
use crate::{daemon, emulator, load, tally};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SELECTIVITIES: [f64; 4] = [0.1, 0.25, 0.5, 1.0];
const LOADS: [f64; 2] = [0.7, 1.3];
const SITUATIONS: [&str; 3] = ["calm", "all slow", "quarter dead"];
const AREA_SEARCH: usize = 0;
/// Number of seeds of a cell in the full and in the quick run, and the factor for cells where all parts match.
const SEEDS: (u64, u64) = (20, 4);
const FULL_MATCH_SEED_FACTOR: u64 = 5;
/// Length of a scenario in the full and in the quick run (seconds).
const SCENARIO_S: (f64, f64) = (60.0, 30.0);
/// Factor by which all leaf servers are slower, and the start and end of the faults as shares of the scenario.
const SLOWDOWN: (f64, f64, f64) = (1.7, 0.35, 0.75);
/// Criteria: work saved for each answer where a quarter of the parts match; loss of service in any cell; gain of service where all
/// leaf servers are slow at load 1.3; additional work where all parts match.
const MIN_WORK_SAVED: f64 = 0.45;
const MAX_SERVICE_LOSS: f64 = 0.005;
const MIN_SERVICE_GAIN: f64 = 0.05;
const MAX_EXTRA_WORK: f64 = 0.03;

/// Scenario on sockets: its length and the time before its start (seconds), its load, its seeds in the full and in the quick run,
/// the largest difference of service from virtual time, and the tolerance added to the time limits of the rules (seconds).
const REAL_S: f64 = 14.0;
const START_DELAY_S: f64 = 1.0;
const REAL_LOAD: f64 = 0.7;
const REAL_SEEDS: (u64, u64) = (8, 2);
const MAX_SERVICE_DIFFERENCE: f64 = 0.05;
const TIME_TOLERANCE_S: f64 = 0.05;

/// Largest number of violations that are printed.
const MAX_PRINTED: usize = 20;

/// Setting that enables two-phase queries.
pub const PHASES: &str = "{\"classes\":[\"area-search\"]}";

#[derive(Clone, Copy, Debug)]
struct Cell {
    selectivity: f64,
    situation: usize,
    load: f64,
    pre_check_first: bool,
}

/// Results of one scenario, with phases off and on.
struct Pair {
    service: [f64; 2],
    area_work: [f64; 2],
    area_work_per_answer: [f64; 2],
    pruned: u64,
    prechecks: u64,
    violations: Vec<String>,
}

fn scenario(cell: &Cell, seed: u64, quick: bool) -> Scenario {
    let seconds = if quick { SCENARIO_S.1 } else { SCENARIO_S.0 };
    let (from, to) = (SLOWDOWN.1 * seconds, SLOWDOWN.2 * seconds);
    let faults = match cell.situation {
        0 => vec![],
        1 => vec![(from, to, Fault::Slow(SLOWDOWN.0))],
        _ => vec![(from, to, Fault::Dead(0.25))],
    };
    let (load, selectivity, pre_check_first) = (cell.load, cell.selectivity, cell.pre_check_first);
    Scenario {
        seed,
        seconds,
        load,
        selectivity,
        pre_check_first,
        faults,
        ..Scenario::default()
    }
}

fn run_pair(cell: &Cell, seed: u64, quick: bool) -> Result<Pair, ExperimentError> {
    let off = scenario(cell, seed, quick);
    let on = Scenario {
        phases: Some(PHASES.into()),
        ..off.clone()
    };
    let (off, on) = (emulator::run(&off)?, emulator::run(&on)?);
    let both = |value: fn(&tally::Tally) -> f64| [value(&off.tally), value(&on.tally)];
    let rules = [off.rules.violations, on.rules.violations];
    Ok(Pair {
        service: both(tally::Tally::service),
        area_work: both(|tally| tally.work_s[AREA_SEARCH]),
        area_work_per_answer: both(|tally| {
            tally.work_s[AREA_SEARCH] / tally.answered[AREA_SEARCH].max(1) as f64
        }),
        pruned: on.tally.pruned,
        prechecks: on.tally.prechecks,
        violations: rules.into_iter().flatten().collect(),
    })
}

/// Results of a scenario on sockets.
struct SocketRun {
    service: f64,
    area_work_per_answer: f64,
    violations: Vec<String>,
    answered: u64,
    prechecks: u64,
    p50_p99_ms: (f64, f64),
    load_delay_ms: f64,
}

/// Runs a scenario on sockets, with stand-in leaf servers, daemon processes and clients.
fn run_on_sockets(scenario: &Scenario) -> Result<SocketRun, ExperimentError> {
    let program = daemon::program()?;
    let shared = Arc::new(Shared {
        queries: scenario.queries(),
        scenario: scenario.clone(),
        start: Instant::now() + Duration::from_secs_f64(START_DELAY_S),
        rules: Mutex::new(RuleChecker::new(scenario, TIME_TOLERANCE_S)),
        work: Mutex::new((vec![0.0; scenario.site.classes.len()], 0, 0)),
    });
    let leaf_servers: Result<Vec<_>, _> = (0..scenario.leaf_servers)
        .map(|number| standin::open(&shared, number, false))
        .collect();
    let leaf_servers = leaf_servers?;
    let start = |number: u32| {
        let name = format!(
            "{}-{number}-{}",
            scenario.seed,
            if scenario.phases.is_some() {
                "on"
            } else {
                "off"
            }
        );
        daemon::start(
            &program,
            &daemon::config(scenario, number, &leaf_servers, &[]),
            &name,
        )
    };
    let mixers = (0..scenario.mixers)
        .map(start)
        .collect::<Result<Vec<_>, _>>()?;
    let load = load::run_open_loop(&shared, mixers.iter().map(|mixer| mixer.address).collect());
    drop(mixers);
    let tally = standin::lock(&load.tally).clone();
    let work = standin::lock(&shared.work).clone();
    let mut rules = standin::lock(&shared.rules);
    rules.finish();
    let latency = standin::lock(&load.latency)[AREA_SEARCH].clone();
    let load_delay_us = standin::lock(&load.lateness).value_at_quantile(0.99);
    let ms = |quantile| latency.value_at_quantile(quantile) as f64 / 1000.0;
    Ok(SocketRun {
        service: tally.service(),
        area_work_per_answer: work.0[AREA_SEARCH] / tally.answered[AREA_SEARCH].max(1) as f64,
        violations: rules.violations.clone(),
        answered: tally.requests[tally::ANSWERED],
        prechecks: work.2,
        p50_p99_ms: (ms(0.5), ms(0.99)),
        load_delay_ms: load_delay_us as f64 / 1000.0,
    })
}

/// Runs the same scenarios on sockets and in virtual time. Scenarios run in parallel, because each uses less than a core.
fn run_real(options: &Options) -> Verdict {
    let scenarios = real_scenarios(options);
    let played = parallel(&scenarios, |scenario| {
        Ok::<_, ExperimentError>((run_on_sockets(scenario)?, emulator::run(scenario)?))
    });
    let mut comparison = Comparison::new();
    for (scenario, played) in scenarios.iter().zip(played) {
        let (real, run) = played?;
        comparison.add(scenario, &real, &run.tally);
    }
    comparison.finish(options)
}

/// Returns short scenarios in which all servers are slow for a while, each with phases off and on.
fn real_scenarios(options: &Options) -> Vec<Scenario> {
    let seeds = if options.quick {
        REAL_SEEDS.1
    } else {
        REAL_SEEDS.0
    };
    let cell = Cell {
        selectivity: 0.25,
        situation: 0,
        load: REAL_LOAD,
        pre_check_first: true,
    };
    let slow = (0.4 * REAL_S, 0.7 * REAL_S, Fault::Slow(SLOWDOWN.0));
    let mut scenarios = Vec::new();
    for seed in options.seed..options.seed + seeds {
        for phases in [None, Some(PHASES.to_string())] {
            let plain = scenario(&cell, seed, true);
            scenarios.push(Scenario {
                seconds: REAL_S,
                leaf_servers: 10,
                mixers: 2,
                faults: vec![slow.clone()],
                phases,
                ..plain
            });
        }
    }
    scenarios
}

/// Work for each answer of a scenario, on sockets and in virtual time.
struct WorkPerAnswer {
    real: f64,
    simulated: f64,
}

/// Comparison of sockets with virtual time. Arrays by phases have index 0 for off and 1 for on.
struct Comparison {
    table: Table,
    differences: [Vec<f64>; 2],
    work_per_answer: [Vec<WorkPerAnswer>; 2],
    /// Longest delay of the load generator (p99 of a scenario, milliseconds).
    load_delay_ms: f64,
    shortfalls: Vec<String>,
}

impl Comparison {
    fn new() -> Comparison {
        Comparison {
            table: Table::new(&[
                "seed",
                "phases",
                "service real",
                "service virtual",
                "area work each, real",
                "the same, virtual",
                "answered",
                "words",
                "area p50/p99 ms",
            ]),
            differences: [Vec::new(), Vec::new()],
            work_per_answer: [Vec::new(), Vec::new()],
            load_delay_ms: 0.0,
            shortfalls: Vec::new(),
        }
    }

    fn add(&mut self, scenario: &Scenario, real: &SocketRun, simulated: &tally::Tally) {
        let on = scenario.phases.is_some();
        self.load_delay_ms = self.load_delay_ms.max(real.load_delay_ms);
        let work_per_answer = WorkPerAnswer {
            real: real.area_work_per_answer,
            simulated: simulated.work_s[AREA_SEARCH]
                / simulated.answered[AREA_SEARCH].max(1) as f64,
        };
        self.table.add_row(vec![
            scenario.seed.to_string(),
            if on { "on" } else { "off" }.into(),
            format!("{:.3}", real.service),
            format!("{:.3}", simulated.service()),
            format!("{:.3}", work_per_answer.real),
            format!("{:.3}", work_per_answer.simulated),
            real.answered.to_string(),
            real.prechecks.to_string(),
            format!("{:.0}/{:.0}", real.p50_p99_ms.0, real.p50_p99_ms.1),
        ]);
        self.differences[usize::from(on)].push(real.service - simulated.service());
        self.work_per_answer[usize::from(on)].push(work_per_answer);
        let violations = real.violations.iter();
        self.shortfalls
            .extend(violations.map(|violation| format!("violation: {violation}")));
    }

    fn finish(mut self, options: &Options) -> Verdict {
        print!("{}", self.table.text());
        for (name, differences) in ["off", "on"].into_iter().zip(&self.differences) {
            let difference = Estimate::of(differences);
            println!(
                "service on sockets less that in virtual time, phases {name}: {}",
                difference.text(3)
            );
            if difference.mean.abs() > MAX_SERVICE_DIFFERENCE {
                let mean = difference.mean;
                self.shortfalls.push(format!(
                    "service on sockets differs from virtual time by {mean:.3} (phases {name})"
                ));
            }
        }
        let [off, on] = &self.work_per_answer;
        for (index, (off, on)) in off.iter().zip(on).enumerate() {
            if (off.real > on.real) != (off.simulated > on.simulated) {
                let number = index + 1;
                self.shortfalls
                    .push(format!("saved work has another sign on sockets than in virtual time in scenario {number}"));
            }
        }
        let load_delay_ms = self.load_delay_ms;
        println!(
            "the load generator was late by at most {load_delay_ms:.1} ms (p99 of a scenario)"
        );
        self.table.save(&options.out.join("two-phase-real.csv"))?;
        Ok((!self.shortfalls.is_empty()).then(|| self.shortfalls.join("; ")))
    }
}

/// Runs the cells in virtual time, or with `real` some scenarios on sockets and in virtual time.
pub fn run(options: &Options) -> Verdict {
    if options.real {
        return run_real(options);
    }
    let quick = options.quick;
    let cells = cells();
    let jobs: Vec<(Cell, u64)> = cells
        .iter()
        .flat_map(|cell| (0..cell.seeds(quick)).map(|number| (*cell, options.seed + number)))
        .collect();
    let pairs: Result<Vec<Pair>, ExperimentError> =
        parallel(&jobs, |(cell, seed)| run_pair(cell, *seed, quick))
            .into_iter()
            .collect();
    let pairs = pairs?;
    let mut report = Report::new();
    let mut rest = pairs.as_slice();
    for cell in &cells {
        let (pairs, others) = rest.split_at(cell.seeds(quick) as usize);
        rest = others;
        report.add(cell, pairs);
    }
    report.finish(options)
}

impl Cell {
    /// Returns the number of seeds. Where all parts match, the small cost of phases needs more seeds to be significant.
    fn seeds(&self, quick: bool) -> u64 {
        let seeds = if quick { SEEDS.1 } else { SEEDS.0 };
        if self.selectivity >= 1.0 && !quick {
            seeds * FULL_MATCH_SEED_FACTOR
        } else {
            seeds
        }
    }
}

fn cells() -> Vec<Cell> {
    let mut cells = Vec::new();
    for situation in 0..SITUATIONS.len() {
        for load in LOADS {
            cells.extend(SELECTIVITIES.map(|selectivity| Cell {
                selectivity,
                situation,
                load,
                pre_check_first: true,
            }));
            // Leaf servers that queue pre-checks behind other jobs.
            cells.push(Cell {
                selectivity: 0.25,
                situation,
                load,
                pre_check_first: false,
            });
        }
    }
    cells
}

/// Results of a cell; gains and savings compare phases on with phases off.
struct CellResult {
    service_off: Estimate,
    service_on: Estimate,
    gain: Estimate,
    work_saved: Estimate,
    /// Share of the work for each answer that is saved.
    work_saved_per_answer: Estimate,
    /// Share of pre-checks without a match.
    pruned_share: f64,
}

impl CellResult {
    fn of(pairs: &[Pair]) -> CellResult {
        let of = |value: &dyn Fn(&Pair) -> f64| {
            Estimate::of(&pairs.iter().map(value).collect::<Vec<_>>())
        };
        let pruned = pairs.iter().map(|pair| pair.pruned).sum::<u64>();
        let prechecks = pairs.iter().map(|pair| pair.prechecks).sum::<u64>();
        CellResult {
            service_off: of(&|pair| pair.service[0]),
            service_on: of(&|pair| pair.service[1]),
            gain: of(&|pair| pair.service[1] - pair.service[0]),
            work_saved: of(&|pair| 1.0 - pair.area_work[1] / pair.area_work[0].max(1e-9)),
            work_saved_per_answer: of(&|pair| {
                1.0 - pair.area_work_per_answer[1] / pair.area_work_per_answer[0].max(1e-9)
            }),
            pruned_share: pruned as f64 / prechecks.max(1) as f64,
        }
    }

    /// Returns the criteria that a cell misses, as text; `at` names the cell.
    fn shortfalls(&self, cell: &Cell, at: &str) -> Vec<String> {
        let mut shortfalls = Vec::new();
        let (gain, saved, per_answer) = (&self.gain, &self.work_saved, &self.work_saved_per_answer);
        // Only a loss whose whole confidence interval is below the limit counts.
        if gain.mean + gain.half_width < -MAX_SERVICE_LOSS {
            shortfalls.push(format!("service changed by {} at {at}", gain.text(4)));
        }
        // Saturated leaf servers do the same work with and without phases but answer more queries with them, so that the work for
        // each answer is compared.
        let is_quarter = cell.selectivity == 0.25 && cell.pre_check_first;
        if is_quarter && per_answer.mean < MIN_WORK_SAVED {
            shortfalls.push(format!(
                "work saved for each answer is {:.3} at {at}",
                per_answer.mean
            ));
        }
        if is_quarter && cell.situation == 1 && cell.load > 1.0 && gain.mean < MIN_SERVICE_GAIN {
            shortfalls.push(format!("service gained is {:.4} at {at}", gain.mean));
        }
        if cell.selectivity == 1.0 && saved.mean < -MAX_EXTRA_WORK {
            shortfalls.push(format!("work saved is {:.3} at {at}", saved.mean));
        }
        shortfalls
    }
}

/// Table, chart lines and missed criteria of all cells.
struct Report {
    table: Table,
    service: Vec<Line>,
    work: Vec<Line>,
    shortfalls: Vec<String>,
    unproven: Vec<String>,
    violations: Vec<String>,
}

impl Report {
    fn new() -> Report {
        Report {
            table: Table::new(&[
                "situation",
                "load",
                "matching",
                "words",
                "service off",
                "service on",
                "difference",
                "area work saved",
                "the same each answer",
                "words pruned",
            ]),
            service: Vec::new(),
            work: Vec::new(),
            shortfalls: Vec::new(),
            unproven: Vec::new(),
            violations: Vec::new(),
        }
    }

    fn add(&mut self, cell: &Cell, pairs: &[Pair]) {
        let result = CellResult::of(pairs);
        let violations = pairs
            .iter()
            .flat_map(|pair| pair.violations.iter().cloned());
        self.violations.extend(violations);
        let name = format!("{}, load {}", SITUATIONS[cell.situation], cell.load);
        self.add_row(cell, &result);
        self.add_points(cell, &name, &result);
        let order = if cell.pre_check_first {
            ""
        } else {
            ", pre-checks queued"
        };
        let at = format!("{name}, matching {}{order}", cell.selectivity);
        let gain = &result.gain;
        if gain.mean - gain.half_width < -MAX_SERVICE_LOSS {
            self.unproven.push(format!("{} at {at}", gain.text(4)));
        }
        self.shortfalls.extend(result.shortfalls(cell, &at));
    }

    fn add_row(&mut self, cell: &Cell, result: &CellResult) {
        let order = if cell.pre_check_first {
            "first"
        } else {
            "in turn"
        };
        self.table.add_row(vec![
            SITUATIONS[cell.situation].into(),
            cell.load.to_string(),
            cell.selectivity.to_string(),
            order.into(),
            result.service_off.text(3),
            result.service_on.text(3),
            result.gain.text(4),
            result.work_saved.text(3),
            result.work_saved_per_answer.text(3),
            format!("{:.2}", result.pruned_share),
        ]);
    }

    fn add_points(&mut self, cell: &Cell, name: &str, result: &CellResult) {
        for (lines, estimate) in [
            (&mut self.service, result.gain),
            (&mut self.work, result.work_saved),
        ] {
            if cell.selectivity == SELECTIVITIES[0] {
                lines.push(Line {
                    name: name.into(),
                    points: Vec::new(),
                });
            }
            if let Some(line) = lines.last_mut().filter(|_| cell.pre_check_first) {
                line.points.push((cell.selectivity, estimate));
            }
        }
    }

    /// Prints and saves the results.
    fn finish(mut self, options: &Options) -> Verdict {
        print!("{}", self.table.text());
        for cell in &self.unproven {
            println!("loss of service above {MAX_SERVICE_LOSS} not ruled out: {cell}");
        }
        self.table.save(&options.out.join("two-phase.csv"))?;
        let x = "share of parts that match";
        draw_chart(
            &options.out.join("two-phase-service.svg"),
            "Service, on less off",
            (x, "difference"),
            false,
            &self.service,
        )?;
        draw_chart(
            &options.out.join("two-phase-work.svg"),
            "Work for area-search saved",
            (x, "share"),
            false,
            &self.work,
        )?;
        for violation in self.violations.iter().take(MAX_PRINTED) {
            println!("violation: {violation}");
        }
        if !self.violations.is_empty() {
            self.shortfalls
                .insert(0, format!("{} rule violations", self.violations.len()));
        }
        Ok((!self.shortfalls.is_empty()).then(|| self.shortfalls.join("; ")))
    }
}
