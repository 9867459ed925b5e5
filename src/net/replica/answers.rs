//! Reads answers from a leaf server, as frames or HTTP responses, and matches them to the parts in flight. An answer is
//! only accepted for a part whose call has been written completely, and after an answer that can't be used nothing more is
//! read.

use crate::decisions::api::Outcome;
use crate::endpoints::directory::WireFormat;
use crate::net::backlog::{ReadProgress, MAX_READS_PER_TURN};
use crate::net::client::opensearch::{self, LeafAnswer};
use crate::net::http::HttpError;
use crate::net::replica::connection::{
    AttemptResult, RecentPart, ReplicaConnection, MAX_RECENT_PARTS,
};
use crate::net::replica::error::ReplicaError;
use crate::net::replica::frames::{self, FirstFrame, ReceivedFrame};
use std::io::{self, Read};
use std::rc::Rc;

/// Size of a single read from the socket.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Maximum number of answers in a row that belong to no part in flight. Each of the recent parts may be answered late or twice.
const MAX_IGNORED_ANSWERS: usize = 4 * MAX_RECENT_PARTS;

impl ReplicaConnection {
    /// Reads the answers of one turn, and adds the attempts that ended to `results`. An error means that the connection is to
    /// be closed.
    pub fn read(
        &mut self,
        now: f64,
        results: &mut Vec<AttemptResult>,
    ) -> Result<ReadProgress, ReplicaError> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        for _ in 0..MAX_READS_PER_TURN {
            match self.stream.read(&mut buffer) {
                Ok(0) => {
                    self.process_input(true, now, results)?;
                    return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
                }
                Ok(count) => {
                    self.input.extend_from_slice(&buffer[..count]);
                    self.process_input(false, now, results)?;
                    self.release_empty_input();
                    self.silent_since = (!self.is_unused()).then_some(now);
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    return Ok(ReadProgress::Drained)
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Err(error.into()),
            }
        }
        Ok(ReadProgress::MoreInput)
    }

