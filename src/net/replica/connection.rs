//! One connection to a leaf server: calls are queued and written; `answers.rs` reads what comes back.
//!
//! This file owns the parts that are in flight on the connection, and knows for each attempt whether its last byte has left
//! and how it ended. It must never decide where a part goes, never give an attempt two outcomes, never take an answer for an
//! attempt that was sent on another connection, and never read on after an answer that it could not use.

use crate::decisions::api::{Outcome, ReplicaId};
use crate::endpoints::directory::WireFormat;
use crate::net::client::opensearch;
use crate::net::http::MessageReader;
use crate::net::replica::error::ReplicaError;
use crate::net::replica::frames::{self, EncodedCall};
use crate::net::replica::send_queue::{QueuedFrame, SendQueue, StartedCall, WriteStep};
use crate::net::socket::is_connected;
use crate::requests::coordinator::{AttemptKey, CallPart};
use crate::requests::invariants::CallTimes;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// An answer that has started is complete after this time, or the connection ends (seconds).
const ANSWER_TIMEOUT_S: f64 = 0.25;
/// Ended parts that are remembered, so that a late or second answer to one is recognized.
const MAX_RECENT_PARTS: usize = 64;
/// Parts in flight on a connection in HTTP/1.1.
const MAX_HTTP_PARTS: usize = 1;
/// In HTTP/1.1 a later request on another connection may be the faster one: silence has to be so many times as long there.
const HTTP_SILENCE_FACTOR: f64 = 2.0;

/// A part that is in flight on a connection. It stays, without its attempt, after that was cancelled: its answer may still
/// come, and must not be taken for that of a later attempt of the same part.
pub(super) struct PartInFlight {
    pub(super) attempt: Option<AttemptKey>,
    pub(super) id: String,
    pub(super) pre_check: bool,
    /// Whether the last byte of its call has left.
    pub(super) is_written: bool,
    sent_at: f64,
    /// How long the client waits for it.
    until: f64,
}

impl PartInFlight {
    /// How its attempt ended; none where that was cancelled before.
    pub(super) fn result(&self, outcome: Outcome, value: Option<Rc<str>>) -> Option<AttemptResult> {
        Some(AttemptResult {
            attempt: self.attempt?,
            sent_at: self.sent_at,
            outcome,
            value,
        })
    }
}

/// A part that is no longer in flight.
pub(super) struct RecentPart {
    pub(super) id: String,
    pub(super) pre_check: bool,
}

/// How an attempt ended, by its leaf server's answer.
#[derive(Debug, PartialEq)]
pub struct AttemptResult {
    /// The attempt.
    pub attempt: AttemptKey,
    /// When its call was queued.
    pub sent_at: f64,
    /// How it ended.
    pub outcome: Outcome,
    /// The value, where it was served.
    pub value: Option<Rc<str>>,
}

/// How an attempt ended, by the end of its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LostAttempt {
    /// The attempt.
    pub attempt: AttemptKey,
    /// How it ended.
    pub outcome: Outcome,
}

/// Why the mixer itself ends a connection that is up.
#[derive(Clone, Copy)]
enum LocalClose {
    /// It is silent while another connection to the leaf server answers.
    Silent,
    /// What came can't be used; and whose answer it was, if that is known.
    UnusableAnswer { of: Option<AttemptKey> },
}

/// What a connection is opened with.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaConnectionSetup {
    /// The leaf server.
    pub replica: ReplicaId,
    /// The address to which the socket connects.
    pub address: SocketAddr,
    /// What the leaf server speaks.
    pub wire_format: WireFormat,
    /// Shards of the deployment, for requests in HTTP.
    pub shards: u32,
    /// No call is accepted while more bytes wait to be written.
    pub max_waiting_bytes: usize,
}

impl ReplicaConnectionSetup {
    fn encode(&self, parts: &[CallPart]) -> EncodedCall {
        match self.wire_format {
            WireFormat::Frames => frames::encode_call(parts),
            WireFormat::Search => {
                let requests: Vec<Vec<u8>> = parts
                    .iter()
                    .map(|part| opensearch::render_leaf_request(part, self.address, self.shards))
                    .collect();
                EncodedCall {
                    bytes: requests.concat(),
                    part_bytes: requests.iter().map(Vec::len).collect(),
                }
            }
        }
    }
}

