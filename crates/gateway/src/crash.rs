//! Shares what gateways see of crashing endpoints, and refuses requests that would crash more.
//!
//! [`cactusroad_core::crash`] decides which requests are refused. Each gateway publishes the
//! crashes that it saw in one object of the store and follows those of the others, so that
//! it can refuse what it has never sent itself.
//!
//! A connection that breaks is no crash by itself: endpoints reset connections beyond their
//! limit, and so does the network. An endpoint has crashed if no process listens at its address
//! any more.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cactusroad_core::{
    Time,
    crash::{Block, Evidence, News, Pass, Suspect, Tracker},
    pool::Endpoint,
    relay::Limits,
};
use cactusroad_platform::{
    dial::{self, Connection},
    settings::Settings,
    store::{self, Client, Kind, Object},
};
use tokio::{
    sync::watch,
    time::{sleep, sleep_until, timeout},
};

use crate::{
    clock,
    job::Job,
    record::{self, Event},
    relay::{RARE_LIMITS, RARE_WAIT},
    state::{Shard, State},
    watch::Follower,
};

/// The number of events of one engine after which the parts of a prompt are not the cause of
/// its later crash. An engine that crashes as it begins to answer may have sent one.
const ANSWERED_EVENTS: u64 = 2;

/// The same for the request as a whole, which may crash an engine while it is being answered:
/// about a second of decoding.
const SURVIVED_EVENTS: u64 = 32;

/// How far one engine has got with a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Stage {
    /// Its crash may be due to the prompt or to the request.
    #[default]
    Unanswered,
    /// Its crash may be due to the request.
    Answered,
    /// Its crash is not due to the run.
    Survived,
}

impl Stage {
    /// Returns the stage of a run of which the engine has made this many events.
    fn after(events: u64) -> Stage {
        match events {
            0..ANSWERED_EVENTS => Stage::Unanswered,
            ANSWERED_EVENTS..SURVIVED_EVENTS => Stage::Answered,
            _ => Stage::Survived,
        }
    }
}

/// What one run of a stream shows of its suspects.
#[derive(Debug, Default)]
pub(crate) struct Observation {
    /// The number of events of the engine that has the run.
    events: u64,
    /// The furthest stage that was recorded.
    recorded: Stage,
}

impl Observation {
    /// Begins anew, at another engine.
    pub(crate) fn begin(&mut self) {
        self.events = 0;
    }

    /// Returns whether the engine has made an event of the run.
    pub(crate) fn has_begun(&self) -> bool {
        self.events > 0
    }

    /// Counts an event of the engine. Records what it shows to be sound.
    pub(crate) fn record_event(&mut self, job: &Job) {
        self.events += 1;
        self.record_stage(Stage::after(self.events), job);
    }

    /// Records that the run is complete.
    pub(crate) fn record_end(&mut self, job: &Job) {
        self.record_stage(Stage::Survived, job);
    }

    fn record_stage(&mut self, stage: Stage, job: &Job) {
        if stage <= self.recorded {
            return;
        }
        let (crashes, suspects) = (&job.state.crashes, &job.suspects);
        let service = &job.shard.service;
        let (requests, parts) = partition(suspects);
        match (self.recorded, stage) {
            (Stage::Unanswered, Stage::Answered) => crashes.record_answer(service, parts),
            (Stage::Unanswered, _) => crashes.record_answer(service, suspects),
            _ => crashes.record_sound(service, requests),
        }
        self.recorded = stage;
    }

    /// Returns the suspects that a crash of the engine accuses now.
    pub(crate) fn accused<'a>(&self, suspects: &'a [Suspect]) -> &'a [Suspect] {
        match Stage::after(self.events) {
            Stage::Unanswered => suspects,
            Stage::Answered => partition(suspects).0,
            Stage::Survived => &[],
        }
    }
}

/// Splits the suspects of a request into the request, which is the last one, and the parts.
fn partition(suspects: &[Suspect]) -> (&[Suspect], &[Suspect]) {
    let place = suspects.partition_point(|suspect| !suspect.is_request());
    let (parts, requests) = suspects.split_at(place);
    (requests, parts)
}

/// The time over which news is collected before it is published, so that the runs that one
/// crash ends make one call.
const PUBLISH_DELAY: Duration = Duration::from_millis(30);

/// The same for news that only gateways need that start later.
const LATER_DELAY: Duration = Duration::from_millis(1_500);

/// The delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The timeout of a store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// How long it may take to open a connection to an endpoint whose connection has broken:
/// several round trips between data centres.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// How long a new connection stays open to an endpoint that has not crashed. A process that
/// ends closes its port and its connections within milliseconds.
const MIN_OPEN_TIME: Duration = Duration::from_millis(100);

/// The delay before a further connection is opened after one was closed at once.
const CHECK_INTERVAL: Duration = Duration::from_millis(25);

