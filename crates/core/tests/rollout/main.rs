//! Tests of gradual rollouts between two versions.

mod canary;
mod interleaving;
mod rules;
mod table;
mod trials;

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    config::{Plan, Step},
    id::Incarnation,
    rollout::{
        Rollout, Side,
        evidence::{Ending, Sample},
        judge,
    },
};

const START: Time = Time::from_millis(1_800_000_000_000);

fn after(seconds: u64) -> Time {
    START + Duration::from_secs(seconds)
}

/// Returns a plan with steps given as (share, start in seconds) and a deadline in seconds.
fn plan(steps: &[(u16, u64)], deadline: u64) -> Plan {
    let step = |&(share, at): &(u16, u64)| Step {
        share,
        not_before: after(at),
    };
    Plan {
        name: "p".into(),
        route: "drafts".into(),
        from: "v1".into(),
        to: "v2".into(),
        steps: steps.iter().map(step).collect(),
        deadline: after(deadline),
        unproven_share: 50,
    }
}

fn rollout(plan: &Plan, process: &str, incarnation: u64) -> Rollout {
    Rollout::new(
        Arc::new(plan.clone()),
        process.into(),
        Incarnation(incarnation),
        judge::Config::default(),
    )
}

/// Returns a sample at load level 1 of 4, which covers loads from 250 to 499.
fn sample(side: Side, end: Ending) -> Sample {
    Sample {
        side,
        load: 300,
        end,
        first_token_ms: Some(200),
        token_gap_ms: Some(40),
    }
}
