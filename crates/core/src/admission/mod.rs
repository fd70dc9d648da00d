//! Admission control of one endpoint.
//!
//! The agent beside an endpoint is the only process that sends it requests, so
//! it alone can bound the load of the endpoint. For each request, [`Admission`]
//! decides whether the engine starts it now, whether it waits in the agent's
//! queue, or whether it is refused with the time at which a retry is expected to
//! succeed. A *run* is one generation at the engine.
//!
//! # Memory
//!
//! The KV cache of a run grows until the run ends, and the length is not known in
//! advance. Reserving the maximum length wastes nearly all memory, and reserving
//! the mean overruns it. An engine that overruns preempts: it drops the KV cache
//! of a run and computes it again later, which stalls the stream. [`Admission`]
//! projects the memory of all runs to a series of horizons. At each horizon it
//! knows the mean and the variance of the sum, from the survival curves of the
//! routes ([`crate::survival`]) and the number of tokens that each run has
//! emitted. A request is admitted if, at every horizon, the mean plus the number
//! of standard deviations that follows from [`Config::overrun`] stays below the
//! capacity.
//!
//! The sums are updated run by run, so a decision costs one pass over the
//! horizons, whatever the number of workspaces, replicas or routes.
//!
//! # Prefill
//!
//! While an engine computes a prompt, its decodes stall. Prompts are therefore started
//! only up to [`Config::prefill_tokens_max`] tokens in prefill at a time, or a larger
//! one alone, and paced so that they take at most [`Config::prefill_share`] of the
//! engine's time. The time per prompt token is estimated from the times to first
//! token.
//!
//! # Capacity
//!
//! Capacity comes from the engine's load reports. The reports lag, whereas the agent
//! knows exactly which runs it has started. A report is therefore used only for what
//! the agent cannot know: the capacity, the incarnation, memory in use beyond that of
//! its own runs, and the number of preemptions. After each report of new preemptions
//! the usable capacity is multiplied by [`Config::backoff`]; it recovers as runs
//! complete. A preempted run stays in the projection, so no new run takes the memory
//! that it needs to resume.
//!
//! # Cold start
//!
//! [`crate::ramp`] bounds the number of concurrent runs. All entries go through
//! the one agent, so together they cannot exceed the bound.
//!
//! # Usage
//!
//! The caller asks [`Admission::offer`]. If the answer is [`Decision::Admit`], it
//! sends the request to the engine and calls [`Admission::started`] under the
//! same lock. It then reports each token with [`Admission::token`], the end with
//! [`Admission::finished`], and each load report with [`Admission::report`].
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
    survival::{self, Curve, Curves},
};

mod capacity;
mod prefill;
mod prefix;
mod projection;
mod run;

pub use capacity::Report;
pub use projection::HORIZON_TOKENS;

use capacity::Capacity;
use prefill::Pacer;
use prefix::Prefixes;
use projection::{Demand, Projection};
use run::{Run, Runs};

/// The parameters of an [`Admission`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The capacity that is assumed before the first load report, in tokens of
    /// KV cache; 16,384 by default.
    pub capacity_tokens: u64,
    /// The accepted probability that the current runs overrun the memory at a
    /// horizon, from 0.0001 to 0.5; 0.001 by default.
    pub overrun: f64,
    /// The farthest horizon of the projection, in tokens; 1,024 by default.
    pub horizon_tokens: u32,
    /// The share of the engine's time that prefills may take while other runs
    /// decode; 0.6 by default.
    pub prefill_share: f64,
    /// The maximum of prompt tokens in prefill at a time; a larger prompt is
    /// started alone; 512 by default.
    pub prefill_tokens_max: u32,
    /// The prompt tokens that an engine computes per second, until the speed has
    /// been measured; 10,000 by default.
    pub prefill_speed: f64,
    /// The factor on the usable capacity after a report of new preemptions; 0.97 by
    /// default.
    pub backoff: f64,
    /// The maximum number of survival curves, one per route and version; 64 by
    /// default.
    pub curves: usize,
    /// The parameters of the limit during a cold start.
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
    /// Returns the parameters for an objective of the site.
    ///
    /// [`Objective::Streaming`] keeps stalls rare. [`Objective::Moves`] admits
    /// more load per endpoint, at the cost of more preemptions and longer steps,
    /// so that the other data centres can take over the load of one that leaves.
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

