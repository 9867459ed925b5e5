//! The endpoint list: what it says, how it is kept up to date, and how long it may be acted on.
//!
//! Nothing here makes a call or reads a clock: time is passed in.

pub mod directory;
pub mod heartbeat;
pub mod lease;
pub mod list_format;
pub mod missing_answers;
pub mod overdue_calls;
pub mod watch_schedule;
