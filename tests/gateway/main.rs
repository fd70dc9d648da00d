//! A gateway as a process of its own, between a client and stand-ins of the platform.

mod config;
mod log;
mod plain;
mod sidecar;
#[expect(dead_code, reason = "the soak uses the rest")]
mod site;
mod stop;
mod stream;
mod wild;
