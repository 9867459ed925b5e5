//! The replicated store of configuration and operators' state, implemented as quorum registers on the configured nodes.
//!
//! A register holds the value and version of a key, in memory and, if a data folder is set, in a file. Operations follow the ABD
//! algorithm: a write queries the versions of a majority and stores a higher version at a majority; a read takes the highest
//! version of a majority and writes it back to a majority. An operation completes only with a majority, and a node with a data
//! folder acknowledges a value only once the value is durable. The module does no network I/O and reads no clock.

mod message;
mod operation;
mod registers;

pub use message::{Message, MessageError, MAX_MESSAGE_BYTES};
pub use operation::{Completed, Operation, OperationSetup, Progress};
pub use registers::Registers;

use miniserde::json;
use std::io;
use thiserror::Error;

/// Maximum length of a key (bytes).
pub const MAX_KEY_BYTES: usize = 200;
/// Maximum length of a value (bytes): an indented list of 10,000 servers takes 2.3 MB.
pub const MAX_VALUE_BYTES: usize = 4 * 1024 * 1024;

/// Error of a read or write.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Fewer than a majority of the nodes answered in time. A write may or may not have taken place.
    #[error("no majority of the store's nodes answered")]
    NoMajority,
    /// The key or the value is too long, all values together are too long, or there are too many keys.
    #[error("beyond the store's limits")]
    Limits,
    /// Reading or writing the data folder failed.
    #[error("the data folder failed: {0}")]
    Disk(#[from] io::Error),
    /// The file in the data folder is truncated or was modified.
    #[error("the file in the data folder is damaged")]
    Damaged,
}

/// Version of a value, which orders the values of a register by counter and then by node.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    miniserde::Serialize,
    miniserde::Deserialize,
)]
pub struct Version {
    /// Counter that increases with each write; 0 if the key was never written.
    pub counter: u64,
    /// Id of the node that wrote the value.
    pub node: u32,
}

/// Returns whether a key and its value are within the limits of the store and of a message between nodes.
pub fn is_storable(key: &str, value: &str) -> bool {
    let escaped_bytes = || json::to_string(value).len() + json::to_string(key).len();
    let is_within_limits =
        !key.is_empty() && key.len() <= MAX_KEY_BYTES && value.len() <= MAX_VALUE_BYTES;
    is_within_limits && escaped_bytes() + message::OVERHEAD_BYTES <= MAX_MESSAGE_BYTES
}

#[cfg(test)]
mod tests;
