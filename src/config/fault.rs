//! Locates the invalid value in a JSON text that could not be decoded.
//!
//! The search works from the top down and decodes modified copies of the text: values of an object are replaced one after the
//! other, and entries of a list are left out, until the text decodes. The value that had to change is invalid, and the search
//! continues inside it. The number of decoding attempts grows with the depth and with the number of keys of the objects on the
//! path, and with the logarithm of the length of a list.

use miniserde::json::{self, Array, Number, Object, Value};
use miniserde::Deserialize;
use std::ops::Range;
use thiserror::Error;

/// Maximum length of a value in an error message (characters).
const MAX_SHOWN_CHARS: usize = 60;
/// Maximum depth of the search.
const MAX_DEPTH: usize = 64;

/// Reason for which a text cannot be decoded.
#[derive(Debug, Error, PartialEq)]
pub enum JsonFault {
    /// The text is not JSON.
    #[error("not valid JSON, or truncated")]
    NotJson,
    /// A value is invalid.
    #[error("{path}: {shown} is {}", .mismatch.label())]
    Value {
        /// Path of the value.
        path: String,
        /// The value as JSON, truncated to a bounded length.
        shown: String,
        /// The requirement that the value does not meet.
        mismatch: Mismatch,
    },
    /// An entry of a list is invalid.
    #[error("{list}: entry {index}, {shown}, is {}", Mismatch::UnexpectedForm.label())]
    Entry {
        /// Path of the list.
        list: String,
        /// Index of the entry.
        index: usize,
        /// The entry as JSON, truncated to a bounded length.
        shown: String,
    },
    /// No change of a single value makes the text decodable.
    #[error("not of the expected form: several values are invalid, or a required key is missing")]
    Several,
}

/// A requirement that a value does not meet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mismatch {
    /// The value is not a number.
    NotNumber,
    /// The value is a number that its integer type cannot represent.
    NumberOutOfRange,
    /// The value is not a string.
    NotString,
    /// The value is not a boolean.
    NotBoolean,
    /// The value is not a list, or one of its entries lacks a key.
    NotList,
    /// The value is not an object, or lacks a key.
    NotObject,
    /// Only `null` in place of the value, or leaving the entry out, makes the text decodable.
    UnexpectedForm,
}

impl Mismatch {
    /// Returns the text that follows "is" in the error message.
    pub fn label(self) -> &'static str {
        match self {
            Mismatch::NotNumber => "not a number",
            Mismatch::NumberOutOfRange => "not an integer within range",
            Mismatch::NotString => "not a string",
            Mismatch::NotBoolean => "not a boolean",
            Mismatch::NotList => "not a list of the expected form, or an entry lacks a key",
            Mismatch::NotObject => "not an object with the required keys",
            Mismatch::UnexpectedForm => "not of the expected form, or lacks a key",
        }
    }
}

/// Locates the value that prevents a text from being decoded as a `T`. The decoder must have rejected the text.
pub fn find<T: Deserialize>(text: &str) -> JsonFault {
    let Ok(mut complete) = json::from_str::<Value>(text) else {
        return JsonFault::NotJson;
    };
    let mut path = Vec::new();
    let mut mismatch = None;
    while path.len() < MAX_DEPTH {
        let Some(found) = faulty_child::<T>(&mut complete, &path) else {
            break;
        };
        if path.is_empty() {
            shrink_siblings::<T>(&mut complete, &found);
        }
        path.push(found.step);
        mismatch = Some(found.mismatch);
    }
    match (mismatch, value_at(&mut complete, &path)) {
        (Some(mismatch), Some(value)) => describe(&path, value, mismatch),
        _ => JsonFault::Several,
    }
}

fn describe(path: &[Step], value: &Value, mismatch: Mismatch) -> JsonFault {
    let shown = json::to_string(value)
        .chars()
        .take(MAX_SHOWN_CHARS)
        .collect();
    match path.split_last() {
        Some((Step::Index(index), list)) if mismatch == Mismatch::UnexpectedForm => {
            JsonFault::Entry {
                list: path_text(list),
                index: *index,
                shown,
            }
        }
        _ => JsonFault::Value {
            path: path_text(path),
            shown,
            mismatch,
        },
    }
}

/// Element of a path: the key of an object or the index of a list.
#[derive(Clone, Debug, PartialEq)]
enum Step {
    Key(String),
    Index(usize),
}

/// An invalid value: the text decodes if the value is replaced or, in a list, left out.
struct Fault {
    step: Step,
    mismatch: Mismatch,
    /// Value with which the text decodes.
    replacement: Value,
}

/// Candidate value that replaces another to test whether the text then decodes.
struct Replacement {
    value: Value,
    /// Mismatch of the original value if the text decodes with this candidate.
    mismatch: Mismatch,
}

fn replacements() -> [Replacement; 6] {
    let replacement = |value, mismatch| Replacement { value, mismatch };
    [
        replacement(Value::Number(Number::U64(1)), Mismatch::NotNumber),
        replacement(Value::String(String::new()), Mismatch::NotString),
        replacement(Value::Bool(true), Mismatch::NotBoolean),
        replacement(Value::Array(Array::new()), Mismatch::NotList),
        replacement(Value::Object(Object::new()), Mismatch::NotObject),
        replacement(Value::Null, Mismatch::UnexpectedForm),
    ]
}

