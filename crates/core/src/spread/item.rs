//! Small opaque records that any module can distribute to every process.

use std::{hash::Hash, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::table::Record;
use crate::Time;

/// The maximum size of an item's body, in bytes.
pub const MAX_ITEM_BYTES: usize = 1_024;

/// A record of another module, which [`spread`](super) carries without interpreting it.
///
/// Of two states of one key, the one with the higher version wins; between equal
/// versions the greater body wins, then the later deadline, then urgency. This
/// order is total, so merging is a join whatever the body contains.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    /// The key: a kind, a slash, and the subject of the item.
    pub key: Arc<str>,
    /// The version of the state; the writer increments it with each change.
    pub version: u64,
    /// The content, at most [`MAX_ITEM_BYTES`] long.
    pub body: Arc<str>,
    /// The time at which every process drops the item; [`Time::MAX`] means never.
    pub until: Time,
    /// Whether a change is sent at once rather than with the next batch.
    pub urgent: bool,
}

impl Record for Item {
    fn key(&self) -> &Arc<str> {
        &self.key
    }

    fn digest(&self) -> u64 {
        let mut hasher = Xxh3::new();
        self.hash(&mut hasher);
        hasher.digest()
    }

    fn join(&mut self, other: &Item, _now: Time) -> bool {
        let this = (self.version, &self.body, self.until, self.urgent);
        let that = (other.version, &other.body, other.until, other.urgent);
        let greater = that > this;
        if greater {
            *self = other.clone();
        }
        greater
    }

    fn revision(&self) -> (u64, u64) {
        (self.version, 0)
    }

    fn is_expired(&self, now: Time) -> bool {
        self.until.is_past(now)
    }

    fn is_urgent(&self, _before: Option<&Item>) -> bool {
        self.urgent
    }
}
