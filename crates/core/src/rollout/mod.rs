//! Moves of traffic between versions.
//!
//! A plan moves a route from one version to another in steps. No controller
//! stands on the path of a request: each entry computes the share of the new
//! version from the plan, the clock and its [`Progress`], and takes the side of
//! a request from a stable hash. Entries with the same progress therefore agree
//! without speaking, and one that lacks news is only more careful.
//!
//! # Progress
//!
//! [`Progress`] is a join-semilattice: a withdrawal and the number of proven
//! steps only grow, and merging is associative, commutative and idempotent, so
//! messages may be lost, repeated and reordered. A withdrawal gives the new
//! version no traffic whatever else is known, and nothing takes it back.
//!
//! A step beyond the first needs the step before it to be *proven*: the evidence
//! of all entries must show that the new version is not worse than the old one
//! beside it. While nothing is proven the share is at most the plan's
//! `unproven_share`, and until the last step is proven the old version keeps
//! [`MIN_BASELINE_SHARE`], so that there is always something to compare with. Where the last
//! step is not proven at the deadline, the share is zero.
//!
//! # Outcome
//!
//! The outcome is decided once, by the first conditional write of
//! `rollouts/<plan>` in the store. Traffic does not wait for it: with the store
//! down a withdrawal still takes the version out everywhere, and a proven plan
//! still ends. Passing the deadline unproven is no withdrawal but a rule of the
//! clock, so that an entry that was cut off from the proof cannot take back what
//! the others have finished.
//!
//! One case is left to people on purpose: an entry that is cut off may find
//! faults while the others record the plan as done. Both are true. The withdrawal
//! wins for traffic, and `status` shows the recorded end beside it.
//!
//! # Evidence
//!
//! [`evidence`] counts answers by version, load level, step and window of time,
//! in messages of bounded size that replace each other. [`judge`] compares the
//! two versions.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    Time,
    config::{Plan, WHOLE_SHARE},
};

pub mod evidence;
pub mod judge;
mod machine;
mod outcome;
pub mod part;

pub use machine::{Action, Message, Rollout};
pub use outcome::{End, OUTCOME_PREFIX, Outcome, Reason, outcome_key};

/// The share that the old version keeps until all steps are proven, in thousandths.
pub const MIN_BASELINE_SHARE: u16 = 100;

/// The version that a request goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Side {
    /// The version that the route leaves.
    Old,
    /// The version that the route moves to.
    New,
}

/// A withdrawal of the new version; it is never taken back.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rollback {
    /// When the faults were found.
    pub at: Time,
    /// The process that found them.
    pub by: Arc<str>,
    /// What was found.
    pub reason: Reason,
}

/// What is known of a running plan; merging only moves forward.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The earliest known withdrawal.
    pub withdrawn: Option<Rollback>,
    /// The number of steps that are proven.
    pub proven: usize,
    /// The end that the store holds.
    pub decided: Option<End>,
}

impl Progress {
    /// Takes in what another process knows.
    pub fn merge(&mut self, other: &Progress) {
        let rollbacks = [&self.withdrawn, &other.withdrawn];
        self.withdrawn = rollbacks.into_iter().flatten().min().cloned();
        self.proven = self.proven.max(other.proven);
        self.decided = self.decided.or(other.decided);
    }

    /// Tells whether all steps of a plan are proven.
    pub fn is_proven(&self, plan: &Plan) -> bool {
        self.proven >= plan.steps.len()
    }
}

/// Returns the share of the new version, in thousandths.
pub fn share(plan: &Plan, progress: &Progress, now: Time) -> u16 {
    if progress.withdrawn.is_some() || progress.decided == Some(End::Reversed) {
        return 0;
    }
    if progress.decided == Some(End::Done) {
        return WHOLE_SHARE;
    }
    if progress.is_proven(plan) {
        return scheduled_share(plan, now);
    }
    if plan.deadline.is_past(now) {
        return 0;
    }
    let allowed = plan.steps.get(progress.proven).map_or(0, |step| step.share);
    let bound = match progress.proven {
        0 => plan.unproven_share,
        _ => WHOLE_SHARE - MIN_BASELINE_SHARE,
    };
    scheduled_share(plan, now).min(allowed).min(bound)
}

/// Returns the number of the step that traffic is in, or nothing before the first.
pub fn current_step(plan: &Plan, progress: &Progress, now: Time) -> Option<usize> {
    let begun = plan
        .steps
        .partition_point(|step| step.not_before.is_past(now));
    begun
        .checked_sub(1)
        .map(|latest| latest.min(progress.proven))
}

/// Returns the side of a request; a request that has moved stays so while the share rises.
pub fn side(plan: &Plan, share: u16, key: &[u8]) -> Side {
    let seed = xxhash_rust::xxh3::xxh3_64(plan.name.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(key, seed);
    match hash % u64::from(WHOLE_SHARE) < u64::from(share) {
        true => Side::New,
        false => Side::Old,
    }
}

fn scheduled_share(plan: &Plan, now: Time) -> u16 {
    let begun = plan
        .steps
        .iter()
        .take_while(|step| step.not_before.is_past(now));
    begun.last().map_or(0, |step| step.share)
}
