//! Streaming requests.
//!
//! While a run is in progress, a second engine keeps a standby copy of it. When
//! the first engine is lost, the request resumes from the copy, after the last
//! event that the caller received; the caller sees a single stream. If an engine
//! announces that it is leaving and its run has no usable copy, the run is copied
//! to another engine beforehand and resumes there once its own engine is gone.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    pool::{Endpoint, Loss, Outcome, Purpose, Repeat, Run},
};
use cactusroad_platform::replica::{self, Fate, Reply, Source};
use http::{Response, StatusCode, response};
use tokio::{
    sync::{mpsc, watch},
    time::{sleep_until, timeout},
};

use crate::{
    clock,
    crash::Observation,
    events::{Event as StreamEvent, Splitter},
    job::{self, ANSWERED, CONNECT_TIMEOUT, Job, Summary},
    migration::Migration,
    observe, plain,
    record::{self, Event},
    reply::{self, Body, Truncated},
    state::{Admitted, CopyGuard, InFlight, Reservation, Use, time_left},
};

/// The maximum number of times that a request is sent while no engine runs it.
const MAX_SENDS: u32 = 5;

/// How long an engine may take to answer a request that resumes a run. It admits the request
/// before all others and computes only the tokens that its copy lacks.
const RESUME_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The number of events queued for a slow caller, in addition to the connection's
/// own buffer.
const MAX_QUEUED_EVENTS: usize = 16;

/// The memory that each stream may use whatever the others take: twice what is read at once,
/// because events that a slow caller delays arrive together.
const UNRESERVED_BYTES: usize = 64 << 10;

mod recover;
mod stop;
mod wait;

use stop::Stopping;
use wait::Place;

/// Why a stream ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum Ending {
    /// The last event was forwarded.
    Complete,
    /// The request's deadline passed.
    Deadline,
    /// The engine was lost and the run could not be resumed.
    Lost,
    /// The caller disconnected.
    CallerLeft,
}

/// Forwards the events of a run from its engine to the caller.
struct Relay {
    job: Job,
    run: Run,
    reply: Option<Reply>,
    in_flight: Option<InFlight>,
    /// The request at the engine of the first attempt, until it is sent, if it had to be
    /// admitted.
    admitted: Option<Admitted>,
    /// The reservation at the engine that keeps the standby copy.
    standby: Option<CopyGuard>,
    splitter: Splitter,
    /// The memory that the splitter takes beyond [`UNRESERVED_BYTES`].
    reservation: Reservation,
    /// The id of the last event that the caller has: the last forwarded one or, before it,
    /// the one after which the caller resumes the stream.
    last_event: Option<u64>,
    /// The number of forwarded events.
    events: u64,
    /// What the run shows of what crashes engines.
    observation: Observation,
    /// When the request was sent to its first engine.
    placed_at: Time,
    /// The time to the first event, in milliseconds.
    first_ms: u64,
    /// How often the request was sent.
    sends: u32,
    last_event_at: Time,
    /// The longest time between two events so far, in milliseconds.
    max_pause_ms: u64,
    /// Changes whenever an endpoint of the service starts to leave or is gone.
    leaving_changes: watch::Receiver<u64>,
    /// Whether a failover was not possible since the last event.
    has_no_failover: bool,
    /// The order to the engine to stop the run, while it is not decided.
    stopping: Option<Stopping>,
    /// Whether the engine was ordered to stop the run, and may have done so.
    is_stop_sent: bool,
    /// The migration that was started because the engine is leaving.
    migration: Option<Migration>,
    /// The engines that were probed for their load; the standby copy is placed on one
    /// of them.
    candidates: Vec<Arc<Endpoint>>,
}

/// Serves a streaming request.
pub(crate) async fn serve(mut job: Job) -> Response<Body> {
    let mut tried = Vec::new();
    loop {
        let Place {
            endpoint,
            candidates,
            admitted,
        } = match wait::place(&job, &tried).await {
            Ok(place) => place,
            Err(refusal) => return refusal,
        };
        tried.push(Arc::clone(&endpoint.id));
        let sends = u32::try_from(tried.len()).unwrap_or(u32::MAX);
        let mut relay = Relay::new(job, endpoint, candidates, sends);
        relay.admitted = admitted;
        match relay.open(None).await {
            Opened::Reply => return relay.answer().await,
            Opened::NotRun => {
                job = relay.job;
                let is_late = job.deadline.is_past(clock::now());
                if let Some(refusal) = job.refuse_crashing() {
                    return refusal;
                }
                if is_late || sends >= MAX_SENDS || !job.shard.spend_retry(Repeat::Retry) {
                    return job.refuse("endpoints_full");
                }
            }
            Opened::Lost => return relay.answer().await,
        }
    }
}

