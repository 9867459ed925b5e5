//! The data path: what a query costs the daemon in CPU, by the number of its parts, and its tail at the planned rate.
//!
//! One real daemon on loopback with 180 stand-in leaf servers. First one client asks queries of 4 to 180 parts in a
//! closed loop; a law is fitted to the cost with one size kept out. Then, in the full run, clients send 163 queries of
//! 180 parts a second in an open loop, with and without one slow server and hedged requests. Times are this machine's;
//! the verdict rests on the ratio of costs.

mod cost_law;

use super::{Failure, Options, Verdict};
use crate::daemon::{self, Daemon};
use crate::fit::Point;
use crate::load::{self, Load};
use crate::report::{chart, Estimate, Line, Table};
use crate::rules::RuleChecker;
use crate::site::{cardiff, Class, Fault, Layout, Part, Query, Scenario, Site};
use crate::standin::{self, lock, Shared};
use crate::{emulator, tally};
use cost_law::{CostLaw, MAX_COST_RATIO};
use rand::Rng;
use rand_distr::{Distribution, Exp};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// Numbers of parts that are measured, and the names of their classes.
const SIZES: [(usize, &str); 5] = [
    (4, "parts-4"),
    (12, "parts-12"),
    (45, "parts-45"),
    (90, "parts-90"),
    (180, "parts-180"),
];
/// The size that the fit does not see and has to predict: its place in [`SIZES`].
const HOLDOUT: usize = 2;

/// Leaf servers. Each shard has two holders, next to each other.
const LEAF_SERVERS: u32 = 180;
/// Jobs that a leaf server runs at once: more than ever come, so that it answers after its own time alone.
const LEAF_CORES: usize = 64;
/// The fleet that the daemon is told of, and what it is asked together (queries a second).
const MIXERS: u32 = 860;
const FLEET_QUERIES_PER_S: f64 = 140_000.0;
/// An answer is in time within so long; clients wait longer (seconds).
const LATENCY_TARGET_S: f64 = 0.24;
const CLIENT_WAIT_S: f64 = 1.0;
/// Mean time of a part at a leaf server in the closed loop and at the planned rate (seconds), and its spread to both
/// sides as a share. In the closed loop parts are answered at once, so that the daemon is busy without a break: going to
/// sleep and waking up cost a small query more than its parts do, and would hide what a part costs.
const CLOSED_LOOP_PART_S: f64 = 0.0;
const PLANNED_PART_S: f64 = 0.02;
const PART_TIME_SPREAD: f64 = 0.5;

/// Queries of each size in a round, and rounds: in the full and in the quick run. One round more comes first and does
/// not count: it opens the connections.
const QUERIES_A_ROUND: usize = 50;
const ROUNDS: (usize, usize) = (16, 8);
/// Length of a run at the planned rate, and the time before it begins (seconds).
const PLANNED_S: f64 = 10.0;
const START_S: f64 = 1.0;
/// Leaf servers that hold a partition, in virtual time; the last is 5,220 servers for 180 partitions. Length of such a scenario
/// (seconds): the module's windows of 8 s have to fill.
const HOLDERS: [u32; 3] = [2, 8, PLANNED_HOLDERS];
pub(super) const PLANNED_HOLDERS: u32 = 29;
const VIRTUAL_S: f64 = 9.0;
/// A slow server takes so many times as long: far over the latency target.
const SLOW_FACTOR: f64 = 25.0;
/// Times in the rules are so much longer on sockets (seconds).
const SLACK_S: f64 = 0.05;

/// What a run is made of beside its queries.
#[derive(Clone, Copy, Debug)]
struct Case {
    name: &'static str,
    hedging: bool,
    slow_servers: u32,
}

/// Hedged requests are allowed, as on the operators' sites: that they are considered is a part of the cost.
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

/// The daemon with its leaf servers.
struct Rig {
    shared: Arc<Shared>,
    daemon: Daemon,
}

/// The cost of queries of one size. Rounds differ by what else the machine does: the least is the cost.
struct SizeCost {
    parts: usize,
    min_cpu_us: f64,  // of the daemon, a query, in the round that took least
    cpu_us: Estimate, // the same over all rounds
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

    fn part_us(&self) -> f64 {
        self.min_cpu_us / self.parts as f64
    }
}

/// The scenario of a run: one class of query for each number of parts.
fn scenario(seed: u64, case: Case) -> Scenario {
    let class = |(parts, name): (usize, &'static str)| Class {
        name,
        share: 1.0 / SIZES.len() as f64,
        parts: (parts, parts, 0.0),
        work_s: PLANNED_PART_S,
        latency_objective_s: LATENCY_TARGET_S,
        client_timeout_s: CLIENT_WAIT_S,
        min_share: 1.0,
        ..cardiff().classes.remove(0)
    };
    let plain = cardiff();
    let leaf_servers = crate::model::LeafServerSetup {
        cores: LEAF_CORES,
        slots: LEAF_CORES,
        ..plain.leaf_servers
    };
    let site = Site {
        zones: &["one"],
        layout: Layout::Ring(1, 2),
        classes: SIZES.map(class).to_vec(),
        attempts: (plain.attempts.0, case.hedging),
        retries: (0, plain.retries.1, false),
        leaf_servers,
        ..plain
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

/// A query of this class at this time; its parts take a mean of `part_s` each.
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
        timeout_s: CLIENT_WAIT_S,
        disconnects_after_s: f64::MAX,
        mixer: 0,
    }
}

