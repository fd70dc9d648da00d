//! The home's side: granting leases on parts of a limit.

use std::{sync::Arc, time::Duration};

use super::{Config, Lease, Renewal};
use crate::Time;

/// Grants the leases of the workspaces whose home is this entry.
#[derive(Clone, Debug)]
pub struct Lessor {
    config: Config,
    /// Sorted by workspace.
    allocations: Vec<Allocation>,
}

/// The leases granted for one workspace.
#[derive(Clone, Debug)]
struct Allocation {
    workspace: Arc<str>,
    /// When this home granted its first lease; for the duration of a lease after that,
    /// leases of an earlier home may be in force.
    created_at: Time,
    /// Sorted by process.
    holders: Vec<Holder>,
}

/// An entry that holds a lease.
#[derive(Clone, Debug)]
struct Holder {
    process: Arc<str>,
    /// The reported demand, in tokens per second.
    demand: f64,
    /// The granted rate, in tokens per second.
    rate: f64,
    until: Time,
}

impl Lessor {
    /// Creates a lessor without leases.
    pub fn new(config: Config) -> Lessor {
        Lessor {
            config,
            allocations: Vec::new(),
        }
    }

    /// Grants a lease in proportion to demand, limited to what the leases of other
    /// entries leave of the limit.
    pub fn lease(&mut self, renewal: &Renewal, now: Time) -> Lease {
        let lease_duration = Duration::from_millis(self.config.lease_ms);
        let found = self
            .allocations
            .binary_search_by(|allocation| allocation.workspace.cmp(&renewal.workspace));
        let index = found.unwrap_or_else(|index| {
            self.allocations
                .insert(index, Allocation::new(renewal, now));
            index
        });
        let allocation = &mut self.allocations[index];
        allocation.expire(now);
        let other_holders = allocation
            .holders
            .iter()
            .filter(|holder| holder.process != renewal.process);
        let (other_rate, other_demand) =
            other_holders.fold((0.0, 0.0), |(other_rate, other_demand), holder| {
                (other_rate + holder.rate, other_demand + holder.demand)
            });
        let limit = renewal.limit as f64;
        let demand = renewal.demand.max(1.0);
        let leasable = limit * (1.0 - self.config.reserve);
        let target = leasable * demand / (other_demand + demand);
        // A new home does not know yet which leases of its predecessor are in force, so
        // for the duration of a lease it grants an entry no more than it already holds.
        let is_recovering =
            renewal.held > 0.0 && !(allocation.created_at + lease_duration).is_past(now);
        let target = if is_recovering {
            target.min(renewal.held)
        } else {
            target
        };
        let rate = target.min(limit - other_rate).max(0.0);
        let until = now + lease_duration;
        allocation.set(Holder {
            process: Arc::clone(&renewal.process),
            demand,
            rate,
            until,
        });
        Lease {
            workspace: Arc::clone(&renewal.workspace),
            rate,
            until,
        }
    }

    /// Returns the sum of the unexpired leases of a workspace, in tokens per second.
    pub fn leased(&self, workspace: &str, now: Time) -> f64 {
        let found = self
            .allocations
            .binary_search_by(|allocation| (*allocation.workspace).cmp(workspace));
        let holders = found.map_or(&[][..], |index| &self.allocations[index].holders);
        let active = holders.iter().filter(|holder| !holder.until.is_past(now));
        active.map(|holder| holder.rate).sum()
    }

    /// Removes expired leases.
    pub fn expire(&mut self, now: Time) {
        for allocation in &mut self.allocations {
            allocation.expire(now);
        }
        self.allocations
            .retain(|allocation| !allocation.holders.is_empty());
    }
}

impl Allocation {
    fn new(renewal: &Renewal, now: Time) -> Allocation {
        Allocation {
            workspace: Arc::clone(&renewal.workspace),
            created_at: now,
            holders: Vec::new(),
        }
    }

    fn expire(&mut self, now: Time) {
        self.holders.retain(|holder| !holder.until.is_past(now));
    }

    fn set(&mut self, holder: Holder) {
        match self
            .holders
            .binary_search_by(|other| other.process.cmp(&holder.process))
        {
            Ok(index) => self.holders[index] = holder,
            Err(index) => self.holders.insert(index, holder),
        }
    }
}
