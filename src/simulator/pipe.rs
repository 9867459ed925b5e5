//! The binary protocol between the simulator and the decision module: frames that are converted to and from the types of
//! [`crate::decisions::api`]. All numbers are little-endian and unpadded; settings are decoded by [`crate::config`].
//!
//! Input is not trusted: memory is not allocated for an announced count before its bytes have been received, and invalid input
//! is an error, not a panic.

mod batch;
mod cursor;
mod error;
mod frame;
mod reply;

pub use batch::{Batch, Decoder, Record};
pub use error::{FieldError, WireError};
pub use frame::{read_frame, write_reply};
pub use reply::encode_action;
