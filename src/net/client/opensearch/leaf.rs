//! Serialization of calls to leaf servers that use the search API, and parsing of their answers.
//!
//! An answer with a failed shard or a timeout counts as an error, so that partial results are never merged as complete.

use crate::decisions::api::Outcome;
use crate::net::client::opensearch::json_value::{
    as_count, count, object, parse_object, query_string, string,
};
use crate::net::client::opensearch::shard_routing::routing_value_for;
use crate::net::http::{Message, StartLine};
use crate::requests::coordinator::{CallPart, QueryRequest};
use miniserde::json::{self, Array, Object, Value};
use std::net::SocketAddr;
use std::rc::Rc;

/// Limit on a load report. Longer reports are ignored.
const MAX_LOAD_REPORT_BYTES: usize = 200;

/// Method, target and body of a call.
struct LeafCall {
    line: String,
    body: String,
}

/// Serializes a call with one part. The remaining time of the part is sent as the `timeout` parameter, except for
/// pre-checks.
pub(in crate::net) fn render_leaf_request(part: &CallPart, address: SocketAddr) -> Vec<u8> {
    let query_request = &part.query_request;
    let shard = query_request.parts[part.index].shard;
    let timeout_ms = (part.timeout_s * 1000.0).floor().max(1.0) as u64;
    let LeafCall { line, body } = match &query_request.document_id {
        Some(id) => {
            let routing = routing_value(query_request, shard);
            create_call(query_request, id, &routing, timeout_ms)
        }
        None if part.pre_check => count_call(query_request, shard),
        None => search_call(query_request, shard, timeout_ms),
    };
    let opaque = query_request
        .opaque_id
        .as_ref()
        .map(|text| format!("X-Opaque-Id: {text}\r\n"))
        .unwrap_or_default();
    format!(
        "{line} HTTP/1.1\r\nHost: {address}\r\nX-Request-ID: {}.{shard}\r\n{opaque}\
         Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        query_request.id,
        body.len()
    )
    .into_bytes()
}

/// Returns a routing value that selects a shard at a leaf server. Where none can be computed, this is the client's own value, or
/// the number of the shard if the client named that.
fn routing_value(query_request: &QueryRequest, shard: u32) -> String {
    routing_value_for(shard, query_request.shard_count)
        .or_else(|| query_request.routing.clone())
        .unwrap_or_else(|| shard.to_string())
}

fn create_call(
    query_request: &QueryRequest,
    document_id: &str,
    routing: &str,
    timeout_ms: u64,
) -> LeafCall {
    let text = &query_request.payload;
    let index = percent_encode(&query_request.class_name);
    let id = percent_encode(document_id);
    let routing = percent_encode(routing);
    LeafCall {
        line: format!("PUT /{index}/_create/{id}?routing={routing}&timeout={timeout_ms}ms"),
        body: match parse_object(text) {
            Some(_) => text.clone(),
            None => json::to_string(&object([("statement", string(text))])),
        },
    }
}

/// Returns a pre-check call, which counts the matches of a search and stops at the first one. Only the `query` member of the
/// search body is sent.
fn count_call(query_request: &QueryRequest, shard: u32) -> LeafCall {
    let text = &query_request.payload;
    let index = percent_encode(&query_request.class_name);
    let query = parse_object(text).and_then(|mut body| body.remove("query"));
    let query = query.unwrap_or_else(|| query_string(text));
    LeafCall {
        line: format!("POST /{index}/_count?preference=_shards:{shard}&terminate_after=1"),
        body: json::to_string(&object([("query", query)])),
    }
}

fn search_call(query_request: &QueryRequest, shard: u32, timeout_ms: u64) -> LeafCall {
    let text = &query_request.payload;
    let index = percent_encode(&query_request.class_name);
    LeafCall {
        line: format!(
            "POST /{index}/_search?preference=_shards:{shard}&timeout={timeout_ms}ms\
             &allow_partial_search_results=false"
        ),
        body: match parse_object(text) {
            Some(_) => text.clone(),
            None => json::to_string(&object([("query", query_string(text))])),
        },
    }
}

