//! Runs rollout plans at an entry.
//!
//! The core makes the decisions. This module keeps one [`Rollout`] for each plan
//! in force, asks it for the side of each request, the baseline or the candidate
//! version, and reports the results of the attempts to it. When a plan ends, it
//! writes the outcome to the store with a conditional write, and applies the
//! outcome that the store then holds.

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
    outlier::Outcome as AttemptOutcome,
    refusal::{Effect, Kind, Refusal},
    rollout::{
        Action, Outcome, Rollout, Side,
        evidence::{Ending, Loss, Sample},
        judge, outcome_key,
    },
    spread::Item,
};
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;

use super::{Shared, gossip::Gossip};
use crate::clock;

/// Interval between two evaluations of the plans, in milliseconds.
const EVALUATION_INTERVAL_MS: u64 = 500;
/// Time that a new plan waits for gossip before it counts as synced, in milliseconds.
const SYNC_TIMEOUT_MS: u64 = 3_000;

/// The rollout plans in force at an entry, sorted by name.
pub(super) struct Rollouts {
    process: Arc<str>,
    incarnation: Incarnation,
    active: RwLock<Vec<ActivePlan>>,
}

#[derive(Clone)]
struct ActivePlan {
    plan: Arc<Plan>,
    rollout: Arc<Mutex<Rollout>>,
    /// When the plan counts as synced even without gossip.
    sync_deadline: Time,
}

/// The version chosen for a request.
pub(super) struct Choice {
    pub(super) version: Arc<str>,
    /// Records the attempts of the request, if a plan applies to its route.
    pub(super) recorder: Option<Recorder>,
}

impl Rollouts {
    pub(super) fn new(process: Arc<str>) -> Rollouts {
        Rollouts {
            process,
            incarnation: Incarnation(clock::now().as_micros()),
            active: RwLock::default(),
        }
    }

    /// Returns the name of this process.
    pub(super) const fn process(&self) -> &Arc<str> {
        &self.process
    }

    /// Chooses the version of a request.
    ///
    /// Requests with equal keys that were assigned to the candidate stay there while its
    /// share rises. `is_available` returns whether a known endpoint holds a version. The
    /// baseline is chosen as long as no endpoint holds the candidate.
    pub(super) fn choose(
        &self,
        route: &Route,
        key: &[u8],
        is_available: impl Fn(&str) -> bool,
    ) -> Choice {
        let Some(ActivePlan { plan, rollout, .. }) = self.find(&route.name) else {
            return Choice {
                version: route.version.clone(),
                recorder: None,
            };
        };
        let side = lock(&rollout).side(key, clock::now());
        let (version, side) = match side {
            Side::Candidate if is_available(&plan.to) => (plan.to.clone(), Side::Candidate),
            _ => (plan.from.clone(), Side::Baseline),
        };
        let recorder = Some(Recorder::new(rollout, side));
        Choice { version, recorder }
    }

    fn find(&self, route: &str) -> Option<ActivePlan> {
        let active = self.active.read().unwrap_or_else(PoisonError::into_inner);
        let found = active.iter().find(|active| &*active.plan.route == route);
        found.cloned()
    }

    fn all(&self) -> Vec<ActivePlan> {
        let active = self.active.read().unwrap_or_else(PoisonError::into_inner);
        active.clone()
    }

    /// Replaces the plans by those of a configuration and returns the added ones.
    fn replace(&self, snapshot: &Snapshot, now: Time) -> Vec<ActivePlan> {
        let mut active = self.active.write().unwrap_or_else(PoisonError::into_inner);
        let mut added = Vec::new();
        let next = snapshot.plans.iter().map(|plan| {
            let known = active.iter().find(|active| *active.plan == *plan);
            known.cloned().unwrap_or_else(|| {
                let new = self.activate(plan, now);
                added.push(new.clone());
                new
            })
        });
        *active = next.collect();
        added
    }

    fn activate(&self, plan: &Plan, now: Time) -> ActivePlan {
        let plan = Arc::new(plan.clone());
        let rollout = Rollout::new(
            plan.clone(),
            self.process.clone(),
            self.incarnation,
            judge::Config::default(),
        );
        ActivePlan {
            plan,
            rollout: Arc::new(Mutex::new(rollout)),
            sync_deadline: now + Duration::from_millis(SYNC_TIMEOUT_MS),
        }
    }
}

/// Evaluates the plans in force periodically until the entry is dropped.
pub(super) async fn run<S: Store>(shared: Weak<Shared>, store: S, mut gossip: Gossip) {
    let mut tick = time::interval(Duration::from_millis(EVALUATION_INTERVAL_MS));
    loop {
        tick.tick().await;
        let Some(shared) = shared.upgrade() else {
            return;
        };
        let now = clock::now();
        for active in shared.rollouts.replace(&shared.snapshot(), now) {
            tokio::spawn(load_outcome(active, store.clone()));
        }
        let mut items = Vec::new();
        for active in shared.rollouts.all() {
            items.extend(evaluate(&active, &store, &mut gossip, now));
        }
        drop(shared);
        gossip.publish(items).await;
    }
}

