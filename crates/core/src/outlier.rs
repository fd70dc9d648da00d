//! Outlier ejection: gradually excludes failing or slow endpoints from selection.
//!
//! An entry evaluates an endpoint only by its own requests to it. Successes and
//! failures are counted with exponential decay. Latency is compared with the median
//! of the other endpoints of the same route, because a load that slows all of them
//! is not the fault of one.
//!
//! * At most one endpoint is ejected per [`Config::spacing_ms`], and never more than
//!   [`Config::max_share`] of the route's endpoints at once.
//! * If more than [`Config::suspect_share`] of them look bad, the evidence is suspect
//!   (a bad request, a bad version or a fault of the entry itself) and no further
//!   endpoint is ejected.
//! * When its ejection time has passed, an endpoint is probed with one request at a
//!   time, and [`Config::probes`] successes in a row restore it. Each failed or slow
//!   probe doubles the time until the next one, up to 64 times the first.
//!
//! # Examples
//!
//! ```
//! use cactusroad_core::{Time, outlier::{Action, Config, Detector, Outcome}};
//!
//! let now = Time::from_millis(1_000);
//! let mut detector = Detector::new(Config::default());
//! for name in ["agent-1", "agent-2", "agent-3"] {
//!     detector.record_sent(name, now);
//!     detector.record_end(name, Outcome::Success { latency_ms: 10 }, now);
//! }
//! let actions = (0..20).filter_map(|_| detector.record_end("agent-2", Outcome::Failure, now));
//! assert!(matches!(actions.collect::<Vec<_>>()[..], [Action::Eject { .. }]));
//! ```

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Serialize};

use crate::Time;

/// Weight of a new sample in the moving average of the latency.
const LATENCY_GAIN: f64 = 0.2;

/// Maximum times that the ejection time doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Parameters of outlier ejection.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Maximum share of a route's endpoints ejected at once; 0.34 by default, which
    /// allows one of three.
    pub max_share: f64,
    /// Share of bad endpoints above which no further one is ejected; 0.5 by default.
    pub suspect_share: f64,
    /// Minimum requests, after decay, before an endpoint can count as bad; 5 by default.
    pub min_requests: f64,
    /// Share of failures from which an endpoint counts as bad; 0.5 by default.
    pub failure_share: f64,
    /// Latency above which an endpoint counts as bad, as a multiple of the median; 4 by
    /// default.
    pub slow_factor: f64,
    /// Time constant of the decay of successes and failures, in milliseconds; 10,000 by
    /// default.
    pub memory_ms: u64,
    /// Minimum milliseconds between two ejections; 500 by default.
    pub spacing_ms: u64,
    /// Milliseconds of an endpoint's first ejection; 2,000 by default.
    pub base_ms: u64,
    /// Milliseconds after which an unanswered probe counts as lost; 10,000 by default.
    pub probe_ms: u64,
    /// Successful probes in a row that restore an endpoint; 3 by default.
    pub probes: u32,
}

impl Default for Config {
    fn default() -> Config {
        Config {
            max_share: 0.34,
            suspect_share: 0.5,
            min_requests: 5.0,
            failure_share: 0.5,
            slow_factor: 4.0,
            memory_ms: 10_000,
            spacing_ms: 500,
            base_ms: 2_000,
            probe_ms: 10_000,
            probes: 3,
        }
    }
}

/// How a request to an endpoint ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It was served; for a generation, the latency is the time to the first token.
    Success {
        /// Milliseconds from sending the request to the first part of the response.
        latency_ms: u64,
    },
    /// It failed through a fault of the endpoint.
    Failure,
    /// It ended in a way that says nothing about the endpoint's health, such as a refusal
    /// because it is full or a caller that disconnected.
    Neutral,
}

/// An action that the caller must take at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Do not choose the endpoint before the deadline.
    Eject {
        /// When it may be chosen again.
        until: Time,
    },
    /// End the endpoint's ejection.
    Restore,
}

