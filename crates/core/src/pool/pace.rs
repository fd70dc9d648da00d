//! The time that an engine takes for one event of a run.
//!
//! Engines differ in speed for as long as they live (hardware, neighbours on the host), and are
//! slow for moments. Only the lasting part may decide where a long run goes: a moment is over
//! before a run that was placed because of it has ended. [`Meter`] therefore keeps the lower
//! eighth of samples over several seconds: moments, and prefills that are not seen, only make a
//! sample longer. It takes a sample only while nothing is in prefill, which lengthens the steps
//! of all runs without saying anything about the engine.
//!
//! Answers the load pattern in which some engines are lastingly half as fast as others, all are
//! slow for a part of a second at a time, and engines are replaced every twenty seconds, so that
//! an engine must be known after its first second of work. The trade-off: an engine that turns
//! slow for good is noticed after several seconds, and one without long runs is not measured.

use std::{collections::VecDeque, sync::Arc, time::Duration};

use crate::Time;

/// The maximum number of samples that are kept.
const MAX_SAMPLES: usize = 32;

/// The number of samples below which there is no value.
const MIN_SAMPLES: usize = 2;

/// The value is the sample below which one in this many samples lies: of fewer samples, the
/// lowest. The lowest of many could be an error of measurement.
const LOW_SAMPLES: usize = 8;

/// The age at which a sample no longer counts.
const SAMPLE_LIFE: Duration = Duration::from_secs(10);

/// How long a value holds without a new one, while the engine is idle or runs only requests
/// too short to measure. A slow engine gets only such requests, so a shorter time would send it
/// a long run whenever its value lapsed.
const VALUE_LIFE: Duration = Duration::from_secs(300);

/// The longest time between two reports that are compared. Over a longer time, a prefill may
/// have begun and ended unseen.
const MAX_GAP: Duration = Duration::from_millis(300);

/// The number of events that make a sample. Between two polls a run makes one to four events,
/// so that a single interval would be wrong by up to half.
const SAMPLE_EVENTS: u64 = 8;

/// The time after which a sample is taken with fewer events, so that a very slow engine is
/// known too.
const MAX_SAMPLE_TIME: Duration = Duration::from_secs(2);

/// One run in decode, as an engine reports it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// The id of the run at the engine.
    pub id: Arc<str>,
    /// The number of events that the run has made.
    pub events: u64,
}

/// What an engine reports of its runs at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct Reading {
    /// When the report was made.
    pub at: Time,
    /// When the engine started, in milliseconds by its own clock; zero if unknown.
    pub born_ms: u64,
    /// The number of runs in prefill.
    pub computing: u32,
    /// The runs in decode, in any order.
    pub runs: Vec<Run>,
}

/// Measures the lasting time per event of one engine from its reports.
#[derive(Clone, Debug, Default)]
pub struct Meter {
    /// The start time of the measured incarnation; zero if unknown.
    born_ms: u64,
    /// The previous reading, with its runs sorted by id.
    last: Option<Reading>,
    /// The time and events of the sample that is being collected.
    time: Duration,
    events: u64,
    /// Microseconds per event and when that was measured, oldest first.
    samples: VecDeque<(Time, u32)>,
    /// The last value and when it was computed.
    value: Option<(u32, Time)>,
}

impl Meter {
    /// Adds a reading. Readings must be added in the order in which they were made.
    pub fn record(&mut self, mut reading: Reading) {
        let is_other = reading.born_ms > 0 && self.born_ms > 0 && reading.born_ms != self.born_ms;
        if is_other {
            *self = Meter::default();
        }
        if reading.born_ms > 0 {
            self.born_ms = reading.born_ms;
        }
        reading
            .runs
            .sort_unstable_by(|left, right| left.id.cmp(&right.id));
        if let Some(last) = &self.last
            && let Some(events) = progress(last, &reading)
        {
            self.time += reading.at.since(last.at);
            self.events += events;
            if self.events >= SAMPLE_EVENTS || self.time >= MAX_SAMPLE_TIME {
                self.take_sample(reading.at);
            }
        }
        self.last = Some(reading);
    }

