//! A connection to a leaf server by itself: what is sent on it, and when it counts as suspect or silent.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use wharfhub::decisions::api::{Outcome, ReplicaEntry, ReplicaId};
use wharfhub::endpoints::directory::WireFormat;
use wharfhub::net::replica::connection::{ReplicaConnection, ReplicaConnectionSetup};
use wharfhub::requests::coordinator::{
    AttemptKey, CallPart, Command, Coordinator, PartRequest, QueryRequest,
};

const MAX_SILENCE_S: f64 = 0.1;

/// A connection that is up.
fn connection() -> (TcpListener, ReplicaConnection) {
    let (listener, mut leaf) = establishing();
    leaf.mark_connected(0.0);
    (listener, leaf)
}

/// A connection that has not come up.
fn establishing() -> (TcpListener, ReplicaConnection) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a port");
    let address: SocketAddr = listener.local_addr().expect("an address");
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_nonblocking(true).expect("a socket");
    let stream = mio::net::TcpStream::from_std(stream);
    let setup = ReplicaConnectionSetup {
        replica: ReplicaId(1),
        address,
        wire_format: WireFormat::Frames,
        shards: 4,
        max_waiting_bytes: 1 << 16,
    };
    (listener, ReplicaConnection::new(stream, setup, 0.0))
}

/// A part of shard 3 that leaves in a call.
fn call_part(attempt: AttemptKey, id: &str, text: &str, send_by: f64) -> CallPart {
    let parts = vec![PartRequest {
        shard: 3,
        weight: 1.0,
        cost_hint_s: None,
    }];
    let query_request = Rc::new(QueryRequest {
        id: id.into(),
        payload: text.into(),
        parts,
        ..QueryRequest::default()
    });
    CallPart {
        attempt,
        query_request,
        index: 0,
        timeout_s: 1.0,
        client_deadline: f64::INFINITY,
        pre_check: false,
        send_by,
    }
}

/// All bytes that were received on a connection until its end.
fn received(listener: &TcpListener) -> Vec<u8> {
    let (mut peer, mut bytes) = (listener.accept().expect("a connection").0, Vec::new());
    std::io::Read::read_to_end(&mut peer, &mut bytes).expect("all of it");
    bytes
}

/// Sends a call of one part at that time.
fn send_part(
    leaf: &mut ReplicaConnection,
    keys: &mut slotmap::SlotMap<AttemptKey, ()>,
    now: f64,
) -> AttemptKey {
    let attempt = keys.insert(());
    leaf.queue_call(
        &[call_part(attempt, &format!("q{now}"), "t", f64::INFINITY)],
        now,
    );
    leaf.flush(|_| Some(0.0), &mut Vec::new())
        .expect("room in the socket");
    attempt
}

/// Beyond the window the leaf server no longer recognizes a retry: one that has waited for its connection for too long must
/// not be sent.
#[test]
fn a_retry_that_waits_for_its_connection_is_not_sent_after_its_window() {
    let (listener, mut leaf) = establishing();
    let mut keys = slotmap::SlotMap::with_key();
    let mut call = |leaf: &mut ReplicaConnection, id: &str, send_by: f64| {
        let attempt = keys.insert(());
        leaf.queue_call(&[call_part(attempt, id, "t", send_by)], 1.0);
        attempt
    };
    let (late, sound) = (call(&mut leaf, "late", 1.1), call(&mut leaf, "sound", 1.3));
    assert!(leaf.withdraw_late(1.1).is_empty(), "it may still leave");
    assert_eq!(leaf.withdraw_late(1.2), [late]);
    leaf.mark_connected(1.2);
    leaf.flush(|_| Some(0.0), &mut Vec::new())
        .expect("room in the socket");
    assert!(leaf.withdraw_late(9.0).is_empty(), "what has left has left");
    assert!(!leaf.is_unused() && !leaf.cancel(sound, 1.25, MAX_SILENCE_S));
    drop(leaf);
    let bytes = received(&listener);
    let text = String::from_utf8_lossy(&bytes);
    assert!(
        text.contains("sound.3") && !text.contains("late.3"),
        "{text}"
    );
}

