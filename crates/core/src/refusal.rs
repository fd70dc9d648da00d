//! The one error form for callers.
//!
//! Whatever goes wrong with a request, its caller learns three things: what
//! happened ([`Kind`]), whether the request took effect ([`Effect`]) and what to
//! do next. [`Effect::NotRun`] is a promise, so it is never a default: it is set
//! only where nothing was dispatched, or where the agent beside the endpoint
//! confirms that the endpoint was not given the request.

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
    /// The endpoint was not given the request and will not be.
    NotRun,
    /// The endpoint may have run the request, in whole or in part.
    Unknown,
    /// The endpoint ran the request, but its answer cannot be given.
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
    /// The key is missing or wrong for the workspace.
    Unauthorized,
    /// No such route or workspace is in force.
    NotFound,
    /// The workspace is over its limit.
    RateLimited,
    /// The endpoints of the route are full.
    Overloaded,
    /// No endpoint of the route can be reached.
    Unavailable,
    /// The deadline of the request passed.
    DeadlineExceeded,
    /// The idempotency key was used with another body.
    KeyConflict,
    /// A request with the same idempotency key is running or its answer was lost.
    KeyInUse,
    /// The request crashed endpoints before and is refused until a deadline.
    CrashesEndpoints,
    /// The endpoint died while it ran the request.
    EndpointDied,
    /// The stream named by the event id is no longer kept.
    StreamGone,
    /// The caller read too slowly.
    SlowCaller,
    /// The caller went away.
    Cancelled,
    /// The process is draining.
    Draining,
    /// A fault of the system itself.
    Internal,
}

/// A request that was refused or broke off, as its caller is told.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refusal {
    /// What went wrong.
    pub kind: Kind,
    /// Whether the request took effect.
    pub effect: Effect,
    /// What was found, in a sentence.
    pub message: Cow<'static, str>,
    /// What the caller can do about it, in a sentence.
    pub remedy: Cow<'static, str>,
    /// The earliest time at which a repeat is useful.
    pub retry_at: Option<Time>,
}

impl Refusal {
    /// Returns a refusal with no time to retry.
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

    /// Sets the earliest time at which a repeat is useful.
    #[must_use]
    pub fn retry_at(mut self, deadline: Time) -> Refusal {
        self.retry_at = Some(deadline);
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
