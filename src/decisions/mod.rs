//! The decision module: which replica gets a part of a query, when an attempt is retried or hedged, and what is rejected
//! under load.
//!
//! [`aggregator::Aggregator`] takes the events of [`api`] and returns its actions. The other files hold one decision or one
//! piece of state each. Nothing here does I/O or reads a clock: time is passed in.

mod admission;
pub mod aggregator;
pub mod api;
mod attempts;
mod completion;
pub mod congestion;
pub mod crash_detection;
pub mod draining;
pub mod ejection;
mod hedging;
pub mod idle_loss;
mod latency;
pub mod learned_state;
mod learning;
mod outlier_detection;
pub mod price;
mod query;
mod query_lifecycle;
pub mod query_progress;
mod replica;
mod replica_selection;
mod replica_table;
mod retry;
pub mod slow_start;
pub mod stragglers;
mod time_window;
pub mod two_phase;
mod view;
mod wire_pair;
