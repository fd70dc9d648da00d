//! Runs a generation for a caller: one stream from a single attempt.
//!
//! Before the first token has reached the caller an attempt may be replaced by
//! one at another endpoint. After it, the attempt is final: its stream may move
//! to a new link, but when its endpoint dies the caller is told so.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    refusal::{Effect, Kind, Refusal},
    stream::{EventId, Reader, Verdict},
};
use cactusroad_wire::message::{Generate, Open, Reply, open, reply};
use tokio::{sync::mpsc, time};

use super::{
    Shared,
    attempt::{self, Session},
    directory::{Target, Want},
};
use crate::{clock, transport::Call};

/// Items that wait for a caller before its stream is held back.
const OUTPUT_ITEMS: usize = 64;
/// Tokens between two acknowledgements.
const ACK_TOKENS: u64 = 16;
/// How long a generation whose caller is gone waits for it to come back, in milliseconds.
const RETURN_MS: u64 = 2_000;
/// How long a caller may leave its stream unread, in seconds.
const SLOW_CALLER_SECONDS: u64 = 30;
/// How long a broken stream is tried again, in seconds.
const RELINK_SECONDS: u64 = 10;
/// How long an agent that has accepted nothing yet is tried again, in milliseconds.
const UNSTARTED_RELINK_MS: u64 = 1_500;
/// Time between tokens beyond which the rest counts as a stall, in seconds.
const STALL_SECONDS: f64 = 0.2;
/// Attempts for one request at the most.
const MAX_ATTEMPTS: usize = 4;

/// A generation that a caller asked for.
pub(super) struct Job {
    pub(super) route: Arc<str>,
    pub(super) version: Arc<str>,
    pub(super) workspace: Arc<str>,
    pub(super) weight: u32,
    pub(super) priority: u8,
    pub(super) deadline: Time,
    pub(super) prompt: String,
    pub(super) max_tokens: u32,
    pub(super) digest: Bytes,
    pub(super) traceparent: String,
    pub(super) config_generation: u64,
}

/// What a caller's stream is made of.
#[derive(Debug)]
pub(super) enum Item {
    /// One token.
    Token {
        /// Where the token stands.
        id: EventId,
        /// The text of the token.
        text: String,
    },
    /// The generation is whole.
    End {
        /// The number of tokens.
        count: u64,
        /// Why it ended: `stop` or `length`.
        reason: String,
    },
    /// The request was refused, or its stream broke off.
    Refused(Refusal),
}

/// Starts a generation and returns its stream.
///
/// Dropping the receiver cancels the generation.
pub(super) fn start(shared: Arc<Shared>, job: Job) -> mpsc::Receiver<Item> {
    let (output, items) = mpsc::channel(OUTPUT_ITEMS);
    tokio::spawn(async move {
        let streams = shared.metrics.open_streams.clone();
        streams.inc();
        run(&shared, &job, output).await;
        streams.dec();
    });
    items
}

/// Takes up the stream behind an event id after that event.
pub(super) fn resume(
    shared: Arc<Shared>,
    id: EventId,
    workspace: Arc<str>,
    deadline: Time,
) -> mpsc::Receiver<Item> {
    let (output, items) = mpsc::channel(OUTPUT_ITEMS);
    tokio::spawn(async move {
        shared.metrics.resumes.inc();
        let streams = shared.metrics.open_streams.clone();
        streams.inc();
        take_up(&shared, id, workspace, deadline, output).await;
        streams.dec();
    });
    items
}

/// How an attempt went.
enum Finish {
    /// The caller has been told everything or is gone.
    Done,
    /// The attempt failed before its first token.
    Failed {
        refusal: Refusal,
        endpoint_died: bool,
    },
}

async fn run(shared: &Shared, job: &Job, output: mpsc::Sender<Item>) {
    let arrived = clock::now();
    let mut tried: Vec<Arc<str>> = Vec::new();
    let mut suspect = false;
    let mut last = attempt::unavailable();
    while tried.len() < MAX_ATTEMPTS {
        if job.deadline.is_past(clock::now()) {
            last = attempt::deadline_exceeded(last.effect);
            break;
        }
        let want = Want {
            version: &job.version,
            tried: &tried,
            key: None,
        };
        let Some(target) = shared.directory.choose(&want, rand::random()) else {
            break;
        };
        if !tried.is_empty() {
            shared.metrics.retries.inc();
        }
        tried.push(target.endpoint.listed.name.clone());
        match once(shared, job, target, suspect, arrived, &output).await {
            Finish::Done => return,
            Finish::Failed {
                refusal,
                endpoint_died,
            } => {
                suspect |= endpoint_died;
                last = refusal;
                if !may_retry(&last) {
                    break;
                }
            }
        }
    }
    refuse(&output, last).await;
}

