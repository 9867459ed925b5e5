//! A fleet of hollow mixers on loopback: the daemon's real control code, many in one process, and a discovery
//! stand-in that serves them all.
//!
//! A hollow mixer is the daemon's own loop (list, watch, settings, timer queue, decision module) to which no client
//! connects. There is no copy of that code here. Every process that a fleet starts ends with it, also when
//! its owner dies: a host process ends when its standard input does.

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
