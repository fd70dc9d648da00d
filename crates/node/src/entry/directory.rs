//! The endpoints that an entry knows, and the choice of one for each attempt.
//!
//! The core's [`placement`] chooses. This module supplies it with the endpoints that
//! the gossip layer lists, the status reports of agents and the attempts in flight.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak},
    time::Duration,
};

use cactusroad_core::{
    Time,
    config::{DataCentre, Generation},
    id::Incarnation,
    placement::{self, Choice, Load, Request, Table, Vm},
};
use cactusroad_wire::message::Status;
use tokio::{sync::watch, time};

use super::Shared;
use crate::{clock, transport::Link};

/// Delay before reconnecting to an unreachable endpoint, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 500;
/// Interval between checks whether an unused endpoint is used now, in milliseconds.
const UNUSED_CHECK_INTERVAL_MS: u64 = 1_000;
/// Maximum age of a status report when it arrives, in milliseconds.
const MAX_REPORT_AGE_MS: u64 = 100;

/// The VM of an endpoint, as the gossip layer lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVm {
    /// The name of the VM.
    pub name: Arc<str>,
    /// The UDP address of its agent.
    pub address: SocketAddr,
    /// The data centre of the VM.
    pub data_centre: Arc<str>,
    /// Whether the platform has announced that it will remove the VM.
    pub leaving: bool,
    /// The incarnation of the agent; zero if the VM is known only from the roster.
    pub incarnation: Incarnation,
    /// The versions that the endpoint holds; empty if they are not known.
    pub versions: Vec<Arc<str>>,
}

/// An endpoint that was chosen for an attempt.
pub(super) struct Endpoint {
    pub(super) listed: ListedVm,
    /// The incarnation of the agent when the endpoint was chosen; zero if unknown.
    incarnation: Incarnation,
    table: Arc<Mutex<Table>>,
}

impl Endpoint {
    /// Returns the incarnation of the agent when the endpoint was chosen; zero if unknown.
    pub(super) const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }
}

/// The endpoints that an entry knows.
pub(super) struct Directory {
    /// The listed endpoints, sorted by name.
    listed: RwLock<Vec<ListedVm>>,
    table: Arc<Mutex<Table>>,
}

/// An endpoint chosen for an attempt, which counts as in flight until this is dropped.
pub(super) struct Target {
    pub(super) endpoint: Endpoint,
    /// The load of the endpoint when it was chosen, in thousandths.
    pub(super) load: u16,
    sent_at: Time,
}

impl Target {
    fn new(endpoint: Endpoint, load: u16) -> Target {
        let sent_at = clock::now();
        lock(&endpoint.table).record_sent(&endpoint.listed.name, sent_at);
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
        lock(&endpoint.table).record_end(&endpoint.listed.name, self.sent_at);
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the load is clamped to the range from 0 to 1"
)]
fn thousandths(load: f64) -> u16 {
    (load.clamp(0.0, 1.0) * 1_000.0) as u16
}

fn lock(table: &Mutex<Table>) -> MutexGuard<'_, Table> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The criteria by which an endpoint is chosen.
pub(super) struct Criteria<'a> {
    /// The version that the endpoint must hold.
    pub(super) version: &'a str,
    /// The endpoints that earlier attempts of the request have used.
    pub(super) tried: &'a [Arc<str>],
    /// The affinity key; requests with equal keys prefer the same endpoint.
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

    /// Returns the endpoint on a VM.
    pub(super) fn find(&self, name: &str) -> Option<Target> {
        let listed = self.listed(name)?;
        let incarnation = self.table().incarnation(name);
        Some(self.target(listed, incarnation, 0))
    }

    /// Chooses an endpoint; `random` breaks ties.
    pub(super) fn choose(&self, criteria: &Criteria<'_>, random: u64) -> Option<Target> {
        self.choose_with_prefixes(criteria, &[], random)
    }

    /// Chooses an endpoint, preferring one that has the prefix in its cache.
    pub(super) fn choose_with_prefixes(
        &self,
        criteria: &Criteria<'_>,
        prefixes: &[u64],
        random: u64,
    ) -> Option<Target> {
        let request = Request {
            version: criteria.version,
            prefixes,
            tried: criteria.tried,
        };
        let now = clock::now();
        let Choice {
            endpoint,
            incarnation,
            load,
            ..
        } = match criteria.key {
            Some(key) => self.table().choose_keyed(&request, key, now),
            None => self.table().choose(&request, random, now),
        }?;
        let listed = self.listed(&endpoint)?;
        Some(self.target(listed, incarnation, thousandths(load)))
    }

    /// Records the load that an agent reported when it accepted a request.
    pub(super) fn observe_load(&self, name: &str, incarnation: Incarnation, load: Load) {
        self.table()
            .observe_load(name, incarnation, load, earliest_report_time());
    }

    /// Ejects an endpoint: it is not chosen before `until`.
    pub(super) fn eject(&self, name: &str, until: Time) {
        self.table().eject(name, until);
    }

    /// Sets the names of all entries, which divide the connections to agents among them.
    pub(super) fn set_entries(&self, entries: &[Arc<str>]) {
        self.table().set_entries(entries);
    }

    /// Sets the data centres in force.
    pub(super) fn set_data_centres(&self, data_centres: &[DataCentre]) {
        self.table().set_data_centres(data_centres);
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        lock(&self.table)
    }

    fn listed(&self, name: &str) -> Option<ListedVm> {
        let listed = self.listed.read().unwrap_or_else(PoisonError::into_inner);
        let index = listed
            .binary_search_by(|listed| (*listed.name).cmp(name))
            .ok()?;
        Some(listed[index].clone())
    }

    fn target(&self, listed: ListedVm, incarnation: Incarnation, load: u16) -> Target {
        let endpoint = Endpoint {
            listed,
            incarnation,
            table: Arc::clone(&self.table),
        };
        Target::new(endpoint, load)
    }

    /// Replaces the listed endpoints and returns the VMs that are new or have a new address.
    fn replace(&self, next: &[ListedVm]) -> Vec<ListedVm> {
        let mut next = next.to_vec();
        next.sort_by(|one, other| one.name.cmp(&other.name));
        let vms: Vec<Vm> = next.iter().map(placement_vm).collect();
        let mut listed = self.listed.write().unwrap_or_else(PoisonError::into_inner);
        let is_new = |vm: &&ListedVm| {
            let known = listed.binary_search_by(|known| known.name.cmp(&vm.name));
            !known.is_ok_and(|index| listed[index].has_same_address(vm))
        };
        let added = next.iter().filter(is_new).cloned().collect();
        *listed = next;
        drop(listed);
        self.table().set_vms(&vms);
        added
    }

    /// Returns whether a VM is still listed at its address.
    fn contains(&self, vm: &ListedVm) -> bool {
        self.listed(&vm.name)
            .is_some_and(|listed| listed.has_same_address(vm))
    }

    fn record_status(&self, listed: &ListedVm, status: Option<&Status>) {
        match status {
            Some(status) if *status.process == *listed.name => {
                self.table()
                    .observe(&placement_status(listed, status), earliest_report_time());
            }
            // The address belongs to a process with another name than the listed one.
            Some(_) => self.table().mark_unreachable(&listed.name),
            None => {}
        }
    }
}

