//! A client of a model engine that uses HTTP, JSON and server-sent events.
//!
//! The protocol is described in `docs/PROTOCOL.md`.

use std::{
    fmt,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use eventsource_stream::{EventStream, EventStreamError, Eventsource};
use futures_util::Stream;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyDataStream, BodyExt};
use hyper::body::Incoming;
use serde::de::DeserializeOwned;

use cactusroad_core::id::Attempt;

use super::{CacheEvent, Engine, Error, Event, Load, Order, Prompt};
use crate::{
    address::Address,
    transport::{Answer, Failure, Transport, read_json},
};

/// The timeout of every call except the start of a generation, to which the engine may
/// respond late.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of a response body that is not a stream.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// The number of bytes after which a stream must have completed an event. An event holds the
/// text of one token.
const MAX_EVENT_BYTES: usize = 64 * 1024;

/// An HTTP client of a model engine.
#[derive(Clone, Debug)]
pub struct Client {
    /// For generations, cancellations and orders, which must not be lost on a dead idle
    /// connection.
    unpooled: Transport,
    /// For load and cache event polls, which are repeated anyway.
    pooled: Transport,
}

impl Client {
    /// Returns a client of the engine at `address`.
    pub fn new(address: &Address) -> Client {
        Client {
            unpooled: Transport::unpooled(address),
            pooled: Transport::pooled(address),
        }
    }

    async fn open_stream(&self, request: Request<Bytes>) -> Result<Tokens, Error> {
        let answer = self.unpooled.send(request).await.map_err(from_failure)?;
        check_status(answer.status())?;
        let unparsed = Arc::new(AtomicUsize::new(0));
        let bytes = Bounded {
            body: answer.into_body().into_data_stream(),
            unparsed: Arc::clone(&unparsed),
        };
        Ok(Tokens {
            events: bytes.eventsource(),
            unparsed,
            state: State::Open,
        })
    }

    async fn call(&self, transport: &Transport, request: Request<Bytes>) -> Result<Answer, Error> {
        let call = transport.call_within(request, MAX_ANSWER_BYTES, CALL_TIMEOUT);
        call.await.map_err(from_failure)
    }

    async fn get_json<T: DeserializeOwned>(&self, path: &str) -> Result<T, Error> {
        let request = self.pooled.request(Method::GET, path);
        let answer = self.call(&self.pooled, request).await?;
        check_status(answer.status())?;
        read_json(&answer).ok_or(Error::Malformed)
    }
}

/// Why a body cannot be read on.
#[derive(Debug, thiserror::Error)]
enum ReadError {
    #[error(transparent)]
    Lost(#[from] hyper::Error),
    #[error("an event is larger than {MAX_EVENT_BYTES} bytes; the engine must split it")]
    Endless,
}

/// A body that fails if too many bytes complete no event.
struct Bounded {
    body: BodyDataStream<Incoming>,
    /// The number of bytes since the last event.
    unparsed: Arc<AtomicUsize>,
}

impl Stream for Bounded {
    type Item = Result<Bytes, ReadError>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.unparsed.load(Ordering::Relaxed) > MAX_EVENT_BYTES {
            return Poll::Ready(Some(Err(ReadError::Endless)));
        }
        let data = ready!(Pin::new(&mut self.body).poll_next(cx));
        if let Some(Ok(data)) = &data {
            self.unparsed.fetch_add(data.len(), Ordering::Relaxed);
        }
        Poll::Ready(data.map(|data| data.map_err(ReadError::from)))
    }
}

/// The event stream of one generation, decoded from server-sent events.
///
/// The stream ends after [`Event::End`] or after its first error.
pub struct Tokens {
    events: EventStream<Bounded>,
    /// The number of bytes since the last event.
    unparsed: Arc<AtomicUsize>,
    state: State,
}

impl fmt::Debug for Tokens {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut tokens = f.debug_struct("Tokens");
        tokens.field("state", &self.state).finish_non_exhaustive()
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Open,
    Closed,
}

impl Stream for Tokens {
    type Item = Result<Event, Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.state == State::Closed {
            return Poll::Ready(None);
        }
        let item = match ready!(Pin::new(&mut self.events).poll_next(cx)) {
            Some(Ok(event)) => {
                self.unparsed.store(0, Ordering::Relaxed);
                serde_json::from_str(&event.data).map_err(|_| Error::Malformed)
            }
            Some(Err(EventStreamError::Transport(ReadError::Lost(_)))) | None => {
                Err(Error::Interrupted)
            }
            Some(Err(_)) => Err(Error::Malformed),
        };
        if !matches!(item, Ok(Event::Token { .. })) {
            self.state = State::Closed;
        }
        Poll::Ready(Some(item))
    }
}

impl Engine for Client {
    type Tokens = Tokens;

    async fn generate(&self, prompt: &Prompt) -> Result<Tokens, Error> {
        let request = self.unpooled.json(Method::POST, "/v1/generate", prompt);
        self.open_stream(request).await
    }

    async fn resume(&self, generation: Attempt, index: u64) -> Result<Tokens, Error> {
        let path = format!("/v1/generations/{generation}?from={index}");
        let opening = self.open_stream(self.unpooled.request(Method::GET, &path));
        // The engine already has the generation, so its response starts immediately
        // and can have a timeout.
        let opened = tokio::time::timeout(CALL_TIMEOUT, opening).await;
        opened.unwrap_or(Err(Error::Interrupted))
    }

    async fn cancel(&self, generation: Attempt) -> Result<(), Error> {
        let path = format!("/v1/generations/{generation}");
        let request = self.unpooled.request(Method::DELETE, &path);
        let answer = self.call(&self.unpooled, request).await?;
        match answer.status() {
            StatusCode::NOT_FOUND => Ok(()),
            status => check_status(status),
        }
    }

    async fn load(&self) -> Result<Load, Error> {
        self.get_json("/v1/load").await
    }

    async fn cache_events(&self, after: u64) -> Result<Vec<CacheEvent>, Error> {
        self.get_json(&format!("/v1/cache-events?after={after}"))
            .await
    }

    async fn order(&self, order: &Order) -> Result<(), Error> {
        let request = self.unpooled.json(Method::POST, "/v1/orders", order);
        let answer = self.call(&self.unpooled, request).await?;
        check_status(answer.status())
    }
}

fn from_failure(failure: Failure) -> Error {
    match failure {
        Failure::Unreachable => Error::Unreachable,
        Failure::Interrupted => Error::Interrupted,
        Failure::TooLarge => Error::Malformed,
    }
}

/// Maps a status code to an error.
///
/// Only the codes that tell that the engine ran nothing become [`Error::Refused`] or
/// [`Error::Fenced`].
fn check_status(status: StatusCode) -> Result<(), Error> {
    match status {
        StatusCode::PRECONDITION_FAILED => Err(Error::Fenced),
        StatusCode::SERVICE_UNAVAILABLE => Err(Error::Refused),
        status if status.is_success() => Ok(()),
        status if status.is_client_error() => Err(Error::Refused),
        _ => Err(Error::Interrupted),
    }
}
