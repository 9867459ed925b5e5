//! Errors that prevent the mixer from starting or end its event loop.

use std::io;
use std::net::SocketAddr;
use thiserror::Error;

/// An error that prevents the mixer from starting or ends its event loop.
#[derive(Debug, Error)]
pub enum NetError {
    /// A listening socket could not be opened.
    #[error("cannot listen on {address}: {error}")]
    Listen {
        /// Address of the socket.
        address: SocketAddr,
        /// Cause of the failure.
        error: io::Error,
    },
    /// A system call of the event loop or of its start failed.
    #[error("event loop failed: {0}")]
    Loop(#[from] io::Error),
}
