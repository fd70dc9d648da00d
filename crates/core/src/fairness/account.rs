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
    pub(super) flows: Vec<Flow>,
}

/// The waiting requests of one workspace at one priority.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) priority: u8,
    /// Counter units that the waiting requests will cost at least.
    pub(super) backlog: u64,
    pub(super) waiting: BTreeSet<Ticket>,
}

impl Account {
    pub(super) fn flow(&self, priority: u8) -> Option<&Flow> {
        let index = self
            .flows
            .binary_search_by_key(&priority, |flow| flow.priority)
            .ok()?;
        self.flows.get(index)
    }

    pub(super) fn projected_counter(&self, flow: &Flow) -> u64 {
        self.counter.saturating_add(flow.backlog)
    }

    pub(super) fn is_idle(&self) -> bool {
        self.flows.is_empty() && self.running == 0
    }

    pub(super) fn enqueue(&mut self, priority: u8, ticket: Ticket, tokens: u64) {
        let index = match self
            .flows
            .binary_search_by_key(&priority, |flow| flow.priority)
        {
            Ok(index) => index,
            Err(index) => {
                let flow = Flow {
                    priority,
                    backlog: 0,
                    waiting: BTreeSet::new(),
                };
                self.flows.insert(index, flow);
                index
            }
        };
        self.flows[index].backlog += cost(tokens, self.weight);
        self.flows[index].waiting.insert(ticket);
    }

    pub(super) fn dequeue(&mut self, priority: u8, ticket: Ticket, tokens: u64) {
        let Ok(index) = self
            .flows
            .binary_search_by_key(&priority, |flow| flow.priority)
        else {
            return;
        };
        let flow = &mut self.flows[index];
        flow.waiting.remove(&ticket);
        flow.backlog = flow.backlog.saturating_sub(cost(tokens, self.weight));
        if flow.waiting.is_empty() {
            self.flows.remove(index);
        }
    }
}

pub(super) fn cost(tokens: u64, weight: u32) -> u64 {
    tokens.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}
