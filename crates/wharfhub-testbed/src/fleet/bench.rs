//! One measured point: a fleet of some size, idle and under changes.
//!
//! This file owns what is measured and how long; it must never judge a figure.

use super::discovery::unix_us;
use super::processes::merged;
use super::propagation::Propagation;
use super::setup::MAX_MEMORY_BYTES;
use super::{
    Behavior, Catalog, Counters, Discovery, Fleet, FleetError, FleetReport, FleetSetup,
    ListedServer, MixerReport, MixerSettings, Phase, Published,
};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Zones of the fleet, as the settings of the testbed's deployment name them.
pub const ZONES: [&str; 2] = ["cardiff-bay", "newport-east"];
/// Version of the first list.
const FIRST_REVISION: u64 = 1;
/// All mixers have the first list within this time (seconds).
const MAX_START_S: f64 = 90.0;
/// All mixers have a change within this time (seconds).
pub const MAX_CHANGE_S: f64 = 60.0;

/// The size of a fleet and what is done to it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Hollow mixers.
    pub mixers: u32,
    /// Listed servers.
    pub servers: u32,
    /// Changes a second, of one server each.
    pub changes_per_s: f64,
    /// Changes in all.
    pub changes: u32,
    /// Whether a change waits until the one before it is in force everywhere, so that none are told together.
    pub is_sequential: bool,
    /// How long nothing changes (seconds).
    pub idle_s: f64,
    /// Shortest time between two rounds of a mixer (seconds).
    pub round_s: f64,
    /// The settings' longest time without asking (seconds).
    pub poll_within_s: f64,
    /// How many times longer latency targets are than in the deployment.
    pub target_factor: f64,
}

/// What was measured at one size. Figures of mixers are those of all together.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// What was done.
    pub load: Load,
    /// From the start until all mixers had the complete list (seconds).
    pub start_s: f64,
    /// Processor time of all mixers for that, without what passed idle (seconds).
    pub start_cpu_s: f64,
    /// What discovery counted meanwhile.
    pub start: Counters,
    /// Memory of all host processes (bytes).
    pub memory_bytes: f64,
    /// Processor time a second of all mixers while nothing changes (cores).
    pub idle_cores: f64,
    /// What discovery counted meanwhile, and for how long (seconds).
    pub idle: (Counters, f64),
    /// Processor time of all mixers for one answer with changes at each, without what passes idle (seconds). Where
    /// changes come faster than mixers take them, one answer brings several.
    pub change_cpu_s: f64,
    /// Processor time of discovery for one change (seconds).
    pub discovery_change_cpu_s: f64,
    /// What discovery counted under changes.
    pub change: Counters,
    /// How long changes came (seconds).
    pub change_s: f64,
    /// Until changes were in force.
    pub propagation: Propagation,
}

/// The servers of a catalog of that size.
pub fn servers(count: u32) -> Vec<ListedServer> {
    let zones = ZONES.map(String::from);
    (0..count)
        .map(|number| ListedServer::hollow(number, &zones, number))
        .collect()
}

/// The settings of such a fleet.
pub fn settings(load: &Load) -> MixerSettings {
    MixerSettings {
        replicas: load.mixers,
        cells: load.servers,
        round_s: load.round_s,
        poll_within_s: load.poll_within_s,
        target_factor: load.target_factor,
    }
}

/// The same server after its next step: it drains, and then it is back with a fresh start.
pub fn advance_phase(server: &ListedServer) -> ListedServer {
    match server.phase {
        Phase::Ready => ListedServer {
            phase: Phase::Terminating,
            ..server.clone()
        },
        _ => ListedServer {
            phase: Phase::Ready,
            started_ms: unix_us() / 1000,
            ..server.clone()
        },
    }
}

/// A fleet with its discovery.
pub struct Bench {
    /// The fleet; dropped before its discovery.
    pub fleet: Fleet,
    /// The discovery.
    pub discovery: Discovery,
    started: Instant,
}

