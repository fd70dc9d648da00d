//! How many endpoints of a service are ordered in a data centre.
//!
//! Endpoints that are ordered serve only after their boot time, and all of them cost money per
//! second. More are ordered at once when the load that is expected after the boot time
//! exceeds the ordered capacity: its last level, plus the rise of the last boot time. Fewer
//! are ordered only down to the largest need of the hold time, so that a load that
//! oscillates faster changes nothing.
//!
//! Waiting before a reduction costs the endpoints of the hold time after a peak. Ordering for
//! the expected rise costs endpoints when a rise ends early. Answers the load patterns of a
//! daily curve, of jumps, and of bursts that repeat every minute.

use std::{collections::VecDeque, time::Duration};

use crate::Time;

/// The utilization of the endpoints for which more are ordered.
const TARGET_UTILIZATION: f64 = 0.7;

/// The utilization for which fewer are ordered. The difference keeps a load at the edge of two
/// numbers from changing the order each time.
const REDUCED_UTILIZATION: f64 = 0.6;

/// The maximum age of the newest sample on which an order is based, and the maximum gap between
/// two samples.
const MAX_AGE: Duration = Duration::from_secs(5);

/// The minimum time over which the need must have been lower before fewer are ordered.
const MIN_HOLD: Duration = Duration::from_secs(60);

/// The hold time as a multiple of the boot time: an endpoint that is missed again costs the
/// boot time twice, until it is missed and until it serves.
const HOLD_BOOTS: u32 = 2;

/// The maximum expected rise, as a share of the level. A steeper one is mostly noise.
const MAX_RISE: f64 = 1.0;

/// The number of samples whose median is the level, so that a single one orders nothing.
const LEVEL_SAMPLES: usize = 3;

/// The maximum number of samples.
const MAX_SAMPLES: usize = 4_096;

/// The time beyond the boot time after which an order that had no effect is repeated.
const REPEAT_MARGIN: Duration = Duration::from_secs(10);

/// What operators allow for a service in each data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Range {
    /// The minimum number of endpoints.
    pub min: u32,
    /// The maximum number of endpoints.
    pub max: u32,
    /// The time after which ordered endpoints serve.
    pub boot: Duration,
}

/// What was measured of a service in a data centre.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// When it was measured.
    pub at: Time,
    /// The work that arrives, in endpoints that it would keep fully busy: requests per second,
    /// times the work of each, over the work that an endpoint does in a second.
    pub load: f64,
    /// The share of the capacity of the serving endpoints that is in use, from 0 to 1.
    pub utilization: f64,
    /// The number of serving endpoints.
    pub serving: u32,
}

/// Why no order is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Reason {
    /// The newest sample is too old, or there are too few.
    Stale,
    /// The ordered number is right.
    Sufficient,
    /// Fewer would do, but the need was larger within the hold time, or was not observed for
    /// as long.
    Held,
}

/// The result of [`Scaler::decide`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// No order is made.
    Keep(Reason),
    /// This number of endpoints is ordered.
    Order {
        /// The number of endpoints.
        count: u32,
        /// The load that is expected when they serve, in endpoints.
        expected: f64,
        /// The age of the newest sample.
        age: Duration,
    },
}

/// The orders for a service in a data centre.
#[derive(Clone, Debug)]
pub struct Scaler {
    range: Range,
    /// The last samples, by time.
    samples: VecDeque<Sample>,
    /// The number that would have been enough, by time: a decreasing sequence, whose first
    /// entry is the maximum of the hold time.
    needs: VecDeque<(Time, u32)>,
    /// Since when samples have arrived without a gap.
    observed_since: Option<Time>,
    /// The last order and when it was made.
    ordered: Option<(u32, Time)>,
}

impl Scaler {
    /// Returns a scaler that has ordered nothing.
    pub fn new(range: Range) -> Scaler {
        Scaler {
            range,
            samples: VecDeque::new(),
            needs: VecDeque::new(),
            observed_since: None,
            ordered: None,
        }
    }

    /// Replaces what operators allow.
    pub fn set_range(&mut self, range: Range) {
        self.range = range;
    }

