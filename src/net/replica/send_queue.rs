//! The queue of calls and cancellations that wait to be written on one connection to a leaf server. A call of which a byte
//! has been written cannot be withdrawn. The caller decides whether a call may be sent.

use crate::net::replica::frames::{EncodedCall, LENGTH_BYTES};
use crate::requests::coordinator::{AttemptKey, CallPart, Protocol};
use crate::requests::invariants::CallTimes;
use std::collections::VecDeque;
use std::io::{self, Write};

/// A call that has waited for less than this is sent with its timeouts unchanged (seconds).
const MIN_TIMEOUT_CHANGE_S: f64 = 0.02;

/// A part of a call, with the number of bytes that it takes.
struct QueuedPart {
    part: CallPart,
    bytes: usize,
}

/// A queued call, or a queued cancellation, which has no parts.
pub(super) struct QueuedFrame {
    bytes: Vec<u8>,
    /// Parts in the order of their bytes, which are the last bytes of the frame.
    parts: Vec<QueuedPart>,
    /// Time from which the encoded timeouts count.
    encoded_at: f64,
    /// Front of the requests that the parts belong to.
    protocol: Protocol,
    /// Whether the first byte has been written.
    has_started: bool,
    /// Latest time at which writing may start.
    send_by: f64,
}

impl QueuedFrame {
    /// Returns whether one of the parts belongs to this attempt.
    pub(super) fn carries(&self, attempt: AttemptKey) -> bool {
        self.parts
            .iter()
            .any(|queued| queued.part.attempt == attempt)
    }

    /// Returns the number of attempts in the frame.
    pub(super) fn part_count(&self) -> usize {
        self.parts.len()
    }

    /// Returns the front of the requests that the parts belong to.
    pub(super) fn protocol(&self) -> Protocol {
        self.protocol
    }

    fn attempts(&self) -> impl Iterator<Item = AttemptKey> + '_ {
        self.parts.iter().map(|queued| queued.part.attempt)
    }

    /// Returns whether the frame is a call that may still be withdrawn.
    fn is_unsent_call(&self) -> bool {
        !self.has_started && !self.parts.is_empty()
    }

    /// Returns the time limits of the call for the invariants.
    fn times(&self) -> CallTimes {
        let parts = || self.parts.iter().map(|queued| &queued.part);
        let beyond_s = |part: &CallPart| self.encoded_at + part.timeout_s - part.client_deadline;
        CallTimes {
            send_by: self.send_by,
            sent_beyond_client_s: parts().map(beyond_s).fold(f64::NEG_INFINITY, f64::max),
            client_deadline: parts()
                .map(|part| part.client_deadline)
                .fold(f64::NEG_INFINITY, f64::max),
        }
    }

    /// Removes a part from a call of several parts whose writing has not started. Returns the number of bytes removed.
    fn remove_part(&mut self, attempt: AttemptKey) -> usize {
        let index = self
            .parts
            .iter()
            .position(|queued| queued.part.attempt == attempt);
        let Some(index) = index else {
            return 0;
        };
        let bytes_of =
            |parts: &[QueuedPart]| parts.iter().map(|queued| queued.bytes).sum::<usize>();
        let bytes_of_all = bytes_of(&self.parts);
        let bytes_before = bytes_of(&self.parts[..index]);
        let removed = self.parts.remove(index);
        let from = self.bytes.len() - bytes_of_all + bytes_before;
        self.bytes.drain(from..from + removed.bytes);
        let length = (self.bytes.len() - LENGTH_BYTES) as u32;
        self.bytes[..LENGTH_BYTES].copy_from_slice(&length.to_be_bytes());
        removed.bytes
    }
}

/// A call whose first bytes have been written.
#[derive(Clone, Copy, Debug)]
pub struct StartedCall {
    /// Time limits of the call.
    pub times: CallTimes,
    /// Earliest time at which the first byte may have been written (seconds).
    pub not_before: f64,
}

