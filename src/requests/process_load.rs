//! Load information that two processes of one mixer exchange while both run during an upgrade.

use crate::decisions::api::{PredecessorLoad, ReplicaId, SentAttempt};

/// Maximum number of attempts recorded between two reports to the successor.
const MAX_RECORDED_ATTEMPTS: usize = 10_000;

/// Load of one process, as reported to the other process of the same mixer.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ProcessLoad {
    /// Ids that clients gave to the open requests.
    pub request_ids: Vec<String>,
    /// Number of open queries plus their parts.
    pub open_count: usize,
    /// Attempts in flight and attempts sent since the last report.
    pub attempts: PredecessorLoad,
}

/// Records attempts for the successor process, if there is one.
#[derive(Debug, Default)]
pub(super) struct AttemptRecorder {
    /// Attempts not reported yet; `None` while recording is off.
    unreported: Option<Vec<SentAttempt>>,
}

impl AttemptRecorder {
    /// Starts recording, or stops and discards what was recorded.
    pub(super) fn set_recording(&mut self, on: bool) {
        self.unreported = on.then(Vec::new);
    }

    /// Returns whether attempts are recorded.
    pub(super) fn is_recording(&self) -> bool {
        self.unreported.is_some()
    }

    /// Records an attempt sent now. Attempts beyond the maximum are dropped, so the successor does not count them.
    pub(super) fn record(&mut self, now: f64, replica: ReplicaId, is_retry: bool) {
        let Some(unreported) = &mut self.unreported else {
            return;
        };
        if unreported.len() < MAX_RECORDED_ATTEMPTS {
            unreported.push(SentAttempt {
                replica,
                at: now,
                is_retry,
            });
        }
    }

    /// Returns the attempts recorded since the last report.
    pub(super) fn take_unreported(&mut self) -> Vec<SentAttempt> {
        self.unreported
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default()
    }
}
