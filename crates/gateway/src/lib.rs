//! The processes of the users' platform: the gateway between callers and endpoints,
//! and the [`sidecar`] beside an engine.
//!
//! A gateway terminates the callers' connections, chooses an endpoint for each
//! request and connects to it directly, so that a single process is between a caller
//! and an engine. It stores nothing durably: it reads the configuration and the
//! endpoints from the platform's store when it starts, and then watches the store
//! for changes.
//!
//! # Request handling
//!
//! `listen` accepts connections. `handle` reads a request, finds its route and
//! workspace, and creates a job. `plain` and `stream` serve the job; `migration`
//! copies the run of a stream whose engine is leaving. The policies are in
//! [`cactusroad_core`]: routes and their limits in `site`, and the choice of
//! endpoints, copies and retry budgets in `pool`. [`cactusroad_platform`] defines the
//! wire formats.
//!
//! # State
//!
//! `state` holds the configuration and the endpoints of each service, each under
//! its own lock. `watch` follows the store, `observe` probes sidecars and engines
//! for their load, and `announce` learns of engines that start while the store is
//! unreachable. `crash` shares which requests crash endpoints, and `rollout` moves services
//! to other versions. `fleet` finds the other gateways, and `relay` passes changes of the
//! store on to them. `duty` performs the duties that one gateway performs at a time. Every
//! change of this state and every decision about a request is written to the log; see
//! docs/LOGS.md.

mod announce;
mod clock;
mod crash;
mod daemon;
mod duty;
mod events;
pub mod explain;
mod fleet;
mod handle;
mod job;
mod listen;
mod metrics;
mod migration;
mod observe;
mod peer;
mod plain;
mod record;
mod relay;
mod reply;
mod rollout;
pub mod sidecar;
mod state;
mod stream;
mod watch;

pub use daemon::{Error, run};
