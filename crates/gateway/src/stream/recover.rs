//! Failover and migration of a stream whose engine is leaving, silent or lost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Decision, Endpoint, Loss, Outcome, Repeat},
};
use cactusroad_platform::replica::{Reply, Source};

use super::{Ending, Opened, Relay};
use crate::{
    clock,
    crash::ANSWERED_EVENTS,
    events::Splitter,
    job,
    migration::Migration,
    observe,
    record::{self, Event},
};

/// After the first event, an engine that sends nothing for this multiple of the
/// route's target inter-token latency counts as silent. A batch with several prompts
/// in prefill delays the next event by about one target; a longer silence makes the
/// stream late whether or not the engine is alive.
const SILENCE_FACTOR: u32 = 3;

impl Relay {
    /// Returns when the engine counts as silent if it sends nothing from now on.
    ///
    /// This is [`Time::MAX`] before the first event, without a standby copy, and after
    /// an attempt to resume from it has failed: a preempted run pauses for long and then
    /// continues, so waiting is the best option if there is no usable copy.
    pub(super) fn silence_deadline(&self) -> Time {
        let has_standby = {
            let pool = self.job.shard.pool();
            let backup = self.run.backup.as_ref();
            backup.is_some_and(|backup| pool.holds_copy(&backup.id, clock::now()))
        };
        if self.events == 0 || !has_standby || self.has_tried_standby {
            return Time::MAX;
        }
        clock::now() + Duration::from_millis(self.job.route.target_itl_ms) * SILENCE_FACTOR
    }

    /// Starts a migration if the engine is leaving and no standby copy can take over.
    pub(super) fn migrate_if_leaving(&mut self) {
        let needs_migration = {
            let pool = self.job.shard.pool();
            let has_standby = self
                .run
                .backup
                .as_ref()
                .is_some_and(|backup| !pool.is_leaving(&backup.id));
            let is_migrating = self.migration.as_ref().is_some_and(Migration::is_running);
            let is_leaving = pool.is_leaving(&self.run.endpoint.id);
            is_leaving && !has_standby && !is_migrating
        };
        if needs_migration && !self.job.request_id.is_empty() {
            self.migration = Some(Migration::start(&self.job, &self.run.endpoint));
        }
    }