/// Result of one write.
pub(super) enum WriteStep {
    /// The queue is empty.
    Empty,
    /// The socket accepts no more bytes.
    Blocked,
    /// A signal interrupted the write, which has to be repeated.
    Interrupted,
    /// The first call must not be sent, and was withdrawn with these attempts.
    Withdrawn(Vec<AttemptKey>),
    /// Bytes of the first frame were written.
    Wrote {
        /// The call, if these were its first bytes.
        started: Option<StartedCall>,
        /// The frame, if its last byte was written.
        complete: Option<QueuedFrame>,
    },
}

/// Frames that wait to be written, in order.
#[derive(Default)]
pub(super) struct SendQueue {
    frames: VecDeque<QueuedFrame>,
    /// Number of bytes of the first frame that were written.
    sent_bytes: usize,
    waiting_bytes: usize,
}

impl SendQueue {
    /// Returns whether the queue is empty.
    pub(super) fn is_empty(&self) -> bool {
        self.frames.is_empty()
    }

    /// Returns whether the next frame to be written is a call whose writing has not started.
    pub(super) fn begins_with_unsent_call(&self) -> bool {
        self.frames.front().is_some_and(QueuedFrame::is_unsent_call)
    }

    /// Returns the number of bytes that have not been written.
    pub(super) fn waiting_bytes(&self) -> usize {
        self.waiting_bytes
    }

    /// Adds a call of these parts, whose timeouts count from `now`.
    pub(super) fn push_call(&mut self, parts: &[CallPart], encoded: EncodedCall, now: f64) {
        let protocol = parts
            .first()
            .map_or(Protocol::Platform, |part| part.query_request.protocol);
        let send_by = parts
            .iter()
            .map(|part| part.send_by)
            .fold(f64::INFINITY, f64::min);
        self.waiting_bytes += encoded.bytes.len();
        self.frames.push_back(QueuedFrame {
            bytes: encoded.bytes,
            parts: queued_parts(parts.iter().cloned(), encoded.part_bytes),
            encoded_at: now,
            protocol,
            has_started: false,
            send_by,
        });
    }

    /// Adds an encoded cancellation.
    pub(super) fn push_cancel(&mut self, bytes: Vec<u8>) {
        self.waiting_bytes += bytes.len();
        self.frames.push_back(QueuedFrame {
            bytes,
            parts: Vec::new(),
            encoded_at: 0.0,
            protocol: Protocol::Platform,
            has_started: false,
            send_by: f64::INFINITY,
        });
    }

    /// Encodes calls that have waited for a while again, with the remaining timeouts of their parts.
    pub(super) fn refresh_timeouts(
        &mut self,
        now: f64,
        encode: impl Fn(&[CallPart]) -> EncodedCall,
    ) {
        for frame in &mut self.frames {
            let waited_s = (now - frame.encoded_at).max(0.0);
            if !frame.is_unsent_call() || waited_s < MIN_TIMEOUT_CHANGE_S {
                continue;
            }
            let parts: Vec<CallPart> = frame
                .parts
                .iter()
                .map(|queued| CallPart {
                    timeout_s: queued.part.timeout_s - waited_s,
                    ..queued.part.clone()
                })
                .collect();
            let encoded = encode(&parts);
            self.waiting_bytes = self.waiting_bytes - frame.bytes.len() + encoded.bytes.len();
            frame.bytes = encoded.bytes;
            frame.encoded_at = now;
            frame.parts = queued_parts(parts.into_iter(), encoded.part_bytes);
        }
    }

    /// Withdraws an attempt, unless writing its call has started or the attempt is not queued. Returns whether it was
    /// withdrawn.
    pub(super) fn withdraw(&mut self, attempt: AttemptKey) -> bool {
        let index = self
            .frames
            .iter()
            .position(|frame| !frame.has_started && frame.carries(attempt));
        let Some(index) = index else {
            return false;
        };
        if self.frames[index].parts.len() == 1 {
            self.waiting_bytes -= self.frames[index].bytes.len();
            self.frames.remove(index);
        } else {
            self.waiting_bytes -= self.frames[index].remove_part(attempt);
        }
        true
    }