/// One connection to a leaf server. Times are of the loop's clock (seconds).
pub struct ReplicaConnection {
    pub(super) stream: TcpStream,
    is_connected: bool,
    /// When a call was last queued or an answer came.
    pub(super) used_at: f64,
    /// The load report that came last, as the leaf server words it.
    pub(super) load: Option<String>,
    /// Attempts written completely and not counted yet, by the front of their requests.
    written: [u64; 2],
    /// Calls that have started to leave and were not verified yet.
    started_calls: Vec<StartedCall>,
    pub(super) setup: ReplicaConnectionSetup,
    queue: SendQueue,
    pub(super) parts: Vec<PartInFlight>,
    pub(super) recent: VecDeque<RecentPart>,
    pub(super) input: Vec<u8>,
    pub(super) reader: MessageReader,
    /// Since when a part of an answer is there.
    pub(super) answer_began_at: Option<f64>,
    /// Since when something is in flight and nothing was received.
    pub(super) silent_since: Option<f64>,
    local_close: Option<LocalClose>,
}

impl ReplicaConnection {
    /// A connection that is being established.
    pub fn new(stream: TcpStream, setup: ReplicaConnectionSetup, now: f64) -> ReplicaConnection {
        ReplicaConnection {
            stream,
            is_connected: false,
            used_at: now,
            load: None,
            written: [0; 2],
            started_calls: Vec::new(),
            setup,
            queue: SendQueue::default(),
            parts: Vec::new(),
            recent: VecDeque::new(),
            input: Vec::new(),
            reader: MessageReader::responses(frames::MAX_FRAME_BYTES),
            answer_began_at: None,
            silent_since: None,
            local_close: None,
        }
    }

    /// The leaf server that it goes to.
    pub fn replica(&self) -> ReplicaId {
        self.setup.replica
    }

    /// The address to which it was opened; the leaf server's may have changed since.
    pub fn address(&self) -> SocketAddr {
        self.setup.address
    }

    /// Its socket, for the poll.
    pub(in crate::net) fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Whether it has come up.
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Whether its socket is connected by now; an error says why it never will be.
    pub(super) fn poll_connected(&self) -> io::Result<bool> {
        is_connected(&self.stream)
    }

    /// When a call was last queued or an answer came.
    pub fn used_at(&self) -> f64 {
        self.used_at
    }

    /// The load report that came last, as the leaf server words it, if one came since it was last taken.
    pub fn take_load(&mut self) -> Option<String> {
        self.load.take()
    }

    /// Attempts that were written completely since this was last called, by the front of their requests.
    pub fn take_written(&mut self) -> [u64; 2] {
        std::mem::take(&mut self.written)
    }

    /// Calls that have started to leave since this was last called.
    pub fn take_started_calls(&mut self) -> Vec<StartedCall> {
        std::mem::take(&mut self.started_calls)
    }

    /// Parts that count against how many the connection carries at a time.
    fn parts_in_flight(&mut self, now: f64) -> usize {
        while let Some(index) = self
            .parts
            .iter()
            .position(|part| part.attempt.is_none() && part.until <= now)
        {
            let part = self.parts.remove(index);
            self.remember(part);
        }
        self.parts.len()
    }

    /// Keeps the id of a part that is no longer in flight.
    pub(super) fn remember(&mut self, part: PartInFlight) {
        if self.recent.len() >= MAX_RECENT_PARTS {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentPart {
            id: part.id,
            pre_check: part.pre_check,
        });
    }

    /// Whether nothing was received for longer than `silence_s` (seconds) though something is in flight. Cancelling that
    /// afterwards changes nothing.
    pub fn is_suspect(&self, now: f64, silence_s: f64) -> bool {
        self.is_connected && self.silent_since.is_some_and(|at| now > at + silence_s)
    }

    /// Whether it is suspect though the leaf server has answered on another connection what was sent later, at
    /// `answered_sent_at`: then this connection is at fault, and not the leaf server.
    pub fn is_silent_while_another_answers(
        &self,
        now: f64,
        silence_s: f64,
        answered_sent_at: f64,
    ) -> bool {
        let factor = match self.setup.wire_format {
            WireFormat::Search => HTTP_SILENCE_FACTOR,
            WireFormat::Frames => 1.0,
        };
        self.is_suspect(now, factor * silence_s)
            && self.silent_since.is_some_and(|at| at < answered_sent_at)
    }

