//! How many generations a cold endpoint is given.
//!
//! A fresh engine bears little: caches, compiled kernels and memory pools fill as
//! it works, and one that is given full load at once falls over. A limit that
//! grows with time, as slow start in most proxies does, is wrong twice: an
//! endpoint that got no work in that time is as cold as before, and one that
//! turns cold again without a restart is not noticed at all. [`Ramp`] therefore
//! grows its limit with the tokens that the endpoint has generated at a healthy
//! pace while it held at least a quarter of the limit, and judges the pace by the
//! endpoint's own token times.
//!
//! # Falling
//!
//! The limit falls to [`Config::floor`] at once where
//!
//! * the incarnation of the endpoint changes,
//! * the memory that it reports shrinks by a quarter,
//! * three quarters of its last steps took more than [`Config::slow_ratio`] times
//!   as long as steps with as many generations did before, or
//! * it gives no token for [`Config::silence_ms`] although it holds generations.
//!
//! The duration of a step is the time between two moments at which tokens come,
//! and steps that give a first token are left out, so that a prefill is not taken
//! for a cold endpoint. Steps are compared by the number of generations, in bins
//! by powers of two, because a larger batch has longer ones. Generations beyond the fallen limit go on; nothing new is given
//! until they are fewer than it.
//!
//! # Growing
//!
//! While it is cold the endpoint is compared with [`Config::healthy_gap_ms`], not
//! with its warm self, or a slow endpoint would never get the work that warms
//! it. Where most steps take longer than that, the limit is halved.
//!
//! # Examples
//!
//! ```
//! use std::time::Duration;
//! use cactusroad_core::{Time, ramp::{Config, Ramp}};
//!
//! let mut ramp = Ramp::new(Config::default());
//! let mut now = Time::from_millis(0);
//! assert_eq!(ramp.limit(now), 2);
//! for _ in 0..1_000 {
//!     now = now + Duration::from_millis(30);
//!     ramp.token(now, Some(Duration::from_millis(30)), 2);
//! }
//! assert!(ramp.limit(now) > 4);
//! ramp.reset();
//! assert_eq!(ramp.limit(now), 2);
//! ```

use std::{collections::VecDeque, time::Duration};

use serde::{Deserialize, Serialize};

use crate::{Time, config::Objective};

/// Steps that a verdict on the pace looks back on.
const WINDOW: usize = 16;
/// Tokens that appear within this time belong to one step.
const STEP_SPACING: Duration = Duration::from_millis(4);
/// Bins of the reference, by powers of two of the generations held.
const BINS: usize = 12;
/// How much of a shorter step enters the reference, as a divisor.
const REFERENCE_FALL: f64 = 8.0;
/// How much of a longer step enters the reference, as a divisor.
const REFERENCE_RISE: f64 = 64.0;
/// How many times as long as usual a step of an endpoint that is warm again may take.
const USUAL_RATIO: f64 = 1.25;
/// How many times the floor an endpoint must bear before it is warm again.
const DEMONSTRATED_RATIO: u32 = 4;
/// A reported capacity below this share of the one before means a cold endpoint.
const SHRUNK_SHARE: f64 = 0.75;

/// The parameters of a [`Ramp`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The generations that any endpoint bears; 2 by default.
    pub floor: u32,
    /// The most generations that any endpoint is given; 256 by default.
    pub ceiling: u32,
    /// The healthy tokens that raise the limit by one; 128 by default.
    pub growth_tokens: u32,
    /// The time between two tokens that is healthy whatever the endpoint, in
    /// milliseconds; 71 by default.
    pub healthy_gap_ms: u64,
    /// How many times as long as before a step may take; 2 by default.
    pub slow_ratio: f64,
    /// How long an endpoint that holds generations may give nothing, in
    /// milliseconds; 3,000 by default.
    pub silence_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            floor: 2,
            ceiling: 256,
            growth_tokens: 128,
            healthy_gap_ms: 71,
            slow_ratio: 2.0,
            silence_ms: 3_000,
        }
    }
}

impl Config {
    /// Returns the parameters for what a site weighs more.
    ///
    /// For [`Objective::Moves`] the limit grows twice as fast, so that a data
    /// centre that returns carries its load sooner.
    pub fn new(objective: Objective) -> Config {
        match objective {
            Objective::Streaming => Config::default(),
            Objective::Moves => Config {
                growth_tokens: 64,
                ..Config::default()
            },
        }
    }
}

/// The limit of one endpoint; see the [module](self).
#[derive(Clone, Debug)]
pub struct Ramp {
    config: Config,
    limit: u32,
    credit: u32,
    cold: bool,
    /// Since this time the endpoint has owed a token.
    owed_since: Option<Time>,
    last_step: Time,
    /// The duration of the last steps, relative to what is expected.
    ratios: VecDeque<f64>,
    /// The usual duration of a step by the generations held, in microseconds.
    references: [Option<f64>; BINS],
    capacity: u64,
}

impl Ramp {
    /// Returns the ramp of a cold endpoint.
    pub fn new(config: Config) -> Ramp {
        Ramp {
            limit: config.floor,
            config,
            credit: 0,
            cold: true,
            owed_since: None,
            last_step: Time::ZERO,
            ratios: VecDeque::with_capacity(WINDOW),
            references: [None; BINS],
            capacity: 0,
        }
    }

