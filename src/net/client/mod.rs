//! Client connections and the two client protocols: the platform protocol and the OpenSearch-compatible search API.
//!
//! `connections::ClientConnections` manages the connections, and `routing` connects it with the other subsystems of the
//! event loop. The request coordinator, not this module, decides how a request is handled.

pub(in crate::net) mod connection;
mod connection_error;
pub(in crate::net) mod connections;
mod eviction;
pub(in crate::net) mod opensearch;
mod output;
pub(in crate::net) mod page_cache;
mod pages;
pub(in crate::net) mod platform;
mod reading;
mod request_fields;
mod routing;
mod writing;
