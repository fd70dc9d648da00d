//! The share of new load that a data centre may receive while it drains or returns.
//!
//! Operators drain a data centre by setting `out`, and bring it back by setting
//! `back_at`, the time from which its share ramps up. Entries and agents compute
//! the share from the configuration and the clock alone, so a partitioned entry
//! reaches the same result as the others. The share limits new requests only;
//! running requests continue.
//!
//! A data centre that fails without notice has no new configuration. What the
//! entries observe counts instead, and [`effective_allowance`] takes the lower of the
//! configured and the observed share. Recovery follows the same ramp.
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

/// The duration of a ramp, in milliseconds.
pub const RAMP_MS: u64 = 60_000;
/// The share at the start of a ramp, in thousandths.
pub const FIRST_SHARE: u16 = 50;

/// Returns the share of normal load that the configuration allows a data centre, in thousandths.
pub fn allowance(data_centre: &DataCentre, now: Time) -> u16 {
    if data_centre.out {
        return 0;
    }
    data_centre
        .back_at
        .map_or(WHOLE_SHARE, |back_at| ramp(back_at, now))
}

/// Returns the share at `now` of a ramp that starts at `from`, in thousandths.
///
/// The share is zero before `from` and rises linearly from [`FIRST_SHARE`] to
/// [`WHOLE_SHARE`] over [`RAMP_MS`].
pub fn ramp(from: Time, now: Time) -> u16 {
    if !from.is_past(now) {
        return 0;
    }
    let elapsed_ms = now
        .as_millis()
        .saturating_sub(from.as_millis())
        .min(RAMP_MS);
    let rise = u64::from(WHOLE_SHARE - FIRST_SHARE) * elapsed_ms / RAMP_MS;
    FIRST_SHARE + u16::try_from(rise).unwrap_or(WHOLE_SHARE - FIRST_SHARE)
}

/// Returns the lower of the configured and the observed share, in thousandths.
///
/// `lost_until` is the time until which the entries consider the data centre
/// failed; `None` if they have observed no failure.
pub fn effective_allowance(data_centre: &DataCentre, lost_until: Option<Time>, now: Time) -> u16 {
    let configured = allowance(data_centre, now);
    lost_until.map_or(configured, |until| configured.min(ramp(until, now)))
}
