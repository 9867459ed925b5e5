//! What connections and listeners of every kind do alike with their sockets.
//!
//! This file owns no socket. It must never block, except at the start of the process, and never decide what an error means for a
//! connection.

use crate::net::error::NetError;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// At the start of the process, a socket that the system refuses for now is tried again after this time.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// So often, some 2 s in all.
const MAX_START_RETRIES: u32 = 100;
/// No descriptor is left in the system (Linux).
const ENFILE: i32 = 23;
/// No descriptor is left in the process (Linux).
const EMFILE: i32 = 24;
/// No buffer space is left (Linux).
const ENOBUFS: i32 = 105;

/// Opens a socket at the start of the process, before its loop runs: again for a while where the system is short of descriptors or
/// memory. Any other error is returned at once.
pub(super) fn open_with_retries<S>(mut open: impl FnMut() -> io::Result<S>) -> io::Result<S> {
    for _ in 0..MAX_START_RETRIES {
        match open() {
            Err(error) if is_transient(&error) => std::thread::sleep(START_RETRY_INTERVAL),
            result => return result,
        }
    }
    open()
}

/// Whether a system call failed that may succeed soon.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, OutOfMemory, WouldBlock};
    is_out_of_descriptors(error)
        || error.raw_os_error() == Some(ENOBUFS)
        || matches!(error.kind(), Interrupted | OutOfMemory | WouldBlock)
}

/// Whether a system call failed for want of descriptors, of this process or of the system.
pub(super) fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE))
}

/// Listens on an address, and has the poll watch for connections. To be called at the start of the process.
pub(super) fn listen(
    registry: &Registry,
    address: SocketAddr,
    token: Token,
) -> Result<TcpListener, NetError> {
    let mut listener = open_with_retries(|| TcpListener::bind(address))
        .map_err(|error| NetError::Listen { address, error })?;
    registry.register(&mut listener, token, Interest::READABLE)?;
    Ok(listener)
}

/// Whether a connection has come up; an error says why it never will.
pub(super) fn is_connected(stream: &TcpStream) -> io::Result<bool> {
    if let Some(error) = stream.take_error()? {
        return Err(error);
    }
    match stream.peer_addr() {
        Ok(_) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::NotConnected => Ok(false),
        Err(error) => Err(error),
    }
}

/// Writes as much of a buffer as the socket takes, and removes that from its front.
pub(super) fn write_available(stream: &mut impl Write, buffer: &mut Vec<u8>) -> io::Result<()> {
    while !buffer.is_empty() {
        match stream.write(buffer) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => drop(buffer.drain(..count)),
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests;