/// Cancelled parts are not answered. If the silence after them counted, each hedged request would cost a leaf server a
/// handshake.
#[test]
fn a_connection_is_not_suspect_for_cancelled_parts() {
    let (_listener, mut leaf) = connection();
    let mut keys = slotmap::SlotMap::with_key();
    let attempt = send_part(&mut leaf, &mut keys, 1.0);
    assert!(!leaf.cancel(attempt, 1.05, MAX_SILENCE_S));
    assert!(
        !leaf.is_suspect(5.0, MAX_SILENCE_S),
        "it was silent for less than the limit"
    );
    let attempt = send_part(&mut leaf, &mut keys, 6.0);
    assert!(
        leaf.is_suspect(6.2, MAX_SILENCE_S),
        "a part is in flight again"
    );
    assert!(!leaf.cancel(attempt, 6.2, MAX_SILENCE_S));
    assert!(
        leaf.is_suspect(9.0, MAX_SILENCE_S),
        "it was silent for too long before, and stays suspect"
    );
}

#[test]
fn a_connection_with_another_part_in_flight_stays_suspect() {
    let (_listener, mut leaf) = connection();
    let mut keys = slotmap::SlotMap::with_key();
    let (first, _second) = (
        send_part(&mut leaf, &mut keys, 1.0),
        send_part(&mut leaf, &mut keys, 1.01),
    );
    assert!(!leaf.cancel(first, 1.05, MAX_SILENCE_S));
    assert!(leaf.is_suspect(1.2, MAX_SILENCE_S));
}

/// The window counts from the first attempt that may have run; one that is known not to have run does not begin it.
#[test]
fn a_retry_has_to_be_sent_within_the_window_of_its_class() {
    let settings =
        br#"{"categories":[{"name":"hold","aimS":1,"giveUpS":5,"effect":"dedup","windowS":2.5}],
        "permissions":{"sendCap":4},"familyInfo":{"cells":1,"slabs":1}}"#;
    let deployment = Rc::new(wharfhub::config::decode(settings).expect("settings"));
    let (mut coordinator, mut out) = (Coordinator::new(deployment, 7, 100.0), Vec::new());
    let entry = |id| ReplicaEntry {
        id: ReplicaId(id),
        ..ReplicaEntry::default()
    };
    coordinator.update_endpoints(100.0, true, vec![entry(1), entry(2)], &mut out);
    let parts = vec![PartRequest {
        shard: 0,
        weight: 1.0,
        cost_hint_s: None,
    }];
    let query_request = QueryRequest {
        id: "q".into(),
        class_name: "hold".into(),
        timeout_s: 5.0,
        parts,
        ..QueryRequest::default()
    };
    coordinator.accept_request(100.0, query_request, 1, &mut out);
    let mut send_by = Vec::new();
    for (now, outcome) in [
        (100.0, Outcome::ConnectFailed),
        (100.1, Outcome::Reset),
        (100.2, Outcome::Error),
    ] {
        let call = |command: &Command| match command {
            Command::Call { parts, .. } => Some((parts[0].attempt, parts[0].send_by)),
            _ => None,
        };
        let (attempt, by) = out
            .drain(..)
            .filter_map(|command| call(&command))
            .next_back()
            .expect("it is tried again");
        send_by.push(by);
        coordinator.attempt_ended(now + 0.1, attempt, outcome, None, &mut out);
    }
    assert_eq!(
        send_by[..2],
        [f64::INFINITY; 2],
        "what never ran begins no window"
    );
    assert!((send_by[2] - 102.6).abs() < 1e-6, "{send_by:?}");
}

/// Where no hedged requests may be sent, parts on a silent connection would otherwise wait for most of the latency objective
/// though their leaf server answers on another connection.
#[test]
fn a_connection_is_silent_once_another_one_answers_what_was_sent_later() {
    let (_listener, mut leaf) = connection();
    let mut keys = slotmap::SlotMap::with_key();
    send_part(&mut leaf, &mut keys, 1.0);
    assert!(
        !leaf.is_silent_while_another_answers(1.05, MAX_SILENCE_S, 1.04),
        "it has not been silent for long"
    );
    assert!(
        !leaf.is_silent_while_another_answers(1.2, MAX_SILENCE_S, 0.9),
        "what was sent earlier may well be answered earlier"
    );
    assert!(leaf.is_silent_while_another_answers(1.15, MAX_SILENCE_S, 1.12));
}

