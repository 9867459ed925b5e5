//! Deployments and scenarios: the parameters of the operators' deployments, faults, the clients' queries drawn from a seed, and the
//! mixer settings as the daemon reads them.
//!
//! A scenario is independent of how it is run (in virtual time or on sockets).

mod profiles;
mod queries;
mod scenario;
mod settings_json;

use crate::model::LeafServerSetup;
pub use profiles::{cardiff, szeged};
pub use queries::{Part, Query};
pub use scenario::{Fault, Scenario};

/// Class of queries.
#[derive(Clone, Debug)]
pub struct Class {
    /// Name of the class.
    pub name: &'static str,
    /// Share of all queries.
    pub share: f64,
    /// Minimum and maximum number of parts of a query, and a share of all shards that raises both if it is more.
    pub parts: (usize, usize, f64),
    /// Mean work of a part (core seconds).
    pub work_s: f64,
    /// Latency up to which an answer has its full worth (seconds).
    pub latency_objective_s: f64,
    /// Longest time for which a client waits, over all retries (seconds).
    pub client_timeout_s: f64,
    /// Worth of a late answer, as a share of that of a timely one.
    pub late_weight: f64,
    /// Worth of an answer relative to other classes.
    pub priority_weight: f64,
    /// Minimum share of the parts, by weight, for a partial answer.
    pub min_share: f64,
    /// Effect of executing a query twice: `retryable` (none) or `dedup` (leaf servers discard duplicates).
    pub effect: &'static str,
    /// Time for which leaf servers discard duplicates (seconds).
    pub dedup_window_s: f64,
}

impl Class {
    /// Returns whether queries may be executed more than once.
    pub fn is_retryable(&self) -> bool {
        self.effect == "retryable"
    }
}

/// Placement of shards on leaf servers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Layout {
    /// Each leaf server is a cell of its own. Parameters: shards that begin at a cell, and consecutive cells that hold a shard.
    Ring(u32, u32),
    /// The leaf servers form replica sets, each of which is a cell. Parameters: shards per set, and leaf servers per set, which are
    /// in different zones.
    Sets(u32, u32),
}

/// Parameters of the service score of a run.
#[derive(Clone, Copy, Debug)]
pub struct ScoringRule {
    /// Weights of the whole scenario, its worst 10 s, the worst class and the worst tenant in the score.
    pub weights: [f64; 4],
    /// Deduction if all queries fail only after the latency objective.
    pub late_fail: f64,
    /// Deduction if as much work is wasted as was requested.
    pub waste: f64,
    /// True if the worth of a query is proportional to its work.
    pub by_work: bool,
}

/// Deployment of mixers and leaf servers, with its clients.
#[derive(Clone, Debug)]
pub struct Site {
    /// Name of the deployment.
    pub name: &'static str,
    /// Names of the zones.
    pub zones: &'static [&'static str],
    /// Minimum and maximum one-way network delay between two zones (seconds).
    pub inter_zone_delay_s: (f64, f64),
    /// Placement of shards.
    pub layout: Layout,
    /// True if the shards of a query are consecutive. Otherwise they are a random selection, which depends only on the key, the
    /// class and the number of parts.
    pub has_consecutive_shards: bool,
    /// Classes of queries.
    pub classes: Vec<Class>,
    /// Tenants, with their shares of the queries.
    pub tenants: &'static [(&'static str, f64)],
    /// Worth of a tenant's traffic above its quota, relative to that within the quota.
    pub over_quota_weight: f64,
    /// Parameters of the service score.
    pub scoring: ScoringRule,
    /// True if queries contain estimates of the work of their parts.
    pub has_cost_hints: bool,
    /// Maximum number of parts of a call, and the fixed work of a call in addition to that of its parts (core seconds).
    pub call: (u32, f64),
    /// Maximum number of attempts of a part, and whether two of them may be in flight at once (hedged requests).
    pub attempts: (u32, bool),
    /// Maximum number of retries of a client, the range of its backoff if the mixer gave no retry time (seconds), and whether
    /// retries are marked as such.
    pub retries: (u32, (f64, f64), bool),
    /// Time after the notification of a drain within which a mixer has to stop sending to the leaf server (seconds).
    pub drain_grace_s: f64,
    /// Time after which a leaf server closes an idle connection (seconds).
    pub idle_timeout_s: f64,
    /// Work of a handshake at a leaf server (core seconds).
    pub handshake_work_s: f64,
    /// Configuration of the leaf servers, without their pauses.
    pub leaf_servers: LeafServerSetup,
    /// Pauses of the leaf servers: range of the length and range of the period (seconds); each server draws one value of each.
    pub pauses: Option<((f64, f64), (f64, f64))>,
}

impl Site {
    /// Returns the deployment under a new name with service times divided by `factor`: the work, latency objectives, client
    /// timeouts and deduplication windows become shorter, so that the same load means more queries. Network delays, list delays,
    /// client backoff, pauses and slow starts are unchanged.
    pub fn with_faster_service(self, name: &'static str, factor: f64) -> Site {
        let faster = |class: Class| Class {
            work_s: class.work_s / factor,
            latency_objective_s: class.latency_objective_s / factor,
            client_timeout_s: class.client_timeout_s / factor,
            dedup_window_s: class.dedup_window_s / factor,
            ..class
        };
        let classes = self.classes.into_iter().map(faster).collect();
        let (parts, work_s) = self.call;
        Site {
            name,
            classes,
            call: (parts, work_s / factor),
            ..self
        }
    }

    /// Returns the number of cells that this many leaf servers form.
    pub fn cells(&self, leaf_servers: u32) -> u32 {
        match self.layout {
            Layout::Ring(..) => leaf_servers,
            Layout::Sets(_, per_set) => (leaf_servers / per_set).max(1),
        }
    }

    /// Returns the number of consecutive cells that hold a shard.
    pub fn replication_factor(&self) -> u32 {
        match self.layout {
            Layout::Ring(_, replication_factor) => replication_factor,
            Layout::Sets(..) => 1,
        }
    }

    /// Returns the number of shards whose first holder is a given cell.
    fn shards_per_cell(&self) -> u32 {
        match self.layout {
            Layout::Ring(shards, _) | Layout::Sets(shards, _) => shards,
        }
    }

    /// Returns the zone of a leaf server, given the number of cells; the members of a replica set are in different zones.
    pub fn zone(&self, number: u32, cells: u32) -> u8 {
        let zones = self.zones.len() as u32;
        match self.layout {
            Layout::Ring(..) => (number % zones) as u8,
            Layout::Sets(..) => ((number / cells + number % cells) % zones) as u8,
        }
    }
}
