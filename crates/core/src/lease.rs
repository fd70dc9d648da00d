//! Elects a single holder by a lease in the platform's store.
//!
//! Work that needs one holder, such as spreading loads out under the weight
//! store's rate limit, is done by whoever holds a [`Record`] in the store. The
//! record carries the holder, the deadline of the lease and a fencing number
//! that goes up by one with each new holder. It is only ever written by a
//! conditional update of the version that was read, so of two that try exactly
//! one succeeds.
//!
//! # What a paused holder can do
//!
//! A holder that sleeps past its deadline doesn't know it until it looks at the
//! clock. [`Lease::holds`] compares the deadline, less a margin for clocks that
//! differ, with the time *at the call*, so a holder that asks before each order
//! gives none after it wakes. Between asking and the order's arrival it can
//! still be paused; the fencing number in the order covers that (see
//! [`order`](crate::order)).
//!
//! # Lost answers
//!
//! A write whose answer is lost may have taken effect. The state is then
//! unknown, the process does not count as holder, and the next step is to read
//! the record back: where it names this process and this life, the write took
//! effect.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, id::Incarnation, lease::{Lease, Outcome, Step}};
//!
//! let now = Time::from_millis(100_000);
//! let mut lease = Lease::new("entry-1", Incarnation(1), 5);
//! assert_eq!(lease.step(now), Step::Read);
//! lease.read(None, now);
//! let Step::Write { record, .. } = lease.step(now) else { panic!() };
//! assert!(!lease.holds(now));
//! lease.written(Outcome::Written(9));
//! assert_eq!(lease.holds(now), true);
//! assert_eq!(lease.number(now), Some(record.number));
//! ```

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{Time, id::Incarnation};

/// How long a lease lasts from its last renewal.
pub const LIFETIME: Duration = Duration::from_secs(20);
/// How long before its deadline the holder renews a lease.
const RENEW_BEFORE: Duration = Duration::from_secs(12);
/// How much the clocks of two processes may differ.
pub const MAX_SKEW: Duration = Duration::from_secs(2);
/// How long a process that doesn't hold the lease waits before it reads the record again.
const LOOK_AGAIN: Duration = Duration::from_secs(15);
/// The wait after a call that failed.
const RETRY: Duration = Duration::from_secs(2);
/// The span over which rivals spread their attempts to take a lease that is over.
const SPREAD: Duration = Duration::from_secs(3);

/// The lease as the store holds it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The process that holds the lease.
    pub holder: Arc<str>,
    /// The life of the holder.
    pub incarnation: Incarnation,
    /// When the lease is over.
    pub deadline: Time,
    /// The fencing number; each new holder has a higher one.
    pub number: u64,
}

/// What became of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It took effect; the record is at this version now.
    Written(u64),
    /// The record was at another version.
    Conflict,
    /// The store is down and the write took no effect.
    Failed,
    /// No answer came; the write may have taken effect.
    Unanswered,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing is due before this time.
    Wait(Time),
    /// Reads the record, then calls [`Lease::read`] or [`Lease::failed`].
    Read,
    /// Writes the record where the store still has this version, then calls [`Lease::written`].
    Write {
        /// The version that was read; `None` where there was no record.
        version: Option<u64>,
        /// The record.
        record: Record,
    },
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// The record is to be read at this time.
    Unknown(Time),
    /// The record that the store held at this version.
    Known(Option<(Record, u64)>),
    /// A call is running.
    Running(Option<Record>),
}

/// The part of one process in the election.
#[derive(Clone, Debug)]
pub struct Lease {
    name: Arc<str>,
    incarnation: Incarnation,
    seed: u64,
    state: State,
    /// The record by which this process holds the lease, while that is certain.
    held: Option<Record>,
    look_at: Time,
}

impl Lease {
    /// Returns a process that knows nothing of the lease yet.
    ///
    /// The seed spreads the attempts of rivals over time.
    pub fn new(name: impl Into<Arc<str>>, incarnation: Incarnation, seed: u64) -> Lease {
        Lease {
            name: name.into(),
            incarnation,
            seed,
            state: State::Unknown(Time::ZERO),
            held: None,
            look_at: Time::ZERO,
        }
    }

    /// Tells whether this process holds the lease at `now`; ask before each use.
    pub fn holds(&self, now: Time) -> bool {
        self.number(now).is_some()
    }

    /// Returns the fencing number, where this process holds the lease at `now`.
    pub fn number(&self, now: Time) -> Option<u64> {
        let held = self.held.as_ref()?;
        let safe = !held.deadline.is_past(now + MAX_SKEW);
        safe.then_some(held.number)
    }

    /// Returns what is due; a `Read` or `Write` counts as running until it is answered.
    pub fn step(&mut self, now: Time) -> Step {
        match self.state.clone() {
            State::Running(_) => Step::Wait(Time::MAX),
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
            let renew_at = earlier(record.deadline, RENEW_BEFORE);
            if !renew_at.is_past(now) {
                return Step::Wait(renew_at);
            }
            if self.holds(now) {
                return self.start_write(Some(version), record.number, now);
            }
        }
        let over_at = record.deadline + MAX_SKEW + self.jitter(record.number);
        if over_at.is_past(now) {
            return self.start_write(Some(version), record.number + 1, now);
        }
        if self.look_at.is_past(now) {
            return self.start_read();
        }
        Step::Wait(over_at.min(self.look_at))
    }

    fn start_read(&mut self) -> Step {
        self.state = State::Running(None);
        Step::Read
    }

    fn start_write(&mut self, version: Option<u64>, number: u64, now: Time) -> Step {
        let record = Record {
            holder: Arc::clone(&self.name),
            incarnation: self.incarnation,
            deadline: now + LIFETIME,
            number,
        };
        self.state = State::Running(Some(record.clone()));
        Step::Write { version, record }
    }

    /// Takes in the record as the store holds it, with its version.
    pub fn read(&mut self, found: Option<(Record, u64)>, now: Time) {
        let own = found.as_ref().filter(|(record, _)| self.is_own(record));
        self.held = own.map(|(record, _)| record.clone());
        self.look_at = now + LOOK_AGAIN;
        self.state = State::Known(found);
    }

    /// Takes in a read that failed; a lease that is held stays held until its deadline.
    pub fn failed(&mut self, now: Time) {
        self.state = State::Unknown(now + RETRY);
    }

    /// Takes in the end of a write.
    ///
    /// Where its answer is lost the lease that was held before stays in force
    /// until its own deadline, because a renewal never shortens it, and the
    /// record is read back.
    pub fn written(&mut self, outcome: Outcome) {
        let State::Running(Some(record)) = self.state.clone() else {
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
                let retry_at = earlier(record.deadline, LIFETIME) + RETRY;
                self.state = State::Unknown(retry_at);
            }
        }
    }

    fn is_own(&self, record: &Record) -> bool {
        record.holder == self.name && record.incarnation == self.incarnation
    }

    fn jitter(&self, number: u64) -> Duration {
        let hash = xxh3_64_with_seed(&number.to_le_bytes(), self.seed);
        Duration::from_micros(hash % SPREAD.as_micros() as u64)
    }
}

/// Returns the time that lies this long before a deadline, which may come from a faulty record.
fn earlier(deadline: Time, span: Duration) -> Time {
    let micros = u64::try_from(span.as_micros()).unwrap_or(u64::MAX);
    Time::from_micros(deadline.as_micros().saturating_sub(micros))
}
