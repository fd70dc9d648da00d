//! How much an engine is given.
//!
//! The agent beside an endpoint is the only process that gives it work, so it
//! alone can bound what the endpoint holds. [`Admission`] decides for each
//! request whether the engine takes it now, whether it waits at the agent, or
//! whether it is refused with the time at which there will be room.
//!
//! # Memory
//!
//! The memory of a generation grows until it ends, and nobody knows when that
//! is. Reserving the longest length wastes nearly all memory, reserving the mean
//! overruns it, and an engine that overruns preempts: it throws away the memory
//! of a generation and computes it again, while its reader waits. [`Admission`]
//! projects the memory of all running generations to a row of horizons. At each
//! it knows the mean and the variance of the sum, from the survival curves of the
//! routes ([`crate::survival`]) and from what each generation has emitted so far.
//! A request is admitted where, at every horizon, the mean and as many standard
//! deviations as [`Config::overrun`] asks for stay below the capacity.
//!
//! The sums are kept up to date generation by generation, so a decision costs one
//! pass over the horizons, whatever the number of workspaces, replicas or routes.
//!
//! # Prefill
//!
//! While an engine computes a prompt, its decodes stall. Prompts are therefore
//! given one prefill step's worth at a time, and paced so that they take at most
//! [`Config::prefill_share`] of the engine's time. The time that a prompt token
//! takes is learned from the first tokens.
//!
//! # Capacity
//!
//! Capacity comes from the engine's reports. These lag, but what the agent has
//! given is known exactly, so a report is only used for what the agent cannot
//! know: the capacity, the incarnation, memory that someone else uses and the
//! count of preemptions. After a preemption the usable capacity shrinks by
//! [`Config::backoff`] and comes back with ended generations. What a preempted
//! generation held stays in the projection, so nothing new takes the room that it
//! needs to go on.
//!
//! # Cold start
//!
//! [`crate::ramp`] bounds the number of generations. All entries come through the
//! one agent, so together they cannot exceed the bound.
//!
//! # Use
//!
//! A driver asks [`Admission::offer`], and where the answer is
//! [`Decision::Admit`] gives the request to the engine and calls
//! [`Admission::started`] under the same lock. It then reports
//! [`Admission::token`] and [`Admission::finished`] as they come, and
//! [`Admission::report`] for each load report.
//!
//! # Examples
//!
//! ```
//! use std::sync::Arc;
//! use cactusroad_core::{Time, id::Attempt};
//! use cactusroad_core::admission::{Admission, Config, Decision, Ending, Request};
//!
//! let mut admission = Admission::new(Config::default());
//! let request = Request {
//!     attempt: Attempt(1),
//!     route: Arc::from("drafts"),
//!     version: Arc::from("v1"),
//!     prompt_tokens: 100,
//!     cached_tokens: 0,
//!     prefix: None,
//!     max_tokens: 1_000,
//!     start_by: Time::from_millis(1_000),
//! };
//! let now = Time::from_millis(100);
//! assert_eq!(admission.offer(now, &request, 0), Decision::Admit);
//! admission.started(now, &request);
//! assert_eq!(admission.running(), 1);
//! admission.token(now, Attempt(1));
//! admission.finished(now, Attempt(1), Ending::Complete);
//! assert_eq!(admission.running(), 0);
//! ```

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{
    Time,
    config::Objective,
    id::Attempt,
    ramp::{self, Ramp},
    survival::{self, Book, Curve},
};

mod capacity;
mod prefill;
mod prefix;
mod projection;
mod running;

pub use capacity::Report;
pub use projection::HORIZONS;

use capacity::Capacity;
use prefill::Pace;
use prefix::Prefixes;
use projection::{Projection, Share};
use running::{Running, Table};

