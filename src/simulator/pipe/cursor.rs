//! A cursor over the bytes of a frame.
//!
//! This file owns the form of numbers, and errors that name the record. It must never read beyond the frame.

use super::error::{FieldError, WireError};

/// Reads fields from a frame.
pub(super) struct Cursor<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// The index of the record that is read, for errors.
    pub(super) record: u32,
    /// The kind of the record that is read, for errors.
    pub(super) name: &'static str,
}

impl<'a> Cursor<'a> {
    /// A cursor at that byte of a frame, or of a part of one.
    pub(super) fn new(bytes: &'a [u8], at: usize, record: u32, name: &'static str) -> Cursor<'a> {
        Cursor {
            bytes,
            offset: at,
            record,
            name,
        }
    }

    /// The next byte's index.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// Bytes that have not been read.
    pub(super) fn remaining(&self) -> usize {
        self.bytes.len() - self.offset
    }

    /// Reads that many bytes; an error where there are fewer.
    pub(super) fn take(&mut self, count: usize) -> Result<&'a [u8], WireError> {
        let end = self
            .offset
            .checked_add(count)
            .filter(|end| *end <= self.bytes.len());
        let Some(end) = end else {
            return Err(WireError::TruncatedRecord {
                record: self.record,
                name: self.name,
                at: self.bytes.len(),
            });
        };
        let taken = &self.bytes[self.offset..end];
        self.offset = end;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut out = [0; N];
        out.copy_from_slice(self.take(N)?);
        Ok(out)
    }

    pub(super) fn u8(&mut self) -> Result<u8, WireError> {
        Ok(self.array::<1>()?[0])
    }

    pub(super) fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_le_bytes(self.array()?))
    }

    pub(super) fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_le_bytes(self.array()?))
    }

    pub(super) fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_le_bytes(self.array()?))
    }

    pub(super) fn f32(&mut self) -> Result<f32, WireError> {
        Ok(f32::from_le_bytes(self.array()?))
    }

    pub(super) fn f64(&mut self) -> Result<f64, WireError> {
        Ok(f64::from_le_bytes(self.array()?))
    }

    /// Skips a load report, of which the decision module has no use.
    pub(super) fn skip_load_report(&mut self) -> Result<(), WireError> {
        let count = usize::from(self.u8()?);
        self.take(count * 4).map(|_| ())
    }

    /// The error of a value in this record that has no meaning.
    pub(super) fn invalid(&self, error: FieldError) -> WireError {
        WireError::InvalidValue {
            record: self.record,
            name: self.name,
            error,
        }
    }
}
