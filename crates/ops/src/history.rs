//! The accepted configurations.

use std::{fmt, sync::Arc};

use serde::Serialize;

use cactusroad_adapter::store::Store;
use cactusroad_core::config::{
    Generation,
    parts::{HISTORY_PREFIX, Manifest},
};

use crate::{Error, remote, text};

/// One accepted configuration.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Accepted {
    /// The generation of the configuration.
    pub generation: Generation,
    /// The time of the apply, in RFC 3339.
    pub applied_at: String,
    /// The operator who applied it.
    pub author: Arc<str>,
    /// The id of the apply.
    pub apply: Arc<str>,
}

/// The latest accepted configurations, newest first.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(transparent)]
pub struct History(pub Vec<Accepted>);

impl fmt::Display for History {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.0.is_empty() {
            return f.write_str("nothing was ever applied");
        }
        for (at, accepted) in self.0.iter().enumerate() {
            let Accepted {
                generation,
                applied_at,
                author,
                apply,
            } = accepted;
            let end = if at == 0 { "" } else { "\n" };
            write!(
                f,
                "{end}{:>6}  {applied_at}  {author}  {apply}",
                generation.0
            )?;
        }
        Ok(())
    }
}

/// Reads the `count` latest accepted configurations.
///
/// # Errors
///
/// Fails if the store is unreachable or holds an object that cannot be read.
pub async fn history(store: &impl Store, count: usize) -> Result<History, Error> {
    let listed = remote::retry(|| store.list(HISTORY_PREFIX)).await?;
    let mut manifests = Vec::new();
    if let Some((_, manifest)) = remote::manifest(store).await? {
        manifests.push(manifest);
    }
    for (key, _) in listed.objects.iter().rev().take(count) {
        manifests.extend(remote::object::<Manifest>(store, key).await?);
    }
    manifests.sort_by_key(|manifest| std::cmp::Reverse(manifest.generation));
    manifests.dedup_by(|a, b| a.generation == b.generation);
    let accepted = |manifest: Manifest| Accepted {
        generation: manifest.generation,
        applied_at: text::format_time(manifest.applied_at),
        author: manifest.author,
        apply: manifest.apply,
    };
    Ok(History(
        manifests.into_iter().take(count).map(accepted).collect(),
    ))
}
