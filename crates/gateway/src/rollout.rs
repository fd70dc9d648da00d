//! Moves services to other versions, as operators order.
//!
//! [`cactusroad_core::rollout::canary`] decides which requests go to the new version and
//! how a rollout ends. Each gateway counts how its requests fared, by route, and publishes
//! the counts in one object of the store while a version is on trial; each judges the
//! counts of all. The first that finds the version bad, or the old runs ended, writes the
//! status of the order. The condition of that write makes the first one decide.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cactusroad_core::{
    Time,
    id::Incarnation,
    rollout::{
        Side,
        canary::{Canary, Order},
        evidence::{Ending, Loss, Recorder, Report, Sample, Sum, Tally},
        judge::{self, Verdict},
    },
};
use cactusroad_platform::{
    rollout::{self, Phase, Status},
    settings::Settings,
    store::{self, Client, Error, Kind, Object},
};
use serde::{Deserialize, Serialize};
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::{
    clock,
    record::{self, Event},
    relay::{RARE_LIMITS, RARE_WAIT},
    state::{Shard, State},
    watch::Follower,
};

/// The interval at which the version on trial is judged: a tenth of the time within which
/// a bad one must get no more requests.
const JUDGE_INTERVAL: Duration = Duration::from_millis(500);

/// The minimum interval between two publications.
const PUBLISH_INTERVAL: Duration = Duration::from_secs(1);

/// The publications a second that all gateways together aim for.
const PUBLICATIONS_PER_S: f64 = 20.0;

/// The timeout of a store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The time over which the gateways spread the first status of an order.
const STATUS_JITTER: Duration = Duration::from_millis(200);

/// The number of events of a stream after which its longest pause is counted. A slow stream
/// would end too late to count as a whole.
const COUNTED_EVENTS: u32 = 8;

/// A request without an answer counts as slow from this time on, although its caller has
/// given it up: it is long for a first event.
const MIN_UNANSWERED: Duration = Duration::from_secs(1);

/// The load under which all requests are counted. The version on trial gets too few requests
/// to be compared at each load.
const ANY_LOAD: u16 = 0;

/// The rollout of one service.
#[derive(Debug)]
pub(crate) struct Trial {
    /// The name of the order in the store.
    name: Arc<str>,
    canary: Canary,
    /// The revision of the order, for the next write of its status.
    revision: u64,
    /// The phase that the store holds.
    phase: Option<Phase>,
    /// The counts of this gateway, sorted by route.
    recorders: Vec<(Arc<str>, Recorder)>,
    /// The counts of all gateways, sorted by route.
    tallies: Vec<(Arc<str>, Tally)>,
    /// Whether there are counts that were not published.
    has_news: bool,
}

/// The counts of a rollout, as published by a gateway.
#[derive(Serialize, Deserialize)]
struct Published {
    service: Arc<str>,
    target: Arc<str>,
    /// The counts by route.
    reports: Vec<(Arc<str>, Report)>,
}

impl Trial {
    fn new(name: &Arc<str>, order: Order, revision: u64) -> Trial {
        Trial {
            name: Arc::clone(name),
            canary: Canary::new(order),
            revision,
            phase: None,
            recorders: Vec::new(),
            tallies: Vec::new(),
            has_news: false,
        }
    }

    fn recorder(&mut self, vm: &Arc<str>, route: &Arc<str>) -> &mut Recorder {
        let place = self
            .recorders
            .binary_search_by(|(known, _)| known.cmp(route));
        let index = place.unwrap_or_else(|index| {
            let recorder = Recorder::new(Arc::clone(vm), Incarnation(clock::started_micros()));
            self.recorders.insert(index, (Arc::clone(route), recorder));
            index
        });
        &mut self.recorders[index].1
    }

    fn merge(&mut self, route: &Arc<str>, report: &Report) {
        let place = self.tallies.binary_search_by(|(known, _)| known.cmp(route));
        let index = place.unwrap_or_else(|index| {
            self.tallies
                .insert(index, (Arc::clone(route), Tally::default()));
            index
        });
        self.tallies[index].1.merge(report);
    }

    /// Returns the counts of this gateway by route.
    fn reports(&self) -> Vec<(Arc<str>, Report)> {
        let reports = self.recorders.iter();
        reports
            .map(|(route, recorder)| (Arc::clone(route), recorder.report().clone()))
            .collect()
    }

    /// Judges each route by itself, because a version may be bad on one only, and all
    /// together, which shows rare failures sooner.
    fn judge(&mut self) -> Verdict {
        for (route, report) in self.reports() {
            self.merge(&route, &report);
        }
        let config = judge::Config::default();
        let mut all = Sum::default();
        for (_, tally) in &self.tallies {
            let sum = tally.sum(0, clock::wall());
            if let bad @ Verdict::Bad(_) = judge::judge(&config, &sum) {
                return bad;
            }
            all.add(&sum);
        }
        judge::judge(&config, &all)
    }
}

