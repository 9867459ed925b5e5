//! Tests of the order in which clients are evicted.

use super::*;
use crate::net::http::MessageReader;
use crate::requests::coordinator::Protocol;
use std::net::TcpListener;

/// A client in a state since a time, after an earlier response or not.
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

/// The order in which the clients are evicted at a time, by place, up to a rank.
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
fn clients_are_evicted_by_rank_and_then_by_time() {
    let setups = [
        setup(ClientState::Reading, 9.9, false),
        setup(ClientState::Reading, 5.0, false),
        setup(ClientState::Lingering, 9.0, true),
        setup(ClientState::Reading, 4.0, true),
        setup(ClientState::Reading, 9.8, false),
        setup(ClientState::Reading, 9.95, true),
    ];
    let all = eviction_order(&setups, EvictionRank::Fresh, 10.0);
    assert_eq!(all, [2, 3, 1, 5, 4, 0]);
    let without_fresh = eviction_order(&setups, EvictionRank::Idle, 10.0);
    assert_eq!(without_fresh, [2, 3, 1, 5]);
}

#[test]
fn clients_whose_answers_are_due_or_on_their_way_stay() {
    let setups = [
        setup(ClientState::InFlight(Default::default()), 0.0, false),
        setup(ClientState::AwaitingStore, 0.0, false),
        setup(ClientState::Writing, 0.0, false),
        setup(ClientState::Lingering, 9.9, false),
    ];
    assert!(eviction_order(&setups, EvictionRank::Fresh, 10.0).is_empty());
}
