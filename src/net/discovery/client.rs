//! The state of the client of discovery, and its interface for other subsystems.

use crate::decisions::api::{ReplicaEntry, Settings};
use crate::endpoints::directory::List;
use crate::endpoints::heartbeat::Fleet;
use crate::endpoints::lease::{LeaseHandover, ListLease};
use crate::net::discovery::lease::LeasePublisher;
use crate::net::discovery::link::DiscoveryLink;
use crate::net::discovery::list;
use crate::net::event_loop::{EndpointListInUse, EndpointListObserver};
use crate::net::runtime::Runtime;
use crate::net::ConnectionKey;
use miniserde::json::Value;
use std::net::SocketAddr;

/// The client of discovery: the revision of the endpoint list in use, the lease on the list, and the connections that keep
/// the list up to date.
pub(in crate::net) struct DiscoveryClient {
    /// Address of discovery, if one is configured.
    pub(super) address: Option<SocketAddr>,
    pub(super) link: DiscoveryLink,
    /// Revision of the list in use, if the list has one.
    pub(super) revision: Option<u64>,
    /// Lease on the list in use.
    pub(super) lease: ListLease,
    pub(super) lease_publisher: LeasePublisher,
    /// Whether another discovery was configured that has not answered yet; the old list stays in use until then.
    pub(super) is_switching: bool,
    list_observer: Option<EndpointListObserver>,
}

impl DiscoveryClient {
    /// Creates a client that has made no call; `memory_bytes` is the memory limit in the settings, `jitter` is from 0 to 1.
    pub(in crate::net) fn new(
        address: Option<SocketAddr>,
        policy: &Settings,
        memory_bytes: usize,
        now: f64,
        jitter: f64,
    ) -> DiscoveryClient {
        let max_list_bytes = list::max_list_bytes(memory_bytes);
        DiscoveryClient {
            address,
            link: DiscoveryLink::new(fleet_of(policy), max_list_bytes, now, jitter),
            revision: None,
            lease: ListLease::new(address.is_some(), policy.drain_grace_s, now),
            lease_publisher: LeasePublisher::default(),
            is_switching: false,
            list_observer: None,
        }
    }

    /// Returns the address of discovery, if one is configured.
    pub(in crate::net) fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// Returns the revision of the list in use, if the list has one.
    pub(in crate::net) fn revision(&self) -> Option<u64> {
        self.revision
    }

    /// Sets the revision of the list in use.
    pub(super) fn set_revision(&mut self, revision: Option<u64>) {
        self.revision = revision;
    }

    /// Returns the time until which the current list may be used.
    pub(in crate::net) fn list_until(&self, now: f64) -> f64 {
        self.lease.expires_at(now)
    }

    /// Returns whether the current list may be used now.
    pub(super) fn is_list_valid(&self, now: f64) -> bool {
        self.lease.is_valid(now)
    }

    /// Returns the number of answers of discovery that were or may have been lost.
    pub(in crate::net) fn lost_answers(&self) -> u64 {
        self.lease.lost_answers()
    }

    /// Returns the lease as the successor process inherits it.
    pub(in crate::net) fn hand_over_lease(&self, now: f64) -> LeaseHandover {
        self.lease.hand_over(now)
    }

    /// Adopts the predecessor's lease.
    pub(in crate::net) fn inherit_lease(&mut self, now: f64, handed: LeaseHandover) {
        self.lease.inherit(now, handed);
    }

    /// Applies the drain grace of new settings (seconds).
    pub(in crate::net) fn set_drain_grace(&mut self, drain_grace_s: f64) {
        self.lease.set_drain_grace(drain_grace_s);
    }

    /// Sets the observer that is notified of each list that is applied from now on.
    pub(in crate::net) fn observe_lists(&mut self, observer: EndpointListObserver) {
        self.list_observer = Some(observer);
    }

    /// Notifies the observer that the directory was updated by a list.
    pub(super) fn notify_observer(&mut self, runtime: &Runtime) {
        if let Some(observer) = &mut self.list_observer {
            observer(EndpointListInUse {
                revision: self.revision,
                servers: runtime.directory.count(),
            });
        }
    }

    /// Returns the open connections to discovery, the watch first.
    pub(super) fn connections(&self) -> Vec<ConnectionKey> {
        self.link.connections().collect()
    }

    /// Applies a list to the directory; returns `None` if the JSON is not a list.
    pub(super) fn read_list(&mut self, runtime: &mut Runtime, json: &Value) -> Option<List> {
        let list = runtime.directory.read(json)?;
        self.revision = list.revision.or(self.revision);
        let count = list.entries.len();
        if count > 0 {
            runtime.log(&format!(
                "discovery: revision {:?}, {count} lines, full {}",
                self.revision, list.is_full
            ));
        }
        Some(list)
    }

    /// Forwards entries of a list to the decision module, and records since when replicas that these entries made unready
    /// count as notified.
    pub(super) fn forward_entries(
        &self,
        runtime: &mut Runtime,
        is_full: bool,
        entries: Vec<ReplicaEntry>,
    ) {
        runtime
            .coordinator
            .update_endpoints(runtime.now, is_full, entries, &mut runtime.commands);
        let notified_since = self
            .lease
            .notified_since(runtime.now, runtime.previous_iteration_at);
        runtime.directory.set_unready_since(notified_since);
    }

    /// Publishes the time until which the list may be used to the decision module, and logs changes of the lease.
    pub(super) fn publish_lease(&mut self, runtime: &mut Runtime) {
        let arriving_since = self.link.answer_arriving_since(runtime);
        self.lease.set_answer_arriving(arriving_since);
        self.lease_publisher
            .publish(runtime, &self.lease, self.revision);
    }

    /// Returns whether the check of the lease that was scheduled last is due. Timers of earlier schedules are ignored.
    pub(super) fn is_lease_check_due(&self, now: f64) -> bool {
        self.lease_publisher.is_check_due(now)
    }

    /// Records that a request was received that needs the list.
    pub(super) fn request_received(&mut self, now: f64) {
        self.lease.request_received(now);
    }

    /// Returns whether a call has to be made now to renew the lease.
    pub(super) fn needs_renewal(&self, runtime: &Runtime) -> bool {
        self.lease.needs_call(runtime.now) && !self.link.is_call_in_flight(runtime)
    }

    /// Switches to another discovery. Its revisions are independent, so a complete list is requested first; the old list
    /// stays in use until the new one is received.
    pub(super) fn switch_to(&mut self, runtime: &mut Runtime, address: SocketAddr) {
        self.address = Some(address);
        self.revision = None;
        self.lease.discovery_changed(runtime.now);
        for key in self.connections() {
            self.abandon_call(runtime, key);
        }
        let jitter = runtime.rng.rand_float();
        self.link = DiscoveryLink::new(
            fleet_of(&runtime.deployment.policy),
            self.link.max_list_bytes(),
            runtime.now,
            jitter,
        );
        self.is_switching = true;
    }
}

/// Returns the fleet of mixers that call the same discovery, according to the settings.
pub(super) fn fleet_of(policy: &Settings) -> Fleet {
    Fleet {
        mixers: policy.aggregators,
        is_pushed: !policy.must_poll,
    }
}
