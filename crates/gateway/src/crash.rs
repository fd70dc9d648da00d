//! Shares what gateways see of crashing endpoints, and refuses requests that would crash more.
//!
//! [`cactusroad_core::crash`] decides which requests are refused. Each gateway publishes the
//! crashes that it saw in one object of the store and follows those of the others, so that
//! it can refuse what it has never sent itself.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cactusroad_core::{
    Time,
    crash::{Block, Evidence, News, Suspect, Tracker},
    pool::Endpoint,
    relay::Limits,
};
use cactusroad_platform::{
    settings::Settings,
    store::{self, Client, Kind, Object},
};
use tokio::{
    sync::watch,
    time::{sleep, sleep_until},
};

use crate::{
    clock,
    record::{self, Event},
    relay::{RARE_LIMITS, RARE_WAIT},
    state::State,
    watch::Follower,
};

/// The number of events after which a run counts as answered. An engine that crashes as it
/// begins to answer may have sent one.
pub(crate) const ANSWERED_EVENTS: u64 = 2;

/// The time over which news is collected before it is published, so that the runs that one
/// crash ends make one call.
const PUBLISH_DELAY: Duration = Duration::from_millis(30);

/// The same for news that only gateways need that start later.
const LATER_DELAY: Duration = Duration::from_millis(1_500);

/// The delay before a failed call is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(400);

/// The timeout of a store call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The crashes that this gateway knows.
#[derive(Debug, Default)]
pub(crate) struct Crashes {
    tracker: Mutex<Tracker>,
    /// When the news is published, if there is any.
    publish_at: watch::Sender<Option<Time>>,
}

impl Crashes {
    fn tracker(&self) -> MutexGuard<'_, Tracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that an endpoint crashed with a run that had not been answered.
    pub(crate) fn record_crash(&self, endpoint: &Endpoint, suspects: &[Suspect]) {
        let (id, born_ms) = (&endpoint.id, endpoint.born_ms);
        let news = self
            .tracker()
            .record_crash(id, born_ms, suspects, clock::now());
        self.schedule(news);
    }

    /// Records that a run was answered.
    pub(crate) fn record_answer(&self, suspects: &[Suspect]) {
        let news = self.tracker().record_answer(suspects, clock::now());
        self.schedule(news);
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
    pub(crate) fn blocked(&self, suspects: &[Suspect]) -> Option<Block> {
        let now = clock::now();
        let block = self.tracker().blocked(suspects, now)?;
        if block.since == now {
            record::write(&Event::SuspectRefused {
                suspect: &block.suspect,
                crashes: block.crashes,
                refused_ms: u64::try_from(block.until.since(now).as_millis()).unwrap_or(u64::MAX),
            });
        }
        Some(block)
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
    let evidence = state.crashes.tracker().evidence(clock::now());
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
        let now = clock::now();
        state.crashes.tracker().merge(&evidence, is_own, now);
    }
}

impl Follower for Reports {
    const KIND: Kind = Kind::Crashes;
    const WAIT: Duration = RARE_WAIT;

    const IS_INTERRUPTIBLE: bool = true;

    fn limits(_settings: &Settings) -> Limits {
        RARE_LIMITS
    }

    fn replace(&mut self, state: &State, objects: &[Object], _at: u64) {
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
