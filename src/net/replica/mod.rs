//! Connections to leaf servers: the pool, sending, receiving, and the frame protocol. Only `routing.rs` accesses the other
//! subsystems of the event loop; the other modules need only the `Runtime` and plain values.

mod answers;
pub mod connection;
mod error;
mod events;
mod frames;
pub(in crate::net) mod pool;
mod routing;
mod send_queue;
mod sending;

pub use crate::net::backlog::ReadProgress;
pub use error::ReplicaError;
