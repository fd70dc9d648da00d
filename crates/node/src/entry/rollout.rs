//! The rollout plans that an entry runs.
//!
//! The core decides; this module keeps one [`Rollout`] for each plan in force,
//! asks it for the side of each request, hands it the ends of attempts, and
//! carries out what it decides: the outcome goes to the store by a conditional
//! write, and whatever stands there then comes back.

use std::{
    sync::{
        Arc, Mutex, MutexGuard, PoisonError, RwLock, Weak,
        atomic::{AtomicU16, AtomicU32, Ordering},
    },
    time::Duration,
};

use bytes::Bytes;
use cactusroad_adapter::store::{Error, Expect, Store};
use cactusroad_core::{
    Time,
    config::{Plan, Route, Snapshot},
    id::Incarnation,
    outlier::Outcome as Attempt,
    refusal::{Effect, Kind, Refusal},
    rollout::{
        Action, Outcome, Rollout, Side,
        evidence::{Ending, Sample},
        judge, outcome_key,
    },
    spread::Item,
};
use tokio::time;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Shared, news::News};
use crate::clock;

/// The time between two judgements, in milliseconds.
const TICK_MS: u64 = 500;
/// How long an entry waits for news of a plan before it takes itself for informed, in milliseconds.
const NEWS_MS: u64 = 3_000;
/// Ends of attempts within this time belong to one death of their endpoint, in milliseconds.
const DEATH_MS: u64 = 5_000;

/// The plans that an entry runs, sorted by name.
pub(super) struct Rollouts {
    process: Arc<str>,
    incarnation: Incarnation,
    running: RwLock<Vec<Running>>,
}

#[derive(Clone)]
struct Running {
    plan: Arc<Plan>,
    rollout: Arc<Mutex<Rollout>>,
    inform_at: Time,
}

/// The version of one request.
pub(super) struct Choice {
    pub(super) version: Arc<str>,
    /// Counts the attempts of the request, where a plan moves its route.
    pub(super) trial: Option<Trial>,
}

impl Rollouts {
    pub(super) fn new(process: Arc<str>) -> Rollouts {
        Rollouts {
            process,
            incarnation: Incarnation(clock::now().as_micros()),
            running: RwLock::default(),
        }
    }

    /// Returns the name of this process.
    pub(super) const fn process(&self) -> &Arc<str> {
        &self.process
    }

    /// Chooses the version of a request; equal keys stay on one side while the share rises.
    ///
    /// `reaches` tells whether an endpoint holds a version. Where none holds the new
    /// one yet, the old one serves.
    pub(super) fn choose(
        &self,
        route: &Route,
        key: &[u8],
        reaches: impl Fn(&str) -> bool,
    ) -> Choice {
        let Some(Running { plan, rollout, .. }) = self.find(&route.name) else {
            return Choice {
                version: route.version.clone(),
                trial: None,
            };
        };
        let side = lock(&rollout).side(key, clock::now());
        let (version, side) = match side {
            Side::New if reaches(&plan.to) => (plan.to.clone(), Side::New),
            _ => (plan.from.clone(), Side::Old),
        };
        let trial = Some(Trial::new(rollout, side));
        Choice { version, trial }
    }

    fn find(&self, route: &str) -> Option<Running> {
        let running = self.running.read().unwrap_or_else(PoisonError::into_inner);
        let found = running.iter().find(|running| &*running.plan.route == route);
        found.cloned()
    }

    fn all(&self) -> Vec<Running> {
        let running = self.running.read().unwrap_or_else(PoisonError::into_inner);
        running.clone()
    }

    /// Takes over the plans in force and returns the new ones.
    fn replace(&self, snapshot: &Snapshot, now: Time) -> Vec<Running> {
        let mut running = self.running.write().unwrap_or_else(PoisonError::into_inner);
        let mut added = Vec::new();
        let next = snapshot.plans.iter().map(|plan| {
            let known = running.iter().find(|running| *running.plan == *plan);
            known.cloned().unwrap_or_else(|| {
                let new = self.begin(plan, now);
                added.push(new.clone());
                new
            })
        });
        *running = next.collect();
        added
    }

    fn begin(&self, plan: &Plan, now: Time) -> Running {
        let plan = Arc::new(plan.clone());
        let rollout = Rollout::new(
            plan.clone(),
            self.process.clone(),
            self.incarnation,
            judge::Config::default(),
        );
        Running {
            plan,
            rollout: Arc::new(Mutex::new(rollout)),
            inform_at: now + Duration::from_millis(NEWS_MS),
        }
    }
}

/// Runs the plans in force until the entry is gone.
pub(super) async fn follow<S: Store>(shared: Weak<Shared>, store: S, mut news: News) {
    let mut tick = time::interval(Duration::from_millis(TICK_MS));
    loop {
        tick.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = clock::now();
        for running in shared.rollouts.replace(&shared.snapshot(), now) {
            tokio::spawn(learn(running, store.clone()));
        }
        let mut items = Vec::new();
        for running in shared.rollouts.all() {
            items.extend(judge(&running, &store, &mut news, now));
        }
        drop(shared);
        news.share(items).await;
    }
}

