//! Requests with a single, non-streaming response.
//!
//! A non-idempotent request is retried only if it certainly was not run. An
//! idempotent request is also hedged: it is sent to a second endpoint if the first
//! one has not responded within a share of the target latency. The first complete
//! response that is not a server error wins, and dropping the connection cancels the
//! other attempt.
//!
//! Endpoints of small services are judged by the calls that they leave unanswered; see
//! [`Pool::judge`](cactusroad_core::pool::Pool::judge).

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    pool::{Endpoint, Judgement, Notice, Outcome, Refusal, Repeat},
    site::Kind,
};
use cactusroad_platform::replica::{self, Fate};
use futures_util::{StreamExt, stream::FuturesUnordered};
use http::{Response, StatusCode, response};
use tokio::time::sleep_until;

use crate::{
    clock, crash,
    job::{self, ANSWERED, CONNECT_TIMEOUT, Job, Summary},
    record::{self, Event},
    reply::{self, Body},
    state::{Reservation, Shard, State, Use, time_left},
};

/// The maximum size of a response that is buffered.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// The maximum number of times that a request is sent, whether or not it is run:
/// one for each endpoint of a small service and a few more. Each failed send uses up
/// part of the time until the deadline.
const MAX_SENDS: u32 = 5;

/// The share of the target latency after which a request is hedged.
const HEDGE_DELAY_SHARE: f64 = 0.5;

/// The largest random factor on the time until capacity is expected.
const RETRY_AFTER_SPREAD: f64 = 1.5;

/// The minimum time left until the deadline for another attempt.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// The result of one attempt.
#[derive(Debug)]
enum Attempt {
    /// The endpoint's complete response.
    Answer(Box<response::Parts>, Bytes),
    /// The request did not reach the endpoint, so it was not run.
    Unsent,
    /// The endpoint refused the request and did not run it.
    Refused,
    /// The request may have run, but there is no response.
    Unknown,
}

/// The state of a request over all of its attempts.
#[derive(Debug, Default)]
struct Progress {
    tried: Vec<Arc<str>>,
    sends: u32,
    /// The number of endpoints that may have run the request.
    executions: u32,
    /// The endpoints that may have run the request or still run it, and when it was sent. The
    /// first one counts for the report of usage.
    starts: Vec<(Arc<str>, Time)>,
    /// The last error response of an endpoint.
    failure: Option<(Box<response::Parts>, Bytes)>,
    refusal: Option<Refusal>,
}

/// Serves a request that is not streamed.
pub(crate) async fn serve(job: &Job) -> Response<Body> {
    let mut progress = Progress::default();
    let mut in_flight = FuturesUnordered::new();
    match choose_next(job, &mut progress) {
        Ok(endpoint) => {
            record_start(job, &mut progress, &endpoint);
            in_flight.push(attempt(job, endpoint, progress.sends));
        }
        Err(refusal) => return refuse(job, refusal.into()),
    }
    let target_latency = Duration::from_millis(job.route.target_latency_ms);
    let mut hedge_at = job.arrived_at + target_latency.mul_f64(HEDGE_DELAY_SHARE);
    let mut may_hedge = job.route.kind == Kind::Idempotent;
    loop {
        tokio::select! {
            biased;
            Some((endpoint, result)) = in_flight.next() => {
                if let Some(response) = finish_attempt(job, &mut progress, &endpoint, result) {
                    return response;
                }
                if let Some(endpoint) = choose_retry(job, &mut progress, in_flight.len()) {
                    record_start(job, &mut progress, &endpoint);
                    in_flight.push(attempt(job, endpoint, progress.sends));
                } else if in_flight.is_empty() {
                    return answer_exhausted(job, progress);
                }
            }
            () = sleep_until(clock::instant(hedge_at)), if may_hedge => {
                if let Some(endpoint) = choose_retry(job, &mut progress, in_flight.len()) {
                    may_hedge = false;
                    record_start(job, &mut progress, &endpoint);
                    in_flight.push(attempt(job, endpoint, progress.sends));
                } else {
                    // The retry budget may allow a hedge later. It matters only if the
                    // endpoint is not expected to answer.
                    // Without another endpoint, asking again would only spend retries.
                    may_hedge = progress.refusal.is_none() && is_last_silent(job, &progress);
                    let delay = target_latency.mul_f64(HEDGE_DELAY_SHARE);
                    hedge_at = clock::now() + delay.max(MIN_ATTEMPT_TIME);
                }
            }
            () = sleep_until(clock::instant(job.deadline)) => {
                let summary = Summary { attempts: progress.sends, ..Summary::default() };
                return job.fail(StatusCode::GATEWAY_TIMEOUT, "deadline", &summary);
            }
        }
    }
}

