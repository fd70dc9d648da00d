use std::{fmt, time::Duration};

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds since the Unix epoch.
///
/// This crate never reads a clock, so its driver passes the current time to each
/// call. Whatever expires is stored with a deadline, never with a duration: a
/// duration is meaningless without the time at which it was sent or stored.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use cactusroad_core::Time;
///
/// let now = Time::from_micros(5_000_000);
/// let deadline = now + Duration::from_secs(2);
/// assert!(!deadline.is_past(now));
/// assert_eq!(deadline.since(now), Duration::from_secs(2));
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Time(u64);

impl Time {
    /// The Unix epoch, earlier than every other time.
    pub const ZERO: Time = Time(0);
    /// The latest time, used for a deadline that never passes.
    pub const MAX: Time = Time(u64::MAX);

    /// Returns the time that is `micros` microseconds after the epoch.
    pub const fn from_micros(micros: u64) -> Time {
        Time(micros)
    }

    /// Returns the time that is `millis` milliseconds after the epoch.
    pub const fn from_millis(millis: u64) -> Time {
        Time(millis.saturating_mul(1_000))
    }

    /// Returns the microseconds since the epoch.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the milliseconds since the epoch, rounded down.
    pub const fn as_millis(self) -> u64 {
        self.0 / 1_000
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later.
    pub const fn since(self, earlier: Time) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns whether this deadline has been reached at `now`.
    pub const fn is_past(self, now: Time) -> bool {
        self.0 <= now.0
    }
}

impl std::ops::Add<Duration> for Time {
    type Output = Time;

    fn add(self, duration: Duration) -> Time {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        Time(self.0.saturating_add(micros))
    }
}

impl fmt::Display for Time {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:06}", self.0 / 1_000_000, self.0 % 1_000_000)
    }
}