/// A prompt prefix that several requests share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The hash of the prefix.
    pub hash: u64,
    /// The length of the prefix, in tokens.
    pub tokens: u32,
}

/// A request to start a run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The attempt that identifies the run.
    pub attempt: Attempt,
    /// The route of the request.
    pub route: Arc<str>,
    /// The version that serves the request.
    pub version: Arc<str>,
    /// The length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// The prompt tokens that the engine's prefix cache is known to hold.
    pub cached_tokens: u32,
    /// The prefix that the prompt shares with other prompts.
    pub prefix: Option<Prefix>,
    /// The maximum number of tokens to generate.
    pub max_tokens: u32,
    /// The deadline for the start of the run.
    pub start_by: Time,
}

/// The decision on a [`Request`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The engine has room: start the run now.
    Admit,
    /// Offer the request again at this time, or earlier when a run ends.
    Wait {
        /// The time at which the engine is expected to have room.
        until: Time,
    },
    /// The engine will not have room by the deadline. The request was not started.
    Refuse {
        /// The time at which the engine is expected to have room, or `None` if the
        /// prompt is larger than the endpoint's memory.
        retry_at: Option<Time>,
    },
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The generation ran to its end, so its length is known.
    Complete,
    /// The run was cancelled or lost, so the length of the generation is unknown.
    Incomplete,
}

/// The shortest wait that is returned to a request for which there is no room.
const MIN_WAIT: Duration = Duration::from_millis(5);
/// The divisor of the moving average of run durations: a new duration has the
/// weight of one in this many.
const RUN_TIME_DIVISOR: f64 = 32.0;
/// The divisor of the moving average of the time between tokens.
const GAP_DIVISOR: f64 = 256.0;

/// The admission control of one endpoint; see the [module](self).
#[derive(Clone, Debug)]
pub struct Admission {
    /// The number of standard deviations that are kept free above the mean.
    deviations: f64,
    runs: Runs,
    projection: Projection,
    prefixes: Prefixes,
    pacer: Pacer,
    capacity: Capacity,
    ramp: Ramp,
    curves: Curves,
    /// The curve for a route and version without observations.
    prior: Curve,
    /// The average time between two tokens of a run, in microseconds; 30,000 is assumed
    /// until it has been measured.
    mean_gap_micros: f64,
    /// The average duration of a run, in microseconds, or `None` before the first
    /// run has ended.
    mean_run_micros: Option<f64>,
}

impl Admission {
    /// Returns the admission control of an endpoint without runs.
    pub fn new(config: Config) -> Admission {
        Admission {
            deviations: projection::normal_upper_quantile(config.overrun),
            runs: Runs::default(),
            projection: Projection::new(config.horizon_tokens),
            prefixes: Prefixes::default(),
            pacer: Pacer::new(
                config.prefill_share,
                config.prefill_speed,
                config.prefill_tokens_max,
            ),
            capacity: Capacity::new(config.capacity_tokens, config.backoff),
            ramp: Ramp::new(config.ramp),
            curves: Curves::new(survival::Config::default(), config.curves),
            prior: Curve::new(survival::Config::default()),
            mean_gap_micros: 30_000.0,
            mean_run_micros: None,
        }
    }

