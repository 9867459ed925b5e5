//! The client of discovery: the watch on the endpoint list, its heartbeat, and the lease on the list in the loop.
//!
//! `client` owns the state. `calls` decides which call is made next, `answers` what becomes of its answer or failure,
//! `heartbeat` when an open watch is checked, `list` what an answer may contain, and `lease` when the lease is published.
//! `connection` has the bytes of one connection. `routing` alone connects all this to the other subsystems of the loop.
//!
//! A connection begins with a call that discovery answers at once. Then the watch waits on it for changes, and is renewed in
//! each period. If its answer is late, a check is made on a second connection; with the answer to the check, that connection
//! becomes the watch, and the old one is closed.

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
