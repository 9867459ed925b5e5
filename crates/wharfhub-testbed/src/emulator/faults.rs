//! The faults of a scenario: what their beginning and end do to leaf servers, connections and mixers.
//!
//! This file owns the effect of each fault. When it begins and ends is the scenario's, and whom it concerns is drawn once.

use super::{Emulator, Event, DRAINED_S, START_S};
use crate::model::{Pauses, ServerFault};
use crate::site::Fault;
use rand::Rng;
use wharfhub::decisions::api::Lifecycle;

impl Emulator<'_> {
    /// A fault of the scenario begins or ends.
    pub(super) fn fault(&mut self, number: usize, begins: bool) {
        let scenario = self.scenario;
        let fault = &scenario.faults[number].2;
        let concerned: Vec<u32> = match fault {
            Fault::Slow(_) => (0..scenario.leaf_servers).collect(),
            _ => self.concerned[number].clone(),
        };
        for leaf_server in &concerned {
            self.turn(*leaf_server);
        }
        if let Fault::Slow(factor) = fault {
            self.slow = if begins { *factor } else { 1.0 };
        }
        for leaf_server in &concerned {
            if begins {
                self.fault_begins(fault, *leaf_server);
            } else {
                self.fault_ends(fault, *leaf_server);
            }
        }
        for leaf_server in concerned {
            self.next_turn(leaf_server);
        }
        match fault {
            Fault::SilentConnections(rate) if begins => self.silence_links(*rate, number),
            Fault::ZoneLoss(zone, true) => self.lose_mixers(*zone, begins),
            _ => {}
        }
    }

    /// What the beginning of a fault does to one of the leaf servers that it concerns.
    fn fault_begins(&mut self, fault: &Fault, leaf_server: u32) {
        let server = &mut self.leaf_servers[leaf_server as usize];
        match fault {
            Fault::Dead(_) => {
                self.dies(leaf_server);
                self.notify(leaf_server, Lifecycle::Removed);
            }
            Fault::ZoneLoss(..) => {
                server.fault = ServerFault::Lost;
                self.notify(leaf_server, Lifecycle::Removed);
            }
            Fault::Silent(_) => server.fault = ServerFault::Silent,
            Fault::Fails(_, share) => server.fault = ServerFault::Fails(*share),
            Fault::SomeSlow(_, factor) => server.slower = *factor,
            Fault::Pauses(_, for_s, every_s) => {
                let from_s = self.now + self.rng.random_range(0.0..*every_s);
                server.setup.pauses = Some(Pauses {
                    every_s: *every_s,
                    for_s: *for_s,
                    from_s,
                });
            }
            Fault::Drain(_) => self.notify(leaf_server, Lifecycle::Draining),
            Fault::Slow(_) | Fault::Burst(_) | Fault::SilentConnections(_) => {}
        }
    }

    /// What the end of a fault does to one of the leaf servers that it concerns.
    fn fault_ends(&mut self, fault: &Fault, leaf_server: u32) {
        let server = &mut self.leaf_servers[leaf_server as usize];
        match fault {
            Fault::Dead(_) | Fault::ZoneLoss(..) => self.restart(leaf_server),
            Fault::Silent(_) | Fault::Fails(..) => server.fault = ServerFault::None,
            Fault::SomeSlow(..) => server.slower = 1.0,
            Fault::Pauses(..) => {
                server.setup.pauses = self.scenario.leaf_server_setup(leaf_server).pauses;
            }
            Fault::Drain(_) => {
                self.dies(leaf_server);
                self.at(self.now + DRAINED_S, Event::Restart(leaf_server));
            }
            Fault::Slow(_) | Fault::Burst(_) | Fault::SilentConnections(_) => {}
        }
    }

    /// Draws when connections fall silent, so many a second until the fault ends.
    fn silence_links(&mut self, rate: f64, number: usize) {
        let until = START_S + self.scenario.faults[number].1;
        let mut at = self.now;
        loop {
            at += self.rng.random_range(0.0..2.0) / rate.max(1e-6);
            if at >= until {
                break;
            }
            self.at(at, Event::SilentConnections);
        }
    }

    /// The mixers of a lost machine room die with it, and return at its end.
    fn lose_mixers(&mut self, zone: u8, begins: bool) {
        for mixer in 0..self.mixers.len() {
            if self.scenario.mixer_zone(mixer as u32) != zone {
                continue;
            }
            if begins {
                self.mixer_dies(mixer, true);
            } else {
                self.mixer_returns(mixer);
            }
        }
    }
}
