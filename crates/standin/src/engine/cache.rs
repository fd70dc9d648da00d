//! The prefix cache of an engine and the events that report its changes.

use std::{collections::VecDeque, time::Duration};

use tokio::time::Instant;

use cactusroad_core::placement::prefix_hashes;

use super::message::CacheEvent;

/// The most events kept for readers; the oldest are dropped.
const MAX_EVENTS: usize = 4_096;

#[derive(Debug, Default)]
pub(super) struct Cache {
    /// The maximum number of cached prefixes.
    capacity: usize,
    /// Hashes of the cached prefixes, oldest first.
    prefixes: VecDeque<u64>,
    /// The events that were not lost, each with the time from which readers see it.
    events: VecDeque<(Instant, CacheEvent)>,
    /// The number of the last event, lost events included.
    sequence: u64,
    /// The time from a change until readers see its event.
    lag: Duration,
    events_to_lose: u32,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Cache {
        Cache {
            capacity,
            ..Cache::default()
        }
    }

    pub(super) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Drops the next `count` events, which leaves a gap in the sequence.
    pub(super) fn lose_next(&mut self, count: u32) {
        self.events_to_lose = count;
    }

    /// Empties the cache without publishing events, like a restart.
    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
        self.events.clear();
    }

    /// Adds every prefix of a prompt, evicting the oldest prefixes beyond the capacity.
    pub(super) fn insert(&mut self, text: &str) {
        for prefix in prefix_hashes(text) {
            if self.prefixes.contains(&prefix) {
                continue;
            }
            self.prefixes.push_back(prefix);
            self.publish(prefix, true);
            if self.prefixes.len() > self.capacity {
                let evicted = self.prefixes.pop_front();
                evicted
                    .into_iter()
                    .for_each(|prefix| self.publish(prefix, false));
            }
        }
    }

    /// Returns the visible events after a sequence number.
    pub(super) fn events_after(&self, sequence: u64) -> Vec<CacheEvent> {
        let now = Instant::now();
        let visible = self.events.iter().filter(|(at, _)| *at <= now);
        visible
            .map(|(_, event)| *event)
            .filter(|event| event.sequence > sequence)
            .collect()
    }

    fn publish(&mut self, prefix: u64, held: bool) {
        self.sequence += 1;
        if self.events_to_lose > 0 {
            self.events_to_lose -= 1;
            return;
        }
        let event = CacheEvent {
            sequence: self.sequence,
            prefix,
            held,
        };
        self.events.push_back((Instant::now() + self.lag, event));
        if self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }
}
