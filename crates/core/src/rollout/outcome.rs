//! The outcome of a plan, as recorded in the store.

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::Time;

/// The key prefix of outcomes in the store.
pub const OUTCOME_PREFIX: &str = "rollouts/";

/// Returns the store key of a plan's outcome.
pub fn outcome_key(plan: &str) -> String {
    format!("{OUTCOME_PREFIX}{plan}")
}

/// How a plan ended; written only if the store holds no outcome yet, and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// Whether the plan was completed or reversed.
    pub end: End,
    /// Why the plan was reversed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// When the author decided on the outcome.
    pub at: Time,
    /// The process that wrote the outcome.
    pub author: Arc<str>,
}

/// The final state of a plan.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum End {
    /// All traffic has moved to the candidate.
    Done,
    /// All traffic has returned to the baseline.
    Reversed,
}

/// Why a plan was reversed.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The candidate fails more often than the baseline.
    Failures,
    /// The candidate is slow to the first token more often than the baseline.
    FirstToken,
    /// The candidate is slow between tokens more often than the baseline.
    TokenGap,
    /// Not all steps were proven by the deadline.
    DeadlineMissed,
}
