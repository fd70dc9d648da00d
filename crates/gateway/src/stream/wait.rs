//! The choice of an engine for a request that may have to wait for capacity.
//!
//! Each attempt to find an engine samples and polls engines anew, so that a waiting request
//! takes the first capacity that it sees anywhere, and is bound to no engine before. It costs
//! a few polls per waiting request and attempt.

use std::{sync::Arc, time::Duration};

use cactusroad_core::{
    Time,
    pool::{Claim, Endpoint, Verdict},
};
use http::Response;
use rand::Rng;
use tokio::time::sleep;

use crate::{
    clock, handle,
    job::Job,
    metrics::Metrics,
    observe,
    record::{self, Event},
    reply::Body,
    state::{Admitted, Shard, State},
};

/// The cause of refusals of requests for which there is no capacity in time.
const NO_ROOM: &str = "no_room";

/// The shortest time between two attempts to find an engine, in milliseconds: several times
/// the age at which reports include what other gateways have sent.
const MIN_PAUSE_MS: u64 = 60;

/// The longest time between two attempts, in milliseconds: a small part of the target latency
/// of requests that may wait. It is random, so that gateways do not poll in step.
const MAX_PAUSE_MS: u64 = 140;

/// The engine for a request.
pub(super) struct Place {
    pub(super) endpoint: Arc<Endpoint>,
    /// The engines that were polled.
    pub(super) candidates: Vec<Arc<Endpoint>>,
    /// The request at the engine, if it had to be admitted.
    pub(super) admitted: Option<Admitted>,
}

/// Chooses an engine. A request that may wait does so until an engine has capacity for it. If
/// none has in time, the request is refused.
pub(super) async fn place(job: &Job, tried: &[Arc<str>]) -> Result<Place, Response<Body>> {
    let mut waiting: Option<Waiting> = None;
    loop {
        let candidates = observe::candidates(&job.shard, job.work, tried, None, job.side).await;
        let endpoint = match job.shard.choose(&job.criteria(tried, &candidates)) {
            Ok(endpoint) => endpoint,
            Err(refusal) => return Err(job.refuse(refusal.into())),
        };
        let Some(claim) = &job.claim else {
            return Ok(Place {
                endpoint,
                candidates,
                admitted: None,
            });
        };
        if candidates.iter().all(|polled| polled.id != endpoint.id) {
            // All that were polled have left, or those of the other version are used.
            observe::refresh(&job.shard, &endpoint).await;
        }
        if waiting.is_some()
            && let Some(refusal) = refuse_after_wait(job)
        {
            return Err(refusal);
        }
        let now = clock::now();
        let (verdict, admitted) = admit(job, &endpoint, claim, now);
        if admitted.is_some() {
            if let Some(waiting) = waiting {
                record::write(&Event::Admitted {
                    request: &job.request_id,
                    endpoint: &endpoint.id,
                    waited_ms: clock::millis_since(waiting.began_at),
                    limit: rounded(verdict.limit),
                    memory_use: rounded(verdict.memory_use),
                });
                waiting.end("admitted");
            }
            return Ok(Place {
                endpoint,
                candidates,
                admitted,
            });
        }
        let (waits_until, is_hopeless) = {
            let pool = job.shard.pool();
            let is_hopeless = waiting.is_none() && pool.is_hopeless(claim, now);
            (pool.waits_until(claim).min(job.deadline), is_hopeless)
        };
        if is_hopeless || waits_until.is_past(now) {
            // The queue, of which this request is a part, tells the delay.
            let delay = job.shard.pool().retry_delay(random(), now);
            if let Some(waiting) = waiting {
                waiting.end("refused");
            }
            return Err(job.refuse_for(NO_ROOM, delay));
        }
        if waiting.is_none() {
            let queue = job.shard.pool().waiting();
            record::write(&Event::Deferred {
                request: &job.request_id,
                route: &job.route.name,
                age_ms: clock::millis_since(claim.first_at),
                endpoint: &endpoint.id,
                limit: rounded(verdict.limit),
                memory_use: rounded(verdict.memory_use),
                waiting: verdict.waiting,
                report_ms: verdict.report_ms,
                queue,
            });
            waiting = Some(Waiting::new(&job.state, &job.shard, claim, now));
        }
        let pause_ms = rand::rng().random_range(MIN_PAUSE_MS..=MAX_PAUSE_MS);
        let left = waits_until.since(now);
        sleep(Duration::from_millis(pause_ms).min(left)).await;
    }
}

/// Decides whether an engine has capacity for a request, and if so counts the request there. A
/// request whose deadline has passed is not admitted.
fn admit(
    job: &Job,
    endpoint: &Arc<Endpoint>,
    claim: &Claim,
    now: Time,
) -> (Verdict, Option<Admitted>) {
    if job.deadline.is_past(now) {
        return (job.shard.pool().admit(&endpoint.id, claim, now), None);
    }
    let route = &job.route.name;
    job.shard.admit(endpoint, claim, &job.vm, route, now)
}

/// Refuses a request for a reason that was not known when it began to wait: the process stops
/// accepting requests, or the request was found to crash engines.
fn refuse_after_wait(job: &Job) -> Option<Response<Body>> {
    match handle::check_shutdown(&job.state, &job.route, job.work) {
        Some(cause) => Some(job.refuse(cause)),
        None => job.refuse_crashing(),
    }
}

fn random() -> f64 {
    rand::rng().random_range(0.0..1.0)
}

/// Returns a share with the digits that the log needs.
fn rounded(share: f64) -> f64 {
    (share * 1e3).round() / 1e3
}

/// A request that waits for capacity. Dropping it without [`Waiting::end`] means that the
/// caller has left, or that the request is refused for another reason.
struct Waiting {
    state: Arc<State>,
    shard: Arc<Shard>,
    claim: Claim,
    began_at: Time,
    outcome: &'static str,
}

impl Waiting {
    fn new(state: &Arc<State>, shard: &Arc<Shard>, claim: &Claim, now: Time) -> Waiting {
        shard.pool().record_wait(claim, now);
        state.metrics.waiting_requests.inc();
        Waiting {
            state: Arc::clone(state),
            shard: Arc::clone(shard),
            claim: claim.clone(),
            began_at: now,
            outcome: "abandoned",
        }
    }

    fn end(mut self, outcome: &'static str) {
        self.outcome = outcome;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.shard.pool().record_wait_end(&self.claim);
        let metrics: &Metrics = &self.state.metrics;
        metrics.waiting_requests.dec();
        let waited = clock::now().since(self.began_at);
        metrics
            .waits
            .with_label_values(&[self.outcome])
            .observe(waited.as_secs_f64());
    }
}
