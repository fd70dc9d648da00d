use std::{collections::VecDeque, time::Duration};

use cactusroad_core::Time;
use rand::Rng as _;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};

use super::memory::Change;

/// A load report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The incarnation of the engine.
    pub incarnation: u64,
    /// The memory, in blocks.
    pub blocks_total: u64,
    /// Blocks in use by running generations.
    pub blocks_used: u64,
    /// Tokens per block.
    pub block_tokens: u64,
    /// Running generations.
    pub running: u64,
    /// Generations in the queue.
    pub waiting: u64,
    /// Generations preempted since the engine started.
    pub preemptions: u64,
}

/// The event of a change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// The number of the event; a gap in the numbers is a lost event.
    pub sequence: u64,
    /// The hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was added; otherwise it was evicted.
    pub held: bool,
}

/// The most cache events kept for readers; the oldest are dropped.
const MAX_EVENTS: usize = 4_096;

/// Publishes load reports with a lag, and cache events with a lag and gaps.
#[derive(Clone, Debug)]
pub(super) struct Publisher {
    rng: ChaCha8Rng,
    next_report_at: Time,
    /// Reports, each with the time from which it is visible.
    reports: VecDeque<(Time, Load)>,
    /// The last report removed from `reports`.
    visible: Load,
    /// The number of the last event, lost events included.
    sequence: u64,
    /// The events that were not lost, each with the time from which it is visible.
    events: VecDeque<(Time, CacheEvent)>,
}

impl Publisher {
    pub(super) fn new(rng: ChaCha8Rng, now: Time, load: Load) -> Publisher {
        Publisher {
            rng,
            next_report_at: now,
            reports: VecDeque::new(),
            visible: load,
            sequence: 0,
            events: VecDeque::new(),
        }
    }

    /// Records a load report if one is due, with a random lag between the two of `lag`.
    pub(super) fn record(
        &mut self,
        now: Time,
        load: Load,
        interval: Duration,
        lag: (Duration, Duration),
    ) {
        while self.reports.front().is_some_and(|(at, _)| at.is_past(now)) {
            if let Some((_, report)) = self.reports.pop_front() {
                self.visible = report;
            }
        }
        if !self.next_report_at.is_past(now) {
            return;
        }
        self.next_report_at = now + interval;
        let lag = lag.0 + (lag.1.saturating_sub(lag.0)).mul_f64(self.rng.random::<f64>());
        let last = self.reports.back().map_or(Time::ZERO, |(at, _)| *at);
        self.reports.push_back(((now + lag).max(last), load));
    }

    /// Records changes of the cache as events and loses a share `loss` of them.
    pub(super) fn record_changes(
        &mut self,
        now: Time,
        changes: &mut Vec<Change>,
        lag: Duration,
        loss: f64,
    ) {
        for change in changes.drain(..) {
            self.sequence += 1;
            if self.rng.random::<f64>() < loss {
                continue;
            }
            let event = CacheEvent {
                sequence: self.sequence,
                prefix: change.prefix,
                held: change.added,
            };
            self.events.push_back((now + lag, event));
        }
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Returns the latest report that is visible at `now`.
    pub(super) fn load(&self, now: Time) -> Load {
        self.reports
            .iter()
            .take_while(|(at, _)| at.is_past(now))
            .last()
            .map_or(self.visible, |(_, load)| *load)
    }

    /// Returns the events after `sequence` that are visible at `now`.
    pub(super) fn events(&self, now: Time, sequence: u64) -> Vec<CacheEvent> {
        self.events
            .iter()
            .filter(|(at, event)| at.is_past(now) && event.sequence > sequence)
            .map(|(_, event)| *event)
            .collect()
    }
}
