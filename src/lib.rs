//! A serving system for model generations of unknown length on crowded engines,
//! and for plain services whose calls may not be repeated.
//!
//! cactusroad is every process between callers and back ends. An *entry*
//! terminates callers; an *agent* runs in the slot beside each *endpoint*, which
//! is a model engine or a plain service, and is the only process that talks to
//! it. Configuration, and whatever must last, lives in the platform's object
//! store; the processes themselves keep nothing.
//!
//! # Where to start
//!
//! * `cargo run --release -- demo` runs the whole path in one process.
//! * [`core`] holds every decision, free of I/O, clocks and randomness.
//! * [`adapter`] holds a small trait and an adapter for each outside system. A
//!   site with other protocols adds one file there.
//! * [`platform`] holds names, formats and calls of the users' platform, and [`gateway`]
//!   the process that serves callers there.
//! * [`node`] holds the two daemons, which drive the core.
//! * [`ops`] holds the operators' commands.
//! * [`standin`] holds small stand-ins of the outside systems.
//!
//! # Example
//!
//! The core can be driven from anywhere. Here a reader keeps frames of a late
//! attempt away from a caller:
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
//! A generation lives as long as its endpoint and agent do: when either dies
//! after the first token, the caller is told that the stream broke off. Frames
//! are kept for a grace period only, so a caller that comes back later than that
//! starts again.

pub use cactusroad_adapter as adapter;
pub use cactusroad_core as core;
pub use cactusroad_gateway as gateway;
pub use cactusroad_node as node;
pub use cactusroad_ops as ops;
pub use cactusroad_platform as platform;
pub use cactusroad_standin as standin;
pub use cactusroad_wire as wire;

pub mod demo;
