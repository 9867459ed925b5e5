//! Regions with one discovery stand-in each, all of which list all servers, and network partitions between the regions.
//!
//! During a partition each discovery publishes only the changes made in its own region. When the partition heals, each
//! discovery publishes the missed changes as one revision.

use super::{Behavior, Catalog, Counters, Discovery, ListedServer, Published};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// Regions and the changes that each has missed.
pub struct Regions {
    discoveries: Vec<Discovery>,
    is_partitioned: bool,
    missed: Vec<BTreeMap<String, ListedServer>>, // by region
}

impl Regions {
    /// Starts a discovery for each of `count` regions, all with the same servers.
    pub fn start(
        count: usize,
        servers: &[ListedServer],
        behavior: Behavior,
    ) -> io::Result<Regions> {
        // The revision numbers of different regions are unrelated.
        let catalog =
            |region: usize| Catalog::new(1 + 1_000_000 * region as u64, servers.iter().cloned());
        let start = |region: usize| Discovery::start(catalog(region), 1, behavior);
        let discoveries = (0..count).map(start).collect::<io::Result<_>>()?;
        Ok(Regions {
            discoveries,
            is_partitioned: false,
            missed: vec![BTreeMap::new(); count],
        })
    }

    /// Returns the addresses of discovery by region.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.discoveries
            .iter()
            .map(|discovery| discovery.addresses[0])
            .collect()
    }

    /// Returns the discovery of a region.
    pub fn discovery(&self, region: usize) -> &Discovery {
        &self.discoveries[region]
    }

    /// Publishes changes made in a region. Returns the new revisions by region, `None` where a partition keeps the changes back.
    pub fn publish(&mut self, region: usize, changes: Vec<ListedServer>) -> Vec<Option<Published>> {
        let mut published = vec![None; self.discoveries.len()];
        for (index, discovery) in self.discoveries.iter().enumerate() {
            if index == region || !self.is_partitioned {
                published[index] = Some(discovery.publish(changes.clone()));
            } else {
                let missed = changes
                    .iter()
                    .map(|server| (server.id.clone(), server.clone()));
                self.missed[index].extend(missed);
            }
        }
        published
    }

    /// Starts a partition: from now on a change is published in its own region only.
    pub fn partition(&mut self) {
        self.is_partitioned = true;
    }

    /// Ends the partition: each region publishes the changes that it missed as one revision.
    pub fn heal(&mut self) -> Vec<Option<Published>> {
        self.is_partitioned = false;
        let missed = self.missed.iter_mut().map(std::mem::take);
        let publish = |(discovery, missed): (&Discovery, BTreeMap<String, ListedServer>)| {
            (!missed.is_empty()).then(|| discovery.publish(missed.into_values().collect()))
        };
        self.discoveries.iter().zip(missed).map(publish).collect()
    }

    /// Returns the latest revision of each region.
    pub fn revisions(&self) -> Vec<u64> {
        self.discoveries
            .iter()
            .map(|discovery| discovery.catalog().revision())
            .collect()
    }

    /// Returns the sum of the counters of all regions.
    pub fn counters(&self) -> Counters {
        self.discoveries
            .iter()
            .map(Discovery::counters)
            .fold(Counters::default(), Counters::merge)
    }
}
