//! Splitting a configuration into values for the store.
//!
//! The store limits a value to 1 MB, and tens of thousands of workspaces exceed
//! that. An accepted configuration is therefore a small [`Manifest`] that refers
//! to its parts by their SHA-256 digests: one base part with everything but the
//! workspaces, and one part for each hash bucket of workspaces. A change
//! rewrites only the affected parts, parts are never overwritten, and a process
//! may fetch a part from any peer and verify it by its digest.
//!
//! A configuration is accepted by one conditional update of the manifest after
//! its parts have been written, so the parts of a stored manifest always exist.

use std::{fmt, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Map, Value};
use sha2::{Digest as _, Sha256};

use super::{DataCentre, Generation, Plan, Route, Settings, Snapshot, Version, Workspace};
use crate::Time;

/// The maximum size of a part, in bytes; the store's limit on a value.
pub const MAX_PART_BYTES: usize = 1_000_000;
/// The store key of the manifest in force.
pub const MANIFEST_KEY: &str = "config/manifest";
/// The prefix of the store keys of parts.
pub const PARTS_PREFIX: &str = "config/parts/";
/// The prefix of the store keys of accepted manifests, by generation.
pub const HISTORY_PREFIX: &str = "config/history/";

/// The target for the mean size of a bucket, in bytes.
const BUCKET_BYTES: usize = 128 * 1024;

/// The SHA-256 digest of a part, in hexadecimal.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(Arc<str>);

impl Digest {
    /// Computes the digest of a part.
    pub fn of(content: &[u8]) -> Digest {
        Digest(hex::encode(Sha256::digest(content)).into())
    }

    /// Returns the store key of the part.
    pub fn key(&self) -> String {
        format!("{PARTS_PREFIX}{}", self.0)
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// Identifies one accepted configuration and its parts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Manifest {
    /// The generation of this configuration.
    pub generation: Generation,
    /// The generation before this one.
    pub previous: Generation,
    /// The digest of the part with everything but the workspaces.
    pub base: Digest,
    /// The digests of the parts with the workspaces, indexed by bucket.
    pub buckets: Vec<Digest>,
    /// The random id of the `apply` command that wrote the manifest, which shows whether a
    /// write took effect whose response was lost.
    pub apply: Arc<str>,
    /// The operator who applied the configuration.
    pub author: Arc<str>,
    /// When the configuration was applied, by the operator's clock.
    pub applied_at: Time,
}

impl Manifest {
    /// Parses a manifest from a value of the store.
    ///
    /// # Errors
    ///
    /// Returns [`Error::BadManifest`] if the value is not a manifest.
    pub fn parse(value: &[u8]) -> Result<Manifest, Error> {
        serde_json::from_slice(value).map_err(|_| Error::BadManifest)
    }

    /// Serializes the manifest to a value for the store.
    pub fn to_bytes(&self) -> Bytes {
        to_bytes(self)
    }

    /// Returns the digests of all parts, the base first.
    pub fn digests(&self) -> impl Iterator<Item = &Digest> {
        std::iter::once(&self.base).chain(&self.buckets)
    }

    /// Returns the store key of a generation's manifest; keys sort by generation.
    pub fn history_key(generation: Generation) -> String {
        format!("{HISTORY_PREFIX}{:012}", generation.0)
    }
}

/// A content-addressed value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The digest of the content.
    pub digest: Digest,
    /// The content, at most [`MAX_PART_BYTES`].
    pub content: Bytes,
}

impl Part {
    /// Creates a part and computes its digest.
    pub fn new(content: Bytes) -> Part {
        Part {
            digest: Digest::of(&content),
            content,
        }
    }
}

/// An error of splitting or joining a configuration.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The manifest is not valid.
    #[error("the manifest is not valid; apply the folder again with this release")]
    BadManifest,
    /// The part has not been fetched.
    #[error("part {0} is missing; fetch it from the store or a peer")]
    MissingPart(Digest),
    /// The content of a part does not match its digest or the schema.
    #[error(
        "part {0} does not match its digest or the schema; fetch it again, and check that all \
         processes run the same release"
    )]
    BadPart(Digest),
    /// A part exceeds [`MAX_PART_BYTES`].
    #[error("a part of {0} bytes exceeds the store's limit of 1 MB; remove what is no longer used")]
    TooLarge(usize),
}

/// The content of the base part.
#[derive(Serialize, Deserialize)]
struct Base {
    routes: Map<String, Value>,
    versions: Map<String, Value>,
    data_centres: Map<String, Value>,
    plans: Map<String, Value>,
    settings: Settings,
}

