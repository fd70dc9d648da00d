//! Copies of a run whose engine has said that it leaves.
//!
//! The engine serves until it is gone, so the run is not stopped: it is copied
//! while it goes on, and once the engine is gone it goes on from the last copy,
//! which lacks what was generated since. Reading that again takes milliseconds;
//! stopping the run to copy the rest would pause the stream for as long as all
//! copies take that wait for the same link.

use std::{
    net::SocketAddr,
    slice,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cactusroad_core::pool::{Ask, Endpoint, Purpose, Work};
use cactusroad_platform::replica::{self, Copied};
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    clock,
    job::Job,
    observe,
    record::{self, Event},
    state::{Copy, Shard, State},
};

/// How long one copy may take: several times that of a full memory between data centres.
const COPY_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Time between two copies of one run: short enough that the copy is kept, and
/// that little must be read again, and long enough to leave the links to others.
const COPY_INTERVAL: Duration = Duration::from_millis(400);

/// The pause after a copy that was refused.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The copies of one run.
#[derive(Debug)]
pub(crate) struct Migration {
    source: SocketAddr,
    progress: Arc<Mutex<Progress>>,
    task: JoinHandle<()>,
}

/// How far the copies are.
#[derive(Debug, Default)]
struct Progress {
    /// The engine that the first copy goes to, until it is complete.
    pending: Option<Copy>,
    /// The last complete copy and its name.
    complete: Option<(Copy, Arc<str>)>,
}

/// A copy to go on from.
#[derive(Debug)]
pub(crate) struct ResumePoint {
    pub(crate) target: Arc<Endpoint>,
    pub(crate) source: SocketAddr,
    pub(crate) handle: Arc<str>,
}

impl Migration {
    /// Starts to copy a run from its engine to another.
    pub(crate) fn start(job: &Job, engine: &Arc<Endpoint>) -> Migration {
        let progress = Arc::new(Mutex::new(Progress::default()));
        let copier = Copier {
            state: Arc::clone(&job.state),
            shard: Arc::clone(&job.shard),
            request_id: Arc::clone(&job.request_id),
            data_centre: Arc::clone(&job.data_centre),
            work: job.work,
            engine: Arc::clone(engine),
            progress: Arc::clone(&progress),
        };
        Migration {
            source: engine.address,
            progress,
            task: tokio::spawn(copier.run()),
        }
    }

    /// Tells whether copies are still made.
    pub(crate) fn is_running(&self) -> bool {
        !self.task.is_finished()
    }

    /// Returns the last copy, if there is one whose engine stays.
    pub(crate) fn finish(self, job: &Job) -> Option<ResumePoint> {
        let (copy, handle) = lock(&self.progress).complete.take()?;
        let is_staying = !job.shard.pool().is_leaving(&copy.endpoint.id);
        is_staying.then(|| ResumePoint {
            target: Arc::clone(&copy.endpoint),
            source: self.source,
            handle,
        })
    }
}

impl Drop for Migration {
    fn drop(&mut self) {
        self.task.abort();
        let Some((_, handle)) = lock(&self.progress).complete.take() else {
            return;
        };
        let source = self.source;
        // A copy that cannot be freed expires by itself.
        tokio::spawn(async move {
            if let Err(cause) = replica::free_copy(source, &handle, COPY_TIMEOUT).await {
                log::debug!("the copy {handle} was not freed: {cause}");
            }
        });
    }
}

fn lock(progress: &Mutex<Progress>) -> MutexGuard<'_, Progress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Copier {
    state: Arc<State>,
    shard: Arc<Shard>,
    request_id: Arc<str>,
    data_centre: Arc<str>,
    work: Work,
    engine: Arc<Endpoint>,
    progress: Arc<Mutex<Progress>>,
}

impl Copier {
    /// Chooses where the copies go, among engines that are asked for reports: at
    /// first those of the same data centre.
    async fn choose_target(&self, is_first: bool) -> Option<Arc<Endpoint>> {
        let data_centre = is_first.then_some(&*self.engine.data_centre);
        let candidates =
            observe::candidates(&self.shard, slice::from_ref(&self.engine.id), data_centre).await;
        let criteria = Ask {
            work: self.work,
            data_centre: &self.data_centre,
            tried: &[],
            among: &candidates,
        };
        let seed = rand::random();
        let target = self.shard.pool().backup(
            &self.engine.id,
            Purpose::Rescue,
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

    /// Copies the run again and again, until its engine is gone.
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

    /// Copies the run to one engine again and again, until that has no room or leaves.
    async fn copy_to(&self, target: &Endpoint) -> Result<(), replica::Error> {
        loop {
            let copied = replica::copy_run(
                self.engine.address,
                &self.request_id,
                target.address,
                COPY_TIMEOUT,
            );
            match copied.await? {
                Copied::Done { handle } => {
                    self.record_complete(handle);
                    self.count_outcome("copied");
                    sleep(COPY_INTERVAL).await;
                }
                Copied::Busy => sleep(RETRY_INTERVAL).await,
                // A run is known from its first token on, which may be still to come.
                Copied::Unknown => {
                    self.count_outcome("unknown");
                    sleep(RETRY_INTERVAL).await;
                }
                Copied::NoRoom => {
                    self.count_outcome("no_room");
                    return Ok(());
                }
            }
            if self.shard.pool().is_leaving(&target.id) {
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
