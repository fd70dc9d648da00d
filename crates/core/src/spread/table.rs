//! A sorted table of mergeable records, with bucket hashes for anti-entropy.

use std::sync::Arc;

use xxhash_rust::xxh3::xxh3_64;

use crate::{Time, member::Member};

/// The number of buckets into which anti-entropy splits a table.
pub const BUCKETS: usize = 64;

/// A keyed record whose states form a join-semilattice.
pub trait Record: Clone {
    /// Returns the key.
    fn key(&self) -> &Arc<str>;
    /// Returns a hash of the entire state.
    fn digest(&self) -> u64;
    /// Merges another state of the same key, and returns whether this one changed.
    fn join(&mut self, other: &Self, now: Time) -> bool;
    /// Returns a value that never decreases while the record exists.
    ///
    /// Tombstones compare it to recognise states from before the removal.
    fn revision(&self) -> (u64, u64);
    /// Returns whether the record has expired at `now`.
    fn is_expired(&self, now: Time) -> bool;
    /// Returns whether the change from `before` is sent at once instead of with the next batch.
    fn is_urgent(&self, before: Option<&Self>) -> bool;
}

impl Record for Member {
    fn key(&self) -> &Arc<str> {
        &self.name
    }

    fn digest(&self) -> u64 {
        Member::digest(self)
    }

    fn join(&mut self, other: &Member, now: Time) -> bool {
        Member::join(self, other, now)
    }

    fn revision(&self) -> (u64, u64) {
        (self.incarnation.0, self.sequence)
    }

    fn is_expired(&self, now: Time) -> bool {
        self.remove_at.is_some_and(|deadline| deadline.is_past(now))
    }

    fn is_urgent(&self, before: Option<&Member>) -> bool {
        let leaves = |member: &Member| member.leaving || member.leaving_until.is_some();
        leaves(self) && !before.is_some_and(leaves)
    }
}

/// The result of merging a record into a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The table changed and now holds the received state or a join with it.
    Changed {
        /// Whether the change is forwarded at once.
        urgent: bool,
        /// Whether the table now holds more than the received state.
        joined: bool,
    },
    /// The table already held this state.
    Same,
    /// The table holds a later state.
    Newer,
    /// The record was rejected: it has expired, has a tombstone, or the table is full.
    Refused,
}

/// Marks a removed record, so that a delayed copy does not restore it.
#[derive(Clone, Debug)]
struct Tombstone {
    key: Arc<str>,
    revision: (u64, u64),
    until: Time,
}

/// A bounded table of records, sorted by key.
#[derive(Clone, Debug)]
pub struct Table<R> {
    records: Vec<Slot<R>>,
    tombstones: Vec<Tombstone>,
    buckets: [u64; BUCKETS],
    capacity: usize,
}

#[derive(Clone, Debug)]
struct Slot<R> {
    hash: u64,
    digest: u64,
    record: R,
}

/// Returns the hash of a key, which selects its bucket.
pub(super) fn hash_key(key: &str) -> u64 {
    xxh3_64(key.as_bytes())
}

/// Returns the bucket for the hash of a key.
pub(super) const fn bucket_of(hash: u64) -> usize {
    (hash % BUCKETS as u64) as usize
}

