//! Stand-ins of the platform's store, of replicas and of clients, and the processes of a small
//! deployment on loopback, for the cases in `review/`.
//!
//! They follow the pages PROTOCOL and DEPLOY and use threads and blocking sockets only.

// The settings file is one large literal.
#![recursion_limit = "256"]

pub mod client;
pub mod http;
pub mod record;
pub mod replica;
pub mod site;
pub mod store;
