//! Who calls, and until when the answer is wanted.

use std::{sync::Arc, time::Duration};

use axum::http::HeaderMap;
use cactusroad_core::{
    Time,
    config::{Route, Snapshot, Workspace},
    refusal::{Effect, Kind, Refusal},
};
use sha2::{Digest, Sha256};

use crate::clock;

/// The header that names the workspace.
const WORKSPACE_HEADER: &str = "x-workspace";
/// The header in which a caller says how long it waits, in milliseconds.
const TIMEOUT_HEADER: &str = "x-timeout-ms";
/// The header in which a caller gives its deadline, in milliseconds since the Unix epoch.
const DEADLINE_HEADER: &str = "x-deadline-ms";

/// Finds the workspace of a call and checks its key.
///
/// # Errors
///
/// Refuses where the workspace is missing or unknown, or the key is wrong.
pub(super) fn workspace(headers: &HeaderMap, config: &Snapshot) -> Result<Workspace, Refusal> {
    let name = text(headers, WORKSPACE_HEADER).ok_or_else(|| {
        Refusal::new(
            Kind::BadRequest,
            Effect::NotRun,
            "The header x-workspace is missing.",
            "Send the name of the workspace in it.",
        )
    })?;
    let workspace = config.workspace(name).ok_or_else(|| {
        Refusal::new(
            Kind::NotFound,
            Effect::NotRun,
            format!("No workspace {name:?} is in force."),
            "Check the header x-workspace, or ask the operators to add the workspace.",
        )
    })?;
    match is_admitted(headers, &workspace.key_digests) {
        true => Ok(workspace.clone()),
        false => Err(Refusal::new(
            Kind::Unauthorized,
            Effect::NotRun,
            "The key is missing or is not one of the workspace's.",
            "Send a valid key as `Authorization: Bearer KEY`.",
        )),
    }
}

/// Tells whether the call holds a key with one of the digests, or none is asked.
fn is_admitted(headers: &HeaderMap, digests: &[Arc<str>]) -> bool {
    if digests.is_empty() {
        return true;
    }
    let Some(key) = text(headers, "authorization").and_then(|text| text.strip_prefix("Bearer "))
    else {
        return false;
    };
    // The digests are compared, so the time that this takes tells nothing of a key.
    let digest = hex::encode(Sha256::digest(key.as_bytes()));
    digests
        .iter()
        .any(|known| known.eq_ignore_ascii_case(&digest))
}

/// Finds a route by its name.
///
/// # Errors
///
/// Refuses where no such route is in force.
pub(super) fn route<'a>(name: &str, config: &'a Snapshot) -> Result<&'a Route, Refusal> {
    config.route(name).ok_or_else(|| {
        Refusal::new(
            Kind::NotFound,
            Effect::NotRun,
            format!("No route {name:?} is in force."),
            "Check the name, or ask the operators to add the route.",
        )
    })
}

/// Returns the deadline of a call: the caller's, or the route's where that is earlier.
///
/// # Errors
///
/// Refuses a deadline that is no number or has passed.
pub(super) fn deadline(headers: &HeaderMap, route: &Route) -> Result<Time, Refusal> {
    let now = clock::now();
    let latest = now + Duration::from_millis(route.timeout_ms);
    let asked = match (
        number(headers, TIMEOUT_HEADER)?,
        number(headers, DEADLINE_HEADER)?,
    ) {
        (Some(timeout), _) => now + Duration::from_millis(timeout),
        (None, Some(deadline)) => Time::from_millis(deadline),
        (None, None) => latest,
    };
    if asked.is_past(now) {
        return Err(Refusal::new(
            Kind::DeadlineExceeded,
            Effect::NotRun,
            "The deadline of the call has passed.",
            "Allow more time.",
        ));
    }
    Ok(asked.min(latest))
}

fn number(headers: &HeaderMap, name: &str) -> Result<Option<u64>, Refusal> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    let number = value.to_str().ok().and_then(|text| text.parse().ok());
    number.map(Some).ok_or_else(|| {
        Refusal::new(
            Kind::BadRequest,
            Effect::NotRun,
            format!("The header {name} is no whole number."),
            "Write it in milliseconds.",
        )
    })
}

/// Returns a header as text.
pub(super) fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
