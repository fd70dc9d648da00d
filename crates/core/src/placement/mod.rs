//! Chooses an endpoint for each request at an entry, based on stale reports.
//!
//! An entry, the process that terminates callers, never knows the current load of an
//! endpoint: reports are delayed or lost, and it does not see what other entries send.
//! The agent, the process beside the endpoint, does know: it keeps a short bounded queue
//! and refuses at once what the endpoint has no capacity for. The choice made here is
//! therefore an estimate; after a refusal the entry chooses again with the refusing
//! endpoint in [`Request::tried`].
//!
//! # Order of decisions
//!
//! 1. *Pool*: the endpoints that serve the version, except those that are leaving or
//!    unreachable and those in a data centre that operators have taken out. Pools are
//!    computed when membership or the configuration changes, never per request.
//! 2. *Subset*: the part of the pool that this entry uses, which bounds the number of
//!    connections it keeps open. Endpoints form a ring in the order of their hashes.
//!    Entries are spaced evenly on the ring by their rank among all entries, and each
//!    one uses the arc that starts at its position. Together the arcs cover all
//!    endpoints equally, and a membership change shifts each arc by about one
//!    endpoint. Independent random subsets would need no ranks, but would leave some
//!    endpoints with several times as many entries as others.
//! 3. *Affinity*: rendezvous hashing of the prompt's leading blocks selects the
//!    endpoint of the subset that most likely caches them. If its load exceeds the
//!    affinity bound, the next one in rendezvous order is considered, up to
//!    [`Config::affinity`] endpoints; after that, affinity is ignored.
//! 4. *Headroom*: the least loaded of a few endpoints drawn at random. If each entry
//!    took the minimum over all endpoints instead, entries with the same stale
//!    reports would choose the same endpoint at the same time.
//!
//! A non-idempotent request with an idempotency key is placed by rendezvous hashing of
//! the key over the whole pool ([`Table::choose_keyed`]), so that a retry reaches the
//! agent whose ledger records the first attempt.
//!
//! # Load
//!
//! An attempt is one sending of a request to an endpoint. The load of an endpoint is the
//! larger of two ratios: attempts to the limit of its ramp, and memory in use to total
//! memory. Both come from the last report, corrected by the attempts that this entry has
//! sent, and seen end, since then. A data centre that returned recently counts with only
//! part of its capacity, which grows over the ramp. Endpoints are compared by load plus
//! a small penalty for distance.
//!
//! # Cost
//!
//! Affinity, keyed and headroom decisions examine a bounded number of endpoints,
//! whatever the size of the table, and keep no state per pair of prefix and endpoint.
//! Only the fallback scan, when no drawn endpoint is usable, may visit the whole pool.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, placement::{Config, Request, Status, Table}};
//!
//! let now = Time::from_millis(1_000);
//! let mut table = Table::new(Config::default(), "entry-1".into(), "sfax".into());
//! table.observe(&Status {
//!     process: "agent-1".into(),
//!     data_centre: "sfax".into(),
//!     versions: vec!["drafts-1".into()],
//!     headroom_millis: 900,
//!     limit: 8,
//!     ..Status::default()
//! }, now);
//! let request = Request { version: "drafts-1", prefixes: &[], tried: &[] };
//! let choice = table.choose(&request, 7, now).unwrap();
//! assert_eq!(&*choice.endpoint, "agent-1");
//! table.record_sent("agent-1", now);
//! ```

use std::sync::Arc;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::{Time, config, config::Generation, id::Incarnation};

mod choose;
mod endpoint;
mod pool;
mod prefix;

use endpoint::Endpoint;
use pool::Pool;
pub use prefix::{BLOCK_BYTES, MAX_PREFIXES, prefix_hashes};

/// Minimum endpoints per version to which an entry keeps connections.
pub const MIN_SUBSET: usize = 3;

