//! Queries in two phases, on and off side by side: the work of leaf servers and the service of clients.
//!
//! In virtual time every cell plays the same scenarios, query for query, with phases on and off; differences are taken scenario
//! by scenario. The verdict rests on the latency objectives.

use super::{parallel, Failure, Options, Verdict};
use crate::report::{chart, Estimate, Line, Table};
use crate::rules::RuleChecker;
use crate::site::{Fault, Scenario};
use crate::standin::{self, Shared};
use crate::{daemon, emulator, load, tally};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SELECTIVITIES: [f64; 4] = [0.1, 0.25, 0.5, 1.0];
const LOADS: [f64; 2] = [0.7, 1.3];
const SITUATIONS: [&str; 3] = ["calm", "all slow", "quarter dead"];
const AREA: usize = 0;
/// Seeds of a cell.
const SEEDS: (u64, u64) = (20, 4);
const MORE_SEEDS: u64 = 5;
/// Length of a scenario (seconds).
const DAY_S: (f64, f64) = (60.0, 30.0);
/// All slow together: so many times, over this share of the scenario.
const SLOW: (f64, f64, f64) = (1.7, 0.35, 0.75);
/// Aims: work saved at a quarter matching; service lost at most; service gained when all are slow at load 1.3; more work at
/// most where all matches.
const SAVED: f64 = 0.45;
const LOST: f64 = 0.005;
const GAINED: f64 = 0.05;
const MORE: f64 = 0.03;

/// The short scenario on sockets: its length, the time before it begins (seconds), its load, its seeds, how near it comes to
/// virtual time, and how much longer its time limits are (seconds).
const REAL_S: f64 = 14.0;
const START_S: f64 = 1.0;
const REAL_LOAD: f64 = 0.7;
const REAL_SEEDS: (u64, u64) = (8, 2);
const REAL_WITHIN: f64 = 0.05;
const SLACK_S: f64 = 0.05;

/// Broken rules that are printed, at most.
const MAX_PRINTED: usize = 20;

/// The operators' setting that is measured.
pub const PHASES: &str = "{\"classes\":[\"area-search\"]}";

#[derive(Clone, Copy, Debug)]
struct Cell {
    selectivity: f64,
    situation: usize,
    load: f64,
    pre_check_first: bool,
}

/// What one scenario gave, off and on.
struct Pair {
    service: [f64; 2],
    area_work: [f64; 2],
    area_each: [f64; 2],
    pruned: u64,
    words: u64,
    broken: Vec<String>,
}

fn scenario(cell: &Cell, seed: u64, quick: bool) -> Scenario {
    let seconds = if quick { DAY_S.1 } else { DAY_S.0 };
    let (from, to) = (SLOW.1 * seconds, SLOW.2 * seconds);
    let faults = match cell.situation {
        0 => vec![],
        1 => vec![(from, to, Fault::Slow(SLOW.0))],
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

fn pair(cell: &Cell, seed: u64, quick: bool) -> Result<Pair, Failure> {
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
        area_work: both(|tally| tally.work_s[AREA]),
        area_each: both(|tally| tally.work_s[AREA] / tally.answered[AREA].max(1) as f64),
        pruned: on.tally.pruned,
        words: on.tally.prechecks,
        broken: rules.into_iter().flatten().collect(),
    })
}

/// What a short scenario on sockets gave.
struct Real {
    service: f64,
    area_each: f64,
    broken: Vec<String>,
    answered: u64,
    words: u64,
    p50_p99_ms: (f64, f64),
    late_ms: f64,
}

