//! Choices beside the decision module's, one file a subject: pure, without I/O and clock, time passed in.

pub mod backoff;
pub mod congestion;
pub mod connections;
pub mod crashes;
pub mod ejection;
pub mod heartbeat;
pub mod idle;
pub mod idle_loss;
pub mod list_lease;
pub mod lost_answer;
pub mod phases;
pub mod price;
pub mod progress;
pub mod stragglers;
pub mod watch_schedule;
