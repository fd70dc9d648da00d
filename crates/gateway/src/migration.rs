//! Live migration of a run whose engine has announced that it is leaving.
//!
//! The engine serves until it is gone, so the run is copied to another engine
//! without being stopped. Once its engine is gone, the run resumes from the last
//! copy. The target recomputes the tokens generated since that copy, which takes
//! milliseconds. Stopping the run to copy the remainder would instead pause the
//! stream until all copies that wait for the same link are done.

use std::{
    net::SocketAddr,
    slice,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cactusroad_core::pool::{Criteria, Endpoint, Purpose, Work};
use cactusroad_platform::replica::{self, Copied, CopyOrder, Source};
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    clock,
    job::Job,
    observe,
    record::{self, Event},
    state::{CopyGuard, Shard, State},
};

/// The time limit of one copy: several times what a copy of a full KV cache to
/// another data centre takes.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// The time between two copies of one run. It is short enough that the target does
/// not expire the copy and has few tokens to recompute, and long enough to leave
/// bandwidth to the copies of other runs.
const COPY_INTERVAL: Duration = Duration::from_millis(400);

/// The delay before a refused copy is tried again.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The migration of one run. Dropping it stops the copying and frees the last copy.
#[derive(Debug)]
pub(crate) struct Migration {
    source: SocketAddr,
    progress: Arc<Mutex<Progress>>,
    task: JoinHandle<()>,
}

/// The state of a migration.
#[derive(Debug, Default)]
struct Progress {
    /// The reservation at a newly chosen target, until the first copy there is complete.
    pending: Option<CopyGuard>,
    /// The reservation at the target of the last complete copy, and the copy's handle.
    complete: Option<(CopyGuard, Arc<str>)>,
}

/// A complete copy from which a run can resume.
#[derive(Debug)]
pub(crate) struct ResumePoint {
    /// The engine that holds the copy.
    pub(crate) target: Arc<Endpoint>,
    /// The copy, by the engine from which the run was copied.
    pub(crate) source: Source,
}

impl Migration {
    /// Starts to copy a run from its engine to another one.
    pub(crate) fn start(job: &Job, engine: &Arc<Endpoint>) -> Migration {
        let progress = Arc::new(Mutex::new(Progress::default()));
        let copier = Copier {
            state: Arc::clone(&job.state),
            shard: Arc::clone(&job.shard),
            request_id: Arc::clone(&job.request_id),
            data_centre: Arc::clone(&job.data_centre),
            work: job.work,
            target_pause: job.target_pause(),
            engine: Arc::clone(engine),
            progress: Arc::clone(&progress),
        };
        Migration {
            source: engine.address,
            progress,
            task: tokio::spawn(copier.run()),
        }
    }

    /// Returns whether the run is still being copied.
    pub(crate) fn is_running(&self) -> bool {
        !self.task.is_finished()
    }

    /// Stops the copying, and returns the engine that holds the last complete copy.
    pub(crate) fn halt(&self) -> Option<Arc<Endpoint>> {
        self.task.abort();
        let progress = lock(&self.progress);
        let (copy, _) = progress.complete.as_ref()?;
        Some(Arc::clone(&copy.endpoint))
    }

    /// Returns the last complete copy, unless the engine that holds it is out of use.
    pub(crate) fn finish(self, job: &Job) -> Option<ResumePoint> {
        let (copy, handle) = lock(&self.progress).complete.take()?;
        let is_in_use = job
            .shard
            .pool()
            .accepts_runs(&copy.endpoint.id, clock::now());
        is_in_use.then(|| ResumePoint {
            target: Arc::clone(&copy.endpoint),
            source: Source {
                address: self.source,
                name: handle,
            },
        })
    }
}

impl Drop for Migration {
    fn drop(&mut self) {
        self.task.abort();
        let Some((_, handle)) = lock(&self.progress).complete.take() else {
            return;
        };
        free_copy(self.source, handle);
    }
}

/// Frees the copy of a run in the background. A copy that cannot be freed expires on its own.
pub(crate) fn free_copy(source: SocketAddr, handle: Arc<str>) {
    tokio::spawn(async move {
        if let Err(cause) = replica::free_copy(source, &handle, COPY_TIMEOUT).await {
            log::debug!("cannot free copy {handle} of the run from {source}: {cause}");
        }
    });
}

