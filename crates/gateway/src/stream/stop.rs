//! Stops a run at its engine before it goes on at another one.
//!
//! An engine that was given up may still work on the run: it preempted the run and will
//! continue it, or it does not notice that the connection is gone. A run that then goes on
//! elsewhere runs twice. The engine is therefore ordered to stop the run and to copy it to
//! the engine at which it goes on; the order goes over a new connection. An engine that
//! cannot be reached or does not answer counts as down.
//!
//! The copy made by this order is also the best one to resume from, as it lacks no token.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cactusroad_core::pool::Endpoint;
use cactusroad_platform::replica::{self, Copied, CopyOrder, Error, Source};
use tokio::time::sleep;

use super::Relay;
use crate::{
    clock,
    migration::free_copy,
    record::{self, Event},
};

/// The time limit of a connection to the engine: several round trips between data centres.
/// An engine that is down is often found out only by this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The time limit of the order, which is answered when the copy is complete. The run stops
/// before it is copied, so a late answer does not mean that the run goes on.
const STOP_TIMEOUT: Duration = Duration::from_millis(400);

/// The delay before the order is repeated while an earlier copy of the run is in progress.
const BUSY_INTERVAL: Duration = Duration::from_millis(25);

/// The result of an order to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Outcome {
    /// The run was stopped, and copied to the engine at which it goes on.
    Copied,
    /// The run was stopped, but could not be copied.
    Kept,
    /// The engine does not run it.
    Unknown,
    /// An earlier copy took too long.
    Busy,
    /// The engine cannot be reached.
    Unreachable,
    /// The engine did not answer in time, or its answer was invalid.
    Unanswered,
}

/// The copy that an engine made when it stopped a run. It is freed on drop unless it was
/// taken.
#[derive(Debug)]
pub(super) struct Stopped {
    engine: Arc<Endpoint>,
    /// The engine to which it was copied.
    target: Option<Arc<Endpoint>>,
    handle: Option<Arc<str>>,
}

impl Stopped {
    /// Returns the engine to which the run was copied, once.
    pub(super) fn take_target(&mut self) -> Option<Arc<Endpoint>> {
        self.target.take()
    }

    /// Returns the engine that stopped the run and can continue it.
    pub(super) fn engine(&self) -> &Arc<Endpoint> {
        &self.engine
    }

    /// Returns the copy; it can be used once.
    pub(super) fn name(&self) -> Option<(SocketAddr, Arc<str>)> {
        let handle = self.handle.clone()?;
        Some((self.engine.address, handle))
    }

    /// Keeps the copy from being freed, because a run has gone on from it.
    pub(super) fn forget(&mut self) {
        self.handle = None;
    }
}

impl Drop for Stopped {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            free_copy(self.engine.address, handle);
        }
    }
}

impl Relay {
    /// Stops the run at its engine, if it can go on at another one. Returns the copy that the
    /// engine made.
    pub(super) async fn stop_run(&mut self) -> Option<Stopped> {
        let migrated_to = self.migration.as_ref().and_then(|copy| copy.halt());
        let target = migrated_to
            .or_else(|| self.run.backup.clone())
            .or_else(|| self.choose_target())?;
        if self.job.request_id.is_empty() {
            return None;
        }
        let ordered_at = clock::now();
        let (outcome, handle) = self.order_stop(&target).await;
        let label: &str = outcome.into();
        self.job
            .state
            .metrics
            .run_stops
            .with_label_values(&[label])
            .inc();
        record::write(&Event::RunStopped {
            request: &self.job.request_id,
            endpoint: &self.run.endpoint.id,
            outcome: label,
            after_ms: clock::millis_since(ordered_at),
        });
        Some(Stopped {
            engine: Arc::clone(&self.run.endpoint),
            target: (outcome == Outcome::Copied).then_some(target),
            handle: Some(handle?),
        })
    }

    /// Chooses an engine for the copy of a run that no other engine holds, if the request may
    /// run again.
    fn choose_target(&self) -> Option<Arc<Endpoint>> {
        if self.run.reruns == 0 {
            return None;
        }
        let tried = [Arc::clone(&self.run.endpoint.id)];
        let criteria = self.job.criteria(&tried, &self.candidates);
        self.job.shard.choose(&criteria).ok()
    }

    async fn order_stop(&self, target: &Endpoint) -> (Outcome, Option<Arc<str>>) {
        let order = CopyOrder {
            source: self.run.endpoint.address,
            attempt: &self.job.request_id,
            target: target.address,
            stops: true,
        };
        let deadline = clock::now() + STOP_TIMEOUT;
        loop {
            match replica::copy_run(&order, CONNECT_TIMEOUT, STOP_TIMEOUT).await {
                Ok(Copied::Done { handle }) => return (Outcome::Copied, Some(handle)),
                Ok(Copied::NoRoom { handle }) => return (Outcome::Kept, handle),
                Ok(Copied::Unknown) => return (Outcome::Unknown, None),
                Ok(Copied::Busy) if deadline.is_past(clock::now()) => {
                    return (Outcome::Busy, None);
                }
                Ok(Copied::Busy) => sleep(BUSY_INTERVAL).await,
                Err(Error::Dial(_)) => return (Outcome::Unreachable, None),
                Err(Error::Lost(_) | Error::Invalid(_)) => return (Outcome::Unanswered, None),
            }
        }
    }

    /// Returns a copy to resume from, as the endpoint request names it.
    pub(super) fn source(&self, address: SocketAddr, name: Arc<str>) -> Source {
        Source {
            address,
            name,
            last_event: Some(self.last_event.unwrap_or(0)),
        }
    }
}
