//! Parser of the chunked transfer coding, with limits on the framing that surrounds the content.

use super::{body_too_large, HttpError, MAX_HEAD_BYTES};

/// Limit on a chunk size line, and on a trailer line.
const MAX_CHUNK_LINE_BYTES: usize = 1024;
/// Limit on the bytes of a chunked body beside its content, for each byte of content that is allowed: a size line and a terminator for
/// each byte, with room for extensions.
const MAX_CHUNK_OVERHEAD_FACTOR: usize = 8;
/// Line terminator after the data of a chunk.
const CRLF: &[u8] = b"\r\n";

/// Progress of reading a chunked body.
#[derive(Default)]
pub(super) struct ChunkedBody {
    /// Bytes of the current chunk that are still to be read, including its line terminator.
    remaining_bytes: usize,
    /// Whether the chunk of size 0 has been read, after which only trailers follow.
    is_in_trailers: bool,
    /// Bytes of size lines and chunk terminators.
    overhead_bytes: usize,
    /// Bytes of trailers.
    trailer_bytes: usize,
}

/// Result of one step in reading a chunked body.
enum ChunkStep {
    /// Number of bytes consumed from the buffer; the next step may consume more.
    Consumed(usize),
    /// Number of bytes consumed; the body is complete.
    Complete(usize),
    /// Too few bytes in the buffer for the next step.
    Incomplete,
}

impl ChunkedBody {
    /// Moves the received part of the body from the buffer to `body`. Returns whether the body is complete.
    pub(super) fn read(
        &mut self,
        buffer: &mut Vec<u8>,
        body: &mut Vec<u8>,
        max_body_bytes: usize,
    ) -> Result<bool, HttpError> {
        let mut consumed_bytes = 0;
        let (body_bytes_before, trailer_bytes_before) = (body.len(), self.trailer_bytes);
        let is_complete = loop {
            let rest = &buffer[consumed_bytes..];
            let step = if self.remaining_bytes > 0 {
                self.read_data(rest, body)?
            } else if self.is_in_trailers {
                self.read_trailer(rest)?
            } else {
                self.read_size(rest, body.len(), max_body_bytes)?
            };
            match step {
                ChunkStep::Consumed(count) => consumed_bytes += count,
                ChunkStep::Complete(count) => {
                    consumed_bytes += count;
                    break true;
                }
                ChunkStep::Incomplete => break false,
            }
        };
        buffer.drain(..consumed_bytes);
        let content_bytes = body.len() - body_bytes_before;
        let trailer_bytes = self.trailer_bytes - trailer_bytes_before;
        self.overhead_bytes += consumed_bytes - content_bytes - trailer_bytes;
        let max_overhead_bytes = MAX_HEAD_BYTES + MAX_CHUNK_OVERHEAD_FACTOR * max_body_bytes;
        if self.overhead_bytes > max_overhead_bytes || self.trailer_bytes > MAX_HEAD_BYTES {
            return Err(HttpError::HeadTooLarge);
        }
        Ok(is_complete)
    }

    /// Reads data of the current chunk, or the line terminator after the data.
    fn read_data(&mut self, rest: &[u8], body: &mut Vec<u8>) -> Result<ChunkStep, HttpError> {
        if self.remaining_bytes > CRLF.len() {
            let count = rest.len().min(self.remaining_bytes - CRLF.len());
            if count == 0 {
                return Ok(ChunkStep::Incomplete);
            }
            body.extend_from_slice(&rest[..count]);
            self.remaining_bytes -= count;
            return Ok(ChunkStep::Consumed(count));
        }
        if rest.len() < CRLF.len() {
            return Ok(ChunkStep::Incomplete);
        }
        if !rest.starts_with(CRLF) {
            return Err(HttpError::Malformed);
        }
        self.remaining_bytes = 0;
        Ok(ChunkStep::Consumed(CRLF.len()))
    }

    /// Skips one trailer line. An empty line ends the body.
    fn read_trailer(&mut self, rest: &[u8]) -> Result<ChunkStep, HttpError> {
        let end = rest.iter().position(|byte| *byte == b'\n');
        self.trailer_bytes += end.map_or(0, |end| end + 1);
        match end {
            Some(end) if end == 0 || &rest[..end] == b"\r" => Ok(ChunkStep::Complete(end + 1)),
            Some(end) => Ok(ChunkStep::Consumed(end + 1)),
            None if rest.len() > MAX_CHUNK_LINE_BYTES => Err(HttpError::HeadTooLarge),
            None => Ok(ChunkStep::Incomplete),
        }
    }

    /// Reads the line with the size of the next chunk.
    fn read_size(
        &mut self,
        rest: &[u8],
        body_bytes: usize,
        max_body_bytes: usize,
    ) -> Result<ChunkStep, HttpError> {
        match httparse::parse_chunk_size(rest) {
            Ok(httparse::Status::Complete((line_bytes, size))) => {
                let size = usize::try_from(size).unwrap_or(usize::MAX);
                if size > max_body_bytes.saturating_sub(body_bytes) {
                    let total_bytes = body_bytes.saturating_add(size);
                    return Err(body_too_large(total_bytes, max_body_bytes));
                }
                self.is_in_trailers = size == 0;
                self.remaining_bytes = if size == 0 { 0 } else { size + CRLF.len() };
                Ok(ChunkStep::Consumed(line_bytes))
            }
            Ok(httparse::Status::Partial) if rest.len() <= MAX_CHUNK_LINE_BYTES => {
                Ok(ChunkStep::Incomplete)
            }
            Ok(httparse::Status::Partial) | Err(_) => Err(HttpError::Malformed),
        }
    }
}
