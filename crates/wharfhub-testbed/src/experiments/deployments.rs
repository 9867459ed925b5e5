//! Both kinds of deployment side by side, each at two paces: what is served in quiet scenarios and with each fault of their accounts.
//!
//! Every cell plays the same scenarios whatever the daemon does, so that two versions of it can be set against each other scenario by
//! scenario: the scenarios stand in `deployments-days.csv`. The verdict rests on the rules alone.

use super::{parallel, Failure, Options, Verdict};
use crate::report::{chart, Estimate, Line, Table};
use crate::site::{cardiff, szeged, Fault, Layout, Scenario, Site};
use crate::{emulator, tally};

/// Scenarios of a cell, and their length (seconds).
const DAYS: (u64, u64) = (20, 4);
const DAY_S: (f64, f64) = (45.0, 30.0);
/// Broken rules that are printed, at most.
const MAX_PRINTED: usize = 20;
/// How much faster the same profile is on the real-socket scenarios.
const FASTER: f64 = 4.0;

/// One kind of scenario: its name, its load, and what goes wrong, in shares of the scenario's length.
pub struct Kind {
    /// Its name.
    pub name: &'static str,
    /// What is asked, in shares of what the leaf servers can do.
    pub load: f64,
    /// What goes wrong, from when to when.
    pub faults: Vec<(f64, f64, Fault)>,
    /// Whether a larger fleet plays it.
    pub big: bool,
}

/// The kinds of scenario that the operators' accounts tell of.
pub fn kinds() -> Vec<Kind> {
    let kind = |name, load, faults| Kind {
        name,
        load,
        faults,
        big: false,
    };
    let big = |name, load, faults| Kind {
        name,
        load,
        faults,
        big: true,
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
        big("room lost", 0.5, vec![(0.3, 0.7, Fault::ZoneLoss(0, true))]),
        big(
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

/// A scenario of a kind at a site.
pub fn scenario(site: &Site, kind: &Kind, seed: u64, seconds: f64) -> Scenario {
    let faults = kind
        .faults
        .iter()
        .map(|(from, to, what)| (from * seconds, to * seconds, what.clone()))
        .collect();
    let leaf_servers = if kind.big { 18 } else { 14 };
    let mut site = site.clone();
    if let Layout::Sets(_, endpoints) = &mut site.layout {
        *endpoints = 2 + (seed % 2) as u32; // two or three leaf servers hold a shard
    }
    // Waiting rooms of all sizes that the accounts allow.
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

struct Played {
    service: f64,
    in_time: f64,
    late: f64,
    unanswered: f64,
    attempts: f64,
    waste: f64,
    handshakes: u64,
    broken: Vec<String>,
}

fn play(scenario: &Scenario) -> Result<Played, Failure> {
    let run = emulator::run(scenario)?;
    let asked = run.tally.requests[tally::TOTAL].max(1) as f64;
    let (late, unanswered) = run.tally.late_and_unanswered_shares();
    Ok(Played {
        service: run.tally.service(),
        in_time: run.tally.in_time_share(),
        late,
        unanswered,
        attempts: run.tally.attempts_sent as f64 / asked,
        waste: run.tally.waste(),
        handshakes: run.handshakes,
        broken: run.rules.violations,
    })
}

/// One scenario of a cell.
struct Job {
    site: &'static str,
    kind: &'static str,
    scenario: Scenario,
}

/// Plays all cells, and says how many rules were broken.
pub fn run(options: &Options) -> Verdict {
    let (scenarios, seconds) = if options.quick {
        (DAYS.1, DAY_S.1)
    } else {
        (DAYS.0, DAY_S.0)
    };
    let kinds = kinds();
    let jobs = jobs(&kinds, options.seed..options.seed + scenarios, seconds);
    let played = parallel(&jobs, |job| play(&job.scenario))
        .into_iter()
        .collect::<Result<Vec<_>, _>>()?;
    let mut report = Report::new();
    let cells = jobs
        .chunks(scenarios as usize)
        .zip(played.chunks(scenarios as usize));
    for (number, (jobs, played)) in cells.enumerate() {
        report.add_cell(number % kinds.len(), jobs, played);
    }
    report.finish(options)
}

/// The scenarios of all cells, cell by cell, at both sites and both paces.
fn jobs(kinds: &[Kind], seeds: std::ops::Range<u64>, seconds: f64) -> Vec<Job> {
    let swift = [
        cardiff().with_faster_service("cardiff x4", FASTER),
        szeged().with_faster_service("szeged x4", FASTER),
    ];
    let sites: Vec<Site> = [cardiff(), szeged()].into_iter().chain(swift).collect();
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

/// What was played, as tables, lines of a chart, and the rules that were broken.
struct Report {
    cells: Table,
    scenarios: Table,
    lines: Vec<Line>,
    broken: Vec<String>,
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
            broken: Vec::new(),
        }
    }

    /// Adds a cell, which is the one of that kind (by its place) at its site.
    fn add_cell(&mut self, kind_number: usize, jobs: &[Job], played: &[Played]) {
        let Job { site, kind, .. } = &jobs[0];
        let of = |value: &dyn Fn(&Played) -> f64| {
            Estimate::of(&played.iter().map(value).collect::<Vec<_>>())
        };
        let service = of(&|scenario| scenario.service);
        self.cells.row(vec![
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

    fn add_scenario(&mut self, job: &Job, played: &Played) {
        let Job { site, kind, .. } = job;
        let seed = job.scenario.seed;
        self.scenarios.row(vec![
            site.to_string(),
            kind.to_string(),
            seed.to_string(),
            format!("{:.4}", played.service),
            format!("{:.4}", played.in_time),
            format!("{:.4}", played.late),
            format!("{:.4}", played.unanswered),
            format!("{:.3}", played.attempts),
        ]);
        let broken = played.broken.iter();
        self.broken
            .extend(broken.map(|what| format!("{site}, {kind}, seed {seed}: {what}")));
    }

    /// Prints and saves everything.
    fn finish(self, options: &Options) -> Verdict {
        print!("{}", self.cells.text());
        self.cells.save(&options.out.join("deployments.csv"))?;
        self.scenarios
            .save(&options.out.join("deployments-days.csv"))?;
        chart(
            &options.out.join("deployments.svg"),
            "Service by kind of day, both deployments",
            ("kind of day", "service"),
            false,
            &self.lines,
        )?;
        for what in self.broken.iter().take(MAX_PRINTED) {
            println!("broken: {what}");
        }
        Ok((!self.broken.is_empty()).then(|| format!("{} rules broken", self.broken.len())))
    }
}
