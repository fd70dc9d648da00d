//! Whether a request that failed is tried again.
//!
//! Three rules stand before each further attempt.
//!
//! * *The promises.* A request is repeated only where its attempt was not run, or
//!   where running it twice is harmless and its caller has received nothing yet:
//!   tokens of two generations are never mixed.
//! * *The deadline.* An attempt that could not end in time is not made.
//! * *The budget.* Repeats take from a [`Budget`] of the route that successes fill
//!   by a share each, with a small floor for routes with little traffic. When a
//!   data centre fails, attempts therefore grow by at most that share instead of
//!   by the number of repeats that each request may have.
//!
//! An attempt that was not run costs no budget, because it gave no endpoint any
//! work: its agent is full, or cannot be reached. The number of such attempts for
//! one request is bounded instead. With a budget for these as well, a third of the
//! endpoints lost at once would spend it within a second, and requests would be
//! refused although the rest has room.
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

/// Parameters of repeats.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Repeats that a route may make for each success; 0.1 by default.
    pub share: f64,
    /// Repeats a second that a route may make without successes; 1 by default.
    pub floor_per_second: f64,
    /// The most repeats that a route can save up; 20 by default.
    pub burst: f64,
    /// The most attempts of one request that fail after they may have run; 3 by default.
    pub max_attempts: u32,
    /// The most attempts of one request that were not run; 6 by default.
    pub max_refusals: u32,
    /// The least time to the deadline that makes an attempt useful, in
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

/// What has happened to one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct History {
    idempotent: bool,
    deadline: Time,
    started: bool,
    last: Option<Effect>,
    attempts: u32,
    refusals: u32,
}

impl History {
    /// Returns the history of a request that was not tried yet.
    pub const fn new(idempotent: bool, deadline: Time) -> History {
        History {
            idempotent,
            deadline,
            started: false,
            last: None,
            attempts: 0,
            refusals: 0,
        }
    }

    /// Notes that the caller has received a part of the answer.
    pub const fn started(&mut self) {
        self.started = true;
    }

    /// Tells whether the last attempt gave no endpoint any work.
    fn is_free(&self) -> bool {
        self.last == Some(Effect::NotRun)
    }

    /// Notes a failed attempt, and whether it ran.
    pub const fn failed(&mut self, effect: Effect) {
        self.last = Some(effect);
        match effect {
            Effect::NotRun => self.refusals += 1,
            Effect::Unknown | Effect::Ran => self.attempts += 1,
        }
    }
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Denial {
    /// It may have run, and may not run twice.
    Unsafe,
    /// Its caller has received a part of the answer.
    Started,
    /// Its deadline is too near.
    Deadline,
    /// It failed as often as one request may.
    Attempts,
    /// The budget of its route is spent.
    Budget,
}

/// The repeats that one route may make.
#[derive(Clone, Debug)]
pub struct Budget {
    config: Config,
    balance: f64,
    filled_at: Time,
}

impl Budget {
    /// Returns a full budget, so that a fault soon after the start is bridged.
    pub fn new(config: Config, now: Time) -> Budget {
        Budget {
            balance: config.burst,
            config,
            filled_at: now,
        }
    }

    /// Notes a request that succeeded.
    pub fn succeeded(&mut self) {
        self.balance = (self.balance + self.config.share).min(self.config.burst);
    }

    /// Takes one repeat from the budget.
    ///
    /// # Errors
    ///
    /// Fails where a rule speaks against the repeat; nothing is taken then.
    pub fn spend(&mut self, history: &History, now: Time) -> Result<(), Denial> {
        self.fill(now);
        self.check(history, now)?;
        if !history.is_free() {
            self.balance -= 1.0;
        }
        Ok(())
    }

    /// Returns the repeats that are left.
    pub const fn balance(&self) -> f64 {
        self.balance
    }

    fn check(&self, history: &History, now: Time) -> Result<(), Denial> {
        match history.last {
            Some(Effect::Ran) => return Err(Denial::Unsafe),
            Some(Effect::Unknown) if !history.idempotent => return Err(Denial::Unsafe),
            _ => {}
        }
        if history.started {
            return Err(Denial::Started);
        }
        let useful = now + Duration::from_millis(self.config.min_useful_ms);
        if history.deadline.is_past(useful) {
            return Err(Denial::Deadline);
        }
        let over = history.attempts >= self.config.max_attempts
            || history.refusals >= self.config.max_refusals;
        if over {
            return Err(Denial::Attempts);
        }
        if !history.is_free() && self.balance < 1.0 {
            return Err(Denial::Budget);
        }
        Ok(())
    }

    fn fill(&mut self, now: Time) {
        let elapsed = now.since(self.filled_at).as_secs_f64();
        self.balance += elapsed * self.config.floor_per_second;
        self.balance = self.balance.min(self.config.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
