//! The share of load that a data centre may be given.
//!
//! Operators take a data centre out by `out` and bring it back by a time from
//! which its share rises. Both sides of the request path compute the share from
//! the configuration and the clock alone, so an entry that is cut off from the
//! others agrees with them. Requests in hand are not touched: the allowance
//! bounds new work only.
//!
//! A data centre that is lost without notice has no new configuration; there the
//! evidence of entries counts, and [`combine`] takes the lower of the two, with
//! the same ramp for its return.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, config::{DataCentre, drain}};
//!
//! let sfax = DataCentre {
//!     name: "sfax".into(),
//!     region: "sahel".into(),
//!     out: false,
//!     back_at: Some(Time::from_millis(10_000)),
//! };
//! assert_eq!(drain::allowance(&sfax, Time::from_millis(9_999)), 0);
//! assert_eq!(drain::allowance(&sfax, Time::from_millis(10_000 + drain::RAMP_MS)), 1_000);
//! ```

use crate::Time;

use super::{DataCentre, WHOLE_SHARE};

/// The time from the first share to the whole, in milliseconds.
pub const RAMP_MS: u64 = 60_000;
/// The share at the start of a ramp, in thousandths.
pub const FIRST_SHARE: u16 = 50;

/// Returns the share of its normal load that a data centre may be given, in thousandths.
pub fn allowance(data_centre: &DataCentre, now: Time) -> u16 {
    if data_centre.out {
        return 0;
    }
    data_centre
        .back_at
        .map_or(WHOLE_SHARE, |back_at| ramp(back_at, now))
}

/// Returns the share of a ramp that begins at `from`, in thousandths.
///
/// The share rises linearly from [`FIRST_SHARE`] to the whole over [`RAMP_MS`],
/// and is zero before `from`.
pub fn ramp(from: Time, now: Time) -> u16 {
    if !from.is_past(now) {
        return 0;
    }
    let passed_ms = now
        .as_millis()
        .saturating_sub(from.as_millis())
        .min(RAMP_MS);
    let rise = u64::from(WHOLE_SHARE - FIRST_SHARE) * passed_ms / RAMP_MS;
    FIRST_SHARE + u16::try_from(rise).unwrap_or(WHOLE_SHARE - FIRST_SHARE)
}

/// Returns the allowance that the operators and the evidence both grant.
///
/// `lost_until` is the time until which the evidence holds the data centre for
/// lost, and nothing where it never did.
pub fn combine(data_centre: &DataCentre, lost_until: Option<Time>, now: Time) -> u16 {
    let granted = allowance(data_centre, now);
    lost_until.map_or(granted, |until| granted.min(ramp(until, now)))
}
