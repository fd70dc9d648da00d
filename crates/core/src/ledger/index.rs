//! The keys of a partition, in memory.

use std::{sync::Arc, time::Duration};

use super::log::{Part, Slot};
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
pub(super) struct Entry {
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
    old: Vec<Entry>,
    recent: Vec<Entry>,
    pack: Option<Arc<Part>>,
}

impl Index {
    /// Returns the number of entries.
    pub(super) fn len(&self) -> usize {
        self.old.len() + self.recent.len()
    }

    /// Finds the claim of a key that still counts at `now`.
    pub(super) fn live(&self, key: Digest, now: Time, skew: Duration) -> Option<&Entry> {
        let entry = find(&self.recent, key).or_else(|| find(&self.old, key))?;
        let counts = entry.state != State::Released && !(entry.until + skew).is_past(now);
        counts.then_some(entry)
    }

    /// Takes in a claim, which replaces an older one of the same key.
    pub(super) fn claim(&mut self, entry: Entry, now: Time, skew: Duration) {
        match self.recent.binary_search_by_key(&entry.key, |e| e.key) {
            Ok(at) => self.recent[at] = entry,
            Err(at) => self.recent.insert(at, entry),
        }
        if self.recent.len() > MAX_RECENT {
            self.merge(now, skew);
        }
    }

    /// Changes the state of the claim at a position; a claim that is gone is left alone.
    pub(super) fn change(&mut self, key: Digest, position: u64, state: State) {
        let state = self.share(state);
        for list in [&mut self.recent, &mut self.old] {
            let Ok(at) = list.binary_search_by_key(&key, |e| e.key) else {
                continue;
            };
            if list[at].position == position {
                list[at].state = state;
                return;
            }
        }
    }

    /// Lets the answers of one pack share its name.
    fn share(&mut self, state: State) -> State {
        let State::Settled(Some(mut slot)) = state else {
            return state;
        };
        match &self.pack {
            Some(pack) if *pack == slot.pack => slot.pack = Arc::clone(pack),
            _ => self.pack = Some(Arc::clone(&slot.pack)),
        }
        State::Settled(Some(slot))
    }

    /// Merges the two vectors and drops what has expired.
    pub(super) fn merge(&mut self, now: Time, skew: Duration) {
        let mut all = std::mem::take(&mut self.recent);
        all.append(&mut self.old);
        // The sort is stable, so that of two claims of a key the recent one comes first.
        all.sort_by_key(|entry| entry.key);
        all.dedup_by_key(|entry| entry.key);
        all.retain(|e| e.state != State::Released && !(e.until + skew).is_past(now));
        self.old = all;
    }
}

fn find(list: &[Entry], key: Digest) -> Option<&Entry> {
    let at = list.binary_search_by_key(&key, |entry| entry.key).ok()?;
    list.get(at)
}
