//! Records the requests of a run and computes its figures.

use std::time::Duration;

use cactusroad_core::{Time, id::Attempt};
use hdrhistogram::Histogram;

use super::workload::{Arrival, WORKSPACE_COUNT};

/// Target for the time to first token.
pub(crate) const FIRST_TOKEN_TARGET: Duration = Duration::from_millis(1_400);
/// Target for the time between tokens; any excess counts as a stall.
pub(crate) const BETWEEN_TOKENS_TARGET: Duration = Duration::from_millis(71);

/// The recorded times and tokens of one request.
#[derive(Clone, Debug)]
struct RequestRecord {
    attempt: Attempt,
    arrived_at: Time,
    first_token_at: Option<Time>,
    last_token_at: Time,
    tokens: u64,
    /// Tokens within the measured window.
    window_tokens: u64,
    workspace: usize,
    refused: bool,
}

/// Records a run within a window that excludes the warm-up.
pub(crate) struct Recorder {
    window_start: Time,
    window_end: Time,
    /// Sorted by attempt.
    requests: Vec<RequestRecord>,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    preemptions: u64,
    starts: u64,
    stall_time: Duration,
    over_limit: u64,
    over_engine_limit: u64,
    /// Sum of the windows of all merged runs.
    total_window: Duration,
}

/// The figures of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) preemptions_per_1000: f64,
    pub(crate) stall_s_per_1000_tokens: f64,
    /// The 50th, 95th and 99th percentile, in milliseconds.
    pub(crate) first_token_ms: [f64; 3],
    /// The 50th, 95th and 99th percentile, in milliseconds.
    pub(crate) between_tokens_ms: [f64; 3],
    /// Tokens per second of the generations that met both targets.
    pub(crate) goodput: f64,
    /// Share of the requests that were refused or abandoned.
    pub(crate) refused: f64,
    /// Jain's index of the served share of requests of each workspace.
    pub(crate) workspace_fairness: f64,
    /// Starts beyond the limit of the policy.
    pub(crate) over_limit: u64,
    /// Starts beyond the number of generations that the engine could serve at that time.
    pub(crate) over_engine_limit: u64,
}

impl Recorder {
    pub(crate) fn new(window_start: Time, window_end: Time) -> Recorder {
        Recorder {
            window_start,
            window_end,
            requests: Vec::new(),
            first_token: histogram(),
            between_tokens: histogram(),
            preemptions: 0,
            starts: 0,
            stall_time: Duration::ZERO,
            over_limit: 0,
            over_engine_limit: 0,
            total_window: Duration::ZERO,
        }
    }

    /// Returns the end of the measured window.
    pub(crate) const fn end(&self) -> Time {
        self.window_end
    }

    fn in_window(&self, at: Time) -> bool {
        self.window_start <= at && at <= self.window_end
    }

    fn request_mut(&mut self, attempt: Attempt) -> Option<&mut RequestRecord> {
        let at = self
            .requests
            .binary_search_by_key(&attempt, |request| request.attempt)
            .ok()?;
        Some(&mut self.requests[at])
    }

    pub(crate) fn arrived(&mut self, arrival: &Arrival) {
        let request = RequestRecord {
            attempt: arrival.attempt,
            arrived_at: arrival.at,
            first_token_at: None,
            last_token_at: Time::ZERO,
            tokens: 0,
            window_tokens: 0,
            workspace: arrival.workspace,
            refused: false,
        };
        let at = self
            .requests
            .partition_point(|other| other.attempt < arrival.attempt);
        self.requests.insert(at, request);
    }

    pub(crate) fn refused(&mut self, attempt: Attempt, _retry_at: Option<Time>) {
        if let Some(request) = self.request_mut(attempt) {
            request.refused = true;
        }
    }

    pub(crate) fn abandoned(&mut self, attempt: Attempt) {
        self.refused(attempt, None);
    }

    pub(crate) fn started(&mut self, at: Time, over_limit: bool, over_engine_limit: bool) {
        self.over_limit += u64::from(over_limit);
        self.over_engine_limit += u64::from(over_engine_limit);
        self.starts += u64::from(self.in_window(at));
    }

    pub(crate) fn preempted(&mut self, at: Time) {
        self.preemptions += u64::from(self.in_window(at));
    }

