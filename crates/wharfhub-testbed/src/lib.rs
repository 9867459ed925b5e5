//! Testbed of wharfhub: an emulator in virtual time, stand-ins on loopback sockets, load generators and experiments.
//!
//! The daemon does not depend on this crate.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod connections;
pub mod daemon;
pub mod emulator;
pub mod experiments;
pub mod fit;
pub mod fleet;
pub mod flood;
pub mod journal;
pub mod load;
pub mod model;
pub mod report;
pub mod rules;
pub mod site;
pub mod soak;
pub mod standin;
pub mod tally;
