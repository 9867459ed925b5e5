//! Measurement of a fleet of a given size: at the start, while idle, and under changes of the list.

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

/// Zone names of the fleet; the settings of the testbed's deployment use the same names.
pub const ZONES: [&str; 2] = ["cardiff-bay", "newport-east"];
/// Revision of the first list.
const FIRST_REVISION: u64 = 1;
/// Longest time until all mixers have applied the first list (seconds).
const MAX_START_S: f64 = 90.0;
/// Longest time until all mixers have applied a change (seconds).
pub const MAX_CHANGE_S: f64 = 60.0;

/// Size of a fleet and the changes that it receives.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// Number of hollow mixers.
    pub mixers: u32,
    /// Number of listed servers.
    pub servers: u32,
    /// Changes per second, of one server each.
    pub changes_per_s: f64,
    /// Total number of changes.
    pub changes: u32,
    /// Set if each change is published after all mixers have applied the previous one, so that no answer contains several.
    pub is_sequential: bool,
    /// Length of the idle period (seconds).
    pub idle_s: f64,
    /// Shortest interval between two control rounds of a mixer (seconds).
    pub round_s: f64,
    /// Longest time between two calls of a mixer to discovery (seconds).
    pub poll_within_s: f64,
    /// Factor by which latency targets are longer than in the deployment.
    pub target_factor: f64,
}

/// Measurement at one load. Figures of mixers are totals over all mixers.
#[derive(Clone, Copy, Debug)]
pub struct Point {
    /// Load of the measurement.
    pub load: Load,
    /// Time from the start until all mixers had applied the complete list (seconds).
    pub start_s: f64,
    /// CPU time of all mixers for the start, less the idle CPU time (seconds).
    pub start_cpu_s: f64,
    /// Traffic of discovery during the start.
    pub start: Counters,
    /// Resident memory of all host processes (bytes).
    pub memory_bytes: f64,
    /// CPU time per second of all mixers while the list does not change (cores).
    pub idle_cores: f64,
    /// Traffic of discovery during the idle period, and the length of that period (seconds).
    pub idle: (Counters, f64),
    /// CPU time of all mixers when each processes one answer with changes, less the idle CPU time (seconds). An answer contains
    /// several changes if they are published faster than mixers fetch them.
    pub change_cpu_s: f64,
    /// CPU time of discovery for one change (seconds).
    pub discovery_change_cpu_s: f64,
    /// Traffic of discovery while changes were published.
    pub change: Counters,
    /// Time from the first change until the last one was applied everywhere (seconds).
    pub change_s: f64,
    /// Times until the changes were applied.
    pub propagation: Propagation,
}

/// Returns the servers of a catalog of the given size.
pub fn servers(count: u32) -> Vec<ListedServer> {
    let zones = ZONES.map(String::from);
    (0..count)
        .map(|number| ListedServer::hollow(number, &zones, number))
        .collect()
}

/// Returns the settings of the mixers of a fleet.
pub fn settings(load: &Load) -> MixerSettings {
    MixerSettings {
        replicas: load.mixers,
        cells: load.servers,
        round_s: load.round_s,
        poll_within_s: load.poll_within_s,
        target_factor: load.target_factor,
    }
}

/// Returns a server after its next change: a ready server drains, and any other is ready again with a new start time.
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

/// Fleet with its discovery.
pub struct Bench {
    /// Fleet; declared first, so that it is dropped before its discovery.
    pub fleet: Fleet,
    /// Discovery of the fleet.
    pub discovery: Discovery,
    started: Instant,
}

impl Bench {
    /// Starts discovery and the fleet.
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

    /// Publishes changes of one server each and waits until all mixers have applied the last one.
    fn publish_changes(
        &mut self,
        load: &Load,
    ) -> Result<(Vec<Published>, FleetReport), FleetError> {
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
                let applied = self
                    .fleet
                    .await_revisions(&[version.revision], MAX_CHANGE_S)?;
                report = merged(report, applied);
            }
        }
        Ok((published, report))
    }

    /// Measures one point. The same fleet can be measured again with other changes.
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
        let (published, changed) = self.publish_changes(load)?;
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

/// Returns the average time since the mixers applied their first list (seconds).
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