    /// Resumes the run from a copy after its engine was lost.
    pub(super) async fn recover(&mut self, loss: Loss, cause: &str) -> Result<(), Ending> {
        let lost_at = clock::now();
        if self.reply.take().is_some() && loss == Loss::Broken {
            self.record_crash();
        }
        self.splitter = Splitter::default();
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.end(Outcome::Unreachable);
        }
        let loss_label: &str = loss.into();
        self.job
            .state
            .metrics
            .engine_losses
            .with_label_values(&[loss_label])
            .inc();
        record::write(&Event::EngineLost {
            request: &self.job.request_id,
            endpoint: &self.run.endpoint.id,
            loss: loss_label,
            last_event: self.last_event.unwrap_or(0),
            parts: &self.job.parts,
            cause,
        });
        while let Some((endpoint, source)) = self.find_successor().await {
            if self.job.state.crashes.blocked(&self.job.parts).is_some() {
                self.record_move_failed(job::CRASHES_ENGINES);
                return Err(Ending::Lost);
            }
            let purpose = match source {
                Some(_) => Repeat::Resume,
                None => Repeat::Retry,
            };
            if !self.job.shard.spend_retry(purpose) {
                self.record_move_failed("no_repeats_left");
                return Err(Ending::Lost);
            }
            self.run.moves += 1;
            self.sends += 1;
            self.run.endpoint = endpoint;
            if source.is_some() {
                let side = self.job.shard.pool().side_of(&self.run.endpoint.version);
                self.candidates = observe::candidates(&self.job.shard, &[], None, side).await;
            }
            let label = source
                .as_ref()
                .map_or_else(|| "rerun".to_owned(), |source| source.address.to_string());
            let opened = self.open(source).await;
            if matches!(opened, Opened::Reply) && self.is_resumed() {
                self.record_resumed(&label, lost_at);
                return Ok(());
            }
            self.reply = None;
            // Nothing was copied to the engine that was chosen for the failed attempt.
            self.drop_standby();
        }
        Err(Ending::Lost)
    }

    /// Records that the connection to the run's engine broke, as it does in a crash, if the
    /// run had not been answered and the engine was not leaving.
    pub(super) fn record_crash(&mut self) {
        let engine = &self.run.endpoint;
        let is_crash = !self.job.shard.pool().is_leaving(&engine.id);
        if is_crash && self.events < ANSWERED_EVENTS {
            self.run.crashes += 1;
            self.job.state.crashes.record_crash(engine, &self.job.parts);
        }
    }

    fn record_move_failed(&self, cause: &str) {
        record::write(&Event::MoveFailed {
            request: &self.job.request_id,
            from: &self.run.endpoint.id,
            cause,
        });
    }

    /// Runs a request again whose engine answered with an error, if the route allows it.
    /// The reply stays as it is if no other engine runs the request.
    pub(super) async fn rerun_after_failure(&mut self) {
        let has_failed = |reply: &Reply| reply.head.status.is_server_error();
        while self.reply.as_ref().is_some_and(has_failed) && self.run.reruns > 0 {
            let Some(endpoint) = self.choose_rerun().await else {
                return;
            };
            if !self.job.shard.spend_retry(Repeat::Retry) {
                return;
            }
            self.sends += 1;
            let previous = (
                std::mem::replace(&mut self.run.endpoint, endpoint),
                self.reply.take(),
                self.in_flight.take(),
            );
            if matches!(self.open(None).await, Opened::Reply) {
                if let Some(in_flight) = previous.2 {
                    in_flight.end(Outcome::Failed);
                }
            } else {
                (self.run.endpoint, self.reply, self.in_flight) = previous;
            }
        }
    }

    /// Chooses another engine to run the request again, if there is time for it.
    async fn choose_rerun(&mut self) -> Option<Arc<Endpoint>> {
        if self.job.deadline.is_past(clock::now()) {
            return None;
        }
        self.run.reruns = self.run.reruns.saturating_sub(1);
        let tried = [Arc::clone(&self.run.endpoint.id)];
        self.candidates = observe::candidates(&self.job.shard, &tried, None, self.job.side).await;
        let criteria = self.job.criteria(&tried, &self.candidates);
        match self.job.shard.choose(&criteria) {
            Ok(endpoint) => Some(endpoint),
            Err(refusal) => {
                self.record_move_failed(refusal.into());
                None
            }
        }
    }

    fn is_resumed(&self) -> bool {
        self.reply
            .as_ref()
            .is_some_and(|reply| reply.head.status.is_success())
    }

    /// Resumes from the standby copy of a run whose engine is silent. The connection
    /// to the silent engine is dropped only once the other engine has responded with
    /// success; events that it sends during that round trip are not read. Otherwise
    /// the run stays where it is.
    pub(super) async fn try_standby(&mut self) {
        let silent_since = clock::now();
        self.has_tried_standby = true;
        let decision = self.job.shard.pool().fail_over(&self.run, silent_since);
        let Decision::Resume(endpoint) = decision else {
            return;
        };
        if !self.job.shard.spend_retry(Repeat::Resume) {
            return;
        }
        let source = self.source(endpoint.address, Arc::clone(&self.job.request_id));
        let previous = (
            std::mem::replace(&mut self.run.endpoint, endpoint),
            self.run.backup.take(),
            self.standby.take(),
            self.reply.take(),
            self.in_flight.take(),
        );
        self.sends += 1;
        let address = source.address.to_string();
        let opened = self.open(Some(source)).await;
        if matches!(opened, Opened::Reply) && self.is_resumed() {
            self.run.moves += 1;
            self.splitter = Splitter::default();
            self.has_tried_standby = false;
            self.record_resumed(&address, silent_since);
            return;
        }
        (
            self.run.endpoint,
            self.run.backup,
            self.standby,
            self.reply,
            self.in_flight,
        ) = previous;
    }

    fn record_resumed(&self, source: &str, lost_at: Time) {
        self.job.state.metrics.resumes.inc();
        record::write(&Event::Resumed {
            request: &self.job.request_id,
            endpoint: &self.run.endpoint.id,
            source,
            pause_ms: clock::millis_since(lost_at),
        });
    }

    /// Finds the engine that continues the stream: the one with the copy of a migration,
    /// otherwise the one with the standby copy, otherwise any that may run the request
    /// again.
    async fn find_successor(&mut self) -> Option<(Arc<Endpoint>, Option<Source>)> {
        if let Some(found) = self
            .migration
            .take()
            .and_then(|migration| migration.finish(&self.job))
        {
            let source = self.source(found.source, found.handle);
            return Some((found.target, Some(source)));
        }
        let decision = self.job.shard.pool().fail_over(&self.run, clock::now());
        match decision {
            Decision::Resume(endpoint) => {
                let source = self.source(endpoint.address, Arc::clone(&self.job.request_id));
                Some((endpoint, Some(source)))
            }
            Decision::Rerun => Some((self.choose_rerun().await?, None)),
            Decision::End(reason) => {
                self.record_move_failed(reason.into());
                None
            }
        }
    }

    /// Returns the copy to resume from, as the endpoint request names it.
    fn source(&self, address: SocketAddr, name: Arc<str>) -> Source {
        Source {
            address,
            name,
            last_event: Some(self.last_event.unwrap_or(0)),
        }
    }
}
