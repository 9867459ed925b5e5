//! A connection to or from a peer of the store, which exchanges encoded messages.

use crate::net::backlog::{ReadProgress, MAX_READS_PER_TURN};
use crate::net::socket::{is_connected, write_available};
use crate::store::{Message, MAX_MESSAGE_BYTES};
use mio::net::TcpStream;
use std::io::{self, Read};

/// Maximum number of bytes waiting to be written to a peer. It exceeds the size of the longest message, so that one message
/// cannot end the connection.
const MAX_WAITING_BYTES: usize = 2 * MAX_MESSAGE_BYTES;
/// Bytes read from the socket at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of messages that are taken from a connection in one turn; a write to the data folder may take some milliseconds.
const MAX_MESSAGES_PER_TURN: usize = 4;

/// The side that opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// Opened by this node to the given node, to send requests.
    To(u32),
    /// Opened by a peer, which sends requests.
    FromPeer,
}

/// A connection to or from a peer of the store.
pub(in crate::net) struct PeerConnection {
    stream: TcpStream,
    direction: Direction,
    is_connected: bool,
    read_buffer: Vec<u8>,
    write_buffer: Vec<u8>,
    /// Time at which data was last received, or at which the connection was opened.
    received_at: f64,
}

impl PeerConnection {
    /// Creates a connection whose attempt to connect is in progress.
    pub(super) fn to(node: u32, stream: TcpStream, now: f64) -> PeerConnection {
        PeerConnection {
            stream,
            direction: Direction::To(node),
            is_connected: false,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
            received_at: now,
        }
    }

    /// Creates a connection that was accepted.
    pub(super) fn from_peer(stream: TcpStream, now: f64) -> PeerConnection {
        PeerConnection {
            stream,
            direction: Direction::FromPeer,
            is_connected: true,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
            received_at: now,
        }
    }

    /// Returns the side that opened the connection.
    pub(super) fn direction(&self) -> Direction {
        self.direction
    }

    /// Queues a request. If the write buffer is full the request is dropped, and the operation gets one answer fewer.
    pub(super) fn queue_request(&mut self, bytes: &[u8]) {
        if self.write_buffer.len() < MAX_WAITING_BYTES {
            self.write_buffer.extend(bytes);
        }
    }

    pub(super) fn queue_answer(&mut self, bytes: Vec<u8>) {
        self.write_buffer.extend(bytes);
    }

    /// Returns whether more data waits than allowed because the peer reads too slowly.
    pub(super) fn is_write_buffer_full(&self) -> bool {
        self.write_buffer.len() > MAX_WAITING_BYTES
    }

    /// Writes as much as the socket accepts, then reads the data of one turn and appends the decoded messages to `received`.
    /// After an error the caller has to close the connection.
    pub(super) fn exchange(
        &mut self,
        now: f64,
        received: &mut Vec<Message>,
    ) -> io::Result<ReadProgress> {
        self.flush()?;
        if !self.is_connected {
            return Ok(ReadProgress::Drained);
        }
        self.read(now, received)
    }

    /// Writes as much as the socket accepts, once the connection is established.
    pub(super) fn flush(&mut self) -> io::Result<()> {
        if !self.is_connected && !is_connected(&self.stream)? {
            return Ok(());
        }
        self.is_connected = true;
        write_available(&mut self.stream, &mut self.write_buffer)
    }

    /// Returns the memory that incomplete messages and unwritten answers take.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.read_buffer.capacity() + self.write_buffer.capacity()
    }

    /// Returns the time at which data was last received, or at which the connection was opened.
    pub(super) fn received_at(&self) -> f64 {
        self.received_at
    }

    fn read(&mut self, now: f64, received: &mut Vec<Message>) -> io::Result<ReadProgress> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            self.decode(received)?;
            if received.len() >= MAX_MESSAGES_PER_TURN {
                return Ok(ReadProgress::MoreInput);
            }
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => {
                    self.received_at = now;
                    self.read_buffer.extend_from_slice(&buffer[..count]);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(ReadProgress::Drained)
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
        }
        Ok(ReadProgress::MoreInput)
    }

    /// Appends the complete messages of the read buffer to `received`, up to the number of a turn.
    fn decode(&mut self, received: &mut Vec<Message>) -> io::Result<()> {
        while received.len() < MAX_MESSAGES_PER_TURN {
            let message = Message::decode(&mut self.read_buffer).map_err(io::Error::other)?;
            let Some(message) = message else { break };
            received.push(message);
        }
        if self.read_buffer.is_empty() {
            self.read_buffer = Vec::new();
        }
        Ok(())
    }

    /// Returns the connection's socket, to be registered with the poll.
    pub(in crate::net) fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }
}