/// The result of sending a request to an engine.
enum Opened {
    /// The engine responded.
    Reply,
    /// The engine did not run the request.
    NotRun,
    /// The engine may have run the request, but did not respond.
    Lost,
}

impl Relay {
    fn new(job: Job, endpoint: Arc<Endpoint>, candidates: Vec<Arc<Endpoint>>, sends: u32) -> Relay {
        let leaving_changes = job.shard.leaving.subscribe();
        let reruns = if job.route.resume {
            job.route.attempts.saturating_sub(1)
        } else {
            0
        };
        let run = Run {
            endpoint,
            backup: None,
            moves: 0,
            crashes: 0,
            reruns,
            deadline: job.deadline,
        };
        Relay {
            run,
            reply: None,
            in_flight: None,
            admitted: None,
            standby: None,
            splitter: Splitter::default(),
            reservation: Reservation::new(&job.state, Use::Responses),
            last_event: job.last_event,
            events: 0,
            observation: Observation::default(),
            placed_at: clock::now(),
            first_ms: 0,
            sends,
            last_event_at: clock::now(),
            max_pause_ms: 0,
            leaving_changes,
            has_no_failover: false,
            stopping: None,
            is_stop_sent: false,
            migration: None,
            candidates,
            job,
        }
    }

    /// Sends the request to the run's engine, to resume from `source` if given.
    async fn open(&mut self, source: Option<Source>) -> Opened {
        self.place_standby();
        self.stopping = None;
        self.is_stop_sent = false;
        self.observation.begin();
        let endpoint = Arc::clone(&self.run.endpoint);
        let (admitted, snapshot) = self
            .admitted
            .take()
            .map(|admitted| (admitted.in_flight, admitted.snapshot))
            .unzip();
        record::write(&Event::Placed {
            request: &self.job.request_id,
            endpoint: &endpoint.id,
            backup: self.run.backup.as_ref().map(|backup| &*backup.id),
            attempt: self.sends,
            snapshot: snapshot.unwrap_or_else(|| self.job.shard.endpoint_snapshot(&endpoint.id)),
        });
        let in_flight = admitted.unwrap_or_else(|| {
            let (work, route) = (self.job.work, &self.job.route.name);
            self.job.shard.start(&endpoint, work, &self.job.vm, route)
        });
        observe::await_notice(&self.job.shard, &endpoint);
        let backup = self.run.backup.as_deref();
        let request = self
            .job
            .endpoint_request(&endpoint, backup, source, self.last_event);
        let sending = replica::send(&request, CONNECT_TIMEOUT.min(time_left(self.job.deadline)));
        // A resumed run that is silent can go on at the engine with its own standby copy.
        let is_bounded = request.source.is_some() && backup.is_some();
        let limit = if is_bounded {
            RESUME_TIMEOUT.min(time_left(self.job.deadline))
        } else {
            time_left(self.job.deadline)
        };
        let sent = timeout(limit, sending).await;
        if let Ok(Ok(reply)) = &sent {
            in_flight.record_head(reply);
        }
        let (outcome, opened, cause) = match sent {
            Ok(Ok(reply)) if !reply.is_not_run => {
                self.reply = Some(reply);
                self.in_flight = Some(in_flight);
                self.migrate_if_leaving();
                return Opened::Reply;
            }
            Ok(Ok(reply)) => (
                job::refusal(reply.head.status),
                Opened::NotRun,
                reply.head.status.to_string(),
            ),
            Ok(Err(cause)) if cause.fate() == Fate::NotRun => {
                (Outcome::Unreachable, Opened::NotRun, cause.to_string())
            }
            Ok(Err(cause)) => (Outcome::Broken, Opened::Lost, cause.to_string()),
            Err(_) if is_bounded => (Outcome::Unreachable, Opened::Lost, "silent".to_owned()),
            Err(_) => (Outcome::Cancelled, Opened::Lost, "deadline".to_owned()),
        };
        let fate = match opened {
            Opened::NotRun => Fate::NotRun,
            Opened::Reply | Opened::Lost => Fate::Unknown,
        };
        self.job
            .record_failed_attempt(&in_flight, outcome, fate, &cause);
        in_flight.end(outcome);
        if matches!(opened, Opened::NotRun) {
            self.drop_standby();
        }
        opened
    }

    /// Chooses the engine that keeps the standby copy, if the service uses them.
    fn place_standby(&mut self) {
        self.drop_standby();
        if !self.keeps_standbys() {
            return;
        }
        let criteria = self.job.criteria(&[], &self.candidates);
        let backup = self.job.shard.pool().backup(
            &self.run.endpoint.id,
            Purpose::Standby,
            &criteria,
            rand::random(),
            clock::now(),
        );
        if let Some(backup) = backup {
            self.standby = Some(self.job.shard.copy(&backup, self.job.work));
            self.run.backup = Some(backup);
        }
    }

