//! The state that all tasks of a gateway share.
//!
//! The configuration is replaced as a whole and read without a lock. The endpoints of
//! each service are a shard with its own locks, which are never held across an await.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    time::Duration,
};

use arc_swap::{ArcSwap, ArcSwapOption};
use cactusroad_core::{
    Time,
    freshness::{Answer, Freshness},
    pool::{
        self, Budget, Change, Claim, Criteria, Endpoint, Outcome, Pool, Refusal, Repeat, Verdict,
        Work,
    },
    relay::Plan,
    rollout::evidence::Ending,
    site::Site,
};
use cactusroad_platform::{replica::Reply, settings::Settings};
use tokio::{
    sync::watch,
    time::{sleep_until, timeout},
};

use crate::{
    announce::Announcements,
    clock,
    crash::Crashes,
    duty,
    metrics::Metrics,
    observe::Probe,
    record::{self, Event, Snapshot},
    relay::Feeds,
    rollout::{self, Witness},
};

/// The part of the retry budget that is divided among the gateways. The rest covers
/// retries that are counted late. Few gateways use up their part at the same time,
/// because only runs that lost their engine may take more than half of it.
const RETRY_SHARE: f64 = 0.95;

/// The number of gateways that is assumed until they have been counted. It is more than
/// a small site has, so that retries stay bounded without a count.
const ASSUMED_GATEWAYS: usize = 16;

/// The bodies of open requests take at most the process's memory divided by this, and so do
/// the responses that are being read. Usual bodies are a few kilobytes; this holds several of
/// the largest.
const BODY_MEMORY_DIVISOR: u64 = 4;

/// What memory is reserved for. Each use has its own limit, so that endpoints that send
/// without end do not take the memory for the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Use {
    /// The bodies of requests.
    Requests,
    /// Responses that are being read.
    Responses,
}

/// The course of a shutdown.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Stop {
    /// Until when requests are accepted.
    pub(crate) accepts_until: Time,
    /// When requests that have no response yet get one, whether or not they have run.
    pub(crate) answers_by: Time,
    /// When the process exits at the latest.
    pub(crate) ends_at: Time,
}

/// The state that all tasks of a gateway share.
#[derive(Debug)]
pub(crate) struct State {
    pub(crate) settings: ArcSwap<Settings>,
    /// The configuration in force, or none until the first one is read.
    pub(crate) site: ArcSwapOption<Site>,
    /// The parameters for choosing endpoints.
    policy: pool::Config,
    /// The endpoints of each service, sorted by the name of the service.
    shards: ArcSwap<Vec<Arc<Shard>>>,
    /// The evacuated data centres, sorted.
    pub(crate) data_centres_out: ArcSwap<Vec<Arc<str>>>,
    /// The bytes of request bodies that are held in memory.
    request_bytes: AtomicUsize,
    /// The bytes of responses that are held while they are being read.
    response_bytes: AtomicUsize,
    pub(crate) metrics: Metrics,
    /// Whether the list of endpoints has been read at least once.
    pub(crate) are_endpoints_listed: AtomicBool,
    /// Whether the list of evacuated data centres has been read at least once.
    pub(crate) are_evacuations_listed: AtomicBool,
    /// Whether the configuration and both lists have been read.
    synced: watch::Sender<bool>,
    /// Whether the list of endpoints currently cannot be read.
    pub(crate) is_store_unreachable: AtomicBool,
    /// Whether the configuration currently cannot be read.
    pub(crate) is_config_unreachable: AtomicBool,
    /// The newest proof that the configuration is current.
    freshness: watch::Sender<Freshness>,
    /// Counts the outages of the store that have ended, as seen by the configuration.
    pub(crate) recoveries: watch::Sender<u64>,
    /// Counts the calls to the store that failed.
    pub(crate) watch_failures: watch::Sender<u64>,
    /// The newest known era of the store's history.
    pub(crate) era: watch::Sender<u64>,
    /// Set once when the process is asked to stop.
    pub(crate) stopping: watch::Sender<Option<Stop>>,
    /// The number of requests to which the response is not complete yet.
    open_requests: AtomicUsize,
    /// The number of callers' connections.
    connections: AtomicUsize,
    /// The number of live gateways, including this one.
    gateways: AtomicUsize,
    /// The engines that sidecars announced to this gateway.
    pub(crate) announcements: Announcements,
    /// What crashes endpoints.
    pub(crate) crashes: Crashes,
    /// The changes of the store, for other gateways.
    pub(crate) feeds: Feeds,
    /// The gateways from which this one learns of changes.
    relays: Mutex<Plan>,
    /// The duties that one gateway performs at a time, if the settings have any.
    pub(crate) duty: Option<Arc<duty::Handle>>,
}

