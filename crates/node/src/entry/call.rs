//! Runs calls to plain services for callers.
//!
//! A call on a non-idempotent route is dispatched at most once. If the connection
//! to the agent breaks, the entry asks the agent for the state of the attempt. It
//! retries only if the agent confirms that the call was not passed to the endpoint.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time, ledger,
    outlier::Outcome,
    refusal::{Effect, Kind, Refusal},
    retry::History,
};
use cactusroad_wire::message::{Answer, Call as Work, Open, open, reply, settled::State};
use tokio::time;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    Shared,
    attempt::{self, Session},
    directory::{Criteria, Target},
    guard,
    rollout::Recorder,
};
use crate::{
    clock,
    trace::{Span, SpanKind},
    transport::{Call, Error},
};

/// Timeout for asking an agent for the state of an interrupted call, in milliseconds.
const SETTLE_TIMEOUT_MS: u64 = 3_000;

/// The lowest HTTP status that reports a failure of the service.
const MIN_SERVER_ERROR_STATUS: u32 = 500;

/// A call to a plain service.
pub(super) struct Job {
    pub(super) route: Arc<str>,
    pub(super) version: Arc<str>,
    /// Records the attempts, if a rollout plan applies to the route.
    pub(super) recorder: Option<Recorder>,
    pub(super) workspace: Arc<str>,
    pub(super) weight: u32,
    pub(super) priority: u8,
    pub(super) deadline: Time,
    pub(super) idempotent: bool,
    pub(super) work: Work,
    pub(super) digest: Bytes,
    pub(super) span: Span,
    pub(super) config_generation: u64,
}

/// Runs a call and returns its answer.
///
/// # Errors
///
/// The effect of the refusal is [`Effect::NotRun`] only if no endpoint received the call.
pub(super) async fn run(shared: &Shared, job: &Job) -> Result<Answer, Refusal> {
    let streams = shared.metrics.open_streams.clone();
    streams.inc();
    let answer = run_attempts(shared, job).await;
    if let Err(refusal) = &answer {
        job.span.record_refusal(refusal);
    }
    streams.dec();
    answer
}

/// Returns the affinity key of a call that has an idempotency key.
///
/// Calls whose keys are in the same partition of the ledger go to the same agent,
/// which writes their claims together.
fn affinity_key(job: &Job) -> Option<u64> {
    let key = job.work.idempotency_key.as_str();
    if job.idempotent || key.is_empty() {
        return None;
    }
    let partition = ledger::partition_of(ledger::key(&job.route, &job.workspace, key));
    Some(xxh3_64(ledger::prefix(&job.route, partition).as_bytes()))
}

async fn run_attempts(shared: &Shared, job: &Job) -> Result<Answer, Refusal> {
    let key = affinity_key(job);
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut last = attempt::unavailable();
    let mut effect = Effect::NotRun;
    let mut history = History::new(job.idempotent, job.deadline);
    loop {
        if job.deadline.is_past(clock::now()) {
            last = attempt::deadline_exceeded(effect);
            break;
        }
        let criteria = Criteria {
            version: &job.version,
            tried: &tried,
            key,
        };
        let Some(target) = shared.directory.choose(&criteria, rand::random()) else {
            break;
        };
        if !tried.is_empty() {
            shared.metrics.retries.inc();
        }
        let name = target.endpoint.listed.name.clone();
        tried.push(name.clone());
        shared
            .guard
            .record_sent(&shared.directory, &job.route, &name);
        let sent_at = clock::now();
        if let Some(recorder) = &job.recorder {
            recorder.start_attempt(target.load);
        }
        let result = run_attempt(shared, job, target).await;
        let outcome = outcome(&result, sent_at);
        if let Some(recorder) = &job.recorder {
            if let Err(refusal) = &result {
                recorder.record_refusal(refusal, false, &name);
            }
            recorder.record_end(outcome);
        }
        shared
            .guard
            .record_end(&shared.directory, &job.route, &name, outcome);
        match result {
            Ok(answer) => return Ok(answer),
            Err(refusal) => last = refusal,
        }
        if last.effect != Effect::NotRun {
            effect = Effect::Unknown;
        }
        let is_over = !may_retry(job, &last)
            || shared
                .guard
                .spend_retry(&job.route, &mut history, &last)
                .is_err();
        if is_over {
            break;
        }
    }
    // An earlier attempt may have run even if the last one did not.
    if effect != Effect::NotRun && last.effect == Effect::NotRun {
        last = last.with_effect(effect);
    }
    Err(last)
}

