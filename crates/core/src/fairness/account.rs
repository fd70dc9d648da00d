//! The account of one workspace and what it has waiting.

use std::collections::BTreeSet;

use super::Ticket;

/// Counter units for one token at weight 1; keeps fractions at high weights.
const UNITS_PER_TOKEN: u64 = 1_000;

/// What is held of a workspace that waits, runs or owes.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) weight: u32,
    pub(super) counter: u64,
    pub(super) running: u32,
    /// One for each priority at which it waits, sorted by priority.
    pub(super) lanes: Vec<Lane>,
}

/// The waiting requests of one workspace at one priority.
#[derive(Clone, Debug)]
pub(super) struct Lane {
    pub(super) priority: u8,
    /// Counter units that the waiting requests will cost at least.
    pub(super) backlog: u64,
    pub(super) waiting: BTreeSet<Ticket>,
}

impl Account {
    pub(super) fn lane(&self, priority: u8) -> Option<&Lane> {
        let at = self
            .lanes
            .binary_search_by_key(&priority, |lane| lane.priority)
            .ok()?;
        self.lanes.get(at)
    }

    pub(super) fn excess(&self, lane: &Lane) -> u64 {
        self.counter.saturating_add(lane.backlog)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.lanes.is_empty() && self.running == 0
    }

    pub(super) fn enqueue(&mut self, priority: u8, ticket: Ticket, tokens: u64) {
        let at = match self
            .lanes
            .binary_search_by_key(&priority, |lane| lane.priority)
        {
            Ok(at) => at,
            Err(at) => {
                let lane = Lane {
                    priority,
                    backlog: 0,
                    waiting: BTreeSet::new(),
                };
                self.lanes.insert(at, lane);
                at
            }
        };
        self.lanes[at].backlog += cost(tokens, self.weight);
        self.lanes[at].waiting.insert(ticket);
    }

    pub(super) fn dequeue(&mut self, priority: u8, ticket: Ticket, tokens: u64) {
        let Ok(at) = self
            .lanes
            .binary_search_by_key(&priority, |lane| lane.priority)
        else {
            return;
        };
        let lane = &mut self.lanes[at];
        lane.waiting.remove(&ticket);
        lane.backlog = lane.backlog.saturating_sub(cost(tokens, self.weight));
        if lane.waiting.is_empty() {
            self.lanes.remove(at);
        }
    }
}

pub(super) fn cost(tokens: u64, weight: u32) -> u64 {
    tokens.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}
