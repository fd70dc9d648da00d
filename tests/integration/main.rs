//! Integration tests: the adapters against the stand-ins, and sites of real
//! processes behind a fault-injecting proxy.

mod adapters;
mod bad_input;
mod caller;
mod crash;
mod death;
mod endpoint;
mod input;
mod key;
mod link;
mod order;
mod path;
mod raw;
mod rollout;
mod site;
mod stop;
