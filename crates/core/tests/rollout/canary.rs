//! Tests of the trial of a new version.

use std::time::Duration;

use cactusroad_core::{
    Time,
    rollout::{
        End, Reason, Side,
        canary::{Canary, Exposure, Order},
        judge::Verdict,
    },
};
use rand::{Rng, SeedableRng, rngs::StdRng};

const START: Time = Time::from_millis(1_000_000);
const DEADLINE: Time = Time::from_millis(1_015_000);
const LONGEST_RUN: Duration = Duration::from_secs(39);
const EXPOSURE: Exposure = Exposure {
    share: 0.1,
    extra: 50.0,
};

fn canary() -> Canary {
    Canary::new(Order {
        service: "llm".into(),
        target: "v2".into(),
        deadline: DEADLINE,
        has_begun: false,
    })
}

/// Guards against a bad version that gets more requests than operators allow: for any
/// number of gateways and of requests, the sum stays within the bound.
#[test]
fn exposure_within_bound() {
    let mut rng = StdRng::seed_from_u64(7);
    for (gateways, requests) in [(1, 30), (4, 200), (4, 2_000), (68, 800), (16, 160)] {
        let mut fleet: Vec<Canary> = (0..gateways).map(|_| canary()).collect();
        let mut exposed = 0;
        for _ in 0..requests {
            // Callers are not spread evenly over the gateways.
            let index = (rng.random_range(0.0f64..1.0).powi(2) * gateways as f64) as usize;
            let side = fleet[index].side(&EXPOSURE, gateways, rng.random(), START);
            fleet[index].record_sent(side);
            exposed += u32::from(side == Side::Candidate);
        }
        let bound = EXPOSURE.share * f64::from(requests) + EXPOSURE.extra;
        assert!(f64::from(exposed) <= bound, "{exposed} of {requests}");
        assert!(exposed >= requests / 40, "{exposed} of {requests}");
    }
}

#[test]
fn exposure_ends_with_verdict() {
    let mut canary = canary();
    let bad = Verdict::Bad(Reason::FirstToken);
    assert_eq!(canary.decide(bad, LONGEST_RUN, START), Some(End::Reversed));
    assert_eq!(canary.side(&EXPOSURE, 1, 0.0, START), Side::Baseline);
    assert_eq!(canary.decide(Verdict::Proven, LONGEST_RUN, DEADLINE), None);
    assert_eq!(canary.side(&EXPOSURE, 1, 0.0, DEADLINE), Side::Baseline);
}

#[test]
fn deadline_without_proof() {
    let mut canary = canary();
    let unknown = Verdict::Inconclusive;
    assert_eq!(canary.decide(unknown, LONGEST_RUN, START), None);
    assert_eq!(canary.side(&EXPOSURE, 1, 0.0, DEADLINE), Side::Baseline);
    let end = canary.decide(unknown, LONGEST_RUN, DEADLINE);
    assert_eq!(end, Some(End::Reversed));
}

/// Guards against old endpoints that are stopped under their runs, and against a version
/// that is kept although it becomes bad late.
#[test]
fn promoted_until_runs_have_ended() {
    let mut canary = canary();
    assert_eq!(canary.decide(Verdict::Proven, LONGEST_RUN, START), None);
    assert!(!canary.is_trusted());
    assert_eq!(canary.decide(Verdict::Proven, LONGEST_RUN, DEADLINE), None);
    assert!(canary.is_trusted());
    assert_eq!(canary.side(&EXPOSURE, 1, 1.0, DEADLINE), Side::Candidate);
    let mut late = canary.clone();
    let bad = Verdict::Bad(Reason::Failures);
    let later = DEADLINE + Duration::from_secs(5);
    assert_eq!(late.decide(bad, LONGEST_RUN, later), Some(End::Reversed));
    let ended = DEADLINE + LONGEST_RUN;
    assert_eq!(
        canary.decide(Verdict::Inconclusive, LONGEST_RUN, ended),
        Some(End::Done)
    );
    assert_eq!(canary.side(&EXPOSURE, 1, 1.0, ended), Side::Candidate);
}

#[test]
fn trial_joined_late() {
    let mut order = canary().order().clone();
    order.has_begun = true;
    let mut canary = Canary::new(order);
    assert_eq!(canary.side(&EXPOSURE, 1, 0.0, START), Side::Baseline);
    for _ in 0..20 {
        canary.record_sent(Side::Baseline);
    }
    assert_eq!(canary.side(&EXPOSURE, 1, 0.0, START), Side::Candidate);
}
