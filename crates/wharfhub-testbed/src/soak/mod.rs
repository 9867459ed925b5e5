//! A randomized fault soak: tens of real daemons on loopback, faults that overlap in time, and a checker that knows from outside
//! which changes each mixer was notified of and when.
//!
//! The seed determines the plan (`plan.rs`): the numbers of mixers and servers, and the start and duration of each fault.
//! `run.rs` carries the plan out: stand-ins for discovery (`registry.rs`), leaf servers (`servers.rs`) and clients
//! (`clients.rs`) exchange traffic with processes of the daemon (`processes.rs`) and record what they observe (`history.rs`).
//! Afterwards the checker (`checker.rs`, with `timeline.rs`) examines the record. The same seed gives the same plan, but the
//! timing of sockets and processes depends on the machine.

pub mod checker;
pub mod clients;
pub mod history;
pub mod plan;
pub mod processes;
pub mod registry;
pub mod run;
pub mod servers;
mod timeline;
