//! The choice for one request.

use std::sync::Arc;

use super::{
    Candidate, Reason, Request, Table,
    endpoint::Endpoint,
    pool::{self, Pool},
};
use crate::Time;

/// Draws for one choice before an entry looks at its subset in order.
const MAX_DRAWS: u64 = 8;

/// Seeds that separate the uses of one random number.
const DRAW_SEED: u64 = 0x64_72_61_77;
const SCAN_SEED: u64 = 0x73_63_61_6e;

impl Table {
    /// Chooses an endpoint, or returns `None` where each one was tried or none
    /// holds the version.
    ///
    /// `random` decides among endpoints that are equally good.
    pub fn choose(&self, request: &Request<'_>, random: u64, now: Time) -> Option<Candidate> {
        let pool = self.pool(request.version)?;
        let drawn = self.draw(pool, request, random, now);
        if let Some(at) = self.affine(pool, request, drawn, now) {
            return Some(self.candidate(at, Reason::Affinity, now));
        }
        if let Some(at) = drawn {
            return Some(self.candidate(at, Reason::Headroom, now));
        }
        let at = self.scan(pool, request, random, now)?;
        Some(self.candidate(at, Reason::Fallback, now))
    }

    /// Chooses the endpoint to which a key belongs, the same at each entry that
    /// knows the same endpoints.
    ///
    /// Reports and ejections have no say, because a repeat that went elsewhere
    /// would miss the agent that holds its answer.
    pub fn choose_keyed(&self, request: &Request<'_>, key: u64, now: Time) -> Option<Candidate> {
        let pool = self.pool(request.version)?;
        let at = pool
            .window(key)
            .filter(|&at| {
                let endpoint = &self.endpoints[at as usize];
                !endpoint.is_awaited(now) && !is_tried(endpoint, request.tried)
            })
            .max_by_key(|&at| pool::rendezvous(self.endpoints[at as usize].hash, key))?;
        Some(self.candidate(at, Reason::Key, now))
    }

    fn candidate(&self, at: u32, reason: Reason, now: Time) -> Candidate {
        let endpoint = &self.endpoints[at as usize];
        Candidate {
            endpoint: Arc::clone(&endpoint.name),
            incarnation: endpoint.incarnation,
            data_centre: Arc::clone(&endpoint.data_centre),
            load: endpoint.load(&self.config, now),
            reason,
        }
    }

    fn is_usable(&self, at: u32, request: &Request<'_>, now: Time) -> bool {
        let endpoint = &self.endpoints[at as usize];
        let is_kept_out = endpoint.is_ejected(now) || endpoint.is_awaited(now);
        !is_kept_out && !is_tried(endpoint, request.tried)
    }

    fn cost(&self, at: u32, now: Time) -> f64 {
        self.endpoints[at as usize].cost(&self.config, now)
    }

    /// Returns the least loaded of a few endpoints drawn from the subset.
    fn draw(&self, pool: &Pool, request: &Request<'_>, random: u64, now: Time) -> Option<u32> {
        let subset = pool.subset();
        let mut drawn: Option<(f64, u32)> = None;
        let mut found = 0;
        for turn in 0..MAX_DRAWS {
            let hash = pool::rendezvous(DRAW_SEED ^ turn, random);
            let at = subset[pool::scale(hash, subset.len())];
            if drawn.is_some_and(|(_, seen)| seen == at) || !self.is_usable(at, request, now) {
                continue;
            }
            let cost = self.cost(at, now);
            if drawn.is_none_or(|(least, _)| cost < least) {
                drawn = Some((cost, at));
            }
            found += 1;
            if found == self.config.choices.max(1) {
                break;
            }
        }
        drawn.map(|(_, at)| at)
    }

    /// Returns the endpoint that most likely caches the prefix and is within the
    /// bound on load.
    fn affine(
        &self,
        pool: &Pool,
        request: &Request<'_>,
        drawn: Option<u32>,
        now: Time,
    ) -> Option<u32> {
        let blocks = request.prefixes.len().min(self.config.affinity_blocks);
        let &key = request.prefixes[..blocks].last()?;
        let compared = drawn.map_or(0.0, |at| self.cost(at, now));
        let relative = compared * self.config.affinity_factor + self.config.affinity_slack;
        let bound = self.config.affinity_bound.min(relative);
        let mut below = u64::MAX;
        for _ in 0..self.config.affinity {
            let (rank, at) = pool
                .subset_window(key)
                .map(|at| (pool::rendezvous(self.endpoints[at as usize].hash, key), at))
                .filter(|&(rank, _)| rank < below)
                .max()?;
            below = rank;
            if self.is_usable(at, request, now) && self.cost(at, now) <= bound {
                return Some(at);
            }
        }
        None
    }

    /// Returns the first endpoint that is usable, in the subset and then outside
    /// it, and at last one that is only ejected: when all are ejected, the
    /// evidence against them is suspect.
    fn scan(&self, pool: &Pool, request: &Request<'_>, random: u64, now: Time) -> Option<u32> {
        let subset = pool.subset().len();
        let (inner, outer) = pool.members().split_at(subset);
        [inner, outer]
            .into_iter()
            .find_map(|part| rotate(part, random).find(|&at| self.is_usable(at, request, now)))
            .or_else(|| {
                rotate(pool.members(), random)
                    .find(|&at| !is_tried(&self.endpoints[at as usize], request.tried))
            })
    }
}

fn is_tried(endpoint: &Endpoint, tried: &[Arc<str>]) -> bool {
    tried.contains(&endpoint.name)
}

/// Walks over the positions from a random one.
fn rotate(part: &[u32], random: u64) -> impl Iterator<Item = u32> {
    let start = pool::scale(pool::rendezvous(SCAN_SEED, random), part.len());
    let (head, tail) = part.split_at(start);
    tail.iter().chain(head).copied()
}
