//! The search API: an OpenSearch-style front, and stock boxes that speak it.
use super::http::Message;
use crate::api::Outcome;
use crate::core::CallPart;
use std::rc::Rc;

/// The bytes of a call.
pub fn leaf_request(_parts: &[CallPart]) -> Vec<u8> {
    Vec::new()
}
/// What an answer means.
pub fn leaf_answer(_message: &Message) -> (Outcome, Option<Rc<str>>) {
    (Outcome::Error, None)
}
