//! The processes of the users' platform: the gateway between callers and endpoints,
//! and the [`sidecar`] beside an engine.
//!
//! A gateway terminates callers, chooses an endpoint for each request and speaks
//! to it directly, so that one process stands between a caller and a token. It
//! keeps nothing: whatever it knows it reads from the platform's store when it
//! starts and then watches.
//!
//! # The way of a request
//!
//! `listen` accepts connections; `handle` reads a request, finds its route and
//! its workspace and makes a job of it; `plain` and `stream` serve the job.
//! What a request may do is decided in [`cactusroad_core`]: the route and its
//! limits in `site`, endpoints, copies and repeats in `pool`. How things are
//! spelled on the wire stands in [`cactusroad_platform`].
//!
//! # What it believes
//!
//! `state` holds the configuration and the endpoints of each service, each under
//! its own lock. `watch` follows the store, `observe` asks sidecars and engines for
//! their load, `announce` learns of engines that start while the store is away.
//! Every change of a belief, and every decision about a request, is a line of
//! the log; see docs/LOGS.md.

mod announce;
mod clock;
mod daemon;
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
mod reply;
pub mod sidecar;
mod state;
mod stream;
mod watch;

pub use daemon::{Error, run};