/// Plays a scenario on sockets: stand-ins, the daemon's processes, clients.
fn play_real(scenario: &Scenario) -> Result<Real, Failure> {
    let program = daemon::program()?;
    let shared = Arc::new(Shared {
        queries: scenario.queries(),
        scenario: scenario.clone(),
        start: Instant::now() + Duration::from_secs_f64(START_S),
        rules: Mutex::new(RuleChecker::new(scenario, SLACK_S)),
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
    let latency = standin::lock(&load.latency)[AREA].clone();
    let late = standin::lock(&load.lateness).value_at_quantile(0.99);
    let ms = |quantile| latency.value_at_quantile(quantile) as f64 / 1000.0;
    Ok(Real {
        service: tally.service(),
        area_each: work.0[AREA] / tally.answered[AREA].max(1) as f64,
        broken: rules.violations.clone(),
        answered: tally.requests[tally::ANSWERED],
        words: work.2,
        p50_p99_ms: (ms(0.5), ms(0.99)),
        late_ms: late as f64 / 1000.0,
    })
}

/// The same scenarios on sockets and in virtual time. Scenarios run side by side: none of them fills a core.
fn run_real(options: &Options) -> Verdict {
    let scenarios = real_scenarios(options);
    let played = parallel(&scenarios, |scenario| {
        Ok::<_, Failure>((play_real(scenario)?, emulator::run(scenario)?))
    });
    let mut comparison = Comparison::new();
    for (scenario, played) in scenarios.iter().zip(played) {
        let (real, run) = played?;
        comparison.add(scenario, &real, &run.tally);
    }
    comparison.finish(options)
}

/// Short scenarios with all servers slow for a while, each without and with phases.
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
    let slow = (0.4 * REAL_S, 0.7 * REAL_S, Fault::Slow(SLOW.0));
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

/// The work for each answer of a scenario, on sockets and in virtual time.
struct WorkEach {
    real: f64,
    simulated: f64,
}

/// Sockets against virtual time. What is by phases stands at 0 for off and 1 for on.
struct Comparison {
    table: Table,
    differences: [Vec<f64>; 2],
    work_each: [Vec<WorkEach>; 2],
    /// How late the load was at most (milliseconds).
    late_ms: f64,
    short: Vec<String>,
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
            work_each: [Vec::new(), Vec::new()],
            late_ms: 0.0,
            short: Vec::new(),
        }
    }

    fn add(&mut self, scenario: &Scenario, real: &Real, simulated: &tally::Tally) {
        let on = scenario.phases.is_some();
        self.late_ms = self.late_ms.max(real.late_ms);
        let work_each = WorkEach {
            real: real.area_each,
            simulated: simulated.work_s[AREA] / simulated.answered[AREA].max(1) as f64,
        };
        self.table.row(vec![
            scenario.seed.to_string(),
            if on { "on" } else { "off" }.into(),
            format!("{:.3}", real.service),
            format!("{:.3}", simulated.service()),
            format!("{:.3}", work_each.real),
            format!("{:.3}", work_each.simulated),
            real.answered.to_string(),
            real.words.to_string(),
            format!("{:.0}/{:.0}", real.p50_p99_ms.0, real.p50_p99_ms.1),
        ]);
        self.differences[usize::from(on)].push(real.service - simulated.service());
        self.work_each[usize::from(on)].push(work_each);
        let broken = real.broken.iter();
        self.short
            .extend(broken.map(|what| format!("broken: {what}")));
    }

    fn finish(mut self, options: &Options) -> Verdict {
        print!("{}", self.table.text());
        for (name, differences) in ["off", "on"].into_iter().zip(&self.differences) {
            let difference = Estimate::of(differences);
            println!(
                "service on sockets less that in virtual time, phases {name}: {}",
                difference.text(3)
            );
            if difference.mean.abs() > REAL_WITHIN {
                let mean = difference.mean;
                self.short
                    .push(format!("service differs by {mean:.3} (phases {name})"));
            }
        }
        let [off, on] = &self.work_each;
        for (index, (off, on)) in off.iter().zip(on).enumerate() {
            if (off.real > on.real) != (off.simulated > on.simulated) {
                let day = index + 1;
                self.short
                    .push(format!("work saved has another sign on day {day}"));
            }
        }
        let late_ms = self.late_ms;
        println!("the load itself was late by {late_ms:.1} ms at most (p99 of a day)");
        self.table.save(&options.out.join("two-phase-real.csv"))?;
        Ok((!self.short.is_empty()).then(|| self.short.join("; ")))
    }
}

