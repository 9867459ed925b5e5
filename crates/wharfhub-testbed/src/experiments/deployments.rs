//! Deployments experiment: the service of both deployments at two speeds, without faults and with each kind of fault that the
//! operators report.
//!
//! The scenarios do not depend on the daemon, so that two versions of it can be compared scenario by scenario in
//! `deployments-days.csv`. The only criterion is that no rule is broken.

use super::{parallel, ExperimentError, Options, Verdict};
use crate::report::{draw_chart, Estimate, Line, Table};
use crate::site::{cardiff, szeged, Fault, Layout, Scenario, Site};
use crate::{emulator, tally};

/// Number of scenarios of a cell and their length (seconds), in the full and in the quick run.
const SCENARIOS_PER_CELL: (u64, u64) = (20, 4);
const SCENARIO_S: (f64, f64) = (45.0, 30.0);
/// Largest number of violations that are printed.
const MAX_PRINTED: usize = 20;
/// Factor by which the fast variants of the deployments are faster.
const FAST_PROFILE_FACTOR: f64 = 4.0;

/// Kind of scenario.
pub struct ScenarioKind {
    /// Name in the tables.
    pub name: &'static str,
    /// Load as a share of the capacity of the leaf servers.
    pub load: f64,
    /// Faults with their start and end, as shares of the scenario's length.
    pub faults: Vec<(f64, f64, Fault)>,
    /// Set if the scenario has more leaf servers than usual.
    pub has_large_fleet: bool,
}

/// Returns the kinds of scenario that the operators report.
pub fn kinds() -> Vec<ScenarioKind> {
    let kind = |name, load, faults| ScenarioKind {
        name,
        load,
        faults,
        has_large_fleet: false,
    };
    let large_fleet = |name, load, faults| ScenarioKind {
        name,
        load,
        faults,
        has_large_fleet: true,
    };
    vec![
        kind("quiet", 0.35, vec![]),
        kind(
            "some slow",
            0.55,
            vec![(0.3, 0.8, Fault::SomeSlow(0.18, 6.0))],
        ),
        kind(
            "pauses",
            0.55,
            vec![(0.3, 0.8, Fault::Pauses(0.4, 0.4, 3.0))],
        ),
        kind("all slow", 0.55, vec![(0.4, 0.65, Fault::Slow(1.7))]),
        kind("burst", 0.55, vec![(0.4, 0.6, Fault::Burst(1.8))]),
        kind("silent", 0.5, vec![(0.3, 0.7, Fault::Silent(0.12))]),
        kind(
            "fails fast",
            0.5,
            vec![(0.25, 0.75, Fault::Fails(0.12, 0.7))],
        ),
        kind(
            "links fall silent",
            0.5,
            vec![(0.1, 0.9, Fault::SilentConnections(0.15))],
        ),
        kind("dead, back cold", 0.5, vec![(0.25, 0.55, Fault::Dead(0.2))]),
        kind(
            "overload",
            0.95,
            vec![(0.3, 0.8, Fault::SomeSlow(0.15, 4.0))],
        ),
        large_fleet("room lost", 0.5, vec![(0.3, 0.7, Fault::ZoneLoss(0, true))]),
        large_fleet(
            "room lost, all slow",
            0.5,
            vec![
                (0.4, 0.7, Fault::ZoneLoss(0, true)),
                (0.4, 0.52, Fault::Slow(1.6)),
                (0.4, 0.7, Fault::Pauses(0.25, 0.3, 3.0)),
            ],
        ),
    ]
}

/// Returns a scenario of a kind for a deployment.
pub fn scenario(site: &Site, kind: &ScenarioKind, seed: u64, seconds: f64) -> Scenario {
    let faults = kind
        .faults
        .iter()
        .map(|(from, to, fault)| (from * seconds, to * seconds, fault.clone()))
        .collect();
    let leaf_servers = if kind.has_large_fleet { 18 } else { 14 };
    let mut site = site.clone();
    if let Layout::Sets(_, endpoints) = &mut site.layout {
        *endpoints = 2 + (seed % 2) as u32; // two or three leaf servers hold a shard
    }
    // The seeds cover all queue capacities that the operators report.
    site.leaf_servers.queue_capacity = 14 + (seed as usize * 7) % 29;
    Scenario {
        seed,
        leaf_servers,
        mixers: 3,
        seconds,
        load: kind.load,
        site,
        faults,
        list_delay_s: (1.5, 4.9),
        ..Scenario::default()
    }
}

struct RunMetrics {
    service: f64,
    in_time: f64,
    late: f64,
    unanswered: f64,
    attempts: f64,
    waste: f64,
    handshakes: u64,
    violations: Vec<String>,
}

fn run_scenario(scenario: &Scenario) -> Result<RunMetrics, ExperimentError> {
    let run = emulator::run(scenario)?;
    let sent = run.tally.requests[tally::TOTAL].max(1) as f64;
    let (late, unanswered) = run.tally.late_and_unanswered_shares();
    Ok(RunMetrics {
        service: run.tally.service(),
        in_time: run.tally.in_time_share(),
        late,
        unanswered,
        attempts: run.tally.attempts_sent as f64 / sent,
        waste: run.tally.waste(),
        handshakes: run.handshakes,
        violations: run.rules.violations,
    })
}

