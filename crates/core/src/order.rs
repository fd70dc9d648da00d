//! Orders to endpoints under a fencing number, one effect for each number.
//!
//! An order loads or drops a version or changes a role. Only the agent beside an
//! endpoint gives it. Each endpoint has a [`Record`] in the platform's store
//! with the number of its latest order, and a number belongs to exactly one
//! order: it is taken by a conditional update of the record *before* the order
//! is given, so of two agents that try one loses and gives nothing.
//!
//! Some endpoints refuse a number lower than one they have seen. Others ignore
//! numbers, so for them the agent's own check has to be sufficient. It rests on
//! three rules:
//!
//! 1. An agent that has started gives no order until it has read the record. It
//!    keeps nothing, so what it gave in an earlier life is known only there.
//! 2. A number is claimed in the store under the agent's incarnation before the
//!    order goes out, and goes out at most once in that life, until
//!    [`Record::until`] at the latest. Where the answer to the order is lost, the
//!    order is not repeated under the same number; the endpoint's own report
//!    settles whether it took effect, and a repetition takes a new number. No
//!    number is claimed while an order of this life is unsettled and before its
//!    deadline, since the network could turn the two round.
//! 3. An agent that finds a claim of another life waits until that claim's
//!    deadline has passed before it claims the next number, so that an order of
//!    the earlier life that is still on its way arrives before a new one and
//!    not after it. The transport to an endpoint gives an order up at the
//!    deadline.
//!
//! # Interleavings
//!
//! * *Holder paused past its lease*: it claims under the version it read, and
//!   the next holder's claim has changed it; the claim conflicts. Where it was
//!   paused after its claim, the order's deadline is checked at the moment of
//!   giving, by [`Order::begin_send`].
//! * *Answer lost after the effect*: rule 2; the report of the endpoint decides.
//! * *Two holders*: both name a wanted state to the same agent, each under its
//!   lease's number; the agent keeps the highest it has read or been told and
//!   refuses a lower one.
//! * *Agent restarted*: rules 1 and 3.
//!
//! What remains open: an endpoint that ignores numbers *and* carries out an
//! order longer than a deadline after it was sent can still run an old order
//! late. No check before the endpoint can prevent that; the report shows it, and
//! the wanted state is ordered again under a new number.
//!
//! # Rate of loads
//!
//! [`Throttle`] spreads loads out under the weight store's limit. It is a pure
//! function of the lease holder's queue, so a new holder resumes from the
//! reports of the endpoints alone.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Time, id::Incarnation};

/// How long after its claim an order may still be given or arrive.
pub const ORDER_LIFETIME: Duration = Duration::from_secs(10);
/// How much the clocks of two lives may differ.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// The latest order of one endpoint, as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The number of the order.
    pub number: u64,
    /// The life of the agent that claimed it.
    pub incarnation: Incarnation,
    /// The fencing number of the lease under which the order was wanted.
    pub lease: u64,
    /// When the order may no longer be given.
    pub until: Time,
}

/// Why no order is given.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The record was not read in this life.
    #[error("the record of the endpoint was not read yet; read it and decide again")]
    RecordUnread,
    /// An earlier order may still be on its way.
    #[error("an earlier order may still be on its way; try again at {0}")]
    TooEarly(Time),
    /// A later holder of the lease has given orders.
    #[error("a holder of the lease with number {0} was heard; read the lease and decide again")]
    Fenced(u64),
    /// The order's deadline has passed.
    #[error("the order is past its deadline; claim a new number")]
    DeadlinePassed,
    /// The order was given already.
    #[error("the order was given already; wait for the endpoint's report")]
    AlreadySent,
}

#[derive(Clone, Debug)]
struct Snapshot {
    record: Option<Record>,
    version: Option<u64>,
}

/// A claim to write, conditional on the version that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The version that was read; `None` where there was no record.
    pub version: Option<u64>,
    /// The record to write.
    pub record: Record,
}

/// What an agent knows of the orders of its endpoint.
#[derive(Clone, Debug)]
pub struct Fence {
    incarnation: Incarnation,
    snapshot: Option<Snapshot>,
    /// The order of this life that may still be on its way.
    in_flight: Option<(u64, Time)>,
}

impl Fence {
    /// Returns an agent that has just started and may give nothing.
    pub fn new(incarnation: Incarnation) -> Fence {
        Fence {
            incarnation,
            snapshot: None,
            in_flight: None,
        }
    }

    /// Takes in the record as the store holds it, with its version.
    pub fn set_record(&mut self, found: Option<(Record, u64)>) {
        let version = found.as_ref().map(|found| found.1);
        let record = found.map(|found| found.0);
        self.snapshot = Some(Snapshot { record, version });
    }

