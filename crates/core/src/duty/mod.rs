//! Duties that one gateway performs at a time.
//!
//! [`lease`] decides which gateway that is and when it may act. [`usage`] counts requests and
//! decides what is reported about them, and [`queue`] which report is sent next. [`scale`]
//! decides how many endpoints are ordered.

pub mod lease;
pub mod queue;
pub mod scale;
pub mod usage;
