//! Chooses an endpoint for each request, at an entry, from late reports.
//!
//! An entry never knows the load of an endpoint: reports are late and lossy, and
//! other entries send without telling it. The agent beside the endpoint knows,
//! holds a short bounded queue and refuses quickly what its endpoint cannot
//! bear. The choice made here is therefore a good guess that may be wrong, and
//! the entry asks again with the refusing endpoint among [`Request::tried`].
//!
//! # Order of decisions
//!
//! 1. *Pool*: the endpoints that hold the version, without those that leave or
//!    whose data centre operators have taken out. Pools are computed when
//!    membership changes, never for a request.
//! 2. *Subset*: the part of the pool that this entry uses, so that it keeps a
//!    bounded number of connections open. Endpoints stand on a ring in the order
//!    of their hashes, entries are spread evenly over it by their rank among all
//!    entries, and each uses the arc that starts at its place. All arcs together
//!    cover every endpoint equally, and a change of membership moves each arc by
//!    an endpoint or so. Independent random subsets need no ranks, but leave some
//!    endpoints with several times the entries of others.
//! 3. *Affinity*: the leading blocks of the prompt are hashed, and rendezvous
//!    hashing names the endpoint of the subset that most likely caches them. It is
//!    taken unless it is over the bound on load; then the next one in rendezvous
//!    order is tried, and then affinity is given up.
//! 4. *Headroom*: of a few endpoints drawn at random the least loaded is taken.
//!    A draw instead of the minimum over all keeps entries with the same stale
//!    reports from choosing the same endpoint together.
//!
//! A non-idempotent request with a key goes by rendezvous hashing of the key over
//! the whole pool ([`Table::choose_keyed`]), so that a repeat meets the agent
//! that holds its entry in the ledger.
//!
//! # Load
//!
//! The load of an endpoint is the larger of two shares: attempts against the
//! limit of its ramp, and memory given against memory there is. Both are taken
//! from the last report and corrected by what this entry has sent and seen end
//! since the report was taken. Distance adds a small penalty, and a data centre
//! that returned a short while ago counts with a growing part of its capacity.
//!
//! # Cost
//!
//! A decision looks at no more than a fixed window of endpoints, whatever the
//! size of the table, and keeps no state for pairs of prefixes and endpoints.
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
//! let candidate = table.choose(&request, 7, now).unwrap();
//! assert_eq!(&*candidate.endpoint, "agent-1");
//! table.sent("agent-1", now);
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

/// Endpoints of a version to which an entry keeps connections at the least.
pub const MIN_SUBSET: usize = 3;

/// Parameters of placement.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Endpoints of a version to which an entry keeps connections at the most; 24 by
    /// default.
    pub subset: usize,
    /// Endpoints of all versions together to which an entry keeps connections, as
    /// far as [`MIN_SUBSET`] of each version allows; 64 by default.
    pub links: usize,
    /// Entries that must share each endpoint at least, even if that takes a
    /// larger subset; 3 by default.
    pub coverage: usize,
    /// Endpoints drawn at random, of which the least loaded is taken; 2 by default.
    pub choices: usize,
    /// Endpoints tried in rendezvous order of the prefix; 2 by default, 0 for none.
    pub affinity: usize,
    /// Leading blocks that decide the affinity of a prompt; 4 by default.
    pub affinity_blocks: usize,
    /// Load above which affinity is given up, as a share of capacity; 0.85 by default.
    pub affinity_bound: f64,
    /// Load above which affinity is given up, as a multiple of the load of the
    /// endpoint that it is compared with, plus [`Config::affinity_slack`]; 1.25 by default.
    pub affinity_factor: f64,
    /// See [`Config::affinity_factor`]; 0.1 by default.
    pub affinity_slack: f64,
    /// Load added for an endpoint in another data centre of the region; 0.02 by default.
    pub near_penalty: f64,
    /// Load added for an endpoint in another region; 0.2 by default.
    pub far_penalty: f64,
    /// How much more an attempt that is queued, or sent since the report, weighs
    /// than a running one; 8 by default.
    pub pending_weight: f64,
    /// Attempts that an endpoint is taken to bear before its first report; 4 by default.
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

/// What an agent says of itself and its endpoint; it is late and may be lost.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// The name of the agent's process, which names the endpoint as well.
    pub process: Arc<str>,
    /// The life of the agent.
    pub incarnation: Incarnation,
    /// The data centre that holds it.
    pub data_centre: Arc<str>,
    /// Whether it takes no new work because it will go.
    pub leaving: bool,
    /// Whether the endpoint is in cold start.
    pub cold: bool,
    /// The versions that the endpoint holds, sorted.
    pub versions: Vec<Arc<str>>,
    /// Share of memory that admission may still give, in thousandths.
    pub headroom_millis: u32,
    /// Attempts that the endpoint runs.
    pub running: u32,
    /// Attempts in the agent's queue.
    pub queued: u32,
    /// Attempts that the endpoint may hold at once; 0 where none is stated.
    pub limit: u32,
    /// The configuration in force at the agent.
    pub config_generation: Generation,
}

