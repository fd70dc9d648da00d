//! Compares admission policies at one endpoint, and placement policies over several
//! entries and endpoints, in virtual time.

#[path = "policy/endpoint.rs"]
mod endpoint;
#[path = "policy/gate.rs"]
mod gate;
#[path = "policy/measure.rs"]
mod measure;
#[path = "policy/placement.rs"]
mod placement;
#[path = "policy/single.rs"]
mod single;
#[path = "policy/site.rs"]
mod site;
#[path = "policy/verdict.rs"]
mod verdict;
#[path = "policy/workload.rs"]
mod workload;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut verdict = verdict::Verdict::load();
    single::run(&mut verdict);
    placement::run(&mut verdict);
    verdict.finish()
}