/// The endpoints of one service.
#[derive(Debug)]
pub(crate) struct Shard {
    pub(crate) service: Arc<str>,
    pool: Mutex<Pool>,
    budget: Mutex<Budget>,
    /// Incremented whenever an endpoint starts to leave or is gone.
    pub(crate) leaving: watch::Sender<u64>,
    /// The rollout of the service, if there is one.
    pub(crate) rollout: rollout::Slot,
    /// Probes that are not in use, sorted by endpoint id.
    idle_probes: Mutex<Vec<(Arc<str>, Probe)>>,
    /// The endpoints for which a task waits for the shutdown notice, sorted.
    notice_waits: Mutex<Vec<Arc<str>>>,
    /// The port on which sidecars listen.
    pub(crate) sidecar_port: Option<u16>,
}

impl State {
    pub(crate) fn new(settings: Settings, policy: pool::Config) -> State {
        let freshness = Freshness::new(settings.revocation);
        let relays = Mutex::new(Plan::new(&settings.vm, &settings.data_centre));
        let metrics = Metrics::new();
        let duty = duty::Handle::new(&settings, &metrics);
        State {
            settings: ArcSwap::from_pointee(settings),
            site: ArcSwapOption::empty(),
            policy,
            shards: ArcSwap::default(),
            data_centres_out: ArcSwap::default(),
            request_bytes: AtomicUsize::new(0),
            response_bytes: AtomicUsize::new(0),
            metrics,
            are_endpoints_listed: AtomicBool::new(false),
            are_evacuations_listed: AtomicBool::new(false),
            synced: watch::Sender::new(false),
            is_store_unreachable: AtomicBool::new(false),
            is_config_unreachable: AtomicBool::new(false),
            freshness: watch::Sender::new(freshness),
            recoveries: watch::Sender::new(0),
            watch_failures: watch::Sender::new(0),
            era: watch::Sender::new(0),
            stopping: watch::Sender::new(None),
            open_requests: AtomicUsize::new(0),
            connections: AtomicUsize::new(0),
            gateways: AtomicUsize::new(ASSUMED_GATEWAYS),
            announcements: Announcements::default(),
            crashes: Crashes::default(),
            feeds: Feeds::default(),
            relays,
            duty,
        }
    }

    /// Returns whether new connections can be served.
    pub(crate) fn is_ready(&self) -> bool {
        *self.synced.borrow()
            && self.stopping.borrow().is_none()
            && self.freshness().is_ready(clock::now())
    }

    /// Locks the plan of relays.
    pub(crate) fn relays(&self) -> MutexGuard<'_, Plan> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the newest proof that the configuration is current.
    pub(crate) fn freshness(&self) -> Freshness {
        *self.freshness.borrow()
    }

    /// Records an answer of the store about the configuration.
    pub(crate) fn record_fresh(&self, answer: &Answer) {
        let previous = self.freshness();
        self.freshness
            .send_modify(|freshness| freshness.record(answer));
        if previous.as_of() > Time::ZERO && !previous.permits(clock::now()) {
            record::write(&Event::ConfigConfirmed {
                unconfirmed_ms: clock::millis_since(previous.as_of()),
            });
        }
    }

