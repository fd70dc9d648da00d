//! Reads and writes the configuration in the store.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use serde::de::DeserializeOwned;

use cactusroad_adapter::store::{self, Expect, Store, Version};
use cactusroad_core::config::{
    Generation, Snapshot,
    parts::{self, Digest, MANIFEST_KEY, Manifest},
};

use crate::Error;

/// Attempts at a call that is safe to repeat.
const MAX_ATTEMPTS: u32 = 5;
/// The delay after the first failed attempt; it doubles after each further one.
const INITIAL_BACKOFF_MS: u64 = 100;

/// The configuration in force, with its manifest and the condition for replacing it.
#[derive(Clone, Debug, PartialEq)]
pub struct Current {
    /// The condition for the write of the next manifest.
    pub expect: Expect,
    /// The manifest, or `None` if no configuration was ever applied.
    pub manifest: Option<Manifest>,
    /// The configuration, empty if none was ever applied.
    pub snapshot: Snapshot,
}

impl Current {
    /// Returns the generation in force, 0 if no configuration was ever applied.
    pub fn generation(&self) -> Generation {
        self.snapshot.generation
    }
}

/// Reads the manifest in force and its version, or `None` if no configuration was ever applied.
///
/// # Errors
///
/// Fails if the store is unreachable or the manifest cannot be read.
pub async fn manifest(store: &impl Store) -> Result<Option<(Version, Manifest)>, Error> {
    let Some(object) = retry(|| store.get(MANIFEST_KEY)).await? else {
        return Ok(None);
    };
    let manifest = Manifest::parse(&object.value)?;
    Ok(Some((object.version, manifest)))
}

/// Reads the configuration in force, with all its parts.
///
/// # Errors
///
/// Fails if the store is unreachable or holds an object that cannot be read.
pub async fn current(store: &impl Store) -> Result<Current, Error> {
    let Some((version, manifest)) = manifest(store).await? else {
        return Ok(Current {
            expect: Expect::Absent,
            manifest: None,
            snapshot: Snapshot::default(),
        });
    };
    let snapshot = snapshot(store, &manifest).await?;
    Ok(Current {
        expect: Expect::At(version),
        manifest: Some(manifest),
        snapshot,
    })
}

/// Reads all parts that a manifest lists and joins them.
///
/// # Errors
///
/// Fails if the store is unreachable, or a part is missing or cannot be read.
pub async fn snapshot(store: &impl Store, manifest: &Manifest) -> Result<Snapshot, Error> {
    let mut held: Vec<(&Digest, Bytes)> = Vec::new();
    for digest in manifest.digests() {
        let key = digest.key();
        match retry(|| store.get(&key)).await? {
            Some(object) => held.push((digest, object.value)),
            None => return Err(parts::Error::MissingPart(digest.clone()).into()),
        }
    }
    held.sort_by(|a, b| a.0.cmp(b.0));
    let find = |digest: &Digest| {
        let at = held
            .binary_search_by(|(held, _)| (*held).cmp(digest))
            .ok()?;
        Some(held[at].1.clone())
    };
    Ok(parts::join(manifest, find)?)
}

/// Reads a JSON object, or `None` if the key is absent.
///
/// # Errors
///
/// Fails if the store is unreachable or the object does not parse as a `T`.
pub async fn object<T: DeserializeOwned>(
    store: &impl Store,
    key: &str,
) -> Result<Option<T>, Error> {
    let Some(object) = retry(|| store.get(key)).await? else {
        return Ok(None);
    };
    let unreadable = |_| Error::Object {
        key: key.to_owned(),
    };
    serde_json::from_slice(&object.value)
        .map(Some)
        .map_err(unreadable)
}

/// Writes an object unless its key exists.
///
/// Used for keys whose value never changes, so an existing object is not an error.
///
/// # Errors
///
/// Fails if the store is unreachable.
pub async fn put_if_absent(store: &impl Store, key: &str, value: &Bytes) -> Result<(), Error> {
    let put = || store.put(key, Expect::Absent, value.clone());
    match retry_store_call(put).await {
        Ok(_) | Err(store::Error::Conflict) => Ok(()),
        Err(error) => Err(Error::Store(error)),
    }
}

/// Makes a call that is safe to repeat, and retries it with exponential backoff while the
/// store is unavailable or does not answer.
///
/// # Errors
///
/// Returns the last error.
pub async fn retry<T, F: Future<Output = Result<T, store::Error>>>(
    call: impl FnMut() -> F,
) -> Result<T, Error> {
    retry_store_call(call).await.map_err(Error::Store)
}

async fn retry_store_call<T, F: Future<Output = Result<T, store::Error>>>(
    mut call: impl FnMut() -> F,
) -> Result<T, store::Error> {
    let mut backoff = Duration::from_millis(INITIAL_BACKOFF_MS);
    let mut attempts = 1;
    loop {
        match call().await {
            Err(store::Error::Unavailable | store::Error::Unanswered)
                if attempts < MAX_ATTEMPTS =>
            {
                tokio::time::sleep(backoff).await;
                backoff *= 2;
                attempts += 1;
            }
            result => return result,
        }
    }
}
