//! One connection to a leaf server: queues and writes calls, and tracks the parts in flight; `answers.rs` reads the
//! answers.
//!
//! Each attempt gets at most one outcome. An answer is only accepted for an attempt that was sent on the same connection,
//! and after an answer that can't be used nothing more is read.

use crate::decisions::api::{Outcome, ReplicaId};
use crate::endpoints::directory::WireFormat;
use crate::net::client::opensearch;
use crate::net::http::MessageReader;
use crate::net::replica::error::ReplicaError;
use crate::net::replica::frames::{self, EncodedCall};
use crate::net::replica::send_queue::{QueuedFrame, SendQueue, StartedCall, WriteStep};
use crate::net::socket::{has_unread_input, is_connected};
use crate::requests::coordinator::{AttemptKey, CallPart};
use crate::requests::invariants::CallTimes;
use mio::net::TcpStream;
use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

/// Time within which an answer has to be complete after its first byte, or the connection is closed (seconds).
const ANSWER_TIMEOUT_S: f64 = 0.25;
/// Maximum number of ended parts whose ids are kept to recognize late or duplicate answers.
pub(super) const MAX_RECENT_PARTS: usize = 64;
/// Maximum number of parts in flight on an HTTP/1.1 connection.
const MAX_HTTP_PARTS: usize = 1;
/// Factor on the silence limit for HTTP/1.1, where each request in flight has its own connection and a later request may be
/// answered sooner.
const HTTP_SILENCE_FACTOR: f64 = 2.0;

/// A part in flight on a connection. After a cancellation the part is kept without its attempt: its answer may still
/// arrive, and must not be taken for the answer to a later attempt of the same part.
pub(super) struct PartInFlight {
    pub(super) attempt: Option<AttemptKey>,
    pub(super) id: String,
    pub(super) pre_check: bool,
    /// Whether the last byte of the part's call has been written.
    pub(super) is_written: bool,
    sent_at: f64,
    /// Time until which the mixer waits for the part.
    until: f64,
}

impl PartInFlight {
    /// Returns the result of the attempt, or `None` if the attempt was cancelled before.
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

/// Result of an attempt that its leaf server answered.
#[derive(Debug, PartialEq)]
pub struct AttemptResult {
    /// Attempt that ended.
    pub attempt: AttemptKey,
    /// Time at which the call was queued.
    pub sent_at: f64,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Value of the part, if the part was served.
    pub value: Option<Rc<str>>,
}

/// Result of an attempt that ended with its connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LostAttempt {
    /// Attempt that ended.
    pub attempt: AttemptKey,
    /// Outcome of the attempt.
    pub outcome: Outcome,
}

/// Reason for which the mixer closes an established connection.
#[derive(Clone, Copy)]
enum LocalClose {
    /// The connection is silent while another connection to the leaf server receives answers.
    Silent,
    /// An answer can't be used; `of` is the attempt it belongs to, if known.
    UnusableAnswer { of: Option<AttemptKey> },
}

/// Parameters of a new connection.
#[derive(Clone, Copy, Debug)]
pub struct ReplicaConnectionSetup {
    /// Leaf server to connect to.
    pub replica: ReplicaId,
    /// Address to which the socket connects.
    pub address: SocketAddr,
    /// Protocol of the leaf server.
    pub wire_format: WireFormat,
    /// Number of unwritten bytes above which no call is accepted.
    pub max_waiting_bytes: usize,
}

impl ReplicaConnectionSetup {
    fn encode(&self, parts: &[CallPart]) -> EncodedCall {
        match self.wire_format {
            WireFormat::Frames => frames::encode_call(parts),
            WireFormat::Search => {
                let requests: Vec<Vec<u8>> = parts
                    .iter()
                    .map(|part| opensearch::render_leaf_request(part, self.address))
                    .collect();
                EncodedCall {
                    bytes: requests.concat(),
                    part_bytes: requests.iter().map(Vec::len).collect(),
                }
            }
        }
    }
}

/// A connection to a leaf server. Times are those of the event loop's clock (seconds).
pub struct ReplicaConnection {
    pub(super) stream: TcpStream,
    is_connected: bool,
    /// Time at which a call was last queued or an answer was received.
    pub(super) used_at: f64,
    /// Last load report, in the leaf server's format.
    pub(super) load: Option<String>,
    /// Number of attempts that were written completely and not counted yet, by front.
    written: [u64; 2],
    /// Calls whose writing has started and that have not been verified yet.
    started_calls: Vec<StartedCall>,
    pub(super) setup: ReplicaConnectionSetup,
    queue: SendQueue,
    pub(super) parts: Vec<PartInFlight>,
    pub(super) recent: VecDeque<RecentPart>,
    /// Number of answers in a row that belonged to no part in flight.
    pub(super) ignored_answers: usize,
    /// Bytes of this connection in the total of all connections to leaf servers.
    pub(super) counted_bytes: usize,
    pub(super) input: Vec<u8>,
    pub(super) reader: MessageReader,
    /// Time since which an incomplete answer has been arriving.
    pub(super) answer_began_at: Option<f64>,
    /// Time since which a part is in flight and nothing has been received.
    pub(super) silent_since: Option<f64>,
    local_close: Option<LocalClose>,
}

