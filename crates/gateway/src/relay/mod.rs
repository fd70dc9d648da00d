//! Relays the changes of the store from one gateway to another.
//!
//! Each gateway keeps the last change of each object that it knows, in one [`Feed`] for
//! each kind. A follower asks for the changes since a position, and the request waits
//! until there are some. Intermediate states of an object are not kept: a follower needs
//! only the last one. [`cactusroad_core::relay`] decides who follows whom, and whether an
//! answer is recent enough.

mod client;
mod feed;

use std::time::Duration;

use bytes::Bytes;
use cactusroad_core::{history::Position, relay::Limits};
use cactusroad_platform::store::Kind;
use cactusroad_wire as wire;
use http::StatusCode;

pub(crate) use client::{Client, Update};
pub(crate) use feed::Feed;

use crate::state::State;

/// The path below which changes are read: `/changes/KIND/REVISION/WAIT_MS/ERA`. Earlier
/// releases send no era.
const PATH: &str = "/changes/";

/// The maximum wait of a follower's request.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// The kinds that are relayed.
const KINDS: [Kind; 5] = [
    Kind::Config,
    Kind::Servers,
    Kind::Evacuations,
    Kind::Crashes,
    Kind::Evidence,
];

/// How long a watch of the store waits for changes of a kind that changes rarely. It is made
/// again when one of another kind fails.
pub(crate) const RARE_WAIT: Duration = Duration::from_secs(20);

/// The limits within which a relay must answer about such a kind. The age is that of a whole
/// watch: a relay that has lost the store is found by its answers about other kinds.
pub(crate) const RARE_LIMITS: Limits = Limits {
    wait: Duration::from_secs(2),
    timeout: Duration::from_millis(600),
    max_age: Duration::from_secs(25),
    spacing: Duration::from_millis(200),
};

/// The feeds of all kinds.
#[derive(Debug, Default)]
pub(crate) struct Feeds([Feed; KINDS.len()]);

impl Feeds {
    /// Returns the feed of a kind, if it is relayed.
    pub(crate) fn get(&self, kind: Kind) -> Option<&Feed> {
        let index = KINDS.iter().position(|relayed| *relayed == kind)?;
        Some(&self.0[index])
    }
}

fn path(kind: Kind, since: Position, wait: Duration) -> String {
    let Position { era, revision } = since;
    format!("{PATH}{kind}/{revision}/{}/{era}", wait.as_millis())
}

/// Answers a follower, or returns `None` if the path is of another service.
pub(crate) async fn answer(state: &State, path: &str) -> Option<(StatusCode, Bytes)> {
    let mut parts = path.strip_prefix(PATH)?.split('/');
    let kind = parts.next().unwrap_or("");
    let kind = KINDS
        .into_iter()
        .find(|relayed| relayed.to_string() == kind);
    let mut number = || parts.next().and_then(|part| part.parse::<u64>().ok());
    let (Some(kind), Some(revision), Some(wait_ms)) = (kind, number(), number()) else {
        return Some((StatusCode::BAD_REQUEST, Bytes::new()));
    };
    let since = Position::new(number().unwrap_or(0), revision);
    let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
    let changes = match state.feeds.get(kind) {
        // A gateway that stops would soon leave its followers without an answer.
        Some(feed) if state.stopping.borrow().is_none() => feed.wait(since, wait).await,
        _ => None,
    };
    Some(match changes {
        Some(changes) => (StatusCode::OK, wire::encode(&changes)),
        None => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    })
}
