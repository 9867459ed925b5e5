//! Search API, which is compatible with OpenSearch, for clients and for leaf servers.
//!
//! The module parses client requests and serializes their responses, and it serializes calls to leaf servers and parses
//! their answers. An incomplete answer always lists the missing parts and their reasons in `_shards`, so that a client
//! cannot take it for complete.
//!
//! An index corresponds to a class. A class with idempotent queries accepts searches; any other class accepts creates with
//! an id, which serves as the idempotency key. The value of a part is a JSON object in text form: the `hits` of a search, or
//! the whole answer to a create. Any other text, from a leaf server that uses the frame protocol, becomes a single hit.

mod error;
mod hits;
mod json_value;
mod leaf;
mod options;
mod request;
mod response;
mod shard_routing;

pub(in crate::net) use leaf::{parse_leaf_answer, render_leaf_request, LeafAnswer};
pub(in crate::net::client) use request::{parse_request, SearchContext, SearchRequest};
pub(in crate::net::client) use response::{render_answer, render_error, render_root};
