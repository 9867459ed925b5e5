//! The faults of a scenario: what their beginning and end do to leaf servers, connections and mixers.
//!
//! This file owns the effect of each fault. When it begins and ends is the scenario's, and whom it concerns is drawn once.

use super::{Emulator, Event, DRAIN_PHASE_S, START_S};
use crate::model::{Pauses, ServerFault};
use crate::site::Fault;
use rand::Rng;
use wharfhub::decisions::api::Lifecycle;

impl Emulator<'_> {
    /// A fault of the scenario begins or ends.
    pub(super) fn fault_changes(&mut self, number: usize, begins: bool) {
        let scenario = self.scenario;
        let fault = &scenario.faults[number].2;
        let affected: Vec<u32> = match fault {
            Fault::Slow(_) => (0..scenario.leaf_servers).collect(),
            _ => self.affected_servers[number].clone(),
        };
        for leaf_server in &affected {
            self.advance(*leaf_server);
        }
        if let Fault::Slow(factor) = fault {
            self.slowdown = if begins { *factor } else { 1.0 };
        }
        for leaf_server in &affected {
            if begins {
                self.fault_begins(fault, *leaf_server);
            } else {
                self.fault_ends(fault, *leaf_server);
            }
        }
        for leaf_server in affected {
            self.schedule_next_event(leaf_server);
        }
        match fault {
            Fault::SilentConnections(rate) if begins => {
                self.schedule_silent_connections(*rate, number)
            }
            Fault::ZoneLoss(zone, true) => self.stop_or_restart_mixers(*zone, begins),
            _ => {}
        }
    }

    /// What the beginning of a fault does to one of the leaf servers that it concerns.
    fn fault_begins(&mut self, fault: &Fault, leaf_server: u32) {
        let server = &mut self.leaf_servers[leaf_server as usize];
        match fault {
            Fault::Dead(_) => {
                self.server_dies(leaf_server);
                self.send_list_updates(leaf_server, Lifecycle::Removed);
            }
            Fault::ZoneLoss(..) => {
                server.fault = ServerFault::Lost;
                self.send_list_updates(leaf_server, Lifecycle::Removed);
            }
            Fault::Silent(_) => server.fault = ServerFault::Silent,
            Fault::Fails(_, share) => server.fault = ServerFault::Fails(*share),
            Fault::SomeSlow(_, factor) => server.slowdown = *factor,
            Fault::Pauses(_, for_s, every_s) => {
                let first_at = self.now + self.rng.random_range(0.0..*every_s);
                server.setup.pauses = Some(Pauses {
                    period_s: *every_s,
                    duration_s: *for_s,
                    first_at,
                });
            }
            Fault::Drain(_) => self.send_list_updates(leaf_server, Lifecycle::Draining),
            Fault::Slow(_) | Fault::Burst(_) | Fault::SilentConnections(_) => {}
        }
    }

    /// What the end of a fault does to one of the leaf servers that it concerns.
    fn fault_ends(&mut self, fault: &Fault, leaf_server: u32) {
        let server = &mut self.leaf_servers[leaf_server as usize];
        match fault {
            Fault::Dead(_) | Fault::ZoneLoss(..) => self.restart_server(leaf_server),
            Fault::Silent(_) | Fault::Fails(..) => server.fault = ServerFault::None,
            Fault::SomeSlow(..) => server.slowdown = 1.0,
            Fault::Pauses(..) => {
                server.setup.pauses = self.scenario.leaf_server_setup(leaf_server).pauses;
            }
            Fault::Drain(_) => {
                self.server_dies(leaf_server);
                self.schedule(self.now + DRAIN_PHASE_S, Event::Restart(leaf_server));
            }
            Fault::Slow(_) | Fault::Burst(_) | Fault::SilentConnections(_) => {}
        }
    }

    /// Draws when connections fall silent, so many a second until the fault ends.
    fn schedule_silent_connections(&mut self, rate: f64, number: usize) {
        let until = START_S + self.scenario.faults[number].1;
        let mut at = self.now;
        loop {
            at += self.rng.random_range(0.0..2.0) / rate.max(1e-6);
            if at >= until {
                break;
            }
            self.schedule(at, Event::ConnectionGoesSilent);
        }
    }

    /// The mixers of a lost machine room die with it, and return at its end.
    fn stop_or_restart_mixers(&mut self, zone: u8, begins: bool) {
        for mixer in 0..self.mixers.len() {
            if self.scenario.mixer_zone(mixer as u32) != zone {
                continue;
            }
            if begins {
                self.mixer_dies(mixer, true);
            } else {
                self.restart_mixer(mixer);
            }
        }
    }
}
