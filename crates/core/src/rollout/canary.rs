//! The share of a service's requests that goes to a new version before it is trusted.
//!
//! Operators order a version and a deadline. Until the deadline, the version is on trial:
//! each gateway sends it a share of its requests, within a budget of its own that keeps the
//! sum of all gateways within what operators allow for a version that turns out to be bad.
//! A verdict that the version is bad ends the trial at once. A version that is proven by
//! the deadline gets all new requests from then on. The old endpoints stop as soon as the
//! rollout is reported to be complete, so that is done only once their runs have had the
//! time to end.
//!
//! The verdict comes from [`judge`](super::judge), on the counts of all gateways.
//!
//! Answers the load pattern in which a version is bad from the start, or becomes bad only
//! later, under load, or on one route.

use std::{sync::Arc, time::Duration};

use super::{End, Side, judge::Verdict};
use crate::Time;

/// The share of requests that the version on trial gets while the budget allows it. It
/// gives enough requests for a verdict within seconds on a small site.
const TRIAL_SHARE: f64 = 0.2;

/// The part of the budget that is used. The rest covers gateways that have started or that
/// are not counted yet.
const BUDGET_SHARE: f64 = 0.75;

/// An operators' order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: Arc<str>,
    /// The new version.
    pub target: Arc<str>,
    /// When the rollout must have ended.
    pub deadline: Time,
    /// Whether other gateways had begun the trial before this one knew of it.
    pub has_begun: bool,
}

/// What operators allow for a version that turns out to be bad.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Exposure {
    /// The share of the service's requests.
    pub share: f64,
    /// The number of requests in addition, for all gateways together.
    pub extra: f64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Trial,
    /// New requests go to the version; old runs end until this time.
    Promoted(Time),
    Ended(End),
}

/// The rollout of one service, as one gateway sees it.
#[derive(Clone, Debug)]
pub struct Canary {
    order: Order,
    state: State,
    /// The requests that this gateway sent to any version.
    requests: u64,
    /// Those that it sent to the new one.
    exposed: u64,
}

impl Canary {
    /// Returns the rollout at its beginning.
    pub fn new(order: Order) -> Canary {
        Canary {
            order,
            state: State::Trial,
            requests: 0,
            exposed: 0,
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &Order {
        &self.order
    }

    /// Returns how the rollout ended, if it has.
    pub fn end(&self) -> Option<End> {
        match self.state {
            State::Ended(end) => Some(end),
            State::Trial | State::Promoted(_) => None,
        }
    }

    /// Records how the rollout ended, as another gateway has decided.
    pub fn record_end(&mut self, end: End) {
        self.state = State::Ended(end);
    }

    /// Returns whether the new version is trusted.
    pub fn is_trusted(&self) -> bool {
        matches!(self.state, State::Promoted(_) | State::Ended(End::Done))
    }

    /// Returns the version for a new request. `draw` is random, from 0 to 1; `gateways` is
    /// the number of live ones.
    pub fn side(&self, exposure: &Exposure, gateways: usize, draw: f64, now: Time) -> Side {
        match self.state {
            State::Promoted(_) | State::Ended(End::Done) => Side::Candidate,
            State::Ended(End::Reversed) => Side::Baseline,
            State::Trial => {
                let is_over = self.order.deadline.is_past(now);
                let is_drawn = draw < TRIAL_SHARE && !is_over;
                if is_drawn && self.has_budget(exposure, gateways) {
                    Side::Candidate
                } else {
                    Side::Baseline
                }
            }
        }
    }

    fn has_budget(&self, exposure: &Exposure, gateways: usize) -> bool {
        // A gateway that starts during the trial does not know what it has sent before.
        let extra = if self.order.has_begun {
            0.0
        } else {
            exposure.extra / gateways.max(1) as f64
        };
        let budget = (self.requests as f64 * exposure.share + extra) * BUDGET_SHARE;
        (self.exposed + 1) as f64 <= budget
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, side: Side) {
        self.requests += 1;
        self.exposed += u64::from(side == Side::Candidate);
    }

    /// Applies a verdict. `longest_run` is the time after which the runs of the old version
    /// have ended. Returns the end of the rollout if this decides it.
    pub fn decide(&mut self, verdict: Verdict, longest_run: Duration, now: Time) -> Option<End> {
        let is_bad = matches!(verdict, Verdict::Bad(_));
        let end = match self.state {
            State::Ended(_) => return None,
            State::Trial | State::Promoted(_) if is_bad => End::Reversed,
            State::Trial if !self.order.deadline.is_past(now) => return None,
            State::Trial if verdict == Verdict::Proven => {
                self.state = State::Promoted(now + longest_run);
                return None;
            }
            State::Trial => End::Reversed,
            State::Promoted(until) if until.is_past(now) => End::Done,
            State::Promoted(_) => return None,
        };
        self.state = State::Ended(end);
        Some(end)
    }
}
