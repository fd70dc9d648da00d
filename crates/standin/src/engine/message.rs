//! The messages of an engine's HTTP interface.
//!
//! The stand-in is the other side of the adapter in `cactusroad-adapter` and
//! reads and writes the protocol by types of its own, so that a change on one
//! side alone shows in a test.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use cactusroad_core::id::Attempt;

/// A generation to start.
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

/// The report of the load.
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

/// An order under a fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number.
    pub number: u64,
    /// What is asked for.
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Action {
    /// Loads a version.
    Load {
        /// The version.
        version: Arc<str>,
    },
    /// Drops a version.
    Unload {
        /// The version.
        version: Arc<str>,
    },
    /// Changes the role.
    Role {
        /// The role.
        role: Arc<str>,
    },
}