    /// Decides on a request that has `ahead` other requests before it in the queue.
    ///
    /// This reserves nothing: a caller that sends the request to the engine must
    /// call [`started`](Admission::started) before it offers the next one.
    pub fn offer(&self, now: Time, request: &Request, ahead: u32) -> Decision {
        let tokens = self.prompt_memory(request);
        if u64::from(tokens) + HORIZON_TOKENS[0] as u64 > self.capacity.largest() {
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

    /// Records that the request was sent to the engine.
    pub fn started(&mut self, now: Time, request: &Request) {
        let demand = self.demand(request);
        let uncached = request.prompt_tokens.saturating_sub(request.cached_tokens);
        let run = Run {
            attempt: request.attempt,
            route: Arc::clone(&request.route),
            version: Arc::clone(&request.version),
            prompt_tokens: self.prompt_memory(request),
            uncached_tokens: uncached.max(1),
            prefix: request.prefix.map(|prefix| prefix.hash),
            max_tokens: request.max_tokens,
            emitted: 0,
            observed: 0,
            started_at: now,
            last_token_at: now,
            demand,
        };
        let attempt = run.attempt;
        let tokens = run.uncached_tokens;
        if !self.runs.insert(run) {
            debug_assert!(false, "attempt {attempt} was started twice");
            return;
        }
        if let Some(prefix) = request.prefix {
            self.prefixes.add(prefix);
        }
        self.projection.add(&demand);
        self.pacer.started(now, tokens);
        self.ramp.started(now);
        self.capacity.record_held(now, self.held());
    }

    /// Records that a run has emitted a token. An unknown attempt is ignored.
    pub fn token(&mut self, now: Time, attempt: Attempt) {
        let count = self.runs.len() as u32;
        let Some(run) = self.runs.get_mut(attempt) else {
            return;
        };
        let gap = (run.emitted > 0).then(|| now.since(run.last_token_at));
        if gap.is_none() {
            let time_to_first_token = now.since(run.last_token_at);
            let tokens = run.uncached_tokens;
            let step = Duration::from_micros(self.mean_gap_micros as u64);
            self.pacer
                .first_token(tokens, time_to_first_token.saturating_sub(step / 2));
        }
        run.emitted += 1;
        run.last_token_at = now;
        self.projection.add_token(&mut run.demand);
        let unobserved = run.emitted - run.observed;
        if unobserved >= run::REFRESH_TOKENS.max(run.emitted / run::REFRESH_DIVISOR) {
            let curve = self.curves.entry(&run.route, &run.version);
            curve.observe(run.observed, run.emitted, false);
            run.observed = run.emitted;
            let fresh = Demand::new(curve, run.prompt_tokens, run.emitted, run.max_tokens);
            self.projection.replace(&mut run.demand, fresh);
        }
        if let Some(gap) = gap {
            self.mean_gap_micros += (gap.as_micros() as f64 - self.mean_gap_micros) / GAP_DIVISOR;
        }
        self.ramp.token(now, gap, count);
    }

    /// Records that a run has ended. An unknown attempt is ignored.
    pub fn finished(&mut self, now: Time, attempt: Attempt, ending: Ending) {
        let Some(run) = self.runs.remove(attempt) else {
            return;
        };
        self.capacity.record_held(now, self.held_with(&run));
        self.projection.remove(&run.demand);
        if let Some(hash) = run.prefix {
            self.prefixes.remove(hash);
        }
        if run.emitted == 0 {
            self.pacer.end_prefill(run.uncached_tokens);
        }
        let complete = ending == Ending::Complete;
        let curve = self.curves.entry(&run.route, &run.version);
        curve.observe(run.observed, run.emitted, complete);
        if complete {
            self.capacity.recover();
        }
        self.ramp.finished(now, self.runs.len() as u32);
        let run_time = now.since(run.started_at).as_micros() as f64;
        let average = self.mean_run_micros.get_or_insert(run_time);
        *average += (run_time - *average) / RUN_TIME_DIVISOR;
    }

    /// Applies a load report of the engine.
    pub fn report(&mut self, now: Time, report: &Report) {
        if self.capacity.is_new_incarnation(report) {
            self.ramp.reset();
        }
        self.ramp.report_capacity(report.capacity_tokens);
        let held = self.held();
        self.capacity.report(now, report, held);
    }

    /// Removes the survival curves of the routes and versions for which `keep`
    /// returns `false`.
    pub fn retain_versions(&mut self, keep: impl FnMut(&str, &str) -> bool) {
        self.curves.retain(keep);
    }

    /// Returns the number of runs at the engine.
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// Returns the maximum number of concurrent runs at `now`.
    pub fn limit(&self, now: Time) -> u32 {
        self.ramp.limit(now)
    }

    /// Returns whether the endpoint is considered cold.
    pub const fn is_cold(&self) -> bool {
        self.ramp.is_cold()
    }

    /// Returns the KV cache memory of all runs, in tokens.
    pub fn held(&self) -> u64 {
        self.projection.held() + self.prefixes.tokens()
    }

    /// Returns the memory that runs may use in total, in tokens.
    pub fn usable(&self) -> u64 {
        self.capacity.usable()
    }

    /// Returns the share of the usable memory that is free at the horizon with the
    /// highest projected use, from 0 to 1.
    pub fn headroom(&self) -> f64 {
        let usable = self.usable() as f64;
        if usable <= 0.0 {
            return 0.0;
        }
        let peak = self.projection.peak(self.deviations) + self.prefixes.tokens() as f64;
        (1.0 - peak / usable).clamp(0.0, 1.0)
    }

    /// Returns the time at which the engine is expected to have room for a request
    /// that has `ahead` others before it, or `now` if it has room already.
    pub fn room_at(&self, now: Time, request: &Request, ahead: u32) -> Time {
        let running = self.runs.len() as u32;
        let idle = self.runs.is_empty() && self.capacity.foreign() == 0;
        let mut room = now;
        if running >= self.ramp.limit(now) {
            let excess = running - self.ramp.limit(now) + 1;
            room = room.max(self.after_endings(now, excess));
        }
        if !idle {
            room = room.max(self.pacer.room_at(now, request, self.runs.is_decoding()));
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

    /// Returns the time at which `count` runs are expected to have ended, by
    /// Little's law.
    ///
    /// Before the first run has ended there is no estimate. The result is then the
    /// shortest wait, so that no request is refused on a guess.
    fn after_endings(&self, now: Time, count: u32) -> Time {
        let Some(run_time) = self.mean_run_micros else {
            return now + MIN_WAIT;
        };
        let interval = run_time / self.runs.len().max(1) as f64;
        let wait = Duration::from_micros((interval * f64::from(count)) as u64);
        // At least `MIN_WAIT`, because the caller takes `now` for "there is room".
        now + wait.max(MIN_WAIT)
    }

    /// Returns the time from which the projected memory has room for the request.
    ///
    /// Each run is assumed to free an equal part of the peak when it ends.
    fn memory_at(&self, now: Time, request: &Request) -> Time {
        let demand = self.demand(request);
        let usable = self.usable() as f64 - self.prefixes.tokens_with(request.prefix) as f64;
        let shortfall = self.projection.shortfall(&demand, usable, self.deviations);
        if shortfall <= 0.0 {
            return now;
        }
        let memory_per_run = self.projection.peak(self.deviations) / self.runs.len().max(1) as f64;
        let endings = (shortfall / memory_per_run.max(1.0)).ceil();
        self.after_endings(now, endings as u32)
    }

    /// Returns the memory of the prompt without its shared prefix, in tokens.
    fn prompt_memory(&self, request: &Request) -> u32 {
        let shared = request.prefix.map_or(0, |prefix| prefix.tokens);
        request.prompt_tokens.saturating_sub(shared)
    }

    fn demand(&self, request: &Request) -> Demand {
        let curve = self.curves.get(&request.route, &request.version);
        Demand::new(
            curve.unwrap_or(&self.prior),
            self.prompt_memory(request),
            0,
            request.max_tokens,
        )
    }

    /// Returns the memory of all runs plus that of `run`, in tokens.
    fn held_with(&self, run: &Run) -> u64 {
        self.held() + u64::from(run.demand.held())
    }
}
