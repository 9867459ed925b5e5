//! The messages between the store's nodes and their encoding. The field names are part of the wire format.

use crate::store::{Version, MAX_VALUE_BYTES};
use miniserde::json;
use thiserror::Error;

/// Maximum length of a message without its key and value (bytes).
pub(super) const OVERHEAD_BYTES: usize = 4096;
/// Maximum length of an encoded message without its length field (bytes). In a list of servers, a quote, a backslash or a line
/// end takes two bytes, and no other character takes more.
pub const MAX_MESSAGE_BYTES: usize = 2 * MAX_VALUE_BYTES + OVERHEAD_BYTES;
/// Length of the length field (bytes).
const LENGTH_BYTES: usize = 4;

/// Reason for which bytes cannot be decoded. The caller has to close the connection.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum MessageError {
    /// The length exceeds [`MAX_MESSAGE_BYTES`].
    #[error("a message of the store that is too long")]
    TooLong,
    /// The body is not JSON, or lacks a field.
    #[error("a malformed message of the store")]
    Malformed,
}

/// A message between nodes. A request with a value stores the value; a request without a value reads the register.
#[derive(Clone, Debug, Default, PartialEq, miniserde::Serialize, miniserde::Deserialize)]
pub struct Message {
    /// Id of the operation, assigned by the requesting node.
    pub operation: u64,
    /// Step of the operation: 1 queries versions, 2 stores the value.
    pub step: u32,
    /// Whether the message is an answer.
    pub answer: bool,
    /// Key of the register.
    pub key: String,
    /// Version that is stored or was read.
    pub version: Version,
    /// Value that is stored or was read.
    pub value: Option<String>,
}

impl Message {
    /// Encodes the message as a length field of four bytes in big-endian order, followed by JSON.
    pub fn encode(&self) -> Vec<u8> {
        let text = json::to_string(self);
        let mut out = (text.len() as u32).to_be_bytes().to_vec();
        out.extend(text.into_bytes());
        out
    }

    /// Removes the next message from the front of the buffer. Returns `None` if the message is not complete yet.
    pub fn decode(buffer: &mut Vec<u8>) -> Result<Option<Message>, MessageError> {
        let length_field = buffer
            .get(..LENGTH_BYTES)
            .and_then(|field| <[u8; LENGTH_BYTES]>::try_from(field).ok());
        let Some(length_field) = length_field else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(length_field) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(MessageError::TooLong);
        }
        let end = LENGTH_BYTES + length;
        let Some(body) = buffer.get(LENGTH_BYTES..end) else {
            return Ok(None);
        };
        let text = std::str::from_utf8(body).map_err(|_| MessageError::Malformed)?;
        let message = json::from_str(text).map_err(|_| MessageError::Malformed)?;
        buffer.drain(..end);
        Ok(Some(message))
    }
}