/// The rollout of a shard's service, if it has one.
#[derive(Debug, Default)]
pub(crate) struct Slot(Mutex<Option<Trial>>);

impl Slot {
    fn lock(&self) -> MutexGuard<'_, Option<Trial>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the version for a new request.
    pub(crate) fn side(&self, settings: &Settings, gateways: usize) -> Side {
        self.lock().as_ref().map_or(Side::Baseline, |trial| {
            let draw = rand::random();
            let exposure = &settings.exposure;
            trial.canary.side(exposure, gateways, draw, clock::now())
        })
    }

    /// Returns whether a request that finds no endpoint of its version may go to the other
    /// one.
    pub(crate) fn allows_other(&self, side: Side) -> bool {
        side == Side::Candidate
            || self
                .lock()
                .as_ref()
                .is_some_and(|trial| trial.canary.is_trusted())
    }

    /// Records that a request is sent. Returns whether its outcome counts as evidence.
    pub(crate) fn record_sent(&self, side: Side) -> bool {
        self.lock().as_mut().is_some_and(|trial| {
            trial.canary.record_sent(side);
            trial.canary.end().is_none()
        })
    }
}

/// What is counted of one request while a version is on trial.
#[derive(Debug)]
pub(crate) struct Witness {
    vm: Arc<str>,
    route: Arc<str>,
    endpoint: Incarnation,
    side: Side,
    started_at: Time,
    last_event_at: Time,
    events: u32,
    longest_gap: Duration,
}

impl Witness {
    pub(crate) fn new(
        vm: &Arc<str>,
        route: &Arc<str>,
        endpoint: &str,
        side: Side,
        now: Time,
    ) -> Witness {
        Witness {
            vm: Arc::clone(vm),
            route: Arc::clone(route),
            endpoint: incarnation_of(endpoint),
            side,
            started_at: now,
            last_event_at: now,
            events: 0,
            longest_gap: Duration::ZERO,
        }
    }

    /// Counts an event of the answer, or a whole answer.
    pub(crate) fn record_event(&mut self, slot: &Slot, now: Time) {
        let gap = now.since(self.last_event_at);
        self.last_event_at = now;
        self.events += 1;
        if self.events == 1 {
            self.record(slot, Ending::Complete, Some(gap), None);
            self.record_answer(slot, now);
            return;
        }
        self.longest_gap = self.longest_gap.max(gap);
        if self.events == COUNTED_EVENTS {
            self.record(slot, Ending::Complete, None, Some(self.longest_gap));
            self.record_answer(slot, now);
        }
    }

    fn record_answer(&self, slot: &Slot, now: Time) {
        if let Some(trial) = &mut *slot.lock() {
            let recorder = trial.recorder(&self.vm, &self.route);
            recorder.record_answer(self.endpoint, now);
        }
    }

    /// Counts a request that failed.
    pub(crate) fn record_failure(&self, slot: &Slot, ending: Ending) {
        self.record(slot, ending, None, None);
    }

    /// Counts a request that its caller has given up, if it had waited for long.
    pub(crate) fn record_given_up(&self, slot: &Slot, now: Time) {
        let waited = now.since(self.last_event_at);
        if waited < MIN_UNANSWERED {
            return;
        }
        let (first, gap) = if self.events == 0 {
            (Some(now.since(self.started_at)), None)
        } else {
            (None, Some(waited))
        };
        self.record(slot, Ending::Complete, first, gap);
    }

    fn record(&self, slot: &Slot, end: Ending, first: Option<Duration>, gap: Option<Duration>) {
        let millis = |time: Duration| u32::try_from(time.as_millis()).unwrap_or(u32::MAX);
        let sample = Sample {
            side: self.side,
            load: ANY_LOAD,
            end,
            first_token_ms: first.map(millis),
            token_gap_ms: gap.map(millis),
        };
        if let Some(trial) = &mut *slot.lock() {
            let recorder = trial.recorder(&self.vm, &self.route);
            recorder.record(&sample, 0, clock::wall());
            trial.has_news = true;
        }
    }
}

/// Follows the orders.
#[derive(Default)]
pub(crate) struct Orders {
    /// Whether the orders were read before.
    is_listed: bool,
}