/// Records that the request is being sent to an endpoint, which may run it from now on.
fn record_start(job: &Job, progress: &mut Progress, endpoint: &Endpoint) {
    if job.state.duty.is_none() {
        return;
    }
    let now = clock::now();
    if progress.starts.is_empty() {
        job.record_start(now);
    }
    progress.starts.push((Arc::clone(&endpoint.id), now));
}

/// Records that an endpoint has not run the request. If it counted, the next one does.
fn retract_start(job: &Job, progress: &mut Progress, endpoint: &Endpoint) {
    let place = progress
        .starts
        .iter()
        .position(|(id, _)| *id == endpoint.id);
    let Some(index) = place else {
        return;
    };
    let (_, at) = progress.starts.remove(index);
    if index == 0 {
        job.retract_start(at);
        if let Some((_, next)) = progress.starts.first() {
            job.record_start(*next);
        }
    }
}

/// Chooses an endpoint that was not tried yet.
fn choose_next(job: &Job, progress: &mut Progress) -> Result<Arc<Endpoint>, Refusal> {
    let criteria = job.criteria(&progress.tried, &[]);
    judge(job);
    let trial = job
        .shard
        .pool()
        .trial(&criteria, may_repeat(job), clock::now());
    let endpoint = match trial {
        Some(endpoint) => {
            job.state.metrics.trials.inc();
            endpoint
        }
        None => job.shard.choose(&criteria)?,
    };
    progress.tried.push(Arc::clone(&endpoint.id));
    progress.sends += 1;
    Ok(endpoint)
}

/// Returns whether the request may be sent again when it may have run.
fn may_repeat(job: &Job) -> bool {
    job.route.kind == Kind::Idempotent && job.route.attempts > 1
}

/// Returns whether the endpoint that was chosen last leaves calls unanswered.
fn is_last_silent(job: &Job, progress: &Progress) -> bool {
    judge(job);
    let last = progress.tried.last();
    last.is_some_and(|id| job.shard.pool().is_silent(id))
}

/// Judges the endpoints of the service by their calls; logs and counts what changes.
fn judge(job: &Job) {
    let service = &job.shard.service;
    let notices = job.shard.pool().judge(clock::now());
    for Notice { endpoint, change } in &notices {
        let label: &str = change.into();
        let judgements = &job.state.metrics.judgements;
        judgements.with_label_values(&[label]).inc();
        record::write(&match *change {
            Judgement::Silent {
                late,
                answered,
                oldest_ms,
                usual_ms,
                pause_ms,
            } => Event::EndpointSilent {
                endpoint,
                service,
                late,
                answered,
                oldest_ms,
                usual_ms,
                pause_ms,
            },
            Judgement::Restored => Event::EndpointRestored { endpoint, service },
            Judgement::Limit {
                limit,
                running,
                latency_ms,
                lowest_ms,
            } => Event::LimitChanged {
                endpoint,
                service,
                limit,
                running,
                latency_ms,
                lowest_ms,
            },
        });
    }
}

/// Refuses the request. The caller is told to retry when capacity is expected, if that is
/// known; the random factor keeps callers that were refused together apart.
fn refuse(job: &Job, cause: &str) -> Response<Body> {
    let now = clock::now();
    let (drain, paused_until) = {
        let mut pool = job.shard.pool();
        (pool.record_refusal(now), pool.paused_until(now))
    };
    let Some(drain) = drain else {
        return job.refuse(cause);
    };
    let pause = paused_until.map_or(Duration::ZERO, |until| until.since(now));
    let spread = rand::random_range(1.0..RETRY_AFTER_SPREAD);
    job.refuse_for(cause, pause + drain.mul_f64(spread))
}

