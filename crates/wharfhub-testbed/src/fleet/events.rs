//! Operational events of a year, simulated on a fleet in two regions: the time until all mixers have applied the changes, and
//! the traffic.

use super::bench::{advance_phase, Load, MAX_CHANGE_S};
use super::discovery::unix_us;
use super::processes::merged;
use super::propagation::Propagation;
use super::regions::Regions;
use super::setup::MAX_MEMORY_BYTES;
use super::{
    Behavior, Counters, Fleet, FleetError, FleetReport, FleetSetup, ListedServer, MixerReport,
};
use super::{MixerSettings, Phase, Published};
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Number of regions.
pub const REGIONS: usize = 2;
/// Number of zones in both regions; zone `n` lies in region `n` modulo [`REGIONS`]. Each zone has one host process.
pub const ZONES: u32 = 8;
/// List changes of an ordinary day: 1,500 configuration changes, 1,600 machines that drain and return, and 37 machines that fail
/// and are replaced.
pub const DAY_CHANGES: f64 = 1_500.0 + 2.0 * 1_600.0 + 2.0 * 37.0;
const DAY_S: f64 = 86_400.0;
/// First cell of the servers that no mixer connects to; the cells before it are for leaf servers that serve queries.
const FIRST_CELL: u32 = 100;
const RACK_SERVERS: usize = 40;
/// Changes that each region makes during a network partition.
const CHANGES_DURING_PARTITION: usize = 20;
/// Number of batches of a rolling release, and the interval between them.
const RELEASE_BATCHES: usize = 20;
const RELEASE_INTERVAL: Duration = Duration::from_millis(500);

/// Result of an event.
#[derive(Clone, Debug)]
pub struct EventOutcome {
    /// Name of the event.
    pub name: &'static str,
    /// Time from the last change until every running mixer had applied the latest revision of its region (seconds).
    pub convergence_s: f64,
    /// Times until the mixers that run at the end had applied the event's revisions.
    pub propagation: Propagation,
    /// Traffic of all discoveries during the event.
    pub counters: Counters,
    /// Number of mixers that run at the end of the event.
    pub mixers: usize,
    /// Number of mixers that were started during the event.
    pub mixers_started: u64,
    /// Largest number of complete lists that the event needs: one for each started mixer or daemon.
    pub max_complete_lists: u64,
}

impl EventOutcome {
    /// Returns the average number of bytes that a mixer received and sent.
    pub fn bytes_per_mixer(&self) -> f64 {
        self.counters.bytes() as f64 / self.mixers.max(1) as f64
    }
}

/// Ordinary day at a higher rate of changes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompressedDay {
    /// Total number of changes.
    pub changes: usize,
    /// Rate of the changes (per second).
    pub changes_per_s: f64,
}

impl CompressedDay {
    /// Returns the factor by which changes come faster than on a real day.
    pub fn speedup(&self) -> f64 {
        self.changes_per_s / (DAY_CHANGES / DAY_S)
    }
}

/// Fleet in two regions on which events are simulated.
pub struct EventBench {
    fleet: Fleet,
    regions: Regions,
    servers: Vec<ListedServer>,
    published: Vec<Vec<Published>>, // by region, in the current event
    last_change_us: u64,
}

impl EventBench {
    /// Starts discoveries and mixers, and waits until all mixers have applied the first list.
    pub fn start(load: &Load, program: PathBuf, seed: u64) -> Result<EventBench, FleetError> {
        let zones: Vec<String> = (0..ZONES).map(|zone| format!("zone-{zone}")).collect();
        let servers: Vec<ListedServer> = (0..load.servers)
            .map(|number| ListedServer::hollow(number, &zones, FIRST_CELL + number))
            .collect();
        let regions = Regions::start(REGIONS, &servers, Behavior::default())?;
        let settings = MixerSettings {
            replicas: load.mixers,
            cells: FIRST_CELL + load.servers,
            round_s: load.round_s,
            poll_within_s: load.poll_within_s,
            target_factor: load.target_factor,
        };
        let discovery = regions.addresses();
        let (mixers, processes) = (load.mixers, ZONES);
        let mut fleet = Fleet::start(FleetSetup {
            mixers,
            processes,
            discovery,
            settings,
            max_memory_bytes: MAX_MEMORY_BYTES,
            seed,
            program,
        })?;
        fleet.await_revisions(&regions.revisions(), MAX_CHANGE_S)?;
        let published = vec![Vec::new(); REGIONS];
        Ok(EventBench {
            fleet,
            regions,
            servers,
            published,
            last_change_us: unix_us(),
        })
    }

