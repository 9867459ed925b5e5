//! The sockets of the mixer and the single-threaded event loop that serves them.

mod admin;
mod backlog;
pub mod client;
mod clock;
mod connection_table;
pub mod discovery;
mod error;
mod event_loop;
pub mod handover;
pub mod http;
mod lifecycle;
mod lifecycle_routing;
mod listeners;
mod log;
mod loop_metrics;
mod operator_routing;
mod reload;
pub mod replica;
mod runtime;
mod socket;
mod stall_detector;
mod startup;
mod store_peers;
mod timer_queue;
mod tokens;
mod vrrp_socket;

pub use crate::endpoints::directory::ConnectionKey;
pub use clock::Clock;
pub use error::NetError;
pub use event_loop::{EndpointListInUse, EndpointListObserver, Mixer, Signals};