/// The parameters of an [`Admission`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The memory to count on before the first report, in tokens; 16,384 by
    /// default.
    pub capacity_tokens: u64,
    /// The probability that the running generations alone overrun the memory at
    /// a horizon, from 0.0001 to 0.5; 0.001 by default.
    pub overrun: f64,
    /// The farthest horizon that is looked at, in tokens; 1,024 by default.
    pub horizon_tokens: u32,
    /// The share of time that prefills may take while others decode; 0.6 by
    /// default.
    pub prefill_share: f64,
    /// The most prompt tokens that are given to the engine before it has
    /// answered them; a larger prompt goes alone; 512 by default.
    pub prefill_tokens_max: u32,
    /// The prompt tokens that an engine computes in a second, until it is
    /// learned; 10,000 by default.
    pub prefill_speed: f64,
    /// The share of the capacity that stays after a preemption; 0.97 by default.
    pub backoff: f64,
    /// The routes and versions whose lengths are learned; 64 by default.
    pub curves: usize,
    /// The limit of a cold endpoint.
    pub ramp: ramp::Config,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            capacity_tokens: 16_384,
            overrun: 0.001,
            horizon_tokens: 1_024,
            prefill_share: 0.6,
            prefill_tokens_max: 512,
            prefill_speed: 10_000.0,
            backoff: 0.97,
            curves: 64,
            ramp: ramp::Config::default(),
        }
    }
}

impl Config {
    /// Returns the parameters for what a site weighs more.
    ///
    /// [`Objective::Streaming`] keeps stalls rare. [`Objective::Moves`] gives an
    /// endpoint more at a time, with more preemptions and longer steps, so that
    /// the load of a data centre that leaves finds room elsewhere.
    pub fn new(objective: Objective) -> Config {
        let ramp = ramp::Config::new(objective);
        match objective {
            Objective::Streaming => Config {
                ramp,
                ..Config::default()
            },
            Objective::Moves => Config {
                overrun: 0.01,
                prefill_share: 0.8,
                prefill_tokens_max: 1_024,
                ramp,
                ..Config::default()
            },
        }
    }
}

/// A shared beginning of a prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The hash of the prefix.
    pub hash: u64,
    /// The tokens that it covers.
    pub tokens: u32,
}

/// A generation that asks for room.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The identity of the generation.
    pub attempt: Attempt,
    /// The route that it came by.
    pub route: Arc<str>,
    /// The version that runs it.
    pub version: Arc<str>,
    /// The tokens of the prompt.
    pub prompt_tokens: u32,
    /// The tokens of the prompt that the engine holds in its prefix cache, as
    /// far as is known.
    pub cached_tokens: u32,
    /// The beginning that the prompt shares with others.
    pub prefix: Option<Prefix>,
    /// The most tokens that it generates.
    pub max_tokens: u32,
    /// When it is too late to start.
    pub start_by: Time,
}

/// Whether a generation is given to the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The engine has room: give it the generation now.
    Admit,
    /// Offer it again at this time, or when a generation ends before.
    Wait {
        /// When there is expected to be room.
        until: Time,
    },
    /// There will be no room in time; it was not run.
    Refuse {
        /// When there is expected to be room, or `None` where the prompt is
        /// larger than the endpoint's memory.
        retry_at: Option<Time>,
    },
}

/// How a generation left the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// It ended by itself, so its length is known.
    Complete,
    /// It was cancelled or lost, so its length stays unknown.
    Broken,
}

/// The shortest wait that is stated.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// How much of a new time between endings enters the average, as a divisor.
const ENDING_DIVISOR: f64 = 16.0;
/// How much of a new time between tokens enters the average, as a divisor.
const GAP_DIVISOR: f64 = 256.0;

/// The decision on what one endpoint is given; see the [module](self).
#[derive(Clone, Debug)]
pub struct Admission {
    deviations: f64,
    table: Table,
    projection: Projection,
    prefixes: Prefixes,
    pace: Pace,
    capacity: Capacity,
    ramp: Ramp,
    curves: Book,
    /// What is believed of a route and version that nothing is known of.
    prior: Curve,
    /// The average time between two tokens of a generation, in microseconds.
    gap_micros: f64,
    /// The average time between two endings, in microseconds.
    ending_micros: f64,
    last_ending: Time,
}

impl Admission {
    /// Returns the admission of an endpoint that was not given anything yet.
    pub fn new(config: Config) -> Admission {
        Admission {
            deviations: projection::deviations(config.overrun),
            table: Table::default(),
            projection: Projection::new(config.horizon_tokens),
            prefixes: Prefixes::default(),
            pace: Pace::new(
                config.prefill_share,
                config.prefill_speed,
                config.prefill_tokens_max,
            ),
            capacity: Capacity::new(config.capacity_tokens, config.backoff),
            ramp: Ramp::new(config.ramp),
            curves: Book::new(survival::Config::default(), config.curves),
            prior: Curve::new(survival::Config::default()),
            gap_micros: 30_000.0,
            ending_micros: 200_000.0,
            last_ending: Time::ZERO,
        }
    }

