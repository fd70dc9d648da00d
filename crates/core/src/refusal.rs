//! The error type for callers.
//!
//! Every failed request tells its caller what happened ([`Kind`]), whether the
//! request took effect ([`Effect`]) and what to do next. Callers rely on
//! [`Effect::NotRun`] to retry safely, so it is never a default. It is set only
//! if nothing was dispatched, or if the agent beside the endpoint confirms that
//! the request was not passed to the endpoint.

use std::{borrow::Cow, fmt};

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, IntoStaticStr};

use crate::Time;

/// Whether the refused request took effect at an endpoint.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Effect {
    /// The request was not passed to the endpoint and will not be.
    NotRun,
    /// The endpoint may have run the request, in whole or in part.
    Unknown,
    /// The endpoint ran the request, but its response cannot be returned.
    Ran,
}

/// What went wrong.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, Display, EnumString, IntoStaticStr,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Kind {
    /// The request is malformed.
    BadRequest,
    /// The request is larger than the entry accepts.
    TooLarge,
    /// The API key is missing or not valid for the workspace.
    Unauthorized,
    /// The route or workspace does not exist in the current configuration.
    NotFound,
    /// The workspace has exceeded its rate limit.
    RateLimited,
    /// The endpoints of the route have no free capacity.
    Overloaded,
    /// No endpoint of the route can be reached.
    Unavailable,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The idempotency key was already used with another body.
    KeyConflict,
    /// A request with the same idempotency key is running, or its response was lost.
    KeyInUse,
    /// The request is suspected of crashing endpoints and is refused until a deadline.
    CrashesEndpoints,
    /// The endpoint crashed while it ran the request.
    EndpointDied,
    /// The stream that the event ID refers to is no longer buffered.
    StreamGone,
    /// The caller read the response too slowly.
    SlowCaller,
    /// The caller disconnected.
    Cancelled,
    /// The process is draining.
    Draining,
    /// An internal error.
    Internal,
}

/// The error that a caller gets for a request that was refused or aborted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What went wrong.
    pub kind: Kind,
    /// Whether the request took effect.
    pub effect: Effect,
    /// What went wrong, in one sentence.
    pub message: Cow<'static, str>,
    /// What the caller can do about it, in one sentence.
    pub remedy: Cow<'static, str>,
    /// The earliest time at which a retry is useful.
    pub retry_at: Option<Time>,
}

impl Refusal {
    /// Returns a refusal without a retry time.
    pub fn new(
        kind: Kind,
        effect: Effect,
        message: impl Into<Cow<'static, str>>,
        remedy: impl Into<Cow<'static, str>>,
    ) -> Refusal {
        Refusal {
            kind,
            effect,
            message: message.into(),
            remedy: remedy.into(),
            retry_at: None,
        }
    }

    /// Sets the earliest time at which a retry is useful.
    #[must_use]
    pub fn retry_at(mut self, time: Time) -> Refusal {
        self.retry_at = Some(time);
        self
    }

    /// Returns the same refusal with another effect.
    #[must_use]
    pub fn with_effect(mut self, effect: Effect) -> Refusal {
        self.effect = effect;
        self
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{} ({}): {} {}",
            self.kind, self.effect, self.message, self.remedy
        )
    }
}

impl std::error::Error for Refusal {}
