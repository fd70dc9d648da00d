//! The objects of a store, with a total order of their changes.

use std::sync::Arc;

use axum::body::Bytes;
use serde::Serialize;

/// The precondition of a write or deletion.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Precondition {
    Absent,
    Version(u64),
}

/// The precondition failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Conflict;

/// Keys and versions of objects, complete up to a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Listing {
    pub(super) position: u64,
    pub(super) objects: Vec<Metadata>,
}

/// The key and version of an object; a deleted object has version 0.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(super) struct Metadata {
    key: Arc<str>,
    version: u64,
}

#[derive(Debug)]
struct Record {
    key: Arc<str>,
    /// The position of the last change, which is also the version.
    position: u64,
    /// `None` if the object was deleted.
    value: Option<Bytes>,
}

impl Record {
    fn version(&self) -> u64 {
        match self.value {
            Some(_) => self.position,
            None => 0,
        }
    }

    fn metadata(&self) -> Metadata {
        Metadata {
            key: self.key.clone(),
            version: self.version(),
        }
    }
}

/// All objects, sorted by key; a deleted object keeps a tombstone, so that watches report it.
#[derive(Debug, Default)]
pub(super) struct Objects {
    records: Vec<Record>,
    position: u64,
}

impl Objects {
    pub(super) fn get(&self, key: &str) -> Option<(u64, Bytes)> {
        let record = &self.records[self.find(key).ok()?];
        let value = record.value.clone()?;
        Some((record.position, value))
    }

    pub(super) fn put(
        &mut self,
        key: &str,
        precondition: Precondition,
        value: Bytes,
    ) -> Result<u64, Conflict> {
        self.check(key, precondition)?;
        self.position += 1;
        let record = Record {
            key: key.into(),
            position: self.position,
            value: Some(value),
        };
        match self.find(key) {
            Ok(at) => self.records[at] = record,
            Err(at) => self.records.insert(at, record),
        }
        Ok(self.position)
    }

    pub(super) fn delete(
        &mut self,
        key: &str,
        precondition: Precondition,
    ) -> Result<u64, Conflict> {
        self.check(key, precondition)?;
        let at = self.find(key).map_err(|_| Conflict)?;
        self.position += 1;
        self.records[at].position = self.position;
        self.records[at].value = None;
        Ok(self.position)
    }

    /// Returns the existing objects whose key starts with `prefix`.
    pub(super) fn list(&self, prefix: &str) -> Listing {
        let live = self
            .with_prefix(prefix)
            .filter(|record| record.value.is_some());
        self.listing(live)
    }

    /// Returns the objects with `prefix` that changed or were deleted after a position.
    pub(super) fn changes_after(&self, prefix: &str, after: u64) -> Listing {
        let changed = self
            .with_prefix(prefix)
            .filter(|record| record.position > after);
        self.listing(changed)
    }

    fn listing<'a>(&self, records: impl Iterator<Item = &'a Record>) -> Listing {
        Listing {
            position: self.position,
            objects: records.map(Record::metadata).collect(),
        }
    }

    fn with_prefix<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = &'a Record> {
        let start = self.records.partition_point(|record| *record.key < *prefix);
        let rest = self.records[start..].iter();
        rest.take_while(move |record| record.key.starts_with(prefix))
    }

    fn check(&self, key: &str, precondition: Precondition) -> Result<(), Conflict> {
        let found = self.get(key).map(|(version, _)| version);
        match (precondition, found) {
            (Precondition::Absent, None) => Ok(()),
            (Precondition::Version(wanted), Some(version)) if wanted == version => Ok(()),
            _ => Err(Conflict),
        }
    }

    fn find(&self, key: &str) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| (*record.key).cmp(key))
    }
}
