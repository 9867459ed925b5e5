//! Frames: a length, which includes itself, and a body.
//!
//! This file owns how they are read and written. It must never know what a body holds.

use super::error::WireError;
use std::io::{self, Read, Write};

/// Bytes of a frame's length.
pub(super) const LENGTH_BYTES: usize = 4;
/// Bytes of a batch before its records: its length, the number of records, the time.
const BATCH_HEADER_BYTES: usize = 16;

/// Reads one frame with its length; `None` where the input ends before a frame.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, WireError> {
    let mut frame = Vec::new();
    input
        .by_ref()
        .take(LENGTH_BYTES as u64)
        .read_to_end(&mut frame)?;
    let Ok(length) = <[u8; LENGTH_BYTES]>::try_from(frame.as_slice()) else {
        let got = frame.len() as u64;
        return if got == 0 {
            Ok(None)
        } else {
            Err(WireError::TruncatedFrame {
                got,
                want: LENGTH_BYTES as u64,
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
    let got = frame.len() as u64;
    if got < u64::from(length) {
        return Err(WireError::TruncatedFrame {
            got,
            want: u64::from(length),
        });
    }
    Ok(Some(frame))
}

/// Writes a reply of the actions that `body` holds, and flushes it.
pub fn write_reply(output: &mut impl Write, body: &[u8]) -> Result<(), WireError> {
    let length = u32::try_from(body.len() + LENGTH_BYTES).map_err(io::Error::other)?;
    output.write_all(&length.to_le_bytes())?;
    output.write_all(body)?;
    output.flush()?;
    Ok(())
}
