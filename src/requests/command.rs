//! Commands of the coordinator to the event loop, which owns the sockets and the timers. Commands are to be executed in the
//! order in which they were issued.

use crate::decisions::api::ReplicaId;
use crate::requests::attempt::{AttemptKey, CallPart};
use crate::requests::query_request::QueryRequest;
use crate::requests::request::RequestKey;
use crate::requests::response::FinalAnswer;
use std::rc::Rc;

/// A command to the event loop.
#[derive(Debug)]
pub enum Command {
    /// Sends parts to a replica in one call.
    Call {
        /// Destination of the call.
        replica: ReplicaId,
        /// Parts of the call, at least one.
        parts: Vec<CallPart>,
    },
    /// Cancels an attempt whose outcome has already been recorded.
    Cancel {
        /// Attempt to end.
        attempt: AttemptKey,
    },
    /// Removes an attempt of a finished request from the send queue unless writing has started. Used where replicas accept
    /// no cancellations.
    Withdraw {
        /// Attempt to end.
        attempt: AttemptKey,
    },
    /// Returns the final answer to the caller.
    Reply {
        /// Handle that the caller passed to
        /// [`Coordinator::accept_request`](crate::requests::coordinator::Coordinator::accept_request).
        caller: u64,
        /// Final answer of the request.
        answer: FinalAnswer,
        /// Request that is answered.
        query_request: Rc<QueryRequest>,
        /// Time since the request was accepted (seconds).
        took_s: f64,
    },
    /// Schedules a call of [`Coordinator::wake`](crate::requests::coordinator::Coordinator::wake).
    WakeAt {
        /// Time of the call.
        at: f64,
        /// Deadline to pass to `wake`.
        wake: Wake,
    },
    /// Withdraws a [`Command::WakeAt`] that is no longer needed. A call of `wake` all the same has no effect.
    CancelWake {
        /// Time of the call.
        at: f64,
        /// Deadline that would be passed to `wake`.
        wake: Wake,
    },
    /// Requests a call to discovery for changes of the endpoint list.
    Watch,
    /// Closes the idle connections to a replica.
    CloseIdle {
        /// Replica whose connections are closed.
        replica: ReplicaId,
    },
    /// Writes a line to the log.
    Log(String),
}

/// The kind of a deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Wake {
    /// Timer of the decision module, identified by its token.
    Module(u64),
    /// Deadline of a request.
    Request(RequestKey),
    /// Timeout of an attempt.
    Attempt(AttemptKey),
}