/// Parameters of placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Target number of endpoints per version to which an entry keeps connections;
    /// 24 by default. [`Config::coverage`] may raise it and [`Config::links`] lower it.
    pub subset: usize,
    /// Target number of endpoints of all versions to which an entry keeps connections,
    /// divided equally among the versions; 64 by default. Each version keeps at least
    /// [`MIN_SUBSET`], which may exceed it.
    pub links: usize,
    /// Minimum entries whose subsets include each endpoint, even if that takes larger
    /// subsets; 3 by default.
    pub coverage: usize,
    /// Endpoints drawn at random, of which the least loaded is chosen; 2 by default.
    pub choices: usize,
    /// Endpoints considered for affinity, in rendezvous order of the prefix; 2 by
    /// default, 0 to disable affinity.
    pub affinity: usize,
    /// Maximum leading blocks of the prompt that determine affinity; 4 by default.
    pub affinity_blocks: usize,
    /// Load above which affinity skips an endpoint, as a share of capacity; 0.85 by
    /// default.
    pub affinity_bound: f64,
    /// Load above which affinity skips an endpoint, as a multiple of the load of the
    /// endpoint chosen by headroom, plus [`Config::affinity_slack`]; 1.25 by default.
    pub affinity_factor: f64,
    /// Share of capacity added to the bound of [`Config::affinity_factor`]; 0.1 by default.
    pub affinity_slack: f64,
    /// Load added for an endpoint in another data centre of the region; 0.02 by default.
    pub near_penalty: f64,
    /// Load added for an endpoint in another region; 0.2 by default.
    pub far_penalty: f64,
    /// Estimated memory of an attempt that is queued, or was sent since the report, as a
    /// multiple of that of a running one; 8 by default.
    pub pending_weight: f64,
    /// Assumed attempt limit of an endpoint that has not reported yet; 4 by default.
    pub unknown_limit: u32,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            subset: 24,
            links: 64,
            coverage: 3,
            choices: 2,
            affinity: 2,
            affinity_blocks: 4,
            affinity_bound: 0.85,
            affinity_factor: 1.25,
            affinity_slack: 0.1,
            near_penalty: 0.02,
            far_penalty: 0.2,
            pending_weight: 8.0,
            unknown_limit: 4,
        }
    }
}

/// An agent's report on itself and its endpoint, which may arrive late or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the agent's process, which also identifies the endpoint.
    pub process: Arc<str>,
    /// The agent's incarnation.
    pub incarnation: Incarnation,
    /// The data centre of the endpoint.
    pub data_centre: Arc<str>,
    /// Whether the endpoint accepts no new work because it is about to leave.
    pub leaving: bool,
    /// Whether the endpoint is in cold start.
    pub cold: bool,
    /// The versions that the endpoint serves, sorted.
    pub versions: Vec<Arc<str>>,
    /// Share of memory that admission can still grant, in thousandths.
    pub headroom_millis: u32,
    /// Attempts running at the endpoint.
    pub running: u32,
    /// Attempts in the agent's queue.
    pub queued: u32,
    /// Maximum concurrent attempts; an endpoint that reports 0 counts as full.
    pub limit: u32,
    /// Generation of the configuration in force at the agent.
    pub config_generation: Generation,
}

/// The load of an endpoint, which its agent returns with each request that it accepts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Share of memory that admission can still grant, in thousandths.
    pub headroom_millis: u32,
    /// Attempts running at the endpoint.
    pub running: u32,
    /// Attempts in the agent's queue.
    pub queued: u32,
    /// Maximum concurrent attempts; an endpoint that reports 0 counts as full.
    pub limit: u32,
}

/// An endpoint VM, as described by the roster (the platform's list of VMs) and by the
/// membership, which processes exchange through gossip.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Vm {
    /// The name of the agent's process.
    pub name: Arc<str>,
    /// The data centre of the VM.
    pub data_centre: Arc<str>,
    /// Whether the VM is about to leave.
    pub leaving: bool,
    /// The agent's incarnation, or zero if unknown.
    pub incarnation: Incarnation,
    /// The versions that the endpoint serves, or empty if unknown.
    pub versions: Vec<Arc<str>>,
}

/// The properties of a request that placement depends on.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The version that must serve the request.
    pub version: &'a str,
    /// Hashes of the prompt's leading blocks, shortest prefix first; see [`prefix_hashes`].
    pub prefixes: &'a [u64],
    /// Endpoints that this request has already been sent to.
    pub tried: &'a [Arc<str>],
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It most likely caches the prompt's prefix.
    Affinity,
    /// It was the least loaded of those drawn.
    Headroom,
    /// The request's idempotency key maps to it.
    Key,
    /// No random draw found a usable endpoint; the choice may be outside the subset or
    /// ejected.
    Fallback,
}