    fn drop_standby(&mut self) {
        self.standby = None;
        self.run.backup = None;
    }

    /// Returns whether the engines of the service keep standby copies of runs.
    fn keeps_standbys(&self) -> bool {
        let site = self.job.state.site.load();
        let service = site
            .as_ref()
            .and_then(|site| site.service(&self.job.shard.service));
        service
            .and_then(|service| service.engine.as_ref())
            .is_some_and(|engine| engine.backups)
    }

    /// Waits for the first event, then starts the response to the caller.
    async fn answer(mut self) -> Response<Body> {
        self.rerun_after_failure().await;
        if let Some(reply) = &self.reply
            && !reply.head.status.is_success()
        {
            return self.forward_failure().await;
        }
        let mut head = self.reply.as_ref().map(|reply| reply.head.clone());
        let first = self.next_event().await;
        if let Some(reply) = &self.reply {
            head.get_or_insert_with(|| reply.head.clone());
        }
        match (first, head) {
            (Ok(first), Some(head)) => {
                self.first_ms = clock::millis_since(self.job.arrived_at);
                if self.job.claim.is_some() {
                    let took = clock::now().since(self.placed_at);
                    self.job.shard.pool().record_first_event(took);
                }
                self.job
                    .state
                    .metrics
                    .first_answer
                    .observe(self.first_ms as f64 / 1e3);
                self.forward_events(head, first)
            }
            (Ok(_), None) => self.fail(StatusCode::BAD_GATEWAY, "no_head"),
            (Err(Ending::Deadline), _) => self.fail(StatusCode::GATEWAY_TIMEOUT, "deadline"),
            (Err(Ending::Complete), Some(head)) => {
                let summary = self.summary();
                self.job.record_end(head.status, ANSWERED, &summary);
                Response::from_parts(head, Body::Whole(None))
            }
            (Err(ending), _) => self.fail(StatusCode::BAD_GATEWAY, ending.into()),
        }
    }