/// Tells whether another endpoint may do better. A generation has no effect but its tokens.
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

async fn once(
    shared: &Shared,
    job: &Job,
    target: Target,
    suspect: bool,
    arrived: Time,
    output: &mpsc::Sender<Item>,
) -> Finish {
    let session = Session {
        shared,
        attempt: shared.draw(),
        incarnation: target.endpoint.incarnation(),
        target,
        workspace: job.workspace.clone(),
        deadline: job.deadline,
    };
    let open = message(job, &session, suspect);
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
    Pump::new(&session, 0, arrived, output).run(call).await
}

fn message(job: &Job, session: &Session<'_>, suspect: bool) -> Open {
    Open {
        attempt: Bytes::copy_from_slice(&session.attempt.to_bytes()),
        incarnation: session.incarnation.0,
        route: job.route.to_string(),
        version: job.version.to_string(),
        workspace: job.workspace.to_string(),
        deadline_micros: job.deadline.as_micros(),
        priority: u32::from(job.priority),
        traceparent: job.traceparent.clone(),
        config_generation: job.config_generation,
        digest: job.digest.clone(),
        suspect,
        weight: job.weight,
        work: Some(open::Work::Generate(Generate {
            prompt: job.prompt.clone(),
            max_tokens: job.max_tokens,
            prefixes: Vec::new(),
        })),
    }
}

async fn take_up(
    shared: &Shared,
    id: EventId,
    workspace: Arc<str>,
    deadline: Time,
    output: mpsc::Sender<Item>,
) {
    let Some(target) = shared.directory.find(&id.endpoint) else {
        return refuse(&output, gone()).await;
    };
    let session = Session {
        shared,
        attempt: id.attempt,
        incarnation: id.incarnation,
        target,
        workspace,
        deadline,
    };
    let mut pump = Pump::new(&session, id.index + 1, clock::now(), &output);
    pump.is_final = true;
    let call = session.attach(id.index + 1).await.ok();
    pump.run(call).await;
}

/// Moves the tokens of one attempt from the agent to the caller.
struct Pump<'a> {
    session: &'a Session<'a>,
    reader: Reader,
    output: &'a mpsc::Sender<Item>,
    last_token: Time,
    /// A token has reached the caller, so no other attempt may take over.
    is_final: bool,
}

/// What ends the use of one link.
enum Break {
    Finish(Finish),
    Link,
}

