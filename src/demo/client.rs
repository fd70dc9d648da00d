//! A minimal HTTP client for the demo, the tests and the benchmarks.

use std::{fmt, net::SocketAddr, pin::Pin};

use bytes::Bytes;
use cactusroad_core::stream::EventId;
use eventsource_stream::{Event, Eventsource};
use futures_util::{Stream, StreamExt};
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyDataStream, BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client as Http, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

/// The workspace of the demo's requests.
pub const WORKSPACE: &str = "workshop";

/// An error of a call.
#[derive(Debug)]
pub enum Error {
    /// The connection was refused or broke.
    Connection(String),
    /// The entry answered with an error status and this body.
    Refused(StatusCode, Value),
    /// The answer violates the protocol.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connection(cause) => write!(f, "the connection failed: {cause}"),
            Error::Refused(status, body) => write!(f, "refused with {status}: {body}"),
            Error::Malformed(cause) => write!(f, "the answer is malformed: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// An event of a streamed generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// A token and the id of its event.
    Token {
        /// The id, with which the stream can be resumed after this token.
        id: EventId,
        /// The text of the token.
        text: String,
    },
    /// The generation is complete.
    Done,
    /// The stream ended with an error, whose JSON body this is.
    Error(Value),
}

type Events = Pin<Box<dyn Stream<Item = Result<Event, String>> + Send>>;

/// A streamed generation.
pub struct Generation {
    events: Events,
}

impl Generation {
    /// Waits for the next event; `None` if the connection ended.
    ///
    /// A connection that ends without [`StreamEvent::Done`] or [`StreamEvent::Error`] was cut.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or an event is malformed.
    pub async fn next(&mut self) -> Result<Option<StreamEvent>, Error> {
        loop {
            let Some(event) = self.events.next().await else {
                return Ok(None);
            };
            let event = event.map_err(Error::Connection)?;
            if let Some(parsed) = parse_event(&event)? {
                return Ok(Some(parsed));
            }
        }
    }
}

/// Parses an event; `None` for the chunk that has only a finish reason.
fn parse_event(event: &Event) -> Result<Option<StreamEvent>, Error> {
    if event.data == "[DONE]" {
        return Ok(Some(StreamEvent::Done));
    }
    let malformed = |cause: String| Error::Malformed(format!("{cause} in {:?}", event.data));
    let data: Value =
        serde_json::from_str(&event.data).map_err(|cause| malformed(cause.to_string()))?;
    if event.event == "error" {
        return Ok(Some(StreamEvent::Error(data)));
    }
    let choice = &data["choices"][0];
    if !choice["finish_reason"].is_null() {
        return Ok(None);
    }
    let text = choice["text"]
        .as_str()
        .or(choice["delta"]["content"].as_str());
    let text = text.ok_or_else(|| malformed("missing text".to_owned()))?;
    let id = event
        .id
        .parse()
        .map_err(|_| malformed(format!("invalid event id {:?}", event.id)))?;
    Ok(Some(StreamEvent::Token {
        id,
        text: text.to_owned(),
    }))
}

/// An HTTP client that calls entries.
#[derive(Clone, Debug)]
pub struct Client {
    http: Http<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Client {
        Client::new()
    }
}

impl Client {
    /// Returns a client without open connections.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client {
            http: Http::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Starts a streamed generation, or resumes one after the event `last`.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the entry refuses the request.
    pub async fn generate(
        &self,
        entry: SocketAddr,
        route: &str,
        prompt: &str,
        max_tokens: u32,
        last: Option<&EventId>,
    ) -> Result<Generation, Error> {
        let body = json!({
            "model": route,
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": true,
        });
        let mut request = Request::post(format!("http://{entry}/v1/completions"))
            .header("x-workspace", WORKSPACE)
            .header("content-type", "application/json");
        if let Some(last) = last {
            request = request.header("last-event-id", last.to_string());
        }
        let request = request
            .body(Full::from(body.to_string()))
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
        let response = self.send(request).await?;
        let data = BodyDataStream::new(response.into_body())
            .map(|chunk| chunk.map_err(|cause| cause.to_string()));
        let events = data
            .eventsource()
            .map(|event| event.map_err(|cause| cause.to_string()));
        Ok(Generation {
            events: Box::pin(events),
        })
    }

    /// Calls a plain service, with an idempotency key if given, and returns its JSON answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, the entry refuses the call, or the answer is not JSON.
    pub async fn call(
        &self,
        entry: SocketAddr,
        path: &str,
        key: Option<&str>,
        body: &Value,
    ) -> Result<Value, Error> {
        let mut request = Request::builder()
            .method(Method::POST)
            .uri(format!("http://{entry}/services/{path}"))
            .header("x-workspace", WORKSPACE)
            .header("content-type", "application/json");
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let request = request
            .body(Full::from(body.to_string()))
            .map_err(|cause| Error::Malformed(cause.to_string()))?;
        let response = self.send(request).await?;
        json_body(response).await
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Response<Incoming>, Error> {
        let response = self
            .http
            .request(request)
            .await
            .map_err(|cause| Error::Connection(cause.to_string()))?;
        if response.status().is_success() {
            return Ok(response);
        }
        let status = response.status();
        Err(Error::Refused(status, json_body(response).await?))
    }
}

async fn json_body(response: Response<Incoming>) -> Result<Value, Error> {
    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|cause| Error::Connection(cause.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|cause| Error::Malformed(cause.to_string()))
}
