//! The messages of an engine's HTTP interface.
//!
//! The stand-in serves the adapter in `cactusroad-adapter` but defines its own
//! message types, so that a test fails if only one side changes the protocol.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use cactusroad_core::id::Attempt;

/// A request to start a generation.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct Prompt {
    pub(super) generation: Attempt,
    pub(super) version: Arc<str>,
    pub(super) text: Arc<str>,
    pub(super) max_tokens: u32,
    #[serde(default)]
    pub(super) priority: u8,
}

/// One server-sent event of a generation.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub(super) enum Event {
    Token {
        generation: Attempt,
        index: u64,
        text: String,
    },
    End {
        generation: Attempt,
        count: u64,
        reason: &'static str,
    },
}

/// A load report.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct Load {
    pub(super) incarnation: u64,
    pub(super) versions: Vec<Arc<str>>,
    pub(super) blocks_total: u64,
    pub(super) blocks_used: u64,
    pub(super) block_tokens: u64,
    pub(super) running: u64,
    pub(super) waiting: u64,
    pub(super) preemptions: u64,
}

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct CacheEvent {
    pub(super) sequence: u64,
    pub(super) prefix: u64,
    pub(super) held: bool,
}

/// An order with a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token.
    pub number: u64,
    /// The requested change.
    pub action: Action,
}

/// The change that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Action {
    /// Loads a version.
    Load {
        /// The version.
        version: Arc<str>,
    },
    /// Unloads a version.
    Unload {
        /// The version.
        version: Arc<str>,
    },
    /// Sets the role of the engine.
    Role {
        /// The role.
        role: Arc<str>,
    },
}