/// Hears the news of a plan, judges it, and returns what to tell the others.
fn judge<S: Store>(running: &Running, store: &S, news: &mut News, now: Time) -> Vec<Item> {
    let mut rollout = lock(&running.rollout);
    news.hear(&mut rollout);
    if running.inform_at.is_past(now) {
        rollout.inform();
    }
    let before = rollout.progress().withdrawn.is_some();
    let actions = rollout.tick(now);
    if let Some(withdrawal) = rollout.progress().withdrawn.as_ref().filter(|_| !before) {
        let plan = &running.plan.name;
        log::warn!("plan {plan} is taken back because of {}", withdrawal.reason);
    }
    for action in actions {
        if let Action::Record(outcome) = action {
            tokio::spawn(record(running.clone(), store.clone(), outcome));
        }
    }
    news.tell(&rollout, now)
}

/// Reads the outcome of a plan that may have ended before this process started.
async fn learn<S: Store>(running: Running, store: S) {
    if let Some(outcome) = recorded(&running, &store).await {
        lock(&running.rollout).decide(&outcome);
    }
}

/// Writes an outcome where none stands, and takes over the one that stands.
async fn record<S: Store>(running: Running, store: S, outcome: Outcome) {
    let key = outcome_key(&running.plan.name);
    let Ok(value) = serde_json::to_vec(&outcome) else {
        return;
    };
    match store.put(&key, Expect::Absent, Bytes::from(value)).await {
        Ok(_) => lock(&running.rollout).decide(&outcome),
        // A lost answer is settled by what stands; where nothing does, the core repeats the write.
        Err(Error::Conflict | Error::Unanswered) => learn(running, store).await,
        Err(cause) => log::debug!("the outcome of a plan was not recorded: {cause}"),
    }
}

async fn recorded<S: Store>(running: &Running, store: &S) -> Option<Outcome> {
    let key = outcome_key(&running.plan.name);
    let object = store.get(&key).await.ok()??;
    match serde_json::from_slice(&object.value) {
        Ok(outcome) => Some(outcome),
        Err(cause) => {
            log::warn!("{key} in the store cannot be read: {cause}");
            None
        }
    }
}

/// One request under a plan.
pub(super) struct Trial {
    rollout: Arc<Mutex<Rollout>>,
    side: Side,
    load: AtomicU16,
    longest_gap_ms: AtomicU32,
    failure: Mutex<Option<Ending>>,
}

impl Trial {
    fn new(rollout: Arc<Mutex<Rollout>>, side: Side) -> Trial {
        Trial {
            rollout,
            side,
            load: AtomicU16::new(0),
            longest_gap_ms: AtomicU32::new(0),
            failure: Mutex::new(None),
        }
    }

    /// Begins an attempt at an endpoint of this load, in thousandths.
    pub(super) fn begin(&self, load: u16) {
        self.load.store(load, Ordering::Relaxed);
        self.longest_gap_ms.store(0, Ordering::Relaxed);
        *lock(&self.failure) = None;
    }

    /// Notes the time between two tokens.
    pub(super) fn gap(&self, span: Duration) {
        let ms = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        self.longest_gap_ms.fetch_max(ms, Ordering::Relaxed);
    }

    /// Notes how the attempt failed at an endpoint.
    pub(super) fn refused(&self, refusal: &Refusal, endpoint_died: bool, endpoint: &str) {
        *lock(&self.failure) = failure(refusal, endpoint_died, endpoint, clock::now());
    }

    /// Counts the attempt.
    pub(super) fn ended(&self, outcome: Attempt) {
        let failure = *lock(&self.failure);
        let (end, latency_ms) = match (failure, outcome) {
            (Some(end), _) => (end, None),
            (None, Attempt::Success { latency_ms }) => (Ending::Complete, Some(latency_ms)),
            (None, Attempt::Failure) => (Ending::Failed, None),
            (None, Attempt::Neutral) => return,
        };
        let gap_ms = self.longest_gap_ms.load(Ordering::Relaxed);
        let sample = Sample {
            side: self.side,
            load: self.load.load(Ordering::Relaxed),
            end,
            first_token_ms: latency_ms.map(|ms| u32::try_from(ms).unwrap_or(u32::MAX)),
            token_gap_ms: (gap_ms > 0).then_some(gap_ms),
        };
        lock(&self.rollout).record(&sample, clock::now());
    }
}

/// Tells whether a refusal says something of the version.
///
/// A version that hangs shows by deadlines that pass, which say nothing of a
/// single endpoint.
fn failure(refusal: &Refusal, endpoint_died: bool, endpoint: &str, now: Time) -> Option<Ending> {
    if endpoint_died || refusal.kind == Kind::EndpointDied {
        let span = now.as_millis() / DEATH_MS;
        let death = xxh3_64_with_seed(endpoint.as_bytes(), span);
        return Some(Ending::EndpointDied(Incarnation(death)));
    }
    let has_run = refusal.effect != Effect::NotRun;
    let is_fault = matches!(
        refusal.kind,
        Kind::Internal | Kind::Unavailable | Kind::DeadlineExceeded
    );
    (has_run && is_fault).then_some(Ending::Failed)
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
