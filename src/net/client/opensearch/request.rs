//! Parsing of client requests in the search API, and their conversion to queries.

use crate::config::Deployment;
use crate::decisions::api::Effect;
use crate::net::client::opensearch::error::{OperationKind, SearchError};
use crate::net::client::opensearch::json_value::parse_object;
use crate::net::client::opensearch::options::RequestOptions;
use crate::net::client::request_fields::{is_valid_idempotency_key, route_key, tenant_index};
use crate::net::http::{Message, StartLine};
use crate::requests::coordinator::{PartRequest, Protocol, QueryRequest};

/// Limit on the `X-Opaque-Id` that is forwarded to leaf servers and returned to the client. Longer ids are dropped.
const MAX_OPAQUE_ID_BYTES: usize = 200;

/// Data for the response to a request that the request coordinator does not keep.
#[derive(Clone, Debug)]
pub(in crate::net::client) struct SearchContext {
    pub(super) index: String,
    /// Id of the created document; `None` for a search.
    pub(super) created_id: Option<String>,
    /// Number of hits that the answer skips.
    pub(super) from: u64,
    /// Maximum number of hits in the answer.
    pub(super) size: u64,
    /// `X-Opaque-Id` of the client.
    pub(super) opaque: Option<String>,
    /// Maximum `Retry-After` (seconds).
    pub(super) max_retry_after_s: f64,
}

impl SearchContext {
    fn new(
        target: &Target,
        options: &RequestOptions,
        opaque: Option<&str>,
        deployment: &Deployment,
    ) -> SearchContext {
        SearchContext {
            index: target.index.to_string(),
            created_id: target.operation.created_id().map(String::from),
            from: options.from(),
            size: options.size(),
            opaque: opaque.map(String::from),
            max_retry_after_s: deployment.policy.max_retry_after_s,
        }
    }
}

/// Valid request.
pub(in crate::net::client) enum SearchRequest {
    /// Query for the request coordinator.
    Query {
        query_request: Box<QueryRequest>,
        context: SearchContext,
    },
    /// Request for the root page, which identifies the server.
    Root,
    /// Request for a page under `/-/`.
    Page,
}

#[derive(Clone, Copy)]
enum Operation<'a> {
    Search,
    Create { id: &'a str },
}

impl<'a> Operation<'a> {
    fn kind(self) -> OperationKind {
        match self {
            Operation::Search => OperationKind::Search,
            Operation::Create { .. } => OperationKind::Create,
        }
    }

    fn created_id(self) -> Option<&'a str> {
        match self {
            Operation::Search => None,
            Operation::Create { id } => Some(id),
        }
    }
}

/// Index and operation that the path of a request selects.
struct Target<'a> {
    index: &'a str,
    operation: Operation<'a>,
    /// Query string of the URL, not decoded.
    parameters: &'a str,
}

/// Parses and validates a request. `id` identifies the resulting query among all queries of this mixer. `default_tenant`
/// applies to clients that send no `X-Tenant-Id`.
pub(in crate::net::client) fn parse_request(
    message: &Message,
    deployment: &Deployment,
    id: String,
    default_tenant: Option<&str>,
) -> Result<SearchRequest, SearchError> {
    let StartLine::Request { method, target } = &message.start else {
        return Err(SearchError::NotARequest);
    };
    let (path, parameters) = target.split_once('?').unwrap_or((target, ""));
    if path.starts_with("/-/") {
        return Ok(SearchRequest::Page);
    }
    let segments = decode_path(path)?;
    let segments: Vec<&str> = segments.iter().map(String::as_str).collect();
    if let ("GET" | "HEAD", [""]) = (method.as_str(), &segments[..]) {
        return Ok(SearchRequest::Root);
    }
    let Some(target) = find_target(method, &segments, parameters) else {
        let method = method.clone();
        let target = target.clone();
        return Err(match segments[..] {
            [_, "_search"] | [_, "_create", _] => SearchError::MethodNotAllowed { method, target },
            _ => SearchError::UnknownPath { method, target },
        });
    };
    parse_query(message, deployment, &target, id, default_tenant)
        .map_err(|error| error.by_settings(deployment))
}

/// Returns the index and operation for a path, or `None` if the path is unknown or does not allow the method.
fn find_target<'a>(method: &str, segments: &[&'a str], parameters: &'a str) -> Option<Target<'a>> {
    let (index, operation) = match (method, segments) {
        ("GET" | "POST", [index, "_search"]) => (*index, Operation::Search),
        ("PUT" | "POST", [index, "_create", id]) => (*index, Operation::Create { id }),
        ("PUT" | "POST", [index, "_doc", id]) if has_create_op_type(parameters) => {
            (*index, Operation::Create { id })
        }
        _ => return None,
    };
    Some(Target {
        index,
        operation,
        parameters,
    })
}

