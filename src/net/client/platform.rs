//! The platform's client protocol: parsing of requests and serialization of responses.
//!
//! Names of JSON fields and texts of errors are part of the protocol.

use crate::config::Deployment;
use crate::decisions::api::{ClassSettings, Effect};
use crate::endpoints::directory::Endpoint;
use crate::net::client::request_fields::{
    is_valid_field, is_valid_idempotency_key, route_key, tenant_index,
};
use crate::net::http::{self, Message, StartLine};
use crate::requests::coordinator::{FinalAnswer, PartRequest, Protocol, QueryRequest, Reason};
use miniserde::{json, Deserialize, Serialize};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::str::Utf8Error;
use thiserror::Error;

/// Tolerance for rounding errors in the sum of the part weights, which must be 1.
const MAX_WEIGHT_ERROR: f64 = 0.01;
/// Query headers that must occur at most once, because repeated headers could contradict each other.
const SINGLE_HEADERS: [&str; 7] = [
    "x-request-id",
    "x-priority-class",
    "x-tenant-id",
    "x-route-key",
    "x-timeout-ms",
    "x-retried",
    "idempotency-key",
];

/// JSON body of a query.
#[derive(Deserialize)]
struct QueryJson {
    #[serde(rename = "tablets")]
    parts: Vec<PartJson>,
    statement: String,
}

/// Part of a query. The hint is the estimated work of the part in microseconds.
#[derive(Deserialize)]
struct PartJson {
    #[serde(rename = "tablet")]
    shard: u32,
    #[serde(rename = "fraction")]
    weight: f64,
    #[serde(rename = "guess")]
    hint_us: Option<f64>,
}

/// JSON body of a final answer.
#[derive(Serialize)]
struct AnswerJson {
    #[serde(rename = "full")]
    is_complete: bool,
    #[serde(rename = "pieces")]
    values: Vec<ValueJson>,
}

/// Value of one part in a final answer.
#[derive(Serialize)]
struct ValueJson {
    #[serde(rename = "tablet")]
    shard: u32,
    #[serde(rename = "cell")]
    value: String,
}

/// Endpoint on the endpoints page.
#[derive(Serialize)]
struct EndpointJson {
    #[serde(rename = "id")]
    name: String,
    address: Option<String>,
    #[serde(rename = "ready")]
    is_ready: bool,
    connections: usize,
    load: Option<String>,
}

#[derive(Serialize)]
struct ErrorJson<'a> {
    error: &'a str,
}

