//! A gateway as a process of its own, between a client and stand-ins of the platform.

mod config;
mod plain;
mod site;
mod stop;
mod stream;
mod wild;
