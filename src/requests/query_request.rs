//! A client's query as both fronts pass it to the coordinator.

/// The front through which a request was received. Metrics are kept per front.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Protocol {
    /// Protocol of the platform.
    #[default]
    Platform,
    /// Search API.
    Search,
}

/// A client's query, independent of the front that read it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueryRequest {
    /// Id given by the client, unique among open requests.
    pub id: String,
    /// Front through which the query was received.
    pub protocol: Protocol,
    /// Index of the class in the settings.
    pub class: usize,
    /// Name of the class.
    pub class_name: String,
    /// Value that is returned unchanged to the client with the answer.
    pub opaque_id: Option<String>,
    /// Index of the tenant in the settings.
    pub tenant: u32,
    /// Routing key of the data that the query concerns; 0 for none.
    pub key: u64,
    /// Whether the client marked the query as a retry of its own.
    pub is_client_retry: bool,
    /// Time for which the client still waits (seconds).
    pub timeout_s: f64,
    /// Maximum additional time for which the client may wait, because the time at which the request was received is
    /// uncertain (seconds).
    pub timeout_uncertainty_s: f64,
    /// Idempotency key by which leaf servers discard duplicates, in classes that require one.
    pub idempotency_key: Option<String>,
    /// Id of the document that the query creates; `None` for a search. A query creates a document if its class was not
    /// idempotent when the query was received, whether or not leaf servers discard duplicates.
    pub document_id: Option<String>,
    /// Routing value by which the client selected the shard of a document; `None` if it selected shards by number.
    pub routing: Option<String>,
    /// Number of shards in the settings by which the query's shards were selected.
    pub shard_count: u32,
    /// Payload sent with every part.
    pub payload: String,
    /// Whether the client accepts only a complete answer.
    pub complete_only: bool,
    /// Number of parts above which a pre-check phase pays off, if the client specified it.
    pub pre_check_above: Option<u32>,
    /// Parts of the query, one for each shard.
    pub parts: Vec<PartRequest>,
}

/// Part of a query.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PartRequest {
    /// Shard that the part reads.
    pub shard: u32,
    /// Share of the complete answer; the weights of all parts add up to 1.
    pub weight: f64,
    /// Client's estimate of the work for the part (seconds).
    pub cost_hint_s: Option<f64>,
}
