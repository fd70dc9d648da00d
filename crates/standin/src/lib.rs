//! Small stand-ins for the systems around cactusroad, for tests, benchmarks and
//! the demo.
//!
//! Each stand-in speaks the HTTP protocol that `docs/PROTOCOL.md` describes, on
//! a listener that its caller binds, and returns a handle that gives its
//! address, what it has seen, and commands to make it fail: [`engine`],
//! [`service`], [`store`] and [`roster`]. The same commands are served as
//! `PUT /control`, and what it has seen as `GET /control/seen`, so that a
//! stand-in in a process of its own is driven in the same way.
//!
//! A stand-in keeps no promise on behalf of cactusroad: it does what it is asked
//! and counts it, and the tests compare the counts with what callers were told.
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
