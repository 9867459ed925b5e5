//! Selection of the client connection to close when the client limit or the descriptor limit is reached.
//!
//! Connections with a request in flight are never selected.

use crate::net::client::connection::{ClientConnection, ClientState};
use crate::net::connection_table::Connection;
use crate::net::ConnectionKey;
use slotmap::SlotMap;

/// Time after the last response during which a connection is not evicted, because the response may still be in transit.
const MIN_LINGER_S: f64 = 0.25;
/// Time since connecting, or since the first byte of a request, during which a client counts as recently active.
const RECENT_ACTIVITY_S: f64 = 0.3;

/// Eviction order of clients. Lower ranks are evicted first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum EvictionRank {
    /// Client whose last response is written.
    Answered,
    /// Client that is idle after a response, or that connected or began a request more than `RECENT_ACTIVITY_S` ago.
    Idle,
    /// Client that connected or began a request within `RECENT_ACTIVITY_S`, so that the rest of the request may be in transit.
    RecentlyActive,
}

/// Connection selected for eviction. The caller reads the connection before closing it, because a request may have
/// arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct EvictionCandidate {
    pub(super) key: ConnectionKey,
    /// Whether no byte of a request had been received at the time of selection.
    pub(super) was_idle: bool,
    rank: EvictionRank,
    state_since: f64,
}

/// Returns the connection with the lowest rank, up to `max_rank`. Ties are resolved in favour of the longest time in the
/// current state.
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

/// Returns the rank of a client, or `None` if its connection must not be evicted.
fn rank_of(client: &ClientConnection, now: f64) -> Option<EvictionRank> {
    let state_since = client.state_since;
    match client.state {
        ClientState::Lingering if now < state_since + MIN_LINGER_S => None,
        ClientState::Lingering => Some(EvictionRank::Answered),
        ClientState::Reading if client.may_have_input => None,
        ClientState::Reading
            if now < state_since + RECENT_ACTIVITY_S && !client.is_idle_after_response() =>
        {
            Some(EvictionRank::RecentlyActive)
        }
        ClientState::Reading => Some(EvictionRank::Idle),
        ClientState::InFlight(_) | ClientState::AwaitingStore | ClientState::Writing => None,
    }
}

#[cfg(test)]
mod tests;
