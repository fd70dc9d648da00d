//! A configuration as values that the store takes.
//!
//! The store holds values of at most a megabyte, and tens of thousands of
//! workspaces are more than that. An accepted configuration is therefore a small
//! [`Manifest`] that names its parts by their SHA-256 digests: one base part with
//! everything but the workspaces, and one part for each hash bucket of
//! workspaces. A change rewrites only the parts that it touches, parts are never
//! overwritten, and a process may fetch a part from any peer, because the digest
//! proves it.
//!
//! Accepting is one conditional update of the manifest, after its parts are
//! written. A manifest in the store is therefore always complete.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sha2::{Digest as _, Sha256};

use super::{DataCentre, Generation, Plan, Route, Settings, Snapshot, Version, Workspace};
use crate::Time;

/// The largest part, in bytes; the store takes a megabyte.
pub const MAX_PART_BYTES: usize = 1_000_000;
/// The key of the manifest in force.
pub const MANIFEST_KEY: &str = "config/manifest";
/// The prefix of the keys of parts.
pub const PARTS_PREFIX: &str = "config/parts/";
/// The prefix of the keys of earlier manifests.
pub const HISTORY_PREFIX: &str = "config/history/";

/// The mean size of a bucket that the number of buckets aims at, in bytes.
const BUCKET_BYTES: usize = 128 * 1024;

/// The SHA-256 digest of a part, in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(Arc<str>);

impl Digest {
    /// Computes the digest of a value.
    pub fn of(content: &[u8]) -> Digest {
        Digest(hex::encode(Sha256::digest(content)).into())
    }

    /// Returns the key of the part in the store.
    pub fn key(&self) -> String {
        format!("{PARTS_PREFIX}{}", self.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Names one accepted configuration and its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The number of the configuration.
    pub generation: Generation,
    /// The number of the one before it.
    pub previous: Generation,
    /// The part with everything but the workspaces.
    pub base: Digest,
    /// The parts of the workspaces, by the number of their bucket.
    pub buckets: Vec<Digest>,
    /// Random bits of the one `apply` that wrote it, by which a lost answer is settled.
    pub apply: Arc<str>,
    /// Who applied it.
    pub author: Arc<str>,
    /// When it was applied, by the clock of the operator.
    pub applied_at: Time,
}

impl Manifest {
    /// Reads a manifest from the store's value.
    ///
    /// # Errors
    ///
    /// Fails where the value is not a manifest.
    pub fn parse(value: &[u8]) -> Result<Manifest, Error> {
        serde_json::from_slice(value).map_err(|_| Error::BadManifest)
    }

    /// Returns the store's value of the manifest.
    pub fn to_bytes(&self) -> Bytes {
        to_bytes(self)
    }

    /// Lists all digests, the base first.
    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        std::iter::once(&self.base).chain(&self.buckets)
    }

    /// Returns the key of a generation in the history, in the order of generations.
    pub fn history_key(generation: Generation) -> String {
        format!("{HISTORY_PREFIX}{:012}", generation.0)
    }
}

/// A value that its digest names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The digest of the content.
    pub digest: Digest,
    /// The content, at most a megabyte.
    pub content: Bytes,
}

impl Part {
    /// Names a content by its digest.
    pub fn new(content: Bytes) -> Part {
        Part {
            digest: Digest::of(&content),
            content,
        }
    }
}

/// Why a configuration cannot be split or put together.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The manifest cannot be read.
    #[error("the manifest cannot be read; apply the folder again with this release")]
    BadManifest,
    /// The base part is not held.
    #[error("part {0} is not held; fetch it from the store or a peer")]
    NotHeld(Digest),
    /// A part is not what its digest names, or not of this schema.
    #[error("part {0} cannot be read; fetch it again, and check that all run the same release")]
    BadPart(Digest),
    /// A part is larger than the store takes.
    #[error("a part of {0} bytes is over the store's megabyte; remove what is no longer used")]
    TooLarge(usize),
}

#[derive(Serialize, Deserialize)]
struct Base {
    routes: Map<String, Value>,
    versions: Map<String, Value>,
    data_centres: Map<String, Value>,
    plans: Map<String, Value>,
    settings: Settings,
}

/// Parts of one configuration, before it has a number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The part with everything but the workspaces.
    pub base: Part,
    /// The parts of the workspaces, by the number of their bucket.
    pub buckets: Vec<Part>,
}

impl Split {
    /// Lists all parts, the base first.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        std::iter::once(&self.base).chain(&self.buckets)
    }
}

/// Splits a whole configuration into parts.
///
/// # Errors
///
/// Fails where one part is over a megabyte.
pub fn split(snapshot: &Snapshot) -> Result<Split, Error> {
    let base = Part::new(to_bytes(&base(snapshot)));
    if base.content.len() > MAX_PART_BYTES {
        return Err(Error::TooLarge(base.content.len()));
    }
    let total: usize = snapshot
        .workspaces
        .iter()
        .map(|w| to_bytes(w).len() + w.name.len())
        .sum();
    let mut count = total.div_ceil(BUCKET_BYTES).next_power_of_two();
    loop {
        let buckets = buckets(&snapshot.workspaces, count);
        let largest = buckets
            .iter()
            .map(|part| part.content.len())
            .max()
            .unwrap_or(0);
        if largest <= MAX_PART_BYTES {
            return Ok(Split { base, buckets });
        }
        if count > snapshot.workspaces.len() {
            return Err(Error::TooLarge(largest));
        }
        count *= 2;
    }
}

