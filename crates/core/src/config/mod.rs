//! The schema of what operators write: routes, versions, data centres,
//! workspaces, rollout plans and settings.
//!
//! Operators keep one folder of small JSON files. [`folder`] merges them in the
//! order of their names and reports every fault at once; [`check`] holds the
//! rules that span several objects. [`parts`] splits an accepted configuration
//! into values that the store takes, and puts it together again.
//!
//! A [`Snapshot`] is one accepted configuration, numbered by its
//! [`Generation`]. Generations are totally ordered and a process only moves
//! forward. A snapshot may hold only some of the workspaces: there are tens of
//! thousands of them, and one process meets few. [`Snapshot::lookup`] therefore
//! tells a workspace that does not exist from one that is not held.

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

/// A whole share of traffic, in thousandths.
pub const WHOLE_SHARE: u16 = 1_000;

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

/// A move of a route's traffic from one version to another by a set time.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// The name that `status` shows; a plan that was reversed is repeated under a new name.
    #[serde(skip)]
    pub name: Arc<str>,
    /// The route whose traffic moves.
    pub route: Arc<str>,
    /// The version that the route leaves, which stays loaded until the plan is done.
    pub from: Arc<str>,
    /// The version that the route moves to.
    pub to: Arc<str>,
    /// The shares of the new version, rising, each with its earliest time.
    pub steps: Vec<Step>,
    /// The time by which the move is done or taken back.
    pub deadline: Time,
    /// The largest share while no step is proven, in thousandths.
    #[serde(default = "Plan::default_unproven_share")]
    pub unproven_share: u16,
}

impl Plan {
    const fn default_unproven_share() -> u16 {
        50
    }
}

/// One step of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The share of the new version, in thousandths.
    pub share: u16,
    /// The earliest time of the step.
    pub not_before: Time,
}

/// What is known of a workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Lookup<'a> {
    /// The workspace is in force.
    Found(&'a Workspace),
    /// No such workspace is in force.
    Absent,
    /// The bucket of this number is not held; fetch its part from the store or a peer.
    NotHeld(usize),
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
    /// The rollout plans.
    pub plans: Vec<Plan>,
    /// The settings of the whole site.
    pub settings: Settings,
    /// The number of hash buckets of workspaces; zero where all workspaces are held.
    pub buckets: usize,
    /// The buckets that this process does not hold, sorted.
    pub not_held: Vec<usize>,
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

    /// Finds a workspace, or tells which bucket must be fetched to know.
    pub fn lookup(&self, name: &str) -> Lookup<'_> {
        if let Some(workspace) = self.workspace(name) {
            return Lookup::Found(workspace);
        }
        let bucket = parts::bucket(name, self.buckets);
        match self.not_held.binary_search(&bucket) {
            Ok(_) => Lookup::NotHeld(bucket),
            Err(_) => Lookup::Absent,
        }
    }

    /// Finds a version by its name.
    pub fn version(&self, name: &str) -> Option<&Version> {
        find(&self.versions, name, |version| &version.name)
    }

    /// Finds a plan by its name.
    pub fn plan(&self, name: &str) -> Option<&Plan> {
        find(&self.plans, name, |plan| &plan.name)
    }

    /// Finds the plan that moves a route; at most one does.
    pub fn plan_of(&self, route: &str) -> Option<&Plan> {
        self.plans.iter().find(|plan| &*plan.route == route)
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
