//! The entry and agent processes of cactusroad, which do the I/O for `cactusroad_core`.

pub mod admin;
pub mod agent;
pub mod clock;
pub mod daemon;
pub mod entry;
pub mod fleet;
pub mod logging;
pub mod metrics;
pub mod settings;
pub mod status;
pub mod trace;
pub mod transport;
