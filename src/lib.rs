//! A serving system for model generations of unknown length on crowded engines,
//! and for plain services with non-idempotent calls.
//!
//! cactusroad is every process between callers and back ends. An *entry*
//! terminates callers. An *endpoint* is a model engine or a plain service; an
//! *agent* runs beside each endpoint and is the only process that talks to it. Configuration and other durable state are in the platform's
//! object store; the processes themselves are stateless.
//!
//! # Overview
//!
//! * `cargo run --release -- demo` runs a whole site in one process.
//! * [`core`] contains the decision logic, without I/O, clocks or randomness.
//! * [`adapter`] contains a trait and an adapter for each external system. A site
//!   with other protocols adds one file there.
//! * [`platform`] contains the names, formats and calls of the users' platform, and
//!   [`gateway`] the processes there: the gateway, which serves callers, and the sidecar
//!   beside an engine.
//! * [`node`] contains the daemons of the entry and the agent, which drive the core.
//! * [`ops`] contains the operators' commands.
//! * [`standin`] contains small stand-ins for the external systems.
//!
//! # Example
//!
//! The core can be used on its own. Here a reader drops a frame of a superseded
//! attempt, which must not reach the caller:
//!
//! ```
//! use cactusroad::core::{id::Attempt, stream::{Reader, Verdict}};
//!
//! let mut reader = Reader::new(Attempt(2), 0);
//! assert_eq!(reader.accept(Attempt(1), 0), Verdict::Foreign);
//! assert_eq!(reader.accept(Attempt(2), 0), Verdict::Deliver);
//! ```
//!
//! # Limits
//!
//! A generation does not survive its endpoint or agent: if either fails after the
//! first token, the stream to the caller ends with an error. Frames are kept for a
//! grace period only; a caller that reconnects after it has to start again.

pub use cactusroad_adapter as adapter;
pub use cactusroad_core as core;
pub use cactusroad_gateway as gateway;
pub use cactusroad_node as node;
pub use cactusroad_ops as ops;
pub use cactusroad_platform as platform;
pub use cactusroad_standin as standin;
pub use cactusroad_wire as wire;

pub mod demo;
