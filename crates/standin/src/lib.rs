//! Small stand-ins for the systems around cactusroad, for tests, benchmarks and
//! the demo.
//!
//! The stand-ins are [`engine`], [`service`], [`store`] and [`roster`]. Each serves
//! the HTTP protocol of `docs/PROTOCOL.md` on a listener that the caller binds. Its
//! handle gives the address, the counters of the calls served, and commands that
//! inject faults. [`model`] simulates the scheduler of an engine, and [`proxy`] injects
//! network faults between two processes. `PUT /control` and `GET /control/seen` offer the same commands and
//! counters over HTTP, for a stand-in that runs as a separate process.
//!
//! A stand-in enforces no guarantee of cactusroad: it executes every call and counts
//! it, and the tests compare the counts with the answers that callers received.
//!
//! # Examples
//!
//! ```
//! # #[tokio::main(flavor = "current_thread")]
//! # async fn main() -> std::io::Result<()> {
//! use cactusroad_standin::engine;
//!
//! let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
//! let engine = engine::spawn(engine::Config::default(), listener)?;
//! assert_eq!(engine.seen().crashes, 0);
//! engine.server().kill().await;
//! # Ok(())
//! # }
//! ```

pub mod engine;
pub mod fault;
pub mod model;
pub mod proxy;
pub mod role;
pub mod roster;
pub mod server;
pub mod service;
pub mod store;