/// Puts a configuration together from the parts that `held` returns.
///
/// Buckets that are not held are left out and noted in [`Snapshot::not_held`].
///
/// # Errors
///
/// Fails where the base part is not held, or where a held part cannot be read.
pub fn join(
    manifest: &Manifest,
    held: impl Fn(&Digest) -> Option<Bytes>,
) -> Result<Snapshot, Error> {
    let not_held = || Error::NotHeld(manifest.base.clone());
    let content = held(&manifest.base).ok_or_else(not_held)?;
    let base: Base = from_part(&manifest.base, &content)?;
    let bad = |_| Error::BadPart(manifest.base.clone());
    let mut snapshot = Snapshot {
        generation: manifest.generation,
        routes: items(base.routes, |item: &mut Route, name| item.name = name).map_err(bad)?,
        versions: items(base.versions, |item: &mut Version, name| item.name = name).map_err(bad)?,
        data_centres: items(base.data_centres, |item: &mut DataCentre, name| {
            item.name = name;
        })
        .map_err(bad)?,
        workspaces: Vec::new(),
        plans: items(base.plans, |item: &mut Plan, name| item.name = name).map_err(bad)?,
        settings: base.settings,
        buckets: manifest.buckets.len(),
        not_held: Vec::new(),
    };
    for (number, digest) in manifest.buckets.iter().enumerate() {
        let Some(content) = held(digest) else {
            snapshot.not_held.push(number);
            continue;
        };
        let map: Map<String, Value> = from_part(digest, &content)?;
        let held = items(map, |item: &mut Workspace, name| item.name = name);
        let held = held.map_err(|_| Error::BadPart(digest.clone()))?;
        snapshot.workspaces.extend(held);
    }
    snapshot.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(snapshot)
}

/// Returns a configuration as one document with a section for each list.
pub fn document(snapshot: &Snapshot) -> Value {
    let mut document = to_value(&base(snapshot));
    let workspaces = section(&snapshot.workspaces, |item| &item.name);
    if let Value::Object(sections) = &mut document {
        sections.insert("workspaces".to_owned(), workspaces.into());
    }
    document
}

/// Returns the bucket of a workspace among `count` buckets.
pub fn bucket(workspace: &str, count: usize) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64(workspace.as_bytes());
    let count = u64::try_from(count.max(1)).unwrap_or(u64::MAX);
    usize::try_from(hash % count).unwrap_or(0)
}

/// Returns the size of the base part, in bytes.
pub(super) fn base_bytes(snapshot: &Snapshot) -> usize {
    to_bytes(&base(snapshot)).len()
}

fn base(snapshot: &Snapshot) -> Base {
    Base {
        routes: section(&snapshot.routes, |item| &item.name),
        versions: section(&snapshot.versions, |item| &item.name),
        data_centres: section(&snapshot.data_centres, |item| &item.name),
        plans: section(&snapshot.plans, |item| &item.name),
        settings: snapshot.settings,
    }
}

fn buckets(workspaces: &[Workspace], count: usize) -> Vec<Part> {
    let mut maps = vec![Map::new(); count];
    for workspace in workspaces {
        let value = to_value(workspace);
        maps[bucket(&workspace.name, count)].insert(workspace.name.to_string(), value);
    }
    maps.iter().map(|map| Part::new(to_bytes(map))).collect()
}

fn section<T: Serialize>(items: &[T], name: impl Fn(&T) -> &Arc<str>) -> Map<String, Value> {
    let entry = |item: &T| (name(item).to_string(), to_value(item));
    items.iter().map(entry).collect()
}

fn items<T: serde::de::DeserializeOwned>(
    section: Map<String, Value>,
    set_name: impl Fn(&mut T, Arc<str>),
) -> Result<Vec<T>, serde_json::Error> {
    let mut items = Vec::with_capacity(section.len());
    for (name, value) in section {
        let mut item: T = serde_json::from_value(value)?;
        set_name(&mut item, name.into());
        items.push(item);
    }
    Ok(items)
}

fn from_part<T: serde::de::DeserializeOwned>(digest: &Digest, content: &[u8]) -> Result<T, Error> {
    let bad = || Error::BadPart(digest.clone());
    if Digest::of(content) != *digest {
        return Err(bad());
    }
    serde_json::from_slice(content).map_err(|_| bad())
}

fn to_value<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).expect("the schema has only text keys")
}

fn to_bytes<T: Serialize>(item: &T) -> Bytes {
    serde_json::to_vec(item)
        .expect("the schema has only text keys")
        .into()
}
