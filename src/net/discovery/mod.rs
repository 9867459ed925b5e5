//! The client of discovery: the watch on the endpoint list, its heartbeat, and the lease on the list.
//!
//! `client` holds the state. `calls` decides which call is made next, `answers` handles answers and failures, `heartbeat`
//! schedules the checks of an open watch, `list` limits and decodes answers, `lease` publishes the lease, and `connection`
//! reads and writes one connection. Only `routing` accesses the other subsystems of the event loop.
//!
//! A connection begins with a call that discovery answers at once. After that the watch waits on this connection for
//! changes, and is renewed in each period. If its answer is late, a check is made on a second connection. If the check is
//! answered, its connection becomes the watch and the old connection is closed.

mod answers;
mod calls;
mod client;
pub(in crate::net) mod connection;
mod heartbeat;
pub(in crate::net) mod lease;
mod link;
mod list;
mod routing;

pub(in crate::net) use client::DiscoveryClient;
