//! How fast requests leave the queue.

use std::time::Duration;

use crate::Time;

/// The part of the pace that each new interval between dispatches replaces.
const MEAN_GAIN: f64 = 0.2;

/// The mean interval between dispatches while requests wait.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Interval {
    mean_micros: f64,
    /// The last dispatch, or when the queue began to fill after it was empty.
    started_at: Option<Time>,
}

impl Interval {
    /// Notes that requests wait.
    pub(super) fn start(&mut self, now: Time) {
        self.started_at.get_or_insert(now);
    }

    /// Notes that the queue is empty though nothing was dispatched.
    pub(super) fn stop(&mut self) {
        self.started_at = None;
    }

    /// Notes a dispatch, and whether the queue is empty after it.
    pub(super) fn record_dispatch(&mut self, now: Time, is_empty: bool) {
        if let Some(started_at) = self.started_at {
            let micros = now.since(started_at).as_micros() as f64;
            self.mean_micros += MEAN_GAIN * (micros - self.mean_micros);
        }
        self.started_at = (!is_empty).then_some(now);
    }

    /// Returns the mean, or the interval that runs where it is longer already.
    pub(super) fn estimate(&self, now: Time) -> Duration {
        let mean = Duration::from_micros(self.mean_micros as u64);
        self.started_at
            .map_or(mean, |started_at| mean.max(now.since(started_at)))
    }
}