    /// Records the era of the store's history that an answer has stated.
    pub(crate) fn record_era(&self, era: u64) {
        self.era.send_if_modified(|known| {
            let is_newer = era > *known;
            *known = era.max(*known);
            is_newer
        });
    }

    /// Returns whether a request may be accepted by its key. A process that was paused
    /// waits for at most `limit` for a new proof, unless the store is known to be
    /// unreachable.
    pub(crate) async fn permits_keys(&self, limit: Duration) -> bool {
        let is_permitted = |freshness: &Freshness| freshness.permits(clock::now());
        if is_permitted(&self.freshness()) {
            return true;
        }
        if self.is_config_unreachable.load(Ordering::Relaxed) {
            return false;
        }
        let mut freshness = self.freshness.subscribe();
        matches!(
            timeout(limit, freshness.wait_for(is_permitted)).await,
            Ok(Ok(_))
        )
    }

    /// Waits until the configuration and the endpoints are known, for at most `limit`.
    pub(crate) async fn wait_synced(&self, limit: Duration) {
        let mut synced = self.synced.subscribe();
        // After the timeout, the caller goes on with what is known so far.
        let _ = timeout(limit, synced.wait_for(|synced| *synced)).await;
    }

    /// Wakes the tasks that wait in [`State::wait_synced`] once everything has been read.
    pub(crate) fn notify_if_synced(&self) {
        let is_synced = self.are_endpoints_listed.load(Ordering::Relaxed)
            && self.are_evacuations_listed.load(Ordering::Relaxed)
            && self.site.load().is_some();
        if is_synced && !*self.synced.borrow() {
            self.synced.send_replace(true);
        }
    }

    /// Returns the shard of a service.
    pub(crate) fn shard(&self, service: &str) -> Option<Arc<Shard>> {
        let shards = self.shards.load();
        let found = shards.binary_search_by(|shard| (*shard.service).cmp(service));
        found.ok().map(|index| Arc::clone(&shards[index]))
    }

    /// Returns all shards, sorted by the name of their service.
    pub(crate) fn shards(&self) -> Arc<Vec<Arc<Shard>>> {
        self.shards.load_full()
    }

    /// Puts a configuration in force, and adds a shard for each new service.
    pub(crate) fn apply_config(&self, site: Site) {
        let settings = self.settings.load();
        let mut shards: Vec<Arc<Shard>> = Vec::with_capacity(site.services().len());
        for service in site.services() {
            let shard = self.shard(&service.name);
            let shard = shard.unwrap_or_else(|| {
                Arc::new(Shard::new(
                    &service.name,
                    &settings,
                    &self.policy,
                    self.gateways.load(Ordering::Relaxed),
                ))
            });
            shard
                .pool()
                .set_data_centres_out(&self.data_centres_out.load());
            if let Some(engine) = &service.engine {
                shard.pool().set_engine(engine.memory_tokens);
            }
            shard.pool().set_cold_limit(service.cold_per_s);
            shards.push(shard);
        }
        // Endpoints of a service that was removed may still serve its last requests.
        for shard in self.shards.load().iter() {
            let found = shards.binary_search_by(|kept| kept.service.cmp(&shard.service));
            if let Err(index) = found {
                shards.insert(index, Arc::clone(shard));
            }
        }
        self.shards.store(Arc::new(shards));
        let version = i64::try_from(site.version()).unwrap_or(i64::MAX);
        self.metrics.config_version.set(version);
        self.site.store(Some(Arc::new(site)));
    }

    /// Returns the shard of a service, and adds one if the service is not configured
    /// yet.
    pub(crate) fn shard_or_new(&self, service: &Arc<str>) -> Arc<Shard> {
        if let Some(shard) = self.shard(service) {
            return shard;
        }
        let settings = self.settings.load();
        let shard = Arc::new(Shard::new(
            service,
            &settings,
            &self.policy,
            self.gateways.load(Ordering::Relaxed),
        ));
        shard
            .pool()
            .set_data_centres_out(&self.data_centres_out.load());
        self.shards.rcu(|shards| {
            let mut shards = Vec::clone(shards);
            if let Err(index) = shards.binary_search_by(|kept| kept.service.cmp(service)) {
                shards.insert(index, Arc::clone(&shard));
            }
            shards
        });
        self.shard(service).unwrap_or(shard)
    }

