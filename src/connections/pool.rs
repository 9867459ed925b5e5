//! Sizing of the connection pools to replicas: the maximum for each replica, the shares of replicas and clients, and the silence
//! after which a connection is suspected to be broken.
//!
//! The limits ensure that all mixers of a fleet together do not exhaust the connection capacity of a replica.

/// Silence up to this share of the shortest latency objective does not make a connection suspect.
const OBJECTIVE_SHARE: f64 = 0.25;
/// Silence up to this multiple of the latency of nearly all answers does not make a connection suspect. Replicas that are only
/// slow must not get a second connection from each mixer.
const LATE_FACTOR: f64 = 1.5;
/// Maximum number of connections to one replica from all mixers together, subject to the bounds for each mixer. The number that
/// a replica accepts is not known.
const MAX_FLEET_CONNECTIONS: u32 = 200;
/// Minimum of the limit on a mixer's connections to one replica, so that another connection can be opened if one is suspect.
const MIN_CONNECTIONS: u32 = 2;
/// Maximum number of a mixer's connections to one replica.
const MAX_CONNECTIONS: u32 = 8;
/// Replicas and clients may each have at least one in this many of a mixer's connections.
const MIN_SHARE_DIVISOR: usize = 3;
/// Replicas and clients may each have at least this many connections.
const MIN_SHARE_CONNECTIONS: usize = 4;
/// Replicas may have one connection each, and one spare connection for this many replicas, because some connections are suspect
/// and some are being replaced.
const REPLICAS_PER_SPARE: usize = 8;

/// Division of a mixer's connections between clients and replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionShares {
    /// Maximum number of connections to clients.
    pub clients: usize,
    /// Maximum number of connections to replicas.
    pub replicas: usize,
}

/// Returns the silence after which a connection with a call in flight is suspected to be broken (seconds). `late_s` is the
/// latency of nearly all answers, not finite if it is not known.
pub fn suspect_after_s(shortest_objective_s: f64, late_s: f64) -> f64 {
    let late_s = if late_s.is_finite() { late_s } else { 0.0 };
    (OBJECTIVE_SHARE * shortest_objective_s).max(LATE_FACTOR * late_s)
}

/// Returns the maximum number of connections of a mixer to one replica, in a fleet of `mixers`.
pub fn max_connections_to_replica(mixers: u32) -> usize {
    (MAX_FLEET_CONNECTIONS / mixers.max(1)).clamp(MIN_CONNECTIONS, MAX_CONNECTIONS) as usize
}

/// Divides `max_connections` between clients and `replicas` replicas. With fewer connections than replicas, a mixer would close
/// healthy connections only to open them again shortly after.
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
