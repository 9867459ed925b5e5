//! Data path experiment: the daemon's CPU time for a query by its number of parts, and its tail latency at the planned rate.
//!
//! One real daemon runs on loopback with 180 stand-in leaf servers. First, one client sends queries of 4 to 180 parts in a closed
//! loop, and a cost law is fitted with one size held out. Then, in the full run, clients send 163 queries of 180 parts per second
//! in an open loop, with and without one slow server and hedged requests. Times depend on the machine; the criteria are ratios of
//! costs.

mod cost_law;

use super::{ExperimentError, Options, Verdict};
use crate::daemon::{self, Daemon};
use crate::fit::Point;
use crate::load::{self, Load};
use crate::report::{draw_chart, Estimate, Line, Table};
use crate::rules::RuleChecker;
use crate::site::{cardiff, Class, Fault, Layout, Part, Query, Scenario, Site};
use crate::standin::{self, lock, Shared};
use crate::{emulator, tally};
use cost_law::{CostLaw, MAX_COST_RATIO};
use rand::Rng;
use rand_distr::{Distribution, Exp};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Measured numbers of parts and the names of their classes.
const SIZES: [(usize, &str); 5] = [
    (4, "parts-4"),
    (12, "parts-12"),
    (45, "parts-45"),
    (90, "parts-90"),
    (180, "parts-180"),
];
/// Index in [`SIZES`] of the size that is held out of the fit and predicted.
const HOLDOUT: usize = 2;

/// Number of leaf servers. Each shard has two holders with consecutive numbers.
const LEAF_SERVERS: u32 = 180;
/// Jobs that a leaf server runs at once: more than it ever receives, so that no job is queued.
const LEAF_CORES: usize = 64;
/// Number of mixers that the settings state, and the query rate of the whole fleet (queries per second).
const MIXERS: u32 = 860;
const FLEET_QUERIES_PER_S: f64 = 140_000.0;
/// Latency target of a query, and the longer timeout of its client (seconds).
const LATENCY_TARGET_S: f64 = 0.24;
const CLIENT_TIMEOUT_S: f64 = 1.0;
/// Mean service time of a part at a leaf server in the closed loop and at the planned rate (seconds), and the relative spread to
/// both sides. In the closed loop, parts are answered at once so that the daemon never sleeps: sleep and wakeup cost a small query
/// more than its parts do and would hide the cost of a part.
const CLOSED_LOOP_PART_S: f64 = 0.0;
const PLANNED_PART_S: f64 = 0.02;
const PART_TIME_SPREAD: f64 = 0.5;

/// Queries of each size in a round, and the number of rounds in the full and in the quick run. An additional first round opens
/// the connections and is not measured.
const QUERIES_PER_ROUND: usize = 50;
const ROUNDS: (usize, usize) = (16, 8);
/// Length of a run at the planned rate, and the time before its start (seconds).
const PLANNED_RUN_S: f64 = 10.0;
const START_DELAY_S: f64 = 1.0;
/// Holders of each partition in the runs in virtual time; the last is 5,220 servers for 180 partitions. Their length (seconds) lets
/// the decision module's windows of 8 s fill.
const HOLDERS: [u32; 3] = [2, 8, PLANNED_HOLDERS];
pub(super) const PLANNED_HOLDERS: u32 = 29;
const VIRTUAL_RUN_S: f64 = 9.0;
/// Factor by which a slow server is slower; its answers miss the latency target by far.
const SLOW_FACTOR: f64 = 25.0;
/// Tolerance added to the time limits of the rules on sockets (seconds).
const TIME_TOLERANCE_S: f64 = 0.05;

/// Variant of a run.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    hedging: bool,
    slow_servers: u32,
}

/// Hedged requests are allowed, as in the operators' deployments, because deciding on them is part of the cost.
const CLOSED_LOOP: Case = Case {
    name: "closed loop",
    hedging: true,
    slow_servers: 0,
};

const PLANNED_CASES: [Case; 3] = [
    Case {
        name: "all well",
        hedging: true,
        slow_servers: 0,
    },
    Case {
        name: "one slow, second copies",
        hedging: true,
        slow_servers: 1,
    },
    Case {
        name: "one slow, no second copies",
        hedging: false,
        slow_servers: 1,
    },
];

