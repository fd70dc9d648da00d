//! Applies a folder: writes its configuration to the store and puts it in force.
//!
//! The store holds a configuration as *parts*, each under the digest of its content, and a
//! *manifest* that lists these digests. Each accepted configuration has a
//! *generation*, one more than that of the configuration it replaces.
//!
//! Objects are written in this order, so an interrupted apply leaves a consistent store:
//!
//! 1. the parts, under their digests; no manifest refers to new parts yet;
//! 2. the manifest in force, under its generation in the history;
//! 3. the new manifest, on condition that the manifest in force has not changed;
//! 4. the new manifest, in the history; the next apply repeats this as its step 2.
//!
//! Step 3 alone puts the configuration in force. When two operators race, the
//! store accepts only one of the two conditional writes. If the answer to step 3
//! is lost, the manifest is read back and recognised by the random id of its
//! apply. If another apply has replaced it meanwhile, the history holds it,
//! because step 2 precedes step 3; reading therefore always gives the result.

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

/// Attempts at the conditional write of the manifest before its result is reported as unknown.
const MAX_WRITE_ATTEMPTS: u32 = 8;

/// The author, condition and identity of an apply.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The operator who applies.
    pub author: Arc<str>,
    /// The generation that must be in force, or `None` to apply on top of any.
    pub expected_generation: Option<Generation>,
    /// A random id, unique to this apply.
    pub id: Arc<str>,
    /// The current time.
    pub now: Time,
}

/// The result of an apply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Applied {
    /// The generation in force.
    pub generation: Generation,
    /// Whether the folder differs from the configuration that was in force.
    pub changed: bool,
    /// The number of fields that changed.
    pub changes: usize,
    /// The number of parts that were written; unchanged parts are not.
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

/// Applies a folder.
///
/// # Errors
///
/// Every error means that nothing was applied, except [`Error::Unsettled`], after
/// which the folder may or may not be in force.
pub async fn apply(
    store: &impl Store,
    folder: &Folder,
    request: &Request,
) -> Result<Applied, Error> {
    let current = remote::current(store).await?;
    let before = current.generation();
    if let Some(expected) = request
        .expected_generation
        .filter(|expected| *expected != before)
    {
        return Err(conflict_error(store, expected, &current).await?);
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
    check_transition(store, &current.snapshot, &folder.snapshot, request.now).await?;
    let parts_written = write_parts(store, &current, &split).await?;
    if let Some(manifest) = &current.manifest {
        write_history(store, manifest).await?;
    }
    let manifest = next_manifest(&current, &split, request);
    write_manifest(store, &current, &manifest).await?;
    // The next apply repeats this write before its own step 3, so a failure loses nothing.
    if let Err(error) = write_history(store, &manifest).await {
        log::warn!(
            "cannot write generation {} to the history: {error}; the next apply retries the write",
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

async fn check_transition(
    store: &impl Store,
    before: &Snapshot,
    after: &Snapshot,
    now: Time,
) -> Result<(), Error> {
    let mut found = check::check_transition(before, after, now);
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

fn next_manifest(current: &Current, split: &Split, request: &Request) -> Manifest {
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
    let stored = current.manifest.iter().flat_map(Manifest::digests);
    let mut stored: Vec<_> = stored.collect();
    stored.sort();
    let mut written = 0;
    for part in split.parts() {
        if stored.binary_search(&&part.digest).is_err() {
            remote::put_if_absent(store, &part.digest.key(), &part.content).await?;
            written += 1;
        }
    }
    Ok(written)
}

async fn write_history(store: &impl Store, manifest: &Manifest) -> Result<(), Error> {
    let key = Manifest::history_key(manifest.generation);
    remote::put_if_absent(store, &key, &manifest.to_bytes()).await
}

/// Writes the manifest, on condition that the manifest in force is still the one read.
async fn write_manifest(
    store: &impl Store,
    current: &Current,
    manifest: &Manifest,
) -> Result<(), Error> {
    let value = manifest.to_bytes();
    let mut may_have_written = false;
    for _ in 0..MAX_WRITE_ATTEMPTS {
        match store.put(MANIFEST_KEY, current.expect, value.clone()).await {
            Ok(_) => return Ok(()),
            Err(store::Error::Unavailable) if !may_have_written => {
                return Err(Error::Store(store::Error::Unavailable));
            }
            Err(store::Error::Unavailable) => wait_before_retry().await,
            Err(store::Error::Conflict) => return resolve_conflict(store, current, manifest).await,
            // Repeating is safe even if the first write takes effect late: both have the same
            // condition, so one of the two conflicts.
            Err(store::Error::Unanswered) => {
                may_have_written = true;
                wait_before_retry().await;
            }
            Err(error) => return Err(Error::Store(error)),
        }
    }
    Err(unknown_result(manifest))
}

/// After a conflict, finds out whether an earlier attempt wrote this manifest.
async fn resolve_conflict(
    store: &impl Store,
    current: &Current,
    manifest: &Manifest,
) -> Result<(), Error> {
    let now = remote::current(store)
        .await
        .map_err(|_| unknown_result(manifest))?;
    let Some(found) = &now.manifest else {
        return Err(conflict_error(store, current.generation(), &now).await?);
    };
    if found.apply == manifest.apply {
        return Ok(());
    }
    if found.generation > manifest.generation {
        let key = Manifest::history_key(manifest.generation);
        let recorded: Option<Manifest> = remote::object(store, &key)
            .await
            .map_err(|_| unknown_result(manifest))?;
        if recorded.is_some_and(|recorded| recorded.apply == manifest.apply) {
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

/// Returns the conflict error, with the changes since the generation that was expected.
async fn conflict_error(
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

fn unknown_result(manifest: &Manifest) -> Error {
    Error::Unsettled {
        generation: manifest.generation,
        apply: manifest.apply.to_string(),
    }
}

async fn wait_before_retry() {
    const RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(250);
    tokio::time::sleep(RETRY_DELAY).await;
}
