//! The messages of the handover, one line each: a keyword, for some followed by a space and JSON.
//!
//! This file owns their form on the wire, which is that of all releases: during an upgrade or a rollback the two processes
//! may be of different ones. It must never decide what follows from a message.

use crate::decisions::api::{PredecessorLoad, ReplicaLoad, SentAttempt};
use crate::decisions::learned_state::LearnedState;
use crate::decisions::two_phase::PhaseStatistics;
use crate::endpoints::lease::LeaseHandover;
use crate::net::runtime::Runtime;
use crate::requests::process_load::ProcessLoad;
use miniserde::{json, Deserialize, Serialize};
use std::io;
use thiserror::Error;

/// From the successor: asks for the predecessor's state.
pub(super) const REQUEST_LINE: &str = "want\n";
/// From the successor: it has the state and is ready to accept.
pub(super) const ACCEPT_LINE: &str = "yes\n";
/// From the predecessor: the successor accepts connections from now on.
pub(super) const COMMIT_LINE: &str = "go\n";

/// Why the connection between the two processes ended. The texts stand in log lines that operators know.
#[derive(Debug, Error)]
pub(in crate::net) enum HandoverError {
    /// The socket failed, or the other side closed it.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line was longer than any message.
    #[error("a line without end")]
    LineTooLong,
    /// The state could not be decoded.
    #[error("a state that can't be read")]
    UnreadableState(#[source] miniserde::Error),
    /// The load could not be decoded.
    #[error("a load that can't be read")]
    UnreadableLoad(#[source] miniserde::Error),
    /// A line was no message, or one that does not belong to this stage.
    #[error("an unexpected message")]
    UnexpectedMessage,
    /// The predecessor sent nothing in time.
    #[error("nothing received in time")]
    PredecessorSilent,
    /// The successor did not reply in time.
    #[error("no reply in time")]
    SuccessorSilent,
}

/// A line that was received. Its JSON is decoded only at the stage to which it belongs.
#[derive(Debug)]
pub(super) enum Message<'a> {
    Request,
    State { json: &'a str },
    Accept,
    Commit,
    Load { json: &'a str },
}

impl Message<'_> {
    /// The message that a line is, without its end; none for an unknown keyword.
    pub(super) fn parse(line: &str) -> Option<Message<'_>> {
        let (keyword, json) = line.split_once(' ').unwrap_or((line, ""));
        Some(match keyword {
            "want" => Message::Request,
            "state" => Message::State { json },
            "yes" => Message::Accept,
            "go" => Message::Commit,
            "load" => Message::Load { json },
            _ => return None,
        })
    }
}

/// What the predecessor knows and holds when it stops accepting.
#[derive(Serialize, Deserialize)]
pub(in crate::net) struct StateMessage {
    /// The address of its discovery.
    pub(in crate::net) discovery: Option<String>,
    /// Its endpoint list, as JSON in the form of discovery.
    pub(in crate::net) list: String,
    /// The names of its replicas by their ids; an array of pairs on the wire.
    pub(super) names: Vec<(u32, String)>,
    /// The names of the classes by which the learned state goes.
    pub(super) classes: Vec<String>,
    /// The names of its tenants, likewise.
    pub(super) tenants: Vec<String>,
    /// Its lease on the list; releases before leases send none.
    pub(in crate::net) lease: Option<LeaseHandover>,
    /// What its decision module has learned.
    #[serde(rename = "beliefs")]
    pub(super) learned_state: LearnedState,
    /// Its load at this time.
    pub(super) load: LoadMessage,
    /// What it has learned of pre-check phases.
    pub(super) phases: Option<Vec<PhaseStatistics>>,
}

impl StateMessage {
    pub(super) fn decode(json: &str) -> Result<StateMessage, HandoverError> {
        json::from_str(json).map_err(HandoverError::UnreadableState)
    }

    pub(super) fn to_line(&self) -> String {
        format!("state {}\n", json::to_string(self))
    }
}

/// How many connections a process has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::net) struct ConnectionCounts {
    pub(in crate::net) clients: usize,
    pub(in crate::net) replicas: usize,
}

/// The load of the predecessor, reported until it exits.
#[derive(Serialize, Deserialize)]
pub(super) struct LoadMessage {
    /// The clients' ids of its open requests.
    pub(super) ids: Vec<String>,
    /// Queries and parts that are open.
    pub(super) held: u32,
    /// Its connections to clients.
    pub(super) clients: u32,
    /// Its connections to replicas.
    #[serde(rename = "leaves")]
    pub(super) replicas: u32,
    /// Attempts in flight, by the replica's name; an array of pairs on the wire.
    #[serde(rename = "out")]
    pub(super) in_flight: Vec<(String, u32)>,
    /// Attempts since the last report: the replica's name, then the time and whether it was a retry; arrays on the wire.
    pub(super) sent: Vec<(String, (f64, bool))>,
}

impl LoadMessage {
    pub(super) fn decode(json: &str) -> Result<LoadMessage, HandoverError> {
        json::from_str(json).map_err(HandoverError::UnreadableLoad)
    }

    pub(super) fn to_line(&self) -> String {
        format!("load {}\n", json::to_string(self))
    }

    /// The load of this process. Attempts count as reported from now on.
    pub(super) fn of(runtime: &mut Runtime, connections: ConnectionCounts) -> LoadMessage {
        let ProcessLoad {
            request_ids,
            open_count,
            attempts,
        } = runtime.coordinator.take_process_load();
        let name = |id| runtime.directory.name(id).map(String::from);
        let in_flight = attempts.in_flight.into_iter();
        let sent = attempts.sent.into_iter();
        LoadMessage {
            ids: request_ids,
            held: open_count as u32,
            clients: connections.clients as u32,
            replicas: connections.replicas as u32,
            in_flight: in_flight
                .filter_map(|load| Some((name(load.replica)?, load.attempts)))
                .collect(),
            sent: sent
                .filter_map(|attempt| {
                    Some((name(attempt.replica)?, (attempt.at, attempt.is_retry)))
                })
                .collect(),
        }
    }

    /// The connections of the process that sent this.
    pub(super) fn connections(&self) -> ConnectionCounts {
        ConnectionCounts {
            clients: self.clients as usize,
            replicas: self.replicas as usize,
        }
    }

    /// The load in this process' ids. Replicas that are not known here are left out.
    pub(super) fn into_process_load(self, runtime: &Runtime) -> ProcessLoad {
        let id = |name: &str| runtime.directory.id(name);
        let in_flight = self.in_flight.iter();
        let sent = self.sent.iter();
        let attempts = PredecessorLoad {
            in_flight: in_flight
                .filter_map(|(name, count)| {
                    let replica = id(name)?;
                    let attempts = *count;
                    Some(ReplicaLoad { replica, attempts })
                })
                .collect(),
            sent: sent
                .filter_map(|(name, (at, is_retry))| {
                    Some(SentAttempt {
                        replica: id(name)?,
                        at: *at,
                        is_retry: *is_retry,
                    })
                })
                .collect(),
        };
        ProcessLoad {
            request_ids: self.ids,
            open_count: self.held as usize,
            attempts,
        }
    }
}
