//! The limit of concurrent runs at a cold endpoint.
//!
//! A fresh engine can take little load: its caches, compiled kernels and memory pools
//! fill as it works, and full load right after the start overloads it. Most proxies
//! raise the limit with time (slow start). That fails in two cases: an endpoint without
//! work in that time is as cold as before, and an endpoint that becomes cold again
//! without a restart is not noticed. [`Ramp`] therefore grows its limit with the tokens
//! that the endpoint has generated at a healthy pace while it had at least a quarter of
//! the limit in runs, and measures the pace by the endpoint's own token times. A *run*
//! is one generation at the engine. A *step* of the engine yields one token for each
//! run that decodes.
//!
//! # Fall
//!
//! The limit falls to [`Config::floor`] at once if
//!
//! * the incarnation of the endpoint changes,
//! * the memory that it reports shrinks by more than a quarter,
//! * three quarters of its last 16 steps took more than [`Config::slow_ratio`]
//!   times as long as earlier steps with as many runs, or
//! * it emits no token for [`Config::silence_ms`] although it has runs.
//!
//! The duration of a step is the time between two moments at which tokens arrive.
//! Steps that yield a first token are left out, so that a prefill is not mistaken
//! for a cold endpoint. Durations are compared per number of runs, in bins by
//! powers of two, because the steps of larger batches take longer. Runs beyond a
//! lowered limit continue, and no new run starts until fewer are left than the
//! limit.
//!
//! # Growth
//!
//! A cold endpoint is compared with [`Config::healthy_gap_ms`] instead of its own
//! pace when warm; otherwise a slow endpoint would never get the work that warms
//! it up. If three quarters of the last steps take longer than that, the limit is
//! halved.
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

/// The number of last steps by which the pace is judged.
const WINDOW_STEPS: usize = 16;
/// Tokens that arrive within this time belong to the same step.
const STEP_SPACING: Duration = Duration::from_millis(4);
/// The number of bins of reference durations, by powers of two of the runs.
const BATCH_BINS: usize = 12;
/// The divisor of the moving average for a step shorter than the reference.
const REFERENCE_FALL_DIVISOR: f64 = 8.0;
/// The divisor of the moving average for a step longer than the reference.
const REFERENCE_RISE_DIVISOR: f64 = 64.0;
/// The maximum duration of a step, relative to the reference, at which a cold
/// endpoint becomes warm.
const WARM_STEP_RATIO: f64 = 1.25;
/// The minimum limit, relative to the floor, at which a cold endpoint with its usual
/// pace becomes warm.
const WARM_LIMIT_RATIO: u32 = 4;
/// A reported capacity below this share of the previous one means a cold endpoint.
const MIN_CAPACITY_SHARE: f64 = 0.75;

/// The parameters of a [`Ramp`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The lowest limit, which any endpoint can take; 2 runs by default.
    pub floor: u32,
    /// The highest limit; 256 runs by default.
    pub ceiling: u32,
    /// The number of tokens at a healthy pace that raise the limit by one; 128 by
    /// default.
    pub growth_tokens: u32,
    /// The longest time between two tokens of a run that is healthy for any
    /// endpoint, in milliseconds; 71 by default.
    pub healthy_gap_ms: u64,
    /// The maximum duration of a step at a warm endpoint, relative to earlier steps
    /// with as many runs; 2 by default.
    pub slow_ratio: f64,
    /// How long an endpoint with runs may emit no token before the limit falls to
    /// `floor`, in milliseconds; 3,000 by default.
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
    /// Returns the parameters for an objective of the site.
    ///
    /// For [`Objective::Moves`] the limit grows twice as fast, so that a data
    /// centre that returns takes its load sooner.
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
    /// The healthy tokens that count towards the next increase of the limit.
    healthy_tokens: u32,
    cold: bool,
    /// The time from which silence is measured, which is the last token, the last end
    /// of a run or the start of the first one; `None` if there are no runs.
    silent_since: Option<Time>,
    last_step_at: Time,
    /// The durations of the last steps, relative to the bound above which a step is
    /// slow.
    step_ratios: VecDeque<f64>,
    /// The usual duration of a step per bin of the number of runs, in microseconds.
    references: [Option<f64>; BATCH_BINS],
    /// The last reported capacity, in tokens.
    reported_capacity: u64,
}

impl Ramp {
    /// Returns the ramp of a cold endpoint.
    pub fn new(config: Config) -> Ramp {
        Ramp {
            limit: config.floor,
            config,
            healthy_tokens: 0,
            cold: true,
            silent_since: None,
            last_step_at: Time::ZERO,
            step_ratios: VecDeque::with_capacity(WINDOW_STEPS),
            references: [None; BATCH_BINS],
            reported_capacity: 0,
        }
    }

    /// Returns the maximum number of concurrent runs at `now`.
    pub fn limit(&self, now: Time) -> u32 {
        if self.is_silent(now) {
            self.config.floor
        } else {
            self.limit
        }
    }

    /// Returns whether the endpoint is considered cold.
    pub const fn is_cold(&self) -> bool {
        self.cold
    }