    /// Sets the number of live gateways, and divides the retry budget among them.
    pub(crate) fn set_gateways(&self, count: usize) {
        let count = count.max(1);
        if self.gateways.swap(count, Ordering::Relaxed) == count {
            return;
        }
        record::write(&Event::Gateways { count });
        let floor = retry_floor(&self.settings.load(), count);
        for shard in self.shards.load().iter() {
            shard.budget().set_gateways(count, floor);
            shard.pool().set_gateways(count, rand::random());
        }
    }

    /// Returns the last known number of live gateways.
    pub(crate) fn gateways(&self) -> usize {
        self.gateways.load(Ordering::Relaxed)
    }

    /// Returns the number of requests that have not been answered completely.
    pub(crate) fn open_requests(&self) -> usize {
        self.open_requests.load(Ordering::Relaxed)
    }

    /// Counts a caller's connection until the guard is dropped.
    pub(crate) fn open_connection(self: &Arc<State>) -> OpenConnection {
        self.connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(self))
    }

    /// Returns the number of callers' connections. A connection is counted until the last
    /// byte of its last response was handed to the operating system.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::Relaxed)
    }

    /// Waits until the process is asked to stop.
    pub(crate) async fn wait_stop(&self) -> Stop {
        let mut stopping = self.stopping.subscribe();
        loop {
            if let Some(stop) = *stopping.borrow_and_update() {
                return stop;
            }
            if stopping.changed().await.is_err() {
                // The sender lives as long as the state.
                std::future::pending::<()>().await;
            }
        }
    }

    /// Waits until the process is about to exit and requests must be answered.
    pub(crate) async fn wait_answers_due(&self) {
        let stop = self.wait_stop().await;
        sleep_until(clock::instant(stop.answers_by)).await;
    }

    fn held_bytes(&self, usage: Use) -> &AtomicUsize {
        match usage {
            Use::Requests => &self.request_bytes,
            Use::Responses => &self.response_bytes,
        }
    }

    /// Reserves memory for a part of a body. Returns whether it was available.
    fn reserve_memory(&self, usage: Use, bytes: usize) -> bool {
        let limit = self.settings.load().memory_bytes / BODY_MEMORY_DIVISOR;
        let held = self.held_bytes(usage).fetch_add(bytes, Ordering::Relaxed) + bytes;
        let fits = u64::try_from(held).is_ok_and(|held| held <= limit);
        if !fits {
            self.release_memory(usage, bytes);
        }
        fits
    }

    /// Returns memory that was reserved with [`State::reserve_memory`].
    fn release_memory(&self, usage: Use, bytes: usize) {
        self.held_bytes(usage).fetch_sub(bytes, Ordering::Relaxed);
    }

    /// Counts a request as open until the guard is dropped.
    pub(crate) fn open_request(self: &Arc<State>) -> OpenRequest {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
        self.metrics.open_requests.inc();
        OpenRequest(Arc::clone(self))
    }
}

/// Returns the retries that one of `gateways` may make in a window without any requests.
fn retry_floor(settings: &Settings, gateways: usize) -> f64 {
    settings.min_retries * RETRY_SHARE / gateways.max(1) as f64
}

/// Memory for a body that is being read. Dropping it releases the memory.
#[derive(Debug)]
pub(crate) struct Reservation {
    state: Arc<State>,
    usage: Use,
    bytes: usize,
}

impl Reservation {
    /// Returns an empty reservation.
    pub(crate) fn new(state: &Arc<State>, usage: Use) -> Reservation {
        Reservation {
            state: Arc::clone(state),
            usage,
            bytes: 0,
        }
    }

