//! Leader election by a lease in the platform's store.
//!
//! Work that only one process may do, such as pacing model loads under the
//! weight store's rate limit, is done by the holder of a [`Record`] in the store.
//! The record contains the holder, the deadline of the lease and a fencing token
//! that increases by one with each new holder. Every write is a conditional
//! update of the version that was read, so of two concurrent writes exactly one
//! succeeds.
//!
//! # Paused holders
//!
//! A holder that is paused past its deadline does not notice until it reads the
//! clock. [`Lease::holds`] compares the deadline, less a margin for clock skew,
//! with the time of the call, so a holder that calls it before each order, such as
//! one to load a model, sends none after it resumes. It can still be paused between
//! the call and the arrival of the order; the fencing token in the order covers that
//! case (see [`order`](crate::order)).
//!
//! # Lost responses
//!
//! A write whose response is lost may have taken effect. A process that was not
//! the holder does not count as one until it has read the record back: if the
//! record names this process and incarnation, the write took effect.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, id::Incarnation, lease::{Lease, Outcome, Step}};
//!
//! let now = Time::from_millis(100_000);
//! let mut lease = Lease::new("entry-1", Incarnation(1), 5);
//! assert_eq!(lease.step(now), Step::Read);
//! lease.handle_read(None, now);
//! let Step::Write { record, .. } = lease.step(now) else { panic!() };
//! assert!(!lease.holds(now));
//! lease.handle_write(Outcome::Written(9));
//! assert_eq!(lease.holds(now), true);
//! assert_eq!(lease.fencing_token(now), Some(record.number));
//! ```

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Time, id::Incarnation};

/// The time from a renewal to the expiry of the lease.
pub const TTL: Duration = Duration::from_secs(20);
/// The time before the deadline at which the holder renews the lease.
const RENEW_BEFORE: Duration = Duration::from_secs(12);
/// The maximum difference between the clocks of two processes that the election tolerates.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(2);
/// The interval at which a process that does not hold the lease reads the record.
const READ_INTERVAL: Duration = Duration::from_secs(15);
/// The delay after a failed read or write.
const RETRY_DELAY: Duration = Duration::from_secs(2);
/// The upper bound of the random delay before an attempt to take an expired lease.
const MAX_JITTER: Duration = Duration::from_secs(3);

/// The lease as stored in the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The name of the process that holds the lease.
    pub holder: Arc<str>,
    /// The incarnation of the holder.
    pub incarnation: Incarnation,
    /// When the lease expires.
    pub deadline: Time,
    /// The fencing token, which increases by one with each new holder.
    pub number: u64,
}

/// The result of a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The write took effect; this is the new version of the record.
    Written(u64),
    /// The write had no effect, because the record is at another version.
    Conflict,
    /// The store is unavailable and the write had no effect.
    Failed,
    /// The response was lost; the write may have taken effect.
    Unanswered,
}

/// The next action for the caller of [`Lease::step`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Wait until this time.
    Wait(Time),
    /// Read the record, then call [`Lease::handle_read`] or [`Lease::handle_read_error`].
    Read,
    /// Write the record if the store still has this version, then call [`Lease::handle_write`].
    Write {
        /// The version that was read; `None` if there was no record.
        version: Option<u64>,
        /// The record to write.
        record: Record,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// The record is unknown and will be read at this time.
    Unknown(Time),
    /// The record as last read or written, with its version; `None` if there was none.
    Known(Option<(Record, u64)>),
    /// A read, or a write of this record, is in progress.
    InProgress(Option<Record>),
}

/// The state of one process in the election.
#[derive(Clone, Debug)]
pub struct Lease {
    name: Arc<str>,
    incarnation: Incarnation,
    seed: u64,
    state: State,
    /// The last record known to be stored under which this process holds the lease.
    held: Option<Record>,
    /// When a process that does not hold the lease reads the record again.
    next_read_at: Time,
}

impl Lease {
    /// Creates the state of a process that has not read the record yet.
    ///
    /// The seed sets the jitter of attempts to take an expired lease and should
    /// differ between processes.
    pub fn new(name: impl Into<Arc<str>>, incarnation: Incarnation, seed: u64) -> Lease {
        Lease {
            name: name.into(),
            incarnation,
            seed,
            state: State::Unknown(Time::ZERO),
            held: None,
            next_read_at: Time::ZERO,
        }
    }

