//! Endpoint pools as hash rings, this entry's arc of each, and rendezvous hashing.

use std::sync::Arc;

use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

use super::{Config, MIN_SUBSET, endpoint::Endpoint};

/// Maximum endpoints that rendezvous hashing compares for one request.
///
/// A change to a pool of at most this size moves the fewest keys possible. A larger
/// pool is divided into overlapping windows, and a change moves about one key in
/// this number.
const WINDOW_ENDPOINTS: usize = 64;

/// The endpoints that may receive requests for one version.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    pub(super) version: Arc<str>,
    /// Table indices in ring order, starting at this entry's arc.
    ring: Vec<u32>,
    /// Offset in `ring` of the endpoint with the lowest hash.
    origin: usize,
    /// Number of endpoints in this entry's arc.
    arc_len: usize,
}

impl Pool {
    pub(super) fn members(&self) -> &[u32] {
        &self.ring
    }

    pub(super) fn subset(&self) -> &[u32] {
        &self.ring[..self.arc_len]
    }

    /// Returns the table indices that rendezvous hashing compares for a hash, out of
    /// the whole pool; the endpoints are the same at every entry.
    pub(super) fn window(&self, hash: u64) -> impl Iterator<Item = u32> {
        let len = self.ring.len();
        let start = self.origin + scale(hash, len);
        (0..len.min(WINDOW_ENDPOINTS)).map(move |offset| self.ring[(start + offset) % len])
    }

    /// Returns the table indices that rendezvous hashing compares for a hash, out of
    /// this entry's arc.
    pub(super) fn subset_window(&self, hash: u64) -> impl Iterator<Item = u32> {
        let subset = self.subset();
        let start = if subset.len() <= WINDOW_ENDPOINTS {
            0
        } else {
            scale(hash, subset.len())
        };
        (0..subset.len().min(WINDOW_ENDPOINTS))
            .map(move |offset| subset[(start + offset) % subset.len()])
    }
}

/// Returns the rendezvous weight of an endpoint for a key; the highest one is chosen.
pub(super) fn rendezvous(endpoint: u64, key: u64) -> u64 {
    xxh3_64_with_seed(&endpoint.to_le_bytes(), key)
}

/// Maps a hash evenly onto `0..len`.
pub(super) fn scale(hash: u64, len: usize) -> usize {
    ((u128::from(hash) * len as u128) >> 64) as usize
}

/// Builds one pool per version, sorted by version.
pub(super) fn build(
    config: &Config,
    endpoints: &[Endpoint],
    entry: &str,
    entries: &[Arc<str>],
) -> Vec<Pool> {
    let rank = rank(entry, entries);
    // (version, hash of the endpoint, index in the table)
    let mut by_version: Vec<(&Arc<str>, u64, u32)> = Vec::new();
    for (index, endpoint) in endpoints.iter().enumerate() {
        if !endpoint.accepts_work() {
            continue;
        }
        let index = u32::try_from(index).expect("a table holds fewer than 2^32 endpoints");
        by_version.extend(
            endpoint
                .versions
                .iter()
                .map(|version| (version, endpoint.hash, index)),
        );
    }
    by_version.sort_unstable();
    let versions = by_version.chunk_by(|a, b| a.0 == b.0).count();
    let per_version = (config.links / versions.max(1)).max(MIN_SUBSET);
    let subset_size = config.subset.min(per_version);
    by_version
        .chunk_by(|a, b| a.0 == b.0)
        .map(|chunk| {
            let coverage_size = (chunk.len() * config.coverage).div_ceil(entries.len());
            build_pool(chunk, subset_size.max(coverage_size), rank, entries.len())
        })
        .collect()
}

/// Builds the pool of one version from its (version, hash, index) rows, sorted by hash.
fn build_pool(
    by_hash: &[(&Arc<str>, u64, u32)],
    subset_size: usize,
    rank: usize,
    entry_count: usize,
) -> Pool {
    let len = by_hash.len();
    let arc_len = subset_size.clamp(1, len);
    let start = rank * len / entry_count;
    let mut ring: Vec<u32> = by_hash.iter().map(|&(_, _, index)| index).collect();
    ring.rotate_left(start);
    Pool {
        version: Arc::clone(by_hash[0].0),
        ring,
        origin: len - start,
        arc_len,
    }
}

/// Returns the position of an entry among all entries in the order of their hashes.
fn rank(entry: &str, entries: &[Arc<str>]) -> usize {
    let own = (xxh3_64(entry.as_bytes()), entry);
    entries
        .iter()
        .filter(|other| (xxh3_64(other.as_bytes()), &***other) < own)
        .count()
}
