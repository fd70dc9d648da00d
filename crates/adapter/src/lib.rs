//! Clients of the external systems that cactusroad depends on.
//!
//! Each external system is accessed through one small trait: [`store::Store`]
//! for the platform's object store, [`roster::Roster`] for its list of VMs,
//! [`engine::Engine`] for a model engine and [`service::Service`] for a plain
//! service. Callers are generic over the trait, so supporting another protocol
//! takes one new module beside the HTTP client, and calls are statically
//! dispatched.
//!
//! # Examples
//!
//! ```
//! use cactusroad_adapter::{address::Address, engine, store};
//!
//! let address: Address = "http://127.0.0.1:8700".parse()?;
//! let engine = engine::http::Client::new(&address);
//! let store = store::http::Client::new(&address);
//! # let _ = (engine, store);
//! # Ok::<(), cactusroad_adapter::address::Error>(())
//! ```

pub mod address;
pub mod engine;
pub mod roster;
pub mod service;
pub mod store;
mod transport;
