//! Integration tests: the adapters against the stand-ins, and sites of real
//! processes behind a fault-injecting proxy.

mod adapters;
mod blame;
mod caller;
mod death;
mod ledger;
mod link;
mod order;
mod site;
mod stop;
