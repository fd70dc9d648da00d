//! Tests of a gateway process between a client and stand-ins of the platform.

mod check_site;
mod cold;
mod config;
mod crash;
mod cut;
mod drain;
mod duty;
mod endless;
mod failover;
mod list;
mod log;
mod plain;
mod relay;
mod restore;
mod revocation;
mod rollout;
mod short;
mod sidecar;
#[expect(dead_code, reason = "the soak test uses the rest")]
mod site;
mod stop;
mod stream;
mod wild;