    fn zone_of(server: usize) -> usize {
        server % ZONES as usize
    }

    /// Changes the given servers and publishes the change in the region of the first one.
    fn change(&mut self, indices: &[usize], change: impl Fn(&ListedServer) -> ListedServer) {
        let Some(first) = indices.first() else { return };
        let region = Self::zone_of(*first) % REGIONS;
        let changes: Vec<ListedServer> = indices
            .iter()
            .map(|index| change(&self.servers[*index]))
            .collect();
        indices
            .iter()
            .zip(&changes)
            .for_each(|(index, server)| self.servers[*index] = server.clone());
        let published = self.regions.publish(region, changes);
        self.record_published(published);
    }

    fn record_published(&mut self, published: Vec<Option<Published>>) {
        self.last_change_us = unix_us();
        self.published
            .iter_mut()
            .zip(published)
            .for_each(|(all, one)| all.extend(one));
    }

    fn removed(server: &ListedServer) -> ListedServer {
        ListedServer {
            phase: Phase::Removed,
            ..server.clone()
        }
    }

    fn restarted(server: &ListedServer) -> ListedServer {
        advance_phase(&ListedServer {
            phase: Phase::Removed,
            ..server.clone()
        })
    }

    /// Runs an event, waits until all mixers have applied its last change, and returns the result.
    fn run_event(
        &mut self,
        name: &'static str,
        mixers_started: u64,
        event: impl FnOnce(&mut EventBench) -> Result<(), FleetError>,
    ) -> Result<EventOutcome, FleetError> {
        let mut report = self.fleet.report()?;
        report
            .mixers
            .iter_mut()
            .for_each(|mixer| mixer.applied.clear());
        let before = self.regions.counters();
        self.published.iter_mut().for_each(Vec::clear);
        self.last_change_us = unix_us();
        event(self)?;
        let revisions = self.regions.revisions();
        let report = merged(
            report,
            self.fleet.await_revisions(&revisions, MAX_CHANGE_S)?,
        );
        Ok(EventOutcome {
            name,
            convergence_s: self.convergence_s(&report, &revisions),
            propagation: self.propagation(&report),
            counters: self.regions.counters().since(&before),
            mixers: self.fleet.running(),
            mixers_started,
            max_complete_lists: mixers_started,
        })
    }

    /// Returns the time from the last change until the last mixer had applied the latest revision of its region (seconds).
    fn convergence_s(&self, report: &FleetReport, revisions: &[u64]) -> f64 {
        let convergence_us = |mixer: &MixerReport| {
            let revision = revisions[self.fleet.region(mixer.number)];
            let record = mixer
                .applied
                .iter()
                .find(|record| record.revision >= revision);
            record.map_or(0, |record| record.at_us.saturating_sub(self.last_change_us))
        };
        report.mixers.iter().map(convergence_us).max().unwrap_or(0) as f64 / 1e6
    }

    /// Returns the propagation times of the event's revisions over both regions.
    fn propagation(&self, report: &FleetReport) -> Propagation {
        let of = |region: usize| {
            let is_in_region = |mixer: &&MixerReport| self.fleet.region(mixer.number) == region;
            let mixers: Vec<&MixerReport> = report.mixers.iter().filter(is_in_region).collect();
            Propagation::of(&self.published[region], &mixers)
        };
        (0..REGIONS)
            .map(of)
            .fold(Propagation::default(), Propagation::worse)
    }

    /// Publishes the changes of an ordinary day at a higher rate: one server each, spread over all servers. `daemons` is the
    /// number of daemons outside the fleet that may call for their first list meanwhile.
    pub fn ordinary_day(
        &mut self,
        day: CompressedDay,
        daemons: u64,
    ) -> Result<EventOutcome, FleetError> {
        let outcome = self.run_event("ordinary day", 0, |bench| {
            let (begin, gap) = (
                Instant::now(),
                Duration::from_secs_f64(1.0 / day.changes_per_s),
            );
            for number in 0..day.changes {
                let at = begin + gap * number as u32;
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                let index = number / 2 * 37 % bench.servers.len();
                bench.change(&[index], advance_phase);
            }
            Ok(())
        })?;
        Ok(EventOutcome {
            max_complete_lists: daemons,
            ..outcome
        })
    }

