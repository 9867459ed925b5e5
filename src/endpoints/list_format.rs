//! The JSON format of an endpoint list, as sent by discovery, cached, and handed over.
//!
//! An invalid entry is skipped and does not invalidate the rest of the list.

use crate::decisions::api::Lifecycle;
use crate::endpoints::directory::WireFormat;
use miniserde::json::{self, Number, Object, Value};
use miniserde::Serialize;

/// Name of [`WireFormat::Search`] in a list.
const SEARCH_FORMAT: &str = "opensearch";

/// A parsed list that borrows from the JSON.
pub(super) struct ParsedList<'a> {
    /// Revision of the list, if it has one.
    pub(super) revision: Option<u64>,
    /// Whether the list is complete. Otherwise it contains only changes.
    pub(super) is_full: bool,
    entries: &'a [Value],
}

impl<'a> ParsedList<'a> {
    /// Returns the valid entries.
    pub(super) fn entries(&self) -> impl Iterator<Item = ParsedEntry<'a>> {
        self.entries.iter().filter_map(|entry| match entry {
            Value::Object(entry) => parse_entry(entry),
            _ => None,
        })
    }
}

/// A parsed entry of a list.
pub(super) struct ParsedEntry<'a> {
    pub(super) name: &'a str,
    pub(super) lifecycle: Lifecycle,
    pub(super) cell: u32,
    /// Name of the zone.
    pub(super) zone: Option<&'a str>,
    /// Start of the replica as Unix time (seconds); 0 if it is not known.
    pub(super) started_at: f64,
    /// Listen address as text.
    pub(super) address: Option<&'a str>,
    pub(super) wire_format: Option<WireFormat>,
    pub(super) pre_check: bool,
}

/// JSON form of a complete list.
#[derive(Serialize)]
pub(super) struct ListJson {
    pub(super) revision: Option<u64>,
    pub(super) complete: bool,
    #[serde(rename = "members")]
    pub(super) endpoints: Vec<EntryJson>,
}

/// JSON form of a list entry.
#[derive(Serialize)]
pub(super) struct EntryJson {
    #[serde(rename = "id")]
    pub(super) name: String,
    #[serde(rename = "host_port")]
    pub(super) address: Option<String>,
    #[serde(rename = "locality")]
    pub(super) zone: Option<String>,
    pub(super) cell: u32,
    pub(super) phase: String,
    #[serde(rename = "up_since_ms")]
    pub(super) started_at_ms: f64,
    #[serde(rename = "speaks")]
    pub(super) wire_format: String,
    #[serde(rename = "prefilter")]
    pub(super) pre_check: bool,
}

/// Returns a complete list as JSON.
pub(super) fn write(revision: Option<u64>, endpoints: Vec<EntryJson>) -> String {
    json::to_string(&ListJson {
        revision,
        complete: true,
        endpoints,
    })
}

/// Returns the name of a listed replica's phase in a list.
pub(super) fn phase_name(lifecycle: Lifecycle) -> &'static str {
    if lifecycle == Lifecycle::Draining {
        "Terminating"
    } else {
        "Ready"
    }
}

/// Returns the name of a wire format in a list.
pub(super) fn wire_format_name(wire_format: WireFormat) -> &'static str {
    match wire_format {
        WireFormat::Search => SEARCH_FORMAT,
        WireFormat::Frames => "frames",
    }
}

/// Returns the revision of a list, if it has one.
pub fn revision(list: &Value) -> Option<u64> {
    match list {
        Value::Object(list) => match list.get("revision") {
            Some(Value::Number(Number::U64(revision))) => Some(*revision),
            _ => None,
        },
        _ => None,
    }
}

/// Parses a list. Returns `None` if the JSON has no array of entries. Unknown keys are ignored.
pub(super) fn parse(list: &Value) -> Option<ParsedList<'_>> {
    let revision = revision(list);
    let Value::Object(list) = list else {
        return None;
    };
    let Some(Value::Array(entries)) = list.get("members") else {
        return None;
    };
    Some(ParsedList {
        revision,
        is_full: !matches!(list.get("complete"), Some(Value::Bool(false))),
        entries,
    })
}

fn parse_entry(entry: &Object) -> Option<ParsedEntry<'_>> {
    let name = text(entry, "id")?;
    let lifecycle = match text(entry, "phase")? {
        "Ready" => Lifecycle::Ready,
        "Terminating" => Lifecycle::Draining,
        // No part may be sent to a replica in an unknown phase.
        _ => Lifecycle::Removed,
    };
    let cell = match cell(entry) {
        Some(cell) => cell,
        None if lifecycle == Lifecycle::Removed => 0,
        None => return None,
    };
    Some(ParsedEntry {
        name,
        lifecycle,
        cell,
        zone: text(entry, "locality"),
        started_at: number(entry, "up_since_ms").map_or(0.0, unix_ms_to_s),
        address: text(entry, "host_port"),
        wire_format: text(entry, "speaks").map(parse_wire_format),
        pre_check: matches!(entry.get("prefilter"), Some(Value::Bool(true))),
    })
}

fn parse_wire_format(name: &str) -> WireFormat {
    if name == SEARCH_FORMAT {
        WireFormat::Search
    } else {
        WireFormat::Frames
    }
}

fn cell(entry: &Object) -> Option<u32> {
    number(entry, "cell")
        .filter(|cell| *cell >= 0.0 && *cell <= f64::from(u32::MAX))
        .map(|cell| cell as u32)
}

/// Converts a Unix time from milliseconds to seconds. Returns 0 if the time is not set.
fn unix_ms_to_s(at_ms: f64) -> f64 {
    if at_ms <= 0.0 || !at_ms.is_finite() {
        return 0.0;
    }
    at_ms / 1000.0
}

fn text<'a>(object: &'a Object, key: &str) -> Option<&'a str> {
    match object.get(key)? {
        Value::String(text) => Some(text),
        _ => None,
    }
}

fn number(object: &Object, key: &str) -> Option<f64> {
    match object.get(key)? {
        Value::Number(Number::U64(number)) => Some(*number as f64),
        Value::Number(Number::I64(number)) => Some(*number as f64),
        Value::Number(Number::F64(number)) => Some(*number),
        _ => None,
    }
}