/// Daemon, and the state shared with its leaf servers and clients.
struct Rig {
    shared: Arc<Shared>,
    daemon: Daemon,
}

/// Cost of queries of one size. Rounds differ by the other load of the machine, so that the lowest value is taken as the cost.
struct SizeCost {
    parts: usize,
    min_cpu_us: f64,  // CPU time of the daemon for a query in the cheapest round
    cpu_us: Estimate, // mean over all rounds
    p50_ms: f64,
    p99_ms: f64,
    queries: usize,
}

impl SizeCost {
    fn point(&self) -> Point {
        Point {
            size: self.parts as f64,
            cost: self.min_cpu_us,
        }
    }

    fn us_per_part(&self) -> f64 {
        self.min_cpu_us / self.parts as f64
    }
}

/// Returns the scenario of a run, with one query class for each number of parts.
fn scenario(seed: u64, case: Case) -> Scenario {
    let class = |(parts, name): (usize, &'static str)| Class {
        name,
        share: 1.0 / SIZES.len() as f64,
        parts: (parts, parts, 0.0),
        work_s: PLANNED_PART_S,
        latency_objective_s: LATENCY_TARGET_S,
        client_timeout_s: CLIENT_TIMEOUT_S,
        min_share: 1.0,
        ..cardiff().classes.remove(0)
    };
    let base = cardiff();
    let leaf_servers = crate::model::LeafServerSetup {
        cores: LEAF_CORES,
        slots: LEAF_CORES,
        ..base.leaf_servers
    };
    let site = Site {
        zones: &["one"],
        layout: Layout::Ring(1, 2),
        classes: SIZES.map(class).to_vec(),
        attempts: (base.attempts.0, case.hedging),
        retries: (0, base.retries.1, false),
        leaf_servers,
        ..base
    };
    let slow_share = f64::from(case.slow_servers) / f64::from(LEAF_SERVERS);
    let slow = (0.0, f64::MAX, Fault::SomeSlow(slow_share, SLOW_FACTOR));
    let faults = if case.slow_servers > 0 {
        vec![slow]
    } else {
        Vec::new()
    };
    let mut scenario = Scenario {
        seed,
        leaf_servers: LEAF_SERVERS,
        mixers: MIXERS,
        seconds: 600.0,
        site,
        faults,
        ..Scenario::default()
    };
    scenario.load *= FLEET_QUERIES_PER_S / scenario.queries_per_s();
    scenario
}

/// Returns a query of a class at a time; its parts take `part_s` on average.
fn query(scenario: &Scenario, rng: &mut impl Rng, class: usize, at: f64, part_s: f64) -> Query {
    let count = SIZES[class].0;
    let shards = rand::seq::index::sample(rng, scenario.shards() as usize, count);
    let part = |shard: usize| Part {
        shard: shard as u32,
        weight: 1.0 / count as f64,
        work_s: part_s * rng.random_range(1.0 - PART_TIME_SPREAD..=1.0 + PART_TIME_SPREAD),
        matches: true,
    };
    let parts = shards.into_iter().map(part).collect();
    let key = rng.random();
    Query {
        at,
        class,
        tenant: 0,
        key,
        parts,
        timeout_s: CLIENT_TIMEOUT_S,
        disconnects_after_s: f64::MAX,
        mixer: 0,
    }
}

/// Starts the leaf servers and a daemon whose list names them.
fn start(scenario: Scenario, queries: Vec<Query>, name: &str) -> Result<Rig, ExperimentError> {
    let program = daemon::program()?;
    let shared = Arc::new(Shared {
        queries,
        start: Instant::now() + Duration::from_secs_f64(START_DELAY_S),
        rules: Mutex::new(RuleChecker::new(&scenario, TIME_TOLERANCE_S)),
        work: Mutex::new((vec![0.0; scenario.site.classes.len()], 0, 0)),
        scenario,
    });
    let leaves: Result<Vec<_>, _> = (0..LEAF_SERVERS)
        .map(|number| standin::open(&shared, number, false))
        .collect();
    let config = daemon::config(&shared.scenario, 0, &leaves?, &[]);
    let daemon = daemon::start(&program, &config, &format!("data-path-{name}"))?;
    Ok(Rig { shared, daemon })
}