impl Orders {
    fn apply_object(&self, state: &State, object: &Object) {
        let order = match rollout::decode(object) {
            Ok(order) => order,
            Err(cause) => {
                log::warn!("the rollout {} cannot be used: {cause}", object.meta.name);
                return;
            }
        };
        let shard = state.shard_or_new(&order.service);
        let mut slot = shard.rollout.lock();
        let is_known = slot
            .as_ref()
            .is_some_and(|trial| trial.canary.order().target == order.target);
        if !is_known {
            log_change(&order.service, &order.target, "ordered", "");
            shard.pool().set_candidate(Some(Arc::clone(&order.target)));
        }
        let new = |slot: &mut Option<Trial>| {
            let has_begun = !self.is_listed && order.phase.is_some();
            let order = Order {
                service: Arc::clone(&order.service),
                target: Arc::clone(&order.target),
                deadline: clock::now() + order.duration,
                has_begun,
            };
            *slot = Some(Trial::new(&object.meta.name, order, object.meta.revision));
        };
        if !is_known {
            new(&mut slot);
        }
        let Some(trial) = &mut *slot else {
            return;
        };
        trial.revision = order.revision;
        trial.phase = order.phase;
        let end = order.phase.and_then(Phase::end);
        if let Some(end) = end
            && trial.canary.end() != Some(end)
        {
            trial.canary.record_end(end);
            log_change(&order.service, &order.target, end.into(), "store");
        }
    }

    fn remove(state: &State, name: &str) {
        for shard in state.shards().iter() {
            let mut slot = shard.rollout.lock();
            if slot.as_ref().is_some_and(|trial| *trial.name == *name) {
                *slot = None;
                shard.pool().set_candidate(None);
            }
        }
    }
}

impl Follower for Orders {
    const KIND: Kind = Kind::Rollouts;
    const WAIT: Duration = RARE_WAIT;
    const IS_RELAYED: bool = false;
    const IS_INTERRUPTIBLE: bool = true;

    fn limits(_settings: &Settings) -> cactusroad_core::relay::Limits {
        RARE_LIMITS
    }

    fn replace(&mut self, state: &State, objects: &[Object]) {
        for object in objects {
            self.apply_object(state, object);
        }
        let names: Vec<Arc<str>> = state
            .shards()
            .iter()
            .filter_map(|shard| Some(Arc::clone(&shard.rollout.lock().as_ref()?.name)))
            .collect();
        for name in names {
            if !objects.iter().any(|object| object.meta.name == name) {
                Orders::remove(state, &name);
            }
        }
        self.is_listed = true;
    }

    fn apply(&mut self, state: &State, change: &store::Event) {
        if change.deleted {
            Orders::remove(state, &change.object.meta.name);
        } else {
            self.apply_object(state, &change.object);
        }
    }
}

/// Follows the counts that the gateways publish.
pub(crate) struct Counts;

impl Counts {
    fn apply_object(state: &State, object: &Object) {
        if object.meta.name == state.settings.load().vm {
            return;
        }
        let text = object.spec.as_ref().map_or("null", |spec| spec.get());
        let published: Vec<Published> = match serde_json::from_str(text) {
            Ok(published) => published,
            Err(cause) => {
                log::warn!(
                    "the counts that {} published cannot be decoded: {cause}",
                    object.meta.name
                );
                return;
            }
        };
        for counts in published {
            let Some(shard) = state.shard(&counts.service) else {
                continue;
            };
            let mut slot = shard.rollout.lock();
            let is_current = |trial: &&mut Trial| trial.canary.order().target == counts.target;
            if let Some(trial) = slot.as_mut().filter(is_current) {
                for (route, report) in &counts.reports {
                    trial.merge(route, report);
                }
            }
        }
    }
}

impl Follower for Counts {
    const KIND: Kind = Kind::Evidence;
    const WAIT: Duration = RARE_WAIT;
    const IS_INTERRUPTIBLE: bool = true;

    fn limits(_settings: &Settings) -> cactusroad_core::relay::Limits {
        RARE_LIMITS
    }

    fn replace(&mut self, state: &State, objects: &[Object]) {
        for object in objects {
            Counts::apply_object(state, object);
        }
    }

    fn apply(&mut self, state: &State, change: &store::Event) {
        if !change.deleted {
            Counts::apply_object(state, &change.object);
        }
    }
}

