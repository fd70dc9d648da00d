//! The HTTP client shared by the adapters.
//!
//! Failures are classified by whether the server can have received the request,
//! because that decides whether a retry is safe. A connection that could not be
//! established is [`Failure::Unreachable`]; any later failure to get a response
//! is [`Failure::Interrupted`]. The client retries a request on its own only if a
//! pooled connection was found closed before the first byte was written, so an
//! automatic retry never sends a request twice.
//!
//! An idle connection may be dead without either end having noticed, or may be
//! closed just as a request is written to it. Adapters whose callers would lose
//! a response that way open a new connection for each call.

use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use serde::{Serialize, de::DeserializeOwned};

use crate::address::Address;

/// The timeout of establishing a TCP connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// How long an idle connection stays in the pool.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of idle connections in the pool of one client.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// The memory for what was read and not yet parsed. It bounds the response head.
const MAX_READ_BUFFER_BYTES: usize = 32 * 1024;

/// The reason that a request got no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The connection could not be established, so the request was not sent.
    Unreachable,
    /// The connection failed or the call timed out; the server may have received the request.
    Interrupted,
    /// The response body exceeds the limit.
    TooLarge,
}

/// A response whose body has been read completely.
pub(crate) type Answer = Response<Bytes>;

/// An HTTP client of one external system.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    address: Address,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Transport {
    /// Returns a client that reuses connections.
    pub(crate) fn pooled(address: &Address) -> Transport {
        Transport::new(address, MAX_IDLE_CONNECTIONS)
    }

    /// Returns a client that opens a new connection for each call.
    pub(crate) fn unpooled(address: &Address) -> Transport {
        Transport::new(address, 0)
    }

    fn new(address: &Address, max_idle: usize) -> Transport {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .http1_max_buf_size(MAX_READ_BUFFER_BYTES)
            .build(connector);
        Transport {
            address: address.clone(),
            client,
        }
    }

    /// Returns the absolute URI of a path, or `None` if the result is not a valid URI.
    pub(crate) fn uri(&self, path: &str) -> Option<Uri> {
        format!("{}{path}", self.address).parse().ok()
    }

    /// Returns a request with an empty body.
    pub(crate) fn request(&self, method: Method, path: &str) -> Request<Bytes> {
        let mut request = Request::new(Bytes::new());
        *request.method_mut() = method;
        *request.uri_mut() = self
            .uri(path)
            .expect("adapters percent-encode the variable parts of a path");
        request
    }

    /// Returns a request with a JSON body.
    pub(crate) fn json(&self, method: Method, path: &str, body: &impl Serialize) -> Request<Bytes> {
        let body = serde_json::to_vec(body).expect("request types serialise to JSON");
        let mut request = self.request(method, path).map(|_| Bytes::from(body));
        let json = http::HeaderValue::from_static("application/json");
        request
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, json);
        request
    }

    /// Sends a request and waits for the response headers.
    pub(crate) async fn send(
        &self,
        request: Request<Bytes>,
    ) -> Result<Response<Incoming>, Failure> {
        let sent = self.client.request(request.map(Full::new)).await;
        sent.map_err(|error| match error.is_connect() {
            true => Failure::Unreachable,
            false => Failure::Interrupted,
        })
    }

    /// Sends a request and reads the complete response, with a body of at most `limit` bytes.
    pub(crate) async fn call(
        &self,
        request: Request<Bytes>,
        limit: usize,
    ) -> Result<Answer, Failure> {
        let (head, body) = self.send(request).await?.into_parts();
        let body = Limited::new(body, limit).collect().await;
        let body = body.map_err(
            |error| match error.is::<http_body_util::LengthLimitError>() {
                true => Failure::TooLarge,
                false => Failure::Interrupted,
            },
        )?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Like [`Transport::call`], but fails with [`Failure::Interrupted`] after `timeout`.
    pub(crate) async fn call_within(
        &self,
        request: Request<Bytes>,
        limit: usize,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let answer = tokio::time::timeout(timeout, self.call(request, limit)).await;
        answer.unwrap_or(Err(Failure::Interrupted))
    }
}

/// Parses the JSON body of a 200 response; returns `None` for any other status or invalid JSON.
pub(crate) fn read_json<T: DeserializeOwned>(answer: &Answer) -> Option<T> {
    match answer.status() {
        StatusCode::OK => serde_json::from_slice(answer.body()).ok(),
        _ => None,
    }
}

/// Percent-encodes a string for use in a path or a query, except for slashes.
pub(crate) fn percent_encode(text: &str) -> String {
    const UNESCAPED: &[u8] = b"-._~/";
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte.is_ascii_alphanumeric() || UNESCAPED.contains(&byte) {
            true => escaped.push(char::from(byte)),
            false => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}
