//! Socket functions that all kinds of connections and listeners share. None of them blocks, except [`open_with_retries`] at the
//! start of the process.

use crate::net::error::NetError;
use mio::net::{TcpListener, TcpStream};
use mio::{Interest, Registry, Token};
use socket2::{Domain, Socket, Type};
use std::io::{self, Write};
use std::net::SocketAddr;
use std::time::Duration;

/// Delay between attempts to open a socket at the start of the process.
const START_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of retries, for about 2 s in all.
const MAX_START_RETRIES: u32 = 100;
/// Length of a listener's accept queue.
const ACCEPT_QUEUE_LENGTH: i32 = 1024;
/// Error number: the system's limit on open descriptors is reached (Linux).
const ENFILE: i32 = 23;
/// Error number: the process's limit on open descriptors is reached (Linux).
const EMFILE: i32 = 24;
/// Error number: no buffer space is available (Linux).
const ENOBUFS: i32 = 105;

/// Opens a socket at the start of the process, before the event loop runs. Blocks between retries while the system lacks
/// descriptors or memory; returns any other error at once.
pub(super) fn open_with_retries<S>(mut open: impl FnMut() -> io::Result<S>) -> io::Result<S> {
    for _ in 0..MAX_START_RETRIES {
        match open() {
            Err(error) if is_transient(&error) => std::thread::sleep(START_RETRY_INTERVAL),
            result => return result,
        }
    }
    open()
}

/// Returns whether a failed system call may succeed soon.
fn is_transient(error: &io::Error) -> bool {
    use io::ErrorKind::{Interrupted, OutOfMemory, WouldBlock};
    is_out_of_descriptors(error)
        || error.raw_os_error() == Some(ENOBUFS)
        || matches!(error.kind(), Interrupted | OutOfMemory | WouldBlock)
}

/// Returns whether a system call failed because the process or the system has no descriptors left.
pub(super) fn is_out_of_descriptors(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(EMFILE | ENFILE))
}

/// Listens on an address and registers the listener with the poll. May block with retries, so it must only be called at the
/// start of the process.
pub(super) fn listen(
    registry: &Registry,
    address: SocketAddr,
    token: Token,
) -> Result<TcpListener, NetError> {
    let mut listener = open_with_retries(|| bind_listener(address))
        .map_err(|error| NetError::Listen { address, error })?;
    registry.register(&mut listener, token, Interest::READABLE)?;
    Ok(listener)
}

/// Opens a listener with an accept queue that holds a burst of new connections. A connection that does not fit is retried by its
/// client's system only after a second.
pub(super) fn bind_listener(address: SocketAddr) -> io::Result<TcpListener> {
    let kind = Type::STREAM.nonblocking().cloexec();
    let socket = Socket::new(
        Domain::for_address(address),
        kind,
        Some(socket2::Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_QUEUE_LENGTH)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Returns whether a connection attempt has completed. Fails if the attempt has failed.
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

/// Returns whether received bytes wait to be read. Fails if the peer has closed its side, or the connection has failed.
pub(super) fn has_unread_input(stream: &TcpStream) -> io::Result<bool> {
    match stream.peek(&mut [0]) {
        Ok(0) => Err(io::ErrorKind::UnexpectedEof.into()),
        Ok(_) => Ok(true),
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(false),
        Err(error) if error.kind() == io::ErrorKind::Interrupted => Ok(false),
        Err(error) => Err(error),
    }
}

/// Writes as much of a buffer as the socket accepts, and removes it from the front of the buffer.
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
