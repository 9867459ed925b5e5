//! Tests of a connection to a leaf server and of the coordinator's calls: which calls are sent, and when a connection counts as
//! suspect or silent.

use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use wharfhub::decisions::api::{Outcome, ReplicaEntry, ReplicaId};
use wharfhub::endpoints::directory::WireFormat;
use wharfhub::net::replica::connection::{ReplicaConnection, ReplicaConnectionSetup};
use wharfhub::requests::coordinator::{
    AttemptKey, CallPart, Command, Coordinator, PartRequest, QueryRequest,
};

const MAX_SILENCE_S: f64 = 0.1;

/// Returns an established connection and the listener of its peer.
fn established_connection() -> (TcpListener, ReplicaConnection) {
    let (listener, mut connection) = pending_connection();
    connection.mark_connected(0.0);
    (listener, connection)
}

/// Returns a connection that is not yet marked as established, and the listener of its peer.
fn pending_connection() -> (TcpListener, ReplicaConnection) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).expect("a local port is free");
    let address: SocketAddr = listener.local_addr().expect("the listener has an address");
    let stream = TcpStream::connect(address).expect("the listener accepts connections");
    stream
        .set_nonblocking(true)
        .expect("the socket can be made non-blocking");
    let stream = mio::net::TcpStream::from_std(stream);
    let setup = ReplicaConnectionSetup {
        replica: ReplicaId(1),
        address,
        wire_format: WireFormat::Frames,
        max_waiting_bytes: 1 << 16,
    };
    (listener, ReplicaConnection::new(stream, setup, 0.0))
}