fn decode_path(path: &str) -> Result<Vec<String>, SearchError> {
    let decode = |segment: &str| {
        let decoded = percent_encoding::percent_decode_str(segment).decode_utf8();
        let decoded = decoded.map_err(SearchError::PathNotUtf8)?;
        Ok(decoded.into_owned())
    };
    path.trim_matches('/').split('/').map(decode).collect()
}

fn has_create_op_type(parameters: &str) -> bool {
    form_urlencoded::parse(parameters.as_bytes())
        .any(|(name, value)| name == "op_type" && value == "create")
}

fn parse_query(
    message: &Message,
    deployment: &Deployment,
    target: &Target,
    id: String,
    default_tenant: Option<&str>,
) -> Result<SearchRequest, SearchError> {
    let class = find_class(deployment, target)?;
    let settings = &deployment.policy.classes[class];
    let mut options = RequestOptions::from_parameters(target.parameters, target.operation.kind())?;
    let text = parse_body(message, target.operation, &mut options)?;
    let created_id = target.operation.created_id();
    let shards = options.shards(created_id, deployment.shards)?;
    if let Some(id) = created_id.filter(|id| !is_valid_idempotency_key(id)) {
        return Err(SearchError::InvalidId { id: id.to_string() });
    }
    let tenant_name = message.header("x-tenant-id").or(default_tenant);
    let tenant = tenant_index(deployment, tenant_name).ok_or(SearchError::UnknownTenant)?;
    let opaque = message
        .header("x-opaque-id")
        .filter(|text| text.len() <= MAX_OPAQUE_ID_BYTES);
    let context = SearchContext::new(target, &options, opaque, deployment);
    let timeout_s = options.timeout_s.unwrap_or(settings.deadline_s);
    let has_key = deployment.declared_effects[class] == Effect::IdempotentWithKey
        || deployment.forwards_any_key(class);
    let query_request = QueryRequest {
        id,
        protocol: Protocol::Search,
        class,
        class_name: target.index.to_string(),
        opaque_id: opaque.map(String::from),
        tenant,
        key: options.routing().map_or(0, route_key),
        is_client_retry: false,
        timeout_s: timeout_s.min(settings.deadline_s),
        timeout_uncertainty_s: 0.0,
        idempotency_key: created_id.filter(|_| has_key).map(String::from),
        document_id: created_id.map(String::from),
        routing: options.routing().or(created_id).map(String::from),
        shard_count: deployment.shards,
        payload: text,
        complete_only: !options.allows_partial,
        pre_check_above: options.pre_check_above,
        parts: equal_parts(&shards),
    };
    Ok(SearchRequest::Query {
        query_request: Box::new(query_request),
        context,
    })
}

/// Returns the class index of an index. A class with idempotent queries accepts searches, any other class accepts creates, and
/// a class whose effect is changing accepts both.
fn find_class(deployment: &Deployment, target: &Target) -> Result<usize, SearchError> {
    let class = deployment
        .classes
        .iter()
        .position(|name| name == target.index)
        .ok_or_else(|| SearchError::UnknownIndex {
            index: target.index.to_string(),
        })?;
    let supported = match deployment.declared_effects[class] {
        Effect::Idempotent => OperationKind::Search,
        Effect::IdempotentWithKey | Effect::NonIdempotent => OperationKind::Create,
    };
    if target.operation.kind() != supported && !deployment.is_effect_changing(class) {
        return Err(SearchError::WrongOperation {
            index: target.index.to_string(),
            supported,
        });
    }
    Ok(class)
}

/// Returns the request text for leaf servers: the document to create, or a search body with the merged options.
fn parse_body(
    message: &Message,
    operation: Operation,
    options: &mut RequestOptions,
) -> Result<String, SearchError> {
    let body = std::str::from_utf8(&message.body).map_err(SearchError::BodyNotUtf8)?;
    let parse = || parse_object(body).ok_or(SearchError::BodyNotAnObject);
    match operation {
        Operation::Search => {
            if !body.trim().is_empty() {
                options.add_body(parse()?)?;
            }
            options.take_leaf_search()
        }
        Operation::Create { .. } => {
            parse()?;
            Ok(body.to_string())
        }
    }
}

/// Returns one part for each shard, all with the same weight.
fn equal_parts(shards: &[u32]) -> Vec<PartRequest> {
    let weight = 1.0 / shards.len() as f64;
    let part = |shard: &u32| PartRequest {
        shard: *shard,
        weight,
        cost_hint_s: None,
    };
    shards.iter().map(part).collect()
}
