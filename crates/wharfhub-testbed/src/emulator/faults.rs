//! Effects of a scenario's faults on emulated leaf servers, connections and mixers.
//!
//! The scenario defines when a fault begins and ends. The affected leaf servers are drawn once, at the start of the emulation.

use super::{Emulator, Event, DRAIN_RESTART_DELAY_S, START_S};
use crate::model::{Pauses, ServerFault};
use crate::site::Fault;
use rand::Rng;
use wharfhub::decisions::api::Lifecycle;

impl Emulator<'_> {
    /// Applies the beginning or the end of a fault.
    pub(super) fn apply_fault(&mut self, number: usize, begins: bool) {
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
                self.begin_fault(fault, *leaf_server);
            } else {
                self.end_fault(fault, *leaf_server);
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

    /// Applies the beginning of a fault to one of the affected leaf servers.
    fn begin_fault(&mut self, fault: &Fault, leaf_server: u32) {
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

    /// Applies the end of a fault to one of the affected leaf servers.
    fn end_fault(&mut self, fault: &Fault, leaf_server: u32) {
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
                self.schedule(
                    self.now + DRAIN_RESTART_DELAY_S,
                    Event::Restart(leaf_server),
                );
            }
            Fault::Slow(_) | Fault::Burst(_) | Fault::SilentConnections(_) => {}
        }
    }

    /// Draws the times at which connections become silent, `rate` per second on average until the fault ends.
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

    /// Stops the mixers of a zone that is lost with its mixers, or restarts them at the end of the fault.
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