    /// Returns whether this incarnation of the engine is the measured one.
    pub fn measures(&self, born_ms: u64) -> bool {
        born_ms == 0 || born_ms == self.born_ms
    }

    /// Returns the lasting time per event in microseconds, if there were enough samples.
    pub fn event_us(&self, now: Time) -> Option<u32> {
        let (value, at) = self.value?;
        (now.since(at) <= VALUE_LIFE).then_some(value)
    }

    fn take_sample(&mut self, now: Time) {
        let micros = self.time.as_micros() / u128::from(self.events.max(1));
        (self.time, self.events) = (Duration::ZERO, 0);
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        let micros = u32::try_from(micros).unwrap_or(u32::MAX).max(1);
        self.samples.push_back((now, micros));
        self.samples.retain(|(at, _)| now.since(*at) <= SAMPLE_LIFE);
        if self.samples.len() >= MIN_SAMPLES {
            let mut sorted: Vec<u32> = self.samples.iter().map(|(_, micros)| *micros).collect();
            sorted.sort_unstable();
            self.value = Some((sorted[sorted.len() / LOW_SAMPLES], now));
        }
    }
}

/// Returns the median number of events that the runs in both readings have made in between, if
/// the readings can be compared. A run that is new had its prefill in between, which makes the
/// sample longer than the lasting time. Runs in `last` and `next` must be sorted.
fn progress(last: &Reading, next: &Reading) -> Option<u64> {
    let elapsed = next.at.since(last.at);
    let is_comparable = elapsed > Duration::ZERO && elapsed <= MAX_GAP;
    if !is_comparable || last.computing > 0 || next.computing > 0 {
        return None;
    }
    let mut made = Vec::with_capacity(next.runs.len());
    for run in &next.runs {
        let Ok(index) = last.runs.binary_search_by(|known| known.id.cmp(&run.id)) else {
            continue;
        };
        made.push(run.events.checked_sub(last.runs[index].events)?);
    }
    made.sort_unstable();
    made.get(made.len() / 2).copied()
}

/// The speed of the engines of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// The time per event that engines are compared with, in microseconds; zero if no engine's
    /// is known.
    pub reference_us: u32,
    /// The number of engines whose time per event is known.
    pub known: usize,
    /// The number of slow engines.
    pub slow: usize,
}

/// A time per event that is lower than that of the fastest other engine by more than this
/// factor is taken for an error of measurement. Engines of one service differ by 2.2, and each
/// value is off by up to a tenth, which makes 2.7.
const CREDIBLE_FACTOR: u32 = 3;

/// Known times per event, compared with each other.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Scale {
    /// The time per event that counts as normal, in microseconds; zero if none is known.
    pub(super) reference_us: u32,
    /// The lowest time per event that is credible.
    floor_us: u32,
    /// The time per event above which an engine is slow.
    slow_above_us: u32,
}

impl Scale {
    /// Compares times per event, which must be credible and sorted. The reference is the lower
    /// quartile: the speed that an engine has when nothing is wrong with it, even if most are
    /// slow.
    fn new(times_us: &[u32], slow_ratio: f64) -> Scale {
        let Some(floor_us) = times_us.first() else {
            return Scale::default();
        };
        let reference_us = times_us[(times_us.len() - 1) / 4];
        Scale {
            reference_us,
            floor_us: *floor_us,
            slow_above_us: (f64::from(reference_us) * slow_ratio) as u32,
        }
    }

    /// Returns whether the first of the sorted times is the reference, and all others are slow.
    fn has_single_reference(&self, times_us: &[u32]) -> bool {
        let second = times_us.get(1);
        second.is_some_and(|second| *second > self.slow_above_us)
            && times_us.first() == Some(&self.reference_us)
    }

    /// Returns the number of slow engines among the sorted times.
    fn count_slow(&self, times_us: &[u32]) -> usize {
        let is_not_slow = |time: &u32| !self.is_slow(Some(*time));
        times_us.len() - times_us.partition_point(is_not_slow)
    }

