//! The attempts that an agent knows, in shards.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use cactusroad_core::{Time, id::Attempt};

use super::slot::{Phase, Slot};

/// Shards of the table, each under its own lock.
const SHARDS: usize = 16;

/// The attempts that an agent knows.
///
/// An attempt stays in the table while it may still be asked for: a late copy of
/// its first message must find it and not start it a second time.
pub(super) struct Table {
    shards: Vec<Mutex<Vec<Arc<Slot>>>>,
}

/// Whether an attempt was known before.
pub(super) enum Entry {
    /// The attempt is new and now in the table.
    New(Arc<Slot>),
    /// The attempt was in the table.
    Known(Arc<Slot>),
}

impl Table {
    pub(super) fn new() -> Table {
        Table {
            shards: (0..SHARDS).map(|_| Mutex::default()).collect(),
        }
    }

    fn shard(&self, attempt: Attempt) -> MutexGuard<'_, Vec<Arc<Slot>>> {
        // Attempts are random, so their low bits spread evenly.
        let at = (attempt.0 % SHARDS as u128) as usize;
        self.shards[at]
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn find(&self, attempt: Attempt) -> Option<Arc<Slot>> {
        let shard = self.shard(attempt);
        let at = shard
            .binary_search_by_key(&attempt, |slot| slot.attempt)
            .ok()?;
        Some(shard[at].clone())
    }

    /// Finds an attempt, or adds it in the given phase.
    pub(super) fn enter(
        &self,
        attempt: Attempt,
        workspace: &str,
        phase: Phase,
        now: Time,
    ) -> Entry {
        let mut shard = self.shard(attempt);
        match shard.binary_search_by_key(&attempt, |slot| slot.attempt) {
            Ok(at) => Entry::Known(shard[at].clone()),
            Err(at) => {
                let slot = Arc::new(Slot::new(attempt, workspace.into(), phase, now));
                shard.insert(at, slot.clone());
                Entry::New(slot)
            }
        }
    }

    /// Forgets the attempts that nobody can ask for any more.
    pub(super) fn sweep(&self, now: Time) {
        for shard in &self.shards {
            let mut shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.retain(|slot| !slot.is_forgettable(now));
            for slot in shard.iter() {
                slot.release(now);
            }
        }
    }

    /// Tells whether every attempt has ended and been read.
    pub(super) fn is_settled(&self, now: Time) -> bool {
        self.shards.iter().all(|shard| {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.iter().all(|slot| slot.is_settled(now))
        })
    }

    /// The bytes of all frames that are kept.
    pub(super) fn bytes(&self) -> usize {
        let shard_bytes = |shard: &Mutex<Vec<Arc<Slot>>>| -> usize {
            let shard = shard.lock().unwrap_or_else(PoisonError::into_inner);
            shard.iter().map(|slot| slot.bytes()).sum()
        };
        self.shards.iter().map(shard_bytes).sum()
    }
}
