//! A model engine: generations, load, cache events and orders.

pub mod http;

use std::{future::Future, sync::Arc};

use futures_util::Stream;
use serde::{Deserialize, Serialize};

use cactusroad_core::id::Attempt;

/// A generation to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The identity of the generation, which the engine repeats in each answer.
    pub generation: Attempt,
    /// The version that must run it.
    pub version: Arc<str>,
    /// The text of the prompt.
    pub text: Arc<str>,
    /// The most tokens to generate.
    pub max_tokens: u32,
    /// The priority; higher goes first.
    pub priority: u8,
}

/// One item of a generation's stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Event {
    /// One token.
    Token {
        /// The generation that the token belongs to.
        generation: Attempt,
        /// The position of the token, from 0.
        index: u64,
        /// The text of the token.
        text: Arc<str>,
    },
    /// The generation is complete.
    End {
        /// The generation that ended.
        generation: Attempt,
        /// The number of tokens that it has.
        count: u64,
        /// Why it ended: `stop` or `length`.
        reason: Arc<str>,
    },
}

/// What an engine reports of its load; the report lags.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Load {
    /// Tells one life of the engine from the next.
    pub incarnation: u64,
    /// The versions that are loaded, sorted.
    pub versions: Vec<Arc<str>>,
    /// Blocks of cache memory in all.
    pub blocks_total: u64,
    /// Blocks in use by running generations.
    pub blocks_used: u64,
    /// Tokens that one block holds.
    pub block_tokens: u64,
    /// Generations that are decoding.
    pub running: u64,
    /// Generations that wait for memory.
    pub waiting: u64,
    /// Generations preempted since the engine started.
    pub preemptions: u64,
}

/// A change of an engine's prefix cache; events come late and with gaps.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event, one more than the last; a gap shows a lost event.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added, or evicted.
    pub held: bool,
}

/// An order to an engine, under a fencing number.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The fencing number; an engine that checks it refuses a lower one than it has seen.
    pub number: u64,
    /// What to do.
    pub action: Action,
}

/// What an order asks for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "type", rename_all = "snake_case")]
pub enum Action {
    /// Loads a version from the weight store.
    Load {
        /// The version to load.
        version: Arc<str>,
    },
    /// Drops a version.
    Unload {
        /// The version to drop.
        version: Arc<str>,
    },
    /// Changes the role of the engine.
    Role {
        /// The role, as the engine names it.
        role: Arc<str>,
    },
}

/// Why a call to an engine failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The engine refused the connection, so it was not given the call.
    #[error("the engine cannot be reached and was not given the call; send it to another")]
    Unreachable,
    /// The engine refused the call and did nothing.
    #[error("the engine refused the call; send it later or to another")]
    Refused,
    /// The engine refused an old fencing number.
    #[error("the engine has seen a higher number; read the current one and decide again")]
    Fenced,
    /// The connection broke after the call was sent.
    #[error("the engine broke off; it may have run the call in part")]
    Broken,
    /// The engine's answer does not follow its protocol.
    #[error("the engine's answer cannot be read; check the adapter against the engine")]
    Malformed,
}

/// A model engine.
pub trait Engine: Clone + Send + Sync + 'static {
    /// Tokens of one generation; dropping it closes the connection.
    type Tokens: Stream<Item = Result<Event, Error>> + Send + Unpin + 'static;

    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Refused`] promise that nothing ran.
    fn generate(&self, prompt: &Prompt)
    -> impl Future<Output = Result<Self::Tokens, Error>> + Send;

    /// Takes up the stream of a running generation again at a token's index.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] tells that the engine does not hold the generation.
    fn resume(
        &self,
        generation: Attempt,
        index: u64,
    ) -> impl Future<Output = Result<Self::Tokens, Error>> + Send;

    /// Cancels a generation; one that is not running is no error.
    ///
    /// # Errors
    ///
    /// Fails where the engine is out of reach.
    fn cancel(&self, generation: Attempt) -> impl Future<Output = Result<(), Error>> + Send;

    /// Reads the report of the load.
    ///
    /// # Errors
    ///
    /// Fails where the engine is out of reach.
    fn load(&self) -> impl Future<Output = Result<Load, Error>> + Send;

    /// Reads the cache events after a sequence number.
    ///
    /// # Errors
    ///
    /// Fails where the engine is out of reach.
    fn cache_events(
        &self,
        after: u64,
    ) -> impl Future<Output = Result<Vec<CacheEvent>, Error>> + Send;

    /// Gives an order.
    ///
    /// # Errors
    ///
    /// [`Error::Fenced`] tells that a higher number was seen.
    fn order(&self, order: &Order) -> impl Future<Output = Result<(), Error>> + Send;
}