/// Returns the outcome of a call for outlier detection.
///
/// An answer with a server error counts as a failure of the endpoint.
fn outcome(result: &Result<Answer, Refusal>, sent_at: Time) -> Outcome {
    match result {
        Ok(answer) if answer.status >= MIN_SERVER_ERROR_STATUS => Outcome::Failure,
        Ok(_) => {
            let latency = clock::now().since(sent_at).as_millis();
            Outcome::Success {
                latency_ms: u64::try_from(latency).unwrap_or(u64::MAX),
            }
        }
        Err(refusal) => guard::refusal_outcome(refusal, false),
    }
}

fn may_retry(job: &Job, refusal: &Refusal) -> bool {
    let may_help = matches!(
        refusal.kind,
        Kind::Overloaded | Kind::Unavailable | Kind::Draining | Kind::EndpointDied
    );
    may_help && (job.idempotent || refusal.effect == Effect::NotRun)
}

async fn run_attempt(shared: &Shared, job: &Job, target: Target) -> Result<Answer, Refusal> {
    let session = Session {
        shared,
        attempt: shared.new_attempt(),
        incarnation: target.endpoint.incarnation(),
        target,
        workspace: job.workspace.clone(),
        deadline: job.deadline,
    };
    let span = shared
        .tracer
        .span("attempt", SpanKind::Client, job.span.traceparent());
    span.set_attribute("endpoint", &session.target.endpoint.listed.name);
    span.set_attribute("attempt", session.attempt);
    let mut open = open_message(job, &session);
    open.traceparent = span.traceparent().to_owned();
    let answer = run_to_end(&session, open).await;
    if let Err(refusal) = &answer {
        span.record_refusal(refusal);
    }
    answer
}

/// Runs an attempt, reconnecting as needed, until its result is known.
async fn run_to_end(session: &Session<'_>, open: Open) -> Result<Answer, Refusal> {
    let mut call = match session.open(open).await {
        Ok(call) => Some(call),
        Err(Error::Unreachable { .. }) => return Err(attempt::unavailable()),
        Err(_) => None,
    };
    loop {
        if let Some(current) = call.take() {
            match read_replies(session, current).await {
                Some(answer) => return answer,
                None => log::debug!("a call lost its connection to the agent"),
            }
        }
        let until = (clock::now() + Duration::from_millis(SETTLE_TIMEOUT_MS)).min(session.deadline);
        match session.settle(until).await {
            Some(State::NotRun) => return Err(attempt::unavailable()),
            Some(State::Dispatched | State::Done) => {
                call = session.reattach(0, until).await;
                if call.is_none() {
                    return Err(connection_lost());
                }
            }
            Some(State::Unspecified) | None => return Err(connection_lost()),
        }
    }
}

fn open_message(job: &Job, session: &Session<'_>) -> Open {
    Open {
        attempt: Bytes::copy_from_slice(&session.attempt.to_bytes()),
        incarnation: session.incarnation.0,
        route: job.route.to_string(),
        version: job.version.to_string(),
        workspace: job.workspace.to_string(),
        deadline_micros: job.deadline.as_micros(),
        priority: u32::from(job.priority),
        traceparent: String::new(),
        config_generation: job.config_generation,
        digest: job.digest.clone(),
        suspect: false,
        weight: job.weight,
        work: Some(open::Work::Call(job.work.clone())),
    }
}

/// Reads the replies on one connection. Returns `None` if it breaks before the answer.
async fn read_replies(session: &Session<'_>, mut call: Call) -> Option<Result<Answer, Refusal>> {
    let deadline = clock::instant(session.deadline);
    loop {
        let reply = match time::timeout_at(deadline, call.receiver.next()).await {
            Ok(Ok(Some(reply))) => reply,
            Ok(_) => return None,
            Err(_) => return Some(Err(attempt::deadline_exceeded(Effect::Unknown))),
        };
        if !attempt::attempt_id(&reply).is_some_and(|attempt_id| session.matches(attempt_id)) {
            session.shared.metrics.mismatched_frames.inc();
            continue;
        }
        match reply.body {
            Some(reply::Body::Accepted(accepted)) => session.record_load(&accepted),
            Some(reply::Body::Answer(answer)) => return Some(Ok(answer)),
            Some(reply::Body::Refused(message)) => {
                return Some(Err(attempt::refusal(&message)));
            }
            _ => {}
        }
    }
}

fn connection_lost() -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::Unknown,
        "The endpoint became unreachable and may have run the request.",
        "Check whether the request ran before sending it again, or repeat it with the same idempotency key.",
    )
}
