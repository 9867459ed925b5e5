//! A connection to a replica, by itself: what is said on it, and what is believed of it when nothing comes.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use wharfhub::api::ReplicaId;
use wharfhub::core::{Asked, AskedPart, AttemptKey, CallPart};
use wharfhub::net::leaf::{LeafConn, Speech};

const DOUBT_S: f64 = 0.1;

fn connection() -> (TcpListener, LeafConn) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_nonblocking(true).expect("a socket");
    let stream = mio::net::TcpStream::from_std(stream);
    let mut leaf = LeafConn::new(stream, ReplicaId(1), address, Speech::Frames, 4, 1 << 16, 0.0);
    leaf.up = true;
    (listener, leaf)
}

/// Asks one part there at that time.
fn ask(leaf: &mut LeafConn, keys: &mut slotmap::SlotMap<AttemptKey, ()>, now: f64) -> AttemptKey {
    let attempt = keys.insert(());
    let parts = vec![AskedPart { shard: 3, weight: 1.0, hint_s: None }];
    let asked = Rc::new(Asked { id: format!("q{now}"), text: "t".into(), parts, ..Asked::default() });
    leaf.call(&[CallPart { attempt, asked, place: 0, wait_s: 1.0, ahead: false }], now);
    leaf.flush().expect("room in the socket");
    attempt
}

/// Found on calm days of 300 mixers: half of all parts that were called off, since another copy was served, cost
/// their box a handshake when it was next asked, seconds later.
#[test]
fn a_connection_is_not_doubted_for_what_nobody_waited_for() {
    let (_listener, mut leaf) = connection();
    let mut keys = slotmap::SlotMap::with_key();
    let attempt = ask(&mut leaf, &mut keys, 1.0);
    assert!(!leaf.give_up(attempt, 1.05, DOUBT_S));
    assert!(!leaf.in_doubt(5.0, DOUBT_S), "it was silent for half as long as it may be");
    let attempt = ask(&mut leaf, &mut keys, 6.0);
    assert!(leaf.in_doubt(6.2, DOUBT_S), "it is waited for again");
    assert!(!leaf.give_up(attempt, 6.2, DOUBT_S));
    assert!(leaf.in_doubt(9.0, DOUBT_S), "that was silent for too long, and stays in doubt");
}

#[test]
fn another_part_that_is_waited_for_keeps_the_doubt() {
    let (_listener, mut leaf) = connection();
    let mut keys = slotmap::SlotMap::with_key();
    let (first, _second) = (ask(&mut leaf, &mut keys, 1.0), ask(&mut leaf, &mut keys, 1.01));
    assert!(!leaf.give_up(first, 1.05, DOUBT_S));
    assert!(leaf.in_doubt(1.2, DOUBT_S));
}
