//! Reading and writing of frames. A frame starts with its length, which includes the length field itself.

use super::error::WireError;
use std::io::{self, Read, Write};

/// Size of the length field (bytes).
pub(super) const LENGTH_BYTES: usize = 4;
/// Size of the header of a batch: the length field, the number of records and the time (bytes).
const BATCH_HEADER_BYTES: usize = 16;

/// Reads a frame including its length field. Returns `None` if the input ends before a frame.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, WireError> {
    let mut frame = Vec::new();
    input
        .by_ref()
        .take(LENGTH_BYTES as u64)
        .read_to_end(&mut frame)?;
    let Ok(length) = <[u8; LENGTH_BYTES]>::try_from(frame.as_slice()) else {
        let read = frame.len() as u64;
        return if read == 0 {
            Ok(None)
        } else {
            Err(WireError::TruncatedFrame {
                read,
                expected: LENGTH_BYTES as u64,
            })
        };
    };
    let length = u32::from_le_bytes(length);
    if (length as usize) < BATCH_HEADER_BYTES {
        return Err(WireError::LengthTooSmall(length));
    }
    input
        .by_ref()
        .take(u64::from(length) - LENGTH_BYTES as u64)
        .read_to_end(&mut frame)?;
    let read = frame.len() as u64;
    if read < u64::from(length) {
        return Err(WireError::TruncatedFrame {
            read,
            expected: u64::from(length),
        });
    }
    Ok(Some(frame))
}

/// Writes a reply frame with the encoded actions in `body`, and flushes the output.
pub fn write_reply(output: &mut impl Write, body: &[u8]) -> Result<(), WireError> {
    let length = u32::try_from(body.len() + LENGTH_BYTES).map_err(io::Error::other)?;
    output.write_all(&length.to_le_bytes())?;
    output.write_all(body)?;
    output.flush()?;
    Ok(())
}
