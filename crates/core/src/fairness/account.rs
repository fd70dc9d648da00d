//! Per-workspace state: the virtual token counter and the requests that wait.

use std::collections::BTreeSet;

use super::Ticket;

/// Counter units of one token at weight 1. Dividing a plain token count by a high
/// weight would lose the fraction.
const UNITS_PER_TOKEN: u64 = 1_000;

/// The state of a workspace that has requests waiting or running, or tokens charged
/// beyond the floor.
#[derive(Clone, Debug)]
pub(super) struct Account {
    pub(super) weight: u32,
    /// The virtual token counter, in counter units.
    pub(super) counter: u64,
    pub(super) running: u32,
    /// The flows with waiting requests, sorted by priority.
    pub(super) flows: Vec<Flow>,
}

/// The waiting requests of one workspace at one priority.
#[derive(Clone, Debug)]
pub(super) struct Flow {
    pub(super) priority: u8,
    /// The sum of the prompt costs of the waiting requests, each counted with at least
    /// [`Config::min_tokens`](super::Config::min_tokens), in counter units.
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

    /// Returns the counter as it would be once the waiting requests of a flow have
    /// been charged.
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

/// Converts tokens to counter units; a weight of 0 counts as 1.
pub(super) fn cost(tokens: u64, weight: u32) -> u64 {
    tokens.saturating_mul(UNITS_PER_TOKEN) / u64::from(weight.max(1))
}
