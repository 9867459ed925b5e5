//! State, buffers and timeouts of one client connection.
//!
//! [`ClientConnections`](crate::net::client::connections::ClientConnections) drives and closes the connections. All times
//! are in seconds of the event loop's clock.

use crate::net::client::opensearch::SearchContext;
use crate::net::client::output::Output;
use crate::net::http::{HttpError, Message, MessageReader};
use crate::requests::coordinator::{Protocol, RequestKey};
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// Buffer size for one read from a socket.
pub(super) const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Input buffer that a connection keeps between two requests.
const MAX_KEPT_INPUT_BYTES: usize = READ_BUFFER_BYTES;
/// Limit on the input that is read before a request is started and while it is in flight, to find the end of the stream. The platform's
/// clients send one request at a time; one that sends more than this ahead is not served.
const MAX_READ_AHEAD_BYTES: usize = 128 * 1024;
/// Buffer size for one read ahead.
const READ_AHEAD_BUFFER_BYTES: usize = 4 * 1024;
/// Limit on the input that is discarded after the last response. Further input stays in the socket.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// Timeout from the first to the last byte of a request.
const REQUEST_TIMEOUT_S: f64 = 2.0;
/// Timeout for a connection without a request.
const IDLE_TIMEOUT_S: f64 = 2.2;
/// Timeout from connecting to the end of the first request. A client that sends nothing, or sends very slowly, must not
/// hold its descriptor for longer than 3 s.
const FIRST_REQUEST_TIMEOUT_S: f64 = 2.5;
/// Timeout from the start of a response until the socket has accepted all of it.
const WRITE_TIMEOUT_S: f64 = 5.0;
/// Timeout from the last response until the client closes its side.
const LINGER_TIMEOUT_S: f64 = 1.0;

/// State of a client connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientState {
    /// Idle, or reading a request.
    Reading,
    /// Request in flight with the request coordinator.
    InFlight(RequestKey),
    /// Request waiting for a store operation.
    AwaitingStore,
    /// Response being written.
    Writing,
    /// Last response written and write side shut down, while further input is discarded.
    Lingering,
}

/// Result of one read from the socket.
pub(super) enum SocketRead {
    /// Number of bytes read, at least one.
    Bytes(usize),
    /// No available input.
    Blocked,
    /// End of the stream from the client.
    Closed,
    /// Reset connection or failed read.
    Failed,
}

/// Whether a client is still connected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClientPresence {
    /// All input has been read, and the client has not closed its side.
    Connected,
    /// The client has closed its side.
    Disconnected,
    /// Unread input may hide that the client has closed its side.
    Unknown,
}

/// Progress of writing a response.
pub(super) enum WriteProgress {
    /// Response written completely.
    Complete,
    /// Send buffer of the socket full before the end of the response.
    Blocked,
}

/// Connection of one client.
pub(in crate::net) struct ClientConnection {
    pub(super) stream: TcpStream,
    /// Address of the client, for log lines.
    pub(super) peer: Option<SocketAddr>,
    pub(super) protocol: Protocol,
    /// Context of the request in flight, for the search API only.
    pub(super) search_context: Option<SearchContext>,
    pub(super) state: ClientState,
    /// Time at which `state` began. While a request is being read, time of its first byte.
    pub(super) state_since: f64,
    pub(super) reader: MessageReader,
    /// Input that `reader` has not parsed yet.
    pub(super) input: Vec<u8>,
    /// Response that is being written.
    pub(super) output: Output,
    /// Bytes of the payload of the request in flight.
    pub(super) request_bytes: usize,
    /// Bytes of this connection in the total of all clients.
    pub(super) counted_bytes: usize,
    /// Whether the client has closed its side. Such a client counts as disconnected even if it could still read a response.
    pub(super) has_disconnected: bool,
    /// Whether input may be left in `input` or in the socket because the last turn of the connection ended early.
    pub(super) may_have_input: bool,
    /// Earliest time since which the input may wait for a turn; `f64::MAX` if it does not.
    pub(super) waits_since: f64,
    /// Whether the connection ends once it is found to be idle.
    pub(super) closes_when_idle: bool,
    /// Whether the next response closes the connection.
    pub(super) closes_after_response: bool,
    /// Whether the next response has no body, because it answers a HEAD request.
    pub(super) omits_body: bool,
    /// Whether `100 Continue` was sent for the request that is being read.
    pub(super) sent_continue: bool,
    /// Number of bytes discarded after the last response.
    pub(super) discarded_bytes: usize,
    /// Time by which the first request must be complete; `f64::MAX` once it is.
    pub(super) first_request_by: f64,
    /// Time of the pending timer of this connection; 0 if there is none.
    pub(super) timer_at: f64,
}

impl ClientConnection {
    /// Returns the state of a connection that was accepted at `now`.
    pub(super) fn new(
        stream: TcpStream,
        protocol: Protocol,
        reader: MessageReader,
        now: f64,
    ) -> ClientConnection {
        ClientConnection {
            peer: stream.peer_addr().ok(),
            stream,
            protocol,
            search_context: None,
            state: ClientState::Reading,
            state_since: now,
            reader,
            input: Vec::new(),
            output: Output::default(),
            request_bytes: 0,
            counted_bytes: 0,
            has_disconnected: false,
            may_have_input: false,
            waits_since: f64::MAX,
            closes_when_idle: false,
            closes_after_response: false,
            omits_body: false,
            sent_continue: false,
            discarded_bytes: 0,
            first_request_by: now + FIRST_REQUEST_TIMEOUT_S,
            timer_at: 0.0,
        }
    }