/// A call in flight, by which its endpoint is judged. Dropping it counts as a cancellation.
struct Call {
    shard: Arc<Shard>,
    endpoint: Arc<str>,
    route: Arc<str>,
    sent_at: Time,
    outcome: Outcome,
}

impl Call {
    fn start(job: &Job, endpoint: &Endpoint, sent_at: Time) -> Call {
        let target = Duration::from_millis(job.route.target_latency_ms);
        let (shard, route) = (Arc::clone(&job.shard), Arc::clone(&job.route.name));
        shard
            .pool()
            .record_call_start(&endpoint.id, &route, target, sent_at);
        Call {
            shard,
            endpoint: Arc::clone(&endpoint.id),
            route,
            sent_at,
            outcome: Outcome::Cancelled,
        }
    }
}

impl Drop for Call {
    fn drop(&mut self) {
        self.shard.pool().record_call_end(
            &self.endpoint,
            &self.route,
            self.sent_at,
            self.outcome,
            clock::now(),
        );
    }
}

/// Chooses an endpoint for a retry or a hedge, if another attempt is allowed.
/// Attempts in flight count as executions.
fn choose_retry(job: &Job, progress: &mut Progress, in_flight: usize) -> Option<Arc<Endpoint>> {
    let executions = progress.executions + u32::try_from(in_flight).unwrap_or(u32::MAX);
    let may_retry = match job.route.kind {
        Kind::Idempotent => executions < job.route.attempts,
        Kind::Once | Kind::Stream => executions == 0,
    };
    let is_late = job.deadline.is_past(clock::now() + MIN_ATTEMPT_TIME);
    if !may_retry
        || is_late
        || job.is_crashing()
        || progress.sends >= MAX_SENDS
        || !job.shard.spend_retry(Repeat::Retry)
    {
        return None;
    }
    match choose_next(job, progress) {
        Ok(endpoint) => Some(endpoint),
        Err(refusal) => {
            progress.refusal = Some(refusal);
            None
        }
    }
}

/// Records the result of an attempt, and returns the response if it is final.
fn finish_attempt(
    job: &Job,
    progress: &mut Progress,
    endpoint: &Endpoint,
    result: Attempt,
) -> Option<Response<Body>> {
    match result {
        Attempt::Answer(head, body) => {
            let may_repeat = job.route.kind == Kind::Idempotent && head.status.is_server_error();
            progress.executions += 1;
            if may_repeat && progress.executions < job.route.attempts {
                progress.failure = Some((head, body));
                return None;
            }
            Some(forward(job, progress, &endpoint.id, *head, body))
        }
        Attempt::Unsent | Attempt::Refused => {
            retract_start(job, progress, endpoint);
            None
        }
        Attempt::Unknown => {
            progress.executions += 1;
            None
        }
    }
}

/// Returns an endpoint's response for the caller and records the end of the request.
fn forward(
    job: &Job,
    progress: &Progress,
    endpoint: &str,
    head: response::Parts,
    body: Bytes,
) -> Response<Body> {
    let first_ms = clock::millis_since(job.arrived_at);
    job.state
        .metrics
        .first_answer
        .observe(first_ms as f64 / 1e3);
    let summary = Summary {
        endpoint,
        attempts: progress.sends,
        first_ms,
        ..Summary::default()
    };
    let outcome = if head.status.is_success() {
        ANSWERED
    } else {
        "endpoint_failed"
    };
    job.record_end(head.status, outcome, &summary);
    Response::from_parts(head, Body::Whole(Some(body)))
}

