//! The events of a year played on a fleet in two regions: how long until all is in force again, and what it costs.
//!
//! This file owns what each event does to servers, mixers and regions. It must never judge a figure.

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

/// Regions, and zones of all of them: a host process for each zone.
pub const REGIONS: usize = 2;
/// Zones of both regions together; zone `n` lies in region `n` modulo the regions.
pub const ZONES: u32 = 8;
/// List changes of an ordinary day: 1,500 of configuration, 1,600 machines that drain and come back, 37 that fail and
/// are replaced.
pub const DAY_CHANGES: f64 = 1_500.0 + 2.0 * 1_600.0 + 2.0 * 37.0;
/// Seconds of a day.
const DAY_S: f64 = 86_400.0;
/// The cells of servers that nobody connects to begin here: those before it are for leaf servers with queries.
const FIRST_CELL: u32 = 100;
/// Servers of a rack.
const RACK_SERVERS: usize = 40;
/// Changes that each region makes while they are apart.
const APART_CHANGES: usize = 20;
/// Batches of a rolling release, and the time from one to the next (seconds).
const RELEASE_BATCHES: usize = 20;
const RELEASE_STEP: Duration = Duration::from_millis(500);

/// What an event came to.
#[derive(Clone, Debug)]
pub struct EventOutcome {
    /// Which.
    pub name: &'static str,
    /// From its last change until all was in force at every mixer that runs (seconds).
    pub settled_s: f64,
    /// How long its versions took, where mixers ran throughout.
    pub propagation: Propagation,
    /// What discovery counted.
    pub counters: Counters,
    /// Mixers that ran at its end.
    pub mixers: usize,
    /// Mixers that started anew.
    pub mixers_started: u64,
    /// Whole lists that it needs at most: one for each mixer that started anew, and for each daemon beside the fleet.
    pub whole_lists_needed: u64,
}

impl EventOutcome {
    /// Bytes that one mixer got and sent on average.
    pub fn bytes_a_mixer(&self) -> f64 {
        self.counters.bytes() as f64 / self.mixers.max(1) as f64
    }
}

/// How an ordinary day is compressed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct CompressedDay {
    /// Changes that are played.
    pub changes: usize,
    /// How many a second.
    pub per_s: f64,
}

impl CompressedDay {
    /// How many times faster than on a day changes come.
    pub fn times_faster(&self) -> f64 {
        self.per_s / (DAY_CHANGES / DAY_S)
    }
}

/// A fleet in two regions.
pub struct EventBench {
    fleet: Fleet,
    regions: Regions,
    servers: Vec<ListedServer>,
    published: Vec<Vec<Published>>, // by region, in the event that is played
    last_change_us: u64,
}

impl EventBench {
    /// Starts discoveries and mixers, and waits until all have their list.
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