/// The endpoint chosen for a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Choice {
    /// The name of the agent's process.
    pub endpoint: Arc<str>,
    /// The latest known incarnation of the agent.
    pub incarnation: Incarnation,
    /// The data centre of the endpoint.
    pub data_centre: Arc<str>,
    /// The estimated load as a share of capacity; 1 or more if the endpoint is full.
    pub load: f64,
    /// Why it was chosen.
    pub reason: Reason,
}

/// The endpoints that one entry knows, with their state.
#[derive(Clone, Debug)]
pub struct Table {
    config: Config,
    entry: Arc<str>,
    data_centre: Arc<str>,
    entries: Vec<Arc<str>>,
    data_centres: Vec<config::DataCentre>,
    endpoints: Vec<Endpoint>,
    pools: Vec<Pool>,
}

impl Table {
    /// Creates an empty table for the given entry in the given data centre.
    pub fn new(config: Config, entry: Arc<str>, data_centre: Arc<str>) -> Table {
        Table {
            config,
            entries: vec![Arc::clone(&entry)],
            entry,
            data_centre,
            data_centres: Vec::new(),
            endpoints: Vec::new(),
            pools: Vec::new(),
        }
    }

    /// Sets the names of all entries, in any order, which determine the subsets.
    pub fn set_entries(&mut self, entries: &[Arc<str>]) {
        let mut entries = entries.to_vec();
        entries.push(Arc::clone(&self.entry));
        entries.sort();
        entries.dedup();
        if entries != self.entries {
            self.entries = entries;
            self.rebuild();
        }
    }

    /// Sets the data centres of the configuration in force, sorted by name.
    pub fn set_data_centres(&mut self, data_centres: &[config::DataCentre]) {
        if data_centres != self.data_centres {
            self.data_centres = data_centres.to_vec();
            self.rebuild();
        }
    }

    /// Replaces the list of endpoint VMs: adds endpoints for new VMs, updates those
    /// still listed and removes the others.
    pub fn set_vms(&mut self, vms: &[Vm]) {
        let mut vms = vms.to_vec();
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let mut changed = false;
        self.endpoints.retain(|endpoint| {
            let is_listed = vms
                .binary_search_by(|vm| vm.name.cmp(&endpoint.name))
                .is_ok();
            changed |= !is_listed;
            is_listed
        });
        for vm in &vms {
            let (index, added) = self.find_or_add(&vm.name);
            changed |= self.endpoints[index].set_vm(vm) || added;
        }
        if changed {
            self.rebuild();
        }
    }

    /// Removes an endpoint; does nothing if it is unknown.
    pub fn remove(&mut self, name: &str) {
        if let Ok(index) = self.position(name) {
            self.endpoints.remove(index);
            self.rebuild();
        }
    }

    /// Applies a report of the state at `taken_at` or later.
    ///
    /// The caller passes the earliest time that the report can describe. A report of an
    /// earlier incarnation, or one taken before the last one applied, is ignored.
    pub fn observe(&mut self, status: &Status, taken_at: Time) {
        self.observe_all(std::slice::from_ref(status), taken_at);
    }

    /// Applies several reports as [`Table::observe`] does, and recomputes the pools once.
    pub fn observe_all(&mut self, reports: &[Status], taken_at: Time) {
        let mut changed = false;
        for status in reports {
            let (index, added) = self.find_or_add(&status.process);
            changed |= self.endpoints[index].observe(status, taken_at) || added;
        }
        if changed {
            self.rebuild();
        }
    }

    /// Applies the load that an agent returned with a request; ignored unless it is of
    /// the current incarnation and no older than the last one applied.
    pub fn observe_load(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        load: Load,
        taken_at: Time,
    ) {
        if let Ok(index) = self.position(name) {
            self.endpoints[index].observe_load(incarnation, load, taken_at);
        }
    }

    /// Marks an agent as unreachable; its endpoint is not chosen until it reports again
    /// or restarts.
    pub fn mark_unreachable(&mut self, name: &str) {
        if let Ok(index) = self.position(name)
            && self.endpoints[index].mark_unreachable()
        {
            self.rebuild();
        }
    }

    /// Records that a request was sent to an endpoint.
    pub fn record_sent(&mut self, name: &str, now: Time) {
        if let Ok(index) = self.position(name) {
            self.endpoints[index].record_sent(now);
        }
    }

