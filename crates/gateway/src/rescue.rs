//! Copies of a run whose engine has said that it leaves.
//!
//! The engine serves until it is gone, so the run is not stopped: it is copied
//! while it goes on, and once the engine is gone it goes on from the last copy,
//! which lacks what was generated since. Reading that again takes milliseconds;
//! stopping the run to copy the rest would pause the stream for as long as all
//! copies take that wait for the same link.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use cactusroad_core::pool::Endpoint;
use cactusroad_platform::replica::{self, Copied};
use tokio::{task::JoinHandle, time::sleep};

use crate::{
    job::Job,
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
    pub(crate) target: Arc<Endpoint>,
    source: SocketAddr,
    handle: Arc<Mutex<Option<Arc<str>>>>,
    task: JoinHandle<()>,
    _copy: Copy,
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
    pub(crate) fn start(job: &Job, from: &Arc<Endpoint>, target: Arc<Endpoint>) -> Rescue {
        record::write(&Event::Moving { request: &job.request, from: &from.id, to: &target.id });
        let handle = Arc::new(Mutex::new(None));
        let copies = Copies {
            state: Arc::clone(&job.state),
            shard: Arc::clone(&job.shard),
            request: Arc::clone(&job.request),
            from: Arc::clone(from),
            target: Arc::clone(&target),
            handle: Arc::clone(&handle),
        };
        Rescue {
            _copy: job.shard.copy(&target, job.work),
            target,
            source: from.address,
            handle,
            task: tokio::spawn(copies.run()),
        }
    }

    /// Returns the last copy, if there is one whose engine stays.
    pub(crate) fn finish(self, job: &Job) -> Option<Found> {
        let handle = lock(&self.handle).take()?;
        let is_staying = !job.shard.pool().is_leaving(&self.target.id);
        self.task.abort();
        is_staying.then(|| Found {
            target: Arc::clone(&self.target),
            source: self.source,
            handle,
        })
    }
}

impl Drop for Rescue {
    fn drop(&mut self) {
        self.task.abort();
        let Some(handle) = lock(&self.handle).take() else {
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

fn lock(handle: &Mutex<Option<Arc<str>>>) -> MutexGuard<'_, Option<Arc<str>>> {
    handle.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Copies {
    state: Arc<State>,
    shard: Arc<Shard>,
    request: Arc<str>,
    from: Arc<Endpoint>,
    target: Arc<Endpoint>,
    handle: Arc<Mutex<Option<Arc<str>>>>,
}

impl Copies {
    /// Copies the run again and again, until there is nothing to copy.
    async fn run(self) {
        loop {
            let copying =
                replica::copy_run(self.from.address, &self.request, self.target.address, COPY_LIMIT);
            let (outcome, cause) = match copying.await {
                Ok(Copied::Done { handle }) => {
                    *lock(&self.handle) = Some(handle);
                    self.count("copied");
                    sleep(COPY_INTERVAL).await;
                    continue;
                }
                Ok(Copied::Busy) => {
                    sleep(REFUSED_PAUSE).await;
                    continue;
                }
                Ok(Copied::Unknown) => ("unknown", "the engine does not run it".to_owned()),
                Ok(Copied::NoRoom) => ("no_room", "the target has no room".to_owned()),
                Err(cause) => ("failed", cause.to_string()),
            };
            self.count(outcome);
            record::write(&Event::MoveFailed {
                request: &self.request,
                from: &self.from.id,
                cause: &cause,
            });
            if outcome != "no_room" || self.shard.pool().is_leaving(&self.target.id) {
                return;
            }
            sleep(REFUSED_PAUSE).await;
        }
    }

    fn count(&self, outcome: &str) {
        self.state.metrics.moves.with_label_values(&[outcome]).inc();
    }
}
