//! Converts a YAML configuration to JSON text, which the settings decoder reads.
//!
//! YAML that JSON cannot represent (several documents, tags, keys that are not strings, infinite numbers, aliases) is an error
//! that names the path of the value.

use miniserde::json::{self, Number, Object, Value};
use saphyr::{LoadableYamlNode, Scalar, ScanError, Yaml};
use thiserror::Error;

/// Maximum nesting depth, which bounds the stack. The caller bounds the length of the text, and with it the memory.
const MAX_DEPTH: usize = 64;
/// Path of the top-level value in error messages.
const ROOT_PATH: &str = "the document";

/// Reason for which a text cannot be converted to JSON. Values are named by the path of their keys.
#[derive(Debug, Error)]
pub enum YamlError {
    /// The text is not YAML.
    #[error("{0}")]
    Syntax(#[from] ScanError),
    /// The text contains no document, or more than one.
    #[error("{0} documents instead of one")]
    DocumentCount(usize),
    /// A value is nested too deeply.
    #[error("{0} is nested too deeply")]
    TooDeep(String),
    /// A number is infinite or NaN.
    #[error("{0} is not a finite number")]
    NotFinite(String),
    /// A key of this object is not a string.
    #[error("a key of {0} is not a string")]
    KeyNotString(String),
    /// A value has a tag.
    #[error("{0} has a tag")]
    Tagged(String),
    /// A value is an alias, or cannot be parsed.
    #[error("{0} is an alias or cannot be parsed")]
    Unsupported(String),
}

/// Returns the equivalent JSON text.
pub(super) fn to_json(text: &str) -> Result<String, YamlError> {
    let documents = Yaml::load_from_str(text)?;
    let [document] = &documents[..] else {
        return Err(YamlError::DocumentCount(documents.len()));
    };
    Ok(json::to_string(&convert(document, "", MAX_DEPTH)?))
}

/// Converts the node at the path `at`, which may contain at most `depth` levels.
fn convert(node: &Yaml, at: &str, depth: usize) -> Result<Value, YamlError> {
    let path_or_root = || if at.is_empty() { ROOT_PATH } else { at }.to_string();
    let inner_depth = depth
        .checked_sub(1)
        .ok_or_else(|| YamlError::TooDeep(path_or_root()))?;
    match node {
        Yaml::Value(Scalar::Null) => Ok(Value::Null),
        Yaml::Value(Scalar::Boolean(boolean)) => Ok(Value::Bool(*boolean)),
        Yaml::Value(Scalar::Integer(number)) => Ok(Value::Number(integer(*number))),
        Yaml::Value(Scalar::FloatingPoint(number)) if number.is_finite() => {
            Ok(Value::Number(Number::F64(number.into_inner())))
        }
        Yaml::Value(Scalar::FloatingPoint(_)) => Err(YamlError::NotFinite(path_or_root())),
        Yaml::Value(Scalar::String(text)) => Ok(Value::String(text.to_string())),
        Yaml::Sequence(nodes) => {
            let entry = format!("{at}[]");
            let values = nodes.iter().map(|node| convert(node, &entry, inner_depth));
            let values: Vec<Value> = values.collect::<Result<_, _>>()?;
            Ok(Value::Array(values.into_iter().collect()))
        }
        Yaml::Mapping(pairs) => {
            let mut object = Object::new();
            for (key, node) in pairs {
                let Yaml::Value(Scalar::String(key)) = key else {
                    return Err(YamlError::KeyNotString(path_or_root()));
                };
                let path = if at.is_empty() {
                    key.to_string()
                } else {
                    format!("{at}.{key}")
                };
                object.insert(key.to_string(), convert(node, &path, inner_depth)?);
            }
            Ok(Value::Object(object))
        }
        Yaml::Tagged(..) => Err(YamlError::Tagged(path_or_root())),
        Yaml::Alias(_) | Yaml::Representation(..) | Yaml::BadValue => {
            Err(YamlError::Unsupported(path_or_root()))
        }
    }
}

fn integer(number: i64) -> Number {
    match u64::try_from(number) {
        Ok(number) => Number::U64(number),
        Err(_) => Number::I64(number),
    }
}

#[cfg(test)]
mod tests;