    /// Returns the time per event to assume of an engine: the reference if its own is not
    /// known or not credible.
    pub(super) fn event_us(&self, known: Option<u32>) -> u32 {
        known
            .filter(|time| *time >= self.floor_us)
            .unwrap_or(self.reference_us)
    }

    /// Returns whether an engine is slow.
    pub(super) fn is_slow(&self, known: Option<u32>) -> bool {
        self.event_us(known) > self.slow_above_us
    }
}

/// The known times per event of the engines of a pool.
///
/// A sample, a choice and a copy each compare all engines, several times as often as a report
/// changes a value. The comparison is therefore kept until a value changes or lapses.
#[derive(Debug)]
pub(super) struct Speeds {
    /// In microseconds, sorted.
    times_us: Vec<u32>,
    scale: Scale,
    slow: usize,
    /// The comparison without the reference, and its number of slow engines, if the reference
    /// is the value of a single engine and all others are slow.
    others: Option<(Scale, usize)>,
    /// A time before which no value lapses.
    valid_until: Time,
}

impl Speeds {
    /// Compares values, each given with the time until which it holds.
    pub(super) fn new(values: impl Iterator<Item = (u32, Time)>, slow_ratio: f64) -> Speeds {
        let mut valid_until = Time::MAX;
        let mut times_us: Vec<u32> = values
            .map(|(time_us, until)| {
                valid_until = valid_until.min(until);
                time_us
            })
            .collect();
        times_us.sort_unstable();
        let mut speeds = Speeds {
            times_us,
            scale: Scale::default(),
            slow: 0,
            others: None,
            valid_until,
        };
        speeds.compare(slow_ratio);
        speeds
    }

    /// Replaces the value of one engine.
    pub(super) fn replace(
        &mut self,
        last_us: Option<u32>,
        next: Option<(u32, Time)>,
        slow_ratio: f64,
    ) {
        if let Some((_, until)) = next {
            self.valid_until = self.valid_until.min(until);
        }
        let next_us = next.map(|(time_us, _)| time_us);
        if last_us == next_us {
            return;
        }
        if let Some(Ok(index)) = last_us.map(|last_us| self.times_us.binary_search(&last_us)) {
            self.times_us.remove(index);
        }
        if let Some(next_us) = next_us {
            let index = self.times_us.partition_point(|time| *time < next_us);
            self.times_us.insert(index, next_us);
        }
        self.compare(slow_ratio);
    }

    fn compare(&mut self, slow_ratio: f64) {
        let credible = match &self.times_us[..] {
            [first, others @ ..]
                if others
                    .first()
                    .is_some_and(|second| first.saturating_mul(CREDIBLE_FACTOR) < *second) =>
            {
                others
            }
            all => all,
        };
        self.scale = Scale::new(credible, slow_ratio);
        self.slow = self.scale.count_slow(credible);
        self.others = self.scale.has_single_reference(credible).then(|| {
            let others = &credible[1..];
            let scale = Scale::new(others, slow_ratio);
            (scale, scale.count_slow(others))
        });
    }

    /// Returns whether no value has lapsed.
    pub(super) fn is_valid(&self, now: Time) -> bool {
        now <= self.valid_until
    }

    /// Returns the time per event of the only engine that is not slow, if the reference rests
    /// on that engine alone.
    pub(super) fn single_reference_us(&self) -> Option<u32> {
        self.others.map(|_| self.scale.reference_us)
    }

    /// Returns the comparison if any engine is slow.
    pub(super) fn uneven(&self) -> Option<Scale> {
        (self.slow > 0).then_some(self.scale)
    }

    /// Returns the comparison without a reference that rests on one engine, if any engine is
    /// slow in it.
    pub(super) fn uneven_others(&self) -> Option<Scale> {
        let (scale, slow) = self.others?;
        (slow > 0).then_some(scale)
    }

    pub(super) fn summary(&self) -> Summary {
        Summary {
            reference_us: self.scale.reference_us,
            known: self.times_us.len(),
            slow: self.slow,
        }
    }
}
