//! The stored form of a partition: a log of records, split into objects.
//!
//! Records are numbered from 0. The *head*, the only object of a partition that
//! is rewritten, holds the newest records. Older records are kept in *segments*
//! and answers in *packs*, both of which are written once. The name of a segment
//! or pack contains its deadline, so an agent can find expired objects by
//! listing names, without reading the objects.

use std::{fmt, str::FromStr, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Time, digest::Digest, id::Attempt};

/// A record of the log.
///
/// The serialised field names are short because an agent that takes over a
/// partition reads the whole log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// An attempt claims a key.
    Claim {
        /// The digest of the key and its scope.
        #[serde(rename = "k")]
        key: Digest,
        /// The digest of the request body.
        #[serde(rename = "b")]
        body: Digest,
        /// The attempt that claims the key; its writer identifies the record by it.
        #[serde(rename = "a")]
        attempt: Attempt,
        /// The deadline after which the claim expires.
        #[serde(rename = "u")]
        until: Time,
    },
    /// The attempt of a claim ran to its end.
    Settle {
        /// The key of the claim.
        #[serde(rename = "k")]
        key: Digest,
        /// The position of the claim in the log.
        #[serde(rename = "p")]
        position: u64,
        /// The location of the answer, or `None` if it was not kept.
        #[serde(rename = "s", skip_serializing_if = "Option::is_none", default)]
        answer: Option<Slot>,
    },
    /// The attempt of a claim did not run and will not, so the key is free.
    Release {
        /// The key of the claim.
        #[serde(rename = "k")]
        key: Digest,
        /// The position of the claim in the log.
        #[serde(rename = "p")]
        position: u64,
    },
}

/// The location of a stored answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The pack that holds the answer.
    pub pack: Arc<ObjectId>,
    /// The index of the answer in the pack.
    pub index: u32,
}

/// The name of a segment or pack, unique within its partition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectId {
    /// The deadline after which the object may be deleted, in whole seconds.
    pub until: Time,
    /// A number that is unique to the process that wrote the object.
    pub writer: u64,
    /// The sequence number of the object at its writer.
    pub number: u32,
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.until.as_micros() / 1_000_000;
        write!(f, "{seconds:012}-{:016x}-{:x}", self.writer, self.number)
    }
}

/// An error from parsing an [`ObjectId`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("invalid ledger object name; the prefix `ledger/` is reserved for cactusroad")]
pub struct ParseObjectIdError;

impl FromStr for ObjectId {
    type Err = ParseObjectIdError;

    fn from_str(text: &str) -> Result<ObjectId, ParseObjectIdError> {
        let mut fields = text.splitn(3, '-');
        let mut next = || fields.next().ok_or(ParseObjectIdError);
        let seconds: u64 = next()?.parse().map_err(|_| ParseObjectIdError)?;
        let writer = u64::from_str_radix(next()?, 16).map_err(|_| ParseObjectIdError)?;
        let number = u32::from_str_radix(next()?, 16).map_err(|_| ParseObjectIdError)?;
        let until = Time::from_micros(seconds.saturating_mul(1_000_000));
        Ok(ObjectId {
            until,
            writer,
            number,
        })
    }
}

impl ObjectId {
    /// Returns an id whose deadline is `until`, rounded up to a whole second.
    pub(super) fn new(until: Time, writer: u64, number: u32) -> ObjectId {
        let seconds = until.as_micros().div_ceil(1_000_000);
        ObjectId {
            until: Time::from_micros(seconds.saturating_mul(1_000_000)),
            writer,
            number,
        }
    }

    /// Returns whether the deadline has passed on all clocks, which differ by at most `skew`.
    pub(super) fn is_expired(&self, now: Time, skew: Duration) -> bool {
        (self.until + skew).is_past(now)
    }
}

impl Serialize for ObjectId {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for ObjectId {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<ObjectId, D::Error> {
        let text = std::borrow::Cow::<'de, str>::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

/// A segment, as listed in the head.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The name of the object.
    pub part: ObjectId,
    /// The position of its first record.
    pub first: u64,
    /// The position after its last record (exclusive).
    pub last: u64,
    /// The size of the object in bytes.
    pub bytes: usize,
}

/// The object of a partition that each append rewrites.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The position of the first record of the head.
    pub base: u64,
    /// The segments that precede `base`, oldest first.
    pub segments: Vec<Segment>,
    /// The newest records.
    pub records: Vec<Record>,
}

impl Head {
    /// Returns the position of the next record.
    pub fn end(&self) -> u64 {
        self.base + self.records.len() as u64
    }
}

/// Serialises a value as JSON.
///
/// # Panics
///
/// Panics if the value has no JSON form, which the types of this module always have.
pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    let json = serde_json::to_vec(value).expect("ledger types have a JSON form");
    Bytes::from(json)
}

/// Concatenates answers after a line that lists their sizes in bytes, as a JSON array.
pub(super) fn pack<'a>(answers: impl Iterator<Item = &'a Bytes> + Clone) -> Bytes {
    let sizes: Vec<usize> = answers.clone().map(Bytes::len).collect();
    let mut out = encode(&sizes).to_vec();
    out.push(b'\n');
    for answer in answers {
        out.extend_from_slice(answer);
    }
    Bytes::from(out)
}

/// Returns one answer of a pack, or `None` if the pack is malformed or has no such index.
pub(super) fn unpack(pack: &Bytes, index: u32) -> Option<Bytes> {
    let line = pack.iter().position(|&byte| byte == b'\n')?;
    let sizes: Vec<usize> = serde_json::from_slice(&pack[..line]).ok()?;
    let index = index as usize;
    let size = *sizes.get(index)?;
    let before: usize = sizes[..index].iter().sum();
    let start = line + 1 + before;
    let end = start.checked_add(size)?;
    (end <= pack.len()).then(|| pack.slice(start..end))
}
