//! A mixer's connections to leaf servers in virtual time: which carries a call, which is opened, which has ended.
//!
//! This file owns what the loop's `replica/pool.rs` owns on sockets, by the same choices (`connections/pool.rs`), so that
//! handshakes and silent connections count in virtual time too. It must never know a leaf server's state, nor draw a number.

use std::collections::BTreeMap;
use wharfhub::connections::pool;
use wharfhub::requests::coordinator::{AttemptKey, CallPart};

/// As in the loop: of the time after which a leaf server closes an idle connection, the share after which we do.
const IDLE_SHARE: f64 = 0.8;

/// One connection.
struct Link {
    id: u64,
    up: bool,
    out: Vec<AttemptKey>,
    waiting: Vec<CallPart>, // until it has come up
    used_at: f64,
    asked_at: Option<f64>, // since when something was asked and nothing heard
    silenced: bool,        // it stays open, and nothing passes on it any more
}

impl Link {
    fn in_doubt(&self, now: f64, silence_s: f64) -> bool {
        self.up && self.asked_at.is_some_and(|at| now > at + silence_s)
    }
}

/// What the choice of a connection depends on.
pub struct Carrier {
    /// The time.
    pub now: f64,
    /// The shortest latency objective of any class (seconds).
    pub shortest_objective_s: f64,
    /// Within what time nearly all answers come (seconds).
    pub late_s: f64,
    /// Parts that a connection carries.
    pub max_streams: usize,
}

impl Carrier {
    fn doubt_s(&self) -> f64 {
        pool::suspect_after_s(self.shortest_objective_s, self.late_s)
    }
}

/// How a call goes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Way {
    /// On this connection.
    Up(u64),
    /// It waits for this one to come up.
    Opening(u64),
    /// For this one, which is to be opened.
    New(u64),
    /// There are as many as there may be.
    Full,
}

/// The connections of one mixer.
pub struct Links {
    max: usize,
    idle_s: f64,
    leaf_servers: BTreeMap<u32, Vec<Link>>,
    last: u64,
}

impl Links {
    /// None yet, of one mixer among so many.
    pub fn new(mixers: u32, idle_s: f64) -> Links {
        Links {
            max: pool::max_connections_to_replica(mixers),
            idle_s,
            leaf_servers: BTreeMap::new(),
            last: 0,
        }
    }

    fn link(&mut self, leaf_server: u32, id: u64) -> Option<&mut Link> {
        self.leaf_servers
            .get_mut(&leaf_server)?
            .iter_mut()
            .find(|link| link.id == id)
    }

    /// The connections to a leaf server.
    pub fn ids(&self, leaf_server: u32) -> Vec<u64> {
        self.leaf_servers
            .get(&leaf_server)
            .map(|links| links.iter().map(|link| link.id).collect())
            .unwrap_or_default()
    }

    /// What waits for its connection, and nobody waits for, does not leave. Says whether it waited.
    pub fn withdraw_unsent(&mut self, attempt: AttemptKey) -> bool {
        self.leaf_servers.values_mut().flatten().any(|link| {
            let before = link.waiting.len();
            link.waiting.retain(|part| part.attempt != attempt);
            link.waiting.len() < before
        })
    }

    /// How a call of so many parts goes there. A new connection is here from now on.
    pub fn choose(&mut self, leaf_server: u32, parts: usize, carrier: &Carrier) -> Way {
        let (now, doubt_s, idle_s) = (carrier.now, carrier.doubt_s(), IDLE_SHARE * self.idle_s);
        let links = self.leaf_servers.entry(leaf_server).or_default();
        links.retain(|link| {
            let unused = link.up && link.out.is_empty();
            !(unused && (now >= link.used_at + idle_s || link.in_doubt(now, doubt_s)))
        });
        let takes = |link: &&Link| {
            let carried = link.out.len() + link.waiting.len();
            let queue_capacity = carried == 0 || carried + parts <= carrier.max_streams;
            queue_capacity && !link.in_doubt(now, doubt_s)
        };
        let fit = || links.iter().filter(takes);
        if let Some(link) = fit().find(|link| link.up) {
            return Way::Up(link.id);
        }
        if let Some(link) = fit().next() {
            return Way::Opening(link.id);
        }
        if links.len() >= self.max {
            return Way::Full;
        }
        self.last += 1;
        let (id, out, waiting) = (self.last, Vec::new(), Vec::new());
        links.push(Link {
            id,
            up: false,
            out,
            waiting,
            used_at: now,
            asked_at: None,
            silenced: false,
        });
        Way::New(id)
    }

