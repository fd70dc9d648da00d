//! A client of the store that uses HTTP, as described in `docs/PROTOCOL.md`.

use std::{sync::Arc, time::Duration};

use bytes::Bytes;
use http::{
    HeaderValue, Method, Request, StatusCode,
    header::{ETAG, IF_MATCH, IF_NONE_MATCH},
};
use serde::Deserialize;

use super::{Change, Error, Expect, Object, Store, Version};
use crate::{
    address::Address,
    transport::{Answer, Failure, Transport, percent_encode, read_json},
};

/// The default timeout of a call; for a watch, its wait time is added.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The maximum size of a response body.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// An HTTP client of the store.
#[derive(Clone, Debug)]
pub struct Client {
    transport: Transport,
    timeout: Duration,
}

impl Client {
    /// Returns a client of the store at `address`.
    pub fn new(address: &Address) -> Client {
        Client {
            transport: Transport::pooled(address),
            timeout: CALL_TIMEOUT,
        }
    }

    /// Sets the timeout of a call; for a watch, its wait time is added.
    #[must_use]
    pub fn with_timeout(mut self, timeout: Duration) -> Client {
        self.timeout = timeout;
        self
    }

    async fn call(&self, request: Request<Bytes>, timeout: Duration) -> Result<Answer, Error> {
        let call = self
            .transport
            .call_within(request, MAX_ANSWER_BYTES, timeout);
        let answer = call.await.map_err(|failure| match failure {
            Failure::Unreachable => Error::Unavailable,
            Failure::Interrupted => Error::Unanswered,
            Failure::TooLarge => Error::Malformed,
        })?;
        match answer.status() {
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(Error::Unavailable)
            }
            StatusCode::PRECONDITION_FAILED => Err(Error::Conflict),
            StatusCode::PAYLOAD_TOO_LARGE => Err(Error::TooLarge),
            status if status.is_server_error() => Err(Error::Unanswered),
            _ => Ok(answer),
        }
    }

    fn object_request(&self, method: Method, key: &str) -> Request<Bytes> {
        let path = format!("/v1/objects/{}", percent_encode(key));
        self.transport.request(method, &path)
    }

    async fn get_changes(&self, path: &str, timeout: Duration) -> Result<Change, Error> {
        let request = self.transport.request(Method::GET, path);
        let answer = self.call(request, timeout).await?;
        let listing: Listing = read_json(&answer).ok_or(Error::Malformed)?;
        let objects = listing.objects.into_iter();
        Ok(Change {
            position: listing.position,
            objects: objects.map(|o| (o.key, Version(o.version))).collect(),
        })
    }
}

#[derive(Deserialize)]
struct Listing {
    position: u64,
    objects: Vec<ListedObject>,
}

#[derive(Deserialize)]
struct ListedObject {
    key: Arc<str>,
    version: u64,
}

impl Store for Client {
    async fn get(&self, key: &str) -> Result<Option<Object>, Error> {
        let answer = self
            .call(self.object_request(Method::GET, key), self.timeout)
            .await?;
        match answer.status() {
            StatusCode::OK => Ok(Some(Object {
                key: key.into(),
                version: parse_etag(&answer)?,
                value: answer.into_body(),
            })),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(Error::Malformed),
        }
    }

    async fn put(&self, key: &str, expect: Expect, value: Bytes) -> Result<Version, Error> {
        let mut request = self.object_request(Method::PUT, key).map(|_| value);
        let (name, tag) = match expect {
            Expect::Absent => (IF_NONE_MATCH, HeaderValue::from_static("*")),
            Expect::At(version) => (IF_MATCH, format_etag(version)),
        };
        request.headers_mut().insert(name, tag);
        let answer = self.call(request, self.timeout).await?;
        match answer.status() {
            StatusCode::OK => parse_etag(&answer),
            _ => Err(Error::Malformed),
        }
    }

    async fn delete(&self, key: &str, at: Version) -> Result<(), Error> {
        let mut request = self.object_request(Method::DELETE, key);
        request.headers_mut().insert(IF_MATCH, format_etag(at));
        let answer = self.call(request, self.timeout).await?;
        match answer.status() {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            _ => Err(Error::Malformed),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Change, Error> {
        let path = format!("/v1/objects?prefix={}", percent_encode(prefix));
        self.get_changes(&path, self.timeout).await
    }

    async fn watch(&self, prefix: &str, position: u64, wait: Duration) -> Result<Change, Error> {
        let prefix = percent_encode(prefix);
        let wait_ms = wait.as_millis();
        let path = format!("/v1/watch?prefix={prefix}&after={position}&wait_ms={wait_ms}");
        self.get_changes(&path, wait + self.timeout).await
    }
}

fn format_etag(version: Version) -> HeaderValue {
    HeaderValue::try_from(format!("\"{}\"", version.0))
        .expect("quoted digits are a valid header value")
}

fn parse_etag(answer: &Answer) -> Result<Version, Error> {
    let tag = answer.headers().get(ETAG).and_then(|tag| tag.to_str().ok());
    tag.and_then(|tag| tag.trim_matches('"').parse().ok())
        .map(Version)
        .ok_or(Error::Malformed)
}
