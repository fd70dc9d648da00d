use std::{collections::VecDeque, time::Duration};

use crate::Time;

/// What an engine reports of itself; the report lags.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Tells one life of the engine from the next.
    pub incarnation: u64,
    /// The memory in all, in tokens.
    pub capacity_tokens: u64,
    /// The memory that running generations use, in tokens.
    pub used_tokens: u64,
    /// The generations preempted since the engine started.
    pub preemptions: u64,
}

/// The oldest report that is expected.
const MAX_LAG: Duration = Duration::from_secs(6);
/// The spacing of the record of what was held.
const RECORD_SPACING: Duration = Duration::from_millis(250);
/// The share of the memory that an engine keeps free itself.
const RESERVED_SHARE: f64 = 0.01;
/// The smallest share of the capacity that preemptions leave.
const MIN_LEARNED: f64 = 0.7;
/// What an ended generation gives back of the share that preemptions took.
const RECOVERY: f64 = 0.000_2;

/// The most that was held from one time to the next.
#[derive(Clone, Copy, Debug)]
struct Held {
    from: Time,
    most: u64,
}

/// The memory of the engine that admission may count on.
#[derive(Clone, Debug)]
pub(super) struct Capacity {
    reported: u64,
    largest: u64,
    backoff: f64,
    /// The share that preemptions have left.
    learned: f64,
    incarnation: Option<u64>,
    preemptions: u64,
    /// Memory that the agent did not give out.
    hidden: u64,
    /// Oldest first, over the longest lag.
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

    /// Returns the memory that may be used, in tokens.
    pub(super) fn usable(&self) -> u64 {
        let share = self.learned * (1.0 - RESERVED_SHARE);
        ((self.reported as f64 * share) as u64).saturating_sub(self.hidden)
    }

    /// Returns the most memory that the endpoint has reported, in tokens; without
    /// a report there is no bound.
    pub(super) const fn largest(&self) -> u64 {
        match self.incarnation {
            Some(_) => self.largest,
            None => u64::MAX,
        }
    }

    /// Returns the memory that somebody else uses, in tokens.
    pub(super) const fn hidden(&self) -> u64 {
        self.hidden
    }

    /// Tells whether a report comes from another life of the engine.
    pub(super) fn is_new_incarnation(&self, report: &Report) -> bool {
        self.incarnation
            .is_some_and(|incarnation| incarnation != report.incarnation)
    }

    /// Records what is held, against which later reports are read.
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

    /// Takes in a report, while `held` is held.
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
        // Memory of others goes as it came, but one low report does not prove it.
        self.hidden = hidden.max(self.hidden / 2);
    }

    /// Counts that a generation ended, which gives back a little of what
    /// preemptions took.
    pub(super) fn recover(&mut self) {
        self.learned = (self.learned + RECOVERY).min(1.0);
    }
}
