//! The gossip graph and the choice of the processes that watch the store.
//!
//! Each process computes its neighbours from the membership alone. The members
//! are sorted into three rings: by region, data centre and hash; by region and
//! a second hash; and by a third hash alone. The neighbours of a process are its
//! predecessor and successor on each ring. It therefore has at most six, the
//! relation is symmetric between processes that hold the same membership, and
//! each ring alone connects the whole fleet. Nearly all neighbours on the first
//! ring are in the same data centre and those on the second in the same region,
//! which keeps most traffic cheap; the third ring crosses regions. A union of
//! random rings is an expander, so the number of hops grows with the logarithm
//! of the fleet size. A process that joins or leaves changes two edges per ring.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::member::Member;

/// The number of rings.
const RINGS: u64 = 3;
/// The seed of the hash that ranks candidates for watching the store.
const WATCHER_SEED: u64 = 100;
/// The number of processes per region that watch the store.
pub const WATCHERS_PER_REGION: usize = 2;

/// The region of each data centre, sorted by data centre.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(Vec<(Arc<str>, Arc<str>)>);

impl Regions {
    /// Returns the map for pairs of a data centre and its region.
    pub fn new(mut pairs: Vec<(Arc<str>, Arc<str>)>) -> Regions {
        pairs.sort();
        Regions(pairs)
    }

    /// Returns the region of a data centre, or an empty string if it is unknown.
    pub fn of(&self, data_centre: &str) -> &str {
        let found = self
            .0
            .binary_search_by(|pair| pair.0.as_ref().cmp(data_centre));
        found.map_or("", |at| &self.0[at].1)
    }
}

/// Returns the sort key of a member on a ring; the index of the ring is also the hash seed.
fn ring_key<'a>(
    ring: u64,
    regions: &'a Regions,
    member: &'a Member,
) -> (&'a str, &'a str, u64, &'a str) {
    let hash = xxh3_64_with_seed(member.name.as_bytes(), ring);
    let name = member.name.as_ref();
    match ring {
        0 => (
            regions.of(&member.data_centre),
            &member.data_centre,
            hash,
            name,
        ),
        1 => (regions.of(&member.data_centre), "", hash, name),
        _ => ("", "", hash, name),
    }
}

/// Returns the sorted names of the neighbours of `own`, chosen from the `usable` members.
pub fn neighbours<'a>(
    own: &'a Member,
    usable: &[&'a Member],
    regions: &'a Regions,
) -> Vec<Arc<str>> {
    let mut names = Vec::new();
    for ring in 0..RINGS {
        let own_key = ring_key(ring, regions, own);
        let others = || {
            let all = usable.iter().filter(|member| member.name != own.name);
            all.map(|member| (ring_key(ring, regions, member), &member.name))
        };
        let next = others().filter(|other| other.0 > own_key).min();
        let previous = others().filter(|other| other.0 < own_key).max();
        let adjacent = [
            next.or_else(|| others().min()),
            previous.or_else(|| others().max()),
        ];
        names.extend(
            adjacent
                .into_iter()
                .flatten()
                .map(|member| Arc::clone(member.1)),
        );
    }
    names.sort();
    names.dedup();
    names
}

/// Returns the rank, from zero, of `own` among the members that may watch the store for its region.
///
/// The first member of each data centre ranks before the second of any, so that
/// the watchers of a region run in different data centres.
pub fn watcher_rank(own: &Member, usable: &[&Member], regions: &Regions) -> usize {
    let region = regions.of(&own.data_centre);
    let hash = |member: &Member| xxh3_64_with_seed(member.name.as_bytes(), WATCHER_SEED);
    let mut ranked: Vec<_> = usable
        .iter()
        .filter(|member| regions.of(&member.data_centre) == region && member.name != own.name)
        .chain([&own])
        .map(|member| (&member.data_centre, hash(member), &member.name))
        .collect();
    ranked.sort_unstable();
    let mut rounds = Vec::with_capacity(ranked.len());
    let mut round = 0;
    for (at, candidate) in ranked.iter().enumerate() {
        let same = at > 0 && ranked[at - 1].0 == candidate.0;
        round = if same { round + 1 } else { 0 };
        rounds.push((round, candidate.1, candidate.2));
    }
    rounds.sort_unstable();
    let own_place = rounds.iter().position(|place| place.2 == &own.name);
    own_place.unwrap_or(usize::MAX)
}
