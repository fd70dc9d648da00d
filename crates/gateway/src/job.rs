//! An accepted request and its outcome.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    crash::{Block, Pass, Suspect},
    digest::Digest,
    pool::{Claim, Criteria, Endpoint, Outcome, Work},
    rollout::Side,
    site::{Kind, Route},
};
use cactusroad_platform::replica::{Call, Fate, Source};
use http::{HeaderMap, Method, Response, StatusCode, Uri};

use crate::{
    clock,
    record::{self, Event},
    reply::{self, Body},
    state::{InFlight, OpenRequest, Shard, State, time_left},
};

/// The time limit to connect to an endpoint: many round trips between data
/// centres, and a fraction of the shortest latency target.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// A request that was read completely and can be sent to an endpoint.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) state: Arc<State>,
    pub(crate) shard: Arc<Shard>,
    pub(crate) route: Arc<Route>,
    /// The id of the caller's attempt; empty if the caller sent none.
    pub(crate) request_id: Arc<str>,
    pub(crate) method: Method,
    pub(crate) uri: Uri,
    /// The headers that are forwarded to the endpoint.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) workspace: Option<Arc<str>>,
    /// The last event that the caller had when it sent the request, if it resumes a stream.
    pub(crate) last_event: Option<u64>,
    /// From 0 to 9.
    pub(crate) priority: u8,
    /// The tokens of the prompt and the expected tokens of the response.
    pub(crate) work: Work,
    /// What decides when the request is sent, if it may wait for capacity.
    pub(crate) claim: Option<Claim>,
    /// The version for the request, while its service is moved to another one.
    pub(crate) side: Side,
    /// Identifies the request over all attempts of its caller to send it.
    pub(crate) digest: Digest,
    /// What the request may crash endpoints by: itself, and the parts of its prompt that
    /// other prompts may share.
    pub(crate) suspects: Vec<Suspect>,
    /// Set if the request is sent although it seems to crash endpoints.
    pub(crate) pass: Option<Pass>,
    /// The VM of this gateway.
    pub(crate) vm: Arc<str>,
    /// The data centre of this gateway.
    pub(crate) data_centre: Arc<str>,
    pub(crate) arrived_at: Time,
    pub(crate) deadline: Time,
    /// Counts the request as open.
    pub(crate) _guard: OpenRequest,
}

