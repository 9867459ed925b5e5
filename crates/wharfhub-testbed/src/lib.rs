//! The laboratory of wharfhub: an emulator in virtual time, stand-ins on loopback sockets, load and experiments.
//!
//! Nothing of the daemon depends on it.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod connections;
pub mod daemon;
pub mod emulator;
pub mod experiments;
pub mod fit;
pub mod fleet;
pub mod journal;
pub mod load;
pub mod model;
pub mod report;
pub mod rules;
pub mod site;
pub mod soak;
pub mod standin;
pub mod tally;
