//! How long endpoints that are missing from the list are kept.
//!
//! An endpoint whose entry is removed has left and soon stops. During a long outage of the
//! store, entries of live endpoints expire as well; these come back shortly after the
//! outage. Endpoints that are missing then are kept for a grace period. It must not be
//! granted after a short interruption, such as a watch that was cut off: no entry can
//! expire in it, so an entry that is missing was removed.
//!
//! Answers the load pattern in which watches are cut off while endpoints are replaced, and
//! the one in which most entries expire during an outage.

use std::time::Duration;

use crate::Time;

/// The heartbeats within which no entry of a live endpoint expires. An entry expires after
/// three, of which one may have passed before the first missed heartbeat.
const SAFE_HEARTBEATS: u32 = 2;

/// How long live endpoints take to be listed again after an outage.
const RELIST_TIME: Duration = Duration::from_millis(2_000);

/// The maximum grace, as a share of the time for which an endpoint that leaves may still
/// receive requests. The rest is for requests that are on their way.
const MAX_DRAIN_SHARE: f64 = 0.85;

/// The grace period of endpoints that are missing from the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Grace {
    /// When the list or a change of it was last read.
    answered_at: Option<Time>,
    /// Until when missing endpoints are kept after the last outage.
    kept_until: Time,
}

impl Grace {
    /// Records an answer about the list. `heartbeat` is the time between two renewals of an
    /// entry, and `drain` the time for which an endpoint that leaves may receive requests.
    pub fn record_answer(&mut self, heartbeat: Duration, drain: Duration, now: Time) {
        let is_after_outage = self
            .answered_at
            .is_some_and(|at| now.since(at) >= heartbeat * SAFE_HEARTBEATS);
        if is_after_outage {
            self.kept_until = now + RELIST_TIME.min(drain.mul_f64(MAX_DRAIN_SHARE));
        }
        self.answered_at = Some(now);
    }

    /// Returns until when an endpoint is kept whose entry is found to be missing at `now`.
    pub fn until(&self, now: Time) -> Time {
        now.max(self.kept_until)
    }
}
