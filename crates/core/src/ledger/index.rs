//! The in-memory index of the keys of a partition.

use std::{sync::Arc, time::Duration};

use super::log::{ObjectId, Slot};
use crate::{Time, digest::Digest};

/// The largest number of claims in `Index::recent` before they are merged.
const MAX_RECENT_CLAIMS: usize = 4_096;

/// The state of a claim.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// The claim is in the log, and its outcome is not.
    Claimed,
    /// The attempt ran to its end; the slot locates the answer, if it was kept.
    Settled(Option<Slot>),
    /// The claim was released, so the key is free.
    Released,
}

/// The latest claim of a key, as read from the log.
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
/// claims go into a short vector, which is merged into the long one when it is
/// full. The merge drops expired and released claims.
#[derive(Clone, Debug, Default)]
pub(super) struct Index {
    merged: Vec<IndexedClaim>,
    recent: Vec<IndexedClaim>,
    /// The pack of the last settled claim, whose allocation the next one shares.
    last_pack: Option<Arc<ObjectId>>,
}

impl Index {
    /// Returns the number of claims, including expired ones that no merge has dropped yet.
    pub(super) fn len(&self) -> usize {
        self.merged.len() + self.recent.len()
    }

    /// Returns the claim of a key, unless it was released or has expired at `now`.
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

    /// Inserts a claim, which takes precedence over an older one of the same key.
    pub(super) fn insert(&mut self, claim: IndexedClaim, now: Time, skew: Duration) {
        match self
            .recent
            .binary_search_by_key(&claim.key, |claim| claim.key)
        {
            Ok(i) => self.recent[i] = claim,
            Err(i) => self.recent.insert(i, claim),
        }
        if self.recent.len() > MAX_RECENT_CLAIMS {
            self.merge(now, skew);
        }
    }

    /// Sets the state of the claim at a log position, if the index still holds it.
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

    /// Replaces the pack id of a slot by a shared allocation if the previous slot had the same.
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

    /// Merges the two vectors and drops expired and released claims.
    pub(super) fn merge(&mut self, now: Time, skew: Duration) {
        let mut all = std::mem::take(&mut self.recent);
        all.append(&mut self.merged);
        // The sort is stable, so the recent claim of a key precedes the merged one and is kept.
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
