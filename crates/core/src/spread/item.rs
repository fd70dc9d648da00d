//! Small opaque records that any module spreads to every process.

use std::{hash::Hash, sync::Arc};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use super::table::Record;
use crate::Time;

/// The largest body of an item, in bytes.
pub const MAX_ITEM_BYTES: usize = 1_024;

/// A record of another module, which [`spread`](super) carries without reading it.
///
/// Of two states of one key the one with the higher version wins, and of one
/// version the one with the greater body, so merging is a join whatever the
/// body means.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Item {
    /// The name: a kind, a slash, and what the item is about.
    pub key: Arc<str>,
    /// Counts the states of the key; the writer counts up.
    pub version: u64,
    /// What the item says, at most [`MAX_ITEM_BYTES`].
    pub body: Arc<str>,
    /// When every process drops it; [`Time::MAX`] keeps it.
    pub until: Time,
    /// Whether a change goes out at once rather than with the next batch.
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

    fn order(&self) -> (u64, u64) {
        (self.version, 0)
    }

    fn is_over(&self, now: Time) -> bool {
        self.until.is_past(now)
    }

    fn is_urgent(&self, _before: Option<&Item>) -> bool {
        self.urgent
    }
}
