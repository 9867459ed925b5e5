//! Every deadline of the program, in one ordered structure.
//!
//! This file owns their order. It must never know what becomes of one that is due, and never read a clock.

use super::ConnKey;
use crate::core::Wake;
use std::collections::BTreeSet;
use std::time::Duration;

/// What a deadline is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Due {
    Core(Wake),
    Conn(ConnKey),
    Accept,
    Door,
    Handover,
    Ask,
    Heartbeat,
    Phase,
    Settings,
    Listen,
    Vrrp,
    Refresh,
    Operation(u64),
}

/// Every deadline of the program, in order of time. None is taken out early: one that has lost its sense
/// finds its slot gone or its time moved.
#[derive(Default)]
pub(super) struct Agenda {
    dues: BTreeSet<(u64, Due)>,
}

impl Agenda {
    pub(super) fn add(&mut self, at: f64, due: Due) {
        self.dues.insert(((at.max(0.0) * 1e6) as u64, due));
    }

    pub(super) fn wait(&self, now: f64) -> Option<Duration> {
        let (at, _) = self.dues.first()?;
        Some(Duration::from_micros(at.saturating_sub((now * 1e6) as u64)))
    }

    pub(super) fn next(&mut self, now: f64) -> Option<Due> {
        let due = self.dues.first().is_some_and(|(at, _)| *at <= (now * 1e6) as u64);
        if due {
            self.dues.pop_first().map(|(_, due)| due)
        } else {
            None
        }
    }
}
