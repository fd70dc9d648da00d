//! Counts the live processes of a kind by the objects that each one renews.
//!
//! Objects in the platform's store don't expire, and the clocks of VMs differ, so
//! a timestamp in an object doesn't show whether its process is alive. A
//! [`Census`] instead records by the local clock when it saw each object change.
//! An object that has not changed for its TTL belongs to a process that has
//! stopped, because a live process renews its object many times in that period.
//! Any process that sees the expiry deletes the object.
//!
//! An object counts as alive for a whole TTL after it is first listed, so a
//! process that has just started overestimates the number rather than
//! underestimating it.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use cactusroad_core::{Time, census::Census};
//!
//! let ttl = Duration::from_secs(30);
//! let mut census = Census::new(ttl);
//! let start = Time::from_millis(1_000);
//! census.observe(&[("a".into(), 1), ("b".into(), 2)], start);
//! census.observe(&[("a".into(), 3), ("b".into(), 2)], start + ttl);
//! assert_eq!(census.alive(start + ttl), 1);
//! assert_eq!(census.expired(start + ttl).collect::<Vec<_>>(), [(&"b".into(), 2)]);
//! ```

use std::{sync::Arc, time::Duration};

use crate::Time;

/// The objects of one kind, and when each of them expires.
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
    /// Returns an empty census of objects that expire `life` after their last change.
    pub fn new(life: Duration) -> Census {
        Census {
            life,
            entries: Vec::new(),
        }
    }

    /// Takes a complete list of names and revisions, sorted by name.
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

    /// Returns the number of objects whose process is alive.
    pub fn alive(&self, now: Time) -> usize {
        self.entries
            .iter()
            .filter(|entry| !entry.expires_at.is_past(now))
            .count()
    }

    /// Returns the names of expired objects and the revisions to delete.
    pub fn expired(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let expired = move |entry: &&Entry| entry.expires_at.is_past(now);
        self.entries
            .iter()
            .filter(expired)
            .map(|entry| (&entry.name, entry.revision))
    }
}
