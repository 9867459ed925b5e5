//! Why the simulator's pipe failed.
//!
//! This file owns the wording.

use crate::config::SettingsError;
use std::io;
use thiserror::Error;

/// Why the pipe failed.
#[derive(Debug, Error)]
pub enum WireError {
    /// The stream could not be read or written.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// The input ended inside a frame.
    #[error("input ended inside a frame: {got} of {want} bytes")]
    TruncatedFrame {
        /// Bytes that were read.
        got: u64,
        /// Bytes that the length announced.
        want: u64,
    },
    /// The frame's length is under that of its header.
    #[error("frame length {0} is shorter than its header")]
    LengthTooSmall(u32),
    /// A record runs past the end of its frame.
    #[error("record {record} ({name}) runs past the end of the frame at byte {at}")]
    TruncatedRecord {
        /// Its index in the frame.
        record: u32,
        /// Its kind.
        name: &'static str,
        /// The length of the frame.
        at: usize,
    },
    /// Bytes are left after the last record.
    #[error("{0} bytes left after the last record")]
    TrailingBytes(usize),
    /// No event has this code.
    #[error("record {record}: unknown event code {code} at byte {at}")]
    UnknownCode {
        /// Its index in the frame.
        record: u32,
        /// The code.
        code: u8,
        /// Its byte in the frame.
        at: usize,
    },
    /// A field holds a value that has no meaning.
    #[error("record {record} ({name}): {error}")]
    InvalidValue {
        /// Its index in the frame.
        record: u32,
        /// Its kind.
        name: &'static str,
        /// The cause.
        #[source]
        error: FieldError,
    },
}

/// Why the value of a field has no meaning.
#[derive(Debug, Error)]
pub enum FieldError {
    /// The time of the batch is infinite or none.
    #[error("the clock is not a number")]
    ClockNotFinite,
    /// A numbered list has a number beyond the last one.
    #[error("list number {number} is over {max}")]
    ListNumberTooLarge {
        /// The number.
        number: usize,
        /// The last one.
        max: usize,
    },
    /// A list has more entries than fit into memory.
    #[error("too many entries")]
    TooManyEntries,
    /// A list is used that was never defined.
    #[error("list number {0} was never given")]
    UndefinedList(usize),
    /// No kind of list event has this code.
    #[error("unknown kind of list {0}")]
    UnknownListKind(u8),
    /// No state of a replica has this code.
    #[error("unknown state of a replica {0}")]
    UnknownReplicaState(u8),
    /// No outcome has this code.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The settings of an instance could not be decoded.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}
