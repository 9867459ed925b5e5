//! Calls of the admin interface, and fixed texts of its replies.

use crate::net::lifecycle::Phase;

/// Reply on a connection that did not receive a call in time.
pub(super) const NO_CALL_REPLY: &str = "fail no call came\n";
/// Reply to an unknown call.
pub(in crate::net) const UNKNOWN_CALL_REPLY: &str =
    "fail unknown call: STATUS, METRICS, PAUSE or RESUME\n";

/// Call of an operator, parsed from its line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(in crate::net) enum AdminCall {
    /// Query of the readiness of the mixer.
    Status,
    /// Query of the metrics in Prometheus text format.
    Metrics,
    /// Stop serving clients until [`AdminCall::Resume`].
    Pause,
    /// Serve clients again after [`AdminCall::Pause`].
    Resume,
    /// Any other line.
    Unknown,
}

impl AdminCall {
    /// Parses the line of a call.
    pub(super) fn parse(line: &str) -> AdminCall {
        match line.trim() {
            "STATUS" => AdminCall::Status,
            "METRICS" => AdminCall::Metrics,
            "PAUSE" => AdminCall::Pause,
            "RESUME" => AdminCall::Resume,
            _ => AdminCall::Unknown,
        }
    }
}

/// Returns the text for a lifecycle phase in replies.
pub(in crate::net) fn phase_text(phase: Phase) -> &'static str {
    match phase {
        Phase::Inheriting => "taking over",
        Phase::Starting => "starting",
        Phase::Serving => "serving",
        Phase::Paused => "paused",
        Phase::HandedOver => "handed over",
        Phase::Draining { .. } | Phase::Closing { .. } | Phase::Stopped => "ending",
    }
}
