//! A client's query in the vocabulary of the coordinator, whichever front read it.
//!
//! This file owns what the fronts hand over. It must never know what became of a request.

/// The front through which a request came; metrics are kept for each.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Protocol {
    /// The platform's protocol.
    #[default]
    Platform,
    /// The search API.
    Search,
}

/// A client's query, whichever front read it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryRequest {
    /// The client's id of the request, unique among those that are open.
    pub id: String,
    /// The front through which it came.
    pub protocol: Protocol,
    /// Its class, as an index into the classes of the settings.
    pub class: usize,
    /// The name of its class.
    pub class_name: String,
    /// A value that the client gets back with the answer.
    pub opaque: Option<String>,
    /// Its tenant, as an index into the tenants of the settings.
    pub tenant: u32,
    /// The key of the data that it concerns; 0 for none.
    pub key: u64,
    /// Whether the client marked it as a retry of its own.
    pub repeat: bool,
    /// How long the client still waits (seconds).
    pub timeout_s: f64,
    /// It may wait this much longer, because it is not known when its request came (seconds).
    pub timeout_uncertainty_s: f64,
    /// The idempotency key by which leaf servers discard a repeat, in a class that has them.
    pub idempotency: Option<String>,
    /// The payload that every part carries.
    pub text: String,
    /// Whether the client accepts only a complete answer.
    pub complete_only: bool,
    /// With more parts than this a pre-check phase pays off, where the client says so.
    pub pre_check_above: Option<u32>,
    /// The parts, one for each shard.
    pub parts: Vec<PartRequest>,
}

/// One part of a query.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartRequest {
    /// The shard it reads.
    pub shard: u32,
    /// Its share of the complete answer, of 1 over all parts.
    pub weight: f64,
    /// The client's estimate of its work (seconds).
    pub hint_s: Option<f64>,
}
