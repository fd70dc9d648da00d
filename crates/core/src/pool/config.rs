//! Parameters of a [`Pool`](super::Pool).

use serde::{Deserialize, Serialize};

/// Parameters of endpoint selection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// The cost of one running request in an engine's score, in prompt tokens; 600 by
    /// default. A running request lengthens each decode step by about 2%, and holds
    /// memory that a later run would need.
    pub running_tokens: f64,
    /// The share of an engine's memory above which its score counts an overflow; 0.92
    /// by default, which leaves room for outputs longer than their length hints.
    pub memory_share: f64,
    /// The share of an engine's memory above which it receives no copies of runs that
    /// continue elsewhere; 0.3 by default. Later runs need the rest: with 0.55, copies
    /// filled the memory and runs were preempted.
    pub copy_share: f64,
    /// The share of an engine's memory above which it takes over no run of a leaving
    /// engine; 0.9 by default. The limit is high because such a run is lost otherwise.
    pub rescue_share: f64,
    /// The difference in memory use, as a share, within which engines are equally good to
    /// take over a run of a leaving engine; 0.5 by default. All gateways see the same
    /// reports, and copies to one engine wait for its link: with 0, up to 14 copies went
    /// to one engine that had just joined.
    pub rescue_spread: f64,
    /// The penalty on a copy to another data centre, as a share of memory; 0.5 by
    /// default. Such a copy occupies the links for twice as long.
    pub far_copy_share: f64,
    /// The size of the random sample of engines that are asked for their load and of
    /// which the best is chosen; 5 by default. The load queries grow with the number of
    /// requests, not of engines or gateways. With 3, first events came later; the
    /// difference between 5 and 8 was within noise.
    pub choices: usize,
    /// The size of that sample for services some of whose engines are slow; 8 by default. A
    /// gateway learns the speed of an engine only when it asks it for its load, and engines
    /// are replaced after some twenty seconds: with 5, a third of the long runs began at slow
    /// engines while fast ones had room.
    pub uneven_choices: usize,
    /// The cost of one token of memory overflow, in prompt tokens; 20 by default, so
    /// that an engine without room is chosen last.
    pub overflow_weight: f64,
    /// The cost of another data centre for engines, in prompt tokens; zero by default,
    /// because sending a stream's events between data centres delays it less than a
    /// queue does.
    pub distance_tokens: f64,
    /// The cost of another data centre for plain services, in milliseconds; 1 by
    /// default, the round trip.
    pub distance_ms: f64,
    /// The cost of a failure for plain services, in milliseconds; 400 by default, about
    /// the queueing delay that is as bad as a failure.
    pub failure_ms: f64,
    /// The relative difference within which two scores count as equal; 0.1 by default.
    pub tie_share: f64,
    /// The half-life of recorded failures, in milliseconds; 3,000 by default.
    pub memory_ms: u64,
    /// The time for which an endpoint is avoided after it was unreachable or refused a
    /// request, in milliseconds; 300 by default, doubled with each further failure.
    pub avoid_ms: u64,
    /// The maximum time for which an endpoint is avoided, in milliseconds; 2,400 by
    /// default, less than the platform's list takes to drop a silent endpoint.
    pub avoid_max_ms: u64,
    /// The assumed age of a report when it arrives, in milliseconds, unless the report
    /// was made on request; 500 by default.
    pub report_lag_ms: u64,
    /// The age above which a report is ignored, in milliseconds; 4,000 by default.
    pub report_life_ms: u64,
    /// The share of an engine's memory up to which it receives requests that may wait; 0.75
    /// by default. The rest is left to urgent requests and to the runs of leaving engines:
    /// with a sixth of the engines leaving at a time, shares above 0.8 left them no room.
    pub deferrable_share: f64,
    /// How much that share grows until a request reaches its target latency; 0.1 by default,
    /// so that the request that has waited longest goes first.
    pub age_share: f64,
    /// The same share for requests that are already late; 0.6 by default, so that they do not
    /// displace those that can be in time.
    pub late_share: f64,
    /// How much the share shrinks without a fresh report; 0.1 by default.
    pub stale_share: f64,
    /// How much the share shrinks for a workspace that recently took more than twice its fair
    /// share while others wait; 0.1 by default.
    pub unfair_share: f64,
    /// How long a request that is already late on arrival may wait, in milliseconds; 8,000 by
    /// default.
    pub late_wait_ms: u64,
    /// The shortest delay after which a request that found no capacity may be sent again, in
    /// milliseconds, before it is spread; 5,000 by default: callers retry once or twice only, and
    /// after 2,000 they returned into the same burst.
    pub retry_min_ms: u64,
    /// The longest such delay, in milliseconds; 12,000 by default.
    pub retry_max_ms: u64,
    /// The time per event above which an engine is slow, as a multiple of the reference of its
    /// service; 1.4 by default. A batch of many runs is slower than one of few by up to a
    /// third at equal engines.
    pub slow_ratio: f64,
    /// The share of a route's target pause above which an event is taken to be late at times;
    /// 0.16 by default: a prefill lengthens a step by a factor of 2.2 and a transient slowdown
    /// by 2.5, and a batch of many runs takes the rest.
    pub pause_share: f64,
    /// The time that an engine takes for one token of a prompt, in microseconds; 100 by
    /// default. It converts the expected loss by pauses to prompt tokens.
    pub prompt_token_us: f64,
    /// The cost of a prefill for each run that it may delay beyond its target pause at a slow
    /// engine, in prompt tokens; 3,000 by default, about a prompt.
    pub exposed_run_tokens: f64,
    /// The penalty on a copy of a long run at a slow engine, as a share of memory; 0.5 by
    /// default, as for a copy to another data centre.
    pub slow_copy_share: f64,
    /// The number of expected events from which a run is long for the choice of a copy; 100 by
    /// default, some seconds.
    pub long_run_events: u64,
    /// How long the last known speed of an engine holds without a new one, in milliseconds;
    /// 30,000 by default.
    pub speed_life_ms: u64,
    /// The number of endpoints up to which a plain service counts as small; 8 by default.
    /// Endpoints of small services are judged by the calls that they leave unanswered.
    pub small_service: usize,
    /// The ratio to the mean latency of a plain service above which a call in flight is late;
    /// 8 by default, well above a transient slowdown by a factor of 2.5.
    pub late_ratio: f64,
    /// The share of late calls, of those since the oldest of them, above which an endpoint
    /// is silent; 0.25 by default.
    pub silent_share: f64,
    /// The trial calls that a silent endpoint must answer in a row; 3 by default, so that an
    /// endpoint that hangs half of its calls returns in one of eight cases.
    pub trials: u32,
    /// The ratio of an endpoint's mean latency to its lowest above which its in-flight limit
    /// is reduced; 2 by default.
    pub slow_answers: f64,
    /// The factor by which an in-flight limit is reduced; 0.7 by default.
    pub limit_factor: f64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            running_tokens: 600.0,
            memory_share: 0.92,
            copy_share: 0.3,
            rescue_share: 0.9,
            rescue_spread: 0.5,
            far_copy_share: 0.5,
            choices: 5,
            uneven_choices: 8,
            overflow_weight: 20.0,
            distance_tokens: 0.0,
            distance_ms: 1.0,
            failure_ms: 400.0,
            tie_share: 0.1,
            memory_ms: 3_000,
            avoid_ms: 300,
            avoid_max_ms: 2_400,
            report_lag_ms: 500,
            report_life_ms: 4_000,
            deferrable_share: 0.75,
            age_share: 0.1,
            late_share: 0.6,
            stale_share: 0.1,
            unfair_share: 0.1,
            late_wait_ms: 8_000,
            retry_min_ms: 5_000,
            retry_max_ms: 12_000,
            slow_ratio: 1.4,
            pause_share: 0.16,
            prompt_token_us: 100.0,
            slow_copy_share: 0.5,
            exposed_run_tokens: 3_000.0,
            long_run_events: 100,
            speed_life_ms: 30_000,
            small_service: 8,
            late_ratio: 8.0,
            silent_share: 0.25,
            trials: 3,
            slow_answers: 2.0,
            limit_factor: 0.7,
        }
    }
}

