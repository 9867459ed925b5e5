//! Socket, buffers and deadline of one admin connection.

use crate::net::socket::write_available;
use mio::net::TcpStream;
use std::io::{self, Read, Write};
use thiserror::Error;

/// Limit on the line of a call.
const MAX_LINE_BYTES: usize = 256;
/// Limit on the input that is discarded after the line.
const MAX_DISCARDED_BYTES: usize = 64 * 1024;
/// Buffer size for one read from the socket.
const READ_BUFFER_BYTES: usize = 1024;

/// Error that ends an admin connection.
#[derive(Debug, Error)]
pub(super) enum AdminConnectionError {
    /// Failed socket, or connection closed by the operator.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Input after the line above the limit on discarded input.
    #[error("too many bytes after the call")]
    TooManyBytes,
}

/// Admin connection. Times are in seconds of the event loop's clock.
pub(in crate::net) struct AdminConnection {
    stream: TcpStream,
    line: Vec<u8>,
    /// Unwritten rest of the reply; `None` until the reply is set.
    reply: Option<Vec<u8>>,
    discarded_bytes: usize,
    received_at: f64,
    deadline: f64,
}

impl AdminConnection {
    /// Returns the state of a connection that was accepted at `now`. The line must be complete by `deadline`.
    pub(super) fn new(stream: TcpStream, now: f64, deadline: f64) -> AdminConnection {
        AdminConnection {
            stream,
            line: Vec::new(),
            reply: None,
            discarded_bytes: 0,
            received_at: now,
            deadline,
        }
    }

    /// Returns the time of the latest input for the line, or of the accept if there was no input.
    pub(super) fn received_at(&self) -> f64 {
        self.received_at
    }

    /// Returns the time by which the line must be complete, or the reply delivered.
    pub(super) fn deadline(&self) -> f64 {
        self.deadline
    }

    /// Returns whether the connection has not received a complete call yet.
    pub(super) fn is_awaiting_call(&self) -> bool {
        self.reply.is_none()
    }

    /// Returns whether the reply is written completely.
    pub(super) fn is_answered(&self) -> bool {
        self.reply.as_ref().is_some_and(Vec::is_empty)
    }

    /// Returns the socket, for registration with the poll.
    pub(in crate::net) fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Reads input and returns the line once it is complete. After the reply is set, further input is discarded. The caller
    /// must drop the connection after an error.
    pub(super) fn read(&mut self, now: f64) -> Result<Option<String>, AdminConnectionError> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            let count = match self.stream.read(&mut buffer) {
                Ok(0) => return self.end_of_input(),
                Ok(count) => count,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(None),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                Err(error) => return Err(error.into()),
            };
            if self.reply.is_some() {
                self.discarded_bytes += count;
                if self.discarded_bytes > MAX_DISCARDED_BYTES {
                    return Err(AdminConnectionError::TooManyBytes);
                }
                continue;
            }
            self.received_at = now;
            self.line.extend_from_slice(&buffer[..count]);
            let end = self.line.iter().position(|byte| *byte == b'\n');
            if end.is_some() || self.line.len() > MAX_LINE_BYTES {
                self.line.truncate(end.unwrap_or(0)); // an overlong line becomes empty, which is an unknown call
                return Ok(Some(self.line_text()));
            }
        }
    }

    /// Handles the end of the input, which also ends the line. A pending reply is still written, because the operator may
    /// have closed only the write side.
    fn end_of_input(&self) -> Result<Option<String>, AdminConnectionError> {
        match &self.reply {
            None if !self.line.is_empty() => Ok(Some(self.line_text())),
            Some(reply) if !reply.is_empty() => Ok(None),
            None | Some(_) => Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
        }
    }

    fn line_text(&self) -> String {
        String::from_utf8_lossy(&self.line).into_owned()
    }

    /// Sets the reply, which must be delivered by `deadline`.
    pub(super) fn start_reply(&mut self, reply: String, deadline: f64) {
        self.reply = Some(reply.into_bytes());
        self.deadline = deadline;
    }

    /// Writes as much of the reply as the socket accepts, and shuts down the write side after the last byte.
    pub(super) fn write(&mut self) -> io::Result<()> {
        let Some(reply) = self.reply.as_mut().filter(|reply| !reply.is_empty()) else {
            return Ok(());
        };
        write_available(&mut self.stream, reply)?;
        if !reply.is_empty() {
            return Ok(());
        }
        self.stream.shutdown(std::net::Shutdown::Write)
    }

    /// Writes a reply without waiting if the socket does not accept all of it. The connection is dropped afterwards.
    pub(super) fn write_final_reply(&mut self, reply: &str) {
        let _ = self.stream.write(reply.as_bytes());
    }
}
