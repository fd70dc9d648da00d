//! The only place where the daemons read the clock.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use cactusroad_core::Time;
use tokio::time::Instant;

/// Returns the current time.
pub fn now() -> Time {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    Time::ZERO + since_epoch
}

/// Returns the runtime's instant for a deadline.
pub fn instant(deadline: Time) -> Instant {
    Instant::now() + deadline.since(now()).min(FAR)
}

/// Longer than any timer has to run.
const FAR: Duration = Duration::from_secs(24 * 3600);