/// Detects the outliers among the endpoints of one route.
#[derive(Clone, Debug)]
pub struct Detector {
    config: Config,
    /// Sorted by name.
    records: Vec<Record>,
    /// Earliest time of the next ejection of an active endpoint.
    next_ejection: Time,
}

#[derive(Clone, Debug)]
struct Record {
    name: Arc<str>,
    /// Successful requests, decayed until `updated_at`.
    successes: f64,
    /// Failed requests, decayed until `updated_at`.
    failures: f64,
    updated_at: Time,
    /// Moving average of the latency; zero until a success after the start or a restoration.
    latency_ms: f64,
    state: State,
    /// Ejections since the backoff was last reset.
    ejections: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Active,
    /// Ejected; the first request sent is a probe and is due from the deadline on.
    Ejected {
        until: Time,
    },
    /// Ejected, with this many successful probes in a row; a probe may be in flight
    /// until the deadline.
    Probing {
        successes: u32,
        until: Time,
    },
}

impl Detector {
    /// Creates a detector without endpoints.
    pub fn new(config: Config) -> Detector {
        Detector {
            config,
            records: Vec::new(),
            next_ejection: Time::ZERO,
        }
    }

    /// Removes the endpoints for whose names `keep` returns `false`.
    pub fn retain(&mut self, mut keep: impl FnMut(&str) -> bool) {
        self.records.retain(|record| keep(&record.name));
    }

    /// Records that a request was sent; a request to an ejected endpoint is its probe.
    pub fn record_sent(&mut self, name: &str, now: Time) -> Option<Action> {
        let probe_deadline = now + Duration::from_millis(self.config.probe_ms);
        let index = self.find_or_add(name, now);
        let record = &mut self.records[index];
        let successes = match record.state {
            State::Active => return None,
            State::Ejected { .. } => 0,
            State::Probing { successes, .. } => successes,
        };
        record.state = State::Probing {
            successes,
            until: probe_deadline,
        };
        Some(Action::Eject {
            until: probe_deadline,
        })
    }

    /// Records how a request ended.
    pub fn record_end(&mut self, name: &str, outcome: Outcome, now: Time) -> Option<Action> {
        let index = self.find_or_add(name, now);
        self.records[index].count_outcome(outcome, self.config.memory_ms, now);
        match (self.records[index].state, outcome) {
            (State::Active, Outcome::Neutral) | (State::Ejected { .. }, _) => None,
            (State::Active, _) => self.eject_if_outlier(index, now),
            (State::Probing { successes, .. }, Outcome::Neutral) => {
                self.records[index].state = State::Probing {
                    successes,
                    until: now,
                };
                Some(Action::Eject { until: now })
            }
            (State::Probing { .. }, Outcome::Failure) => Some(self.eject(index, now)),
            (State::Probing { successes, .. }, Outcome::Success { latency_ms }) => {
                Some(self.probe_succeeded(index, successes, latency_ms, now))
            }
        }
    }

    /// Returns the number of ejected endpoints, including those being probed.
    pub fn ejected(&self) -> usize {
        let ejected = self
            .records
            .iter()
            .filter(|record| record.state != State::Active);
        ejected.count()
    }

    fn find_or_add(&mut self, name: &str, now: Time) -> usize {
        let found = self
            .records
            .binary_search_by(|record| (*record.name).cmp(name));
        found.unwrap_or_else(|index| {
            self.records.insert(index, Record::new(name, now));
            index
        })
    }

    /// Ejects an endpoint if it is bad and the limits on ejections permit it.
    fn eject_if_outlier(&mut self, index: usize, now: Time) -> Option<Action> {
        if !self.next_ejection.is_past(now) {
            return None;
        }
        let median = self.median_without(index);
        if !self.is_bad(&self.records[index], median, now) {
            return None;
        }
        let known = self.records.len() as f64;
        if (self.ejected() + 1) as f64 > self.config.max_share * known {
            return None;
        }
        let bad = self
            .records
            .iter()
            .filter(|record| record.state != State::Active || self.is_bad(record, median, now));
        if bad.count() as f64 > self.config.suspect_share * known {
            return None;
        }
        Some(self.eject(index, now))
    }