    /// Decides on a request that has `ahead` others before it in the queue.
    ///
    /// Nothing is reserved: a driver that gives the request to the engine calls
    /// [`started`](Admission::started) before it offers another.
    pub fn offer(&self, now: Time, request: &Request, ahead: u32) -> Decision {
        let tokens = self.prompt_memory(request);
        if u64::from(tokens) + HORIZONS[0] as u64 > self.capacity.largest() {
            return Decision::Refuse { retry_at: None };
        }
        let until = self.room_at(now, request, ahead);
        if until <= now {
            Decision::Admit
        } else if until > request.start_by {
            Decision::Refuse {
                retry_at: Some(until),
            }
        } else {
            Decision::Wait { until }
        }
    }

    /// Counts that the engine was given a request.
    pub fn started(&mut self, now: Time, request: &Request) {
        let share = self.share(request);
        let uncached = request.prompt_tokens.saturating_sub(request.cached_tokens);
        let running = Running {
            attempt: request.attempt,
            route: Arc::clone(&request.route),
            version: Arc::clone(&request.version),
            prompt_tokens: self.prompt_memory(request),
            uncached_tokens: uncached.max(1),
            prefix: request.prefix.map(|prefix| prefix.hash),
            max_tokens: request.max_tokens,
            emitted: 0,
            observed: 0,
            last_token: now,
            share,
        };
        let attempt = running.attempt;
        let tokens = running.uncached_tokens;
        if !self.table.insert(running) {
            debug_assert!(false, "the attempt {attempt} was started twice");
            return;
        }
        if let Some(prefix) = request.prefix {
            self.prefixes.add(prefix);
        }
        self.projection.add(&share);
        self.pace.started(now, tokens);
        self.ramp.started(now);
        self.capacity.record(now, self.held());
    }

    /// Counts a token of a running generation; an unknown one is ignored.
    pub fn token(&mut self, now: Time, attempt: Attempt) {
        let count = self.table.len() as u32;
        let Some(running) = self.table.get_mut(attempt) else {
            return;
        };
        let gap = (running.emitted > 0).then(|| now.since(running.last_token));
        if gap.is_none() {
            let waited = now.since(running.last_token);
            let tokens = running.uncached_tokens;
            let step = Duration::from_micros(self.gap_micros as u64);
            self.pace.answered(tokens, waited.saturating_sub(step / 2));
        }
        running.emitted += 1;
        running.last_token = now;
        self.projection.grow(&mut running.share);
        let stale = running.emitted - running.observed;
        if stale >= running::REFRESH_TOKENS.max(running.emitted / running::REFRESH_DIVISOR) {
            let curve = self.curves.entry(&running.route, &running.version);
            curve.observe(running.observed, running.emitted, false);
            running.observed = running.emitted;
            let fresh = Share::new(
                curve,
                running.prompt_tokens,
                running.emitted,
                running.max_tokens,
            );
            self.projection.replace(&mut running.share, fresh);
        }
        if let Some(gap) = gap {
            self.gap_micros += (gap.as_micros() as f64 - self.gap_micros) / GAP_DIVISOR;
        }
        self.ramp.token(now, gap, count);
    }

    /// Counts that a generation has left the engine; an unknown one is ignored.
    pub fn finished(&mut self, now: Time, attempt: Attempt, ending: Ending) {
        let Some(running) = self.table.remove(attempt) else {
            return;
        };
        self.capacity.record(now, self.held_with(&running));
        self.projection.remove(&running.share);
        if let Some(hash) = running.prefix {
            self.prefixes.remove(hash);
        }
        if running.emitted == 0 {
            self.pace.abandoned(running.uncached_tokens);
        }
        let complete = ending == Ending::Complete;
        let curve = self.curves.entry(&running.route, &running.version);
        curve.observe(running.observed, running.emitted, complete);
        if complete {
            self.capacity.recover();
        }
        self.ramp.finished(now, self.table.len() as u32);
        let since = now.since(self.last_ending).as_micros() as f64;
        if self.last_ending > Time::ZERO {
            self.ending_micros += (since - self.ending_micros) / ENDING_DIVISOR;
        }
        self.last_ending = now;
    }

