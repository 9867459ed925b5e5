//! The messages of the handover, one line each: a keyword, for some messages followed by a space and JSON. All releases share
//! this format, because the two processes may run different releases during an upgrade or a rollback.

use crate::decisions::api::{PredecessorLoad, ReplicaLoad, SentAttempt};
use crate::decisions::learned_state::LearnedState;
use crate::decisions::two_phase::PhaseStatistics;
use crate::endpoints::lease::LeaseHandover;
use crate::net::runtime::Runtime;
use crate::requests::process_load::ProcessLoad;
use crate::requests::settings_schedule::ScheduleHandover;
use miniserde::ser::{self, Fragment};
use miniserde::{json, Deserialize, Serialize};
use std::borrow::Cow;
use std::io;
use thiserror::Error;

/// Request of the successor for the predecessor's state.
pub(super) const REQUEST_LINE: &str = "want\n";
/// Confirmation by the successor that it has the state and is ready to accept connections.
pub(super) const ACCEPT_LINE: &str = "yes\n";
/// Commit by the predecessor: the successor accepts connections from now on.
pub(super) const COMMIT_LINE: &str = "go\n";

/// Reason why the connection between the two processes ended. The texts appear in log lines.
#[derive(Debug, Error)]
pub(in crate::net) enum HandoverError {
    /// The socket failed, or the other process closed it.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// A line exceeded the maximum length.
    #[error("line too long")]
    LineTooLong,
    /// The state could not be decoded.
    #[error("state cannot be decoded")]
    UnreadableState(#[source] miniserde::Error),
    /// The load could not be decoded.
    #[error("load report cannot be decoded")]
    UnreadableLoad(#[source] miniserde::Error),
    /// A line was not a message, or not one of the current stage.
    #[error("unexpected message")]
    UnexpectedMessage,
    /// The predecessor sent nothing in time.
    #[error("nothing received in time")]
    PredecessorSilent,
    /// The successor did not reply in time.
    #[error("no reply in time")]
    SuccessorSilent,
    /// The process has accepted other settings than those that it has handed over.
    #[error("settings have changed meanwhile")]
    SettingsChanged,
}

/// A received message. Its JSON is decoded only if the message belongs to the current stage.
#[derive(Debug)]
pub(super) enum Message<'a> {
    Request,
    State { json: &'a str },
    Accept,
    Commit,
    Load { json: &'a str },
}

impl Message<'_> {
    /// Parses a line without its line end. Returns `None` for an unknown keyword.
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

/// The state of the predecessor at the time at which it stops accepting.
#[derive(Deserialize)]
pub(in crate::net) struct StateMessage {
    /// Address of the predecessor's discovery server.
    pub(in crate::net) discovery: Option<String>,
    /// The predecessor's endpoint list, as JSON in discovery's format.
    pub(in crate::net) list: String,
    /// Ids and names of the replicas; an array of pairs on the wire.
    pub(super) names: Vec<(u32, String)>,
    /// Names of the classes, in the order in which the learned state lists them.
    pub(super) classes: Vec<String>,
    /// Names of the tenants, in the order in which the learned state lists them.
    pub(super) tenants: Vec<String>,
    /// Lease on the endpoint list; absent in states of releases without leases.
    pub(in crate::net) lease: Option<LeaseHandover>,
    /// Learned state of the decision module.
    #[serde(rename = "beliefs")]
    pub(super) learned_state: LearnedState,
    /// Load at the time at which the state was sent.
    pub(super) load: LoadMessage,
    /// Learned statistics of pre-check phases.
    pub(super) phases: Option<Vec<PhaseStatistics>>,
    /// The settings in use and those that come into force soon; absent in states of releases that do not hand them over.
    pub(in crate::net) settings: Option<SettingsMessage>,
}

/// The settings of the predecessor.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(in crate::net) struct SettingsMessage {
    pub(in crate::net) schedule: ScheduleHandover,
    /// Whether the settings come from the store, which takes precedence over the configuration file.
    #[serde(rename = "stored")]
    pub(in crate::net) are_stored: bool,
    /// Time since the predecessor last read its configuration file (seconds).
    pub(in crate::net) file_age_s: f64,
}

impl Serialize for StateMessage {
    /// Writes the fields in the order that all releases share. Settings are left out if there are none, as in earlier releases.
    fn begin(&self) -> Fragment<'_> {
        let settings = self.settings.as_ref();
        let settings = settings.map(|settings| ("settings", settings as &dyn Serialize));
        let fields = [
            ("discovery", &self.discovery as &dyn Serialize),
            ("list", &self.list),
            ("names", &self.names),
            ("classes", &self.classes),
            ("tenants", &self.tenants),
            ("lease", &self.lease),
            ("beliefs", &self.learned_state),
            ("load", &self.load),
        ];
        let last = ("phases", &self.phases as &dyn Serialize);
        let fields: Vec<Field<'_>> = fields.into_iter().chain(settings).chain([last]).collect();
        Fragment::Map(Box::new(Fields(fields.into_iter())))
    }
}

/// Name and value of a field of a message.
type Field<'a> = (&'static str, &'a dyn Serialize);

/// The fields of a message that are still to be written.
struct Fields<'a>(std::vec::IntoIter<Field<'a>>);

impl ser::Map for Fields<'_> {
    fn next(&mut self) -> Option<(Cow<'_, str>, &dyn Serialize)> {
        let (name, value) = self.0.next()?;
        Some((Cow::Borrowed(name), value))
    }
}

impl StateMessage {
    pub(super) fn decode(json: &str) -> Result<StateMessage, HandoverError> {
        json::from_str(json).map_err(HandoverError::UnreadableState)
    }

    pub(super) fn to_line(&self) -> String {
        format!("state {}\n", json::to_string(self))
    }
}

/// Numbers of connections of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(in crate::net) struct ConnectionCounts {
    pub(in crate::net) clients: usize,
    pub(in crate::net) replicas: usize,
}

/// The load of the predecessor, which it reports until it exits.
#[derive(Serialize, Deserialize)]
pub(super) struct LoadMessage {
    /// Ids that clients gave to the open requests.
    pub(super) ids: Vec<String>,
    /// Number of open queries and parts.
    pub(super) held: u32,
    /// Number of connections to clients.
    pub(super) clients: u32,
    /// Number of connections to replicas.
    #[serde(rename = "leaves")]
    pub(super) replicas: u32,
    /// Attempts in flight by the replica's name; an array of pairs on the wire.
    #[serde(rename = "out")]
    pub(super) in_flight: Vec<(String, u32)>,
    /// Attempts since the last report: the replica's name, the time, and whether the attempt was a retry; arrays on the wire.
    pub(super) sent: Vec<(String, (f64, bool))>,
}

impl LoadMessage {
    pub(super) fn decode(json: &str) -> Result<LoadMessage, HandoverError> {
        json::from_str(json).map_err(HandoverError::UnreadableLoad)
    }

    pub(super) fn to_line(&self) -> String {
        format!("load {}\n", json::to_string(self))
    }

    /// Returns the load of this process, and marks the attempts made so far as reported.
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

    /// Returns the numbers of connections of the process that sent this message.
    pub(super) fn connections(&self) -> ConnectionCounts {
        ConnectionCounts {
            clients: self.clients as usize,
            replicas: self.replicas as usize,
        }
    }

    /// Converts names to the replica ids of this process. Replicas unknown here are left out.
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
