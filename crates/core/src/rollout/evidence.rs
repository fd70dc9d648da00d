//! What entries have seen of the two versions of a plan.
//!
//! A [`Recorder`] counts the answers of one entry. Its [`Report`] has a bounded
//! size whatever the traffic is, and replaces the one before it, so a lost,
//! repeated or late report does no harm: a [`Tally`] keeps the newest of each
//! source and adds them up. A group of entries may send the sum of its tally as
//! one source, which bounds what any process receives.
//!
//! Answers are counted by version and by the load of the endpoint, because some
//! faults show only under load, and in three spans of time:
//!
//! * the step that traffic is in, which proves it;
//! * windows of a few seconds and of a minute, so that faults that begin late are
//!   not lost among the many good answers before them;
//! * the old version since the start, for when it has no traffic left.

use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

use super::Side;
use crate::{Time, id::Incarnation};

/// The number of load levels.
pub const LEVELS: usize = 4;
/// The number of buckets of a latency.
pub const BUCKETS: usize = 32;
/// The lengths of windows, in milliseconds; of each, the last two are kept.
pub const WINDOWS_MS: [u64; 2] = [10_000, 60_000];

/// The number of groups into which counters can be cut; each is half the load levels of a version.
pub const GROUPS: usize = 4;

const CELL: usize = 2 + 2 * BUCKETS;
const SIDE: usize = LEVELS * CELL;
const COUNTERS: usize = 2 * SIDE;
const GROUP: usize = COUNTERS / GROUPS;
/// Buckets for each doubling of a latency.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Deaths of endpoints that a recorder remembers, so that each counts once.
const MAX_DEATHS: usize = 32;

/// One answer, or the lack of one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sample {
    /// The version that answered.
    pub side: Side,
    /// How full the endpoint was when the request began, in thousandths.
    pub load: u16,
    /// How the request ended.
    pub end: Ending,
    /// The time to the first token, or to the answer of a service, in milliseconds.
    pub first_token_ms: Option<u32>,
    /// The longest time between two tokens, in milliseconds.
    pub token_gap_ms: Option<u32>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    /// The whole answer came.
    Complete,
    /// The version failed.
    Failed,
    /// The endpoint died; all requests that one death ends count as one failure.
    EndpointDied(Incarnation),
}

/// The counts of one cell: one version at one load level.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cell<'a> {
    /// Requests that ended.
    pub total: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Times to the first token, by bucket.
    pub first_token: &'a [u32],
    /// Longest times between tokens, by bucket.
    pub token_gap: &'a [u32],
}

/// Counts by version and load level.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Counters(Box<[u32; COUNTERS]>);

impl Default for Counters {
    fn default() -> Counters {
        Counters(Box::new([0; COUNTERS]))
    }
}

impl Counters {
    /// Returns one cell.
    ///
    /// # Panics
    ///
    /// Panics where `level` is not below [`LEVELS`].
    pub fn cell(&self, side: Side, level: usize) -> Cell<'_> {
        assert!(level < LEVELS, "load levels are below {LEVELS}");
        let start = start(side, level);
        let cell = &self.0[start..start + CELL];
        Cell {
            total: cell[0],
            failed: cell[1],
            first_token: &cell[2..2 + BUCKETS],
            token_gap: &cell[2 + BUCKETS..],
        }
    }

    /// Adds other counts to these.
    pub fn add(&mut self, other: &Counters) {
        for (count, more) in self.0.iter_mut().zip(&*other.0) {
            *count = count.saturating_add(*more);
        }
    }

    /// Lists the counts of a group that are not zero, each after the places since the last one.
    pub(super) fn group(&self, group: usize) -> Vec<u32> {
        let mut pairs = Vec::new();
        let mut gap = 0;
        for count in &self.0[group * GROUP..(group + 1) * GROUP] {
            gap += 1;
            if *count > 0 {
                pairs.extend([gap, *count]);
                gap = 0;
            }
        }
        pairs
    }

    /// Sets the counts of a group from such a list; what lies out of range is left out.
    pub(super) fn set_group(&mut self, group: usize, pairs: &[u32]) {
        let Some(counts) = self.0.chunks_exact_mut(GROUP).nth(group) else {
            return;
        };
        let mut end = 0_usize;
        for pair in pairs.chunks_exact(2) {
            let gap = usize::try_from(pair[0]).unwrap_or(usize::MAX);
            end = end.saturating_add(gap);
            if let Some(count) = end.checked_sub(1).and_then(|at| counts.get_mut(at)) {
                *count = pair[1];
            }
        }
    }

    fn record(&mut self, sample: &Sample, failed: bool) {
        let start = start(sample.side, level(sample.load));
        self.increment(start);
        if failed {
            self.increment(start + 1);
        }
        if let Some(ms) = sample.first_token_ms {
            self.increment(start + 2 + bucket(ms));
        }
        if let Some(ms) = sample.token_gap_ms {
            self.increment(start + 2 + BUCKETS + bucket(ms));
        }
    }

    fn increment(&mut self, at: usize) {
        self.0[at] = self.0[at].saturating_add(1);
    }
}

/// Most counts are zero, so only the others travel, each with its place.
impl Serialize for Counters {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let counted = self.0.iter().enumerate().filter(|(_, count)| **count > 0);
        serializer.collect_seq(counted)
    }
}

