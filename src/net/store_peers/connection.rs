//! One connection to or from a peer of the store: bytes out, messages in.
//!
//! This file owns the socket and its buffers. It must never know what a message means.

use crate::net::socket::{is_connected, write_available};
use crate::store::{Message, MAX_MESSAGE_BYTES};
use mio::net::TcpStream;
use std::io::{self, Read};

/// Bytes that may wait to be written to a peer: a long value must not end its connection.
const MAX_WAITING_BYTES: usize = 2 * MAX_MESSAGE_BYTES;
/// Bytes read from the socket at a time.
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Who opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Direction {
    /// This node did, to that one: requests leave on it.
    To(u32),
    /// A peer did: requests arrive on it.
    FromPeer,
}

/// A connection to or from a peer of the store.
pub(in crate::net) struct PeerConnection {
    stream: TcpStream,
    direction: Direction,
    is_connected: bool,
    read_buffer: Vec<u8>,
    write_buffer: Vec<u8>,
}

impl PeerConnection {
    /// A connection that this node opens; it has yet to come up.
    pub(super) fn to(node: u32, stream: TcpStream) -> PeerConnection {
        PeerConnection {
            stream,
            direction: Direction::To(node),
            is_connected: false,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
        }
    }

    /// A connection that was accepted.
    pub(super) fn from_peer(stream: TcpStream) -> PeerConnection {
        PeerConnection {
            stream,
            direction: Direction::FromPeer,
            is_connected: true,
            read_buffer: Vec::new(),
            write_buffer: Vec::new(),
        }
    }

    /// Who opened it.
    pub(super) fn direction(&self) -> Direction {
        self.direction
    }

    /// Queues a request, unless too much waits already: then it is lost, and the operation has one answer less.
    pub(super) fn queue_request(&mut self, bytes: &[u8]) {
        if self.write_buffer.len() < MAX_WAITING_BYTES {
            self.write_buffer.extend(bytes);
        }
    }

    /// Queues an answer.
    pub(super) fn queue_answer(&mut self, bytes: Vec<u8>) {
        self.write_buffer.extend(bytes);
    }

    /// Whether the peer reads too slowly for what is written to it.
    pub(super) fn is_write_buffer_full(&self) -> bool {
        self.write_buffer.len() > MAX_WAITING_BYTES
    }

    /// Writes and reads what the socket takes and has, and adds what was received to `received`. An error ends the
    /// connection.
    pub(super) fn exchange(&mut self, received: &mut Vec<Message>) -> io::Result<()> {
        if !self.is_connected && !is_connected(&self.stream)? {
            return Ok(());
        }
        self.is_connected = true;
        write_available(&mut self.stream, &mut self.write_buffer)?;
        self.read(received)
    }

    fn read(&mut self, received: &mut Vec<Message>) -> io::Result<()> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                Ok(count) => self.read_buffer.extend_from_slice(&buffer[..count]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error),
            }
            while let Some(message) =
                Message::decode(&mut self.read_buffer).map_err(io::Error::other)?
            {
                received.push(message);
            }
        }
    }

    /// Its socket, for the poll.
    pub(in crate::net) fn stream_mut(&mut self) -> &mut TcpStream {
        &mut self.stream
    }
}