/// Returns the violations of the rules as text. A hedged request that a leaf server reads after the final answer is not a
/// violation: the mixer may have sent it before that answer, and only the order of reading is observed on sockets.
fn rule_violations(shared: &Shared) -> Vec<String> {
    let mut rules = lock(&shared.rules);
    rules.finish();
    let undecided =
        |violation: &&String| shared.scenario.site.attempts.1 && violation.starts_with("ended: ");
    rules
        .violations
        .iter()
        .filter(|violation| !undecided(violation))
        .map(|violation| format!("violation: {violation}"))
        .collect()
}

/// Returns whether a violation is about time limits. At the planned rate on a shared machine such a violation means that the
/// daemon or the machine was overloaded, which the table shows, so it is printed and does not fail the experiment.
fn is_timing_violation(violation: &str) -> bool {
    ["violation: time: ", "violation: lost: "]
        .iter()
        .any(|kind| violation.starts_with(kind))
}

/// Measures the costs with one client in a closed loop, which sends queries of all sizes in each round.
fn measure_sizes(
    options: &Options,
    shortfalls: &mut Vec<String>,
) -> Result<Vec<SizeCost>, ExperimentError> {
    let scenario = scenario(options.seed, CLOSED_LOOP);
    let rounds = 1 + if options.quick { ROUNDS.1 } else { ROUNDS.0 };
    let mut rng = scenario.rng(30);
    let mut queries = Vec::new();
    for block in 0..rounds * SIZES.len() {
        let class = block % SIZES.len();
        queries.extend(
            (0..QUERIES_PER_ROUND)
                .map(|_| query(&scenario, &mut rng, class, 0.0, CLOSED_LOOP_PART_S)),
        );
    }
    let rig = start(scenario, queries, "sizes")?;
    std::thread::sleep(Duration::from_secs_f64(START_DELAY_S));
    let mixer = vec![rig.daemon.address];
    Load::new(&rig.shared, mixer.clone()).run_closed_loop(0..SIZES.len() * QUERIES_PER_ROUND);
    let load = Load::new(&rig.shared, mixer);
    let mut costs = vec![Vec::new(); SIZES.len()];
    for block in SIZES.len()..rounds * SIZES.len() {
        let before = rig.daemon.usage()?;
        load.run_closed_loop(block * QUERIES_PER_ROUND..(block + 1) * QUERIES_PER_ROUND);
        let spent_s = rig.daemon.usage()?.cpu_s - before.cpu_s;
        costs[block % SIZES.len()].push(spent_s * 1e6 / QUERIES_PER_ROUND as f64);
    }
    let (sent, answered) = {
        let tally = lock(&load.tally);
        (
            tally.requests[tally::TOTAL],
            tally.requests[tally::ANSWERED],
        )
    };
    if answered < sent {
        shortfalls.push(format!(
            "{answered} of {sent} queries answered in the closed loop"
        ));
    }
    shortfalls.extend(rule_violations(&rig.shared));
    let (_, attempts, _) = *lock(&rig.shared.work);
    let parts: usize = rig.shared.queries.iter().map(|item| item.parts.len()).sum();
    let memory_mb = rig.daemon.usage()?.resident_bytes as f64 / 1e6;
    println!(
        "attempts a part: {:.3}; memory: {memory_mb:.1} MB",
        attempts as f64 / parts as f64
    );
    let latency = lock(&load.latency);
    let cost = |(class, costs): (usize, &Vec<f64>)| SizeCost {
        parts: SIZES[class].0,
        min_cpu_us: costs.iter().copied().fold(f64::MAX, f64::min),
        cpu_us: Estimate::of(costs),
        p50_ms: latency[class].value_at_quantile(0.5) as f64 / 1000.0,
        p99_ms: latency[class].value_at_quantile(0.99) as f64 / 1000.0,
        queries: costs.len() * QUERIES_PER_ROUND,
    };
    Ok(costs.iter().enumerate().map(cost).collect())
}