    /// Returns the generations that the endpoint may hold at `now`.
    pub fn limit(&self, now: Time) -> u32 {
        if self.is_silent(now) {
            self.config.floor
        } else {
            self.limit
        }
    }

    /// Tells whether the endpoint is held to be cold.
    pub const fn is_cold(&self) -> bool {
        self.cold
    }

    /// Counts that the endpoint was given a generation.
    pub fn started(&mut self, now: Time) {
        self.owed_since.get_or_insert(now);
    }

    /// Counts that the endpoint holds `running` generations after one has left.
    pub fn finished(&mut self, now: Time, running: u32) {
        self.owed_since = (running > 0).then_some(now);
    }

    /// Counts a token of an endpoint that holds `running` generations.
    ///
    /// `gap` is the time since the token before of the same generation, or `None`
    /// for the first one.
    pub fn token(&mut self, now: Time, gap: Option<Duration>, running: u32) {
        if self.is_silent(now) {
            self.fall();
        }
        self.owed_since = Some(now);
        let step = now.since(self.last_step);
        if step > STEP_SPACING {
            self.last_step = now;
            if let Some(gap) = gap {
                // A prefill in between has given a first token, so it is left out.
                self.step(step.min(gap), running);
            }
        }
        let healthy = gap.is_some_and(|gap| gap <= self.healthy_gap());
        if healthy && running.saturating_mul(4) >= self.limit {
            self.grow();
        }
    }

    /// Notes the memory that the endpoint reports, in tokens.
    pub fn report_capacity(&mut self, tokens: u64) {
        if (tokens as f64) < self.capacity as f64 * SHRUNK_SHARE {
            self.fall();
        }
        self.capacity = tokens;
    }

    /// Starts again from a cold endpoint, after a change of its incarnation.
    pub fn reset(&mut self) {
        *self = Ramp::new(self.config.clone());
    }

    fn is_silent(&self, now: Time) -> bool {
        let silence = Duration::from_millis(self.config.silence_ms);
        self.owed_since
            .is_some_and(|since| now.since(since) > silence)
    }

    fn healthy_gap(&self) -> Duration {
        Duration::from_millis(self.config.healthy_gap_ms)
    }

    fn grow(&mut self) {
        self.credit += 1;
        if self.credit < self.config.growth_tokens || self.limit >= self.config.ceiling {
            return;
        }
        self.credit = 0;
        self.limit += 1;
    }

    fn fall(&mut self) {
        self.limit = self.config.floor;
        self.credit = 0;
        self.cold = true;
        self.ratios.clear();
    }

    fn halve(&mut self) {
        self.limit = (self.limit / 2).max(self.config.floor);
        self.credit = 0;
        self.ratios.clear();
    }

    fn step(&mut self, step: Duration, running: u32) {
        let micros = step.as_micros() as f64;
        let bin = (running.max(1).ilog2() as usize).min(BINS - 1);
        let expected = self.expected(bin);
        let healthy = self.healthy_gap().as_micros() as f64;
        let bound = match expected {
            Some(expected) if !self.cold => expected * self.config.slow_ratio,
            _ => healthy,
        };
        if self.ratios.len() == WINDOW {
            self.ratios.pop_front();
        }
        self.ratios.push_back(micros / bound);
        let slow = self.ratios.iter().filter(|&&ratio| ratio > 1.0).count();
        if slow * 4 >= WINDOW * 3 {
            if self.cold {
                self.halve();
            } else {
                self.fall();
            }
            return;
        }
        if micros <= bound {
            self.learn(bin, micros);
        }
        self.warm_up(expected, micros);
    }

    /// Ends the cold state once the endpoint keeps its usual pace again, or has
    /// shown that it bears the highest limit at the pace it has.
    fn warm_up(&mut self, expected: Option<f64>, micros: f64) {
        if !self.cold || self.ratios.len() < WINDOW {
            return;
        }
        let usual = expected.is_some_and(|expected| micros <= expected * USUAL_RATIO);
        let demonstrated = self.limit >= self.config.floor * DEMONSTRATED_RATIO;
        let full = self.limit >= self.config.ceiling;
        if full {
            // The endpoint bears all that it may be given, so this is its pace now.
            self.references = [None; BINS];
        }
        if full || (usual && demonstrated) {
            self.cold = false;
            self.ratios.clear();
        }
    }

    /// The usual duration of a step in a bin, or in the nearest one above or below.
    fn expected(&self, bin: usize) -> Option<f64> {
        let above = self.references[bin..].iter().flatten().next();
        let below = self.references[..bin].iter().rev().flatten().next();
        above.or(below).copied()
    }

    fn learn(&mut self, bin: usize, micros: f64) {
        let reference = self.references[bin].get_or_insert(micros);
        let change = micros - *reference;
        if self.cold && change > 0.0 {
            // The warm pace is still what the endpoint has to come back to.
            return;
        }
        *reference += if change < 0.0 {
            change / REFERENCE_FALL
        } else {
            change / REFERENCE_RISE
        };
    }
}