/// What an agent says of the load of its endpoint, with each request that it takes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Share of memory that admission may still give, in thousandths.
    pub headroom_millis: u32,
    /// Attempts that the endpoint runs.
    pub running: u32,
    /// Attempts in the agent's queue.
    pub queued: u32,
    /// Attempts that the endpoint may hold at once; 0 where none is stated.
    pub limit: u32,
}

/// An endpoint VM, as the platform's list and the membership name it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Vm {
    /// The name of the agent's process.
    pub name: Arc<str>,
    /// The data centre that holds it.
    pub data_centre: Arc<str>,
    /// Whether it will go.
    pub leaving: bool,
    /// The life of the agent; zero where it is not known.
    pub incarnation: Incarnation,
    /// The versions that the endpoint holds; none where they are not known.
    pub versions: Vec<Arc<str>>,
}

/// What placement asks of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The version that must run it.
    pub version: &'a str,
    /// Hashes of the leading blocks of the prompt, shortest first.
    pub prefixes: &'a [u64],
    /// Endpoints that were tried already.
    pub tried: &'a [Arc<str>],
}

/// Why an endpoint was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// It most likely caches the prefix of the prompt.
    Affinity,
    /// It was the least loaded of those drawn.
    Headroom,
    /// The key of the request belongs to it.
    Key,
    /// No better endpoint is left: it is outside the subset, or ejected.
    Fallback,
}

/// The endpoint that a request should be sent to.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The name of the agent's process.
    pub endpoint: Arc<str>,
    /// The life of the agent that was last reported.
    pub incarnation: Incarnation,
    /// The data centre that holds it.
    pub data_centre: Arc<str>,
    /// The estimated load, as a share of capacity; over 1 where it is full.
    pub load: f64,
    /// Why it was chosen.
    pub reason: Reason,
}

