//! A scatter-gather mixer: it sends the parts of a query to leaf servers and returns one answer.
//!
//! [`Aggregator`] is the state machine that makes the decisions on queries. It is notified of events (a query or a part arrives, an
//! attempt ends, the list of replicas changes, a timer fires) and returns actions (send a part, answer, reject, cancel).
//! It does no I/O, reads no clock and has no global state: the caller owns sockets, time and threads.
//!
//! ```
//! use wharfhub::decisions::api::*;
//! use wharfhub::Aggregator;
//!
//! let settings = Settings {
//!     classes: vec![ClassSettings { latency_objective_s: 0.5, deadline_s: 2.0, ..ClassSettings::default() }],
//!     ..Settings::default()
//! };
//! let mut aggregator = Aggregator::new(settings, 42, 0.0);
//! let mut actions = Vec::new();
//! let replicas = vec![ReplicaEntry { id: ReplicaId(7), ..ReplicaEntry::default() }];
//! aggregator.handle(0.0, Event::List { is_full: true, entries: replicas.into() }, &mut actions);
//!
//! // A query with one part arrives, and the part is sent at once.
//! actions.clear();
//! let query = NewQuery { id: QueryId(1), number: 0, parts: 1, deadline: 2.0, ..NewQuery::default() };
//! aggregator.handle(0.0, Event::Query(query), &mut actions);
//! let part = NewPart { id: PartId(2), query_number: 0, shard: 0, weight: 1.0, cost_hint_s: None };
//! aggregator.handle(0.0, Event::Part(part), &mut actions);
//! assert!(matches!(actions[0], Action::Send { part: PartId(2), replica: ReplicaId(7), .. }));
//!
//! // The part is answered, and the query gets a complete answer.
//! actions.clear();
//! let done = AttemptEnd {
//!     part: PartId(2), attempt: 0, replica: ReplicaId(7), took_s: 0.03, outcome: Outcome::Ok,
//! };
//! aggregator.handle(0.03, Event::AttemptEnded(done), &mut actions);
//! assert_eq!(actions, [Action::Answer { query: QueryId(1), is_complete: true }]);
//! ```
//!
//! The caller must return each timer set by [`Action::SetTimer`](decisions::api::Action::SetTimer) as an
//! [`Event::Timer`](decisions::api::Event::Timer), because all timeouts depend on these events.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod config;
pub mod connections;
pub mod decisions;
pub mod endpoints;
pub mod net;
pub mod requests;
pub mod simulator;
pub mod store;
pub mod vrrp;

pub use decisions::aggregator::Aggregator;