impl<'a> Pump<'a> {
    fn new(
        session: &'a Session<'a>,
        next_index: u64,
        arrived: Time,
        output: &'a mpsc::Sender<Item>,
    ) -> Pump<'a> {
        Pump {
            session,
            reader: Reader::new(session.attempt, next_index),
            output,
            last_token: arrived,
            is_final: false,
        }
    }

    /// Runs over one link after another until the stream is over.
    ///
    /// Once a token has reached the caller no other attempt may go on, so every
    /// failure is told to the caller here and none is handed back for a retry.
    async fn run(mut self, call: Option<Call>) -> Finish {
        match self.links(call).await {
            Finish::Failed { refusal, .. } if self.is_final => {
                refuse(self.output, refusal).await;
                Finish::Done
            }
            finish => finish,
        }
    }

    async fn links(&mut self, mut call: Option<Call>) -> Finish {
        loop {
            let current = match call.take() {
                Some(current) => current,
                None => match self.relink().await {
                    Ok(current) => current,
                    Err(finish) => return finish,
                },
            };
            match self.follow(current).await {
                Break::Finish(finish) => return finish,
                Break::Link => {}
            }
        }
    }

    async fn relink(&self) -> Result<Call, Finish> {
        let patience = match self.is_final {
            true => Duration::from_secs(RELINK_SECONDS),
            false => Duration::from_millis(UNSTARTED_RELINK_MS),
        };
        let until = (clock::now() + patience).min(self.session.deadline);
        let next_index = self.reader.next_index();
        tokio::select! {
            call = self.session.reattach(next_index, until) => call.ok_or(Finish::Failed {
                refusal: lost(self.is_final),
                endpoint_died: false,
            }),
            () = self.output.closed() => Err(Finish::Done),
        }
    }

    /// Follows the stream over one link.
    async fn follow(&mut self, mut call: Call) -> Break {
        let deadline = clock::instant(self.session.deadline);
        loop {
            let reply = tokio::select! {
                reply = call.receiver.next() => reply,
                () = self.output.closed() => {
                    let at = clock::now() + Duration::from_millis(RETURN_MS);
                    attempt::cancel(&mut call, at).await;
                    return Break::Finish(Finish::Done);
                }
                () = time::sleep_until(deadline) => {
                    attempt::cancel(&mut call, Time::ZERO).await;
                    return Break::Finish(Finish::Failed {
                        refusal: attempt::deadline_exceeded(Effect::Unknown),
                        endpoint_died: false,
                    });
                }
            };
            let Ok(Some(reply)) = reply else {
                return Break::Link;
            };
            if let Some(broken) = self.heed(reply, &mut call).await {
                return broken;
            }
        }
    }

    async fn heed(&mut self, reply: Reply, call: &mut Call) -> Option<Break> {
        if !attempt::subject(&reply).is_some_and(|subject| self.session.owns(subject)) {
            self.session.shared.metrics.foreign_frames.inc();
            return None;
        }
        match reply.body? {
            reply::Body::Token(token) => self.token(token.index, token.text, call).await,
            reply::Body::End(end) => {
                if !self.reader.is_whole(self.session.attempt, end.count) {
                    return Some(Break::Link);
                }
                let item = Item::End {
                    count: end.count,
                    reason: end.reason,
                };
                if let Err(broken) = self.deliver(item, call).await {
                    return Some(broken);
                }
                // The frames may go once the caller was told that they are whole.
                let _ = attempt::acknowledge(call, end.count).await;
                Some(Break::Finish(Finish::Done))
            }
            reply::Body::Refused(message) => Some(Break::Finish(Finish::Failed {
                refusal: attempt::refusal(&message),
                endpoint_died: message.endpoint_died,
            })),
            _ => None,
        }
    }

    async fn token(&mut self, index: u64, text: String, call: &mut Call) -> Option<Break> {
        match self.reader.accept(self.session.attempt, index) {
            Verdict::Deliver => {}
            Verdict::Duplicate | Verdict::Foreign => {
                self.session.shared.metrics.foreign_frames.inc();
                return None;
            }
            Verdict::Gap => return Some(Break::Link),
        }
        self.observe();
        let item = Item::Token {
            id: EventId {
                endpoint: self.session.target.endpoint.listed.name.clone(),
                incarnation: self.session.incarnation,
                attempt: self.session.attempt,
                index,
            },
            text,
        };
        if let Err(broken) = self.deliver(item, call).await {
            return Some(broken);
        }
        self.is_final = true;
        self.session.shared.metrics.tokens.inc();
        let next = self.reader.next_index();
        if next.is_multiple_of(ACK_TOKENS) && attempt::acknowledge(call, next).await.is_err() {
            return Some(Break::Link);
        }
        None
    }

    /// Hands an item to the caller, who may be slow or gone.
    async fn deliver(&self, item: Item, call: &mut Call) -> Result<(), Break> {
        let patience = Duration::from_secs(SLOW_CALLER_SECONDS);
        match self.output.send_timeout(item, patience).await {
            Ok(()) => Ok(()),
            Err(mpsc::error::SendTimeoutError::Closed(_)) => {
                let at = clock::now() + Duration::from_millis(RETURN_MS);
                attempt::cancel(call, at).await;
                Err(Break::Finish(Finish::Done))
            }
            Err(mpsc::error::SendTimeoutError::Timeout(_)) => {
                attempt::cancel(call, Time::ZERO).await;
                Err(Break::Finish(Finish::Failed {
                    refusal: slow_caller(),
                    endpoint_died: false,
                }))
            }
        }
    }

    fn observe(&mut self) {
        let now = clock::now();
        let seconds = now.since(self.last_token).as_secs_f64();
        let metrics = &self.session.shared.metrics;
        match self.is_final {
            true => {
                metrics.between_tokens_seconds.observe(seconds);
                metrics
                    .stall_seconds
                    .inc_by((seconds - STALL_SECONDS).max(0.0));
            }
            false => metrics.first_token_seconds.observe(seconds),
        }
        self.last_token = now;
    }
}

async fn refuse(output: &mpsc::Sender<Item>, refusal: Refusal) {
    // A caller that is gone needs no answer.
    let _ = output.send(Item::Refused(refusal)).await;
}

fn lost(is_final: bool) -> Refusal {
    match is_final {
        true => Refusal::new(
            Kind::EndpointDied,
            Effect::Unknown,
            "The endpoint that held the generation can no longer be reached.",
            "Send the request again where a second run does no harm.",
        ),
        false => Refusal::new(
            Kind::Unavailable,
            Effect::Unknown,
            "The endpoint went out of reach before its first token.",
            "Send the request again.",
        ),
    }
}

fn gone() -> Refusal {
    Refusal::new(
        Kind::StreamGone,
        Effect::Unknown,
        "The endpoint that held the generation is gone.",
        "Send the request again where a second run does no harm.",
    )
}

fn slow_caller() -> Refusal {
    Refusal::new(
        Kind::SlowCaller,
        Effect::Unknown,
        "The caller read too slowly.",
        "Read the stream as it comes, or come back with the last event id.",
    )
}