/// Returns a part of shard 3 for a call.
fn call_part(attempt: AttemptKey, id: &str, payload: &str, send_by: f64) -> CallPart {
    let parts = vec![PartRequest {
        shard: 3,
        weight: 1.0,
        cost_hint_s: None,
    }];
    let query_request = Rc::new(QueryRequest {
        id: id.into(),
        payload: payload.into(),
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

/// Accepts one connection and returns all bytes that are received on it until its end.
fn received(listener: &TcpListener) -> Vec<u8> {
    let (mut peer, mut bytes) = (
        listener.accept().expect("the peer has connected").0,
        Vec::new(),
    );
    std::io::Read::read_to_end(&mut peer, &mut bytes)
        .expect("the connection can be read to its end");
    bytes
}

/// Sends a call of one part at `now`, and returns its attempt.
fn send_part(
    connection: &mut ReplicaConnection,
    keys: &mut slotmap::SlotMap<AttemptKey, ()>,
    now: f64,
) -> AttemptKey {
    let attempt = keys.insert(());
    connection.queue_call(
        &[call_part(attempt, &format!("q{now}"), "t", f64::INFINITY)],
        now,
    );
    connection
        .flush(|_| Some(0.0), &mut Vec::new())
        .expect("the socket accepts the bytes");
    attempt
}

/// After the idempotency window a leaf server no longer recognizes a retry, so a retry that has waited too long for its
/// connection must not be sent.
#[test]
fn a_retry_that_waits_for_its_connection_is_not_sent_after_its_window() {
    let (listener, mut connection) = pending_connection();
    let mut keys = slotmap::SlotMap::with_key();
    let mut call = |connection: &mut ReplicaConnection, id: &str, send_by: f64| {
        let attempt = keys.insert(());
        connection.queue_call(&[call_part(attempt, id, "t", send_by)], 1.0);
        attempt
    };
    let (late, timely) = (
        call(&mut connection, "late", 1.1),
        call(&mut connection, "timely", 1.3),
    );
    assert!(
        connection.withdraw_late(1.1).is_empty(),
        "both calls may still be sent"
    );
    assert_eq!(connection.withdraw_late(1.2), [late]);
    connection.mark_connected(1.2);
    connection
        .flush(|_| Some(0.0), &mut Vec::new())
        .expect("the socket accepts the bytes");
    assert!(
        connection.withdraw_late(9.0).is_empty(),
        "calls that were sent can't be withdrawn"
    );
    assert!(!connection.is_unused() && !connection.cancel(timely, 1.25, MAX_SILENCE_S));
    drop(connection);
    let bytes = received(&listener);
    let text = String::from_utf8_lossy(&bytes);
    assert!(
        text.contains("timely.3") && !text.contains("late.3"),
        "{text}"
    );
}

/// Cancelled parts are not answered. If the silence after a cancellation counted, each hedged request would cost a leaf server a
/// handshake.
#[test]
fn a_connection_is_not_suspect_for_cancelled_parts() {
    let (_listener, mut connection) = established_connection();
    let mut keys = slotmap::SlotMap::with_key();
    let attempt = send_part(&mut connection, &mut keys, 1.0);
    assert!(!connection.cancel(attempt, 1.05, MAX_SILENCE_S));
    assert!(
        !connection.is_suspect(5.0, MAX_SILENCE_S),
        "the connection was silent for less than the limit"
    );
    let attempt = send_part(&mut connection, &mut keys, 6.0);
    assert!(
        connection.is_suspect(6.2, MAX_SILENCE_S),
        "a part is in flight again"
    );
    assert!(!connection.cancel(attempt, 6.2, MAX_SILENCE_S));
    assert!(
        connection.is_suspect(9.0, MAX_SILENCE_S),
        "the connection was silent for longer than the limit before, and stays suspect"
    );
}

#[test]
fn a_connection_with_another_part_in_flight_stays_suspect() {
    let (_listener, mut connection) = established_connection();
    let mut keys = slotmap::SlotMap::with_key();
    let (first, _second) = (
        send_part(&mut connection, &mut keys, 1.0),
        send_part(&mut connection, &mut keys, 1.01),
    );
    assert!(!connection.cancel(first, 1.05, MAX_SILENCE_S));
    assert!(connection.is_suspect(1.2, MAX_SILENCE_S));
}

/// The window of the class starts with the first attempt that may have been executed, and not with an attempt that was certainly
/// not executed.
#[test]
fn a_retry_must_be_sent_within_the_window_of_its_class() {
    let settings =
        br#"{"categories":[{"name":"hold","aimS":1,"giveUpS":5,"effect":"dedup","windowS":2.5}],
        "permissions":{"sendCap":4},"familyInfo":{"cells":1,"slabs":1}}"#;
    let deployment = Rc::new(wharfhub::config::decode(settings).expect("the settings are valid"));
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
            .expect("an attempt is started");
        send_by.push(by);
        coordinator.attempt_ended(now + 0.1, attempt, outcome, None, &mut out);
    }
    assert_eq!(
        send_by[..2],
        [f64::INFINITY; 2],
        "an attempt that was not executed does not start the window"
    );
    assert!((send_by[2] - 102.6).abs() < 1e-6, "{send_by:?}");
}

/// Without this check, parts on a silent connection would wait for most of the latency objective where no hedged requests may be
/// sent, although their leaf server answers on another connection.
#[test]
fn a_connection_is_silent_once_another_connection_answers_a_later_call() {
    let (_listener, mut connection) = established_connection();
    let mut keys = slotmap::SlotMap::with_key();
    send_part(&mut connection, &mut keys, 1.0);
    assert!(
        !connection.is_silent_while_another_answers(1.05, MAX_SILENCE_S, 1.04),
        "the connection was silent for less than the limit"
    );
    assert!(
        !connection.is_silent_while_another_answers(1.2, MAX_SILENCE_S, 0.9),
        "the answer to an earlier call may well arrive earlier"
    );
    assert!(connection.is_silent_while_another_answers(1.15, MAX_SILENCE_S, 1.12));
}

/// A call of three parts waits for its connection. If two of the parts are cancelled because their client disconnects, only the
/// third part is sent; if all parts are cancelled, nothing is sent.
#[test]
fn cancelled_parts_are_removed_from_a_call_that_is_not_sent_yet() {
    for (cancelled, remaining) in [(vec![0, 2], vec!["q1.3"]), (vec![0, 1, 2], vec![])] {
        let (listener, mut connection) = pending_connection();
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
        connection.queue_call(&[part(0), part(1), part(2)], 1.0);
        // The first part is cancelled; the others are only withdrawn, as for leaf servers that support no cancellation.
        for number in cancelled {
            let is_cancelled = number == 0 && !connection.cancel(attempts[0], 1.0, MAX_SILENCE_S);
            assert!(is_cancelled || connection.withdraw_unsent(attempts[number]));
        }
        connection.mark_connected(1.0);
        connection
            .flush(|_| Some(0.0), &mut Vec::new())
            .expect("the socket accepts the bytes");
        let is_withdrawn = connection.withdraw_unsent(attempts[1]);
        assert!(!is_withdrawn, "calls that were sent can't be withdrawn");
        drop(connection);
        let bytes = received(&listener);
        let expected = remaining
            .iter()
            .map(|id| format!("{id} 3 d=1000 20\n{}", "t".repeat(20)));
        let expected: Vec<u8> = expected
            .flat_map(|part| {
                let head = (part.len() as u32 + 1).to_be_bytes();
                [&head[..], b"q", part.as_bytes()].concat()
            })
            .collect();
        assert_eq!(bytes, expected, "{}", String::from_utf8_lossy(&bytes));
    }
}

/// The timeout that is sent to a leaf server must not exceed the client's remaining time.
#[test]
fn a_call_that_waited_for_its_connection_is_sent_with_its_remaining_timeout() {
    let (listener, mut connection) = pending_connection();
    let mut keys = slotmap::SlotMap::with_key();
    let attempt = send_part(&mut connection, &mut keys, 1.0);
    let withdrawn = send_part(&mut connection, &mut keys, 1.25);
    assert!(connection.withdraw_unsent(withdrawn));
    connection.mark_connected(1.75);
    connection
        .flush(|_| Some(0.0), &mut Vec::new())
        .expect("the socket accepts the bytes");
    assert!(
        connection.has_nothing_to_send() && !connection.withdraw_unsent(attempt),
        "the call was sent"
    );
    send_part(&mut connection, &mut keys, 2.0);
    drop(connection);
    let bytes = received(&listener);
    let text = String::from_utf8_lossy(&bytes);
    assert!(
        text.contains("q1.3 3 d=250 1\nt") && text.contains("q2.3 3 d=1000 1\nt"),
        "{text}"
    );
    assert!(!text.contains("q1.25"), "{text}");
}

/// Returns a coordinator with a request of one part whose attempt is in flight, the commands so far, and the key of the request.
fn coordinator_with_request(
    can_cancel: bool,
) -> (
    Coordinator,
    Vec<Command>,
    wharfhub::requests::coordinator::RequestKey,
) {
    let settings = format!(
        r#"{{"categories":[{{"name":"slot","aimS":1,"giveUpS":5,"effect":"retryable"}}],
        "permissions":{{"sendCap":4,"cancelling":{can_cancel}}},"familyInfo":{{"cells":1,"slabs":1}}}}"#
    );
    let deployment =
        Rc::new(wharfhub::config::decode(settings.as_bytes()).expect("the settings are valid"));
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

