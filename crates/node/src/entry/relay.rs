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
    generate::{Item, send_refusal},
    guard::{self, Meter},
    rollout::Recorder,
};
use crate::{clock, transport::Call};

/// Number of tokens between two acknowledgements.
const ACK_TOKENS: u64 = 16;
/// How long a generation continues after its caller disconnected, in milliseconds.
///
/// The caller can resume the stream within this time.
const RESUME_WAIT_MS: u64 = 2_000;
/// How long a caller may stop reading its stream, in seconds.
pub(super) const SLOW_CALLER_TIMEOUT_SECONDS: u64 = 30;
/// Timeout for resuming a stream of which the caller has received a token, in seconds.
const RESUME_TIMEOUT_SECONDS: u64 = 10;
/// Timeout for resuming a stream of which the caller has received no token, in milliseconds.
const UNSTARTED_RESUME_TIMEOUT_MS: u64 = 1_500;
/// Time between two tokens above which the excess counts as a stall, in seconds.
const STALL_THRESHOLD_SECONDS: f64 = 0.2;

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
pub(super) struct Relay<'a, 'm> {
    session: &'a Session<'a>,
    reader: Reader,
    output: &'a mpsc::Sender<Item>,
    started_at: Time,
    last_token_at: Time,
    /// The time from the start of the attempt to its first token, in milliseconds.
    latency_ms: Option<u64>,
    pub(super) meter: Option<&'a mut Meter<'m>>,
    pub(super) recorder: Option<&'a Recorder>,
    /// Whether a token has reached the caller, so that no other attempt may continue.
    pub(super) is_final: bool,
}

/// Why the replies on a connection are no longer read.
enum Exit {
    Finish(Finish),
    Disconnected,
}

impl<'a, 'm> Relay<'a, 'm> {
    pub(super) fn new(
        session: &'a Session<'a>,
        next_index: u64,
        arrived_at: Time,
        output: &'a mpsc::Sender<Item>,
    ) -> Relay<'a, 'm> {
        Relay {
            session,
            reader: Reader::new(session.attempt, next_index),
            output,
            started_at: clock::now(),
            last_token_at: arrived_at,
            latency_ms: None,
            meter: None,
            recorder: None,
            is_final: false,
        }
    }

    /// Runs until the stream ends, reconnecting as needed.
    ///
    /// Once a token has reached the caller, no other attempt may continue. A failure is
    /// then sent to the caller instead of being returned for a retry.
    pub(super) async fn run(mut self, call: Option<Call>) -> Finish {
        match self.run_connections(call).await {
            Finish::Failed {
                refusal,
                endpoint_died,
            } if self.is_final => {
                if let Some(recorder) = self.recorder {
                    let endpoint = &self.session.target.endpoint.listed.name;
                    recorder.record_refusal(&refusal, endpoint_died, endpoint);
                }
                let outcome = guard::refusal_outcome(&refusal, endpoint_died);
                send_refusal(self.output, refusal).await;
                Finish::Done(outcome)
            }
            finish => finish,
        }
    }

    async fn run_connections(&mut self, mut call: Option<Call>) -> Finish {
        loop {
            let current = match call.take() {
                Some(current) => current,
                None => match self.reconnect().await {
                    Ok(current) => current,
                    Err(finish) => return finish,
                },
            };
            match self.read_replies(current).await {
                Exit::Finish(finish) => return finish,
                Exit::Disconnected => {}
            }
        }
    }

    async fn reconnect(&self) -> Result<Call, Finish> {
        let timeout = match self.is_final {
            true => Duration::from_secs(RESUME_TIMEOUT_SECONDS),
            false => Duration::from_millis(UNSTARTED_RESUME_TIMEOUT_MS),
        };
        let until = (clock::now() + timeout).min(self.session.deadline);
        let next_index = self.reader.next_index();
        tokio::select! {
            call = self.session.reattach(next_index, until) => call.ok_or(Finish::Failed {
                refusal: connection_lost(self.is_final),
                endpoint_died: false,
            }),
            () = self.output.closed() => Err(Finish::Done(Outcome::Neutral)),
        }
    }