    /// Returns the figures of the request for the log.
    fn summary(&self) -> Summary<'_> {
        Summary {
            endpoint: &self.run.endpoint.id,
            attempts: self.sends,
            first_ms: self.first_ms,
            events: self.events,
            pause_ms: self.max_pause_ms,
        }
    }

    fn fail(&self, status: StatusCode, cause: &str) -> Response<Body> {
        self.job.fail(status, cause, &self.summary())
    }

    /// Forwards an error response of the engine.
    async fn forward_failure(mut self) -> Response<Body> {
        let Some(mut reply) = self.reply.take() else {
            return self.fail(StatusCode::BAD_GATEWAY, "lost");
        };
        let status = reply.head.status;
        if let Some(in_flight) = self.in_flight.take() {
            in_flight.end(Outcome::Failed);
        }
        let body = timeout(
            time_left(self.job.deadline),
            plain::read_response(&self.job.state, &mut reply.body, MAX_FAILURE_BYTES),
        )
        .await;
        match body {
            Ok(Ok(body)) if !reply::asserts_not_run(status) => {
                // A failure of its own does not show that the engine has run the request.
                if !status.is_server_error() {
                    self.record_sound();
                }
                self.job
                    .record_end(status, "endpoint_failed", &self.summary());
                Response::from_parts(reply.head, Body::Whole(Some(body)))
            }
            _ => self.fail(StatusCode::BAD_GATEWAY, "endpoint_failed"),
        }
    }

    /// Spawns a task that forwards events until the stream ends or the caller
    /// disconnects.
    fn forward_events(mut self, head: response::Parts, first: Bytes) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        let status = head.status;
        tokio::spawn(async move {
            let mut event = first;
            let ending = loop {
                if sender.send(Ok(event)).await.is_err() {
                    break Ending::CallerLeft;
                }
                let next = tokio::select! {
                    biased;
                    next = self.next_event() => next,
                    () = sender.closed() => Err(Ending::CallerLeft),
                };
                match next {
                    Ok(next) => event = next,
                    Err(ending) => break ending,
                }
            };
            if !matches!(ending, Ending::Complete | Ending::CallerLeft) {
                // Sending fails only if the caller has disconnected.
                let _ = sender.send(Err(Truncated)).await;
            }
            let outcome = if ending == Ending::Complete {
                ANSWERED
            } else {
                ending.into()
            };
            if let (Ending::Complete, Some(in_flight)) = (ending, self.in_flight.take()) {
                in_flight.end(Outcome::Answered {
                    latency_ms: self.first_ms,
                });
            }
            self.job.record_end(status, outcome, &self.summary());
        });
        Response::from_parts(head, Body::Events(receiver))
    }

    /// Returns the next event for the caller; switches to another engine if needed.
    async fn next_event(&mut self) -> Result<Bytes, Ending> {
        loop {
            while let Some(event) = self.splitter.next() {
                if self.is_new(&event) {
                    self.record_forwarded(&event);
                    return Ok(event.bytes);
                }
            }
            match self.read().await {
                Ok(Some(bytes)) => {
                    if let Err(cause) = self.buffer(&bytes) {
                        self.recover(Loss::Garbled, cause).await?;
                    }
                }
                Ok(None) if !self.splitter.take_rest().is_empty() => {
                    self.recover(Loss::Broken, "the last event is cut").await?;
                }
                Ok(None) if self.may_be_cut() => {
                    self.recover(Loss::Broken, "the connection ended before the last event")
                        .await?;
                }
                Ok(None) => {
                    self.record_sound();
                    return Err(Ending::Complete);
                }
                Err(Interruption::Deadline) => return Err(Ending::Deadline),
                Err(Interruption::Silent) => self.fail_over_if_possible().await?,
                Err(Interruption::Loss(loss, cause)) => self.recover(loss, &cause).await?,
            }
        }
    }

    /// Keeps bytes until their event is complete. While an event is incomplete, all but a
    /// small part counts against the memory for responses.
    fn buffer(&mut self, bytes: &[u8]) -> Result<(), &'static str> {
        // Reserved before it is taken: many streams that take too much for a moment only
        // would scatter what is freed over the heap, which then stays as large.
        let held = self.splitter.held_bytes_with(bytes.len());
        if !self
            .reservation
            .resize(held.saturating_sub(UNRESERVED_BYTES))
        {
            return Err("the responses being read take all memory");
        }
        self.splitter
            .push(bytes)
            .map_err(|_| "an event does not end")
    }

    /// Returns whether an answer that ended between two events may have been cut: only the end
    /// of the connection marks its end, and it has no event or its engine may have been stopped.
    fn may_be_cut(&self) -> bool {
        let is_suspect = self.events == 0 || self.is_stop_sent;
        is_suspect && self.reply.as_ref().is_some_and(|reply| !reply.is_framed)
    }

    /// Returns whether the caller has not yet received an event.
    fn is_new(&self, event: &StreamEvent) -> bool {
        match (event.id, self.last_event) {
            (Some(id), Some(last)) => id > last,
            _ => true,
        }
    }

    /// Updates the counters and the pause metrics for a forwarded event.
    fn record_forwarded(&mut self, event: &StreamEvent) {
        let now = clock::now();
        if self.events > 0 {
            let pause = now.since(self.last_event_at);
            self.job.state.metrics.pause.observe(pause.as_secs_f64());
            let pause_ms = u64::try_from(pause.as_millis()).unwrap_or(u64::MAX);
            self.max_pause_ms = self.max_pause_ms.max(pause_ms);
        }
        self.last_event_at = now;
        self.events += 1;
        if self.events == 1 {
            self.job.record_start(now);
        }
        self.observation.record_event(&self.job);
        self.last_event = event.id.or(self.last_event);
        self.has_no_failover = false;
        self.stopping = None;
        if let Some(in_flight) = &mut self.in_flight {
            in_flight.record_answer();
        }
    }

    /// Records that the run is complete, so that it does not crash engines.
    fn record_sound(&mut self) {
        self.observation.record_end(&self.job);
    }

    /// Reads bytes from the engine. Starts a migration if the engine announces
    /// meanwhile that it is leaving.
    async fn read(&mut self) -> Result<Option<Bytes>, Interruption> {
        let deadline = clock::instant(self.job.deadline);
        let silence_deadline = self.silence_deadline();
        loop {
            let Some(reply) = &mut self.reply else {
                return Err(Interruption::Loss(
                    Loss::Broken,
                    "there was no answer".to_owned(),
                ));
            };
            tokio::select! {
                biased;
                read = reply.body.next() => {
                    return read.map_err(|cause| Interruption::Loss(Loss::Broken, cause.to_string()));
                }
                changed = self.leaving_changes.changed() => {
                    if changed.is_ok() {
                        self.migrate_if_leaving();
                    }
                }
                () = sleep_until(deadline) => return Err(Interruption::Deadline),
                () = sleep_until(clock::instant(silence_deadline)) => {
                    return Err(Interruption::Silent);
                }
            }
        }
    }
}

/// The maximum size of an error response's body that is forwarded.
const MAX_FAILURE_BYTES: usize = 1 << 20;

/// Why reading from the engine stopped.
enum Interruption {
    /// The request's deadline passed.
    Deadline,
    /// The engine sent nothing for too long, but may still be running.
    Silent,
    /// The engine is lost; holds the kind of loss and its cause.
    Loss(Loss, String),
}
