//! Orders to endpoints under fencing tokens, with at most one effect per token.
//!
//! An order loads or unloads a version or changes a role. It is requested by the
//! *lease holder*, the process that [`crate::lease`] elects, and sent by the agent
//! beside the endpoint. Each endpoint has a [`Record`] in the platform's store that
//! holds the fencing token of its latest order, called the *number* of the order to
//! tell it from the fencing token of the lease. Each number belongs to exactly one
//! order. A number is claimed by a conditional update of the record *before* the order
//! is sent, so if two agents try, one of them fails and sends nothing.
//!
//! Some endpoints reject a token lower than one they have seen. Others ignore tokens,
//! so the agent's own check must be sufficient for them. It rests on three rules:
//!
//! 1. An agent that has started sends no order until it has read the record. It stores
//!    nothing locally, so only the record tells what its earlier incarnations sent.
//! 2. A token is claimed in the store under the agent's incarnation before the order
//!    is sent. The order is sent at most once, by that incarnation and before
//!    [`Record::until`]. If the answer to the order is lost, the order is not resent
//!    under the same token: the endpoint's report settles whether it took effect, and
//!    a retry claims a new token. No token is claimed while an order of this
//!    incarnation is unsettled and its deadline has not passed, because the network
//!    could reorder the two.
//! 3. An agent that finds a claim of another incarnation waits until that claim's
//!    deadline has passed before it claims the next token, so that an order that is
//!    still in flight arrives before a new one and not after it. The transport to an
//!    endpoint abandons an order at the deadline.
//!
//! # Interleavings
//!
//! * *Agent paused*: its claim is conditional on the version of the record that it read.
//!   If another incarnation has claimed a number meanwhile, that version has changed and
//!   the claim conflicts. If the agent was paused after its claim, [`Order::begin_send`]
//!   checks the order's deadline at the moment of sending.
//! * *Answer lost after the effect*: rule 2; the endpoint's report decides.
//! * *Two lease holders*: both send a desired state to the same agent, each under its
//!   lease's fencing token. The agent rejects a token lower than the one in the record.
//! * *Agent restarted*: rules 1 and 3.
//!
//! One case remains open: an endpoint that ignores tokens *and* executes an order
//! more than [`ORDER_LIFETIME`] after it was sent can still apply an old order late. No
//! check before the endpoint can prevent that; the endpoint's report shows it, and the
//! desired state is ordered again under a new token.
//!
//! # Rate of loads
//!
//! [`Throttle`] keeps loads under the rate limit of the weight store, from which
//! engines load model weights. It stores nothing outside the lease holder, so a new
//! holder resumes from the reports of the endpoints alone.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Time, id::Incarnation};

/// How long after its claim an order may still be sent or arrive.
pub const ORDER_LIFETIME: Duration = Duration::from_secs(10);
/// The largest clock difference between two incarnations that is tolerated; it is added
/// to the deadline of another incarnation's claim.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);

/// The latest order of one endpoint, as stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The number of the order, which is its fencing token.
    pub number: u64,
    /// The incarnation of the agent that claimed it.
    pub incarnation: Incarnation,
    /// The fencing token of the lease under which the order was requested.
    pub lease: u64,
    /// The deadline, from which the order may no longer be sent.
    pub until: Time,
}

/// Why a token cannot be claimed or an order cannot be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// This incarnation has not read the record, or has to read it again.
    #[error("order record of the endpoint has not been read; read it before claiming a token")]
    RecordUnread,
    /// An earlier order may still be in flight until the given time.
    #[error("an earlier order may still be in flight; retry at {0}")]
    TooEarly(Time),
    /// An order was claimed under a later lease, which has the given fencing token.
    #[error("lease is superseded by the one with fencing token {0}; read the lease again")]
    Fenced(u64),
    /// The order's deadline has passed.
    #[error("deadline of the order has passed; claim a new token")]
    DeadlinePassed,
    /// The order was already sent.
    #[error("order was already sent; wait for the endpoint's report")]
    AlreadySent,
}

