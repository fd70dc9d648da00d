//! The clock of the gateway; no other module reads the system's clocks.
//!
//! The wall clock may jump by seconds, so the gateway measures every deadline with
//! the boot clock. Unlike the monotonic clock, it counts the time for which the VM was
//! suspended: a permission that expired meanwhile must not be used afterwards. A
//! [`Time`] counts from an arbitrary origin: it can be compared only within this process
//! and must not be sent to others.

use std::{
    sync::LazyLock,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

use cactusroad_core::Time;
use rustix::time::{ClockId, clock_gettime};

static START: LazyLock<Duration> = LazyLock::new(since_boot);

/// The time at the start of the process. It is above zero so that times before the
/// start can be represented.
const START_OFFSET: Duration = Duration::from_secs(3_600);

/// The upper limit of timers, longer than any timer has to run.
const MAX_TIMER: Duration = Duration::from_secs(24 * 3_600);

/// Returns the current time.
pub(crate) fn now() -> Time {
    Time::ZERO + START_OFFSET + since_boot().saturating_sub(*START)
}

/// Returns the time of the wall clock, for what several VMs compare. It may jump.
pub(crate) fn wall() -> Time {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    Time::ZERO + since_epoch.unwrap_or_default()
}

/// Returns the time of the wall clock at the first call, in microseconds since 1970, which
/// tells one start of the process from another.
pub(crate) fn started_micros() -> u64 {
    static STARTED: LazyLock<u64> = LazyLock::new(|| wall().as_micros());
    *STARTED
}

fn since_boot() -> Duration {
    // The boot clock is never negative.
    Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default()
}

/// Converts a deadline to the runtime's clock.
pub(crate) fn instant(deadline: Time) -> tokio::time::Instant {
    tokio::time::Instant::now() + deadline.since(now()).min(MAX_TIMER)
}

/// Returns the time since `earlier` in whole milliseconds.
pub(crate) fn millis_since(earlier: Time) -> u64 {
    u64::try_from(now().since(earlier).as_millis()).unwrap_or(u64::MAX)
}
