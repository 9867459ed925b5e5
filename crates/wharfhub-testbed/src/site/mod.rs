//! Deployments and scenarios: classes, leaf servers, mixers, what goes wrong, and the queries of clients.
//!
//! This module owns the figures of the operators' deployments, the draw of a scenario from a seed, and the settings in the form that the
//! daemon's own decoder reads. It must never know how a scenario is played.

mod profiles;
mod queries;
mod scenario;
mod settings_json;

use crate::model::LeafServerSetup;
pub use profiles::{cardiff, szeged};
pub use queries::{Part, Query};
pub use scenario::{Fault, Scenario};

/// One class of query.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: &'static str,
    /// Its share of the queries.
    pub share: f64,
    /// Parts of a query, at least and at most; and as a share of all shards, if that is more.
    pub parts: (usize, usize, f64),
    /// Mean work of a part (seconds).
    pub work_s: f64,
    /// An answer within this time earns all (seconds).
    pub latency_objective_s: f64,
    /// A client's total wait (seconds).
    pub client_timeout_s: f64,
    /// What a late answer earns.
    pub late_weight: f64,
    /// Its worth.
    pub priority_weight: f64,
    /// Least share for an answer in part.
    pub min_share: f64,
    /// `retryable` or `dedup`.
    pub effect: &'static str,
    /// How long repeats are dropped (seconds).
    pub dedup_window_s: f64,
}

impl Class {
    /// Whether it is safe to repeat.
    pub fn is_retryable(&self) -> bool {
        self.effect == "retryable"
    }
}

/// How shards lie on leaf servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Layout {
    /// Each leaf server is a cell, at which so many shards begin; a shard is held by so many cells in a row.
    Ring(u32, u32),
    /// The leaf servers form sets, each a cell with so many shards; a set has so many leaf servers, in rooms of their own.
    Sets(u32, u32),
}

/// How service is counted.
#[derive(Clone, Copy, Debug)]
pub struct ScoringRule {
    /// Weights of the whole scenario, its worst 10 s, the worst class and the worst tenant.
    pub weights: [f64; 4],
    /// Points taken off where all fail after the latency objective only, and where as much work is wasted as was asked for.
    pub late_fail: f64,
    /// The second of these.
    pub waste: f64,
    /// Whether worth counts in proportion to a query's work.
    pub by_work: bool,
}

/// A deployment.
#[derive(Clone, Debug)]
pub struct Site {
    /// Its name.
    pub name: &'static str,
    /// Its machine rooms.
    pub zones: &'static [&'static str],
    /// One way between two rooms (seconds, at least and at most).
    pub inter_zone_delay_s: (f64, f64),
    /// How shards lie.
    pub layout: Layout,
    /// Whether a query's shards are neighbours; otherwise they go by its key.
    pub has_consecutive_shards: bool,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants, with their shares.
    pub tenants: &'static [(&'static str, f64)],
    /// What traffic beyond a share is worth.
    pub over_quota_weight: f64,
    /// How service is counted.
    pub goal: ScoringRule,
    /// Whether queries carry a guess at their parts' work.
    pub has_cost_hints: bool,
    /// Parts of a call at most, and its work beside theirs (seconds).
    pub call: (u32, f64),
    /// Attempts of one part, and whether two may be out at once.
    pub attempts: (u32, bool),
    /// A client's tries beyond the first, its wait before one where it was told none (seconds), and whether it marks them.
    pub retries: (u32, (f64, f64), bool),
    /// Nothing new so long after being told of a drain (seconds).
    pub drain_grace_s: f64,
    /// A leaf server closes what stood idle for so long (seconds).
    pub idle_timeout_s: f64,
    /// Work of a handshake at a leaf server (core seconds).
    pub handshake_work_s: f64,
    /// What its leaf servers are made of, without their pauses.
    pub leaf_servers: LeafServerSetup,
    /// Leaf servers pause for so long, so often (seconds, at least and at most each).
    pub pauses: Option<((f64, f64), (f64, f64))>,
}

impl Site {
    /// The same deployment with service times so many times shorter: work, latency objectives and waits of clients shrink, and as many more queries come.
    /// Rooms, lists, pauses and cold starts keep their time.
    pub fn with_faster_service(self, name: &'static str, times: f64) -> Site {
        let faster = |class: Class| Class {
            work_s: class.work_s / times,
            latency_objective_s: class.latency_objective_s / times,
            client_timeout_s: class.client_timeout_s / times,
            dedup_window_s: class.dedup_window_s / times,
            ..class
        };
        let classes = self.classes.into_iter().map(faster).collect();
        let (parts, work_s) = self.call;
        Site {
            name,
            classes,
            call: (parts, work_s / times),
            ..self
        }
    }

    /// How many cells so many leaf servers form.
    pub fn cells(&self, leaf_servers: u32) -> u32 {
        match self.layout {
            Layout::Ring(..) => leaf_servers,
            Layout::Sets(_, per_set) => (leaf_servers / per_set).max(1),
        }
    }

    /// Cells in a row that hold a shard.
    pub fn replication_factor(&self) -> u32 {
        match self.layout {
            Layout::Ring(_, replication_factor) => replication_factor,
            Layout::Sets(..) => 1,
        }
    }

    /// Shards that begin at a cell.
    fn shards_per_cell(&self) -> u32 {
        match self.layout {
            Layout::Ring(shards, _) | Layout::Sets(shards, _) => shards,
        }
    }

    /// The room of a leaf server or a mixer; members of a set stand in different ones.
    pub fn zone(&self, number: u32, cells: u32) -> u8 {
        let zones = self.zones.len() as u32;
        match self.layout {
            Layout::Ring(..) => (number % zones) as u8,
            Layout::Sets(..) => ((number / cells + number % cells) % zones) as u8,
        }
    }
}
