//! A small fault-injecting proxy for tests.
//!
//! A proxy forwards traffic to one target and injects the faults that are set
//! through its handle. [`udp`] forwards datagrams, QUIC included, and [`tcp`]
//! forwards connections. A fault on existing connections does not affect later
//! ones, because it simulates a middlebox that has lost the state of some
//! connections. Loss and jitter come from a seeded generator, so a run can be
//! repeated with the same random values.

mod rule;
pub mod tcp;
pub mod udp;

pub use rule::{Direction, Impairment};
