//! Follows the platform's store: the configuration, the endpoints and the evacuated data
//! centres.
//!
//! Each kind is listed once and then watched from the position of the list. A failed
//! call is retried from the same position, so that no change is missed. If the store has
//! compacted the history since that position, the kind is listed again. All calls ask
//! for the latest data rather than allow stale reads, because the result decides which
//! requests are allowed.
//!
//! In a large data centre, most gateways watch another gateway instead, by the same
//! positions. When its answer fails or is too old, the store is asked at once.
//!
//! A store that was restored from an older copy is in another era, and each kind is listed
//! again as soon as any of them has seen that. What this list lacks may have been written
//! after the copy was made, and operators and endpoints write it again within seconds. The
//! list therefore removes nothing, and the kind is listed once more when they have had time
//! to write.

use std::{
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use cactusroad_core::{
    Time,
    freshness::Answer,
    history::Position,
    pool::{Change, Grace},
    relay::{Limits, Member, Source, watch_wait},
};
use cactusroad_platform::{
    list,
    settings::Settings,
    site,
    store::{self, Client, Error, Kind, Listing, Object},
};
use tokio::{sync::watch, time::sleep};

use crate::{
    clock, crash,
    record::{self, ConfigOrigin, Event},
    relay::{self, Update},
    rollout,
    state::State,
};

/// The timeout of a store call: many times the store's usual latency of a few
/// milliseconds, and less than half of the time within which a change must be in force.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// The maximum wait of a watch of the configuration. A store that drops its history may leave
/// a watch unanswered, so this bounds how long a change is missed.
const CONFIG_WAIT: Duration = Duration::from_millis(2_500);

/// The wait of a watch of the configuration as a share of the bound on revoked keys.
/// Each answer renews the proof that the configuration is current.
const CONFIG_WAIT_SHARE: f64 = 0.2;

/// The maximum wait of a watch of evacuated data centres.
const EVACUATION_WAIT: Duration = Duration::from_secs(4);

/// How long a watch of endpoints waits for a change; endpoints renew their entries more
/// often than this.
const ENDPOINT_WAIT: Duration = Duration::from_millis(1_200);

/// The minimum time between two watches of endpoints, which batches the renewals of many
/// endpoints into one call.
const ENDPOINT_SPACING: Duration = Duration::from_millis(250);

/// The maximum time between two watches of endpoints, as a share of the time within
/// which a leaving endpoint must get no more work. Sidecars report leaving engines
/// without this delay.
const ENDPOINT_SPACING_SHARE: f64 = 0.45;

/// The rate of endpoint watches that all gateways together aim for. The load on the
/// store then does not grow with the number of gateways until the maximum spacing is
/// reached.
const ENDPOINT_WATCHES_PER_S: f64 = 20.0;

/// The minimum backoff after a failed call. Before jitter, the backoff starts at twice
/// this and doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// The longest backoff after a first failure.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);

/// The maximum backoff of the configuration, well below the time within which a change
/// must be in force after the store has recovered.
const MAX_CONFIG_BACKOFF: Duration = Duration::from_millis(800);

/// The maximum backoff of the configuration where requests are refused meanwhile.
const MAX_STRICT_BACKOFF: Duration = Duration::from_millis(400);

/// The maximum backoff of the other kinds. They are read at once when the configuration
/// can be read again.
const MAX_BACKOFF: Duration = Duration::from_millis(2_000);

/// How long operators and endpoints may take to write again what a restore of the store has
/// lost. Endpoints take about two seconds.
const REWRITE_TIME: Duration = Duration::from_secs(4);

/// The lists after that time are spread over this share of it.
const REWRITE_JITTER_SHARE: f64 = 0.25;

/// How an update was read.
#[derive(Clone, Debug, Default)]
pub(crate) struct Origin {
    /// `list` or `watch`.
    call: &'static str,
    /// The relay that answered; empty for the store.
    relay: Arc<str>,
    sent_at: Time,
    answered_at: Time,
    /// When the answer before it arrived; none for the first.
    previous_at: Option<Time>,
}

/// Applies the state of one kind of object in the store.
pub(crate) trait Follower {
    const KIND: Kind;
    const WAIT: Duration;
    /// The number of consecutive failures after which the store counts as unreachable.
    const OUTAGE_FAILURES: u32 = 1;
    /// Whether the whole list is read again after an outage of the store.
    const RELISTS_AFTER_OUTAGE: bool = false;
    /// Whether [`Follower::replace`] itself keeps objects for a while that a list lacks.
    const KEEPS_UNLISTED: bool = false;

    /// Whether gateways may learn of this kind from a relay, which passes on no status.
    const IS_RELAYED: bool = true;
    /// Whether a watch is made again when one of another kind has failed.
    const IS_INTERRUPTIBLE: bool = false;

    /// Returns the limits within which a relay must answer about this kind.
    fn limits(settings: &Settings) -> Limits;
    /// Returns how long the next watch of the store waits for a change.
    fn wait(&self, _state: &State) -> Duration {
        Self::WAIT
    }
    /// Called before an update is applied.
    fn on_update(&mut self, _origin: &Origin) {}
    /// Records that the store has confirmed the state of this kind.
    fn on_answer(&mut self, _state: &State, _answer: &Answer) {}
    /// Returns the delay between a successful call to the store and the next one.
    fn spacing(&self, _state: &State) -> Duration {
        Duration::ZERO
    }
    /// Returns the maximum backoff after failed calls.
    fn max_backoff(_settings: &Settings) -> Duration {
        MAX_BACKOFF
    }
    /// Applies a whole list.
    fn replace(&mut self, state: &State, objects: &[Object]);
    /// Applies one change.
    fn apply(&mut self, state: &State, change: &store::Event);
    /// Called when the store stops answering.
    fn on_outage(&mut self, _state: &State) {}
    /// Called when the store answers again.
    fn on_recovery(&mut self, _state: &State) {}
}

/// Spawns the tasks that follow the store. They run until the runtime is dropped.
pub(crate) fn start(state: &Arc<State>) {
    tokio::spawn(follow(Arc::clone(state), Configuration::default()));
    tokio::spawn(follow(
        Arc::clone(state),
        Endpoints {
            grace: Grace::default(),
        },
    ));
    tokio::spawn(follow(Arc::clone(state), Evacuations { names: Vec::new() }));
    tokio::spawn(follow(Arc::clone(state), crash::Reports));
    tokio::spawn(follow(Arc::clone(state), rollout::Orders::default()));
    tokio::spawn(follow(Arc::clone(state), rollout::Counts));
}

/// Follows one kind of object, in the store or at a relay.
struct Task<F> {
    state: Arc<State>,
    follower: F,
    store: Client,
    store_address: SocketAddr,
    relay: Option<relay::Client>,
    /// The name of the relay that was asked last; empty for the store.
    source: Arc<str>,
    /// The position to continue from, or none if the kind is listed next.
    at: Option<Position>,
    /// The newest position that was applied.
    known: Position,
    /// When the last answer arrived.
    answered_at: Option<Time>,
    /// When the kind is listed again after a restore of the store.
    relist_at: Time,
    /// The newest era that was known when the kind was listed last.
    listed_era: u64,
    outage: Outage,
    /// Changes when the configuration can be read again after an outage.
    recoveries: watch::Receiver<u64>,
}

async fn follow<F: Follower>(state: Arc<State>, follower: F) {
    let store_address = state.settings.load().store;
    let recoveries = state.recoveries.subscribe();
    let mut task = Task {
        state,
        recoveries,
        follower,
        store: Client::new(store_address, CALL_TIMEOUT),
        store_address,
        relay: None,
        source: "".into(),
        at: None,
        known: Position::ZERO,
        answered_at: None,
        relist_at: Time::MAX,
        listed_era: 0,
        outage: Outage::default(),
    };
    loop {
        // A recovery during a call that fails later ends the pause after that call.
        task.recoveries.mark_unchanged();
        if task.relist_at.is_past(clock::now()) {
            task.relist_at = Time::MAX;
            task.at = None;
        }
        let source = task.state.relays().source(clock::now());
        let delay = match source {
            Source::Relay(relay) if F::IS_RELAYED => task.ask_relay(&relay).await,
            _ => task.ask_store().await,
        };
        task.pause(delay).await;
    }
}

impl<F: Follower> Task<F> {
    /// Waits until the next call is due. During an outage, that is also the case when
    /// another kind can be read again.
    async fn pause(&mut self, delay: Duration) {
        if self.outage.since.is_none() {
            return sleep(delay).await;
        }
        tokio::select! {
            () = sleep(delay) => {}
            // The sender lives as long as the state.
            _ = self.recoveries.changed() => {}
        }
    }

    /// Lists or watches the store once. Returns the delay until the next call.
    async fn ask_store(&mut self) -> Duration {
        self.record_source(&Arc::from(""), "");
        let current = self.state.settings.load().store;
        if current != self.store_address {
            self.store_address = current;
            self.store = Client::new(current, CALL_TIMEOUT);
        }
        let asked_at = clock::now();
        match self.poll_store().await {
            Ok(false) => Duration::ZERO,
            Ok(true) => {
                count_call(&self.state, F::KIND, "answered");
                if self.end_outage() {
                    return Duration::ZERO;
                }
                self.follower.spacing(&self.state)
            }
            Err(Error::Compacted) => {
                self.state.watch_failures.send_modify(|count| *count += 1);
                count_call(&self.state, F::KIND, "compacted");
                self.at = None;
                Duration::ZERO
            }
            Err(Error::Restored { era, .. }) => {
                count_call(&self.state, F::KIND, "restored");
                self.state.record_era(era);
                self.at = None;
                Duration::ZERO
            }
            Err(cause) => {
                self.state.watch_failures.send_modify(|count| *count += 1);
                count_call(&self.state, F::KIND, "failed");
                self.outage.record_failure(F::KIND, &cause, asked_at);
                if self.outage.failures == F::OUTAGE_FAILURES {
                    self.follower.on_outage(&self.state);
                }
                let settings = self.state.settings.load();
                self.outage.backoff(F::max_backoff(&settings))
            }
        }
    }

    /// Lists or watches the store. Returns false if it was interrupted before an answer.
    async fn poll_store(&mut self) -> Result<bool, Error> {
        let sent_at = clock::now();
        let mut eras = self.state.era.subscribe();
        let newest_era = *eras.borrow();
        let is_known = newest_era <= self.listed_era;
        let Some(at) = self.at.filter(|_| is_known) else {
            self.listed_era = newest_era;
            let listing = self.store.list(F::KIND).await?;
            let answer = Answer::list(sent_at, clock::now());
            self.apply(Update::Whole(listing), &answer);
            return Ok(true);
        };
        // During an outage, a watch does not wait for a change, because its answer is to show
        // at once that the store can be read again.
        let wait = if self.outage.since.is_some() {
            Duration::ZERO
        } else {
            self.follower.wait(&self.state)
        };
        let watch = self.store.watch(F::KIND, at, wait);
        let mut interruptions = self.state.watch_failures.subscribe();
        let changes = tokio::select! {
            changes = watch => changes?,
            // The sender lives as long as the state.
            _ = interruptions.changed(), if F::IS_INTERRUPTIBLE => return Ok(false),
            // The sender lives as long as the state.
            _ = eras.wait_for(|era| *era > newest_era) => return Ok(false),
        };
        let has_changes = !changes.events.is_empty();
        let answer = Answer::watch(sent_at, clock::now(), wait, has_changes);
        self.apply(Update::Changed(changes), &answer);
        Ok(true)
    }

    /// Watches a relay once. Returns the delay until the next call.
    async fn ask_relay(&mut self, member: &Member) -> Duration {
        let limits = F::limits(&self.state.settings.load());
        let relay = match self.relay.take() {
            Some(relay) if relay.address() == member.address => relay,
            _ => relay::Client::new(member.address),
        };
        let relay = self.relay.insert(relay);
        // A relay that has not seen a restore yet could bring back what was replaced.
        let known = self.known.max(Position::new(*self.state.era.borrow(), 0));
        match relay.read(F::KIND, self.at, known, &limits).await {
            Ok((update, answer)) => {
                self.record_source(&member.name, "");
                count_relay_call(&self.state, F::KIND, "answered");
                self.state.relays().record_answer();
                self.apply(update, &answer);
                if self.end_outage() {
                    return Duration::ZERO;
                }
                limits.spacing
            }
            Err(cause) => {
                count_relay_call(&self.state, F::KIND, "failed");
                self.record_source(&Arc::from(""), &format!("{}: {cause}", member.name));
                self.state.relays().record_failure(clock::now());
                // What has silenced the relay may have silenced this connection.
                self.store.disconnect();
                Duration::ZERO
            }
        }
    }

    /// Applies what the store or a relay answered, and passes it on to followers.
    fn apply(&mut self, update: Update, answer: &Answer) {
        self.follower.on_update(&Origin {
            call: match &update {
                Update::Whole(_) => "list",
                Update::Changed(_) => "watch",
            },
            relay: Arc::clone(&self.source),
            sent_at: answer.sent_at,
            answered_at: answer.answered_at,
            previous_at: self.answered_at.replace(answer.answered_at),
        });
        let at = match &update {
            Update::Whole(listing) => {
                self.apply_whole(listing);
                if let Some(feed) = self.state.feeds.get(F::KIND) {
                    feed.replace(&listing.objects, listing.at, answer);
                }
                listing.at
            }
            Update::Changed(changes) => {
                for change in &changes.events {
                    self.follower.apply(&self.state, change);
                }
                if let Some(feed) = self.state.feeds.get(F::KIND) {
                    feed.apply(F::KIND, &changes.events, changes.at, answer);
                }
                changes.at
            }
        };
        self.follower.on_answer(&self.state, answer);
        self.state.record_era(at.era);
        self.listed_era = self.listed_era.max(at.era);
        self.at = Some(at);
        self.known = if at.is_of_era(self.known.era) {
            self.known.max(at)
        } else {
            at
        };
        self.state.notify_if_synced();
    }

    /// Applies a whole list. After a restore of the store, it may lack what is about to be
    /// written again.
    fn apply_whole(&mut self, listing: &Listing) {
        let is_restored = self.known != Position::ZERO && !listing.at.is_of_era(self.known.era);
        if is_restored {
            record::write(&Event::StoreRestored {
                name: F::KIND.into(),
                known_era: self.known.era,
                known_revision: self.known.revision,
                era: listing.at.era,
                revision: listing.at.revision,
                objects: listing.objects.len(),
            });
        }
        if is_restored && !F::KEEPS_UNLISTED {
            let jitter = 1.0 + REWRITE_JITTER_SHARE * rand::random::<f64>();
            self.relist_at = clock::now() + REWRITE_TIME.mul_f64(jitter);
        }
        if self.relist_at == Time::MAX {
            self.follower.replace(&self.state, &listing.objects);
            return;
        }
        for object in &listing.objects {
            let change = store::Event {
                object: object.clone(),
                deleted: false,
            };
            self.follower.apply(&self.state, &change);
        }
    }

    /// Records that changes can be read. Returns whether the whole list is read next,
    /// because an outage has ended.
    fn end_outage(&mut self) -> bool {
        if !self.outage.record_answer(F::KIND) {
            return false;
        }
        self.follower.on_recovery(&self.state);
        if F::RELISTS_AFTER_OUTAGE {
            self.at = None;
        }
        F::RELISTS_AFTER_OUTAGE
    }

    /// Logs a change of the source from which this kind is read.
    fn record_source(&mut self, source: &Arc<str>, cause: &str) {
        if self.source == *source {
            return;
        }
        self.source = Arc::clone(source);
        record::write(&Event::Source {
            name: F::KIND.into(),
            relay: source,
            cause,
        });
    }
}

fn count_call(state: &State, kind: Kind, outcome: &str) {
    let labels = [kind.into(), outcome];
    state.metrics.store_calls.with_label_values(&labels).inc();
}

fn count_relay_call(state: &State, kind: Kind, outcome: &str) {
    let labels = [kind.into(), outcome];
    state.metrics.relay_calls.with_label_values(&labels).inc();
}

/// Tracks whether the store answers.
#[derive(Default)]
struct Outage {
    since: Option<Time>,
    failures: u32,
}

impl Outage {
    /// Records that a call failed that began at `asked_at`.
    fn record_failure(&mut self, kind: Kind, cause: &Error, asked_at: Time) {
        self.failures += 1;
        if self.since.is_none() {
            self.since = Some(clock::now());
            let cause = cause.to_string();
            record::write(&Event::DependencyLost {
                name: kind.into(),
                cause: &cause,
                call_ms: Some(clock::millis_since(asked_at)),
            });
        }
    }

    /// Records an answer. Returns whether it ends an outage.
    fn record_answer(&mut self, kind: Kind) -> bool {
        self.failures = 0;
        let Some(since) = self.since.take() else {
            return false;
        };
        let away_ms = clock::millis_since(since);
        record::write(&Event::DependencyRegained {
            name: kind.into(),
            away_ms,
        });
        true
    }

    /// Returns the delay until the next attempt, with jitter so that gateways do not
    /// retry at the same time.
    fn backoff(&self, max: Duration) -> Duration {
        let pause = MIN_BACKOFF * 2u32.pow(self.failures.min(6));
        pause.min(max).mul_f64(rand::random_range(0.5..1.0))
    }
}

/// Returns how long a watch of the store waits, if changes must take effect within `bound`
/// also when the watch goes silent. A relay asks often enough that its answers to followers
/// are recent.
fn bounded_wait<F: Follower>(state: &State, bound: Duration) -> Duration {
    let wait = watch_wait(bound, CALL_TIMEOUT, FIRST_BACKOFF).min(F::WAIT);
    if !state.relays().is_relay() {
        return wait;
    }
    let limits = F::limits(&state.settings.load());
    limits.wait.min(wait)
}

/// Follows the configuration.
#[derive(Default)]
struct Configuration {
    /// How the update was read that is being applied.
    origin: Origin,
}

impl Configuration {
    fn apply_object(&self, state: &State, object: &Object) {
        let read = &self.origin;
        let millis = |time: Duration| u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
        let origin = ConfigOrigin {
            call: read.call,
            relay: &read.relay,
            call_ms: millis(read.answered_at.since(read.sent_at)),
            silent_ms: read
                .previous_at
                .map_or(0, |previous| millis(read.answered_at.since(previous))),
        };
        let revision = object.meta.revision;
        let site = match site::decode(object) {
            Ok(site) => site,
            Err(cause) => {
                let cause = cause.to_string();
                record::write(&Event::ConfigRejected {
                    cause: &cause,
                    revision,
                    origin,
                });
                return;
            }
        };
        let in_force = state.site.load().as_ref().map_or(0, |site| site.version());
        let (version, routes) = (site.version(), site.routes().len());
        // A list that was read before a change may arrive after it, and a restored store may
        // hold an older version until the operator has written again.
        if version < in_force {
            record::write(&Event::ConfigIgnored {
                version,
                in_force,
                revision,
                origin,
            });
            return;
        }
        state.apply_config(site);
        let took = clock::now().since(read.answered_at);
        record::write(&Event::ConfigInForce {
            version,
            routes,
            revision,
            origin,
            apply_us: u64::try_from(took.as_micros()).unwrap_or(u64::MAX),
        });
    }
}

/// The name of the object that holds the configuration.
const CONFIG_NAME: &str = "main";

impl Follower for Configuration {
    const KIND: Kind = Kind::Config;
    const WAIT: Duration = CONFIG_WAIT;
    // The first call after a pause of the process finds that its time is over.
    const OUTAGE_FAILURES: u32 = 2;

    fn limits(settings: &Settings) -> Limits {
        Limits::new(settings.apply)
    }

    fn wait(&self, state: &State) -> Duration {
        if state.freshness().is_urgent(clock::now()) {
            return Duration::ZERO;
        }
        let settings = state.settings.load();
        // A silent connection excuses a late version for this time only.
        let wait = bounded_wait::<Configuration>(state, settings.contact);
        let share = settings
            .revocation
            .map(|bound| bound.mul_f64(CONFIG_WAIT_SHARE));
        share.map_or(wait, |share| share.min(wait))
    }

    fn on_update(&mut self, origin: &Origin) {
        self.origin = origin.clone();
    }

    fn on_answer(&mut self, state: &State, answer: &Answer) {
        state.record_fresh(answer);
    }

    fn on_outage(&mut self, state: &State) {
        state.is_config_unreachable.store(true, Ordering::Relaxed);
    }

    fn on_recovery(&mut self, state: &State) {
        state.is_config_unreachable.store(false, Ordering::Relaxed);
        state.recoveries.send_modify(|count| *count += 1);
    }

    fn max_backoff(settings: &Settings) -> Duration {
        match settings.revocation {
            Some(_) => MAX_STRICT_BACKOFF,
            None => MAX_CONFIG_BACKOFF,
        }
    }

    fn replace(&mut self, state: &State, objects: &[Object]) {
        if let Some(object) = objects
            .iter()
            .find(|object| &*object.meta.name == CONFIG_NAME)
        {
            self.apply_object(state, object);
        }
    }

    fn apply(&mut self, state: &State, change: &store::Event) {
        if &*change.object.meta.name == CONFIG_NAME && !change.deleted {
            self.apply_object(state, &change.object);
        }
    }
}

/// Follows the endpoints.
struct Endpoints {
    grace: Grace,
}

impl Endpoints {
    fn upsert(state: &State, object: &Object) -> Option<()> {
        let name = &object.meta.name;
        let now = clock::now();
        let endpoint = match list::endpoint(object, now) {
            Ok(endpoint) => endpoint,
            Err(cause) => {
                let cause = cause.to_string();
                record::write(&Event::EntryUnreadable {
                    name,
                    cause: &cause,
                });
                return None;
            }
        };
        let shard = state.shard_or_new(&endpoint.service);
        let (change, ended) = {
            let mut pool = shard.pool();
            let change = pool.upsert(Arc::new(endpoint), now);
            (change, pool.supersede(name, now))
        };
        shard.record_change(name, change, "list");
        for id in ended {
            shard.record_change(&id, Some(Change::Gone), "successor");
        }
        // An endpoint belongs to the service that its last entry names.
        for other in state.shards().iter() {
            if other.service != shard.service {
                let change = other.pool().mark_unlisted(name, now);
                other.record_change(name, change, "list");
            }
        }
        Some(())
    }

    /// Applies an entry. One that is not valid names no endpoint, so an endpoint of its name
    /// counts as missing until it renews its own.
    fn apply_entry(&self, state: &State, object: &Object) {
        if Endpoints::upsert(state, object).is_none() {
            self.mark_unlisted(state, &object.meta.name);
        }
    }

    /// Marks an endpoint as missing from the list, in all services.
    fn mark_unlisted(&self, state: &State, name: &str) {
        let until = self.grace.until(clock::now());
        for shard in state.shards().iter() {
            let change = shard.pool().mark_unlisted(name, until);
            shard.record_change(name, change, "list");
        }
    }

    fn record_answer(&mut self, state: &State) {
        let settings = state.settings.load();
        self.grace
            .record_answer(settings.heartbeat, settings.drain, clock::now());
    }

    fn remove_expired(state: &State) {
        let mut listed = 0;
        for shard in state.shards().iter() {
            let mut pool = shard.pool();
            pool.remove_expired(clock::now());
            listed += pool.len();
        }
        state
            .metrics
            .endpoints
            .set(i64::try_from(listed).unwrap_or(i64::MAX));
    }
}

impl Follower for Endpoints {
    const KIND: Kind = Kind::Servers;
    // Engines that were announced during the outage may have stopped without ever having
    // been listed.
    const RELISTS_AFTER_OUTAGE: bool = true;
    const KEEPS_UNLISTED: bool = true;
    const WAIT: Duration = ENDPOINT_WAIT;

    fn limits(settings: &Settings) -> Limits {
        Limits::new(settings.drain)
    }

    fn wait(&self, state: &State) -> Duration {
        let spacing = Limits::new(state.settings.load().drain).spacing;
        if state.relays().is_relay() {
            // The state of a relay ages during the spacing as well.
            let wait = Endpoints::limits(&state.settings.load()).wait;
            wait.min(ENDPOINT_WAIT).saturating_sub(spacing)
        } else {
            ENDPOINT_WAIT
        }
    }

    fn spacing(&self, state: &State) -> Duration {
        let settings = state.settings.load();
        if state.relays().is_relay() {
            return Limits::new(settings.drain).spacing;
        }
        let shared = Duration::from_secs_f64(state.gateways() as f64 / ENDPOINT_WATCHES_PER_S);
        let most = settings.drain.mul_f64(ENDPOINT_SPACING_SHARE);
        shared.max(ENDPOINT_SPACING).min(most)
    }

    fn replace(&mut self, state: &State, objects: &[Object]) {
        self.record_answer(state);
        for shard in state.shards().iter() {
            let ids: Vec<Arc<str>> = shard
                .pool()
                .views(clock::now())
                .map(|view| Arc::clone(&view.endpoint.id))
                .collect();
            for id in ids {
                if objects
                    .binary_search_by(|object| object.meta.name.cmp(&id))
                    .is_err()
                {
                    self.mark_unlisted(state, &id);
                }
            }
        }
        for object in objects {
            self.apply_entry(state, object);
        }
        Endpoints::remove_expired(state);
        state.are_endpoints_listed.store(true, Ordering::Relaxed);
    }

    fn apply(&mut self, state: &State, change: &store::Event) {
        self.record_answer(state);
        if change.deleted {
            self.mark_unlisted(state, &change.object.meta.name);
        } else {
            self.apply_entry(state, &change.object);
        }
        Endpoints::remove_expired(state);
    }

    fn on_answer(&mut self, state: &State, _answer: &Answer) {
        // An answer without changes ends an interruption as well.
        self.record_answer(state);
    }

    fn on_outage(&mut self, state: &State) {
        state.is_store_unreachable.store(true, Ordering::Relaxed);
    }

    fn on_recovery(&mut self, state: &State) {
        state.is_store_unreachable.store(false, Ordering::Relaxed);
    }
}

/// Follows the data centres that operators have evacuated.
struct Evacuations {
    names: Vec<Arc<str>>,
}

impl Evacuations {
    fn publish(&self, state: &State) {
        record::write(&Event::DataCentresOut { names: &self.names });
        for shard in state.shards().iter() {
            shard.pool().set_data_centres_out(&self.names);
        }
        state.data_centres_out.store(Arc::new(self.names.clone()));
        state.are_evacuations_listed.store(true, Ordering::Relaxed);
    }
}

impl Follower for Evacuations {
    const KIND: Kind = Kind::Evacuations;
    const WAIT: Duration = EVACUATION_WAIT;

    fn limits(settings: &Settings) -> Limits {
        Limits::new(settings.evacuation)
    }

    fn wait(&self, state: &State) -> Duration {
        bounded_wait::<Evacuations>(state, state.settings.load().evacuation)
    }

    fn replace(&mut self, state: &State, objects: &[Object]) {
        self.names = objects
            .iter()
            .map(|object| Arc::clone(&object.meta.name))
            .collect();
        self.names.sort();
        self.publish(state);
    }

    fn apply(&mut self, state: &State, change: &store::Event) {
        let name = &change.object.meta.name;
        match (self.names.binary_search(name), change.deleted) {
            (Ok(index), true) => {
                self.names.remove(index);
            }
            (Err(index), false) => self.names.insert(index, Arc::clone(name)),
            _ => return,
        }
        self.publish(state);
    }
}
