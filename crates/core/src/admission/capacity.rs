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

/// The longest expected lag of a report.
const MAX_LAG: Duration = Duration::from_secs(6);
/// The time that one entry of the history covers.
const RECORD_SPACING: Duration = Duration::from_millis(250);
/// The share of the memory that the engine itself keeps free.
const RESERVED_SHARE: f64 = 0.01;
/// The lower bound of the capacity factor after preemptions.
const MIN_LEARNED: f64 = 0.7;
/// The increase of the capacity factor per completed run.
const RECOVERY: f64 = 0.000_2;

/// The maximum memory of all runs in one interval of the history.
#[derive(Clone, Copy, Debug)]
struct Held {
    from: Time,
    most: u64,
}

/// The estimate of the memory that runs may use.
#[derive(Clone, Debug)]
pub(super) struct Capacity {
    reported: u64,
    largest: u64,
    backoff: f64,
    /// The factor on the reported capacity, reduced by preemptions.
    learned: f64,
    incarnation: Option<u64>,
    preemptions: u64,
    /// The memory in use by clients other than the agent, in tokens.
    hidden: u64,
    /// The memory of all runs over the longest report lag, oldest first.
    history: VecDeque<Held>,
}

impl Capacity {
    pub(super) fn new(tokens: u64, backoff: f64) -> Capacity {
        Capacity {
            reported: tokens,
            largest: tokens,
            backoff,
            learned: 1.0,
            incarnation: None,
            preemptions: 0,
            hidden: 0,
            history: VecDeque::new(),
        }
    }

    /// Returns the memory that runs may use, in tokens.
    pub(super) fn usable(&self) -> u64 {
        let share = self.learned * (1.0 - RESERVED_SHARE);
        ((self.reported as f64 * share) as u64).saturating_sub(self.hidden)
    }

    /// Returns the largest capacity that the endpoint has reported, in tokens, or
    /// [`u64::MAX`] before the first report.
    pub(super) const fn largest(&self) -> u64 {
        match self.incarnation {
            Some(_) => self.largest,
            None => u64::MAX,
        }
    }

    /// Returns the memory in use by clients other than the agent, in tokens.
    pub(super) const fn hidden(&self) -> u64 {
        self.hidden
    }

    /// Returns whether a report comes from another incarnation of the engine.
    pub(super) fn is_new_incarnation(&self, report: &Report) -> bool {
        self.incarnation
            .is_some_and(|incarnation| incarnation != report.incarnation)
    }

    /// Records the memory of all runs, for comparison with later reports.
    pub(super) fn record(&mut self, now: Time, held: u64) {
        match self.history.back_mut() {
            Some(last) if now.since(last.from) < RECORD_SPACING => last.most = last.most.max(held),
            _ => self.history.push_back(Held {
                from: now,
                most: held,
            }),
        }
        while self
            .history
            .front()
            .is_some_and(|oldest| now.since(oldest.from) > MAX_LAG)
        {
            self.history.pop_front();
        }
    }

    /// Applies a report while all runs together use `held` tokens.
    pub(super) fn report(&mut self, now: Time, report: &Report, held: u64) {
        self.record(now, held);
        if self.is_new_incarnation(report) {
            self.preemptions = 0;
            self.learned = 1.0;
        }
        if self.incarnation.is_none() {
            self.largest = 0;
            self.preemptions = report.preemptions;
        }
        self.incarnation = Some(report.incarnation);
        self.reported = report.capacity_tokens;
        self.largest = self.largest.max(report.capacity_tokens);
        if report.preemptions > self.preemptions {
            self.learned = (self.learned * self.backoff).max(MIN_LEARNED);
        }
        self.preemptions = report.preemptions;
        let most = self.history.iter().map(|held| held.most).max();
        let hidden = report.used_tokens.saturating_sub(most.unwrap_or(held));
        // A single low report does not prove that other clients have freed their
        // memory, so the estimate falls by at most half per report.
        self.hidden = hidden.max(self.hidden / 2);
    }

    /// Raises the capacity factor after a completed run.
    pub(super) fn recover(&mut self) {
        self.learned = (self.learned + RECOVERY).min(1.0);
    }
}
