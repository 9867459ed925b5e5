//! Tests of the eviction order of client connections.

use super::*;
use crate::net::http::MessageReader;
use crate::requests::coordinator::Protocol;
use std::net::TcpListener;

/// State of a client connection under test.
struct Setup {
    state: ClientState,
    state_since: f64,
    has_had_response: bool,
}

fn client(setup: &Setup, listener: &TcpListener) -> Connection {
    let address = listener.local_addr().unwrap();
    let stream = mio::net::TcpStream::connect(address).unwrap();
    let reader = MessageReader::requests(100);
    let mut client = ClientConnection::new(stream, Protocol::Platform, reader, 0.0);
    client.enter(setup.state, setup.state_since);
    if setup.has_had_response {
        client.first_request_by = f64::MAX;
    }
    Connection::Client(Box::new(client))
}

/// Returns the indices of the clients in the order of eviction at `now`, up to `max_rank`.
fn eviction_order(setups: &[Setup], max_rank: EvictionRank, now: f64) -> Vec<usize> {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut connections = SlotMap::with_key();
    let mut keys = Vec::new();
    for setup in setups {
        keys.push(connections.insert(client(setup, &listener)));
    }
    let mut order = Vec::new();
    while let Some(candidate) = find_candidate(&connections, max_rank, now) {
        connections.remove(candidate.key);
        order.extend(keys.iter().position(|key| *key == candidate.key));
    }
    order
}

fn setup(state: ClientState, state_since: f64, has_had_response: bool) -> Setup {
    Setup {
        state,
        state_since,
        has_had_response,
    }
}

#[test]
fn clients_are_evicted_by_rank_and_then_by_time_in_state() {
    let setups = [
        setup(ClientState::Reading, 9.9, false),
        setup(ClientState::Reading, 5.0, false),
        setup(ClientState::Lingering, 9.0, true),
        setup(ClientState::Reading, 4.0, true),
        setup(ClientState::Reading, 9.8, false),
        setup(ClientState::Reading, 9.95, true),
    ];
    let all = eviction_order(&setups, EvictionRank::RecentlyActive, 10.0);
    assert_eq!(all, [2, 3, 1, 5, 4, 0]);
    let without_recently_active = eviction_order(&setups, EvictionRank::Idle, 10.0);
    assert_eq!(without_recently_active, [2, 3, 1, 5]);
}

#[test]
fn clients_with_a_pending_or_recently_sent_response_are_not_evicted() {
    let setups = [
        setup(ClientState::InFlight(Default::default()), 0.0, false),
        setup(ClientState::AwaitingStore, 0.0, false),
        setup(ClientState::Writing, 0.0, false),
        setup(ClientState::Lingering, 9.9, false),
    ];
    assert!(eviction_order(&setups, EvictionRank::RecentlyActive, 10.0).is_empty());
}
