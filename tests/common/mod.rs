//! Support for tests of the decision module: a driver that passes events to an aggregator and collects its actions, and default
//! settings and replicas.
#![allow(dead_code)]

use wharfhub::decisions::api::*;
use wharfhub::Aggregator;

/// An aggregator on a simulated clock.
pub struct Driver {
    pub aggregator: Aggregator,
    /// Simulated time (seconds).
    pub now: f64,
    /// All actions so far, except timers.
    pub actions: Vec<Action>,
    /// Time of each action.
    pub action_times: Vec<f64>,
    /// Time of the next periodic check, for which the aggregator has set a timer.
    next_check_at: f64,
}

pub fn replica(id: u32) -> ReplicaEntry {
    ReplicaEntry {
        id: ReplicaId(id),
        ..ReplicaEntry::default()
    }
}

pub fn class() -> ClassSettings {
    ClassSettings {
        latency_objective_s: 1.0,
        deadline_s: 3.0,
        late_weight: 0.3,
        ..ClassSettings::default()
    }
}

pub fn settings(class: ClassSettings) -> Settings {
    Settings {
        classes: vec![class],
        tick_s: 0.005,
        ..Settings::default()
    }
}

impl Driver {
    pub fn new(settings: Settings, replicas: &[ReplicaEntry]) -> Self {
        let aggregator = Aggregator::new(settings, 7, 100.0);
        let mut driver = Driver {
            aggregator,
            now: 100.0,
            actions: Vec::new(),
            action_times: Vec::new(),
            next_check_at: 100.0,
        };
        driver.list(true, replicas);
        driver
    }

    /// Passes an event to the aggregator, and returns its actions except timers.
    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.aggregator.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::SetTimer { after_s, .. } = action {
                self.next_check_at = self.now + after_s;
            }
        }
        out.retain(|action| !matches!(action, Action::SetTimer { .. }));
        self.actions.extend(out.iter().cloned());
        self.action_times.resize(self.actions.len(), self.now);
        out
    }

    pub fn list(&mut self, full: bool, entries: &[ReplicaEntry]) -> Vec<Action> {
        self.event(Event::List {
            is_full: full,
            entries: entries.to_vec().into(),
        })
    }

    /// Advances the time, and runs the periodic checks for which the aggregator has set timers.
    pub fn advance(&mut self, seconds: f64) -> Vec<Action> {
        let end = self.now + seconds;
        let mut out = Vec::new();
        while self.next_check_at <= end {
            self.now = self.now.max(self.next_check_at);
            out.extend(self.event(Event::Timer(1)));
        }
        self.now = end;
        out
    }

    /// Starts a query with one part of equal weight for each shard. The parts have ids from `id * 100` on.
    pub fn query(&mut self, id: u32, shards: &[u32], timeout_s: f64) -> Vec<Action> {
        self.query_with_class(0, id, shards, timeout_s, false)
    }

    pub fn query_with_class(
        &mut self,
        class: u16,
        id: u32,
        shards: &[u32],
        timeout_s: f64,
        is_repeat: bool,
    ) -> Vec<Action> {
        let parts = shards.len() as u32;
        let new = NewQuery {
            id: QueryId(id),
            number: id,
            class,
            deadline: self.now + timeout_s,
            parts,
            is_repeat,
            key: u64::from(parts),
            tenant: 0,
            pre_check: None,
        };
        let mut out = self.event(Event::Query(new));
        for (index, shard) in shards.iter().enumerate() {
            out.extend(self.part(id * 100 + index as u32, id, *shard, 1.0 / f64::from(parts)));
        }
        out
    }

    pub fn part(&mut self, part: u32, query_number: u32, shard: u32, weight: f64) -> Vec<Action> {
        let id = PartId(part);
        self.event(Event::Part(NewPart {
            id,
            query_number,
            shard,
            weight,
            cost_hint_s: None,
        }))
    }

    pub fn end_attempt(
        &mut self,
        part: u32,
        attempt: u8,
        replica: ReplicaId,
        took_s: f64,
        outcome: Outcome,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(AttemptEnd {
            part: PartId(part),
            attempt,
            replica,
            took_s,
            outcome,
        }))
    }

    /// Starts a query of one part, which is answered after `took_s` if it is sent. Returns the actions on its arrival.
    pub fn round_trip(&mut self, id: u32, shard: u32, took_s: f64) -> Vec<Action> {
        let out = self.query(id, &[shard], 3.0);
        if let Some((part, replica)) = sends(&out).first().copied() {
            self.advance(took_s);
            self.end_attempt(part, 0, replica, took_s, Outcome::Ok);
        }
        out
    }
}

/// Returns the parts that were sent, each with its replica.
pub fn sends(actions: &[Action]) -> Vec<(u32, ReplicaId)> {
    let sent = actions.iter().filter_map(|action| match action {
        Action::Send { part, replica, .. } => Some((part.0, *replica)),
        _ => None,
    });
    sent.collect()
}

/// Returns whether a query was rejected.
pub fn is_rejected(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Reject { .. }))
}

/// Returns whether a query failed.
pub fn is_failed(actions: &[Action]) -> bool {
    actions
        .iter()
        .any(|action| matches!(action, Action::Fail { .. }))
}

/// Returns `size` replicas with ids from 1 on.
pub fn fleet(size: u32) -> Vec<ReplicaEntry> {
    (1..=size).map(replica).collect()
}

/// Returns a driver with ten replicas, after 99 answered queries.
pub fn warm_fleet(settings: Settings) -> Driver {
    let mut driver = Driver::new(settings, &fleet(10));
    for id in 1..100 {
        driver.round_trip(id, 0, 0.05);
    }
    driver
}

/// Returns one replica for each cell, with ids from 1 on.
pub fn one_replica_per_cell(cells: u32) -> Vec<ReplicaEntry> {
    let in_cell = |cell| ReplicaEntry {
        cell,
        ..replica(cell + 1)
    };
    (0..cells).map(in_cell).collect()
}