fn percent_encode(text: &str) -> String {
    percent_encoding::utf8_percent_encode(text, percent_encoding::NON_ALPHANUMERIC).to_string()
}

/// Parsed answer of a leaf server.
#[derive(Clone, Debug)]
pub(in crate::net) struct LeafAnswer {
    pub(in crate::net) outcome: Outcome,
    /// Value of the part, if the outcome has one.
    pub(in crate::net) value: Option<Rc<str>>,
    /// Load report of the leaf server, from `X-Server-Load`.
    pub(in crate::net) load: Option<String>,
}

impl LeafAnswer {
    fn success(value: Rc<str>) -> LeafAnswer {
        LeafAnswer {
            outcome: Outcome::Ok,
            value: Some(value),
            load: None,
        }
    }

    fn without_value(outcome: Outcome) -> LeafAnswer {
        LeafAnswer {
            outcome,
            value: None,
            load: None,
        }
    }
}

/// Parses an answer. Status 429 means that the part did not run; after any other failure the part may have run.
/// `pre_check` is set if the call only asked whether any document matches.
pub(in crate::net) fn parse_leaf_answer(message: &Message, pre_check: bool) -> LeafAnswer {
    let load = message
        .header("x-server-load")
        .filter(|load| load.len() <= MAX_LOAD_REPORT_BYTES)
        .map(String::from);
    LeafAnswer {
        load,
        ..parse_outcome(message, pre_check)
    }
}

/// Parses the outcome and the value of an answer, without its load report.
fn parse_outcome(message: &Message, pre_check: bool) -> LeafAnswer {
    let StartLine::Response { status } = message.start else {
        return LeafAnswer::without_value(Outcome::Error);
    };
    let object = std::str::from_utf8(&message.body)
        .ok()
        .and_then(parse_object);
    match (status, object) {
        (429, _) => LeafAnswer::without_value(Outcome::Rejected),
        (200 | 201, Some(object)) if !is_partial(&object) => {
            if pre_check {
                parse_pre_check(&object)
            } else {
                LeafAnswer::success(value_of(object))
            }
        }
        _ => LeafAnswer::without_value(Outcome::Error),
    }
}

/// Returns whether an answer is incomplete because of a timeout or a failed shard.
fn is_partial(answer: &Object) -> bool {
    let is_timed_out = matches!(answer.get("timed_out"), Some(Value::Bool(true)));
    is_timed_out || shard_count(answer, "failed") > 0
}

/// Returns a counter of the member `_shards`, or 0 if the answer does not contain it.
fn shard_count(answer: &Object, name: &str) -> u64 {
    match answer.get("_shards") {
        Some(Value::Object(shards)) => shards.get(name).and_then(as_count).unwrap_or(0),
        _ => 0,
    }
}

/// Returns the value of a part: the hits of a search, or the whole answer to a create.
fn value_of(mut answer: Object) -> Rc<str> {
    let value = answer.remove("hits").unwrap_or(Value::Object(answer));
    Rc::from(json::to_string(&value))
}

/// Parses the answer to a pre-check. A count of 0 becomes an empty list of hits, so that the part needs no search. An answer
/// without a count, or without a successful shard, is an error.
fn parse_pre_check(answer: &Object) -> LeafAnswer {
    let counted = answer.get("count").and_then(as_count);
    match counted.filter(|_| shard_count(answer, "successful") > 0) {
        Some(0) => LeafAnswer::success(no_hits()),
        Some(_) => LeafAnswer::without_value(Outcome::Matches),
        None => LeafAnswer::without_value(Outcome::Error),
    }
}

/// Returns an empty list of hits, as the value of a part without matches.
fn no_hits() -> Rc<str> {
    let total = object([("value", count(0u64)), ("relation", string("eq"))]);
    let hits = object([
        ("total", total),
        ("max_score", Value::Null),
        ("hits", Value::Array(Array::new())),
    ]);
    Rc::from(json::to_string(&hits))
}