    /// Records a sample. One that is not newer than the last, or is not a number, is ignored.
    pub fn record(&mut self, sample: Sample) {
        let is_valid = sample.load.is_finite() && sample.utilization.is_finite();
        let last = self.samples.back().map(|last| last.at);
        if !is_valid || last.is_some_and(|last| sample.at <= last) {
            return;
        }
        if last.is_none_or(|last| sample.at.since(last) > MAX_AGE) {
            // What happened in between is not known.
            self.samples.clear();
            self.needs.clear();
            self.observed_since = Some(sample.at);
        }
        let span = self.range.boot.max(MAX_AGE);
        while let Some(first) = self.samples.front()
            && ((first.at + span).is_past(sample.at) || self.samples.len() == MAX_SAMPLES)
        {
            self.samples.pop_front();
        }
        self.samples.push_back(sample);
        if self.samples.len() < LEVEL_SAMPLES {
            return;
        }
        let need = self.clamp(self.expected() / REDUCED_UTILIZATION);
        while self.needs.back().is_some_and(|(_, known)| *known <= need) {
            self.needs.pop_back();
        }
        self.needs.push_back((sample.at, need));
        let hold = self.hold();
        while let Some((at, _)) = self.needs.front()
            && (*at + hold).is_past(sample.at)
        {
            self.needs.pop_front();
        }
    }

    /// Decides whether another number of endpoints is ordered, and remembers it as ordered.
    pub fn decide(&mut self, now: Time) -> Decision {
        let Some(newest) = self.samples.back().copied() else {
            return Decision::Keep(Reason::Stale);
        };
        let age = now.since(newest.at);
        if age > MAX_AGE || self.samples.len() < LEVEL_SAMPLES {
            return Decision::Keep(Reason::Stale);
        }
        // A new holder assumes that what serves was ordered.
        let current = self.ordered.map_or(newest.serving, |(count, _)| count);
        let expected = self.expected();
        let more = self.clamp(expected / TARGET_UTILIZATION);
        let fewer = self.needs.front().map_or(current, |(_, need)| *need);
        let is_observed = self
            .observed_since
            .is_some_and(|since| (since + self.hold()).is_past(now));
        let is_outside = current < self.range.min || current > self.range.max;
        let count = if more > current {
            more
        } else if is_outside {
            // The operators have changed the range.
            self.clamp(f64::from(current))
        } else if fewer < current {
            if !is_observed {
                return Decision::Keep(Reason::Held);
            }
            fewer
        } else {
            let repeat_after = self.range.boot + REPEAT_MARGIN;
            let is_ignored = self.ordered.is_some_and(|(count, at)| {
                count != newest.serving && (at + repeat_after).is_past(now)
            });
            if !is_ignored {
                let is_held = more < current && current > self.range.min;
                return Decision::Keep(if is_held {
                    Reason::Held
                } else {
                    Reason::Sufficient
                });
            }
            current
        };
        self.ordered = Some((count, now));
        Decision::Order {
            count,
            expected,
            age,
        }
    }

    fn hold(&self) -> Duration {
        MIN_HOLD.max(self.range.boot * HOLD_BOOTS)
    }

    fn clamp(&self, endpoints: f64) -> u32 {
        let max = self.range.max.max(self.range.min);
        // The conversion saturates.
        (endpoints.ceil() as u32).clamp(self.range.min, max)
    }

    /// Returns the load that is expected after the boot time, in endpoints.
    fn expected(&self) -> f64 {
        let level = median(self.samples.iter().rev().take(LEVEL_SAMPLES));
        let before = median(self.samples.iter().take(LEVEL_SAMPLES));
        let (Some(first), Some(last)) = (self.samples.front(), self.samples.back()) else {
            return 0.0;
        };
        let span = last.at.since(first.at).as_secs_f64();
        if span < MAX_AGE.as_secs_f64() / 2.0 {
            return level;
        }
        let rise = (level - before) / span * self.range.boot.as_secs_f64();
        level + rise.clamp(0.0, level * MAX_RISE)
    }
}

/// Returns the median of the work that arrives or is being done.
fn median<'a>(samples: impl Iterator<Item = &'a Sample>) -> f64 {
    // Endpoints that are full take work that arrived earlier; the load alone would hide it.
    let work = |sample: &Sample| {
        let in_use = sample.utilization.clamp(0.0, 1.0) * f64::from(sample.serving);
        sample.load.max(in_use).max(0.0)
    };
    let mut values: Vec<f64> = samples.map(work).collect();
    values.sort_unstable_by(f64::total_cmp);
    values.get(values.len() / 2).copied().unwrap_or(0.0)
}