/// Evaluates a plan with the evidence of all entries and returns the items to gossip.
fn evaluate<S: Store>(active: &ActivePlan, store: &S, gossip: &mut Gossip, now: Time) -> Vec<Item> {
    let mut rollout = lock(&active.rollout);
    gossip.merge(&mut rollout);
    if active.sync_deadline.is_past(now) {
        rollout.mark_synced();
    }
    let was_rolled_back = rollout.progress().withdrawn.is_some();
    let actions = rollout.tick(now);
    if let Some(rollback) = rollout
        .progress()
        .withdrawn
        .as_ref()
        .filter(|_| !was_rolled_back)
    {
        let plan = &active.plan.name;
        log::warn!("rolling back plan {plan}: {}", rollback.reason);
    }
    for action in actions {
        if let Action::Record(outcome) = action {
            tokio::spawn(write_outcome(active.clone(), store.clone(), outcome));
        }
    }
    gossip.updates(&rollout, now)
}

/// Applies the recorded outcome of a plan, which may have ended before this process started.
async fn load_outcome<S: Store>(active: ActivePlan, store: S) {
    if let Some(outcome) = read_outcome(&active, &store).await {
        lock(&active.rollout).apply_outcome(&outcome);
    }
}

/// Writes the outcome of a plan if the store has none, and applies the one that it holds.
async fn write_outcome<S: Store>(active: ActivePlan, store: S, outcome: Outcome) {
    let key = outcome_key(&active.plan.name);
    let Ok(value) = serde_json::to_vec(&outcome) else {
        return;
    };
    match store.put(&key, Expect::Absent, Bytes::from(value)).await {
        Ok(_) => lock(&active.rollout).apply_outcome(&outcome),
        // Without an answer the write may have succeeded or not, so the store is read. If
        // it holds no outcome, the core requests the write again.
        Err(Error::Conflict | Error::Unanswered) => load_outcome(active, store).await,
        Err(cause) => log::debug!("cannot write {key} to the store: {cause}"),
    }
}

async fn read_outcome<S: Store>(active: &ActivePlan, store: &S) -> Option<Outcome> {
    let key = outcome_key(&active.plan.name);
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
pub(super) struct Recorder {
    rollout: Arc<Mutex<Rollout>>,
    side: Side,
    /// The load of the endpoint when the attempt started, in thousandths.
    load: AtomicU16,
    /// The longest time between two tokens of the attempt.
    longest_gap_ms: AtomicU32,
    failure: Mutex<Option<Ending>>,
    /// When the attempt started.
    began_at: Mutex<Time>,
}

impl Recorder {
    fn new(rollout: Arc<Mutex<Rollout>>, side: Side) -> Recorder {
        Recorder {
            rollout,
            side,
            load: AtomicU16::new(0),
            longest_gap_ms: AtomicU32::new(0),
            failure: Mutex::new(None),
            began_at: Mutex::new(Time::ZERO),
        }
    }

    /// Starts an attempt at an endpoint with this load, in thousandths.
    pub(super) fn start_attempt(&self, load: u16) {
        self.load.store(load, Ordering::Relaxed);
        self.longest_gap_ms.store(0, Ordering::Relaxed);
        *lock(&self.failure) = None;
        *lock(&self.began_at) = clock::now();
    }

    /// Records the time between two tokens.
    pub(super) fn record_gap(&self, gap: Duration) {
        let ms = u32::try_from(gap.as_millis()).unwrap_or(u32::MAX);
        self.longest_gap_ms.fetch_max(ms, Ordering::Relaxed);
    }

    /// Records the refusal that ended the attempt at an endpoint.
    pub(super) fn record_refusal(&self, refusal: &Refusal, endpoint_died: bool, endpoint: &str) {
        let began_at = *lock(&self.began_at);
        *lock(&self.failure) = failure(refusal, endpoint_died, endpoint, began_at, clock::now());
    }

    /// Adds the attempt to the evidence, unless its outcome is neutral.
    pub(super) fn record_end(&self, outcome: AttemptOutcome) {
        let failure = *lock(&self.failure);
        let (end, latency_ms) = match (failure, outcome) {
            (Some(end), _) => (end, None),
            (None, AttemptOutcome::Success { latency_ms }) => (Ending::Complete, Some(latency_ms)),
            (None, AttemptOutcome::Failure) => (Ending::Failed, None),
            (None, AttemptOutcome::Neutral) => return,
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
fn failure(
    refusal: &Refusal,
    endpoint_died: bool,
    endpoint: &str,
    began_at: Time,
    now: Time,
) -> Option<Ending> {
    if endpoint_died || refusal.kind == Kind::EndpointDied {
        return Some(Ending::EndpointLost(Loss {
            endpoint: Incarnation(xxh3_64(endpoint.as_bytes())),
            began_at: Some(began_at),
            ended_at: now,
        }));
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
