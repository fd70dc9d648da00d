//! The endpoints that an entry knows, and the choice of one for an attempt.
//!
//! The choice itself is the core's [`placement`]; this module feeds it with the
//! list of VMs, with what agents say of themselves and with what is sent.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak},
    time::Duration,
};

use cactusroad_core::{
    Time,
    config::{DataCentre, Generation},
    id::Incarnation,
    placement::{self, Candidate, Load, Request, Table, Vm},
};
use cactusroad_wire::message::Status;
use tokio::{sync::watch, time};

use super::Shared;
use crate::{clock, transport::Link};

/// How long to wait before an endpoint that was out of reach is tried again, in milliseconds.
const REDIAL_MS: u64 = 500;
/// How often an entry looks whether it has come to use an endpoint, in milliseconds.
const UNUSED_CHECK_MS: u64 = 1_000;
/// What a report may be older than its arrival, in milliseconds.
const REPORT_AGE_MS: u64 = 100;

/// The VM of an endpoint, as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// The name of the VM.
    pub name: Arc<str>,
    /// The UDP address of its agent.
    pub address: SocketAddr,
    /// The data centre that holds it.
    pub data_centre: Arc<str>,
    /// Whether the platform has announced that the VM will go.
    pub leaving: bool,
    /// The life of the agent; zero where only the platform's list knows it.
    pub incarnation: Incarnation,
    /// The versions that the endpoint holds; none where they are not known.
    pub versions: Vec<Arc<str>>,
}

/// An endpoint that an entry knows.
pub(super) struct Endpoint {
    pub(super) listed: Listed,
    /// The incarnation of the agent, where it was known when the endpoint was chosen.
    incarnation: Incarnation,
    table: Arc<Mutex<Table>>,
}

impl Endpoint {
    /// The incarnation of the agent, where it is known.
    pub(super) const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

/// The endpoints that an entry knows.
pub(super) struct Directory {
    /// Sorted by name.
    listed: RwLock<Vec<Listed>>,
    table: Arc<Mutex<Table>>,
}

/// Counts an attempt at an endpoint for as long as it lives.
pub(super) struct Target {
    pub(super) endpoint: Endpoint,
    /// The load of the endpoint when it was chosen, in thousandths.
    pub(super) load: u16,
    sent_at: Time,
}

impl Target {
    fn new(endpoint: Endpoint, load: u16) -> Target {
        let sent_at = clock::now();
        lock(&endpoint.table).sent(&endpoint.listed.name, sent_at);
        Target {
            endpoint,
            load,
            sent_at,
        }
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        let endpoint = &self.endpoint;
        lock(&endpoint.table).done(&endpoint.listed.name, self.sent_at);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the load is bounded to a whole share first"
)]
fn thousandths(load: f64) -> u16 {
    (load.clamp(0.0, 1.0) * 1_000.0) as u16
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

/// What an attempt asks of an endpoint.
pub(super) struct Want<'a> {
    /// The version that must be loaded.
    pub(super) version: &'a str,
    /// The endpoints that were tried before.
    pub(super) tried: &'a [Arc<str>],
    /// Sends equal keys to the same endpoint.
    pub(super) key: Option<u64>,
}

impl Directory {
    pub(super) fn new(entry: Arc<str>, data_centre: Arc<str>) -> Directory {
        let table = Table::new(placement::Config::default(), entry, data_centre);
        Directory {
            listed: RwLock::new(Vec::new()),
            table: Arc::new(Mutex::new(table)),
        }
    }

    /// Finds an endpoint by the name of its VM.
    pub(super) fn find(&self, name: &str) -> Option<Target> {
        let listed = self.listed(name)?;
        let incarnation = self.table().incarnation(name);
        Some(self.target(listed, incarnation, 0))
    }

    /// Chooses an endpoint; `random` decides between equals.
    pub(super) fn choose(&self, want: &Want<'_>, random: u64) -> Option<Target> {
        self.choose_near(want, &[], random)
    }

    /// Chooses an endpoint, and one that caches the prefix where it can.
    pub(super) fn choose_near(
        &self,
        want: &Want<'_>,
        prefixes: &[u64],
        random: u64,
    ) -> Option<Target> {
        let request = Request {
            version: want.version,
            prefixes,
            tried: want.tried,
        };
        let now = clock::now();
        let Candidate {
            endpoint,
            incarnation,
            load,
            ..
        } = match want.key {
            Some(key) => self.table().choose_keyed(&request, key, now),
            None => self.table().choose(&request, random, now),
        }?;
        let listed = self.listed(&endpoint)?;
        Some(self.target(listed, incarnation, thousandths(load)))
    }

    /// Takes the load that an agent told with a request.
    pub(super) fn observe_load(&self, name: &str, incarnation: Incarnation, load: Load) {
        self.table()
            .observe_load(name, incarnation, load, taken_at());
    }

    /// Keeps an endpoint out of choices until a deadline.
    pub(super) fn eject(&self, name: &str, until: Time) {
        self.table().eject(name, until);
    }

    /// Takes the names of all entries, among which this one's share of links is found.
    pub(super) fn set_entries(&self, entries: &[Arc<str>]) {
        self.table().set_entries(entries);
    }

