//! Serialization of responses to clients in the search API.
//!
//! Each missing part is listed in `_shards` with its reason, so that a client cannot take an incomplete answer for complete.

use crate::decisions::api::Outcome;
use crate::net::client::opensearch::error::SearchError;
use crate::net::client::opensearch::hits::merge_hits;
use crate::net::client::opensearch::json_value::{count, object, string};
use crate::net::client::opensearch::request::SearchContext;
use crate::net::http;
use crate::requests::coordinator::{FinalAnswer, PartRequest, QueryRequest, Reason};
use miniserde::json::{self, Object, Value};
use std::rc::Rc;

/// Part without a value, and the last outcome of its attempts, if any.
struct MissingPart<'a> {
    part: &'a PartRequest,
    outcome: Option<Outcome>,
}

/// Properties that all responses to a request share.
#[derive(Clone, Copy)]
struct Envelope<'a> {
    /// `X-Opaque-Id` of the client, which the response repeats.
    opaque: Option<&'a str>,
    /// Whether the response announces the end of the connection.
    close: bool,
}

impl Envelope<'_> {
    fn render(self, status: u16, body: &Value, retry_after: Option<String>) -> Vec<u8> {
        let opaque = self.opaque.map(|text| ("X-Opaque-Id", text.to_string()));
        let retry_after = retry_after.map(|text| ("Retry-After", text));
        let headers: Vec<_> = opaque.into_iter().chain(retry_after).collect();
        http::json_response(status, &headers, &json::to_string(body), self.close)
    }
}

/// Serializes the error response to an invalid request. `close` adds `Connection: close`.
pub(in crate::net::client) fn render_error(
    error: &SearchError,
    opaque: Option<&str>,
    close: bool,
) -> Vec<u8> {
    let body = error_body(error.status(), error.kind(), &error.to_string(), Vec::new());
    Envelope { opaque, close }.render(error.status(), &body, None)
}

/// Serializes the root page, which identifies the server.
pub(in crate::net::client) fn render_root(name: &str, close: bool) -> Vec<u8> {
    let version = object([
        ("number", string(env!("CARGO_PKG_VERSION"))),
        ("distribution", string("wharfhub")),
    ]);
    let body = object([("name", string(name)), ("version", version)]);
    let opaque = None;
    Envelope { opaque, close }.render(200, &body, None)
}

/// Serializes a final answer. `took_s` is the time that the request was in flight. `close` adds `Connection: close`.
pub(in crate::net::client) fn render_answer(
    context: &SearchContext,
    query_request: &QueryRequest,
    answer: FinalAnswer,
    took_s: f64,
    close: bool,
) -> Vec<u8> {
    let envelope = Envelope {
        opaque: context.opaque.as_deref(),
        close,
    };
    match answer {
        FinalAnswer::Answered {
            values,
            outcomes,
            pruned,
            ..
        } => {
            let missing = missing_parts(query_request, &values, &outcomes);
            let pruned_count = pruned.iter().filter(|pruned| **pruned).count();
            let shards = shards_summary(context, query_request, &missing, pruned_count);
            if let Some(id) = &context.created_id {
                return envelope.render(201, &created_body(context, id, shards), None);
            }
            let body = object([
                ("took", count((took_s * 1000.0) as u64)),
                ("timed_out", Value::Bool(missing.iter().any(is_timed_out))),
                ("_shards", shards),
                ("hits", merge_hits(context, query_request, &values)),
            ]);
            envelope.render(200, &body, None)
        }
        FinalAnswer::Rejected { retry_after_s, .. } => {
            render_rejection(envelope, retry_after_s, context.max_retry_after_s)
        }
        FinalAnswer::Failed { reason, outcomes } => {
            render_failure(envelope, context, query_request, reason, &outcomes)
        }
    }
}

/// Returns the parts without a value.
fn missing_parts<'a>(
    query_request: &'a QueryRequest,
    values: &[Option<Rc<str>>],
    outcomes: &[Option<Outcome>],
) -> Vec<MissingPart<'a>> {
    let parts = query_request.parts.iter();
    parts
        .zip(values.iter().zip(outcomes))
        .filter(|(_, (value, _))| value.is_none())
        .map(|(part, (_, outcome))| MissingPart {
            part,
            outcome: *outcome,
        })
        .collect()
}

