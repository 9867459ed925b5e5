//! The frame protocol of leaf servers: calls and cancellations are encoded, answers decoded.
//!
//! This file owns the layout of frames: a length of four bytes (most significant first), a letter for the kind, and the
//! content. It must never hold a socket or know what is in flight.

use crate::decisions::api::Outcome;
use crate::requests::coordinator::CallPart;

/// Bytes of a frame's length.
pub(super) const LENGTH_BYTES: usize = 4;
/// Longest frame that a leaf server may send: the client's answer could not hold a longer value.
pub(super) const MAX_FRAME_BYTES: usize = 66 * 1024;
/// Longest load report that is kept.
const MAX_LOAD_REPORT_BYTES: usize = 200;

const CALL: u8 = b'q';
const CANCEL: u8 = b'c';
const ANSWER: u8 = b'a';
const ERROR: u8 = b'e';

/// The bytes of a call. The last bytes are those of its parts, in order.
pub(super) struct EncodedCall {
    pub(super) bytes: Vec<u8>,
    /// How many bytes each part takes.
    pub(super) part_bytes: Vec<usize>,
}

/// The id of a part on the wire.
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

/// The frame of one call.
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

/// The frame that cancels a part.
pub(super) fn encode_cancel(part_id: &str) -> Vec<u8> {
    frame(CANCEL, part_id.as_bytes())
}

/// What a leaf server reports of a part.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum PartResult {
    Served,
    Failed,
    Skipped,
    /// Pre-check: nothing there matches.
    NoMatch,
    /// Pre-check: something may match.
    MayMatch,
}

impl PartResult {
    /// The outcome of the attempt; none where a pre-check's result comes for a part that was sent in full. A leaf server
    /// that serves a pre-check in full has failed it.
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
    /// The load report, where it has the form of one.
    pub(super) load: Option<&'a str>,
}

/// A frame of a leaf server, by kind.
pub(super) enum ReceivedFrame<'a> {
    /// The answer to a part; its content is read by [`answered_part_id`] and [`decode_answer`].
    Answer(&'a [u8]),
    /// The leaf server could not read a frame.
    Error,
    Unknown,
}

/// The first frame of a buffer.
pub(super) enum FirstFrame<'a> {
    /// It has not arrived in full.
    Incomplete,
    InvalidLength,
    Complete {
        frame: ReceivedFrame<'a>,
        /// Bytes of the buffer that it takes, with its length.
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

/// The part that an answer names, if it names one.
pub(super) fn answered_part_id(content: &[u8]) -> Option<&str> {
    let id = content
        .split(|byte| *byte == b' ' || *byte == b'\n')
        .next()?;
    std::str::from_utf8(id).ok()
}

/// Decodes an answer; none where it is malformed. The load report alone may be anything, for nothing else depends on it.
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

/// Whether a text has the form of a load report: pairs `KEY=NUMBER`, separated by commas.
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
