//! Wall-clock time; the processes read the clock only through this module.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactusroad_core::Time;
use tokio::time::Instant;

/// Returns the current wall-clock time, or [`Time::ZERO`] if the clock is before the Unix epoch.
pub fn now() -> Time {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    Time::ZERO + since_epoch
}

/// Converts a deadline to an instant of the Tokio clock, at most 24 hours from now.
pub fn instant(deadline: Time) -> Instant {
    Instant::now() + deadline.since(now()).min(MAX_TIMER_DELAY)
}

/// Upper bound of a timer's delay; longer than any timer has to run.
const MAX_TIMER_DELAY: Duration = Duration::from_secs(24 * 3600);
