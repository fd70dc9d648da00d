//! The state machine of one plan in one process.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use super::{
    End, Outcome, Progress, Reason, Rollback, Side, current_step,
    evidence::{Recorder, Report, Sample, Tally},
    judge::{self, Verdict},
    share, side,
};
use crate::{Time, config::Plan, id::Incarnation};

/// How long after the deadline a proof that was made before it may still arrive, in milliseconds.
const PROOF_GRACE_MS: u64 = 5_000;

/// The shortest time in a step before the step can be proven, in milliseconds; less than the
/// shortest time between two steps.
const MIN_SOAK_MS: u64 = 20_000;
/// The largest jitter of a write of the outcome, in milliseconds, so that the processes do not
/// all write at once.
const RECORD_JITTER_MS: u64 = 5_000;

/// The state of one plan in one process, as a state machine without I/O.
///
/// A process that has just started does not know of an earlier rollback. It therefore
/// sends the candidate no traffic until it has received the plan's state from a peer
/// or the store ([`Rollout::receive`], [`Rollout::merge_progress`],
/// [`Rollout::apply_outcome`]), or its driver has found that nobody else knows more
/// ([`Rollout::mark_synced`]).
///
/// The methods take events, and [`Rollout::tick`] returns the actions to perform. The
/// driver calls it about once a second and after each message.
#[derive(Clone, Debug)]
pub struct Rollout {
    plan: Arc<Plan>,
    process: Arc<str>,
    config: judge::Config,
    progress: Progress,
    recorder: Recorder,
    tally: Tally,
    /// The current step in this process, and when it began here.
    entered: Option<(usize, Time)>,
    /// Whether this process would know of an earlier rollback.
    is_synced: bool,
    /// When this process may write the outcome that it proposes.
    record_at: Option<Time>,
}

/// The state of a plan that a process sends to its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The name of the plan.
    pub plan: Arc<str>,
    /// The progress that the process knows.
    pub progress: Progress,
    /// The requests that the process itself has counted.
    pub report: Report,
}

/// An action for the driver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send [`Rollout::message`] to the peers now, ahead of the next regular message.
    Publish,
    /// Write the outcome to the store unless it holds one, and pass the stored outcome to
    /// [`Rollout::apply_outcome`].
    Record(Outcome),
}

impl Rollout {
    /// Returns the state of a plan without any progress or evidence.
    pub fn new(
        plan: Arc<Plan>,
        process: Arc<str>,
        incarnation: Incarnation,
        config: judge::Config,
    ) -> Rollout {
        Rollout {
            recorder: Recorder::new(process.clone(), incarnation),
            plan,
            process,
            config,
            progress: Progress::default(),
            tally: Tally::default(),
            entered: None,
            is_synced: false,
            record_at: None,
        }
    }

    /// Returns the plan.
    pub fn plan(&self) -> &Plan {
        &self.plan
    }

    /// Returns the progress that this process knows.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Returns the candidate's share of traffic in this process, in thousandths.
    pub fn share(&self, now: Time) -> u16 {
        match self.is_synced {
            true => share(&self.plan, &self.progress, now),
            false => 0,
        }
    }

    /// Assigns a request to the baseline or the candidate by its key.
    pub fn side(&self, key: &[u8], now: Time) -> Side {
        side(&self.plan, self.share(now), key)
    }

    /// Returns the name of the version that a request is assigned to.
    pub fn version(&self, key: &[u8], now: Time) -> &Arc<str> {
        match self.side(key, now) {
            Side::Baseline => &self.plan.from,
            Side::Candidate => &self.plan.to,
        }
    }

    /// Returns the message for the peers.
    pub fn message(&self) -> Message {
        Message {
            plan: self.plan.name.clone(),
            progress: self.progress.clone(),
            report: self.recorder.report().clone(),
        }
    }

    /// Counts a request that ended at `now`.
    pub fn record(&mut self, sample: &Sample, now: Time) {
        let step = current_step(&self.plan, &self.progress, now).unwrap_or(0);
        self.recorder.record(sample, step, now);
    }

    /// Marks this process as up to date: neither the peers nor the store know more of the plan.
    pub fn mark_synced(&mut self) {
        self.is_synced = true;
    }