/// Returns the attempts that the commands start.
fn started_attempts(out: &[Command]) -> Vec<AttemptKey> {
    let call = |command: &Command| match command {
        Command::Call { parts, .. } => parts.iter().map(|part| part.attempt).collect(),
        _ => Vec::new(),
    };
    out.iter().flat_map(call).collect()
}

/// In a deployment that allows cancellations, a cancellation also prevents an attempt that is still queued from being sent.
#[test]
fn a_request_that_has_ended_withdraws_its_unsent_attempts_where_none_can_be_cancelled() {
    for can_cancel in [false, true] {
        let (mut coordinator, mut out, key) = coordinator_with_request(can_cancel);
        let attempts: Vec<AttemptKey> = started_attempts(&out);
        assert_eq!(attempts.len(), 1, "{out:?}");
        out.clear();
        coordinator.client_disconnected(0.2, key, &mut out);
        let is_withdrawn = out
            .iter()
            .any(|c| matches!(c, Command::Withdraw { attempt } if *attempt == attempts[0]));
        let is_cancelled = out
            .iter()
            .any(|c| matches!(c, Command::Cancel { attempt } if *attempt == attempts[0]));
        assert_eq!(
            (is_withdrawn, is_cancelled),
            (!can_cancel, can_cancel),
            "{out:?}"
        );
        coordinator.attempt_ended(0.3, attempts[0], Outcome::Superseded, None, &mut out);
        out.clear();
        coordinator.wake(
            1.0,
            wharfhub::requests::coordinator::Wake::Attempt(attempts[0]),
            &mut out,
        );
        assert!(
            started_attempts(&out).is_empty(),
            "no attempt is started for the ended request: {out:?}"
        );
    }
}