impl<'de> Deserialize<'de> for Counters {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Counters, D::Error> {
        let counted = Vec::<(usize, u32)>::deserialize(deserializer)?;
        let mut counters = Counters::default();
        for (at, count) in counted {
            match counters.0.get_mut(at) {
                Some(place) => *place = count,
                None => return Err(de::Error::custom("a count has a place out of range")),
            }
        }
        Ok(counters)
    }
}

/// Returns the load level of an endpoint.
pub fn level(load: u16) -> usize {
    (usize::from(load) * LEVELS / 1_000).min(LEVELS - 1)
}

fn start(side: Side, level: usize) -> usize {
    let side = match side {
        Side::Old => 0,
        Side::New => SIDE,
    };
    side + level * CELL
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the logarithm of a positive 32-bit number is from 0 to 32"
)]
fn bucket(ms: u32) -> usize {
    let octaves = f64::from(ms.max(1)).log2();
    ((octaves * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

/// The counts of one window.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Window {
    /// The number of the window since the epoch.
    pub number: u64,
    /// The counts.
    pub counters: Counters,
}

/// What one source has counted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The process, or the group whose sum this is.
    pub source: Arc<str>,
    /// The life of the source.
    pub incarnation: Incarnation,
    /// Rises with each report of that life.
    pub sequence: u64,
    /// The step that the source was in.
    pub step: usize,
    /// The counts of that step.
    pub in_step: Counters,
    /// The counts of the last two windows of each length, the newer first.
    pub windows: [[Window; 2]; WINDOWS_MS.len()],
    /// The counts of the old version since the start.
    pub old: Counters,
}

impl Report {
    /// Keeps windows of an earlier report that this one leaves out.
    fn keep_windows(&mut self, before: Report) {
        for ([newer, older], known) in self.windows.iter_mut().zip(before.windows) {
            for window in known {
                if window.number < newer.number && window.number > older.number {
                    *older = window;
                }
            }
        }
    }
}

/// Counts the answers of one entry.
#[derive(Clone, Debug)]
pub struct Recorder {
    report: Report,
    deaths: Vec<Incarnation>,
}

impl Recorder {
    /// Returns a recorder that has counted nothing.
    pub fn new(source: Arc<str>, incarnation: Incarnation) -> Recorder {
        let report = Report {
            source,
            incarnation,
            sequence: 0,
            step: 0,
            in_step: Counters::default(),
            windows: Default::default(),
            old: Counters::default(),
        };
        Recorder {
            report,
            deaths: Vec::new(),
        }
    }

    /// Counts an answer that came while traffic was in `step`.
    pub fn record(&mut self, sample: &Sample, step: usize, now: Time) {
        let failed = self.is_failure(sample.end);
        let report = &mut self.report;
        report.sequence += 1;
        if report.step != step {
            report.step = step;
            report.in_step = Counters::default();
        }
        report.in_step.record(sample, failed);
        if sample.side == Side::Old {
            report.old.record(sample, failed);
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

    /// Returns what was counted.
    pub fn report(&self) -> &Report {
        &self.report
    }

    fn is_failure(&mut self, end: Ending) -> bool {
        match end {
            Ending::Complete => false,
            Ending::Failed => true,
            Ending::EndpointDied(endpoint) if self.deaths.contains(&endpoint) => false,
            Ending::EndpointDied(endpoint) => {
                if self.deaths.len() == MAX_DEATHS {
                    self.deaths.remove(0);
                }
                self.deaths.push(endpoint);
                true
            }
        }
    }
}

/// The newest report of each source.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    reports: Vec<Report>,
}

/// The sum over all sources.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Sum {
    /// The counts of the step.
    pub in_step: Counters,
    /// The counts of the current window of each length and the one before it.
    pub recent: [Counters; WINDOWS_MS.len()],
    /// The counts of the old version since the start.
    pub old: Counters,
}

impl Tally {
    /// Takes in a report, unless a newer one of its source is known.
    pub fn merge(&mut self, report: &Report) {
        let known = self
            .reports
            .binary_search_by(|known| known.source.cmp(&report.source));
        match known {
            Err(at) => self.reports.insert(at, report.clone()),
            Ok(at) => {
                let known = &mut self.reports[at];
                let age = |report: &Report| (report.incarnation, report.sequence);
                if age(known) < age(report) {
                    let before = std::mem::replace(known, report.clone());
                    known.keep_windows(before);
                }
            }
        }
    }

    /// Adds up what is known of a step and of the time just before `now`.
    pub fn sum(&self, step: usize, now: Time) -> Sum {
        let mut sum = Sum::default();
        for report in &self.reports {
            if report.step == step {
                sum.in_step.add(&report.in_step);
            }
            for (at, length_ms) in WINDOWS_MS.into_iter().enumerate() {
                let current = now.as_millis() / length_ms;
                let is_recent = |window: &&Window| {
                    window.number <= current && window.number.saturating_add(1) >= current
                };
                for window in report.windows[at].iter().filter(is_recent) {
                    sum.recent[at].add(&window.counters);
                }
            }
            sum.old.add(&report.old);
        }
        sum
    }

    /// Returns the number of sources.
    pub fn len(&self) -> usize {
        self.reports.len()
    }

    /// Tells whether no source has reported.
    pub fn is_empty(&self) -> bool {
        self.reports.is_empty()
    }
}