/// The maximum number of connections by which one broken one is checked.
const MAX_CHECKS: u32 = 4;

/// Finds out whether an endpoint has crashed to which a connection broke under a run that had
/// not been answered, and records the crash. Returns as soon as a connection is refused or
/// opened; one that is opened is watched in the background.
pub(crate) async fn check(
    state: &Arc<State>,
    shard: &Arc<Shard>,
    endpoint: &Arc<Endpoint>,
    suspects: &[Suspect],
) {
    if let Some(connection) = try_connect(state, shard, endpoint, suspects).await {
        let (state, shard) = (Arc::clone(state), Arc::clone(shard));
        let (endpoint, suspects) = (Arc::clone(endpoint), suspects.to_vec());
        tokio::spawn(async move {
            watch_process(&state, &shard, &endpoint, &suspects, connection).await;
        });
    }
}

/// Opens a connection to an endpoint. Records a crash if it is refused.
async fn try_connect(
    state: &State,
    shard: &Shard,
    endpoint: &Endpoint,
    suspects: &[Suspect],
) -> Option<Connection> {
    match dial::connect(endpoint.address, CHECK_TIMEOUT).await {
        Ok(connection) => Some(connection),
        Err(cause) => {
            if cause.is_refused() {
                state.crashes.record_crash(shard, endpoint, suspects);
            }
            None
        }
    }
}

/// Opens further connections to an endpoint as long as they are closed at once.
async fn watch_process(
    state: &State,
    shard: &Shard,
    endpoint: &Endpoint,
    suspects: &[Suspect],
    mut connection: Connection,
) {
    for _ in 1..MAX_CHECKS {
        if timeout(MIN_OPEN_TIME, connection.closed()).await.is_err() {
            return;
        }
        sleep(CHECK_INTERVAL).await;
        match try_connect(state, shard, endpoint, suspects).await {
            Some(next) => connection = next,
            None => return,
        }
    }
}

/// The crashes that this gateway knows.
#[derive(Debug)]
pub(crate) struct Crashes {
    /// Sorted by service.
    trackers: Mutex<Vec<(Arc<str>, Tracker)>>,
    /// A random number from 0 to 1, which keeps gateways apart; see [`Tracker::new`].
    share: f64,
    /// When the news is published, if there is any.
    publish_at: watch::Sender<Option<Time>>,
}

impl Default for Crashes {
    fn default() -> Crashes {
        Crashes {
            trackers: Mutex::default(),
            share: rand::random(),
            publish_at: watch::Sender::default(),
        }
    }
}

impl Crashes {
    fn trackers(&self) -> MutexGuard<'_, Vec<(Arc<str>, Tracker)>> {
        self.trackers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Calls `call` with the tracker of a service.
    fn with<T>(&self, service: &Arc<str>, call: impl FnOnce(&mut Tracker) -> T) -> T {
        let mut trackers = self.trackers();
        let place = trackers.binary_search_by(|(known, _)| known.cmp(service));
        let index = place.unwrap_or_else(|index| {
            trackers.insert(index, (Arc::clone(service), Tracker::new(self.share)));
            index
        });
        call(&mut trackers[index].1)
    }

    /// Records that the process of an endpoint ended with a run that had not been answered.
    /// Returns whether it counts as a crash: the end of an endpoint that was leaving does not.
    pub(crate) fn record_crash(
        &self,
        shard: &Shard,
        endpoint: &Endpoint,
        suspects: &[Suspect],
    ) -> bool {
        let (id, born_ms) = (&endpoint.id, endpoint.born_ms);
        if shard.pool().is_leaving(id) {
            return false;
        }
        let news = self.with(&shard.service, |tracker| {
            tracker.record_crash(id, born_ms, suspects, clock::now())
        });
        if news > News::Never {
            record::write(&Event::Crashed {
                endpoint: id,
                service: &shard.service,
                suspects,
            });
        }
        self.schedule(news);
        true
    }

    /// Records that a run of a service was answered.
    pub(crate) fn record_answer(&self, service: &Arc<str>, suspects: &[Suspect]) {
        for (other, tracker) in &mut *self.trackers() {
            if other != service {
                tracker.record_other_answer();
            }
        }
        self.schedule(self.with(service, |tracker| {
            tracker.record_answer(suspects, clock::now())
        }));
    }

    /// Records that further suspects of an answered run are sound.
    fn record_sound(&self, service: &Arc<str>, suspects: &[Suspect]) {
        self.schedule(self.with(service, |tracker| {
            tracker.record_sound(suspects, clock::now())
        }));
    }

    /// Schedules the publication of news, unless it is due earlier already.
    fn schedule(&self, news: News) {
        let delay = match news {
            News::Never => return,
            News::Later => LATER_DELAY,
            News::Now => PUBLISH_DELAY,
        };
        let due = clock::now() + delay;
        self.publish_at
            .send_modify(|at| *at = Some(at.map_or(due, |at| at.min(due))));
    }