/// Reason for rejecting an invalid request. The texts are part of the protocol.
#[derive(Debug, Error)]
pub(super) enum PlatformError {
    #[error("not a request")]
    NotARequest,
    #[error("queries are POST requests")]
    MethodNotAllowed,
    #[error("a header that stands twice")]
    DuplicateHeader,
    #[error("the path and X-Priority-Class name different classes")]
    ConflictingClasses,
    #[error("unknown class")]
    UnknownClass,
    #[error("X-Request-ID")]
    InvalidRequestId,
    /// Id of another request in flight. Leaf servers identify parts by the id, so answers of the two requests could be
    /// confused.
    #[error("a request of that X-Request-ID is open")]
    RequestIdInUse,
    #[error("X-Tenant-Id names no tenant")]
    UnknownTenant,
    #[error("X-Timeout-Ms")]
    InvalidTimeout,
    #[error("Idempotency-Key")]
    InvalidIdempotencyKey,
    #[error("this class needs an Idempotency-Key")]
    MissingIdempotencyKey,
    #[error("the body is not UTF-8")]
    BodyNotUtf8(#[source] Utf8Error),
    #[error("the body has not the form of a query")]
    BodyNotAQuery(#[source] miniserde::Error),
    #[error("a tablet that is unknown, doubled or without a sound fraction")]
    InvalidPart,
    #[error("a query without tablets")]
    NoParts,
    #[error("fractions that do not add up to 1")]
    InvalidWeightSum,
    /// The store, which has not been read, may hold settings by which the request is valid.
    #[error("the settings in the store have not been read yet")]
    SettingsUnread,
}

impl PlatformError {
    /// Returns the HTTP status of the error response.
    pub(super) fn status(&self) -> u16 {
        match self {
            PlatformError::MethodNotAllowed => 405,
            PlatformError::UnknownClass => 404,
            PlatformError::RequestIdInUse => 409,
            PlatformError::SettingsUnread => 503,
            _ => 400,
        }
    }

    /// Returns the error to send while the settings in use may be outdated: a request that other settings may allow is refused, so
    /// that its client tries again.
    fn by_settings(self, deployment: &Deployment) -> PlatformError {
        match self {
            PlatformError::UnknownClass
            | PlatformError::UnknownTenant
            | PlatformError::MissingIdempotencyKey
                if deployment.is_store_unread() =>
            {
                PlatformError::SettingsUnread
            }
            error => error,
        }
    }

    /// Serializes the error response, which announces the end of the connection.
    pub(super) fn response(&self) -> Vec<u8> {
        render_error(self.status(), &self.to_string(), &[], true)
    }
}

/// Valid request.
pub(super) enum PlatformRequest {
    /// Query for the request coordinator.
    Query(Box<QueryRequest>),
    /// Request for a page under `/-/`.
    Page,
}

/// Parses and validates a request.
pub(super) fn parse_request(
    message: &Message,
    deployment: &Deployment,
) -> Result<PlatformRequest, PlatformError> {
    let StartLine::Request { method, target } = &message.start else {
        return Err(PlatformError::NotARequest);
    };
    let path = target.split('?').next().unwrap_or_default();
    match method.as_str() {
        "GET" | "PUT" if path.starts_with("/-/") => Ok(PlatformRequest::Page),
        "POST" => {
            let query_request = parse_query(message, path, deployment)
                .map_err(|error| error.by_settings(deployment))?;
            Ok(PlatformRequest::Query(Box::new(query_request)))
        }
        _ => Err(PlatformError::MethodNotAllowed),
    }
}

fn parse_query(
    message: &Message,
    path: &str,
    deployment: &Deployment,
) -> Result<QueryRequest, PlatformError> {
    check_single_headers(message)?;
    let class_name = parse_class_name(message, path)?;
    let class = deployment
        .classes
        .iter()
        .position(|name| name == class_name)
        .ok_or(PlatformError::UnknownClass)?;
    let settings = &deployment.policy.classes[class];
    let id = message
        .header("x-request-id")
        .filter(|id| is_valid_field(id))
        .ok_or(PlatformError::InvalidRequestId)?;
    let tenant = tenant_index(deployment, message.header("x-tenant-id"))
        .ok_or(PlatformError::UnknownTenant)?;
    let timeout_s = parse_timeout_s(message, settings)?;
    let idempotency_key = parse_idempotency_key(message, deployment, class)?;
    let body = std::str::from_utf8(&message.body).map_err(PlatformError::BodyNotUtf8)?;
    let body: QueryJson = json::from_str(body).map_err(PlatformError::BodyNotAQuery)?;
    let parts = parse_parts(&body.parts, deployment.shards)?;
    Ok(QueryRequest {
        id: id.to_string(),
        protocol: Protocol::Platform,
        class,
        class_name: class_name.to_string(),
        opaque_id: None,
        tenant,
        key: message.header("x-route-key").map_or(0, route_key),
        is_client_retry: message.header("x-retried") == Some("1"),
        timeout_s,
        timeout_uncertainty_s: 0.0,
        document_id: document_id(id, idempotency_key.as_deref(), deployment, class),
        idempotency_key,
        routing: None,
        shard_count: deployment.shards,
        payload: body.statement,
        complete_only: false,
        pre_check_above: None,
        parts,
    })
}

fn check_single_headers(message: &Message) -> Result<(), PlatformError> {
    let count = |name: &str| {
        let is_named = |(key, _): &&(String, String)| key.eq_ignore_ascii_case(name);
        message.headers.iter().filter(is_named).count()
    };
    if SINGLE_HEADERS.iter().any(|name| count(name) > 1) {
        return Err(PlatformError::DuplicateHeader);
    }
    Ok(())
}

/// Returns the class name, which is the first segment of the path. `X-Priority-Class` must be absent or agree with it.
fn parse_class_name<'a>(message: &Message, path: &'a str) -> Result<&'a str, PlatformError> {
    let path = path.strip_prefix('/').unwrap_or(path);
    let class_name = path.split('/').next().unwrap_or_default();
    match message.header("x-priority-class") {
        Some(name) if name != class_name => Err(PlatformError::ConflictingClasses),
        _ => Ok(class_name),
    }
}

/// Returns the timeout of the request in seconds, which is capped at the deadline of the class so that no request is held
/// for days.
fn parse_timeout_s(message: &Message, settings: &ClassSettings) -> Result<f64, PlatformError> {
    let Some(text) = message.header("x-timeout-ms") else {
        return Ok(settings.deadline_s);
    };
    // `str::parse` also accepts a leading sign.
    if !text.bytes().all(|byte| byte.is_ascii_digit()) {
        return Err(PlatformError::InvalidTimeout);
    }
    match text.parse::<u32>() {
        Ok(timeout_ms) if timeout_ms > 0 => {
            Ok((f64::from(timeout_ms) / 1000.0).min(settings.deadline_s))
        }
        _ => Err(PlatformError::InvalidTimeout),
    }
}

/// Returns the idempotency key for a class that requires one. For other classes the key is validated, and ignored unless the client
/// may follow settings that require it. A class whose effect is changing may have a key.
fn parse_idempotency_key(
    message: &Message,
    deployment: &Deployment,
    class: usize,
) -> Result<Option<String>, PlatformError> {
    let key = message.header("idempotency-key");
    if key.is_some_and(|key| !is_valid_idempotency_key(key)) {
        return Err(PlatformError::InvalidIdempotencyKey);
    }
    if deployment.is_effect_changing(class) {
        return Ok(key.map(String::from));
    }
    if deployment.declared_effects[class] != Effect::IdempotentWithKey {
        let is_forwarded = deployment.forwards_any_key(class);
        return Ok(key.filter(|_| is_forwarded).map(String::from));
    }
    match key {
        Some(key) => Ok(Some(key.to_string())),
        None => Err(PlatformError::MissingIdempotencyKey),
    }
}