/// The record and its version in the store, as last read or written.
#[derive(Clone, Debug)]
struct Snapshot {
    record: Option<Record>,
    version: Option<u64>,
}

/// A claim to write, conditional on the version of the record that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Claim {
    /// The version in the store that was read; `None` if there was no record.
    pub version: Option<u64>,
    /// The record to write.
    pub record: Record,
}

/// The state from which an agent decides whether it may claim a token for its
/// endpoint.
#[derive(Clone, Debug)]
pub struct Fence {
    incarnation: Incarnation,
    snapshot: Option<Snapshot>,
    /// The token and deadline of this incarnation's order, until it is settled.
    in_flight: Option<(u64, Time)>,
}

impl Fence {
    /// Creates the state of an agent that has just started; it cannot claim a token
    /// until it has read the record.
    pub fn new(incarnation: Incarnation) -> Fence {
        Fence {
            incarnation,
            snapshot: None,
            in_flight: None,
        }
    }

    /// Sets the record that was read and its version in the store; `None` if there is
    /// no record.
    pub fn set_record(&mut self, found: Option<(Record, u64)>) {
        let version = found.as_ref().map(|found| found.1);
        let record = found.map(|found| found.0);
        self.snapshot = Some(Snapshot { record, version });
    }

    /// Returns the claim to write before an order is sent, where `lease` is the fencing
    /// token of the lease under which the order was requested.
    ///
    /// # Errors
    ///
    /// Fails if the record has not been read, an earlier order may still be in flight,
    /// or an order was claimed under a later lease.
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

    /// Records that a claim was written and that the record now has `version` in the
    /// store, and returns the permission to send its order once.
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

    /// Records that the endpoint has answered an order, or that it was never sent.
    pub fn settled(&mut self, number: u64) {
        if self.in_flight.is_some_and(|order| order.0 == number) {
            self.in_flight = None;
        }
    }

    /// Records that a claim conflicted or got no answer; the record must be read again.
    ///
    /// If the claim was written although its answer was lost, its token is skipped and
    /// no order is sent under it.
    pub fn claim_failed(&mut self) {
        self.snapshot = None;
    }
}

/// The permission to send one order.
#[derive(Debug)]
pub struct Order {
    number: u64,
    until: Time,
    sent: bool,
}

impl Order {
    /// Returns the number of the order, which is its fencing token.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Returns the deadline, at which the transport must abandon the order.
    pub fn until(&self) -> Time {
        self.until
    }

    /// Marks the order as sent and returns its token; call it at the moment of sending.
    ///
    /// # Errors
    ///
    /// Fails if the order was already sent or its deadline has passed.
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

/// A version that the lease holder wants an endpoint to load.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Load {
    /// The name of the endpoint.
    pub endpoint: Arc<str>,
    /// The name of the version.
    pub version: Arc<str>,
}

/// Limits the rate and the number of concurrent loads, to stay under the rate limit of
/// the weight store.
#[derive(Clone, Debug)]
pub struct Throttle {
    interval: Duration,
    max_running: usize,
    /// When the next load may start.
    next_at: Time,
    /// The running loads, each with the deadline after which it is no longer counted.
    running: Vec<(Load, Time)>,
}

impl Throttle {
    /// Creates a throttle that starts at most one load per interval and runs at most
    /// `max_running` at once.
    ///
    /// The first load waits for one interval, because the previous lease holder may
    /// just have started one.
    pub fn new(interval: Duration, max_running: usize, now: Time) -> Throttle {
        Throttle {
            interval,
            max_running,
            next_at: now + interval,
            running: Vec::new(),
        }
    }

    /// Returns the first wanted load whose endpoint is not loading, and counts it as
    /// running; `None` if no load may start now.
    ///
    /// A load that has not finished by `deadline` is no longer counted and may be
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

    /// Records that an endpoint reports a version as loaded.
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
