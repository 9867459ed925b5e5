//! The calls of the admin interface, and the replies that need nothing but the phase.
//!
//! This file owns the words of both. It must never carry out a call.

use crate::net::lifecycle::Phase;

/// The reply to a connection on which no call came in time.
pub(super) const NO_CALL_REPLY: &str = "fail no call came\n";
/// The reply to a line that is no call.
pub(in crate::net) const UNKNOWN_CALL_REPLY: &str =
    "fail unknown call: STATUS, METRICS, PAUSE or RESUME\n";

/// What operators can call for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum AdminCall {
    /// Whether the mixer is ready.
    Status,
    /// The metrics as text.
    Metrics,
    /// Send clients away, until [`AdminCall::Resume`].
    Pause,
    /// Serve clients again.
    Resume,
    /// A line that is none of these.
    Unknown,
}

impl AdminCall {
    /// Decodes a line.
    pub(super) fn decode(line: &str) -> AdminCall {
        match line.trim() {
            "STATUS" => AdminCall::Status,
            "METRICS" => AdminCall::Metrics,
            "PAUSE" => AdminCall::Pause,
            "RESUME" => AdminCall::Resume,
            _ => AdminCall::Unknown,
        }
    }
}

/// What the process is doing, for people.
pub(in crate::net) fn describe(phase: Phase) -> &'static str {
    match phase {
        Phase::Inheriting => "taking over",
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Paused => "paused",
        Phase::HandedOver => "handed over",
        Phase::Draining { .. } | Phase::Closing { .. } | Phase::Stopped => "ending",
    }
}
