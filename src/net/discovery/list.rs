//! What an answer of discovery may contain: its length, its status and its JSON.
//!
//! This file owns the limits on an answer and its decoding. It must never take over a list.

use crate::net::discovery::connection::DiscoveryError;
use crate::net::http::{Message, StartLine};
use miniserde::json::Value;
use std::hash::{DefaultHasher, Hash, Hasher};

/// The longest list that is read is this share of the memory in the settings, because its text is in memory together with what
/// is read from it.
const MEMORY_SHARE: usize = 16;
/// At least this long a list is read: 10,000 replicas with indented lines of 220 bytes, and some 70% more.
const MIN_LIST_LIMIT_BYTES: usize = 4 * 1024 * 1024;
/// The limit on a list is at most this, whatever the memory.
const MAX_LIST_LIMIT_BYTES: usize = 64 * 1024 * 1024;

/// The longest list that is read with that memory (bytes).
pub(super) fn max_list_bytes(memory_bytes: usize) -> usize {
    (memory_bytes / MEMORY_SHARE).clamp(MIN_LIST_LIMIT_BYTES, MAX_LIST_LIMIT_BYTES)
}

/// Whether discovery answered with a body that may be a list.
pub(super) fn is_ok(message: &Message) -> bool {
    message.start == (StartLine::Response { status: 200 })
}

/// The JSON of an answer.
pub(super) fn decode(message: &Message) -> Result<Value, DiscoveryError> {
    match message.start {
        StartLine::Response { status: 200 } => {}
        StartLine::Response { status } => return Err(DiscoveryError::Status(status)),
        StartLine::Request { .. } => return Err(DiscoveryError::NoAnswer),
    }
    let text = std::str::from_utf8(&message.body).map_err(|_| DiscoveryError::NotUtf8)?;
    miniserde::json::from_str(text).map_err(|_| DiscoveryError::NotJson)
}

/// The hash by which two answers are compared.
pub(super) fn hash_of(body: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    body.hash(&mut hasher);
    hasher.finish()
}