    /// Returns why a request with these suspects is refused, if it is.
    pub(crate) fn blocked(&self, service: &Arc<str>, suspects: &[Suspect]) -> Option<Block> {
        let now = clock::now();
        let block = self.with(service, |tracker| tracker.blocked(suspects, now))?;
        record_refused(&block, now);
        Some(block)
    }

    /// Decides whether a request with these suspects is sent; see [`Tracker::screen`].
    pub(crate) fn screen(
        &self,
        service: &Arc<str>,
        suspects: &[Suspect],
        gateways: usize,
    ) -> Result<Option<Pass>, Block> {
        let now = clock::now();
        let screened = self.with(service, |tracker| tracker.screen(suspects, gateways, now));
        if let Err(block) = &screened {
            record_refused(block, now);
        }
        screened
    }

    /// Returns what this gateway publishes.
    fn evidence(&self) -> Evidence {
        let now = clock::now();
        let mut all = Evidence {
            published_ms: clock::wall().as_millis(),
            ..Evidence::default()
        };
        for (service, tracker) in &*self.trackers() {
            let mut evidence = tracker.evidence(now);
            for report in &mut evidence.crashes {
                report.service = Arc::clone(service);
            }
            for answered in &mut evidence.cleared {
                answered.service = Arc::clone(service);
            }
            all.append(evidence);
        }
        all
    }

    /// Adds what a gateway has published. What names no service is of an older version, and
    /// may be of any.
    fn merge(&self, evidence: &Evidence, is_own: bool) {
        let now = clock::now();
        let named = evidence.crashes.iter().map(|report| &report.service);
        let cleared = evidence.cleared.iter().map(|answered| &answered.service);
        let named = named.chain(cleared).filter(|service| !service.is_empty());
        for service in named {
            self.with(service, |_| ());
        }
        for (service, tracker) in &mut *self.trackers() {
            let is_of = |named: &Arc<str>| named.is_empty() || named == service;
            let mut own = evidence.clone();
            own.crashes.retain(|report| is_of(&report.service));
            own.cleared.retain(|answered| is_of(&answered.service));
            tracker.merge(&own, is_own, now);
        }
    }
}

/// Logs the first refusal for a suspect.
fn record_refused(block: &Block, now: Time) {
    if block.since == now {
        record::write(&Event::SuspectRefused {
            suspect: &block.suspect,
            crashes: block.crashes,
            refused_ms: u64::try_from(block.until.since(now).as_millis()).unwrap_or(u64::MAX),
        });
    }
}

/// Publishes what this gateway saw, until the process exits.
pub(crate) async fn publish(state: Arc<State>) {
    let mut publish_at = state.crashes.publish_at.subscribe();
    // The sender lives as long as the state.
    while let Ok(due) = publish_at.wait_for(Option::is_some).await.map(|due| *due) {
        tokio::select! {
            () = sleep_until(clock::instant(due.unwrap_or(Time::ZERO))) => {}
            _ = publish_at.changed() => continue,
        }
        state.crashes.publish_at.send_replace(None);
        while let Err(cause) = put(&state).await {
            log::info!("publishing the crashes of endpoints failed: {cause}");
            sleep(RETRY_DELAY.mul_f64(rand::random_range(0.5..1.0))).await;
        }
    }
}

async fn put(state: &State) -> Result<(), store::Error> {
    let settings = state.settings.load_full();
    let mut client = Client::new(settings.store, CALL_TIMEOUT);
    let evidence = state.crashes.evidence();
    client.put(Kind::Crashes, &settings.vm, &evidence).await
}

/// Follows what the gateways have published.
pub(crate) struct Reports;

impl Reports {
    fn apply_object(state: &State, object: &Object) {
        let text = object.spec.as_ref().map_or("null", |spec| spec.get());
        let evidence: Evidence = match serde_json::from_str(text) {
            Ok(evidence) => evidence,
            Err(cause) => {
                log::warn!(
                    "the crashes that {} published cannot be decoded: {cause}",
                    object.meta.name
                );
                return;
            }
        };
        let is_own = object.meta.name == state.settings.load().vm;
        let evidence = evidence.aged(clock::wall().as_millis());
        state.crashes.merge(&evidence, is_own);
    }
}

impl Follower for Reports {
    const KIND: Kind = Kind::Crashes;
    const WAIT: Duration = RARE_WAIT;

    const IS_INTERRUPTIBLE: bool = true;

    fn limits(_settings: &Settings) -> Limits {
        RARE_LIMITS
    }

    fn replace(&mut self, state: &State, objects: &[Object]) {
        for object in objects {
            Reports::apply_object(state, object);
        }
    }

    fn apply(&mut self, state: &State, change: &store::Event) {
        if !change.deleted {
            Reports::apply_object(state, &change.object);
        }
    }
}
