//! The entry: terminates callers and forwards each request to an endpoint.
//!
//! An entry keeps no persistent state. The id of each event that a caller receives
//! contains everything that another entry needs to resume the stream.

mod attempt;
mod auth;
mod call;
mod directory;
mod error;
mod generate;
mod gossip;
mod guard;
mod http;
mod listen;
mod openai;
mod relay;
mod rollout;
mod sse;

use std::{
    net::SocketAddr, sync::Arc, sync::atomic::AtomicBool, sync::atomic::Ordering, time::Duration,
};

use cactusroad_adapter::store::Store;
use cactusroad_core::{
    config::{Route, Snapshot},
    id::Attempt,
};
use tokio::{
    net::TcpListener,
    sync::{Semaphore, watch},
    time,
};

use self::{directory::Directory, gossip::Gossip, guard::Guard, rollout::Rollouts};
use crate::{
    fleet,
    metrics::EntryMetrics,
    settings,
    trace::Tracer,
    transport::{self, Dialer, Identity},
};

pub use self::directory::ListedVm;

/// How long a stopping entry still accepts requests, in milliseconds.
///
/// The load balancer needs this time to notice that the entry is no longer ready.
const UNREADY_DELAY_MS: u64 = 1_000;

/// The state of an entry, shared by its tasks.
pub(super) struct Shared {
    config: watch::Receiver<Arc<Snapshot>>,
    directory: Directory,
    guard: Guard,
    rollouts: Rollouts,
    dialer: Dialer,
    stopping: AtomicBool,
    metrics: EntryMetrics,
    tracer: Tracer,
    /// Memory left for bodies that are being received, in bytes.
    partial_bytes: Semaphore,
}

impl Shared {
    /// Returns a random id for a new attempt.
    fn new_attempt(&self) -> Attempt {
        Attempt(rand::random())
    }

    /// Chooses the version of a request by the rollout plan of its route, if any.
    fn choose_version(&self, route: &Route, key: &[u8]) -> rollout::Choice {
        self.rollouts
            .choose(route, key, |version| self.has_version(version))
    }

    /// Returns whether an endpoint with the version is available.
    fn has_version(&self, version: &str) -> bool {
        let criteria = directory::Criteria {
            version,
            tried: &[],
            key: None,
        };
        self.directory.choose(&criteria, 0).is_some()
    }

    fn snapshot(&self) -> Arc<Snapshot> {
        self.config.borrow().clone()
    }
}

/// A running entry.
pub struct Entry {
    shared: Arc<Shared>,
    server: listen::Server,
}

impl Entry {
    /// Starts an entry that listens for callers.
    ///
    /// `config` is the configuration in force, and `vms` the VMs of endpoints as the
    /// gossip layer lists them.
    ///
    /// # Errors
    ///
    /// Returns an error if the certificates cannot be used or the address cannot be bound.
    pub async fn start(
        settings: &settings::Entry,
        config: watch::Receiver<Arc<Snapshot>>,
        vms: watch::Receiver<Vec<ListedVm>>,
        metrics: EntryMetrics,
    ) -> Result<Entry, transport::Error> {
        let identity = Identity::read(&settings.common.tls)?;
        let dialer = Dialer::new(
            settings.common.name.clone(),
            &identity,
            metrics.control.clone(),
        );
        let directory = Directory::new(
            settings.common.name.clone(),
            settings.common.data_centre.clone(),
        );
        let listener =
            TcpListener::bind(settings.listen)
                .await
                .map_err(|cause| transport::Error::Bind {
                    address: settings.listen.to_string(),
                    cause: cause.to_string(),
                })?;
        let shared = Arc::new(Shared {
            config,
            directory,
            guard: Guard::new(settings.common.name.clone()),
            rollouts: Rollouts::new(settings.common.name.clone()),
            dialer,
            stopping: AtomicBool::new(false),
            metrics,
            tracer: Tracer::start(&settings.common.name, settings.common.traces.as_deref()),
            partial_bytes: Semaphore::new(http::MAX_PARTIAL_BYTES),
        });
        tokio::spawn(directory::run(Arc::downgrade(&shared), vms));
        let server = listen::Server::start(
            listener,
            http::router(shared.clone()),
            settings.max_connections,
            shared.metrics.clone(),
        );
        Ok(Entry { shared, server })
    }

    /// Keeps the names of all entries up to date.
    ///
    /// The entries divide the connections to agents and the limits of workspaces among them.
    pub fn follow_entries(&self, mut names: watch::Receiver<Vec<Arc<str>>>) {
        let shared = Arc::downgrade(&self.shared);
        tokio::spawn(async move {
            loop {
                let entries = names.borrow_and_update().clone();
                let Some(shared) = shared.upgrade() else {
                    return;
                };
                shared.directory.set_entries(&entries);
                shared.guard.set_entry_count(entries.len());
                drop(shared);
                if names.changed().await.is_err() {
                    return;
                }
            }
        });
    }

    /// Runs the rollout plans in force.
    ///
    /// Their evidence is gossiped to the other entries, and their outcomes are written to
    /// the store.
    pub fn follow_rollouts<S: Store>(&self, store: S, fleet: fleet::Handle) {
        let gossip = Gossip::new(self.shared.rollouts.process().clone(), fleet);
        tokio::spawn(rollout::run(Arc::downgrade(&self.shared), store, gossip));
    }

    /// Returns the address on which the entry listens for callers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns a handle by which the readiness of the entry can be checked.
    pub fn readiness(&self) -> ReadinessHandle {
        ReadinessHandle(self.shared.clone())
    }

    /// Shuts the entry down gracefully.
    ///
    /// The entry stops being ready at once, accepts connections for another second, and
    /// then waits until all requests have finished.
    pub async fn stop(self) {
        self.shared.stopping.store(true, Ordering::Relaxed);
        time::sleep(Duration::from_millis(UNREADY_DELAY_MS)).await;
        self.server.stop().await;
        self.shared.tracer.flush().await;
    }

    /// Stops the entry at once, like a crash. Used by tests and the demo.
    pub fn abort(self) {
        self.server.abort();
    }
}

/// A handle by which the readiness of an entry can be checked.
pub struct ReadinessHandle(Arc<Shared>);

impl ReadinessHandle {
    /// Returns whether the load balancer should send callers to the entry.
    pub fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    /// Returns whether an endpoint with the version is available.
    pub fn has_version(&self, version: &str) -> bool {
        self.0.has_version(version)
    }
}

impl Shared {
    fn is_ready(&self) -> bool {
        let is_stopping = self.stopping.load(Ordering::Relaxed);
        !is_stopping && !self.config.borrow().routes.is_empty()
    }
}
