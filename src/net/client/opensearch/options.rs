//! Parameters and body options of search API requests, the shards that they select, and the search body for leaf servers.

use crate::net::client::opensearch::error::{OperationKind, SearchError, MAX_RESULT_WINDOW};
use crate::net::client::opensearch::json_value::{as_count, count, object, query_string};
use crate::net::client::opensearch::shard_routing::shard_of;
use miniserde::json::{self, Object, Value};
use std::collections::BTreeSet;

/// Number of hits in an answer if the client sets no `size`.
const DEFAULT_SIZE: u64 = 10;
/// Number of shards above which the shard count is regarded as not configured. Requests to all shards are then an error.
const MAX_SHARDS_AT_ONCE: u32 = 1024;

/// Options of a search or a create.
pub(super) struct RequestOptions {
    routing: Vec<String>,
    /// Shards listed in the `preference` parameter.
    preferred_shards: Option<BTreeSet<u32>>,
    pub(super) timeout_s: Option<f64>,
    pub(super) allows_partial: bool,
    from: Option<u64>,
    size: Option<u64>,
    query: Option<Value>,
    pub(super) pre_check_above: Option<u32>,
    /// Body members that are forwarded to leaf servers unchanged.
    forwarded_fields: Vec<(String, Value)>,
}

impl RequestOptions {
    /// Parses the parameters of the URL. Searches accept more parameters than creates.
    pub(super) fn from_parameters(
        parameters: &str,
        operation: OperationKind,
    ) -> Result<RequestOptions, SearchError> {
        let mut options = RequestOptions {
            routing: Vec::new(),
            preferred_shards: None,
            timeout_s: None,
            allows_partial: true,
            from: None,
            size: None,
            query: None,
            pre_check_above: None,
            forwarded_fields: Vec::new(),
        };
        for (name, value) in form_urlencoded::parse(parameters.as_bytes()) {
            options.add_parameter(&name, &value, operation)?;
        }
        Ok(options)
    }

    fn add_parameter(
        &mut self,
        name: &str,
        value: &str,
        operation: OperationKind,
    ) -> Result<(), SearchError> {
        let is_known = match (name, operation) {
            ("routing", _) => {
                let values = value.split(',').filter(|value| !value.is_empty());
                self.routing = values.map(String::from).collect();
                !self.routing.is_empty()
            }
            ("timeout", _) => {
                self.timeout_s = parse_duration_s(value);
                self.timeout_s.is_some()
            }
            ("op_type", OperationKind::Create) if value == "create" => true,
            (_, OperationKind::Search) => return self.add_search_parameter(name, value),
            (_, OperationKind::Create) => return Err(unknown_parameter(name, value)),
        };
        match is_known {
            true => Ok(()),
            false => Err(invalid_parameter(name, value)),
        }
    }

    fn add_search_parameter(&mut self, name: &str, value: &str) -> Result<(), SearchError> {
        let invalid = || invalid_parameter(name, value);
        match name {
            "preference" => {
                let list = value.strip_prefix("_shards:").ok_or_else(invalid)?;
                let shards: Option<BTreeSet<u32>> =
                    list.split(',').map(|shard| shard.parse().ok()).collect();
                self.preferred_shards = Some(shards.ok_or_else(invalid)?);
            }
            "allow_partial_search_results" => {
                self.allows_partial = parse_bool(value).ok_or_else(invalid)?;
            }
            "from" => self.from = Some(value.parse().map_err(|_| invalid())?),
            "size" => self.size = Some(value.parse().map_err(|_| invalid())?),
            "pre_filter_shard_size" => {
                let above = value.parse().ok().filter(|above| *above >= 1);
                self.pre_check_above = Some(above.ok_or_else(invalid)?);
            }
            "q" => self.query = Some(query_string(value)),
            _ => return Err(unknown_parameter(name, value)),
        }
        Ok(())
    }