    /// Takes in a load report.
    pub fn report(&mut self, now: Time, report: &Report) {
        if self.capacity.is_new_incarnation(report) {
            self.ramp.reset();
        }
        self.ramp.report_capacity(report.capacity_tokens);
        let held = self.held();
        self.capacity.report(now, report, held);
    }

    /// Forgets the lengths of versions that `keep` does not name.
    pub fn retain_versions(&mut self, keep: impl FnMut(&str, &str) -> bool) {
        self.curves.retain(keep);
    }

    /// Returns the number of generations that the engine holds.
    pub fn running(&self) -> usize {
        self.table.len()
    }

    /// Returns the generations that the endpoint may hold.
    pub fn limit(&self, now: Time) -> u32 {
        self.ramp.limit(now)
    }

    /// Tells whether the endpoint is held to be cold.
    pub const fn is_cold(&self) -> bool {
        self.ramp.is_cold()
    }

    /// Returns the memory that running generations hold, in tokens.
    pub fn held(&self) -> u64 {
        self.projection.held() + self.prefixes.tokens()
    }

    /// Returns the memory that may be used, in tokens.
    pub fn usable(&self) -> u64 {
        self.capacity.usable()
    }

    /// Returns the share of the usable memory that is free at the most crowded
    /// horizon, from 0 to 1.
    pub fn headroom(&self) -> f64 {
        let usable = self.usable() as f64;
        if usable <= 0.0 {
            return 0.0;
        }
        let peak = self.projection.peak(self.deviations) + self.prefixes.tokens() as f64;
        (1.0 - peak / usable).clamp(0.0, 1.0)
    }

    /// Returns when there will be room for a request, or `now` where there is.
    pub fn room_at(&self, now: Time, request: &Request, ahead: u32) -> Time {
        let held = self.table.len() as u32;
        let idle = self.table.is_empty() && self.capacity.hidden() == 0;
        let mut room = now;
        if held >= self.ramp.limit(now) {
            let excess = held - self.ramp.limit(now) + 1;
            room = room.max(self.after_endings(now, excess));
        }
        if !idle {
            room = room.max(self.pace.room_at(now, request, self.table.is_decoding()));
            room = room.max(self.memory_at(now, request));
        }
        if ahead > 0 {
            room = room.max(self.after_endings(now, ahead));
        }
        if room > now {
            room.max(now + MIN_WAIT)
        } else {
            now
        }
    }

    /// The time at which `count` generations are expected to have ended.
    fn after_endings(&self, now: Time, count: u32) -> Time {
        now + Duration::from_micros((self.ending_micros * f64::from(count)) as u64)
    }

    /// The time from which the projected memory has room for the request.
    ///
    /// Each ended generation is taken to free its part of the peak.
    fn memory_at(&self, now: Time, request: &Request) -> Time {
        let share = self.share(request);
        let usable = self.usable() as f64 - self.prefixes.with(request.prefix) as f64;
        let shortfall = self.projection.shortfall(&share, usable, self.deviations);
        if shortfall <= 0.0 {
            return now;
        }
        let part = self.projection.peak(self.deviations) / self.table.len().max(1) as f64;
        let endings = (shortfall / part.max(1.0)).ceil();
        self.after_endings(now, endings as u32)
    }

    /// The memory that the prompt takes besides its shared beginning.
    fn prompt_memory(&self, request: &Request) -> u32 {
        let shared = request.prefix.map_or(0, |prefix| prefix.tokens);
        request.prompt_tokens.saturating_sub(shared)
    }

    fn share(&self, request: &Request) -> Share {
        let curve = self.curves.get(&request.route, &request.version);
        Share::new(
            curve.unwrap_or(&self.prior),
            self.prompt_memory(request),
            0,
            request.max_tokens,
        )
    }

    fn held_with(&self, running: &Running) -> u64 {
        self.held() + u64::from(running.share.held())
    }
}
