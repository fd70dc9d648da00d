//! Request counts of the two versions of a plan.
//!
//! A [`Recorder`] counts the requests of one entry. Its [`Report`] has a bounded
//! size whatever the traffic and replaces the previous one, so lost, duplicated and
//! late reports are harmless: a [`Tally`] keeps the newest report of each source and
//! adds them up. A group of entries may send the sum of its tally as one source,
//! which bounds what any process receives.
//!
//! Requests are counted by version and by the load of the endpoint, because some
//! faults show only under load, and over three spans of time:
//!
//! * the current step, which the counts may prove;
//! * windows of 10 seconds and of one minute, so that a fault that begins late is not
//!   diluted by the many good requests before it;
//! * the baseline since the start, for comparison when it has little or no traffic
//!   left.

use std::{sync::Arc, time::Duration};

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::Side;
use crate::{Time, id::Incarnation};

/// The number of load levels.
pub const LOAD_LEVELS: usize = 4;
/// The number of buckets in a latency histogram.
pub const BUCKETS: usize = 32;
/// The window lengths, in milliseconds; the last two windows of each length are kept.
pub const WINDOWS_MS: [u64; 2] = [10_000, 60_000];

/// The number of groups that counters are split into; each holds half the load levels of a version.
pub const GROUPS: usize = 4;

/// The counts in a cell: total, failed and two histograms.
const CELL_LEN: usize = 2 + 2 * BUCKETS;
/// The counts of one version.
const SIDE_LEN: usize = LOAD_LEVELS * CELL_LEN;
const COUNTERS_LEN: usize = 2 * SIDE_LEN;
const GROUP_LEN: usize = COUNTERS_LEN / GROUPS;
/// The number of histogram buckets per doubling of a latency.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// The number of lost endpoints that a recorder remembers in order to count each loss once.
const MAX_LOSSES: usize = 32;
/// The time within which all requests to an endpoint end that is lost: some connections only
/// show it by a timeout.
const LOSS_SPAN: Duration = Duration::from_secs(3);

/// How long after the loss of an endpoint answers may still arrive that it sent before.
const DELAYED_ANSWERS: Duration = Duration::from_millis(200);

/// The result of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The version that the request was sent to.
    pub side: Side,
    /// The load of the endpoint when the request began, in thousandths of its capacity.
    pub load: u16,
    /// How the request ended.
    pub end: Ending,
    /// The time to the first token, or to the response of a service, in milliseconds.
    pub first_token_ms: Option<u32>,
    /// The longest time between two consecutive tokens, in milliseconds.
    pub token_gap_ms: Option<u32>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The response was complete.
    Complete,
    /// The request failed because of the version.
    Failed,
    /// The endpoint was lost; all requests that end by the same loss count as one failure.
    EndpointLost(Loss),
}

/// The loss of an endpoint, as seen by one of its requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Loss {
    /// The endpoint.
    pub endpoint: Incarnation,
    /// When the request was sent to it, or none if it could not be reached at all.
    pub began_at: Option<Time>,
    /// When the request ended.
    pub ended_at: Time,
}

impl Loss {
    /// Returns whether this is the loss that ended another request of the endpoint at `at`.
    ///
    /// A request that was sent later, or ended much later, was lost by itself: the endpoint was
    /// alive. An endpoint that is still out of reach is not lost again.
    fn is_known(&self, at: Time) -> bool {
        self.began_at
            .is_none_or(|began_at| began_at <= at && self.ended_at.since(at) < LOSS_SPAN)
    }
}

/// The counts of one version at one load level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell<'a> {
    /// The number of requests that ended.
    pub total: u32,
    /// The number of requests that failed.
    pub failed: u32,
    /// Histogram of the times to the first token.
    pub first_token: &'a [u32],
    /// Histogram of the longest times between tokens.
    pub token_gap: &'a [u32],
}

/// Request counts by version and load level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counters(Box<[u32; COUNTERS_LEN]>);

impl Default for Counters {
    fn default() -> Counters {
        Counters(Box::new([0; COUNTERS_LEN]))
    }
}

