//! A small fault-injecting proxy for tests.
//!
//! A proxy stands between two processes, forwards to one target, and is told by
//! its handle what to do to what passes: [`udp`] carries datagrams, and with
//! them QUIC; [`tcp`] carries connections. Faults that concern connections that
//! exist leave later ones alone, because the failure that they stand for is a
//! device that has lost track of some connections. Loss and jitter are drawn
//! from a seeded generator, so a run can be repeated with the same draws.

mod rule;
pub mod tcp;
pub mod udp;

pub use rule::{Direction, Weather};