/// Returns the response to a request that allows no further attempt.
fn answer_exhausted(job: &Job, mut progress: Progress) -> Response<Body> {
    if let Some((head, body)) = progress.failure.take() {
        return forward(job, &progress, "", *head, body);
    }
    if progress.executions == 0 {
        return refuse(job, progress.refusal.map_or("no_endpoint", Into::into));
    }
    let summary = Summary {
        attempts: progress.sends,
        ..Summary::default()
    };
    job.fail(StatusCode::BAD_GATEWAY, "lost", &summary)
}

/// Sends the request to one endpoint and reads the complete response.
async fn attempt(job: &Job, endpoint: Arc<Endpoint>, number: u32) -> (Arc<Endpoint>, Attempt) {
    record::write(&Event::Placed {
        request: &job.request_id,
        endpoint: &endpoint.id,
        backup: None,
        attempt: number,
        snapshot: job.shard.endpoint_snapshot(&endpoint.id),
    });
    let mut in_flight = job
        .shard
        .start(&endpoint, job.work, &job.vm, &job.route.name);
    let started_at = in_flight.started_at;
    let mut call = Call::start(job, &endpoint, started_at);
    let request = job.endpoint_request(&endpoint, None, None, job.last_event);
    let sent = replica::send(&request, CONNECT_TIMEOUT.min(time_left(job.deadline))).await;
    if let Ok(reply) = &sent {
        in_flight.record_head(reply);
    }
    let collected = match sent {
        Ok(mut reply) if !reply.is_not_run => {
            read_response(&job.state, &mut reply.body, MAX_RESPONSE_BYTES)
                .await
                .map(|body| (reply.head, Some(body)))
        }
        Ok(reply) => Ok((reply.head, None)),
        Err(cause) => Err(cause),
    };
    let (outcome, result, cause) = match collected {
        Ok((head, Some(body))) => {
            in_flight.record_answer();
            let crashes = &job.state.crashes;
            crashes.record_answer(&job.shard.service, &job.suspects);
            classify(head, body, started_at)
        }
        Ok((head, None)) => (
            job::refusal(head.status),
            Attempt::Refused,
            head.status.to_string(),
        ),
        Err(cause) if cause.fate() == Fate::NotRun => {
            (Outcome::Unreachable, Attempt::Unsent, cause.to_string())
        }
        Err(cause) => {
            if cause.is_lost() {
                crash::check(&job.state, &job.shard, &endpoint, &job.suspects).await;
            }
            (Outcome::Broken, Attempt::Unknown, cause.to_string())
        }
    };
    if matches!(outcome, Outcome::Answered { .. }) {
        let label: &str = outcome.into();
        job.state.metrics.attempts.with_label_values(&[label]).inc();
    } else {
        let fate = match result {
            Attempt::Unsent | Attempt::Refused => Fate::NotRun,
            Attempt::Answer(..) | Attempt::Unknown => Fate::Unknown,
        };
        job.record_failed_attempt(&in_flight, outcome, fate, &cause);
    }
    call.outcome = outcome;
    in_flight.end(outcome);
    (endpoint, result)
}

/// Reads a complete response of at most `max_bytes`. While it is read, it counts against the
/// memory for responses, so that endpoints that send without end do not take all of it.
pub(crate) async fn read_response(
    state: &Arc<State>,
    body: &mut replica::Body,
    max_bytes: usize,
) -> Result<Bytes, replica::Error> {
    let mut reservation = Reservation::new(state, Use::Responses);
    let has_room = |bytes| reservation.extend(bytes);
    body.collect(max_bytes, has_room).await
}

/// Classifies a complete response. A status that tells callers that the request was not
/// run counts as unknown here, because the endpoint did not confirm it.
fn classify(head: response::Parts, body: Bytes, started_at: Time) -> (Outcome, Attempt, String) {
    let status = head.status;
    let latency_ms = clock::millis_since(started_at);
    if reply::asserts_not_run(status) {
        return (Outcome::Failed, Attempt::Unknown, status.to_string());
    }
    let outcome = if status.is_server_error() {
        Outcome::Failed
    } else {
        Outcome::Answered { latency_ms }
    };
    (
        outcome,
        Attempt::Answer(Box::new(head), body),
        status.to_string(),
    )
}
