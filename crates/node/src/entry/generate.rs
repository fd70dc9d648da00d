//! Runs generations for callers.
//!
//! All tokens of a generation come from the same attempt. Until the first token has
//! reached the caller, a failed attempt can be retried at another endpoint. After
//! that the stream can only be resumed over a new connection to the same agent, and
//! the caller receives an error if the endpoint dies.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    config::Workspace,
    placement::prefix_hashes,
    refusal::{Effect, Kind, Refusal},
    retry::History,
    stream::EventId,
};
use cactusroad_wire::message::{Generate, Open, open};
use tokio::sync::mpsc;

use super::{
    Shared,
    attempt::{self, Session},
    directory::{Criteria, Target},
    guard::{self, Meter},
    relay::{Finish, Relay, SLOW_CALLER_TIMEOUT_SECONDS},
    rollout::Recorder,
};
use crate::{
    clock,
    trace::{Span, SpanKind},
};

/// Number of items that are buffered for a caller before backpressure applies.
const OUTPUT_CAPACITY: usize = 64;
/// Bytes of a prompt that count as one token in the estimate of its length.
const BYTES_PER_TOKEN: u64 = 4;

/// A generation to run.
pub(super) struct Job {
    pub(super) route: Arc<str>,
    pub(super) version: Arc<str>,
    /// Records the attempts, if a rollout plan applies to the route.
    pub(super) recorder: Option<Recorder>,
    pub(super) workspace: Workspace,
    pub(super) priority: u8,
    pub(super) deadline: Time,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) digest: Bytes,
    pub(super) span: Span,
    pub(super) config_generation: u64,
}

/// An item of a caller's stream.
#[derive(Debug)]
pub(super) enum Item {
    /// One token.
    Token {
        /// The event id of the token, which holds its index.
        id: EventId,
        /// The text of the token.
        text: String,
    },
    /// The generation is complete.
    End {
        /// The number of tokens.
        count: u64,
        /// The finish reason: `stop` or `length`.
        reason: String,
    },
    /// The request was refused, or its stream failed.
    Refused(Refusal),
}

impl Item {
    /// Returns whether this is the last item of its stream.
    pub(super) fn is_last(&self) -> bool {
        !matches!(self, Item::Token { .. })
    }
}

/// Starts a generation and returns its items.
///
/// Dropping the receiver cancels the generation.
pub(super) fn start(shared: Arc<Shared>, job: Job) -> mpsc::Receiver<Item> {
    let (output, items) = mpsc::channel(OUTPUT_CAPACITY);
    tokio::spawn(async move {
        let streams = shared.metrics.open_streams.clone();
        streams.inc();
        run(&shared, &job, output).await;
        streams.dec();
    });
    items
}

/// Resumes a stream after the event with this id.
pub(super) fn resume(
    shared: Arc<Shared>,
    id: EventId,
    workspace: Arc<str>,
    deadline: Time,
) -> mpsc::Receiver<Item> {
    let (output, items) = mpsc::channel(OUTPUT_CAPACITY);
    tokio::spawn(async move {
        shared.metrics.resumes.inc();
        let streams = shared.metrics.open_streams.clone();
        streams.inc();
        run_resumed(&shared, id, workspace, deadline, output).await;
        streams.dec();
    });
    items
}

async fn run(shared: &Shared, job: &Job, output: mpsc::Sender<Item>) {
    let prompt_tokens = (job.prompt.len() as u64).div_ceil(BYTES_PER_TOKEN);
    let refusal = match shared.guard.admit(&job.workspace, prompt_tokens) {
        Ok(mut meter) => run_attempts(shared, job, &mut meter, &output).await.err(),
        Err(refusal) => Some(refusal),
    };
    if let Some(refusal) = refusal {
        job.span.record_refusal(&refusal);
        send_refusal(&output, refusal).await;
    }
}

/// Runs attempts until one succeeds, one has reached the caller, or no retry is allowed.
async fn run_attempts(
    shared: &Shared,
    job: &Job,
    meter: &mut Meter<'_>,
    output: &mpsc::Sender<Item>,
) -> Result<(), Refusal> {
    let arrived_at = clock::now();
    let prefixes = prefix_hashes(&job.prompt);
    let mut history = History::new(true, job.deadline);
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut suspect = false;
    let mut effect = Effect::NotRun;
    let mut last = attempt::unavailable();
    while !job.deadline.is_past(clock::now()) {
        let criteria = Criteria {
            version: &job.version,
            tried: &tried,
            key: None,
        };
        let chosen = shared
            .directory
            .choose_with_prefixes(&criteria, &prefixes, rand::random());
        let Some(target) = chosen else {
            return Err(last.with_effect(effect));
        };
        if !tried.is_empty() {
            shared.metrics.retries.inc();
        }
        let name = target.endpoint.listed.name.clone();
        tried.push(name.clone());
        shared
            .guard
            .record_sent(&shared.directory, &job.route, &name);
        let input = Input {
            target,
            suspect,
            arrived_at,
            prefixes: &prefixes,
        };
        if let Some(recorder) = &job.recorder {
            recorder.start_attempt(input.target.load);
        }
        let finish = run_attempt(shared, job, input, meter, output).await;
        let outcome = match &finish {
            Finish::Done(outcome) => *outcome,
            Finish::Failed {
                refusal,
                endpoint_died,
            } => {
                if let Some(recorder) = &job.recorder {
                    recorder.record_refusal(refusal, *endpoint_died, &name);
                }
                guard::refusal_outcome(refusal, *endpoint_died)
            }
        };
        if let Some(recorder) = &job.recorder {
            recorder.record_end(outcome);
        }
        shared
            .guard
            .record_end(&shared.directory, &job.route, &name, outcome);
        let Finish::Failed {
            refusal,
            endpoint_died,
        } = finish
        else {
            return Ok(());
        };
        suspect |= endpoint_died;
        if refusal.effect != Effect::NotRun {
            // An earlier attempt may have run even if a later one did not.
            effect = refusal.effect;
        }
        last = refusal;
        let is_over = !may_retry(&last)
            || shared
                .guard
                .spend_retry(&job.route, &mut history, &last)
                .is_err();
        if is_over {
            return Err(last.with_effect(effect));
        }
    }
    Err(attempt::deadline_exceeded(effect))
}

