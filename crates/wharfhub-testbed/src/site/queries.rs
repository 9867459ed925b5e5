//! The queries of a scenario's clients, all of which are drawn in advance, independently of answers.

use super::{Class, Fault, Scenario};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Gamma, Zipf};

/// Coefficient of variation of the work of parts.
const WORK_CV: f64 = 0.4;
/// Number of distinct route keys.
const KEYS: f64 = 3000.0;
/// Exponent of the Zipf distribution of keys.
const KEY_SKEW: f64 = 0.9;
/// Minimum and maximum timeout of a client, as a share of its class's longest.
const MIN_WAIT_SHARE: f64 = 0.6;
const MAX_WAIT_SHARE: f64 = 1.0;
/// Minimum and maximum time after which a client that disconnects early does so (seconds).
const MIN_LEAVING_S: f64 = 0.01;
const MAX_LEAVING_S: f64 = 0.6;

/// Part of a query, with its actual work and result.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Shard of the part.
    pub shard: u32,
    /// Share of the query's answer.
    pub weight: f64,
    /// Work of a full answer (core seconds).
    pub work_s: f64,
    /// True if anything in the shard matches the query.
    pub matches: bool,
}

/// Query of a client, including its retries.
#[derive(Clone, Debug)]
pub struct Query {
    /// Time at which the query is first sent (seconds from the beginning of the scenario).
    pub at: f64,
    /// Index of the class.
    pub class: usize,
    /// Index of the tenant.
    pub tenant: usize,
    /// Route key.
    pub key: u64,
    /// Parts of the query.
    pub parts: Vec<Part>,
    /// Time for which the client waits, over all retries (seconds).
    pub timeout_s: f64,
    /// Time after which the client disconnects from a request that has no answer yet (seconds); `f64::MAX` if never.
    pub disconnects_after_s: f64,
    /// Index of the first mixer that the query is sent to.
    pub mixer: usize,
}

impl Query {
    /// Returns the work of full answers for all parts (core seconds).
    pub fn work_s(&self) -> f64 {
        self.parts.iter().map(|part| part.work_s).sum()
    }
}

/// Distributions of the gaps between a scenario's queries, of the route keys and of the work of parts.
struct Distributions {
    gaps: Exp<f64>,
    keys: Zipf<f64>,
    work: Gamma<f64>,
}

impl Distributions {
    fn of(scenario: &Scenario) -> Distributions {
        let variance = WORK_CV * WORK_CV;
        Distributions {
            gaps: Exp::new(scenario.queries_per_s()).expect("load should be above 0"),
            keys: Zipf::new(KEYS, KEY_SKEW).expect("Zipf parameters should be valid"),
            work: Gamma::new(1.0 / variance, variance).expect("gamma parameters should be valid"),
        }
    }
}

/// Returns the index of the share into which a draw from 0 to 1 falls, or `None` if rounding puts the draw beyond the last share.
fn index_by_share(mut draw: f64, mut shares: impl Iterator<Item = f64>) -> Option<usize> {
    shares.position(|share| {
        draw -= share;
        draw < 0.0
    })
}

impl Scenario {
    /// Returns all queries in order of time. They don't depend on the mixers' settings, so that runs can be compared.
    pub fn queries(&self) -> Vec<Query> {
        let mut rng = self.rng(1);
        let distributions = Distributions::of(self);
        let mut at = 0.0;
        let mut queries = Vec::new();
        loop {
            at += distributions.gaps.sample(&mut rng) / self.burst_at(at);
            if at >= self.seconds {
                return queries;
            }
            queries.push(self.draw_query(at, &distributions, &mut rng));
        }
    }

    /// Returns the factor by which clients send more queries than usual at this time.
    fn burst_at(&self, at: f64) -> f64 {
        let burst = |(from, to, fault): &(f64, f64, Fault)| match fault {
            Fault::Burst(factor) if (*from..*to).contains(&at) => Some(*factor),
            _ => None,
        };
        self.faults.iter().find_map(burst).unwrap_or(1.0)
    }

    fn draw_query(&self, at: f64, distributions: &Distributions, rng: &mut ChaCha8Rng) -> Query {
        let classes = &self.site.classes;
        let class = index_by_share(rng.random(), classes.iter().map(|class| class.share))
            .unwrap_or(classes.len() - 1);
        let tenant = index_by_share(
            rng.random(),
            self.site.tenants.iter().map(|(_, share)| *share),
        )
        .unwrap_or(0);
        let key = distributions.keys.sample(rng) as u64;
        let (min, max) = self.parts_of(&classes[class]);
        let count = rng.random_range(min..=max);
        let shards = self.shards_of_key(key, class, count);
        let parts = shards
            .into_iter()
            .map(|shard| self.draw_part(shard, class, count, distributions, rng))
            .collect();
        let wait_share = rng.random_range(MIN_WAIT_SHARE..=MAX_WAIT_SHARE);
        let is_leaving = rng.random::<f64>() < self.disconnecting_share;
        let disconnects_after_s = if is_leaving {
            rng.random_range(MIN_LEAVING_S..MAX_LEAVING_S)
        } else {
            f64::MAX
        };
        let mixer = rng.random_range(0..self.mixers) as usize;
        Query {
            at,
            class,
            tenant,
            key,
            parts,
            timeout_s: classes[class].client_timeout_s * wait_share,
            disconnects_after_s,
            mixer,
        }
    }

    /// Returns the shards of a query, which are consecutive if the deployment says so. Queries with the same key, class and number
    /// of parts address the same shards.
    fn shards_of_key(&self, key: u64, class: usize, count: usize) -> Vec<usize> {
        let mut by_key = ChaCha8Rng::seed_from_u64(key * 31 + class as u64);
        let all = self.shards() as usize;
        if self.site.has_consecutive_shards {
            let first = by_key.random_range(0..all);
            (0..count).map(|step| (first + step) % all).collect()
        } else {
            rand::seq::index::sample(&mut by_key, all, count).into_vec()
        }
    }

    fn draw_part(
        &self,
        shard: usize,
        class: usize,
        count: usize,
        distributions: &Distributions,
        rng: &mut ChaCha8Rng,
    ) -> Part {
        let classes: &[Class] = &self.site.classes;
        let spread = if self.is_ideal {
            1.0
        } else {
            distributions.work.sample(rng)
        };
        Part {
            shard: shard as u32,
            weight: 1.0 / count as f64,
            work_s: classes[class].work_s * spread,
            matches: class > 0 || rng.random::<f64>() < self.selectivity,
        }
    }
}