impl Job {
    /// Returns the criteria to choose an endpoint, limited to `candidates` unless
    /// that is empty.
    pub(crate) fn criteria<'a>(
        &'a self,
        tried: &'a [Arc<str>],
        candidates: &'a [Arc<Endpoint>],
    ) -> Criteria<'a> {
        Criteria {
            work: self.work,
            data_centre: &self.data_centre,
            tried,
            candidates,
            side: self.side,
            target_pause: self.target_pause(),
        }
    }

    /// Returns the pause between two events above which the response is late; zero unless it
    /// is a stream.
    pub(crate) fn target_pause(&self) -> Duration {
        match self.route.kind {
            Kind::Stream => Duration::from_millis(self.route.target_itl_ms),
            Kind::Once | Kind::Idempotent => Duration::ZERO,
        }
    }

    /// Returns the request as it is sent to an endpoint.
    pub(crate) fn endpoint_request<'a>(
        &'a self,
        endpoint: &'a Endpoint,
        backup: Option<&Endpoint>,
        source: Option<Source>,
        last_event: Option<u64>,
    ) -> Call<'a> {
        Call {
            method: &self.method,
            uri: &self.uri,
            headers: &self.headers,
            body: self.body.clone(),
            endpoint,
            workspace: self.workspace.as_deref(),
            time_left: time_left(self.deadline),
            priority: (self.work.prompt > 0).then_some(self.priority),
            backup: backup.map(|backup| backup.address),
            source,
            last_event,
            attempt: (!self.request_id.is_empty()).then_some(&*self.request_id),
        }
    }

    /// Counts the request for the report of usage, as one that began at an endpoint at `at`.
    /// Must not be called again for the same request, unless [`Job::retract_start`] has taken
    /// back what was counted before.
    pub(crate) fn record_start(&self, at: Time) {
        if self.last_event.is_some() {
            return;
        }
        if let (Some(duty), Some(workspace)) = (&self.state.duty, &self.workspace) {
            duty.record_start(workspace, at);
        }
    }

    /// Takes back what [`Job::record_start`] counted at `at`, because the request did not run.
    pub(crate) fn retract_start(&self, at: Time) {
        if let (Some(duty), Some(workspace)) = (&self.state.duty, &self.workspace) {
            duty.retract_start(workspace, at);
        }
    }

    /// Refuses the request; the response states that it was not run.
    pub(crate) fn refuse(&self, cause: &str) -> Response<Body> {
        let paused_until = self.shard.pool().paused_until(clock::now());
        self.refuse_until(cause, paused_until.unwrap_or(Time::ZERO))
    }

    /// Refuses the request until shortly after `until`.
    fn refuse_until(&self, cause: &str, until: Time) -> Response<Body> {
        self.refuse_for(cause, until.since(clock::now()) + reply::retry_after())
    }

    /// Refuses the request; the caller is told to send it again after `retry_after`.
    pub(crate) fn refuse_for(&self, cause: &str, retry_after: Duration) -> Response<Body> {
        let status = StatusCode::SERVICE_UNAVAILABLE;
        record::write(&Event::Refused {
            request: &self.request_id,
            route: &self.route.name,
            status: status.as_u16(),
            cause,
            retry_after_ms: u64::try_from(retry_after.as_millis()).unwrap_or(u64::MAX),
        });
        self.count_request("refused");
        reply::refusal(cause, retry_after)
    }

    /// Returns whether the request would crash an endpoint.
    pub(crate) fn is_crashing(&self) -> bool {
        self.block().is_some()
    }

    /// Returns why the request is refused, if it is and was not let through all the same.
    fn block(&self) -> Option<Block> {
        let crashes = &self.state.crashes;
        let block = crashes.blocked(&self.shard.service, &self.suspects)?;
        let is_passed = self.pass.is_some_and(|pass| pass.is_valid(&block));
        (!is_passed).then_some(block)
    }

    /// Decides, before the request is sent for the first time, whether it would crash an
    /// endpoint. Some requests are sent although it seems so, to find out whether it is true.
    pub(crate) fn screen(&mut self) -> Option<Response<Body>> {
        let gateways = self.state.gateways();
        let crashes = &self.state.crashes;
        match crashes.screen(&self.shard.service, &self.suspects, gateways) {
            Ok(pass) => {
                if let Some(Pass { crashes }) = pass {
                    record::write(&Event::SuspectTried {
                        request: &self.request_id,
                        suspects: &self.suspects,
                        crashes,
                    });
                }
                self.pass = pass;
                None
            }
            Err(block) => Some(self.refuse_suspect(&block)),
        }
    }

    /// Refuses the request if it would crash an endpoint.
    pub(crate) fn refuse_crashing(&self) -> Option<Response<Body>> {
        self.block().map(|block| self.refuse_suspect(&block))
    }

    /// Refuses the request for a suspect. The caller is told to wait as long again as such
    /// requests have been refused: a suspect that is not the cause is cleared soon.
    fn refuse_suspect(&self, block: &Block) -> Response<Body> {
        let now = clock::now();
        let until = (now + now.since(block.since)).min(block.until);
        self.refuse_until(CRASHES_ENDPOINTS, until)
    }

    /// Counts and logs an attempt that gave no response for the caller.
    pub(crate) fn record_failed_attempt(
        &self,
        in_flight: &InFlight,
        outcome: Outcome,
        fate: Fate,
        cause: &str,
    ) {
        let label: &str = outcome.into();
        let attempts = &self.state.metrics.attempts;
        attempts.with_label_values(&[label]).inc();
        record::write(&Event::AttemptFailed {
            request: &self.request_id,
            endpoint: &in_flight.endpoint.id,
            digest: self.digest,
            cause,
            fate: fate.into(),
            after_ms: clock::millis_since(in_flight.started_at),
        });
    }

    /// Responds with an error that does not state whether the request was run.
    pub(crate) fn fail(
        &self,
        status: StatusCode,
        cause: &str,
        summary: &Summary<'_>,
    ) -> Response<Body> {
        self.record_end(status, cause, summary);
        reply::local_response(status, cause)
    }

    /// Counts and logs the end of the request.
    pub(crate) fn record_end(&self, status: StatusCode, outcome: &str, summary: &Summary<'_>) {
        self.ending().record(status, outcome, summary);
    }

    /// Returns what is needed to record the end of the request when the job is gone.
    pub(crate) fn ending(&self) -> Ending {
        Ending {
            state: Arc::clone(&self.state),
            route: Arc::clone(&self.route),
            request_id: Arc::clone(&self.request_id),
            arrived_at: self.arrived_at,
        }
    }

    fn count_request(&self, outcome: &str) {
        self.ending().count(outcome);
    }
}

/// Records the end of a request.
pub(crate) struct Ending {
    state: Arc<State>,
    route: Arc<Route>,
    request_id: Arc<str>,
    arrived_at: Time,
}

impl Ending {
    /// Counts and logs the end.
    pub(crate) fn record(&self, status: StatusCode, outcome: &str, summary: &Summary<'_>) {
        self.count(if status.is_success() && outcome == ANSWERED {
            "served"
        } else {
            "failed"
        });
        record::write(&Event::Ended {
            request: &self.request_id,
            route: &self.route.name,
            status: status.as_u16(),
            outcome,
            endpoint: summary.endpoint,
            attempts: summary.attempts,
            first_ms: summary.first_ms,
            total_ms: clock::millis_since(self.arrived_at),
            events: summary.events,
            pause_ms: summary.pause_ms,
        });
    }

    fn count(&self, outcome: &str) {
        let labels = [self.route.kind.into(), outcome];
        self.state.metrics.requests.with_label_values(&labels).inc();
    }
}

/// The cause of refusals of requests that crash endpoints.
pub(crate) const CRASHES_ENDPOINTS: &str = "crashes_endpoints";

/// The outcome of a request whose response was forwarded completely.
pub(crate) const ANSWERED: &str = "answered";

/// The figures of a request that has ended, for the log.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Summary<'a> {
    pub(crate) endpoint: &'a str,
    pub(crate) attempts: u32,
    /// The time to the first event or to the whole response, in milliseconds.
    pub(crate) first_ms: u64,
    pub(crate) events: u64,
    /// The longest time between two events, in milliseconds.
    pub(crate) pause_ms: u64,
}

/// Returns the outcome of an attempt that an endpoint refused with this status.
pub(crate) fn refusal(status: StatusCode) -> Outcome {
    if status == StatusCode::MISDIRECTED_REQUEST {
        Outcome::Misdirected
    } else {
        Outcome::Refused
    }
}