    /// Returns the socket, for registration with the poll.
    pub(in crate::net) fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Changes the state and records the time of the change.
    pub(super) fn enter(&mut self, state: ClientState, now: f64) {
        self.state = state;
        self.state_since = now;
        self.waits_since = f64::MAX;
    }

    /// Returns whether no byte of a request has been received since the last response, or since connecting.
    pub(super) fn is_idle(&self) -> bool {
        self.state == ClientState::Reading
            && self.input.is_empty()
            && !self.reader.is_inside_message()
    }

    /// Returns whether the connection is idle after at least one complete request.
    pub(super) fn is_idle_after_response(&self) -> bool {
        self.is_idle() && self.first_request_by == f64::MAX
    }

    /// Returns whether a request waits for its final answer.
    pub(super) fn has_request(&self) -> bool {
        matches!(
            self.state,
            ClientState::InFlight(_) | ClientState::AwaitingStore
        )
    }

    /// Returns whether the last response was written at least `linger_s` ago.
    pub(in crate::net) fn has_lingered(&self, now: f64, linger_s: f64) -> bool {
        self.state == ClientState::Lingering && now >= self.state_since + linger_s
    }

    /// Returns the memory that the client's input, its request in flight and its response take.
    pub(super) fn memory_bytes(&self) -> usize {
        self.input.capacity()
            + self.reader.memory_bytes()
            + self.request_bytes
            + self.output.memory_bytes()
    }

    /// Releases the memory of input that has been parsed, beyond what a small request needs.
    pub(super) fn release_input(&mut self) {
        if self.input.capacity() > MAX_KEPT_INPUT_BYTES {
            self.input.shrink_to(MAX_KEPT_INPUT_BYTES);
        }
    }

    /// Releases all input, which is not parsed any more.
    pub(super) fn discard_input(&mut self) {
        self.input = Vec::new();
        self.reader.discard();
    }

    /// Returns the time at which the current state times out. The value is `f64::MAX` while a request is being handled,
    /// because the request coordinator and the store have their own timeouts.
    pub(super) fn deadline(&self) -> f64 {
        match self.state {
            ClientState::Reading if self.is_idle() => {
                (self.state_since + IDLE_TIMEOUT_S).min(self.first_request_by)
            }
            ClientState::Reading => {
                (self.state_since + REQUEST_TIMEOUT_S).min(self.first_request_by)
            }
            ClientState::Writing => self.state_since + WRITE_TIMEOUT_S,
            ClientState::InFlight(_) | ClientState::AwaitingStore => f64::MAX,
            ClientState::Lingering => self.state_since + LINGER_TIMEOUT_S,
        }
    }

    /// Parses the next request from the input. Returns `None` if the request is incomplete.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, HttpError> {
        self.reader.read(&mut self.input, false)
    }

    /// Sends `100 Continue` if the incomplete request expects it, at most once for each request.
    pub(super) fn send_continue(&mut self) {
        if self.reader.expects_continue() && !self.sent_continue {
            self.sent_continue = true;
            // A failed write is ignored: clients send the body after a delay even without `100 Continue`.
            let _ = self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /// Reads once from the socket, and retries if a signal interrupts the read.
    pub(super) fn read_socket(&mut self, buffer: &mut [u8]) -> SocketRead {
        loop {
            return match self.stream.read(buffer) {
                Ok(0) => SocketRead::Closed,
                Ok(count) => SocketRead::Bytes(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => SocketRead::Blocked,
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(_) => SocketRead::Failed,
            };
        }
    }

    /// Reads input up to a limit before a request is started or while it is in flight, in order to detect the end of the stream,
    /// which follows any input that the client sends ahead.
    pub(super) fn read_ahead(&mut self) -> ClientPresence {
        let mut buffer = [0; READ_AHEAD_BUFFER_BYTES];
        while !self.has_disconnected && self.input.len() < MAX_READ_AHEAD_BYTES {
            match self.read_socket(&mut buffer) {
                SocketRead::Bytes(count) => {
                    self.input.reserve_exact(count);
                    self.input.extend_from_slice(&buffer[..count]);
                }
                SocketRead::Blocked => return ClientPresence::Connected,
                SocketRead::Closed | SocketRead::Failed => self.has_disconnected = true,
            }
        }
        if self.has_disconnected {
            ClientPresence::Disconnected
        } else {
            ClientPresence::Unknown
        }
    }

    /// Returns whether input is to be discarded, which is the case after the last response and up to a limit. Input above
    /// the limit stays unread until the linger timeout: an immediate close with unread input would reset the connection,
    /// and the client could lose the response.
    pub(super) fn discards_input(&self) -> bool {
        self.state == ClientState::Lingering && self.discarded_bytes <= MAX_DISCARDED_BYTES
    }

    /// Returns whether the client is still connected, without reading its input.
    pub(super) fn peek_presence(&self) -> ClientPresence {
        match self.stream.peek(&mut [0]) {
            _ if self.has_disconnected => ClientPresence::Disconnected,
            Ok(0) => ClientPresence::Disconnected,
            Ok(_) => ClientPresence::Unknown,
            Err(_) => ClientPresence::Connected,
        }
    }

    /// Writes as much of the response as the socket accepts.
    pub(super) fn write_output(&mut self) -> io::Result<WriteProgress> {
        while !self.output.is_written() {
            match self.stream.write(self.output.unwritten()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.output.advance(count),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(WriteProgress::Blocked)
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(WriteProgress::Complete)
    }
}
