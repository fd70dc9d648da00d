//! Integration tests: the adapters against the stand-ins, and sites of real
//! processes behind a fault-injecting proxy.

mod adapters;
mod blame;
mod caller;
mod cold;
mod crash;
mod crossed;
mod data_centre;
mod death;
mod endpoint;
mod fleet;
mod input;
mod key;
mod ledger;
mod link;
mod metrics;
mod mixed;
mod order;
mod path;
mod raw;
mod rollout;
mod site;
mod stop;
mod trace;