    /// Publishes leaf servers for mixers that serve queries. They are in cells without other servers.
    pub fn publish_leaf_servers(&mut self, leaves: Vec<ListedServer>) -> Result<(), FleetError> {
        let published = self.regions.publish(0, leaves);
        self.record_published(published);
        self.fleet
            .await_revisions(&self.regions.revisions(), MAX_CHANGE_S)
            .map(drop)
    }

    /// Returns the address of discovery in the first region.
    pub fn discovery_address(&self) -> std::net::SocketAddr {
        self.regions.addresses()[0]
    }

    /// Removes all servers of a rack, then restores them.
    pub fn lose_and_restore_rack(&mut self) -> Result<[EventOutcome; 2], FleetError> {
        let zone = 1;
        let of_zone = (0..self.servers.len()).filter(|index| Self::zone_of(*index) == zone);
        let rack: Vec<usize> = of_zone.take(RACK_SERVERS).collect();
        Ok([
            self.run_event("rack lost", 0, |bench| {
                bench.change(&rack, Self::removed);
                Ok(())
            })?,
            self.run_event("rack back", 0, |bench| {
                bench.change(&rack, Self::restarted);
                Ok(())
            })?,
        ])
    }

    /// Removes all servers of a zone and kills its mixers, then restores them.
    pub fn lose_and_restore_zone(&mut self) -> Result<[EventOutcome; 2], FleetError> {
        let zone = 2;
        let indices: Vec<usize> = (0..self.servers.len())
            .filter(|index| Self::zone_of(*index) == zone)
            .collect();
        let all = self.fleet.running();
        let lost = self.run_event("zone lost", 0, |bench| {
            bench.fleet.kill(|index| index == zone);
            bench.change(&indices, Self::removed);
            Ok(())
        })?;
        let started = (all - self.fleet.running()) as u64;
        let back = self.run_event("zone back", started, |bench| {
            bench.fleet.start_missing(|index| index == zone)?;
            bench.change(&indices, Self::restarted);
            Ok(())
        })?;
        Ok([lost, back])
    }

    /// Partitions the regions, changes servers in each of them, and heals the partition.
    pub fn region_partition(&mut self) -> Result<EventOutcome, FleetError> {
        self.run_event("regions together again", 0, |bench| {
            bench.regions.partition();
            for number in 0..CHANGES_DURING_PARTITION {
                for region in 0..REGIONS {
                    let index = (ZONES as usize * number + region) % bench.servers.len();
                    bench.change(&[index], advance_phase);
                }
            }
            let published = bench.regions.heal();
            bench.record_published(published);
            Ok(())
        })
    }

    /// Kills all mixers and starts them again at once.
    pub fn restart_all_mixers(&mut self) -> Result<EventOutcome, FleetError> {
        let started = self.fleet.running() as u64;
        self.run_event("all mixers restarted", started, |bench| {
            bench.fleet.kill(|_| true);
            bench.last_change_us = unix_us();
            bench.fleet.start_missing(|_| true)
        })
    }

    /// Restarts all servers in batches: a batch starts to drain when the previous one returns.
    pub fn rolling_release(&mut self) -> Result<EventOutcome, FleetError> {
        self.run_event("rolling release", 0, |bench| {
            let indices: Vec<usize> = (0..bench.servers.len()).collect();
            let batches: Vec<&[usize]> = indices
                .chunks(indices.len().div_ceil(RELEASE_BATCHES))
                .collect();
            let begin = Instant::now();
            for step in 0..=batches.len() {
                let at = begin + RELEASE_INTERVAL * step as u32;
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                if let Some(batch) = batches.get(step) {
                    let drained = |server: &ListedServer| ListedServer {
                        phase: Phase::Terminating,
                        ..server.clone()
                    };
                    bench.change(batch, drained);
                }
                if let Some(batch) = step.checked_sub(1).and_then(|before| batches.get(before)) {
                    bench.change(batch, Self::restarted);
                }
            }
            Ok(())
        })
    }
}
