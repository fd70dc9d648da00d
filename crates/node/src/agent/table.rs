//! A sharded table of the attempts at this agent.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cactusroad_core::{Time, id::Attempt};

use super::slot::{Phase, Slot};

/// The number of shards, each with its own lock.
const SHARDS: usize = 16;

/// The attempts at this agent, by identity.
///
/// An attempt stays in the table as long as an entry may ask for it: a delayed
/// duplicate of its first message must find it, or it would run a second time.
pub(super) struct Table {
    shards: Vec<Mutex<Vec<Arc<Slot>>>>,
}

/// The result of looking up an attempt and inserting it if absent.
pub(super) enum Lookup {
    /// The attempt was absent and has been inserted.
    New(Arc<Slot>),
    /// The attempt was already in the table.
    Known(Arc<Slot>),
}

impl Table {
    pub(super) fn new() -> Table {
        Table {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    fn shard(&self, attempt: Attempt) -> MutexGuard<'_, Vec<Arc<Slot>>> {
        // Attempt identities are random, so their low bits are evenly distributed.
        let index = (attempt.0 % SHARDS as u128) as usize;
        self.shards[index]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn find(&self, attempt: Attempt) -> Option<Arc<Slot>> {
        let shard = self.shard(attempt);
        let index = shard
            .binary_search_by_key(&attempt, |slot| slot.attempt)
            .ok()?;
        Some(shard[index].clone())
    }

    /// Finds an attempt, or inserts it in the given phase.
    pub(super) fn find_or_insert(
        &self,
        attempt: Attempt,
        workspace: &str,
        phase: Phase,
        now: Time,
    ) -> Lookup {
        let mut shard = self.shard(attempt);
        match shard.binary_search_by_key(&attempt, |slot| slot.attempt) {
            Ok(index) => Lookup::Known(shard[index].clone()),
            Err(index) => {
                let slot = Arc::new(Slot::new(attempt, workspace.into(), phase, now));
                shard.insert(index, slot.clone());
                Lookup::New(slot)
            }
        }
    }

    /// Removes the attempts that no entry can ask for any more, and drops expired frames.
    pub(super) fn remove_expired(&self, now: Time) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.retain(|slot| !slot.is_removable(now));
            for slot in shard.iter() {
                slot.drop_expired_frames(now);
            }
        }
    }

    /// Returns whether every attempt has ended and none waits for a reader.
    pub(super) fn is_drained(&self, now: Time) -> bool {
        self.shards.iter().all(|shard| {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.iter().all(|slot| slot.is_drained(now))
        })
    }

    /// Returns the total size of all buffered frames, in bytes.
    pub(super) fn bytes(&self) -> usize {
        let shard_bytes = |shard: &Mutex<Vec<Arc<Slot>>>| -> usize {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.iter().map(|slot| slot.bytes()).sum()
        };
        self.shards.iter().map(shard_bytes).sum()
    }
}