    /// Records that a request sent at `sent_at` has ended or was refused.
    pub fn record_end(&mut self, name: &str, sent_at: Time) {
        if let Ok(index) = self.position(name) {
            self.endpoints[index].record_end(sent_at);
        }
    }

    /// Excludes an endpoint from selection until a deadline, as decided by
    /// [`crate::outlier`]; [`Time::ZERO`] ends the ejection.
    pub fn eject(&mut self, name: &str, until: Time) {
        if let Ok(index) = self.position(name) {
            self.endpoints[index].ejected_until = until;
        }
    }

    /// Returns the names of the endpoints in this entry's subset for a version, to which
    /// it should keep connections.
    pub fn subset(&self, version: &str) -> impl Iterator<Item = &Arc<str>> {
        self.pool(version)
            .into_iter()
            .flat_map(Pool::subset)
            .map(|&index| &self.endpoints[index as usize].name)
    }

    /// Returns the number of endpoints in a version's pool.
    pub fn pool_size(&self, version: &str) -> usize {
        self.pool(version).map_or(0, |pool| pool.members().len())
    }

    /// Returns whether this entry should keep a connection to an endpoint: the endpoint
    /// is in one of its subsets, is unknown, has no known version or is unreachable.
    ///
    /// An unreachable endpoint is in no pool, so only a connection can show that it is
    /// reachable again.
    pub fn needs_connection(&self, name: &str) -> bool {
        let Ok(index) = self.position(name) else {
            return true;
        };
        let endpoint = &self.endpoints[index];
        endpoint.versions.is_empty() || endpoint.is_unreachable() || self.is_in_subset(name)
    }

    /// Returns whether an endpoint is in this entry's subset for any of its versions.
    pub fn is_in_subset(&self, name: &str) -> bool {
        let Ok(index) = self.position(name) else {
            return false;
        };
        let versions = self.endpoints[index].versions.iter();
        let pools = versions.filter_map(|version| self.pool(version));
        let mut subsets = pools.map(Pool::subset);
        subsets.any(|subset| subset.contains(&(index as u32)))
    }

    /// Returns the latest known incarnation of an agent, or zero if it is unknown.
    pub fn incarnation(&self, name: &str) -> Incarnation {
        let found = self.position(name);
        found.map_or_else(
            |_| Incarnation::default(),
            |index| self.endpoints[index].incarnation,
        )
    }

    /// Returns the number of known endpoints.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Returns whether the table has no endpoints.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|endpoint| (*endpoint.name).cmp(name))
    }

    /// Returns the index of an endpoint, adding it without versions if it is missing, and
    /// whether it was added.
    ///
    /// After an addition the caller must rebuild the pools: they hold indices, which the
    /// insertion shifts.
    fn find_or_add(&mut self, name: &Arc<str>) -> (usize, bool) {
        match self.position(name) {
            Ok(index) => (index, false),
            Err(index) => {
                self.endpoints
                    .insert(index, Endpoint::new(Arc::clone(name)));
                (index, true)
            }
        }
    }

    fn pool(&self, version: &str) -> Option<&Pool> {
        let index = self
            .pools
            .binary_search_by(|pool| (*pool.version).cmp(version))
            .ok()?;
        self.pools.get(index)
    }

    fn data_centre_of(&self, name: &str) -> Option<&config::DataCentre> {
        let index = self
            .data_centres
            .binary_search_by(|data_centre| (*data_centre.name).cmp(name))
            .ok()?;
        self.data_centres.get(index)
    }

    /// Recomputes the pools and the state that endpoints take from their data centres.
    fn rebuild(&mut self) {
        let own_region = self
            .data_centre_of(&self.data_centre)
            .map(|data_centre| Arc::clone(&data_centre.region));
        for index in 0..self.endpoints.len() {
            let name = Arc::clone(&self.endpoints[index].data_centre);
            let data_centre = self.data_centre_of(&name);
            let out = data_centre.is_some_and(|data_centre| data_centre.out);
            let back_at = data_centre.and_then(|data_centre| data_centre.back_at);
            let region = data_centre.map(|data_centre| &data_centre.region);
            let penalty = match () {
                () if name == self.data_centre => 0.0,
                () if region == own_region.as_ref() => self.config.near_penalty,
                () => self.config.far_penalty,
            };
            self.endpoints[index].set_data_centre_state(out, back_at, penalty);
        }
        self.pools = pool::build(&self.config, &self.endpoints, &self.entry, &self.entries);
    }
}
