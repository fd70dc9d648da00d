//! The decisions of cactusroad.
//!
//! Every rule that decides what happens to a request, a version or a process
//! stands in this crate, and nothing else does. The crate does no I/O, reads no
//! clock, draws no randomness and starts no task: events, the current [`Time`]
//! and random numbers come in as arguments, and actions come out as values. The
//! same code therefore runs in a daemon, under a seeded test driver and in a
//! benchmark with virtual time.
//!
//! # Modules
//!
//! * The request path: [`stream`] checks frames, [`refusal`] is the one error
//!   form, [`ledger`] keeps non-idempotent requests to one run, [`blame`] finds
//!   requests that crash endpoints.
//! * Load: [`survival`] learns lengths, [`admission`] bounds what an endpoint
//!   holds, [`ramp`] bounds a cold one, [`placement`] chooses an endpoint,
//!   [`fairness`] orders the queue, [`limit`] bounds a workspace, [`retry`]
//!   bounds repeats and [`outlier`] takes out bad endpoints.
//! * Operators: [`config`] is the schema of what they write, [`rollout`] moves
//!   traffic between versions, [`order`] fences orders to endpoints, [`lease`]
//!   elects a single holder.
//! * A gateway that speaks to endpoints itself: [`site`] is its configuration, [`pool`]
//!   chooses endpoints, places copies of runs and saves runs whose engine is lost.
//! * The fleet: [`census`] counts processes that renew an object, [`member`] keeps the list of processes, [`spread`] carries the
//!   configuration to each of them.

pub mod admission;
pub mod blame;
pub mod census;
pub mod config;
pub mod digest;
pub mod fairness;
pub mod id;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod member;
pub mod order;
pub mod outlier;
pub mod placement;
pub mod pool;
pub mod ramp;
pub mod refusal;
pub mod retry;
pub mod rollout;
pub mod site;
pub mod spread;
pub mod stream;
pub mod survival;
mod time;

pub use time::Time;
