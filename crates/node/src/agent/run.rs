//! Runs one attempt at the endpoint.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_adapter::{
    engine::{self, Engine, Event, Prompt},
    service::{self, Service},
};
use cactusroad_core::{
    Time,
    crash::Suspect,
    digest::Digest,
    id::Attempt,
    ledger::{self as core_ledger, Claim},
    refusal::{Effect, Kind, Refusal},
};
use cactusroad_wire::message::{Call, Generate, Header, Open, open};
use futures_util::StreamExt;
use http::Request;
use tokio::time;

use super::{
    Backend, Shared, crash,
    gate::{Job, Permit},
    ledger::{self, Grant, Verdict},
    slot::{Answer, Outcome, Slot},
};
use crate::{clock, trace::SpanKind};

/// How long an engine may send nothing before the stream is resumed over a new connection, in
/// milliseconds.
const ENGINE_SILENCE_TIMEOUT_MS: u64 = 3_000;
/// The largest number of streams of a generation that fail one after the other without a token.
const MAX_FAILED_STREAMS: u32 = 3;
/// How long to wait for the engine's load report after a generation failed, in milliseconds.
const LOAD_TIMEOUT_MS: u64 = 500;
/// The header of the W3C Trace Context.
const TRACEPARENT_HEADER: &str = "traceparent";
/// The estimated number of bytes of prompt text per token.
const BYTES_PER_TOKEN: u64 = 4;

/// Runs an attempt to its outcome: claims its key, queues it and sends it to the endpoint.
pub(super) async fn attempt<E: Engine, S: Service>(
    shared: Arc<Shared<E, S>>,
    slot: Arc<Slot>,
    open: Open,
) {
    let outcome = match claim(&shared, &slot, &open).await {
        Ok(Claimed::NoKey) => dispatch(&shared, &slot, open, None).await,
        Ok(Claimed::Grant(grant)) => dispatch(&shared, &slot, open, Some(grant)).await,
        Ok(Claimed::Replay(answer)) => Outcome::Answer(answer),
        Err(refusal) => refused(refusal),
    };
    if let Outcome::Refused { refusal, .. } = &outcome {
        let labels: [&str; 2] = [refusal.kind.into(), refusal.effect.into()];
        shared.metrics.refusals.with_label_values(&labels).inc();
    }
    slot.finish(outcome);
}

/// Runs an attempt and then settles or releases its key, if it has one.
async fn dispatch<E: Engine, S: Service>(
    shared: &Shared<E, S>,
    slot: &Slot,
    open: Open,
    mut grant: Option<Grant>,
) -> Outcome {
    let outcome = match execute(shared, slot, open, grant.as_mut()).await {
        Ok(outcome) => outcome,
        Err(refusal) => refused(refusal),
    };
    // The key is released before the refusal is returned, because the caller may then retry
    // with the same key at another agent.
    if let Some(grant) = grant {
        settle_claim(grant, &outcome).await;
    }
    outcome
}

