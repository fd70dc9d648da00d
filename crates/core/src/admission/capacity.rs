//! The estimate of the memory that runs may use, from the engine's load reports.

use std::{collections::VecDeque, time::Duration};

use crate::Time;

/// A load report of an engine, which may be several seconds old.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// The incarnation of the engine, which changes with each start.
    pub incarnation: u64,
    /// The total KV cache memory, in tokens.
    pub capacity_tokens: u64,
    /// The memory that all runs use, in tokens.
    pub used_tokens: u64,
    /// The number of preemptions since the engine started.
    pub preemptions: u64,
}

/// The longest expected lag of a report; older samples of the history are dropped.
const MAX_REPORT_LAG: Duration = Duration::from_secs(6);
/// The time that one sample of the history covers.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(250);
/// The share of the memory that the engine itself keeps free.
const RESERVED_SHARE: f64 = 0.01;
/// The lower bound of [`Capacity::preemption_factor`].
const MIN_PREEMPTION_FACTOR: f64 = 0.7;
/// The increase of [`Capacity::preemption_factor`] per completed run.
const RECOVERY_STEP: f64 = 0.000_2;

/// The maximum memory of all runs in one interval of the history.
#[derive(Clone, Copy, Debug)]
struct Sample {
    since: Time,
    max_held: u64,
}

/// The estimate of the memory that runs may use.
#[derive(Clone, Debug)]
pub(super) struct Capacity {
    /// The capacity in the last report, in tokens.
    reported: u64,
    /// The largest capacity in any report, in tokens.
    largest: u64,
    /// The multiplier of `preemption_factor` after a report of new preemptions.
    backoff: f64,
    /// The factor on the reported capacity, reduced by preemptions.
    preemption_factor: f64,
    /// The incarnation in the last report, or `None` before the first one.
    incarnation: Option<u64>,
    /// The number of preemptions in the last report.
    preemptions: u64,
    /// The memory in use beyond that of the agent's runs, in tokens.
    foreign: u64,
    /// The memory of all runs over the longest report lag, oldest first.
    history: VecDeque<Sample>,
}

impl Capacity {
    pub(super) fn new(tokens: u64, backoff: f64) -> Capacity {
        Capacity {
            reported: tokens,
            largest: tokens,
            backoff,
            preemption_factor: 1.0,
            incarnation: None,
            preemptions: 0,
            foreign: 0,
            history: VecDeque::new(),
        }
    }

    /// Returns the memory that runs may use, in tokens.
    pub(super) fn usable(&self) -> u64 {
        let share = self.preemption_factor * (1.0 - RESERVED_SHARE);
        ((self.reported as f64 * share) as u64).saturating_sub(self.foreign)
    }

    /// Returns the largest capacity that the endpoint has reported, in tokens, or
    /// [`u64::MAX`] before the first report.
    pub(super) const fn largest(&self) -> u64 {
        match self.incarnation {
            Some(_) => self.largest,
            None => u64::MAX,
        }
    }

    /// Returns the memory in use beyond that of the agent's runs, in tokens.
    pub(super) const fn foreign(&self) -> u64 {
        self.foreign
    }

    /// Returns whether a report comes from another incarnation of the engine.
    pub(super) fn is_new_incarnation(&self, report: &Report) -> bool {
        self.incarnation
            .is_some_and(|incarnation| incarnation != report.incarnation)
    }

    /// Records the memory of all runs, for comparison with later reports.
    pub(super) fn record_held(&mut self, now: Time, held: u64) {
        match self.history.back_mut() {
            Some(last) if now.since(last.since) < SAMPLE_INTERVAL => {
                last.max_held = last.max_held.max(held)
            }
            _ => self.history.push_back(Sample {
                since: now,
                max_held: held,
            }),
        }
        while self
            .history
            .front()
            .is_some_and(|oldest| now.since(oldest.since) > MAX_REPORT_LAG)
        {
            self.history.pop_front();
        }
    }

    /// Applies a report while all runs together use `held` tokens.
    pub(super) fn report(&mut self, now: Time, report: &Report, held: u64) {
        self.record_held(now, held);
        if self.is_new_incarnation(report) {
            self.preemptions = 0;
            self.preemption_factor = 1.0;
        }
        if self.incarnation.is_none() {
            self.largest = 0;
            self.preemptions = report.preemptions;
        }
        self.incarnation = Some(report.incarnation);
        self.reported = report.capacity_tokens;
        self.largest = self.largest.max(report.capacity_tokens);
        if report.preemptions > self.preemptions {
            self.preemption_factor =
                (self.preemption_factor * self.backoff).max(MIN_PREEMPTION_FACTOR);
        }
        self.preemptions = report.preemptions;
        let max_held = self.history.iter().map(|sample| sample.max_held).max();
        let foreign = report.used_tokens.saturating_sub(max_held.unwrap_or(held));
        // A single low report does not prove that this memory is free again, so the
        // estimate falls by at most half per report.
        self.foreign = foreign.max(self.foreign / 2);
    }

    /// Raises `preemption_factor` after a completed run.
    pub(super) fn recover(&mut self) {
        self.preemption_factor = (self.preemption_factor + RECOVERY_STEP).min(1.0);
    }
}