/// Plays the cells in virtual time, or a few scenarios on sockets too, and says what falls short.
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
    let pairs: Result<Vec<Pair>, Failure> =
        parallel(&jobs, |(cell, seed)| pair(cell, *seed, quick))
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
    /// Scenarios that it plays. Where phases hardly play a part, their small price takes more to tell from chance.
    fn seeds(&self, quick: bool) -> u64 {
        let seeds = if quick { SEEDS.1 } else { SEEDS.0 };
        if self.selectivity >= 1.0 && !quick {
            seeds * MORE_SEEDS
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
            // Leaf servers where pre-checks wait their turn.
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

/// The scenarios of a cell, on less off.
struct CellResult {
    service_off: Estimate,
    service_on: Estimate,
    gain: Estimate,
    work_saved: Estimate,
    /// Work saved for each answer.
    work_saved_each: Estimate,
    /// Pre-checks without a match, of all.
    pruned_share: f64,
}

impl CellResult {
    fn of(pairs: &[Pair]) -> CellResult {
        let of = |value: &dyn Fn(&Pair) -> f64| {
            Estimate::of(&pairs.iter().map(value).collect::<Vec<_>>())
        };
        let pruned = pairs.iter().map(|pair| pair.pruned).sum::<u64>();
        let words = pairs.iter().map(|pair| pair.words).sum::<u64>();
        CellResult {
            service_off: of(&|pair| pair.service[0]),
            service_on: of(&|pair| pair.service[1]),
            gain: of(&|pair| pair.service[1] - pair.service[0]),
            work_saved: of(&|pair| 1.0 - pair.area_work[1] / pair.area_work[0].max(1e-9)),
            work_saved_each: of(&|pair| 1.0 - pair.area_each[1] / pair.area_each[0].max(1e-9)),
            pruned_share: pruned as f64 / words.max(1) as f64,
        }
    }

    /// What misses the objectives of a cell, which `at` names.
    fn shortfalls(&self, cell: &Cell, at: &str) -> Vec<String> {
        let mut short = Vec::new();
        let (gain, saved, each) = (&self.gain, &self.work_saved, &self.work_saved_each);
        // Below by chance alone is no loss: the interval has to lie below.
        if gain.mean + gain.half < -LOST {
            short.push(format!("service {} at {at}", gain.text(4)));
        }
        // Leaf servers that are full do as much as they can either way, and answer more with phases: work counts by answer.
        let is_quarter = cell.selectivity == 0.25 && cell.pre_check_first;
        if is_quarter && each.mean < SAVED {
            short.push(format!("work saved each answer {:.3} at {at}", each.mean));
        }
        if is_quarter && cell.situation == 1 && cell.load > 1.0 && gain.mean < GAINED {
            short.push(format!("service gained {:.4} at {at}", gain.mean));
        }
        if cell.selectivity == 1.0 && saved.mean < -MORE {
            short.push(format!("work saved {:.3} at {at}", saved.mean));
        }
        short
    }
}

/// What all cells gave: a table, lines of two charts, and what falls short.
struct Report {
    table: Table,
    service: Vec<Line>,
    work: Vec<Line>,
    short: Vec<String>,
    unproved: Vec<String>,
    broken: Vec<String>,
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
            short: Vec::new(),
            unproved: Vec::new(),
            broken: Vec::new(),
        }
    }

    fn add(&mut self, cell: &Cell, pairs: &[Pair]) {
        let result = CellResult::of(pairs);
        let broken = pairs.iter().flat_map(|pair| pair.broken.iter().cloned());
        self.broken.extend(broken);
        let name = format!("{}, load {}", SITUATIONS[cell.situation], cell.load);
        self.add_row(cell, &result);
        self.add_points(cell, &name, &result);
        let turn = if cell.pre_check_first {
            ""
        } else {
            ", words in turn"
        };
        let at = format!("{name}, matching {}{turn}", cell.selectivity);
        let gain = &result.gain;
        if gain.mean - gain.half < -LOST {
            self.unproved.push(format!("{} at {at}", gain.text(4)));
        }
        self.short.extend(result.shortfalls(cell, &at));
    }

    fn add_row(&mut self, cell: &Cell, result: &CellResult) {
        let order = if cell.pre_check_first {
            "first"
        } else {
            "in turn"
        };
        self.table.row(vec![
            SITUATIONS[cell.situation].into(),
            cell.load.to_string(),
            cell.selectivity.to_string(),
            order.into(),
            result.service_off.text(3),
            result.service_on.text(3),
            result.gain.text(4),
            result.work_saved.text(3),
            result.work_saved_each.text(3),
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

    /// Prints and saves everything.
    fn finish(mut self, options: &Options) -> Verdict {
        print!("{}", self.table.text());
        for what in &self.unproved {
            println!("not proved to lose no more than {LOST}: {what}");
        }
        self.table.save(&options.out.join("two-phase.csv"))?;
        let x = "share of parts that match";
        chart(
            &options.out.join("two-phase-service.svg"),
            "Service, on less off",
            (x, "difference"),
            false,
            &self.service,
        )?;
        chart(
            &options.out.join("two-phase-work.svg"),
            "Work for area-search saved",
            (x, "share"),
            false,
            &self.work,
        )?;
        for what in self.broken.iter().take(MAX_PRINTED) {
            println!("broken: {what}");
        }
        if !self.broken.is_empty() {
            self.short
                .insert(0, format!("{} rules broken", self.broken.len()));
        }
        Ok((!self.short.is_empty()).then(|| self.short.join("; ")))
    }
}
