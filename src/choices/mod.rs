//! Choices beside the decision module's, one file a subject: pure, without I/O and clock, time passed in.

pub mod asking;
pub mod congestion;
pub mod connections;
pub mod crashes;
pub mod ejection;
pub mod idle;
pub mod idle_loss;
pub mod phases;
pub mod price;
pub mod progress;
