//! Helpers for building and inspecting JSON values.

use miniserde::json::{self, Number, Object, Value};

pub(super) fn object<const N: usize>(members: [(&str, Value); N]) -> Value {
    let mut object = Object::new();
    for (key, value) in members {
        object.insert(key.to_string(), value);
    }
    Value::Object(object)
}

pub(super) fn string(text: impl Into<String>) -> Value {
    Value::String(text.into())
}

/// Returns a non-negative JSON number. A value that does not fit into `u64` becomes `u64::MAX`.
pub(super) fn count(number: impl TryInto<u64>) -> Value {
    Value::Number(Number::U64(number.try_into().unwrap_or(u64::MAX)))
}

/// Parses a JSON object. Returns `None` for any other text.
pub(super) fn parse_object(text: &str) -> Option<Object> {
    match json::from_str(text).ok()? {
        Value::Object(object) => Some(object),
        _ => None,
    }
}

/// Returns the value as a non-negative integer, if it is one.
pub(super) fn as_count(value: &Value) -> Option<u64> {
    match value {
        Value::Number(Number::U64(number)) => Some(*number),
        _ => None,
    }
}

/// Returns a `query_string` query for a query text that is not a JSON object.
pub(super) fn query_string(text: &str) -> Value {
    object([("query_string", object([("query", string(text))]))])
}
