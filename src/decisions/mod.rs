//! Decisions of the decision module, one file a subject: pure, without I/O and clock, time passed in.

pub mod draining;
pub mod slow_start;