    /// Withdraws every call whose writing has not started. Returns its attempts.
    pub(super) fn withdraw_all(&mut self) -> Vec<AttemptKey> {
        self.withdraw_where(|_| true)
    }

    /// Withdraws the calls whose writing has not started and should have by now. Returns their attempts.
    pub(super) fn withdraw_late(&mut self, now: f64) -> Vec<AttemptKey> {
        self.withdraw_where(|frame| frame.send_by < now)
    }

    fn withdraw_where(&mut self, is_over: impl Fn(&QueuedFrame) -> bool) -> Vec<AttemptKey> {
        let mut withdrawn = Vec::new();
        self.frames.retain(|frame| {
            let keep = !frame.is_unsent_call() || !is_over(frame);
            if !keep {
                withdrawn.extend(frame.attempts());
            }
            keep
        });
        if !withdrawn.is_empty() {
            let queued_bytes: usize = self.frames.iter().map(|frame| frame.bytes.len()).sum();
            self.waiting_bytes = queued_bytes - self.sent_bytes;
        }
        withdrawn
    }

    fn withdraw_first(&mut self) -> Vec<AttemptKey> {
        let Some(frame) = self.frames.pop_front() else {
            return Vec::new();
        };
        self.waiting_bytes -= frame.bytes.len();
        frame.attempts().collect()
    }

    /// Returns whether the first call is partly written and its latest start time is before `now`.
    pub(super) fn is_partly_sent_too_late(&self, now: f64) -> bool {
        self.frames
            .front()
            .is_some_and(|frame| frame.has_started && frame.send_by < now)
    }

    /// Returns the attempts whose calls have not begun to be written.
    pub(super) fn unsent_attempts(&self) -> Vec<AttemptKey> {
        self.frames
            .iter()
            .filter(|frame| !frame.has_started)
            .flat_map(QueuedFrame::attempts)
            .collect()
    }

    /// Returns the attempts of the partly written call, if there is one.
    pub(super) fn partly_sent_attempts(&self) -> Vec<AttemptKey> {
        self.frames
            .front()
            .filter(|frame| frame.has_started)
            .into_iter()
            .flat_map(QueuedFrame::attempts)
            .collect()
    }

    /// Writes once. `may_start` is called before the first byte of a call is written, and returns the time if the call may
    /// be sent.
    pub(super) fn write_once(
        &mut self,
        socket: &mut impl Write,
        may_start: &mut impl FnMut(&CallTimes) -> Option<f64>,
    ) -> io::Result<WriteStep> {
        let Some(frame) = self.frames.front_mut() else {
            return Ok(WriteStep::Empty);
        };
        let mut started = None;
        if frame.is_unsent_call() {
            let times = frame.times();
            let Some(not_before) = may_start(&times) else {
                return Ok(WriteStep::Withdrawn(self.withdraw_first()));
            };
            started = Some(StartedCall { times, not_before });
        }
        match socket.write(&frame.bytes[self.sent_bytes..]) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(count) => {
                frame.has_started = true;
                self.sent_bytes += count;
                self.waiting_bytes -= count;
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                return Ok(WriteStep::Blocked)
            }
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {
                return Ok(WriteStep::Interrupted)
            }
            Err(error) => return Err(error),
        }
        let is_complete = self.sent_bytes == frame.bytes.len();
        let complete = if is_complete {
            self.sent_bytes = 0;
            self.frames.pop_front()
        } else {
            None
        };
        Ok(WriteStep::Wrote { started, complete })
    }
}

fn queued_parts(parts: impl Iterator<Item = CallPart>, part_bytes: Vec<usize>) -> Vec<QueuedPart> {
    parts
        .zip(part_bytes)
        .map(|(part, bytes)| QueuedPart { part, bytes })
        .collect()
}

#[cfg(test)]
mod tests;