    /// To be called before the connection is ended for [`ReplicaConnection::is_silent_while_another_answers`]: its attempts
    /// are cancelled then, and count neither against the leaf server nor against their parts.
    pub fn mark_silent(&mut self) {
        self.local_close = Some(LocalClose::Silent);
    }

    /// When an answer that has started has to be complete, if one has.
    pub fn answer_due_at(&self) -> Option<f64> {
        self.answer_began_at.map(|at| at + ANSWER_TIMEOUT_S)
    }

    /// What was received can't be used, so nothing that follows can be. Gives back the error that ends the connection.
    /// The answer counts as that of the part it names, or otherwise of the one that has waited for the longest.
    pub fn reject_answer(
        &mut self,
        named: Option<AttemptKey>,
        error: ReplicaError,
    ) -> ReplicaError {
        let oldest = || {
            self.parts
                .iter()
                .filter(|part| part.is_written)
                .find_map(|part| part.attempt)
        };
        self.local_close = Some(LocalClose::UnusableAnswer {
            of: named.or_else(oldest),
        });
        error
    }

    /// Whether no bytes wait to be written.
    pub fn has_nothing_to_send(&self) -> bool {
        self.queue.is_empty()
    }

    /// Whether no attempt is in flight on it.
    pub fn is_unused(&self) -> bool {
        self.parts.iter().all(|part| part.attempt.is_none())
    }

    /// Whether these parts may be sent on it: at most `max_parts` are in flight then, no answer is incomplete, and none of
    /// their ids is in flight already, for an answer names the part and not the attempt.
    pub fn can_accept(
        &mut self,
        parts: &[CallPart],
        max_parts: usize,
        now: f64,
        silence_s: f64,
    ) -> bool {
        let max_parts = match self.setup.wire_format {
            WireFormat::Search => MAX_HTTP_PARTS,
            WireFormat::Frames => max_parts,
        };
        // A call of more parts than a connection's limit is sent on an empty one; the leaf server reads the rest later.
        let in_flight = self.parts_in_flight(now);
        let has_capacity = in_flight == 0 || in_flight + parts.len() <= max_parts;
        let is_healthy = self.answer_began_at.is_none() && !self.is_suspect(now, silence_s);
        let is_in_flight = |part: &CallPart| {
            self.parts
                .iter()
                .any(|other| other.id == frames::part_id(part))
        };
        has_capacity
            && self.queue.waiting_bytes() <= self.setup.max_waiting_bytes
            && is_healthy
            && !parts.iter().any(is_in_flight)
    }

    /// The connection has come up.
    pub fn mark_connected(&mut self, now: f64) {
        self.is_connected = true;
        self.refresh_timeouts(now);
        let _ = self.stream.set_nodelay(true);
    }

    /// Calls that have waited, for the connection or for the socket, are encoded anew with what is left of their timeouts.
    pub fn refresh_timeouts(&mut self, now: f64) {
        let setup = self.setup;
        self.queue
            .refresh_timeouts(now, |parts| setup.encode(parts));
    }

    /// Queues a call; its bytes leave with [`ReplicaConnection::flush`].
    pub fn queue_call(&mut self, parts: &[CallPart], now: f64) {
        let encoded = self.setup.encode(parts);
        for part in parts {
            self.parts.push(PartInFlight {
                attempt: Some(part.attempt),
                id: frames::part_id(part),
                pre_check: part.pre_check,
                is_written: false,
                sent_at: now,
                until: now + part.timeout_s,
            });
        }
        self.queue.push_call(parts, encoded, now);
        self.used_at = now;
        self.silent_since.get_or_insert(now);
    }

    /// Cancels an attempt. Says whether the connection has to be closed for it.
    pub fn cancel(&mut self, attempt: AttemptKey, now: f64, silence_s: f64) -> bool {
        let must_close = self.cancel_part(attempt);
        // A cancelled part is never answered, so the silence after it means nothing: without this each cancellation would
        // cost the leaf server a handshake. A connection that was suspect before stays so.
        if self.is_unused() && !self.is_suspect(now, silence_s) {
            self.silent_since = None;
        }
        must_close
    }

