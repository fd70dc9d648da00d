//! Settings of the whole site.

use serde::{Deserialize, Serialize};

/// The settings of the whole site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Priorities between competing goals.
    pub policy: Policy,
    /// Limits on a single request.
    pub limits: Limits,
}

/// Priorities between competing goals.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The goal that takes precedence.
    pub objective: Objective,
}

/// The goal that takes precedence when two conflict.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Few stalls and short times between tokens of a stream.
    #[default]
    Streaming,
    /// Fast moves of traffic between data centres and clean rollbacks.
    Moves,
}

/// Limits on a single request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// The maximum number of tokens that one run may generate.
    pub max_tokens: u32,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            max_body_bytes: 1_048_576,
            max_tokens: 32_768,
        }
    }
}
