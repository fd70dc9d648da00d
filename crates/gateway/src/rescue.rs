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
const COPY_LIMIT: Duration = Duration::from_millis(2_500);

/// Time between two copies of one run: short enough that the copy is kept, and
/// that little must be read again, and long enough to leave the links to others.
const COPY_INTERVAL: Duration = Duration::from_millis(400);

/// The pause after a copy that was refused.
const REFUSED_PAUSE: Duration = Duration::from_millis(100);

/// The copies of one run.
#[derive(Debug)]
pub(crate) struct Rescue {
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
pub(crate) struct Found {
    pub(crate) target: Arc<Endpoint>,
    pub(crate) source: SocketAddr,
    pub(crate) handle: Arc<str>,
}

impl Rescue {
    /// Starts to copy a run from its engine to another.
    pub(crate) fn start(job: &Job, from: &Arc<Endpoint>) -> Rescue {
        let progress = Arc::new(Mutex::new(Progress::default()));
        let copies = Copies {
            state: Arc::clone(&job.state),
            shard: Arc::clone(&job.shard),
            request: Arc::clone(&job.request),
            data_centre: Arc::clone(&job.data_centre),
            work: job.work,
            from: Arc::clone(from),
            progress: Arc::clone(&progress),
        };
        Rescue {
            source: from.address,
            progress,
            task: tokio::spawn(copies.run()),
        }
    }

    /// Tells whether copies are still made.
    pub(crate) fn is_under_way(&self) -> bool {
        !self.task.is_finished()
    }

    /// Returns the last copy, if there is one whose engine stays.
    pub(crate) fn finish(self, job: &Job) -> Option<Found> {
        let (copy, handle) = lock(&self.progress).complete.take()?;
        let is_staying = !job.shard.pool().is_leaving(&copy.endpoint.id);
        is_staying.then(|| Found {
            target: Arc::clone(&copy.endpoint),
            source: self.source,
            handle,
        })
    }
}

impl Drop for Rescue {
    fn drop(&mut self) {
        self.task.abort();
        let Some((_, handle)) = lock(&self.progress).complete.take() else {
            return;
        };
        let source = self.source;
        // A copy that cannot be freed expires by itself.
        tokio::spawn(async move {
            if let Err(cause) = replica::free_copy(source, &handle, COPY_LIMIT).await {
                log::debug!("the copy {handle} was not freed: {cause}");
            }
        });
    }
}

fn lock(progress: &Mutex<Progress>) -> MutexGuard<'_, Progress> {
    progress.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Copies {
    state: Arc<State>,
    shard: Arc<Shard>,
    request: Arc<str>,
    data_centre: Arc<str>,
    work: Work,
    from: Arc<Endpoint>,
    progress: Arc<Mutex<Progress>>,
}

impl Copies {
    /// Chooses where the copies go, among engines that are asked for reports: at
    /// first those of the same data centre.
    async fn choose(&self, is_first: bool) -> Option<Arc<Endpoint>> {
        let near = is_first.then_some(&*self.from.data_centre);
        let among = observe::candidates(&self.shard, slice::from_ref(&self.from.id), near).await;
        let ask = Ask {
            work: self.work,
            data_centre: &self.data_centre,
            tried: &[],
            among: &among,
        };
        let seed = rand::random();
        let target =
            self.shard
                .pool()
                .backup(&self.from.id, Purpose::Rescue, &ask, seed, clock::now())?;
        record::write(&Event::Moving {
            request: &self.request,
            from: &self.from.id,
            to: &target.id,
        });
        lock(&self.progress).pending = Some(self.shard.copy(&target, self.work));
        Some(target)
    }

    /// Copies the run again and again, until its engine is gone.
    async fn run(self) {
        let mut is_first = true;
        loop {
            let chosen = self.choose(is_first).await;
            is_first = false;
            match chosen {
                Some(target) => {
                    if let Err(cause) = self.renew(&target).await {
                        return self.failed("failed", &cause.to_string());
                    }
                }
                None => self.count("no_room"),
            }
            sleep(REFUSED_PAUSE).await;
        }
    }

    /// Copies the run to one engine again and again, until that has no room or leaves.
    async fn renew(&self, target: &Endpoint) -> Result<(), replica::Error> {
        loop {
            let copied =
                replica::copy_run(self.from.address, &self.request, target.address, COPY_LIMIT);
            match copied.await? {
                Copied::Done { handle } => {
                    self.complete(handle);
                    self.count("copied");
                    sleep(COPY_INTERVAL).await;
                }
                Copied::Busy => sleep(REFUSED_PAUSE).await,
                // A run is known from its first token on, which may be still to come.
                Copied::Unknown => {
                    self.count("unknown");
                    sleep(REFUSED_PAUSE).await;
                }
                Copied::NoRoom => {
                    self.count("no_room");
                    return Ok(());
                }
            }
            if self.shard.pool().is_leaving(&target.id) {
                return Ok(());
            }
        }
    }

    fn complete(&self, handle: Arc<str>) {
        let mut progress = lock(&self.progress);
        let renewed = progress.complete.take().map(|(copy, _)| copy);
        let copy = progress.pending.take().or(renewed);
        progress.complete = copy.map(|copy| (copy, handle));
    }

    fn failed(&self, outcome: &str, cause: &str) {
        self.count(outcome);
        record::write(&Event::MoveFailed {
            request: &self.request,
            from: &self.from.id,
            cause,
        });
    }

    fn count(&self, outcome: &str) {
        self.state.metrics.moves.with_label_values(&[outcome]).inc();
    }
}