impl Bench {
    /// Starts both.
    pub fn start(
        load: &Load,
        program: PathBuf,
        processes: u32,
        seed: u64,
    ) -> Result<Bench, FleetError> {
        let catalog = Catalog::new(FIRST_REVISION, servers(load.servers));
        let discovery = Discovery::start(catalog, 1, Behavior::default())?;
        let setup = FleetSetup {
            mixers: load.mixers,
            processes: processes.min(load.mixers),
            discovery: discovery.addresses.clone(),
            settings: settings(load),
            max_memory_bytes: MAX_MEMORY_BYTES,
            seed,
            program,
        };
        let started = Instant::now();
        Ok(Bench {
            fleet: Fleet::start(setup)?,
            discovery,
            started,
        })
    }

    /// Publishes changes of one server each, and waits until the last one is in force everywhere.
    fn make_changes(&mut self, load: &Load) -> Result<(Vec<Published>, FleetReport), FleetError> {
        let catalog = self.discovery.catalog();
        let mut servers: Vec<ListedServer> = catalog.servers().cloned().collect();
        let gap = Duration::from_secs_f64(1.0 / load.changes_per_s.max(1e-3));
        let begin = Instant::now();
        let mut published = Vec::new();
        let mut report = self.fleet.report()?;
        for number in 0..load.changes {
            if !load.is_sequential {
                std::thread::sleep(
                    (begin + gap * number).saturating_duration_since(Instant::now()),
                );
            }
            let index = (number as usize / 2 * 37) % servers.len();
            servers[index] = advance_phase(&servers[index]);
            let version = self.discovery.publish(vec![servers[index].clone()]);
            published.push(version);
            if load.is_sequential || number + 1 == load.changes {
                let in_force = self
                    .fleet
                    .await_revisions(&[version.revision], MAX_CHANGE_S)?;
                report = merged(report, in_force);
            }
        }
        Ok((published, report))
    }

    /// Measures a point. Other changes may follow.
    pub fn measure(&mut self, load: &Load) -> Result<Point, FleetError> {
        let nothing = Counters::default();
        let revision = self.discovery.catalog().revision();
        let first_lists = self.fleet.await_revisions(&[revision], MAX_START_S)?;
        let (start_s, start) = (
            self.started.elapsed().as_secs_f64(),
            self.discovery.counters(),
        );
        let started = merged(first_lists, self.fleet.report()?);
        let listed_s = seconds_since_first_lists(&started);

        let begin = Instant::now();
        std::thread::sleep(Duration::from_secs_f64(load.idle_s));
        let idled = self.fleet.report()?;
        let idle_s = begin.elapsed().as_secs_f64();
        let idle_cores = (idled.cpu_s() - started.cpu_s()) / idle_s;
        let idle = self.discovery.counters().since(&start);

        let (before, discovery_cpu_s) = (self.discovery.counters(), self.discovery.cpu_s());
        let begin = Instant::now();
        let (published, changed) = self.make_changes(load)?;
        let change_s = begin.elapsed().as_secs_f64();
        let change = self.discovery.counters().since(&before);
        let count = f64::from(load.changes.max(1));
        let answers = change.change_answers as f64 / f64::from(load.mixers.max(1));
        let mixers: Vec<&MixerReport> = changed.mixers.iter().collect();
        Ok(Point {
            load: *load,
            start_s,
            start_cpu_s: started.cpu_s() - idle_cores * listed_s,
            start: start.since(&nothing),
            memory_bytes: changed.resident_bytes as f64,
            idle_cores,
            idle: (idle, idle_s),
            change_cpu_s: (changed.cpu_s() - idled.cpu_s() - idle_cores * change_s)
                / answers.max(1.0),
            discovery_change_cpu_s: (self.discovery.cpu_s() - discovery_cpu_s) / count,
            change,
            change_s,
            propagation: Propagation::of(&published, &mixers),
        })
    }
}

/// How long ago mixers had their first list in force, on average (seconds).
fn seconds_since_first_lists(report: &FleetReport) -> f64 {
    let now_us = unix_us();
    let since_us = |mixer: &MixerReport| {
        mixer
            .applied
            .first()
            .map_or(0, |first| now_us.saturating_sub(first.at_us))
    };
    report.mixers.iter().map(since_us).sum::<u64>() as f64 / 1e6 / report.mixers.len().max(1) as f64
}
