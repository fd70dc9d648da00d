//! Duties that one gateway performs at a time.
//!
//! [`lease`] decides which gateway that is and when it may act. [`usage`] counts requests and
//! decides what is reported about them.

pub mod lease;
pub mod usage;
