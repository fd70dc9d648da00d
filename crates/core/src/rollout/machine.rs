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

/// How long traffic stays in a step before it can be proven, in milliseconds; less than
/// the shortest time between two steps.
const MIN_SOAK_MS: u64 = 20_000;
/// The time over which the processes of a site spread their writes of an outcome, in
/// milliseconds.
const RECORD_JITTER_MS: u64 = 5_000;

/// One plan as one process runs it.
///
/// A process that has just started knows nothing of a withdrawal, so it gives the
/// new version no traffic until it has heard of the plan from a peer or the store
/// ([`Rollout::receive`], [`Rollout::decide`]), or its driver has found that
/// nobody knows more ([`Rollout::inform`]).
///
/// Events go in by the methods, and [`Rollout::tick`] returns what to do. The
/// driver calls it about once a second and after each message.
#[derive(Clone, Debug)]
pub struct Rollout {
    plan: Arc<Plan>,
    process: Arc<str>,
    config: judge::Config,
    progress: Progress,
    recorder: Recorder,
    tally: Tally,
    /// The step that traffic is in here, and since when.
    entered: Option<(usize, Time)>,
    /// Whether a withdrawal would be known here.
    is_synced: bool,
    /// When this process may write the outcome that it sees.
    record_at: Option<Time>,
}

/// What a process tells its peers of a plan.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The plan.
    pub plan: Arc<str>,
    /// What the process knows.
    pub progress: Progress,
    /// What it has counted itself.
    pub report: Report,
}

/// What the driver must do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Tell the peers at once rather than with the next regular message.
    Publish,
    /// Write the outcome where none stands, and pass what stands then to [`Rollout::decide`].
    Record(Outcome),
}

impl Rollout {
    /// Returns a plan of which nothing is known.
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

    /// Returns what is known.
    pub fn progress(&self) -> &Progress {
        &self.progress
    }

    /// Returns the share of the new version, in thousandths.
    pub fn share(&self, now: Time) -> u16 {
        match self.is_synced {
            true => share(&self.plan, &self.progress, now),
            false => 0,
        }
    }

    /// Returns the side of a request.
    pub fn side(&self, key: &[u8], now: Time) -> Side {
        side(&self.plan, self.share(now), key)
    }

    /// Returns the version that a request goes to.
    pub fn version(&self, key: &[u8], now: Time) -> &Arc<str> {
        match self.side(key, now) {
            Side::Old => &self.plan.from,
            Side::New => &self.plan.to,
        }
    }

    /// Returns what to tell the peers.
    pub fn message(&self) -> Message {
        Message {
            plan: self.plan.name.clone(),
            progress: self.progress.clone(),
            report: self.recorder.report().clone(),
        }
    }

    /// Counts an answer.
    pub fn record(&mut self, sample: &Sample, now: Time) {
        let step = current_step(&self.plan, &self.progress, now).unwrap_or(0);
        self.recorder.record(sample, step, now);
    }

    /// Notes that neither the peers nor the store know more of the plan.
    pub fn inform(&mut self) {
        self.is_synced = true;
    }

    /// Takes in what a peer tells; a message of another plan is passed over.
    pub fn receive(&mut self, message: &Message) {
        if message.plan != self.plan.name {
            return;
        }
        self.learn(&message.progress);
        self.count(&message.report);
    }

    /// Takes in what another process knows of the plan.
    pub fn learn(&mut self, progress: &Progress) {
        self.is_synced = true;
        self.progress.merge(progress);
    }

    /// Takes in what another process has counted.
    pub fn count(&mut self, report: &Report) {
        self.tally.merge(report);
    }

    /// Takes in the outcome that the store holds.
    pub fn decide(&mut self, outcome: &Outcome) {
        let decided = Progress {
            decided: Some(outcome.end),
            ..Progress::default()
        };
        self.progress.merge(&decided);
        self.is_synced = true;
    }

    /// Judges the evidence and returns what to do.
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

    /// Spreads the writes of one outcome over the processes, and repeats them while it is unknown.
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

    /// Notes when traffic entered its step.
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
