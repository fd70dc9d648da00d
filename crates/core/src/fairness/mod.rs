//! The bounded queue of an agent: priorities, fair shares and deadlines.
//!
//! Requests that the endpoint cannot bear yet wait here, at the one process that
//! sees all that the endpoint is given. The queue is short: an entry that is
//! refused quickly tries another endpoint, and a long queue only hides that.
//!
//! # Order
//!
//! Higher priorities go strictly first. Within a priority the workspace that was
//! served the least goes first, in tokens over its weight (virtual token
//! counters, after "Fairness in Serving Large Language Models", OSDI 2024).
//! Prompt tokens are charged when a request leaves the queue and generated
//! tokens as they come ([`Queue::charge`]), so no length is guessed. Within a
//! workspace the order is that of arrival.
//!
//! A workspace that was idle starts at the *floor*, the counter of the last
//! workspace that was served, so idle time earns nothing. One that was served
//! while nobody else waited is charged all the same, but its debt is bounded by
//! [`Config::max_debt_tokens`], so it is not locked out for long afterwards.
//!
//! # Bounds
//!
//! The queue holds at most [`Config::capacity`] requests. When it is full, the
//! lowest priority is shed first, and within it the workspace that is most over
//! its share, counting what it has waiting, so that one workspace cannot fill the
//! queue against the others. A request that could not start within its deadline
//! or [`Config::max_wait_ms`] at the pace of late is refused at once.
//!
//! Only workspaces that wait, run or owe are held, and those that only owe are at
//! most [`Config::max_idle`]; the number of workspaces known elsewhere costs
//! nothing here. Each step takes logarithmic time in what is held. The ordered
//! sets are B-trees, because their elements move with each charge.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, fairness::{Config, Entry, Queue}};
//!
//! let now = Time::from_millis(1);
//! let mut queue = Queue::new(Config::default());
//! let entry = |item, workspace: &str| Entry {
//!     item,
//!     workspace: workspace.into(),
//!     weight: 1,
//!     priority: 0,
//!     deadline: Time::from_millis(1_000),
//!     tokens: 100,
//! };
//! queue.push(entry(1, "sfax"), now).unwrap();
//! queue.push(entry(2, "sfax"), now).unwrap();
//! queue.push(entry(3, "sousse"), now).unwrap();
//! let order: Vec<u32> = std::iter::from_fn(|| queue.pop(now)).map(|entry| entry.item).collect();
//! assert_eq!(order, [1, 3, 2]);
//! ```

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::{Time, config::Objective};

mod account;
mod interval;
mod queue;

pub use queue::Queue;

/// Parameters of the queue.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The most requests that wait; 32 by default.
    pub capacity: usize,
    /// The longest that a request waits, in milliseconds; 700 by default, half of
    /// the time that the first token may take.
    pub max_wait_ms: u64,
    /// The least tokens that a waiting request counts for; 64 by default.
    pub min_tokens: u64,
    /// The most tokens at weight 1 that a workspace can owe; 20,000 by default.
    pub max_debt_tokens: u64,
    /// The most workspaces that are held only because they owe; 1,024 by default.
    pub max_idle: usize,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            capacity: 32,
            max_wait_ms: 700,
            min_tokens: 64,
            max_debt_tokens: 20_000,
            max_idle: 1_024,
        }
    }
}

impl Config {
    /// Returns the parameters for what a site weighs more.
    ///
    /// For [`Objective::Moves`] requests wait longer, because while the load of a
    /// data centre moves the endpoints that take it over are crowded for a while,
    /// and waiting there beats being refused. [`Objective::Streaming`] keeps the
    /// wait within the time that the first token may take.
    pub fn new(objective: Objective) -> Config {
        match objective {
            Objective::Streaming => Config::default(),
            Objective::Moves => Config {
                capacity: 128,
                max_wait_ms: 5_000,
                ..Config::default()
            },
        }
    }
}

/// A request in the queue.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry<T> {
    /// What the agent needs in order to dispatch it.
    pub item: T,
    /// The workspace that pays for it.
    pub workspace: Arc<str>,
    /// The weight of the workspace; 0 counts as 1.
    pub weight: u32,
    /// The priority; higher goes first.
    pub priority: u8,
    /// When the request is of no use any more.
    pub deadline: Time,
    /// Tokens of the prompt, which are charged when the request leaves the queue.
    pub tokens: u64,
}

/// Names a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// A request that was taken in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pushed<T> {
    /// The name of the request.
    pub ticket: Ticket,
    /// The request that was shed to make room; refuse it as not run.
    pub shed: Option<Entry<T>>,
}

/// Why a request was not taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The queue is full of requests that go first.
    Full,
    /// The wait would be longer than the request can use.
    Wait,
    /// The deadline has passed.
    Deadline,
}

/// A request that was not taken in; it was not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "the queue of the endpoint does not take the request ({reason}); send it to another, or after {retry_at}"
)]
pub struct Rejected<T> {
    /// The request itself, unchanged.
    pub entry: Entry<T>,
    /// Why it was not taken in.
    pub reason: Reason,
    /// When the queue is expected to have room.
    pub retry_at: Time,
}