    /// Returns whether this process holds the lease at `now`.
    ///
    /// Call it with the current time before each action that requires the lease.
    pub fn holds(&self, now: Time) -> bool {
        self.fencing_token(now).is_some()
    }

    /// Returns the fencing token if this process holds the lease at `now`.
    pub fn fencing_token(&self, now: Time) -> Option<u64> {
        let held = self.held.as_ref()?;
        let is_valid = !held.deadline.is_past(now + MAX_CLOCK_SKEW);
        is_valid.then_some(held.number)
    }

    /// Returns the next action.
    ///
    /// After a `Read` or `Write` it is `Wait` until the result is reported.
    pub fn step(&mut self, now: Time) -> Step {
        match self.state.clone() {
            State::InProgress(_) => Step::Wait(Time::MAX),
            State::Unknown(at) if !at.is_past(now) => Step::Wait(at),
            State::Unknown(_) => self.start_read(),
            State::Known(known) => self.step_known(known, now),
        }
    }

    fn step_known(&mut self, known: Option<(Record, u64)>, now: Time) -> Step {
        let Some((record, version)) = known else {
            return self.start_write(None, 1, now);
        };
        if self.is_own(&record) && self.held.is_some() {
            let renew_at = saturating_sub(record.deadline, RENEW_BEFORE);
            if !renew_at.is_past(now) {
                return Step::Wait(renew_at);
            }
            if self.holds(now) {
                return self.start_write(Some(version), record.number, now);
            }
        }
        let takeover_at = record.deadline + MAX_CLOCK_SKEW + self.jitter(record.number);
        if takeover_at.is_past(now) {
            return self.start_write(Some(version), record.number + 1, now);
        }
        if self.next_read_at.is_past(now) {
            return self.start_read();
        }
        Step::Wait(takeover_at.min(self.next_read_at))
    }

    fn start_read(&mut self) -> Step {
        self.state = State::InProgress(None);
        Step::Read
    }

    fn start_write(&mut self, version: Option<u64>, number: u64, now: Time) -> Step {
        let record = Record {
            holder: Arc::clone(&self.name),
            incarnation: self.incarnation,
            deadline: now + TTL,
            number,
        };
        self.state = State::InProgress(Some(record.clone()));
        Step::Write { version, record }
    }

    /// Reports the result of a read: the record and its version, or `None` if there is no record.
    pub fn handle_read(&mut self, found: Option<(Record, u64)>, now: Time) {
        let own = found.as_ref().filter(|(record, _)| self.is_own(record));
        self.held = own.map(|(record, _)| record.clone());
        self.next_read_at = now + READ_INTERVAL;
        self.state = State::Known(found);
    }

    /// Reports that a read failed; a lease that is held stays valid until its deadline.
    pub fn handle_read_error(&mut self, now: Time) {
        self.state = State::Unknown(now + RETRY_DELAY);
    }

    /// Reports the result of a write.
    ///
    /// If the response to a renewal is lost, the lease stays valid until its
    /// previous deadline, because a renewal never shortens it, and the record is
    /// read back.
    pub fn handle_write(&mut self, outcome: Outcome) {
        let State::InProgress(Some(record)) = self.state.clone() else {
            return;
        };
        match outcome {
            Outcome::Written(version) => {
                self.held = Some(record.clone());
                self.state = State::Known(Some((record, version)));
            }
            Outcome::Conflict => {
                self.held = None;
                self.state = State::Unknown(Time::ZERO);
            }
            Outcome::Failed | Outcome::Unanswered => {
                let retry_at = saturating_sub(record.deadline, TTL) + RETRY_DELAY;
                self.state = State::Unknown(retry_at);
            }
        }
    }

    fn is_own(&self, record: &Record) -> bool {
        record.holder == self.name && record.incarnation == self.incarnation
    }

    fn jitter(&self, number: u64) -> Duration {
        let hash = xxh3_64_with_seed(&number.to_le_bytes(), self.seed);
        Duration::from_micros(hash % MAX_JITTER.as_micros() as u64)
    }
}

/// Subtracts a duration from a deadline; saturates at zero, because the deadline of a corrupt
/// record may be close to the epoch.
fn saturating_sub(deadline: Time, span: Duration) -> Time {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(deadline.as_micros().saturating_sub(micros))
}