/// A call of three parts waits for its connection, and the client of two of them disconnects: only the third is sent. Where
/// the client of all disconnects, nothing is.
#[test]
fn cancelled_parts_are_removed_from_a_call_that_is_not_sent_yet() {
    for (gone, left) in [(vec![0, 2], vec!["q1.3"]), (vec![0, 1, 2], vec![])] {
        let (listener, mut leaf) = establishing();
        let mut keys: slotmap::SlotMap<AttemptKey, ()> = slotmap::SlotMap::with_key();
        let attempts: Vec<AttemptKey> = (0..3).map(|_| keys.insert(())).collect();
        let part = |number: usize| {
            let text = "t".repeat(10 * (number + 1));
            call_part(
                attempts[number],
                &format!("q{number}"),
                &text,
                f64::INFINITY,
            )
        };
        leaf.queue_call(&[part(0), part(1), part(2)], 1.0);
        // One is cancelled, the others are only withdrawn, as for leaf servers that take no cancellations.
        for number in gone {
            let is_cancelled = number == 0 && !leaf.cancel(attempts[0], 1.0, MAX_SILENCE_S);
            assert!(is_cancelled || leaf.withdraw_unsent(attempts[number]));
        }
        leaf.mark_connected(1.0);
        leaf.flush(|_| Some(0.0), &mut Vec::new())
            .expect("room in the socket");
        let again = leaf.withdraw_unsent(attempts[1]);
        assert!(!again, "what has left has left");
        drop(leaf);
        let bytes = received(&listener);
        let wanted = left
            .iter()
            .map(|id| format!("{id} 3 d=1000 20\n{}", "t".repeat(20)));
        let wanted: Vec<u8> = wanted
            .flat_map(|part| {
                let head = (part.len() as u32 + 1).to_be_bytes();
                [&head[..], b"q", part.as_bytes()].concat()
            })
            .collect();
        assert_eq!(bytes, wanted, "{}", String::from_utf8_lossy(&bytes));
    }
}

/// The timeout that a leaf server is sent must not exceed what the client has left.
#[test]
fn a_call_that_waited_for_its_connection_is_sent_with_the_time_that_is_left() {
    let (listener, mut leaf) = establishing();
    let mut keys = slotmap::SlotMap::with_key();
    let attempt = send_part(&mut leaf, &mut keys, 1.0);
    let withdrawn = send_part(&mut leaf, &mut keys, 1.25);
    assert!(leaf.withdraw_unsent(withdrawn));
    leaf.mark_connected(1.75);
    leaf.flush(|_| Some(0.0), &mut Vec::new())
        .expect("room in the socket");
    assert!(
        leaf.has_nothing_to_send() && !leaf.withdraw_unsent(attempt),
        "it has left"
    );
    send_part(&mut leaf, &mut keys, 2.0);
    drop(leaf);
    let bytes = received(&listener);
    let text = String::from_utf8_lossy(&bytes);
    assert!(
        text.contains("q1.3 3 d=250 1\nt") && text.contains("q2.3 3 d=1000 1\nt"),
        "{text}"
    );
    assert!(!text.contains("q1.25"), "{text}");
}

/// A coordinator with a request of one part, whose attempt is in flight; and the request.
fn held(
    cancel: bool,
) -> (
    Coordinator,
    Vec<Command>,
    wharfhub::requests::coordinator::RequestKey,
) {
    let settings = format!(
        r#"{{"categories":[{{"name":"slot","aimS":1,"giveUpS":5,"effect":"retryable"}}],
        "permissions":{{"sendCap":4,"cancelling":{cancel}}},"familyInfo":{{"cells":1,"slabs":1}}}}"#
    );
    let deployment = Rc::new(wharfhub::config::decode(settings.as_bytes()).expect("settings"));
    let (mut coordinator, mut out) = (Coordinator::new(deployment, 7, 0.0), Vec::new());
    coordinator.update_endpoints(
        0.0,
        true,
        vec![ReplicaEntry {
            id: ReplicaId(1),
            ..ReplicaEntry::default()
        }],
        &mut out,
    );
    let parts = vec![PartRequest {
        shard: 0,
        weight: 1.0,
        cost_hint_s: None,
    }];
    let query_request = QueryRequest {
        id: "q".into(),
        class_name: "slot".into(),
        timeout_s: 5.0,
        parts,
        ..QueryRequest::default()
    };
    let key = coordinator.accept_request(0.1, query_request, 1, &mut out);
    (coordinator, out, key)
}

