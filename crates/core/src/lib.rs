//! Decision logic of cactusroad.
//!
//! Every rule that decides what happens to a request, a version or a process is
//! in this crate, and the crate contains nothing else. It does no I/O, reads no
//! clock, draws no random numbers and spawns no task: events, the current
//! [`Time`] and random numbers are passed in as arguments, and actions are
//! returned as values. The same code therefore runs in a daemon, in a seeded
//! test driver and in a benchmark with virtual time.
//!
//! # Terms
//!
//! * An *endpoint* is a model engine or a plain service, an *engine* a model engine.
//! * An *entry* is a process that terminates callers, an *agent* the process beside an
//!   endpoint.
//! * A *run* is one generation at an engine; a *copy* of it is a replica of its KV
//!   cache at another engine.
//! * The *roster* is the platform's list of VMs, and the *store* its object store.
//!
//! # Modules
//!
//! * Request path: [`stream`] validates frames, [`buffer`] bounds what reading a body takes,
//!   [`refusal`] is the error type for callers, [`ledger`] runs non-idempotent requests at
//!   most once, [`blame`] finds requests that crash endpoints.
//! * Load: [`survival`] estimates output lengths, [`admission`] bounds the load of an
//!   endpoint, [`ramp`] bounds it during a cold start, [`placement`] chooses an
//!   endpoint, [`fairness`] orders the queue, [`limit`] enforces the rate limit
//!   of a workspace, [`retry`] enforces the retry budget and [`outlier`] ejects
//!   endpoints that fail or are slow.
//! * Operation: [`config`] is the schema of the operators' configuration,
//!   [`rollout`] shifts traffic between versions, [`order`] fences the orders by
//!   which endpoints load and unload versions, [`lease`] elects the single
//!   process that requests them.
//! * Gateway that talks to endpoints directly: [`site`] is its configuration,
//!   [`freshness`] bounds how long it acts on a copy that it cannot confirm,
//!   [`pool`] chooses endpoints, places copies of runs and recovers runs whose
//!   engine is lost, [`crash`] finds parts of prompts that crash engines.
//! * Fleet: [`census`] counts the processes that renew an object in the store,
//!   [`history`] orders the store's states across its restores,
//!   [`relay`] decides which gateways watch the store for the others,
//!   [`member`] is the record of a process, [`spread`] distributes the records
//!   and the configuration to all processes.
//! * Duties: [`duty`] elects the gateway that reports usage, and decides the reports.
//! * Shared types: [`id`] identifies processes and attempts, [`digest`] hashes keys
//!   and bodies, [`Time`] is a point in time.

pub mod admission;
pub mod blame;
pub mod buffer;
pub mod census;
pub mod config;
pub mod crash;
pub mod digest;
pub mod duty;
pub mod fairness;
pub mod freshness;
pub mod history;
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
pub mod relay;
pub mod retry;
pub mod rollout;
pub mod site;
pub mod spread;
pub mod stream;
pub mod survival;
mod time;

pub use time::Time;
