//! The numbers of connections that the two processes of a handover may have together.

use super::Handover;
use crate::connections::pool;
use crate::net::runtime::Runtime;

/// Minimum number of connections to clients, and of connections to replicas, that the successor may have regardless of the
/// predecessor's connections.
const MIN_CONNECTIONS: usize = 16;

/// Maximum numbers of connections of this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) struct ConnectionLimits {
    pub(in crate::net) clients: usize,
    pub(in crate::net) replicas: usize,
}

impl ConnectionLimits {
    /// Returns the limits of the process minus the predecessor's connections.
    pub(in crate::net) fn new(runtime: &Runtime, handover: Option<&Handover>) -> ConnectionLimits {
        let predecessor = handover
            .map(|handover| handover.predecessor_connections)
            .unwrap_or_default();
        let remaining = |limit: usize, predecessor: usize| {
            limit
                .saturating_sub(predecessor)
                .max(MIN_CONNECTIONS.min(limit))
        };
        let shares = pool::shares(runtime.max_connections, runtime.directory.count());
        ConnectionLimits {
            clients: remaining(shares.clients, predecessor.clients),
            replicas: remaining(shares.replicas, predecessor.replicas),
        }
    }
}
