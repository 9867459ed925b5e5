//! The form of an endpoint list, as discovery sends it and as it is cached and handed over.
//!
//! This file owns the JSON of a list and of its lines. It must never know which endpoints there are, and never reject a list
//! for one line: a line that makes no sense is skipped, and the others count.

use crate::decisions::api::Lifecycle;
use crate::endpoints::directory::WireFormat;
use miniserde::json::{self, Number, Object, Value};
use miniserde::Serialize;

/// The name of [`WireFormat::Search`] in a list.
const SEARCH_FORMAT: &str = "opensearch";

/// A list that was read; it borrows from the JSON.
pub(super) struct ParsedList<'a> {
    /// Its version, if it has one.
    pub(super) revision: Option<u64>,
    /// Whether it names all replicas there are, or changes only.
    pub(super) is_full: bool,
    lines: &'a [Value],
}

impl<'a> ParsedList<'a> {
    /// The lines that make sense.
    pub(super) fn lines(&self) -> impl Iterator<Item = ParsedLine<'a>> {
        self.lines.iter().filter_map(|line| match line {
            Value::Object(line) => parse_line(line),
            _ => None,
        })
    }
}

/// A line of a list.
pub(super) struct ParsedLine<'a> {
    pub(super) name: &'a str,
    pub(super) lifecycle: Lifecycle,
    pub(super) cell: u32,
    /// The name of its zone.
    pub(super) zone: Option<&'a str>,
    /// Unix time (seconds); 0 if it is not known.
    pub(super) started_at: f64,
    /// Where it listens, as text.
    pub(super) address: Option<&'a str>,
    pub(super) wire_format: Option<WireFormat>,
    pub(super) pre_check: bool,
}

/// A complete list that is written.
#[derive(Serialize)]
pub(super) struct ListJson {
    pub(super) revision: Option<u64>,
    pub(super) complete: bool,
    #[serde(rename = "members")]
    pub(super) endpoints: Vec<LineJson>,
}

/// A line of a list that is written.
#[derive(Serialize)]
pub(super) struct LineJson {
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

/// The JSON of a complete list.
pub(super) fn write(revision: Option<u64>, endpoints: Vec<LineJson>) -> String {
    json::to_string(&ListJson {
        revision,
        complete: true,
        endpoints,
    })
}

/// The name of the phase of a listed replica.
pub(super) fn phase_name(lifecycle: Lifecycle) -> &'static str {
    if lifecycle == Lifecycle::Draining {
        "Terminating"
    } else {
        "Ready"
    }
}

/// The name of a wire format.
pub(super) fn wire_format_name(wire_format: WireFormat) -> &'static str {
    match wire_format {
        WireFormat::Search => SEARCH_FORMAT,
        WireFormat::Frames => "frames",
    }
}

/// The version of a list, if it has one.
pub fn revision(list: &Value) -> Option<u64> {
    match list {
        Value::Object(list) => match list.get("revision") {
            Some(Value::Number(Number::U64(revision))) => Some(*revision),
            _ => None,
        },
        _ => None,
    }
}

/// Reads a list; none if it has no lines at all. Unknown keys are ignored.
pub(super) fn parse(list: &Value) -> Option<ParsedList<'_>> {
    let revision = revision(list);
    let Value::Object(list) = list else {
        return None;
    };
    let Some(Value::Array(lines)) = list.get("members") else {
        return None;
    };
    Some(ParsedList {
        revision,
        is_full: !matches!(list.get("complete"), Some(Value::Bool(false))),
        lines,
    })
}

fn parse_line(line: &Object) -> Option<ParsedLine<'_>> {
    let name = text(line, "id")?;
    let lifecycle = match text(line, "phase")? {
        "Ready" => Lifecycle::Ready,
        "Terminating" => Lifecycle::Draining,
        // Nothing may be sent to a replica in an unknown phase.
        _ => Lifecycle::Removed,
    };
    let cell = match cell(line) {
        Some(cell) => cell,
        None if lifecycle == Lifecycle::Removed => 0,
        None => return None,
    };
    Some(ParsedLine {
        name,
        lifecycle,
        cell,
        zone: text(line, "locality"),
        started_at: number(line, "up_since_ms").map_or(0.0, from_wall_ms),
        address: text(line, "host_port"),
        wire_format: text(line, "speaks").map(parse_wire_format),
        pre_check: matches!(line.get("prefilter"), Some(Value::Bool(true))),
    })
}

fn parse_wire_format(name: &str) -> WireFormat {
    if name == SEARCH_FORMAT {
        WireFormat::Search
    } else {
        WireFormat::Frames
    }
}

fn cell(line: &Object) -> Option<u32> {
    number(line, "cell")
        .filter(|cell| *cell >= 0.0 && *cell <= f64::from(u32::MAX))
        .map(|cell| cell as u32)
}

/// A Unix time in milliseconds in seconds; 0 if it is unset.
fn from_wall_ms(at_ms: f64) -> f64 {
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