/// Prints and saves the costs, and checks the cost law.
fn report_sizes(
    options: &Options,
    costs: &[SizeCost],
    shortfalls: &mut Vec<String>,
) -> Result<(), ExperimentError> {
    let columns = [
        "parts",
        "queries",
        "CPU µs a query",
        "mean of all rounds",
        "CPU µs a part",
        "median answer ms",
        "p99 answer ms",
    ];
    let mut table = Table::new(&columns);
    for cost in costs {
        table.add_row(vec![
            cost.parts.to_string(),
            cost.queries.to_string(),
            format!("{:.0}", cost.min_cpu_us),
            cost.cpu_us.text(0),
            format!("{:.1}", cost.us_per_part()),
            format!("{:.1}", cost.p50_ms),
            format!("{:.1}", cost.p99_ms),
        ]);
    }
    print!("{}", table.text());
    table.save(&options.out.join("data-path.csv"))?;
    let name = "CPU a part".to_string();
    let each = |cost: &SizeCost| {
        (
            cost.parts as f64,
            Estimate {
                mean: cost.us_per_part(),
                half_width: 0.0,
            },
        )
    };
    let line = Line {
        name,
        points: costs.iter().map(each).collect(),
    };
    let title = "CPU of the daemon a part";
    draw_chart(
        &options.out.join("data-path.svg"),
        title,
        ("parts of a query", "µs"),
        true,
        &[line],
    )?;

    let points: Vec<Point> = costs.iter().map(SizeCost::point).collect();
    let cost_law = CostLaw::of(&points, HOLDOUT);
    let cost_law = cost_law.ok_or_else(|| {
        ExperimentError::Other("cannot fit a cost law to the measured sizes".into())
    })?;
    print_law(&cost_law);
    shortfalls.extend(cost_law.shortfalls());
    Ok(())
}

fn print_law(cost_law: &CostLaw) {
    let terms: Vec<String> = cost_law
        .law
        .coefficients
        .iter()
        .map(|term| format!("{term:.3}"))
        .collect();
    println!(
        "law: CPU µs a query = {} (by rising power of parts), residual {:.1}%; {} parts kept out: predicted {:.0} µs, \
         measured {:.0} µs, error {:.1}%",
        terms.join(" + "),
        cost_law.law.residual * 100.0,
        cost_law.holdout.size,
        cost_law.law.at(cost_law.holdout.size),
        cost_law.holdout.cost,
        cost_law.prediction_error * 100.0
    );
    println!(
        "CPU a part, largest query over smallest: {:.2}",
        cost_law.largest_over_smallest
    );
    println!(
        "CPU a part, largest query over the cheapest size: {:.2} (at most {MAX_COST_RATIO})",
        cost_law.largest_over_cheapest
    );
}

/// Measures clients at the planned rate of one mixer in an open loop and returns the row of the table.
fn measure_planned_rate(
    seed: u64,
    case: Case,
    shortfalls: &mut Vec<String>,
) -> Result<Vec<String>, ExperimentError> {
    let scenario = scenario(seed, case);
    let largest = SIZES.len() - 1;
    let mut rng = scenario.rng(31);
    let gaps = Exp::new(FLEET_QUERIES_PER_S / f64::from(MIXERS)).expect("the rate is above 0");
    let mut queries = Vec::new();
    let mut at = gaps.sample(&mut rng);
    while at < PLANNED_RUN_S {
        queries.push(query(&scenario, &mut rng, largest, at, PLANNED_PART_S));
        at += gaps.sample(&mut rng);
    }
    let rig = start(scenario, queries, "planned")?;
    let before = rig.daemon.usage()?;
    let load = load::run_open_loop(&rig.shared, vec![rig.daemon.address]);
    let after = rig.daemon.usage()?;
    let (timing, others): (Vec<_>, Vec<_>) = rule_violations(&rig.shared)
        .into_iter()
        .partition(|violation| is_timing_violation(violation));
    timing
        .iter()
        .for_each(|violation| println!("{}: {violation}", case.name));
    shortfalls.extend(others);
    let latency = &lock(&load.latency)[largest];
    let requests = lock(&load.tally).requests;
    let sent = requests[tally::TOTAL].max(1);
    let (_, attempts, _) = *lock(&rig.shared.work);
    let in_time = latency.count_between(0, (LATENCY_TARGET_S * 1e6) as u64);
    let ms = |quantile: f64| format!("{:.1}", latency.value_at_quantile(quantile) as f64 / 1000.0);
    Ok(vec![
        case.name.into(),
        sent.to_string(),
        format!("{:.4}", requests[tally::ANSWERED] as f64 / sent as f64),
        format!("{:.4}", in_time as f64 / sent as f64),
        ms(0.5),
        ms(0.99),
        format!(
            "{:.3}",
            attempts as f64 / (sent as usize * SIZES[largest].0) as f64
        ),
        format!("{:.2}", (after.cpu_s - before.cpu_s) / PLANNED_RUN_S),
        format!("{:.1}", after.resident_bytes as f64 / 1e6),
        format!(
            "{:.1}",
            lock(&load.lateness).value_at_quantile(0.99) as f64 / 1000.0
        ),
    ])
}

