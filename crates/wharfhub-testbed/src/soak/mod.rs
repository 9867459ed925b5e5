//! A randomized fault soak: tens of real daemons on loopback, faults that overlap in time, and a judge that knows from
//! outside what each mixer was told and when.
//!
//! A seed gives the plan (`plan.rs`): who there is, which fault comes from when to when. Stand-ins for discovery
//! (`registry.rs`), leaf servers (`servers.rs`) and clients (`clients.rs`) play it against processes of the daemon
//! (`processes.rs`) and write down what they see (`history.rs`); afterwards the judge (`judge.rs`) goes through that. The
//! plan follows from the seed alone; the times of sockets and processes are the machine's.

pub mod checker;
pub mod clients;
pub mod history;
pub mod plan;
pub mod processes;
pub mod registry;
pub mod run;
pub mod servers;
mod timeline;