/// Returns the id of the document that a query creates at leaf servers of the search API: the idempotency key or, in a class
/// without one, the request id, which every request has for itself. Returns `None` for a search, which stays one if it has a key
/// although its class requires none.
fn document_id(
    request_id: &str,
    idempotency_key: Option<&str>,
    deployment: &Deployment,
    class: usize,
) -> Option<String> {
    let effect_without_key = deployment.effect_of_request_without_key(class);
    match (idempotency_key, effect_without_key) {
        (Some(key), _) if deployment.is_effect_changing(class) => Some(key.to_string()),
        (_, Effect::Idempotent) => None,
        (Some(key), _) => Some(key.to_string()),
        (None, Effect::IdempotentWithKey | Effect::NonIdempotent) => Some(request_id.to_string()),
    }
}

fn parse_parts(parts: &[PartJson], shard_count: u32) -> Result<Vec<PartRequest>, PlatformError> {
    let mut shards = BTreeSet::new();
    let mut requests = Vec::new();
    for part in parts {
        let is_valid =
            (0.0..=1.0 + MAX_WEIGHT_ERROR).contains(&part.weight) && part.shard < shard_count;
        if !is_valid || !shards.insert(part.shard) {
            return Err(PlatformError::InvalidPart);
        }
        let hint_us = part.hint_us.filter(|hint| hint.is_finite() && *hint > 0.0);
        requests.push(PartRequest {
            shard: part.shard,
            weight: part.weight,
            cost_hint_s: hint_us.map(|hint| hint * 1e-6),
        });
    }
    if requests.is_empty() {
        return Err(PlatformError::NoParts);
    }
    // Whether an answer counts as complete depends on the summed weight of its parts, so the weights must add up to 1.
    let sum = requests.iter().map(|part| part.weight).sum::<f64>();
    if (sum - 1.0).abs() > MAX_WEIGHT_ERROR {
        return Err(PlatformError::InvalidWeightSum);
    }
    Ok(requests)
}

/// Serializes an error response. `close` adds `Connection: close`.
pub(super) fn render_error(
    status: u16,
    reason: &str,
    headers: &[(&str, String)],
    close: bool,
) -> Vec<u8> {
    let body = json::to_string(&ErrorJson { error: reason });
    http::json_response(status, headers, &body, close)
}

/// Serializes a final answer. `close` adds `Connection: close`.
pub(super) fn render_answer(
    query_request: &QueryRequest,
    answer: FinalAnswer,
    close: bool,
) -> Vec<u8> {
    match answer {
        FinalAnswer::Answered {
            complete, values, ..
        } => {
            let body = AnswerJson {
                is_complete: complete,
                values: part_values(query_request, &values),
            };
            http::json_response(200, &[], &json::to_string(&body), close)
        }
        FinalAnswer::Rejected {
            reason,
            retry_after_s,
        } => {
            let status = if reason == Reason::TooManyOpen {
                503
            } else {
                429
            };
            let has_retry_after = retry_after_s > 0.0;
            let retry_after =
                has_retry_after.then(|| ("Retry-After", http::format_seconds(retry_after_s)));
            let text = "refused: asking again does no harm";
            render_error(status, text, retry_after.as_slice(), close)
        }
        FinalAnswer::Failed {
            reason: Reason::DeadlineExceeded,
            ..
        } => render_error(504, "the time ran out", &[], close),
        FinalAnswer::Failed { .. } => {
            render_error(502, "given up: parts of it may have run", &[], close)
        }
    }
}

/// Returns the available values with their shards.
fn part_values(query_request: &QueryRequest, values: &[Option<Rc<str>>]) -> Vec<ValueJson> {
    let part_value = |(part, value): (&PartRequest, &Option<Rc<str>>)| {
        Some(ValueJson {
            shard: part.shard,
            value: value.as_ref()?.to_string(),
        })
    };
    let parts = query_request.parts.iter();
    parts.zip(values).filter_map(part_value).collect()
}

/// Renders the endpoints page: address, readiness, number of connections and latest load report of each endpoint.
pub(in crate::net) fn render_endpoints<'a>(
    endpoints: impl Iterator<Item = &'a Endpoint>,
) -> String {
    let entry = |endpoint: &Endpoint| EndpointJson {
        name: endpoint.name.clone(),
        address: endpoint.address.map(|address| address.to_string()),
        is_ready: endpoint.is_ready,
        connections: endpoint.connections.len(),
        load: endpoint.load.clone(),
    };
    json::to_string(&endpoints.map(entry).collect::<Vec<_>>())
}
