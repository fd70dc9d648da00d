//! The refusals of claims, as returned to callers.

use super::MAX_BACKOFF;
use crate::{
    Time,
    refusal::{Effect, Kind, Refusal},
};

pub(super) fn conflict() -> Refusal {
    Refusal::new(
        Kind::KeyConflict,
        Effect::NotRun,
        "The idempotency key was used with another body.",
        "Send the body of the first request, or choose a new key for a new request.",
    )
}

pub(super) fn in_use(now: Time) -> Refusal {
    Refusal::new(
        Kind::KeyInUse,
        Effect::Unknown,
        "A request with this idempotency key was started and has no stored answer.",
        "Retry later with the same key; if no answer appears, ask the service for the result.",
    )
    .retry_at(now + MAX_BACKOFF)
}

pub(super) fn answer_not_kept() -> Refusal {
    Refusal::new(
        Kind::TooLarge,
        Effect::Ran,
        "The request ran, but its answer was too large to keep or is no longer kept.",
        "Ask the service for the result; do not send the request again under a new key.",
    )
}

pub(super) fn answer_unreadable() -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::Ran,
        "The request ran, but its stored answer could not be read in time.",
        "Retry later with the same key.",
    )
}

pub(super) fn claim_not_written() -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::NotRun,
        "The idempotency key could not be recorded in time, so this request was not dispatched.",
        "Retry later with the same key.",
    )
}

pub(super) fn full_index() -> Refusal {
    Refusal::new(
        Kind::Overloaded,
        Effect::NotRun,
        "The ledger partition holds its maximum number of idempotency keys.",
        "Retry later; operators can shorten the retention of keys.",
    )
}

pub(super) fn corrupt_object(prefix: &str) -> Refusal {
    Refusal::new(
        Kind::Internal,
        Effect::NotRun,
        format!("A ledger object under `{prefix}` is missing or malformed."),
        "Ask the operators to restore or move the objects under this prefix.",
    )
}
