//! Errors of a client connection that occur before a request is parsed, with their HTTP responses.
//!
//! The texts and statuses are part of both client protocols.

use crate::net::client::{opensearch, platform};
use crate::net::http::HttpError;
use crate::requests::coordinator::Protocol;
use thiserror::Error;

/// Error that is sent as the last response on a connection.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub(super) enum ConnectionError {
    /// Input that is not a valid HTTP request or exceeds a size limit.
    #[error(transparent)]
    Malformed(#[from] HttpError),
    /// Request that was not received completely in time.
    #[error("the request took too long to come")]
    RequestTimeout,
    /// Memory limit exceeded by the incomplete requests of all clients.
    #[error("too many large requests at once")]
    TooManyLargeRequests,
    /// Client limit reached without a connection that can be evicted.
    #[error("no room for another client")]
    TooManyClients,
}

impl ConnectionError {
    /// Returns the HTTP status of the error response.
    pub(super) fn status(self) -> u16 {
        match self {
            ConnectionError::Malformed(error) => error.status(),
            ConnectionError::RequestTimeout => 408,
            ConnectionError::TooManyLargeRequests | ConnectionError::TooManyClients => 503,
        }
    }

    /// Serializes the error response, which announces the end of the connection.
    pub(super) fn response(self, protocol: Protocol) -> Vec<u8> {
        match protocol {
            Protocol::Platform => {
                platform::render_error(self.status(), &self.to_string(), &[], true)
            }
            Protocol::Search => opensearch::render_error(&self.into(), None, true),
        }
    }
}
