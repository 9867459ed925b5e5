//! A scenario: a deployment under load, with faults. All random draws depend only on the seed.

use super::{cardiff, Class, Site};
use crate::model::{LeafServerSetup, Pauses};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Fault in a scenario. "Some" leaf servers are a share of all that is drawn.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// All leaf servers are slower by this factor.
    Slow(f64),
    /// Some leaf servers are slower: share, factor.
    SomeSlow(f64, f64),
    /// Some leaf servers die at the beginning of the fault and restart with slow start at its end: share.
    Dead(f64),
    /// Some leaf servers send no answers: share.
    Silent(f64),
    /// Some leaf servers answer some parts with an immediate error: share of the servers, share of their parts.
    Fails(f64, f64),
    /// Some leaf servers drain, terminate at the end of the fault, and restart with slow start: share.
    Drain(f64),
    /// Some leaf servers pause periodically: share, length and period (seconds).
    Pauses(f64, f64, f64),
    /// A zone is lost, and if the flag is set, its mixers too. The leaf servers restart with slow start, the mixers with no state
    /// but their last endpoint list.
    ZoneLoss(u8, bool),
    /// Clients send more queries by this factor.
    Burst(f64),
    /// Connections to leaf servers stop carrying data in both directions but stay open: connections per second.
    SilentConnections(f64),
}

/// Deployment under load for a limited time, with faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of all random draws.
    pub seed: u64,
    /// Number of leaf servers.
    pub leaf_servers: u32,
    /// Number of mixers.
    pub mixers: u32,
    /// Length of the scenario (seconds).
    pub seconds: f64,
    /// Work of all queries if answered in full, as a share of the leaf servers' capacity.
    pub load: f64,
    /// Deployment that is run.
    pub site: Site,
    /// Share of the parts of the first class at which something matches; in other classes every part has a match.
    pub selectivity: f64,
    /// Work of a pre-check, as a share of the work of a full answer.
    pub pre_check_work: f64,
    /// True if leaf servers run pre-checks before other waiting jobs.
    pub pre_check_first: bool,
    /// Value of the mixer setting `phases` as JSON; `None` turns two-phase queries off.
    pub phases: Option<String>,
    /// Share of the leaf servers that support pre-checks.
    pub pre_check_share: f64,
    /// Faults, each with its beginning and end (seconds from the beginning of the scenario).
    pub faults: Vec<(f64, f64, Fault)>,
    /// Minimum and maximum delay of changes of the endpoint list (seconds).
    pub list_delay_s: (f64, f64),
    /// True if every part takes exactly the mean work of its class and leaf servers have unlimited cores.
    pub is_ideal: bool,
    /// Share of the clients that disconnect early.
    pub disconnecting_share: f64,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            seed: 1,
            leaf_servers: 14,
            mixers: 3,
            seconds: 40.0,
            load: 0.7,
            site: cardiff(),
            selectivity: 0.25,
            pre_check_work: 0.08,
            pre_check_first: true,
            phases: None,
            pre_check_share: 1.0,
            faults: Vec::new(),
            list_delay_s: (0.8, 3.0),
            is_ideal: false,
            disconnecting_share: 0.0,
        }
    }
}

impl Scenario {
    /// Returns the configuration of a leaf server, with the pauses drawn for it.
    pub fn leaf_server_setup(&self, leaf_server: u32) -> LeafServerSetup {
        let setup = self.site.leaf_servers;
        if self.is_ideal {
            return LeafServerSetup {
                cores: usize::MAX,
                ..setup
            };
        }
        let pauses = self.site.pauses.map(|(for_s, every_s)| {
            let mut rng = self.rng(500 + u64::from(leaf_server));
            let every_s = rng.random_range(every_s.0..=every_s.1);
            Pauses {
                period_s: every_s,
                duration_s: rng.random_range(for_s.0..=for_s.1),
                first_at: rng.random_range(0.0..every_s),
            }
        });
        LeafServerSetup { pauses, ..setup }
    }

    /// Returns the number of cells.
    pub fn cells(&self) -> u32 {
        self.site.cells(self.leaf_servers)
    }

    /// Returns the number of shards.
    pub fn shards(&self) -> u32 {
        self.cells() * self.site.shards_per_cell()
    }

    /// Returns the cell of a leaf server.
    pub fn cell(&self, leaf_server: u32) -> u32 {
        leaf_server % self.cells()
    }

    /// Returns the zone of a leaf server.
    pub fn zone(&self, leaf_server: u32) -> u8 {
        self.site.zone(leaf_server, self.cells())
    }

    /// Returns the zone of a mixer.
    pub fn mixer_zone(&self, mixer: u32) -> u8 {
        (mixer % self.site.zones.len() as u32) as u8
    }

    /// Returns one of the leaf servers that hold a shard.
    pub fn holder(&self, shard: u32) -> u32 {
        shard % self.cells()
    }

    /// Returns whether a leaf server holds a shard.
    pub fn holds(&self, leaf_server: u32, shard: u32) -> bool {
        let cells = self.cells();
        (self.cell(leaf_server) + cells - shard % cells) % cells < self.site.replication_factor()
    }

    /// Returns the minimum and maximum number of parts of a query of a class.
    pub(super) fn parts_of(&self, class: &Class) -> (usize, usize) {
        let share = (class.parts.2 * f64::from(self.shards())).round() as usize;
        (
            class.parts.0.max(share),
            class.parts.1.max(share).min(self.shards() as usize),
        )
    }

    /// Returns the fixed work of the calls for a query of `parts` parts (core seconds). If calls may have several parts, all parts
    /// for one cell are assumed to share a call.
    fn call_work_s(&self, parts: f64) -> f64 {
        let calls = if self.site.call.0 > 1 {
            parts.min(f64::from(self.cells()))
        } else {
            parts
        };
        calls * self.site.call.1
    }

    /// Returns the query rate (1/s) that results in the scenario's load.
    pub fn queries_per_s(&self) -> f64 {
        let work = |class: &Class| {
            let (min, max) = self.parts_of(class);
            let parts = (min + max) as f64 / 2.0;
            class.share * (class.work_s * parts + self.call_work_s(parts))
        };
        let each: f64 = self.site.classes.iter().map(work).sum();
        self.load * f64::from(self.leaf_servers) * self.site.leaf_servers.cores as f64 / each
    }

    /// Returns the random number generator for one purpose, which is independent of those for other purposes.
    pub fn rng(&self, purpose: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(purpose);
        rng
    }

    /// Draws a share of the leaf servers, such as those that support pre-checks or are affected by a fault.
    pub fn draw_leaf_servers(&self, purpose: u64, share: f64) -> Vec<u32> {
        let mut all: Vec<u32> = (0..self.leaf_servers).collect();
        all.shuffle(&mut self.rng(purpose));
        all.truncate((share * f64::from(self.leaf_servers)).round() as usize);
        all
    }
}
