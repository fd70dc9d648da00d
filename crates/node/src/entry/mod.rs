//! The entry: terminates callers and finds an endpoint for each request.
//!
//! An entry keeps nothing that outlives it. What a caller needs in order to go
//! on through another entry stands in the ids of the events that it was sent.

mod attempt;
mod auth;
mod call;
mod directory;
mod error;
mod generate;
mod guard;
mod http;
mod listen;
mod news;
mod openai;
mod pump;
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

use self::{directory::Directory, guard::Guard, news::News, rollout::Rollouts};
use crate::{
    fleet,
    metrics::EntryMetrics,
    settings,
    trace::Tracer,
    transport::{self, Dialer, Identity},
};

pub use self::directory::Listed;

/// How long an entry that stops still takes new requests, in milliseconds.
///
/// The balancer needs a moment to see that the entry is no longer ready.
const UNREADY_MS: u64 = 1_000;

/// The state of an entry, shared by its tasks.
pub(super) struct Shared {
    config: watch::Receiver<Arc<Snapshot>>,
    directory: Directory,
    guard: Guard,
    rollouts: Rollouts,
    dialer: Dialer,
    leaving: AtomicBool,
    metrics: EntryMetrics,
    tracer: Tracer,
    /// Room for bodies that are half received, in bytes.
    partial_bytes: Semaphore,
}

impl Shared {
    /// Draws the identity of a new attempt.
    fn draw(&self) -> Attempt {
        Attempt(rand::random())
    }

    /// Chooses the version of a request by the plan that moves its route, if any.
    fn choose_version(&self, route: &Route, key: &[u8]) -> rollout::Choice {
        self.rollouts
            .choose(route, key, |version| self.reaches(version))
    }

    /// Tells whether an endpoint with the version is known.
    fn reaches(&self, version: &str) -> bool {
        let want = directory::Want {
            version,
            tried: &[],
            key: None,
        };
        self.directory.choose(&want, 0).is_some()
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
    /// `config` is the configuration in force, and `vms` the endpoints' VMs as the
    /// platform lists them.
    ///
    /// # Errors
    ///
    /// Fails where the certificates cannot be used or the address is taken.
    pub async fn start(
        settings: &settings::Entry,
        config: watch::Receiver<Arc<Snapshot>>,
        vms: watch::Receiver<Vec<Listed>>,
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
            leaving: AtomicBool::new(false),
            metrics,
            tracer: Tracer::start(&settings.common.name, settings.common.traces.as_deref()),
            partial_bytes: Semaphore::new(http::MAX_PARTIAL_BYTES),
        });
        tokio::spawn(directory::follow(Arc::downgrade(&shared), vms));
        let server = listen::Server::start(
            listener,
            http::router(shared.clone()),
            settings.max_connections,
            shared.metrics.clone(),
        );
        Ok(Entry { shared, server })
    }

    /// Follows the names of the entries of the site, which share its links and limits.
    pub fn follow_entries(&self, mut names: watch::Receiver<Vec<Arc<str>>>) {
        let shared = Arc::downgrade(&self.shared);
        tokio::spawn(async move {
            loop {
                let entries = names.borrow_and_update().clone();
                let Some(shared) = shared.upgrade() else {
                    return;
                };
                shared.directory.set_entries(&entries);
                shared.guard.set_entries(entries.len());
                drop(shared);
                if names.changed().await.is_err() {
                    return;
                }
            }
        });
    }

    /// Runs the rollout plans in force, shares their evidence through the fleet, and
    /// records their outcomes in the store.
    pub fn follow_rollouts<S: Store>(&self, store: S, fleet: fleet::Handle) {
        let news = News::new(self.shared.rollouts.process().clone(), fleet);
        tokio::spawn(rollout::follow(Arc::downgrade(&self.shared), store, news));
    }

    /// The address on which the entry listens for callers.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns a handle that tells whether the balancer should send callers here.
    pub fn readiness(&self) -> Ready {
        Ready(self.shared.clone())
    }

    /// Stops gracefully: not ready at once, no new connection soon, every request finished.
    pub async fn stop(self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
        time::sleep(Duration::from_millis(UNREADY_MS)).await;
        self.server.stop().await;
        self.shared.tracer.flush().await;
    }

    /// Ends the entry at once, as a crash would; for tests and the demo.
    pub fn abort(self) {
        self.server.abort();
    }
}

/// Tells whether the balancer should send callers to an entry.
pub struct Ready(Arc<Shared>);

impl Ready {
    /// Tells whether the balancer should send callers to the entry.
    pub fn is_ready(&self) -> bool {
        self.0.is_ready()
    }

    /// Tells whether an endpoint with the version is known.
    pub fn reaches(&self, version: &str) -> bool {
        self.0.reaches(version)
    }
}

impl Shared {
    fn is_ready(&self) -> bool {
        let is_leaving = self.leaving.load(Ordering::Relaxed);
        !is_leaving && !self.config.borrow().routes.is_empty()
    }
}