/// Waits for crash screening and capacity, runs an attempt, and records whether it crashed.
///
/// # Errors
///
/// Fails with [`Effect::NotRun`] if the attempt was not sent to the endpoint.
async fn execute<E: Engine, S: Service>(
    shared: &Shared<E, S>,
    slot: &Slot,
    open: Open,
    grant: Option<&mut Grant>,
) -> Result<Outcome, Refusal> {
    let job = job(slot.attempt, &open);
    let suspects = match &open.work {
        Some(open::Work::Generate(work)) => crash::suspects(&work.prefixes),
        _ => Vec::new(),
    };
    shared.crashes.check(&suspects)?;
    let digest = Digest::from_bytes(&open.digest).unwrap_or_else(|| Digest::of(&[&open.digest]));
    let admitted = shared.blame.admit(digest, open.suspect, job.deadline);
    let mut guard = admitted.await?;
    let permit = {
        let _queue = shared
            .tracer
            .span("queue", SpanKind::Internal, &open.traceparent);
        wait_for_permit(shared, slot, &job).await?
    };
    guard.start()?;
    shared.crashes.check(&suspects)?;
    if !slot.dispatch() {
        return Err(cancelled(Effect::NotRun));
    }
    if let Some(grant) = grant {
        grant.mark_dispatched();
    }
    let incarnation_before = shared.engine_incarnation();
    let span = shared
        .tracer
        .span("endpoint", SpanKind::Client, &open.traceparent);
    let run = Run {
        shared,
        slot,
        deadline: job.deadline,
        permit,
        suspects: &suspects,
    };
    let outcome = match (&shared.backend, open.work) {
        (Backend::Model(engine), Some(open::Work::Generate(work))) => {
            let prompt = prompt(slot, &open.version, open.priority, &work);
            run.generate(engine, &prompt).await
        }
        (Backend::Service(service), Some(open::Work::Call(mut work))) => {
            set_traceparent(&mut work.headers, span.traceparent());
            run.call(service, work).await
        }
        _ => refused(wrong_kind()),
    };
    if let Outcome::Refused { refusal, .. } = &outcome {
        span.record_refusal(refusal);
    }
    drop(span);
    match &outcome {
        Outcome::End { .. } | Outcome::Answer(_) => guard.finish(),
        Outcome::Refused {
            endpoint_died: true,
            ..
        } if has_crashed(shared, incarnation_before).await => {
            if slot.next_index() < crash::ANSWERED_TOKENS {
                shared.crashes.record_crash(&suspects, incarnation_before);
            }
            guard.record_crash().await;
        }
        // The request did not run to its end, so whether it crashes the endpoint is unknown.
        Outcome::Refused { .. } => drop(guard),
    }
    Ok(outcome)
}

/// Returns whether the endpoint crashed, rather than a single connection to it.
///
/// A plain service reports no incarnation, so a failed call counts as a crash.
async fn has_crashed<E: Engine, S: Service>(
    shared: &Shared<E, S>,
    incarnation_before: Option<u64>,
) -> bool {
    let Backend::Model(engine) = &shared.backend else {
        return true;
    };
    let wait = Duration::from_millis(LOAD_TIMEOUT_MS);
    match time::timeout(wait, engine.load()).await {
        Ok(Ok(load)) => Some(load.incarnation) != incarnation_before,
        _ => true,
    }
}

/// The result of claiming the key of an attempt.
enum Claimed {
    /// The attempt has no key or does not need one.
    NoKey,
    /// The key is claimed for the attempt.
    Grant(Grant),
    /// A request with the key ran before; this is its answer.
    Replay(Answer),
}

/// Claims the idempotency key of an attempt if it must run at most once.
async fn claim<E: Engine, S: Service>(
    shared: &Shared<E, S>,
    slot: &Slot,
    open: &Open,
) -> Result<Claimed, Refusal> {
    let Some(open::Work::Call(call)) = &open.work else {
        return Ok(Claimed::NoKey);
    };
    if !call.once || call.idempotency_key.is_empty() {
        return Ok(Claimed::NoKey);
    }
    let workspace = &open.workspace;
    let claim = Claim {
        key: core_ledger::key(&open.route, workspace, &call.idempotency_key),
        body: Digest::from_bytes(&open.digest).unwrap_or_else(|| Digest::of(&[&call.body])),
        attempt: slot.attempt,
        deadline: Time::from_micros(open.deadline_micros),
    };
    match shared.ledger.claim(&open.route, claim).await? {
        Verdict::Dispatch(grant) => Ok(Claimed::Grant(grant)),
        Verdict::Replay(stored) => ledger::read_answer(&stored).map(Claimed::Replay),
    }
}