/// The invariants are checked before the first byte of each call is written. A forbidden call is withdrawn, and the call after it
/// is sent.
#[test]
fn a_call_that_an_invariant_forbids_is_not_sent() {
    let (listener, mut connection) = established_connection();
    let mut keys = slotmap::SlotMap::with_key();
    let (forbidden, allowed) = (keys.insert(()), keys.insert(()));
    connection.queue_call(&[call_part(forbidden, "forbidden", "t", 5.0)], 1.0);
    connection.queue_call(&[call_part(allowed, "allowed", "t", f64::INFINITY)], 1.0);
    assert_eq!(connection.unsent_attempts(), [forbidden, allowed]);
    let mut withdrawn = Vec::new();
    connection
        .flush(|call| (call.send_by > 5.0).then_some(0.0), &mut withdrawn)
        .expect("the socket accepts the bytes");
    assert_eq!(
        (withdrawn, connection.take_started_calls().len()),
        (vec![forbidden], 1)
    );
    assert!(connection.unsent_attempts().is_empty() && !connection.is_unused());
    drop(connection);
    let text = String::from_utf8_lossy(&received(&listener)).into_owned();
    assert!(
        text.contains("allowed.3") && !text.contains("forbidden.3"),
        "{text}"
    );
}

/// While a leaf server reads nothing, its socket is full and one call is partly sent. The calls after it are sent with their
/// remaining timeouts once the socket accepts them.
#[test]
fn a_full_socket_leaves_one_call_partly_sent_and_others_unsent() {
    let (listener, mut connection) = established_connection();
    let mut keys = slotmap::SlotMap::with_key();
    let text = "t".repeat(60_000);
    let mut last = Vec::new();
    while connection.has_nothing_to_send() {
        let attempt = keys.insert(());
        connection.queue_call(&[call_part(attempt, "large", &text, f64::INFINITY)], 1.0);
        connection
            .flush(|_| Some(0.0), &mut Vec::new())
            .expect("the connection stays open");
        last = vec![attempt];
        assert!(
            keys.len() < 1_000,
            "the socket is not full after 1000 calls"
        );
    }
    assert_eq!(connection.partly_sent_attempts(), last);
    assert!(
        !connection.withdraw_unsent(last[0]),
        "a part of the call was sent"
    );
    let waiting = keys.insert(());
    connection.queue_call(&[call_part(waiting, "waiting", "t", f64::INFINITY)], 1.0);
    connection.refresh_timeouts(1.5);
    let reader = std::thread::spawn(move || received(&listener));
    while !connection.has_nothing_to_send() {
        connection
            .flush(|_| Some(0.0), &mut Vec::new())
            .expect("the connection stays open");
    }
    drop(connection);
    let bytes = reader.join().expect("the reader thread does not panic");
    let text = String::from_utf8_lossy(&bytes[bytes.len() - 40..]).into_owned();
    assert!(text.contains("waiting.3 3 d=500 1\nt"), "{text}");
}
