//! Runs rollout plans at an entry.
//!
//! The core makes the decisions. This module keeps one [`Rollout`] for each plan
//! in force, asks it for the side of each request and reports the results of the
//! attempts to it. When a plan ends, it writes the outcome to the store with a
//! conditional write, and applies the outcome that the store then holds.

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

/// Interval between two evaluations of the plans, in milliseconds.
const TICK_MS: u64 = 500;
/// Time that a new plan waits for gossip before it counts as synced, in milliseconds.
const NEWS_MS: u64 = 3_000;
/// Window within which failed attempts at an endpoint count as one crash, in milliseconds.
const DEATH_MS: u64 = 5_000;

/// The rollout plans in force at an entry, sorted by name.
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

/// The version chosen for a request.
pub(super) struct Choice {
    pub(super) version: Arc<str>,
    /// Records the attempts of the request, if a plan applies to its route.
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

    /// Chooses the version of a request.
    ///
    /// Requests with equal keys that were assigned to the candidate stay there while its
    /// share rises. `reaches` returns whether a known endpoint holds a version. The
    /// baseline is chosen as long as no endpoint holds the candidate.
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

    /// Replaces the plans by those of a configuration and returns the added ones.
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

/// Evaluates the plans in force periodically until the entry is dropped.
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

/// Evaluates a plan with the evidence of all entries and returns the items to gossip.
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
        log::warn!("rolling back plan {plan}: {}", withdrawal.reason);
    }
    for action in actions {
        if let Action::Record(outcome) = action {
            tokio::spawn(record(running.clone(), store.clone(), outcome));
        }
    }
    news.tell(&rollout, now)
}

/// Applies the recorded outcome of a plan, which may have ended before this process started.
async fn learn<S: Store>(running: Running, store: S) {
    if let Some(outcome) = recorded(&running, &store).await {
        lock(&running.rollout).decide(&outcome);
    }
}

/// Writes the outcome of a plan if the store has none, and applies the one that it holds.
async fn record<S: Store>(running: Running, store: S, outcome: Outcome) {
    let key = outcome_key(&running.plan.name);
    let Ok(value) = serde_json::to_vec(&outcome) else {
        return;
    };
    match store.put(&key, Expect::Absent, Bytes::from(value)).await {
        Ok(_) => lock(&running.rollout).decide(&outcome),
        // Without an answer the write may have succeeded or not, so the store is read. If
        // it holds no outcome, the core requests the write again.
        Err(Error::Conflict | Error::Unanswered) => learn(running, store).await,
        Err(cause) => log::debug!("cannot write {key} to the store: {cause}"),
    }
}

async fn recorded<S: Store>(running: &Running, store: &S) -> Option<Outcome> {
    let key = outcome_key(&running.plan.name);
    let object = store.get(&key).await.ok()??;
    match serde_json::from_slice(&object.value) {
        Ok(outcome) => Some(outcome),
        Err(cause) => {
            log::warn!("cannot parse the value of {key} in the store: {cause}");
            None
        }
    }
}

/// Records the attempts of one request as evidence for a plan.
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

    /// Starts an attempt at an endpoint with this load, in thousandths.
    pub(super) fn begin(&self, load: u16) {
        self.load.store(load, Ordering::Relaxed);
        self.longest_gap_ms.store(0, Ordering::Relaxed);
        *lock(&self.failure) = None;
    }

    /// Records the time between two tokens.
    pub(super) fn gap(&self, span: Duration) {
        let ms = u32::try_from(span.as_millis()).unwrap_or(u32::MAX);
        self.longest_gap_ms.fetch_max(ms, Ordering::Relaxed);
    }

    /// Records the refusal that ended the attempt at an endpoint.
    pub(super) fn refused(&self, refusal: &Refusal, endpoint_died: bool, endpoint: &str) {
        *lock(&self.failure) = failure(refusal, endpoint_died, endpoint, clock::now());
    }

    /// Adds the attempt to the evidence, unless its outcome is neutral.
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

/// Returns how a refusal counts against the version, or `None` if it does not.
///
/// Unlike outlier ejection, this counts exceeded deadlines: a version that hangs
/// causes them, but they are no evidence against a single endpoint.
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
