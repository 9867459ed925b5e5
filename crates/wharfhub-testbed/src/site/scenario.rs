//! A scenario: a deployment, its load, and what goes wrong.
//!
//! A seed fixes every draw.

use super::{cardiff, Class, Site};
use crate::model::{LeafServerSetup, Pauses};
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// What goes wrong in a scenario.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// All leaf servers are so many times slower together.
    Slow(f64),
    /// A share of them is so many times slower.
    SomeSlow(f64, f64),
    /// A share of them dies at the start of it and comes back cold at its end.
    Dead(f64),
    /// A share of them answers nothing.
    Silent(f64),
    /// A share of them fails so many of their parts at once.
    Fails(f64, f64),
    /// A share of them drains, ends, and comes back cold.
    Drain(f64),
    /// A share of them stands still for so long, so often (seconds).
    Pauses(f64, f64, f64),
    /// A machine room is lost, with its mixers or without; its leaf servers come back cold, its mixers knowing nothing.
    ZoneLoss(u8, bool),
    /// So many times as much is asked.
    Burst(f64),
    /// Connections to leaf servers fall silent in both directions, so many a second, though they stay open.
    SilentConnections(f64),
}

/// A deployment under load for some time, with faults.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// For every draw.
    pub seed: u64,
    /// Leaf servers.
    pub leaf_servers: u32,
    /// Mixers.
    pub mixers: u32,
    /// Its length (seconds).
    pub seconds: f64,
    /// What is asked, in shares of what the leaf servers can do in full.
    pub load: f64,
    /// The deployment.
    pub site: Site,
    /// Share of an area-search's parts at which something matches.
    pub selectivity: f64,
    /// Work of a word, in shares of that of a full answer.
    pub pre_check_work: f64,
    /// Whether leaf servers answer words before what waits.
    pub pre_check_first: bool,
    /// The operators' setting of phases, as JSON; none where they are off.
    pub phases: Option<String>,
    /// Share of the leaf servers that know phases.
    pub pre_check_share: f64,
    /// What goes wrong, from when to when (seconds of the scenario).
    pub faults: Vec<(f64, f64, Fault)>,
    /// The list tells changes so much later (seconds, at least and at most).
    pub lag_s: (f64, f64),
    /// Every part takes just its class's work, and leaf servers have cores without end.
    pub ideal: bool,
    /// Share of the clients that leave early.
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
            lag_s: (0.8, 3.0),
            ideal: false,
            disconnecting_share: 0.0,
        }
    }
}

impl Scenario {
    /// What a leaf server is made of.
    pub fn leaf_server_setup(&self, leaf_server: u32) -> LeafServerSetup {
        let setup = self.site.leaf_servers;
        if self.ideal {
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

    /// How many cells there are.
    pub fn cells(&self) -> u32 {
        self.site.cells(self.leaf_servers)
    }

    /// How many shards there are.
    pub fn shards(&self) -> u32 {
        self.cells() * self.site.shards_per_cell()
    }

    /// A leaf server's cell.
    pub fn cell(&self, leaf_server: u32) -> u32 {
        leaf_server % self.cells()
    }

    /// A leaf server's room.
    pub fn zone(&self, leaf_server: u32) -> u8 {
        self.site.zone(leaf_server, self.cells())
    }

    /// A mixer's room.
    pub fn mixer_zone(&self, mixer: u32) -> u8 {
        (mixer % self.site.zones.len() as u32) as u8
    }

    /// One of the leaf servers that hold a shard.
    pub fn holder(&self, shard: u32) -> u32 {
        shard % self.cells()
    }

    /// Whether a leaf server holds a shard.
    pub fn holds(&self, leaf_server: u32, shard: u32) -> bool {
        let cells = self.cells();
        (self.cell(leaf_server) + cells - shard % cells) % cells < self.site.replication_factor()
    }

    pub(super) fn parts_of(&self, class: &Class) -> (usize, usize) {
        let share = (class.parts.2 * f64::from(self.shards())).round() as usize;
        (
            class.parts.0.max(share),
            class.parts.1.max(share).min(self.shards() as usize),
        )
    }

    /// Work of a call beside its parts' (core seconds), for a query of so many parts: those of a cell share one.
    fn call_work_s(&self, parts: f64) -> f64 {
        let calls = if self.site.call.0 > 1 {
            parts.min(f64::from(self.cells()))
        } else {
            parts
        };
        calls * self.site.call.1
    }

    /// Queries a second, by the load.
    pub fn queries_per_s(&self) -> f64 {
        let work = |class: &Class| {
            let (min, max) = self.parts_of(class);
            let parts = (min + max) as f64 / 2.0;
            class.share * (class.work_s * parts + self.call_work_s(parts))
        };
        let each: f64 = self.site.classes.iter().map(work).sum();
        self.load * f64::from(self.leaf_servers) * self.site.leaf_servers.cores as f64 / each
    }

    /// The random numbers of one purpose.
    pub fn rng(&self, purpose: u64) -> ChaCha8Rng {
        let mut rng = ChaCha8Rng::seed_from_u64(self.seed);
        rng.set_stream(purpose);
        rng
    }

    /// Which leaf servers know phases, and which a fault concerns: a share of them, drawn.
    pub fn draw_leaf_servers(&self, purpose: u64, share: f64) -> Vec<u32> {
        let mut all: Vec<u32> = (0..self.leaf_servers).collect();
        all.shuffle(&mut self.rng(purpose));
        all.truncate((share * f64::from(self.leaf_servers)).round() as usize);
        all
    }
}