/// Settles or releases a claimed key according to the outcome of the attempt.
async fn settle_claim(grant: Grant, outcome: &Outcome) {
    match outcome {
        Outcome::Answer(answer) => grant.settle(Some(ledger::write_answer(answer))),
        Outcome::End { .. } => grant.settle(None),
        Outcome::Refused { refusal, .. } => match refusal.effect {
            Effect::NotRun => grant.release().await,
            Effect::Ran => grant.settle(None),
            // The key stays claimed, and a retry receives `unknown`.
            Effect::Unknown => drop(grant),
        },
    }
}

async fn wait_for_permit<E: Engine, S: Service>(
    shared: &Shared<E, S>,
    slot: &Slot,
    job: &Job,
) -> Result<Permit, Refusal> {
    let mut changes = slot.changes();
    let mut acquiring = std::pin::pin!(shared.gate.acquire(job));
    loop {
        changes.borrow_and_update();
        if slot.is_abandoned(clock::now()) {
            return Err(cancelled(Effect::NotRun));
        }
        let abandon_at = slot.abandon_at().unwrap_or(Time::MAX);
        tokio::select! {
            permit = &mut acquiring => return permit,
            _ = changes.changed() => {}
            () = time::sleep_until(clock::instant(abandon_at)) => {}
        }
    }
}

fn job(attempt: Attempt, open: &Open) -> Job {
    let (prompt_bytes, max_tokens) = match &open.work {
        Some(open::Work::Generate(work)) => (work.prompt.len() as u64, work.max_tokens),
        _ => (0, 0),
    };
    let prompt_tokens = prompt_bytes.div_ceil(BYTES_PER_TOKEN);
    Job {
        attempt,
        route: open.route.as_str().into(),
        version: open.version.as_str().into(),
        workspace: open.workspace.as_str().into(),
        weight: open.weight.max(1),
        priority: u8::try_from(open.priority).unwrap_or(u8::MAX),
        prompt_tokens: u32::try_from(prompt_tokens).unwrap_or(u32::MAX),
        max_tokens,
        deadline: Time::from_micros(open.deadline_micros),
    }
}

fn prompt(slot: &Slot, version: &str, priority: u32, work: &Generate) -> Prompt {
    Prompt {
        generation: slot.attempt,
        version: version.into(),
        text: work.prompt.as_str().into(),
        max_tokens: work.max_tokens,
        priority: u8::try_from(priority).unwrap_or(u8::MAX),
    }
}

/// An attempt that was dispatched to the endpoint.
struct Run<'a, E, S> {
    shared: &'a Shared<E, S>,
    slot: &'a Slot,
    deadline: Time,
    permit: Permit,
    /// What the prompt may crash the engine by.
    suspects: &'a [Suspect],
}

/// Counts the streams of a generation that fail one after the other without a token.
#[derive(Debug, Default)]
struct Failures {
    count: u32,
    /// The index of the next token at the last failure.
    next_index: u64,
}

impl Failures {
    /// Records a failure. Returns whether there were too many.
    fn record(&mut self, next_index: u64) -> bool {
        let has_progressed = next_index != self.next_index;
        self.count = if has_progressed { 1 } else { self.count + 1 };
        self.next_index = next_index;
        self.count > MAX_FAILED_STREAMS
    }
}

/// What ended the wait for the next event of a generation.
enum Wakeup {
    Event(Result<Event, engine::Error>),
    Silent,
    Abandoned,
    Deadline,
}

