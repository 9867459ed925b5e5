//! The endpoint list: its format and contents, the schedule of calls to discovery that keep it current, and the lease that
//! limits how long it may be used.
//!
//! The modules do no I/O and read no clock; callers pass in the time.

pub mod directory;
pub mod heartbeat;
pub mod json_limits;
pub mod lease;
pub mod list_format;
pub mod missing_answers;
pub mod overdue_calls;
pub mod watch_schedule;
