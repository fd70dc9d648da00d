//! Which processes of a kind are alive, from objects that each one renews.
//!
//! Nothing in the platform's store expires by itself, and clocks of VMs differ, so
//! an object that says when it was written tells nothing. A [`Census`] instead
//! notes by its own clock when it saw each object change. One that has not
//! changed for long belongs to a process that is gone; it is removed by whoever
//! sees that, after a time in which its owner would have renewed it many times.
//!
//! An object that was listed once counts as alive until its time has passed, so a
//! process that has just started counts too many rather than too few.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use cactusroad_core::{Time, census::Census};
//!
//! let life = Duration::from_secs(30);
//! let mut census = Census::new(life);
//! let start = Time::from_millis(1_000);
//! census.observe(&[("a".into(), 1), ("b".into(), 2)], start);
//! census.observe(&[("a".into(), 3), ("b".into(), 2)], start + life);
//! assert_eq!(census.alive(start + life), 1);
//! assert_eq!(census.expired(start + life).collect::<Vec<_>>(), [(&"b".into(), 2)]);
//! ```

use std::{sync::Arc, time::Duration};

use crate::Time;

/// The objects of a kind, and when each one changed last.
#[derive(Clone, Debug)]
pub struct Census {
    life: Duration,
    /// Sorted by name.
    entries: Vec<Entry>,
}

#[derive(Clone, Debug)]
struct Entry {
    name: Arc<str>,
    revision: u64,
    expires_at: Time,
}

impl Census {
    /// Returns an empty census of objects that live for `life` after a change.
    pub fn new(life: Duration) -> Census {
        Census {
            life,
            entries: Vec::new(),
        }
    }

    /// Takes a whole list of names and revisions, sorted by name.
    pub fn observe(&mut self, listed: &[(Arc<str>, u64)], now: Time) {
        let before = std::mem::take(&mut self.entries);
        self.entries = listed
            .iter()
            .map(|(name, revision)| {
                let known = before.binary_search_by(|entry| entry.name.cmp(name));
                let known = known.ok().map(|index| &before[index]);
                let unchanged = known.filter(|entry| entry.revision == *revision);
                Entry {
                    name: Arc::clone(name),
                    revision: *revision,
                    expires_at: unchanged.map_or(now + self.life, |entry| entry.expires_at),
                }
            })
            .collect();
    }

    /// Returns how many are alive.
    pub fn alive(&self, now: Time) -> usize {
        self.entries
            .iter()
            .filter(|entry| !entry.expires_at.is_past(now))
            .count()
    }

    /// Returns those that are gone, with the revisions to remove.
    pub fn expired(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let expired = move |entry: &&Entry| entry.expires_at.is_past(now);
        self.entries
            .iter()
            .filter(expired)
            .map(|entry| (&entry.name, entry.revision))
    }
}
