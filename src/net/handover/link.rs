//! The connection between the two processes of a handover, in lines of text.
//!
//! This file owns its socket and buffers, and the bound on a line. It must never know what a line means.

use super::messages::HandoverError;
use crate::net::socket::write_available;
use mio::net::UnixStream;
use std::io::{self, Read};

/// Longest line (bytes). The state of a mixer that knows 10,000 servers in ten classes takes 22.5 MB.
pub(super) const MAX_LINE_BYTES: usize = 48 * 1024 * 1024;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// How far the handover has come, on one connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// Connected to a predecessor; the state is requested once discovery has answered.
    AwaitingList,
    /// The predecessor's state is requested.
    StateRequested,
    /// The predecessor's state is accepted.
    StateAccepted,
    /// A successor is connected, and has requested nothing yet.
    SuccessorConnected,
    /// The state is sent to the successor; neither process accepts connections.
    StateSent,
    /// Committed, on either side: the successor serves, and the predecessor ends what it holds.
    Committed,
}

/// A connection to the other process.
pub(super) struct Link {
    stream: UnixStream,
    pub(super) stage: Stage,
    /// When the stage ends without a message.
    pub(super) due: f64,
    read_buffer: Vec<u8>,
    write_buffer: Vec<u8>,
}

/// What a connection has brought.
pub(in crate::net) struct Received {
    /// Complete lines, without their ends.
    pub(in crate::net) lines: Vec<String>,
    /// Why the connection is over after these lines, if it is.
    pub(in crate::net) result: Result<(), HandoverError>,
}

impl Link {
    pub(super) fn new(stream: UnixStream, stage: Stage, due: f64) -> Link {
        Link {
            stream,
            stage,
            due,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
        }
    }

    /// Whether a line has not been written completely.
    pub(super) fn has_unsent(&self) -> bool {
        !self.write_buffer.is_empty()
    }

    /// Sends a line, now as far as the socket takes it.
    pub(super) fn send(&mut self, line: &str) -> Result<(), HandoverError> {
        self.write_buffer.extend_from_slice(line.as_bytes());
        self.flush()
    }

    /// Writes what the socket takes, then reads all that has come.
    pub(super) fn receive(&mut self) -> Received {
        let flushed = self.flush();
        let unended = self.read_buffer.len(); // what was here before holds no end of a line
        let result = self.read().and(flushed);
        let mut lines = Vec::new();
        let end = self.read_buffer[unended..]
            .iter()
            .rposition(|byte| *byte == b'\n');
        if let Some(end) = end {
            let complete: Vec<u8> = self.read_buffer.drain(..=unended + end).collect();
            lines.extend(String::from_utf8_lossy(&complete).lines().map(String::from));
        }
        Received { lines, result }
    }

    fn flush(&mut self) -> Result<(), HandoverError> {
        Ok(write_available(&mut self.stream, &mut self.write_buffer)?)
    }

    /// Reads into the buffer until nothing more is there.
    fn read(&mut self) -> Result<(), HandoverError> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                Ok(count) => self.read_buffer.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
            if self.read_buffer.len() > MAX_LINE_BYTES {
                return Err(HandoverError::LineTooLong);
            }
        }
    }
}
