//! The frame protocol of leaf servers: encodes calls and cancellations, and decodes answers. A frame consists of a length
//! of four bytes (most significant first), a letter for its kind, and its content.

use crate::decisions::api::Outcome;
use crate::requests::coordinator::CallPart;

/// Size of a frame's length field.
pub(super) const LENGTH_BYTES: usize = 4;
/// Maximum length of a frame from a leaf server; the client's answer could not hold a longer value.
pub(super) const MAX_FRAME_BYTES: usize = 66 * 1024;
/// Maximum length of a load report that is kept.
const MAX_LOAD_REPORT_BYTES: usize = 200;

const CALL: u8 = b'q';
const CANCEL: u8 = b'c';
const ANSWER: u8 = b'a';
const ERROR: u8 = b'e';

/// An encoded call. The last bytes are those of its parts, in order.
pub(super) struct EncodedCall {
    pub(super) bytes: Vec<u8>,
    /// Number of bytes of each part.
    pub(super) part_bytes: Vec<usize>,
}

/// Returns the id of a part on the wire.
pub(super) fn part_id(part: &CallPart) -> String {
    format!(
        "{}.{}",
        part.query_request.id, part.query_request.parts[part.index].shard
    )
}

fn frame(kind: u8, content: &[u8]) -> Vec<u8> {
    let mut out = ((content.len() + 1) as u32).to_be_bytes().to_vec();
    out.push(kind);
    out.extend_from_slice(content);
    out
}

/// Encodes a call.
pub(super) fn encode_call(parts: &[CallPart]) -> EncodedCall {
    let mut content = Vec::new();
    let mut part_bytes = Vec::new();
    for part in parts {
        let start = content.len();
        encode_part(part, &mut content);
        part_bytes.push(content.len() - start);
    }
    EncodedCall {
        bytes: frame(CALL, &content),
        part_bytes,
    }
}

fn encode_part(part: &CallPart, out: &mut Vec<u8>) {
    let id = part_id(part);
    let text = part.query_request.payload.as_bytes();
    let shard = part.query_request.parts[part.index].shard;
    let timeout_ms = (part.timeout_s * 1000.0).floor().max(1.0) as u64;
    let key = part
        .query_request
        .idempotency_key
        .as_ref()
        .map(|key| format!(",k={key}"))
        .unwrap_or_default();
    let pre_check = if part.pre_check { "p=1," } else { "" };
    out.extend_from_slice(
        format!(
            "{id} {shard} {pre_check}d={timeout_ms}{key} {}\n",
            text.len()
        )
        .as_bytes(),
    );
    out.extend_from_slice(text);
}

/// Encodes the cancellation of a part.
pub(super) fn encode_cancel(part_id: &str) -> Vec<u8> {
    frame(CANCEL, part_id.as_bytes())
}

/// The result of a part as reported by a leaf server.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum PartResult {
    Served,
    Failed,
    Skipped,
    /// Pre-check: nothing in the shard matches.
    NoMatch,
    /// Pre-check: something in the shard may match.
    MayMatch,
}

impl PartResult {
    /// Returns the outcome of the attempt, or `None` if a pre-check's result was received for a part that was sent in full.
    /// A pre-check that the leaf server served in full counts as failed.
    pub(super) fn outcome(self, pre_check: bool) -> Option<Outcome> {
        match (self, pre_check) {
            (PartResult::Served, false) | (PartResult::NoMatch, true) => Some(Outcome::Ok),
            (PartResult::MayMatch, true) => Some(Outcome::Matches),
            (PartResult::Failed, _) | (PartResult::Served, true) => Some(Outcome::Error),
            (PartResult::Skipped, _) => Some(Outcome::Rejected),
            (PartResult::NoMatch | PartResult::MayMatch, false) => None,
        }
    }
}

/// The fields of an answer frame.
pub(super) struct Answer<'a> {
    pub(super) result: PartResult,
    pub(super) value: &'a str,
    /// Load report, if it has the valid format.
    pub(super) load: Option<&'a str>,
}

/// A frame received from a leaf server.
pub(super) enum ReceivedFrame<'a> {
    /// Answer to a part; its content is read by [`answered_part_id`] and [`decode_answer`].
    Answer(&'a [u8]),
    /// Report that the leaf server could not read a frame.
    Error,
    Unknown,
}

/// The first frame of a buffer.
pub(super) enum FirstFrame<'a> {
    /// The frame has not been received completely.
    Incomplete,
    InvalidLength,
    Complete {
        frame: ReceivedFrame<'a>,
        /// Number of bytes that the frame takes in the buffer, including its length field.
        total_bytes: usize,
    },
}

/// Finds the first frame of a buffer.
pub(super) fn first_frame(buffer: &[u8]) -> FirstFrame<'_> {
    let length_field = buffer
        .get(..LENGTH_BYTES)
        .and_then(|field| <[u8; LENGTH_BYTES]>::try_from(field).ok());
    let Some(length_field) = length_field else {
        return FirstFrame::Incomplete;
    };
    let length = u32::from_be_bytes(length_field) as usize;
    if length == 0 || length > MAX_FRAME_BYTES {
        return FirstFrame::InvalidLength;
    }
    let total_bytes = LENGTH_BYTES + length;
    let Some(body) = buffer.get(LENGTH_BYTES..total_bytes) else {
        return FirstFrame::Incomplete;
    };
    let frame = match body[0] {
        ANSWER => ReceivedFrame::Answer(&body[1..]),
        ERROR => ReceivedFrame::Error,
        _ => ReceivedFrame::Unknown,
    };
    FirstFrame::Complete { frame, total_bytes }
}

/// Returns the id of the part that an answer names, if it names one.
pub(super) fn answered_part_id(content: &[u8]) -> Option<&str> {
    let id = content
        .split(|byte| *byte == b' ' || *byte == b'\n')
        .next()?;
    std::str::from_utf8(id).ok()
}

/// Decodes an answer; returns `None` if it is malformed. A malformed load report is ignored, because nothing else depends
/// on it.
pub(super) fn decode_answer(content: &[u8]) -> Option<Answer<'_>> {
    let line_end = content.iter().position(|byte| *byte == b'\n')?;
    let mut fields = content[..line_end].splitn(4, |byte| *byte == b' ');
    let mut text_field = || std::str::from_utf8(fields.next()?).ok();
    let _id = text_field()?;
    let result = text_field()?;
    let score = text_field()?;
    if score != "-" && score.parse::<f64>().is_err() {
        return None;
    }
    let load = fields.next()?;
    let result = match result {
        "served" => PartResult::Served,
        "broke" => PartResult::Failed,
        "skipped" => PartResult::Skipped,
        "none" => PartResult::NoMatch,
        "match" => PartResult::MayMatch,
        _ => return None,
    };
    let value = std::str::from_utf8(&content[line_end + 1..]).ok()?;
    Some(Answer {
        result,
        value,
        load: std::str::from_utf8(load)
            .ok()
            .filter(|text| is_load_report(text)),
    })
}

/// Returns whether a text has the format of a load report: pairs `KEY=NUMBER`, separated by commas.
fn is_load_report(text: &str) -> bool {
    let is_pair = |pair: &str| {
        let number = pair
            .split_once('=')
            .and_then(|(_, number)| number.parse::<f64>().ok());
        number.is_some_and(f64::is_finite)
    };
    text.len() <= MAX_LOAD_REPORT_BYTES && text.split(',').all(is_pair)
}

#[cfg(test)]
mod tests;