    /// Reserves memory for another part of the body. Returns whether it was available.
    pub(crate) fn extend(&mut self, bytes: usize) -> bool {
        let is_reserved = self.state.reserve_memory(self.usage, bytes);
        if is_reserved {
            self.bytes += bytes;
        }
        is_reserved
    }

    /// Changes the reserved memory to `bytes`. Returns whether that much was available.
    pub(crate) fn resize(&mut self, bytes: usize) -> bool {
        if let Some(more) = bytes.checked_sub(self.bytes) {
            return more == 0 || self.extend(more);
        }
        self.state.release_memory(self.usage, self.bytes - bytes);
        self.bytes = bytes;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.state.release_memory(self.usage, self.bytes);
    }
}

/// Counts one connection; dropping it ends the count.
#[derive(Debug)]
pub(crate) struct OpenConnection(Arc<State>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts one open request; dropping it ends the count.
#[derive(Debug)]
pub(crate) struct OpenRequest(Arc<State>);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.open_requests.fetch_sub(1, Ordering::Relaxed);
        self.0.metrics.open_requests.dec();
    }
}

impl Shard {
    fn new(
        service: &Arc<str>,
        settings: &Settings,
        policy: &pool::Config,
        gateways: usize,
    ) -> Shard {
        let floor = retry_floor(settings, gateways);
        let share = settings.retry_ratio * RETRY_SHARE;
        let mut budget = Budget::new(share, floor, settings.retry_window);
        budget.set_gateways(gateways, floor);
        let mut pool = Pool::new(policy.clone());
        pool.set_gateways(gateways, rand::random());
        Shard {
            service: Arc::clone(service),
            pool: Mutex::new(pool),
            budget: Mutex::new(budget),
            leaving: watch::Sender::new(0),
            rollout: rollout::Slot::default(),
            idle_probes: Mutex::default(),
            notice_waits: Mutex::default(),
            sidecar_port: settings.sidecar_port,
        }
    }

    fn idle_probes(&self) -> MutexGuard<'_, Vec<(Arc<str>, Probe)>> {
        self.idle_probes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn notice_waits(&self) -> MutexGuard<'_, Vec<Arc<str>>> {
        self.notice_waits
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes the probe of an endpoint out of the idle probes. Returns `None` if there is
    /// none or it is in use.
    pub(crate) fn take_idle_probe(&self, id: &str) -> Option<Probe> {
        let mut idle_probes = self.idle_probes();
        let found = idle_probes.binary_search_by(|(known, _)| (**known).cmp(id));
        found.ok().map(|index| idle_probes.remove(index).1)
    }

    /// Returns a probe to the idle probes, where it stays until its endpoint is gone.
    pub(crate) fn put_idle_probe(&self, id: &Arc<str>, probe: Probe) {
        let mut idle_probes = self.idle_probes();
        if let Err(index) = idle_probes.binary_search_by(|(known, _)| known.cmp(id)) {
            idle_probes.insert(index, (Arc::clone(id), probe));
        }
    }

    /// Records that a task waits for the shutdown notice of an endpoint. Returns false
    /// if one does already.
    pub(crate) fn begin_notice_wait(&self, id: &Arc<str>) -> bool {
        let mut notice_waits = self.notice_waits();
        let place = notice_waits.binary_search(id);
        if let Err(index) = place {
            notice_waits.insert(index, Arc::clone(id));
        }
        place.is_err()
    }

    /// Records that no task waits for the shutdown notice of an endpoint any more.
    pub(crate) fn end_notice_wait(&self, id: &Arc<str>) {
        let mut notice_waits = self.notice_waits();
        if let Ok(index) = notice_waits.binary_search(id) {
            notice_waits.remove(index);
        }
    }

    /// Locks the endpoints.
    pub(crate) fn pool(&self) -> MutexGuard<'_, Pool> {
        // A pool is consistent after each of its methods, so a poisoned lock can be
        // used.
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn budget(&self) -> MutexGuard<'_, Budget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a caller's request to the retry budget.
    pub(crate) fn record_request(&self) {
        self.budget().record_request(clock::now());
    }

