//! Integration tests: the adapters against the stand-ins, and sites of real
//! processes behind a fault-injecting proxy.

mod adapters;
mod bad_input;
mod caller;
mod death;
mod endpoint;
mod link;
mod order;
mod rollout;
mod site;
mod stop;
