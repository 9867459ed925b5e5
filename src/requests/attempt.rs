//! The record of an attempt in flight, and the queue that groups the attempts of one round of decisions into calls.

use crate::decisions::api::{Outcome, PartId, ReplicaId};
use crate::requests::query_request::{Protocol, QueryRequest};
use std::collections::BTreeMap;
use std::rc::Rc;

slotmap::new_key_type! {
    /// An attempt in flight: sent or queued, with no recorded outcome.
    pub struct AttemptKey;
}

/// Part in a call to a replica.
#[derive(Clone, Debug)]
pub struct CallPart {
    /// Key under which the coordinator records the attempt.
    pub attempt: AttemptKey,
    /// Request that the part belongs to.
    pub query_request: Rc<QueryRequest>,
    /// Index of the part in the request.
    pub index: usize,
    /// Timeout after which the coordinator ends the attempt (seconds).
    pub timeout_s: f64,
    /// Time until which the client waits for the answer.
    pub client_deadline: f64,
    /// Whether the part is a pre-check, which only asks whether anything in the shard matches.
    pub pre_check: bool,
    /// Latest time at which writing may start, for a retry in a class whose leaf servers discard duplicates only for a
    /// limited time; infinite for any other attempt.
    pub send_by: f64,
}

/// An attempt in flight: sent or queued, with no recorded outcome.
pub(super) struct Attempt {
    pub(super) part: PartId,
    /// Number of the attempt within its part, from 0.
    pub(super) number: u8,
    pub(super) replica: ReplicaId,
    pub(super) sent_at: f64,
    /// Time at which the attempt times out.
    pub(super) times_out_at: f64,
    pub(super) pre_check: bool,
    /// Front through which the request was received.
    pub(super) protocol: Protocol,
}

/// Returns whether an outcome proves that the replica never executed the attempt.
pub(super) fn has_never_run(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::Rejected | Outcome::ConnectFailed | Outcome::Superseded
    )
}

/// Parts that are queued for the same replica.
struct PendingCall {
    replica: ReplicaId,
    parts: Vec<CallPart>,
}

/// The calls of one round of decisions, in the order of their first parts. All parts for a replica are in the same call.
#[derive(Default)]
pub(super) struct CallQueue {
    calls: Vec<PendingCall>,
    /// Index in `calls` by replica.
    index_of: BTreeMap<ReplicaId, usize>,
}

impl CallQueue {
    /// Adds a part to the call to a replica.
    pub(super) fn push(&mut self, replica: ReplicaId, part: CallPart) {
        let index = *self.index_of.entry(replica).or_insert(self.calls.len());
        if index == self.calls.len() {
            self.calls.push(PendingCall {
                replica,
                parts: Vec::new(),
            });
        }
        self.calls[index].parts.push(part);
    }

    /// Removes an attempt that has not been drained yet; returns whether it was queued.
    pub(super) fn withdraw(&mut self, key: AttemptKey) -> bool {
        self.calls.iter_mut().any(|call| {
            let count = call.parts.len();
            call.parts.retain(|part| part.attempt != key);
            call.parts.len() < count
        })
    }

    /// Empties the queue and passes its calls to `emit_call`, split into calls of 1 to `max_parts` parts.
    pub(super) fn drain(
        &mut self,
        max_parts: usize,
        mut emit_call: impl FnMut(ReplicaId, Vec<CallPart>),
    ) {
        self.index_of.clear();
        for call in std::mem::take(&mut self.calls) {
            let mut parts = call.parts;
            while !parts.is_empty() {
                let rest = parts.split_off(parts.len().min(max_parts));
                emit_call(call.replica, parts);
                parts = rest;
            }
        }
    }
}
