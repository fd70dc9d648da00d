//! What a partition keeps in the store: a log of records, cut into objects.
//!
//! The log of a partition is numbered from 0. Its newest records stand in the
//! *head*, the one object of the partition that is rewritten; older ones stand in
//! *segments*, and answers in *packs*, both of which are written once. The name
//! of a segment or pack carries the time until which it is needed, so whoever
//! lists the names can delete what has expired without reading it.

use std::{fmt, str::FromStr, sync::Arc, time::Duration};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{Time, digest::Digest, id::Attempt};

/// One line of the log. The field names are short because the whole log is read on takeover.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Record {
    /// An attempt claims a key.
    Claim {
        /// The digest of the key and its scope.
        #[serde(rename = "k")]
        key: Digest,
        /// The digest of the body.
        #[serde(rename = "b")]
        body: Digest,
        /// The attempt that claims, by which its writer recognises the record.
        #[serde(rename = "a")]
        attempt: Attempt,
        /// The deadline after which the key may be forgotten.
        #[serde(rename = "u")]
        until: Time,
    },
    /// The attempt of a claim ended.
    Settle {
        /// The key of the claim.
        #[serde(rename = "k")]
        key: Digest,
        /// The position of the claim in the log.
        #[serde(rename = "p")]
        position: u64,
        /// Where the answer is kept, or nothing where it was not kept.
        #[serde(rename = "s", skip_serializing_if = "Option::is_none", default)]
        answer: Option<Slot>,
    },
    /// The attempt of a claim was not dispatched and will not be, so the key is free.
    Release {
        /// The key of the claim.
        #[serde(rename = "k")]
        key: Digest,
        /// The position of the claim in the log.
        #[serde(rename = "p")]
        position: u64,
    },
}

/// The place of an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Slot {
    /// The pack that holds the answer.
    pub pack: Arc<ObjectId>,
    /// The index of the answer in the pack.
    pub index: u32,
}

/// The name of an object that is written once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ObjectId {
    /// The deadline after which the object may be deleted, in whole seconds.
    pub until: Time,
    /// The process that wrote it.
    pub writer: u64,
    /// The number of the object at its writer.
    pub number: u32,
}

impl fmt::Display for ObjectId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let seconds = self.until.as_micros() / 1_000_000;
        write!(f, "{seconds:012}-{:016x}-{:x}", self.writer, self.number)
    }
}

/// The text is not the name of a part.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("not the name of a ledger object; leave the prefix `ledger/` to cactusroad")]
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
    /// Returns a name whose deadline is `until`, rounded up to a whole second.
    pub(super) fn new(until: Time, writer: u64, number: u32) -> ObjectId {
        let seconds = until.as_micros().div_ceil(1_000_000);
        ObjectId {
            until: Time::from_micros(seconds.saturating_mul(1_000_000)),
            writer,
            number,
        }
    }

    /// Tells whether nobody needs the object any more, clocks being apart by `skew` at most.
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

/// A segment as the head lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The name of the object.
    pub part: ObjectId,
    /// The position of its first record.
    pub first: u64,
    /// The position after its last record.
    pub last: u64,
    /// The size of the object in bytes.
    pub bytes: usize,
}

/// The object of a partition that is rewritten with each append.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// The position of the first record of the head.
    pub base: u64,
    /// The segments before it, oldest first.
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

/// Serialises a value of this module.
///
/// # Panics
///
/// Never for these types: they hold no map with keys that JSON lacks.
pub(super) fn encode<T: Serialize>(value: &T) -> Bytes {
    let json = serde_json::to_vec(value).expect("ledger types have a JSON form");
    Bytes::from(json)
}

/// Writes answers one after the other, behind a line that lists their sizes.
pub(super) fn pack<'a>(answers: impl Iterator<Item = &'a Bytes> + Clone) -> Bytes {
    let sizes: Vec<usize> = answers.clone().map(Bytes::len).collect();
    let mut out = encode(&sizes).to_vec();
    out.push(b'\n');
    for answer in answers {
        out.extend_from_slice(answer);
    }
    Bytes::from(out)
}

/// Finds one answer in a pack, or returns `None` where the pack is malformed.
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