    /// Makes a change of these servers known in the region of the first of them.
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
        self.note(published);
    }

    fn note(&mut self, published: Vec<Option<Published>>) {
        self.last_change_us = unix_us();
        self.published
            .iter_mut()
            .zip(published)
            .for_each(|(all, one)| all.extend(one));
    }

    fn gone(server: &ListedServer) -> ListedServer {
        ListedServer {
            phase: Phase::Removed,
            ..server.clone()
        }
    }

    fn back(server: &ListedServer) -> ListedServer {
        advance_phase(&ListedServer {
            phase: Phase::Removed,
            ..server.clone()
        })
    }

    /// Plays an event, waits until its last change is in force everywhere, and says what came of it.
    fn play(
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
            settled_s: self.settled_s(&report, &revisions),
            propagation: self.propagation(&report),
            counters: self.regions.counters().since(&before),
            mixers: self.fleet.running(),
            mixers_started,
            whole_lists_needed: mixers_started,
        })
    }

    /// From the last change until the last mixer had the last version of its region in force (seconds).
    fn settled_s(&self, report: &FleetReport, revisions: &[u64]) -> f64 {
        let settled_us = |mixer: &MixerReport| {
            let revision = revisions[self.fleet.region(mixer.number)];
            let record = mixer
                .applied
                .iter()
                .find(|record| record.revision >= revision);
            record.map_or(0, |record| record.at_us.saturating_sub(self.last_change_us))
        };
        report.mixers.iter().map(settled_us).max().unwrap_or(0) as f64 / 1e6
    }

    /// Over both regions: the worse of each figure.
    fn propagation(&self, report: &FleetReport) -> Propagation {
        let of = |region: usize| {
            let is_there = |mixer: &&MixerReport| self.fleet.region(mixer.number) == region;
            let mixers: Vec<&MixerReport> = report.mixers.iter().filter(is_there).collect();
            Propagation::of(&self.published[region], &mixers)
        };
        (0..REGIONS)
            .map(of)
            .fold(Propagation::default(), Propagation::worse)
    }

    /// An ordinary day's changes, compressed: one server each, spread over all. Beside the fleet so many daemons may ask
    /// for their first list.
    pub fn ordinary_day(
        &mut self,
        scenario: CompressedDay,
        daemons: u64,
    ) -> Result<EventOutcome, FleetError> {
        let outcome = self.play("ordinary day", 0, |bench| {
            let (begin, gap) = (
                Instant::now(),
                Duration::from_secs_f64(1.0 / scenario.per_s),
            );
            for number in 0..scenario.changes {
                let at = begin + gap * number as u32;
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                let index = number / 2 * 37 % bench.servers.len();
                bench.change(&[index], advance_phase);
            }
            Ok(())
        })?;
        Ok(EventOutcome {
            whole_lists_needed: daemons,
            ..outcome
        })
    }

    /// Lists leaf servers that mixers with queries use, in cells that no other server holds.
    pub fn list_leaf_servers(&mut self, leaves: Vec<ListedServer>) -> Result<(), FleetError> {
        let published = self.regions.publish(0, leaves);
        self.note(published);
        self.fleet
            .await_revisions(&self.regions.revisions(), MAX_CHANGE_S)
            .map(drop)
    }

    /// Discovery's address in the first region.
    pub fn discovery_address(&self) -> std::net::SocketAddr {
        self.regions.addresses()[0]
    }

    /// A rack is lost, and comes back.
    pub fn rack(&mut self) -> Result<[EventOutcome; 2], FleetError> {
        let zone = 1;
        let of_zone = (0..self.servers.len()).filter(|index| Self::zone_of(*index) == zone);
        let rack: Vec<usize> = of_zone.take(RACK_SERVERS).collect();
        Ok([
            self.play("rack lost", 0, |bench| {
                bench.change(&rack, Self::gone);
                Ok(())
            })?,
            self.play("rack back", 0, |bench| {
                bench.change(&rack, Self::back);
                Ok(())
            })?,
        ])
    }

    /// A zone is lost, all its mixers and servers at once, and comes back.
    pub fn zone(&mut self) -> Result<[EventOutcome; 2], FleetError> {
        let zone = 2;
        let indices: Vec<usize> = (0..self.servers.len())
            .filter(|index| Self::zone_of(*index) == zone)
            .collect();
        let all = self.fleet.running();
        let lost = self.play("zone lost", 0, |bench| {
            bench.fleet.kill(|index| index == zone);
            bench.change(&indices, Self::gone);
            Ok(())
        })?;
        let started = (all - self.fleet.running()) as u64;
        let back = self.play("zone back", started, |bench| {
            bench.fleet.start_missing(|index| index == zone)?;
            bench.change(&indices, Self::back);
            Ok(())
        })?;
        Ok([lost, back])
    }

    /// The regions are apart, each changes servers of its own, and they meet again.
    pub fn regions_apart(&mut self) -> Result<EventOutcome, FleetError> {
        self.play("regions together again", 0, |bench| {
            bench.regions.partition();
            for number in 0..APART_CHANGES {
                for region in 0..REGIONS {
                    let index = (ZONES as usize * number + region) % bench.servers.len();
                    bench.change(&[index], advance_phase);
                }
            }
            let published = bench.regions.heal();
            bench.note(published);
            Ok(())
        })
    }

    /// All mixers are killed and started again at once.
    pub fn restart_all_mixers(&mut self) -> Result<EventOutcome, FleetError> {
        let started = self.fleet.running() as u64;
        self.play("all mixers restarted", started, |bench| {
            bench.fleet.kill(|_| true);
            bench.last_change_us = unix_us();
            bench.fleet.start_missing(|_| true)
        })
    }

    /// All servers are released in batches: a batch drains while the one before it is back.
    pub fn rolling_release(&mut self) -> Result<EventOutcome, FleetError> {
        self.play("rolling release", 0, |bench| {
            let indices: Vec<usize> = (0..bench.servers.len()).collect();
            let batches: Vec<&[usize]> = indices
                .chunks(indices.len().div_ceil(RELEASE_BATCHES))
                .collect();
            let begin = Instant::now();
            for step in 0..=batches.len() {
                let at = begin + RELEASE_STEP * step as u32;
                std::thread::sleep(at.saturating_duration_since(Instant::now()));
                if let Some(batch) = batches.get(step) {
                    let drained = |server: &ListedServer| ListedServer {
                        phase: Phase::Terminating,
                        ..server.clone()
                    };
                    bench.change(batch, drained);
                }
                if let Some(batch) = step.checked_sub(1).and_then(|before| batches.get(before)) {
                    bench.change(batch, Self::back);
                }
            }
            Ok(())
        })
    }
}