/// Returns the earliest time at which a report that arrives now was made.
fn earliest_report_time() -> Time {
    let now = clock::now().as_millis();
    Time::from_millis(now.saturating_sub(MAX_REPORT_AGE_MS))
}

impl ListedVm {
    fn has_same_address(&self, other: &ListedVm) -> bool {
        self.name == other.name && self.address == other.address
    }
}

fn placement_vm(listed: &ListedVm) -> Vm {
    Vm {
        name: Arc::clone(&listed.name),
        data_centre: Arc::clone(&listed.data_centre),
        leaving: listed.leaving,
        incarnation: listed.incarnation,
        versions: listed.versions.clone(),
    }
}

/// Converts a status report from its wire form.
fn placement_status(listed: &ListedVm, status: &Status) -> placement::Status {
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

/// Applies changes of the listed endpoints and the configuration, and starts a task for
/// each new VM.
pub(super) async fn run(shared: Weak<Shared>, mut vms: watch::Receiver<Vec<ListedVm>>) {
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
            tokio::spawn(keep_connected(shared.clone(), vm));
        }
        drop(strong);
        tokio::select! {
            changed = vms.changed() => if changed.is_err() { return },
            changed = config.changed(), if is_configured => is_configured = changed.is_ok(),
        }
    }
}

/// Keeps a connection to an endpoint as long as this entry uses it, and records the
/// status reports of its agent.
///
/// The versions of other endpoints are known from the gossip layer, so they need no
/// connection.
async fn keep_connected(shared: Weak<Shared>, listed: ListedVm) {
    loop {
        let Some(strong) = shared.upgrade() else {
            return;
        };
        if !strong.directory.contains(&listed) {
            return;
        }
        if !strong.directory.table().needs_connection(&listed.name) {
            drop(strong);
            time::sleep(Duration::from_millis(UNUSED_CHECK_INTERVAL_MS)).await;
            continue;
        }
        let link = strong.dialer.link(&listed.name, listed.address).await;
        strong
            .metrics
            .open_links
            .set(strong.dialer.peer_count() as i64);
        drop(strong);
        let mut delay_ms = RECONNECT_DELAY_MS;
        match link {
            Ok(link) => match read_reports(&shared, &listed, &link).await {
                StopReason::Unused => delay_ms = UNUSED_CHECK_INTERVAL_MS,
                StopReason::ConnectionLost => mark_unreachable(&shared, &listed),
            },
            Err(_) => mark_unreachable(&shared, &listed),
        }
        time::sleep(Duration::from_millis(delay_ms)).await;
    }
}

/// Why the reports on a connection are no longer read.
enum StopReason {
    /// The connection broke, or the entry was dropped.
    ConnectionLost,
    /// The entry does not use the endpoint, or it is no longer listed.
    Unused,
}

async fn read_reports(shared: &Weak<Shared>, listed: &ListedVm, link: &Link) -> StopReason {
    let mut status = link.status();
    while !link.is_closed() {
        let latest = status.borrow_and_update().clone();
        let Some(strong) = shared.upgrade() else {
            return StopReason::ConnectionLost;
        };
        if !strong.directory.contains(listed) {
            return StopReason::Unused;
        }
        strong.directory.record_status(listed, latest.as_ref());
        if latest.is_some() && !strong.directory.table().needs_connection(&listed.name) {
            return StopReason::Unused;
        }
        drop(strong);
        link.keep_open();
        tokio::select! {
            changed = status.changed() => if changed.is_err() { break },
            () = link.closed() => break,
        }
    }
    StopReason::ConnectionLost
}

fn mark_unreachable(shared: &Weak<Shared>, listed: &ListedVm) {
    if let Some(strong) = shared.upgrade() {
        strong.directory.table().mark_unreachable(&listed.name);
    }
}
