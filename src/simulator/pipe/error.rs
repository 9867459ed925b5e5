//! Errors of the protocol between the simulator and the decision module.

use crate::config::SettingsError;
use std::io;
use thiserror::Error;

/// An error of the exchange with the simulator.
#[derive(Debug, Error)]
pub enum WireError {
    /// The stream could not be read or written.
    #[error("input or output failed: {0}")]
    Io(#[from] io::Error),
    /// The input ended inside a frame.
    #[error("input ended inside a frame: read {read} of {expected} bytes")]
    TruncatedFrame {
        /// Number of bytes that were read.
        read: u64,
        /// Number of bytes that were expected.
        expected: u64,
    },
    /// The announced length of a frame is less than that of the header.
    #[error("frame length {0} is shorter than its header")]
    LengthTooSmall(u32),
    /// A record runs past the end of its frame.
    #[error("record {record} ({name}) runs past the end of the frame at byte {at}")]
    TruncatedRecord {
        /// Index of the record in the frame.
        record: u32,
        /// Kind of the record.
        name: &'static str,
        /// Length of the frame (bytes).
        at: usize,
    },
    /// The frame has bytes after its last record.
    #[error("{0} bytes left after the last record")]
    TrailingBytes(usize),
    /// The code of a record is unknown.
    #[error("record {record}: unknown event code {code} at byte {at}")]
    UnknownCode {
        /// Index of the record in the frame.
        record: u32,
        /// Code as read from the frame.
        code: u8,
        /// Offset of the code in the frame (bytes).
        at: usize,
    },
    /// The value of a field is invalid.
    #[error("record {record} ({name}): {error}")]
    InvalidValue {
        /// Index of the record in the frame.
        record: u32,
        /// Kind of the record.
        name: &'static str,
        /// Cause of the error.
        #[source]
        error: FieldError,
    },
}

/// The reason why the value of a field is invalid.
#[derive(Debug, Error)]
pub enum FieldError {
    /// The time of a batch is infinite or not a number.
    #[error("clock is not a finite number")]
    ClockNotFinite,
    /// The number of a list exceeds the maximum.
    #[error("list number {number} exceeds the maximum of {max}")]
    ListNumberTooLarge {
        /// List number in the record.
        number: usize,
        /// Largest list number that a record may use.
        max: usize,
    },
    /// The size of a list exceeds the address space.
    #[error("list has too many entries")]
    TooManyEntries,
    /// A record refers to a list that was not defined.
    #[error("list number {0} is not defined")]
    UndefinedList(usize),
    /// The kind of a list notification is unknown.
    #[error("unknown kind of list notification {0}")]
    UnknownListKind(u8),
    /// The state of a replica is unknown.
    #[error("unknown replica state {0}")]
    UnknownReplicaState(u8),
    /// The outcome of an attempt is unknown.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u8),
    /// The settings of an instance are invalid.
    #[error("{0}")]
    Settings(#[from] SettingsError),
}
