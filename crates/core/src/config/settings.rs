use serde::{Deserialize, Serialize};

/// What the whole site weighs and allows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// What the site weighs more where two aims clash.
    pub policy: Policy,
    /// Bounds of single requests.
    pub limits: Limits,
}

/// What the site weighs more where two aims clash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The aim that goes first.
    pub objective: Objective,
}

/// The aim that goes first where two clash.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Objective {
    /// Few stalls and short times between tokens.
    #[default]
    Streaming,
    /// Quick moves of data centres and clean reversals.
    Moves,
}

/// Bounds of single requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The largest body of a request, in bytes.
    pub max_body_bytes: u64,
    /// The most tokens that one generation may have.
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