/// The parts of a configuration that has no generation yet.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// The part with everything but the workspaces.
    pub base: Part,
    /// The parts with the workspaces, indexed by bucket.
    pub buckets: Vec<Part>,
}

impl Split {
    /// Returns all parts, the base first.
    pub fn parts(&self) -> impl Iterator<Item = &Part> {
        std::iter::once(&self.base).chain(&self.buckets)
    }
}

/// Splits a complete configuration into parts.
///
/// # Errors
///
/// Returns [`Error::TooLarge`] if a part exceeds [`MAX_PART_BYTES`].
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

/// Joins the parts that `find` returns into a configuration.
///
/// Buckets for which `find` returns `None` are left out and listed in
/// [`Snapshot::missing_buckets`].
///
/// # Errors
///
/// Returns [`Error::MissingPart`] if the base part is missing, and
/// [`Error::BadPart`] if a part does not match its digest or the schema.
pub fn join(
    manifest: &Manifest,
    find: impl Fn(&Digest) -> Option<Bytes>,
) -> Result<Snapshot, Error> {
    let missing = || Error::MissingPart(manifest.base.clone());
    let content = find(&manifest.base).ok_or_else(missing)?;
    let base: Base = parse_part(&manifest.base, &content)?;
    let bad_part = |_| Error::BadPart(manifest.base.clone());
    let mut snapshot = Snapshot {
        generation: manifest.generation,
        routes: from_section(base.routes, |item: &mut Route, name| item.name = name)
            .map_err(bad_part)?,
        versions: from_section(base.versions, |item: &mut Version, name| item.name = name)
            .map_err(bad_part)?,
        data_centres: from_section(base.data_centres, |item: &mut DataCentre, name| {
            item.name = name;
        })
        .map_err(bad_part)?,
        workspaces: Vec::new(),
        plans: from_section(base.plans, |item: &mut Plan, name| item.name = name)
            .map_err(bad_part)?,
        settings: base.settings,
        buckets: manifest.buckets.len(),
        missing_buckets: Vec::new(),
    };
    for (number, digest) in manifest.buckets.iter().enumerate() {
        let Some(content) = find(digest) else {
            snapshot.missing_buckets.push(number);
            continue;
        };
        let map: Map<String, Value> = parse_part(digest, &content)?;
        let workspaces = from_section(map, |item: &mut Workspace, name| item.name = name);
        let workspaces = workspaces.map_err(|_| Error::BadPart(digest.clone()))?;
        snapshot.workspaces.extend(workspaces);
    }
    snapshot.workspaces.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(snapshot)
}

/// Converts a configuration to one JSON document with a section for each list.
pub fn document(snapshot: &Snapshot) -> Value {
    let mut document = to_value(&base(snapshot));
    let workspaces = to_section(&snapshot.workspaces, |item| &item.name);
    if let Value::Object(sections) = &mut document {
        sections.insert("workspaces".to_owned(), workspaces.into());
    }
    document
}

/// Returns the number of a workspace's bucket, out of `count` buckets.
pub fn bucket(workspace: &str, count: usize) -> usize {
    let hash = xxhash_rust::xxh3::xxh3_64(workspace.as_bytes());
    let count = u64::try_from(count.max(1)).unwrap_or(u64::MAX);
    usize::try_from(hash % count).unwrap_or(0)
}

/// Returns the size of the serialized base part, in bytes.
pub(super) fn base_bytes(snapshot: &Snapshot) -> usize {
    to_bytes(&base(snapshot)).len()
}

fn base(snapshot: &Snapshot) -> Base {
    Base {
        routes: to_section(&snapshot.routes, |item| &item.name),
        versions: to_section(&snapshot.versions, |item| &item.name),
        data_centres: to_section(&snapshot.data_centres, |item| &item.name),
        plans: to_section(&snapshot.plans, |item| &item.name),
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

fn to_section<T: Serialize>(items: &[T], name: impl Fn(&T) -> &Arc<str>) -> Map<String, Value> {
    let entry = |item: &T| (name(item).to_string(), to_value(item));
    items.iter().map(entry).collect()
}

fn from_section<T: serde::de::DeserializeOwned>(
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

fn parse_part<T: serde::de::DeserializeOwned>(digest: &Digest, content: &[u8]) -> Result<T, Error> {
    let bad_part = || Error::BadPart(digest.clone());
    if Digest::of(content) != *digest {
        return Err(bad_part());
    }
    serde_json::from_slice(content).map_err(|_| bad_part())
}

fn to_value<T: Serialize>(item: &T) -> Value {
    serde_json::to_value(item).expect("the schema has only text keys")
}

fn to_bytes<T: Serialize>(item: &T) -> Bytes {
    serde_json::to_vec(item)
        .expect("the schema has only text keys")
        .into()
}