/// Returns the member `_shards`: the numbers of parts by result, and the reason of each missing part.
fn shards_summary(
    context: &SearchContext,
    query_request: &QueryRequest,
    missing: &[MissingPart],
    pruned_count: usize,
) -> Value {
    let total = query_request.parts.len();
    let failed = missing.len();
    let mut summary = Object::new();
    summary.insert("total".into(), count(total));
    summary.insert("successful".into(), count(total - failed));
    summary.insert("skipped".into(), count(pruned_count));
    summary.insert("failed".into(), count(failed));
    if failed > 0 {
        let failures = shard_failures(context, missing).into_iter().collect();
        summary.insert("failures".into(), Value::Array(failures));
    }
    Value::Object(summary)
}

fn created_body(context: &SearchContext, id: &str, shards: Value) -> Value {
    object([
        ("_index", string(&context.index)),
        ("_id", string(id)),
        ("_version", count(1u64)),
        ("result", string("created")),
        ("_shards", shards),
    ])
}

fn render_rejection(envelope: Envelope, retry_after_s: f64, max_retry_after_s: f64) -> Vec<u8> {
    let reason = "refused before anything harmful ran: asking again does no harm";
    let body = error_body(429, "rejected_execution_exception", reason, Vec::new());
    // Some clients only parse whole seconds, so the value is rounded up unless that exceeds the maximum.
    let whole_s = retry_after_s.ceil();
    let header_value_s = if whole_s <= max_retry_after_s {
        whole_s
    } else {
        retry_after_s
    };
    let retry_after = (retry_after_s > 0.0).then(|| http::format_seconds(header_value_s));
    envelope.render(429, &body, retry_after)
}

fn render_failure(
    envelope: Envelope,
    context: &SearchContext,
    query_request: &QueryRequest,
    reason: Reason,
    outcomes: &[Option<Outcome>],
) -> Vec<u8> {
    let all_parts = query_request.parts.iter().zip(outcomes);
    let failed: Vec<MissingPart> = all_parts
        .filter(|(_, outcome)| **outcome != Some(Outcome::Ok))
        .map(|(part, outcome)| MissingPart {
            part,
            outcome: *outcome,
        })
        .collect();
    let is_timeout = reason == Reason::DeadlineExceeded || failed.iter().any(is_timed_out);
    let (status, text) = if is_timeout {
        (504, "Time exceeded")
    } else {
        (500, "Partial shards failure")
    };
    let failures = shard_failures(context, &failed);
    let kind = "search_phase_execution_exception";
    envelope.render(status, &error_body(status, kind, text, failures), None)
}

/// Returns the body of an error, with the failures of individual shards if there are any.
fn error_body(status: u16, kind: &str, reason: &str, failures: Vec<Value>) -> Value {
    let cause = object([("type", string(kind)), ("reason", string(reason))]);
    let root_cause = std::iter::once(cause).collect();
    let mut error = Object::new();
    error.insert("root_cause".into(), Value::Array(root_cause));
    error.insert("type".into(), string(kind));
    error.insert("reason".into(), string(reason));
    if !failures.is_empty() {
        let failures = failures.into_iter().collect();
        error.insert("failed_shards".into(), Value::Array(failures));
    }
    object([("error", Value::Object(error)), ("status", count(status))])
}

fn shard_failures(context: &SearchContext, missing: &[MissingPart]) -> Vec<Value> {
    let failure = |missing: &MissingPart| shard_failure(&context.index, missing);
    missing.iter().map(failure).collect()
}

/// Returns the reason for a missing part as an entry of `failures`.
fn shard_failure(index: &str, missing: &MissingPart) -> Value {
    let (kind, reason) = match missing.outcome {
        None | Some(Outcome::TimedOut | Outcome::Cancelled) => {
            ("timeout_exception", "no answer in time")
        }
        Some(Outcome::Rejected) => ("rejected_execution_exception", "turned away before it ran"),
        Some(Outcome::ConnectFailed | Outcome::Superseded) => {
            ("connect_exception", "no box could be reached")
        }
        Some(Outcome::Reset) => ("node_disconnected_exception", "the connection broke"),
        Some(Outcome::Error | Outcome::Ok | Outcome::Matches) => {
            ("exception", "the box gave an error")
        }
    };
    let reason = object([("type", string(kind)), ("reason", string(reason))]);
    object([
        ("shard", count(missing.part.shard)),
        ("index", string(index)),
        ("reason", reason),
    ])
}

/// Returns whether a part is missing because of a timeout.
fn is_timed_out(missing: &MissingPart) -> bool {
    matches!(
        missing.outcome,
        None | Some(Outcome::TimedOut | Outcome::Cancelled | Outcome::Matches)
    )
}
