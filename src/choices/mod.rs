//! Choices beside the decision module's, one file a subject: pure, without I/O and clock, time passed in.

pub mod backoff;
pub mod connections;
pub mod heartbeat;
pub mod idle;
pub mod jam;
pub mod phases;
pub mod watch_schedule;
