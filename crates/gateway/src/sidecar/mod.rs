//! The process beside an engine.
//!
//! An engine's reports are half a second old for everyone but its own VM. A
//! sidecar asks the engine beside it when a gateway asks the sidecar, so what a
//! choice is made from is a few milliseconds old, and gateways that choose at the
//! same time do not all take the engine that was the emptiest half a second ago.
//! It also looks for the engine's notice that it leaves, and tells at once the
//! gateways that wait for it.
//!
//! A sidecar decides nothing and holds nothing but its last report. A gateway
//! that cannot reach one asks the engine itself, whose reports are older.
//!
//! | question | answer |
//! | --- | --- |
//! | `GET /load` | 200 and a [`Load`](cactusroad_wire::sidecar::Load), or 503 where the engine does not answer |
//! | `GET /notice` | 200 and a `Load` once the engine is leaving, or 204 after some seconds |

mod announce;
mod client;
mod daemon;
mod engine;

pub(crate) use client::Client;
pub use daemon::run;

/// The path of the question for the load.
const LOAD_PATH: &str = "/load";

/// The path of the question that waits for the engine's notice.
const NOTICE_PATH: &str = "/notice";