/// The endpoints that one entry knows, with what it knows of them.
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
    /// Creates an empty table for the entry of that name in that data centre.
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

    /// Takes the names of all entries, in any order; it decides the subsets.
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

    /// Takes the data centres in force, sorted by name.
    pub fn set_data_centres(&mut self, data_centres: &[config::DataCentre]) {
        if data_centres != self.data_centres {
            self.data_centres = data_centres.to_vec();
            self.rebuild();
        }
    }

    /// Takes the whole list of endpoint VMs: adds those that are new and forgets
    /// those that are gone.
    pub fn set_vms(&mut self, vms: &[Vm]) {
        let mut vms = vms.to_vec();
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        let mut changed = false;
        self.endpoints.retain(|endpoint| {
            let kept = vms
                .binary_search_by(|vm| vm.name.cmp(&endpoint.name))
                .is_ok();
            changed |= !kept;
            kept
        });
        for vm in &vms {
            let (at, added) = self.find_or_add(&vm.name);
            changed |= self.endpoints[at].set_vm(vm) || added;
        }
        if changed {
            self.rebuild();
        }
    }

    /// Forgets an endpoint.
    pub fn remove(&mut self, name: &str) {
        if let Ok(at) = self.position(name) {
            self.endpoints.remove(at);
            self.rebuild();
        }
    }

    /// Takes a report that tells the state at `taken_at` or later.
    ///
    /// A driver passes the time at which it asked for the report. A report of an
    /// earlier life than the last one is dropped.
    pub fn observe(&mut self, status: &Status, taken_at: Time) {
        self.observe_all(std::slice::from_ref(status), taken_at);
    }

    /// Takes many reports as [`Table::observe`] does, and computes the pools once.
    pub fn observe_all(&mut self, reports: &[Status], taken_at: Time) {
        let mut changed = false;
        for status in reports {
            let (at, added) = self.find_or_add(&status.process);
            changed |= self.endpoints[at].observe(status, taken_at) || added;
        }
        if changed {
            self.rebuild();
        }
    }

    /// Takes the load that an agent told with a request; an earlier life's is dropped.
    pub fn observe_load(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        load: Load,
        taken_at: Time,
    ) {
        if let Ok(at) = self.position(name) {
            self.endpoints[at].observe_load(incarnation, load, taken_at);
        }
    }

    /// Notes that an agent cannot be reached; its endpoint is out of choices until
    /// the next report.
    pub fn lost(&mut self, name: &str) {
        if let Ok(at) = self.position(name)
            && self.endpoints[at].lose()
        {
            self.rebuild();
        }
    }

    /// Notes that a request was sent to an endpoint.
    pub fn sent(&mut self, name: &str, now: Time) {
        if let Ok(at) = self.position(name) {
            self.endpoints[at].sent(now);
        }
    }

    /// Notes that a request that was sent at `sent_at` ended or was refused.
    pub fn done(&mut self, name: &str, sent_at: Time) {
        if let Ok(at) = self.position(name) {
            self.endpoints[at].done(sent_at);
        }
    }

    /// Keeps an endpoint out of choices until a deadline, as [`crate::outlier`]
    /// decides; [`Time::ZERO`] takes it in again.
    pub fn eject(&mut self, name: &str, until: Time) {
        if let Ok(at) = self.position(name) {
            self.endpoints[at].ejected_until = until;
        }
    }

    /// Returns the names of the endpoints of a version that this entry uses, to
    /// which connections are worth keeping.
    pub fn subset(&self, version: &str) -> impl Iterator<Item = &Arc<str>> {
        self.pool(version)
            .into_iter()
            .flat_map(Pool::subset)
            .map(|&at| &self.endpoints[at as usize].name)
    }

    /// Returns the number of endpoints that may run a version.
    pub fn pool_size(&self, version: &str) -> usize {
        self.pool(version).map_or(0, |pool| pool.members().len())
    }

    /// Tells whether a connection to the endpoint is worth having: this entry uses
    /// it, its versions are not known, or it was lost and may be back.
    ///
    /// An endpoint that is lost stands in no pool, so nothing but a connection shows
    /// that it can be reached again.
    pub fn wants_link(&self, name: &str) -> bool {
        let Ok(at) = self.position(name) else {
            return true;
        };
        let endpoint = &self.endpoints[at];
        endpoint.versions.is_empty() || endpoint.is_lost() || self.uses(name)
    }

    /// Tells whether this entry uses the endpoint for any of its versions.
    pub fn uses(&self, name: &str) -> bool {
        let Ok(at) = self.position(name) else {
            return false;
        };
        let versions = self.endpoints[at].versions.iter();
        let pools = versions.filter_map(|version| self.pool(version));
        let mut subsets = pools.map(Pool::subset);
        subsets.any(|subset| subset.contains(&(at as u32)))
    }

    /// Returns the life of an agent that was last reported.
    pub fn incarnation(&self, name: &str) -> Incarnation {
        let found = self.position(name);
        found.map_or_else(
            |_| Incarnation::default(),
            |at| self.endpoints[at].incarnation,
        )
    }

    /// Returns the number of endpoints known.
    pub fn len(&self) -> usize {
        self.endpoints.len()
    }

    /// Tells whether no endpoint is known.
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    fn position(&self, name: &str) -> Result<usize, usize> {
        self.endpoints
            .binary_search_by(|endpoint| (*endpoint.name).cmp(name))
    }

    /// Finds an endpoint, or adds one that holds no version yet; then the caller
    /// rebuilds the pools, because they hold positions, which the addition shifts.
    fn find_or_add(&mut self, name: &Arc<str>) -> (usize, bool) {
        match self.position(name) {
            Ok(at) => (at, false),
            Err(at) => {
                self.endpoints.insert(at, Endpoint::new(Arc::clone(name)));
                (at, true)
            }
        }
    }

    fn pool(&self, version: &str) -> Option<&Pool> {
        let at = self
            .pools
            .binary_search_by(|pool| (*pool.version).cmp(version))
            .ok()?;
        self.pools.get(at)
    }

    fn data_centre_of(&self, name: &str) -> Option<&config::DataCentre> {
        let at = self
            .data_centres
            .binary_search_by(|data_centre| (*data_centre.name).cmp(name))
            .ok()?;
        self.data_centres.get(at)
    }

    /// Computes pools and what each endpoint takes from its data centre.
    fn rebuild(&mut self) {
        let home = self
            .data_centre_of(&self.data_centre)
            .map(|data_centre| Arc::clone(&data_centre.region));
        for at in 0..self.endpoints.len() {
            let name = Arc::clone(&self.endpoints[at].data_centre);
            let data_centre = self.data_centre_of(&name);
            let out = data_centre.is_some_and(|data_centre| data_centre.out);
            let back_at = data_centre.and_then(|data_centre| data_centre.back_at);
            let region = data_centre.map(|data_centre| &data_centre.region);
            let penalty = match () {
                () if name == self.data_centre => 0.0,
                () if region == home.as_ref() => self.config.near_penalty,
                () => self.config.far_penalty,
            };
            self.endpoints[at].place(out, back_at, penalty);
        }
        self.pools = pool::build(&self.config, &self.endpoints, &self.entry, &self.entries);
    }
}
