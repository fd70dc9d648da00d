//! Parameters of a [`Pool`](super::Pool).

use serde::{Deserialize, Serialize};

/// Parameters of choices.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Prompt tokens that one running request counts as in an engine's score; 600
    /// by default. A running request lengthens each step by about 2%, and holds
    /// memory that a later run would need.
    pub running_tokens: f64,
    /// The share of an engine's memory that choices fill at most; 0.92 by
    /// default, which leaves room for lengths beyond their hints.
    pub memory_share: f64,
    /// The share of an engine's memory above which it gets no copies that grow
    /// with their run; 0.3 by default. Runs that come later need the rest: at 0.55
    /// copies filled the memory and runs were preempted.
    pub copy_share: f64,
    /// The share of an engine's memory above which it takes no run of an engine
    /// that leaves; 0.9 by default. Such a run is lost otherwise.
    pub rescue_share: f64,
    /// The share of memory that another data centre counts as for a copy; 0.5 by
    /// default. A copy between data centres takes the links for twice as long.
    pub far_copy_share: f64,
    /// Engines of which the best is chosen, drawn at random and asked for their load
    /// first; 5 by default. The questions grow with requests, not with engines or
    /// gateways. Three gave later first events; eight were within noise of five.
    pub choices: usize,
    /// How many tokens of prompt a token of overflow counts as; 20 by default, so
    /// that an engine without room is the last choice.
    pub overflow_weight: f64,
    /// Prompt tokens that another data centre counts as; zero by default: a stream's
    /// events cost less between data centres than a queue delays it.
    pub distance_tokens: f64,
    /// Milliseconds that another data centre counts as for plain services; 1 by
    /// default, the round trip.
    pub distance_ms: f64,
    /// Milliseconds that a failure counts as for plain services; 400 by default:
    /// about what an endpoint's queue may hold before it is as bad as a failure.
    pub failure_ms: f64,
    /// The share of a score within which two endpoints count as equal; 0.1 by default.
    pub tie_share: f64,
    /// Milliseconds over which failures lose half of their weight; 3,000 by default.
    pub memory_ms: u64,
    /// Milliseconds for which an endpoint is avoided after a connection to it
    /// failed; 300 by default, doubled with each further failure.
    pub avoid_ms: u64,
    /// The most milliseconds for which it is avoided; 2,400 by default, below the
    /// time after which the platform's list drops an endpoint that is silent.
    pub avoid_max_ms: u64,
    /// Milliseconds by which a report is late when it arrives; 500 by default.
    pub report_lag_ms: u64,
    /// Milliseconds after which a report counts for nothing; 4,000 by default.
    pub report_life_ms: u64,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            running_tokens: 600.0,
            memory_share: 0.92,
            copy_share: 0.3,
            rescue_share: 0.9,
            far_copy_share: 0.5,
            choices: 5,
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
        }
    }
}

/// A parameter is out of its range.
#[derive(Debug, thiserror::Error)]
#[error("{field} is {value}; it must be {wanted}")]
pub struct Error {
    field: &'static str,
    value: f64,
    wanted: &'static str,
}

impl Config {
    /// Checks that every parameter is in its range.
    ///
    /// # Errors
    ///
    /// Fails with the first one that is not.
    pub fn check(&self) -> Result<(), Error> {
        let shares = [
            ("memory_share", self.memory_share),
            ("copy_share", self.copy_share),
            ("rescue_share", self.rescue_share),
            ("far_copy_share", self.far_copy_share),
            ("tie_share", self.tie_share),
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
        if self.memory_ms == 0 {
            return Err(Error {
                field: "memory_ms",
                value: 0.0,
                wanted: "above zero",
            });
        }
        Ok(())
    }
}
