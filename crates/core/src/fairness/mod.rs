//! The bounded queue of an agent: priorities, fair shares and deadlines.
//!
//! Requests wait here while the endpoint has no capacity for them. The agent is the
//! only process that sees all requests to its endpoint, so it orders them. The queue
//! is short: a request that is rejected at once can be sent to another endpoint,
//! while one in a long queue loses that time.
//!
//! # Order
//!
//! Higher priorities go strictly first. Within a priority, the workspace that has
//! been served the fewest tokens per weight goes first (virtual token counters, after
//! "Fairness in Serving Large Language Models", OSDI 2024). Prompt tokens are charged
//! when a request leaves the queue and generated tokens as they are produced
//! ([`Queue::charge`]), so no generation length has to be predicted. Within a
//! workspace, requests are served in order of arrival.
//!
//! A workspace that was idle starts at the *floor*, the highest counter at which a
//! request has been dispatched, so it gains no credit while idle. A workspace that is
//! served while no other waits is still charged, but its debt above the floor is
//! limited to [`Config::max_debt_tokens`], so that it is not starved for long
//! afterwards.
//!
//! # Bounds
//!
//! The queue holds at most [`Config::capacity`] requests. When it is full, it sheds
//! from the lowest priority, and there the newest request of the workspace that is
//! most over its share. Waiting requests count towards that share, so one workspace
//! cannot fill the queue and displace the others. A request is rejected at once if,
//! at the recent dispatch rate, it would not start within its deadline or
//! [`Config::max_wait_ms`].
//!
//! State is kept only for workspaces with requests waiting or running, or with debt.
//! Those with debt alone number at most [`Config::max_idle`], so memory does not grow
//! with the number of workspaces on the platform. Each operation takes time logarithmic
//! in the number of requests and workspaces held, except the estimate of the wait in
//! [`Queue::push`], which counts the workspaces ahead. The ordered sets are B-trees,
//! because every charge moves an element.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, fairness::{Config, Queued, Queue}};
//!
//! let now = Time::from_millis(1);
//! let mut queue = Queue::new(Config::default());
//! let queued = |item, workspace: &str| Queued {
//!     item,
//!     workspace: workspace.into(),
//!     weight: 1,
//!     priority: 0,
//!     deadline: Time::from_millis(1_000),
//!     tokens: 100,
//! };
//! queue.push(queued(1, "sfax"), now).unwrap();
//! queue.push(queued(2, "sfax"), now).unwrap();
//! queue.push(queued(3, "sousse"), now).unwrap();
//! let order: Vec<u32> = std::iter::from_fn(|| queue.pop(now)).map(|queued| queued.item).collect();
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
    /// The maximum number of waiting requests; 32 by default.
    pub capacity: usize,
    /// The maximum wait of a request, in milliseconds; 700 by default, which is half
    /// of the target time to first token.
    pub max_wait_ms: u64,
    /// The minimum number of tokens counted for a waiting request when requests are
    /// shed; 64 by default.
    pub min_tokens: u64,
    /// The maximum debt of a workspace, in tokens at weight 1; 20,000 by default.
    pub max_debt_tokens: u64,
    /// The maximum number of workspaces held only for their debt; 1,024 by default.
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
    /// Returns the parameters for a site's objective.
    ///
    /// With [`Objective::Moves`] the queue is larger and requests wait longer: while
    /// the load of a data centre moves, the endpoints that take it over are
    /// overloaded for a while, and waiting there is better than being rejected.
    /// [`Objective::Streaming`] keeps the wait within the target time to first token.
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
pub struct Queued<T> {
    /// The caller's data, returned when the request leaves the queue.
    pub item: T,
    /// The workspace that is charged.
    pub workspace: Arc<str>,
    /// The weight of the workspace; 0 counts as 1.
    pub weight: u32,
    /// The priority; higher goes first.
    pub priority: u8,
    /// When a result is no longer useful to the caller.
    pub deadline: Time,
    /// The number of prompt tokens, charged when the request leaves the queue.
    pub tokens: u64,
}

/// The identifier of a request in the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

/// The result of a successful [`Queue::push`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pushed<T> {
    /// The identifier of the accepted request.
    pub ticket: Ticket,
    /// The request that was shed to make room; it was not run, and its caller must be
    /// told so.
    pub shed: Option<Queued<T>>,
}

/// Why a request was rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The queue is full and the request is the first to be shed.
    Full,
    /// The estimated wait exceeds the deadline or the maximum wait.
    Wait,
    /// The deadline has passed.
    Deadline,
}

/// A request that [`Queue::push`] rejected; it was not run.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error(
    "endpoint queue rejected the request ({reason}); retry on another endpoint, or here after {retry_at}"
)]
pub struct Rejected<T> {
    /// The request, unchanged.
    pub entry: Queued<T>,
    /// Why it was rejected.
    pub reason: Reason,
    /// When the queue is expected to have room.
    pub retry_at: Time,
}