    /// Spends a retry from the budget of the service. Returns whether there was one.
    pub(crate) fn spend_retry(&self, purpose: Repeat) -> bool {
        self.budget().spend(purpose, clock::now())
    }

    pub(crate) fn choose(&self, criteria: &Criteria<'_>) -> Result<Arc<Endpoint>, Refusal> {
        let chosen = self.pool().choose(criteria, rand::random(), clock::now());
        if chosen.is_ok() || !self.rollout.allows_other(criteria.side) {
            return chosen;
        }
        let other = Criteria {
            side: criteria.side.other(),
            ..*criteria
        };
        let found = self.pool().choose(&other, rand::random(), clock::now());
        found.or(chosen)
    }

    /// Returns what is known of an endpoint, for the log.
    pub(crate) fn endpoint_snapshot(&self, id: &str) -> Snapshot {
        let view = self.pool().view(id, clock::now());
        view.map_or_else(Snapshot::default, |view| Snapshot::new(&view))
    }

    /// Logs a change of an endpoint and notifies the streams if the endpoint leaves.
    pub(crate) fn record_change(&self, id: &str, change: Option<Change>, source: &str) {
        let Some(change) = change else {
            return;
        };
        record::write(&Event::Endpoint {
            endpoint: id,
            service: &self.service,
            change: change.into(),
            source,
            kept_ms: self.pool().kept_ms(id, clock::now()),
        });
        if change == Change::Gone {
            self.take_idle_probe(id);
        }
        if matches!(change, Change::Leaving | Change::Gone) {
            self.leaving.send_modify(|count| *count += 1);
        }
    }

    /// Records that an endpoint said in an answer that it is leaving.
    fn record_leaving(&self, id: &str) {
        let change = self.pool().record_leaving(id, clock::now());
        self.record_change(id, change, "answer");
    }

    /// Counts a request at an endpoint until the returned guard is ended or dropped.
    pub(crate) fn start(
        self: &Arc<Shard>,
        endpoint: &Arc<Endpoint>,
        work: Work,
        vm: &Arc<str>,
        route: &Arc<str>,
    ) -> InFlight {
        let now = clock::now();
        self.pool().record_start(&endpoint.id, work, now);
        self.in_flight(endpoint, work, (vm, route), now)
    }

    /// Decides whether an engine has capacity for a request that may wait. If so, the request
    /// is counted at the engine until the guard is ended or dropped. The decision and the count
    /// share one lock, so that two requests are not admitted for the same capacity.
    pub(crate) fn admit(
        self: &Arc<Shard>,
        endpoint: &Arc<Endpoint>,
        claim: &Claim,
        vm: &Arc<str>,
        route: &Arc<str>,
        now: Time,
    ) -> (Verdict, Option<Admitted>) {
        let (verdict, view) = {
            let mut pool = self.pool();
            let view = pool.view(&endpoint.id, now);
            (pool.admit_and_start(&endpoint.id, claim, now), view)
        };
        let admitted = verdict.is_admitted.then(|| Admitted {
            in_flight: self.in_flight(endpoint, claim.work, (vm, route), now),
            snapshot: view.map_or_else(Snapshot::default, |view| Snapshot::new(&view)),
        });
        (verdict, admitted)
    }

    /// Returns the guard of a request whose start at `now` the pool has recorded.
    fn in_flight(
        self: &Arc<Shard>,
        endpoint: &Arc<Endpoint>,
        work: Work,
        (vm, route): (&Arc<str>, &Arc<str>),
        now: Time,
    ) -> InFlight {
        let side = self.pool().side_of(&endpoint.version);
        let is_counted = self.rollout.record_sent(side);
        InFlight {
            shard: Arc::clone(self),
            endpoint: Arc::clone(endpoint),
            work,
            started_at: now,
            witness: is_counted.then(|| Witness::new(vm, route, &endpoint.id, side, now)),
            is_answered: false,
            is_ended: false,
        }
    }

