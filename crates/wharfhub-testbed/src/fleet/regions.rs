//! Two or more regions, each with a discovery of its own that lists all servers, and the link between them.
//!
//! This file owns which region has heard of which change. While regions are apart each goes on with versions of its
//! own; together again, each gets what it missed as one version. It must never touch a mixer.

use super::{Behavior, Catalog, Counters, Discovery, ListedServer, Published};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// Regions with a discovery each.
pub struct Regions {
    discoveries: Vec<Discovery>,
    is_partitioned: bool,
    missed: Vec<BTreeMap<String, ListedServer>>, // by region
}

impl Regions {
    /// So many regions that all list these servers.
    pub fn start(
        count: usize,
        servers: &[ListedServer],
        behavior: Behavior,
    ) -> io::Result<Regions> {
        // Versions of different regions have nothing to do with each other.
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

    /// Discovery's address by region.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.discoveries
            .iter()
            .map(|discovery| discovery.addresses[0])
            .collect()
    }

    /// A region's discovery.
    pub fn discovery(&self, region: usize) -> &Discovery {
        &self.discoveries[region]
    }

    /// Makes changes known that were made in that region; gives the versions by region, where there is a new one.
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

    /// Parts the regions: from now on a change is known in its own region only.
    pub fn partition(&mut self) {
        self.is_partitioned = true;
    }

    /// Joins the regions: each gets what it missed as one version.
    pub fn heal(&mut self) -> Vec<Option<Published>> {
        self.is_partitioned = false;
        let missed = self.missed.iter_mut().map(std::mem::take);
        let publish = |(discovery, missed): (&Discovery, BTreeMap<String, ListedServer>)| {
            (!missed.is_empty()).then(|| discovery.publish(missed.into_values().collect()))
        };
        self.discoveries.iter().zip(missed).map(publish).collect()
    }

    /// The latest version by region.
    pub fn revisions(&self) -> Vec<u64> {
        self.discoveries
            .iter()
            .map(|discovery| discovery.catalog().revision())
            .collect()
    }

    /// What has passed in all regions.
    pub fn counters(&self) -> Counters {
        self.discoveries
            .iter()
            .map(Discovery::counters)
            .fold(Counters::default(), Counters::and)
    }
}
