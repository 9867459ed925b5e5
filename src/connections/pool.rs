//! Sizes of the pools of connections to replicas: how many each may have, what is left for clients, and when a silent
//! connection is doubted.
//!
//! This file owns how many connections a mixer opens, so that all mixers of a fleet together leave a replica its capacity. It
//! must never open or close a connection, choose a replica or read a clock.

/// Silence for up to this share of the shortest latency objective raises no doubt.
const OBJECTIVE_SHARE: f64 = 0.25;
/// Nor does silence for up to this many times the latency of nearly all answers: replicas that are only slow must not get a
/// second connection from each mixer.
const LATE_FACTOR: f64 = 1.5;
/// Connections to one replica from all mixers together, within the bounds for each mixer; how many a replica accepts is not
/// known.
const MAX_CONNECTIONS_OF_FLEET: u32 = 200;
/// A mixer may always open this many connections to a replica, so that there is one besides a doubted one.
const MIN_CONNECTIONS: u32 = 2;
/// A mixer never opens more connections to one replica.
const MAX_CONNECTIONS: u32 = 8;
/// Replicas may always have this part of all connections of a mixer, and clients too: a third.
const MIN_SHARE_DIVISOR: usize = 3;
/// Replicas and clients may always have at least this many connections each.
const MIN_SHARE_CONNECTIONS: usize = 4;
/// Replicas may have one connection for each that is listed, and one more for this many, because some are doubted and some are
/// being replaced.
const REPLICAS_PER_SPARE: usize = 8;

/// How the connections of a mixer are divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShares {
    /// Connections to clients, at most.
    pub clients: usize,
    /// Connections to replicas, at most.
    pub replicas: usize,
}

/// Silence after which a connection with a call in flight is doubted (seconds); `late_s` is the latency of nearly all answers,
/// not finite if it is not known.
pub fn suspect_after_s(shortest_objective_s: f64, late_s: f64) -> f64 {
    let late_s = if late_s.is_finite() { late_s } else { 0.0 };
    (OBJECTIVE_SHARE * shortest_objective_s).max(LATE_FACTOR * late_s)
}

/// How many connections a mixer may have to one replica, among so many mixers.
pub fn max_connections_to_replica(mixers: u32) -> usize {
    (MAX_CONNECTIONS_OF_FLEET / mixers.max(1)).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS) as usize
}

/// Divides `max_connections` between clients and that many replicas. With too few for the replicas, a mixer would close a
/// healthy connection to one only to open it again a moment later.
pub fn shares(max_connections: usize, replicas: usize) -> ConnectionShares {
    let min_share = (max_connections / MIN_SHARE_DIVISOR).max(MIN_SHARE_CONNECTIONS);
    let max_share = max_connections.saturating_sub(min_share).max(min_share);
    let wanted = replicas.saturating_add(replicas / REPLICAS_PER_SPARE);
    let replica_share = wanted.clamp(min_share, max_share);
    ConnectionShares {
        clients: max_connections.saturating_sub(replica_share),
        replicas: replica_share,
    }
}

#[cfg(test)]
mod tests;