    /// Returns the memory that received bytes take until their answer is complete.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.input.capacity() + self.reader.buffered_bytes()
    }

    /// Releases the memory of a large answer, which would otherwise be kept by each of thousands of connections.
    fn release_empty_input(&mut self) {
        if self.input.is_empty() && self.input.capacity() > READ_BUFFER_BYTES {
            self.input = Vec::new();
        }
    }

    fn process_input(
        &mut self,
        has_ended: bool,
        now: f64,
        results: &mut Vec<AttemptResult>,
    ) -> Result<(), ReplicaError> {
        match self.setup.wire_format {
            WireFormat::Frames => self.process_frames(now, results),
            WireFormat::Search => self.process_response(has_ended, now, results),
        }
    }

    fn process_response(
        &mut self,
        has_ended: bool,
        now: f64,
        results: &mut Vec<AttemptResult>,
    ) -> Result<(), ReplicaError> {
        let message = match self.reader.read(&mut self.input, has_ended) {
            Ok(Some(message)) => message,
            Ok(None) => {
                let has_begun = !self.input.is_empty() || self.reader.is_inside_message();
                self.answer_began_at = has_begun.then(|| self.answer_began_at.unwrap_or(now));
                return Ok(());
            }
            Err(error @ HttpError::Truncated) => return Err(error.into()),
            Err(_) => return Err(self.reject_answer(None, ReplicaError::MalformedAnswer)),
        };
        self.answer_began_at = None;
        // Only a part whose request has been written completely can have a response.
        let Some(index) = self.parts.iter().position(|part| part.is_written) else {
            return Err(ReplicaError::UnexpectedResponse);
        };
        let part = self.parts.remove(index);
        self.used_at = now;
        let LeafAnswer {
            outcome,
            value,
            load,
        } = opensearch::parse_leaf_answer(&message, part.pre_check);
        self.load = load.or(self.load.take());
        results.extend(part.result(outcome, value));
        if !self.input.is_empty() {
            Err(ReplicaError::UnexpectedResponse)
        } else if message.keep_alive {
            Ok(())
        } else {
            Err(ReplicaError::ClosedAfterResponse)
        }
    }

    fn process_frames(
        &mut self,
        now: f64,
        results: &mut Vec<AttemptResult>,
    ) -> Result<(), ReplicaError> {
        // The buffer is moved out while its frames are read, so that they can borrow from it. After an error nothing more
        // is read.
        let mut input = std::mem::take(&mut self.input);
        let mut consumed_bytes = 0;
        loop {
            match frames::first_frame(&input[consumed_bytes..]) {
                FirstFrame::Incomplete => break,
                FirstFrame::InvalidLength => {
                    return Err(self.reject_answer(None, ReplicaError::InvalidFrameLength))
                }
                FirstFrame::Complete { frame, total_bytes } => {
                    self.process_frame(&frame, now, results)?;
                    consumed_bytes += total_bytes;
                }
            }
        }
        input.drain(..consumed_bytes);
        self.input = input;
        let began_at = self.answer_began_at.filter(|_| consumed_bytes == 0);
        self.answer_began_at = (!self.input.is_empty()).then(|| began_at.unwrap_or(now));
        Ok(())
    }

    fn process_frame(
        &mut self,
        frame: &ReceivedFrame<'_>,
        now: f64,
        results: &mut Vec<AttemptResult>,
    ) -> Result<(), ReplicaError> {
        match frame {
            ReceivedFrame::Answer(content) => {
                self.process_answer(content, results)?;
                self.used_at = now;
                Ok(())
            }
            ReceivedFrame::Error => {
                // The unreadable frame is the last one that the leaf server received.
                let last = self
                    .parts
                    .iter()
                    .rev()
                    .filter(|part| part.is_written)
                    .find_map(|part| part.attempt);
                Err(self.reject_answer(last, ReplicaError::FrameRejected))
            }
            ReceivedFrame::Unknown => Err(self.reject_answer(None, ReplicaError::UnknownFrame)),
        }
    }

    fn process_answer(
        &mut self,
        content: &[u8],
        results: &mut Vec<AttemptResult>,
    ) -> Result<(), ReplicaError> {
        let id = frames::answered_part_id(content);
        // Only a part whose frame has been written completely can have an answer.
        let index = self
            .parts
            .iter()
            .position(|part| part.is_written && Some(&*part.id) == id);
        let named = index.and_then(|index| self.parts[index].attempt);
        let Some(answer) = frames::decode_answer(content) else {
            return Err(self.reject_answer(named, ReplicaError::MalformedAnswer));
        };
        let Some(index) = index else {
            // A duplicate answer, or one that arrives after its attempt has ended, is ignored.
            if self.recent.iter().any(|recent| Some(&*recent.id) == id) {
                return self.ignore_answer();
            }
            return Err(self.reject_answer(None, ReplicaError::UnknownPart));
        };
        let Some(outcome) = answer.result.outcome(self.parts[index].pre_check) else {
            // A late answer to the pre-check of a part that has since been sent in full is ignored.
            let is_late = |recent: &RecentPart| recent.pre_check && Some(&*recent.id) == id;
            if self.recent.iter().any(is_late) {
                return self.ignore_answer();
            }
            return Err(self.reject_answer(named, ReplicaError::UnexpectedPreCheckAnswer));
        };
        self.ignored_answers = 0;
        let part = self.parts.remove(index);
        let value = (outcome == Outcome::Ok).then(|| Rc::from(answer.value));
        results.extend(part.result(outcome, value));
        self.load = answer.load.map(String::from).or(self.load.take());
        self.add_recent_part(part);
        Ok(())
    }

    /// Counts an answer that belongs to no part in flight. A leaf server that sends many of them is not worth reading.
    fn ignore_answer(&mut self) -> Result<(), ReplicaError> {
        self.ignored_answers += 1;
        if self.ignored_answers > MAX_IGNORED_ANSWERS {
            return Err(self.reject_answer(None, ReplicaError::RepeatedAnswers));
        }
        Ok(())
    }
}