    /// Handles the replies on one connection until the stream ends or the connection breaks.
    async fn read_replies(&mut self, mut call: Call) -> Exit {
        let deadline = clock::instant(self.session.deadline);
        loop {
            let reply = tokio::select! {
                reply = call.receiver.next() => reply,
                () = self.output.closed() => {
                    let at = clock::now() + Duration::from_millis(RESUME_WAIT_MS);
                    attempt::cancel(&mut call, at).await;
                    return Exit::Finish(self.done());
                }
                () = time::sleep_until(deadline) => {
                    attempt::cancel(&mut call, Time::ZERO).await;
                    return Exit::Finish(Finish::Failed {
                        refusal: attempt::deadline_exceeded(Effect::Unknown),
                        endpoint_died: false,
                    });
                }
            };
            let Ok(Some(reply)) = reply else {
                return Exit::Disconnected;
            };
            if let Some(exit) = self.handle_reply(reply, &mut call).await {
                return exit;
            }
        }
    }

    async fn handle_reply(&mut self, reply: Reply, call: &mut Call) -> Option<Exit> {
        if !attempt::attempt_id(&reply).is_some_and(|attempt_id| self.session.matches(attempt_id)) {
            self.session.shared.metrics.mismatched_frames.inc();
            return None;
        }
        match reply.body? {
            reply::Body::Accepted(accepted) => {
                self.session.record_load(&accepted);
                None
            }
            reply::Body::Token(token) => self.handle_token(token.index, token.text, call).await,
            reply::Body::End(end) => {
                if !self.reader.is_complete(self.session.attempt, end.count) {
                    return Some(Exit::Disconnected);
                }
                let item = Item::End {
                    count: end.count,
                    reason: end.reason,
                };
                if let Err(exit) = self.deliver(item, call).await {
                    return Some(exit);
                }
                // The agent may drop the frames now that the caller has received the end.
                let _ = attempt::acknowledge(call, end.count).await;
                Some(Exit::Finish(self.done()))
            }
            reply::Body::Refused(message) => Some(Exit::Finish(Finish::Failed {
                refusal: attempt::refusal(&message),
                endpoint_died: message.endpoint_died,
            })),
            _ => None,
        }
    }

    async fn handle_token(&mut self, index: u64, text: String, call: &mut Call) -> Option<Exit> {
        match self.reader.accept(self.session.attempt, index) {
            Verdict::Deliver => {}
            Verdict::Duplicate | Verdict::Foreign => {
                self.session.shared.metrics.mismatched_frames.inc();
                return None;
            }
            Verdict::Gap => return Some(Exit::Disconnected),
        }
        self.record_token();
        let item = Item::Token {
            id: EventId {
                endpoint: self.session.target.endpoint.listed.name.clone(),
                incarnation: self.session.incarnation,
                attempt: self.session.attempt,
                index,
            },
            text,
        };
        if let Err(exit) = self.deliver(item, call).await {
            return Some(exit);
        }
        self.is_final = true;
        self.session.shared.metrics.tokens.inc();
        let next = self.reader.next_index();
        if next.is_multiple_of(ACK_TOKENS) && attempt::acknowledge(call, next).await.is_err() {
            return Some(Exit::Disconnected);
        }
        None
    }

    /// Sends an item to the caller, and cancels the attempt if it is slow or has disconnected.
    async fn deliver(&self, item: Item, call: &mut Call) -> Result<(), Exit> {
        let timeout = Duration::from_secs(SLOW_CALLER_TIMEOUT_SECONDS);
        match self.output.send_timeout(item, timeout).await {
            Ok(()) => Ok(()),
            Err(mpsc::error::SendTimeoutError::Closed(_)) => {
                let at = clock::now() + Duration::from_millis(RESUME_WAIT_MS);
                attempt::cancel(call, at).await;
                Err(Exit::Finish(self.done()))
            }
            Err(mpsc::error::SendTimeoutError::Timeout(_)) => {
                attempt::cancel(call, Time::ZERO).await;
                Err(Exit::Finish(Finish::Failed {
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

    fn record_token(&mut self) {
        let now = clock::now();
        let seconds = now.since(self.last_token_at).as_secs_f64();
        let metrics = &self.session.shared.metrics;
        match self.is_final {
            true => {
                if let Some(recorder) = self.recorder {
                    recorder.record_gap(now.since(self.last_token_at));
                }
                metrics.between_tokens_seconds.observe(seconds);
                metrics
                    .stall_seconds
                    .inc_by((seconds - STALL_THRESHOLD_SECONDS).max(0.0));
            }
            false => metrics.first_token_seconds.observe(seconds),
        }
        if self.latency_ms.is_none() {
            let latency = now.since(self.started_at).as_millis();
            self.latency_ms = u64::try_from(latency).ok();
        }
        if let Some(meter) = &mut self.meter {
            meter.record_token();
        }
        self.last_token_at = now;
    }
}

fn connection_lost(is_final: bool) -> Refusal {
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