impl ReplicaConnection {
    /// Creates a connection that is being established.
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
            ignored_answers: 0,
            counted_bytes: 0,
            input: Vec::new(),
            reader: MessageReader::responses(frames::MAX_FRAME_BYTES),
            answer_began_at: None,
            silent_since: None,
            local_close: None,
        }
    }

    /// Returns the leaf server of the connection.
    pub fn replica(&self) -> ReplicaId {
        self.setup.replica
    }

    /// Returns the address to which the connection was opened; the leaf server's address may have changed since.
    pub fn address(&self) -> SocketAddr {
        self.setup.address
    }

    /// Returns the socket, for registration with the poll.
    pub(in crate::net) fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Returns whether the connection is established.
    pub fn is_connected(&self) -> bool {
        self.is_connected
    }

    /// Checks whether the socket is connected by now; an error means that connecting has failed.
    pub(super) fn poll_connected(&self) -> io::Result<bool> {
        is_connected(&self.stream)
    }

    /// Returns the time at which a call was last queued or an answer was received.
    pub fn used_at(&self) -> f64 {
        self.used_at
    }

    /// Takes the last load report, in the leaf server's format, if one was received since the previous call.
    pub fn take_load(&mut self) -> Option<String> {
        self.load.take()
    }

    /// Takes the number of attempts that were written completely since the previous call, by front.
    pub fn take_written(&mut self) -> [u64; 2] {
        std::mem::take(&mut self.written)
    }

    /// Takes the calls whose writing has started since the previous call.
    pub fn take_started_calls(&mut self) -> Vec<StartedCall> {
        std::mem::take(&mut self.started_calls)
    }

    /// Returns the number of parts that count against the connection's limit, after removing cancelled parts whose time is
    /// over.
    fn parts_in_flight(&mut self, now: f64) -> usize {
        while let Some(index) = self
            .parts
            .iter()
            .position(|part| part.attempt.is_none() && part.until <= now)
        {
            let part = self.parts.remove(index);
            self.add_recent_part(part);
        }
        self.parts.len()
    }

    /// Keeps the id of a part that is no longer in flight.
    pub(super) fn add_recent_part(&mut self, part: PartInFlight) {
        if self.recent.len() >= MAX_RECENT_PARTS {
            self.recent.pop_front();
        }
        self.recent.push_back(RecentPart {
            id: part.id,
            pre_check: part.pre_check,
        });
    }

    /// Returns whether nothing was received for longer than `silence_s` (seconds) although a part was in flight. Cancelling
    /// the part afterwards changes nothing.
    pub fn is_suspect(&self, now: f64, silence_s: f64) -> bool {
        self.is_connected && self.silent_since.is_some_and(|at| now > at + silence_s)
    }

    /// Returns whether the connection is suspect although the leaf server has answered, on another connection, a call that
    /// was sent later, at `answered_sent_at`. In that case the connection is at fault, and not the leaf server.
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

    /// Marks the connection as silent; must be called before the connection is closed for
    /// [`ReplicaConnection::is_silent_while_another_answers`]. Its attempts then count as cancelled, and are not held
    /// against the leaf server or their parts.
    pub fn mark_silent(&mut self) {
        self.local_close = Some(LocalClose::Silent);
    }

    /// Returns the time at which an incomplete answer has to be complete, if one is arriving.
    pub fn answer_due_at(&self) -> Option<f64> {
        self.answer_began_at.map(|at| at + ANSWER_TIMEOUT_S)
    }

    /// Records that an answer can't be used, so that nothing after it can be used either. Returns the error that closes the
    /// connection. The answer counts as the answer to the part it names, or otherwise to the oldest part that was sent.
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

    /// Returns whether no bytes are waiting to be written.
    pub fn has_nothing_to_send(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns whether no attempt is in flight on the connection.
    pub fn is_unused(&self) -> bool {
        self.parts.iter().all(|part| part.attempt.is_none())
    }

    /// Returns whether these parts may be sent on the connection: at most `max_parts` are in flight afterwards, no answer
    /// is incomplete, the connection is not suspect, and none of their ids is in flight, because an answer names the part
    /// and not the attempt.
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
        // A call with more parts than the connection's limit is sent on an unused connection; the leaf server reads the
        // remaining parts later.
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

    /// Marks the connection as established.
    pub fn mark_connected(&mut self, now: f64) {
        self.is_connected = true;
        self.refresh_timeouts(now);
        let _ = self.stream.set_nodelay(true);
    }

    /// Encodes waiting calls again with the remaining timeouts of their parts, whether they waited for the connection or
    /// for the socket.
    pub fn refresh_timeouts(&mut self, now: f64) {
        let setup = self.setup;
        self.queue
            .refresh_timeouts(now, |parts| setup.encode(parts));
    }

    /// Queues a call, whose bytes [`ReplicaConnection::flush`] writes.
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

    /// Cancels an attempt. Returns whether the connection has to be closed to cancel it.
    pub fn cancel(&mut self, attempt: AttemptKey, now: f64, silence_s: f64) -> bool {
        let must_close = self.cancel_part(attempt);
        // A cancelled part is never answered, so the silence after it has no meaning: without this reset each cancellation
        // would cost the leaf server a handshake. A connection that was suspect before remains suspect.
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
        // An attempt whose writing has not started is never sent, even if other parts of its call are.
        if self.withdraw_unsent(attempt) {
            return false;
        }
        self.parts[index].attempt = None;
        if self.setup.wire_format == WireFormat::Search {
            return true; // in HTTP/1.1 only closing the connection cancels a request
        }
        self.queue
            .push_cancel(frames::encode_cancel(&self.parts[index].id));
        false
    }

    /// Withdraws an attempt unless writing its call has started. Returns whether the attempt was withdrawn.
    pub fn withdraw_unsent(&mut self, attempt: AttemptKey) -> bool {
        let is_withdrawn = self.queue.withdraw(attempt);
        if is_withdrawn {
            self.remove_parts(&[attempt]);
        }
        is_withdrawn
    }

    /// Withdraws every call whose writing has not started, because the leaf server must not receive new calls. Returns the
    /// attempts.
    pub fn withdraw_all_unsent(&mut self) -> Vec<AttemptKey> {
        let withdrawn = self.queue.withdraw_all();
        self.remove_parts(&withdrawn);
        withdrawn
    }

    /// Withdraws the unwritten calls that are too late: the window in which their class may repeat a part has ended while
    /// they waited for the connection, or behind other calls. Returns the attempts.
    pub fn withdraw_late(&mut self, now: f64) -> Vec<AttemptKey> {
        let withdrawn = self.queue.withdraw_late(now);
        self.remove_parts(&withdrawn);
        withdrawn
    }

    fn remove_parts(&mut self, attempts: &[AttemptKey]) {
        if attempts.is_empty() {
            return;
        }
        self.parts.retain(|part| {
            part.attempt
                .is_none_or(|attempt| !attempts.contains(&attempt))
        });
    }

    /// Returns whether a partly written call must not arrive any more. Only closing the connection keeps its last byte from
    /// being sent.
    pub fn is_partly_sent_too_late(&self, now: f64) -> bool {
        self.queue.is_partly_sent_too_late(now)
    }

    /// Returns the attempts whose calls have not begun to be written.
    pub fn unsent_attempts(&self) -> Vec<AttemptKey> {
        self.queue.unsent_attempts()
    }

    /// Returns the attempts of the partly written call, if there is one.
    pub fn partly_sent_attempts(&self) -> Vec<AttemptKey> {
        self.queue.partly_sent_attempts()
    }

    /// Writes as much as the socket accepts. `may_start` is called before the first byte of each call is written, and
    /// returns the time if the call may be sent; other calls are withdrawn and their attempts added to `withdrawn`. An error
    /// means that the connection can't be used.
    pub fn flush(
        &mut self,
        mut may_start: impl FnMut(&CallTimes) -> Option<f64>,
        withdrawn: &mut Vec<AttemptKey>,
    ) -> Result<(), ReplicaError> {
        self.check_unsolicited_input()?;
        while self.is_connected {
            match self.queue.write_once(&mut self.stream, &mut may_start)? {
                WriteStep::Empty | WriteStep::Blocked => return Ok(()),
                WriteStep::Interrupted => {}
                WriteStep::Withdrawn(attempts) => {
                    self.remove_parts(&attempts);
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

    /// Checks that nothing was received before an HTTP request is written. An HTTP response does not name its request, so
    /// bytes that are in the socket by then would be taken for the response.
    fn check_unsolicited_input(&self) -> Result<(), ReplicaError> {
        let is_search = self.setup.wire_format == WireFormat::Search;
        if !is_search || !self.is_connected || !self.queue.begins_with_unsent_call() {
            return Ok(());
        }
        if has_unread_input(&self.stream)? || self.answer_began_at.is_some() {
            return Err(ReplicaError::UnexpectedResponse);
        }
        Ok(())
    }

    fn mark_written(&mut self, frame: &QueuedFrame) {
        for part in &mut self.parts {
            part.is_written |= part.attempt.is_some_and(|attempt| frame.carries(attempt));
        }
        self.written[frame.protocol() as usize] += frame.part_count() as u64;
    }

    /// Ends all attempts in flight together with the connection. If an answer could not be used, the attempt that it
    /// belongs to has failed; the other attempts were in flight on a connection that the mixer itself closed, and are not
    /// held against the leaf server.
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