/// Returns whether a retry at another endpoint may succeed.
///
/// A generation has no effects besides its tokens, so it can be repeated safely.
fn may_retry(refusal: &Refusal) -> bool {
    matches!(
        refusal.kind,
        Kind::Overloaded
            | Kind::Unavailable
            | Kind::Draining
            | Kind::EndpointDied
            | Kind::StreamGone
    )
}

/// The parameters of one attempt.
struct Input<'a> {
    target: Target,
    /// Whether the endpoint of an earlier attempt died.
    suspect: bool,
    /// When the request arrived.
    arrived_at: Time,
    prefixes: &'a [u64],
}

async fn run_attempt(
    shared: &Shared,
    job: &Job,
    input: Input<'_>,
    meter: &mut Meter<'_>,
    output: &mpsc::Sender<Item>,
) -> Finish {
    let Input {
        target,
        suspect,
        arrived_at,
        prefixes,
    } = input;
    let session = Session {
        shared,
        attempt: shared.new_attempt(),
        incarnation: target.endpoint.incarnation(),
        target,
        workspace: job.workspace.name.clone(),
        deadline: job.deadline,
    };
    let span = shared
        .tracer
        .span("attempt", SpanKind::Client, job.span.traceparent());
    span.set_attribute("endpoint", &session.target.endpoint.listed.name);
    span.set_attribute("attempt", session.attempt);
    let mut open = open_message(job, &session, suspect, prefixes);
    open.traceparent = span.traceparent().to_owned();
    let call = match session.open(open).await {
        Ok(call) => Some(call),
        Err(crate::transport::Error::Unreachable { .. }) => {
            return Finish::Failed {
                refusal: attempt::unavailable(),
                endpoint_died: false,
            };
        }
        Err(_) => None,
    };
    let mut relay = Relay::new(&session, 0, arrived_at, output);
    relay.meter = Some(meter);
    relay.recorder = job.recorder.as_ref();
    let finish = relay.run(call).await;
    if let Finish::Failed { refusal, .. } = &finish {
        span.record_refusal(refusal);
    }
    finish
}

fn open_message(job: &Job, session: &Session<'_>, suspect: bool, prefixes: &[u64]) -> Open {
    Open {
        attempt: Bytes::copy_from_slice(&session.attempt.to_bytes()),
        incarnation: session.incarnation.0,
        route: job.route.to_string(),
        version: job.version.to_string(),
        workspace: job.workspace.name.to_string(),
        deadline_micros: job.deadline.as_micros(),
        priority: u32::from(job.priority),
        traceparent: String::new(),
        config_generation: job.config_generation,
        digest: job.digest.clone(),
        suspect,
        weight: job.workspace.weight,
        work: Some(open::Work::Generate(Generate {
            prompt: job.prompt.clone(),
            max_tokens: job.max_tokens,
            prefixes: prefixes.to_vec(),
        })),
    }
}

async fn run_resumed(
    shared: &Shared,
    id: EventId,
    workspace: Arc<str>,
    deadline: Time,
    output: mpsc::Sender<Item>,
) {
    let Some(target) = shared.directory.find(&id.endpoint) else {
        return send_refusal(&output, endpoint_gone()).await;
    };
    let session = Session {
        shared,
        attempt: id.attempt,
        incarnation: id.incarnation,
        target,
        workspace,
        deadline,
    };
    let mut relay = Relay::new(&session, id.index + 1, clock::now(), &output);
    relay.is_final = true;
    let call = session.attach(id.index + 1).await.ok();
    relay.run(call).await;
}

pub(super) async fn send_refusal(output: &mpsc::Sender<Item>, refusal: Refusal) {
    // The result is ignored: the caller has either disconnected or does not read.
    let timeout = Duration::from_secs(SLOW_CALLER_TIMEOUT_SECONDS);
    let _ = output.send_timeout(Item::Refused(refusal), timeout).await;
}

fn endpoint_gone() -> Refusal {
    Refusal::new(
        Kind::StreamGone,
        Effect::Unknown,
        "The endpoint of the generation no longer exists.",
        "Send the request again if it is safe to run it twice.",
    )
}