    fn cancel_part(&mut self, attempt: AttemptKey) -> bool {
        let Some(index) = self
            .parts
            .iter()
            .position(|part| part.attempt == Some(attempt))
        else {
            return false;
        };
        // What has not started to leave never leaves, also where others in its call do.
        if self.withdraw_unsent(attempt) {
            return false;
        }
        self.parts[index].attempt = None;
        if self.setup.wire_format == WireFormat::Search {
            return true; // HTTP/1.1 has no other way to cancel a request
        }
        self.queue
            .push_cancel(frames::encode_cancel(&self.parts[index].id));
        false
    }

    /// Withdraws an attempt unless its call has started to leave. Says whether it never will.
    pub fn withdraw_unsent(&mut self, attempt: AttemptKey) -> bool {
        let is_withdrawn = self.queue.withdraw(attempt);
        if is_withdrawn {
            self.forget_parts(&[attempt]);
        }
        is_withdrawn
    }

    /// Withdraws every call that has not started to leave: nothing new may go to the leaf server. Gives the attempts.
    pub fn withdraw_all_unsent(&mut self) -> Vec<AttemptKey> {
        let withdrawn = self.queue.withdraw_all();
        self.forget_parts(&withdrawn);
        withdrawn
    }

    /// Withdraws the calls that have not started to leave and may no longer: the window in which their class may repeat a part
    /// has ended while they waited for the connection, or behind others. Gives the attempts.
    pub fn withdraw_late(&mut self, now: f64) -> Vec<AttemptKey> {
        let withdrawn = self.queue.withdraw_late(now);
        self.forget_parts(&withdrawn);
        withdrawn
    }

    fn forget_parts(&mut self, attempts: &[AttemptKey]) {
        if attempts.is_empty() {
            return;
        }
        self.parts.retain(|part| {
            part.attempt
                .is_none_or(|attempt| !attempts.contains(&attempt))
        });
    }

    /// Whether a call has left in part that must not arrive any more: only the end of the connection keeps back its last
    /// byte.
    pub fn is_partly_sent_too_late(&self, now: f64) -> bool {
        self.queue.is_partly_sent_too_late(now)
    }

    /// Attempts whose calls have not started to leave.
    pub fn unsent_attempts(&self) -> Vec<AttemptKey> {
        self.queue.unsent_attempts()
    }

    /// Attempts of the call that has left in part, if there is one.
    pub fn partly_sent_attempts(&self) -> Vec<AttemptKey> {
        self.queue.partly_sent_attempts()
    }

    /// Writes what the socket takes. `may_start` is asked before the first byte of each call leaves, and gives the time if the
    /// call may; one that may not is withdrawn, and its attempts are added to `withdrawn`.
    pub fn flush(
        &mut self,
        mut may_start: impl FnMut(&CallTimes) -> Option<f64>,
        withdrawn: &mut Vec<AttemptKey>,
    ) -> io::Result<()> {
        while self.is_connected {
            match self.queue.write_once(&mut self.stream, &mut may_start)? {
                WriteStep::Empty | WriteStep::Blocked => return Ok(()),
                WriteStep::Interrupted => {}
                WriteStep::Withdrawn(attempts) => {
                    self.forget_parts(&attempts);
                    withdrawn.extend(attempts);
                }
                WriteStep::Wrote { started, complete } => {
                    self.started_calls.extend(started);
                    if let Some(frame) = complete {
                        self.mark_written(&frame);
                    }
                }
            }
        }
        Ok(())
    }

    fn mark_written(&mut self, frame: &QueuedFrame) {
        for part in &mut self.parts {
            part.is_written |= part.attempt.is_some_and(|attempt| frame.carries(attempt));
        }
        self.written[frame.protocol() as usize] += frame.part_count() as u64;
    }

    /// How all attempts that are in flight end with the connection. Where an answer could not be used, the attempt that it
    /// belongs to has failed; the others were in flight on a connection that the mixer itself ended, and are not to blame.
    pub fn end_attempts(&mut self) -> Vec<LostAttempt> {
        let local_close = self.local_close;
        let lost = self.parts.drain(..).filter_map(|part| {
            let attempt = part.attempt?;
            let outcome = match (local_close, part.is_written) {
                (None, true) => Outcome::Reset,
                (None, false) => Outcome::ConnectFailed,
                (Some(LocalClose::UnusableAnswer { of: Some(of) }), true) if of == attempt => {
                    Outcome::Error
                }
                (Some(_), true) => Outcome::Cancelled,
                (Some(_), false) => Outcome::Superseded,
            };
            Some(LostAttempt { attempt, outcome })
        });
        lost.collect()
    }
}
