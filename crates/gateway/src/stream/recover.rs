//! Failover and migration of a stream whose engine is leaving, silent or lost.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Decision, Endpoint, Loss, Outcome, Reason, Repeat},
};
use cactusroad_platform::replica::{Reply, Source};

use super::{
    Ending, Opened, Relay,
    stop::{Progress, Stopped, Unconfirmed},
};
use crate::{
    clock, crash,
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
    /// This is [`Time::MAX`] before the first event, without a standby copy, and if a
    /// failover was not possible since the last event: a preempted run pauses for long and
    /// then continues, so waiting is the best option if there is no usable copy. While the
    /// engine is ordered to stop the run, this is when the order is repeated.
    pub(super) fn silence_deadline(&self) -> Time {
        if let Some(stopping) = &self.stopping {
            return stopping.repeat_at();
        }
        let has_standby = {
            let pool = self.job.shard.pool();
            let backup = self.run.backup.as_ref();
            backup.is_some_and(|backup| pool.holds_copy(&backup.id, clock::now()))
        };
        if self.events == 0 || !has_standby || self.has_no_failover {
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
        self.leave_engine(loss, cause);
        let lost_at = clock::now();
        // An order to stop the run while it was silent says nothing of a broken connection.
        self.stopping = None;
        let stopped = self.stop_run(loss).await;
        self.go_on(lost_at, None, stopped).await
    }

    /// Resumes the run elsewhere if its engine is silent, another one holds a standby copy, and
    /// the engine stops the run. Otherwise the run stays where it is.
    pub(super) async fn fail_over_if_possible(&mut self) -> Result<(), Ending> {
        let silent_since = clock::now();
        let decision = self.job.shard.pool().fail_over(&self.run, silent_since);
        let is_possible = matches!(decision, Decision::Resume(_));
        let is_paid = self.stopping.is_some();
        if !is_possible || !(is_paid || self.job.shard.spend_retry(Repeat::Resume)) {
            self.has_no_failover = true;
            self.stopping = None;
            return Ok(());
        }
        // The connection stays open meanwhile: the engine may go on with the run.
        match self.order_stop(Loss::Silent).await {
            Progress::Over(stopped) => {
                self.leave_engine(Loss::Silent, "no event arrived in time");
                let spent = Some(Repeat::Resume);
                self.go_on(silent_since, spent, Ok(stopped)).await
            }
            Progress::Pending => Ok(()),
            Progress::Unconfirmed => {
                self.migrate_if_leaving();
                Ok(())
            }
        }
    }

    /// Closes the connection to the engine of the run.
    fn leave_engine(&mut self, loss: Loss, cause: &str) {
        self.reply = None;
        self.splitter = Splitter::default();
        self.reservation.resize(0);
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.end(match loss {
                // The engine may be sound and have preempted the run.
                Loss::Silent => Outcome::Cancelled,
                Loss::Broken | Loss::Garbled => Outcome::Broken,
            });
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
            suspects: &self.job.suspects,
            cause,
        });
    }

    /// Continues a run whose engine was given up elsewhere. `spent` is the purpose of a retry
    /// that was already taken from the budget, `stopped` whether the run was stopped there.
    async fn go_on(
        &mut self,
        lost_at: Time,
        mut spent: Option<Repeat>,
        stopped: Result<Option<Stopped>, Unconfirmed>,
    ) -> Result<(), Ending> {
        let mut stopped = self.confirm(stopped)?;
        while let Some((endpoint, source)) = self.find_successor(&mut stopped).await {
            if self.job.deadline.is_past(clock::now()) {
                return Err(Ending::Deadline);
            }
            if self.job.is_crashing() {
                self.record_move_failed(job::CRASHES_ENDPOINTS);
                return Err(Ending::Lost);
            }
            let purpose = match source {
                Some(_) => Repeat::Resume,
                None => Repeat::Retry,
            };
            if spent.take() != Some(purpose) && !self.job.shard.spend_retry(purpose) {
                self.record_move_failed("no_repeats_left");
                return Err(Ending::Lost);
            }
            self.run.moves += 1;
            self.sends += 1;
            let standby = (self.run.backup.take(), self.standby.take());
            self.run.endpoint = endpoint;
            if source.is_some() {
                let side = self.job.shard.pool().side_of(&self.run.endpoint.version);
                let work = self.job.work;
                self.candidates = observe::candidates(&self.job.shard, work, &[], None, side).await;
            }
            let label = source
                .as_ref()
                .map_or_else(|| "rerun".to_owned(), |source| source.address.to_string());
            let opened = self.open(source).await;
            if matches!(opened, Opened::Reply) && self.is_resumed() {
                if let Some(stopped) = &mut stopped {
                    stopped.forget();
                }
                self.record_resumed(&label, lost_at);
                return Ok(());
            }
            self.reply = None;
            match opened {
                // The run may go on there, and be copied from there.
                Opened::Lost => {
                    let again = self.stop_run(Loss::Broken).await;
                    stopped = self.confirm(again)?;
                }
                // The copies made before are still valid, but for the one that was refused.
                Opened::NotRun if !is_at(&standby.0, &self.run.endpoint) => {
                    (self.run.backup, self.standby) = standby;
                }
                Opened::NotRun | Opened::Reply => self.drop_standby(),
            }
        }
        Err(Ending::Lost)
    }

    /// Finds out whether the engine has crashed, where no order to stop the run tells it.
    pub(super) async fn check_crash(&self) {
        let (job, engine) = (&self.job, &self.run.endpoint);
        let accused = self.observation.accused(&job.suspects);
        if !accused.is_empty() {
            crash::check(&job.state, &job.shard, engine, accused).await;
        }
    }

    /// Records that the engine has crashed, if the run may be the cause.
    pub(super) fn record_crash(&mut self) {
        let (engine, accused) = (
            &self.run.endpoint,
            self.observation.accused(&self.job.suspects),
        );
        if accused.is_empty() {
            return;
        }
        let crashes = &self.job.state.crashes;
        if crashes.record_crash(&self.job.shard, engine, accused) {
            self.run.crashes += 1;
        }
    }

    /// Ends the stream if its run was not certainly stopped.
    fn confirm(
        &self,
        stopped: Result<Option<Stopped>, Unconfirmed>,
    ) -> Result<Option<Stopped>, Ending> {
        stopped.map_err(|Unconfirmed| {
            self.record_move_failed("stop_unconfirmed");
            if self.job.deadline.is_past(clock::now()) {
                Ending::Deadline
            } else {
                Ending::Lost
            }
        })
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
            // The engine of an earlier rerun may have crashed.
            if self.job.is_crashing() {
                self.record_move_failed(job::CRASHES_ENDPOINTS);
                return;
            }
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
            let opened = self.open(None).await;
            if matches!(opened, Opened::Reply) {
                if let Some(in_flight) = previous.2 {
                    in_flight.end(Outcome::Failed);
                }
            } else {
                if matches!(opened, Opened::Lost) {
                    self.check_crash().await;
                }
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
        self.candidates =
            observe::candidates(&self.job.shard, self.job.work, &tried, None, self.job.side).await;
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

    fn record_resumed(&self, source: &str, lost_at: Time) {
        self.job.state.metrics.resumes.inc();
        record::write(&Event::Resumed {
            request: &self.job.request_id,
            endpoint: &self.run.endpoint.id,
            source,
            pause_ms: clock::millis_since(lost_at),
        });
    }

    /// Finds the engine that continues the stream: the one with the last copy before the run
    /// was stopped, otherwise the one with the copy of a migration, the one with the standby
    /// copy, or any that may run the request again. If there is none, the engine that stopped
    /// the run continues it.
    async fn find_successor(
        &mut self,
        stopped: &mut Option<Stopped>,
    ) -> Option<(Arc<Endpoint>, Option<Source>)> {
        if let Some(stopped) = stopped
            && let Some(target) = stopped.take_target()
            && let Some(source) = stopped.source()
            && self.job.shard.pool().holds_copy(&target.id, clock::now())
        {
            // The last copy replaces that of the migration.
            if let Some(migration) = self.migration.take() {
                migration.finish(&self.job);
            }
            return Some((target, Some(source)));
        }
        if let Some(found) = self
            .migration
            .take()
            .and_then(|migration| migration.finish(&self.job))
        {
            return Some((found.target, Some(found.source)));
        }
        let decision = self.job.shard.pool().fail_over(&self.run, clock::now());
        match decision {
            Decision::Resume(endpoint) => {
                let source = Source {
                    address: endpoint.address,
                    name: Arc::clone(&self.job.request_id),
                };
                Some((endpoint, Some(source)))
            }
            Decision::Rerun => Some((self.choose_rerun().await?, None)),
            Decision::End(Reason::NoCopy | Reason::CopyLeaving) if stopped.is_some() => {
                self.return_to(stopped.take()?)
            }
            Decision::End(reason) => {
                self.record_move_failed(reason.into());
                None
            }
        }
    }

    /// Lets the engine that stopped the run continue it, if it still takes requests.
    fn return_to(&self, mut stopped: Stopped) -> Option<(Arc<Endpoint>, Option<Source>)> {
        let engine = Arc::clone(stopped.engine());
        let source = stopped.source()?;
        if !self.job.shard.pool().holds_copy(&engine.id, clock::now()) {
            self.record_move_failed(Reason::CopyLeaving.into());
            return None;
        }
        stopped.forget();
        Some((engine, Some(source)))
    }
}

/// Returns whether a standby copy is at this engine.
fn is_at(standby: &Option<Arc<Endpoint>>, engine: &Endpoint) -> bool {
    standby
        .as_ref()
        .is_some_and(|standby| standby.id == engine.id)
}