impl<E: Engine, S: Service> Run<'_, E, S> {
    async fn generate(&self, engine: &E, prompt: &Prompt) -> Outcome {
        let started = time::timeout_at(clock::instant(self.deadline), engine.generate(prompt));
        let mut tokens = match started.await {
            Ok(Ok(tokens)) => tokens,
            Ok(Err(engine::Error::Unreachable | engine::Error::Refused)) => {
                return refused(endpoint_unavailable());
            }
            Ok(Err(_)) => return self.record_endpoint_death(),
            Err(_) => return self.cancel_generation(engine, deadline_exceeded()).await,
        };
        let mut failures = Failures::default();
        loop {
            match self.next_wakeup(&mut tokens).await {
                Wakeup::Event(Ok(event)) => {
                    if let Some(outcome) = self.handle_event(event) {
                        return outcome;
                    }
                }
                Wakeup::Event(Err(_)) if failures.record(self.slot.next_index()) => {
                    self.stop_generation(engine).await;
                    return self.record_endpoint_death();
                }
                Wakeup::Event(Err(_)) | Wakeup::Silent => {
                    let next = self.slot.next_index();
                    match engine.resume(self.slot.attempt, next).await {
                        Ok(resumed) => tokens = resumed,
                        Err(_) => return self.record_endpoint_death(),
                    }
                }
                Wakeup::Abandoned => {
                    return self
                        .cancel_generation(engine, cancelled(Effect::Unknown))
                        .await;
                }
                Wakeup::Deadline => {
                    return self.cancel_generation(engine, deadline_exceeded()).await;
                }
            }
        }
    }

    async fn next_wakeup(&self, tokens: &mut E::Tokens) -> Wakeup {
        let mut changes = self.slot.changes();
        let deadline = clock::instant(self.deadline);
        let silence = time::sleep(Duration::from_millis(ENGINE_SILENCE_TIMEOUT_MS));
        let mut silence = std::pin::pin!(silence);
        loop {
            changes.borrow_and_update();
            if self.slot.is_abandoned(clock::now()) {
                return Wakeup::Abandoned;
            }
            // A full buffer stops reading from the engine, which applies backpressure to it.
            let is_open = !self.slot.is_full();
            let abandon_at = self.slot.abandon_at().unwrap_or(Time::MAX);
            tokio::select! {
                event = tokens.next(), if is_open => {
                    return Wakeup::Event(event.unwrap_or(Err(engine::Error::Interrupted)));
                }
                _ = changes.changed() => {}
                () = time::sleep_until(clock::instant(abandon_at)) => {}
                () = &mut silence => {
                    if is_open {
                        return Wakeup::Silent;
                    }
                    silence.as_mut().reset(
                        time::Instant::now() + Duration::from_millis(ENGINE_SILENCE_TIMEOUT_MS)
                    );
                }
                () = time::sleep_until(deadline) => return Wakeup::Deadline,
            }
        }
    }

    /// Handles one event; returns the outcome if it was the last.
    fn handle_event(&self, event: Event) -> Option<Outcome> {
        match event {
            Event::Token {
                generation,
                index,
                text,
            } => {
                let is_next = generation == self.slot.attempt && index == self.slot.next_index();
                if !is_next {
                    self.shared.metrics.mismatched_frames.inc();
                    return None;
                }
                self.permit.record_token();
                self.shared.metrics.tokens.inc();
                self.slot.push(text);
                if index + 1 == crash::ANSWERED_TOKENS {
                    self.shared.crashes.record_answer(self.suspects);
                }
                None
            }
            Event::End {
                generation,
                count,
                reason,
            } => {
                let is_complete =
                    generation == self.slot.attempt && count == self.slot.next_index();
                if !is_complete {
                    return Some(self.record_endpoint_death());
                }
                self.permit.mark_complete();
                if count < crash::ANSWERED_TOKENS {
                    self.shared.crashes.record_answer(self.suspects);
                }
                Some(Outcome::End { count, reason })
            }
        }
    }

    async fn stop_generation(&self, engine: &E) {
        if let Err(cause) = engine.cancel(self.slot.attempt).await {
            log::warn!("failed to cancel a generation at the engine: {cause}");
        }
    }

    async fn cancel_generation(&self, engine: &E, refusal: Refusal) -> Outcome {
        self.stop_generation(engine).await;
        self.shared.metrics.cancelled.inc();
        refused(refusal)
    }

    fn record_endpoint_death(&self) -> Outcome {
        self.shared.metrics.endpoint_deaths.inc();
        Outcome::Refused {
            refusal: Refusal::new(
                Kind::EndpointDied,
                Effect::Unknown,
                "The endpoint died while it ran the request.",
                "Send the request again if it is safe to run it twice.",
            ),
            endpoint_died: true,
        }
    }

    async fn call(&self, service: &S, call: Call) -> Outcome {
        let request = match request(call) {
            Ok(request) => request,
            Err(refusal) => return refused(refusal),
        };
        let answered = time::timeout_at(clock::instant(self.deadline), service.call(request));
        match answered.await {
            Ok(Ok(response)) => Outcome::Answer(answer(response)),
            Ok(Err(service::Error::Unreachable)) => refused(endpoint_unavailable()),
            Ok(Err(service::Error::TooLarge)) => refused(Refusal::new(
                Kind::TooLarge,
                Effect::Ran,
                "The response of the service exceeds the size limit.",
                "Request a smaller response.",
            )),
            Ok(Err(cause @ service::Error::InvalidStatus(_))) => refused(Refusal::new(
                Kind::Unavailable,
                Effect::Unknown,
                cause.to_string(),
                "Send the request again if it is safe to run it twice.",
            )),
            Ok(Err(service::Error::Interrupted)) => self.record_endpoint_death(),
            Err(_) => refused(deadline_exceeded()),
        }
    }
}