    /// These wait until it has come up.
    pub fn wait(&mut self, leaf_server: u32, id: u64, parts: Vec<CallPart>) {
        if let Some(link) = self.link(leaf_server, id) {
            link.waiting.extend(parts);
        }
    }

    /// It has come up: what waited for it. None where it is gone.
    pub fn up(&mut self, leaf_server: u32, id: u64, now: f64) -> Option<Vec<CallPart>> {
        let link = self.link(leaf_server, id).filter(|link| !link.up)?;
        (link.up, link.used_at) = (true, now);
        Some(std::mem::take(&mut link.waiting))
    }

    /// It never came up, unless it did: what waited for it.
    pub fn never_up(&mut self, leaf_server: u32, id: u64) -> Vec<CallPart> {
        match self.link(leaf_server, id).filter(|link| !link.up) {
            Some(link) => {
                let waiting = std::mem::take(&mut link.waiting);
                self.remove(leaf_server, id);
                waiting
            }
            None => Vec::new(),
        }
    }

    fn remove(&mut self, leaf_server: u32, id: u64) {
        if let Some(links) = self.leaf_servers.get_mut(&leaf_server) {
            links.retain(|link| link.id != id);
        }
    }

    /// An attempt has left on it.
    pub fn sent(&mut self, leaf_server: u32, id: u64, attempt: AttemptKey, now: f64) {
        if let Some(link) = self.link(leaf_server, id) {
            link.out.push(attempt);
            link.used_at = now;
            link.asked_at.get_or_insert(now);
        }
    }

    /// One of those that have come up, by lot, falls silent.
    pub fn silence(&mut self, draw: usize) {
        let mut up: Vec<&mut Link> = self
            .leaf_servers
            .values_mut()
            .flatten()
            .filter(|link| link.up)
            .collect();
        let count = up.len().max(1);
        if let Some(link) = up.get_mut(draw % count) {
            link.silenced = true;
        }
    }

    /// Whether nothing passes on it.
    pub fn silenced(&mut self, leaf_server: u32, id: u64) -> bool {
        self.link(leaf_server, id).is_none_or(|link| link.silenced)
    }

    /// An answer has come on it. Says whether it is still there.
    pub fn received(&mut self, leaf_server: u32, id: u64, attempt: AttemptKey, now: f64) -> bool {
        let Some(link) = self.link(leaf_server, id) else {
            return false;
        };
        link.out.retain(|other| *other != attempt);
        link.used_at = now;
        link.asked_at = (!link.out.is_empty()).then_some(now);
        true
    }

    /// An attempt on it was given up.
    pub fn given_up(&mut self, leaf_server: u32, id: u64, attempt: AttemptKey, carrier: &Carrier) {
        let (now, doubt_s) = (carrier.now, carrier.doubt_s());
        if let Some(link) = self.link(leaf_server, id) {
            link.out.retain(|other| *other != attempt);
            if link.out.is_empty() && !link.in_doubt(now, doubt_s) {
                link.asked_at = None;
            }
        }
    }

    /// Connections to a leaf server that are silent while it answers on another what was asked later, at that time.
    pub fn silent(&self, leaf_server: u32, carrier: &Carrier, answered_of: f64) -> Vec<u64> {
        let silence_s = carrier.doubt_s();
        let links = self.leaf_servers.get(&leaf_server).into_iter().flatten();
        let silent = |link: &&Link| {
            link.in_doubt(carrier.now, silence_s)
                && link.asked_at.is_some_and(|at| at < answered_of)
        };
        links.filter(silent).map(|link| link.id).collect()
    }

    /// It is over: what was out on it.
    pub fn end(&mut self, leaf_server: u32, id: u64) -> Vec<AttemptKey> {
        let Some(link) = self.link(leaf_server, id) else {
            return Vec::new();
        };
        let waiting = link.waiting.drain(..).map(|part| part.attempt);
        let ends = link.out.drain(..).chain(waiting).collect();
        self.remove(leaf_server, id);
        ends
    }

    /// Ends those to a leaf server that carry nothing.
    pub fn close_idle(&mut self, leaf_server: u32) {
        if let Some(links) = self.leaf_servers.get_mut(&leaf_server) {
            links.retain(|link| !link.up || !link.out.is_empty());
        }
    }
}