    fn is_bad(&self, record: &Record, median: Option<f64>, now: Time) -> bool {
        let (successes, failures) = record.decayed(self.config.memory_ms, now);
        let requests = successes + failures;
        if requests < self.config.min_requests {
            return false;
        }
        let is_failing = failures >= self.config.failure_share * requests;
        let is_slow = median
            .is_some_and(|median| record.latency_ms > self.config.slow_factor * median.max(1.0));
        is_failing || is_slow
    }

    /// Returns the median latency of the other endpoints that are not ejected.
    fn median_without(&self, index: usize) -> Option<f64> {
        let others = self.records.iter().enumerate();
        let mut latencies: Vec<f64> = others
            .filter(|(other, record)| *other != index && record.state == State::Active)
            .map(|(_, record)| record.latency_ms)
            .filter(|&latency| latency > 0.0)
            .collect();
        latencies.sort_by(f64::total_cmp);
        latencies.get(latencies.len() / 2).copied()
    }

    fn eject(&mut self, index: usize, now: Time) -> Action {
        let record = &mut self.records[index];
        let doublings = record.ejections.min(MAX_DOUBLINGS);
        let ejection_ms = self.config.base_ms << doublings;
        let until = now + Duration::from_millis(ejection_ms);
        record.ejections += 1;
        record.state = State::Ejected { until };
        self.next_ejection = now + Duration::from_millis(self.config.spacing_ms);
        Action::Eject { until }
    }

    /// Handles a successful probe: restores the endpoint after enough of them in a row,
    /// or ejects it again if the probe was slow.
    fn probe_succeeded(
        &mut self,
        index: usize,
        successes: u32,
        latency_ms: u64,
        now: Time,
    ) -> Action {
        let is_slow = self
            .median_without(index)
            .is_some_and(|median| latency_ms as f64 > self.config.slow_factor * median.max(1.0));
        if is_slow {
            return self.eject(index, now);
        }
        let successes = successes + 1;
        let record = &mut self.records[index];
        if successes < self.config.probes {
            let until = now;
            record.state = State::Probing { successes, until };
            return Action::Eject { until };
        }
        record.restore(now);
        Action::Restore
    }
}

impl Record {
    fn new(name: &str, now: Time) -> Record {
        Record {
            name: name.into(),
            successes: 0.0,
            failures: 0.0,
            updated_at: now,
            latency_ms: 0.0,
            state: State::Active,
            ejections: 0,
        }
    }

    /// Returns the successes and failures, decayed until `now`.
    fn decayed(&self, memory_ms: u64, now: Time) -> (f64, f64) {
        let elapsed = now.since(self.updated_at).as_millis() as f64;
        let decay = (-elapsed / memory_ms.max(1) as f64).exp();
        (self.successes * decay, self.failures * decay)
    }

    fn count_outcome(&mut self, outcome: Outcome, memory_ms: u64, now: Time) {
        (self.successes, self.failures) = self.decayed(memory_ms, now);
        self.updated_at = self.updated_at.max(now);
        match outcome {
            Outcome::Failure => self.failures += 1.0,
            Outcome::Neutral => {}
            Outcome::Success { latency_ms } => {
                let latency = latency_ms as f64;
                let gain = if self.latency_ms > 0.0 {
                    LATENCY_GAIN
                } else {
                    1.0
                };
                self.latency_ms += gain * (latency - self.latency_ms);
                self.successes += 1.0;
                // Resets the backoff once past failures have decayed to almost none.
                if self.state == State::Active && self.failures < 0.1 {
                    self.ejections = 0;
                }
            }
        }
    }

    fn restore(&mut self, now: Time) {
        self.state = State::Active;
        self.successes = 0.0;
        self.failures = 0.0;
        self.latency_ms = 0.0;
        self.updated_at = now;
    }
}