/// Returns a scenario in virtual time at the planned rate of one mixer, with 180 partitions that have `holders` leaf servers each.
pub(super) fn scenario_with_holders(seed: u64, holders: u32) -> Scenario {
    let base = scenario(seed, CLOSED_LOOP);
    let parts = SIZES[SIZES.len() - 1].0;
    let class = Class {
        share: 1.0,
        ..base.site.classes[SIZES.len() - 1].clone()
    };
    let layout = Layout::Sets(1, holders);
    let mut scenario = Scenario {
        leaf_servers: parts as u32 * holders,
        mixers: 1,
        seconds: VIRTUAL_RUN_S,
        site: Site {
            layout,
            has_consecutive_shards: true,
            classes: vec![class],
            ..base.site
        },
        is_ideal: true,
        ..base
    };
    scenario.load *= FLEET_QUERIES_PER_S / f64::from(MIXERS) / scenario.queries_per_s();
    scenario
}

/// Measures the CPU time of the core and the decision module by number of holders of a partition, in virtual time without sockets.
fn measure_holders(options: &Options, shortfalls: &mut Vec<String>) -> Result<(), ExperimentError> {
    let mut table = Table::new(&[
        "holders of a partition",
        "leaf servers",
        "queries",
        "CPU µs a query",
    ]);
    for holders in HOLDERS {
        let scenario = scenario_with_holders(options.seed, holders);
        let run = emulator::run(&scenario)?;
        shortfalls.extend(
            run.rules
                .violations
                .iter()
                .map(|violation| format!("violation: {violation}")),
        );
        table.add_row(vec![
            holders.to_string(),
            scenario.leaf_servers.to_string(),
            run.requests.to_string(),
            format!("{:.0}", run.cpu_s * 1e6 / run.requests.max(1) as f64),
        ]);
    }
    println!("core and module alone, queries of 180 parts at 163/s in virtual time:");
    print!("{}", table.text());
    table.save(&options.out.join("data-path-holders.csv"))?;
    Ok(())
}

/// Runs the experiment.
pub fn run(options: &Options) -> Verdict {
    let mut shortfalls = Vec::new();
    let costs = measure_sizes(options, &mut shortfalls)?;
    report_sizes(options, &costs, &mut shortfalls)?;
    if !options.quick {
        let columns = [
            "163 queries/s of 180 parts",
            "queries",
            "answered",
            "within 240 ms",
            "median ms",
            "p99 ms",
            "attempts a part",
            "cores",
            "memory MB",
            "load late p99 ms",
        ];
        let mut table = Table::new(&columns);
        for case in PLANNED_CASES {
            table.add_row(measure_planned_rate(options.seed, case, &mut shortfalls)?);
        }
        print!("{}", table.text());
        table.save(&options.out.join("data-path-planned.csv"))?;
        measure_holders(options, &mut shortfalls)?;
    }
    Ok((!shortfalls.is_empty()).then(|| shortfalls.join("; ")))
}