fn decodes<T: Deserialize>(complete: &Value) -> bool {
    json::from_str::<T>(&json::to_string(complete)).is_ok()
}

/// Returns the invalid value directly inside the value at `path`, if changing that value alone makes the text decodable.
fn faulty_child<T: Deserialize>(complete: &mut Value, path: &[Step]) -> Option<Fault> {
    match value_at(complete, path)? {
        Value::Object(object) => {
            let keys: Vec<Step> = object.keys().map(|key| Step::Key(key.clone())).collect();
            keys.into_iter()
                .find_map(|step| try_replacements::<T>(complete, path, step))
        }
        Value::Array(values) => {
            let all_entries = 0..values.len();
            let index = faulty_entry::<T>(complete, path, all_entries)?;
            let removed = Fault {
                step: Step::Index(index),
                mismatch: Mismatch::UnexpectedForm,
                replacement: Value::Null,
            };
            Some(try_replacements::<T>(complete, path, Step::Index(index)).unwrap_or(removed))
        }
        _ => None,
    }
}

/// Returns the fault if another value in that place makes the text decodable. The original value is restored.
fn try_replacements<T: Deserialize>(
    complete: &mut Value,
    path: &[Step],
    step: Step,
) -> Option<Fault> {
    let place: Vec<Step> = path.iter().cloned().chain([step.clone()]).collect();
    let original = std::mem::replace(value_at(complete, &place)?, Value::Null);
    let mut fault = None;
    for Replacement { value, mismatch } in replacements() {
        // If another number decodes, the type matches and the original number is out of range.
        let is_number = matches!((&original, &value), (Value::Number(_), Value::Number(_)));
        *value_at(complete, &place)? = value.clone();
        if decodes::<T>(complete) {
            fault = Some(Fault {
                step,
                mismatch: if is_number {
                    Mismatch::NumberOutOfRange
                } else {
                    mismatch
                },
                replacement: value,
            });
            break;
        }
    }
    *value_at(complete, &place)? = original;
    fault
}

/// Returns the index of the only invalid entry of the list at `path`, found by binary search: without it the text decodes.
fn faulty_entry<T: Deserialize>(
    complete: &mut Value,
    path: &[Step],
    within: Range<usize>,
) -> Option<usize> {
    let mut within = within;
    if within.is_empty() || !decodes_without::<T>(complete, path, within.clone())? {
        return None;
    }
    while within.len() > 1 {
        let middle = within.start + within.len() / 2;
        let halves = [within.start..middle, middle..within.end];
        within = halves
            .into_iter()
            .find(|half| decodes_without::<T>(complete, path, half.clone()).unwrap_or(false))?;
    }
    Some(within.start)
}

/// Returns whether the text decodes without these entries of the list at `path`.
fn decodes_without<T: Deserialize>(
    complete: &mut Value,
    path: &[Step],
    without: Range<usize>,
) -> Option<bool> {
    let Value::Array(list) = value_at(complete, path)? else {
        return None;
    };
    let original = std::mem::take(list);
    let kept = original
        .iter()
        .enumerate()
        .filter(|(index, _)| !without.contains(index));
    *list = kept.map(|(_, value)| value.clone()).collect();
    let decodes = decodes::<T>(complete);
    *value_at(complete, path)? = Value::Array(original);
    Some(decodes)
}

/// Replaces the siblings of the invalid value by short values, so that later decoding attempts are fast: a list of servers may
/// be a thousand times as long as the settings.
fn shrink_siblings<T: Deserialize>(complete: &mut Value, fault: &Fault) {
    let Value::Object(object) = complete else {
        return;
    };
    let keys: Vec<Step> = object.keys().map(|key| Step::Key(key.clone())).collect();
    let place = std::slice::from_ref(&fault.step);
    let Some(faulty) = value_at(complete, place) else {
        return;
    };
    let original = std::mem::replace(faulty, fault.replacement.clone());
    for step in keys.into_iter().filter(|step| *step != fault.step) {
        if let Some(Fault { replacement, .. }) = try_replacements::<T>(complete, &[], step.clone())
        {
            if let Some(value) = value_at(complete, &[step]) {
                *value = replacement;
            }
        }
    }
    if let Some(value) = value_at(complete, place) {
        *value = original;
    }
}

fn value_at<'a>(complete: &'a mut Value, path: &[Step]) -> Option<&'a mut Value> {
    path.iter()
        .try_fold(complete, |value, step| match (value, step) {
            (Value::Object(object), Step::Key(key)) => object.get_mut(key),
            (Value::Array(values), Step::Index(index)) => values.get_mut(*index),
            _ => None,
        })
}

/// Formats a path as in error messages, such as `settings.categories[2].name`.
fn path_text(path: &[Step]) -> String {
    let mut text = String::new();
    for step in path {
        match step {
            Step::Key(key) if text.is_empty() => text.push_str(key),
            Step::Key(key) => text.push_str(&format!(".{key}")),
            Step::Index(index) => text.push_str(&format!("[{index}]")),
        }
    }
    text
}

#[cfg(test)]
mod tests;