    /// Takes the data centres in force.
    pub(super) fn set_data_centres(&self, data_centres: &[DataCentre]) {
        self.table().set_data_centres(data_centres);
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    fn listed(&self, name: &str) -> Option<Listed> {
        let listed = self.listed.read().unwrap_or_else(PoisonError::into_inner);
        let at = listed
            .binary_search_by(|listed| (*listed.name).cmp(name))
            .ok()?;
        Some(listed[at].clone())
    }

    fn target(&self, listed: Listed, incarnation: Incarnation, load: u16) -> Target {
        let endpoint = Endpoint {
            listed,
            incarnation,
            table: Arc::clone(&self.table),
        };
        Target::new(endpoint, load)
    }

    /// Takes over a new list and returns the VMs that were not on the last one.
    fn replace(&self, next: &[Listed]) -> Vec<Listed> {
        let mut next = next.to_vec();
        next.sort_by(|one, other| one.name.cmp(&other.name));
        let vms: Vec<Vm> = next.iter().map(vm).collect();
        let mut listed = self.listed.write().unwrap_or_else(PoisonError::into_inner);
        let moved = |vm: &&Listed| {
            let known = listed.binary_search_by(|known| known.name.cmp(&vm.name));
            !known.is_ok_and(|at| listed[at].is_same_place(vm))
        };
        let added = next.iter().filter(moved).cloned().collect();
        *listed = next;
        drop(listed);
        self.table().set_vms(&vms);
        added
    }

    /// Tells whether a VM is still listed at this address.
    fn lists(&self, vm: &Listed) -> bool {
        self.listed(&vm.name)
            .is_some_and(|listed| listed.is_same_place(vm))
    }

    fn observe(&self, listed: &Listed, status: Option<&Status>) {
        match status {
            Some(status) if *status.process == *listed.name => {
                self.table().observe(&report(listed, status), taken_at());
            }
            // A process under another name is not the agent that the list means.
            Some(_) => self.table().lost(&listed.name),
            None => {}
        }
    }
}

/// The time that a report which arrives now tells of, at the earliest.
fn taken_at() -> Time {
    let now = clock::now().as_millis();
    Time::from_millis(now.saturating_sub(REPORT_AGE_MS))
}

impl Listed {
    fn is_same_place(&self, other: &Listed) -> bool {
        self.name == other.name && self.address == other.address
    }
}

fn vm(listed: &Listed) -> Vm {
    Vm {
        name: Arc::clone(&listed.name),
        data_centre: Arc::clone(&listed.data_centre),
        leaving: listed.leaving,
        incarnation: listed.incarnation,
        versions: listed.versions.clone(),
    }
}

/// Reads a report off the wire.
fn report(listed: &Listed, status: &Status) -> placement::Status {
    let versions = status.versions.iter();
    placement::Status {
        process: Arc::clone(&listed.name),
        incarnation: Incarnation(status.incarnation),
        data_centre: Arc::clone(&listed.data_centre),
        leaving: status.leaving,
        cold: status.cold,
        versions: versions.map(|version| version.as_str().into()).collect(),
        headroom_millis: status.headroom_millis,
        running: status.running,
        queued: status.queued,
        limit: status.limit,
        config_generation: Generation(status.config_generation),
    }
}

/// Follows the list of VMs and the configuration, and asks each endpoint for its reports.
pub(super) async fn follow(shared: Weak<Shared>, mut vms: watch::Receiver<Vec<Listed>>) {
    let Some(strong) = shared.upgrade() else {
        return;
    };
    let mut config = strong.config.clone();
    drop(strong);
    let mut is_configured = true;
    loop {
        let listed = vms.borrow_and_update().clone();
        let snapshot = config.borrow_and_update().clone();
        let Some(strong) = shared.upgrade() else {
            return;
        };
        strong.directory.set_data_centres(&snapshot.data_centres);
        for vm in strong.directory.replace(&listed) {
            tokio::spawn(probe(shared.clone(), vm));
        }
        drop(strong);
        tokio::select! {
            changed = vms.changed() => if changed.is_err() { return },
            changed = config.changed(), if is_configured => is_configured = changed.is_ok(),
        }
    }
}

/// Keeps a link to an endpoint that this entry uses, and takes in what its agent says of itself.
///
/// The versions of other endpoints come from the membership, so they need no link.
async fn probe(shared: Weak<Shared>, listed: Listed) {
    loop {
        let Some(strong) = shared.upgrade() else {
            return;
        };
        if !strong.directory.lists(&listed) {
            return;
        }
        if !strong.directory.table().wants_link(&listed.name) {
            drop(strong);
            time::sleep(Duration::from_millis(UNUSED_CHECK_MS)).await;
            continue;
        }
        let link = strong.dialer.link(&listed.name, listed.address).await;
        strong.metrics.open_links.set(strong.dialer.peers() as i64);
        drop(strong);
        let mut pause_ms = REDIAL_MS;
        match link {
            Ok(link) => match read(&shared, &listed, &link).await {
                Reading::Unused => pause_ms = UNUSED_CHECK_MS,
                Reading::Broken => lost(&shared, &listed),
            },
            Err(_) => lost(&shared, &listed),
        }
        time::sleep(Duration::from_millis(pause_ms)).await;
    }
}

/// Why the reports over a link ended.
enum Reading {
    /// The link broke.
    Broken,
    /// The link works, but this entry does not use the endpoint.
    Unused,
}

async fn read(shared: &Weak<Shared>, listed: &Listed, link: &Link) -> Reading {
    let mut status = link.status();
    while !link.is_closed() {
        let latest = status.borrow_and_update().clone();
        let Some(strong) = shared.upgrade() else {
            return Reading::Broken;
        };
        if !strong.directory.lists(listed) {
            return Reading::Unused;
        }
        strong.directory.observe(listed, latest.as_ref());
        if latest.is_some() && !strong.directory.table().wants_link(&listed.name) {
            return Reading::Unused;
        }
        drop(strong);
        link.keep();
        tokio::select! {
            changed = status.changed() => if changed.is_err() { break },
            () = link.closed() => break,
        }
    }
    Reading::Broken
}

fn lost(shared: &Weak<Shared>, listed: &Listed) {
    if let Some(strong) = shared.upgrade() {
        strong.directory.table().lost(&listed.name);
    }
}
