//! The results of `check`, `render` and `diff`.

use std::fmt;

use serde::Serialize;
use serde_json::Value;

use cactusroad_adapter::store::Store;
use cactusroad_core::config::{
    Generation,
    change::{self, Change},
    folder::Folder,
    parts,
};

use crate::{Error, remote, text};

/// The number of items in a valid folder.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// The number of routes.
    pub routes: usize,
    /// The number of versions.
    pub versions: usize,
    /// The number of data centres.
    pub data_centres: usize,
    /// The number of workspaces.
    pub workspaces: usize,
    /// The number of rollout plans.
    pub plans: usize,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Counts {
            routes,
            versions,
            data_centres,
            workspaces,
            plans,
        } = self;
        write!(
            f,
            "no fault: {routes} routes, {versions} versions, {data_centres} data centres, \
             {workspaces} workspaces, {plans} plans"
        )
    }
}

/// Counts the items in a valid folder.
pub fn count(folder: &Folder) -> Counts {
    let snapshot = &folder.snapshot;
    Counts {
        routes: snapshot.routes.len(),
        versions: snapshot.versions.len(),
        data_centres: snapshot.data_centres.len(),
        workspaces: snapshot.workspaces.len(),
        plans: snapshot.plans.len(),
    }
}

/// The configuration of a folder, with every default filled in.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Rendered(pub Value);

impl fmt::Display for Rendered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:#}", self.0)
    }
}

/// Renders the configuration of a folder.
pub fn render(folder: &Folder) -> Rendered {
    let mut document = parts::document(&folder.snapshot);
    text::format_document(&mut document);
    Rendered(document)
}

/// The difference between a folder and the configuration in force.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Diff {
    /// The generation in force.
    pub generation: Generation,
    /// The changes that an apply would make.
    pub changes: Vec<Change>,
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let generation = self.generation.0;
        if self.changes.is_empty() {
            return write!(
                f,
                "generation {generation} is in force and equals the folder"
            );
        }
        for change in &self.changes {
            writeln!(f, "{}", text::Line(change))?;
        }
        write!(
            f,
            "apply with `--on {generation}` to accept exactly these changes"
        )
    }
}

/// Compares a folder with the configuration in force.
///
/// # Errors
///
/// Fails if the store is unreachable or holds an object that cannot be read.
pub async fn diff(store: &impl Store, folder: &Folder) -> Result<Diff, Error> {
    let current = remote::current(store).await?;
    let before = parts::document(&current.snapshot);
    Ok(Diff {
        generation: current.generation(),
        changes: changes(&before, &parts::document(&folder.snapshot)),
    })
}

/// Lists the fields that differ between two documents, with times in RFC 3339.
pub(crate) fn changes(before: &Value, after: &Value) -> Vec<Change> {
    let mut before = before.clone();
    let mut after = after.clone();
    text::format_document(&mut before);
    text::format_document(&mut after);
    change::changes(&before, &after)
}
