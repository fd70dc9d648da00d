//! The process beside an engine.
//!
//! An engine's load is reported with a delay of half a second to everyone but its own
//! VM. A sidecar reads the load of the engine beside it whenever a gateway asks, so that
//! a choice is made from data that is a few milliseconds old. Gateways that choose at
//! the same time then do not all take the engine that was the emptiest half a second
//! ago. A sidecar also polls for the engine's shutdown notice, the first report that says
//! that the engine is leaving, and passes it at once to the gateways that wait for it.
//!
//! A sidecar makes no decisions and keeps no state but its last report. A gateway that
//! cannot reach one asks the engine itself, whose reports are older.
//!
//! | request | response |
//! | --- | --- |
//! | `GET /load` | 200 and a [`Load`](cactusroad_wire::sidecar::Load), or 503 if the engine does not answer |
//! | `GET /notice` | 200 and a `Load` once the engine is leaving, or 204 after some seconds |

mod announce;
mod client;
mod daemon;
mod engine;

pub(crate) use client::Client;
pub use daemon::run;

/// The path of the engine's load.
const LOAD_PATH: &str = "/load";

/// The path that waits for the engine's shutdown notice.
const NOTICE_PATH: &str = "/notice";
