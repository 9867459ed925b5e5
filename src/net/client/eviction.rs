//! Which client's connection is closed where there is no capacity for another one.
//!
//! This file owns the order of eviction. It must never close a connection, and never choose one whose request is in
//! flight.

use crate::net::client::connection::{ClientConnection, ClientState};
use crate::net::connection_table::Connection;
use crate::net::ConnectionKey;
use slotmap::SlotMap;

/// A last response that was written less than this ago may still be on its way.
const MIN_LINGER_S: f64 = 0.25;
/// A client that connected, or began to send, less than this ago is evicted last.
const FRESH_S: f64 = 0.3;

/// Which clients are evicted first, in this order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// Its last response is written.
    Answered,
    /// It is between requests, or slow to send one.
    Idle,
    /// It has just connected, and its request may be on its way.
    Fresh,
}

/// The connection that is evicted next, unless a request turns out to have come on it.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvictionCandidate {
    pub(super) key: ConnectionKey,
    /// Whether nothing of a request had come on it.
    pub(super) was_idle: bool,
    rank: EvictionRank,
    state_since: f64,
}

/// Chooses the connection of the lowest rank, up to `max_rank`, that has been in its state for the longest.
pub(super) fn find_candidate(
    connections: &SlotMap<ConnectionKey, Connection>,
    max_rank: EvictionRank,
    now: f64,
) -> Option<EvictionCandidate> {
    let candidate = |(key, connection): (ConnectionKey, &Connection)| {
        let Connection::Client(client) = connection else {
            return None;
        };
        let rank = rank_of(client, now).filter(|rank| *rank <= max_rank)?;
        Some(EvictionCandidate {
            key,
            was_idle: client.is_idle(),
            rank,
            state_since: client.state_since,
        })
    };
    let order = |a: &EvictionCandidate, b: &EvictionCandidate| {
        let by_time = a.state_since.total_cmp(&b.state_since);
        a.rank.cmp(&b.rank).then(by_time)
    };
    connections.iter().filter_map(candidate).min_by(order)
}

/// The rank of a client; none for one that must stay.
fn rank_of(client: &ClientConnection, now: f64) -> Option<EvictionRank> {
    let state_since = client.state_since;
    match client.state {
        ClientState::Lingering if now < state_since + MIN_LINGER_S => None,
        ClientState::Lingering => Some(EvictionRank::Answered),
        ClientState::Reading if now < state_since + FRESH_S && !client.is_idle_after_response() => {
            Some(EvictionRank::Fresh)
        }
        ClientState::Reading => Some(EvictionRank::Idle),
        ClientState::InFlight(_) | ClientState::AwaitingStore | ClientState::Writing => None,
    }
}

#[cfg(test)]
mod tests;
