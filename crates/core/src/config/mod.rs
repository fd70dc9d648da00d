//! The schema of what operators write: routes, versions, data centres,
//! workspaces and rollout plans.
//!
//! A [`Snapshot`] is one accepted configuration, numbered by its
//! [`Generation`]. Generations are totally ordered and a process only moves
//! forward.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Time;

/// The number of an accepted configuration; each is one more than the last.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// What stands behind a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Model engines that stream tokens.
    Model,
    /// Plain services that answer once.
    Service,
}

/// A route that callers name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name in the `model` field or the path of a call.
    #[serde(skip)]
    pub name: Arc<str>,
    /// What stands behind the route.
    pub kind: Kind,
    /// The version in force where no plan moves the route.
    pub version: Arc<str>,
    /// Whether a request may run more than once.
    #[serde(default = "Route::default_idempotent")]
    pub idempotent: bool,
    /// The longest that a request may take, in milliseconds; becomes a deadline on arrival.
    #[serde(default = "Route::default_timeout_ms")]
    pub timeout_ms: u64,
    /// The priority at the engine; higher goes first.
    #[serde(default)]
    pub priority: u8,
}

impl Route {
    const fn default_idempotent() -> bool {
        true
    }

    const fn default_timeout_ms() -> u64 {
        120_000
    }
}

/// A version of a model or service that endpoints hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The name that routes and plans use.
    #[serde(skip)]
    pub name: Arc<str>,
    /// The model, adapter or service build, as the weight store names it.
    pub artifact: Arc<str>,
}

/// A data centre and whether new work may go there.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The name in the settings of each process.
    #[serde(skip)]
    pub name: Arc<str>,
    /// The region that holds it.
    pub region: Arc<str>,
    /// Whether operators have taken it out.
    #[serde(default)]
    pub out: bool,
    /// When it came back last; its share of load ramps up from then.
    #[serde(default)]
    pub back_at: Option<Time>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name that callers send.
    #[serde(skip)]
    pub name: Arc<str>,
    /// The share of a crowded endpoint, relative to other workspaces.
    #[serde(default = "Workspace::default_weight")]
    pub weight: u32,
    /// SHA-256 digests of the accepted keys, in hexadecimal; none means no key is asked.
    #[serde(default)]
    pub key_digests: Vec<Arc<str>>,
    /// The most tokens a second over the whole system, or no limit.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
}

impl Workspace {
    const fn default_weight() -> u32 {
        1
    }
}

/// One accepted configuration, each list sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Snapshot {
    /// The number of this configuration.
    pub generation: Generation,
    /// The routes.
    pub routes: Vec<Route>,
    /// The versions.
    pub versions: Vec<Version>,
    /// The data centres.
    pub data_centres: Vec<DataCentre>,
    /// The workspaces that this process holds.
    pub workspaces: Vec<Workspace>,
}

impl Snapshot {
    /// Finds a route by its name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        find(&self.routes, name, |route| &route.name)
    }

    /// Finds a workspace by its name.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        find(&self.workspaces, name, |workspace| &workspace.name)
    }

    /// Finds a data centre by its name.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        find(&self.data_centres, name, |data_centre| &data_centre.name)
    }
}

fn find<'a, T>(sorted: &'a [T], name: &str, key: impl Fn(&T) -> &str) -> Option<&'a T> {
    let at = sorted.binary_search_by(|item| key(item).cmp(name)).ok()?;
    sorted.get(at)
}