impl<R: Record> Table<R> {
    /// Returns an empty table for up to `capacity` records and as many tombstones.
    pub fn new(capacity: usize) -> Table<R> {
        Table {
            records: Vec::new(),
            tombstones: Vec::new(),
            buckets: [0; BUCKETS],
            capacity,
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether the table holds no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the record with this key.
    pub fn get(&self, key: &str) -> Option<&R> {
        let at = self.find(key).ok()?;
        Some(&self.records[at].record)
    }

    /// Returns the records in the order of their keys.
    pub fn iter(&self) -> impl Iterator<Item = &R> {
        self.records.iter().map(|slot| &slot.record)
    }

    /// Returns the records whose keys start with `prefix`.
    pub fn prefixed<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a R> {
        let start = self
            .records
            .partition_point(|slot| slot.record.key().as_ref() < prefix);
        self.records[start..]
            .iter()
            .map(|slot| &slot.record)
            .take_while(move |record| record.key().starts_with(prefix))
    }

    /// Returns the hash of a record's state, or `None` if there is no such record.
    pub fn digest_of(&self, key: &str) -> Option<u64> {
        let at = self.find(key).ok()?;
        Some(self.records[at].digest)
    }

    /// Returns the hash of each bucket.
    pub fn buckets(&self) -> &[u64; BUCKETS] {
        &self.buckets
    }

    /// Returns a single hash of the entire table.
    pub fn root(&self) -> u64 {
        let mut bytes = [0; BUCKETS * 8];
        for (chunk, bucket) in bytes.chunks_exact_mut(8).zip(&self.buckets) {
            chunk.copy_from_slice(&bucket.to_le_bytes());
        }
        xxh3_64(&bytes)
    }

    /// Returns the sorted pairs of key hash and state hash of the records in a bucket.
    pub fn inventory(&self, bucket: usize) -> Vec<(u64, u64)> {
        let inside = self
            .records
            .iter()
            .filter(|slot| bucket_of(slot.hash) == bucket);
        let mut list: Vec<_> = inside.map(|slot| (slot.hash, slot.digest)).collect();
        list.sort_unstable();
        list
    }

    /// Returns the records whose key hashes are in the sorted list `hashes`.
    pub fn by_hashes(&self, hashes: &[u64]) -> Vec<R> {
        let inside = |slot: &&Slot<R>| hashes.binary_search(&slot.hash).is_ok();
        let found = self.records.iter().filter(inside);
        found.map(|slot| slot.record.clone()).collect()
    }

    /// Merges a record into the table.
    pub fn merge(&mut self, record: &R, now: Time) -> Outcome {
        if record.is_expired(now) || self.has_tombstone(record) {
            return Outcome::Refused;
        }
        match self.find(record.key()) {
            Ok(at) => self.join_at(at, record, now),
            Err(_) if self.records.len() >= self.capacity => Outcome::Refused,
            Err(at) => {
                let hash = hash_key(record.key());
                let digest = record.digest();
                self.buckets[bucket_of(hash)] ^= digest;
                let slot = Slot {
                    hash,
                    digest,
                    record: record.clone(),
                };
                self.records.insert(at, slot);
                Outcome::Changed {
                    urgent: record.is_urgent(None),
                    joined: false,
                }
            }
        }
    }

    fn join_at(&mut self, at: usize, record: &R, now: Time) -> Outcome {
        let slot = &mut self.records[at];
        let digest = record.digest();
        if slot.digest == digest {
            return Outcome::Same;
        }
        let mut joined = slot.record.clone();
        if !joined.join(record, now) {
            return Outcome::Newer;
        }
        let urgent = joined.is_urgent(Some(&slot.record));
        self.replace(at, joined);
        Outcome::Changed {
            urgent,
            joined: self.records[at].digest != digest,
        }
    }

    /// Changes a record in place, and returns whether its state's hash changed.
    pub fn update(&mut self, key: &str, change: impl FnOnce(&mut R)) -> bool {
        let Ok(at) = self.find(key) else {
            return false;
        };
        let before = self.records[at].digest;
        let mut record = self.records[at].record.clone();
        change(&mut record);
        self.replace(at, record);
        self.records[at].digest != before
    }

    fn replace(&mut self, at: usize, record: R) {
        let slot = &mut self.records[at];
        let bucket = &mut self.buckets[bucket_of(slot.hash)];
        *bucket ^= slot.digest;
        slot.digest = record.digest();
        slot.record = record;
        *bucket ^= slot.digest;
    }

    /// Removes expired records, keeps tombstones for them until `until`, and returns their number.
    pub fn expire(&mut self, now: Time, until: Time) -> usize {
        self.tombstones
            .retain(|tombstone| !tombstone.until.is_past(now));
        let expired: Vec<usize> = (0..self.records.len())
            .filter(|&at| self.records[at].record.is_expired(now))
            .collect();
        for &at in expired.iter().rev() {
            let slot = self.records.remove(at);
            self.buckets[bucket_of(slot.hash)] ^= slot.digest;
            self.add_tombstone(&slot.record, until);
        }
        expired.len()
    }

    fn add_tombstone(&mut self, record: &R, until: Time) {
        let tombstone = Tombstone {
            key: Arc::clone(record.key()),
            revision: record.revision(),
            until,
        };
        match self
            .tombstones
            .binary_search_by(|s| s.key.cmp(&tombstone.key))
        {
            Ok(at) => self.tombstones[at] = tombstone,
            Err(at) if self.tombstones.len() < self.capacity => {
                self.tombstones.insert(at, tombstone)
            }
            Err(_) => {}
        }
    }

    fn has_tombstone(&self, record: &R) -> bool {
        let found = self
            .tombstones
            .binary_search_by(|tombstone| tombstone.key.cmp(record.key()));
        found.is_ok_and(|at| record.revision() <= self.tombstones[at].revision)
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|slot| slot.record.key().as_ref().cmp(key))
    }
}
