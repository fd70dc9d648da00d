//! Bringing a folder into force.
//!
//! The order of writes makes each interruption harmless:
//!
//! 1. the parts, under their digests: no reader sees them yet;
//! 2. the manifest in force, under its number in the history;
//! 3. the new manifest, on condition that the one read is still in force;
//! 4. the new manifest in the history, which step 2 of the next apply repeats.
//!
//! Only step 3 accepts, and of two operators who race the store lets one
//! through. Where its answer is lost, the manifest is read back: it carries the
//! random id of its apply. Because step 2 comes before step 3, the history holds
//! a manifest that was accepted and overtaken since, so the question is always
//! settled by reading.

use std::{fmt, sync::Arc};

use serde::Serialize;

use cactusroad_adapter::store::{self, Store};
use cactusroad_core::{
    Time,
    config::{
        Generation, Snapshot, change, check,
        fault::{Fault, Kind},
        folder::Folder,
        parts::{self, MANIFEST_KEY, Manifest, Split},
    },
    rollout::{self, Outcome},
};

use crate::{
    Error,
    remote::{self, Current},
};

/// How often a lost answer of the accepting write is read back.
const MAX_SETTLES: u32 = 8;

/// Who applies, and on what condition.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Who applies.
    pub author: Arc<str>,
    /// The generation that the operator compared the folder with, where stated.
    pub on: Option<Generation>,
    /// Random bits that no other apply has.
    pub id: Arc<str>,
    /// The current time.
    pub now: Time,
}

/// What an apply did.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// The generation in force.
    pub generation: Generation,
    /// Whether the folder differs from what was in force.
    pub changed: bool,
    /// The number of fields that changed.
    pub changes: usize,
    /// The parts that had to be written.
    pub parts_written: usize,
}

impl fmt::Display for Applied {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if !self.changed {
            return write!(f, "generation {} is in force already", self.generation.0);
        }
        write!(
            f,
            "accepted as generation {} ({} changes); `status` shows where it is in force",
            self.generation.0, self.changes
        )
    }
}

/// Brings a folder into force, or changes nothing.
///
/// # Errors
///
/// [`Error::Unsettled`] alone leaves open whether the folder is in force.
pub async fn apply(
    store: &impl Store,
    folder: &Folder,
    request: &Request,
) -> Result<Applied, Error> {
    let current = remote::current(store).await?;
    let before = current.generation();
    if let Some(on) = request.on.filter(|on| *on != before) {
        return Err(conflict(store, on, &current).await?);
    }
    let split = parts::split(&folder.snapshot)?;
    if let Some(manifest) = &current.manifest
        && is_same(manifest, &split)
    {
        return Ok(Applied {
            generation: before,
            changed: false,
            changes: 0,
            parts_written: 0,
        });
    }
    check_step(store, &current.snapshot, &folder.snapshot, request.now).await?;
    let parts_written = write_parts(store, &current, &split).await?;
    if let Some(manifest) = &current.manifest {
        write_history(store, manifest).await?;
    }
    let manifest = next(&current, &split, request);
    accept(store, &current, &manifest).await?;
    // The next apply repeats this write before it accepts, so a failure loses nothing.
    if let Err(error) = write_history(store, &manifest).await {
        log::warn!(
            "the history lacks generation {}: {error}",
            manifest.generation.0
        );
    }
    let old = parts::document(&current.snapshot);
    let new = parts::document(&folder.snapshot);
    Ok(Applied {
        generation: manifest.generation,
        changed: true,
        changes: change::changes(&old, &new).len(),
        parts_written,
    })
}

async fn check_step(
    store: &impl Store,
    before: &Snapshot,
    after: &Snapshot,
    now: Time,
) -> Result<(), Error> {
    let mut found = check::check_step(before, after, now);
    for plan in after
        .plans
        .iter()
        .filter(|plan| before.plan(&plan.name).is_none())
    {
        let key = rollout::outcome_key(&plan.name);
        if let Some(outcome) = remote::object::<Outcome>(store, &key).await? {
            let path = vec!["plans".to_owned(), plan.name.to_string()];
            found.push((path, Kind::PlanEnded(outcome.end)));
        }
    }
    if found.is_empty() {
        return Ok(());
    }
    let fault = |(path, kind): (check::Path, Kind)| Fault {
        file: "the folder".into(),
        field: path.join(".").into(),
        kind,
    };
    Err(Error::Faults(found.into_iter().map(fault).collect()))
}

