//! The agent: the only process that talks to the endpoint beside it.
//!
//! There are many entries and each sees the load with a delay, so everything that
//! must be exact about an endpoint is decided here: how many requests it runs,
//! whether an attempt was ever dispatched, and which incarnation of the endpoint
//! runs a generation. Each attempt has a `Slot` in a table. Its frames are
//! buffered there until they are acknowledged and a grace period has passed, so
//! that a connection, or a whole entry, can be replaced in the middle of a stream.
//!
//! # When `not_run` is reported
//!
//! An attempt moves from waiting to dispatched at most once, under its lock. A
//! query about it ([`Settle`](cactusroad_wire::message::Settle)) takes the same
//! lock and rejects the attempt if it is still waiting. A delayed duplicate of its
//! first message then finds it rejected. So `not_run` is reported only for
//! attempts that can no longer reach the endpoint.

mod blame;
mod crash;
mod gate;
mod ledger;
mod run;
mod serve;
mod slot;
mod table;

use std::{
    net::SocketAddr,
    sync::{
        Arc, OnceLock,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use cactusroad_adapter::{
    engine::{Engine, Load},
    service::Service,
    store::Store,
};
use cactusroad_core::{
    config::{Objective, drain},
    id::Incarnation,
    ledger::Config as LedgerConfig,
    refusal::{Effect, Kind, Refusal},
};
use cactusroad_wire::message::Status;
use tokio::{sync::watch, time};

use self::{blame::Blame, crash::Crashes, gate::Gate, ledger::Ledger, table::Table};
use crate::{
    clock, fleet,
    metrics::AgentMetrics,
    settings,
    trace::Tracer,
    transport::{self, Identity},
};

/// The interval at which expired attempts are removed, in milliseconds.
const CLEANUP_INTERVAL_MS: u64 = 1_000;
/// The interval at which the engine's load is read, in milliseconds.
const LOAD_POLL_INTERVAL_MS: u64 = 250;
/// The interval at which the agent's state is compared with the one it last announced, in
/// milliseconds.
const ANNOUNCE_INTERVAL_MS: u64 = 250;

/// The endpoint beside an agent.
#[derive(Clone, Debug)]
pub enum Backend<E, S> {
    /// A model engine.
    Model(E),
    /// A plain service.
    Service(S),
}

/// The state of an agent, shared by its tasks.
pub(super) struct Shared<E, S> {
    name: Arc<str>,
    data_centre: Arc<str>,
    incarnation: Incarnation,
    backend: Backend<E, S>,
    /// The versions that a plain service provides, from the settings.
    versions: Vec<Arc<str>>,
    gate: Arc<Gate>,
    table: Table,
    ledger: Ledger,
    blame: Blame,
    crashes: Crashes,
    /// The engine's last load report, if the last read succeeded.
    load: watch::Sender<Option<Load>>,
    /// Whether the agent is draining.
    leaving: AtomicBool,
    fleet: OnceLock<fleet::Handle>,
    metrics: AgentMetrics,
    tracer: Tracer,
}

/// A running agent.
pub struct Agent<E, S> {
    shared: Arc<Shared<E, S>>,
    socket: quinn::Endpoint,
}

impl<E: Engine, S: Service> Agent<E, S> {
    /// Starts an agent that listens on the `inner` address of its settings.
    ///
    /// # Errors
    ///
    /// Fails if the certificates cannot be used or the address is in use.
    pub fn start<St: Store>(
        settings: &settings::Agent,
        backend: Backend<E, S>,
        store: St,
        metrics: AgentMetrics,
    ) -> Result<Agent<E, S>, transport::Error> {
        let identity = Identity::read(&settings.common.tls)?;
        let socket = transport::listen(&identity, settings.common.inner)?;
        let endpoint = &settings.endpoint;
        let shared = Arc::new(Shared {
            name: settings.common.name.clone(),
            data_centre: settings.common.data_centre.clone(),
            incarnation: Incarnation(clock::now().as_micros()),
            backend,
            versions: endpoint.versions.clone(),
            gate: Gate::new(
                endpoint,
                Objective::default(),
                metrics.queue_seconds.clone(),
            ),
            table: Table::new(),
            ledger: Ledger::start(store.clone(), LedgerConfig::default()),
            blame: Blame::start(store),
            crashes: Crashes::new(settings.common.name.clone()),
            load: watch::Sender::new(None),
            leaving: AtomicBool::new(false),
            fleet: OnceLock::new(),
            metrics,
            tracer: Tracer::start(&settings.common.name, settings.common.traces.as_deref()),
        });
        tokio::spawn(remove_expired(Arc::downgrade(&shared)));
        tokio::spawn(poll_load(Arc::downgrade(&shared)));
        let handler = shared.clone();
        tokio::spawn(transport::serve(socket.clone(), move |incoming| {
            serve::stream(handler.clone(), incoming)
        }));
        Ok(Agent { shared, socket })
    }

    /// Returns the address on which the agent accepts connections from entries and peers.
    ///
    /// # Panics
    ///
    /// Panics if the operating system does not report the address of the bound socket.
    pub fn address(&self) -> SocketAddr {
        self.socket
            .local_addr()
            .expect("a bound socket has an address")
    }

    /// Returns a handle that tells whether the agent accepts new work.
    pub fn readiness(&self) -> DrainStatus<E, S> {
        DrainStatus(self.shared.clone())
    }

    /// Returns the incarnation of this agent.
    pub fn incarnation(&self) -> Incarnation {
        self.shared.incarnation
    }

    /// Lets the agent exchange records with its peers and announce itself.
    ///
    /// Later calls have no effect.
    pub fn join(&self, fleet: fleet::Handle) {
        if self.shared.fleet.set(fleet.clone()).is_ok() {
            self.shared.blame.join(fleet.clone());
            self.shared.crashes.join(fleet);
            tokio::spawn(announce(Arc::downgrade(&self.shared)));
        }
    }

    /// Refuses new work from now on.
    pub fn drain(&self) {
        self.shared.leaving.store(true, Ordering::Relaxed);
    }

    /// Drains the agent and stops it.
    ///
    /// Waits until every request has ended and its outcome was sent, or no entry
    /// attached to it in time.
    pub async fn stop(self) {
        self.drain();
        let mut tick = time::interval(Duration::from_millis(50));
        while !self.shared.table.is_drained(clock::now()) {
            tick.tick().await;
        }
        self.shared.ledger.flush().await;
        self.shared.tracer.flush().await;
        self.socket.close(0u32.into(), b"stopped");
        self.socket.wait_idle().await;
    }

    /// Stops the agent at once, as a crash would; for tests and the demo.
    pub fn abort(self) {
        self.socket.close(0u32.into(), b"aborted");
    }
}

/// A handle that tells whether an agent accepts new work.
pub struct DrainStatus<E, S>(Arc<Shared<E, S>>);

impl<E, S> DrainStatus<E, S> {
    /// Returns whether the agent refuses new work.
    pub fn is_draining(&self) -> bool {
        self.0.leaving.load(Ordering::Relaxed)
    }
}

/// Removes expired attempts and updates the gauges, periodically.
async fn remove_expired<E: Engine, S: Service>(shared: std::sync::Weak<Shared<E, S>>) {
    let mut tick = time::interval(Duration::from_millis(CLEANUP_INTERVAL_MS));
    loop {
        tick.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        shared.table.remove_expired(clock::now());
        shared.metrics.buffer_bytes.set(shared.table.bytes() as i64);
        let occupancy = shared.gate.occupancy();
        shared.metrics.running.set(occupancy.running as i64);
        shared.metrics.queued.set(occupancy.queued as i64);
    }
}

/// Announces the agent's state to its peers whenever it changes.
async fn announce<E: Engine, S: Service>(shared: std::sync::Weak<Shared<E, S>>) {
    let mut tick = time::interval(Duration::from_millis(ANNOUNCE_INTERVAL_MS));
    let mut last = fleet::OwnState::default();
    loop {
        tick.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let status = shared.status();
        let mut versions: Vec<Arc<str>> = status.versions.into_iter().map(Arc::from).collect();
        versions.sort();
        let own_state = fleet::OwnState {
            leaving: status.leaving,
            cold: status.cold,
            versions,
        };
        if own_state != last
            && let Some(fleet) = shared.fleet.get()
        {
            fleet.update_own(own_state.clone()).await;
            last = own_state;
        }
    }
}

/// Reads the engine's load periodically; returns at once for a plain service.
async fn poll_load<E: Engine, S: Service>(shared: std::sync::Weak<Shared<E, S>>) {
    let mut tick = time::interval(Duration::from_millis(LOAD_POLL_INTERVAL_MS));
    tick.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tick.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let Backend::Model(engine) = &shared.backend else {
            return;
        };
        let load = engine.load().await.ok();
        if let Some(load) = &load {
            shared.gate.report(load);
        }
        shared.load.send_replace(load);
    }
}

impl<E: Engine, S: Service> Shared<E, S> {
    fn status(&self) -> Status {
        let occupancy = self.gate.occupancy();
        let load = self.load.borrow();
        let versions = match &self.backend {
            Backend::Model(_) => load.as_ref().map_or(&[][..], |load| &load.versions),
            Backend::Service(_) => &self.versions,
        };
        Status {
            process: self.name.to_string(),
            incarnation: self.incarnation.0,
            data_centre: self.data_centre.to_string(),
            leaving: self.leaving.load(Ordering::Relaxed),
            cold: occupancy.cold,
            versions: versions.iter().map(|version| version.to_string()).collect(),
            headroom_millis: occupancy.headroom_millis(),
            running: occupancy.running as u32,
            queued: occupancy.queued as u32,
            limit: occupancy.limit as u32,
            config_generation: self.config_generation(),
        }
    }

    fn config_generation(&self) -> u64 {
        let fleet = self.fleet.get();
        fleet.map_or(0, |fleet| fleet.config_generation())
    }

    /// Returns the incarnation of the engine according to its last load report.
    fn engine_incarnation(&self) -> Option<u64> {
        self.load.borrow().as_ref().map(|load| load.incarnation)
    }

    /// Returns the refusal if the agent accepts no new work, or not as this incarnation.
    fn refusal(&self, incarnation: Incarnation) -> Option<Refusal> {
        if incarnation != self.incarnation && incarnation != Incarnation::default() {
            return Some(Refusal::new(
                Kind::Unavailable,
                Effect::NotRun,
                "The agent was restarted since the entry chose it.",
                "Send the request again.",
            ));
        }
        if self.leaving.load(Ordering::Relaxed) {
            return Some(Refusal::new(
                Kind::Draining,
                Effect::NotRun,
                "The endpoint is shutting down.",
                "Send the request to another endpoint.",
            ));
        }
        if self.is_data_centre_out() {
            return Some(Refusal::new(
                Kind::Draining,
                Effect::NotRun,
                "The data centre of the endpoint is out of service.",
                "Send the request to another data centre.",
            ));
        }
        None
    }

    /// Returns whether the configuration in force allows no new work in this data centre.
    ///
    /// Entries do not choose such a data centre; this refuses requests of entries
    /// that have not received the configuration yet.
    fn is_data_centre_out(&self) -> bool {
        let Some(fleet) = self.fleet.get() else {
            return false;
        };
        let config = fleet.config();
        let data_centre = config.data_centre(&self.data_centre);
        data_centre.is_some_and(|found| drain::allowance(found, clock::now()) == 0)
    }
}
