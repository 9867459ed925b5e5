//! A connection to discovery: writes one call at a time, reads its answer, and classifies how the call ended.

use crate::endpoints::missing_answers::{CallEnd, MAX_PROMPT_CALL_S};
use crate::net::http::{HttpError, Message, MessageReader};
use crate::net::socket::{has_unread_input, is_connected, write_available};
use mio::net::TcpStream;
use std::io::{self, Read};

/// Time without further bytes after which an incomplete answer counts as lost (seconds). Together with the delay before the
/// next call and its answer, this has to fit into the part of the drain grace that is used, 0.3 s of 0.5 s.
const MAX_STALL_S: f64 = 0.15;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of reads in one turn. A list of a large fleet should take one turn, because no client is served between the
/// first and the last byte of a change.
const MAX_READS_PER_TURN: usize = 256;
const STATUS_OK: u16 = 200;

/// The purpose of a connection to discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Watch on the endpoint list.
    Watch,
    /// Checks of the watch.
    Heartbeat,
}

/// A call to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Call {
    /// Request for the complete list, answered at once.
    CompleteList,
    /// Request for the changes since a revision, answered at once.
    Changes {
        /// Revision since which changes are requested.
        since: u64,
    },
    /// Request for the changes since a revision, answered at the first change or after a wait.
    Watch {
        /// Revision since which changes are requested.
        since: u64,
        /// Time for which discovery is to wait for a change (seconds).
        wait_s: f64,
    },
}

impl Call {
    /// Returns the bytes of the HTTP request.
    pub fn request_bytes(self, host: &str) -> Vec<u8> {
        let query = match self {
            Call::CompleteList => String::new(),
            Call::Changes { since } => format!("?index={since}&wait=0"),
            Call::Watch { since, wait_s } => {
                format!("?index={since}&wait={}", (wait_s * 1000.0) as u64)
            }
        };
        format!(
            "GET /api/targets{query} HTTP/1.1\r\nHost: {host}\r\nAccept: application/json\r\n\r\n"
        )
        .into_bytes()
    }

    /// Returns whether discovery waits for a change before it answers.
    pub(super) fn is_watch(self) -> bool {
        matches!(self, Call::Watch { .. })
    }
}

/// A call in flight on a connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct OpenCall {
    pub(super) call: Call,
    /// Revision of the list that was in use when the call was made.
    pub(super) revision: Option<u64>,
    /// Time of the event loop's clock at the call (seconds).
    pub(super) made_at: f64,
    pub(super) timeout_s: f64,
}

impl OpenCall {
    /// Returns whether discovery answers the call at once and the call was made just now.
    pub(super) fn is_prompt(&self, now: f64) -> bool {
        !self.call.is_watch() && now < self.made_at + MAX_PROMPT_CALL_S
    }
}

/// A connection to discovery.
pub struct DiscoveryConnection {
    /// Socket of the connection.
    pub stream: TcpStream,
    /// Time at which the call times out or the connection has to be established (seconds); `f64::MAX` if neither applies.
    pub due: f64,
    pub(super) role: Role,
    /// Bytes of the call that are not written yet.
    unsent: Vec<u8>,
    /// Bytes that were received and not parsed yet.
    unread: Vec<u8>,
    reader: MessageReader,
    pub(super) is_connected: bool,
    pub(super) open_call: Option<OpenCall>,
    /// Time since which the call's answer has been arriving.
    answer_began_at: Option<f64>,
    /// Whether the last turn ended before the socket was read to its end.
    pub(super) needs_turn: bool,
    /// Whether a complete answer was received that can't be used.
    pub(super) has_unusable_answer: bool,
}

/// Result of reading from a connection.
pub(super) enum Received {
    /// No complete answer was received yet.
    Nothing,
    /// Complete answer.
    Answer(Message),
    /// Error after which the connection can't be used.
    Failed(DiscoveryError),
}

