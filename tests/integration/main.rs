//! Integration tests: the adapters against the stand-ins, and sites of real
//! processes behind a fault-injecting proxy.

mod adapters;
mod caller;
mod death;
mod fleet;
mod link;
mod order;
mod rollout;
mod site;
mod stop;
