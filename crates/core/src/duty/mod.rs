//! Duties that one gateway performs at a time.
//!
//! [`lease`] decides which gateway that is and when it may act. [`usage`] counts requests and
//! decides what is reported about them. [`scale`] decides how many endpoints are ordered.

pub mod lease;
pub mod scale;
pub mod usage;
