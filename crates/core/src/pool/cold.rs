//! The limit on requests to an endpoint in its cold start.
//!
//! An endpoint that is cold crashes if it gets many more requests a second than it bears, from
//! all gateways together. Gateways do not ask each other before they send a request; each takes
//! an equal share of the limit and spaces its requests evenly. If there are more gateways than
//! requests in a second, each begins at a random point of the first interval: all would send
//! their first request as soon as the endpoint is listed otherwise. A request goes to another endpoint if the share is used up,
//! and is refused if there is none: it would be lost with the endpoint otherwise.
//!
//! Answers the load pattern in which an endpoint returns cold while the others carry the full
//! load, and is chosen by all gateways because nothing runs there.

use std::time::Duration;

use crate::Time;

/// The limit of one service, and this gateway's share of it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Limit {
    /// Requests per second that a cold endpoint bears; zero for no limit.
    pub(super) per_s: f64,
    /// The number of gateways that share the limit.
    pub(super) gateways: usize,
}

impl Limit {
    /// Returns the time between two requests of this gateway, or none without a limit.
    pub(super) fn interval(&self) -> Option<Duration> {
        let share = self.per_s / self.gateways.max(1) as f64;
        // Whole requests a second, so that no second has more than the limit, whenever each
        // gateway begins.
        let seconds = if self.is_divisible() {
            1.0 / share.floor()
        } else {
            1.0 / share
        };
        // A limit so low that the interval is absurd is as good as none at all.
        (self.per_s > 0.0 && seconds <= MAX_INTERVAL_S).then(|| Duration::from_secs_f64(seconds))
    }

    /// Returns whether each gateway may send a request in each second.
    fn is_divisible(&self) -> bool {
        self.gateways as f64 <= self.per_s
    }
}

/// The longest interval that is kept, in seconds; cold starts take seconds.
const MAX_INTERVAL_S: f64 = 3_600.0;

/// The requests of this gateway to one endpoint in its cold start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Pace {
    /// When the next request may be sent; none while the endpoint is warm.
    next_at: Option<Time>,
}

impl Pace {
    /// Records what the list says of the endpoint. `phase`, from 0 to 1, is the random point of
    /// the first interval.
    pub(super) fn update(&mut self, cold_until: Time, limit: &Limit, phase: f64, now: Time) {
        let interval = limit.interval().filter(|_| !cold_until.is_past(now));
        self.next_at = interval.map(|interval| {
            let first_at = if limit.is_divisible() {
                now
            } else {
                now + interval.mul_f64(phase)
            };
            self.next_at.unwrap_or(first_at)
        });
    }

    /// Returns whether a request may be sent now.
    pub(super) fn permits(&self, cold_until: Time, now: Time) -> bool {
        cold_until.is_past(now) || self.next_at.is_none_or(|at| at <= now)
    }

    /// Records that a request is sent.
    pub(super) fn record(&mut self, limit: &Limit, now: Time) {
        if let (Some(next_at), Some(interval)) = (self.next_at, limit.interval()) {
            self.next_at = Some(next_at.max(now) + interval);
        }
    }
}