    /// Returns the claim to write before an order is given, under a lease's number.
    ///
    /// # Errors
    ///
    /// Fails where the record is not known, an earlier order may still be on
    /// its way, or a later holder of the lease was heard.
    pub fn claim(&self, lease: u64, now: Time) -> Result<Claim, Error> {
        let snapshot = self.snapshot.as_ref().ok_or(Error::RecordUnread)?;
        let last = snapshot.record.as_ref();
        let unsettled = self.in_flight.filter(|order| !order.1.is_past(now));
        if let Some(last) = last {
            if last.lease > lease {
                return Err(Error::Fenced(last.lease));
            }
            let free_at = last.until + MAX_CLOCK_SKEW;
            if last.incarnation != self.incarnation && !free_at.is_past(now) {
                return Err(Error::TooEarly(free_at));
            }
        }
        if let Some((_, until)) = unsettled {
            return Err(Error::TooEarly(until));
        }
        let record = Record {
            number: last.map_or(1, |last| last.number + 1),
            incarnation: self.incarnation,
            lease,
            until: now + ORDER_LIFETIME,
        };
        Ok(Claim {
            version: snapshot.version,
            record,
        })
    }

    /// Takes in a claim that was written, and returns the right to give its order once.
    pub fn claim_written(&mut self, claim: Claim, version: u64) -> Order {
        self.in_flight = Some((claim.record.number, claim.record.until));
        let order = Order {
            number: claim.record.number,
            until: claim.record.until,
            sent: false,
        };
        self.snapshot = Some(Snapshot {
            record: Some(claim.record),
            version: Some(version),
        });
        order
    }

    /// Takes in that the endpoint has answered an order, or that it was never given.
    pub fn settled(&mut self, number: u64) {
        if self.in_flight.is_some_and(|order| order.0 == number) {
            self.in_flight = None;
        }
    }

    /// Takes in a claim that conflicted or got no answer; the record must be read again.
    ///
    /// A claim that took effect although its answer was lost is not used: its
    /// number is passed over.
    pub fn claim_failed(&mut self) {
        self.snapshot = None;
    }
}

/// The right to give one order.
#[derive(Debug)]
pub struct Order {
    number: u64,
    until: Time,
    sent: bool,
}

impl Order {
    /// Returns the fencing number.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns when the order may no longer arrive; the transport gives up then.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Uses the right up and returns the number to send; call it at the moment of sending.
    ///
    /// # Errors
    ///
    /// Fails where the deadline has passed or the order was given before.
    pub fn begin_send(&mut self, now: Time) -> Result<u64, Error> {
        if self.sent {
            return Err(Error::AlreadySent);
        }
        if self.until.is_past(now) {
            return Err(Error::DeadlinePassed);
        }
        self.sent = true;
        Ok(self.number)
    }
}

/// A load that the lease holder wants.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// The endpoint.
    pub endpoint: Arc<str>,
    /// The version.
    pub version: Arc<str>,
}

/// Spreads loads out under the rate limit of the weight store.
#[derive(Clone, Debug)]
pub struct Throttle {
    interval: Duration,
    max_running: usize,
    next_at: Time,
    running: Vec<(Load, Time)>,
}

impl Throttle {
    /// Returns a pace of one load in each interval and at most `max_running` at once.
    ///
    /// A new holder waits one interval first, because the one before may have
    /// just started a load.
    pub fn new(interval: Duration, max_running: usize, now: Time) -> Throttle {
        Throttle {
            interval,
            max_running,
            next_at: now + interval,
            running: Vec::new(),
        }
    }

    /// Returns the first wanted load that may start now, and counts it as running.
    ///
    /// A load that has not ended by `give_up_at` is no longer counted and may be
    /// started again.
    pub fn start(&mut self, wanted: &[Load], deadline: Time, now: Time) -> Option<Load> {
        self.running.retain(|running| !running.1.is_past(now));
        if !self.next_at.is_past(now) || self.running.len() >= self.max_running {
            return None;
        }
        let is_running = |load: &Load| self.running.iter().any(|r| r.0.endpoint == load.endpoint);
        let load = wanted.iter().find(|load| !is_running(load))?.clone();
        self.running.push((load.clone(), deadline));
        self.next_at = now + self.interval;
        Some(load)
    }

    /// Takes in that an endpoint reports a version as loaded.
    pub fn loaded(&mut self, endpoint: &str, version: &str) {
        self.running.retain(|running| {
            running.0.endpoint.as_ref() != endpoint || running.0.version.as_ref() != version
        });
    }

    /// Returns the loads that are running.
    pub fn running(&self) -> impl Iterator<Item = &Load> {
        self.running.iter().map(|running| &running.0)
    }
}
