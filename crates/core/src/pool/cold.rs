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
//!
//! # Runs of engines that were lost
//!
//! When an engine leaves, all its runs resume at once, so they are limited as well. A run takes
//! its turn ([`Pool::take_turn`]) and waits for it, because no other engine may hold a copy.
//! New requests are held back until the turns that were taken have passed.
//!
//! Copies of runs go to engines that are not cold ([`Pool::backup`]). If only cold ones have
//! room, a standby copy takes a turn that requests left unused, so that copies cause no refusals.

use std::time::Duration;

use super::{Member, Pool, Purpose};
use crate::Time;

/// The longest time that a run waits for its turn at a cold engine. Callers abandon a stream
/// after a pause of two seconds at the earliest, of which up to half a second passes while the
/// engine that was lost is ordered to stop the run.
const MAX_TURN_WAIT: Duration = Duration::from_millis(1_500);

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
    /// Returns whether the endpoint is cold and its requests are limited.
    pub(super) fn is_limited(&self, cold_until: Time, now: Time) -> bool {
        self.next_at.is_some() && !cold_until.is_past(now)
    }

    /// Returns when the next request may be sent.
    fn turn(&self, cold_until: Time, now: Time) -> Time {
        match self.next_at {
            Some(next_at) if !cold_until.is_past(now) => next_at.min(cold_until).max(now),
            _ => now,
        }
    }

    /// Returns whether a copy may be made at the endpoint while it is cold. The run of a leaving
    /// engine needs a turn; a standby copy needs one that was unused for an interval.
    fn permits_copy(&self, purpose: Purpose, limit: &Limit, now: Time) -> bool {
        let spare = match purpose {
            Purpose::Standby => limit.interval().unwrap_or_default(),
            Purpose::Migration => Duration::ZERO,
        };
        self.next_at.is_none_or(|at| (at + spare).is_past(now))
    }
}

impl Pool {
    /// Returns whether an endpoint is in a cold start in which its requests are limited.
    pub fn is_cold(&self, id: &str, now: Time) -> bool {
        self.index(id)
            .is_ok_and(|index| self.members[index].is_cold(now))
    }

    /// Returns when a run may resume at an endpoint: now unless the endpoint is cold. `None` if
    /// the wait would be too long for the caller.
    pub fn turn(&self, id: &str, now: Time) -> Option<Time> {
        let index = self.index(id).ok()?;
        let member = &self.members[index];
        let turn = member.pace.turn(member.endpoint.cold_until, now);
        (turn.since(now) <= MAX_TURN_WAIT).then_some(turn)
    }

    /// Takes the turn of a run or a copy at an endpoint, and returns when it is. A run is then
    /// recorded with [`Pool::record_resume`], which takes no other turn.
    pub fn take_turn(&mut self, id: &str, now: Time) -> Option<Time> {
        let turn = self.turn(id, now)?;
        let limit = self.cold;
        if let Some(member) = self.member(id) {
            member.pace.record(&limit, now);
        }
        Some(turn)
    }

    /// Leaves out cold engines for a copy if others have room: of the candidates, or else
    /// `others`. If there is none, cold engines whose limit permits a copy remain.
    pub(super) fn retain_warm<'a>(
        &self,
        scored: &mut Vec<(f64, &'a Member)>,
        others: Vec<(f64, &'a Member)>,
        purpose: Purpose,
        now: Time,
    ) {
        if !scored.iter().any(|(_, member)| member.is_cold(now)) {
            return;
        }
        if scored.iter().any(|(_, member)| !member.is_cold(now)) {
            scored.retain(|(_, member)| !member.is_cold(now));
        } else if others.is_empty() {
            scored.retain(|(_, member)| member.pace.permits_copy(purpose, &self.cold, now));
        } else {
            *scored = others;
        }
    }
}
