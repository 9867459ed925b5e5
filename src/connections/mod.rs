//! Connection policies: sizes of connection pools, eviction of idle connections, and backoff.
//!
//! The modules hold no sockets and read no clock; callers pass in the time.

pub mod backoff;
pub mod idle;
pub mod pool;