/// The reason why a call to discovery failed.
#[derive(Debug, thiserror::Error)]
pub(super) enum DiscoveryError {
    #[error("{0}")]
    Io(#[from] io::Error),
    #[error("{0}")]
    Http(#[source] HttpError),
    #[error("the list has {bytes} bytes or more, {limit} are read (a share of limits.memory_mb)")]
    ListTooLarge { bytes: usize, limit: usize },
    #[error("closed")]
    Closed,
    #[error("no answer in time")]
    TimedOut,
    #[error("status {0}")]
    Status(u16),
    #[error("expected a response, received a request")]
    NoAnswer,
    #[error("received bytes that answer no call")]
    Unsolicited,
    #[error("list is not valid UTF-8")]
    NotUtf8,
    #[error("list is not valid JSON, or truncated")]
    NotJson,
    #[error("list has too many values, or too deep ones")]
    TooManyValues,
    #[error("answer has no member list")]
    NoEndpoints,
}

impl From<HttpError> for DiscoveryError {
    fn from(error: HttpError) -> DiscoveryError {
        match error {
            HttpError::BodyTooLarge { bytes, limit } => {
                DiscoveryError::ListTooLarge { bytes, limit }
            }
            other => DiscoveryError::Http(other),
        }
    }
}

impl DiscoveryConnection {
    /// Creates the state of a connection that is being established.
    pub(super) fn new(stream: TcpStream, role: Role, max_list_bytes: usize) -> DiscoveryConnection {
        DiscoveryConnection {
            stream,
            due: f64::MAX,
            role,
            unsent: Vec::new(),
            unread: Vec::new(),
            reader: MessageReader::responses(max_list_bytes),
            is_connected: false,
            open_call: None,
            answer_began_at: None,
            needs_turn: false,
            has_unusable_answer: false,
        }
    }

    /// Starts a call, whose bytes [`DiscoveryConnection::flush`] writes. Returns the time at which the call times out.
    pub(super) fn start_call(
        &mut self,
        request: Vec<u8>,
        open_call: OpenCall,
        connect_timeout_s: f64,
    ) -> f64 {
        self.unsent = request;
        // An unreachable host must not use up the long timeout of a watch.
        let timeout_s = if self.is_connected {
            open_call.timeout_s
        } else {
            open_call.timeout_s.min(connect_timeout_s)
        };
        self.due = open_call.made_at + timeout_s;
        self.open_call = Some(open_call);
        self.answer_began_at = None;
        self.due
    }

    /// Records that the call was answered and none is in flight.
    pub(super) fn call_completed(&mut self) {
        self.open_call = None;
        self.answer_began_at = None;
        self.due = f64::MAX;
    }

    /// Returns the time since which an incomplete answer that may be a list has been arriving.
    pub(super) fn answer_arriving_since(&self) -> Option<f64> {
        let status = self.reader.pending_status(&self.unread);
        self.answer_began_at
            .filter(|_| status.is_none_or(|status| status == STATUS_OK))
    }

    /// Classifies how the call ended if the connection can't be used any more for this reason.
    pub(super) fn call_end(&self, reason: &DiscoveryError) -> CallEnd {
        if self.open_call.is_none() || !self.is_connected || !self.unsent.is_empty() {
            return CallEnd::NotSent;
        }
        match reason {
            DiscoveryError::Status(_) => CallEnd::Refused,
            // No call can deliver a list above the limit, so no answer counts as missing and the last list stays in use.
            DiscoveryError::ListTooLarge { .. } => CallEnd::Refused,
            _ if self.has_unusable_answer => CallEnd::Refused,
            _ if self.answer_arriving_since().is_some() => CallEnd::CutOff,
            _ if self.answer_began_at.is_some() => CallEnd::Refused,
            DiscoveryError::TimedOut => CallEnd::TimedOut,
            DiscoveryError::Io(_) => CallEnd::Reset,
            _ => CallEnd::Closed,
        }
    }

    /// Writes as much as the socket accepts, once the connection is established.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        if !self.is_connected {
            return Ok(());
        }
        write_available(&mut self.stream, &mut self.unsent)
    }

    /// Checks whether the connection is established and, if so, writes the pending bytes. Returns whether the connection is
    /// established.
    pub(super) fn finish_connecting(&mut self) -> io::Result<bool> {
        if !self.is_connected {
            self.is_connected = is_connected(&self.stream)?;
            if !self.is_connected {
                return Ok(false);
            }
            let _ = self.stream.set_nodelay(true);
            if let Some(open) = self.open_call {
                self.due = open.made_at + open.timeout_s;
            }
        }
        self.flush()?;
        Ok(true)
    }

    /// Reads up to the end of an answer, until the socket has no more data, or for the length of a turn. The data was received
    /// after `previous_iteration_at`, the previous time at which the event loop read the socket.
    pub(super) fn receive(&mut self, previous_iteration_at: f64, now: f64) -> Received {
        let length_before = self.received_bytes();
        let received = self.read_answer(previous_iteration_at);
        let has_more = self.received_bytes() != length_before;
        if let (Received::Nothing, true, Some(open)) = (&received, has_more, self.open_call) {
            self.due = (now + MAX_STALL_S).min(open.made_at + open.timeout_s);
        }
        received
    }

    /// Returns the number of bytes received of an incomplete answer.
    fn received_bytes(&self) -> usize {
        self.unread.len() + self.reader.buffered_bytes()
    }

    fn read_answer(&mut self, previous_iteration_at: f64) -> Received {
        let mut buffer = [0; READ_BUFFER_BYTES];
        self.needs_turn = false;
        for _ in 0..MAX_READS_PER_TURN {
            let count = match self.stream.read(&mut buffer) {
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Received::Nothing
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Received::Failed(error.into()),
            };
            self.unread.extend_from_slice(&buffer[..count]);
            if count > 0 {
                // Without a call, even the beginning of a message would be taken for the answer to the next call.
                if self.open_call.is_none() {
                    return Received::Failed(DiscoveryError::Unsolicited);
                }
                self.answer_began_at.get_or_insert(previous_iteration_at);
            }
            match self.reader.read(&mut self.unread, count == 0) {
                Ok(Some(message)) => return Received::Answer(self.without_surplus(message)),
                Ok(None) if count == 0 => return Received::Failed(DiscoveryError::Closed),
                Ok(None) => {}
                Err(error) => return Received::Failed(error.into()),
            }
        }
        self.needs_turn = true;
        Received::Nothing
    }

    /// Marks an answer as the last one on its connection if more bytes follow it in the socket, as the reader does for those in
    /// the buffer, or if discovery has closed its side.
    fn without_surplus(&self, mut message: Message) -> Message {
        message.keep_alive &= matches!(has_unread_input(&self.stream), Ok(false));
        message
    }
}
