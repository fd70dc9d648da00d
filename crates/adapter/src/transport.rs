//! The HTTP client that the adapters share.
//!
//! The one distinction that matters to every adapter is made here: whether the
//! other side can have seen the request. A connection that could not be made is
//! [`Failure::Unreachable`]; everything after that is [`Failure::Broken`]. The
//! client repeats a request by itself only where a pooled connection turned out
//! to be closed before the first byte was written, which keeps the promise.
//!
//! A connection that was idle may be dead without either end knowing, or may be
//! closed just as a request is written to it. Where that would cost a caller its
//! answer, the adapter takes a new connection for each call.

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

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
const MAX_IDLE: usize = 8;

/// Why no answer came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failure {
    /// No connection could be made, so the request was not sent.
    Unreachable,
    /// The request may have been seen.
    Broken,
    /// The answer is larger than allowed.
    TooLarge,
}

/// A whole answer.
pub(crate) type Answer = Response<Bytes>;

/// A client of one outside system.
#[derive(Clone, Debug)]
pub(crate) struct Transport {
    address: Address,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Transport {
    /// Returns a client that keeps connections for later calls.
    pub(crate) fn pooled(address: &Address) -> Transport {
        Transport::new(address, MAX_IDLE)
    }

    /// Returns a client that makes a new connection for each call.
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
            .build(connector);
        Transport {
            address: address.clone(),
            client,
        }
    }

    /// Returns the full address of a path.
    pub(crate) fn uri(&self, path: &str) -> Option<Uri> {
        format!("{}{path}", self.address).parse().ok()
    }

    /// Returns a request with an empty body.
    pub(crate) fn request(&self, method: Method, path: &str) -> Request<Bytes> {
        let mut request = Request::new(Bytes::new());
        *request.method_mut() = method;
        *request.uri_mut() = self
            .uri(path)
            .expect("adapters escape what they put into a path");
        request
    }

    /// Returns a request whose body is JSON.
    pub(crate) fn json(&self, method: Method, path: &str, body: &impl Serialize) -> Request<Bytes> {
        let body = serde_json::to_vec(body).expect("the types of an adapter serialise");
        let mut request = self.request(method, path).map(|_| Bytes::from(body));
        let json = http::HeaderValue::from_static("application/json");
        request
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, json);
        request
    }

    /// Sends a request and waits for the head of the answer.
    pub(crate) async fn send(
        &self,
        request: Request<Bytes>,
    ) -> Result<Response<Incoming>, Failure> {
        let sent = self.client.request(request.map(Full::new)).await;
        sent.map_err(|error| match error.is_connect() {
            true => Failure::Unreachable,
            false => Failure::Broken,
        })
    }

    /// Sends a request and reads the whole answer.
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
                false => Failure::Broken,
            },
        )?;
        Ok(Response::from_parts(head, body.to_bytes()))
    }

    /// Does the same as [`Transport::call`], for at most `timeout`.
    pub(crate) async fn call_within(
        &self,
        request: Request<Bytes>,
        limit: usize,
        timeout: Duration,
    ) -> Result<Answer, Failure> {
        let answer = tokio::time::timeout(timeout, self.call(request, limit)).await;
        answer.unwrap_or(Err(Failure::Broken))
    }
}

/// Reads the JSON of a successful answer, or returns `None`.
pub(crate) fn read_json<T: DeserializeOwned>(answer: &Answer) -> Option<T> {
    match answer.status() {
        StatusCode::OK => serde_json::from_slice(answer.body()).ok(),
        _ => None,
    }
}

/// Escapes a text for use in a path or a query; slashes stay.
pub(crate) fn escape(text: &str) -> String {
    const PLAIN: &[u8] = b"-._~/";
    let mut escaped = String::with_capacity(text.len());
    for byte in text.bytes() {
        match byte.is_ascii_alphanumeric() || PLAIN.contains(&byte) {
            true => escaped.push(char::from(byte)),
            false => escaped.push_str(&format!("%{byte:02X}")),
        }
    }
    escaped
}