    /// Records that a run was started.
    pub fn started(&mut self, now: Time) {
        self.silent_since.get_or_insert(now);
    }

    /// Records that a run has ended and that `running` others remain.
    pub fn finished(&mut self, now: Time, running: u32) {
        self.silent_since = (running > 0).then_some(now);
    }

    /// Records a token of an endpoint with `running` concurrent runs.
    ///
    /// `gap` is the time since the previous token of the same run, or `None` for
    /// its first token.
    pub fn token(&mut self, now: Time, gap: Option<Duration>, running: u32) {
        if self.is_silent(now) {
            self.set_cold();
        }
        self.silent_since = Some(now);
        let step = now.since(self.last_step_at);
        if step > STEP_SPACING {
            self.last_step_at = now;
            if let Some(gap) = gap {
                // The first token of a prefill also sets `last_step_at`, so the time that
                // the prefill took is not counted.
                self.record_step(step.min(gap), running);
            }
        }
        let healthy = gap.is_some_and(|gap| gap <= self.healthy_gap());
        if healthy && running.saturating_mul(4) >= self.limit {
            self.grow();
        }
    }

    /// Records the capacity that the endpoint reports, in tokens.
    pub fn report_capacity(&mut self, tokens: u64) {
        if (tokens as f64) < self.reported_capacity as f64 * MIN_CAPACITY_SHARE {
            self.set_cold();
        }
        self.reported_capacity = tokens;
    }

    /// Returns to the state of a cold endpoint, after a change of its incarnation.
    pub fn reset(&mut self) {
        *self = Ramp::new(self.config.clone());
    }

    fn is_silent(&self, now: Time) -> bool {
        let silence = Duration::from_millis(self.config.silence_ms);
        self.silent_since
            .is_some_and(|since| now.since(since) > silence)
    }

    fn healthy_gap(&self) -> Duration {
        Duration::from_millis(self.config.healthy_gap_ms)
    }

    fn grow(&mut self) {
        self.healthy_tokens += 1;
        if self.healthy_tokens < self.config.growth_tokens || self.limit >= self.config.ceiling {
            return;
        }
        self.healthy_tokens = 0;
        self.limit += 1;
    }

    fn set_cold(&mut self) {
        self.limit = self.config.floor;
        self.healthy_tokens = 0;
        self.cold = true;
        self.step_ratios.clear();
    }

    fn halve_limit(&mut self) {
        self.limit = (self.limit / 2).max(self.config.floor);
        self.healthy_tokens = 0;
        self.step_ratios.clear();
    }

    fn record_step(&mut self, step: Duration, running: u32) {
        let micros = step.as_micros() as f64;
        let bin = (running.max(1).ilog2() as usize).min(BATCH_BINS - 1);
        let reference = self.reference(bin);
        let healthy = self.healthy_gap().as_micros() as f64;
        let bound = match reference {
            Some(reference) if !self.cold => reference * self.config.slow_ratio,
            _ => healthy,
        };
        if self.step_ratios.len() == WINDOW_STEPS {
            self.step_ratios.pop_front();
        }
        self.step_ratios.push_back(micros / bound);
        let slow = self
            .step_ratios
            .iter()
            .filter(|&&ratio| ratio > 1.0)
            .count();
        if slow * 4 >= WINDOW_STEPS * 3 {
            if self.cold {
                self.halve_limit();
            } else {
                self.set_cold();
            }
            return;
        }
        if micros <= bound {
            self.update_reference(bin, micros);
        }
        self.check_warm(reference, micros);
    }

    /// Marks a cold endpoint as warm once it has its usual pace again, or has
    /// reached the highest limit at its current pace.
    fn check_warm(&mut self, reference: Option<f64>, micros: f64) {
        if !self.cold || self.step_ratios.len() < WINDOW_STEPS {
            return;
        }
        let has_usual_pace =
            reference.is_some_and(|reference| micros <= reference * WARM_STEP_RATIO);
        let has_warm_limit = self.limit >= self.config.floor * WARM_LIMIT_RATIO;
        let is_at_ceiling = self.limit >= self.config.ceiling;
        if is_at_ceiling {
            // The endpoint sustains the highest limit, so its current pace becomes the
            // reference.
            self.references = [None; BATCH_BINS];
        }
        if is_at_ceiling || (has_usual_pace && has_warm_limit) {
            self.cold = false;
            self.step_ratios.clear();
        }
    }

    /// Returns the reference duration of a bin, or of the nearest bin above it, or
    /// below it if there is none above, in microseconds.
    fn reference(&self, bin: usize) -> Option<f64> {
        let above = self.references[bin..].iter().flatten().next();
        let below = self.references[..bin].iter().rev().flatten().next();
        above.or(below).copied()
    }

    fn update_reference(&mut self, bin: usize, micros: f64) {
        let reference = self.references[bin].get_or_insert(micros);
        let change = micros - *reference;
        if self.cold && change > 0.0 {
            // A cold endpoint must return to its warm pace, so its slow steps don't
            // raise the reference.
            return;
        }
        *reference += if change < 0.0 {
            change / REFERENCE_FALL_DIVISOR
        } else {
            change / REFERENCE_RISE_DIVISOR
        };
    }
}
