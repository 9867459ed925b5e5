//! Fleet of hollow mixers on loopback, many in one process, and a discovery stand-in that serves all of them.
//!
//! A hollow mixer runs the daemon's own event loop (list, watch, settings, timer queue, decision module) without clients. Host
//! processes exit when their standard input is closed, so that they do not outlive the process that started the fleet.

pub mod bench;
pub mod call_queue;
pub mod catalog;
pub mod counters;
pub mod discovery;
pub mod events;
pub mod fit;
pub mod host;
pub mod mixer;
pub mod processes;
pub mod propagation;
pub mod queries;
pub mod regions;
pub mod setup;
pub mod usage;

pub use catalog::{Catalog, Layout, ListedServer, Phase};
pub use counters::Counters;
pub use discovery::{Behavior, Delivery, Discovery, Published};
pub use mixer::{AppliedRevision, HollowMixer, MixerReport, MixerSetup};
pub use processes::{Fleet, FleetReport};
pub use setup::{FleetError, FleetSetup, MixerSettings};