    /// Counts a copy at an endpoint until the guard is dropped.
    pub(crate) fn copy(self: &Arc<Shard>, endpoint: &Arc<Endpoint>, work: Work) -> CopyGuard {
        self.pool().record_copy_start(&endpoint.id, work);
        CopyGuard {
            shard: Arc::clone(self),
            endpoint: Arc::clone(endpoint),
            work,
        }
    }
}

/// A request that was admitted to an engine and is counted there, but not sent yet.
#[derive(Debug)]
pub(crate) struct Admitted {
    pub(crate) in_flight: InFlight,
    /// What was known of the engine before the request was counted, for the log.
    pub(crate) snapshot: Snapshot,
}

/// A request in flight at an endpoint. Dropping it without [`InFlight::end`] counts as a
/// cancellation.
#[derive(Debug)]
pub(crate) struct InFlight {
    shard: Arc<Shard>,
    pub(crate) endpoint: Arc<Endpoint>,
    work: Work,
    pub(crate) started_at: Time,
    /// What is counted while a version is on trial.
    witness: Option<Witness>,
    is_answered: bool,
    is_ended: bool,
}

impl InFlight {
    /// Records that the endpoint has sent an event or the response.
    pub(crate) fn record_answer(&mut self) {
        if let Some(witness) = &mut self.witness {
            witness.record_event(&self.shard.rollout, clock::now());
        }
        if !self.is_answered {
            self.is_answered = true;
            self.shard
                .pool()
                .record_answer(&self.endpoint.id, self.work);
        }
    }

    /// Records what the head of an answer says about the endpoint.
    pub(crate) fn record_head(&self, reply: &Reply) {
        if reply.is_leaving {
            self.shard.record_leaving(&self.endpoint.id);
        }
        if let Some(pause) = reply.pause {
            let until = clock::now() + pause;
            self.shard.pool().pause(&self.endpoint.id, until);
            record::write(&Event::EndpointPaused {
                endpoint: &self.endpoint.id,
                pause_ms: u64::try_from(pause.as_millis()).unwrap_or(u64::MAX),
            });
        }
    }

    /// Records how the request ended.
    pub(crate) fn end(mut self, outcome: Outcome) {
        self.finish(outcome);
    }

    fn finish(&mut self, outcome: Outcome) {
        self.is_ended = true;
        let now = clock::now();
        let id = &self.endpoint.id;
        if let Some(witness) = &self.witness {
            let slot = &self.shard.rollout;
            match outcome {
                Outcome::Failed => witness.record_failure(slot, Ending::Failed),
                Outcome::Unreachable | Outcome::Broken if !self.shard.pool().is_leaving(id) => {
                    let began_at = (outcome == Outcome::Broken).then_some(self.started_at);
                    witness.record_failure(slot, rollout::endpoint_lost(id, began_at, now));
                }
                Outcome::Cancelled => witness.record_given_up(slot, now),
                Outcome::Answered { .. }
                | Outcome::Refused
                | Outcome::Misdirected
                | Outcome::Unreachable
                | Outcome::Broken => {}
            }
        }
        let change = {
            let mut pool = self.shard.pool();
            pool.record_end(id, self.work, self.is_answered, outcome, now);
            let is_misdirected = outcome == Outcome::Misdirected;
            is_misdirected
                .then(|| pool.record_misdirected(id, now))
                .flatten()
        };
        self.shard.record_change(id, change, "rejection");
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.is_ended {
            self.finish(Outcome::Cancelled);
        }
    }
}

/// The copy of a run at an endpoint.
#[derive(Debug)]
pub(crate) struct CopyGuard {
    shard: Arc<Shard>,
    pub(crate) endpoint: Arc<Endpoint>,
    work: Work,
}

impl Drop for CopyGuard {
    fn drop(&mut self) {
        self.shard
            .pool()
            .record_copy_end(&self.endpoint.id, self.work);
    }
}

/// Returns the time until a deadline, at least one millisecond.
pub(crate) fn time_left(deadline: Time) -> Duration {
    deadline.since(clock::now()).max(Duration::from_millis(1))
}
