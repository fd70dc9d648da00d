//! The only place where the gateway reads a clock.
//!
//! The time of day may jump by seconds, so every deadline of the gateway is
//! measured by the steady clock. [`Time`] counts from an arbitrary point here:
//! it is compared within this process only and never sent.

use std::{
    sync::LazyLock,
    time::{Duration, Instant},
};

use cactusroad_core::Time;

static START: LazyLock<Instant> = LazyLock::new(Instant::now);

/// An hour, so that times before the start can be expressed.
const START_OFFSET: Duration = Duration::from_secs(3_600);

/// Longer than any timer has to run.
const MAX_TIMER: Duration = Duration::from_secs(24 * 3_600);

/// Returns the current time.
pub(crate) fn now() -> Time {
    Time::ZERO + START_OFFSET + START.elapsed()
}

/// Returns the runtime's instant for a deadline.
pub(crate) fn instant(deadline: Time) -> tokio::time::Instant {
    tokio::time::Instant::now() + deadline.since(now()).min(MAX_TIMER)
}

/// Returns whole milliseconds since an earlier time.
pub(crate) fn millis_since(earlier: Time) -> u64 {
    u64::try_from(now().since(earlier).as_millis()).unwrap_or(u64::MAX)
}
