//! A caller, as small as the demo and the benchmarks need it.

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

/// The workspace in whose name the demo calls.
pub const WORKSPACE: &str = "workshop";

/// Why a call failed.
#[derive(Debug)]
pub enum Error {
    /// The connection was refused or broke.
    Connection(String),
    /// The answer was an error, with its body.
    Refused(StatusCode, Value),
    /// The answer is not what the protocol says.
    Malformed(String),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Connection(cause) => write!(f, "the connection failed: {cause}"),
            Error::Refused(status, body) => write!(f, "refused with {status}: {body}"),
            Error::Malformed(cause) => write!(f, "the answer cannot be read: {cause}"),
        }
    }
}

impl std::error::Error for Error {}

/// One piece of a streamed generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Piece {
    /// A token and the id of its event.
    Token {
        /// The id, to come back with.
        id: EventId,
        /// The text.
        text: String,
    },
    /// The generation is whole.
    Done,
    /// The stream ended with an error, as its JSON body says.
    Error(Value),
}

type Events = Pin<Box<dyn Stream<Item = Result<Event, String>> + Send>>;

/// A streamed generation.
pub struct Generation {
    events: Events,
}

impl Generation {
    /// Waits for the next piece; `None` where the connection ended without a last one.
    ///
    /// # Errors
    ///
    /// Fails where the connection breaks or an event cannot be read.
    pub async fn next(&mut self) -> Result<Option<Piece>, Error> {
        loop {
            let Some(event) = self.events.next().await else {
                return Ok(None);
            };
            let event = event.map_err(Error::Connection)?;
            if let Some(piece) = piece(&event)? {
                return Ok(Some(piece));
            }
        }
    }
}

/// Turns an event into a piece; the part that only says why a stream ended is none.
fn piece(event: &Event) -> Result<Option<Piece>, Error> {
    if event.data == "[DONE]" {
        return Ok(Some(Piece::Done));
    }
    let malformed = |cause: String| Error::Malformed(format!("{cause} in {:?}", event.data));
    let data: Value =
        serde_json::from_str(&event.data).map_err(|cause| malformed(cause.to_string()))?;
    if event.event == "error" {
        return Ok(Some(Piece::Error(data)));
    }
    let choice = &data["choices"][0];
    if !choice["finish_reason"].is_null() {
        return Ok(None);
    }
    let text = choice["text"]
        .as_str()
        .or(choice["delta"]["content"].as_str());
    let text = text.ok_or_else(|| malformed("no text".to_owned()))?;
    let id = event
        .id
        .parse()
        .map_err(|_| malformed(format!("a bad event id {:?}", event.id)))?;
    Ok(Some(Piece::Token {
        id,
        text: text.to_owned(),
    }))
}

/// A caller.
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
    /// Returns a caller without open connections.
    pub fn new() -> Client {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Client {
            http: Http::builder(TokioExecutor::new()).build(connector),
        }
    }

    /// Starts a streamed generation, or takes one up after the event `last`.
    ///
    /// # Errors
    ///
    /// Fails where the entry refuses.
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

    /// Calls a plain service and returns its JSON answer.
    ///
    /// # Errors
    ///
    /// Fails where the entry refuses.
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
