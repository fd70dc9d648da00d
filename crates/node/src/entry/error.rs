//! Error responses to callers, as JSON.

use axum::{
    Json,
    http::{HeaderValue, StatusCode, header},
    response::{IntoResponse, Response},
};
use cactusroad_core::{
    Time,
    refusal::{Effect, Kind, Refusal},
};
use serde::Serialize;

use crate::clock;

/// Header with the effect of the request, for callers that do not parse the body.
pub(super) const EFFECT_HEADER: &str = "x-cactusroad-effect";

/// The body of an error response.
#[derive(Debug, Serialize)]
pub(super) struct Body {
    error: Detail,
}

#[derive(Debug, Serialize)]
struct Detail {
    message: String,
    #[serde(rename = "type")]
    kind: Kind,
    code: Kind,
    effect: Effect,
    remedy: String,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_at_ms: Option<u64>,
}

impl From<&Refusal> for Body {
    fn from(refusal: &Refusal) -> Body {
        Body {
            error: Detail {
                message: refusal.message.to_string(),
                kind: refusal.kind,
                code: refusal.kind,
                effect: refusal.effect,
                remedy: refusal.remedy.to_string(),
                retry_at_ms: refusal.retry_at.map(Time::as_millis),
            },
        }
    }
}

/// Returns the body of an error response as JSON.
pub(super) fn json(refusal: &Refusal) -> String {
    serde_json::to_string(&Body::from(refusal)).expect("the body of an error can be serialised")
}

/// Returns the HTTP status for a kind of refusal.
pub(super) fn status(kind: Kind) -> StatusCode {
    match kind {
        Kind::BadRequest => StatusCode::BAD_REQUEST,
        Kind::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        Kind::Unauthorized => StatusCode::UNAUTHORIZED,
        Kind::NotFound => StatusCode::NOT_FOUND,
        Kind::RateLimited => StatusCode::TOO_MANY_REQUESTS,
        Kind::Overloaded | Kind::Unavailable | Kind::Draining => StatusCode::SERVICE_UNAVAILABLE,
        Kind::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        Kind::KeyConflict => StatusCode::UNPROCESSABLE_ENTITY,
        Kind::KeyInUse => StatusCode::CONFLICT,
        Kind::CrashesEndpoints => StatusCode::UNPROCESSABLE_ENTITY,
        Kind::EndpointDied => StatusCode::BAD_GATEWAY,
        Kind::StreamGone => StatusCode::GONE,
        Kind::SlowCaller | Kind::Cancelled => StatusCode::REQUEST_TIMEOUT,
        Kind::Internal => StatusCode::INTERNAL_SERVER_ERROR,
    }
}

/// Returns the error response for a refusal.
pub(super) fn response(refusal: &Refusal) -> Response {
    let mut response = (status(refusal.kind), Json(Body::from(refusal))).into_response();
    let headers = response.headers_mut();
    headers.insert(
        EFFECT_HEADER,
        HeaderValue::from_static(refusal.effect.into()),
    );
    if let Some(retry_at) = refusal.retry_at {
        let seconds = retry_at.since(clock::now()).as_secs_f64().ceil();
        headers.insert(header::RETRY_AFTER, HeaderValue::from(seconds as u64));
    }
    response
}
