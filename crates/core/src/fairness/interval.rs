//! An estimate of the interval between dispatches.

use std::time::Duration;

use crate::Time;

/// The weight of each new interval in the exponential moving average.
const MEAN_GAIN: f64 = 0.2;

/// The mean interval between dispatches, measured only while requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Interval {
    mean_micros: f64,
    /// When the current interval began: at the last dispatch, or at the first push
    /// into an empty queue. `None` while the queue is empty.
    started_at: Option<Time>,
}

impl Interval {
    /// Begins an interval, unless one is being measured.
    pub(super) fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Discards the current interval, because the queue emptied without a dispatch.
    pub(super) fn stop(&mut self) {
        self.started_at = None;
    }

    /// Ends the current interval at a dispatch, and begins the next one unless the
    /// queue is empty.
    pub(super) fn record_dispatch(&mut self, now: Time, is_empty: bool) {
        if let Some(started_at) = self.started_at {
            let micros = now.since(started_at).as_micros() as f64;
            self.mean_micros += MEAN_GAIN * (micros - self.mean_micros);
        }
        self.started_at = (!is_empty).then_some(now);
    }

    /// Returns the mean, or the age of the current interval if that is longer.
    pub(super) fn estimate(&self, now: Time) -> Duration {
        let mean = Duration::from_micros(self.mean_micros as u64);
        self.started_at
            .map_or(mean, |started_at| mean.max(now.since(started_at)))
    }
}
