//! Records the requests of a run and computes its figures.

use std::time::Duration;

use cactusroad_core::{Time, id::Attempt};
use hdrhistogram::Histogram;

use super::workload::{Arrival, WORKSPACES};

/// Target for the time to first token.
pub(crate) const FIRST_TOKEN: Duration = Duration::from_millis(1_400);
/// Target for the time between tokens; any excess counts as a stall.
pub(crate) const BETWEEN_TOKENS: Duration = Duration::from_millis(71);

/// The recorded times and tokens of one request.
#[derive(Clone, Debug)]
struct Row {
    attempt: Attempt,
    arrived: Time,
    first: Option<Time>,
    last: Time,
    tokens: u64,
    /// Tokens within the measured window.
    counted: u64,
    workspace: usize,
    refused: bool,
}

/// Records a run within a window that excludes the warm-up.
pub(crate) struct Measure {
    from: Time,
    until: Time,
    /// Sorted by attempt.
    rows: Vec<Row>,
    first: Histogram<u64>,
    between: Histogram<u64>,
    preemptions: u64,
    starts: u64,
    stalled: Duration,
    over_limit: u64,
    over_bearing: u64,
    /// Sum of the windows of all merged runs.
    window: Duration,
}

/// The figures of a run.
#[derive(Clone, Debug, Default)]
pub(crate) struct Figures {
    pub(crate) preemptions_per_1000: f64,
    pub(crate) stall_s_per_1000_tokens: f64,
    /// The 50th, 95th and 99th percentile, in milliseconds.
    pub(crate) first_ms: [f64; 3],
    /// The 50th, 95th and 99th percentile, in milliseconds.
    pub(crate) between_ms: [f64; 3],
    /// Tokens per second of the generations that met both targets.
    pub(crate) goodput: f64,
    /// Share of the requests that were refused or abandoned.
    pub(crate) refused: f64,
    /// Jain's index of the served share of requests of each workspace.
    pub(crate) jain: f64,
    /// Starts beyond the limit of the policy.
    pub(crate) over_limit: u64,
    /// Starts beyond the number of generations that the engine could serve at that time.
    pub(crate) over_bearing: u64,
}

impl Measure {
    pub(crate) fn new(from: Time, until: Time) -> Measure {
        Measure {
            from,
            until,
            rows: Vec::new(),
            first: histogram(),
            between: histogram(),
            preemptions: 0,
            starts: 0,
            stalled: Duration::ZERO,
            over_limit: 0,
            over_bearing: 0,
            window: Duration::ZERO,
        }
    }

    /// Returns the end of the measured window.
    pub(crate) const fn end(&self) -> Time {
        self.until
    }

    fn covers(&self, at: Time) -> bool {
        self.from <= at && at <= self.until
    }

    fn row(&mut self, attempt: Attempt) -> Option<&mut Row> {
        let at = self
            .rows
            .binary_search_by_key(&attempt, |row| row.attempt)
            .ok()?;
        Some(&mut self.rows[at])
    }

    pub(crate) fn arrived(&mut self, arrival: &Arrival) {
        let row = Row {
            attempt: arrival.attempt,
            arrived: arrival.at,
            first: None,
            last: Time::ZERO,
            tokens: 0,
            counted: 0,
            workspace: arrival.workspace,
            refused: false,
        };
        let at = self
            .rows
            .partition_point(|other| other.attempt < arrival.attempt);
        self.rows.insert(at, row);
    }

    pub(crate) fn refused(&mut self, attempt: Attempt, _retry_at: Option<Time>) {
        if let Some(row) = self.row(attempt) {
            row.refused = true;
        }
    }

    pub(crate) fn abandoned(&mut self, attempt: Attempt) {
        self.refused(attempt, None);
    }

    pub(crate) fn started(&mut self, at: Time, over_limit: bool, over_bearing: bool) {
        self.over_limit += u64::from(over_limit);
        self.over_bearing += u64::from(over_bearing);
        self.starts += u64::from(self.covers(at));
    }

    pub(crate) fn preempted(&mut self, at: Time) {
        self.preemptions += u64::from(self.covers(at));
    }

    pub(crate) fn token(&mut self, at: Time, attempt: Attempt) {
        let covered = self.covers(at);
        let Some(row) = self.row(attempt) else { return };
        row.tokens += 1;
        row.counted += u64::from(covered);
        let last = std::mem::replace(&mut row.last, at);
        if row.first.is_none() {
            row.first = Some(at);
            let waited = at.since(row.arrived);
            if covered {
                record(&mut self.first, waited);
            }
        } else if covered {
            let gap = at.since(last);
            record(&mut self.between, gap);
            self.stalled += gap.saturating_sub(BETWEEN_TOKENS);
        }
    }

    /// Adds another run with the same window.
    pub(crate) fn merge(&mut self, other: Measure) {
        self.rows.extend(other.rows);
        self.first += &other.first;
        self.between += &other.between;
        self.preemptions += other.preemptions;
        self.starts += other.starts;
        self.stalled += other.stalled;
        self.over_limit += other.over_limit;
        self.over_bearing += other.over_bearing;
        self.window += other.until.since(other.from);
    }

    pub(crate) fn figures(&self) -> Figures {
        let tokens: u64 = self.rows.iter().map(|row| row.counted).sum();
        let good: u64 = self
            .rows
            .iter()
            .filter(|row| row.is_good())
            .map(|row| row.counted)
            .sum();
        let sent = || self.rows.iter().filter(|row| self.covers(row.arrived));
        let refused = sent().filter(|row| row.refused).count();
        Figures {
            preemptions_per_1000: 1_000.0 * self.preemptions as f64 / self.starts.max(1) as f64,
            stall_s_per_1000_tokens: 1_000.0 * self.stalled.as_secs_f64() / tokens.max(1) as f64,
            first_ms: percentiles(&self.first),
            between_ms: percentiles(&self.between),
            goodput: good as f64 / self.window.as_secs_f64(),
            refused: refused as f64 / sent().count().max(1) as f64,
            jain: self.jain(),
            over_limit: self.over_limit,
            over_bearing: self.over_bearing,
        }
    }

    fn jain(&self) -> f64 {
        let mut sent = [0.0; WORKSPACES];
        let mut served = [0.0; WORKSPACES];
        for row in self.rows.iter().filter(|row| self.covers(row.arrived)) {
            sent[row.workspace] += 1.0;
            served[row.workspace] += f64::from(u8::from(!row.refused));
        }
        let shares: Vec<f64> = (0..WORKSPACES)
            .filter(|&at| sent[at] > 0.0)
            .map(|at| served[at] / sent[at])
            .collect();
        jain(&shares)
    }
}

impl Row {
    /// Returns whether the request was served within both latency targets.
    fn is_good(&self) -> bool {
        let Some(first) = self.first else {
            return false;
        };
        let gaps = self.tokens.saturating_sub(1).max(1) as u32;
        !self.refused
            && first.since(self.arrived) <= FIRST_TOKEN
            && self.last.since(first) / gaps <= BETWEEN_TOKENS
    }
}

/// Returns Jain's fairness index: 1 if all shares are equal, 1/n if only one of n is
/// not zero.
pub(crate) fn jain(shares: &[f64]) -> f64 {
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
