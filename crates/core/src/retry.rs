//! Decides whether a failed request is retried.
//!
//! Three rules apply to each further attempt.
//!
//! * *Safety.* A request is retried only if its attempt was not run, or if running
//!   it twice is harmless and its caller has received nothing yet. Tokens of two
//!   generations are never mixed.
//! * *Deadline.* An attempt that could not finish in time is not made.
//! * *Budget.* Retries take from a [`Budget`] of the route. Each success adds a
//!   share of a retry, and a small floor serves routes with little traffic. When a
//!   data centre fails, the number of attempts therefore grows by at most that
//!   share, and not by the number of retries that each request may have.
//!
//! An attempt that was not run costs no budget, because it gave no endpoint any
//! work: its agent is full or unreachable. The number of such attempts for one
//! request is bounded instead. If they had a budget too, losing a third of the
//! endpoints at once would exhaust it within a second, and requests would be
//! refused although the remaining endpoints have room.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, refusal::Effect, retry::{Budget, Config, History}};
//!
//! let now = Time::from_millis(1_000);
//! let mut budget = Budget::new(Config::default(), now);
//! let mut history = History::new(true, Time::from_millis(9_000));
//! history.failed(Effect::NotRun);
//! assert!(budget.spend(&history, now).is_ok());
//! history.started();
//! history.failed(Effect::Unknown);
//! assert!(budget.spend(&history, now).is_err());
//! ```

use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, IntoStaticStr};

use crate::{Time, refusal::Effect};

/// Parameters of retries.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Retries that a route may make for each success; 0.1 by default.
    pub share: f64,
    /// Retries per second that a route may make in addition; 1 by default.
    pub floor_per_second: f64,
    /// The maximum number of retries that a route can accumulate; 20 by default.
    pub burst: f64,
    /// The maximum number of failed attempts of one request that may have run; 3 by default.
    pub max_attempts: u32,
    /// The maximum number of attempts of one request that were not run; 6 by default.
    pub max_refusals: u32,
    /// The minimum time left before the deadline for an attempt to be made, in
    /// milliseconds; 50 by default.
    pub min_useful_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            share: 0.1,
            floor_per_second: 1.0,
            burst: 20.0,
            max_attempts: 3,
            max_refusals: 6,
            min_useful_ms: 50,
        }
    }
}

/// The attempts of one request and their results.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct History {
    idempotent: bool,
    deadline: Time,
    has_output: bool,
    last_effect: Option<Effect>,
    /// Failed attempts that may have run.
    attempts: u32,
    /// Attempts that were not run.
    refusals: u32,
}

impl History {
    /// Returns the history of a request without any attempt.
    pub const fn new(idempotent: bool, deadline: Time) -> History {
        History {
            idempotent,
            deadline,
            has_output: false,
            last_effect: None,
            attempts: 0,
            refusals: 0,
        }
    }

    /// Records that the caller has received a part of the answer.
    pub const fn started(&mut self) {
        self.has_output = true;
    }

    /// Returns whether a retry costs no budget, because the last attempt was not run.
    fn is_exempt(&self) -> bool {
        self.last_effect == Some(Effect::NotRun)
    }

    /// Records a failed attempt and whether it ran.
    pub const fn failed(&mut self, effect: Effect) {
        self.last_effect = Some(effect);
        match effect {
            Effect::NotRun => self.refusals += 1,
            Effect::Unknown | Effect::Ran => self.attempts += 1,
        }
    }
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// The request may have run, and must not run twice.
    Unsafe,
    /// The caller has received a part of the answer.
    Started,
    /// The time left before the deadline is too short.
    Deadline,
    /// The request has reached its maximum number of attempts.
    Attempts,
    /// The retry budget of the route is exhausted.
    Budget,
}

/// The retry budget of one route.
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    /// Retries that are left, at most [`Config::burst`].
    balance: f64,
    refilled_at: Time,
}

impl Budget {
    /// Returns a full budget, so that faults soon after the start can be retried.
    pub fn new(config: Config, now: Time) -> Budget {
        Budget {
            balance: config.burst,
            config,
            refilled_at: now,
        }
    }

    /// Records a successful request, which adds to the budget.
    pub fn record_success(&mut self) {
        self.balance = (self.balance + self.config.share).min(self.config.burst);
    }

    /// Takes one retry from the budget, unless the last attempt was not run.
    ///
    /// # Errors
    ///
    /// Fails if a rule forbids the retry; the budget is unchanged then.
    pub fn spend(&mut self, history: &History, now: Time) -> Result<(), Denial> {
        self.refill(now);
        self.check(history, now)?;
        if !history.is_exempt() {
            self.balance -= 1.0;
        }
        Ok(())
    }

    /// Returns the number of retries that are left.
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    fn check(&self, history: &History, now: Time) -> Result<(), Denial> {
        match history.last_effect {
            Some(Effect::Ran) => return Err(Denial::Unsafe),
            Some(Effect::Unknown) if !history.idempotent => return Err(Denial::Unsafe),
            _ => {}
        }
        if history.has_output {
            return Err(Denial::Started);
        }
        let earliest_end = now + Duration::from_millis(self.config.min_useful_ms);
        if history.deadline.is_past(earliest_end) {
            return Err(Denial::Deadline);
        }
        let is_exhausted = history.attempts >= self.config.max_attempts
            || history.refusals >= self.config.max_refusals;
        if is_exhausted {
            return Err(Denial::Attempts);
        }
        if !history.is_exempt() && self.balance < 1.0 {
            return Err(Denial::Budget);
        }
        Ok(())
    }

    fn refill(&mut self, now: Time) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.balance += elapsed * self.config.floor_per_second;
        self.balance = self.balance.min(self.config.burst);
        self.refilled_at = self.refilled_at.max(now);
    }
}
