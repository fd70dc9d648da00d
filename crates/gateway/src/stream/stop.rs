//! Stops a run at its engine before it goes on at another one.
//!
//! An engine that was given up may still work on the run: it preempted the run and will
//! continue it, or it does not notice that the connection is gone. A run that then goes on
//! elsewhere runs twice. The engine is therefore ordered to stop the run and to copy it to
//! the engine at which it goes on; the order goes over a new connection.
//! [`stop::Order`] decides from the results whether the run has stopped.
//!
//! The copy made by this order is also the best one to resume from, as it lacks no token.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Endpoint, Loss, stop},
};
use cactusroad_platform::{
    dial,
    replica::{self, Copied, CopyOrder, Error, Source},
};
use tokio::time::sleep_until;

use super::Relay;
use crate::{
    clock,
    migration::free_copy,
    observe,
    record::{self, Event},
};

/// The time limit of a connection to the engine: several round trips between data centres.
/// An engine that is down is often found out only by this.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// The time limit of the order, which is answered when the copy is complete.
const STOP_TIMEOUT: Duration = Duration::from_millis(400);

/// The time limit of an order that repeats one that was not answered in time.
const REPEAT_TIMEOUT: Duration = Duration::from_millis(100);

/// An order to stop the run, which may take several attempts.
#[derive(Debug)]
pub(super) struct Stopping {
    order: stop::Order,
    began_at: Time,
    attempts: u32,
    /// The time limit of the next attempt.
    limit: Duration,
    /// The engine to which the run is copied, once there is one.
    target: Option<Arc<Endpoint>>,
    /// When the next attempt is due.
    repeat_at: Time,
}

impl Stopping {
    /// Returns when the next attempt is due.
    pub(super) fn repeat_at(&self) -> Time {
        self.repeat_at
    }
}

/// What one attempt to stop a run has led to.
#[derive(Debug)]
pub(super) enum Progress {
    /// The engine does not work on the run any more; holds the copy that it made, if any.
    Over(Option<Stopped>),
    /// The next attempt is due at [`Stopping::repeat_at`].
    Pending,
    /// The engine may go on with the run, and no further attempt is made.
    Unconfirmed,
}

/// The answer to one order.
struct Answer {
    attempt: stop::Attempt,
    /// What the engine did, if it stopped the run.
    label: Option<&'static str>,
    handle: Option<Arc<str>>,
}

impl Answer {
    fn failed(attempt: stop::Attempt) -> Answer {
        Answer {
            attempt,
            label: None,
            handle: None,
        }
    }

    fn done(label: &'static str, handle: Option<Arc<str>>) -> Answer {
        Answer {
            attempt: stop::Attempt::Done,
            label: Some(label),
            handle,
        }
    }
}

/// The label of an answer that the engine does not have the run.
const UNKNOWN: &str = "unknown";

