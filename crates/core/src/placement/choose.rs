//! Endpoint selection for one request.

use std::sync::Arc;

use super::{
    Choice, Reason, Request, Table,
    endpoint::Endpoint,
    pool::{self, Pool},
};
use crate::Time;

/// Maximum random draws per request; if none finds a usable endpoint, the subset is
/// scanned in order.
const MAX_DRAWS: u64 = 8;

/// Seeds that make the draws and the start of the scan independent, though both
/// derive from the request's one random number: the ASCII codes of `draw` and `scan`.
const DRAW_SEED: u64 = 0x64_72_61_77;
const SCAN_SEED: u64 = 0x73_63_61_6e;

impl Table {
    /// Chooses an endpoint for a request by affinity, then by headroom, then by a scan.
    ///
    /// Returns `None` if the version has no pool or the request has tried every endpoint
    /// in it. `random` selects the endpoints whose load is compared.
    pub fn choose(&self, request: &Request<'_>, random: u64, now: Time) -> Option<Choice> {
        let pool = self.pool(request.version)?;
        let least_loaded = self.choose_by_headroom(pool, request, random, now);
        if let Some(index) = self.choose_by_affinity(pool, request, least_loaded, now) {
            return Some(self.choice(index, Reason::Affinity, now));
        }
        if let Some(index) = least_loaded {
            return Some(self.choice(index, Reason::Headroom, now));
        }
        let index = self.choose_fallback(pool, request, random, now)?;
        Some(self.choice(index, Reason::Fallback, now))
    }

    /// Chooses the endpoint that an idempotency key maps to.
    ///
    /// Entries that know the same endpoints choose the same one. Reported load and
    /// ejections are ignored, because a retry that went to another agent would miss
    /// the one that stores its answer. Returns `None` if the version has no pool, or if
    /// each endpoint compared for the key was tried or is in a data centre that has not
    /// returned yet.
    pub fn choose_keyed(&self, request: &Request<'_>, key: u64, now: Time) -> Option<Choice> {
        let pool = self.pool(request.version)?;
        let index = pool
            .window(key)
            .filter(|&index| {
                let endpoint = &self.endpoints[index as usize];
                !endpoint.is_before_return(now) && !is_tried(endpoint, request.tried)
            })
            .max_by_key(|&index| pool::rendezvous(self.endpoints[index as usize].hash, key))?;
        Some(self.choice(index, Reason::Key, now))
    }

    fn choice(&self, index: u32, reason: Reason, now: Time) -> Choice {
        let endpoint = &self.endpoints[index as usize];
        Choice {
            endpoint: Arc::clone(&endpoint.name),
            incarnation: endpoint.incarnation,
            data_centre: Arc::clone(&endpoint.data_centre),
            load: endpoint.load(&self.config, now),
            reason,
        }
    }

    fn is_usable(&self, index: u32, request: &Request<'_>, now: Time) -> bool {
        let endpoint = &self.endpoints[index as usize];
        let is_excluded = endpoint.is_ejected(now) || endpoint.is_before_return(now);
        !is_excluded && !is_tried(endpoint, request.tried)
    }

    fn cost(&self, index: u32, now: Time) -> f64 {
        self.endpoints[index as usize].cost(&self.config, now)
    }

    /// Returns the least loaded of [`Config::choices`](super::Config::choices) usable
    /// endpoints drawn at random from the subset.
    fn choose_by_headroom(
        &self,
        pool: &Pool,
        request: &Request<'_>,
        random: u64,
        now: Time,
    ) -> Option<u32> {
        let subset = pool.subset();
        let mut least_loaded: Option<(f64, u32)> = None;
        let mut usable = 0;
        for draw in 0..MAX_DRAWS {
            let hash = pool::rendezvous(DRAW_SEED ^ draw, random);
            let index = subset[pool::scale(hash, subset.len())];
            if least_loaded.is_some_and(|(_, seen)| seen == index)
                || !self.is_usable(index, request, now)
            {
                continue;
            }
            let cost = self.cost(index, now);
            if least_loaded.is_none_or(|(least_cost, _)| cost < least_cost) {
                least_loaded = Some((cost, index));
            }
            usable += 1;
            if usable == self.config.choices.max(1) {
                break;
            }
        }
        least_loaded.map(|(_, index)| index)
    }

    /// Returns the endpoint most likely to cache the prompt's prefix whose load is
    /// within the affinity bound.
    fn choose_by_affinity(
        &self,
        pool: &Pool,
        request: &Request<'_>,
        least_loaded: Option<u32>,
        now: Time,
    ) -> Option<u32> {
        let blocks = request.prefixes.len().min(self.config.affinity_blocks);
        let &key = request.prefixes[..blocks].last()?;
        let compared_cost = least_loaded.map_or(0.0, |index| self.cost(index, now));
        let relative = compared_cost * self.config.affinity_factor + self.config.affinity_slack;
        let bound = self.config.affinity_bound.min(relative);
        let mut previous_rank = u64::MAX;
        for _ in 0..self.config.affinity {
            let (rank, index) = pool
                .subset_window(key)
                .map(|index| {
                    (
                        pool::rendezvous(self.endpoints[index as usize].hash, key),
                        index,
                    )
                })
                .filter(|&(rank, _)| rank < previous_rank)
                .max()?;
            previous_rank = rank;
            if self.is_usable(index, request, now) && self.cost(index, now) <= bound {
                return Some(index);
            }
        }
        None
    }

    /// Returns a usable endpoint of the subset or, failing that, of the rest of the pool.
    ///
    /// If there is none, returns any endpoint not yet tried, even if it is ejected or its
    /// data centre has not returned: when all are ejected, the evidence against them is
    /// suspect.
    fn choose_fallback(
        &self,
        pool: &Pool,
        request: &Request<'_>,
        random: u64,
        now: Time,
    ) -> Option<u32> {
        let subset_len = pool.subset().len();
        let (inner, outer) = pool.members().split_at(subset_len);
        [inner, outer]
            .into_iter()
            .find_map(|part| {
                rotate(part, random).find(|&index| self.is_usable(index, request, now))
            })
            .or_else(|| {
                rotate(pool.members(), random)
                    .find(|&index| !is_tried(&self.endpoints[index as usize], request.tried))
            })
    }
}

fn is_tried(endpoint: &Endpoint, tried: &[Arc<str>]) -> bool {
    tried.contains(&endpoint.name)
}

/// Iterates over all of `part`, starting at a random position and wrapping around.
fn rotate(part: &[u32], random: u64) -> impl Iterator<Item = u32> {
    let start = pool::scale(pool::rendezvous(SCAN_SEED, random), part.len());
    let (head, tail) = part.split_at(start);
    tail.iter().chain(head).copied()
}