fn lock(progress: &Mutex<Progress>) -> MutexGuard<'_, Progress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The task that copies a run.
struct Copier {
    state: Arc<State>,
    shard: Arc<Shard>,
    request_id: Arc<str>,
    data_centre: Arc<str>,
    work: Work,
    target_pause: Duration,
    engine: Arc<Endpoint>,
    progress: Arc<Mutex<Progress>>,
}

impl Copier {
    /// Chooses a target among engines that are probed for their load. The first
    /// choice prefers engines in the data centre of the run.
    async fn choose_target(&self, is_first: bool) -> Option<Arc<Endpoint>> {
        let data_centre = is_first.then_some(&*self.engine.data_centre);
        let side = self.shard.pool().side_of(&self.engine.version);
        let tried = slice::from_ref(&self.engine.id);
        let candidates =
            observe::candidates(&self.shard, self.work, tried, data_centre, side).await;
        let criteria = Criteria {
            work: self.work,
            data_centre: &self.data_centre,
            tried: &[],
            candidates: &candidates,
            side,
            target_pause: self.target_pause,
        };
        let seed = rand::random();
        let target = self.shard.pool().backup(
            &self.engine.id,
            Purpose::Migration,
            &criteria,
            seed,
            clock::now(),
        )?;
        record::write(&Event::Moving {
            request: &self.request_id,
            from: &self.engine.id,
            to: &target.id,
        });
        lock(&self.progress).pending = Some(self.shard.copy(&target, self.work));
        Some(target)
    }

    /// Copies the run repeatedly until its engine is gone.
    async fn run(self) {
        let mut is_first = true;
        loop {
            let chosen = self.choose_target(is_first).await;
            is_first = false;
            match chosen {
                Some(target) => {
                    if let Err(cause) = self.copy_to(&target).await {
                        return self.record_failed("failed", &cause.to_string());
                    }
                }
                None => self.count_outcome("no_room"),
            }
            sleep(RETRY_INTERVAL).await;
        }
    }

    /// Copies the run to one target repeatedly, until the target has no room or is out of
    /// use.
    async fn copy_to(&self, target: &Endpoint) -> Result<(), replica::Error> {
        loop {
            let order = CopyOrder {
                source: self.engine.address,
                attempt: &self.request_id,
                target: target.address,
                stops: false,
            };
            match replica::copy_run(&order, COPY_TIMEOUT, COPY_TIMEOUT).await {
                Err(cause) if cause.is_refused() => return Err(cause),
                Err(cause) => {
                    // A sound engine resets connections beyond its limit.
                    self.count_outcome("interrupted");
                    log::debug!("copying run {} failed: {cause}", self.request_id);
                    sleep(RETRY_INTERVAL).await;
                }
                Ok(Copied::Done { handle }) => {
                    self.record_complete(handle);
                    self.count_outcome("copied");
                    sleep(COPY_INTERVAL).await;
                }
                Ok(Copied::Busy) => sleep(RETRY_INTERVAL).await,
                // The engine knows a run only from its first token on.
                Ok(Copied::Unknown) => {
                    self.count_outcome("unknown");
                    sleep(RETRY_INTERVAL).await;
                }
                Ok(Copied::NoRoom { .. }) => {
                    self.count_outcome("no_room");
                    return Ok(());
                }
            }
            if !self.shard.pool().accepts_runs(&target.id, clock::now()) {
                return Ok(());
            }
        }
    }

    fn record_complete(&self, handle: Arc<str>) {
        let mut progress = lock(&self.progress);
        let previous = progress.complete.take().map(|(copy, _)| copy);
        let copy = progress.pending.take().or(previous);
        progress.complete = copy.map(|copy| (copy, handle));
    }

    fn record_failed(&self, outcome: &str, cause: &str) {
        self.count_outcome(outcome);
        record::write(&Event::MoveFailed {
            request: &self.request_id,
            from: &self.engine.id,
            cause,
        });
    }

    fn count_outcome(&self, outcome: &str) {
        self.state
            .metrics
            .migrations
            .with_label_values(&[outcome])
            .inc();
    }
}
