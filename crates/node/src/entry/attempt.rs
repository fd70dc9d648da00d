//! One attempt of a request at an agent, which may span several connections.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use cactusroad_core::{
    Time,
    id::{Attempt, Incarnation},
    placement,
    refusal::{Effect, Kind, Refusal},
};
use cactusroad_wire::message::{
    Accepted, Ack, Attach, Cancel, Open, Refused, Reply, Request, Settle, reply, request,
    settled::State,
};
use tokio::time;

use super::{Shared, directory::Target};
use crate::{
    clock,
    transport::{Call, Error},
};

/// Delay before connecting again to an agent that could not be reached, in milliseconds.
const RECONNECT_DELAY_MS: u64 = 50;

/// An attempt of a request at one agent.
pub(super) struct Session<'a> {
    pub(super) shared: &'a Shared,
    pub(super) target: Target,
    pub(super) attempt: Attempt,
    pub(super) incarnation: Incarnation,
    pub(super) workspace: Arc<str>,
    pub(super) deadline: Time,
}

impl Session<'_> {
    /// Starts the attempt by sending its first message.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Unreachable`] only if nothing was sent. After any other error
    /// the agent may have received the message.
    pub(super) async fn open(&self, open: Open) -> Result<Call, Error> {
        self.shared.metrics.attempts.inc();
        self.call(request::Body::Open(Box::new(open))).await
    }

    /// Resumes the attempt's stream at a token index over a working connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the agent cannot be reached.
    pub(super) async fn attach(&self, next_index: u64) -> Result<Call, Error> {
        self.call(request::Body::Attach(Attach {
            attempt: Bytes::copy_from_slice(&self.attempt.to_bytes()),
            incarnation: self.incarnation.0,
            next_index,
            workspace: self.workspace.to_string(),
        }))
        .await
    }

    /// Tries to resume the stream until it succeeds or `until` has passed.
    pub(super) async fn reattach(&self, next_index: u64, until: Time) -> Option<Call> {
        loop {
            if until.is_past(clock::now()) {
                return None;
            }
            if let Ok(call) = self.attach(next_index).await {
                self.shared.metrics.reconnects.inc();
                return Some(call);
            }
            time::sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
        }
    }

    /// Asks the agent for the state of the attempt.
    ///
    /// If the agent has not dispatched the attempt, it rejects it from now on. Returns
    /// `None` if the agent does not know the state or does not answer before `until`.
    pub(super) async fn settle(&self, until: Time) -> Option<State> {
        let settle = Settle {
            attempt: Bytes::copy_from_slice(&self.attempt.to_bytes()),
            incarnation: self.incarnation.0,
            deadline_micros: self.deadline.as_micros(),
        };
        loop {
            if until.is_past(clock::now()) {
                return None;
            }
            if let Ok(mut call) = self.call(request::Body::Settle(settle.clone())).await
                && let Ok(Some(reply)) = call.receiver.next().await
            {
                return match reply.body {
                    Some(reply::Body::Settled(settled)) if settled.attempt == settle.attempt => {
                        Some(settled.state())
                    }
                    _ => None,
                };
            }
            time::sleep(Duration::from_millis(RECONNECT_DELAY_MS)).await;
        }
    }

    async fn call(&self, body: request::Body) -> Result<Call, Error> {
        let listed = &self.target.endpoint.listed;
        let link = self
            .shared
            .dialer
            .link(&listed.name, listed.address)
            .await?;
        link.call(&Request { body: Some(body) }).await
    }

    /// Records the load that the agent reported when it accepted the attempt.
    pub(super) fn record_load(&self, accepted: &Accepted) {
        let load = placement::Load {
            headroom_millis: accepted.headroom_millis,
            running: accepted.running,
            queued: accepted.queued,
            limit: accepted.limit,
        };
        let name = &self.target.endpoint.listed.name;
        let incarnation = Incarnation(accepted.incarnation);
        self.shared.directory.observe_load(name, incarnation, load);
    }

    /// Returns whether an attempt id from a reply is the id of this attempt.
    pub(super) fn matches(&self, attempt: &[u8]) -> bool {
        Attempt::from_bytes(attempt) == Some(self.attempt)
    }
}

/// Acknowledges the tokens before `next_index`, which have reached the caller.
pub(super) async fn acknowledge(call: &mut Call, next_index: u64) -> Result<(), Error> {
    let body = Some(request::Body::Ack(Ack { next_index }));
    call.sender.send(&Request { body }).await
}

/// Asks the agent to cancel the attempt at a point in time.
pub(super) async fn cancel(call: &mut Call, at: Time) {
    let cancel = Cancel {
        at_micros: at.as_micros(),
    };
    let body = Some(request::Body::Cancel(cancel));
    if let Err(cause) = call.sender.send(&Request { body }).await {
        log::debug!("cannot send a cancellation to the agent: {cause}");
    }
    call.sender.finish();
}

/// Returns the id of the attempt that a reply belongs to.
pub(super) fn attempt_id(reply: &Reply) -> Option<&Bytes> {
    match reply.body.as_ref()? {
        reply::Body::Accepted(message) => Some(&message.attempt),
        reply::Body::Refused(message) => Some(&message.attempt),
        reply::Body::Token(message) => Some(&message.attempt),
        reply::Body::End(message) => Some(&message.attempt),
        reply::Body::Answer(message) => Some(&message.attempt),
        reply::Body::Settled(message) => Some(&message.attempt),
        reply::Body::Pong(_) | reply::Body::Exchange(_) => None,
    }
}

/// Converts a refusal from its wire form.
///
/// An unknown kind becomes [`Kind::Internal`], an unknown effect [`Effect::Unknown`].
pub(super) fn refusal(message: &Refused) -> Refusal {
    let kind = message.kind.parse().unwrap_or(Kind::Internal);
    let effect = message.effect.parse().unwrap_or(Effect::Unknown);
    let refusal = Refusal::new(
        kind,
        effect,
        message.message.clone(),
        message.remedy.clone(),
    );
    match message.retry_at_micros {
        0 => refusal,
        micros => refusal.retry_at(Time::from_micros(micros)),
    }
}

/// Returns the refusal of a request for which no endpoint is available.
pub(super) fn unavailable() -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::NotRun,
        "No endpoint of the route is reachable.",
        "Send the request again later.",
    )
    .retry_at(clock::now() + Duration::from_secs(1))
}

/// Returns the refusal of a request whose deadline has passed.
pub(super) fn deadline_exceeded(effect: Effect) -> Refusal {
    Refusal::new(
        Kind::DeadlineExceeded,
        effect,
        "The deadline of the request has passed.",
        "Send the request with a later deadline.",
    )
}
