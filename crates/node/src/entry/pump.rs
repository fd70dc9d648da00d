//! Forwards the tokens of one attempt from the agent to the caller.

use std::time::Duration;

use cactusroad_core::{
    Time,
    outlier::Outcome,
    refusal::{Effect, Kind, Refusal},
    stream::{EventId, Reader, Verdict},
};
use cactusroad_wire::message::{Reply, reply};
use tokio::{sync::mpsc, time};

use super::{
    attempt::{self, Session},
    generate::{Item, refuse},
    guard::{self, Meter},
    rollout::Trial,
};
use crate::{clock, transport::Call};

/// Number of tokens between two acknowledgements.
const ACK_TOKENS: u64 = 16;
/// How long a generation continues after its caller disconnected, in milliseconds.
///
/// The caller can resume the stream within this time.
const RETURN_MS: u64 = 2_000;
/// How long a caller may stop reading its stream, in seconds.
pub(super) const SLOW_CALLER_SECONDS: u64 = 30;
/// Timeout for resuming a stream of which the caller has received a token, in seconds.
const RELINK_SECONDS: u64 = 10;
/// Timeout for resuming a stream of which the caller has received no token, in milliseconds.
const UNSTARTED_RELINK_MS: u64 = 1_500;
/// Time between two tokens above which the excess counts as a stall, in seconds.
const STALL_SECONDS: f64 = 0.2;

/// The result of an attempt.
pub(super) enum Finish {
    /// The caller has received the end or an error, or has disconnected.
    Done(Outcome),
    /// The attempt failed and the caller has received nothing.
    Failed {
        refusal: Refusal,
        endpoint_died: bool,
    },
}

/// Forwards the tokens of one attempt from the agent to the caller.
pub(super) struct Pump<'a, 'm> {
    session: &'a Session<'a>,
    reader: Reader,
    output: &'a mpsc::Sender<Item>,
    started: Time,
    last_token: Time,
    /// The time from the start of the attempt to its first token, in milliseconds.
    latency_ms: Option<u64>,
    pub(super) meter: Option<&'a mut Meter<'m>>,
    pub(super) trial: Option<&'a Trial>,
    /// Whether a token has reached the caller, so that no other attempt may continue.
    pub(super) is_final: bool,
}

/// Why the replies on a connection are no longer read.
enum Break {
    Finish(Finish),
    Link,
}

impl<'a, 'm> Pump<'a, 'm> {
    pub(super) fn new(
        session: &'a Session<'a>,
        next_index: u64,
        arrived: Time,
        output: &'a mpsc::Sender<Item>,
    ) -> Pump<'a, 'm> {
        Pump {
            session,
            reader: Reader::new(session.attempt, next_index),
            output,
            started: clock::now(),
            last_token: arrived,
            latency_ms: None,
            meter: None,
            trial: None,
            is_final: false,
        }
    }

    /// Runs until the stream ends, reconnecting as needed.
    ///
    /// Once a token has reached the caller, no other attempt may continue. A failure is
    /// then sent to the caller instead of being returned for a retry.
    pub(super) async fn run(mut self, call: Option<Call>) -> Finish {
        match self.links(call).await {
            Finish::Failed {
                refusal,
                endpoint_died,
            } if self.is_final => {
                if let Some(trial) = self.trial {
                    let endpoint = &self.session.target.endpoint.listed.name;
                    trial.refused(&refusal, endpoint_died, endpoint);
                }
                let outcome = guard::evidence(&refusal, endpoint_died);
                refuse(self.output, refusal).await;
                Finish::Done(outcome)
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
            () = self.output.closed() => Err(Finish::Done(Outcome::Neutral)),
        }
    }

    /// Handles the replies on one connection until the stream ends or the connection breaks.
    async fn follow(&mut self, mut call: Call) -> Break {
        let deadline = clock::instant(self.session.deadline);
        loop {
            let reply = tokio::select! {
                reply = call.receiver.next() => reply,
                () = self.output.closed() => {
                    let at = clock::now() + Duration::from_millis(RETURN_MS);
                    attempt::cancel(&mut call, at).await;
                    return Break::Finish(self.done());
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
            reply::Body::Accepted(accepted) => {
                self.session.heed_load(&accepted);
                None
            }
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
                // The agent may drop the frames now that the caller has received the end.
                let _ = attempt::acknowledge(call, end.count).await;
                Some(Break::Finish(self.done()))
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

    /// Sends an item to the caller, and cancels the attempt if it is slow or has disconnected.
    async fn deliver(&self, item: Item, call: &mut Call) -> Result<(), Break> {
        let patience = Duration::from_secs(SLOW_CALLER_SECONDS);
        match self.output.send_timeout(item, patience).await {
            Ok(()) => Ok(()),
            Err(mpsc::error::SendTimeoutError::Closed(_)) => {
                let at = clock::now() + Duration::from_millis(RETURN_MS);
                attempt::cancel(call, at).await;
                Err(Break::Finish(self.done()))
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

    /// Returns the result of an attempt whose caller was served or has disconnected.
    fn done(&self) -> Finish {
        let outcome = self
            .latency_ms
            .map_or(Outcome::Neutral, |latency_ms| Outcome::Success {
                latency_ms,
            });
        Finish::Done(outcome)
    }

    fn observe(&mut self) {
        let now = clock::now();
        let seconds = now.since(self.last_token).as_secs_f64();
        let metrics = &self.session.shared.metrics;
        match self.is_final {
            true => {
                if let Some(trial) = self.trial {
                    trial.gap(now.since(self.last_token));
                }
                metrics.between_tokens_seconds.observe(seconds);
                metrics
                    .stall_seconds
                    .inc_by((seconds - STALL_SECONDS).max(0.0));
            }
            false => metrics.first_token_seconds.observe(seconds),
        }
        if self.latency_ms.is_none() {
            let latency = now.since(self.started).as_millis();
            self.latency_ms = u64::try_from(latency).ok();
        }
        if let Some(meter) = &mut self.meter {
            meter.token();
        }
        self.last_token = now;
    }
}

fn lost(is_final: bool) -> Refusal {
    match is_final {
        true => Refusal::new(
            Kind::EndpointDied,
            Effect::Unknown,
            "The endpoint of the generation is no longer reachable.",
            "Send the request again if it is safe to run it twice.",
        ),
        false => Refusal::new(
            Kind::Unavailable,
            Effect::Unknown,
            "The endpoint became unreachable before the first token.",
            "Send the request again.",
        ),
    }
}

fn slow_caller() -> Refusal {
    Refusal::new(
        Kind::SlowCaller,
        Effect::Unknown,
        "The caller read the stream too slowly.",
        "Read the stream without pauses, or resume it with the last event id.",
    )
}
