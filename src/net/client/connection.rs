//! One client's connection: its state, its buffers and its time limits.
//!
//! This file owns what one connection is doing and how long it may. It must never know other connections, never decide
//! about a request, and never close itself: [`ClientConnections`](crate::net::client::connections::ClientConnections)
//! does. All times are seconds of the loop's clock.

use crate::net::client::opensearch::SearchContext;
use crate::net::http::{HttpError, Message, MessageReader};
use crate::requests::coordinator::{Protocol, RequestKey};
use mio::net::TcpStream;
use std::io::{self, Read, Write};

/// Bytes that are read from a socket at once.
pub(super) const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Bytes that a client may send while its request is in flight; more stays in the socket.
const MAX_READ_AHEAD_BYTES: usize = 4 * 1024;
/// Input that is discarded after the last response; more stays in the socket.
const MAX_DISCARDED_BYTES: usize = 256 * 1024;
/// From the first byte of a request to its last.
const REQUEST_TIMEOUT_S: f64 = 2.0;
/// Between two requests.
const IDLE_TIMEOUT_S: f64 = 2.2;
/// From connecting to the end of the first request: a client that sends nothing, or very slowly, must not keep its
/// descriptor for longer than 3 s.
const FIRST_REQUEST_TIMEOUT_S: f64 = 2.5;
/// From the begin of a response until the client has taken all of it.
const WRITE_TIMEOUT_S: f64 = 5.0;
/// From the last response until the client has closed its side.
const LINGER_TIMEOUT_S: f64 = 1.0;

/// What a client's connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum ClientState {
    /// Between requests, or in the middle of reading one.
    Reading,
    /// Its request is with the request coordinator.
    InFlight(RequestKey),
    /// Its request waits for an operation of the store.
    AwaitingStore,
    /// A response is being written.
    Writing,
    /// The last response is written and our side is shut down; what still comes is discarded.
    Lingering,
}

/// What one attempt to read from the socket gave.
pub(super) enum SocketRead {
    /// That many bytes, at least one.
    Bytes(usize),
    /// Nothing for now.
    Blocked,
    /// The client has closed its side.
    Closed,
    /// The connection was reset, or cannot be read.
    Failed,
}

/// How far the response got.
pub(super) enum WriteProgress {
    /// All of it is written.
    Complete,
    /// The socket takes no more for now.
    Blocked,
}

/// The connection of one client.
pub(in crate::net) struct ClientConnection {
    pub(super) stream: TcpStream,
    pub(super) protocol: Protocol,
    /// Of the request in flight, where it came by the search API.
    pub(super) search_context: Option<SearchContext>,
    pub(super) state: ClientState,
    /// When `state` began; while reading, when the request began to come.
    pub(super) state_since: f64,
    pub(super) reader: MessageReader,
    /// What was read from the socket and not yet taken by `reader`.
    pub(super) input: Vec<u8>,
    /// The response that is being written.
    pub(super) output: Vec<u8>,
    /// How much of `output` the socket has taken.
    pub(super) written_bytes: usize,
    /// The client has closed its side. It counts as gone, whatever it could still read.
    pub(super) has_disconnected: bool,
    /// The next response is the last one.
    pub(super) closes_after_response: bool,
    /// `100 Continue` was sent for the request that is being read.
    pub(super) sent_continue: bool,
    /// Input that was discarded after the last response.
    pub(super) discarded_bytes: usize,
    /// When the first request must have been read; no limit once it has been.
    pub(super) first_request_by: f64,
    /// The deadline that stands in the timer queue for this connection; 0 where there is none.
    pub(super) timer_at: f64,
}

impl ClientConnection {
    /// A connection that was accepted at `now`.
    pub(super) fn new(
        stream: TcpStream,
        protocol: Protocol,
        reader: MessageReader,
        now: f64,
    ) -> ClientConnection {
        ClientConnection {
            stream,
            protocol,
            search_context: None,
            state: ClientState::Reading,
            state_since: now,
            reader,
            input: Vec::new(),
            output: Vec::new(),
            written_bytes: 0,
            has_disconnected: false,
            closes_after_response: false,
            sent_continue: false,
            discarded_bytes: 0,
            first_request_by: now + FIRST_REQUEST_TIMEOUT_S,
            timer_at: 0.0,
        }
    }

    /// Its socket, for the poll.
    pub(in crate::net) fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Begins a state.
    pub(super) fn enter(&mut self, state: ClientState, now: f64) {
        self.state = state;
        self.state_since = now;
    }

    /// Whether nothing of a request has come since the last response, or since connecting.
    pub(super) fn is_idle(&self) -> bool {
        self.state == ClientState::Reading
            && self.input.is_empty()
            && !self.reader.is_inside_message()
    }

    /// Whether it is idle after an earlier response.
    pub(super) fn is_idle_after_response(&self) -> bool {
        self.is_idle() && self.first_request_by == f64::MAX
    }

    /// Whether a request of it waits for its final answer.
    pub(super) fn has_request(&self) -> bool {
        matches!(
            self.state,
            ClientState::InFlight(_) | ClientState::AwaitingStore
        )
    }

    /// Whether its last response has been out for `linger_s` or longer.
    pub(in crate::net) fn has_lingered(&self, now: f64, linger_s: f64) -> bool {
        self.state == ClientState::Lingering && now >= self.state_since + linger_s
    }

    /// Bytes of a request that is not complete yet.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.input.len() + self.reader.buffered_bytes()
    }

    /// When its present state has lasted too long; `f64::MAX` where others bound it.
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

    /// The next complete request of the input, once it is there.
    pub(super) fn next_message(&mut self) -> Result<Option<Message>, HttpError> {
        self.reader.read(&mut self.input, false)
    }

    /// Sends `100 Continue` where the request that is being read waits for it, once for each request.
    pub(super) fn send_continue(&mut self) {
        if self.reader.expects_continue() && !self.sent_continue {
            self.sent_continue = true;
            // A client that does not get it sends its body after a while all the same.
            let _ = self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n");
        }
    }

    /// Reads once from the socket, again where a signal interrupts it.
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

    /// Reads what the client sends while its request is in flight, within a limit: the end of its side comes only
    /// behind that.
    pub(super) fn read_ahead(&mut self) {
        let mut buffer = [0; MAX_READ_AHEAD_BYTES];
        while !self.has_disconnected && self.input.len() < MAX_READ_AHEAD_BYTES {
            let space = MAX_READ_AHEAD_BYTES - self.input.len();
            match self.read_socket(&mut buffer[..space]) {
                SocketRead::Bytes(count) => self.input.extend_from_slice(&buffer[..count]),
                SocketRead::Blocked => return,
                SocketRead::Closed | SocketRead::Failed => self.has_disconnected = true,
            }
        }
    }

    /// Whether input is to be discarded: after the last response, within a limit. What comes beyond the limit stays
    /// unread, since a close at once would reset the connection and could destroy that response.
    pub(super) fn discards_input(&self) -> bool {
        self.state == ClientState::Lingering && self.discarded_bytes <= MAX_DISCARDED_BYTES
    }

    /// Whether the client has closed its side, as far as that can be seen without reading.
    pub(super) fn is_closed_by_client(&self) -> bool {
        self.has_disconnected || matches!(self.stream.peek(&mut [0]), Ok(0))
    }

    /// Writes as much of the response as the socket takes.
    pub(super) fn write_output(&mut self) -> io::Result<WriteProgress> {
        while self.written_bytes < self.output.len() {
            match self.stream.write(&self.output[self.written_bytes..]) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => self.written_bytes += count,
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