    pub(crate) fn token(&mut self, at: Time, attempt: Attempt) {
        let is_in_window = self.in_window(at);
        let Some(request) = self.request_mut(attempt) else {
            return;
        };
        request.tokens += 1;
        request.window_tokens += u64::from(is_in_window);
        let last = std::mem::replace(&mut request.last_token_at, at);
        if request.first_token_at.is_none() {
            request.first_token_at = Some(at);
            let waited = at.since(request.arrived_at);
            if is_in_window {
                record(&mut self.first_token, waited);
            }
        } else if is_in_window {
            let gap = at.since(last);
            record(&mut self.between_tokens, gap);
            self.stall_time += gap.saturating_sub(BETWEEN_TOKENS_TARGET);
        }
    }

    /// Adds another run with the same window.
    pub(crate) fn merge(&mut self, other: Recorder) {
        self.requests.extend(other.requests);
        self.first_token += &other.first_token;
        self.between_tokens += &other.between_tokens;
        self.preemptions += other.preemptions;
        self.starts += other.starts;
        self.stall_time += other.stall_time;
        self.over_limit += other.over_limit;
        self.over_engine_limit += other.over_engine_limit;
        self.total_window += other.window_end.since(other.window_start);
    }

    pub(crate) fn figures(&self) -> Figures {
        let tokens: u64 = self
            .requests
            .iter()
            .map(|request| request.window_tokens)
            .sum();
        let good_tokens: u64 = self
            .requests
            .iter()
            .filter(|request| request.met_targets())
            .map(|request| request.window_tokens)
            .sum();
        let arrived_in_window = || {
            self.requests
                .iter()
                .filter(|request| self.in_window(request.arrived_at))
        };
        let refused = arrived_in_window()
            .filter(|request| request.refused)
            .count();
        Figures {
            preemptions_per_1000: 1_000.0 * self.preemptions as f64 / self.starts.max(1) as f64,
            stall_s_per_1000_tokens: 1_000.0 * self.stall_time.as_secs_f64() / tokens.max(1) as f64,
            first_token_ms: percentiles(&self.first_token),
            between_tokens_ms: percentiles(&self.between_tokens),
            goodput: good_tokens as f64 / self.total_window.as_secs_f64(),
            refused: refused as f64 / arrived_in_window().count().max(1) as f64,
            workspace_fairness: self.workspace_fairness(),
            over_limit: self.over_limit,
            over_engine_limit: self.over_engine_limit,
        }
    }

    fn workspace_fairness(&self) -> f64 {
        let mut sent = [0.0; WORKSPACE_COUNT];
        let mut served = [0.0; WORKSPACE_COUNT];
        for request in self
            .requests
            .iter()
            .filter(|request| self.in_window(request.arrived_at))
        {
            sent[request.workspace] += 1.0;
            served[request.workspace] += f64::from(u8::from(!request.refused));
        }
        let shares: Vec<f64> = (0..WORKSPACE_COUNT)
            .filter(|&at| sent[at] > 0.0)
            .map(|at| served[at] / sent[at])
            .collect();
        jain_index(&shares)
    }
}

impl RequestRecord {
    /// Returns whether the request was served within both latency targets.
    fn met_targets(&self) -> bool {
        let Some(first_token_at) = self.first_token_at else {
            return false;
        };
        let gaps = self.tokens.saturating_sub(1).max(1) as u32;
        !self.refused
            && first_token_at.since(self.arrived_at) <= FIRST_TOKEN_TARGET
            && self.last_token_at.since(first_token_at) / gaps <= BETWEEN_TOKENS_TARGET
    }
}

/// Returns Jain's fairness index: 1 if all shares are equal, 1/n if only one of n is
/// not zero.
pub(crate) fn jain_index(shares: &[f64]) -> f64 {
    let sum: f64 = shares.iter().sum();
    let squares: f64 = shares.iter().map(|share| share * share).sum();
    if squares == 0.0 {
        return 1.0;
    }
    sum * sum / (shares.len() as f64 * squares)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 3_600_000_000, 3).expect("the bounds are valid")
}

fn record(histogram: &mut Histogram<u64>, span: Duration) {
    histogram.saturating_record(span.as_micros() as u64);
}

fn percentiles(histogram: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|share| histogram.value_at_quantile(share) as f64 / 1_000.0)
}
