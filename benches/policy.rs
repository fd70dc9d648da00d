//! Compares admission policies at one endpoint, and placement policies over several
//! entries and endpoints, in virtual time.

#[path = "policy/endpoint.rs"]
mod endpoint;
#[path = "policy/placement.rs"]
mod placement;
#[path = "policy/policies.rs"]
mod policies;
#[path = "policy/recorder.rs"]
mod recorder;
#[path = "policy/single.rs"]
mod single;
#[path = "policy/site.rs"]
mod site;
#[path = "policy/targets.rs"]
mod targets;
#[path = "policy/workload.rs"]
mod workload;

use std::process::ExitCode;

fn main() -> ExitCode {
    let mut checker = targets::TargetChecker::load();
    single::run(&mut checker);
    placement::run(&mut checker);
    checker.finish()
}
