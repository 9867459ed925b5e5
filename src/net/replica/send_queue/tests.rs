//! Tests of the send queue: the order and the steps of writing, and the withdrawal of calls.

use super::*;
use crate::net::replica::frames::{encode_call, encode_cancel};
use crate::requests::coordinator::{PartRequest, QueryRequest};
use slotmap::SlotMap;
use std::rc::Rc;

/// A socket that accepts a few bytes per write, up to a capacity.
struct Socket {
    taken: Vec<u8>,
    capacity: usize,
    max_write_bytes: usize,
}

impl Socket {
    fn with_capacity(capacity: usize) -> Socket {
        Socket {
            taken: Vec::new(),
            capacity,
            max_write_bytes: 16,
        }
    }
}

impl Write for Socket {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = bytes.len().min(self.capacity).min(self.max_write_bytes);
        if count == 0 {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        self.taken.extend_from_slice(&bytes[..count]);
        self.capacity -= count;
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn part(attempt: AttemptKey, id: &str, send_by: f64) -> CallPart {
    let query_request = QueryRequest {
        id: id.into(),
        payload: "text".into(),
        parts: vec![PartRequest {
            shard: 3,
            weight: 1.0,
            cost_hint_s: None,
        }],
        ..QueryRequest::default()
    };
    CallPart {
        attempt,
        query_request: Rc::new(query_request),
        index: 0,
        timeout_s: 1.0,
        client_deadline: f64::INFINITY,
        pre_check: false,
        send_by,
    }
}

fn attempts<const N: usize>() -> [AttemptKey; N] {
    let mut keys = SlotMap::with_key();
    std::array::from_fn(|_| keys.insert(()))
}

fn push(queue: &mut SendQueue, parts: &[CallPart]) {
    queue.push_call(parts, encode_call(parts), 1.0);
}

/// Writes until the socket accepts no more or the queue is empty; returns the number of frames written completely.
fn write_all(queue: &mut SendQueue, socket: &mut Socket) -> usize {
    let mut complete_frames = 0;
    loop {
        match queue
            .write_once(socket, &mut |_| Some(0.0))
            .expect("writing to the test socket failed")
        {
            WriteStep::Empty | WriteStep::Blocked => return complete_frames,
            WriteStep::Wrote { complete, .. } => complete_frames += usize::from(complete.is_some()),
            WriteStep::Interrupted | WriteStep::Withdrawn(_) => panic!("unexpected write step"),
        }
    }
}

#[test]
fn a_partly_written_call_is_not_withdrawn_and_later_calls_are() {
    let [first, second] = attempts();
    let mut queue = SendQueue::default();
    push(&mut queue, &[part(first, "q1", 5.0)]);
    push(&mut queue, &[part(second, "q2", f64::INFINITY)]);
    let mut socket = Socket::with_capacity(7);
    assert_eq!(write_all(&mut queue, &mut socket), 0);
    assert_eq!(queue.partly_sent_attempts(), [first]);
    assert_eq!(queue.unsent_attempts(), [second]);
    assert!(!queue.withdraw(first), "its first bytes were written");
    assert_eq!(queue.withdraw_all(), [second]);
    assert!(!queue.is_partly_sent_too_late(5.0) && queue.is_partly_sent_too_late(5.1));
    socket.capacity = 1_000;
    assert_eq!(write_all(&mut queue, &mut socket), 1);
    assert_eq!(
        socket.taken,
        encode_call(&[part(first, "q1", 5.0)]).bytes,
        "only the first call is written"
    );
    assert!(queue.is_empty());
    assert_eq!(queue.waiting_bytes(), 0);
}

#[test]
fn a_withdrawn_part_is_removed_from_its_call() {
    let [first, second, third] = attempts();
    let parts = [
        part(first, "q1", f64::INFINITY),
        part(second, "query2", f64::INFINITY),
        part(third, "q3", f64::INFINITY),
    ];
    let mut queue = SendQueue::default();
    push(&mut queue, &parts);
    assert!(queue.withdraw(second));
    assert!(!queue.withdraw(second), "the part is no longer queued");
    let left = [parts[0].clone(), parts[2].clone()];
    let expected = encode_call(&left).bytes;
    assert_eq!(queue.waiting_bytes(), expected.len());
    let mut socket = Socket::with_capacity(1_000);
    write_all(&mut queue, &mut socket);
    assert_eq!(socket.taken, expected);
}

#[test]
fn a_cancellation_is_never_withdrawn() {
    let [attempt] = attempts();
    let mut queue = SendQueue::default();
    queue.push_cancel(encode_cancel("q0.3"));
    push(&mut queue, &[part(attempt, "q1", 1.5)]);
    assert!(
        queue.withdraw_late(1.5).is_empty(),
        "the call may still be sent"
    );
    assert_eq!(queue.withdraw_late(1.6), [attempt]);
    let mut socket = Socket::with_capacity(1_000);
    assert_eq!(write_all(&mut queue, &mut socket), 1);
    assert_eq!(socket.taken, encode_cancel("q0.3"));
}

#[test]
fn a_call_that_must_not_be_sent_is_withdrawn_before_its_first_byte() {
    let [attempt] = attempts();
    let mut queue = SendQueue::default();
    push(&mut queue, &[part(attempt, "q1", f64::INFINITY)]);
    let mut socket = Socket::with_capacity(1_000);
    let step = queue.write_once(&mut socket, &mut |_| None);
    assert!(matches!(step, Ok(WriteStep::Withdrawn(attempts)) if attempts == [attempt]));
    assert!(socket.taken.is_empty() && queue.is_empty());
    assert_eq!(queue.waiting_bytes(), 0);
}
