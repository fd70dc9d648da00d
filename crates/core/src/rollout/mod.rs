//! Moves of traffic between versions.

mod outcome;

pub use outcome::{End, OUTCOME_PREFIX, Outcome, Reason, outcome_key};
