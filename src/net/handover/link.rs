//! The connection between the two processes of a handover, which carries lines of text.

use super::messages::HandoverError;
use crate::net::socket::write_available;
use mio::net::UnixStream;
use std::io::{self, Read};

/// Maximum length of a line (bytes). The state of a mixer that knows 10,000 servers and ten classes takes 22.5 MB.
pub(super) const MAX_LINE_BYTES: usize = 48 * 1024 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of reads in one turn. The state of a large mixer takes some turns.
const MAX_READS_PER_TURN: usize = 64;

/// The stage of the handover on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Connected to a predecessor; the state is requested once discovery has answered.
    AwaitingList,
    /// The predecessor's state is requested.
    StateRequested,
    /// The predecessor's state is confirmed; its commit is awaited.
    StateAccepted,
    /// A successor is connected and has not requested the state yet.
    SuccessorConnected,
    /// The state is sent to the successor; neither process accepts connections.
    StateSent,
    /// Committed, on either side: the successor serves, and the predecessor finishes its open requests.
    Committed,
}

/// A connection to the other process.
pub(super) struct Link {
    stream: UnixStream,
    pub(super) stage: Stage,
    /// Time at which the stage times out if no message is received.
    pub(super) timeout_at: f64,
    read_buffer: Vec<u8>,
    write_buffer: Vec<u8>,
}

/// Data received on a connection.
pub(in crate::net) struct Received {
    /// Complete lines, without their ends.
    pub(in crate::net) lines: Vec<String>,
    /// Error that ends the connection after these lines, if any. Otherwise, whether more data may be available, for which the
    /// connection needs another turn.
    pub(in crate::net) result: Result<bool, HandoverError>,
}

impl Link {
    pub(super) fn new(stream: UnixStream, stage: Stage, timeout_at: f64) -> Link {
        Link {
            stream,
            stage,
            timeout_at,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
        }
    }

    /// Returns whether a line has not been written completely.
    pub(super) fn has_unsent(&self) -> bool {
        !self.write_buffer.is_empty()
    }

    /// Queues a line and writes as much as the socket accepts.
    pub(super) fn send(&mut self, line: &str) -> Result<(), HandoverError> {
        self.write_buffer.extend_from_slice(line.as_bytes());
        self.flush()
    }

    /// Writes as much as the socket accepts, then reads the data of one turn.
    pub(super) fn receive(&mut self) -> Received {
        let flushed = self.flush();
        let scanned = self.read_buffer.len(); // earlier bytes contain no line end
        let result = flushed.and(self.read());
        let mut lines = Vec::new();
        let end = self.read_buffer[scanned..]
            .iter()
            .rposition(|byte| *byte == b'\n');
        if let Some(end) = end {
            let complete: Vec<u8> = self.read_buffer.drain(..=scanned + end).collect();
            lines.extend(String::from_utf8_lossy(&complete).lines().map(String::from));
        }
        Received { lines, result }
    }

    fn flush(&mut self) -> Result<(), HandoverError> {
        Ok(write_available(&mut self.stream, &mut self.write_buffer)?)
    }

    /// Reads into the buffer for the length of a turn. Returns whether more data may be available.
    fn read(&mut self) -> Result<bool, HandoverError> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Ok(count) => self.read_buffer.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(false),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            if self.read_buffer.len() > MAX_LINE_BYTES {
                return Err(HandoverError::LineTooLong);
            }
        }
        Ok(true)
    }
}
