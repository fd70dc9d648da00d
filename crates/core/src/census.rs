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
    ttl: Duration,
    /// Sorted by name.
    objects: Vec<Object>,
}

#[derive(Clone, Debug)]
struct Object {
    name: Arc<str>,
    revision: u64,
    expires_at: Time,
}

impl Census {
    /// Returns an empty census of objects that expire `ttl` after their last change.
    pub fn new(ttl: Duration) -> Census {
        Census {
            ttl,
            objects: Vec::new(),
        }
    }

    /// Replaces the objects by a complete listing of the store: names and revisions,
    /// sorted by name.
    pub fn observe(&mut self, listed: &[(Arc<str>, u64)], now: Time) {
        let previous = std::mem::take(&mut self.objects);
        self.objects = listed
            .iter()
            .map(|(name, revision)| {
                let known = previous.binary_search_by(|object| object.name.cmp(name));
                let known = known.ok().map(|index| &previous[index]);
                let unchanged = known.filter(|object| object.revision == *revision);
                Object {
                    name: Arc::clone(name),
                    revision: *revision,
                    expires_at: unchanged.map_or(now + self.ttl, |object| object.expires_at),
                }
            })
            .collect();
    }

    /// Returns the number of objects whose process is alive.
    pub fn alive(&self, now: Time) -> usize {
        self.objects
            .iter()
            .filter(|object| !object.expires_at.is_past(now))
            .count()
    }

    /// Returns the names of expired objects and the revisions to delete.
    pub fn expired(&self, now: Time) -> impl Iterator<Item = (&Arc<str>, u64)> {
        let expired = move |object: &&Object| object.expires_at.is_past(now);
        self.objects
            .iter()
            .filter(expired)
            .map(|object| (&object.name, object.revision))
    }
}
