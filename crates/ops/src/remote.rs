//! The configuration in the store.

use std::{future::Future, time::Duration};

use bytes::Bytes;
use serde::de::DeserializeOwned;

use cactusroad_adapter::store::{self, Expect, Store, Version};
use cactusroad_core::config::{
    Generation, Snapshot,
    parts::{self, Digest, MANIFEST_KEY, Manifest},
};

use crate::Error;

/// How often a call that may be repeated is tried.
const MAX_TRIES: u32 = 5;
/// The pause after the first failed try, which doubles with each further one.
const FIRST_PAUSE_MS: u64 = 100;

/// What is in force, with the version of the manifest that was read.
#[derive(Clone, Debug, PartialEq)]
pub struct Current {
    /// The condition under which the next manifest may be written.
    pub expect: Expect,
    /// The manifest, or nothing where none was ever applied.
    pub manifest: Option<Manifest>,
    /// The whole configuration, empty where none was ever applied.
    pub snapshot: Snapshot,
}

impl Current {
    /// Returns the generation in force, 0 where none was ever applied.
    pub fn generation(&self) -> Generation {
        self.snapshot.generation
    }
}

/// Reads the manifest in force and its version.
///
/// # Errors
///
/// Fails where the store is down or holds something else.
pub async fn manifest(store: &impl Store) -> Result<Option<(Version, Manifest)>, Error> {
    let Some(object) = retry(|| store.get(MANIFEST_KEY)).await? else {
        return Ok(None);
    };
    let manifest = Manifest::parse(&object.value)?;
    Ok(Some((object.version, manifest)))
}

/// Reads what is in force, with all its parts.
///
/// # Errors
///
/// Fails where the store is down or holds something that cannot be read.
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

/// Reads all parts that a manifest names.
///
/// # Errors
///
/// Fails where the store is down or lacks a part.
pub async fn snapshot(store: &impl Store, manifest: &Manifest) -> Result<Snapshot, Error> {
    let mut held: Vec<(&Digest, Bytes)> = Vec::new();
    for digest in manifest.digests() {
        let key = digest.key();
        match retry(|| store.get(&key)).await? {
            Some(object) => held.push((digest, object.value)),
            None => return Err(parts::Error::NotHeld(digest.clone()).into()),
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

/// Reads an object of JSON, or nothing where it is absent.
///
/// # Errors
///
/// Fails where the store is down or the object has another form.
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

/// Writes an object whose key is written once; one that stands already is no error.
///
/// # Errors
///
/// Fails where the store is down.
pub async fn put_once(store: &impl Store, key: &str, value: &Bytes) -> Result<(), Error> {
    let put = || store.put(key, Expect::Absent, value.clone());
    match retry_raw(put).await {
        Ok(_) | Err(store::Error::Conflict) => Ok(()),
        Err(error) => Err(Error::Store(error)),
    }
}

/// Repeats a call that does no harm when it takes effect twice.
///
/// # Errors
///
/// Returns the last error.
pub async fn retry<T, F: Future<Output = Result<T, store::Error>>>(
    call: impl FnMut() -> F,
) -> Result<T, Error> {
    retry_raw(call).await.map_err(Error::Store)
}

async fn retry_raw<T, F: Future<Output = Result<T, store::Error>>>(
    mut call: impl FnMut() -> F,
) -> Result<T, store::Error> {
    let mut pause = Duration::from_millis(FIRST_PAUSE_MS);
    let mut tries = 1;
    loop {
        match call().await {
            Err(store::Error::Unavailable | store::Error::Unanswered) if tries < MAX_TRIES => {
                tokio::time::sleep(pause).await;
                pause *= 2;
                tries += 1;
            }
            result => return result,
        }
    }
}
