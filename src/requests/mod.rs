//! Requests from acceptance to the final answer, independent of protocols and sockets.
//!
//! A front passes a [`QueryRequest`](query_request::QueryRequest) to the [`Coordinator`](coordinator::Coordinator), which
//! tracks the request with its parts and attempts, consults the decision module, and issues [`Command`](command::Command)s
//! to the event loop. The request ends with one [`FinalAnswer`](response::FinalAnswer).

pub mod attempt;
pub mod command;
pub mod coordinator;
pub mod invariants;
pub mod metrics;
mod module_settings;
mod part;
pub mod process_load;
pub mod query_request;
mod recent_requests;
pub mod request;
pub mod response;
pub mod settings_schedule;
