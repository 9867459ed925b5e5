//! Errors that end a connection to a leaf server.

use crate::net::http::HttpError;
use std::io;
use thiserror::Error;

/// Error that ends a connection to a leaf server.
#[derive(Debug, Error)]
pub enum ReplicaError {
    /// The socket failed, or the leaf server closed the connection.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The connection ended in the middle of an HTTP message.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// The connection was not established within the connect timeout.
    #[error("connect timeout")]
    ConnectTimeout,
    /// Another connection to the same leaf server received an answer to a later call.
    #[error("silent while another answers")]
    Silent,
    /// An answer was not complete in time after its first byte.
    #[error("incomplete answer")]
    IncompleteAnswer,
    /// An answer does not have the format that the protocol requires.
    #[error("malformed answer")]
    MalformedAnswer,
    /// HTTP bytes were received that answer no request: before a request was written, or after its response.
    #[error("unexpected response")]
    UnexpectedResponse,
    /// An answer names a part that neither is nor recently was in flight on this connection.
    #[error("answer to an unknown part")]
    UnknownPart,
    /// Too many answers in a row named parts that are no longer in flight.
    #[error("answers repeated too often")]
    RepeatedAnswers,
    /// The incomplete answers of all leaf servers together exceed their share of the memory.
    #[error("too many incomplete answers at once")]
    TooManyIncompleteAnswers,
    /// The answer to a pre-check was received for a part that was sent in full.
    #[error("pre-check answer to a full query")]
    UnexpectedPreCheckAnswer,
    /// The length of a frame is zero or above the limit.
    #[error("invalid frame length")]
    InvalidFrameLength,
    /// The kind of a frame is not defined by the protocol.
    #[error("unknown kind of frame")]
    UnknownFrame,
    /// The leaf server reported that it could not read a frame.
    #[error("the leaf server rejected a frame")]
    FrameRejected,
    /// An HTTP response announced that the connection will be closed.
    #[error("closed after its response")]
    ClosedAfterResponse,
    /// The idempotency window of a partly written call is over, so its last byte must not be sent.
    #[error("partly sent call is too late")]
    PartlySentTooLate,
    /// No client waits for a partly written call any more, so its last byte must not be sent.
    #[error("partly sent call has no client")]
    PartlySentUnwanted,
}
