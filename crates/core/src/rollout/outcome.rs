use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::Time;

/// The prefix of the keys of outcomes in the store.
pub const OUTCOME_PREFIX: &str = "rollouts/";

/// Returns the key of a plan's outcome in the store.
pub fn outcome_key(plan: &str) -> String {
    format!("{OUTCOME_PREFIX}{plan}")
}

/// How a plan ended; written once, where no outcome stands, and never changed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Outcome {
    /// Done or reversed.
    pub end: End,
    /// Why the plan was reversed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub reason: Option<Reason>,
    /// When the process that wrote it saw the end.
    pub at: Time,
    /// The process that wrote it.
    pub author: Arc<str>,
}

/// The two ends of a plan.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum End {
    /// All traffic has moved.
    Done,
    /// All traffic is back at the old version.
    Reversed,
}

/// Why a plan is reversed.
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
    /// The new version fails more often than the old one beside it.
    Failures,
    /// The first token of the new version is late more often.
    FirstToken,
    /// The time between tokens of the new version is long more often.
    TokenGap,
    /// The steps were not proven by the deadline.
    DeadlineMissed,
}