/// Scenario of a cell.
struct Job {
    site: &'static str,
    kind: &'static str,
    scenario: Scenario,
}

/// Runs the experiment.
pub fn run(options: &Options) -> Verdict {
    let (scenarios, seconds) = if options.quick {
        (SCENARIOS_PER_CELL.1, SCENARIO_S.1)
    } else {
        (SCENARIOS_PER_CELL.0, SCENARIO_S.0)
    };
    let kinds = kinds();
    let jobs = jobs(&kinds, options.seed..options.seed + scenarios, seconds);
    let results = parallel(&jobs, |job| run_scenario(&job.scenario))
        .into_iter()
        .collect::<Result<Vec<_>, _>>()?;
    let mut report = Report::new();
    let cells = jobs
        .chunks(scenarios as usize)
        .zip(results.chunks(scenarios as usize));
    for (number, (jobs, played)) in cells.enumerate() {
        report.add_cell(number % kinds.len(), jobs, played);
    }
    report.finish(options)
}

/// Returns the scenarios of all cells, cell by cell, for both deployments at both speeds.
fn jobs(kinds: &[ScenarioKind], seeds: std::ops::Range<u64>, seconds: f64) -> Vec<Job> {
    let fast = [
        cardiff().with_faster_service("cardiff x4", FAST_PROFILE_FACTOR),
        szeged().with_faster_service("szeged x4", FAST_PROFILE_FACTOR),
    ];
    let sites: Vec<Site> = [cardiff(), szeged()].into_iter().chain(fast).collect();
    let mut jobs = Vec::new();
    for site in &sites {
        for kind in kinds {
            jobs.extend(seeds.clone().map(|seed| Job {
                site: site.name,
                kind: kind.name,
                scenario: scenario(site, kind, seed, seconds),
            }));
        }
    }
    jobs
}

/// Tables, chart lines and rule violations of all cells.
struct Report {
    cells: Table,
    scenarios: Table,
    lines: Vec<Line>,
    violations: Vec<String>,
}

impl Report {
    fn new() -> Report {
        Report {
            cells: Table::new(&[
                "site",
                "day",
                "service",
                "earned",
                "late",
                "unanswered",
                "attempts a query",
                "waste",
                "handshakes",
            ]),
            scenarios: Table::new(&[
                "site",
                "day",
                "seed",
                "service",
                "earned",
                "late",
                "unanswered",
                "attempts a query",
            ]),
            lines: Vec::new(),
            violations: Vec::new(),
        }
    }

    /// Adds a cell; `kind_number` is the index of its kind.
    fn add_cell(&mut self, kind_number: usize, jobs: &[Job], played: &[RunMetrics]) {
        let Job { site, kind, .. } = &jobs[0];
        let of = |value: &dyn Fn(&RunMetrics) -> f64| {
            Estimate::of(&played.iter().map(value).collect::<Vec<_>>())
        };
        let service = of(&|scenario| scenario.service);
        self.cells.add_row(vec![
            site.to_string(),
            kind.to_string(),
            service.text(3),
            of(&|scenario| scenario.in_time).text(3),
            of(&|scenario| scenario.late).text(3),
            of(&|scenario| scenario.unanswered).text(3),
            of(&|scenario| scenario.attempts).text(2),
            of(&|scenario| scenario.waste).text(3),
            of(&|scenario| scenario.handshakes as f64).text(0),
        ]);
        for (job, played) in jobs.iter().zip(played) {
            self.add_scenario(job, played);
        }
        if kind_number == 0 {
            self.lines.push(Line {
                name: site.to_string(),
                points: Vec::new(),
            });
        }
        if let Some(line) = self.lines.last_mut() {
            line.points.push(((kind_number + 1) as f64, service));
        }
    }

    fn add_scenario(&mut self, job: &Job, played: &RunMetrics) {
        let Job { site, kind, .. } = job;
        let seed = job.scenario.seed;
        self.scenarios.add_row(vec![
            site.to_string(),
            kind.to_string(),
            seed.to_string(),
            format!("{:.4}", played.service),
            format!("{:.4}", played.in_time),
            format!("{:.4}", played.late),
            format!("{:.4}", played.unanswered),
            format!("{:.3}", played.attempts),
        ]);
        let violations = played.violations.iter();
        self.violations.extend(
            violations.map(|violation| format!("{site}, {kind}, seed {seed}: {violation}")),
        );
    }

    /// Prints and saves the results.
    fn finish(self, options: &Options) -> Verdict {
        print!("{}", self.cells.text());
        self.cells.save(&options.out.join("deployments.csv"))?;
        self.scenarios
            .save(&options.out.join("deployments-days.csv"))?;
        draw_chart(
            &options.out.join("deployments.svg"),
            "Service by kind of day, both deployments",
            ("kind of day", "service"),
            false,
            &self.lines,
        )?;
        for violation in self.violations.iter().take(MAX_PRINTED) {
            println!("violation: {violation}");
        }
        Ok((!self.violations.is_empty())
            .then(|| format!("{} rule violations", self.violations.len())))
    }
}
