//! Authenticates a request, and finds its route and its deadline.

use std::{sync::Arc, time::Duration};

use axum::http::HeaderMap;
use cactusroad_core::{
    Time,
    config::{Route, Snapshot, Workspace},
    refusal::{Effect, Kind, Refusal},
};
use sha2::{Digest, Sha256};

use crate::clock;

/// Header with the name of the workspace.
const WORKSPACE_HEADER: &str = "x-workspace";
/// Header with the caller's timeout, in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// Header with the caller's deadline, in milliseconds since the Unix epoch.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Finds the workspace of a request and checks the API key.
///
/// # Errors
///
/// Returns a refusal if the workspace is missing or unknown, or the key is not valid.
pub(super) fn workspace(headers: &HeaderMap, config: &Snapshot) -> Result<Workspace, Refusal> {
    let name = header(headers, WORKSPACE_HEADER).ok_or_else(|| {
        Refusal::new(
            Kind::BadRequest,
            Effect::NotRun,
            "The header x-workspace is missing.",
            "Send the name of the workspace in the header x-workspace.",
        )
    })?;
    let workspace = config.workspace(name).ok_or_else(|| {
        Refusal::new(
            Kind::NotFound,
            Effect::NotRun,
            format!("The workspace {name:?} does not exist."),
            "Check the header x-workspace, or ask the operators to add the workspace.",
        )
    })?;
    match has_valid_key(headers, &workspace.key_digests) {
        true => Ok(workspace.clone()),
        false => Err(Refusal::new(
            Kind::Unauthorized,
            Effect::NotRun,
            "The API key is missing or not valid for the workspace.",
            "Send a valid key as `Authorization: Bearer KEY`.",
        )),
    }
}

/// Returns whether the request has a key with one of the digests, or needs none.
fn has_valid_key(headers: &HeaderMap, digests: &[Arc<str>]) -> bool {
    if digests.is_empty() {
        return true;
    }
    let Some(key) = header(headers, "authorization").and_then(|text| text.strip_prefix("Bearer "))
    else {
        return false;
    };
    // Digests are compared instead of keys, so the timing reveals nothing about a key.
    let digest = hex::encode(Sha256::digest(key.as_bytes()));
    digests
        .iter()
        .any(|known| known.eq_ignore_ascii_case(&digest))
}

/// Finds a route by its name.
///
/// # Errors
///
/// Returns a refusal if the configuration in force has no such route.
pub(super) fn route<'a>(name: &str, config: &'a Snapshot) -> Result<&'a Route, Refusal> {
    config.route(name).ok_or_else(|| {
        Refusal::new(
            Kind::NotFound,
            Effect::NotRun,
            format!("The route {name:?} does not exist."),
            "Check the name, or ask the operators to add the route.",
        )
    })
}

/// Returns the deadline of a request: the caller's or the route's, whichever is earlier.
///
/// # Errors
///
/// Returns a refusal if the deadline is not a number or has passed.
pub(super) fn deadline(headers: &HeaderMap, route: &Route) -> Result<Time, Refusal> {
    let now = clock::now();
    let latest = now + Duration::from_millis(route.timeout_ms);
    let requested = match (
        millis(headers, TIMEOUT_HEADER)?,
        millis(headers, DEADLINE_HEADER)?,
    ) {
        (Some(timeout), _) => now + Duration::from_millis(timeout),
        (None, Some(deadline)) => Time::from_millis(deadline),
        (None, None) => latest,
    };
    if requested.is_past(now) {
        return Err(Refusal::new(
            Kind::DeadlineExceeded,
            Effect::NotRun,
            "The deadline of the request has passed.",
            "Send the request with a later deadline.",
        ));
    }
    Ok(requested.min(latest))
}

fn millis(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or_else(|| {
        Refusal::new(
            Kind::BadRequest,
            Effect::NotRun,
            format!("The value of the header {name} is not a whole number."),
            "Send the value as a whole number of milliseconds.",
        )
    })
}

/// Returns the value of a header if it is visible ASCII text.
pub(super) fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
