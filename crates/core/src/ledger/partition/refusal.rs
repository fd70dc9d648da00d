//! What callers are told where a claim is refused.

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
        "Repeat it later with the same key; where no answer comes, ask the service what it holds.",
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
        "The request ran, but its stored answer cannot be read now.",
        "Repeat it later with the same key.",
    )
}

pub(super) fn claim_not_written() -> Refusal {
    Refusal::new(
        Kind::Unavailable,
        Effect::NotRun,
        "The idempotency key could not be recorded in time, so this request was not dispatched.",
        "Repeat it later with the same key.",
    )
}

pub(super) fn full_index() -> Refusal {
    Refusal::new(
        Kind::Overloaded,
        Effect::NotRun,
        "The ledger holds as many idempotency keys as its memory allows.",
        "Repeat it later; operators can shorten the retention of keys.",
    )
}

pub(super) fn corrupt_object(prefix: &str) -> Refusal {
    Refusal::new(
        Kind::Internal,
        Effect::NotRun,
        format!("The ledger object under `{prefix}` cannot be read."),
        "Tell the operators to restore or move the objects under this prefix.",
    )
}
