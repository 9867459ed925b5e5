//! The queries of a scenario's clients, drawn ahead: nothing here waits for an answer.

use super::{Class, Fault, Scenario};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Exp, Gamma, Zipf};

/// Spread of work among parts, as a share of its mean.
const WORK_CV: f64 = 0.4;
/// Distinct route keys.
const KEYS: f64 = 3000.0;
/// Exponent of Zipf's law: how much more popular the first keys are.
const KEY_SKEW: f64 = 0.9;
/// Shares of a class's time to give up that clients wait: at least, and at most.
const MIN_WAIT_SHARE: f64 = 0.6;
const MAX_WAIT_SHARE: f64 = 1.0;
/// Clients that leave early do so after this time (seconds): at least, and at most.
const MIN_LEAVING_S: f64 = 0.01;
const MAX_LEAVING_S: f64 = 0.6;

/// A part of a query, as it really is.
#[derive(Clone, Copy, Debug)]
pub struct Part {
    /// Its shard.
    pub shard: u32,
    /// Its share of the answer.
    pub weight: f64,
    /// What a full answer costs (core seconds).
    pub work_s: f64,
    /// Whether anything there matches.
    pub matches: bool,
}

/// A client's query over all its tries.
#[derive(Clone, Debug)]
pub struct Query {
    /// When it is first asked (seconds of the scenario).
    pub at: f64,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Its key.
    pub key: u64,
    /// Its parts.
    pub parts: Vec<Part>,
    /// How long the client waits in all (seconds).
    pub timeout_s: f64,
    /// The client leaves after this time, whatever comes (seconds).
    pub disconnects_after_s: f64,
    /// Which mixer it starts at.
    pub mixer: usize,
}

impl Query {
    /// Work of all its parts in full (core seconds).
    pub fn work_s(&self) -> f64 {
        self.parts.iter().map(|part| part.work_s).sum()
    }
}

/// The distributions that a scenario's queries are drawn from.
struct Distributions {
    gaps: Exp<f64>,
    keys: Zipf<f64>,
    work: Gamma<f64>,
}

impl Distributions {
    fn of(scenario: &Scenario) -> Distributions {
        let variance = WORK_CV * WORK_CV;
        Distributions {
            gaps: Exp::new(scenario.queries_per_s()).expect("a scenario has a load above 0"),
            keys: Zipf::new(KEYS, KEY_SKEW).expect("there are keys"),
            work: Gamma::new(1.0 / variance, variance).expect("work has a spread"),
        }
    }
}

/// The index of the share that a draw from 0 to 1 falls into; none where rounding puts it beyond the last.
fn index_by_share(mut draw: f64, mut shares: impl Iterator<Item = f64>) -> Option<usize> {
    shares.position(|share| {
        draw -= share;
        draw < 0.0
    })
}

impl Scenario {
    /// All queries, in the order of time: the same whatever the mixers are set to.
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

    /// How many times the usual rate clients send at that time.
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

    /// Queries of one key address the same shards, and consecutive ones where the deployment has it so.
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
        let spread = if self.ideal {
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