impl Counters {
    /// Returns the counts of one version at one load level.
    ///
    /// # Panics
    ///
    /// Panics if `level` is not below [`LOAD_LEVELS`].
    pub fn cell(&self, side: Side, level: usize) -> Cell<'_> {
        assert!(
            level < LOAD_LEVELS,
            "load level {level} is not below {LOAD_LEVELS}"
        );
        let offset = cell_offset(side, level);
        let cell = &self.0[offset..offset + CELL_LEN];
        Cell {
            total: cell[0],
            failed: cell[1],
            first_token: &cell[2..2 + BUCKETS],
            token_gap: &cell[2 + BUCKETS..],
        }
    }

    /// Adds `other` to these counts, saturating.
    pub fn add(&mut self, other: &Counters) {
        for (count, more) in self.0.iter_mut().zip(&*other.0) {
            *count = count.saturating_add(*more);
        }
    }

    /// Encodes the nonzero counts of a group, each preceded by its distance from the previous one.
    pub(super) fn encode_group(&self, group: usize) -> Vec<u32> {
        let mut pairs = Vec::new();
        let mut distance = 0;
        for count in &self.0[group * GROUP_LEN..(group + 1) * GROUP_LEN] {
            distance += 1;
            if *count > 0 {
                pairs.extend([distance, *count]);
                distance = 0;
            }
        }
        pairs
    }

    /// Sets the counts of a group from [`Counters::encode_group`], ignoring what is out of range.
    pub(super) fn decode_group(&mut self, group: usize, pairs: &[u32]) {
        let Some(counts) = self.0.chunks_exact_mut(GROUP_LEN).nth(group) else {
            return;
        };
        let mut end = 0_usize;
        for pair in pairs.chunks_exact(2) {
            let distance = usize::try_from(pair[0]).unwrap_or(usize::MAX);
            end = end.saturating_add(distance);
            if let Some(count) = end.checked_sub(1).and_then(|index| counts.get_mut(index)) {
                *count = pair[1];
            }
        }
    }

    fn record(&mut self, sample: &Sample, failed: bool) {
        let offset = cell_offset(sample.side, load_level(sample.load));
        self.increment(offset);
        if failed {
            self.increment(offset + 1);
        }
        if let Some(ms) = sample.first_token_ms {
            self.increment(offset + 2 + bucket_index(ms));
        }
        if let Some(ms) = sample.token_gap_ms {
            self.increment(offset + 2 + BUCKETS + bucket_index(ms));
        }
    }

    fn increment(&mut self, index: usize) {
        self.0[index] = self.0[index].saturating_add(1);
    }
}

/// Writes only the nonzero counts, each with its index, because most counts are zero.
impl Serialize for Counters {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let nonzero = self.0.iter().enumerate().filter(|(_, count)| **count > 0);
        serializer.collect_seq(nonzero)
    }
}

impl<'de> Deserialize<'de> for Counters {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Counters, D::Error> {
        let nonzero = Vec::<(usize, u32)>::deserialize(deserializer)?;
        let mut counters = Counters::default();
        for (index, count) in nonzero {
            match counters.0.get_mut(index) {
                Some(slot) => *slot = count,
                None => return Err(de::Error::custom("a counter index is out of range")),
            }
        }
        Ok(counters)
    }
}

/// Returns the load level of an endpoint whose load is in thousandths of its capacity.
pub fn load_level(load: u16) -> usize {
    (usize::from(load) * LOAD_LEVELS / 1_000).min(LOAD_LEVELS - 1)
}

fn cell_offset(side: Side, level: usize) -> usize {
    let offset = match side {
        Side::Baseline => 0,
        Side::Candidate => SIDE_LEN,
    };
    offset + level * CELL_LEN
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm of a positive 32-bit number is from 0 to 32"
)]
fn bucket_index(ms: u32) -> usize {
    let octaves = f64::from(ms.max(1)).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

/// The counts of one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// The index of the window, counted from the epoch.
    pub number: u64,
    /// The counts of requests that ended in the window.
    pub counters: Counters,
}

/// The counts of one source.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The process, or the group of processes whose sum this is.
    pub source: Arc<str>,
    /// The incarnation of the source.
    pub incarnation: Incarnation,
    /// Increases with each report of the same incarnation.
    pub sequence: u64,
    /// The step that the source was in, by its index.
    pub step: usize,
    /// The counts of `step`.
    pub in_step: Counters,
    /// The last two windows of each length, the newer first.
    pub windows: [[Window; 2]; WINDOWS_MS.len()],
    /// The counts of the baseline since the start.
    #[serde(rename = "old")]
    pub baseline: Counters,
}

impl Report {
    /// Fills in older windows from the previous report where this one lacks them.
    fn keep_windows(&mut self, previous: Report) {
        for ([newer, older], known) in self.windows.iter_mut().zip(previous.windows) {
            for window in known {
                if window.number < newer.number && window.number > older.number {
                    *older = window;
                }
            }
        }
    }
}