/// Judges the versions on trial and reports to the store, until the process exits.
pub(crate) async fn run(state: Arc<State>) {
    // Gateways that start together must not all write at the same moment.
    sleep(JUDGE_INTERVAL.mul_f64(rand::random())).await;
    let mut ticks = interval(JUDGE_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut publish_at = Time::ZERO;
    loop {
        ticks.tick().await;
        for shard in state.shards().iter() {
            decide(&state, shard);
            report(&state, shard).await;
        }
        if publish_at.is_past(clock::now()) && publish(&state).await {
            let shared = Duration::from_secs_f64(state.gateways() as f64 / PUBLICATIONS_PER_S);
            publish_at = clock::now() + shared.max(PUBLISH_INTERVAL);
        }
    }
}

fn decide(state: &State, shard: &Shard) {
    let mut slot = shard.rollout.lock();
    let Some(trial) = slot.as_mut().filter(|trial| trial.canary.end().is_none()) else {
        return;
    };
    let was_trusted = trial.canary.is_trusted();
    let verdict = trial.judge();
    let longest_run = longest_run(state, &shard.service);
    let ended = trial.canary.decide(verdict, longest_run, clock::now());
    let order = trial.canary.order();
    let reason: &str = match verdict {
        Verdict::Bad(reason) => reason.into(),
        Verdict::Proven => "proven",
        Verdict::Inconclusive => "not_proven",
    };
    if let Some(end) = ended {
        log_change(&order.service, &order.target, end.into(), reason);
    } else if !was_trusted && trial.canary.is_trusted() {
        log_change(&order.service, &order.target, "promoted", reason);
    }
}

/// Returns the longest time that a request to the service may take.
fn longest_run(state: &State, service: &str) -> Duration {
    let site = state.site.load();
    let routes = site.iter().flat_map(|site| site.routes());
    let to_service = routes.filter(|route| {
        route
            .targets
            .iter()
            .any(|target| *target.service == *service)
    });
    let longest_ms = to_service.map(|route| route.timeout_ms).max();
    Duration::from_millis(longest_ms.unwrap_or(0))
}

/// Writes the status of the order if it is not the current one.
async fn report(state: &State, shard: &Shard) {
    let due = {
        let slot = shard.rollout.lock();
        slot.as_ref().and_then(|trial| {
            let phase = trial.canary.end().map_or(Phase::Progressing, Phase::from);
            let is_due = trial.phase != Some(phase) && trial.phase.and_then(Phase::end).is_none();
            let target = Arc::clone(&trial.canary.order().target);
            is_due.then(|| {
                (
                    Arc::clone(&trial.name),
                    trial.revision,
                    Status { phase, target },
                )
            })
        })
    };
    let Some((name, revision, status)) = due else {
        return;
    };
    if status.phase == Phase::Progressing {
        sleep(STATUS_JITTER.mul_f64(rand::random())).await;
    }
    let settings = state.settings.load_full();
    let mut client = Client::new(settings.store, CALL_TIMEOUT);
    match client
        .put_status(Kind::Rollouts, &name, revision, &status)
        .await
    {
        Ok(object) => {
            if let Some(trial) = &mut *shard.rollout.lock() {
                trial.phase = Some(status.phase);
                trial.revision = object.meta.revision;
            }
        }
        // Another gateway was first; the follower of the orders learns what it wrote.
        Err(Error::Conflict) => {}
        Err(cause) => log::info!("writing the status of the rollout {name} failed: {cause}"),
    }
}

/// Publishes the counts of this gateway if there are new ones. Returns whether it did.
async fn publish(state: &State) -> bool {
    let mut has_news = false;
    let mut published = Vec::new();
    for shard in state.shards().iter() {
        let mut slot = shard.rollout.lock();
        let Some(trial) = slot.as_mut().filter(|trial| trial.canary.end().is_none()) else {
            continue;
        };
        has_news |= std::mem::take(&mut trial.has_news);
        published.push(Published {
            service: Arc::clone(&trial.canary.order().service),
            target: Arc::clone(&trial.canary.order().target),
            reports: trial.reports(),
        });
    }
    if !has_news {
        return false;
    }
    let settings = state.settings.load_full();
    let mut client = Client::new(settings.store, CALL_TIMEOUT);
    if let Err(cause) = client.put(Kind::Evidence, &settings.vm, &published).await {
        log::info!("publishing the counts of a rollout failed: {cause}");
    }
    true
}

fn log_change(service: &str, target: &str, change: &str, reason: &str) {
    record::write(&Event::Rollout {
        service,
        target,
        change,
        reason,
    });
}

/// Returns the ending of a request whose endpoint was lost at `ended_at`; `began_at` is none if
/// it could not be reached.
pub(crate) fn endpoint_lost(id: &str, began_at: Option<Time>, ended_at: Time) -> Ending {
    Ending::EndpointLost(Loss {
        endpoint: incarnation_of(id),
        began_at,
        ended_at,
    })
}

/// Returns what stands for an endpoint in the evidence. Each incarnation has its own id.
fn incarnation_of(id: &str) -> Incarnation {
    Incarnation(xxhash_rust::xxh3::xxh3_64(id.as_bytes()))
}
