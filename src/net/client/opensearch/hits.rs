//! Merging of the hits of all parts into one list, ordered by descending score and then by the order of the parts.

use crate::net::client::opensearch::json_value::{as_count, count, object, parse_object, string};
use crate::net::client::opensearch::request::SearchContext;
use crate::requests::coordinator::{PartRequest, QueryRequest};
use miniserde::json::{Array, Number, Object, Value};
use std::rc::Rc;

/// Relation of a total that counts all matches.
const EXACT: &str = "eq";
/// Relation of a total that counts some of the matches.
const LOWER_BOUND: &str = "gte";

/// Returns the member `hits` of an answer, merged from the available values of the parts.
pub(super) fn merge_hits(
    context: &SearchContext,
    query_request: &QueryRequest,
    values: &[Option<Rc<str>>],
) -> Value {
    let mut hits = Vec::new();
    let mut total = 0u64;
    let mut is_lower_bound = false;
    for (part, value) in query_request.parts.iter().zip(values) {
        let Some(text) = value else { continue };
        match parse_object(text).and_then(extract_hits) {
            Some(part_hits) => {
                let found = part_hits.hits.len() as u64;
                total = total.saturating_add(part_hits.total.unwrap_or(found));
                is_lower_bound |= part_hits.is_lower_bound;
                hits.extend(part_hits.hits);
            }
            None => {
                hits.push(hit_from_text(&context.index, part, text));
                total += 1;
            }
        }
    }
    hits.sort_by(|a, b| score_of(b).total_cmp(&score_of(a)));
    let best = hits.first().map(score_of).filter(|score| score.is_finite());
    let from = usize::try_from(context.from).unwrap_or(usize::MAX);
    let size = usize::try_from(context.size).unwrap_or(usize::MAX);
    let window: Array = hits.into_iter().skip(from).take(size).collect();
    let relation = if is_lower_bound { LOWER_BOUND } else { EXACT };
    let total = object([("value", count(total)), ("relation", string(relation))]);
    let max_score = best.map_or(Value::Null, |score| Value::Number(Number::F64(score)));
    object([
        ("total", total),
        ("max_score", max_score),
        ("hits", Value::Array(window)),
    ])
}

struct PartHits {
    hits: Array,
    /// Total number of matches that the leaf server reports, if any.
    total: Option<u64>,
    /// Whether there may be more matches than the total.
    is_lower_bound: bool,
}

/// Extracts the hits from the value of a part. Returns `None` if the value contains no list of hits.
fn extract_hits(mut answer: Object) -> Option<PartHits> {
    let Some(Value::Array(hits)) = answer.remove("hits") else {
        return None;
    };
    let total = match answer.get("total") {
        Some(Value::Object(total)) => total.get("value").and_then(as_count),
        Some(number) => as_count(number),
        None => None,
    };
    let relation = match answer.get("total") {
        Some(Value::Object(total)) => total.get("relation"),
        _ => None,
    };
    let is_lower_bound = matches!(relation, Some(Value::String(text)) if text == LOWER_BOUND);
    Some(PartHits {
        hits,
        total,
        is_lower_bound,
    })
}

/// Converts a value that is not a list of hits, from a leaf server that uses the frame protocol, to a single hit.
fn hit_from_text(index: &str, part: &PartRequest, text: &str) -> Value {
    let source = object([("tablet", count(part.shard)), ("cell", string(text))]);
    object([
        ("_index", string(index)),
        ("_id", string(part.shard.to_string())),
        ("_score", Value::Number(Number::F64(1.0))),
        ("_source", source),
    ])
}

/// Returns the score of a hit, or negative infinity if the hit has none.
fn score_of(hit: &Value) -> f64 {
    let Value::Object(hit) = hit else {
        return f64::NEG_INFINITY;
    };
    match hit.get("_score") {
        Some(Value::Number(Number::F64(score))) => *score,
        Some(Value::Number(Number::U64(score))) => *score as f64,
        Some(Value::Number(Number::I64(score))) => *score as f64,
        _ => f64::NEG_INFINITY,
    }
}
