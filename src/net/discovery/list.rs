//! Limits on an answer of discovery, and its decoding.

use crate::endpoints::json_limits;
use crate::net::discovery::connection::DiscoveryError;
use crate::net::http::{Message, StartLine};
use miniserde::json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Divisor of the memory limit in the settings that gives the maximum size of a list, because a list's text and its decoded
/// form are in memory at the same time.
const MEMORY_DIVISOR: usize = 16;
/// Lower bound of the limit on a list: 10,000 replicas with indented lines of 220 bytes, and some 70% more.
const MIN_LIST_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// Upper bound of the limit on a list, regardless of the memory limit.
const MAX_LIST_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// Returns the maximum size of a list for a memory limit (bytes).
pub(super) fn max_list_bytes(memory_bytes: usize) -> usize {
    (memory_bytes / MEMORY_DIVISOR).clamp(MIN_LIST_LIMIT_BYTES, MAX_LIST_LIMIT_BYTES)
}

/// Returns whether discovery answered with status 200, so that the body may be a list.
pub(super) fn is_ok(message: &Message) -> bool {
    message.start == (StartLine::Response { status: 200 })
}

/// Returns the JSON body of an answer with status 200.
pub(super) fn decode(message: &Message) -> Result<Value, DiscoveryError> {
    match message.start {
        StartLine::Response { status: 200 } => {}
        StartLine::Response { status } => return Err(DiscoveryError::Status(status)),
        StartLine::Request { .. } => return Err(DiscoveryError::NoAnswer),
    }
    let text = std::str::from_utf8(&message.body).map_err(|_| DiscoveryError::NotUtf8)?;
    if !json_limits::is_within_limits(text) {
        return Err(DiscoveryError::TooManyValues);
    }
    miniserde::json::from_str(text).map_err(|_| DiscoveryError::NotJson)
}

/// Returns the hash by which two answers are compared.
pub(super) fn hash_of(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}
