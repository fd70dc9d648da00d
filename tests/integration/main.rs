//! Integration tests of the adapters against simulated back ends, and of sites of
//! real processes behind fault-injecting proxies.
//!
//! In a prompt, `[len=N]` makes a simulated engine generate `N` tokens, and `[crash]`
//! makes it crash. The rest of a prompt is arbitrary and only tells prompts apart.

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