/// A parameter is out of range.
#[derive(Debug, thiserror::Error)]
#[error("{field} is {value}; it must be {wanted}")]
pub struct Error {
    field: &'static str,
    value: f64,
    wanted: &'static str,
}

impl Config {
    /// Checks the ranges of the shares, of the weights, costs and ratios, of `trials`,
    /// `memory_ms` and `retry_min_ms`.
    ///
    /// # Errors
    ///
    /// Fails with the first of these that is out of range.
    pub fn check(&self) -> Result<(), Error> {
        let shares = [
            ("memory_share", self.memory_share),
            ("copy_share", self.copy_share),
            ("rescue_share", self.rescue_share),
            ("rescue_spread", self.rescue_spread),
            ("far_copy_share", self.far_copy_share),
            ("tie_share", self.tie_share),
            ("deferrable_share", self.deferrable_share),
            ("age_share", self.age_share),
            ("late_share", self.late_share),
            ("stale_share", self.stale_share),
            ("unfair_share", self.unfair_share),
            ("pause_share", self.pause_share),
            ("slow_copy_share", self.slow_copy_share),
            ("silent_share", self.silent_share),
            ("limit_factor", self.limit_factor),
        ];
        for (field, value) in shares {
            if !(0.0..=1.0).contains(&value) {
                return Err(Error {
                    field,
                    value,
                    wanted: "a share from 0 to 1",
                });
            }
        }
        let weights = [
            ("running_tokens", self.running_tokens),
            ("exposed_run_tokens", self.exposed_run_tokens),
            ("overflow_weight", self.overflow_weight),
            ("distance_tokens", self.distance_tokens),
            ("distance_ms", self.distance_ms),
            ("failure_ms", self.failure_ms),
        ];
        for (field, value) in weights {
            if !(value.is_finite() && value >= 0.0) {
                return Err(Error {
                    field,
                    value,
                    wanted: "zero or more",
                });
            }
        }
        let positive = [
            ("prompt_token_us", self.prompt_token_us, 0.0, "above zero"),
            ("slow_ratio", self.slow_ratio, 1.0, "above one"),
        ];
        for (field, value, above, wanted) in positive {
            if !(value.is_finite() && value > above) {
                return Err(Error {
                    field,
                    value,
                    wanted,
                });
            }
        }
        for (field, value) in [
            ("late_ratio", self.late_ratio),
            ("slow_answers", self.slow_answers),
            ("trials", f64::from(self.trials)),
        ] {
            if !(1.0..=1_000.0).contains(&value) {
                return Err(Error {
                    field,
                    value,
                    wanted: "from 1 to 1000",
                });
            }
        }
        if self.memory_ms == 0 {
            return Err(Error {
                field: "memory_ms",
                value: 0.0,
                wanted: "above zero",
            });
        }
        if self.retry_min_ms == 0 || self.retry_min_ms > self.retry_max_ms {
            return Err(Error {
                field: "retry_min_ms",
                value: self.retry_min_ms as f64,
                wanted: "above zero and at most retry_max_ms",
            });
        }
        Ok(())
    }
}