/// Opens leaf servers and starts a daemon that knows them.
fn start(scenario: Scenario, queries: Vec<Query>, name: &str) -> Result<Rig, Failure> {
    let program = daemon::program()?;
    let shared = Arc::new(Shared {
        queries,
        start: Instant::now() + Duration::from_secs_f64(START_S),
        rules: Mutex::new(RuleChecker::new(&scenario, SLACK_S)),
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

/// What the judge found, in words. A hedged request that a leaf server reads after the final answer is no finding: on
/// sockets it may have been written before that answer, and only the order of reading is seen here.
fn broken_rules(shared: &Shared) -> Vec<String> {
    let mut rules = lock(&shared.rules);
    rules.finish();
    let undecided = |what: &&String| shared.scenario.site.attempts.1 && what.starts_with("ended: ");
    rules
        .violations
        .iter()
        .filter(|what| !undecided(what))
        .map(|what| format!("broken: {what}"))
        .collect()
}

/// Whether a finding is about time: at the planned rate, on a machine that others use too, it says that the daemon or
/// the machine was at its end, which the table shows. It is printed there and not judged.
fn is_about_time(finding: &str) -> bool {
    ["broken: time: ", "broken: lost: "]
        .iter()
        .any(|kind| finding.starts_with(kind))
}

/// One client in a closed loop: all sizes in turn, round after round.
fn measure_sizes(options: &Options, short: &mut Vec<String>) -> Result<Vec<SizeCost>, Failure> {
    let scenario = scenario(options.seed, CLOSED_LOOP);
    let rounds = 1 + if options.quick { ROUNDS.1 } else { ROUNDS.0 };
    let mut rng = scenario.rng(30);
    let mut queries = Vec::new();
    for block in 0..rounds * SIZES.len() {
        let class = block % SIZES.len();
        queries.extend(
            (0..QUERIES_A_ROUND)
                .map(|_| query(&scenario, &mut rng, class, 0.0, CLOSED_LOOP_PART_S)),
        );
    }
    let rig = start(scenario, queries, "sizes")?;
    std::thread::sleep(Duration::from_secs_f64(START_S));
    let mixer = vec![rig.daemon.address];
    Load::new(&rig.shared, mixer.clone()).run_closed_loop(0..SIZES.len() * QUERIES_A_ROUND);
    let load = Load::new(&rig.shared, mixer);
    let mut costs = vec![Vec::new(); SIZES.len()];
    for block in SIZES.len()..rounds * SIZES.len() {
        let before = rig.daemon.usage()?;
        load.run_closed_loop(block * QUERIES_A_ROUND..(block + 1) * QUERIES_A_ROUND);
        let spent_s = rig.daemon.usage()?.cpu_s - before.cpu_s;
        costs[block % SIZES.len()].push(spent_s * 1e6 / QUERIES_A_ROUND as f64);
    }
    let (asked, answered) = {
        let tally = lock(&load.tally);
        (
            tally.requests[tally::TOTAL],
            tally.requests[tally::ANSWERED],
        )
    };
    if answered < asked {
        short.push(format!(
            "{answered} of {asked} queries answered in the closed loop"
        ));
    }
    short.extend(broken_rules(&rig.shared));
    let (_, attempts, _) = *lock(&rig.shared.work);
    let parts: usize = rig
        .shared
        .queries
        .iter()
        .map(|query| query.parts.len())
        .sum();
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
        queries: costs.len() * QUERIES_A_ROUND,
    };
    Ok(costs.iter().enumerate().map(cost).collect())
}

/// Shows the costs, and what their law says.
fn judge_sizes(
    options: &Options,
    costs: &[SizeCost],
    short: &mut Vec<String>,
) -> Result<(), Failure> {
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
        table.row(vec![
            cost.parts.to_string(),
            cost.queries.to_string(),
            format!("{:.0}", cost.min_cpu_us),
            cost.cpu_us.text(0),
            format!("{:.1}", cost.part_us()),
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
                mean: cost.part_us(),
                half: 0.0,
            },
        )
    };
    let line = Line {
        name,
        points: costs.iter().map(each).collect(),
    };
    let title = "CPU of the daemon a part";
    chart(
        &options.out.join("data-path.svg"),
        title,
        ("parts of a query", "µs"),
        true,
        &[line],
    )?;

    let points: Vec<Point> = costs.iter().map(SizeCost::point).collect();
    let found = CostLaw::of(&points, HOLDOUT);
    let found = found.ok_or_else(|| Failure::Other("the sizes determine no law".into()))?;
    show_law(&found);
    short.extend(found.shortfalls());
    Ok(())
}

fn show_law(found: &CostLaw) {
    let terms: Vec<String> = found
        .law
        .coefficients
        .iter()
        .map(|term| format!("{term:.3}"))
        .collect();
    println!(
        "law: CPU µs a query = {} (by rising power of parts), residual {:.1}%; {} parts kept out: predicted {:.0} µs, \
         measured {:.0} µs, error {:.1}%",
        terms.join(" + "),
        found.law.residual * 100.0,
        found.holdout.size,
        found.law.at(found.holdout.size),
        found.holdout.cost,
        found.prediction_error * 100.0
    );
    println!(
        "CPU a part, largest query over smallest: {:.2}",
        found.largest_over_smallest
    );
    println!(
        "CPU a part, largest query over the cheapest size: {:.2} (at most {MAX_COST_RATIO})",
        found.largest_over_cheapest
    );
}

/// Clients at the planned rate of one mixer, in an open loop. Gives the row of the table.
fn measure_planned_rate(
    seed: u64,
    case: Case,
    short: &mut Vec<String>,
) -> Result<Vec<String>, Failure> {
    let scenario = scenario(seed, case);
    let largest = SIZES.len() - 1;
    let mut rng = scenario.rng(31);
    let gaps = Exp::new(FLEET_QUERIES_PER_S / f64::from(MIXERS)).expect("the rate is above 0");
    let mut queries = Vec::new();
    let mut at = gaps.sample(&mut rng);
    while at < PLANNED_S {
        queries.push(query(&scenario, &mut rng, largest, at, PLANNED_PART_S));
        at += gaps.sample(&mut rng);
    }
    let rig = start(scenario, queries, "planned")?;
    let before = rig.daemon.usage()?;
    let load = load::run_open_loop(&rig.shared, vec![rig.daemon.address]);
    let after = rig.daemon.usage()?;
    let (of_time, others): (Vec<_>, Vec<_>) = broken_rules(&rig.shared)
        .into_iter()
        .partition(|what| is_about_time(what));
    of_time
        .iter()
        .for_each(|what| println!("{}: {what}", case.name));
    short.extend(others);
    let latency = &lock(&load.latency)[largest];
    let tries = lock(&load.tally).requests;
    let asked = tries[tally::TOTAL].max(1);
    let (_, attempts, _) = *lock(&rig.shared.work);
    let in_time = latency.count_between(0, (LATENCY_TARGET_S * 1e6) as u64);
    let ms = |quantile: f64| format!("{:.1}", latency.value_at_quantile(quantile) as f64 / 1000.0);
    Ok(vec![
        case.name.into(),
        asked.to_string(),
        format!("{:.4}", tries[tally::ANSWERED] as f64 / asked as f64),
        format!("{:.4}", in_time as f64 / asked as f64),
        ms(0.5),
        ms(0.99),
        format!(
            "{:.3}",
            attempts as f64 / (asked as usize * SIZES[largest].0) as f64
        ),
        format!("{:.2}", (after.cpu_s - before.cpu_s) / PLANNED_S),
        format!("{:.1}", after.resident_bytes as f64 / 1e6),
        format!(
            "{:.1}",
            lock(&load.lateness).value_at_quantile(0.99) as f64 / 1000.0
        ),
    ])
}

/// A scenario in virtual time at the planned rate of one mixer: 180 partitions, each at so many leaf servers.
pub(super) fn scenario_with_holders(seed: u64, holders: u32) -> Scenario {
    let plain = scenario(seed, CLOSED_LOOP);
    let parts = SIZES[SIZES.len() - 1].0;
    let class = Class {
        share: 1.0,
        ..plain.site.classes[SIZES.len() - 1].clone()
    };
    let layout = Layout::Sets(1, holders);
    let mut scenario = Scenario {
        leaf_servers: parts as u32 * holders,
        mixers: 1,
        seconds: VIRTUAL_S,
        site: Site {
            layout,
            has_consecutive_shards: true,
            classes: vec![class],
            ..plain.site
        },
        is_ideal: true,
        ..plain
    };
    scenario.load *= FLEET_QUERIES_PER_S / f64::from(MIXERS) / scenario.queries_per_s();
    scenario
}

/// What choosing among more holders of each partition costs the core and its module, in virtual time without sockets.
fn measure_holders(options: &Options, short: &mut Vec<String>) -> Result<(), Failure> {
    let mut table = Table::new(&[
        "holders of a partition",
        "leaf servers",
        "queries",
        "CPU µs a query",
    ]);
    for holders in HOLDERS {
        let scenario = scenario_with_holders(options.seed, holders);
        let run = emulator::run(&scenario)?;
        short.extend(
            run.rules
                .violations
                .iter()
                .map(|what| format!("broken: {what}")),
        );
        table.row(vec![
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
    let mut short = Vec::new();
    let costs = measure_sizes(options, &mut short)?;
    judge_sizes(options, &costs, &mut short)?;
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
            table.row(measure_planned_rate(options.seed, case, &mut short)?);
        }
        print!("{}", table.text());
        table.save(&options.out.join("data-path-planned.csv"))?;
        measure_holders(options, &mut short)?;
    }
    Ok((!short.is_empty()).then(|| short.join("; ")))
}