/// Counts the requests of one entry.
#[derive(Clone, Debug)]
pub struct Recorder {
    report: Report,
    /// The endpoints whose loss was counted, and the time of the last one.
    losses: Vec<(Incarnation, Time)>,
}

impl Recorder {
    /// Returns a recorder without any counts.
    pub fn new(source: Arc<str>, incarnation: Incarnation) -> Recorder {
        let report = Report {
            source,
            incarnation,
            sequence: 0,
            step: 0,
            in_step: Counters::default(),
            windows: Default::default(),
            baseline: Counters::default(),
        };
        Recorder {
            report,
            losses: Vec::new(),
        }
    }

    /// Counts a request that ended at `now`, while the rollout was in `step`.
    pub fn record(&mut self, sample: &Sample, step: usize, now: Time) {
        let failed = self.counts_as_failure(sample.end);
        let report = &mut self.report;
        report.sequence += 1;
        if report.step != step {
            report.step = step;
            report.in_step = Counters::default();
        }
        report.in_step.record(sample, failed);
        if sample.side == Side::Baseline {
            report.baseline.record(sample, failed);
        }
        for ([newer, older], length_ms) in report.windows.iter_mut().zip(WINDOWS_MS) {
            let number = now.as_millis() / length_ms;
            if newer.number < number {
                let counters = Counters::default();
                *older = std::mem::replace(newer, Window { number, counters });
            }
            newer.counters.record(sample, failed);
        }
    }

    /// Records that an endpoint has sent an event or an answer at `at`. If it seemed lost
    /// before, it was not, and the next request that it breaks off counts.
    pub fn record_answer(&mut self, endpoint: Incarnation, at: Time) {
        self.losses
            .retain(|(lost, lost_at)| *lost != endpoint || at.since(*lost_at) < DELAYED_ANSWERS);
    }

    /// Returns the counts so far.
    pub fn report(&self) -> &Report {
        &self.report
    }

    /// Returns whether a request counts as a failure, and remembers the loss behind it.
    fn counts_as_failure(&mut self, end: Ending) -> bool {
        let loss = match end {
            Ending::Complete => return false,
            Ending::Failed => return true,
            Ending::EndpointLost(loss) => loss,
        };
        let known = self
            .losses
            .iter()
            .position(|(endpoint, _)| *endpoint == loss.endpoint);
        if let Some(index) = known {
            if loss.is_known(self.losses[index].1) {
                return false;
            }
            self.losses.remove(index);
        }
        if self.losses.len() == MAX_LOSSES {
            self.losses.remove(0);
        }
        self.losses.push((loss.endpoint, loss.ended_at));
        true
    }
}

/// The newest report of each source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    reports: Vec<Report>,
}

/// The counts of all sources together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// The counts of the requested step.
    pub in_step: Counters,
    /// For each window length, the counts of the current window and the one before it.
    pub recent: [Counters; WINDOWS_MS.len()],
    /// The counts of the baseline since the start.
    pub baseline: Counters,
}

impl Sum {
    /// Adds the counts of another sum.
    pub fn add(&mut self, other: &Sum) {
        self.in_step.add(&other.in_step);
        for (recent, more) in self.recent.iter_mut().zip(&other.recent) {
            recent.add(more);
        }
        self.baseline.add(&other.baseline);
    }
}

impl Tally {
    /// Stores a report unless a newer one of the same source is known.
    pub fn merge(&mut self, report: &Report) {
        let known = self
            .reports
            .binary_search_by(|known| known.source.cmp(&report.source));
        match known {
            Err(index) => self.reports.insert(index, report.clone()),
            Ok(index) => {
                let known = &mut self.reports[index];
                let recency = |report: &Report| (report.incarnation, report.sequence);
                if recency(known) < recency(report) {
                    let previous = std::mem::replace(known, report.clone());
                    known.keep_windows(previous);
                }
            }
        }
    }

    /// Adds up the counts of `step` and of the windows just before `now` over all sources.
    pub fn sum(&self, step: usize, now: Time) -> Sum {
        let mut sum = Sum::default();
        for report in &self.reports {
            if report.step == step {
                sum.in_step.add(&report.in_step);
            }
            for (index, length_ms) in WINDOWS_MS.into_iter().enumerate() {
                let current = now.as_millis() / length_ms;
                let is_recent = |window: &&Window| {
                    window.number <= current && window.number.saturating_add(1) >= current
                };
                for window in report.windows[index].iter().filter(is_recent) {
                    sum.recent[index].add(&window.counters);
                }
            }
            sum.baseline.add(&report.baseline);
        }
        sum
    }

    /// Returns the number of sources.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Returns whether no source has reported.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
