//! The configuration that operators write: routes, versions, data centres,
//! workspaces, rollout plans and settings.
//!
//! Operators keep one folder of small JSON files. [`folder`] merges them in the
//! order of their names and reports all faults at once; [`check`] contains the
//! rules that span several objects. [`parts`] splits an accepted configuration
//! into values small enough for the store, and joins them again.
//!
//! A [`Snapshot`] is one accepted configuration, numbered by its
//! [`Generation`]. Generations are totally ordered, and a process never returns
//! to an earlier one. A snapshot may contain only some of the workspaces: there
//! are tens of thousands of them, and a single process serves few.
//! [`Snapshot::lookup`] therefore distinguishes a workspace that does not exist
//! from one that has not been fetched.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::Time;

pub mod change;
pub mod check;
mod document;
pub mod drain;
pub mod fault;
pub mod folder;
pub mod parts;
pub mod report;
mod settings;

pub use settings::{Limits, Objective, Policy, Settings};

/// All traffic, as a share in thousandths.
pub const WHOLE_SHARE: u16 = 1_000;

/// The number of an accepted configuration, one higher than that of its predecessor.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Generation(pub u64);

/// The kind of endpoint that serves a route.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// A model engine, which streams tokens.
    Model,
    /// A plain service, which sends one response.
    Service,
}

/// A route, which callers name in their requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// The name in the `model` field or the path of a request.
    #[serde(skip)]
    pub name: Arc<str>,
    /// The kind of endpoint that serves the route.
    pub kind: Kind,
    /// The version that serves the route unless a plan is in force.
    pub version: Arc<str>,
    /// Whether it is safe to execute a request more than once.
    #[serde(default = "Route::default_idempotent")]
    pub idempotent: bool,
    /// The time limit of a request, in milliseconds from its arrival.
    #[serde(default = "Route::default_timeout_ms")]
    pub timeout_ms: u64,
    /// The priority at the engine; a higher value is served first.
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

/// A version of a model or service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Version {
    /// The name by which routes and plans refer to the version.
    #[serde(skip)]
    pub name: Arc<str>,
    /// The name of the model, adapter or service build in the weight store.
    pub artifact: Arc<str>,
}

/// A data centre and whether it receives new requests.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// The name, as in the settings of its processes.
    #[serde(skip)]
    pub name: Arc<str>,
    /// The region of the data centre.
    pub region: Arc<str>,
    /// Whether operators have taken the data centre out of service.
    #[serde(default)]
    pub out: bool,
    /// The last return to service, from which the share of load ramps up.
    #[serde(default)]
    pub back_at: Option<Time>,
}

/// A customer, with its keys and limits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workspace {
    /// The name that callers send in their requests.
    #[serde(skip)]
    pub name: Arc<str>,
    /// The weight in fair queuing at an overloaded endpoint, relative to other workspaces.
    #[serde(default = "Workspace::default_weight")]
    pub weight: u32,
    /// SHA-256 digests of the accepted API keys, in hexadecimal; if empty, no key is required.
    #[serde(default)]
    pub key_digests: Vec<Arc<str>>,
    /// The limit on tokens per second over the whole system; `None` for no limit.
    #[serde(default)]
    pub tokens_per_second: Option<u64>,
}

impl Workspace {
    const fn default_weight() -> u32 {
        1
    }
}

/// A rollout: moves a route's traffic from one version to another by a deadline.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The name that `status` shows. It is never reused: a retry after a rollback needs a new name.
    #[serde(skip)]
    pub name: Arc<str>,
    /// The route whose traffic the plan moves.
    pub route: Arc<str>,
    /// The old version, which stays loaded until the plan has ended.
    pub from: Arc<str>,
    /// The new version.
    pub to: Arc<str>,
    /// The steps, with rising shares of the new version.
    pub steps: Vec<Step>,
    /// The time by which the rollout is completed or rolled back.
    pub deadline: Time,
    /// The maximum share of the new version until the first step is proven, in thousandths.
    #[serde(default = "Plan::default_unproven_share")]
    pub unproven_share: u16,
}

impl Plan {
    const fn default_unproven_share() -> u16 {
        50
    }
}

/// One step of a plan.
///
/// A step is proven once its traffic shows that the new version is no worse than
/// the old one; see [`rollout`](crate::rollout).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The share of the new version, in thousandths.
    pub share: u16,
    /// The earliest time at which the step may start.
    pub not_before: Time,
}

/// The result of looking up a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup<'a> {
    /// The workspace exists.
    Found(&'a Workspace),
    /// The workspace does not exist.
    Absent,
    /// The workspace belongs to the bucket of this number, which must first be fetched
    /// from the store or a peer.
    MissingBucket(usize),
}

/// One accepted configuration, with each list sorted by name.
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
    /// The workspaces in the buckets that have been fetched.
    pub workspaces: Vec<Workspace>,
    /// The rollout plans.
    pub plans: Vec<Plan>,
    /// The settings of the whole site.
    pub settings: Settings,
    /// The number of hash buckets of workspaces; zero if the workspaces are not split.
    pub buckets: usize,
    /// The numbers of the buckets that have not been fetched, sorted.
    pub missing_buckets: Vec<usize>,
}

impl Snapshot {
    /// Returns the route with this name.
    pub fn route(&self, name: &str) -> Option<&Route> {
        find_by_name(&self.routes, name, |route| &route.name)
    }

    /// Returns the workspace with this name, if its bucket has been fetched.
    pub fn workspace(&self, name: &str) -> Option<&Workspace> {
        find_by_name(&self.workspaces, name, |workspace| &workspace.name)
    }

    /// Looks up a workspace; the result distinguishes one that does not exist from one
    /// whose bucket has not been fetched.
    pub fn lookup(&self, name: &str) -> Lookup<'_> {
        if let Some(workspace) = self.workspace(name) {
            return Lookup::Found(workspace);
        }
        let bucket = parts::bucket(name, self.buckets);
        match self.missing_buckets.binary_search(&bucket) {
            Ok(_) => Lookup::MissingBucket(bucket),
            Err(_) => Lookup::Absent,
        }
    }

    /// Returns the version with this name.
    pub fn version(&self, name: &str) -> Option<&Version> {
        find_by_name(&self.versions, name, |version| &version.name)
    }

    /// Returns the plan with this name.
    pub fn plan(&self, name: &str) -> Option<&Plan> {
        find_by_name(&self.plans, name, |plan| &plan.name)
    }

    /// Returns the plan of a route; a valid configuration has at most one.
    pub fn plan_of_route(&self, route: &str) -> Option<&Plan> {
        self.plans.iter().find(|plan| &*plan.route == route)
    }

    /// Returns the data centre with this name.
    pub fn data_centre(&self, name: &str) -> Option<&DataCentre> {
        find_by_name(&self.data_centres, name, |data_centre| &data_centre.name)
    }
}

fn find_by_name<'a, T>(sorted: &'a [T], name: &str, key: impl Fn(&T) -> &str) -> Option<&'a T> {
    let index = sorted.binary_search_by(|item| key(item).cmp(name)).ok()?;
    sorted.get(index)
}