    /// Adds the options from the body of a search.
    pub(super) fn add_body(&mut self, body: Object) -> Result<(), SearchError> {
        for (key, value) in body {
            let invalid = || SearchError::InvalidField { key: key.clone() };
            match key.as_str() {
                "query" if matches!(value, Value::Object(_)) => self.query = Some(value),
                "from" => self.from = Some(as_count(&value).ok_or_else(invalid)?),
                "size" => self.size = Some(as_count(&value).ok_or_else(invalid)?),
                "timeout" => {
                    let Value::String(text) = &value else {
                        return Err(invalid());
                    };
                    self.timeout_s = Some(parse_duration_s(text).ok_or_else(invalid)?);
                }
                "_source" => self.forwarded_fields.push((key, value)),
                _ => return Err(SearchError::UnknownField { key }),
            }
        }
        Ok(())
    }

    /// Returns the number of hits that the answer skips.
    pub(super) fn from(&self) -> u64 {
        self.from.unwrap_or(0)
    }

    /// Returns the maximum number of hits in the answer.
    pub(super) fn size(&self) -> u64 {
        self.size.unwrap_or(DEFAULT_SIZE)
    }

    /// Returns the first routing value.
    pub(super) fn routing(&self) -> Option<&str> {
        self.routing.first().map(String::as_str)
    }

    /// Returns the search body for leaf servers. Each leaf server returns `from` plus `size` hits and skips none, because all
    /// hits of the answer may come from one shard. Moves the query and the forwarded fields out of the options.
    pub(super) fn take_leaf_search(&mut self) -> Result<String, SearchError> {
        let window = self.from().saturating_add(self.size());
        if window > MAX_RESULT_WINDOW {
            return Err(SearchError::WindowTooLarge);
        }
        let match_all = || object([("match_all", Value::Object(Object::new()))]);
        let mut body = Object::new();
        body.insert("query".into(), self.query.take().unwrap_or_else(match_all));
        body.insert("size".into(), count(window));
        body.extend(self.forwarded_fields.drain(..));
        Ok(json::to_string(&Value::Object(body)))
    }

    /// Returns the shards of a request: those selected by preference, by routing or by the id of the created document, or
    /// else all.
    pub(super) fn shards(
        &self,
        created_id: Option<&str>,
        shard_count: u32,
    ) -> Result<Vec<u32>, SearchError> {
        if let Some(preferred) = &self.preferred_shards {
            let is_unknown = |shard: &u32| *shard >= shard_count;
            if !self.routing.is_empty() || preferred.iter().any(is_unknown) {
                return Err(SearchError::InvalidPreference);
            }
            return Ok(preferred.iter().copied().collect());
        }
        let routing = self.routing.iter().map(String::as_str);
        let routed: BTreeSet<u32> = match created_id {
            Some(id) if self.routing.is_empty() => BTreeSet::from([shard_of(id, shard_count)]),
            _ => routing.map(|value| shard_of(value, shard_count)).collect(),
        };
        if !routed.is_empty() {
            return Ok(routed.into_iter().collect());
        }
        if shard_count > MAX_SHARDS_AT_ONCE {
            return Err(SearchError::UnknownShardCount);
        }
        Ok((0..shard_count).collect())
    }
}

fn invalid_parameter(name: &str, value: &str) -> SearchError {
    SearchError::InvalidParameter {
        name: name.to_string(),
        value: value.to_string(),
    }
}

fn unknown_parameter(name: &str, value: &str) -> SearchError {
    SearchError::UnknownParameter {
        name: name.to_string(),
        value: value.to_string(),
    }
}

/// Parses a duration with a unit, such as `500ms`, to seconds.
fn parse_duration_s(text: &str) -> Option<f64> {
    let unit_at = text.find(|c: char| !c.is_ascii_digit())?;
    let number: f64 = text[..unit_at].parse().ok()?;
    let unit_s = match &text[unit_at..] {
        "nanos" => 1e-9,
        "micros" => 1e-6,
        "ms" => 1e-3,
        "s" => 1.0,
        "m" => 60.0,
        "h" => 3600.0,
        "d" => 86400.0,
        _ => return None,
    };
    Some(number * unit_s)
}

/// Parses a boolean parameter. A parameter without a value is true.
fn parse_bool(text: &str) -> Option<bool> {
    match text {
        "true" | "" => Some(true),
        "false" => Some(false),
        _ => None,
    }
}
