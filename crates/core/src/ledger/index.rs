//! The keys of a partition, in memory.

use std::{sync::Arc, time::Duration};

use super::log::{ObjectId, Slot};
use crate::{Time, digest::Digest};

/// Entries that are inserted one by one before they are merged into the rest.
const MAX_RECENT: usize = 4_096;

/// What became of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// It was written, and its end is not known.
    Claimed,
    /// It ended, and the answer is kept at the slot, if at all.
    Settled(Option<Slot>),
    /// It was given back.
    Released,
}

/// The latest claim of a key.
#[derive(Clone, Debug)]
pub(super) struct IndexedClaim {
    pub(super) key: Digest,
    pub(super) body: Digest,
    pub(super) position: u64,
    pub(super) until: Time,
    pub(super) state: State,
}

/// The latest claim of each key, in two sorted vectors.
///
/// Inserting into one long sorted vector would move megabytes per claim, so new
/// entries go into a short one, which is merged into the long one when it is
/// full. Expired entries leave at the merge.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    merged: Vec<IndexedClaim>,
    recent: Vec<IndexedClaim>,
    last_pack: Option<Arc<ObjectId>>,
}

impl Index {
    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.merged.len() + self.recent.len()
    }

    /// Finds the claim of a key that still counts at `now`.
    pub(super) fn find_live(
        &self,
        key: Digest,
        now: Time,
        skew: Duration,
    ) -> Option<&IndexedClaim> {
        let claim = find(&self.recent, key).or_else(|| find(&self.merged, key))?;
        let is_live = claim.state != State::Released && !(claim.until + skew).is_past(now);
        is_live.then_some(claim)
    }

    /// Takes in a claim, which replaces an older one of the same key.
    pub(super) fn insert(&mut self, claim: IndexedClaim, now: Time, skew: Duration) {
        match self
            .recent
            .binary_search_by_key(&claim.key, |claim| claim.key)
        {
            Ok(i) => self.recent[i] = claim,
            Err(i) => self.recent.insert(i, claim),
        }
        if self.recent.len() > MAX_RECENT {
            self.merge(now, skew);
        }
    }

    /// Changes the state of the claim at a position; a claim that is gone is left alone.
    pub(super) fn set_state(&mut self, key: Digest, position: u64, state: State) {
        let state = self.share_pack_id(state);
        for list in [&mut self.recent, &mut self.merged] {
            let Ok(i) = list.binary_search_by_key(&key, |claim| claim.key) else {
                continue;
            };
            if list[i].position == position {
                list[i].state = state;
                return;
            }
        }
    }

    /// Lets the answers of one pack share its name.
    fn share_pack_id(&mut self, state: State) -> State {
        let State::Settled(Some(mut slot)) = state else {
            return state;
        };
        match &self.last_pack {
            Some(pack) if *pack == slot.pack => slot.pack = Arc::clone(pack),
            _ => self.last_pack = Some(Arc::clone(&slot.pack)),
        }
        State::Settled(Some(slot))
    }

    /// Merges the two vectors and drops what has expired.
    pub(super) fn merge(&mut self, now: Time, skew: Duration) {
        let mut all = std::mem::take(&mut self.recent);
        all.append(&mut self.merged);
        // The sort is stable, so that of two claims of a key the recent one comes first.
        all.sort_by_key(|claim| claim.key);
        all.dedup_by_key(|claim| claim.key);
        all.retain(|claim| claim.state != State::Released && !(claim.until + skew).is_past(now));
        self.merged = all;
    }
}

fn find(list: &[IndexedClaim], key: Digest) -> Option<&IndexedClaim> {
    let i = list.binary_search_by_key(&key, |claim| claim.key).ok()?;
    list.get(i)
}