/// The label of an answer that the run was copied to the engine at which it goes on.
const COPIED: &str = "copied";

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
    pub(super) fn source(&self) -> Option<Source> {
        Some(Source {
            address: self.engine.address,
            name: self.handle.clone()?,
        })
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
    ///
    /// # Errors
    ///
    /// Fails if the engine may go on with the run, also when the deadline of the request has
    /// passed; it must not go on elsewhere then.
    pub(super) async fn stop_run(&mut self, loss: Loss) -> Result<Option<Stopped>, Unconfirmed> {
        loop {
            match self.order_stop(loss).await {
                Progress::Over(stopped) => return Ok(stopped),
                Progress::Unconfirmed => return Err(Unconfirmed),
                Progress::Pending => {
                    if self.job.deadline.is_past(clock::now()) {
                        return Err(Unconfirmed);
                    }
                    let due = self
                        .stopping
                        .as_ref()
                        .map_or(Time::ZERO, Stopping::repeat_at);
                    sleep_until(clock::instant(due)).await;
                }
            }
        }
    }

    /// Orders the engine once to stop the run.
    pub(super) async fn order_stop(&mut self, loss: Loss) -> Progress {
        let now = clock::now();
        let mut stopping = self.stopping.take().unwrap_or_else(|| Stopping {
            order: stop::Order::new(loss, self.observation.has_begun(), now),
            began_at: now,
            attempts: 0,
            limit: STOP_TIMEOUT,
            target: None,
            repeat_at: now,
        });
        if stopping.target.is_none() {
            stopping.target = self.choose_stop_target();
        }
        if stopping.target.is_none() && self.run.reruns == 0 || self.job.request_id.is_empty() {
            // It cannot go on elsewhere.
            if loss == Loss::Broken {
                self.check_crash().await;
            }
            return Progress::Over(None);
        }
        stopping.attempts += 1;
        let answer = match &stopping.target {
            Some(target) => self.send_stop(target, stopping.limit).await,
            None => self.find_process().await,
        };
        self.is_stop_sent |= stopping.target.is_some();
        let now = clock::now();
        match stopping.order.record(answer.attempt, now) {
            stop::Step::Repeat(at) => {
                if answer.attempt == stop::Attempt::Late {
                    stopping.limit = REPEAT_TIMEOUT;
                }
                if stopping.order.needs_report() {
                    let (shard, engine) = (&self.job.shard, &self.run.endpoint);
                    let lost_at = stopping.began_at;
                    if let Some(pending) = observe::pending(shard, engine, lost_at).await {
                        stopping.order.record_report(pending);
                    }
                }
                stopping.repeat_at = at;
                self.stopping = Some(stopping);
                Progress::Pending
            }
            stop::Step::End(verdict) => {
                let label = match answer.attempt {
                    stop::Attempt::Unknown if verdict == stop::Verdict::Stopped => UNKNOWN,
                    _ => answer.label.unwrap_or(verdict.into()),
                };
                self.record_stop(label, &stopping);
                match verdict {
                    stop::Verdict::Unconfirmed => return Progress::Unconfirmed,
                    stop::Verdict::Crashed => self.record_crash(),
                    stop::Verdict::Stopped | stop::Verdict::Unreachable => {}
                }
                let target = stopping.target.filter(|_| label == COPIED);
                Progress::Over(answer.handle.map(|handle| Stopped {
                    engine: Arc::clone(&self.run.endpoint),
                    target,
                    handle: Some(handle),
                }))
            }
        }
    }

    fn record_stop(&self, label: &str, stopping: &Stopping) {
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
            attempts: stopping.attempts,
            after_ms: clock::millis_since(stopping.began_at),
        });
    }

    /// Chooses the engine to which the run is copied: the one at which it would go on.
    fn choose_stop_target(&self) -> Option<Arc<Endpoint>> {
        let migrated_to = self.migration.as_ref().and_then(|copy| copy.halt());
        migrated_to
            .or_else(|| self.run.backup.clone())
            .or_else(|| self.choose_target())
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

    async fn send_stop(&self, target: &Endpoint, limit: Duration) -> Answer {
        let order = CopyOrder {
            source: self.run.endpoint.address,
            attempt: &self.job.request_id,
            target: target.address,
            stops: true,
        };
        match replica::copy_run(&order, CONNECT_TIMEOUT, limit).await {
            Ok(Copied::Done { handle }) => Answer::done(COPIED, Some(handle)),
            Ok(Copied::NoRoom {
                handle: Some(handle),
            }) => Answer::done("kept", Some(handle)),
            // An engine that stopped the run tells where it keeps it.
            Ok(Copied::NoRoom { handle: None }) => Answer::failed(stop::Attempt::Reset),
            Ok(Copied::Unknown) => Answer::failed(stop::Attempt::Unknown),
            Ok(Copied::Busy) => Answer::failed(stop::Attempt::Busy),
            Err(cause) => Answer::failed(classify(&cause)),
        }
    }

    /// Finds out whether a process listens at the address of the engine, which cannot be
    /// ordered to stop the run as no other engine would take it.
    async fn find_process(&self) -> Answer {
        let connected = dial::connect(self.run.endpoint.address, CONNECT_TIMEOUT).await;
        Answer::failed(match connected {
            Ok(_) => stop::Attempt::Reset,
            Err(cause) => classify(&cause.into()),
        })
    }
}

/// A run was not certainly stopped.
#[derive(Debug)]
pub(super) struct Unconfirmed;

fn classify(cause: &Error) -> stop::Attempt {
    match cause {
        Error::Dial(cause) if cause.is_refused() => stop::Attempt::Refused,
        Error::Dial(cause) if cause.is_reset() => stop::Attempt::Reset,
        Error::Dial(_) => stop::Attempt::Unreachable,
        Error::Lost(_) | Error::Invalid(_) => stop::Attempt::Reset,
        Error::Late(_) => stop::Attempt::Late,
    }
}
