//! Integration tests with real processes.

mod adapters;
mod fleet;
