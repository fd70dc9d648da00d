//! What a stream does when its engine leaves, is silent or is lost.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Endpoint, Loss, Next, Outcome, Use},
};
use cactusroad_platform::replica::Source;

use super::{Ending, Opened, Relay};
use crate::{
    clock,
    events::Splitter,
    observe,
    record::{self, Event},
    rescue::Rescue,
};

/// How many pauses of the route's bound an engine may be silent after the first
/// event. A batch that computes several prompts pauses for one; an engine that is
/// silent for longer makes the stream late whether it lives or not.
const SILENT_PAUSES: u32 = 3;

impl Relay {
    /// Returns when an engine counts as silent. One that is preempted is silent
    /// for long and goes on, so without a copy there is nothing better than to wait.
    pub(super) fn silent_at(&self) -> Time {
        let has_copy = {
            let pool = self.job.shard.pool();
            let backup = self.run.backup.as_ref();
            backup.is_some_and(|backup| pool.holds_copy(&backup.id, clock::now()))
        };
        if self.events == 0 || !has_copy || self.has_tried_copy {
            return Time::MAX;
        }
        clock::now() + Duration::from_millis(self.job.route.pause_ms) * SILENT_PAUSES
    }

    /// Has the run copied if its engine is leaving and no copy can take over.
    pub(super) fn heed_leaving(&mut self) {
        let needs_rescue = {
            let pool = self.job.shard.pool();
            let has_copy = self
                .run
                .backup
                .as_ref()
                .is_some_and(|backup| !pool.is_leaving(&backup.id));
            let has_rescue = self.rescue.as_ref().is_some_and(Rescue::is_under_way);
            let is_leaving = pool.is_leaving(&self.run.endpoint.id);
            is_leaving && !has_copy && !has_rescue
        };
        if needs_rescue && !self.job.request.is_empty() {
            self.rescue = Some(Rescue::start(&self.job, &self.run.endpoint));
        }
    }

    /// Goes on from a copy after the engine was lost.
    pub(super) async fn recover(&mut self, loss: Loss, cause: &str) -> Result<(), Ending> {
        let lost_at = clock::now();
        self.reply = None;
        self.splitter = Splitter::default();
        if let Some(ticket) = self.ticket.take() {
            ticket.end(Outcome::Unreachable);
        }
        let loss_label: &str = loss.into();
        self.job
            .state
            .metrics
            .losses
            .with_label_values(&[loss_label])
            .inc();
        record::write(&Event::EngineLost {
            request: &self.job.request,
            endpoint: &self.run.endpoint.id,
            loss: loss_label,
            last_event: self.last_event.unwrap_or(0),
            cause,
        });
        let Some((endpoint, source)) = self.find_copy().await else {
            return Err(Ending::Lost);
        };
        if !self.job.shard.take_repeat(Use::Resume) {
            record::write(&Event::MoveFailed {
                request: &self.job.request,
                from: &self.run.endpoint.id,
                cause: "no_repeats_left",
            });
            return Err(Ending::Lost);
        }
        self.run.moves += 1;
        self.sends += 1;
        self.run.endpoint = endpoint;
        self.among = observe::candidates(&self.job.shard, &[], None).await;
        let address = source.address.to_string();
        match self.open(Some(source)).await {
            Opened::Reply if self.is_resumed() => {
                self.resumed(&address, lost_at);
                Ok(())
            }
            Opened::Reply | Opened::NotRun | Opened::Lost => Err(Ending::Lost),
        }
    }

    fn is_resumed(&self) -> bool {
        self.reply
            .as_ref()
            .is_some_and(|reply| reply.head.status.is_success())
    }

    /// Goes on from the copy of a run whose engine is silent, if the copy can be
    /// used; the engine is given up only then. It works on for a round trip
    /// longer, whose events are not read.
    pub(super) async fn hand_over(&mut self) {
        let silent_from = clock::now();
        self.has_tried_copy = true;
        let next = self.job.shard.pool().salvage(&self.run, silent_from);
        let Next::Resume(endpoint) = next else {
            return;
        };
        if !self.job.shard.take_repeat(Use::Resume) {
            return;
        }
        let source = self.source(endpoint.address, Arc::clone(&self.job.request));
        let old = (
            std::mem::replace(&mut self.run.endpoint, endpoint),
            self.run.backup.take(),
            self.copy.take(),
            self.reply.take(),
            self.ticket.take(),
        );
        self.sends += 1;
        let address = source.address.to_string();
        let opened = self.open(Some(source)).await;
        if matches!(opened, Opened::Reply) && self.is_resumed() {
            self.run.moves += 1;
            self.splitter = Splitter::default();
            self.has_tried_copy = false;
            self.resumed(&address, silent_from);
            return;
        }
        (
            self.run.endpoint,
            self.run.backup,
            self.copy,
            self.reply,
            self.ticket,
        ) = old;
    }

    fn resumed(&self, source: &str, lost_at: Time) {
        self.job.state.metrics.resumes.inc();
        record::write(&Event::Resumed {
            request: &self.job.request,
            endpoint: &self.run.endpoint.id,
            source,
            pause_ms: clock::millis_since(lost_at),
        });
    }

    /// Finds the copy to go on from: that of a move, or the one that grew with the run.
    async fn find_copy(&mut self) -> Option<(Arc<Endpoint>, Source)> {
        if let Some(found) = self
            .rescue
            .take()
            .and_then(|rescue| rescue.finish(&self.job))
        {
            let source = self.source(found.source, found.handle);
            return Some((found.target, source));
        }
        let next = self.job.shard.pool().salvage(&self.run, clock::now());
        match next {
            Next::Resume(endpoint) => {
                let source = self.source(endpoint.address, Arc::clone(&self.job.request));
                Some((endpoint, source))
            }
            Next::End(reason) => {
                record::write(&Event::MoveFailed {
                    request: &self.job.request,
                    from: &self.run.endpoint.id,
                    cause: reason.into(),
                });
                None
            }
        }
    }

    fn source(&self, address: SocketAddr, name: Arc<str>) -> Source {
        Source {
            address,
            name,
            last_event: Some(self.last_event.unwrap_or(0)),
        }
    }
}
