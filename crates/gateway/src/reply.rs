//! Responses to callers.

use std::{
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use http_body::Frame;
use rand::Rng;
use tokio::sync::mpsc;

/// The minimum delay before a refused caller retries. By then this gateway has newer
/// load reports of its endpoints.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(300);

/// The jitter of the retry delay, so that callers refused together do not retry
/// together.
const RETRY_AFTER_JITTER: Duration = Duration::from_millis(500);

/// A stream that ended early. The connection is closed without the end of the
/// body, so that the response does not look complete.
#[derive(Debug, thiserror::Error)]
#[error("the stream ended before its last event")]
pub(crate) struct Truncated;

/// The body of a response.
#[derive(Debug)]
pub(crate) enum Body {
    /// All bytes at once.
    Whole(Option<Bytes>),
    /// Events of a stream, as they arrive.
    Events(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl http_body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Body::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Body::Events(events) => events
                .poll_recv(context)
                .map(|event| event.map(|event| event.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Body::Whole(bytes) => bytes.as_ref().is_none_or(Bytes::is_empty),
            Body::Events(_) => false,
        }
    }

    fn size_hint(&self) -> http_body::SizeHint {
        match self {
            Body::Whole(bytes) => {
                let length = bytes.as_ref().map_or(0, Bytes::len);
                http_body::SizeHint::with_exact(length as u64)
            }
            Body::Events(_) => http_body::SizeHint::default(),
        }
    }
}

/// Returns a response that the gateway generates itself, with `message` as JSON.
pub(crate) fn local_response(status: StatusCode, message: &str) -> Response<Body> {
    let text = serde_json::json!({ "error": message }).to_string();
    let mut response = Response::new(Body::Whole(Some(text.into())));
    *response.status_mut() = status;
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

/// Returns a response that states that the request was not run, and when to retry.
pub(crate) fn refusal(message: &str, retry_after: Duration) -> Response<Body> {
    let mut response = local_response(StatusCode::SERVICE_UNAVAILABLE, message);
    let seconds = format!("{:.3}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Returns whether a status tells the caller that the request was not run. An
/// endpoint's response with such a status is forwarded only if the endpoint states
/// this explicitly as well.
pub(crate) fn asserts_not_run(status: StatusCode) -> bool {
    [
        StatusCode::TOO_MANY_REQUESTS,
        StatusCode::SERVICE_UNAVAILABLE,
        StatusCode::REQUEST_TIMEOUT,
    ]
    .contains(&status)
}

/// Returns a random delay after which a refused caller may retry.
pub(crate) fn retry_after() -> Duration {
    MIN_RETRY_AFTER + RETRY_AFTER_JITTER.mul_f64(rand::rng().random_range(0.0..1.0))
}

/// Closes the caller's connection after this response.
pub(crate) fn close_connection(response: &mut Response<Body>) {
    response
        .headers_mut()
        .insert(header::CONNECTION, HeaderValue::from_static("close"));
}
