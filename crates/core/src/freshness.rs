//! How long a process may act on its copy of the configuration.
//!
//! A key that operators have revoked must be rejected within a bound, also by a process
//! that cannot reach the store. Such a process cannot know that the key was revoked, so
//! it needs a dated proof that its copy was current, and stops acting on the copy when
//! the proof is older than the bound.
//!
//! An answer of the store proves that the copy was current when the store produced the
//! answer. That point lies between the request and the answer; both may have been
//! delayed on the way, and the process may have been paused after the answer arrived.
//! The proof is therefore dated by the start of the call. A watch that ended without a
//! change was held open by the store for its whole wait, so its answer is dated by the
//! start of the call plus that wait. A stale read proves nothing. An answer of a relay
//! is as old as the relay's own proof was when it answered.
//!
//! The clock of the caller must count the time for which the VM was suspended.
//!
//! Answers the load pattern in which the store rejects some VMs for longer than the
//! bound while it accepts changes from operators.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use cactusroad_core::{Time, freshness::{Answer, Freshness}};
//!
//! let sent_at = Time::from_millis(1_000);
//! let answer = Answer::list(sent_at, sent_at + Duration::from_millis(4));
//! let mut freshness = Freshness::new(Some(Duration::from_secs(5)));
//! freshness.record(&answer);
//! assert!(freshness.permits(Time::from_millis(5_999)));
//! assert!(!freshness.permits(Time::from_millis(6_000)));
//! ```

use std::time::Duration;

use crate::Time;

/// The share of the bound after which a process reports that it is not ready, so that
/// new connections go to processes with a newer proof. The rest of the bound serves the
/// callers that are connected already.
const UNREADY_SHARE: f64 = 0.6;

/// The share of the bound after which the store is asked without a wait.
const URGENT_SHARE: f64 = 0.5;

/// A successful answer about the state of the store, by the store or by a relay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// When the call was sent.
    pub sent_at: Time,
    /// When its answer was received.
    pub answered_at: Time,
    /// How long the call was certainly held open before its answer was produced.
    pub held: Duration,
    /// How old the state was when the answer was produced; zero for an answer of the
    /// store.
    pub age: Duration,
}

impl Answer {
    /// Returns the answer to a list.
    pub fn list(sent_at: Time, answered_at: Time) -> Answer {
        Answer {
            sent_at,
            answered_at,
            ..Answer::default()
        }
    }

    /// Returns the answer to a watch that the store was asked to hold open for `wait`
    /// unless there are changes.
    pub fn watch(sent_at: Time, answered_at: Time, wait: Duration, has_changes: bool) -> Answer {
        let was_held = !has_changes && answered_at >= sent_at + wait;
        Answer {
            held: if was_held { wait } else { Duration::ZERO },
            ..Answer::list(sent_at, answered_at)
        }
    }

    /// Returns the time as of which the state is certainly known.
    pub fn as_of(&self) -> Time {
        let produced_at = (self.sent_at + self.held).min(self.answered_at);
        let micros = u64::try_from(self.age.as_micros()).unwrap_or(u64::MAX);
        Time::from_micros(produced_at.as_micros().saturating_sub(micros))
    }

    /// Returns the age of the state when the answer was received.
    pub fn age(&self) -> Duration {
        self.answered_at.since(self.as_of())
    }
}

/// The newest proof that the configuration of a process is current.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Freshness {
    as_of: Time,
    /// The maximum age of the proof, or none if the configuration may be used without
    /// one.
    bound: Option<Duration>,
}

impl Freshness {
    /// Returns the state of a process that has not read the configuration yet.
    pub fn new(bound: Option<Duration>) -> Freshness {
        Freshness {
            as_of: Time::ZERO,
            bound,
        }
    }

    /// Records an answer of the store. An answer that was overtaken by a newer one has no
    /// effect.
    pub fn record(&mut self, answer: &Answer) {
        self.as_of = self.as_of.max(answer.as_of());
    }

    /// Returns the time as of which the configuration is known to be current.
    pub fn as_of(&self) -> Time {
        self.as_of
    }

    /// Returns whether a request may be accepted by its key.
    pub fn permits(&self, now: Time) -> bool {
        self.is_within(1.0, now)
    }

    /// Returns whether new connections should be served by this process.
    pub fn is_ready(&self, now: Time) -> bool {
        self.is_within(UNREADY_SHARE, now)
    }

    /// Returns whether a new proof is needed soon.
    pub fn is_urgent(&self, now: Time) -> bool {
        !self.is_within(URGENT_SHARE, now)
    }

    fn is_within(&self, share: f64, now: Time) -> bool {
        self.bound
            .is_none_or(|bound| now < self.as_of + bound.mul_f64(share))
    }
}
