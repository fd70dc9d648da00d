//! The interface of a model engine: generations, load, prefix cache events and orders.

pub mod http;

use std::{future::Future, sync::Arc};

use futures_util::Stream;
use serde::{Deserialize, Serialize};

use cactusroad_core::id::Attempt;

/// A request to start a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The ID of the generation, which the engine repeats in each event.
    pub generation: Attempt,
    /// The model version that must run it.
    pub version: Arc<str>,
    /// The text of the prompt.
    pub text: Arc<str>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The priority; higher values are scheduled first.
    pub priority: u8,
}

/// An event in the stream of a generation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Event {
    /// One token.
    Token {
        /// The generation that the token belongs to.
        generation: Attempt,
        /// The zero-based index of the token in the generation.
        index: u64,
        /// The text of the token.
        text: Arc<str>,
    },
    /// The generation is complete.
    End {
        /// The generation that ended.
        generation: Attempt,
        /// The number of tokens in the whole generation.
        count: u64,
        /// The reason that it ended: `stop` or `length`.
        reason: Arc<str>,
    },
}

/// The load that an engine reports, which may be out of date when it is read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Identifies one start of the engine.
    pub incarnation: u64,
    /// The model versions that are loaded, sorted.
    pub versions: Vec<Arc<str>>,
    /// Total number of KV cache blocks.
    pub blocks_total: u64,
    /// KV cache blocks in use by running generations.
    pub blocks_used: u64,
    /// Tokens per KV cache block.
    pub block_tokens: u64,
    /// Number of generations that are decoding.
    pub running: u64,
    /// Number of generations that wait for KV cache memory.
    pub waiting: u64,
    /// Number of preemptions since the engine started.
    pub preemptions: u64,
}

/// A change to an engine's prefix cache; events may arrive late or be lost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The sequence number, one more than that of the previous event; a gap means that an
    /// event was lost.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix is now in the cache: true when it was added, false when evicted.
    pub held: bool,
}

/// A command to an engine, protected by a fencing token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing token; an engine that checks it refuses a token lower than the highest seen.
    pub number: u64,
    /// The action to perform.
    pub action: Action,
}

/// The action that an order requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Action {
    /// Loads a model version from the weight store.
    Load {
        /// The version to load.
        version: Arc<str>,
    },
    /// Unloads a model version.
    Unload {
        /// The version to unload.
        version: Arc<str>,
    },
    /// Changes the engine's role.
    Role {
        /// The role, in the engine's own naming.
        role: Arc<str>,
    },
}

/// The reason that a call to an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The connection could not be established, so the request was not sent.
    #[error(
        "failed to connect to the engine, so the request was not sent; send it to another engine"
    )]
    Unreachable,
    /// The engine refused the request without running any of it.
    #[error("the engine refused the request; retry later or send it to another engine")]
    Refused,
    /// The engine refused a stale fencing token.
    #[error("the engine has seen a higher fencing token; read the current token and decide again")]
    Fenced,
    /// The connection failed, the call timed out or the engine returned a server error after the
    /// request was sent, so the engine may have run some of it.
    #[error("the call to the engine failed after it was sent; the engine may have run part of it")]
    Interrupted,
    /// The engine's response does not follow the protocol.
    #[error(
        "the engine's response is malformed; check that the adapter matches the engine's protocol"
    )]
    Malformed,
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// The events of one generation; dropping the stream closes its connection.
    type Tokens: Stream<Item = Result<Event, Error>> + Send + Unpin + 'static;

    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// After [`Error::Unreachable`] or [`Error::Refused`], the engine has run nothing.
    fn generate(&self, prompt: &Prompt)
    -> impl Future<Output = Result<Self::Tokens, Error>> + Send;

    /// Resumes the stream of a running generation at the token with this index.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] means that the engine does not have the generation.
    fn resume(
        &self,
        generation: Attempt,
        index: u64,
    ) -> impl Future<Output = Result<Self::Tokens, Error>> + Send;

    /// Cancels a generation; succeeds if it is not running.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or does not answer as the protocol requires.
    fn cancel(&self, generation: Attempt) -> impl Future<Output = Result<(), Error>> + Send;

    /// Returns the load that the engine reports.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or does not answer as the protocol requires.
    fn load(&self) -> impl Future<Output = Result<Load, Error>> + Send;

    /// Returns the prefix cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// Fails if the engine cannot be reached or does not answer as the protocol requires.
    fn cache_events(
        &self,
        after: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, Error>> + Send;

    /// Sends an order.
    ///
    /// # Errors
    ///
    /// [`Error::Fenced`] means that the engine has seen a higher fencing token.
    fn order(&self, order: &Order) -> impl Future<Output = Result<(), Error>> + Send;
}