    /// Merges the message of a peer; a message about another plan is ignored.
    pub fn receive(&mut self, message: &Message) {
        if message.plan != self.plan.name {
            return;
        }
        self.merge_progress(&message.progress);
        self.merge_report(&message.report);
    }

    /// Merges the progress of another process, and marks this process as up to date.
    pub fn merge_progress(&mut self, progress: &Progress) {
        self.is_synced = true;
        self.progress.merge(progress);
    }

    /// Merges the request counts of another process.
    pub fn merge_report(&mut self, report: &Report) {
        self.tally.merge(report);
    }

    /// Applies the outcome that the store holds, and marks this process as up to date.
    pub fn apply_outcome(&mut self, outcome: &Outcome) {
        let decided = Progress {
            decided: Some(outcome.end),
            ..Progress::default()
        };
        self.progress.merge(&decided);
        self.is_synced = true;
    }

    /// Evaluates the evidence and returns the actions to perform.
    pub fn tick(&mut self, now: Time) -> Vec<Action> {
        if self.progress.decided.is_some() {
            return Vec::new();
        }
        let before = self.progress.clone();
        self.tally.merge(self.recorder.report());
        if let Some(step) = self.track_step(now) {
            self.apply_verdict(step, now);
        }
        let mut actions = Vec::new();
        if self.progress != before {
            actions.push(Action::Publish);
        }
        if let Some(outcome) = self.proposed_outcome(now)
            && self.record_is_due(now)
        {
            actions.push(Action::Record(outcome));
        }
        actions
    }

    /// Returns whether to write the outcome now.
    ///
    /// A hash of the process name gives the jitter. The write is repeated until the stored
    /// outcome is known.
    fn record_is_due(&mut self, now: Time) -> bool {
        let hash = xxhash_rust::xxh3::xxh3_64(self.process.as_bytes());
        let jitter = Duration::from_millis(hash % RECORD_JITTER_MS);
        let max_jitter = Duration::from_millis(RECORD_JITTER_MS);
        match self.record_at {
            None => self.record_at = Some(now + jitter),
            Some(at) if at.is_past(now) => {
                self.record_at = Some(now + max_jitter + jitter);
                return true;
            }
            Some(_) => {}
        }
        false
    }

    /// Updates the current step and when it began.
    fn track_step(&mut self, now: Time) -> Option<(usize, Time)> {
        let step = current_step(&self.plan, &self.progress, now)?;
        match self.entered {
            Some((entered, _)) if entered == step => {}
            _ => self.entered = Some((step, now)),
        }
        self.entered
    }

    fn apply_verdict(&mut self, (step, since): (usize, Time), now: Time) {
        let sum = self.tally.sum(step, now);
        let has_soaked = since + Duration::from_millis(MIN_SOAK_MS) <= now;
        match judge::judge(&self.config, &sum) {
            Verdict::Bad(reason) => self.roll_back(reason, now),
            Verdict::Proven if has_soaked && !self.plan.deadline.is_past(now) => {
                self.progress.proven = self.progress.proven.max(step + 1);
            }
            Verdict::Proven | Verdict::Inconclusive => {}
        }
    }

    fn roll_back(&mut self, reason: Reason, now: Time) {
        let rollback = Rollback {
            at: now,
            by: self.process.clone(),
            reason,
        };
        let found = Progress {
            withdrawn: Some(rollback),
            ..Progress::default()
        };
        self.progress.merge(&found);
    }

    fn proposed_outcome(&self, now: Time) -> Option<Outcome> {
        let proof_cutoff = self.plan.deadline + Duration::from_millis(PROOF_GRACE_MS);
        let (end, reason) = if let Some(rollback) = &self.progress.withdrawn {
            (End::Reversed, Some(rollback.reason))
        } else if self.progress.is_proven(&self.plan) {
            (End::Done, None)
        } else if proof_cutoff.is_past(now) {
            (End::Reversed, Some(Reason::DeadlineMissed))
        } else {
            return None;
        };
        Some(Outcome {
            end,
            reason,
            at: now,
            author: self.process.clone(),
        })
    }
}