/// Replaces the trace context, so that the service's spans belong to the trace of the caller.
fn set_traceparent(headers: &mut Vec<Header>, traceparent: &str) {
    headers.retain(|header| !header.name.eq_ignore_ascii_case(TRACEPARENT_HEADER));
    if !traceparent.is_empty() {
        headers.push(Header {
            name: TRACEPARENT_HEADER.to_owned(),
            value: Bytes::copy_from_slice(traceparent.as_bytes()),
        });
    }
}

fn request(call: Call) -> Result<Request<Bytes>, Refusal> {
    let mut builder = Request::builder()
        .method(call.method.as_str())
        .uri(call.path.as_str());
    for header in &call.headers {
        builder = builder.header(header.name.as_str(), &header.value[..]);
    }
    if !call.idempotency_key.is_empty() {
        builder = builder.header("idempotency-key", call.idempotency_key.as_str());
    }
    builder.body(call.body).map_err(|_| {
        Refusal::new(
            Kind::BadRequest,
            Effect::NotRun,
            "The method, path or a header of the request is invalid.",
            "Correct the method, path or header.",
        )
    })
}

/// Headers of a single connection, which are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 6] = [
    "connection",
    "content-length",
    "keep-alive",
    "te",
    "transfer-encoding",
    "upgrade",
];

fn answer(response: http::Response<Bytes>) -> Answer {
    let (parts, body) = response.into_parts();
    let headers = parts
        .headers
        .iter()
        .filter(|(name, _)| !HOP_BY_HOP_HEADERS.contains(&name.as_str()))
        .map(|(name, value)| {
            let value = Bytes::copy_from_slice(value.as_bytes());
            (Arc::from(name.as_str()), value)
        })
        .collect();
    Answer {
        status: parts.status.as_u16(),
        headers,
        body,
        replayed: false,
    }
}

fn refused(refusal: Refusal) -> Outcome {
    Outcome::Refused {
        refusal,
        endpoint_died: false,
    }
}

fn cancelled(effect: Effect) -> Refusal {
    Refusal::new(
        Kind::Cancelled,
        effect,
        "The request was cancelled, or its caller disconnected.",
        "Send the request again if the result is still needed.",
    )
}

fn deadline_exceeded() -> Refusal {
    Refusal::new(
        Kind::DeadlineExceeded,
        Effect::Unknown,
        "The deadline passed while the endpoint ran the request.",
        "Send the request with a later deadline, or request less.",
    )
}

fn endpoint_unavailable() -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::NotRun,
        "The endpoint cannot be reached or does not accept the request.",
        "Send the request to another endpoint.",
    )
}

fn wrong_kind() -> Refusal {
    Refusal::new(
        Kind::BadRequest,
        Effect::NotRun,
        "The endpoint does not serve this kind of route.",
        "Check the kind of the route in the configuration.",
    )
}
