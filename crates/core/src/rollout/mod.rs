//! Gradual rollouts that move a route's traffic from one version to another.
//!
//! A plan moves a route from its old version, the baseline, to a new version, the
//! candidate, in steps. No controller is on the request path: each entry computes
//! the candidate's share of traffic from the plan, the clock and its [`Progress`],
//! and assigns each request to a version by a stable hash. Entries with the same
//! progress therefore agree without communicating, and an entry whose progress is
//! out of date sends the candidate less traffic, never more, unless it has missed a
//! rollback.
//!
//! # Progress
//!
//! [`Progress`] is a join-semilattice: a rollback is never undone, the number of
//! proven steps only grows, and merging is associative, commutative and idempotent.
//! Messages may therefore be lost, duplicated and reordered. After a rollback the
//! candidate gets no traffic, whatever else is known.
//!
//! Each step after the first requires the previous step to be *proven*: the combined
//! evidence of all entries must show that the candidate is not worse than the
//! baseline over the same time. While no step is proven the share is at most the
//! plan's `unproven_share`. Until the last step is proven the baseline keeps at least
//! [`MIN_BASELINE_SHARE`], so that there is always traffic to compare with. If the
//! last step is not proven by the deadline, the share drops to zero.
//!
//! # Outcome
//!
//! The outcome is decided once, by the first conditional write of
//! `rollouts/<plan>` in the store. Traffic does not wait for that write: while the
//! store is unavailable, a rollback still removes the candidate everywhere, and a
//! plan whose steps are all proven still completes. Missing the deadline is not
//! recorded as a rollback in [`Progress`] but derived from the clock. Otherwise an
//! entry that was partitioned from the proof could undo a rollout that the other
//! entries have completed.
//!
//! One conflict is deliberately left to operators: a partitioned entry may find
//! faults and roll back while the other entries record the plan as done. The
//! rollback then decides the traffic, and the command `cactusroad status` shows its
//! reason next to the recorded outcome.
//!
//! # Evidence
//!
//! [`evidence`] counts requests by version, load level, step and time window, in
//! messages of bounded size of which the newest replaces the others. [`judge`]
//! compares the two versions.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{
    Time,
    config::{Plan, WHOLE_SHARE},
};

pub mod canary;
pub mod evidence;
pub mod judge;
mod machine;
mod outcome;
pub mod part;

pub use machine::{Action, Message, Rollout};
pub use outcome::{End, OUTCOME_PREFIX, Outcome, Reason, outcome_key};

/// The share of traffic that the baseline keeps until all steps are proven, in thousandths.
pub const MIN_BASELINE_SHARE: u16 = 100;

/// The version that a request is sent to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub enum Side {
    /// The baseline: the version that the route moves from.
    #[default]
    Baseline,
    /// The candidate: the version that the route moves to.
    Candidate,
}

impl Side {
    /// Returns the other side.
    pub fn other(self) -> Side {
        match self {
            Side::Baseline => Side::Candidate,
            Side::Candidate => Side::Baseline,
        }
    }
}

/// A rollback of the candidate, which is never undone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Rollback {
    /// When the rollback was decided.
    pub at: Time,
    /// The process that decided on the rollback.
    pub by: Arc<str>,
    /// The measure in which the candidate was worse.
    pub reason: Reason,
}

/// What a process knows about a running plan; a join-semilattice under [`Progress::merge`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The earliest known rollback.
    pub withdrawn: Option<Rollback>,
    /// The number of proven steps.
    pub proven: usize,
    /// The outcome recorded in the store, if known.
    pub decided: Option<End>,
}

impl Progress {
    /// Merges the progress of another process.
    pub fn merge(&mut self, other: &Progress) {
        let rollbacks = [&self.withdrawn, &other.withdrawn];
        self.withdrawn = rollbacks.into_iter().flatten().min().cloned();
        self.proven = self.proven.max(other.proven);
        self.decided = self.decided.or(other.decided);
    }

    /// Returns whether all steps of a plan are proven.
    pub fn is_proven(&self, plan: &Plan) -> bool {
        self.proven >= plan.steps.len()
    }
}

/// Returns the candidate's share of traffic, in thousandths.
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

/// Returns the index of the current step, or `None` before the first step starts.
pub fn current_step(plan: &Plan, progress: &Progress, now: Time) -> Option<usize> {
    let begun = plan
        .steps
        .partition_point(|step| step.not_before.is_past(now));
    begun
        .checked_sub(1)
        .map(|latest| latest.min(progress.proven))
}

/// Assigns a request to a version by the hash of its key.
///
/// A key that is assigned to the candidate stays there while the share rises.
pub fn side(plan: &Plan, share: u16, key: &[u8]) -> Side {
    let seed = xxhash_rust::xxh3::xxh3_64(plan.name.as_bytes());
    let hash = xxhash_rust::xxh3::xxh3_64_with_seed(key, seed);
    match hash % u64::from(WHOLE_SHARE) < u64::from(share) {
        true => Side::Candidate,
        false => Side::Baseline,
    }
}

fn scheduled_share(plan: &Plan, now: Time) -> u16 {
    let begun = plan
        .steps
        .iter()
        .take_while(|step| step.not_before.is_past(now));
    begun.last().map_or(0, |step| step.share)
}
