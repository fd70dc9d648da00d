//! The endpoints that an entry knows, and the choice of one for an attempt.

use std::{
    net::SocketAddr,
    sync::{
        Arc, PoisonError, RwLock, Weak,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use cactusroad_core::id::Incarnation;
use cactusroad_wire::message::Status;
use tokio::{sync::watch, time};

use super::Shared;

/// How long to wait before an endpoint that was out of reach is tried again, in milliseconds.
const REDIAL_MS: u64 = 500;

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
}

/// An endpoint that an entry knows.
pub(super) struct Endpoint {
    pub(super) listed: Listed,
    status: RwLock<Option<Status>>,
    outstanding: AtomicUsize,
}

impl Endpoint {
    fn status(&self) -> Option<Status> {
        let status = self.status.read().unwrap_or_else(PoisonError::into_inner);
        status.clone()
    }

    /// The incarnation of the agent, where it is known.
    pub(super) fn incarnation(&self) -> Incarnation {
        self.status().map_or_else(Incarnation::default, |status| {
            Incarnation(status.incarnation)
        })
    }

    fn serves(&self, version: &str) -> bool {
        self.status().is_some_and(|status| {
            !status.leaving && status.versions.iter().any(|held| held == version)
        })
    }
}

/// The endpoints that an entry knows, sorted by name.
pub(super) struct Directory {
    data_centre: Arc<str>,
    endpoints: RwLock<Vec<Arc<Endpoint>>>,
}

/// Counts an attempt at an endpoint for as long as it lives.
pub(super) struct Target {
    pub(super) endpoint: Arc<Endpoint>,
}

impl Target {
    fn new(endpoint: Arc<Endpoint>) -> Target {
        endpoint.outstanding.fetch_add(1, Ordering::Relaxed);
        Target { endpoint }
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        self.endpoint.outstanding.fetch_sub(1, Ordering::Relaxed);
    }
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
    pub(super) fn new(data_centre: Arc<str>) -> Directory {
        Directory {
            data_centre,
            endpoints: RwLock::new(Vec::new()),
        }
    }

    /// Finds an endpoint by the name of its VM.
    pub(super) fn find(&self, name: &str) -> Option<Target> {
        let endpoints = self.read();
        let at = endpoints
            .binary_search_by(|endpoint| (*endpoint.listed.name).cmp(name))
            .ok()?;
        Some(Target::new(endpoints[at].clone()))
    }

    /// Chooses an endpoint; `random` decides between equals.
    pub(super) fn choose(&self, want: &Want<'_>, random: u64) -> Option<Target> {
        let candidates: Vec<Arc<Endpoint>> = self
            .read()
            .iter()
            .filter(|endpoint| !endpoint.listed.leaving && endpoint.serves(want.version))
            .filter(|endpoint| !want.tried.contains(&endpoint.listed.name))
            .cloned()
            .collect();
        let count = u64::try_from(candidates.len()).ok().filter(|&n| n > 0)?;
        let pick = |number: u64| candidates[(number % count) as usize].clone();
        if let Some(key) = want.key {
            return Some(Target::new(pick(key)));
        }
        let (one, other) = (pick(random), pick(random >> 32));
        let load = |endpoint: &Endpoint| {
            let is_far = endpoint.listed.data_centre != self.data_centre;
            (endpoint.outstanding.load(Ordering::Relaxed), is_far)
        };
        match load(&other) < load(&one) {
            true => Some(Target::new(other)),
            false => Some(Target::new(one)),
        }
    }

    fn read(&self) -> std::sync::RwLockReadGuard<'_, Vec<Arc<Endpoint>>> {
        self.endpoints
            .read()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over a new list and returns the endpoints that were not known before.
    fn replace(&self, listed: &[Listed]) -> Vec<Arc<Endpoint>> {
        let mut added = Vec::new();
        let mut next: Vec<Arc<Endpoint>> = Vec::with_capacity(listed.len());
        let mut endpoints = self
            .endpoints
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        for vm in listed {
            let known = endpoints.iter().find(|known| known.listed == *vm);
            next.push(known.cloned().unwrap_or_else(|| {
                let endpoint = Arc::new(Endpoint {
                    listed: vm.clone(),
                    status: RwLock::new(None),
                    outstanding: AtomicUsize::new(0),
                });
                added.push(endpoint.clone());
                endpoint
            }));
        }
        next.sort_by(|one, other| one.listed.name.cmp(&other.listed.name));
        *endpoints = next;
        added
    }
}

/// Follows the platform's list, and keeps a link to each endpoint on it.
pub(super) async fn follow(shared: Weak<Shared>, mut vms: watch::Receiver<Vec<Listed>>) {
    loop {
        let listed = vms.borrow_and_update().clone();
        let Some(strong) = shared.upgrade() else {
            return;
        };
        for endpoint in strong.directory.replace(&listed) {
            tokio::spawn(probe(shared.clone(), Arc::downgrade(&endpoint)));
        }
        drop(strong);
        if vms.changed().await.is_err() {
            return;
        }
    }
}

/// Keeps a link to an endpoint open and takes in what its agent says of itself.
async fn probe(shared: Weak<Shared>, endpoint: Weak<Endpoint>) {
    loop {
        let (Some(strong), Some(known)) = (shared.upgrade(), endpoint.upgrade()) else {
            return;
        };
        let listed = known.listed.clone();
        drop(known);
        let link = strong.dialer.link(&listed.name, listed.address).await;
        strong.metrics.open_links.set(strong.dialer.peers() as i64);
        drop(strong);
        if let Ok(link) = link {
            let mut status = link.status();
            while !link.is_closed() {
                let Some(known) = endpoint.upgrade() else {
                    return;
                };
                let latest = status.borrow_and_update().clone();
                *known.status.write().unwrap_or_else(PoisonError::into_inner) = latest;
                drop(known);
                link.keep();
                tokio::select! {
                    changed = status.changed() => if changed.is_err() { break },
                    () = link.closed() => break,
                }
            }
        }
        if let Some(known) = endpoint.upgrade() {
            *known.status.write().unwrap_or_else(PoisonError::into_inner) = None;
        }
        time::sleep(Duration::from_millis(REDIAL_MS)).await;
    }
}
