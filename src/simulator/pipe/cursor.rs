//! A cursor that reads fields from a frame and returns errors that name the record.

use super::error::{FieldError, WireError};

/// A reader of the fields of a frame.
pub(super) struct Cursor<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// Index of the current record, for errors.
    pub(super) record: u32,
    /// Kind of the current record, for errors.
    pub(super) name: &'static str,
}

impl<'a> Cursor<'a> {
    /// Creates a cursor at a byte offset of a frame, or of a section of one.
    pub(super) fn new(bytes: &'a [u8], at: usize, record: u32, name: &'static str) -> Cursor<'a> {
        Cursor {
            bytes,
            offset: at,
            record,
            name,
        }
    }

    /// Returns the offset of the next byte.
    pub(super) fn offset(&self) -> usize {
        self.offset
    }

    /// Returns the number of bytes that have not been read.
    pub(super) fn remaining(&self) -> usize {
        self.bytes.len() - self.offset
    }

    /// Reads `count` bytes. Fails if fewer are left.
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

    /// Skips a load report, which the decision module does not use.
    pub(super) fn skip_load_report(&mut self) -> Result<(), WireError> {
        let count = usize::from(self.u8()?);
        self.take(count * 4).map(|_| ())
    }

    /// Returns the error for an invalid value in the current record.
    pub(super) fn invalid(&self, error: FieldError) -> WireError {
        WireError::InvalidValue {
            record: self.record,
            name: self.name,
            error,
        }
    }
}