/// The attempts that are to leave.
fn calls(out: &[Command]) -> Vec<AttemptKey> {
    let call = |command: &Command| match command {
        Command::Call { parts, .. } => parts.iter().map(|part| part.attempt).collect(),
        _ => Vec::new(),
    };
    out.iter().flat_map(call).collect()
}

/// Also where attempts can't be cancelled, those of a request that has ended are not sent if they still wait.
#[test]
fn a_request_that_has_ended_withdraws_its_unsent_attempts_where_none_can_be_cancelled() {
    for cancel in [false, true] {
        let (mut coordinator, mut out, key) = held(cancel);
        let attempts: Vec<AttemptKey> = calls(&out);
        assert_eq!(attempts.len(), 1, "{out:?}");
        out.clear();
        coordinator.client_disconnected(0.2, key, &mut out);
        let unsent = out
            .iter()
            .any(|c| matches!(c, Command::Withdraw { attempt } if *attempt == attempts[0]));
        let is_cancelled = out
            .iter()
            .any(|c| matches!(c, Command::Cancel { attempt } if *attempt == attempts[0]));
        assert_eq!((unsent, is_cancelled), (!cancel, cancel), "{out:?}");
        coordinator.attempt_ended(0.3, attempts[0], Outcome::Superseded, None, &mut out);
        out.clear();
        coordinator.wake(
            1.0,
            wharfhub::requests::coordinator::Wake::Attempt(attempts[0]),
            &mut out,
        );
        assert!(
            calls(&out).is_empty(),
            "nothing is begun for it any more: {out:?}"
        );
    }
}

/// The invariants are checked before the first byte of each call: a forbidden call is not sent, and the one after it is.
#[test]
fn a_call_that_an_invariant_forbids_is_not_sent() {
    let (listener, mut leaf) = connection();
    let mut keys = slotmap::SlotMap::with_key();
    let (forbidden, allowed) = (keys.insert(()), keys.insert(()));
    leaf.queue_call(&[call_part(forbidden, "forbidden", "t", 5.0)], 1.0);
    leaf.queue_call(&[call_part(allowed, "allowed", "t", f64::INFINITY)], 1.0);
    assert_eq!(leaf.unsent_attempts(), [forbidden, allowed]);
    let mut withdrawn = Vec::new();
    leaf.flush(|call| (call.send_by > 5.0).then_some(0.0), &mut withdrawn)
        .expect("room in the socket");
    assert_eq!(
        (withdrawn, leaf.take_started_calls().len()),
        (vec![forbidden], 1)
    );
    assert!(leaf.unsent_attempts().is_empty() && !leaf.is_unused());
    drop(leaf);
    let text = String::from_utf8_lossy(&received(&listener)).into_owned();
    assert!(
        text.contains("allowed.3") && !text.contains("forbidden.3"),
        "{text}"
    );
}

/// A leaf server that reads nothing: the socket is full and one call has left in part. Those behind it are sent with the time
/// that is left once the socket takes them.
#[test]
fn a_full_socket_leaves_one_call_partly_sent_and_others_unsent() {
    let (listener, mut leaf) = connection();
    let mut keys = slotmap::SlotMap::with_key();
    let text = "t".repeat(60_000);
    let mut last = Vec::new();
    while leaf.has_nothing_to_send() {
        let attempt = keys.insert(());
        leaf.queue_call(&[call_part(attempt, "large", &text, f64::INFINITY)], 1.0);
        leaf.flush(|_| Some(0.0), &mut Vec::new()).expect("no end");
        last = vec![attempt];
        assert!(keys.len() < 1_000, "the socket takes all");
    }
    assert_eq!(leaf.partly_sent_attempts(), last);
    assert!(!leaf.withdraw_unsent(last[0]), "it has begun to leave");
    let waiting = keys.insert(());
    leaf.queue_call(&[call_part(waiting, "waiting", "t", f64::INFINITY)], 1.0);
    leaf.refresh_timeouts(1.5);
    let reader = std::thread::spawn(move || received(&listener));
    while !leaf.has_nothing_to_send() {
        leaf.flush(|_| Some(0.0), &mut Vec::new())
            .expect("room in the socket, in the end");
    }
    drop(leaf);
    let bytes = reader.join().expect("a reader that ends");
    let text = String::from_utf8_lossy(&bytes[bytes.len() - 40..]).into_owned();
    assert!(text.contains("waiting.3 3 d=500 1\nt"), "{text}");
}