fn is_same(manifest: &Manifest, split: &Split) -> bool {
    manifest
        .digests()
        .eq(split.parts().map(|part| &part.digest))
}

fn next(current: &Current, split: &Split, request: &Request) -> Manifest {
    let previous = current.generation();
    Manifest {
        generation: Generation(previous.0 + 1),
        previous,
        base: split.base.digest.clone(),
        buckets: split
            .buckets
            .iter()
            .map(|part| part.digest.clone())
            .collect(),
        apply: request.id.clone(),
        author: request.author.clone(),
        applied_at: request.now,
    }
}

async fn write_parts(store: &impl Store, current: &Current, split: &Split) -> Result<usize, Error> {
    let held = current.manifest.iter().flat_map(Manifest::digests);
    let mut held: Vec<_> = held.collect();
    held.sort();
    let mut written = 0;
    for part in split.parts() {
        if held.binary_search(&&part.digest).is_err() {
            remote::put_once(store, &part.digest.key(), &part.content).await?;
            written += 1;
        }
    }
    Ok(written)
}

async fn write_history(store: &impl Store, manifest: &Manifest) -> Result<(), Error> {
    let key = Manifest::history_key(manifest.generation);
    remote::put_once(store, &key, &manifest.to_bytes()).await
}

/// Writes the manifest on condition that the one read is still in force.
async fn accept(store: &impl Store, current: &Current, manifest: &Manifest) -> Result<(), Error> {
    let value = manifest.to_bytes();
    let mut sent = false;
    for _ in 0..MAX_SETTLES {
        match store.put(MANIFEST_KEY, current.expect, value.clone()).await {
            Ok(_) => return Ok(()),
            Err(store::Error::Unavailable) if !sent => {
                return Err(Error::Store(store::Error::Unavailable));
            }
            Err(store::Error::Unavailable) => pause().await,
            Err(store::Error::Conflict) => return settle(store, current, manifest).await,
            // A repeat is safe: if the first write takes effect later, one of the two conflicts.
            Err(store::Error::Unanswered) => {
                sent = true;
                pause().await;
            }
            Err(error) => return Err(Error::Store(error)),
        }
    }
    Err(unsettled(manifest))
}

/// Learns after a conflict whether the manifest that came first is this one.
async fn settle(store: &impl Store, current: &Current, manifest: &Manifest) -> Result<(), Error> {
    let now = remote::current(store)
        .await
        .map_err(|_| unsettled(manifest))?;
    let Some(found) = &now.manifest else {
        return Err(conflict(store, current.generation(), &now).await?);
    };
    if found.apply == manifest.apply {
        return Ok(());
    }
    if found.generation > manifest.generation {
        let key = Manifest::history_key(manifest.generation);
        let past: Option<Manifest> = remote::object(store, &key)
            .await
            .map_err(|_| unsettled(manifest))?;
        if past.is_some_and(|past| past.apply == manifest.apply) {
            return Ok(());
        }
    }
    let changes = changes(&current.snapshot, &now.snapshot);
    Err(Error::Conflict {
        expected: current.generation(),
        found: now.generation(),
        changes,
    })
}

/// Describes what changed since the generation that the operator names.
async fn conflict(
    store: &impl Store,
    expected: Generation,
    current: &Current,
) -> Result<Error, Error> {
    let key = Manifest::history_key(expected);
    let before = match remote::object::<Manifest>(store, &key).await? {
        Some(manifest) => remote::snapshot(store, &manifest).await?,
        None => Snapshot::default(),
    };
    Ok(Error::Conflict {
        expected,
        found: current.generation(),
        changes: changes(&before, &current.snapshot),
    })
}

fn changes(before: &Snapshot, after: &Snapshot) -> Vec<change::Change> {
    crate::view::changes(&parts::document(before), &parts::document(after))
}

fn unsettled(manifest: &Manifest) -> Error {
    Error::Unsettled {
        generation: manifest.generation,
        apply: manifest.apply.to_string(),
    }
}

async fn pause() {
    const PAUSE: std::time::Duration = std::time::Duration::from_millis(250);
    tokio::time::sleep(PAUSE).await;
}
